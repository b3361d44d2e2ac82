//! Servers that name the requests a second that they take from all VMs together.
//!
//! The bound is the users': in four seconds at most one and a half times what the limit allows, and five requests, from half a second
//! after it was first named. Orders and questions for reports count as well.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::request::notice::Rate;
use rand::Rng;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::{mixed_request, request};
use support::{Answer, World};

/// Guards against a fleet whose VMs don't read the limit that an engine names.
#[test]
fn limit_namedbyengines() {
    let mut world = World::under_load(6);
    world.announce_limit("e0", Some(Rate(1_000)));
    world.announce_limit("e1", Some(Rate(1_900)));
    world.send_heavy_load(Span::from_secs(10));
    world.check_limits();
    world.check_invariants();
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn limit_namedbyplainservers() {
    let mut world = World::under_load(6);
    world.announce_limit("p0", Some(Rate(1_000)));
    world.announce_limit("p1", Some(Rate(200)));
    world.send_heavy_load(Span::from_secs(10));
    world.check_limits();
    world.check_invariants();
}

/// Far fewer requests a second than there are VMs, of which each is told by itself.
#[test]
fn limit_belowoneforeachvm() {
    for vms in [70, 300] {
        let mut world = World::under_load(vms);
        world.announce_limit("e0", Some(Rate(1_000)));
        world.announce_limit("p0", Some(Rate(1_000)));
        world.send_heavy_load(Span::from_secs(4));
        let since = world.now;
        world.send_heavy_load(Span::from_secs(8));
        world.check_limits();
        world.check_invariants();
        // What it would take is not left unused either.
        let got = world.arrivals_at("p0", since);
        assert!(got >= 5, "{vms} VMs: {got} arrivals in 8 s");
    }
}

/// A limit that rises and falls, and is no more; then the server gets as much as others soon.
#[test]
fn limit_changesandends() {
    let mut world = World::under_load(6);
    for limit in [2_000, 200, 5_000, 500] {
        world.announce_limit("e0", Some(Rate(limit)));
        world.announce_limit("p0", Some(Rate(limit)));
        world.send_heavy_load(Span::from_secs(6));
    }
    world.check_limits();
    world.announce_limit("e0", None);
    world.announce_limit("p0", None);
    // It is in the same availability zone.
    world.announce_limit("p3", None);
    world.send_heavy_load(Span::from_secs(5));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(5));
    let (freed, other) = (
        world.arrivals_at("p0", since),
        world.arrivals_at("p3", since),
    );
    assert!(freed * 2 >= other, "{freed} arrivals of {other}");
    world.check_invariants();
}

/// A server that takes nothing at all is asked now and then whether that has ended.
#[test]
fn limit_nothingatall() {
    let mut world = World::under_load(6);
    world.announce_limit("e0", Some(Rate(0)));
    world.announce_limit("p0", Some(Rate(0)));
    world.send_heavy_load(Span::from_secs(10));
    world.check_limits();
    world.announce_limit("e0", None);
    world.announce_limit("p0", None);
    world.send_heavy_load(Span::from_secs(15));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(5));
    for server in ["e0", "p0"] {
        let got = world.arrivals_at(server, since);
        assert!(got >= 5, "{server}: {got} arrivals in 5 s");
    }
    world.check_invariants();
}

/// All servers of a service name a limit below the load: what they take is used, and the rest refused at once, at times that differ.
#[test]
fn limit_allplainservers() {
    let mut world = World::under_load(6);
    for server in ["p0", "p1", "p2", "p3"] {
        world.announce_limit(server, Some(Rate(1_000)));
    }
    world.send_heavy_load(Span::from_secs(2));
    let before = world.total_served();
    let since = world.now;
    let asked = world.send_requests(200, Span::from_millis(40), |at| {
        request(&format!("s{at}"), "/query/x", 2_000, None)
    });
    world.run(Span::from_secs(3));
    world.check_limits();
    world.check_invariants();
    let served = world.total_served() - before;
    assert!(
        (24..=48).contains(&served),
        "{served} served in 8 s at 4 a second"
    );
    let held = world.refusal_delays(&asked);
    let longest = world.longest_refusal_delay(&asked);
    assert!(
        longest <= Span::from_millis(300),
        "one was held for {longest}"
    );
    let back: std::collections::BTreeSet<Span> = asked
        .iter()
        .filter_map(|number| match world.answer(*number) {
            Some(Answer::Refused(_, after)) => *after,
            _ => None,
        })
        .collect();
    assert!(
        back.len() * 4 >= held.len(),
        "{} times for {} callers since {since}",
        back.len(),
        held.len()
    );
}

/// All engines do.
#[test]
fn limit_allengines() {
    let mut world = World::under_load(6);
    for server in 0..12 {
        world.announce_limit(&format!("e{server}"), Some(Rate(1_000)));
    }
    world.send_heavy_load(Span::from_secs(3));
    let asked = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(6));
    world.check_limits();
    world.check_invariants();
    let served = world.count_served(&asked);
    assert!(served >= 60, "{served} served in 8 s at 12 a second");
    let longest = world.longest_refusal_delay(&asked);
    assert!(
        longest <= Span::from_millis(1_300),
        "one was held for {longest}"
    );
}

/// The scheduler's VM is killed, stands still, is cut off from the others, and none schedules while the key-value service is away.
#[test]
fn limit_schedulerchanges() {
    let mut world = World::under_load(6);
    world.announce_limit("e0", Some(Rate(1_000)));
    world.announce_limit("e5", Some(Rate(500)));
    world.send_heavy_load(Span::from_secs(3));
    for round in 0..4 {
        if let Some(holder) = world.holder() {
            match round {
                0 => world.kill(holder, false),
                1 => world.freeze(holder, Span::from_secs(2)),
                2 => world.vms[holder].peers_reachable = false,
                _ => world.store_up = false,
            }
        }
        world.send_heavy_load(Span::from_secs(4));
        for host in &mut world.vms {
            host.peers_reachable = true;
        }
    }
    world.store_up = true;
    world.send_heavy_load(Span::from_secs(3));
    world.check_limits();
    world.check_invariants();
}

/// Limits come, change and go in random series of faults; what VMs sent that were well and had been told counts.
#[test]
fn limit_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let mut asked = 0_usize;
        let servers: Vec<String> = (0..16)
            .map(|at| format!("e{at}"))
            .chain((0..4).map(|at| format!("p{at}")))
            .collect();
        let mut limited: Vec<(Instant, String)> = Vec::new();
        while series.world.now < end {
            series.step();
            let now = series.world.now;
            if series.rng.random_bool(0.03) {
                let server = servers[series.rng.random_range(0..servers.len())].clone();
                if limited.iter().all(|(_, known)| *known != server) {
                    let rate = [0, 200, 1_000, 1_600, 3_000][series.rng.random_range(0..5)];
                    series.world.announce_limit(&server, Some(Rate(rate)));
                    limited.push((now, server));
                }
            }
            for _ in 0..3 {
                asked += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(asked));
                }
            }
        }
        for (_, server) in &limited {
            let over = series.world.windows_over_limit_where(server, |arrival| {
                arrival.limit_known && series.was_fault_free(arrival.vm, arrival.at)
            });
            assert!(
                over.is_empty(),
                "seed {seed} {server}: {} windows, {:?}",
                over.len(),
                over[0]
            );
        }
        assert!(!limited.is_empty(), "seed {seed}: no limit was named");
        series.world.check_invariants();
    }
}
