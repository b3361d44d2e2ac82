//! Second sends: all VMs together keep to one budget, though each only knows its own.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::request::budget::RetryBudget;
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::setup::{name, request};

/// The VMs, and the requests of ten seconds to a service that fails all it runs: each VM gets few, so that its own part of
/// the budget is a fraction of a send.
const VMS: usize = 24;
const REQUESTS: u32 = 1_000;

/// Sends beyond the first of each request, over the given requests.
fn repeats(world: &World, numbers: &[u64]) -> u32 {
    let arrivals = numbers.iter().map(|n| world.requests[n].arrivals);
    arrivals.map(|arrivals| arrivals.saturating_sub(1)).sum()
}

/// All that ran failed, and each may be sent once more by its kind: the second sends of all VMs in a window stay below the
/// share of the requests and the allowance besides, and half of them are used, since they are there to serve.
#[test]
fn budget_ofallvmsisshared() {
    let mut world = World::new(VMS, 2, 3);
    world.run(Span::from_secs(2));
    for id in ["p0", "p1", "p2"] {
        let id: Server = name(id);
        world.servers.get_mut(&id).expect("a server").0.failing = true;
    }
    let query = |at| request(&format!("q{at}"), "/query/x", 2_000, None);
    let numbers = world.send_requests(REQUESTS as usize, Span::from_millis(10), query);
    world.run(Span::from_secs(2));
    let tuning = Tuning::default();
    let allowed = tuning.retry_ratio * f64::from(REQUESTS) + tuning.retry_extra;
    let used = f64::from(repeats(&world, &numbers));
    assert!(used <= allowed, "{used} of {allowed}");
    assert!(used >= allowed / 2.0, "{used} of {allowed}");
    world.check_invariants();
}

/// A VM that never has to send again keeps no more than a window of its requests: it did so only where one was sent again,
/// and a calm day of 100 requests a second would have kept nine million.
#[test]
fn budget_keepsawindow() {
    let mut budget = RetryBudget::default();
    let window = Span::from_secs(10);
    for at in 0..100_000 {
        let now = Instant::default() + Span::from_millis(10).times(at);
        budget.request(now, window);
    }
    assert!(budget.kept() <= 1_001, "{} kept", budget.kept());
}
