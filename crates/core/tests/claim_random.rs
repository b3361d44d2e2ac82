//! Claims under random faults, alone and together: a key runs once at most, whatever happens.

mod support;

use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::setup::{Size, booking_call, once};
use support::{Fleet, MS, SEC};

const VMS: usize = 5;
const KEYS: u32 = 12;
const STEPS: usize = 80;

/// Does one random thing.
fn disturb(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let vm = rng.random_range(0..VMS);
    let up = fleet.vms[vm].node.is_some();
    match rng.random_range(0..14) {
        0 if up && !fleet.vms[vm].paused => fleet.restart(vm, rng.random_range(1..2_000) * MS),
        1 if up => fleet.pause(vm),
        2 => fleet.pause_at(vm, |effect| {
            matches!(effect, dahliastile_core::effect::Effect::Platform { .. })
        }),
        3 => fleet.kv.faults.lose_answers += rng.random_range(1..4),
        4 => fleet.kv.faults.lose_calls += rng.random_range(1..4),
        5 => fleet.kv_down(rng.random()),
        6 => fleet.kv.faults.slow = rng.random_range(0..2_500) * MS,
        7 => fleet.partition(&[vm, (vm + 1) % VMS]),
        8 => fleet.net.loss = rng.random_range(0..400),
        9 => fleet.net.jitter = rng.random_range(0..400) * MS,
        10 => fleet.net.twice = rng.random_range(0..500),
        _ => heal(fleet),
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.kv_up();
    fleet.kv.faults.slow = 0;
    fleet.net.mend_all();
    fleet.net.loss = 0;
    for vm in 0..VMS {
        fleet.pause_at(vm, |_| false);
        if fleet.vms[vm].paused {
            fleet.resume(vm);
        }
    }
}

fn holds(seed: u64) -> bool {
    let size = Size {
        vms: VMS,
        engines: 0,
        plains: 2,
        adapters: 0,
        ..Size::small()
    };
    let mut fleet = size.fleet(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..STEPS {
        if rng.random_range(0..4) == 0 {
            disturb(&mut fleet, &mut rng);
        } else {
            let key = format!("k{}", rng.random_range(0..KEYS));
            let vm = rng.random_range(0..VMS);
            fleet.ask(vm, once(booking_call(1), &key));
        }
        let pause = rng.random_range(0..8_u64);
        fleet.run_for(pause * pause * pause * MS);
    }
    heal(&mut fleet);
    let ended = fleet.finish_all(60 * SEC);
    for ask in fleet.asks.iter().filter(|ask| ask.ending.is_none()) {
        println!("seed {seed}: open: {ask:?}");
    }
    fleet.check();
    // Once all is well again, each key runs for whoever asks where it has not run yet.
    fleet.run_for(10 * SEC);
    for key in 0..KEYS {
        let again = fleet.ask(0, once(booking_call(1), &format!("k{key}")));
        fleet.finish(again, 20 * SEC);
    }
    fleet.check();
    ended
}

#[test]
fn key_runs_once_under_random_faults() {
    let gen_ = Gen::from_size_and_seed(64, 20);
    QuickCheck::new()
        .rng(gen_)
        .tests(200)
        .quickcheck(holds as fn(u64) -> bool);
}
