//! Callers that compete for the adapter slots and loads of engines, and a scheduler that serves them in virtual
//! time. Each caller that is refused retries once, after the time that it was given.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::TokenRate;
use dahliastile_gateway::effect::Order;
use dahliastile_gateway::event::{Execution, FailureCause, OrderOutcome};
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use dahliastile_gateway::message::{PlacementDetail, PlacementRequest, Progress, Running};
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use super::engine::{Engine, LOAD_TIME};
use super::setup::{self, name};

/// By how much demand moves: the adapters of a later time are those this far behind in the order of popularity.
const ADAPTER_SHIFT: u32 = 60;
/// Events whose log lines an outcome contains.
const LOGGED_EVENTS: [u16; 3] = [427, 516, 533];
/// VMs that callers reach; a retry reaches another one.
const VMS: usize = 20;

/// One kind of request: its rate and what its callers expect.
#[derive(Clone, Copy)]
struct Kind {
    per_s: f64,
    prompt: u32,
    events: u32,
    objective: u64,
    deadline: u64,
    priority: u8,
    /// Value of an answer in time and of a late one.
    value: (f64, f64),
    /// Factor of the rate during the burst.
    burst: f64,
}

/// The engines and the requests of a deployment.
#[derive(Clone, Copy)]
pub struct Deployment {
    /// Engines and adapter slots of each.
    engines: usize,
    slots: usize,
    /// Adapters, and the exponent of their popularity.
    adapters: u32,
    zipf: f64,
    /// Tokens of one event of a stream.
    event_tokens: u32,
    kinds: &'static [Kind],
    /// Time to load the base model from the weight store, and number of such loads at full speed.
    base_load: (Span, f64),
    /// Adapter loads at full speed; `None` if their number has no effect.
    adapter_loads: Option<u32>,
    /// Whether the deadline of a retry is that of the caller's first try.
    keeps_deadline: bool,
    /// Time between two verifications of the scheduler's invariants.
    verify_interval: Span,
}

impl Deployment {
    /// Returns the same deployment with base models that take this time to load alone, while the weight store serves `at_once`
    /// loads at full speed.
    pub fn with_base_load(self, alone: Span, at_once: f64) -> Self {
        Self {
            base_load: (alone, at_once),
            ..self
        }
    }
}

/// A third of the first deployment of `docs/design/contention.md`.
pub const REVIEWS: Deployment = Deployment {
    engines: 30,
    slots: 4,
    adapters: 2_000,
    zipf: 1.2,
    event_tokens: 4,
    kinds: &REVIEW_KINDS,
    base_load: (Span::from_millis(720), 1.0),
    adapter_loads: None,
    keeps_deadline: false,
    verify_interval: Span::ZERO,
};

/// The passage plans of the large installation, in full.
pub const PASSAGES: Deployment = Deployment {
    engines: 78,
    slots: 5,
    adapters: 24_000,
    zipf: 1.2,
    event_tokens: 2,
    kinds: &PASSAGE_KINDS,
    base_load: (Span::from_millis(3_900), 4.0),
    adapter_loads: Some(32),
    keeps_deadline: true,
    verify_interval: Span::from_millis(100),
};

/// Briefing narrative, passage plan and berth sequence.
const PASSAGE_KINDS: [Kind; 3] = [
    Kind {
        per_s: 71.0,
        prompt: 1_460,
        events: 86,
        objective: 1_000,
        deadline: 15_000,
        priority: 0,
        value: (2.3, 0.7),
        burst: 1.0,
    },
    Kind {
        per_s: 242.0,
        prompt: 2_368,
        events: 11,
        objective: 1_000,
        deadline: 5_000,
        priority: 1,
        value: (1.8, 0.53),
        burst: 1.0,
    },
    Kind {
        per_s: 29.0,
        prompt: 2_368,
        events: 11,
        objective: 1_000,
        deadline: 15_000,
        priority: 1,
        value: (1.8, 0.53),
        burst: 1.0,
    },
];

