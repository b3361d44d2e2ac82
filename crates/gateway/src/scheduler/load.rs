//! Plans which adapter is loaded at which engine, and which adapter is evicted for it.

use std::collections::BTreeSet;

use dahliastile_core::id::{Build, Server};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use super::capacity::{CandidatesByModel, LoadCandidate, LoadCandidates, reserved_backlog};
use super::engine::{AdapterSlot, AdapterState, Engine, Intent, unused_slot};
use super::forecast::{WaitForecast, WaitReason};
use super::reservations::Reservations;
use super::reserve::{LoadOutcome, Reserve};
use super::residency::{AdapterResidency, Residency};
use super::throughput::Rank;
use super::unserved::LoadBlock;
use super::{Decision, Scheduler};
use crate::feature::Feature;
use crate::message::Binding;

/// Cost of evicting an adapter with a demand of one request, as a waiting time: its next request waits for a
/// load.
const EVICTION_COST: Span = Span::from_millis(150);

/// How many times faster an adapter loads from a local copy than from the weight store, as the engines specify.
const LOCAL_LOAD_SPEEDUP: u64 = 10;

/// Additional cost of a load from the weight store, as a waiting time, for the bandwidth that all engines
/// share.
const WEIGHT_STORE_COST: Span = Span::from_millis(400);

/// Expected time until an engine whose slots are all in use has a free one: eight slots, each in use for a
/// second.
pub(crate) const SLOT_WAIT: Span = Span::from_millis(120);

/// How long after its arrival a request may wait for a slot at an engine with a local copy of its adapter, although
/// another engine has a free slot. A limit of 300 ms would always leave time for a load from the weight store within
/// the objective, but a slot mostly becomes free long before this limit.
const MAX_LOCAL_COPY_WAIT: Span = Span::from_millis(600);

/// Shortest wait for the engines that hold an adapter from which one more copy is worth a load: with the copy,
/// the first chunk still comes within the objective.
const MIN_WAIT_FOR_COPY: Span = Span::from_millis(350);

/// Concurrent loads that are allowed for any number of engines. The weight store of the smallest deployments
/// supports this number.
const MIN_CONCURRENT_LOADS: usize = 8;

/// Demand from which a new version of an adapter is loaded before a request waits for it: one request in the
/// last ten seconds.
const MIN_DEMAND_IN_USE: f64 = 0.5;

/// An engine chosen for a load, with the load's cost.
struct LoadChoice {
    server: Server,
    /// The adapter to evict; `None` if no eviction is needed.
    victim: Option<AdapterId>,
    /// If the engine likely has a local copy: how many other adapters it held since this one.
    local_copy_distance: Option<usize>,
    /// The time until the adapter can be used and its prompt read, and the cost of the eviction and of the
    /// weight store.
    cost: Span,
}

/// An adapter that is to be loaded.
struct NeededLoad {
    adapter: AdapterId,
    /// If it is already resident elsewhere: the longest wait for it. A copy is loaded only if it costs less.
    copy_wait: Option<Span>,
    /// Until when it may wait for a slot at an engine with a local copy.
    local_copy_until: Instant,
    /// Rank of the request that is served first with it; `None` if no request waits for the load.
    rank: Option<Rank>,
    /// Whether an expedited request waits for it.
    is_expedited: bool,
    /// The builds where it is needed.
    binding: Binding,
}

impl NeededLoad {
    /// Returns the rank of the request that waits for this load; `None` if requests can be served without it.
    fn waiting_rank(&self) -> Option<Rank> {
        self.rank.filter(|_| self.copy_wait.is_none())
    }

    /// Returns whether a load at an engine serves the requests that need it, where these are the builds of which only one
    /// engine is there.
    fn is_served_at(&self, engine: &Engine, lone_builds: &BTreeSet<Option<Build>>) -> bool {
        let build = &engine.backend.build;
        let is_lone = self.binding == Binding::Begins && lone_builds.contains(&build.0);
        self.binding.allows(build) && !is_lone
    }
}

/// The inputs for choosing an engine for a load.
struct LoadContext<'a> {
    now: Instant,
    /// What the waiting requests reserve.
    reservations: &'a Reservations,
    residency: &'a Residency,
    /// The engines that could load an adapter of the same base model.
    candidates: &'a LoadCandidates,
}

