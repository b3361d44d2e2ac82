//! Servers that announce in their answers that they are leaving.
//!
//! The users' bound: after a server told a VM that it is leaving, no request that a caller sends more than two
//! seconds later reaches that server from that VM. This holds whether or not the key-value service knows that
//! the server is leaving, and whether a scheduler or the VM itself chooses the server.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::settings::Tuning;
use rand::Rng;
use support::World;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::{adapter_request, mixed_request};
use support::world::Arrival;

/// How long requests from a VM may still arrive at a server after it told the VM that it is leaving: the
/// requests may have been in transit.
const BOUND: Span = Span::from_millis(500);

/// Checks that no request arrived later than `bound` after the server told the request's VM that it is leaving.
fn check_leaving(world: &World, server: &str, bound: Span) {
    let late = world.requests_after_leaving(server, bound);
    let last = late.last();
    assert!(
        late.is_empty(),
        "{server}: {} late requests, the last one {last:?}",
        late.len()
    );
    assert!(world.has_told_leaving(server), "{server} told no VM");
    world.check_invariants();
}

/// Guards against VMs that learn of a leaving server from the key-value service alone, which is unavailable
/// here.
#[test]
fn leaving_engineinanoutage() {
    let mut world = World::under_load(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.announce_leaving("e3");
    world.send_heavy_load(Span::from_secs(12));
    check_leaving(&world, "e3", BOUND);
}

/// Guards against the same fault at a plain service, where each VM chooses servers by itself.
#[test]
fn leaving_plainserverinanoutage() {
    let mut world = World::under_load(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(12));
    check_leaving(&world, "p0", BOUND);
}

/// Returns the number of requests that reached a server since a time.
fn count_requests_since(world: &World, server: &str, since: Instant) -> usize {
    let arrivals = world.notices.arrivals.iter();
    arrivals
        .filter(|a| a.request && a.server.as_str() == server && a.at >= since)
        .count()
}

/// A VM that a server told that it is leaving informs the other VMs before the server tells each of them.
#[test]
fn leaving_onevmtellsall() {
    let mut world = World::under_load(24);
    for server in ["e3", "p0"] {
        world.announce_leaving(server);
    }
    world.send_heavy_load(Span::from_secs(2));
    assert!(world.has_told_leaving("e3") && world.has_told_leaving("p0"));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(6));
    for server in ["e3", "p0"] {
        let count = count_requests_since(&world, server, since);
        assert_eq!(count, 0, "{server} got {count} requests");
    }
    world.check_invariants();
}

/// An entry that is rewritten unchanged, or that disappears and returns, does not override the server's own
/// announcement.
#[test]
fn leaving_staleentryundoesnothing() {
    let mut world = World::under_load(6);
    world.announce_leaving("e3");
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(3));
    let since = world.now;
    for server in ["e3", "p0"] {
        world.rewrite_server_entry(server);
    }
    world.send_heavy_load(Span::from_secs(2));
    for server in ["e3", "p0"] {
        world.remove_server_entry(server);
    }
    world.send_heavy_load(Span::from_secs(1));
    for server in ["e3", "p0"] {
        world.rewrite_server_entry(server);
    }
    world.send_heavy_load(Span::from_secs(4));
    for server in ["e3", "p0"] {
        let count = count_requests_since(&world, server, since);
        assert_eq!(count, 0, "{server} got {count} requests");
    }
    world.check_invariants();
}

/// A server that restarts under the id that it had gets as many requests as others.
#[test]
fn leaving_startsagain() {
    let mut world = World::under_load(6);
    world.announce_leaving("e3");
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(3));
    world.withdraw_leaving("e3");
    world.withdraw_leaving("p0");
    world.restart_server("e3", 2);
    world.restart_server("p0", 2);
    world.send_heavy_load(Span::from_secs(3));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(4));
    // Adapters that no engine holds are loaded where there is room.
    world.send_requests(100, Span::from_millis(20), |at| {
        adapter_request(&format!("n{at}"), &format!("b{}", at % 20))
    });
    for server in ["e3", "p0"] {
        let count = count_requests_since(&world, server, since);
        assert!(count >= 5, "{server} got {count} requests");
    }
    world.check_invariants();
}

