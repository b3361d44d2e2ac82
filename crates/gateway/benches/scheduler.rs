//! What the scheduler costs its VM: processor time a request and a run, as the engines of a service grow in number with the
//! requests for them. Prints one JSON line a size, and the cost a request as a ratio to the first size.
//!
//! The load is that of a heavy day after a burst: ten requests a second for each engine, each for one of a hundred adapters an
//! engine by Zipf's law, prompts of 1,800 tokens, answers of one second. More wait than can be served, so that some hundred
//! requests are always there to be looked at.
//!
//! `cargo bench -p dahliastile-gateway --bench scheduler -- --engines 100,400 --rate 10`
#![allow(missing_docs, unreachable_pub, clippy::pedantic)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Instant as Wall;

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Backend, ResidentModel};
use dahliastile_gateway::config::{EngineSpec, Model, ServiceConfig};
use dahliastile_gateway::event::{InferenceSpec, OrderOutcome, Report, RequestId};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::message::{PlacementRequest, Progress};
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::{Settings, Tuning};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

/// Requests a second for each engine, unless `--rate` says otherwise.
const RATE: f64 = 10.0;
/// Adapters for each engine.
const ADAPTERS: usize = 100;
/// Skew of the adapters' popularity.
const SKEW: f64 = 1.2;
/// Tokens of a prompt.
const PROMPT: u32 = 1_800;
/// The time from a request's place to its first event: some prompts before it, and its own.
const FIRST: Span = Span::from_millis(300);
/// The time of its answer after that.
const ANSWER: Span = Span::from_millis(700);
/// VMs that ask.
const VMS: usize = 80;
/// Virtual time measured, after as much to warm up.
const SPAN: Span = Span::from_secs(5);

enum Next {
    Begun(Vm, RequestId),
    Over(Vm, RequestId),
    OrderOutcome(u64),
    Reported(Server),
}

struct Fleet {
    scheduler: Scheduler,
    now: Instant,
    rng: ChaCha8Rng,
    adapters: Zipf<f64>,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    nexts: Vec<Option<Next>>,
    last: RequestId,
    owed: f64,
    engines: usize,
    rate: f64,
}

#[derive(Default)]
struct Cost {
    runs: u64,
    running: u64,
    events: u64,
    requests: u64,
    placed: u64,
    refused: u64,
}

fn settings() -> Settings {
    Settings {
        vm: "vm0".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        incarnation: Incarnation(1),
        strength: 50,
        seed: 1,
        seeds: Vec::new(),
        tuning: Tuning::default(),
        without: DisabledFeatures::default(),
    }
}

fn application() -> ServiceConfig {
    ServiceConfig {
        name: "drafts".parse().unwrap(),
        engine: Some(EngineSpec {
            batch: 64,
            tokens: 120_000,
            memory_mb: 66_000.0,
            places: 5,
            loads_per_s: 20.0,
            models: vec![Model {
                name: "base".into(),
                size_mb: 65_000.0,
                adapter_mb: 12.0,
                load: Span::from_millis(720),
            }],
        }),
    }
}

