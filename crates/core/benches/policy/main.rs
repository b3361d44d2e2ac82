//! Load stalls and batch efficiency of our policy against baselines, for both deployments at today's sizes, in virtual
//! time. Prints one JSON line a run; the same seed gives the same figures.
//!
//! `cargo bench -p dahliastile-core --bench policy -- --seed N --policy NAME --minutes`
#![allow(missing_docs, unreachable_pub, clippy::pedantic)]

mod baseline;
mod minute;
mod ours;
mod trace;
mod world;

use baseline::{Baseline, Style};
use ours::Ours;
use serde_json::json;
use trace::{Deployment, RUN, SEC};
use world::{Policy, World};

/// How long requests that are in progress at the end may still take.
const TAIL: u64 = 90 * SEC;

fn report(world: &World, policy: &str, seed: u64) {
    let deployment = &world.deployment;
    let deadline = deployment.deadline;
    // A request that never got its adapter has stalled until its deadline.
    let mut stalls: Vec<u64> = world
        .fates
        .iter()
        .map(|fate| fate.stall.unwrap_or(deadline))
        .collect();
    stalls.sort_unstable();
    let mean = stalls.iter().sum::<u64>() as f64 / stalls.len().max(1) as f64 / 1e3;
    let p99 = stalls.get(stalls.len() * 99 / 100).copied().unwrap_or(0) as f64 / 1e3;
    let steps: u64 = world.engines.iter().map(|engine| engine.steps).sum();
    let filled: u64 = world.engines.iter().map(|engine| engine.filled).sum();
    let fill = filled as f64 / (steps.max(1) * deployment.batch as u64) as f64;
    let whole = world
        .fates
        .iter()
        .filter(|fate| fate.ended.is_some())
        .count();
    let refused = world.fates.iter().filter(|fate| fate.refused).count();
    let times = world.trace.iter().zip(&world.fates);
    let took: Vec<u64> = times
        .filter_map(|(a, f)| f.ended.map(|end| end - a.at))
        .collect();
    let whole_mean = took.iter().sum::<u64>() as f64 / took.len().max(1) as f64 / 1e3;
    println!(
        "{}",
        json!({
            "deployment": deployment.name,
            "policy": policy,
            "seed": seed,
            "requests": world.fates.len(),
            "load_stall_mean_ms": round(mean),
            "load_stall_p99_ms": round(p99),
            "batch_fill": (fill * 1e4).round() / 1e4,
            "whole_mean_ms": round(whole_mean),
            "loads": world.loads,
            "refused": refused,
            "goodput": round(whole as f64 / (RUN / SEC) as f64),
        })
    );
    if std::env::args().any(|arg| arg == "--minutes") {
        println!("{}", minute::report(world, ours::SETTLE));
    }
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn run<P: Policy>(mut world: World, mut policy: P, name: &str, seed: u64) {
    world.run(&mut policy, ours::SETTLE + RUN + TAIL);
    report(&world, name, seed);
}

fn all(deployment: &Deployment, seed: u64, only: Option<&str>) {
    let world = || World::new(deployment, trace::arrivals(deployment, seed));
    let styles = [
        ("random", Style::Random),
        ("lru", Style::Lru),
        ("lru_aware", Style::LruAware),
        ("hash", Style::Hash),
        ("oracle", Style::Oracle),
    ];
    for (name, style) in styles {
        if only.is_none_or(|only| only == name) {
            let world = world();
            let policy = Baseline::new(style, &world, seed);
            run(world, policy, name, seed);
        }
    }
    if only.is_none_or(|only| only == "ours") {
        let mut world = world();
        let policy = Ours::new(&mut world, seed);
        run(world, policy, "ours", seed);
    }
}

fn value(name: &str) -> Option<String> {
    let args: Vec<String> = std::env::args().collect();
    let at = args.iter().position(|arg| arg == name)?;
    args.get(at + 1).cloned()
}

fn main() {
    let seed = value("--seed").map_or(1, |text| text.parse().expect("--seed takes a number"));
    let only = value("--policy");
    for deployment in [trace::kolenvaart(), trace::rak()] {
        all(&deployment, seed, only.as_deref());
    }
}