/// Notarial review, lender review and summary draft, by priority, at a third of their rates.
const REVIEW_KINDS: [Kind; 3] = [
    Kind {
        per_s: 88.0,
        prompt: 2_368,
        events: 6,
        objective: 800,
        deadline: 4_000,
        priority: 0,
        value: (3.1, 0.37),
        burst: 2.5,
    },
    Kind {
        per_s: 21.0,
        prompt: 2_368,
        events: 6,
        objective: 1_000,
        deadline: 12_000,
        priority: 1,
        value: (1.6, 0.49),
        burst: 1.0,
    },
    Kind {
        per_s: 26.0,
        prompt: 1_460,
        events: 43,
        objective: 2_000,
        deadline: 15_000,
        priority: 2,
        value: (1.0, 0.47),
        burst: 2.5,
    },
];

/// Engines that are lost, and empty ones that come in their place.
#[derive(Clone, Copy)]
pub struct Loss {
    /// When they are lost, in milliseconds from the start.
    pub at: u64,
    /// Number of engines.
    pub engines: usize,
    /// Time until as many come, in milliseconds.
    pub replaced_after: u64,
}

/// What varies between the runs of a load.
#[derive(Clone)]
pub struct Load {
    pub deployment: Deployment,
    /// Time from the start at which callers stop to send, in milliseconds.
    pub length: u64,
    /// Time from the start at which the bursts begin and end, in milliseconds.
    pub burst: (u64, u64),
    /// Times at which demand moves to other adapters, in milliseconds from the start.
    pub shifts: Vec<u64>,
    pub losses: Vec<Loss>,
    /// Features that are switched off.
    pub without: Vec<Feature>,
    /// Factor of all rates.
    pub scale: f64,
    /// Number of accounts, with a Zipf distribution of their requests; 0 for requests without an account.
    pub accounts: usize,
    /// Factor of the rate of the fourth account during the burst.
    pub flood: f64,
    /// Whether the kinds have their priorities; otherwise all have priority 0.
    pub priorities: bool,
    /// When another scheduler takes over, if any, in milliseconds from the start.
    pub replaced_at: Option<u64>,
    pub seed: u64,
}

/// A caller with its request and what became of it.
#[derive(Clone, Debug)]
pub struct Caller {
    pub kind: usize,
    pub account: usize,
    adapter: u32,
    first_arrived: Instant,
    arrived: Instant,
    /// How often it was refused.
    pub refusals: u32,
    /// Time from the first try to the first chunk.
    pub first_chunk: Option<Span>,
    /// The longest time for which a try waited that was refused.
    pub held: Span,
    /// Whether its deadline passed while it waited for a placement.
    pub expired: bool,
    /// The engine that its current try was sent to.
    server: Option<Server>,
    has_ended: bool,
    /// Whether its whole answer came.
    pub is_served: bool,
    /// Time from its first try until an answer in time, and value of an answer in time and of a late one.
    objective: Span,
    value: (f64, f64),
    deadline: Span,
}

impl Caller {
    pub fn is_on_time(&self) -> bool {
        self.first_chunk.is_some_and(|span| span <= self.objective)
    }

    /// Returns whether a try was held for half of its time and not sent to an engine.
    pub fn is_held(&self) -> bool {
        self.expired || self.held.times(2) >= self.deadline
    }

    fn value(&self) -> f64 {
        let (on_time, late) = self.value;
        match self.first_chunk {
            Some(_) if self.is_on_time() => on_time,
            Some(_) => late,
            None => 0.0,
        }
    }
}

enum Event {
    Arrival(usize),
    Started(usize),
    Ended(usize),
    Expiry(usize, Instant),
    /// Loses engines.
    Loss(Loss),
    /// Adds this number of engines without a base model.
    Replacement(usize),
    /// Looks whether loads of base models are complete.
    BaseLoads,
}

/// Loads of base models that share the bandwidth of the weight store.
#[derive(Default)]
struct WeightStore {
    /// Milliseconds at full speed until each load is complete.
    remaining: BTreeMap<Server, f64>,
    /// When `remaining` was last computed.
    at: Instant,
}

impl WeightStore {
    /// Returns the speed of each load, where `at_once` loads have full speed.
    #[allow(clippy::cast_precision_loss)]
    fn speed(&self, at_once: f64) -> f64 {
        (at_once / self.remaining.len() as f64).min(1.0)
    }

