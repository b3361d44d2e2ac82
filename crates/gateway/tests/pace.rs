//! A scheduler whose VM is too weak for a run after each thing that it is told.
//!
//! The load is that of a deployment with 100 engines and a thousand requests a second on half a core, scaled to what a test can
//! play: each event takes 1 ms of the processor and each run 8 ms, at 40 requests a second, which make some 160 events. One run for
//! each event would take 1.4 times what there is; a run for all that came in meanwhile takes half.

mod support;

use dahliastile_core::time::Span;
use support::World;
use support::setup::adapter_request;

/// The processor's time for an event, and for a run.
const WORK: (Span, Span) = (Span::from_millis(1), Span::from_millis(8));

/// A fleet whose scheduler's VM takes so long for an event and for a run.
fn slow(work: (Span, Span)) -> World {
    let mut world = World::new(6, 8, 1);
    world.run(Span::from_secs(2));
    let holder = world.holder().expect("a holder");
    world.vms[holder].cpu_cost = work;
    world
}

/// Requests at a pace for some seconds, for two dozen adapters in turn.
fn load(world: &mut World, count: usize, pause: Span) -> Vec<u64> {
    world.send_requests(count, pause, |at| {
        adapter_request(&format!("r{at}"), &format!("a{}", at * 7 % 24))
    })
}

/// How often a line of a kind was written.
fn lines(world: &World, kind: &str) -> usize {
    world
        .log_lines
        .iter()
        .filter(|line| line.contains(kind))
        .count()
}

/// It keeps its leadership and its word: nobody takes it for silent, and requests are served.
#[test]
fn runs_onaslowvmkeepitsword() {
    let mut world = slow(WORK);
    let before = (lines(&world, "LeaseTaken"), lines(&world, "HolderSilent"));
    let numbers = load(&mut world, 400, Span::from_millis(25));
    world.run(Span::from_secs(6));
    let after = (lines(&world, "LeaseTaken"), lines(&world, "HolderSilent"));
    assert_eq!(after, before);
    world.check_served(&numbers, 90);
    world.check_invariants();
}

/// More than its VM can bear comes for five seconds: a second after the end of it the service is what it was before.
#[test]
fn runs_afteraburstaretimely() {
    let mut world = slow(WORK);
    load(&mut world, 1_000, Span::from_millis(5));
    world.run(Span::from_secs(1));
    let numbers = load(&mut world, 80, Span::from_millis(50));
    world.run(Span::from_secs(5));
    world.check_served(&numbers, 95);
    world.check_invariants();
}

/// A run takes longer than the longest time between two of them, as with 3,000 engines: it still leaves half of the time to what the
/// scheduler is told. One run for each event would take eight times what there is.
#[test]
fn runs_longerthanthelongestgapleaveroom() {
    let mut world = slow((Span::from_millis(1), Span::from_millis(60)));
    let before = lines(&world, "LeaseTaken");
    let numbers = load(&mut world, 300, Span::from_millis(33));
    world.run(Span::from_secs(6));
    assert_eq!(lines(&world, "LeaseTaken"), before);
    world.check_served(&numbers, 90);
    world.check_invariants();
}
