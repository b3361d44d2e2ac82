//! Requests that wait for a server, in the order in which they are to be served.

use std::collections::BTreeSet;

use super::table::Waiting;
use crate::entity::{Adapter, Service};
use crate::id::Request;
use crate::time::Instant;

/// What a queue waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    /// A server with this adapter.
    Adapter(Adapter),
    /// A server of this plain service.
    Service(Service),
}

/// A place in a queue: smaller is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// The priority.
    pub(crate) priority: i32,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// The request.
    pub(crate) request: Request,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    /// Its caller's weight.
    pub(crate) weight: u32,
}

/// The requests that wait for one adapter or plain service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// The requests, first to be served first.
    places: BTreeSet<Place>,
    /// The sum of their weights.
    weight: u32,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn push(&mut self, place: Place) {
        self.weight = self.weight.saturating_add(place.weight);
        self.places.insert(place);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, place: &Place) -> bool {
        let removed = self.places.remove(place);
        if removed {
            self.weight = self.weight.saturating_sub(place.weight);
        }
        removed
    }

    /// The requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Place> {
        self.places.iter()
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether a request waits here. Walks the queue: for the verifier only.
    pub(crate) fn contains(&self, request: Request) -> bool {
        self.places.iter().any(|place| place.request == request)
    }

    /// What the holder of a domain is told of this queue.
    pub(crate) fn waiting(&self, now: Instant) -> Waiting {
        let first = self.places.first();
        Waiting {
            count: u32::try_from(self.places.len()).unwrap_or(u32::MAX),
            weight: self.weight.saturating_mul(1_000),
            left: first.map_or_else(Default::default, |place| place.deadline.since(now)),
            waited: first.map_or_else(Default::default, |place| now.since(place.arrived)),
        }
    }
}
