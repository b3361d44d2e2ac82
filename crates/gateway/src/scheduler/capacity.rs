//! Finds the engines that could load one more adapter of a base model, with the cost of each. Each run computes
//! this once per engine, and again only for the engines that a planned load has changed.
//!
//! Computing it for every awaited adapter over all engines, their adapters and their reservations took 4.8 ms
//! per run and 1.8 ms of processor time per request (`crates/gateway/benches/scheduler.rs`, 100 engines, 1,000
//! requests per second of which a third can be served), and a VM with half a core fell behind its incoming
//! messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::adapter::AdapterId;
use super::engine::Engine;
use super::forecast::prefill_time;
use super::reservations::Reservations;
use super::residency::Residency;

/// Number of requests that a load takes from an engine's rate limit: the two orders to unload and to load, and
/// the request that waits for the adapter.
pub(crate) const REQUESTS_PER_LOAD: u32 = 3;

/// An engine that could load an adapter.
#[derive(Clone, Debug)]
pub(crate) struct LoadCandidate {
    /// The adapter to evict; `None` if a slot is free.
    pub(crate) victim: Option<AdapterId>,
    /// Time until the engine has finished the prefill of its prompts and of those reserved there, plus the cost
    /// of the eviction and, where speeds are measured, of the engine's speed.
    pub(crate) cost: Span,
    /// Number of slots that are free, or whose adapter can be evicted if none is free.
    pub(crate) slots: usize,
}

/// The engines that could load an adapter of one base model.
#[derive(Debug, Default)]
pub(crate) struct LoadCandidates {
    by_server: BTreeMap<Server, LoadCandidate>,
    /// The same engines, cheapest first.
    by_cost: BTreeSet<(Span, Server)>,
    /// Slots of all candidates.
    slots: usize,
}

impl LoadCandidates {
    /// Creates the set from the candidates of all engines. Both maps are built in bulk: inserting one engine at
    /// a time made a run with 3,000 engines take 2.3 ms instead of 1.2 ms.
    fn new(rows: Vec<(Server, LoadCandidate)>) -> Self {
        let by_cost = rows
            .iter()
            .map(|(server, candidate)| (candidate.cost, server.clone()));
        Self {
            slots: rows.iter().map(|(_, candidate)| candidate.slots).sum(),
            by_cost: by_cost.collect(),
            by_server: rows.into_iter().collect(),
        }
    }

    /// Returns the candidate at an engine; `None` if the engine cannot load an adapter.
    pub(crate) fn at(&self, server: &Server) -> Option<&LoadCandidate> {
        self.by_server.get(server)
    }

    /// Returns the candidates, cheapest first.
    pub(crate) fn cheapest(&self) -> impl Iterator<Item = (&Server, &LoadCandidate)> {
        let servers = self.by_cost.iter().map(|(_, server)| server);
        servers.filter_map(|server| Some((server, self.by_server.get(server)?)))
    }

    /// Returns the number of slots that are free, or whose adapter can be evicted, at all candidates.
    pub(crate) fn slots(&self) -> usize {
        self.slots
    }

    fn set(&mut self, server: &Server, candidate: Option<LoadCandidate>) {
        if let Some(old) = self.by_server.remove(server) {
            self.by_cost.remove(&(old.cost, server.clone()));
            self.slots -= old.slots;
        }
        if let Some(candidate) = candidate {
            self.slots += candidate.slots;
            self.by_cost.insert((candidate.cost, server.clone()));
            self.by_server.insert(server.clone(), candidate);
        }
    }
}

/// The load candidates of each base model for which requests await an adapter.
#[derive(Debug, Default)]
pub(crate) struct CandidatesByModel {
    models: FxHashMap<Arc<str>, LoadCandidates>,
}

impl CandidatesByModel {
    /// Returns the candidates for a base model; `None` unless [`Scheduler::find_candidates`] computed them in
    /// this run.
    pub(crate) fn for_model(&self, model: &Arc<str>) -> Option<&LoadCandidates> {
        self.models.get(model)
    }
}

impl Scheduler {
    /// Computes the candidates for a base model, unless this run already did.
    pub(crate) fn find_candidates(
        &self,
        now: Instant,
        model: &Arc<str>,
        reservations: &Reservations,
        residency: &Residency,
        candidates_by_model: &mut CandidatesByModel,
    ) {
        if candidates_by_model.models.contains_key(model) {
            return;
        }
        let rows = self.engines.iter().filter_map(|(server, engine)| {
            let candidate = self.candidate(now, engine, model, reservations, residency)?;
            Some((server.clone(), candidate))
        });
        candidates_by_model
            .models
            .insert(model.clone(), LoadCandidates::new(rows.collect()));
    }

