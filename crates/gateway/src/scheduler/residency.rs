//! Index from each adapter to the engines that hold or load it. A run builds it in one pass over the engines,
//! instead of one pass for each waiting request.

use dahliastile_core::id::Server;
use dahliastile_core::time::Instant;
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::adapter::AdapterId;
use super::engine::{AdapterSlot, AdapterState, Engine};
use super::scheduled_request::ScheduledRequest;

/// The engines that hold or load one adapter.
#[derive(Debug, Default)]
pub(crate) struct AdapterResidency {
    /// Engines that hold it or are to load it, in any version and state.
    pub(crate) servers: Vec<Server>,
    /// Engines that accept requests and hold it in a version that may be used.
    pub(crate) ready_servers: Vec<Server>,
    /// When its next load completes, at an engine that accepts requests.
    pub(crate) next_ready_at: Option<Instant>,
    /// Whether an engine that accepts requests loads it or is to load it.
    pub(crate) is_loading: bool,
    /// Number of engines where it is ready.
    pub(crate) ready_copies: u32,
    /// Whether any engine holds or loads the newest version.
    pub(crate) has_newest: bool,
}

/// The engines of each adapter that any engine holds or loads.
#[derive(Debug, Default)]
pub(crate) struct Residency {
    pub(crate) adapters: FxHashMap<AdapterId, AdapterResidency>,
}

impl Residency {
    /// Returns the engines of an adapter; `None` if no engine holds or loads it.
    pub(crate) fn get(&self, adapter: AdapterId) -> Option<&AdapterResidency> {
        self.adapters.get(&adapter)
    }

    /// Returns the engines that hold or load an adapter.
    pub(crate) fn servers(&self, adapter: AdapterId) -> &[Server] {
        self.get(adapter).map_or(&[], |location| &location.servers)
    }

    /// Returns the engines that accept requests and hold an adapter in a version that may be used.
    pub(crate) fn ready_servers(&self, adapter: AdapterId) -> &[Server] {
        self.get(adapter)
            .map_or(&[], |location| &location.ready_servers)
    }
}

impl Scheduler {
    /// Builds the index over all engines.
    pub(crate) fn residency(&self, now: Instant) -> Residency {
        let mut residency = Residency::default();
        for (server, engine) in &self.engines {
            for (adapter, slot) in &engine.slots {
                let location = residency.adapters.entry(*adapter).or_default();
                self.add_slot(now, location, server, engine, (*adapter, slot));
            }
        }
        residency
    }

    /// Rebuilds the entry of one adapter after a change at the engine `changed`.
    pub(crate) fn update_residency(
        &self,
        now: Instant,
        adapter: AdapterId,
        changed: &Server,
        residency: &mut Residency,
    ) {
        let old = residency.adapters.remove(&adapter).unwrap_or_default();
        let others = old.servers.iter().filter(|server| *server != changed);
        let mut servers: Vec<&Server> = others.chain([changed]).collect();
        servers.sort_unstable();
        let mut location = AdapterResidency::default();
        for server in servers {
            let engine = self.engines.get(server);
            if let Some((engine, slot)) = engine.and_then(|e| Some((e, e.slots.get(&adapter)?))) {
                self.add_slot(now, &mut location, server, engine, (adapter, slot));
            }
        }
        residency.adapters.insert(adapter, location);
    }

    /// Returns whether an engine that may run a request loads its adapter or is to load it.
    pub(crate) fn is_loading(
        &self,
        request: &ScheduledRequest,
        adapter: AdapterId,
        residency: &Residency,
    ) -> bool {
        let is_loading = residency
            .get(adapter)
            .is_some_and(|location| location.is_loading);
        is_loading
            && (!request.is_bound()
                || self
                    .bound_slots(request, adapter, residency)
                    .any(AdapterSlot::is_loading))
    }

    /// Returns when the next load of a request's adapter completes, at an engine that may run the request.
    pub(crate) fn next_ready_at(
        &self,
        request: &ScheduledRequest,
        adapter: AdapterId,
        residency: &Residency,
    ) -> Option<Instant> {
        let next = residency.get(adapter)?.next_ready_at;
        if !request.is_bound() {
            return next;
        }
        let slots = self.bound_slots(request, adapter, residency);
        let ready = slots.filter_map(|slot| match slot.state {
            AdapterState::Loading(at) => Some(at),
            _ => None,
        });
        ready.min()
    }

    /// Returns the slots for a request's adapter at the usable engines of the build that the request is bound to.
    fn bound_slots<'a>(
        &'a self,
        request: &'a ScheduledRequest,
        adapter: AdapterId,
        residency: &'a Residency,
    ) -> impl Iterator<Item = &'a AdapterSlot> {
        let servers = residency.servers(adapter).iter();
        let engines = servers.filter_map(|server| self.engines.get(server));
        let allowed = engines.filter(|engine| engine.is_usable() && request.may_run_at(engine));
        allowed.filter_map(move |engine| engine.slots.get(&adapter))
    }

    /// Adds an engine's slot for an adapter to the entry of the adapter.
    fn add_slot(
        &self,
        now: Instant,
        location: &mut AdapterResidency,
        server: &Server,
        engine: &Engine,
        (adapter, slot): (AdapterId, &AdapterSlot),
    ) {
        location.servers.push(server.clone());
        let is_version_usable = slot.version >= self.adapters.min_version(adapter, now);
        location.has_newest |= slot.version >= self.adapters.newest(adapter);
        location.ready_copies += u32::from(slot.state == AdapterState::Ready);
        if !engine.is_usable() || !engine.is_within_rate_limit(1, now) {
            return;
        }
        match slot.state {
            AdapterState::Ready if is_version_usable => location.ready_servers.push(server.clone()),
            AdapterState::LoadPlanned => location.is_loading = true,
            AdapterState::Loading(at) => {
                location.is_loading = true;
                location.next_ready_at =
                    Some(location.next_ready_at.map_or(at, |other| other.min(at)));
            }
            AdapterState::Ready | AdapterState::UnloadPlanned => {}
        }
    }
}
