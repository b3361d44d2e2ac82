//! Engines that don't check fencing numbers: one VM schedules at a time, whatever happens to the key-value service and to the
//! VMs.
//!
//! The load is that of a quiet night and cold requests besides.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::EntryKey;
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::World;
use support::setup::{ENGINES, adapter_request, config, name, request, work};

/// A fleet at engines that don't check fencing numbers.
fn unfenced() -> World {
    let tuning = Tuning {
        fencing: false,
        ..Tuning::default()
    };
    let mut world = World::with_tuning(4, 4, 1, tuning);
    world.run(Span::from_secs(2));
    world.send_light_load(Span::from_secs(2));
    world
}

/// Once an engine has taken an order of one holder, it takes none of the holder before.
fn one_at_a_time(world: &World) {
    for (engine, _) in world.servers.values() {
        let fences: Vec<u64> = engine
            .accepted_fences
            .iter()
            .map(|(_, fence)| *fence)
            .collect();
        assert!(
            fences.is_sorted(),
            "{}: {:?}",
            engine.id,
            engine.accepted_fences
        );
        assert!(
            engine.stale_fence.is_none(),
            "{}: {:?}",
            engine.id,
            engine.stale_fence
        );
    }
}

/// Cold requests at all VMs, every 25 ms at each, so often.
fn cold_everywhere(world: &mut World, times: usize) {
    for at in 0..times * 4 {
        for vm in 0..world.vms.len() {
            world.send_request(
                vm,
                adapter_request(&format!("e{at}-{vm}"), &format!("e{at}-{vm}")),
            );
        }
        world.run(Span::from_millis(25));
    }
}

/// Engines that don't check fencing numbers: nobody takes the leadership before the lease has ended, and the old holder stops
/// before that.
#[test]
fn holder_unfencedwaitsforthelease() {
    let lease = Tuning::default().lease;
    let mut world = unfenced();
    let old = world.holder().expect("a holder");
    world.freeze(old, Span::from_secs(30));
    let from = world.now;
    world.run(lease - Span::from_millis(600));
    assert_eq!(world.holder(), Some(old));
    world.run(Span::from_secs(2));
    assert_ne!(world.holder(), Some(old), "since {from}");
    world.check_invariants();
}

/// Engines that don't check fencing numbers: a holder that reaches neither the key-value service nor the other VMs, but all
/// engines, orders nothing more before its lease can end.
#[test]
fn holder_unfencedstopsbeforeitsleaseends() {
    let mut world = unfenced();
    let old = world.holder().expect("a holder");
    world.vms[old].store_reachable = false;
    world.vms[old].peers_reachable = false;
    world.wake_watchers();
    let mut gone = None;
    for at in 0..400_u32 {
        if at % 4 == 0 {
            let draft = work(&format!("c{at}"), 600, 15);
            world.send_request(
                old,
                request(&format!("c{at}"), "/plan/x", 5_000, Some(draft)),
            );
        }
        world.run(Span::from_millis(10));
        if gone.is_none() && world.holder() != Some(old) {
            gone = Some(world.now);
        }
    }
    let gone = gone.expect("its lease ends");
    let fences = world
        .servers
        .values()
        .flat_map(|(engine, _)| &engine.accepted_fences);
    let first = fences
        .clone()
        .map(|(_, fence)| *fence)
        .min()
        .expect("orders");
    let late = fences
        .filter(|(at, fence)| *fence == first && *at >= gone)
        .count();
    assert_eq!(late, 0);
    world.check_invariants();
}

/// Engines that don't check fencing numbers, and the key-value service is away for five seconds: the holder stops in time, its
/// lease goes on afterwards and so does its key. It schedules again under a new number as soon as its lease is sure, though
/// nobody else may take its leadership. Leases that lapse meanwhile are the other case.
#[test]
fn holder_unfencedschedulesagain() {
    for lapse in [false, true] {
        let mut world = unfenced();
        world.store_up = false;
        world.wake_watchers();
        world.send_light_load(Span::from_secs(5));
        if lapse {
            world.store.expire(Instant::NEVER);
        }
        world.store_up = true;
        world.run(Span::from_millis(1_000));
        let cold = world.send_request(
            0,
            request("cold", "/plan/x", 5_000, Some(work("a77", 600, 15))),
        );
        world.run(Span::from_secs(4));
        let first = world.time_to_first_chunk(cold).expect("served");
        assert!(first < Span::from_millis(1_500), "{first}, lapse {lapse}");
        world.check_invariants();
    }
}