    /// Recomputes the candidates at some engines, for each base model computed in this run.
    pub(crate) fn update_candidates(
        &self,
        now: Instant,
        servers: &[&Server],
        reservations: &Reservations,
        residency: &Residency,
        candidates_by_model: &mut CandidatesByModel,
    ) {
        for (model, candidates) in &mut candidates_by_model.models {
            for server in servers {
                let engine = self.engines.get(*server);
                let candidate =
                    engine.and_then(|e| self.candidate(now, e, model, reservations, residency));
                candidates.set(server, candidate);
            }
        }
    }

    /// Returns whether an engine accepts orders to load adapters of a base model.
    pub(crate) fn accepts_loads(&self, now: Instant, engine: &Engine, model: &Arc<str>) -> bool {
        engine.is_usable()
            && engine.is_within_rate_limit(REQUESTS_PER_LOAD, now)
            && !engine.cooldown.is_rejecting()
            && engine.cooldown.allows(now, &self.settings.vm)
            && !engine.deprioritized
            && !engine.is_retrying_order()
            && engine.loading_count() < self.settings.tuning.loads_per_server
            && engine.base_models.contains(model)
    }

    /// Returns the cost of loading an adapter at an engine that does not hold it; `None` if the engine cannot
    /// load one.
    fn candidate(
        &self,
        now: Instant,
        engine: &Engine,
        model: &Arc<str>,
        reservations: &Reservations,
        residency: &Residency,
    ) -> Option<LoadCandidate> {
        if !self.accepts_loads(now, engine, model) {
            return None;
        }
        let has_free_slot = engine.slots.len() < self.engine_spec.adapter_slots
            && self.has_memory_for(engine, model);
        let (victim, eviction_cost, slots) = if has_free_slot {
            let free = self.engine_spec.adapter_slots - engine.slots.len();
            (None, Span::ZERO, free)
        } else {
            let (victim, eviction_cost) =
                self.choose_victim(now, engine, reservations, residency)?;
            let slots = evictable(engine, reservations).count();
            (Some(victim), eviction_cost, slots)
        };
        let cost = reserved_backlog(now, engine, reservations, None, residency)
            + eviction_cost
            + self.future_cost(now, engine, residency);
        Some(LoadCandidate {
            victim,
            cost,
            slots,
        })
    }

    /// Returns the adapter at an engine whose eviction costs least, with that cost, among the adapters that no
    /// request uses or waits for.
    fn choose_victim(
        &self,
        now: Instant,
        engine: &Engine,
        reservations: &Reservations,
        residency: &Residency,
    ) -> Option<(AdapterId, Span)> {
        let adapters = evictable(engine, reservations);
        let costs = adapters.map(|adapter| (adapter, self.eviction_cost(now, adapter, residency)));
        costs.min_by_key(|(_, cost)| *cost)
    }

    /// Returns whether an engine's memory has room for one more adapter of a base model.
    fn has_memory_for(&self, engine: &Engine, model: &Arc<str>) -> bool {
        let models = &self.engine_spec.models;
        let model_spec = |name: &Arc<str>| models.iter().find(|m| m.name == *name);
        let base_models: f64 = engine
            .base_models
            .iter()
            .filter_map(model_spec)
            .map(|m| m.size_mb)
            .sum();
        let adapters: f64 = engine
            .slots
            .keys()
            .filter_map(|adapter| model_spec(&self.adapters.name(*adapter).model))
            .map(|m| m.adapter_mb)
            .sum();
        let added = model_spec(model).map_or(0.0, |m| m.adapter_mb);
        base_models + adapters + added <= self.engine_spec.memory_mb
    }
}

/// Returns the adapters at an engine that no request uses or waits for.
fn evictable(engine: &Engine, reservations: &Reservations) -> impl Iterator<Item = AdapterId> {
    let slots = engine.slots.iter();
    let idle =
        slots.filter(|(adapter, slot)| slot.is_idle() && !reservations.is_reserved(**adapter));
    idle.map(|(adapter, _)| *adapter)
}

/// Returns the time until an engine has finished the prefill of its prompts and of the prompts reserved there,
/// except those reserved for the adapter `excluded`.
pub(crate) fn reserved_backlog(
    now: Instant,
    engine: &Engine,
    reservations: &Reservations,
    excluded: Option<AdapterId>,
    residency: &Residency,
) -> Span {
    engine.backlog(now)
        + prefill_time(
            reservations.tokens_at(engine, excluded, residency),
            engine.rates.long,
        )
}
