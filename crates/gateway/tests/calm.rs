//! A fleet without trouble.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::effect::RefusalReason;
use support::setup::{request, work};
use support::{Answer, World};

fn ready() -> World {
    let mut world = World::new(3, 4, 2);
    world.run(Span::from_secs(2));
    world
}

#[test]
fn plain_isserved() {
    let mut world = ready();
    let number = world.send_request(0, request("a", "/query/x", 4_000, None));
    world.run(Span::from_secs(1));
    assert!(matches!(world.answer(number), Some(Answer::Served(_))));
    world.check_invariants();
}

#[test]
fn draft_coldisloadedandserved() {
    let mut world = ready();
    let number = world.send_request(
        1,
        request("a", "/plan/x", 5_000, Some(work("a1", 2_000, 20))),
    );
    world.run(Span::from_secs(2));
    let first = world.time_to_first_chunk(number).expect("served");
    assert!(first < Span::from_millis(500), "{first}");
    world.check_invariants();
}

#[test]
fn draft_warmneedsnoload() {
    let mut world = ready();
    for at in 0..10 {
        world.send_request(
            at % 3,
            request("a", "/plan/x", 5_000, Some(work("a1", 1_000, 20))),
        );
        world.run(Span::from_millis(600));
    }
    let loads: u32 = world.servers.values().map(|(e, _)| e.loads).sum();
    assert_eq!((world.total_served(), loads), (10, 1));
    world.check_invariants();
}

#[test]
fn route_unknownisrefused() {
    let mut world = ready();
    let number = world.send_request(0, request("a", "/none/x", 4_000, None));
    world.run(Span::from_millis(1));
    assert_eq!(
        world.answer(number),
        Some(&Answer::Refused(RefusalReason::NoRoute, None))
    );
}

/// The key-value service is away when a VM starts: what came at once is refused as soon as it is clear that the configuration does
/// not come soon, and what comes later at once.
#[test]
fn config_unknownisrefusedwithtime() {
    let mut world = World::new(1, 1, 1);
    world.store_up = false;
    let early = world.send_request(0, request("a", "/query/x", 4_000, None));
    world.run(Span::from_millis(310));
    let later = world.send_request(0, request("b", "/query/x", 4_000, None));
    for number in [early, later] {
        assert!(matches!(
            world.answer(number),
            Some(Answer::Refused(RefusalReason::NoConfig, Some(_)))
        ));
    }
}

/// Callers wait at each VM when all start again, before these know their configuration: none of them is refused.
#[test]
fn start_servescallersthatwait() {
    let mut world = ready();
    for vm in 0..3 {
        world.kill(vm, false);
    }
    world.run(Span::from_millis(401));
    let call = |at| request(&format!("r{at}"), "/query/x", 4_000, None);
    let numbers = world.send_requests(120, Span::ZERO, call);
    assert_eq!(numbers.len(), 120);
    world.run(Span::from_secs(3));
    assert_eq!(world.count_served(&numbers), numbers.len());
    world.check_invariants();
}

/// A caller leaves before the configuration is there: nothing is sent for it.
#[test]
fn start_sendsnothingforacallerthatleft() {
    let mut world = World::new(1, 1, 1);
    let number = world.send_request(0, request("a", "/query/x", 4_000, None));
    world.disconnect_caller(number);
    world.run(Span::from_secs(2));
    assert_eq!(world.requests[&number].arrivals, 0);
    world.check_invariants();
}

#[test]
fn places_neverexceeded() {
    let mut world = ready();
    for at in 0..200_u32 {
        let adapter = format!("a{}", at * 7 % 61);
        world.send_request(
            at as usize % 3,
            request("a", "/plan/x", 5_000, Some(work(&adapter, 800, 20))),
        );
        world.run(Span::from_millis(60));
    }
    world.run(Span::from_secs(6));
    assert!(
        world.total_served() >= 190,
        "{} served",
        world.total_served()
    );
    world.check_invariants();
}
