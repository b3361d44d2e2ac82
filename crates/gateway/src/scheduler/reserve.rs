//! Keeps capacity to load adapters free for urgent requests.
//!
//! Load: bursts of the most and the least urgent requests coincide, and there are more of them than adapter slots. A
//! slot is in use as long as a stream runs, which is over a second for the least urgent ones, so that loads for them
//! leave none for the urgent requests of the next second.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};

/// How long after its last request a priority counts as in use, so that a pause of the requests
/// of one priority does not switch the feature off and on.
const PRIORITY_MEMORY: Span = Span::from_secs(10);

/// What is known of the requests of each priority. Bounded by the number of priorities.
#[derive(Debug, Default)]
pub(crate) struct Urgency {
    /// When a request of each priority last arrived.
    last_seen: BTreeMap<u8, Instant>,
}

impl Urgency {
    /// Records that a request of a priority arrived.
    pub(crate) fn record_arrival(&mut self, now: Instant, priority: u8) {
        self.last_seen.insert(priority, now);
    }

    /// Returns whether requests of different priorities arrived recently.
    pub(crate) fn priorities_differ(&self, now: Instant) -> bool {
        let recent = |at: &&Instant| now.since(**at) <= PRIORITY_MEMORY;
        self.last_seen.values().filter(recent).count() > 1
    }
}
