//! Servers that reject requests and ask the VM that sent them for a cooldown.
//!
//! The users' bound: at most two requests reach such a server from that VM between half a second after the
//! answer and the end of the cooldown. Orders to engines and report queries count as
//! requests.

mod support;

use dahliastile_core::time::{Instant, Span};
use rand::Rng;
use support::World;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::mixed_request;

/// The cooldown that engines asked for in recorded traffic.
const COOLDOWN: Span = Span::from_secs(3);
/// Number of requests that are allowed in a cooldown.
const ALLOWED: usize = 2;

fn check_cooldowns(world: &World, server: &str) {
    let max_arrivals = world.max_arrivals_in_cooldown(server);
    let cooldowns = world.notices.cooldowns.len();
    assert!(cooldowns > 0, "no server asked for a cooldown");
    assert!(
        max_arrivals <= ALLOWED,
        "{server}: {max_arrivals} requests in one of {cooldowns} cooldowns"
    );
    world.check_invariants();
}

/// Guards against VMs that ignore the cooldown that an engine asks for.
#[test]
fn rest_askedbyengines() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(COOLDOWN));
    world.announce_cooldown("e1", Some(COOLDOWN));
    world.send_heavy_load(Span::from_secs(8));
    check_cooldowns(&world, "e0");
    check_cooldowns(&world, "e1");
}

/// Guards against the same fault at a plain service, where each VM chooses servers by itself.
#[test]
fn rest_askedbyplainservers() {
    let mut world = World::under_load(6);
    world.announce_cooldown("p0", Some(COOLDOWN));
    world.send_heavy_load(Span::from_secs(8));
    check_cooldowns(&world, "p0");
}

/// Returns the number of requests that servers rejected for a cooldown since a time.
fn count_rejected(world: &World, since: Instant) -> usize {
    let cooldowns = world.notices.cooldowns.iter();
    cooldowns.filter(|cooldown| cooldown.at >= since).count()
}

/// A third of the engines ask for cooldowns for a long time. The scheduler respects all of them, so that
/// hardly any request is rejected twice, and no request waits for the end of a cooldown.
#[test]
fn rest_manyservers() {
    let mut world = World::under_load(6);
    let since = world.now;
    for server in 0..4 {
        world.announce_cooldown(&format!("e{server}"), Some(COOLDOWN));
    }
    let numbers = world.send_heavy_load(Span::from_secs(9));
    world.run(Span::from_secs(2));
    for server in 0..4 {
        check_cooldowns(&world, &format!("e{server}"));
    }
    let rejected = count_rejected(&world, since);
    assert!(rejected <= 80, "{rejected} requests rejected in 9 s");
    let retried = numbers.iter().filter(|n| world.requests[n].arrivals > 2);
    assert!(
        retried.count() <= 5,
        "more than 5 requests arrived at servers more than twice"
    );
    world.check_served(&numbers, 97);
}

/// After a cooldown the requests that waited do not arrive all at once. When the server accepts requests
/// again it gets as many as others, and still has its adapters.
#[test]
fn rest_ends() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(COOLDOWN));
    world.announce_cooldown("p0", Some(COOLDOWN));
    world.send_heavy_load(Span::from_secs(4));
    let loads = world.servers["e0"].0.loads;
    world.announce_cooldown("e0", None);
    world.announce_cooldown("p0", None);
    world.send_heavy_load(COOLDOWN);
    let since = world.now;
    world.send_heavy_load(Span::from_secs(4));
    let arrivals = |server: &str| world.arrivals_at(server, since);
    assert!(
        arrivals("e0") >= 5 && arrivals("p0") >= 5,
        "{} {}",
        arrivals("e0"),
        arrivals("p0")
    );
    let reloads = world.servers["e0"].0.loads - loads;
    assert!(reloads <= 5, "{reloads} loads after a cooldown");
    world.check_invariants();
}

/// All servers of both services ask for a cooldown. Callers are refused at once, with retry times that
/// differ.
#[test]
fn rest_allatonce() {
    let mut world = World::under_load(6);
    for server in 0..12 {
        world.announce_cooldown(&format!("e{server}"), Some(COOLDOWN));
    }
    for server in 0..4 {
        world.announce_cooldown(&format!("p{server}"), Some(COOLDOWN));
    }
    world.send_heavy_load(Span::from_secs(1));
    let numbers = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(6));
    for server in ["e0", "e7", "p0", "p3"] {
        check_cooldowns(&world, server);
    }
    let delays = world.refusal_delays(&numbers);
    let longest = world.longest_refusal_delay(&numbers);
    assert_eq!(
        delays.len(),
        numbers.len(),
        "some requests were not refused"
    );
    assert!(
        longest <= Span::from_millis(1_200),
        "a refusal took {longest}"
    );
    let mean = delays.iter().map(|span| span.0).sum::<u64>() / delays.len() as u64;
    assert!(mean <= 300_000, "refusals took {mean} us on average");
}

/// Servers ask for a cooldown of zero, or for one that is longer than any outage.
#[test]
fn rest_noneandlong() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(Span::ZERO));
    world.announce_cooldown("e1", Some(Span::from_secs(600)));
    world.announce_cooldown("p0", Some(Span::ZERO));
    world.announce_cooldown("p1", Some(Span::from_secs(600)));
    let numbers = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(2));
    check_cooldowns(&world, "e1");
    check_cooldowns(&world, "p1");
    world.check_served(&numbers, 95);
}

/// The VM of the scheduler is killed, then frozen, then cut off from the others, and finally the key-value
/// service is unavailable. Each VM keeps to the cooldowns that it was asked for.
#[test]
fn rest_schedulerchanges() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(COOLDOWN));
    world.announce_cooldown("e5", Some(COOLDOWN));
    for round in 0..4 {
        world.send_heavy_load(Span::from_secs(1));
        let holder = world.holder().unwrap_or(round);
        match round {
            0 => world.kill(holder, false),
            1 => world.freeze(holder, Span::from_secs(2)),
            2 => world.vms[holder].peers_reachable = false,
            _ => world.store_up = false,
        }
        world.send_heavy_load(Span::from_secs(4));
        world.vms[holder].peers_reachable = true;
    }
    check_cooldowns(&world, "e0");
    check_cooldowns(&world, "e5");
}

/// Servers ask for cooldowns and accept requests again in a random series of faults.
#[test]
fn rest_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let (mut request_count, mut servers) = (0_usize, Vec::new());
        while series.world.now < end {
            series.step();
            if series.rng.random_bool(0.03) {
                let server = match series.rng.random_range(0..5_usize) {
                    0 => format!("p{}", series.rng.random_range(0..4)),
                    _ => format!("e{}", series.rng.random_range(0..16)),
                };
                let millis = [0, 500, 3_000, 8_000][series.rng.random_range(0..4)];
                let cooldown = series
                    .rng
                    .random_bool(0.6)
                    .then_some(Span::from_millis(millis));
                series.world.announce_cooldown(&server, cooldown);
                servers.push(server);
            }
            for _ in 0..3 {
                request_count += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(request_count));
                }
            }
        }
        servers.sort_unstable();
        servers.dedup();
        for server in &servers {
            let max_arrivals = series
                .world
                .max_arrivals_in_cooldown_where(server, |a| series.was_fault_free(a.vm, a.at));
            assert!(
                max_arrivals <= ALLOWED,
                "seed {seed} {server}: {max_arrivals} requests in a cooldown"
            );
        }
        assert!(!series.world.notices.cooldowns.is_empty(), "seed {seed}");
        series.world.check_invariants();
    }
}
