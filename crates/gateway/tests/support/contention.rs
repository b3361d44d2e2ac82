//! Callers that compete for the adapter slots and loads of a few engines, and a scheduler that serves them in virtual
//! time. Each caller that is refused retries once, after the time that it was given.

use std::collections::BTreeMap;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::TokenRate;
use dahliastile_gateway::event::{Execution, FailureCause};
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use dahliastile_gateway::message::{PlacementDetail, PlacementRequest, Progress, Running};
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use super::engine::Engine;
use super::setup::{self, name};

/// Engines and adapter slots of each; a third of the first deployment of `docs/design/contention.md`.
const ENGINES: usize = 30;
const SLOTS: usize = 4;
/// Adapters, and the exponent of their popularity.
const ADAPTERS: usize = 2_000;
const ZIPF: f64 = 1.2;
/// Time from the start at which the bursts begin and end.
const BURST: (u64, u64) = (4_000, 9_000);
/// Time from the start at which callers stop to send.
const LOAD_END: u64 = 14_000;
/// VMs that callers reach; a retry reaches another one.
const VMS: usize = 20;
/// Tokens of one event of a stream.
const EVENT_TOKENS: u32 = 4;

/// One kind of request: its rate and what its callers expect.
#[derive(Clone, Copy)]
struct Kind {
    per_s: f64,
    prompt: u32,
    events: u32,
    objective: u64,
    deadline: u64,
    /// Value of an answer in time and of a late one.
    value: (f64, f64),
    /// Factor of the rate during the burst.
    burst: f64,
}

/// Notarial review, lender review and summary draft, by priority, at a third of their rates.
const KINDS: [Kind; 3] = [
    Kind {
        per_s: 88.0,
        prompt: 2_368,
        events: 6,
        objective: 800,
        deadline: 4_000,
        value: (3.1, 0.37),
        burst: 2.5,
    },
    Kind {
        per_s: 21.0,
        prompt: 2_368,
        events: 6,
        objective: 1_000,
        deadline: 12_000,
        value: (1.6, 0.49),
        burst: 1.0,
    },
    Kind {
        per_s: 26.0,
        prompt: 1_460,
        events: 43,
        objective: 2_000,
        deadline: 15_000,
        value: (1.0, 0.47),
        burst: 2.5,
    },
];

/// What varies between the runs of a load.
#[derive(Clone)]
pub struct Load {
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
    adapter: usize,
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
}

impl Caller {
    pub fn is_on_time(&self) -> bool {
        self.first_chunk
            .is_some_and(|span| span <= Span::from_millis(KINDS[self.kind].objective))
    }

    /// Returns whether a try was held for half of its time and not sent to an engine.
    pub fn is_held(&self) -> bool {
        self.expired || self.held.times(2) >= Span::from_millis(KINDS[self.kind].deadline)
    }

    fn value(&self) -> f64 {
        let (on_time, late) = KINDS[self.kind].value;
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
}

impl Outcome {
    /// Returns how many callers of a kind satisfy a condition.
    pub fn count(&self, kind: usize, condition: impl Fn(&Caller) -> bool) -> usize {
        self.callers
            .iter()
            .filter(|caller| caller.kind == kind && condition(caller))
            .count()
    }

    /// Returns a digest of all decisions.
    pub fn digest(&self) -> Fingerprint {
        Fingerprint::of(self.decisions.iter().map(String::as_bytes))
    }

    /// Returns the value of all answers as a share of that of answers in time to all callers.
    pub fn value(&self) -> f64 {
        let most: f64 = self
            .callers
            .iter()
            .map(|caller| KINDS[caller.kind].value.0)
            .sum();
        self.callers.iter().map(Caller::value).sum::<f64>() / most
    }

