//! Schedules the requests and adapters of one service: chooses which engine holds which adapter, and which
//! engine runs which request.
//!
//! The scheduler runs on the VM that holds the service's leadership. The VMs ask it for a placement of each
//! request and report the progress of the request to it, so the scheduler knows the load of each engine without
//! polling the engines. It never evicts an adapter that a running request uses, and an engine itself rejects a
//! request that it cannot run.

mod adapter;
mod adapter_cache;
mod admission;
mod base_load;
mod capacity;
pub(crate) mod client;
mod contention;
mod cooldown;
mod copies;
mod dispatch;
mod engine;
mod fair_share;
mod forecast;
mod host;
mod load;
mod order;
mod overtaken;
pub mod pause;
mod popularity;
mod prefix_cache;
mod rates;
mod reservations;
mod reserve;
mod residency;
mod returning;
mod run;
mod run_interval;
mod scheduled_request;
pub mod speed;
mod stalled;
mod summary;
mod throughput;
mod unserved;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use dahliastile_core::id::{Build, Incarnation, Server, Vm};
use dahliastile_core::log::Record;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::snapshot::{Backend, Version};
use crate::config::{EngineSpec, ServiceConfig};
use crate::effect::{Order, OrderId};
use crate::event::{InferenceSpec, OrderOutcome, Report, RequestId};
use crate::feature::Feature;
use crate::message::{EngineResidents, PlacementDetail, PlacementRequest, Progress, Running};
use crate::request::health::{Health, deprioritized};
use crate::request::notice::Rate;
use crate::request::notice::leaving::last_resort_period;
use crate::request::notice::rate_limiter::RateLimiter;
use crate::settings::Settings;

use self::adapter::{AdapterId, AdapterTable};
use self::adapter_cache::{LocalCopies, RecentEngines};
use self::base_load::{BaseLoadBucket, BaseLoadLimit};
use self::contention::ContentionCounts;
use self::engine::{Engine, Leaving};
use self::fair_share::ShareTable;
use self::pause::{PauseHistory, Refusals};
use self::rates::Comparison;
use self::reserve::Urgency;
use self::returning::ClaimTable;
use self::run_interval::RunInterval;
use self::scheduled_request::{RequestTable, ScheduledRequest, VmRequestId};
use self::stalled::StallTable;
use self::throughput::Throughput;
use self::unserved::{Cause, UnservedTable};

/// Interval of the heartbeats to all VMs. Three heartbeats fit into [`client::HOLDER_TIMEOUT`], after which a
/// VM places requests without the scheduler.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);

/// Shortest interval between two messages about resident adapters to the VMs. The VMs place requests by these
/// messages while they have no scheduler.
const MIN_RESIDENTS_INTERVAL: Span = Span::from_millis(1_000);

/// Interval between two messages about resident adapters, per VM that receives them; [`MIN_RESIDENTS_INTERVAL`] is
/// used if it is longer than the product. A message has at most [`MAX_RESIDENTS_ROWS`] engines of about 120 bytes
/// each, so this keeps the messages to all VMs together below 200 KB per second for any number of VMs: a sixth of
/// the slowest network link.
const RESIDENTS_INTERVAL_PER_VM: Span = Span::from_millis(40);

/// Maximum number of engines in one message about resident adapters. With more engines, each message continues
/// after the last engine of the one before. A slow rotation costs little, since a VM also records the placements
/// of its own requests.
const MAX_RESIDENTS_ROWS: usize = 64;

/// Interval between two log lines with the scheduler's state.
const SUMMARY_INTERVAL: Span = Span::from_millis(1_000);

/// A decision of the scheduler, for the VM that it runs on to carry out.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Places a request of a VM at a server, which must hold this version of the adapter (any version if
    /// `None`).
    Place(Vm, RequestId, Server, Option<Version>),
    /// Refuses a request of a VM, because it cannot be served in time. The caller may retry after the span.
    Refuse(Vm, RequestId, Span),
    /// Withdraws a request of a VM from the server where it was placed, which has fallen behind.
    Withdraw(Vm, RequestId, Server),
    /// Sends an order to the server at this address.
    Order(OrderId, Server, SocketAddr, Order),
    /// Asks the server at this address for its report.
    QueryReport(Server, SocketAddr),
    /// Sends the resident adapters of some engines to all VMs.
    Residents(Vec<EngineResidents>),
    /// Sends a heartbeat to all VMs.
    Heartbeat,
    /// Writes a log event.
    Log(Record),
}

