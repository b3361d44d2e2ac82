//! The slots of a replica, and the queue before them.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::replica::Capacity;

#[derive(Default)]
struct State {
    /// None where there is no limit.
    capacity: Option<Capacity>,
    running: usize,
    waiting: usize,
}

/// Slots for requests. Clones are the same ones.
#[derive(Clone, Default)]
pub(crate) struct Slots {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A slot that is free again when this is dropped.
pub(crate) struct Taken {
    slots: Slots,
    work: Duration,
}

impl Slots {
    /// Limits them.
    pub(crate) fn set(&self, capacity: Capacity) {
        self.state().capacity = Some(capacity);
    }

    /// Their limits.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        self.state().capacity
    }

    /// Takes a slot, after a wait in the queue where none is free; none where the queue is full, or where the deadline has
    /// passed in it.
    pub(crate) fn take(&self, deadline: Option<Instant>) -> Option<Taken> {
        let mut state = self.state();
        let Some(capacity) = state.capacity else {
            state.running += 1;
            return Some(self.taken(Duration::ZERO));
        };
        if state.running >= capacity.slots {
            if state.waiting >= capacity.queue {
                return None;
            }
            state.waiting += 1;
            let freed = &self.shared.1;
            state = freed
                .wait_while(state, |state| state.running >= capacity.slots)
                .unwrap_or_else(PoisonError::into_inner);
            state.waiting -= 1;
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                // The slot that it was told of is another's.
                freed.notify_one();
                return None;
            }
        }
        state.running += 1;
        Some(self.taken(capacity.work))
    }

    fn taken(&self, work: Duration) -> Taken {
        let slots = self.clone();
        Taken { slots, work }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Taken {
    /// Works for as long as a request runs.
    pub(crate) fn work(&self) {
        thread::sleep(self.work);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.slots.state().running -= 1;
        self.slots.shared.1.notify_one();
    }
}