/// Returns the choice of a candidate engine for a load that takes `load_time`.
fn load_choice(
    server: &Server,
    candidate: &LoadCandidate,
    local_copy_distance: Option<usize>,
    load_time: Span,
) -> LoadChoice {
    LoadChoice {
        server: server.clone(),
        victim: candidate.victim,
        local_copy_distance,
        cost: load_time + candidate.cost,
    }
}

impl Scheduler {
    /// Plans loads for the adapters that requests wait for, in the order of the requests. Returns why adapters were not
    /// loaded.
    pub(crate) fn plan_loads(
        &mut self,
        now: Instant,
        forecasts: &[WaitForecast],
        mut residency: Residency,
        out: &mut Vec<Decision>,
    ) -> FxHashMap<AdapterId, LoadBlock> {
        let mut blocks = FxHashMap::default();
        self.plan_base_loads(now, out);
        let mut needed = self.needed_loads(now, forecasts, &residency);
        for extra in self.plan_copies(now, forecasts, &residency) {
            let copy = |_| NeededLoad {
                adapter: extra.adapter,
                copy_wait: Some(extra.queue_time),
                local_copy_until: now,
                rank: Some(extra.rank),
                is_expedited: false,
                binding: Binding::Any,
            };
            needed.extend((0..extra.count).map(copy));
        }
        let mut reservations = self.reservations(forecasts);
        for outdated in self.outdated_adapters(now, &residency) {
            reservations.add(outdated.adapter, 0);
            needed.push(outdated);
        }
        let mut candidates_by_model = CandidatesByModel::default();
        let reserves = self.reserves(now);
        let mut remaining_loads = self
            .max_concurrent_loads()
            .saturating_sub(self.weight_store_loads());
        for needed in needed {
            let model = self.adapters.name(needed.adapter).model.clone();
            self.find_candidates(
                now,
                &model,
                &reservations,
                &residency,
                &mut candidates_by_model,
            );
            let Some(candidates) = candidates_by_model.for_model(&model) else {
                continue;
            };
            let context = LoadContext {
                now,
                reservations: &reservations,
                residency: &residency,
                candidates,
            };
            let reserve = needed.rank.filter(|_| reserves && !needed.is_expedited);
            let reserve = reserve.map_or_else(Reserve::default, |rank| self.reserve_before(rank));
            let has_slots = reserve.slots == 0 || candidates.slots() > reserve.slots;
            let from_store = remaining_loads > reserve.loads;
            let choice = has_slots
                .then(|| self.choose_engine(&context, &needed, from_store))
                .flatten();
            let choice =
                choice.filter(|choice| needed.copy_wait.is_none_or(|wait| choice.cost < wait));
            if choice.is_none() && needed.rank.is_some() {
                let block = self.load_block(&context, &needed, has_slots, from_store);
                blocks.insert(needed.adapter, block);
            }
            if let Some(rank) = needed.waiting_rank().filter(|_| reserves) {
                let outcome = match choice {
                    Some(_) => LoadOutcome::Started,
                    None if !has_slots || !from_store && remaining_loads > 0 => LoadOutcome::PutOff,
                    None => LoadOutcome::NoCapacity,
                };
                self.record_needed_load(now, rank, outcome);
            }
            if let Some(choice) = choice {
                remaining_loads -= usize::from(choice.local_copy_distance.is_none());
                self.order_load(now, needed.adapter, &choice, out);
                if let Some(rank) = needed.waiting_rank() {
                    self.throughput.record_load(now, rank);
                    self.unserved.record_load();
                }
                for adapter in choice.victim.into_iter().chain([needed.adapter]) {
                    self.update_residency(now, adapter, &choice.server, &mut residency);
                }
                // The victim has one copy less, which changes the cost of evicting it from the other engines
                // that hold it.
                let others = choice
                    .victim
                    .map_or(&[][..], |victim| residency.servers(victim));
                let changed: Vec<&Server> = others.iter().chain([&choice.server]).collect();
                self.update_candidates(
                    now,
                    &changed,
                    &reservations,
                    &residency,
                    &mut candidates_by_model,
                );
            }
        }
        if reserves {
            self.update_urgency(now, out);
        }
        blocks
    }

