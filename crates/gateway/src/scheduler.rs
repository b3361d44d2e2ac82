//! The scheduler of one service's engines: which adapter is loaded where, and which request goes to which engine.
//!
//! It runs on the VM that holds the service's leadership. VMs ask it for a place for each request and tell it how the
//! request goes, so it knows what runs where without asking the engines. An adapter that a request uses is never
//! chosen to make room, and the engines themselves refuse what they can't run.

mod adapter_cache;
mod admission;
mod capacity;
pub(crate) mod client;
mod cooldown;
mod dispatch;
mod engine;
mod forecast;
mod host;
mod job;
mod key;
mod load;
mod order;
mod popularity;
mod prefix_cache;
mod reservations;
mod residency;
mod run;
mod run_interval;
mod summary;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::log::Record;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::snapshot::{Backend, Version};
use crate::config::{EngineSpec, ServiceConfig};
use crate::effect::{Order, OrderId};
use crate::event::{InferenceSpec, OrderOutcome, Report, RequestId};
use crate::feature::Feature;
use crate::message::{EngineResidents, PlacementRequest, Progress, Running};
use crate::request::health::{Health, deprioritized};
use crate::request::notice::Rate;
use crate::request::notice::leaving::last_resort_period;
use crate::request::notice::rate_limiter::RateLimiter;
use crate::settings::Settings;

use self::adapter_cache::{Beside, Remembering};
use self::engine::{Engine, Leaving};
use self::job::{Job, JobId, Jobs};
use self::key::{Key, Keys};
use self::load::BaseRate;
use self::run_interval::Pace;

/// How often VMs are told that the scheduler is there: three fit into the silence after which they go on alone.
const ALIVE_EVERY: Span = Span::from_millis(250);

/// How often VMs are told what is resident, for the time without a scheduler, where they are few.
const RESIDENTS_EVERY: Span = Span::from_millis(1_000);

/// The time that each VM adds to that where they are many: what all are told together, at most [`RESIDENTS_ROWS`] engines of
/// some 120 bytes each, stays below 200 KB a second whatever their number, a sixth of the smallest link.
const RESIDENTS_EACH: Span = Span::from_millis(40);

/// Engines in one digest of what is resident; where there are more, each digest goes on after the last one. VMs know what
/// they were sent to themselves as well, so a digest that comes round slowly costs little.
const RESIDENTS_ROWS: usize = 64;

/// The time between two lines on its state in the log.
const SUMMARY_EVERY: Span = Span::from_millis(1_000);

/// Something that the scheduler decided.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A request of a VM goes to a server, which must hold the adapter's version.
    Place(Vm, RequestId, Server, Option<Version>),
    /// A request of a VM can't be served in time and may come back after the span.
    Refuse(Vm, RequestId, Span),
    /// An order to a server.
    Order(OrderId, Server, SocketAddr, Order),
    /// A server is asked for its report.
    QueryReport(Server, SocketAddr),
    /// What some engines hold, for all VMs.
    Residents(Vec<EngineResidents>),
    /// The scheduler is there, for all VMs.
    Heartbeat,
    /// A log event.
    Log(Record),
}

/// The scheduler of one service.
#[derive(Debug)]
pub struct Scheduler {
    /// What its engines hold.
    pub(crate) shape: EngineSpec,
    /// When it began.
    started_at: Instant,
    /// The fencing number of its orders.
    fence: u64,
    /// What this VM was told.
    pub(crate) settings: Settings,
    /// The engines.
    pub(crate) engines: BTreeMap<Server, Engine>,
    /// The requests that wait or run.
    pub(crate) jobs: Jobs,
    /// The adapters.
    pub(crate) keys: Keys,
    /// The time a load of an adapter takes, as measured.
    pub(crate) load_time: Span,
    /// How many adapters lie beside each engine.
    pub(crate) beside: Beside,
    /// The engines that remember each adapter.
    pub(crate) remembering: Remembering,
    /// The rate of loads of base models.
    pub(crate) base_rate: BaseRate,
    /// The last order's number.
    pub(crate) last_order: OrderId,
    /// Log events of what came back since the last run.
    pub(crate) notes: Vec<Record>,
    /// Whether something changed since the last run.
    dirty: bool,
    /// How often it runs.
    pace: Pace,
    /// When the next run is due without a change.
    pub(crate) due: Instant,
    /// When VMs are next told that the scheduler is there.
    alive_due: Instant,
    /// When VMs are next told what is resident.
    residents_due: Instant,
    /// The last engine that they were told of.
    told: Option<Server>,
    /// When the next line on its state is due.
    summary_due: Instant,
    /// The VMs that are told.
    vms: usize,
}

