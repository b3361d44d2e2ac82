//! Servers that say that they are leaving in their answers.
//!
//! The bound is the users': no request that a caller sends later than two seconds after a VM was told reaches that server from that VM,
//! whether or not the key-value service knows of it, and whoever places the request.

mod support;

use dahliastile_core::time::Span;
use support::World;

/// How long after a VM was told requests may still come from it: they may have been on their way.
const BOUND: Span = Span::from_millis(500);

fn check(world: &World, server: &str) {
    let late = world.after_leaving(server, BOUND);
    assert!(
        late.is_empty(),
        "{server}: {} requests, {:?}",
        late.len(),
        late.last()
    );
    assert!(
        world
            .notices
            .arrivals
            .iter()
            .any(|a| a.leaving.is_some() || a.server.as_str() == server),
        "{server} told nobody"
    );
    world.check();
}

/// Guards against VMs that hear of it from the key-value service alone, which is away for as long.
#[test]
fn leaving_engineinanoutage() {
    let mut world = World::warm(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.say_leaving("e3");
    world.busy_night(Span::from_secs(12));
    check(&world, "e3");
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn leaving_plainserverinanoutage() {
    let mut world = World::warm(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.say_leaving("p0");
    world.busy_night(Span::from_secs(12));
    check(&world, "p0");
}
