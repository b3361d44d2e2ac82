//! Servers that fail requests, one or all of them, and recover.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use support::World;
use support::setup::adapter_request;

/// The pause between two requests.
const PAUSE: Span = Span::from_millis(40);

/// Sends requests for eight adapters in rotation, one every 40 ms for the span. Returns their numbers.
fn send_load(world: &mut World, span: Span) -> Vec<u64> {
    let count = usize::try_from(span.0 / PAUSE.0).expect("small");
    let request = |at| adapter_request(&format!("r{at}"), &format!("a{}", at * 5 % 8));
    world.send_requests(count, PAUSE, request)
}

fn set_failing(world: &mut World, ids: &[&str], failing: bool) {
    for id in ids {
        let id: Server = support::setup::name(id);
        world.servers.get_mut(&id).expect("a server").0.failing = failing;
    }
}

fn world_under_load() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    send_load(&mut world, Span::from_secs(2));
    world
}

/// All engines fail for some seconds, as with a common fault. Afterwards each of them must get requests
/// again.
#[test]
fn engines_allfailandreturn() {
    let mut world = world_under_load();
    let all = ["e0", "e1", "e2", "e3"];
    set_failing(&mut world, &all, true);
    send_load(&mut world, Span::from_secs(4));
    set_failing(&mut world, &all, false);
    let after = send_load(&mut world, Span::from_secs(3));
    world.run(Span::from_secs(5));
    let served = world.count_served(&after);
    assert!(
        served * 100 >= after.len() * 97,
        "{served} served of {}",
        after.len()
    );
    world.check_invariants();
}

/// One engine of four fails permanently although it accepts connections. The others must serve nearly all
/// requests.
#[test]
fn engine_onefailsisavoided() {
    let mut world = world_under_load();
    set_failing(&mut world, &["e1"], true);
    send_load(&mut world, Span::from_secs(2));
    let numbers = send_load(&mut world, Span::from_secs(4));
    world.run(Span::from_secs(5));
    world.check_served(&numbers, 90);
    world.check_invariants();
}

/// An engine that failed and has recovered gets requests again.
#[test]
fn engine_recoveredisused() {
    let mut world = world_under_load();
    set_failing(&mut world, &["e1"], true);
    send_load(&mut world, Span::from_secs(3));
    set_failing(&mut world, &["e1"], false);
    send_load(&mut world, Span::from_secs(6));
    let recovered_at = world.now;
    send_load(&mut world, Span::from_secs(4));
    let id: Server = support::setup::name("e1");
    let runs = world.requests.values().flat_map(|record| &record.runs);
    assert!(
        runs.filter(|(at, server)| *at > recovered_at && *server == id)
            .count()
            > 0
    );
    world.check_invariants();
}

/// A failed request is subtracted from its server's open requests once. Guards against a second subtraction
/// at the request's end, which would hide another request there from the load balancer.
#[test]
fn failed_issubtractedonce() {
    let mut world = World::new(1, 0, 1);
    world.run(Span::from_secs(2));
    set_failing(&mut world, &["p0"], true);
    let post = |id: &str| support::setup::request(id, "/post/x", 2_000, None);
    world.send_request(0, post("first"));
    world.run(Span::from_millis(30));
    world.send_request(0, post("second"));
    world.run(Span::from_millis(40));
    world.send_request(0, post("third"));
    let mut lines = world.log_lines.iter();
    let sent = lines.find(|line| line.contains("Sent") && line.contains("id=third"));
    let sent = sent.expect("the request was not sent");
    assert!(sent.contains(" open=2 "), "{sent}");
}
