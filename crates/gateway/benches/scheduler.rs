//! Measures the processor time of the scheduler per request and per run, for services of different size. The
//! load grows with the number of engines. Prints one JSON line for each size; `ratio` compares the cost per
//! request with that of the first size.
//!
//! The load is that of a busy day after a burst: ten requests a second per engine, each to one of a hundred
//! adapters per engine, chosen by Zipf's law, with prompts of 1,800 tokens and answers of one second. More
//! requests come than can be served, so that some hundred requests are always queued for each run to
//! consider.
//!
//! `cargo bench -p dahliastile-gateway --bench scheduler -- --engines 100,400 --rate 10`
#![allow(missing_docs, unreachable_pub, clippy::pedantic)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Instant as WallInstant;

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Backend, KnownBuild, ResidentModel};
use dahliastile_gateway::config::{EngineSpec, Model, ServiceConfig};
use dahliastile_gateway::event::{InferenceSpec, OrderOutcome, Report, RequestId};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::message::{PlacementDetail, PlacementRequest, Progress};
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::{Settings, Tuning};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

/// Requests a second per engine, unless `--rate` sets another rate.
const REQUESTS_PER_ENGINE: f64 = 10.0;
/// Number of adapters per engine.
const ADAPTERS: usize = 100;
/// Exponent of the Zipf distribution of requests over adapters.
const ZIPF_EXPONENT: f64 = 1.2;
/// Tokens of each prompt.
const PROMPT_TOKENS: u32 = 1_800;
/// Time from a request's placement to the start of its answer: the prefill of some earlier prompts and of its
/// own prompt.
const ANSWER_START: Span = Span::from_millis(300);
/// Time from the start of an answer to its end.
const ANSWER_DURATION: Span = Span::from_millis(700);
/// Number of VMs that send placement requests.
const VMS: usize = 80;
/// Virtual time of the measurement, and of the warm-up before it.
const MEASURED_SPAN: Span = Span::from_secs(5);

/// What a VM or an engine does in response to a decision of the scheduler.
enum Response {
    /// The answer to a request started.
    AnswerStarted(Vm, RequestId),
    /// The answer to a request ended.
    AnswerEnded(Vm, RequestId),
    /// An engine accepted an order.
    OrderAccepted(u64),
    /// An engine answered a report query.
    ReportReceived(Server),
}

/// A scheduler with its simulated VMs and engines.
struct Fleet {
    scheduler: Scheduler,
    now: Instant,
    rng: ChaCha8Rng,
    adapters: Zipf<f64>,
    vms: Vec<Vm>,
    /// Time and index of each scheduled response, the earliest first.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    responses: Vec<Option<Response>>,
    last_request: RequestId,
    /// Requests that are due and not sent, with a fraction.
    due_requests: f64,
    engines: usize,
    /// Requests a second per engine.
    rate: f64,
}

/// Counts and processor times of a measurement.
#[derive(Default)]
struct Cost {
    /// Runs that were due.
    runs: u64,
    /// Nanoseconds spent in runs.
    run_ns: u64,
    /// Nanoseconds spent on events.
    event_ns: u64,
    /// Requests that came in.
    requests: u64,
    /// Requests that were placed at an engine.
    placed: u64,
    /// Requests that were refused.
    refused: u64,
}

fn settings() -> Settings {
    Settings {
        vm: "vm0".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        incarnation: Incarnation(1),
        relay_port: None,
        strength: 50,
        seed: 1,
        seeds: Vec::new(),
        tuning: Tuning::default(),
        without: DisabledFeatures::default(),
    }
}

