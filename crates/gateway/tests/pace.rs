//! Runs the scheduler on a VM that is too slow for a scheduler run after each event.
//!
//! The load is that of a deployment with 100 engines and 1,000 requests a second on half a core, scaled down
//! to a test's size: each event takes 1 ms of processor time and each run 8 ms, at 40 requests a second,
//! which cause some 160 events a second. One run per event would take 1.4 times the available processor time;
//! one run for all events that came in since the last run takes half of it.

mod support;

use dahliastile_core::time::Span;
use support::World;
use support::setup::adapter_request;

/// Processor time of an event, and of a scheduler run.
const CPU_COST: (Span, Span) = (Span::from_millis(1), Span::from_millis(8));

/// Returns a fleet in which the scheduler's VM needs this processor time for an event and for a run.
fn slow_scheduler(cpu_cost: (Span, Span)) -> World {
    let mut world = World::new(6, 8, 1);
    world.run(Span::from_secs(2));
    let holder = world.holder().expect("a holder");
    world.vms[holder].cpu_cost = cpu_cost;
    world
}

/// Sends `count` requests at a steady pace to 24 adapters in turn and returns the requests' numbers.
fn send_load(world: &mut World, count: usize, pause: Span) -> Vec<u64> {
    world.send_requests(count, pause, |at| {
        adapter_request(&format!("r{at}"), &format!("a{}", at * 7 % 24))
    })
}

/// Returns the number of log lines of a kind.
fn count_log_lines(world: &World, kind: &str) -> usize {
    world
        .log_lines
        .iter()
        .filter(|line| line.contains(kind))
        .count()
}

/// The VM keeps its leadership, no VM considers its scheduler silent, and requests are served.
#[test]
fn runs_onaslowvmkeeptheleadership() {
    let mut world = slow_scheduler(CPU_COST);
    let before = (
        count_log_lines(&world, "LeaseTaken"),
        count_log_lines(&world, "HolderSilent"),
    );
    let numbers = send_load(&mut world, 400, Span::from_millis(25));
    world.run(Span::from_secs(6));
    let after = (
        count_log_lines(&world, "LeaseTaken"),
        count_log_lines(&world, "HolderSilent"),
    );
    assert_eq!(after, before);
    world.check_served(&numbers, 90);
    world.check_invariants();
}

/// For five seconds, more requests come than the VM's processor can handle. One second later, requests are
/// served as before.
#[test]
fn runs_afteraburstaretimely() {
    let mut world = slow_scheduler(CPU_COST);
    send_load(&mut world, 1_000, Span::from_millis(5));
    world.run(Span::from_secs(1));
    let numbers = send_load(&mut world, 80, Span::from_millis(50));
    world.run(Span::from_secs(5));
    world.check_served(&numbers, 95);
    world.check_invariants();
}

/// A run takes longer than the longest run interval, as with 3,000 engines. Runs still leave half of the
/// processor time to events. One run per event would take eight times the available processor time.
#[test]
fn runs_longerthanthelongestintervalleavetime() {
    let mut world = slow_scheduler((Span::from_millis(1), Span::from_millis(60)));
    let before = count_log_lines(&world, "LeaseTaken");
    let numbers = send_load(&mut world, 300, Span::from_millis(33));
    world.run(Span::from_secs(6));
    assert_eq!(count_log_lines(&world, "LeaseTaken"), before);
    world.check_served(&numbers, 90);
    world.check_invariants();
}
