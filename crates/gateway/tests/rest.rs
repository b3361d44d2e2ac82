//! Servers that turn requests away and ask the VM that sent them for rest.
//!
//! The bound is the users': at most two requests reach such a server from that VM between half a second after the answer and the end of
//! the time that it names. Orders and questions for reports count as well.

mod support;

use dahliastile_core::time::{Instant, Span};
use rand::Rng;
use support::World;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::mixed_request;

/// What the recorded engines asked for.
const REST: Span = Span::from_secs(3);
/// Requests that are allowed in it.
const ALLOWED: usize = 2;

fn check(world: &World, server: &str) {
    let most = world.max_arrivals_in_cooldown(server);
    let asked = world.notices.rests.len();
    assert!(asked > 0, "no rest was asked for");
    assert!(
        most <= ALLOWED,
        "{server}: {most} requests in one of {asked} rests"
    );
    world.check_invariants();
}

/// Guards against VMs that don't read for how long an engine wants nothing of them.
#[test]
fn rest_askedbyengines() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(REST));
    world.announce_cooldown("e1", Some(REST));
    world.send_heavy_load(Span::from_secs(8));
    check(&world, "e0");
    check(&world, "e1");
}

/// The same for a plain service, for which each VM chooses by itself.
#[test]
fn rest_askedbyplainservers() {
    let mut world = World::under_load(6);
    world.announce_cooldown("p0", Some(REST));
    world.send_heavy_load(Span::from_secs(8));
    check(&world, "p0");
}

/// The requests that servers turned away since a time: those that came to one that rests.
fn turned_away(world: &World, since: Instant) -> usize {
    let rests = world.notices.rests.iter();
    rests.filter(|rest| rest.at >= since).count()
}

/// A third of the engines rest for long. Who chooses takes note of all that asked for it, so that hardly a request is turned away twice,
/// and none waits for it.
#[test]
fn rest_manyservers() {
    let mut world = World::under_load(6);
    let since = world.now;
    for server in 0..4 {
        world.announce_cooldown(&format!("e{server}"), Some(REST));
    }
    let asked = world.send_heavy_load(Span::from_secs(9));
    world.run(Span::from_secs(2));
    for server in 0..4 {
        check(&world, &format!("e{server}"));
    }
    let away = turned_away(&world, since);
    assert!(away <= 80, "{away} turned away in 9 s");
    let often = asked.iter().filter(|n| world.requests[n].arrivals > 2);
    assert!(
        often.count() <= 5,
        "requests were turned away again and again"
    );
    world.check_served(&asked, 97);
}

/// When its time is over what waited does not come at once, and when it takes requests again it is as good as any, with the adapters
/// that it had.
#[test]
fn rest_ends() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(REST));
    world.announce_cooldown("p0", Some(REST));
    world.send_heavy_load(Span::from_secs(4));
    let loads = world.servers["e0"].0.loads;
    world.announce_cooldown("e0", None);
    world.announce_cooldown("p0", None);
    world.send_heavy_load(REST);
    let since = world.now;
    world.send_heavy_load(Span::from_secs(4));
    let got = |server: &str| world.arrivals_at(server, since);
    assert!(
        got("e0") >= 5 && got("p0") >= 5,
        "{} {}",
        got("e0"),
        got("p0")
    );
    let anew = world.servers["e0"].0.loads - loads;
    assert!(anew <= 5, "{anew} loads after a rest");
    world.check_invariants();
}

/// All servers of both services rest: callers are refused at once, and told times at which they don't come back together.
#[test]
fn rest_allatonce() {
    let mut world = World::under_load(6);
    for server in 0..12 {
        world.announce_cooldown(&format!("e{server}"), Some(REST));
    }
    for server in 0..4 {
        world.announce_cooldown(&format!("p{server}"), Some(REST));
    }
    world.send_heavy_load(Span::from_secs(1));
    let asked = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(6));
    for server in ["e0", "e7", "p0", "p3"] {
        check(&world, server);
    }
    let held = world.refusal_delays(&asked);
    let longest = world.longest_refusal_delay(&asked);
    assert_eq!(held.len(), asked.len(), "some were not refused");
    assert!(
        longest <= Span::from_millis(1_200),
        "one was held for {longest}"
    );
    let mean = held.iter().map(|span| span.0).sum::<u64>() / held.len() as u64;
    assert!(mean <= 300_000, "they were held for {mean} us");
}

/// No rest at all, and one that is longer than any outage.
#[test]
fn rest_noneandlong() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(Span::ZERO));
    world.announce_cooldown("e1", Some(Span::from_secs(600)));
    world.announce_cooldown("p0", Some(Span::ZERO));
    world.announce_cooldown("p1", Some(Span::from_secs(600)));
    let asked = world.send_heavy_load(Span::from_secs(8));
    world.run(Span::from_secs(2));
    check(&world, "e1");
    check(&world, "p1");
    world.check_served(&asked, 95);
}

/// The scheduler's VM is killed, stands still, is cut off from the others, and none schedules: each VM keeps what it was asked.
#[test]
fn rest_schedulerchanges() {
    let mut world = World::under_load(6);
    world.announce_cooldown("e0", Some(REST));
    world.announce_cooldown("e5", Some(REST));
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
    check(&world, "e0");
    check(&world, "e5");
}

/// Servers ask for rest and take requests again in random series of faults.
#[test]
fn rest_amongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let end = series.world.now + Span::from_secs(40);
        let (mut asked, mut resting) = (0_usize, Vec::new());
        while series.world.now < end {
            series.step();
            if series.rng.random_bool(0.03) {
                let server = match series.rng.random_range(0..5_usize) {
                    0 => format!("p{}", series.rng.random_range(0..4)),
                    _ => format!("e{}", series.rng.random_range(0..16)),
                };
                let rest = [0, 500, 3_000, 8_000][series.rng.random_range(0..4)];
                let rest = series
                    .rng
                    .random_bool(0.6)
                    .then_some(Span::from_millis(rest));
                series.world.announce_cooldown(&server, rest);
                resting.push(server);
            }
            for _ in 0..3 {
                asked += 1;
                let vm = series.rng.random_range(0..VMS);
                if series.world.vms[vm].gateway.is_some() {
                    series.world.send_request(vm, mixed_request(asked));
                }
            }
        }
        resting.sort_unstable();
        resting.dedup();
        for server in &resting {
            let most = series
                .world
                .max_arrivals_in_cooldown_where(server, |a| series.was_fault_free(a.vm, a.at));
            assert!(
                most <= ALLOWED,
                "seed {seed} {server}: {most} requests in a rest"
            );
        }
        assert!(!series.world.notices.rests.is_empty(), "seed {seed}");
        series.world.check_invariants();
    }
}