    /// Returns the engines whose loads are complete.
    fn advance(&mut self, now: Instant, at_once: f64) -> Vec<Server> {
        let done = now.since(self.at).as_secs_f64() * 1e3 * self.speed(at_once);
        self.at = now;
        for left in self.remaining.values_mut() {
            *left -= done;
        }
        let complete = self.remaining.iter().filter(|(_, left)| **left < 0.01);
        let complete: Vec<Server> = complete.map(|(server, _)| server.clone()).collect();
        self.remaining
            .retain(|server, _| !complete.contains(server));
        complete
    }

    /// Returns when the next load is complete.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn next(&self, at_once: f64) -> Option<Instant> {
        let least = self.remaining.values().copied().min_by(f64::total_cmp)?;
        Some(self.at + Span((least / self.speed(at_once) * 1e3).ceil() as u64))
    }
}

/// The outcome of a load.
#[derive(Debug, Default)]
pub struct Outcome {
    pub callers: Vec<Caller>,
    /// Each decision of the scheduler as text, in order.
    pub decisions: Vec<String>,
    /// Number of log events of each kind.
    pub events: BTreeMap<u16, usize>,
    /// Decisions made because capacity is scarce, by the label of the metric.
    pub contention: BTreeMap<&'static str, u32>,
    /// Time from the arrival of empty engines until each holds its base model.
    pub base_loads: Vec<Span>,
    /// Log lines that explain refusals and loads.
    pub lines: Vec<String>,
}

/// What became of the requests for one adapter.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Callers that asked for it, and those that got their whole answer.
    pub callers: usize,
    pub served: usize,
    /// When the first and the last one asked.
    first: Instant,
    last: Instant,
}

impl Asked {
    /// Returns whether it was asked for through the day: four times or more, over 8 s.
    pub fn is_steady(&self) -> bool {
        self.callers >= 4 && self.last.since(self.first) >= Span::from_secs(8)
    }
}

impl Outcome {
    /// Returns how many callers of a kind satisfy a condition.
    pub fn count(&self, kind: usize, condition: impl Fn(&Caller) -> bool) -> usize {
        self.callers
            .iter()
            .filter(|caller| caller.kind == kind && condition(caller))
            .count()
    }

    /// Returns what became of the requests for each adapter.
    pub fn asked(&self) -> BTreeMap<u32, Asked> {
        let mut asked: BTreeMap<u32, Asked> = BTreeMap::new();
        for caller in &self.callers {
            let row = asked.entry(caller.adapter).or_insert_with(|| Asked {
                first: caller.first_arrived,
                ..Asked::default()
            });
            row.callers += 1;
            row.served += usize::from(caller.is_served);
            row.first = row.first.min(caller.first_arrived);
            row.last = row.last.max(caller.first_arrived);
        }
        asked
    }

    /// Returns a digest of all decisions.
    pub fn digest(&self) -> Fingerprint {
        Fingerprint::of(self.decisions.iter().map(String::as_bytes))
    }

    /// Returns the value of all answers as a share of that of answers in time to all callers.
    pub fn value(&self) -> f64 {
        let most: f64 = self.callers.iter().map(|caller| caller.value.0).sum();
        self.callers.iter().map(Caller::value).sum::<f64>() / most
    }

    /// Returns the value, and for each kind how its callers were served.
    pub fn table(&self) -> String {
        let kinds: BTreeSet<usize> = self.callers.iter().map(|caller| caller.kind).collect();
        let rows = kinds.into_iter().map(|kind| {
            let late = |c: &Caller| c.first_chunk.is_some() && !c.is_on_time();
            format!(
                "\n  {kind}: {} on time, {} late, {} refused, {} twice, {} held",
                self.count(kind, Caller::is_on_time),
                self.count(kind, late),
                self.count(kind, |c| c.refusals > 0),
                self.count(kind, |c| c.refusals > 1),
                self.count(kind, Caller::is_held),
            )
        });
        format!("value {:.3}{}", self.value(), rows.collect::<String>())
    }
}

