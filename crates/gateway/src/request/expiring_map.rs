//! A map with expiry and a bounded size, which drops its oldest entries.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::time::{Instant, Span};

/// Map from hashes to values. Entries expire some time after their last insertion; expired entries are
/// removed by the next insertion.
#[derive(Debug)]
pub(crate) struct ExpiringMap<K, T> {
    /// Values with the time of their last insertion.
    entries: BTreeMap<K, (Instant, T)>,
    /// The same entries ordered by that time, for removal of the oldest.
    by_age: BTreeSet<(Instant, K)>,
    /// Upper bound on the entries.
    capacity: usize,
    /// How long an entry is kept after its last insertion.
    lifetime: Span,
}

impl<K: Copy + Ord, T> ExpiringMap<K, T> {
    pub(crate) fn new(capacity: usize, lifetime: Span) -> Self {
        Self {
            entries: BTreeMap::new(),
            by_age: BTreeSet::new(),
            capacity,
            lifetime,
        }
    }

    pub(crate) fn get(&self, key: &K) -> Option<&T> {
        self.entries.get(key).map(|(_, value)| value)
    }

    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut T> {
        self.entries.get_mut(key).map(|(_, value)| value)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when an entry was last inserted.
    pub(crate) fn inserted_at(&self, key: &K) -> Option<Instant> {
        self.entries.get(key).map(|(at, _)| *at)
    }

    /// Inserts or replaces an entry. Removes expired entries, and the oldest ones if the map is full.
    pub(crate) fn insert(&mut self, now: Instant, key: K, value: T) {
        self.remove(&key);
        let expired_before = now.back(self.lifetime);
        while let Some((at, oldest)) = self.by_age.first().copied() {
            if at >= expired_before && self.entries.len() < self.capacity {
                break;
            }
            self.remove(&oldest);
        }
        self.entries.insert(key, (now, value));
        self.by_age.insert((now, key));
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<T> {
        let (at, value) = self.entries.remove(key)?;
        self.by_age.remove(&(at, *key));
        Some(value)
    }

    /// Returns the keys, the most recently inserted first.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = K> {
        self.by_age.iter().rev().map(|(_, key)| *key)
    }

    /// Returns the entries that have not expired, each with the time of its last insertion.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = (K, Instant, &T)> {
        let expired_before = now.back(self.lifetime);
        let entries = self.entries.iter();
        let entries = entries.map(|(key, (at, value))| (*key, *at, value));
        entries.filter(move |(_, at, _)| *at >= expired_before)
    }
}
