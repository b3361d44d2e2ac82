//! Weight stores: each serves one load at a time at full speed, so a holder keeps one load in flight on each.

use std::collections::BTreeMap;

use crate::Node;
use crate::entity::Service;
use crate::id::{self, Order};
use crate::time::{Instant, Span};

/// How many times its usual length a load may take before others go ahead of it.
const OVERDUE: u64 = 6;
/// The weight of the newest load in the mean, as one part in this many.
const SMOOTHING: u64 = 8;
/// How much longer than at full speed loads may take, in percent, before the store counts as contended.
const CONTENDED_PERCENT: u64 = 160;

/// A weight store; a service that names none has one of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    /// The store of that name.
    Named(id::Store),
    /// The store of one service alone.
    Own(Service),
}

/// The loads from one weight store that this VM ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Store {
    /// The load in flight, and when it was ordered.
    loading: Option<(Order, Instant)>,
    /// The time that a load takes at full speed.
    nominal: Span,
    /// The time that loads took lately.
    mean: Span,
}

impl Store {
    /// The time that one load takes.
    pub(crate) fn pace(&self) -> Span {
        self.mean
    }

    /// Whether a load may be ordered.
    pub(crate) fn free(&self, now: Instant) -> bool {
        self.loading
            .is_none_or(|(_, since)| now.since(since) > self.overdue())
    }

    /// How long a load may take before it holds others up no more.
    pub(crate) fn overdue(&self) -> Span {
        self.mean.times(OVERDUE)
    }

    /// Whether other holders load from it too, by the time that loads take.
    pub(crate) fn contended(&self) -> bool {
        self.mean.0 * 100 > self.nominal.0 * CONTENDED_PERCENT
    }

    /// How long the load in flight is expected to take from now on.
    pub(crate) fn left(&self, now: Instant) -> Span {
        self.loading
            .map_or(Span::ZERO, |(_, since)| (since + self.mean).since(now))
    }

    /// A load was ordered.
    pub(crate) fn begin(&mut self, order: Order, now: Instant) {
        self.loading = Some((order, now));
    }

    fn end(&mut self, order: Order, done: bool, now: Instant) {
        let Some((_, since)) = self.loading.filter(|(loading, _)| *loading == order) else {
            return;
        };
        self.loading = None;
        if done {
            let took = now.since(since);
            self.mean = Span((self.mean.0 * (SMOOTHING - 1) + took.0) / SMOOTHING);
        }
    }
}

/// The stores that this VM loads from.
pub(crate) type Table = BTreeMap<Key, Store>;

/// The weight store of a service.
pub(crate) fn key(node: &Node, service: Service) -> Key {
    match &node.catalog.services.get(service).store {
        Some(name) => Key::Named(name.clone()),
        None => Key::Own(service),
    }
}

/// The row of a service's store.
pub(crate) fn row(node: &mut Node, service: Service) -> &mut Store {
    let key = key(node, service);
    let nominal = node.catalog.services.get(service).load;
    node.domains.stores.entry(key).or_insert(Store {
        loading: None,
        nominal,
        mean: nominal,
    })
}

/// A load is over, as far as the store is concerned.
pub(crate) fn done(node: &mut Node, order: Order, done: bool) {
    let now = node.now;
    for store in node.domains.stores.values_mut() {
        store.end(order, done, now);
    }
}