/// The number of low bits that distinguish the orders of one scheduler.
const ORDER_BITS: u32 = 24;

/// Returns the number before a scheduler's first order. Fencing tokens that differ in the low 32 bits of the
/// revision or in the low 8 bits of its era give different numbers.
const fn order_base(fence: u64) -> OrderId {
    let era = fence >> 40;
    (fence << ORDER_BITS) ^ (era << (u64::BITS - 8))
}

/// The scheduler of one service: its engines, its requests and when it next runs.
#[derive(Debug)]
pub struct Scheduler {
    /// What each engine of the service can hold and run.
    pub(crate) engine_spec: EngineSpec,
    /// When this VM became the service's scheduler.
    started_at: Instant,
    /// Fencing token that this scheduler's orders carry.
    fence: u64,
    /// The number before this scheduler's first order.
    order_base: OrderId,
    pub(crate) settings: Settings,
    /// The service's engines that the key-value service lists.
    pub(crate) engines: BTreeMap<Server, Engine>,
    /// Requests that wait for a placement or run at an engine.
    pub(crate) requests: RequestTable,
    /// Adapters of the service, with their demand and versions.
    pub(crate) adapters: AdapterTable,
    /// Estimated time to load an adapter from the weight store.
    pub(crate) load_time: Span,
    /// Estimated number of adapters of which an engine keeps local copies.
    pub(crate) local_copies: LocalCopies,
    /// Index from each adapter to the engines that recently held it.
    pub(crate) recent_engines: RecentEngines,
    /// The measured speeds of the engines, compared.
    pub(crate) speeds: Comparison,
    /// The longest pauses of streams.
    pub(crate) pauses: PauseHistory,
    /// The share of requests that were refused lately.
    pub(crate) refusals: Refusals,
    /// Number of streams that paused for longer than their callers allow, since the last log line with the state.
    pub(crate) paused_streams: u32,
    /// Builds of which only one usable engine is there, while several engines of another build are.
    pub(crate) lone_builds: BTreeSet<Option<Build>>,
    /// Limits the rate of base model loads from the weight store.
    pub(crate) base_load_bucket: BaseLoadBucket,
    /// Limits the number of base model loads from the weight store at once.
    pub(crate) base_load_limit: BaseLoadLimit,
    /// Engines that have fallen behind, and the requests withdrawn from them.
    pub(crate) stalls: StallTable,
    /// Claims of callers that were refused.
    pub(crate) claims: ClaimTable,
    /// Decisions made because capacity is scarce, for the metrics.
    pub(crate) contention: ContentionCounts,
    /// Shares of the accounts whose requests wait.
    pub(crate) shares: ShareTable,
    /// What requests of each priority needed recently.
    pub(crate) urgency: Urgency,
    /// Rates of placements and loads.
    pub(crate) throughput: Throughput,
    /// Adapters of which requests were refused and none was served since.
    pub(crate) unserved: UnservedTable,
    /// Number of the last order that was sent.
    pub(crate) last_order: OrderId,
    /// Log events recorded since the last run, written by the next run.
    pub(crate) pending_logs: Vec<Record>,
    /// Whether anything changed since the last run.
    changed: bool,
    /// Sets the shortest time between two runs.
    run_interval: RunInterval,
    /// When the next run is due if nothing changes before.
    pub(crate) due: Instant,
    /// When the next heartbeat is due.
    heartbeat_due: Instant,
    /// When the next message about resident adapters is due.
    residents_due: Instant,
    /// Last engine of the previous message about resident adapters; `None` if the next message starts from the
    /// first engine.
    last_residents_server: Option<Server>,
    /// Last engine whose speed the previous log line with the state contains; `None` if the next one starts from the
    /// first engine.
    last_speed_server: Option<Server>,
    /// When the next log line with the state is due.
    summary_due: Instant,
    /// Number of VMs that receive the heartbeats and the messages about resident adapters.
    vm_count: usize,
}