struct Simulation {
    load: Load,
    scheduler: Scheduler,
    now: Instant,
    engines: BTreeMap<Server, Engine>,
    events: BTreeMap<(Instant, usize), Event>,
    last_event: usize,
    /// Engines that were ever there.
    engines_seen: usize,
    weight_store: WeightStore,
    /// When engines last came in place of lost ones.
    replaced_at: Instant,
    /// When the scheduler's invariants are next verified.
    verify_at: Instant,
    outcome: Outcome,
}

/// Plays a load and returns its outcome.
pub fn play(load: &Load) -> Outcome {
    let now = Instant::default() + Span::from_secs(100);
    let mut simulation = Simulation {
        load: load.clone(),
        scheduler: scheduler(now, load, 1),
        now,
        engines: BTreeMap::new(),
        events: BTreeMap::new(),
        last_event: 0,
        engines_seen: 0,
        weight_store: WeightStore::default(),
        replaced_at: now,
        verify_at: now,
        outcome: Outcome::default(),
    };
    for _ in 0..load.deployment.engines {
        simulation.add_engine(true);
    }
    simulation.plan_arrivals();
    for loss in &load.losses {
        simulation.push(now + Span::from_millis(loss.at), Event::Loss(*loss));
    }
    simulation.run();
    simulation.outcome
}

fn scheduler(now: Instant, load: &Load, fence: u64) -> Scheduler {
    let mut config = (*setup::config(1).services[0]).clone();
    if let Some(engine) = &mut config.engine {
        engine.adapter_slots = load.deployment.slots;
        engine.models[0].load = load.deployment.base_load.0;
        if !load.losses.is_empty() {
            engine.loads_per_s = 22.0;
        }
    }
    let mut settings = setup::settings(0, 1, &Tuning::default());
    settings.without = load.without.iter().copied().collect::<DisabledFeatures>();
    Scheduler::new(now, &config, fence, settings)
}

/// Returns the caller of the request with this number.
fn caller_of(request: u64) -> usize {
    usize::try_from(request / 2).expect("small")
}

impl Simulation {
    fn push(&mut self, at: Instant, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    // Times, counts and ranks of the load are far below the range of each type.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn plan_arrivals(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.load.seed);
        let Deployment {
            adapters: count,
            zipf,
            kinds,
            ..
        } = self.load.deployment;
        let (length, burst) = (self.load.length, self.load.burst);
        let adapters = Zipf::new(f64::from(count), zipf).expect("valid");
        let accounts = Zipf::new(self.load.accounts.max(1) as f64, zipf).expect("valid");
        let gap = Exp::new(1.0).expect("valid");
        for (number, kind) in kinds.iter().enumerate() {
            let mut millis = 0.0;
            while millis < length as f64 {
                let is_burst = (burst.0..burst.1).contains(&(millis as u64));
                let rate = kind.per_s * self.load.scale * if is_burst { kind.burst } else { 1.0 };
                millis += gap.sample(&mut rng) * 1_000.0 / rate;
                let account = accounts.sample(&mut rng) as usize - 1;
                let copies = if is_burst && account == 3 {
                    self.load.flood
                } else {
                    1.0
                };
                for _ in 0..copies as usize {
                    let arrived = self.now + Span((millis * 1_000.0) as u64);
                    let shifts = self.load.shifts.iter().filter(|at| millis >= **at as f64);
                    let moved = shifts.count() as u32 * ADAPTER_SHIFT;
                    let rank = adapters.sample(&mut rng) as u32;
                    let adapter = if rank + moved > count {
                        rank + moved - count
                    } else {
                        rank + moved
                    };
                    let caller = self.outcome.callers.len();
                    self.outcome.callers.push(Caller {
                        kind: number,
                        account,
                        adapter,
                        first_arrived: arrived,
                        arrived,
                        refusals: 0,
                        first_chunk: None,
                        held: Span::ZERO,
                        expired: false,
                        server: None,
                        has_ended: false,
                        is_served: false,
                        objective: Span::from_millis(kind.objective),
                        value: kind.value,
                        deadline: Span::from_millis(kind.deadline),
                    });
                    self.push(arrived, Event::Arrival(caller));
                    millis += rng.random_range(0.0..0.5) * (copies - 1.0).min(1.0);
                }
            }
        }
    }

