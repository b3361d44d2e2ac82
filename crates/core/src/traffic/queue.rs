//! Requests that wait for a server, in the order in which they are to be served.

use std::collections::BTreeSet;

use super::limit::pace::Pace;
use super::table::Waiting;
use crate::Node;
use crate::entity::{Adapter, Service};
use crate::id::Request;
use crate::time::{Instant, Span};

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
    /// The tag of fair queueing.
    pub(crate) tag: u64,
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
    /// How fast it is served since it was last empty.
    pace: Option<Pace>,
}

/// Puts a request into its queue.
pub(super) fn push(node: &mut Node, request: Request) {
    let Some(row) = node.traffic.requests.get(&request) else {
        return;
    };
    let queue = node.traffic.queues.entry(row.key).or_default();
    queue.push(row.place, node.now);
    let shares = node.traffic.limits.shares.entry(row.service).or_default();
    shares.add(row.place.priority, row.caller, row.place.weight, request);
    node.traffic.waiting += 1;
    node.traffic.dirty.insert(row.key);
}

/// Takes a request out of its queue, which stays until [`drop_empty`] even where it is then empty.
pub(super) fn pull(node: &mut Node, request: Request) {
    let Some(row) = node.traffic.requests.get(&request) else {
        return;
    };
    let queue = node.traffic.queues.get_mut(&row.key);
    if !queue.is_some_and(|queue| queue.remove(&row.place)) {
        return;
    }
    if let Some(shares) = node.traffic.limits.shares.get_mut(&row.service) {
        shares.remove(row.place.priority, row.caller, request);
    }
    node.traffic.waiting -= 1;
}

/// Removes a queue in which nothing waits.
pub(super) fn drop_empty(node: &mut Node, key: Key) {
    if node.traffic.queues.get(&key).is_some_and(Queue::is_empty) {
        node.traffic.queues.remove(&key);
    }
}

impl Queue {
    /// Adds a request.
    fn push(&mut self, place: Place, now: Instant) {
        self.pace.get_or_insert_with(|| Pace::new(now));
        self.weight = self.weight.saturating_add(place.weight);
        self.places.insert(place);
    }

    /// Removes a request.
    fn remove(&mut self, place: &Place) -> bool {
        let removed = self.places.remove(place);
        if removed {
            self.weight = self.weight.saturating_sub(place.weight);
        }
        removed
    }

    /// Notes that the first request is on its way to a server.
    pub(super) fn served(&mut self, now: Instant) {
        if let Some(pace) = self.pace.as_mut() {
            pace.leave(now);
        }
    }

    /// How many are served before a request of that priority and tag.
    pub(super) fn ahead(&self, priority: i32, tag: u64) -> u64 {
        let before = |place: &&Place| (place.priority, place.tag) <= (priority, tag);
        self.places.iter().take_while(before).count() as u64
    }

    /// How long it takes until so many have been served, where that can be said.
    pub(super) fn wait(&self, now: Instant, ahead: u64) -> Option<Span> {
        self.pace?.wait(now, ahead)
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
