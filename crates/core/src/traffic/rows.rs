//! A table of large rows by number.

use std::hash::Hash;
use std::ops::Index;

use rustc_hash::FxHashMap;

/// Rows by number. The rows stay where they are put, so that adding one does not move its neighbours, and places are
/// used again, so that a table that no longer grows allocates nothing.
#[derive(Debug)]
pub(super) struct Rows<K, T> {
    /// The place of each row.
    places: FxHashMap<K, usize>,
    /// The slots.
    slots: Vec<Option<T>>,
    /// Places that are free.
    free: Vec<usize>,
}

impl<K, T> Default for Rows<K, T> {
    fn default() -> Self {
        Self {
            places: FxHashMap::default(),
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Copy + Hash + Ord, T> Rows<K, T> {
    /// Adds a row in place of an earlier one of the same number.
    pub(super) fn insert(&mut self, key: K, row: T) {
        self.remove(&key);
        let place = self.free.pop().unwrap_or(self.slots.len());
        match self.slots.get_mut(place) {
            Some(free) => *free = Some(row),
            None => self.slots.push(Some(row)),
        }
        self.places.insert(key, place);
    }

    /// Takes a row out.
    pub(super) fn remove(&mut self, key: &K) -> Option<T> {
        let place = self.places.remove(key)?;
        self.free.push(place);
        self.slots[place].take()
    }

    /// A row.
    pub(super) fn get(&self, key: &K) -> Option<&T> {
        let place = *self.places.get(key)?;
        self.slots[place].as_ref()
    }

    /// A row, to change it.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut T> {
        let place = *self.places.get(key)?;
        self.slots[place].as_mut()
    }

    /// Whether there is a row of that number.
    pub(super) fn contains_key(&self, key: &K) -> bool {
        self.places.contains_key(key)
    }

    /// The numbers in order. Sorts them: not for the warm path.
    pub(super) fn keys(&self) -> Vec<K> {
        let mut keys: Vec<K> = self.places.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// The rows in the order of their numbers. Sorts them: not for the warm path.
    pub(super) fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        let row = |key| Some((key, self.get(&key)?));
        self.keys().into_iter().filter_map(row)
    }

    /// How many rows there are.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

impl<K: Copy + Hash + Ord, T> Index<&K> for Rows<K, T> {
    type Output = T;

    fn index(&self, key: &K) -> &T {
        self.get(key).expect("the caller has seen the row")
    }
}