    fn run(&mut self) {
        let start = self.now;
        let mut replaced_at = self
            .load
            .replaced_at
            .map(|millis| start + Span::from_millis(millis));
        while let Some((&(at, number), _)) = self.events.first_key_value() {
            let next_run = self.scheduler.next_run().max(self.now + Span(100));
            self.now = at.max(self.now).min(next_run);
            if replaced_at.is_some_and(|at| self.now >= at) {
                replaced_at = None;
                self.replace_scheduler();
            }
            if at <= self.now {
                let event = self.events.remove(&(at, number)).expect("an event");
                self.handle(&event);
            }
            self.decide();
        }
    }

    /// Starts a scheduler that learns of all requests by resyncs, and of the engines by reports.
    fn replace_scheduler(&mut self) {
        self.scheduler = scheduler(self.now, &self.load, 2);
        for (server, engine) in &self.engines {
            let number = engine.id.as_str()[1..].parse().expect("a number");
            self.scheduler
                .update_server(server, &setup::backend(number));
        }
        let callers = 0..self.outcome.callers.len();
        for vm in 0..VMS {
            let vm: Vm = name(&format!("vm{vm}"));
            let of_vm = callers.clone().filter(|caller| self.vm(*caller) == vm);
            let active = of_vm.filter(|caller| {
                let row = &self.outcome.callers[*caller];
                row.arrived < self.now && !row.has_ended
            });
            let (running, waiting): (Vec<usize>, Vec<usize>) =
                active.partition(|caller| self.outcome.callers[*caller].server.is_some());
            let running = running.into_iter().filter_map(|caller| {
                let server = self.outcome.callers[caller].server.clone()?;
                let (request, work) = (self.request(caller), self.placement(caller).work);
                Some(Running {
                    request,
                    server,
                    work,
                })
            });
            let running: Vec<Running> = running.collect();
            let waiting = waiting
                .into_iter()
                .map(|caller| self.placement(caller))
                .collect();
            self.scheduler.resync_vm(self.now, &vm, &running, waiting);
        }
    }

    fn handle(&mut self, event: &Event) {
        let now = self.now;
        match *event {
            Event::Arrival(caller) => {
                self.outcome.callers[caller].arrived = now;
                self.push(self.deadline(caller), Event::Expiry(caller, now));
                self.enqueue(caller);
            }
            Event::Started(caller) | Event::Ended(caller)
                if self.outcome.callers[caller].has_ended => {}
            Event::Started(caller) => {
                let first = self.outcome.callers[caller].first_arrived;
                self.outcome.callers[caller]
                    .first_chunk
                    .get_or_insert(now.since(first));
                self.report(caller, Progress::AnswerStarted);
            }
            Event::Ended(caller) => {
                self.outcome.callers[caller].has_ended = true;
                self.outcome.callers[caller].is_served = true;
                self.report(caller, Progress::Finished);
            }
            Event::Loss(loss) => self.lose_engines(loss),
            Event::Replacement(engines) => {
                self.replaced_at = self.now;
                for _ in 0..engines {
                    self.add_engine(false);
                }
            }
            Event::BaseLoads => self.update_base_loads(),
            Event::Expiry(caller, arrived) => {
                let row = &mut self.outcome.callers[caller];
                if row.arrived == arrived && row.server.is_none() && !row.has_ended {
                    row.expired = true;
                    row.has_ended = true;
                    self.report(caller, Progress::Finished);
                }
            }
        }
    }

    /// Adds an engine, with the base model if the flag is set.
    fn add_engine(&mut self, has_base_model: bool) {
        let number = self.engines_seen;
        self.engines_seen += 1;
        let id = format!("e{number}");
        let mut engine = Engine::new(&id, true, self.load.deployment.slots);
        if !has_base_model {
            engine.base_ready_at = None;
        }
        self.engines.insert(name(&id), engine);
        self.scheduler
            .update_server(&name(&id), &setup::backend(number));
    }

