//! Servers that name the requests a second that they take from all VMs together.
//!
//! The bound is the users': in four seconds at most one and a half times what the limit allows, and five requests, from half a second
//! after it was first named. Orders and questions for reports count as well.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::notice::Rate;
use support::World;
use support::setup::{call, draft};

/// A fleet after some seconds of a night.
fn warm(vms: usize) -> World {
    let mut world = World::new(vms, 12, 4);
    world.run(Span::from_secs(2));
    night(&mut world, Span::from_secs(2));
    world
}

/// The load of a night: each 20 ms a request for one of sixty adapters in turn, and each fourth time one to a plain service.
fn night(world: &mut World, span: Span) -> Vec<u64> {
    let pause = Span::from_millis(20);
    let count = usize::try_from(span.0 / pause.0).expect("small");
    let ask = |at: usize| match at % 4 {
        0 => call(&format!("q{at}"), "/query/x", 2_000, None),
        _ => draft(&format!("r{at}"), &format!("a{}", at * 7 % 60)),
    };
    world.ask_all(count, pause, ask)
}

/// Guards against a fleet whose VMs don't read the limit that an engine names.
#[test]
fn limit_namedbyengines() {
    let mut world = warm(6);
    world.name_limit("e0", Some(Rate(1_000)));
    world.name_limit("e1", Some(Rate(1_900)));
    night(&mut world, Span::from_secs(10));
    world.check_limits();
    world.check();
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn limit_namedbyplainservers() {
    let mut world = warm(6);
    world.name_limit("p0", Some(Rate(1_000)));
    world.name_limit("p1", Some(Rate(200)));
    night(&mut world, Span::from_secs(10));
    world.check_limits();
    world.check();
}
