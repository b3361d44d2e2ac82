//! Times at which something is to be looked at again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dahliastile_core::id::Service;
use dahliastile_core::time::Instant;

use crate::event::RequestId;

/// What is to be looked at.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request's time is over.
    Flow(RequestId),
    /// The lease and the seats.
    Seat,
    /// The key-value service.
    Follow,
    /// The scheduler of a service.
    Desk(Service),
}

/// Timers by time. Setting one does not undo an earlier one: what is looked at too early changes nothing.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// The times that are set.
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
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
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
