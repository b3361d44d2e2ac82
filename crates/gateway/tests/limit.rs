//! Servers that limit the requests per second that they accept from all VMs together.
//!
//! The users' bound: from half a second after the first announcement, any window of four seconds contains at
//! most one and a half times the requests that the limit allows, plus five. Orders to engines and report
//! queries count as requests.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::request::notice::Rate;
use rand::Rng;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::{mixed_request, request};
use support::{Answer, World};

/// Guards against VMs that ignore the limit that an engine announces.
#[test]
fn limit_announcedbyengines() {
    let mut world = World::under_load(6);
    world.announce_limit("e0", Some(Rate(1_000)));
    world.announce_limit("e1", Some(Rate(1_900)));
    world.send_heavy_load(Span::from_secs(10));
    world.check_limits();
    world.check_invariants();
}

/// Guards against the same fault at a plain service, where each VM chooses servers by itself.
#[test]
fn limit_announcedbyplainservers() {
    let mut world = World::under_load(6);
    world.announce_limit("p0", Some(Rate(1_000)));
    world.announce_limit("p1", Some(Rate(200)));
    world.send_heavy_load(Span::from_secs(10));
    world.check_limits();
    world.check_invariants();
}

/// The limits are far below one request per second and VM, and each server has to tell each VM separately.
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
        // The VMs must also send the requests that the limit allows.
        let arrivals = world.arrivals_at("p0", since);
        assert!(arrivals >= 5, "{vms} VMs: {arrivals} arrivals in 8 s");
    }
}

/// A limit rises, falls and ends. After that the server soon gets as many requests as others.
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
    // A server in the same availability zone, for comparison.
    world.announce_limit("p3", None);
    world.send_heavy_load(Span::from_secs(5));
    let since = world.now;
    world.send_heavy_load(Span::from_secs(5));
    let (unlimited, other) = (
        world.arrivals_at("p0", since),
        world.arrivals_at("p3", since),
    );
    assert!(
        unlimited * 2 >= other,
        "{unlimited} arrivals, {other} at the other server"
    );
    world.check_invariants();
}

/// A server with a limit of zero still gets a request from time to time, which shows whether the limit has
/// ended.
#[test]
fn limit_ofzero() {
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
        let arrivals = world.arrivals_at(server, since);
        assert!(arrivals >= 5, "{server}: {arrivals} arrivals in 5 s");
    }
    world.check_invariants();
}

/// Limits of more than one request per microsecond, which is the resolution of the clock. Guards against a VM that
/// offers a request to the same server again and again, as the time until the next token is rounded to zero.
#[test]
fn limit_fasterthantheclock() {
    for limit in [1_000_001_000, 2_000_000_000, u64::MAX] {
        let mut world = World::under_load(6);
        for server in ["p0", "p1", "p2", "p3", "e0", "e1"] {
            world.announce_limit(server, Some(Rate(limit)));
        }
        let numbers = world.send_heavy_load(Span::from_secs(4));
        world.run(Span::from_secs(3));
        world.check_served(&numbers, 99);
        world.check_invariants();
    }
}

/// All of very many servers have a limit of zero. Guards against a VM that needs more stack, or more time, the more
/// servers are closed to it.
#[test]
fn limit_manyservers() {
    const SERVERS: usize = 5_000;
    let mut world = World::new(1, 1, SERVERS);
    world.run(Span::from_secs(3));
    for server in 0..SERVERS {
        world.announce_limit(&format!("p{server}"), Some(Rate(0)));
    }
    world.tell_notices(0);
    let numbers = world.send_requests(20, Span::from_millis(100), |at| {
        request(&format!("s{at}"), "/query/x", 2_000, None)
    });
    world.run(Span::from_secs(3));
    let longest = world.longest_refusal_delay(&numbers);
    assert!(longest <= Span::from_millis(10), "a refusal took {longest}");
    world.check_invariants();
}

/// All servers of a service limit their requests below the load. The limits are used in full, and further
/// callers are refused at once, with retry times that differ.
#[test]
fn limit_allplainservers() {
    let mut world = World::under_load(6);
    for server in ["p0", "p1", "p2", "p3"] {
        world.announce_limit(server, Some(Rate(1_000)));
    }
    world.send_heavy_load(Span::from_secs(2));
    let before = world.total_served();
    let since = world.now;
    let numbers = world.send_requests(200, Span::from_millis(40), |at| {
        request(&format!("s{at}"), "/query/x", 2_000, None)
    });
    world.run(Span::from_secs(3));
    world.check_limits();
    world.check_invariants();
    let served = world.total_served() - before;
    assert!(
        (24..=48).contains(&served),
        "{served} served in 8 s at 4 per second"
    );
    let delays = world.refusal_delays(&numbers);
    let longest = world.longest_refusal_delay(&numbers);
    assert!(
        longest <= Span::from_millis(300),
        "a refusal took {longest}"
    );
    let retry_times: std::collections::BTreeSet<Span> = numbers
        .iter()
        .filter_map(|number| match world.answer(*number) {
            Some(Answer::Refused(_, after)) => *after,
            _ => None,
        })
        .collect();
    assert!(
        retry_times.len() * 4 >= delays.len(),
        "{} retry times for {} callers since {since}",
        retry_times.len(),
        delays.len()
    );
}

/// All engines limit their requests below the load. The limits are used, and further callers are refused soon.
#[test]
fn limit_allengines() {
    let mut world = World::under_load(6);
    for server in 0..12 {
        world.announce_limit(&format!("e{server}"), Some(Rate(1_000)));
    }
    world.send_heavy_load(Span::from_secs(3));
    let numbers = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(6));
    world.check_limits();
    world.check_invariants();
    let served = world.count_served(&numbers);
    assert!(served >= 60, "{served} served in 8 s at 12 per second");
    let longest = world.longest_refusal_delay(&numbers);
    assert!(
        longest <= Span::from_millis(1_300),
        "a refusal took {longest}"
    );
}

/// The VM of the scheduler is killed, then frozen, then cut off from the others, and finally the key-value
/// service is unavailable.
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
        for vm in &mut world.vms {
            vm.peers_reachable = true;
        }
    }
    world.store_up = true;
    world.send_heavy_load(Span::from_secs(3));
    world.check_limits();
    world.check_invariants();
}

/// Limits are announced in a random series of faults. Only requests count whose VM had no recent fault and had
/// known of the limit for half a second.
#[test]
fn limit_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let mut request_count = 0_usize;
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
                request_count += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(request_count));
                }
            }
        }
        for (_, server) in &limited {
            let windows = series.world.windows_over_limit_where(server, |arrival| {
                arrival.limit_known && series.was_fault_free(arrival.vm, arrival.at)
            });
            assert!(
                windows.is_empty(),
                "seed {seed} {server}: {} windows, {:?}",
                windows.len(),
                windows[0]
            );
        }
        assert!(!limited.is_empty(), "seed {seed}: no limit was announced");
        series.world.check_invariants();
    }
}
