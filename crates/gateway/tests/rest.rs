//! Servers that turn requests away and ask the VM that sent them for rest.
//!
//! The bound is the users': at most two requests reach such a server from that VM between half a second after the answer and the end of
//! the time that it names. Orders and questions for reports count as well.

mod support;

use dahliastile_core::time::Span;
use support::World;

/// What the recorded engines asked for.
const REST: Span = Span::from_secs(3);
/// Requests that are allowed in it.
const ALLOWED: usize = 2;

fn check(world: &World, server: &str) {
    let most = world.most_in_rest(server);
    let asked = world.notices.rests.len();
    assert!(asked > 0, "no rest was asked for");
    assert!(
        most <= ALLOWED,
        "{server}: {most} requests in one of {asked} rests"
    );
    world.check();
}

/// Guards against VMs that don't read for how long an engine wants nothing of them.
#[test]
fn rest_askedbyengines() {
    let mut world = World::warm(6);
    world.ask_rest("e0", Some(REST));
    world.ask_rest("e1", Some(REST));
    world.busy_night(Span::from_secs(8));
    check(&world, "e0");
    check(&world, "e1");
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn rest_askedbyplainservers() {
    let mut world = World::warm(6);
    world.ask_rest("p0", Some(REST));
    world.busy_night(Span::from_secs(8));
    check(&world, "p0");
}