    /// Returns why no engine was chosen for a load that a request waits for. `has_slots` and `from_store` tell whether the
    /// reserve leaves slots and loads from the weight store for it.
    fn load_block(
        &self,
        context: &LoadContext,
        needed: &NeededLoad,
        has_slots: bool,
        from_store: bool,
    ) -> LoadBlock {
        let mut engines = self.engines.values();
        let model = &self.adapters.name(needed.adapter).model;
        match context.candidates.cheapest().next() {
            _ if needed.copy_wait.is_some() => LoadBlock::NotWorthwhile,
            None if engines.any(|e| e.is_usable() && e.base_models.contains(model)) => {
                LoadBlock::NoSlot
            }
            None => LoadBlock::NoEngine,
            Some(_) if !has_slots => LoadBlock::Reserved,
            Some(_) if !from_store => LoadBlock::WeightStore,
            Some(_) => LoadBlock::LocalCopy,
        }
    }

    /// Returns the adapters that requests wait for and that are not being loaded, in the order of the requests.
    /// For an adapter that engines already hold, it contains the longest wait if that justifies one more copy.
    fn needed_loads(
        &self,
        now: Instant,
        forecasts: &[WaitForecast],
        residency: &Residency,
    ) -> Vec<NeededLoad> {
        let mut needed: Vec<NeededLoad> = Vec::new();
        let copies = self.settings.uses(Feature::ExtraReplicas);
        let mut rows: FxHashMap<(AdapterId, Binding), usize> = FxHashMap::default();
        for forecast in forecasts {
            let Some(request) = self
                .requests
                .get(&forecast.id)
                .filter(|request| request.is_waiting())
            else {
                continue;
            };
            let Some(adapter) = request.adapter else {
                continue;
            };
            let copy_wait = match forecast.reason {
                WaitReason::Load => None,
                WaitReason::Room
                    if copies && forecast.span + forecast.pause_cost > MIN_WAIT_FOR_COPY =>
                {
                    Some(forecast.span + forecast.pause_cost)
                }
                WaitReason::Room | WaitReason::Copy | WaitReason::Coming | WaitReason::Engine => {
                    continue;
                }
            };
            let binding = request.detail.binding.clone();
            match rows.get(&(adapter, binding.clone())) {
                Some(row) => {
                    let longest = &mut needed[*row].copy_wait;
                    *longest = copy_wait.max(*longest);
                }
                None if self.is_loading(request, adapter, residency) => {}
                None => {
                    rows.insert((adapter, binding.clone()), needed.len());
                    needed.push(NeededLoad {
                        adapter,
                        copy_wait,
                        local_copy_until: request.arrived + MAX_LOCAL_COPY_WAIT,
                        rank: Some(Rank::of(request, now)),
                        is_expedited: request.is_expedited,
                        binding,
                    });
                }
            }
        }
        needed
    }

    /// Returns the adapters in use that engines hold only in older versions, which may soon not be used any more.
    fn outdated_adapters(&self, now: Instant, residency: &Residency) -> Vec<NeededLoad> {
        let is_outdated = |(_, location): &(&AdapterId, &AdapterResidency)| {
            !location.has_newest && !location.is_loading && !location.ready_servers.is_empty()
        };
        let adapters = residency
            .adapters
            .iter()
            .filter(is_outdated)
            .map(|(adapter, _)| *adapter);
        let mut adapters: Vec<AdapterId> = adapters
            .filter(|adapter| self.adapters.demand(*adapter, now) >= MIN_DEMAND_IN_USE)
            .collect();
        adapters.sort_unstable();
        let needed = |adapter| NeededLoad {
            adapter,
            copy_wait: None,
            local_copy_until: now,
            rank: None,
            is_expedited: false,
            binding: Binding::Any,
        };
        adapters.into_iter().map(needed).collect()
    }

    /// Returns how many adapters may be loaded at once, over all engines.
    pub(crate) fn max_concurrent_loads(&self) -> usize {
        let per_hundred = self.engines.len() * self.settings.tuning.loads_per_hundred;
        per_hundred.div_ceil(100).max(MIN_CONCURRENT_LOADS)
    }

