//! What a load is worth, and which server is to take it: pure functions.

use crate::entity::Adapter;
use crate::time::Span;

/// Requests that are expected within this time count as if they waited already.
const AWAITED: Span = Span::from_secs(30);
/// A server above this share of its batch gets no work only to fill it.
pub(super) const ROOM_SHARE: f64 = 0.7;

/// An adapter that requests wait for: it is nowhere resident or loading, or all servers that have it are full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The adapter.
    pub adapter: Adapter,
    /// The weight of the requests that wait and can be served in time, in thousandths.
    pub weight: u32,
    /// Requests a second that are expected.
    pub rate: f64,
}

impl Cold {
    /// What it is worth to load it next: the weight of the requests that wait and of those that are expected soon.
    /// Waiting alone earns nothing: while more is cold than the store can load, serving by age lets all wait long, and
    /// each unpopular adapter that is loaded takes the slot of one that would have been used.
    #[must_use]
    pub fn worth(&self) -> f64 {
        f64::from(self.weight) / 1_000.0 + self.rate * AWAITED.as_secs_f64()
    }
}

/// Brings loads into the order in which the store is to make them, those that are worth most first.
pub fn order(cold: &mut [Cold]) {
    cold.sort_by(|one, other| {
        let worth = other.worth().total_cmp(&one.worth());
        worth.then(one.adapter.cmp(&other.adapter))
    });
}

/// How unwelcome more work is on a server whose batch is so full: its load, or where batches are to be filled, the room
/// that is left in one that still has some.
#[must_use]
pub fn unwelcome(fill: f64, packs: bool) -> f64 {
    if packs && fill < ROOM_SHARE {
        ROOM_SHARE - fill
    } else {
        fill
    }
}
