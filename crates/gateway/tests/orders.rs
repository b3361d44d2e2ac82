//! Tests orders whose answers are lost, that are carried out seconds later, or that reach an engine whose state
//! has changed.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use support::World;
use support::setup::{adapter_request, inference_spec, request};

/// Time between two requests.
const REQUEST_INTERVAL: Span = Span::from_millis(50);

/// Sends a request every 50 ms for sixty adapters in turn, so that adapters are loaded and evicted all the
/// time.
fn send_churning_requests(world: &mut World, span: Span, prefix: &str) -> Vec<u64> {
    let count = usize::try_from(span.0 / REQUEST_INTERVAL.0).expect("small");
    let request = |at| {
        adapter_request(
            &format!("{prefix}{at}"),
            &format!("{prefix}{}", at * 7 % 60),
        )
    };
    world.send_requests(count, REQUEST_INTERVAL, request)
}

fn started_world() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    world
}

/// Guards against an order that an engine carries out late, when its slots have changed. About a third of the
/// orders get no answer and arrive seconds later.
#[test]
fn orders_latenevercrash() {
    let mut world = started_world();
    world.delayed_order_share = 0.35;
    let numbers = send_churning_requests(&mut world, Span::from_secs(8), "a");
    world.delayed_order_share = 0.0;
    world.run(Span::from_secs(14));
    world.check_served(&numbers, 80);
    world.check_invariants();
}

/// Guards against orders that an engine carries out late, while another VM takes over the leadership.
#[test]
fn orders_latethroughtakeover() {
    let mut world = started_world();
    world.delayed_order_share = 0.35;
    send_churning_requests(&mut world, Span::from_secs(3), "a");
    let old = world.holder().expect("a holder");
    world.kill(old, false);
    send_churning_requests(&mut world, Span::from_secs(5), "b");
    world.run(Span::from_secs(14));
    world.check_invariants();
}

/// Guards against requests placed at an engine that crashed, before and after its entry is removed.
#[test]
fn engine_crashedisleftout() {
    let mut world = started_world();
    send_churning_requests(&mut world, Span::from_secs(3), "a");
    world.crash_server("e1");
    let during = send_churning_requests(&mut world, Span::from_secs(2), "b");
    world.remove_server_entry("e1");
    let after = send_churning_requests(&mut world, Span::from_secs(3), "c");
    world.run(Span::from_secs(5));
    let served = world.count_served(&during);
    assert!(
        served * 100 >= during.len() * 70,
        "{served} of {} during",
        during.len()
    );
    let served = world.count_served(&after);
    assert!(
        served * 100 >= after.len() * 95,
        "{served} of {} after",
        after.len()
    );
    world.check_invariants();
}

/// Guards against an engine without a base model that never gets one.
#[test]
fn engine_emptygetsitsbasemodel() {
    let mut world = started_world();
    world.add_server("e9", 9, true);
    let id: Server = support::setup::name("e9");
    world.servers.get_mut(&id).expect("added").0.base_ready_at = None;
    send_churning_requests(&mut world, Span::from_secs(5), "a");
    let engine = &world.servers[&id].0;
    assert!(
        engine.base_ready_at.is_some() && engine.loads > 0,
        "{} loads",
        engine.loads
    );
    world.check_invariants();
}

/// Guards against requests placed at an engine that shuts down, from 300 ms after its entry says that it is not
/// ready.
#[test]
fn drain_getsnothingnew() {
    let mut world = started_world();
    send_churning_requests(&mut world, Span::from_secs(2), "a");
    world.drain("e2");
    world.run(Span::from_millis(300));
    let drained_at = world.now;
    send_churning_requests(&mut world, Span::from_secs(2), "b");
    world.run(Span::from_secs(5));
    let id: Server = support::setup::name("e2");
    let late = world
        .requests
        .values()
        .flat_map(|request| &request.runs)
        .filter(|(at, server)| *at > drained_at && *server == id)
        .count();
    assert_eq!(late, 0);
    world.check_invariants();
}

/// Guards against a request that runs with an older version of its adapter although a newer one was published.
#[test]
fn version_newerisusedinfiveseconds() {
    let mut world = started_world();
    let send_and_run = |world: &mut World, id: &str| {
        let number = world.send_request(
            0,
            request(id, "/plan/x", 5_000, Some(inference_spec("a1", 600, 15))),
        );
        world.run(Span::from_millis(800));
        number
    };
    send_and_run(&mut world, "old");
    world.publish_version("a1", 3);
    world.run(Span::from_millis(100));
    let number = send_and_run(&mut world, "new");
    assert_eq!(world.requests[&number].versions, vec![(3, 3)]);
    world.check_invariants();
}