/// After an outage each VM knows that the key-value service is back, also one that watches nothing but follows another VM: it
/// would else never take a leadership again.
#[test]
fn outage_isoverforall() {
    for away in [2, 4, 6, 8] {
        let mut world = World::new(6, 4, 1);
        world.run(Span::from_secs(2));
        world.store_up = false;
        world.wake_watchers();
        world.send_light_load(Span::from_secs(away));
        world.store_up = true;
        world.send_light_load(Span::from_secs(3));
        for vm in 0..6 {
            let said = |word: &str| {
                let lines = world
                    .log_lines
                    .iter()
                    .filter(|line| line.contains(&format!(" vm{vm} ")));
                lines.filter(|line| line.contains(word)).count()
            };
            assert_eq!(
                said("PlatformLost"),
                said("PlatformBack"),
                "vm{vm}, away {away} s"
            );
        }
        let lost = world
            .log_lines
            .iter()
            .filter(|line| line.contains("PlatformLost"));
        assert!(lost.count() >= 3);
        world.check_invariants();
    }
}

/// Engines that don't check fencing numbers, and the key-value service answers nobody for eight seconds: cold requests are
/// served all the while, since all VMs pledge to leave the leadership to its holder. Without pledges none was from 1.7 s on.
#[test]
fn outage_unfencedservescold() {
    let mut world = unfenced();
    let old = world.holder();
    world.store_up = false;
    world.wake_watchers();
    let cold = |at: usize| adapter_request(&format!("c{at}"), &format!("cold{at}"));
    let numbers = world.send_requests(80, Span::from_millis(100), cold);
    world.store_up = true;
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    assert_eq!(world.holder(), old);
    one_at_a_time(&world);
    world.check_invariants();
}

/// The same while VMs stand still, are cut off, killed and started anew, stopped, or reach the service though the holder does
/// not, and while leases lapse: whatever happens, no engine takes orders of two holders in turn, nor one of a lower number
/// after one of a higher.
#[test]
fn outage_unfencedhasoneholder() {
    for seed in 0..60_u64 {
        let mut world = unfenced();
        world.rng = ChaCha8Rng::seed_from_u64(seed);
        for step in 0..60 {
            let vm = world.rng.random_range(0..world.vms.len());
            match world.rng.random_range(0..24) {
                0 | 1 => world.store_up = !world.store_up,
                2 => world.store.expire(Instant::NEVER),
                3 => world.kill(vm, false),
                4 => world.freeze(vm, Span::from_millis(1_500)),
                5 => world.vms[vm].store_reachable = !world.vms[vm].store_reachable,
                6 => world.vms[vm].peers_reachable = !world.vms[vm].peers_reachable,
                7 => world.vms[vm].store_silent = !world.vms[vm].store_silent,
                _ => {}
            }
            world.wake_watchers();
            let cold = |at: usize| {
                adapter_request(&format!("c{step}-{at}"), &format!("a{}", step % 30 + at))
            };
            world.send_requests(2, Span::from_millis(100), cold);
        }
        one_at_a_time(&world);
        world.check_invariants();
    }
}

/// The holder alone does not reach the key-value service, and a moment later the other VMs neither: they reach the service, so it
/// has no pledge of them, and stops before another VM takes its leadership.
#[test]
fn holder_cutoffhasnopledges() {
    for cut in [1_400, 1_600, 1_800, 2_000, 2_200] {
        let mut world = unfenced();
        let old = world.holder().expect("a holder");
        world.vms[old].store_reachable = false;
        world.wake_watchers();
        world.send_light_load(Span::from_millis(cut));
        world.vms[old].peers_reachable = false;
        cold_everywhere(&mut world, 40);
        assert_ne!(world.holder(), Some(old));
        one_at_a_time(&world);
        world.check_invariants();
    }
}