fn service_config() -> ServiceConfig {
    ServiceConfig {
        name: "drafts".parse().unwrap(),
        engine: Some(EngineSpec {
            batch: 64,
            tokens: 120_000,
            memory_mb: 66_000.0,
            adapter_slots: 5,
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
        let mut scheduler = Scheduler::new(now, &service_config(), 1, settings());
        scheduler.set_vm_count(VMS);
        let mut fleet = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(1),
            adapters: Zipf::new((engines * ADAPTERS) as f64, ZIPF_EXPONENT).unwrap(),
            vms: (0..VMS)
                .map(|n| format!("vm{n}").parse().unwrap())
                .collect(),
            queue: BinaryHeap::new(),
            responses: Vec::new(),
            last_request: 0,
            due_requests: 0.0,
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
                base_models: vec!["base".into()],
                start: None,
                build: KnownBuild::default(),
            };
            fleet.scheduler.update_server(&server, &Arc::new(backend));
        }
        fleet
    }

    fn schedule(&mut self, span: Span, response: Response) {
        let number = self.responses.len() as u64;
        self.responses.push(Some(response));
        self.queue.push(Reverse((self.now + span, number)));
    }

    fn run(&mut self, span: Span) -> Cost {
        let mut cost = Cost::default();
        let end = self.now + span;
        while self.now < end {
            self.now += Span::from_millis(1);
            self.send_requests(&mut cost);
            self.deliver_responses(&mut cost);
            let due = self.scheduler.next_run() <= self.now;
            let mut out = Vec::new();
            let started = WallInstant::now();
            self.scheduler.run(self.now, &mut out);
            cost.run_ns += started.elapsed().as_nanos() as u64;
            cost.runs += u64::from(due);
            for decision in out {
                self.apply_decision(decision, &mut cost);
            }
        }
        cost
    }

    fn send_requests(&mut self, cost: &mut Cost) {
        self.due_requests += self.engines as f64 * self.rate / 1_000.0;
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            self.last_request += 1;
            let adapter = self.adapters.sample(&mut self.rng) as u64;
            let vm = self.vms[self.rng.random_range(0..VMS)].clone();
            let placement_request = PlacementRequest {
                request: self.last_request,
                id: format!("{:016x}", self.last_request).into(),
                work: InferenceSpec {
                    model: "base".into(),
                    adapter: Some(format!("a{adapter}").into()),
                    prompt_tokens: PROMPT_TOKENS,
                    max_output_tokens: 80,
                    prompt_parts: Arc::default(),
                },
                waited: Span::from_millis(1),
                objective: Span::from_millis(1_000),
                left: Span::from_millis(4_000),
                priority: 1,
                zone: format!("z{}", self.last_request % 6).parse().unwrap(),
                failed: Vec::new(),
            };
            let started = WallInstant::now();
            self.scheduler
                .enqueue(self.now, &vm, placement_request, PlacementDetail::default());
            cost.event_ns += started.elapsed().as_nanos() as u64;
            cost.requests += 1;
        }
    }

    fn deliver_responses(&mut self, cost: &mut Cost) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            let response = self.responses[number as usize].take();
            let started = WallInstant::now();
            match response {
                Some(Response::AnswerStarted(vm, request)) => {
                    self.scheduler
                        .update_progress(self.now, &vm, request, Progress::AnswerStarted);
                }
                Some(Response::AnswerEnded(vm, request)) => {
                    self.scheduler
                        .update_progress(self.now, &vm, request, Progress::Finished);
                }
                Some(Response::OrderAccepted(order)) => {
                    self.scheduler
                        .handle_order_outcome(self.now, order, OrderOutcome::Accepted);
                }
                Some(Response::ReportReceived(server)) => {
                    let report = Report {
                        models: vec![ResidentModel {
                            model: "base".into(),
                            version: 1,
                            adapters: Vec::new(),
                        }],
                        loading: Vec::new(),
                        local_models: Vec::new(),
                        busy: false,
                        orders: 0,
                        start: None,
                    };
                    self.scheduler
                        .handle_report(self.now, &server, Some(&report));
                }
                None => {}
            }
            cost.event_ns += started.elapsed().as_nanos() as u64;
        }
    }

    fn apply_decision(&mut self, decision: Decision, cost: &mut Cost) {
        match decision {
            Decision::Place(vm, request, ..) => {
                cost.placed += 1;
                self.schedule(ANSWER_START, Response::AnswerStarted(vm.clone(), request));
                self.schedule(
                    ANSWER_START + ANSWER_DURATION,
                    Response::AnswerEnded(vm, request),
                );
            }
            Decision::Refuse(..) => cost.refused += 1,
            Decision::Order(id, ..) => {
                self.schedule(Span::from_millis(3), Response::OrderAccepted(id))
            }
            Decision::QueryReport(server, _) => {
                self.schedule(Span::from_millis(3), Response::ReportReceived(server));
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
    let rate = rate.unwrap_or(REQUESTS_PER_ENGINE);
    let mut first_cost = None;
    for engines in sizes.split(',').filter_map(|size| size.parse().ok()) {
        let mut fleet = Fleet::new(engines, rate);
        fleet.run(MEASURED_SPAN);
        let cost = fleet.run(MEASURED_SPAN);
        let request_ns = cost.run_ns as f64 / cost.requests as f64;
        let ratio = request_ns / *first_cost.get_or_insert(request_ns);
        println!(
            "{{\"engines\":{engines},\"requests\":{},\"placed\":{},\"refused\":{},\"runs\":{},\"run_us\":{:.1},\"request_us\":{:.2},\"events_us\":{:.2},\"ratio\":{ratio:.2}}}",
            cost.requests,
            cost.placed,
            cost.refused,
            cost.runs,
            cost.run_ns as f64 / 1_000.0 / cost.runs.max(1) as f64,
            request_ns / 1_000.0,
            cost.event_ns as f64 / 1_000.0 / cost.requests as f64,
        );
    }
}
