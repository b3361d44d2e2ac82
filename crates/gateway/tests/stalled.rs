//! Requests in the queue of an engine that stops or becomes much slower, in a fleet where other engines hold the adapter.

mod support;

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::config::{Config, Route, RouteKind};
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::engine::SlowPeriod;
use support::setup::{self, ENGINES, inference_spec, name, request};

/// Objective of the requests.
const OBJECTIVE: Span = Span::from_secs(1);

/// Prompt of the route guidance deployment in tokens: 118 ms.
const LONG: u32 = 2_368;

/// Returns request number `at`, for one of `adapters` adapters. One in three may run only once.
fn mixed(at: usize, prompt: u32, adapters: usize) -> CallerRequest {
    let path = ["/plan/x", "/berth/x", "/berth/x"][at % 3];
    let work = inference_spec(&format!("a{}", at % adapters), prompt, 8);
    request(&format!("r{at}"), path, 5_000, Some(work))
}

/// Returns a request of the kind that may run on two servers.
fn repeatable(at: usize) -> CallerRequest {
    let work = inference_spec("a1", LONG, 8);
    request(&format!("r{at}"), "/berth/x", 5_000, Some(work))
}

/// Returns a fleet of six engines without some features, after 2 s without load. Each route allows two attempts, so that
/// only its kind decides whether a request may run twice.
fn world(without: &[Feature]) -> World {
    let without: DisabledFeatures = without.iter().copied().collect();
    let mut world = World::without_features(4, 6, 1, Tuning::default(), without);
    world.configure(config(2, |route| route.attempts = 2));
    world.run(Span::from_secs(2));
    world
}

/// Returns a configuration with a change of all routes to engines.
fn config(version: u64, change: fn(&mut Route)) -> Config {
    let mut config = setup::config(version);
    let is_engine = |route: &&mut Arc<Route>| route.targets[0].service == name(ENGINES);
    for route in config.routes.iter_mut().filter(is_engine) {
        change(Arc::make_mut(route));
    }
    config
}

/// Returns a fleet of six engines, five of which hold the adapter of [`repeatable`].
fn fleet(without: &[Feature]) -> World {
    let mut world = world(without);
    world.send_requests(200, Span::from_millis(24), repeatable);
    world.run(Span::from_secs(2));
    world
}

/// Slows an engine down for 2 s, by a factor or to a stop.
fn slow_down(world: &mut World, engine: &str, factor: Option<u64>) {
    let (from, until) = (world.now, world.now + Span::from_secs(2));
    let server: Server = name(engine);
    let engine = world.servers.get_mut(&server).expect("an engine");
    engine.0.slow_period = Some(SlowPeriod {
        from,
        until,
        factor,
    });
}

/// Slows `e1` down and sends requests for its 2 s, a third of the engines' prefill rate. Returns their numbers.
fn stall(world: &mut World, factor: Option<u64>) -> Vec<u64> {
    slow_down(world, "e1", factor);
    let numbers = world.send_requests(64, Span::from_millis(31), repeatable);
    world.run(Span::from_secs(6));
    numbers
}

/// Returns how many requests were late or not served, and how many were not served.
fn late_and_unserved(world: &World, numbers: &[u64]) -> (usize, usize) {
    let first_chunks = numbers.iter().map(|n| world.time_to_first_chunk(*n));
    let late = first_chunks.filter(|first| first.is_none_or(|first| first > OBJECTIVE));
    (late.count(), numbers.len() - world.count_served(numbers))
}

/// Asserts that only requests that may run twice were withdrawn, that each was cancelled before it ran elsewhere, and
/// that the retry budget was charged (a quarter of the requests and 50, of which the VMs use 0.6).
fn check_withdrawals(world: &World) {
    assert_eq!(world.concurrent_runs, 0);
    for (at, number, server) in &world.cancelled {
        let record = &world.requests[number];
        assert_eq!(record.request.path, "/berth/x");
        assert!(record.runs.len() <= 2, "{:?}", record.runs);
        let is_after = |(ran, other): &(_, Server)| other == server || ran >= at;
        assert!(record.runs.iter().all(is_after), "{:?}", record.runs);
    }
    assert!(world.cancelled.len() * 100 <= world.requests.len() * 15 + 30 * 100);
    world.check_invariants();
}

/// Guards against requests that wait in the queue of an engine that has stopped: without withdrawals, and with new
/// requests placed there, those are late. Compared with the feature off, for an engine that stops with a queue of short
/// prompts, and for each of four engines that are 5 times slower, with long prompts for an adapter that most of them
/// hold.
#[test]
fn engine_stalledmakesfewlate() {
    let stopped: (_, _, &[&str]) = (None, (600, 8, 2), &["e1"]);
    let slower: (_, _, &[&str]) = (Some(5), (LONG, 31, 1), &["e0", "e1", "e2", "e3"]);
    for (factor, (prompt, millis, adapters), engines) in [stopped, slower] {
        let outcome = |without: &[Feature]| {
            let (mut late, mut unserved) = (0, 0);
            for engine in engines {
                let mut world = world(without);
                let interval = Span::from_millis(millis as u64);
                let request = |at| mixed(at, prompt, adapters);
                world.send_requests(4_000 / millis, interval, request);
                slow_down(&mut world, engine, factor);
                let numbers = world.send_requests(3_000 / millis, interval, request);
                world.run(Span::from_secs(6));
                check_withdrawals(&world);
                let outcome = late_and_unserved(&world, &numbers);
                (late, unserved) = (late + outcome.0, unserved + outcome.1);
            }
            (late, unserved)
        };
        let (with, without) = (outcome(&[]), outcome(&[Feature::StalledEngines]));
        println!("{factor:?}: (late, unserved) {with:?}, {without:?} without the feature");
        assert!(with.0 * 2 <= without.0, "{with:?}, {without:?}");
        assert!(with.1 <= without.1, "{with:?}, {without:?}");
    }
}

