//! Adapters that an engine held recently: copies of them lie beside the engine, so that they load about ten times as fast
//! as from the weight store and take nothing from it.
//!
//! Sending them back there buys loads from the weight store.

use dahliastile_core::id::Server;
use rustc_hash::FxHashMap;

use super::key::Key;

/// Adapters that are remembered of one engine at most.
const REMEMBERED: usize = 128;

/// The adapters that one engine held, by when each was last loaded or used there.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    /// The turn of each, higher is later.
    turns: FxHashMap<Key, u64>,
    /// The last turn.
    last: u64,
}

impl Recent {
    /// An adapter is loaded or used. Gives the one that is no longer remembered for it, if there is one.
    fn touch(&mut self, key: Key) -> Option<Key> {
        self.last += 1;
        self.turns.insert(key, self.last);
        if self.turns.len() <= REMEMBERED {
            return None;
        }
        let oldest = self.turns.iter().min_by_key(|(_, turn)| **turn);
        let oldest = oldest.map(|(key, _)| *key)?;
        self.turns.remove(&oldest);
        Some(oldest)
    }

    /// How many other adapters were held since an adapter was; none where it is not remembered.
    pub(crate) fn depth(&self, key: Key) -> Option<usize> {
        let turn = self.turns.get(&key)?;
        Some(self.turns.values().filter(|other| *other > turn).count())
    }
}

/// The engines that remember each adapter, so that a look for them does not go over all engines.
#[derive(Debug, Default)]
pub(crate) struct Remembering(FxHashMap<Key, Vec<Server>>);

impl Remembering {
    /// An adapter is loaded or used at an engine.
    pub(crate) fn touch(&mut self, server: &Server, recent: &mut Recent, key: Key) {
        let servers = self.0.entry(key).or_default();
        if let Err(at) = servers.binary_search(server) {
            servers.insert(at, server.clone());
        }
        if let Some(oldest) = recent.touch(key) {
            self.remove(server, oldest);
        }
    }

    /// An engine remembers nothing any more.
    pub(crate) fn forget(&mut self, server: &Server, recent: &mut Recent) {
        for key in std::mem::take(recent).turns.into_keys() {
            self.remove(server, key);
        }
    }

    /// The engines that remember an adapter, in their order.
    pub(crate) fn servers(&self, key: Key) -> &[Server] {
        self.0.get(&key).map_or(&[], Vec::as_slice)
    }

    fn remove(&mut self, server: &Server, key: Key) {
        let Some(servers) = self.0.get_mut(&key) else {
            return;
        };
        servers.retain(|other| other != server);
        if servers.is_empty() {
            self.0.remove(&key);
        }
    }
}

/// How many adapters lie beside each engine of a service, as learnt from how fast they came back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beside {
    /// The number believed.
    count: usize,
}

impl Beside {
    /// The number believed first. Too high costs a rejected arrival for each adapter that did not come back fast, until it is
    /// lower; too low would never be found out.
    const FIRST: Self = Self { count: 64 };

    /// Whether an adapter that was held so many others ago comes back fast.
    pub(crate) fn holds(self, depth: usize) -> bool {
        depth < self.count
    }

    /// An adapter came back fast.
    pub(crate) fn fast(&mut self, depth: usize) {
        let near = depth + depth / 4 >= self.count;
        self.count = (self.count + usize::from(near)).min(REMEMBERED);
    }

    /// An adapter did not. One such return may have other reasons, so the number goes half of the way.
    pub(crate) fn slow(&mut self, depth: usize) {
        self.count -= (self.count.saturating_sub(depth)).div_ceil(2);
    }
}

impl Default for Beside {
    fn default() -> Self {
        Self::FIRST
    }
}
