//! Times at which something is to be looked at again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dahliastile_core::id::Service;
use dahliastile_core::time::Instant;

use crate::event::RequestId;

/// What is to be looked at.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request's time is over.
    Request(RequestId),
    /// This VM's own entry.
    Registration,
    /// The leaderships and their lease.
    Leadership,
    /// The key-value service.
    Watch,
    /// The requests that came before the first configuration.
    StartupQueue,
    /// The records of requests in quarantine.
    Quarantine,
    /// The limits of client accounts.
    Quota,
    /// The scheduler of a service.
    Scheduler(Service),
}

/// Timers by time. Setting one does not undo an earlier one: what is looked at too early changes nothing.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// The times that are set.
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// The earliest time of each timer that is set only once.
    once: BTreeMap<Timer, Instant>,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Sets a timer that is set again after each step, unless it is set for as early a time already.
    pub(crate) fn set_once(&mut self, at: Instant, timer: Timer) {
        if self.once.get(&timer).is_some_and(|set| *set <= at) {
            return;
        }
        self.once.insert(timer.clone(), at);
        self.set(at, timer);
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Instant {
        self.heap
            .peek()
            .map_or(Instant::NEVER, |Reverse((at, _))| *at)
    }

    /// Takes a timer that is due.
    pub(crate) fn due(&mut self, now: Instant) -> Option<Timer> {
        if self.next() > now {
            return None;
        }
        let Reverse((at, timer)) = self.heap.pop()?;
        if self.once.get(&timer) == Some(&at) {
            self.once.remove(&timer);
        }
        Some(timer)
    }
}
