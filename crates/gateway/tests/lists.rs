//! Lists of the key-value service that can't be read to their ends: what was read holds, other VMs tell the rest, and the
//! service is not asked again without a pause.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::snapshot::{EntryKey, EntryValue};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::World;
use support::series::{self, FaultSeries, seeds};
use support::setup::{mixed_request, name};

/// The stream of a series' seed from which odd entries and broken lists are drawn.
const ODD_ENTRIES: u64 = 9;
/// VMs of a fleet.
const VMS: usize = 6;
/// Percentage of requests that are served.
const SERVED: usize = 95;
/// The same where no VM knows all entries: the users' bound after the loss of all VMs.
const RECOVERED: usize = 25;
/// Time within which VMs that have started serve.
const STARTED: Span = Span::from_secs(3);
/// Lists that one VM may ask for in ten seconds: the pause between two of them doubles from 0.4 s on.
const MOST_LISTS: u64 = 9;

/// Sends requests to a VM, and checks that they are served.
fn check_served_at(world: &mut World, vm: usize, percent: usize) {
    let numbers: Vec<u64> = (0..40)
        .map(|at| {
            world.run(Span::from_millis(50));
            world.send_request(vm, mixed_request(at))
        })
        .collect();
    world.run(Span::from_secs(4));
    world.check_invariants();
    world.check_served(&numbers, percent);
}

/// Returns a fleet that has served, and whose lists break off behind a number of entries from now on.
fn world_with_broken_lists(breaks_after: usize) -> World {
    let mut world = World::new(VMS, 6, 3);
    world.run(Span::from_secs(2));
    world.send_light_load(Span::from_secs(2));
    world.store.list_breaks_after = Some(breaks_after);
    world
}

/// Guards against a VM that starts, can read next to nothing, and does not serve what the other VMs know.
#[test]
fn start_withapartofthelist() {
    let mut world = world_with_broken_lists(0);
    world.kill(2, false);
    world.run(STARTED);
    let lists = world.store.lists;
    check_served_at(&mut world, 2, SERVED);
    let asked = world.store.lists - lists;
    assert!(
        asked <= 1,
        "{asked} lists by a VM that knows all from others"
    );
}

/// Guards against VMs that run, have to list anew since changes are forgotten, and lose what they know.
#[test]
fn compacted_withapartofthelist() {
    let mut world = world_with_broken_lists(1);
    world.store.compacted = world.store.revision;
    world.run(STARTED);
    for vm in 0..VMS {
        check_served_at(&mut world, vm, SERVED);
    }
}

/// Guards against VMs that all start, and serve nothing of what they have read; and that list without a pause.
#[test]
fn startofall_withapartofthelist() {
    let mut world = world_with_broken_lists(usize::MAX);
    let is_server = |key: &EntryKey| matches!(key, EntryKey::Server(_));
    let keys = world.store.keys();
    let last = keys.iter().rposition(is_server).expect("a server");
    // None of the entries of VMs and schedulers, which come behind those of servers.
    world.store.list_breaks_after = Some(last + 1);
    for vm in 0..VMS {
        world.kill(vm, false);
    }
    world.run(STARTED);
    let lists = world.store.lists;
    world.run(Span::from_secs(10));
    let asked = world.store.lists - lists;
    assert!(asked <= MOST_LISTS * VMS as u64, "{asked} lists in 10 s");
    for vm in 0..VMS {
        check_served_at(&mut world, vm, RECOVERED);
    }
    // The list can be read again.
    world.store.list_breaks_after = None;
    world.run(Span::from_secs(8));
    let lists = world.store.lists;
    check_served_at(&mut world, 0, SERVED);
    assert_eq!(
        world.store.lists, lists,
        "it is listed again though it was read"
    );
}

/// Steps of a random series: 30 s.
const STEPS: usize = 600;

/// Plays random faults of VMs and of the key-value service while other programs write entries that can't be read, before and
/// among those of servers, and lists break off at any of them. Once both are over, all VMs serve.
#[test]
fn list_amongfaults() {
    for seed in 0..seeds(2) {
        let mut series = FaultSeries::new(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(ODD_ENTRIES);
        for at in 0..STEPS {
            series.step();
            if rng.random_bool(0.1) {
                let key = EntryKey::Server(name(&format!("e{}-odd", rng.random_range(0..6))));
                if rng.random_bool(0.7) {
                    series.world.write_entry(key, EntryValue::Unreadable);
                } else {
                    series.world.remove_entry(&key);
                }
            }
            if rng.random_bool(0.05) {
                let entries = series.world.store.keys().len();
                let broken = rng.random_bool(0.5);
                let count = rng.random_range(0..entries);
                series.world.store.list_breaks_after = broken.then_some(count);
            }
            let vm = rng.random_range(0..series::VMS);
            if at % 2 == 0 && series.world.vms[vm].gateway.is_some() {
                series.world.send_request(vm, mixed_request(at));
            }
        }
        series.world.store.list_breaks_after = None;
        series.end();
        for vm in 0..series::VMS {
            check_served_at(&mut series.world, vm, SERVED);
        }
    }
}