    /// Returns the number of loads from the weight store in progress, over all engines. Loads queued behind an
    /// order without an answer are left out, since they take no bandwidth.
    pub(crate) fn weight_store_loads(&self) -> usize {
        let engines = self
            .engines
            .values()
            .filter(|engine| !engine.is_retrying_order());
        engines.map(Engine::weight_store_loads).sum()
    }

    /// Returns the time to load an adapter from a local copy.
    pub(crate) fn local_load_time(&self) -> Span {
        Span(self.load_time.0 / LOCAL_LOAD_SPEEDUP)
    }

    /// Returns how many other adapters an engine held since it last held this one, if it likely still has a
    /// local copy of it.
    pub(crate) fn local_copy_distance(&self, engine: &Engine, adapter: AdapterId) -> Option<usize> {
        let enabled = self.settings.uses(Feature::CachedAdapters);
        let distance = engine
            .recent_adapters
            .reuse_distance(adapter)
            .filter(|_| enabled);
        distance.filter(|distance| self.local_copies.likely_holds(*distance))
    }

    /// Returns whether any engine that accepts requests likely has a local copy of an adapter.
    pub(crate) fn has_local_copy(&self, now: Instant, adapter: AdapterId) -> bool {
        let servers = self.recent_engines.servers(adapter).iter();
        let engines = servers.filter_map(|server| self.engines.get(server));
        let is_open = |engine: &&Engine| {
            engine.is_usable()
                && engine.is_within_rate_limit(1, now)
                && !engine.cooldown.is_rejecting()
        };
        let mut open = engines.filter(is_open);
        open.any(|engine| self.local_copy_distance(engine, adapter).is_some())
    }

    /// Returns the engine where loading an adapter costs least. Returns `None` if no engine can load it, or if
    /// waiting for a slot at an engine with a local copy costs less. `from_store` tells whether the weight store
    /// allows one more load.
    fn choose_engine(
        &self,
        context: &LoadContext,
        needed: &NeededLoad,
        from_store: bool,
    ) -> Option<LoadChoice> {
        let adapter = needed.adapter;
        let mut wait_cost = Span(u64::MAX);
        let mut best = self.replace_old_version(context, needed, from_store);
        let mut consider = |choice: LoadChoice| {
            let sort_key = |choice: &LoadChoice| (choice.cost, choice.server.clone());
            if best
                .as_ref()
                .is_none_or(|best| sort_key(&choice) < sort_key(best))
            {
                best = Some(choice);
            }
        };
        let with_copy = self.engines_with_local_copy(context, adapter);
        for (server, engine, distance) in
            with_copy.filter(|(_, e, _)| needed.is_served_at(e, &self.lone_builds))
        {
            let load_time = self.local_load_time();
            if let Some(candidate) = context.candidates.at(server) {
                consider(load_choice(server, candidate, Some(distance), load_time));
            } else {
                let backlog = reserved_backlog(
                    context.now,
                    engine,
                    context.reservations,
                    None,
                    context.residency,
                );
                wait_cost = wait_cost.min(load_time + backlog + SLOT_WAIT);
            }
        }
        if from_store {
            let has_no_copy = |server: &Server| {
                let engine = self.engines.get(server);
                engine.is_some_and(|e| {
                    needed.is_served_at(e, &self.lone_builds)
                        && !e.slots.contains_key(&adapter)
                        && self.local_copy_distance(e, adapter).is_none()
                })
            };
            let cheapest = context
                .candidates
                .cheapest()
                .find(|(server, _)| has_no_copy(server));
            if let Some((server, candidate)) = cheapest {
                consider(load_choice(
                    server,
                    candidate,
                    None,
                    self.load_time + WEIGHT_STORE_COST,
                ));
            }
        }
        let may_wait =
            self.settings.uses(Feature::CachedAdapterWait) && context.now < needed.local_copy_until;
        best.filter(|best| !may_wait || best.cost <= wait_cost)
    }

