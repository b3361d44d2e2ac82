//! Orders whose answers are lost, that are carried out seconds later, or that meet an engine which has changed.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use support::World;
use support::setup::{adapter_request, request, work};

/// The pause between two requests.
const PAUSE: Span = Span::from_millis(50);

/// Requests for many adapters, so that places change hands all the time: one every 50 ms over sixty adapters.
fn churn(world: &mut World, span: Span, prefix: &str) -> Vec<u64> {
    let count = usize::try_from(span.0 / PAUSE.0).expect("small");
    let call = |at| {
        adapter_request(
            &format!("{prefix}{at}"),
            &format!("{prefix}{}", at * 7 % 60),
        )
    };
    world.send_requests(count, PAUSE, call)
}

fn ready() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    world
}

#[test]
fn orders_latenevercrash() {
    let mut world = ready();
    world.delayed_order_share = 0.35;
    let numbers = churn(&mut world, Span::from_secs(8), "a");
    world.delayed_order_share = 0.0;
    world.run(Span::from_secs(14));
    world.check_served(&numbers, 80);
    world.check_invariants();
}

#[test]
fn orders_latethroughtakeover() {
    let mut world = ready();
    world.delayed_order_share = 0.35;
    churn(&mut world, Span::from_secs(3), "a");
    let old = world.holder().expect("a holder");
    world.kill(old, false);
    churn(&mut world, Span::from_secs(5), "b");
    world.run(Span::from_secs(14));
    world.check_invariants();
}

#[test]
fn engine_crashedisleftout() {
    let mut world = ready();
    churn(&mut world, Span::from_secs(3), "a");
    world.crash_server("e1");
    let during = churn(&mut world, Span::from_secs(2), "b");
    world.remove_server_entry("e1");
    let after = churn(&mut world, Span::from_secs(3), "c");
    world.run(Span::from_secs(5));
    let good = world.count_served(&during);
    assert!(
        good * 100 >= during.len() * 70,
        "{good} of {} during",
        during.len()
    );
    let good = world.count_served(&after);
    assert!(
        good * 100 >= after.len() * 95,
        "{good} of {} after",
        after.len()
    );
    world.check_invariants();
}

#[test]
fn engine_emptygetsitsbasemodel() {
    let mut world = ready();
    world.add_server("e9", 9, true);
    let id: Server = support::setup::name("e9");
    world.servers.get_mut(&id).expect("added").0.base_ready_at = None;
    churn(&mut world, Span::from_secs(5), "a");
    let engine = &world.servers[&id].0;
    assert!(
        engine.base_ready_at.is_some() && engine.loads > 0,
        "{} loads",
        engine.loads
    );
    world.check_invariants();
}

#[test]
fn drain_getsnothingnew() {
    let mut world = ready();
    churn(&mut world, Span::from_secs(2), "a");
    world.drain("e2");
    world.run(Span::from_millis(300));
    let from = world.now;
    churn(&mut world, Span::from_secs(2), "b");
    world.run(Span::from_secs(5));
    let id: Server = support::setup::name("e2");
    let late = world
        .requests
        .values()
        .flat_map(|a| &a.runs)
        .filter(|(at, server)| *at > from && *server == id)
        .count();
    assert_eq!(late, 0);
    world.check_invariants();
}

#[test]
fn version_newerisusedinfiveseconds() {
    let mut world = ready();
    let warm = |world: &mut World, id: &str| {
        let number =
            world.send_request(0, request(id, "/plan/x", 5_000, Some(work("a1", 600, 15))));
        world.run(Span::from_millis(800));
        number
    };
    warm(&mut world, "old");
    world.publish_version("a1", 3);
    world.run(Span::from_millis(100));
    let number = warm(&mut world, "new");
    assert_eq!(world.requests[&number].versions, vec![(3, 3)]);
    world.check_invariants();
}