impl Scheduler {
    /// A scheduler that knows no engine yet.
    #[must_use]
    pub fn new(now: Instant, application: &ServiceConfig, fence: u64, settings: Settings) -> Self {
        let shape = application.engine.clone().unwrap_or_else(|| EngineSpec {
            batch: 1,
            tokens: 0,
            memory_mb: 0.0,
            places: 0,
            loads_per_s: 0.0,
            models: Vec::new(),
        });
        Self {
            base_rate: BaseRate::new(now, shape.loads_per_s),
            load_time: settings.tuning.adapter_load,
            beside: Beside::default(),
            remembering: Remembering::default(),
            shape,
            started_at: now,
            fence,
            engines: BTreeMap::new(),
            jobs: Jobs::default(),
            keys: Keys::default(),
            // Numbers of orders are never used twice: a later scheduler has a higher fencing number.
            last_order: fence << 24,
            notes: Vec::new(),
            dirty: true,
            pace: Pace::default(),
            due: now,
            alive_due: now,
            residents_due: now,
            told: None,
            summary_due: now,
            vms: 0,
            settings,
        }
    }

    /// The fencing number of its orders.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// When it is to be run next: soon after a change, else when time alone moves something.
    #[must_use]
    pub fn next_run(&self) -> Instant {
        let due = if self.dirty {
            self.due.min(self.pace.soon())
        } else {
            self.due
        };
        due.max(self.pace.soonest())
    }

    /// The last run took so long, with what was done for it.
    pub fn record_run_duration(&mut self, span: Span) {
        self.pace.took(span);
    }

