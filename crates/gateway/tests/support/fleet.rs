//! A scheduler with engines of different speed in virtual time, without a network. An engine works in steps: each reads
//! a chunk of the prompts in its queue and decodes one token of each of its streams.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::Backend;
use dahliastile_gateway::event::{OrderOutcome, StreamTiming};
use dahliastile_gateway::feature::Feature;
use dahliastile_gateway::message::{PlacementDetail, PlacementRequest, Progress};
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

use super::setup::{self, inference_spec, name, zone};

/// Prefill rate of an engine of nominal speed, in tokens per millisecond.
const PREFILL_RATE: f64 = 19.2;
/// Milliseconds of a decoding step without streams, and for each stream.
const DECODE_MS: (f64, f64) = (10.5, 0.1);
/// Tokens per stream event.
const TOKENS_PER_EVENT: u32 = 3;
/// Delay of a message between VMs, or between a VM and an engine.
const DELAY: Span = Span::from_millis(2);
/// Number of adapters, and the exponent of the Zipf distribution of requests over them.
const ADAPTERS: (f64, f64) = (10_000.0, 1.0);
/// How much slower an engine is in a slow phase.
const SLOWNESS: f64 = 2.5;
/// Length of a slow phase, and time between the starts of two.
const SLOW_PHASE: (Span, Span) = (Span::from_millis(600), Span::from_millis(4_000));

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Requests per second.
    pub per_s: f64,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Events of the answer.
    pub events: u32,
    /// Time from a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Longest pause between two chunks that its caller allows, in milliseconds; 0 if it sets none.
    pub pause_ms: u64,
}

/// The engines and the load of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Speed of each engine in relation to the nominal one, in rotation.
    pub speeds: Vec<f64>,
    /// Number of engines.
    pub engines: usize,
    /// Whether every other engine has slow phases.
    pub slow_phases: bool,
    /// Prompt tokens that an engine reads in one step at most.
    pub chunk: u32,
    /// Requests of each kind.
    pub kinds: Vec<Kind>,
    pub without: Vec<Feature>,
    /// Seed of arrivals and adapters.
    pub seed: u64,
}

/// What happened to a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub kind: usize,
    pub arrived: Instant,
    /// The engine where it was placed, and when.
    pub placed: Option<(usize, Instant)>,
    pub first_chunk: Option<Instant>,
    pub longest_pause: Option<Span>,
    pub refused: bool,
}

/// A stream at an engine.
#[derive(Debug)]
struct Stream {
    request: usize,
    tokens: u32,
    chunks: u32,
    last: Instant,
    longest: Span,
}

#[derive(Debug)]
struct Machine {
    speed: f64,
    /// Prompts with the tokens that are unread.
    prompts: VecDeque<(usize, u32)>,
    streams: Vec<Stream>,
    /// Tokens that the current step reads; `None` if the engine is idle.
    step: Option<u32>,
}

/// What is to happen at a point in time.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    Start(usize, usize),
    StepEnd(usize),
    Progress(usize, Progress),
    OrderDone(u64),
    Due,
}

