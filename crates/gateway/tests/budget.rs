//! The retry budget of a service: all VMs together stay within it, although each VM counts only its own
//! requests and retries.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::request::budget::RetryBudget;
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::setup::{name, request};

/// Number of VMs. Each of them gets so few of the requests that its part of the budget is less than one retry.
const VMS: usize = 24;
/// Number of requests in ten seconds to a service that fails all of them.
const REQUESTS: u32 = 1_000;

/// Returns the number of retries of the given requests.
fn count_retries(world: &World, numbers: &[u64]) -> u32 {
    let arrivals = numbers.iter().map(|n| world.requests[n].arrivals);
    arrivals.map(|arrivals| arrivals.saturating_sub(1)).sum()
}

/// All requests run and fail, and their route allows one retry of each. The retries of all VMs in a window
/// stay within the share of the requests plus the extra allowance. At least half of these are used, because
/// an unused retry helps no caller.
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
    let retries = f64::from(count_retries(&world, &numbers));
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
    assert!(
        retries >= allowed / 2.0,
        "{retries} retries, {allowed} allowed"
    );
    world.check_invariants();
}

/// A VM that never retries keeps no more than one window of its requests. Guards against a budget that
/// dropped old requests only on a retry: at 100 requests per second it would have kept nine million after a
/// day.
#[test]
fn budget_keepsawindow() {
    let mut budget = RetryBudget::default();
    let window = Span::from_secs(10);
    for at in 0..100_000 {
        let now = Instant::default() + Span::from_millis(10).times(at);
        budget.record_request(now, window);
    }
    assert!(
        budget.recorded_count() <= 1_001,
        "{} times kept",
        budget.recorded_count()
    );
}
