//! Tests of which VM schedules when a few VMs are strong and most are weak, as in each of the larger
//! deployments. A VM with an eighth of a core can't schedule a hundred engines: it falls behind and still keeps
//! the leadership. When a weak VM got the leadership after an outage, or after all VMs had lost power, only a
//! fifth of the requests was served.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::settings::Tuning;
use support::World;

const VMS: usize = 28;
/// The number of strong VMs, which have the lowest numbers.
const STRONG: usize = 4;

/// Returns a world of a few strong and many weak VMs, six seconds after its start.
fn uneven_world() -> World {
    let strength = |vm| if vm < STRONG { 50 } else { 12 };
    let strengths: Vec<u32> = (0..VMS).map(strength).collect();
    let mut world = World::with_strengths(&strengths, 4, 1, Tuning::default());
    world.run(Span::from_secs(6));
    world
}

/// A strong holder fails, and some time later the next one. Whatever the time between the failures, a weak VM's
/// candidacy for the first vacancy doesn't let it take the leadership in the second one.
#[test]
fn candidacy_endswithitsvacancy() {
    for tenths in 4..45 {
        let mut world = uneven_world();
        for pause in [tenths * 100, 5_000] {
            let holder = world.holder().expect("a holder");
            assert!(holder < STRONG, "after {tenths}00 ms vm{holder} holds");
            world.kill(holder, true);
            world.run(Span::from_millis(pause));
            if world.holder().is_none() {
                world.run(Span::from_secs(4));
            }
        }
        let holder = world.holder().expect("a holder");
        assert!(holder < STRONG, "after {tenths}00 ms vm{holder} holds");
        world.check_invariants();
    }
}

/// A weak VM schedules because no strong one was alive. When all VMs have lost power and are back, a strong one
/// schedules, though the entry of the weak VM's earlier start still exists.
#[test]
fn all_killedstrongschedules() {
    let mut world = uneven_world();
    for vm in 0..STRONG {
        world.kill(vm, true);
    }
    world.run(Span::from_secs(12));
    let weak = world.holder().expect("a holder");
    assert!(weak >= STRONG, "vm{weak} holds");
    for vm in 0..VMS {
        world.kill(vm, false);
    }
    world.run(Span::from_millis(1_800));
    let holder = world.holder().expect("a holder");
    assert!(holder < STRONG, "vm{holder} holds");
    world.check_invariants();
}

/// The strongest VMs notice by their links that the holder has failed, before its heartbeats are overdue. The
/// first of them takes the leadership without a delay, and doesn't rank itself as if the failed holder were
/// still a candidate.
#[test]
fn holder_killedisreplacedatonce() {
    let mut world = uneven_world();
    let old = world.holder().expect("a holder");
    let strong: Vec<usize> = (0..STRONG).filter(|vm| *vm != old).collect();
    let send_round = |world: &mut World, at: usize| {
        for vm in &strong {
            let request = support::setup::adapter_request(&format!("r{at}"), "a1");
            world.send_request(*vm, request);
        }
        world.run(Span::from_millis(20));
    };
    (0..50).for_each(|at| send_round(&mut world, at));
    world.kill(old, true);
    (50..70).for_each(|at| send_round(&mut world, at));
    let new = world.holder().expect("a holder");
    assert!(strong.contains(&new), "vm{new} holds");
    world.check_invariants();
}

/// All strong VMs are down when the leadership becomes free, and come back later. The weak VM that has it falls
/// behind, as each run of the scheduler takes it a fiftieth of a second, and resigns to a strong one.
#[test]
fn strong_backgetstheleadership() {
    let mut world = uneven_world();
    for vm in &mut world.vms[STRONG..] {
        vm.cpu_cost = (Span(200), Span::from_millis(20));
    }
    for vm in 0..STRONG {
        world.kill(vm, true);
    }
    world.send_light_load(Span::from_secs(10));
    let weak = world.holder().expect("a holder");
    assert!(weak >= STRONG, "vm{weak} holds");
    for vm in 0..STRONG {
        world.kill(vm, false);
    }
    world.send_light_load(Span::from_secs(10));
    let holder = world.holder().expect("a holder");
    assert!(holder < STRONG, "vm{holder} holds");
    world.check_invariants();
}
