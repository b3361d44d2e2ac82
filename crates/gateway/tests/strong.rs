//! Which VM schedules, where a few are strong and most are weak, as on each of the larger deployments: a VM with an eighth of a core
//! can't carry a hundred engines, falls behind, and holds on. On a day on which it got the leadership after an outage, and again after all VMs
//! had lost power, a fifth of the requests was served.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::settings::Tuning;
use support::World;

/// VMs, the first of which are strong.
const VMS: usize = 28;
const STRONG: usize = 4;

fn fleet() -> World {
    let strength = |vm| if vm < STRONG { 50 } else { 12 };
    let strengths: Vec<u32> = (0..VMS).map(strength).collect();
    let mut world = World::with_strengths(&strengths, 4, 1, Tuning::default());
    world.run(Span::from_secs(6));
    world
}

/// A strong holder is gone, and the next one after a while: whatever the pause, a weak VM's wait for the first vacancy gives it no turn in
/// the second one.
#[test]
fn turn_endswithitsvacancy() {
    for tenths in 4..45 {
        let mut world = fleet();
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

/// A weak VM schedules because no strong one was there. When all VMs have lost power and are back, a strong one does, though the key
/// of the weak one's earlier start is still there.
#[test]
fn all_killedstrongschedules() {
    let mut world = fleet();
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

/// The strongest VMs see by their links that the holder is gone, before its silence is long enough for all: the first of them does not
/// wait for the holder's own turn.
#[test]
fn holder_killedisreplacedatonce() {
    let mut world = fleet();
    let old = world.holder().expect("a holder");
    let strong: Vec<usize> = (0..STRONG).filter(|vm| *vm != old).collect();
    let ask = |world: &mut World, at: usize| {
        for vm in &strong {
            let call = support::setup::adapter_request(&format!("r{at}"), "a1");
            world.send_request(*vm, call);
        }
        world.run(Span::from_millis(20));
    };
    (0..50).for_each(|at| ask(&mut world, at));
    world.kill(old, true);
    (50..70).for_each(|at| ask(&mut world, at));
    let new = world.holder().expect("a holder");
    assert!(strong.contains(&new), "vm{new} holds");
    world.check_invariants();
}

/// All strong VMs are away when the leadership becomes free, and come back. The weak VM that has it falls behind, as each run takes it a
/// fiftieth of a second, and leaves it to a strong one.
#[test]
fn strong_backgetstheseat() {
    let mut world = fleet();
    for host in &mut world.vms[STRONG..] {
        host.cpu_cost = (Span(200), Span::from_millis(20));
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
