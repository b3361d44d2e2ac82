//! The time of one decision, warm: a request from its arrival to the order to send it, its answer, and a tick, against a
//! naive version in the same run. Prints one JSON line a size.
//!
//! `cargo bench -p dahliastile-core --bench decision -- --seed N`
#![allow(missing_docs, unreachable_pub, unsafe_code, clippy::pedantic)]

mod counter;
mod deployment;
mod naive;

use std::collections::VecDeque;
use std::time::Instant as Wall;

use dahliastile_core::config::Change;
use dahliastile_core::config::rules::Rules;
use dahliastile_core::effect::{Effect, Effects};
use dahliastile_core::event::{Event, Head};
use dahliastile_core::id::{Attempt, Request};
use deployment::{Deployment, Size};
use serde_json::json;

/// Requests measured at each size, after as many to warm up.
const REQUESTS: u64 = 40_000;
/// Requests in flight.
const IN_FLIGHT: usize = 200;
/// Requests between two ticks.
const A_TICK: u64 = 50;

/// What one kind of step cost.
#[derive(Default)]
struct Cost {
    nanos: Vec<u64>,
    allocations: u64,
}

impl Cost {
    fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let (allocations, wall) = (counter::count(), Wall::now());
        let result = work();
        self.nanos.push(wall.elapsed().as_nanos() as u64);
        self.allocations += counter::count() - allocations;
        result
    }

    fn mean(&self) -> u64 {
        self.nanos.iter().sum::<u64>() / self.nanos.len().max(1) as u64
    }

    fn quantile(&self, thousandths: usize) -> u64 {
        let mut sorted = self.nanos.clone();
        sorted.sort_unstable();
        let at = sorted.len() * thousandths / 1_000;
        sorted
            .get(at.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }

    fn allocations(&self) -> f64 {
        let each = self.allocations as f64 / self.nanos.len().max(1) as f64;
        (each * 100.0).round() / 100.0
    }
}

fn attempt(effects: &Effects) -> Option<Attempt> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(work) => Some(work.attempt),
        _ => None,
    })
}

/// Requests through a node: costs of arrivals, answers and ticks.
fn run(deployment: &mut Deployment, first: u64) -> [Cost; 3] {
    let [mut arrive, mut answer, mut tick] = [(); 3].map(|()| Cost::default());
    let mut effects = Effects::with_capacity(64);
    let mut in_flight = VecDeque::with_capacity(IN_FLIGHT + 1);
    for number in first..first + REQUESTS {
        let call = Box::new(deployment.call(number));
        let request = Request(number);
        effects.clear();
        let now = deployment.pass(400);
        let node = &mut deployment.node;
        arrive.time(|| node.step(now, Event::Arrived { request, call }, &mut effects));
        let attempt = attempt(&effects).unwrap_or_else(|| panic!("{request}: {effects:?}"));
        in_flight.push_back((attempt, deployment.model(number)));
        if in_flight.len() > IN_FLIGHT {
            let (attempt, model) = in_flight.pop_front().expect("not empty");
            finish(deployment, attempt, model, &mut effects, &mut answer);
        }
        if number % A_TICK == 0 {
            effects.clear();
            tick.time(|| deployment.node.step(now, Event::Tick, &mut effects));
            deployment.refresh();
        }
    }
    for (attempt, model) in in_flight {
        finish(deployment, attempt, model, &mut effects, &mut answer);
    }
    [arrive, answer, tick]
}

/// The whole answer to an attempt: its head, one piece and its end.
fn finish(
    deployment: &mut Deployment,
    attempt: Attempt,
    model: String,
    effects: &mut Effects,
    cost: &mut Cost,
) {
    let model = Some(model);
    let head = Head {
        status: 200,
        content_type: "application/json".to_owned(),
        model: model.clone(),
    };
    let chunk = Event::Chunk {
        attempt,
        model,
        tokens: 1,
        data: vec![0; 64],
    };
    let now = deployment.pass(0);
    let node = &mut deployment.node;
    effects.clear();
    cost.time(|| {
        node.step(now, Event::Begun { attempt, head }, effects);
        node.step(now, chunk, effects);
        node.step(now, Event::Ended { attempt }, effects);
    });
}

/// The compiled rules and the scan over the same requests.
fn rules(deployment: &Deployment) -> [Cost; 2] {
    let compiled = Rules::new(deployment.document.rules.clone());
    let [mut index, mut scan] = [(); 2].map(|()| Cost::default());
    const BATCH: u64 = 16;
    for round in 0..REQUESTS / BATCH {
        let calls: Vec<_> = (0..BATCH)
            .map(|i| deployment.call(round * BATCH + i))
            .collect();
        let subjects: Vec<_> = calls.iter().map(|call| deployment.subject(call)).collect();
        let find = |subject| compiled.find(subject);
        let found: Vec<_> = index.time(|| subjects.iter().map(find).collect());
        let naive = |subject| compiled.naive(subject);
        let expected: Vec<_> = scan.time(|| subjects.iter().map(naive).collect());
        assert_eq!(found, expected);
    }
    for cost in [&mut index, &mut scan] {
        // The one allocation of each batch is that of the list of results.
        cost.allocations -= REQUESTS / BATCH;
        cost.nanos.iter_mut().for_each(|nanos| *nanos /= BATCH);
    }
    [index, scan]
}

fn measure(size: Size, seed: u64) {
    let mut deployment = Deployment::new(size, seed);
    let [index, scan] = rules(&deployment);
    run(&mut deployment, 1);
    let [arrive, answer, tick] = run(&mut deployment, 1 + REQUESTS);
    let mut naive = Cost::default();
    let router = naive::Router::new(&deployment);
    for number in 0..REQUESTS / 20 {
        let call = deployment.call(number);
        let subject = deployment.subject(&call);
        let name = deployment.model(number);
        naive.time(|| router.choose(&subject, &name).expect("granted somewhere"));
    }
    let mut leaving = deployment.document.servers[0].clone();
    leaving.leaving = true;
    let server_edit = deployment.edit(Change::PutServer(leaving));
    let rule = deployment.document.rules[0].clone();
    let rule_edit = deployment.edit(Change::ReplaceRule { rule });
    println!(
        "{}",
        json!({
            "bench": "decision",
            "replicas": size.replicas,
            "adapters": size.adapters,
            "rules": size.rules,
            "seed": seed,
            "requests": REQUESTS,
            "rule_ns": index.mean(),
            "rule_scan_ns": scan.mean(),
            "rule_allocations": index.allocations(),
            "request_ns": arrive.mean(),
            "request_p50_ns": arrive.quantile(500),
            "request_p99_ns": arrive.quantile(990),
            "request_allocations": arrive.allocations(),
            "naive_request_ns": naive.mean(),
            "answer_ns": answer.mean(),
            "answer_allocations": answer.allocations(),
            "tick_ns": tick.mean(),
            "tick_p99_ns": tick.quantile(990),
            "tick_allocations": tick.allocations(),
            "server_edit_us": server_edit.as_micros() as u64,
            "rule_edit_us": rule_edit.as_micros() as u64,
        })
    );
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let seed = args.iter().position(|arg| arg == "--seed");
    let seed = seed.and_then(|at| args.get(at + 1)?.parse().ok());
    for size in Size::ALL {
        measure(size, seed.unwrap_or(1));
    }
}