    /// When it began.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether its VM is too weak for it.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.pace.is_overloaded()
    }

    /// An engine is listed, or describes itself anew.
    pub fn update_server(&mut self, server: &Server, backend: &Arc<Backend>) {
        self.dirty = true;
        match self
            .engines
            .get_mut(server)
            .map(|engine| engine.described(backend))
        {
            Some(true) => self.restarted(server, backend.start),
            Some(false) => {}
            None => {
                let mut engine = Engine::new(backend.clone());
                engine.running = u32::try_from(self.jobs.at(server).len()).unwrap_or(u32::MAX);
                self.engines.insert(server.clone(), engine);
            }
        }
    }

    /// An engine has started again: it holds nothing, and what was given to it before runs no longer. Its callers' VMs find
    /// that out by themselves.
    pub(crate) fn restarted(&mut self, server: &Server, start: Option<Incarnation>) {
        for id in self.jobs.at(server) {
            self.job_over(&id);
        }
        if let Some(engine) = self.engines.get_mut(server) {
            engine.restarted(start);
            self.remembering.forget(server, &mut engine.recent);
        }
    }

    /// An engine is gone.
    pub fn server_gone(&mut self, server: &Server) {
        self.dirty = true;
        if let Some(mut engine) = self.engines.remove(server) {
            self.remembering.forget(server, &mut engine.recent);
        }
    }

    /// An engine names a limit to the requests a second that it takes from all VMs together, or none any more.
    pub(crate) fn set_rate_limit(&mut self, now: Instant, server: &Server, limit: Option<Rate>) {
        self.dirty = true;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        match (limit, &mut engine.rate_limiter) {
            (Some(rate), Some(rate_limiter)) => rate_limiter.set_rate(now, rate),
            (Some(rate), None) => engine.rate_limiter = Some(RateLimiter::new(now, rate)),
            (None, _) => engine.rate_limiter = None,
        }
    }

    /// An engine says that it is leaving, as was first heard at a time.
    pub(crate) fn set_leaving(&mut self, server: &Server, at: Instant) {
        self.dirty = true;
        match self.engines.get_mut(server) {
            Some(engine) if engine.leaving == Leaving::No => engine.leaving = Leaving::Since(at),
            Some(_) | None => {}
        }
    }

    /// An engine has turned a request of a VM away and asked for rest.
    pub(crate) fn start_cooldown(&mut self, now: Instant, vm: &Vm, server: &Server, span: Span) {
        self.dirty = true;
        if let Some(engine) = self.engines.get_mut(server) {
            engine.cooldown.ask(now, vm, span);
        }
    }

    /// Closes the engines that leave. Where no other one is there they are used for a while.
    fn close_leaving(&mut self, now: Instant) {
        let last = last_resort_period(self.settings.tuning.drain);
        let stays =
            |engine: &Engine| engine.known && engine.backend.ready && engine.leaving == Leaving::No;
        let any = self.engines.values().any(stays);
        for engine in self.engines.values_mut() {
            engine.leaving = match engine.leaving {
                Leaving::Since(at) | Leaving::Closed(at) if any || now.since(at) >= last => {
                    Leaving::Closed(at)
                }
                Leaving::Since(at) | Leaving::Closed(at) => Leaving::Since(at),
                Leaving::No => Leaving::No,
            };
        }
    }

    /// A newer version of an adapter is named.
    /// Where it may have been named long ago, `at` is none.
    pub fn update_adapter_version(
        &mut self,
        model: &Arc<str>,
        adapter: &Arc<str>,
        version: Version,
        at: Option<Instant>,
    ) {
        self.dirty = true;
        let key = self.keys.key(model, adapter);
        let at = at.filter(|_| self.settings.uses(Feature::OldVersions));
        self.keys.named(key, version, at);
    }

    /// A VM wants a place for a request.
    pub fn enqueue(&mut self, now: Instant, vm: &Vm, want: PlacementRequest) {
        self.dirty = true;
        let id = JobId {
            vm: vm.clone(),
            request: want.request,
        };
        let key = self.key_of(&want.work);
        let job = Job::waiting(now, want, key);
        let new = job.failed.is_empty() && self.jobs.get(&id).is_none();
        if let Some(key) = key.filter(|_| new) {
            self.keys.asked(key, now);
        }
        self.release(&id);
        self.jobs.insert(id, job);
    }

    /// A VM says how a request goes.
    pub fn update_progress(
        &mut self,
        now: Instant,
        vm: &Vm,
        request: RequestId,
        progress: Progress,
    ) {
        self.dirty = true;
        let id = JobId {
            vm: vm.clone(),
            request,
        };
        match progress {
            Progress::AnswerStarted => self.job_begun(now, &id),
            Progress::Finished => self.job_over(&id),
            Progress::Failed(ran, cause) => self.job_failed(now, &id, ran, cause),
        }
    }

    /// A VM says all that runs and waits there, in place of all it said before.
    pub fn resync_vm(
        &mut self,
        now: Instant,
        vm: &Vm,
        running: &[Running],
        wants: Vec<PlacementRequest>,
    ) {
        self.vm_gone(vm);
        for run in running {
            let id = JobId {
                vm: vm.clone(),
                request: run.request,
            };
            let key = self.key_of(&run.work);
            let job = Job::running(now, run, key);
            self.occupy(&job, &run.server);
            self.jobs.insert(id, job);
        }
        for want in wants {
            self.enqueue(now, vm, want);
        }
    }

    /// A VM is gone, and its requests with it.
    pub fn vm_gone(&mut self, vm: &Vm) {
        self.dirty = true;
        for id in self.jobs.of(vm) {
            self.job_over(&id);
        }
    }

    /// An order came back. Says whether a server has seen a higher fencing number.
    pub fn handle_order_outcome(
        &mut self,
        now: Instant,
        order: OrderId,
        outcome: OrderOutcome,
    ) -> bool {
        self.dirty = true;
        self.order_answered(now, order, outcome)
    }

    /// How many VMs are told what is resident.
    pub fn set_vm_count(&mut self, vms: usize) {
        self.vms = vms;
    }

    /// Whether an order is one of this scheduler's.
    #[must_use]
    pub fn owns(&self, order: OrderId) -> bool {
        order >> 24 == self.fence
    }

    /// An engine's report came, or it gave none.
    pub fn handle_report(&mut self, now: Instant, server: &Server, report: Option<&Report>) {
        self.dirty = true;
        self.take_report(now, server, report);
    }

    /// Decides what can be decided now.
    pub fn run(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if now < self.next_run() {
            return;
        }
        self.dirty = false;
        self.pace.begin(now);
        self.due = now + ALIVE_EVERY;
        out.extend(self.notes.drain(..).map(Decision::Log));
        self.settle(now, out);
        self.judge(now);
        self.close_leaving(now);
        let spread = self.spread(now);
        self.place_jobs(now, &spread, out);
        let waits = self.forecast(now, &spread);
        self.plan_loads(now, &waits, spread, out);
        self.refuse_jobs(now, &waits, out);
        self.send_orders(now, out);
        self.tell(now, out);
    }

    /// The adapter that work names, if any.
    fn key_of(&mut self, work: &InferenceSpec) -> Option<Key> {
        let adapter = work.adapter.as_ref()?;
        Some(self.keys.key(&work.model, adapter))
    }

    /// Has the engines that fail most come last for now.
    fn judge(&mut self, now: Instant) {
        let health: Vec<&Health> = self.engines.values().map(|engine| &engine.health).collect();
        let used = self.settings.uses(Feature::HealthRanking);
        let last = if used {
            deprioritized(now, &health)
        } else {
            Vec::new()
        };
        for (at, engine) in self.engines.values_mut().enumerate() {
            engine.last = last.contains(&at);
        }
    }

    /// Has the next run come no later than at a time.
    pub(crate) fn by(&mut self, at: Instant) {
        self.due = self.due.min(at);
    }

    /// Everything that does not hold together.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (server, engine) in &self.engines {
            let held = engine.held();
            if held > self.shape.places && self.shape.places > 0 && engine.known {
                faults.push(format!(
                    "{server} holds {held} adapters of {}",
                    self.shape.places
                ));
            }
            let running = self.jobs.at(server).len();
            if running != engine.running as usize {
                let counted = engine.running;
                faults.push(format!("{server}: {counted} counted, {running} run"));
            }
            for (key, place) in &engine.places {
                let used = self.jobs.using(server, *key);
                if used != place.used {
                    faults.push(format!(
                        "{server} {}: {} counted, {used} run",
                        self.keys.name(*key).adapter,
                        place.used
                    ));
                }
            }
        }
        faults
    }

    fn tell(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if now >= self.alive_due {
            self.alive_due = now + ALIVE_EVERY;
            out.push(Decision::Heartbeat);
        }
        if now >= self.residents_due {
            let all = RESIDENTS_EACH.times(self.vms as u64);
            self.residents_due = now + all.max(RESIDENTS_EVERY);
            let rows = self.next_residents();
            out.push(Decision::Residents(rows));
        }
        if now >= self.summary_due {
            self.summary_due = now + SUMMARY_EVERY;
            out.push(Decision::Log(self.summary(now)));
        }
        let next = self.alive_due.min(self.residents_due).min(self.summary_due);
        self.by(next);
    }

    /// What the engines hold whose turn it is to be told of.
    fn next_residents(&mut self) -> Vec<EngineResidents> {
        let after = match self.told.take() {
            Some(server) => (Bound::Excluded(server), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let turn = self.engines.range(after).take(RESIDENTS_ROWS);
        let holding = |(server, engine): (&Server, &Engine)| EngineResidents {
            server: server.clone(),
            adapters: engine.residents(&self.keys),
        };
        let rows: Vec<EngineResidents> = turn.map(holding).collect();
        if rows.len() == RESIDENTS_ROWS {
            self.told = rows.last().map(|row| row.server.clone());
        }
        rows
    }
}
