//! Serves requests in a fleet without faults, and around the start of a VM.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::effect::RefusalReason;
use support::setup::{inference_spec, request};
use support::{Answer, World};

/// Returns a fleet that has run for 2 s without load.
fn ready_world() -> World {
    let mut world = World::new(3, 4, 2);
    world.run(Span::from_secs(2));
    world
}

#[test]
fn plain_isserved() {
    let mut world = ready_world();
    let number = world.send_request(0, request("a", "/query/x", 4_000, None));
    world.run(Span::from_secs(1));
    assert!(matches!(world.answer(number), Some(Answer::Served(_))));
    world.check_invariants();
}

/// The first chunk of an answer comes within 500 ms, although no engine holds the adapter.
#[test]
fn adapter_notresidentisloadedandserved() {
    let mut world = ready_world();
    let number = world.send_request(
        1,
        request("a", "/plan/x", 5_000, Some(inference_spec("a1", 2_000, 20))),
    );
    world.run(Span::from_secs(2));
    let first = world.time_to_first_chunk(number).expect("served");
    assert!(first < Span::from_millis(500), "{first}");
    world.check_invariants();
}

#[test]
fn adapter_residentneedsnoload() {
    let mut world = ready_world();
    for at in 0..10 {
        world.send_request(
            at % 3,
            request("a", "/plan/x", 5_000, Some(inference_spec("a1", 1_000, 20))),
        );
        world.run(Span::from_millis(600));
    }
    let loads: u32 = world.servers.values().map(|(e, _)| e.loads).sum();
    assert_eq!((world.total_served(), loads), (10, 1));
    world.check_invariants();
}

#[test]
fn route_unknownisrefused() {
    let mut world = ready_world();
    let number = world.send_request(0, request("a", "/none/x", 4_000, None));
    world.run(Span::from_millis(1));
    assert_eq!(
        world.answer(number),
        Some(&Answer::Refused(RefusalReason::NoRoute, None))
    );
}

/// The key-value service is unreachable when a VM starts. A request that comes at the start is refused within
/// 310 ms, when the VM knows that the configuration will not come soon. A later request is refused at once.
/// Both refusals name a retry delay.
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

/// All VMs restart, and callers send requests before the VMs have a configuration. All requests are served
/// later.
#[test]
fn start_servescallersthatwait() {
    let mut world = ready_world();
    for vm in 0..3 {
        world.kill(vm, false);
    }
    world.run(Span::from_millis(401));
    let request = |at| request(&format!("r{at}"), "/query/x", 4_000, None);
    let numbers = world.send_requests(120, Span::ZERO, request);
    assert_eq!(numbers.len(), 120);
    world.run(Span::from_secs(3));
    assert_eq!(world.count_served(&numbers), numbers.len());
    world.check_invariants();
}

/// A caller disconnects before the VM has a configuration. The VM sends nothing to a server.
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
fn adapterslots_neverexceeded() {
    let mut world = ready_world();
    for at in 0..200_u32 {
        let adapter = format!("a{}", at * 7 % 61);
        world.send_request(
            at as usize % 3,
            request(
                "a",
                "/plan/x",
                5_000,
                Some(inference_spec(&adapter, 800, 20)),
            ),
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
