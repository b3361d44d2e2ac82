//! Tracks the adapters that each engine held recently. An engine keeps local copies of adapters that it
//! unloaded; loading one of them again is about ten times as fast as a load from the weight store, and takes
//! nothing of the weight store's bandwidth. The scheduler therefore prefers engines with a local copy, which saves
//! loads from the weight store.

use dahliastile_core::id::Server;
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;

/// Maximum number of adapters tracked for one engine.
const MAX_RECENT: usize = 128;

/// The adapters that one engine held, in the order of their last load or use there.
#[derive(Debug, Default)]
pub(crate) struct RecentAdapters {
    /// Value of `use_count` at the last load or use of each adapter.
    last_uses: FxHashMap<AdapterId, u64>,
    /// Number of loads and uses.
    use_count: u64,
}

impl RecentAdapters {
    /// Records that an adapter was loaded or used. Returns the adapter that is dropped for it because more than
    /// [`MAX_RECENT`] would be tracked.
    fn record_use(&mut self, adapter: AdapterId) -> Option<AdapterId> {
        self.use_count += 1;
        self.last_uses.insert(adapter, self.use_count);
        if self.last_uses.len() <= MAX_RECENT {
            return None;
        }
        let oldest = self.last_uses.iter().min_by_key(|(_, last_use)| **last_use);
        let oldest = oldest.map(|(adapter, _)| *adapter)?;
        self.last_uses.remove(&oldest);
        Some(oldest)
    }

    /// Returns the number of other adapters loaded or used since this one last was; `None` if this one is not
    /// tracked.
    pub(crate) fn reuse_distance(&self, adapter: AdapterId) -> Option<usize> {
        let last_use = self.last_uses.get(&adapter)?;
        Some(
            self.last_uses
                .values()
                .filter(|other| *other > last_use)
                .count(),
        )
    }
}

/// Index from each adapter to the engines whose [`RecentAdapters`] contain it, so that a lookup does not visit
/// all engines.
#[derive(Debug, Default)]
pub(crate) struct RecentEngines(FxHashMap<AdapterId, Vec<Server>>);

impl RecentEngines {
    /// Records that an adapter was loaded or used at an engine.
    pub(crate) fn record_use(
        &mut self,
        server: &Server,
        recent_adapters: &mut RecentAdapters,
        adapter: AdapterId,
    ) {
        let servers = self.0.entry(adapter).or_default();
        if let Err(at) = servers.binary_search(server) {
            servers.insert(at, server.clone());
        }
        if let Some(oldest) = recent_adapters.record_use(adapter) {
            self.remove(server, oldest);
        }
    }

    /// Removes an engine from the index and empties its [`RecentAdapters`].
    pub(crate) fn remove_engine(&mut self, server: &Server, recent_adapters: &mut RecentAdapters) {
        for adapter in std::mem::take(recent_adapters).last_uses.into_keys() {
            self.remove(server, adapter);
        }
    }

    /// Returns the engines that recently held an adapter, in ascending order.
    pub(crate) fn servers(&self, adapter: AdapterId) -> &[Server] {
        self.0.get(&adapter).map_or(&[], Vec::as_slice)
    }

    fn remove(&mut self, server: &Server, adapter: AdapterId) {
        let Some(servers) = self.0.get_mut(&adapter) else {
            return;
        };
        servers.retain(|other| other != server);
        if servers.is_empty() {
            self.0.remove(&adapter);
        }
    }
}

/// Estimated number of adapters of which each engine of a service keeps local copies, learnt from how long
/// their loads took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalCopies {
    count: usize,
}

impl LocalCopies {
    /// The first estimate. An estimate that is too high costs a rejected request for each adapter that did not
    /// load fast, until the estimate has come down. One that is too low would never be corrected.
    const INITIAL: Self = Self { count: 64 };

    /// Returns whether an engine likely has a local copy of an adapter with this reuse distance.
    pub(crate) fn likely_holds(self, distance: usize) -> bool {
        distance < self.count
    }

    /// Raises the estimate by one after a load that was as fast as one from a local copy, if `distance` is at least
    /// four fifths of the estimate.
    pub(crate) fn record_fast_load(&mut self, distance: usize) {
        let is_near_estimate = distance + distance / 4 >= self.count;
        self.count = (self.count + usize::from(is_near_estimate)).min(MAX_RECENT);
    }

    /// Lowers the estimate after a load that was slower. The load may have been slow for another reason, so the
    /// estimate moves only half of the way.
    pub(crate) fn record_slow_load(&mut self, distance: usize) {
        self.count -= (self.count.saturating_sub(distance)).div_ceil(2);
    }
}

impl Default for LocalCopies {
    fn default() -> Self {
        Self::INITIAL
    }
}
