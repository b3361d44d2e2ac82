//! A map with expiry and a bounded size, which drops its oldest entries.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::time::{Instant, Span};

use crate::request::fingerprint::Fingerprint;

/// Map from fingerprints to values. Entries expire some time after their last insertion; expired entries are
/// removed by the next insertion.
#[derive(Debug)]
pub(crate) struct ExpiringMap<T> {
    /// Values with the time of their last insertion.
    entries: BTreeMap<Fingerprint, (Instant, T)>,
    /// The same entries ordered by that time, for removal of the oldest.
    by_age: BTreeSet<(Instant, Fingerprint)>,
    /// Upper bound on the entries.
    capacity: usize,
    /// How long an entry is kept after its last insertion.
    lifetime: Span,
}

impl<T> ExpiringMap<T> {
    pub(crate) fn new(capacity: usize, lifetime: Span) -> Self {
        Self {
            entries: BTreeMap::new(),
            by_age: BTreeSet::new(),
            capacity,
            lifetime,
        }
    }

    pub(crate) fn get(&self, fingerprint: &Fingerprint) -> Option<&T> {
        self.entries.get(fingerprint).map(|(_, value)| value)
    }

    pub(crate) fn get_mut(&mut self, fingerprint: &Fingerprint) -> Option<&mut T> {
        self.entries.get_mut(fingerprint).map(|(_, value)| value)
    }

    /// Inserts or replaces an entry. Removes expired entries, and the oldest ones if the map is full.
    pub(crate) fn insert(&mut self, now: Instant, fingerprint: Fingerprint, value: T) {
        self.remove(&fingerprint);
        let expired_before = now.back(self.lifetime);
        while let Some((at, oldest)) = self.by_age.first().copied() {
            if at >= expired_before && self.entries.len() < self.capacity {
                break;
            }
            self.remove(&oldest);
        }
        self.entries.insert(fingerprint, (now, value));
        self.by_age.insert((now, fingerprint));
    }

    pub(crate) fn remove(&mut self, fingerprint: &Fingerprint) -> Option<T> {
        let (at, value) = self.entries.remove(fingerprint)?;
        self.by_age.remove(&(at, *fingerprint));
        Some(value)
    }

    /// Returns the fingerprints, the most recently inserted first.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = Fingerprint> {
        self.by_age
            .iter()
            .rev()
            .map(|(_, fingerprint)| *fingerprint)
    }
}
