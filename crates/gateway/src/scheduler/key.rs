//! Adapters as dense references, and what is known of each whether or not an engine holds it.

use std::collections::VecDeque;
use std::sync::Arc;

use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::popularity::Demand;
use crate::cluster::snapshot::Version;

/// How long the version before may still be used where the newest is not loaded yet, from when the scheduler hears of it: a
/// fifth of the five seconds within which a version is to be in force, the rest being for hearing of it and for queues.
/// Versions that follow each other faster than an adapter loads would else leave no time in which any can be used.
const GRACE: Span = Span::from_millis(1_000);

/// An adapter of a base model: a row of [`Keys`]. Rows are never taken away, so a reference stays good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(u32);

/// What an adapter is called.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Name {
    /// The base model.
    pub(crate) model: Arc<str>,
    /// The adapter.
    pub(crate) adapter: Arc<str>,
}

/// One adapter.
#[derive(Debug)]
struct Row {
    /// What it is called.
    name: Name,
    /// How much it is asked for.
    demand: Demand,
    /// The newest version named, 0 where none was.
    newest: Version,
    /// The version that requests must have at least, 0 where any will do.
    least: Version,
    /// The versions named a moment ago, in their order: none of them must be had yet.
    young: VecDeque<(Version, Instant)>,
}

/// All adapters that were ever asked for, held or named in a version.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    /// The adapters.
    rows: Vec<Row>,
    /// The row of each.
    refs: FxHashMap<Name, Key>,
}

impl Keys {
    /// The reference of an adapter, which gets a row where it has none.
    pub(crate) fn key(&mut self, model: &Arc<str>, adapter: &Arc<str>) -> Key {
        let name = Name {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        if let Some(key) = self.refs.get(&name) {
            return *key;
        }
        let key = Key(u32::try_from(self.rows.len()).unwrap_or(u32::MAX));
        self.refs.insert(name.clone(), key);
        self.rows.push(Row {
            name,
            demand: Demand::default(),
            newest: 0,
            least: 0,
            young: VecDeque::new(),
        });
        key
    }

    /// What an adapter is called.
    pub(crate) fn name(&self, key: Key) -> &Name {
        &self.row(key).name
    }

    /// The newest version of an adapter, 0 where none was named.
    pub(crate) fn newest(&self, key: Key) -> Version {
        self.row(key).newest
    }

    /// The version of an adapter that a request must have at least when it begins now.
    pub(crate) fn least(&self, key: Key, now: Instant) -> Version {
        let row = self.row(key);
        let grown = row.young.iter().take_while(|(_, at)| now >= *at + GRACE);
        let last = grown.last().map_or(0, |(version, _)| *version);
        row.least.max(last)
    }

    /// A version of an adapter is named, at a time; none where it may have been long ago.
    pub(crate) fn named(&mut self, key: Key, version: Version, at: Option<Instant>) {
        let row = &mut self.rows[key.0 as usize];
        if version <= row.newest {
            return;
        }
        row.newest = version;
        let Some(now) = at else {
            row.least = version;
            return;
        };
        row.young.push_back((version, now));
        while let Some((version, _)) = row.young.front().filter(|(_, at)| now >= *at + GRACE) {
            row.least = *version;
            row.young.pop_front();
        }
    }

    /// An adapter is asked for.
    pub(crate) fn asked(&mut self, key: Key, now: Instant) {
        self.rows[key.0 as usize].demand.add(now);
    }

    /// How much an adapter is asked for.
    pub(crate) fn demand(&self, key: Key, now: Instant) -> f64 {
        self.row(key).demand.now(now)
    }

    fn row(&self, key: Key) -> &Row {
        &self.rows[key.0 as usize]
    }
}