impl Scheduler {
    /// Creates a scheduler without engines for the service that `application` describes.
    #[must_use]
    pub fn new(now: Instant, application: &ServiceConfig, fence: u64, settings: Settings) -> Self {
        let engine_spec = application.engine.clone().unwrap_or_else(|| EngineSpec {
            batch: 1,
            tokens: 0,
            memory_mb: 0.0,
            adapter_slots: 0,
            loads_per_s: 0.0,
            models: Vec::new(),
        });
        Self {
            base_load_bucket: BaseLoadBucket::new(now, engine_spec.loads_per_s),
            base_load_limit: BaseLoadLimit::default(),
            load_time: settings.tuning.adapter_load,
            local_copies: LocalCopies::default(),
            recent_engines: RecentEngines::default(),
            speeds: Comparison::default(),
            pauses: PauseHistory::default(),
            refusals: Refusals::default(),
            paused_streams: 0,
            lone_builds: BTreeSet::new(),
            engine_spec,
            started_at: now,
            fence,
            engines: BTreeMap::new(),
            requests: RequestTable::default(),
            adapters: AdapterTable::default(),
            stalls: StallTable::default(),
            claims: ClaimTable::default(),
            contention: ContentionCounts::default(),
            shares: ShareTable::default(),
            urgency: Urgency::default(),
            throughput: Throughput::default(),
            unserved: UnservedTable::default(),
            // An order's number contains the fencing token. Each later scheduler of the service has a higher
            // token, so no number is used twice.
            order_base: order_base(fence),
            last_order: order_base(fence),
            pending_logs: Vec::new(),
            changed: true,
            run_interval: RunInterval::default(),
            due: now,
            heartbeat_due: now,
            residents_due: now,
            last_residents_server: None,
            last_speed_server: None,
            summary_due: now,
            vm_count: 0,
            settings,
        }
    }

    /// Returns the fencing token that this scheduler's orders carry.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Replaces the fencing token by a higher one, since this VM has written its leadership again.
    pub(crate) fn raise_fence(&mut self, now: Instant, fence: u64) {
        self.fence = fence;
        self.heartbeat_due = now;
        self.changed = true;
    }

    /// Returns when [`Self::run`] is next to be called: soon after a change, otherwise when the next timeout or
    /// periodic message is due.
    #[must_use]
    pub fn next_run(&self) -> Instant {
        let due = if self.changed {
            self.due.min(self.run_interval.start_after_change())
        } else {
            self.due
        };
        due.max(self.run_interval.earliest_start())
    }

    /// Records how long the last run took, including the work to carry out its decisions.
    pub fn record_run_duration(&mut self, span: Span) {
        self.run_interval.record_duration(span);
    }

