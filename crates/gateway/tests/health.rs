//! Servers that fail what they run, some of them or all, and come back.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use support::World;
use support::setup::adapter_request;

/// The pause between two requests.
const PAUSE: Span = Span::from_millis(40);

/// Requests for one of eight adapters in turn, every 40 ms for the span; their numbers.
fn traffic(world: &mut World, span: Span) -> Vec<u64> {
    let count = usize::try_from(span.0 / PAUSE.0).expect("small");
    let call = |at| adapter_request(&format!("r{at}"), &format!("a{}", at * 5 % 8));
    world.send_requests(count, PAUSE, call)
}

fn fail(world: &mut World, ids: &[&str], failing: bool) {
    for id in ids {
        let id: Server = support::setup::name(id);
        world.servers.get_mut(&id).expect("a server").0.failing = failing;
    }
}

fn warm() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    traffic(&mut world, Span::from_secs(2));
    world
}

/// All engines fail for some seconds, as when a fault of theirs is common to all: afterwards each must get work again.
#[test]
fn engines_allfailandreturn() {
    let mut world = warm();
    let all = ["e0", "e1", "e2", "e3"];
    fail(&mut world, &all, true);
    traffic(&mut world, Span::from_secs(4));
    fail(&mut world, &all, false);
    let after = traffic(&mut world, Span::from_secs(3));
    world.run(Span::from_secs(5));
    let good = world.count_served(&after);
    assert!(good * 100 >= after.len() * 97, "{good} of {}", after.len());
    world.check_invariants();
}

/// One engine of four fails for good while it looks well: the others must serve nearly all.
#[test]
fn engine_onefailsisavoided() {
    let mut world = warm();
    fail(&mut world, &["e1"], true);
    traffic(&mut world, Span::from_secs(2));
    let numbers = traffic(&mut world, Span::from_secs(4));
    world.run(Span::from_secs(5));
    world.check_served(&numbers, 90);
    world.check_invariants();
}

/// An engine that failed and is well again gets work again.
#[test]
fn engine_wellagainisused() {
    let mut world = warm();
    fail(&mut world, &["e1"], true);
    traffic(&mut world, Span::from_secs(3));
    fail(&mut world, &["e1"], false);
    traffic(&mut world, Span::from_secs(6));
    let from = world.now;
    traffic(&mut world, Span::from_secs(4));
    let id: Server = support::setup::name("e1");
    let runs = world.requests.values().flat_map(|a| &a.runs);
    assert!(
        runs.filter(|(at, server)| *at > from && *server == id)
            .count()
            > 0
    );
    world.check_invariants();
}

/// A request that its server failed leaves it once: the others there still count for whoever chooses a server.
#[test]
fn failed_countsonceasgone() {
    let mut world = World::new(1, 0, 1);
    world.run(Span::from_secs(2));
    fail(&mut world, &["p0"], true);
    let post = |id: &str| support::setup::request(id, "/post/x", 2_000, None);
    world.send_request(0, post("first"));
    world.run(Span::from_millis(30));
    world.send_request(0, post("second"));
    world.run(Span::from_millis(40));
    world.send_request(0, post("third"));
    let mut lines = world.log_lines.iter();
    let sent = lines.find(|line| line.contains("Sent") && line.contains("id=third"));
    let sent = sent.expect("it was sent");
    assert!(sent.ends_with("open=2"), "{sent}");
}
