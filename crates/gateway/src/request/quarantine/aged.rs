//! A table that forgets: what is older than a span, and the oldest where it is full.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::time::{Instant, Span};

use crate::request::fingerprint::Fingerprint;

/// Rows by fingerprint, each with when it was last put in.
#[derive(Debug)]
pub(crate) struct Aged<T> {
    /// The rows.
    rows: BTreeMap<Fingerprint, (Instant, T)>,
    /// The same by age.
    ages: BTreeSet<(Instant, Fingerprint)>,
    /// Rows at most.
    most: usize,
    /// How long one stays.
    stays: Span,
}

impl<T> Aged<T> {
    pub(crate) fn new(most: usize, stays: Span) -> Self {
        Self {
            rows: BTreeMap::new(),
            ages: BTreeSet::new(),
            most,
            stays,
        }
    }

    pub(crate) fn get(&self, fingerprint: &Fingerprint) -> Option<&T> {
        self.rows.get(fingerprint).map(|(_, row)| row)
    }

    pub(crate) fn get_mut(&mut self, fingerprint: &Fingerprint) -> Option<&mut T> {
        self.rows.get_mut(fingerprint).map(|(_, row)| row)
    }

    /// Puts a row in, in place of an older one.
    pub(crate) fn insert(&mut self, now: Instant, fingerprint: Fingerprint, row: T) {
        self.remove(&fingerprint);
        let forgotten = now.back(self.stays);
        while let Some((at, oldest)) = self.ages.first().copied() {
            if at >= forgotten && self.rows.len() < self.most {
                break;
            }
            self.remove(&oldest);
        }
        self.rows.insert(fingerprint, (now, row));
        self.ages.insert((now, fingerprint));
    }

    pub(crate) fn remove(&mut self, fingerprint: &Fingerprint) -> Option<T> {
        let (at, row) = self.rows.remove(fingerprint)?;
        self.ages.remove(&(at, *fingerprint));
        Some(row)
    }

    /// What has a row, the newest first.
    pub(crate) fn newest(&self) -> impl Iterator<Item = Fingerprint> {
        self.ages.iter().rev().map(|(_, fingerprint)| *fingerprint)
    }
}