    /// Returns when this VM became the service's scheduler.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns whether the scheduler's runs take so long that its VM is too weak for it.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.run_interval.is_overloaded()
    }

    /// Adds an engine or updates its entry. Resets the engine if the entry names another incarnation of it.
    pub fn update_server(&mut self, server: &Server, backend: &Arc<Backend>) {
        self.changed = true;
        match self
            .engines
            .get_mut(server)
            .map(|engine| engine.update_backend(backend))
        {
            Some(true) => self.reset_engine(server, backend.start),
            Some(false) => {}
            None => {
                let mut engine = Engine::new(backend.clone());
                engine.running =
                    u32::try_from(self.requests.at_server(server).len()).unwrap_or(u32::MAX);
                self.engines.insert(server.clone(), engine);
            }
        }
    }

    /// Resets an engine that has restarted: it holds nothing, and the requests placed there before are removed.
    /// The VMs of these requests detect the failures themselves.
    pub(crate) fn reset_engine(&mut self, server: &Server, incarnation: Option<Incarnation>) {
        for id in self.requests.at_server(server) {
            self.remove_request(&id);
        }
        self.stalls.forget(server);
        if let Some(engine) = self.engines.get_mut(server) {
            engine.reset(incarnation);
            self.recent_engines
                .remove_engine(server, &mut engine.recent_adapters);
        }
    }

    /// Removes an engine whose entry is gone.
    pub fn remove_server(&mut self, server: &Server) {
        self.changed = true;
        self.stalls.forget(server);
        if let Some(mut engine) = self.engines.remove(server) {
            self.recent_engines
                .remove_engine(server, &mut engine.recent_adapters);
        }
    }

    /// Sets the number of requests per second that an engine accepts from all VMs together; `None` if it has no
    /// limit.
    pub(crate) fn set_rate_limit(&mut self, now: Instant, server: &Server, limit: Option<Rate>) {
        self.changed = true;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        match (limit, &mut engine.rate_limiter) {
            (Some(rate), Some(rate_limiter)) => rate_limiter.set_rate(now, rate),
            (Some(rate), None) => engine.rate_limiter = Some(RateLimiter::new(now, rate)),
            (None, _) => engine.rate_limiter = None,
        }
    }

    /// Records that an engine announced at `at` that it shuts down.
    pub(crate) fn set_leaving(&mut self, server: &Server, at: Instant) {
        self.changed = true;
        match self.engines.get_mut(server) {
            Some(engine) if engine.leaving == Leaving::No => engine.leaving = Leaving::Draining(at),
            Some(_) | None => {}
        }
    }

    /// Starts a cooldown of `span` for a VM, a request of which an engine rejected.
    pub(crate) fn start_cooldown(&mut self, now: Instant, vm: &Vm, server: &Server, span: Span) {
        self.changed = true;
        if let Some(engine) = self.engines.get_mut(server) {
            engine.cooldown.start(now, vm, span);
        }
    }

    /// Stops using the engines that shut down. If no other engine is available, they stay in use for the period
    /// that [`last_resort_period`] returns.
    fn update_leaving(&mut self, now: Instant) {
        let period = last_resort_period(self.settings.tuning.drain);
        let is_staying = |engine: &Engine| {
            engine.state_known && engine.backend.ready && engine.leaving == Leaving::No
        };
        let any_staying = self.engines.values().any(is_staying);
        for engine in self.engines.values_mut() {
            engine.leaving = match engine.leaving {
                Leaving::Draining(at) | Leaving::Excluded(at)
                    if any_staying || now.since(at) >= period =>
                {
                    Leaving::Excluded(at)
                }
                Leaving::Draining(at) | Leaving::Excluded(at) => Leaving::Draining(at),
                Leaving::No => Leaving::No,
            };
        }
    }

    /// Finds the builds of which only one usable engine is there.
    fn update_lone_builds(&mut self) {
        let mut counts: BTreeMap<Option<Build>, usize> = BTreeMap::new();
        for engine in self.engines.values().filter(|engine| engine.is_usable()) {
            *counts.entry(engine.backend.build.0.clone()).or_default() += 1;
        }
        let has_lasting = counts.values().any(|count| *count > 1);
        let lone = counts.into_iter().filter(|(_, count)| *count == 1);
        self.lone_builds = lone
            .filter(|_| has_lasting)
            .map(|(build, _)| build)
            .collect();
    }

    /// Records that a newer version of an adapter was published at `at`; `None` if the time is unknown and may be
    /// long past.
    pub fn update_adapter_version(
        &mut self,
        model: &Arc<str>,
        adapter: &Arc<str>,
        version: Version,
        at: Option<Instant>,
    ) {
        self.changed = true;
        let id = self.adapters.intern(model, adapter);
        let at = at.filter(|_| self.settings.uses(Feature::OldVersions));
        self.adapters.record_version(id, version, at);
    }

    /// Adds a request of a VM that waits for a placement.
    pub fn enqueue(
        &mut self,
        now: Instant,
        vm: &Vm,
        placement: PlacementRequest,
        detail: PlacementDetail,
    ) {
        self.changed = true;
        let id = VmRequestId {
            vm: vm.clone(),
            request: placement.request,
        };
        let adapter = self.intern_adapter(&placement.work);
        let mut request = ScheduledRequest::waiting(now, placement, detail, adapter);
        self.apply_claim(now, &id, &mut request);
        self.apply_share(&id, &mut request);
        self.expedite(now, &id, &mut request);
        self.urgency.record_arrival(now, request.priority);
        let is_new = request.failed.is_empty() && self.requests.get(&id).is_none();
        if is_new {
            self.refusals.record_request(now);
        }
        if let Some(adapter) = adapter.filter(|_| is_new) {
            self.adapters.record_request(adapter, now);
        }
        self.release(&id);
        self.requests.insert(id, request);
    }

    /// Updates a placed request with what its VM reports of its progress.
    pub fn update_progress(
        &mut self,
        now: Instant,
        vm: &Vm,
        request: RequestId,
        progress: Progress,
    ) {
        self.changed = true;
        let id = VmRequestId {
            vm: vm.clone(),
            request,
        };
        match progress {
            Progress::AnswerStarted => self.record_answer_started(now, &id),
            Progress::Finished => {
                self.record_left(now, &id);
                self.remove_request(&id);
            }
            Progress::Streamed(timing) => {
                self.record_stream(now, &id, &timing);
                self.remove_request(&id);
            }
            Progress::Failed(ran, cause) => self.record_attempt_failed(now, &id, ran, cause),
        }
    }

    /// Records a request that ends while it waits for a placement.
    fn record_left(&mut self, now: Instant, id: &VmRequestId) {
        let waiting = self.requests.get(id).filter(|request| request.is_waiting());
        if let Some(adapter) = waiting.and_then(|request| request.adapter) {
            let cause = Cause {
                reason: "Left".to_owned(),
                block: None,
            };
            self.unserved.record_unserved(now, adapter, id, cause);
        }
    }

    /// Replaces all requests of a VM by those that the VM reports as running and waiting.
    pub fn resync_vm(
        &mut self,
        now: Instant,
        vm: &Vm,
        running: &[Running],
        waiting: Vec<PlacementRequest>,
    ) {
        self.remove_vm(vm);
        for run in running {
            let id = VmRequestId {
                vm: vm.clone(),
                request: run.request,
            };
            let adapter = self.intern_adapter(&run.work);
            let request = ScheduledRequest::running(now, run, adapter);
            self.occupy(&request, &run.server);
            self.requests.insert(id, request);
        }
        for placement in waiting {
            self.enqueue(now, vm, placement, PlacementDetail::default());
        }
    }

    /// Removes a VM that is gone, with all of its requests.
    pub fn remove_vm(&mut self, vm: &Vm) {
        self.changed = true;
        for id in self.requests.of_vm(vm) {
            self.remove_request(&id);
        }
    }

    /// Applies the outcome of an order. Returns whether a server has seen a higher fencing token.
    pub fn handle_order_outcome(
        &mut self,
        now: Instant,
        order: OrderId,
        outcome: OrderOutcome,
    ) -> bool {
        self.changed = true;
        self.apply_order_outcome(now, order, outcome)
    }

    /// Sets the number of VMs that receive the heartbeats and the messages about resident adapters.
    pub fn set_vm_count(&mut self, vm_count: usize) {
        self.vm_count = vm_count;
    }

    /// Sets whether requests may be withdrawn from engines that have fallen behind, by the routes of the service.
    pub(crate) fn set_allows_withdrawals(&mut self, allows: bool) {
        self.stalls
            .set_enabled(allows && self.settings.uses(Feature::StalledEngines));
    }

    /// Returns whether this scheduler sent the order.
    #[must_use]
    pub fn owns(&self, order: OrderId) -> bool {
        order >> ORDER_BITS == self.order_base >> ORDER_BITS
    }

    /// Applies an engine's report; `None` if the engine did not answer.
    pub fn handle_report(&mut self, now: Instant, server: &Server, report: Option<&Report>) {
        self.changed = true;
        self.apply_report(now, server, report);
    }

    /// Runs the scheduler if a run is due, and appends its decisions to `out`.
    pub fn run(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if now < self.next_run() {
            return;
        }
        self.changed = false;
        self.run_interval.record_start(now);
        self.due = now + HEARTBEAT_INTERVAL;
        out.extend(self.pending_logs.drain(..).map(Decision::Log));
        self.apply_elapsed_time(now, out);
        let stalled = self.update_stalled(now, out);
        self.update_rates(now);
        self.update_deprioritized(now);
        self.update_leaving(now);
        self.update_lone_builds();
        let residency = self.residency(now);
        self.place_requests(now, &residency, out);
        self.withdraw_requests(now, &stalled, &residency, out);
        let forecasts = self.forecast(now, &residency);
        let blocks = self.plan_loads(now, &forecasts, residency, out);
        self.refuse_unservable(now, &forecasts, &blocks, out);
        self.update_shares(now, &forecasts, out);
        self.log_unserved(now, out);
        self.send_orders(now, out);
        self.send_periodic(now, out);
    }

    /// Returns the id of the adapter that the request names; `None` if it names none.
    fn intern_adapter(&mut self, work: &InferenceSpec) -> Option<AdapterId> {
        let adapter = work.adapter.as_ref()?;
        Some(self.adapters.intern(&work.model, adapter))
    }

    /// Updates which engines are deprioritized because they fail the most requests or have fallen behind.
    fn update_deprioritized(&mut self, now: Instant) {
        let health: Vec<&Health> = self.engines.values().map(|engine| &engine.health).collect();
        let enabled = self.settings.uses(Feature::HealthRanking);
        let deprioritized = if enabled {
            deprioritized(now, &health)
        } else {
            Vec::new()
        };
        for (index, (server, engine)) in self.engines.iter_mut().enumerate() {
            let is_stalled = self.stalls.excludes(now, server, engine);
            engine.deprioritized = deprioritized.contains(&index) || is_stalled;
        }
    }

    /// Makes the next run due at `at` at the latest.
    pub(crate) fn run_by(&mut self, at: Instant) {
        self.due = self.due.min(at);
    }

    /// Returns a description of each invariant that does not hold.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (server, engine) in &self.engines {
            let held = engine.occupied_slots();
            if held > self.engine_spec.adapter_slots
                && self.engine_spec.adapter_slots > 0
                && engine.state_known
            {
                violations.push(format!(
                    "{server} holds {held} adapters in {} slots",
                    self.engine_spec.adapter_slots
                ));
            }
            let running = self.requests.at_server(server).len();
            if running != engine.running as usize {
                let counted = engine.running;
                violations.push(format!(
                    "{server}: {counted} requests counted, {running} placed"
                ));
            }
            for (adapter, slot) in &engine.slots {
                let running = self.requests.count_using(server, *adapter);
                if running != slot.running {
                    violations.push(format!(
                        "{server} {}: {} requests counted, {running} placed",
                        self.adapters.name(*adapter).adapter,
                        slot.running
                    ));
                }
            }
        }
        violations
    }

    /// Appends the heartbeat, the message about resident adapters and the log line with the state, as far as they
    /// are due.
    fn send_periodic(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            out.push(Decision::Heartbeat);
        }
        if now >= self.residents_due {
            let interval = RESIDENTS_INTERVAL_PER_VM.times(self.vm_count as u64);
            self.residents_due = now + interval.max(MIN_RESIDENTS_INTERVAL);
            let rows = self.next_residents();
            out.push(Decision::Residents(rows));
        }
        if now >= self.summary_due {
            self.summary_due = now + SUMMARY_INTERVAL;
            let summary = self.summary(now);
            out.push(Decision::Log(summary));
        }
        let next = self
            .heartbeat_due
            .min(self.residents_due)
            .min(self.summary_due);
        self.run_by(next);
    }

    /// Returns the resident adapters of the engines that the next message is to contain.
    fn next_residents(&mut self) -> Vec<EngineResidents> {
        let after = match self.last_residents_server.take() {
            Some(server) => (Bound::Excluded(server), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let listed = self.engines.range(after).take(MAX_RESIDENTS_ROWS);
        let holding = |(server, engine): (&Server, &Engine)| EngineResidents {
            server: server.clone(),
            adapters: engine.resident_adapters(&self.adapters),
        };
        let rows: Vec<EngineResidents> = listed.map(holding).collect();
        if rows.len() == MAX_RESIDENTS_ROWS {
            self.last_residents_server = rows.last().map(|row| row.server.clone());
        }
        rows
    }
}