impl Fleet {
    fn new(engines: usize, rate: f64) -> Self {
        let now = Instant::default() + Span::from_secs(100);
        let mut scheduler = Scheduler::new(now, &application(), 1, settings());
        scheduler.set_vm_count(VMS);
        let mut fleet = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(1),
            adapters: Zipf::new((engines * ADAPTERS) as f64, SKEW).unwrap(),
            vms: (0..VMS)
                .map(|n| format!("vm{n}").parse().unwrap())
                .collect(),
            queue: BinaryHeap::new(),
            nexts: Vec::new(),
            last: 0,
            owed: 0.0,
            engines,
            rate,
            scheduler,
        };
        for number in 0..engines {
            let server: Server = format!("engine{number}").parse().unwrap();
            let backend = Backend {
                service: "drafts".parse().unwrap(),
                address: "10.0.0.2:80".parse().unwrap(),
                zone: format!("z{}", number % 6).parse().unwrap(),
                slots: 64,
                ready: true,
                bases: vec!["base".into()],
                start: None,
            };
            fleet.scheduler.update_server(&server, &Arc::new(backend));
        }
        fleet
    }

    fn later(&mut self, span: Span, next: Next) {
        let number = self.nexts.len() as u64;
        self.nexts.push(Some(next));
        self.queue.push(Reverse((self.now + span, number)));
    }

    fn run(&mut self, span: Span) -> Cost {
        let mut cost = Cost::default();
        let end = self.now + span;
        while self.now < end {
            self.now += Span::from_millis(1);
            self.arrive(&mut cost);
            self.happen(&mut cost);
            let due = self.scheduler.next_run() <= self.now;
            let mut out = Vec::new();
            let wall = Wall::now();
            self.scheduler.run(self.now, &mut out);
            cost.running += wall.elapsed().as_nanos() as u64;
            cost.runs += u64::from(due);
            for decision in out {
                self.carry_out(decision, &mut cost);
            }
        }
        cost
    }

    fn arrive(&mut self, cost: &mut Cost) {
        self.owed += self.engines as f64 * self.rate / 1_000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.last += 1;
            let adapter = self.adapters.sample(&mut self.rng) as u64;
            let vm = self.vms[self.rng.random_range(0..VMS)].clone();
            let want = PlacementRequest {
                request: self.last,
                id: format!("{:016x}", self.last).into(),
                work: InferenceSpec {
                    model: "base".into(),
                    adapter: Some(format!("a{adapter}").into()),
                    prompt_tokens: PROMPT,
                    max_output_tokens: 80,
                    prompt_parts: Arc::default(),
                },
                waited: Span::from_millis(1),
                objective: Span::from_millis(1_000),
                left: Span::from_millis(4_000),
                priority: 1,
                zone: format!("z{}", self.last % 6).parse().unwrap(),
                failed: Vec::new(),
            };
            let wall = Wall::now();
            self.scheduler.enqueue(self.now, &vm, want);
            cost.events += wall.elapsed().as_nanos() as u64;
            cost.requests += 1;
        }
    }

    fn happen(&mut self, cost: &mut Cost) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            let next = self.nexts[number as usize].take();
            let wall = Wall::now();
            match next {
                Some(Next::Begun(vm, request)) => {
                    self.scheduler
                        .update_progress(self.now, &vm, request, Progress::AnswerStarted);
                }
                Some(Next::Over(vm, request)) => {
                    self.scheduler
                        .update_progress(self.now, &vm, request, Progress::Finished);
                }
                Some(Next::OrderOutcome(order)) => {
                    self.scheduler
                        .handle_order_outcome(self.now, order, OrderOutcome::Accepted);
                }
                Some(Next::Reported(server)) => {
                    let report = Report {
                        models: vec![ResidentModel {
                            model: "base".into(),
                            version: 1,
                            adapters: Vec::new(),
                        }],
                        loading: Vec::new(),
                        busy: false,
                        orders: 0,
                        start: None,
                    };
                    self.scheduler
                        .handle_report(self.now, &server, Some(&report));
                }
                None => {}
            }
            cost.events += wall.elapsed().as_nanos() as u64;
        }
    }

    fn carry_out(&mut self, decision: Decision, cost: &mut Cost) {
        match decision {
            Decision::Place(vm, request, ..) => {
                cost.placed += 1;
                self.later(FIRST, Next::Begun(vm.clone(), request));
                self.later(FIRST + ANSWER, Next::Over(vm, request));
            }
            Decision::Refuse(..) => cost.refused += 1,
            Decision::Order(id, ..) => self.later(Span::from_millis(3), Next::OrderOutcome(id)),
            Decision::QueryReport(server, _) => {
                self.later(Span::from_millis(3), Next::Reported(server));
            }
            _ => {}
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |name: &str| {
        let at = arguments.iter().position(|word| word == name)?;
        arguments.get(at + 1)
    };
    let sizes = value("--engines").map_or("78", String::as_str);
    let rate = value("--rate").and_then(|rate| rate.parse().ok());
    let rate = rate.unwrap_or(RATE);
    let mut first = None;
    for engines in sizes.split(',').filter_map(|size| size.parse().ok()) {
        let mut fleet = Fleet::new(engines, rate);
        fleet.run(SPAN);
        let cost = fleet.run(SPAN);
        let each = cost.running as f64 / cost.requests as f64;
        let ratio = each / *first.get_or_insert(each);
        println!(
            "{{\"engines\":{engines},\"requests\":{},\"placed\":{},\"refused\":{},\"runs\":{},\"run_us\":{:.1},\"request_us\":{:.2},\"events_us\":{:.2},\"ratio\":{ratio:.2}}}",
            cost.requests,
            cost.placed,
            cost.refused,
            cost.runs,
            cost.running as f64 / 1_000.0 / cost.runs.max(1) as f64,
            each / 1_000.0,
            cost.events as f64 / 1_000.0 / cost.requests as f64,
        );
    }
}