    /// Loses the engines that were there first, with all that runs there.
    fn lose_engines(&mut self, loss: Loss) {
        let gone: Vec<Server> = self.engines.keys().take(loss.engines).cloned().collect();
        for server in &gone {
            self.engines.remove(server);
            self.weight_store.remaining.remove(server);
            let callers = 0..self.outcome.callers.len();
            let running = callers.filter(|caller| {
                let row = &self.outcome.callers[*caller];
                row.server.as_ref() == Some(server) && !row.has_ended
            });
            for caller in running.collect::<Vec<usize>>() {
                self.report(
                    caller,
                    Progress::Failed(Execution::Maybe, FailureCause::Broken),
                );
                self.outcome.callers[caller].has_ended = true;
            }
            self.scheduler.remove_server(server);
        }
        let at = self.now + Span::from_millis(loss.replaced_after);
        self.push(at, Event::Replacement(loss.engines));
    }

    /// Completes loads of base models.
    fn update_base_loads(&mut self) {
        let at_once = self.load.deployment.base_load.1;
        for server in self.weight_store.advance(self.now, at_once) {
            if let Some(engine) = self.engines.get_mut(&server) {
                engine.base_ready_at = Some(self.now);
                let since = self.now.since(self.replaced_at);
                self.outcome.base_loads.push(since);
            }
        }
        if let Some(at) = self.weight_store.next(at_once) {
            self.push(at, Event::BaseLoads);
        }
    }

    /// Starts the load of a base model.
    fn start_base_load(&mut self, server: &Server) {
        let (span, _) = self.load.deployment.base_load;
        self.update_base_loads();
        self.weight_store
            .remaining
            .insert(server.clone(), span.as_secs_f64() * 1e3);
        self.engines
            .get_mut(server)
            .expect("an engine")
            .base_ready_at = Some(Instant::NEVER);
        self.update_base_loads();
    }

    /// Executes an order. Loads from the weight store take longer if there are many.
    fn execute(&mut self, server: &Server, order: &Order) -> OrderOutcome {
        let now = self.now;
        let loading = self.engines.values().flat_map(|e| e.slots.values());
        let loading = loading.filter(|slot| slot.ready_at > now).count() + 1;
        let Some(engine) = self.engines.get_mut(server) else {
            return OrderOutcome::Unknown;
        };
        let fetches = engine.fetches;
        let outcome = engine.execute_order(now, 0, order);
        assert_eq!(engine.crash_reason, None);
        let loading = u32::try_from(loading).expect("small");
        let at_once = self
            .load
            .deployment
            .adapter_loads
            .filter(|at_once| loading > *at_once);
        let adapter = order.adapter.as_ref().filter(|_| engine.fetches > fetches);
        if let Some((at_once, slot)) =
            at_once.zip(adapter.and_then(|adapter| engine.slots.get_mut(adapter)))
        {
            slot.ready_at = now + Span(LOAD_TIME.0 * u64::from(loading) / u64::from(at_once));
        }
        if order.adapter.is_none() && outcome == OrderOutcome::Accepted {
            self.start_base_load(server);
        }
        outcome
    }

    fn kind(&self, caller: usize) -> Kind {
        self.load.deployment.kinds[self.outcome.callers[caller].kind]
    }

    /// Returns the deadline of a caller's current try.
    fn deadline(&self, caller: usize) -> Instant {
        let row = &self.outcome.callers[caller];
        let start = if self.load.deployment.keeps_deadline {
            row.first_arrived
        } else {
            row.arrived
        };
        start + row.deadline
    }

    fn vm(&self, caller: usize) -> Vm {
        name(&format!(
            "vm{}",
            (caller + self.outcome.callers[caller].refusals as usize) % VMS
        ))
    }

    /// Returns the number of the request of a caller's current try.
    fn request(&self, caller: usize) -> u64 {
        caller as u64 * 2 + u64::from(self.outcome.callers[caller].refusals.min(1))
    }

    fn report(&mut self, caller: usize, progress: Progress) {
        let (vm, request) = (self.vm(caller), self.request(caller));
        self.scheduler
            .update_progress(self.now, &vm, request, progress);
    }

