//! The timers of a gateway, kept in a heap and run by [`Gateway::step`](crate::Gateway::step).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dahliastile_core::id::Service;
use dahliastile_core::time::Instant;

use crate::event::RequestId;

/// The handler that a timer runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a caller's request, or a timeout within it.
    Request(RequestId),
    /// Calls of the key-value service that create or renew this VM's own entry and the entry's lease.
    Registration,
    /// Calls of the key-value service for leaderships and their lease, and the timeouts of other holders' leaderships.
    Leadership,
    /// Watches of the key-value service, and subscriptions at other VMs.
    Watch,
    /// The end of the time for which requests are held while no configuration is known.
    StartupQueue,
    /// Calls of the key-value service for the quarantine entries.
    Quarantine,
    /// Timeouts of token requests, and collections of the token pool.
    Quota,
    /// Probes of servers, and requests that wait at servers.
    Path,
    /// Checks of which VMs keep the origins of streams.
    Origins,
    /// The next run of the scheduler of a service, if it runs on this VM.
    Scheduler(Service),
}

/// The pending timers, ordered by time.
///
/// Setting a timer does not cancel one that was set before for the same handler. Handlers check what is due, so a
/// handler that runs too early changes nothing.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// All pending timers, the earliest first.
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// The earliest pending time of each timer that was set with [`Timers::set_once`].
    earliest: BTreeMap<Timer, Instant>,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Sets a timer, unless it is already set with this method for the same or an earlier time. Used for timers that
    /// are set in many steps, so that the heap does not grow with each.
    pub(crate) fn set_once(&mut self, at: Instant, timer: Timer) {
        if self.earliest.get(&timer).is_some_and(|set| *set <= at) {
            return;
        }
        self.earliest.insert(timer.clone(), at);
        self.set(at, timer);
    }

    /// Returns the time of the earliest timer, or [`Instant::NEVER`] if none is set.
    pub(crate) fn next_at(&self) -> Instant {
        self.heap
            .peek()
            .map_or(Instant::NEVER, |Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if its time has come.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_at() > now {
            return None;
        }
        let Reverse((at, timer)) = self.heap.pop()?;
        if self.earliest.get(&timer) == Some(&at) {
            self.earliest.remove(&timer);
        }
        Some(timer)
    }
}
