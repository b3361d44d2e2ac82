//! A table of entities that also finds them by name.

use std::borrow::Borrow;
use std::hash::Hash;

use cranelift_entity::{EntityRef, PrimaryMap};
use rustc_hash::FxHashMap;

/// A primary map whose rows are also found by name. Rows are only added, so references stay good.
#[derive(Clone, Debug)]
pub(crate) struct Table<E: EntityRef, N, T> {
    /// The rows.
    rows: PrimaryMap<E, T>,
    /// The reference of each name.
    by_name: FxHashMap<N, E>,
}

impl<E: EntityRef, N: Hash + Eq, T> Default for Table<E, N, T> {
    fn default() -> Self {
        Self {
            rows: PrimaryMap::new(),
            by_name: FxHashMap::default(),
        }
    }
}

impl<E: EntityRef, N: Hash + Eq, T> Table<E, N, T> {
    /// The reference of a name.
    pub(crate) fn find<Q>(&self, name: &Q) -> Option<E>
    where
        N: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.by_name.get(name).copied()
    }

    /// The reference of a name, with a new row where the name is new.
    pub(crate) fn intern(&mut self, name: N, row: impl FnOnce() -> T) -> E {
        let rows = &mut self.rows;
        *self.by_name.entry(name).or_insert_with(|| rows.push(row()))
    }

    /// A row.
    pub(crate) fn get(&self, entity: E) -> &T {
        &self.rows[entity]
    }

    /// A row, to change it.
    pub(crate) fn get_mut(&mut self, entity: E) -> &mut T {
        &mut self.rows[entity]
    }

    /// All rows in the order in which they were added.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (E, &T)> {
        self.rows.iter()
    }

    /// All rows, to change them.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (E, &mut T)> {
        self.rows.iter_mut()
    }
}