    fn placement(&self, caller: usize) -> PlacementRequest {
        let row = &self.outcome.callers[caller];
        let kind = self.kind(caller);
        let waited = self.now.since(row.arrived);
        PlacementRequest {
            request: self.request(caller),
            id: format!("r{caller}").into(),
            work: setup::inference_spec(
                &format!("a{}", row.adapter),
                kind.prompt,
                kind.events * self.load.deployment.event_tokens,
            ),
            waited,
            objective: Span::from_millis(kind.objective),
            left: self.deadline(caller).since(self.now),
            priority: if self.load.priorities {
                kind.priority
            } else {
                0
            },
            zone: setup::zone(caller),
            failed: Vec::new(),
        }
    }

    fn enqueue(&mut self, caller: usize) {
        let account = self.outcome.callers[caller].account;
        let has_account = self.load.accounts > 0;
        let detail = PlacementDetail {
            account: has_account.then(|| name(&format!("account{account}"))),
            weight: TokenRate(if has_account {
                225_000 / (account as u64 + 1)
            } else {
                0
            }),
            pause: Span::ZERO,
            fingerprint: has_account.then(|| Fingerprint::of([caller.to_string().as_bytes()])),
            ..PlacementDetail::default()
        };
        self.scheduler
            .enqueue(self.now, &self.vm(caller), self.placement(caller), detail);
    }

    fn decide(&mut self) {
        let mut out = Vec::new();
        self.scheduler.run(self.now, &mut out);
        for (label, count) in self.scheduler.take_contention() {
            *self.outcome.contention.entry(label).or_default() += count;
        }
        for decision in out {
            match &decision {
                Decision::Log(record) => {
                    let number = record.code.number();
                    *self.outcome.events.entry(number).or_default() += 1;
                    if LOGGED_EVENTS.contains(&number) {
                        let line = format!("E{number} {}", record.detail);
                        self.outcome.lines.push(line);
                    }
                    continue;
                }
                Decision::Heartbeat | Decision::Residents(_) => continue,
                Decision::Withdraw(..) => panic!("withdrawals are not enabled here"),
                Decision::QueryReport(server, _) => {
                    let report = self.engines.get(server).map(|e| e.report(self.now));
                    self.scheduler
                        .handle_report(self.now, server, report.as_ref());
                }
                Decision::Order(id, server, _, order) => {
                    let outcome = self.execute(server, order);
                    self.scheduler.handle_order_outcome(self.now, *id, outcome);
                }
                Decision::Place(_, request, server, _) => self.send(caller_of(*request), server),
                Decision::Refuse(_, request, after) => self.refuse(caller_of(*request), *after),
            }
            self.outcome
                .decisions
                .push(format!("{} {decision:?}", self.now));
        }
        if self.verify_at <= self.now {
            assert_eq!(self.scheduler.verify(), Vec::<String>::new());
            self.verify_at = self.now + self.load.deployment.verify_interval;
        }
    }

    fn send(&mut self, caller: usize, server: &Server) {
        let kind = self.kind(caller);
        let adapter = format!("a{}", self.outcome.callers[caller].adapter).into();
        let output = kind.events * self.load.deployment.event_tokens;
        let engine = self.engines.get_mut(server).expect("an engine");
        let accepted = engine.accept_request(self.now, &adapter, None, kind.prompt, output);
        let Some((starts, ends)) = accepted else {
            let rejected = Progress::Failed(Execution::No, FailureCause::Missing);
            self.report(caller, rejected);
            self.enqueue(caller);
            return;
        };
        self.outcome.callers[caller].server = Some(server.clone());
        self.push(starts, Event::Started(caller));
        self.push(ends, Event::Ended(caller));
    }

    fn refuse(&mut self, caller: usize, after: Span) {
        let left = self.deadline(caller).since(self.now);
        let keeps_deadline = self.load.deployment.keeps_deadline;
        let row = &mut self.outcome.callers[caller];
        row.refusals += 1;
        row.held = row.held.max(self.now.since(row.arrived));
        if row.refusals > 1 {
            row.has_ended = true;
        } else {
            let after = if keeps_deadline {
                after.min(Span(left.0 / 3))
            } else {
                after
            };
            // Three milliseconds to the caller and back, and the time to connect.
            let at = self.now + after + Span::from_millis(8);
            row.arrived = at;
            self.push(at, Event::Arrival(caller));
        }
    }
}
