//! Requests that wait for a server, in the order in which they are to be served.

use std::collections::{BTreeMap, BTreeSet};

use super::limit::pace::Pace;
use super::table::{Waiting, Wish};
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

impl Place {
    /// A place before all others.
    const FIRST: Self = Self {
        priority: i32::MIN,
        tag: 0,
        arrived: Instant(0),
        request: Request(0),
        deadline: Instant(0),
        weight: 0,
    };
}

/// Puts a request into its queue.
pub(super) fn push(node: &mut Node, request: Request) {
    let Some(row) = node.traffic.requests.get(&request) else {
        return;
    };
    let held = row.held_until();
    node.traffic.queues.push(row.key, row.place, held, node.now);
    let shares = node.traffic.limits.shares.entry(row.service).or_default();
    shares.add(row.place.priority, row.caller, row.place.weight, request);
    node.traffic.dirty.insert(row.key);
}

/// Takes a request out of its queue.
pub(super) fn pull(node: &mut Node, request: Request) {
    let Some(row) = node.traffic.requests.get(&request) else {
        return;
    };
    if !node.traffic.queues.remove(row.key, &row.place) {
        return;
    }
    if let Some(shares) = node.traffic.limits.shares.get_mut(&row.service) {
        shares.remove(row.place.priority, row.caller, request);
    }
}

/// The requests that wait, by what they wait for. All stand in one set, so that a queue that comes and goes with each
/// request allocates nothing of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queues {
    /// The requests of each queue, first to be served first.
    places: BTreeSet<(Key, Place)>,
    /// The queues in which anything waits.
    rows: BTreeMap<Key, Row>,
}

/// The requests that wait for one adapter or plain service.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// How many there are.
    count: u32,
    /// The sum of their weights.
    weight: u32,
    /// How fast they are served since the queue was last empty.
    pace: Pace,
    /// Until when all of them are held back to fill a batch.
    held: Instant,
}

impl Queues {
    fn push(&mut self, key: Key, place: Place, held: Instant, now: Instant) {
        if !self.places.insert((key, place)) {
            return;
        }
        let row = self.rows.entry(key).or_insert(Row {
            count: 0,
            weight: 0,
            pace: Pace::new(now),
            held,
        });
        row.count += 1;
        row.held = row.held.min(held);
        row.weight = row.weight.saturating_add(place.weight);
    }

    fn remove(&mut self, key: Key, place: &Place) -> bool {
        let removed = self.places.remove(&(key, *place));
        match self.rows.get_mut(&key) {
            Some(row) if removed && row.count > 1 => {
                row.count -= 1;
                row.weight = row.weight.saturating_sub(place.weight);
            }
            Some(_) if removed => drop(self.rows.remove(&key)),
            Some(_) | None => {}
        }
        removed
    }

    /// Notes that a request of a queue is on its way to a server.
    pub(super) fn served(&mut self, key: Key, now: Instant) {
        if let Some(row) = self.rows.get_mut(&key) {
            row.pace.leave(now);
        }
    }

    /// The request that is served after so many others of its queue.
    pub(super) fn nth(&self, key: Key, skip: usize) -> Option<Place> {
        self.of(key).nth(skip).copied()
    }

    /// How many of a queue are served before a request of that priority and tag.
    pub(super) fn ahead(&self, key: Key, priority: i32, tag: u64) -> u64 {
        let before = |place: &&Place| (place.priority, place.tag) <= (priority, tag);
        self.of(key).take_while(before).count() as u64
    }

    /// How long it takes until so many of a queue have been served, where that can be said.
    pub(super) fn wait(&self, key: Key, now: Instant, ahead: u64) -> Option<Span> {
        self.rows.get(&key)?.pace.wait(now, ahead)
    }

    /// What is waited for.
    pub(super) fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.rows.keys().copied()
    }

    /// Whether anything waits in a queue.
    pub(super) fn holds(&self, key: Key) -> bool {
        self.rows.contains_key(&key)
    }

    /// Whether a request waits in a queue.
    pub(super) fn contains(&self, key: Key, place: &Place) -> bool {
        self.places.contains(&(key, *place))
    }

    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// How many wait by the queues' own counts: for the verifier.
    pub(super) fn counted(&self) -> usize {
        self.rows.values().map(|row| row.count as usize).sum()
    }

    /// Whether a queue holds more than requests that are held back.
    pub(super) fn asks(&self, key: Key, now: Instant) -> bool {
        self.rows.get(&key).is_some_and(|row| row.held <= now)
    }

    /// What the holder of a domain is told of a queue.
    pub(super) fn waiting(&self, key: Key, wish: Wish, now: Instant) -> Waiting {
        let first = self.of(key).next();
        let row = self.rows.get(&key);
        Waiting {
            count: row.map_or(0, |row| row.count),
            weight: row.map_or(0, |row| row.weight.saturating_mul(1_000)),
            left: first.map_or(Span::ZERO, |place| place.deadline.since(now)),
            waited: first.map_or(Span::ZERO, |place| now.since(place.arrived)),
            wish,
        }
    }

    /// The request that is served first.
    pub(super) fn first(&self, key: Key) -> Option<Request> {
        self.of(key).next().map(|place| place.request)
    }

    fn of(&self, key: Key) -> impl Iterator<Item = &Place> {
        let from = self.places.range((key, Place::FIRST)..);
        from.take_while(move |(other, _)| *other == key)
            .map(|(_, place)| place)
    }
}
