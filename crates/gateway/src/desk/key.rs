//! Adapters as dense references, and what is known of each whether or not an engine holds it.

use std::sync::Arc;

use dahliastile_core::time::Instant;
use rustc_hash::FxHashMap;

use super::demand::Demand;
use crate::fact::Version;

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

    /// A version of an adapter is named.
    pub(crate) fn named(&mut self, key: Key, version: Version) {
        let row = &mut self.rows[key.0 as usize];
        row.newest = row.newest.max(version);
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