    /// Returns the value, and for each kind how its callers were served.
    pub fn table(&self) -> String {
        let rows = (0..KINDS.len()).map(|kind| {
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
        outcome: Outcome::default(),
    };
    for number in 0..ENGINES {
        let id = format!("e{number}");
        simulation
            .engines
            .insert(name(&id), Engine::new(&id, true, SLOTS));
        simulation
            .scheduler
            .update_server(&name(&id), &setup::backend(number));
    }
    simulation.plan_arrivals();
    simulation.run();
    simulation.outcome
}

fn scheduler(now: Instant, load: &Load, fence: u64) -> Scheduler {
    let mut config = (*setup::config(1).services[0]).clone();
    if let Some(engine) = &mut config.engine {
        engine.adapter_slots = SLOTS;
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
        let adapters = Zipf::new(ADAPTERS as f64, ZIPF).expect("valid");
        let accounts = Zipf::new(self.load.accounts.max(1) as f64, ZIPF).expect("valid");
        let gap = Exp::new(1.0).expect("valid");
        for (number, kind) in KINDS.iter().enumerate() {
            let mut millis = 0.0;
            while millis < LOAD_END as f64 {
                let is_burst = (BURST.0..BURST.1).contains(&(millis as u64));
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
                    let adapter = adapters.sample(&mut rng) as usize;
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
        for number in 0..ENGINES {
            self.scheduler
                .update_server(&name(&format!("e{number}")), &setup::backend(number));
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
                let deadline =
                    now + Span::from_millis(KINDS[self.outcome.callers[caller].kind].deadline);
                self.push(deadline, Event::Expiry(caller, now));
                self.enqueue(caller);
            }
            Event::Started(caller) => {
                let first = self.outcome.callers[caller].first_arrived;
                self.outcome.callers[caller]
                    .first_chunk
                    .get_or_insert(now.since(first));
                self.report(caller, Progress::AnswerStarted);
            }
            Event::Ended(caller) => {
                self.outcome.callers[caller].has_ended = true;
                self.report(caller, Progress::Finished);
            }
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
        let kind = KINDS[row.kind];
        let waited = self.now.since(row.arrived);
        PlacementRequest {
            request: self.request(caller),
            id: format!("r{caller}").into(),
            work: setup::inference_spec(
                &format!("a{}", row.adapter),
                kind.prompt,
                kind.events * EVENT_TOKENS,
            ),
            waited,
            objective: Span::from_millis(kind.objective),
            left: Span::from_millis(kind.deadline) - waited,
            priority: if self.load.priorities {
                u8::try_from(row.kind).expect("small")
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
                    *self.outcome.events.entry(record.code.number()).or_default() += 1;
                    continue;
                }
                Decision::Heartbeat | Decision::Residents(_) => continue,
                Decision::Withdraw(..) => panic!("withdrawals are not enabled here"),
                Decision::QueryReport(server, _) => {
                    let report = self.engines[server].report(self.now);
                    self.scheduler
                        .handle_report(self.now, server, Some(&report));
                }
                Decision::Order(id, server, _, order) => {
                    let engine = self.engines.get_mut(server).expect("an engine");
                    let outcome = engine.execute_order(self.now, 0, order);
                    assert_eq!(engine.crash_reason, None);
                    self.scheduler.handle_order_outcome(self.now, *id, outcome);
                }
                Decision::Place(_, request, server, _) => self.send(caller_of(*request), server),
                Decision::Refuse(_, request, after) => self.refuse(caller_of(*request), *after),
            }
            self.outcome
                .decisions
                .push(format!("{} {decision:?}", self.now));
        }
        assert_eq!(self.scheduler.verify(), Vec::<String>::new());
    }

    fn send(&mut self, caller: usize, server: &Server) {
        let kind = KINDS[self.outcome.callers[caller].kind];
        let adapter = format!("a{}", self.outcome.callers[caller].adapter).into();
        let engine = self.engines.get_mut(server).expect("an engine");
        let output = kind.events * EVENT_TOKENS;
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
        let row = &mut self.outcome.callers[caller];
        row.refusals += 1;
        row.held = row.held.max(self.now.since(row.arrived));
        if row.refusals > 1 {
            row.has_ended = true;
        } else {
            // Three milliseconds to the caller and back, and the time to connect.
            let at = self.now + after + Span::from_millis(8);
            row.arrived = at;
            self.push(at, Event::Arrival(caller));
        }
    }
}