/// Guards against a request that stays in the queue of a stopped engine although others are idle.
#[test]
fn request_iswithdrawnandserved() {
    let mut world = fleet(&[]);
    let numbers = stall(&mut world, None);
    assert!(!world.cancelled.is_empty());
    assert_eq!(late_and_unserved(&world, &numbers), (0, 0));
    for (_, number, _) in &world.cancelled {
        assert_eq!(world.requests[number].runs.len(), 2);
    }
    check_withdrawals(&world);
}

/// Guards against a request that is cancelled without a message of the scheduler, or lost with the message: it stays
/// where it is and is served when the engine continues.
#[test]
fn message_lostleavestherequest() {
    let mut world = fleet(&[]);
    let holder = world.holder().expect("a holder");
    world.lost_kinds.insert("withdraw");
    let numbers = stall(&mut world, None);
    assert!(world.messages_by_kind.contains_key("withdraw"));
    for (_, number, _) in &world.cancelled {
        assert_eq!(world.requests[number].vm, holder, "needs no message");
    }
    assert_eq!(late_and_unserved(&world, &numbers).1, 0);
    check_withdrawals(&world);
}

/// Guards against an answer that is lost, or run a second time, because it starts after the gateway has decided to
/// cancel the attempt and before the attempt's task knows. The task reads the decision 300 ms late; the engine, which
/// is 5 times slower, starts the answer 190 ms after the decision.
#[test]
fn answer_startingmeanwhilestays() {
    let mut world = fleet(&[]);
    world.cancel_delay = Span::from_millis(300);
    let numbers = stall(&mut world, Some(5));
    let asked = world.log_lines.iter();
    let asked = asked.filter(|line| line.contains("WithdrawalAsked"));
    assert!(asked.count() >= 1, "no answer crossed a withdrawal");
    assert!(world.cancelled.is_empty(), "{:?}", world.cancelled);
    for number in &numbers {
        assert_eq!(world.requests[number].runs.len(), 1);
    }
    assert_eq!(late_and_unserved(&world, &numbers).1, 0);
    check_withdrawals(&world);
}

/// Guards against a withdrawal by a scheduler that does not know since when an engine has been silent, and against a
/// request that is lost when the scheduler's VM ends while it is withdrawn. The scheduler is killed at each of these
/// times after the engine stopped; its withdrawals begin after 400 ms.
#[test]
fn scheduler_replacedlosesnothing() {
    for millis in [300, 480, 500, 900] {
        let mut world = fleet(&[]);
        slow_down(&mut world, "e1", None);
        let mut numbers = world.send_requests(millis / 20, Span::from_millis(20), repeatable);
        let holder = world.holder().expect("a holder");
        world.kill(holder, false);
        numbers.retain(|number| world.requests[number].vm != holder);
        world.run(Span::from_secs(9));
        assert_eq!(late_and_unserved(&world, &numbers).1, 0, "{millis} ms");
        check_withdrawals(&world);
    }
}

/// Guards against withdrawals from healthy engines: prompts that take up to 1 s to read, and decisions that differ
/// from those without the feature where nothing stalls.
#[test]
fn engine_healthydecidesasbefore() {
    let lines = |without: &[Feature]| {
        let mut world = world(without);
        let request = |at| mixed(at, [600, LONG, 9_000, 20_000][at % 4], 2);
        world.send_requests(120, Span::from_millis(90), request);
        world.send_requests(300, Span::from_millis(15), |at| mixed(at, 1_460, 2));
        world.run(Span::from_secs(6));
        world.check_invariants();
        let served = world.total_served();
        (world.log_lines, world.messages_by_kind, served)
    };
    let (with, without) = (lines(&[]), lines(&[Feature::StalledEngines]));
    assert!(with.2 >= 300, "{} served", with.2);
    assert_eq!(with, without);
}

/// Guards against effects where the configuration does not allow withdrawals: each request may run on one server, or
/// an answer of the service is no stream.
#[test]
fn config_withoutrepeatsdecidesasbefore() {
    let changes: [fn(&mut Route); 2] = [
        |route| route.attempts = 1,
        |route| route.kind = RouteKind::Safe,
    ];
    for change in changes {
        let lines = |without: &[Feature]| {
            let mut world = world(without);
            world.configure(config(3, change));
            world.run(Span::from_secs(2));
            world.send_requests(200, Span::from_millis(24), repeatable);
            stall(&mut world, None);
            world.log_lines
        };
        assert_eq!(lines(&[]), lines(&[Feature::StalledEngines]));
    }
}
