//! Servers that say that they are leaving in their answers.
//!
//! The bound is the users': no request that a caller sends later than two seconds after a VM was told reaches that server from that VM,
//! whether or not the key-value service knows of it, and whoever places the request.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::settings::Tuning;
use rand::Rng;
use support::World;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::{adapter_request, mixed_request};
use support::world::Arrival;

/// How long after a VM was told requests may still come from it: they may have been on their way.
const BOUND: Span = Span::from_millis(500);

/// That no request came later than a span after its VM was told.
fn check(world: &World, server: &str, bound: Span) {
    let late = world.requests_after_leaving(server, bound);
    let last = late.last();
    assert!(
        late.is_empty(),
        "{server}: {} requests, {last:?}",
        late.len()
    );
    assert!(world.has_told_leaving(server), "{server} told nobody");
    world.check_invariants();
}

/// Guards against VMs that hear of it from the key-value service alone, which is away for as long.
#[test]
fn leaving_engineinanoutage() {
    let mut world = World::under_load(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.announce_leaving("e3");
    world.send_heavy_load(Span::from_secs(12));
    check(&world, "e3", BOUND);
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn leaving_plainserverinanoutage() {
    let mut world = World::under_load(9);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_millis(900));
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(12));
    check(&world, "p0", BOUND);
}

/// The requests that reached a server since a time.
fn requests_since(world: &World, server: &str, since: Instant) -> usize {
    let got = world.notices.arrivals.iter();
    got.filter(|a| a.request && a.server.as_str() == server && a.at >= since)
        .count()
}

/// What one VM heard, the others take note of before each is told by itself.
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
        let got = requests_since(&world, server, since);
        assert_eq!(got, 0, "{server} got {got} requests");
    }
    world.check_invariants();
}

/// An entry that is written anew as it was, or lapses and is back, says nothing newer than the server itself.
#[test]
fn leaving_olderwordundoesnothing() {
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
        let got = requests_since(&world, server, since);
        assert_eq!(got, 0, "{server} got {got} requests");
    }
    world.check_invariants();
}

/// A server that starts again under the id that it had is as good as any.
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
    // Adapters that no engine holds go where there is room.
    world.send_requests(100, Span::from_millis(20), |at| {
        adapter_request(&format!("n{at}"), &format!("b{}", at % 20))
    });
    for server in ["e3", "p0"] {
        let got = requests_since(&world, server, since);
        assert!(got >= 5, "{server} got {got} requests");
    }
    world.check_invariants();
}

/// All servers of both services leave at once: until others come they are used for a while, and then callers are refused at once.
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
    // By then each of them was asked and has told a VM.
    world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(1));
    let late = world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(2));
    for server in ["e0", "e7", "p0", "p3"] {
        check(&world, server, Span::from_millis(1_200));
    }
    let held = world.refusal_delays(&late);
    let longest = world.longest_refusal_delay(&late);
    assert_eq!(held.len(), late.len(), "some were not refused");
    assert!(
        longest <= Span::from_millis(300),
        "one was held for {longest}"
    );
    for number in 12..20 {
        world.add_server(&format!("e{number}"), number, true);
    }
    world.add_server("p4", 4, false);
    world.send_heavy_load(Span::from_secs(2));
    let back = world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(2));
    world.check_served(&back, 90);
    world.check_invariants();
}

/// The scheduler's VM is killed, stands still, is cut off from the others, and none schedules.
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
    check(&world, "e3", BOUND);
}

/// Servers say so in random series of faults. What a VM was told holds for it whatever happens.
#[test]
fn leaving_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let (mut asked, mut leaving) = (0_usize, Vec::new());
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
                asked += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(asked));
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

/// Guards against a scheduler that gives a request the same place again and again: it has heard later than the request's VM that all
/// engines leave, and still uses them.
#[test]
fn leaving_declinedplaceisnotgivenagain() {
    let weak = 5;
    let mut world = World::with_strengths(&[25, 25, 25, 25, 25, weak], 12, 4, Tuning::default());
    world.run(Span::from_secs(2));
    world.send_heavy_load(Span::from_secs(2));
    for server in 0..12 {
        world.announce_leaving(&format!("e{server}"));
    }
    world.send_heavy_load(Span::from_millis(1_500));
    // The weak VM knows of it, and tells the scheduler that comes after all others were killed.
    let knows = 5;
    for vm in (0..6).filter(|vm| *vm != knows) {
        world.kill(vm, false);
    }
    let before = world.messages_by_kind["place"];
    let mut asked = 0;
    for at in 0..150 {
        world.send_request(
            knows,
            adapter_request(&format!("d{at}"), &format!("a{}", at % 12)),
        );
        world.run(Span::from_millis(20));
        asked += 1;
    }
    let given = world.messages_by_kind["place"] - before;
    assert!(given <= asked * 2, "{given} places for {asked} requests");
    world.check_invariants();
}

/// A VM that starts hears what servers said to others before it sends them anything.
#[test]
fn leaving_newvmistold() {
    let mut world = World::under_load(6);
    world.store_up = false;
    world.wake_watchers();
    world.announce_leaving("p0");
    world.send_heavy_load(Span::from_secs(2));
    // The only one in the availability zone of that server that is asked for plain services.
    world.kill(0, false);
    world.run(Span::from_secs(1));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(4));
    assert_eq!(requests_since(&world, "p0", since), 0);
    world.check_invariants();
}