/// All servers of both services leave at once. They are used for a while in the absence of others, and after
/// that callers are refused at once until other servers come.
#[test]
fn leaving_allatonce() {
    let mut world = World::under_load(6);
    for server in 0..12 {
        world.announce_leaving(&format!("e{server}"));
    }
    for server in 0..4 {
        world.announce_leaving(&format!("p{server}"));
    }
    let first = world.send_heavy_load(Span::from_millis(900));
    world.run(Span::from_secs(1));
    world.check_served(&first, 90);
    // After this load each server has had requests and has told a VM.
    world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(1));
    let late = world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(2));
    for server in ["e0", "e7", "p0", "p3"] {
        check_leaving(&world, server, Span::from_millis(1_200));
    }
    let delays = world.refusal_delays(&late);
    let longest = world.longest_refusal_delay(&late);
    assert_eq!(delays.len(), late.len(), "some requests were not refused");
    assert!(
        longest <= Span::from_millis(300),
        "a refusal took {longest}"
    );
    for number in 12..20 {
        world.add_server(&format!("e{number}"), number, true);
    }
    world.add_server("p4", 4, false);
    world.send_heavy_load(Span::from_secs(2));
    let after_return = world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(2));
    world.check_served(&after_return, 90);
    world.check_invariants();
}

/// The VM of the scheduler is frozen, then cut off from the others, then the next one is killed, while no VM
/// can take over the leadership.
#[test]
fn leaving_schedulerchanges() {
    let mut world = World::under_load(6);
    world.store_up = false;
    world.wake_watchers();
    world.send_heavy_load(Span::from_secs(1));
    world.announce_leaving("e3");
    world.send_heavy_load(Span::from_secs(2));
    for round in 0..3 {
        let holder = world.holder().unwrap_or(round);
        match round {
            0 => world.freeze(holder, Span::from_secs(2)),
            1 => world.vms[holder].peers_reachable = false,
            _ => world.kill(holder, false),
        }
        world.send_heavy_load(Span::from_secs(4));
        world.vms[holder].peers_reachable = true;
    }
    check_leaving(&world, "e3", BOUND);
}

/// Servers announce that they are leaving in a random series of faults. A VM without a recent fault keeps the
/// bound for the servers that told it themselves.
#[test]
fn leaving_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let (mut request_count, mut leaving) = (0_usize, Vec::new());
        while series.world.now < end {
            series.step();
            if series.rng.random_bool(0.01) && leaving.len() < 8 {
                let server = match leaving.len() {
                    at @ (1 | 5) => format!("p{}", at / 4),
                    at => format!("e{at}"),
                };
                series.world.announce_leaving(&server);
                leaving.push(server);
            }
            for _ in 0..3 {
                request_count += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(request_count));
                }
            }
        }
        for server in &leaving {
            let late = series
                .world
                .requests_after_leaving(server, Span::from_secs(2));
            let counts = |arrival: &&&Arrival| series.was_fault_free(arrival.vm, arrival.at);
            let late: Vec<_> = late.iter().filter(counts).collect();
            assert!(late.is_empty(), "seed {seed} {server}: {late:?}");
        }
        assert!(!leaving.is_empty(), "seed {seed}: no server left");
        series.world.check_invariants();
    }
}

/// Guards against a scheduler that places a request on the same server again and again: it learns later than
/// the VM of the request that all engines are leaving, and still uses them.
#[test]
fn leaving_declinedplacementisnotrepeated() {
    let weak_strength = 5;
    let mut world = World::with_strengths(
        &[25, 25, 25, 25, 25, weak_strength],
        12,
        4,
        Tuning::default(),
    );
    world.run(Span::from_secs(2));
    world.send_heavy_load(Span::from_secs(2));
    for server in 0..12 {
        world.announce_leaving(&format!("e{server}"));
    }
    world.send_heavy_load(Span::from_millis(1_500));
    // The weak VM knows that the engines are leaving, and informs the scheduler that replaces the one on a
    // killed VM.
    let informed_vm = 5;
    for vm in (0..6).filter(|vm| *vm != informed_vm) {
        world.kill(vm, false);
    }
    let before = world.messages_by_kind["place"];
    let mut request_count = 0;
    for at in 0..150 {
        world.send_request(
            informed_vm,
            adapter_request(&format!("d{at}"), &format!("a{}", at % 12)),
        );
        world.run(Span::from_millis(20));
        request_count += 1;
    }
    let placements = world.messages_by_kind["place"] - before;
    assert!(
        placements <= request_count * 2,
        "{placements} placements for {request_count} requests"
    );
    world.check_invariants();
}

/// A VM that starts learns from the other VMs which servers are leaving before it sends those servers anything.
#[test]
fn leaving_newvmistold() {
    let mut world = World::under_load(6);
    world.store_up = false;
    world.wake_watchers();
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(2));
    // VM 0 is the only one in the availability zone of p0 that gets requests for plain services.
    world.kill(0, false);
    world.run(Span::from_secs(1));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(4));
    assert_eq!(count_requests_since(&world, "p0", since), 0);
    world.check_invariants();
}