/// The scheduler, its engines and its load.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub now: Instant,
    pub outcomes: Vec<Outcome>,
    /// The request of each decision to place one, with its engine.
    pub placed: Vec<(usize, usize)>,
    /// Log lines with the scheduler's state.
    pub summaries: Vec<String>,
    plan: Plan,
    machines: Vec<Machine>,
    queue: BTreeMap<(Instant, u64), Event>,
    last_event: u64,
    rng: ChaCha8Rng,
    adapters: Zipf<f64>,
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let now = Instant(1_000_000);
        let mut settings = setup::settings(
            0,
            1,
            &Tuning {
                adapter_load: Span::from_millis(288),
                ..Tuning::default()
            },
        );
        settings.without = plan.without.iter().copied().collect();
        let config = setup::config(1);
        let machine = |number: usize| Machine {
            speed: plan.speeds[number % plan.speeds.len()],
            prompts: VecDeque::new(),
            streams: Vec::new(),
            step: None,
        };
        let mut fleet = Self {
            scheduler: Scheduler::new(now, &config.services[0], 1, settings),
            now,
            outcomes: Vec::new(),
            placed: Vec::new(),
            summaries: Vec::new(),
            machines: (0..plan.engines).map(machine).collect(),
            queue: BTreeMap::new(),
            last_event: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            adapters: Zipf::new(ADAPTERS.0, ADAPTERS.1).expect("valid"),
            plan,
        };
        for number in 0..fleet.plan.engines {
            let server: Server = name(&format!("e{number}"));
            fleet
                .scheduler
                .update_server(&server, &setup::backend(number));
        }
        for kind in 0..fleet.plan.kinds.len() {
            fleet.schedule(Span::from_millis(500), Event::Arrival(kind));
        }
        fleet
    }

    fn schedule(&mut self, span: Span, event: Event) {
        self.last_event += 1;
        self.queue.insert((self.now + span, self.last_event), event);
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
            self.run_scheduler();
        }
        self.now = end;
    }

    /// Changes the speed of an engine.
    pub fn set_speed(&mut self, engine: usize, speed: f64) {
        self.machines[engine].speed = speed;
    }

    /// Restarts an engine at another speed: its requests are lost.
    pub fn restart(&mut self, engine: usize, speed: f64) {
        let machine = &mut self.machines[engine];
        machine.speed = speed;
        machine.prompts.clear();
        machine.streams.clear();
        let backend = Backend {
            start: Some(Incarnation(2)),
            ..(*setup::backend(engine)).clone()
        };
        let server: Server = name(&format!("e{engine}"));
        self.scheduler.update_server(&server, &Arc::new(backend));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => {
                let per_s = self.plan.kinds[kind].per_s;
                let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let next = Span((-unit.ln() / per_s * 1e6) as u64);
                self.schedule(next, Event::Arrival(kind));
                self.send(kind);
            }
            Event::Start(engine, request) => {
                let kind = self.plan.kinds[self.outcomes[request].kind];
                self.machines[engine]
                    .prompts
                    .push_back((request, kind.prompt));
                self.start_step(engine);
            }
            Event::StepEnd(engine) => self.end_step(engine),
            Event::Progress(request, progress) => {
                self.scheduler
                    .update_progress(self.now, &vm_of(request), request as u64, progress);
            }
            Event::OrderDone(order) => {
                let outcome = OrderOutcome::Accepted;
                self.scheduler
                    .handle_order_outcome(self.now, order, outcome);
            }
            Event::Due => {}
        }
    }

    /// Sends a request to the scheduler.
    pub fn send(&mut self, kind: usize) {
        let request = self.outcomes.len();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let adapter = self.adapters.sample(&mut self.rng) as u64;
        self.outcomes.push(Outcome {
            kind,
            arrived: self.now,
            ..Outcome::default()
        });
        let kind = self.plan.kinds[kind];
        let placement = PlacementRequest {
            request: request as u64,
            id: Arc::from(format!("r{request}")),
            work: inference_spec(&format!("a{adapter}"), kind.prompt, kind.events * 3),
            waited: Span::ZERO,
            objective: Span::from_millis(1_000),
            left: Span::from_millis(kind.deadline_ms),
            priority: 0,
            zone: zone(request),
            failed: Vec::new(),
        };
        let detail = PlacementDetail {
            pause: Span::from_millis(kind.pause_ms),
            ..PlacementDetail::default()
        };
        self.scheduler
            .enqueue(self.now, &vm_of(request), placement, detail);
    }

    fn run_scheduler(&mut self) {
        let mut out = Vec::new();
        self.scheduler.run(self.now, &mut out);
        for decision in out {
            match decision {
                Decision::Place(_, request, server, _) => {
                    let request = usize::try_from(request).expect("small");
                    let engine = server.as_str()[1..].parse().expect("a number");
                    self.outcomes[request].placed = Some((engine, self.now));
                    self.placed.push((request, engine));
                    self.schedule(DELAY, Event::Start(engine, request));
                }
                Decision::Refuse(_, request, _) => {
                    let request = usize::try_from(request).expect("small");
                    self.outcomes[request].refused = true;
                }
                Decision::QueryReport(server, _) => {
                    let report = setup::report(Vec::new());
                    self.scheduler
                        .handle_report(self.now, &server, Some(&report));
                }
                Decision::Order(id, _, _, order) if order.load => {
                    self.schedule(DELAY, Event::OrderDone(id));
                }
                Decision::Order(id, ..) => {
                    self.scheduler
                        .handle_order_outcome(self.now, id, OrderOutcome::Holds);
                }
                Decision::Log(record) if record.detail.starts_with("wait_room") => {
                    self.summaries.push(record.detail);
                }
                Decision::Withdraw(..) => panic!("withdrawals are not enabled here"),
                Decision::Residents(_) | Decision::Heartbeat | Decision::Log(_) => {}
            }
        }
        let due = self.scheduler.next_run().since(self.now);
        let next = self.queue.first_key_value().map(|((at, _), _)| *at);
        if next.is_none_or(|next| self.now + due < next) {
            self.schedule(due, Event::Due);
        }
    }

    fn is_slow(&self, engine: usize) -> bool {
        let offset = engine as u64 * 777_000;
        let phase = (self.now.0 + offset) % SLOW_PHASE.1.0;
        self.plan.slow_phases && engine.is_multiple_of(2) && phase < SLOW_PHASE.0.0
    }

    /// Starts a step of an engine that has work and is not in a step.
    fn start_step(&mut self, engine: usize) {
        let slowness = if self.is_slow(engine) { SLOWNESS } else { 1.0 };
        let machine = &mut self.machines[engine];
        let idle = machine.prompts.is_empty() && machine.streams.is_empty();
        if machine.step.is_some() || idle {
            return;
        }
        let unread: u32 = machine.prompts.iter().map(|(_, tokens)| tokens).sum();
        let read = unread.min(self.plan.chunk);
        #[allow(clippy::cast_precision_loss)]
        let streams = machine.streams.len() as f64;
        let nominal = DECODE_MS.0 + DECODE_MS.1 * streams + f64::from(read) / PREFILL_RATE;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let span = Span((nominal * slowness / machine.speed * 1_000.0) as u64);
        machine.step = Some(read);
        self.schedule(span, Event::StepEnd(engine));
    }

    fn end_step(&mut self, engine: usize) {
        let now = self.now;
        let machine = &mut self.machines[engine];
        let mut read = machine.step.take().unwrap_or(0);
        let mut progress = Vec::new();
        for stream in &mut machine.streams {
            stream.tokens += 1;
            if !stream.tokens.is_multiple_of(TOKENS_PER_EVENT) {
                continue;
            }
            stream.chunks += 1;
            let outcome = &mut self.outcomes[stream.request];
            if let Some(first) = outcome.first_chunk {
                stream.longest = stream.longest.max(now.since(stream.last));
                if stream.chunks == self.plan.kinds[outcome.kind].events {
                    outcome.longest_pause = Some(stream.longest);
                    let timing = StreamTiming {
                        chunks: stream.chunks,
                        decoding: now.since(first),
                        longest_pause: stream.longest,
                    };
                    progress.push((stream.request, Progress::Streamed(timing)));
                }
            } else {
                outcome.first_chunk = Some(now);
                progress.push((stream.request, Progress::AnswerStarted));
            }
            stream.last = now;
        }
        let ended = &self.outcomes;
        machine
            .streams
            .retain(|stream| ended[stream.request].longest_pause.is_none());
        while let Some((request, tokens)) = machine.prompts.pop_front() {
            let part = read.min(tokens);
            read -= part;
            if part < tokens {
                machine.prompts.push_front((request, tokens - part));
                break;
            }
            machine.streams.push(Stream {
                request,
                tokens: 0,
                chunks: 0,
                last: now,
                longest: Span::ZERO,
            });
        }
        for (request, progress) in progress {
            self.schedule(DELAY, Event::Progress(request, progress));
        }
        self.start_step(engine);
    }
}

fn vm_of(request: usize) -> Vm {
    name(&format!("vm{}", request % 81))
}