/// The holder has gone on by pledges. The service is back for the other VMs, without the holder's key, just when they lose the
/// holder: they wait until the pledge of each is over, so that the holder has stopped before.
#[test]
fn outage_pledgesarekept() {
    for apart in [0, 40, 80, 120, 160] {
        let mut world = unfenced();
        let old = world.holder().expect("a holder");
        world.store_up = false;
        world.wake_watchers();
        world.send_light_load(Span::from_millis(3_000 + apart));
        world.vms[old].store_reachable = false;
        world.vms[old].peers_reachable = false;
        world.store.remove(&EntryKey::Holder(name(ENGINES)));
        world.store_up = true;
        world.wake_watchers();
        cold_everywhere(&mut world, 40);
        assert_ne!(world.holder(), Some(old));
        one_at_a_time(&world);
        world.check_invariants();
    }
}

/// VMs of the larger deployments have from an eighth of a core and 10 Mbit/s up. All wait a pledge's length with their new leases,
/// and then it is still the strongest that takes the leadership: a weak one lost its lease every two seconds under the load of 60
/// engines, and nine tenths of the long prompts were not served.
#[test]
fn holder_isthestrongestalsohere() {
    let strengths = [12, 10, 25, 12, 50, 10, 25, 12];
    let tuning = Tuning {
        fencing: false,
        ..Tuning::default()
    };
    let mut world = World::with_strengths(&strengths, 4, 1, tuning);
    world.run(Span::from_secs(3));
    assert_eq!(world.holder(), Some(4));
    world.kill(4, true);
    world.send_light_load(Span::from_secs(6));
    assert!([Some(2), Some(6)].contains(&world.holder()));
    one_at_a_time(&world);
    world.check_invariants();
}

/// The same where the strong VMs are 0.2 s behind the others with their leases, and the first configuration comes a moment later: weak
/// VMs count their turns from when they may take the leadership, as stronger ones do.
#[test]
fn holder_isnoweakonewithalateconfiguration() {
    let strengths = [12, 10, 25, 12, 50, 10, 25, 12];
    let tuning = Tuning {
        fencing: false,
        ..Tuning::default()
    };
    for late in (450..1_300).step_by(50) {
        let mut world = World::unconfigured(&strengths, 4, 1, tuning.clone());
        for strong in [2, 4, 6] {
            world.freeze(strong, Span::from_millis(200));
        }
        world.run(Span::from_millis(late));
        world.configure(config(1));
        world.run(Span::from_secs(3));
        let holder = world.holder().expect("a scheduler");
        assert!(strengths[holder] >= 25, "VM {holder} after {late} ms");
        world.check_invariants();
    }
}

/// A holder that can't renew its lease in time, again and again, with a moment in between: the first time it takes its leadership again,
/// the second time it leaves it, and the next strongest VM schedules.
#[test]
fn holder_losingagainleavesitsseat() {
    let strengths = [12, 25, 50, 12];
    // A lease outlives the silences, and a holder can't know that.
    let tuning = Tuning {
        fencing: false,
        lease: Span::from_millis(4_000),
        lease_guard: Span::from_millis(1_500),
        ..Tuning::default()
    };
    let mut world = World::with_strengths(&strengths, 4, 1, tuning);
    world.run(Span::from_secs(4));
    assert_eq!(world.holder(), Some(2));
    for _ in 0..3 {
        world.vms[2].store_silent = true;
        world.send_light_load(Span::from_millis(3_200));
        world.vms[2].store_silent = false;
        world.send_light_load(Span::from_millis(500));
    }
    assert_eq!(world.holder(), Some(1));
    let taken = world
        .log_lines
        .iter()
        .filter(|line| line.contains("LeaseTaken"));
    assert_eq!(taken.count(), 3);
    one_at_a_time(&world);
    world.check_invariants();
}

/// All processes are killed and start again where engines don't check fencing numbers: the old holder finds its own key, which nobody
/// else may take, and waits neither for others to meet nor for pledges.
#[test]
fn all_killedunfencedscheduleagainatonce() {
    let mut world = unfenced();
    let old = world.holder().expect("a holder");
    for vm in 0..4 {
        world.kill(vm, false);
    }
    // They start again after 400 ms.
    world.run(Span::from_millis(410));
    let cold = world.send_request(
        (old + 1) % 4,
        request("cold", "/plan/x", 5_000, Some(work("a77", 600, 15))),
    );
    world.run(Span::from_secs(4));
    let first = world.time_to_first_chunk(cold).expect("served");
    assert!(first < Span::from_millis(450), "{first}");
    one_at_a_time(&world);
    world.check_invariants();
}