    /// Returns the engines with a local copy of an adapter that do not hold it and accept loads, with its reuse
    /// distance there.
    fn engines_with_local_copy<'a>(
        &'a self,
        context: &'a LoadContext<'_>,
        adapter: AdapterId,
    ) -> impl Iterator<Item = (&'a Server, &'a Engine, usize)> {
        let model = &self.adapters.name(adapter).model;
        let holding = context.residency.servers(adapter);
        let servers = self.recent_engines.servers(adapter).iter();
        let servers = servers.filter(|server| !holding.contains(server));
        let engines = servers.filter_map(|server| Some((server, self.engines.get(server)?)));
        let accepting =
            engines.filter(|(_, engine)| self.accepts_loads(context.now, engine, model));
        accepting.filter_map(move |(server, engine)| {
            Some((server, engine, self.local_copy_distance(engine, adapter)?))
        })
    }

    /// Returns the engine with an older, idle version of an adapter where replacing it costs least.
    fn replace_old_version(
        &self,
        context: &LoadContext,
        needed: &NeededLoad,
        from_store: bool,
    ) -> Option<LoadChoice> {
        let adapter = needed.adapter;
        let name = self.adapters.name(adapter);
        let newest = self.adapters.newest(adapter);
        let choices = context
            .residency
            .servers(adapter)
            .iter()
            .filter_map(|server| {
                let engine = self.engines.get(server)?;
                let old = engine.slots.get(&adapter)?;
                if !old.is_idle()
                    || !needed.is_served_at(engine, &self.lone_builds)
                    || old.version >= newest
                    || !self.accepts_loads(context.now, engine, &name.model)
                {
                    return None;
                }
                let local_copy_distance = self.local_copy_distance(engine, adapter);
                let load_time = match local_copy_distance {
                    Some(_) => self.local_load_time(),
                    None if from_store => self.load_time + WEIGHT_STORE_COST,
                    None => return None,
                };
                let backlog = reserved_backlog(
                    context.now,
                    engine,
                    context.reservations,
                    Some(adapter),
                    context.residency,
                );
                Some(LoadChoice {
                    server: server.clone(),
                    victim: None,
                    local_copy_distance,
                    cost: load_time + backlog,
                })
            });
        choices.min_by_key(|choice| choice.cost)
    }

    /// Returns the cost of evicting an adapter from one engine, as a waiting time.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(crate) fn eviction_cost(
        &self,
        now: Instant,
        adapter: AdapterId,
        residency: &Residency,
    ) -> Span {
        let (copies, has_newest) = residency
            .get(adapter)
            .map_or((1, true), |location: &AdapterResidency| {
                (location.ready_copies.max(1), location.has_newest)
            });
        if !has_newest {
            return Span::ZERO;
        }
        Span(
            (EVICTION_COST.0 as f64 * self.adapters.demand(adapter, now) / f64::from(copies))
                as u64,
        )
    }

    /// Queues the orders of a load at the chosen engine, and updates the state of its adapters.
    fn order_load(
        &mut self,
        now: Instant,
        adapter: AdapterId,
        choice: &LoadChoice,
        out: &mut Vec<Decision>,
    ) {
        let version = self.adapters.newest(adapter);
        let demand = self.adapters.demand(adapter, now);
        // A VM that was without a scheduler may have sent requests there itself.
        let running = self.requests.count_using(&choice.server, adapter);
        let adapters = &self.adapters;
        let Some(engine) = self.engines.get_mut(&choice.server) else {
            return;
        };
        let victim = choice
            .victim
            .map_or("-", |victim| &adapters.name(victim).adapter);
        let detail = format!(
            "adapter={} version={version} server={} victim={victim} demand={demand:.2} depth={:?} cost={}",
            adapters.name(adapter).adapter,
            choice.server,
            choice.local_copy_distance,
            choice.cost
        );
        out.push(Decision::Log(Record::new(Code::LoadOrdered, detail)));
        if let Some(victim) = choice.victim {
            if let Some(slot) = engine.slots.get_mut(&victim) {
                slot.state = AdapterState::UnloadPlanned;
            }
            engine.order_queue.push_back(Intent::Unload(victim));
        }
        engine.slots.insert(
            adapter,
            AdapterSlot {
                running,
                local_copy_distance: choice.local_copy_distance,
                ..unused_slot(version, AdapterState::LoadPlanned)
            },
        );
        engine
            .order_queue
            .push_back(Intent::Load(adapter, Some(version).filter(|v| *v > 0)));
    }
}
