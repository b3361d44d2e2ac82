//! Interns the adapters of a service, and tracks the demand and the versions of each.

use std::collections::VecDeque;
use std::sync::Arc;

use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::popularity::Demand;
use crate::cluster::snapshot::Version;

/// How long the previous version may still be used while the newest is not loaded, from when the scheduler
/// learns of the newest: a fifth of the five seconds within which requests must use a new version. The rest of the
/// five seconds is for the new version to become known to the scheduler, and for queues. Without this period,
/// versions published faster than an adapter loads would leave no time in which any version can be used.
const OLD_VERSION_GRACE: Span = Span::from_millis(1_000);

/// An adapter of a base model: an index into [`AdapterTable`]. Entries are never removed, so an id stays valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AdapterId(u32);

/// The name of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AdapterName {
    /// The base model.
    pub(crate) model: Arc<str>,
    /// The adapter.
    pub(crate) adapter: Arc<str>,
}

/// What is known of an adapter, whether or not an engine holds it.
#[derive(Debug)]
struct AdapterEntry {
    name: AdapterName,
    /// How often it is requested.
    demand: Demand,
    /// The newest published version; 0 if none was published.
    newest: Version,
    /// The lowest version that requests may use, apart from `recent_versions`; 0 if they may use any.
    min_version: Version,
    /// Recently published versions, oldest first, each with the time at which the scheduler learnt of it. Requests
    /// may use older versions until [`OLD_VERSION_GRACE`] after that time.
    recent_versions: VecDeque<(Version, Instant)>,
}

/// All adapters that were ever requested, held by an engine or published in a version.
#[derive(Debug, Default)]
pub(crate) struct AdapterTable {
    /// Indexed by [`AdapterId`].
    entries: Vec<AdapterEntry>,
    ids: FxHashMap<AdapterName, AdapterId>,
}

impl AdapterTable {
    /// Returns the id of an adapter, and adds an entry if it has none.
    pub(crate) fn intern(&mut self, model: &Arc<str>, adapter: &Arc<str>) -> AdapterId {
        let name = AdapterName {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        if let Some(id) = self.ids.get(&name) {
            return *id;
        }
        let id = AdapterId(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
        self.ids.insert(name.clone(), id);
        self.entries.push(AdapterEntry {
            name,
            demand: Demand::default(),
            newest: 0,
            min_version: 0,
            recent_versions: VecDeque::new(),
        });
        id
    }

    pub(crate) fn name(&self, adapter: AdapterId) -> &AdapterName {
        &self.entry(adapter).name
    }

    /// Returns the newest published version of an adapter; 0 if none was published.
    pub(crate) fn newest(&self, adapter: AdapterId) -> Version {
        self.entry(adapter).newest
    }

    /// Returns the lowest version of an adapter that a request placed at `now` may use.
    pub(crate) fn min_version(&self, adapter: AdapterId, now: Instant) -> Version {
        let entry = self.entry(adapter);
        let in_force = entry
            .recent_versions
            .iter()
            .take_while(|(_, at)| now >= *at + OLD_VERSION_GRACE);
        let last = in_force.last().map_or(0, |(version, _)| *version);
        entry.min_version.max(last)
    }

    /// Records that a version of an adapter was published at `at`; `None` if the time is unknown and may be
    /// long past.
    pub(crate) fn record_version(
        &mut self,
        adapter: AdapterId,
        version: Version,
        at: Option<Instant>,
    ) {
        let entry = &mut self.entries[adapter.0 as usize];
        if version <= entry.newest {
            return;
        }
        entry.newest = version;
        let Some(now) = at else {
            entry.min_version = version;
            return;
        };
        entry.recent_versions.push_back((version, now));
        while let Some((version, _)) = entry
            .recent_versions
            .front()
            .filter(|(_, at)| now >= *at + OLD_VERSION_GRACE)
        {
            entry.min_version = *version;
            entry.recent_versions.pop_front();
        }
    }

    /// Records a request for an adapter.
    pub(crate) fn record_request(&mut self, adapter: AdapterId, now: Instant) {
        self.entries[adapter.0 as usize].demand.add(now);
    }

    /// Returns the decayed number of requests for an adapter.
    pub(crate) fn demand(&self, adapter: AdapterId, now: Instant) -> f64 {
        self.entry(adapter).demand.value_at(now)
    }

    fn entry(&self, adapter: AdapterId) -> &AdapterEntry {
        &self.entries[adapter.0 as usize]
    }
}
