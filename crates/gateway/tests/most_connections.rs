//! Most new connections of a zone go to one VM for some seconds.
//!
//! The load is that of the deployments, 6 or 15 requests a second and VM, three in four for engines and the others
//! for the plain service. It is spread over all VMs for five seconds, then nine requests of ten go to one VM for
//! eight seconds. A weak VM needs 0.4 ms of processor time for an event and 2 ms for a scheduler run, one in six VMs
//! is strong and needs a quarter. There are engines for twice the load. The VMs read every request here, so that each
//! counts at its first attempt.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::setup::mixed_request;

/// Processor time of an event and of a scheduler run at a strong VM.
const STRONG_COST: (Span, Span) = (Span(100), Span(500));
/// The same at a weak VM.
const WEAK_COST: (Span, Span) = (Span(400), Span(2_000));
/// For how long the load is spread, and for how long most of it goes to one VM.
const SPREAD_SECONDS: usize = 5;
const CROWDED_SECONDS: usize = 8;
/// Time after which requests at the crowded VM must be served again.
const RECOVERY_SECONDS: usize = 3;

/// The VM that gets most requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Crowded {
    Weak,
    Holder,
}

/// Returns the share of these requests whose answer started within their caller's time.
fn share_served(world: &World, numbers: &[u64]) -> f64 {
    let is_served = |number: &&u64| {
        let timeout = world.requests[*number].request.caller_timeout;
        let first_chunk = world.time_to_first_chunk(**number);
        first_chunk.is_some_and(|span| span <= timeout.expect("callers set one"))
    };
    let served = numbers.iter().filter(is_served).count();
    #[allow(clippy::cast_precision_loss)]
    let share = served as f64 / numbers.len() as f64;
    share
}

/// Sends `rate` requests a second and VM, and `percent` percent of that while most requests go to one VM. Asserts
/// that those sent to it from three seconds on, and those at other VMs, are served at the first attempt at least
/// three quarters as often as before.
fn check_crowded(vms: usize, rate: usize, percent: usize, crowded: Crowded) {
    let strong = vms / 6;
    let strengths: Vec<u32> = (0..vms)
        .map(|vm| if vm < strong { 50 } else { 12 })
        .collect();
    let per_second = vms * rate;
    let engines = (per_second / 20).max(12);
    let mut world = World::with_strengths(&strengths, engines, engines / 3, Tuning::default());
    for (vm, vm_state) in world.vms.iter_mut().enumerate() {
        vm_state.cpu_cost = if vm < strong { STRONG_COST } else { WEAK_COST };
    }
    world.run(Span::from_secs(8));
    // Numbers of the last requests to the crowded VM and to the others. No two requests share an ID.
    let (mut to_crowded, mut to_others) = (0, 1_000_000);
    let mut send = |world: &mut World, count: usize, per_second: usize, most: Option<usize>| {
        let pause = Span(1_000_000 / per_second as u64);
        let mut numbers = (Vec::new(), Vec::new());
        for at in 0..count {
            match most {
                Some(most) if at % 10 != 0 => {
                    to_crowded += 1;
                    let request = mixed_request(to_crowded);
                    numbers.0.push(world.send_request(most, request));
                }
                _ => {
                    to_others += 1;
                    let others = most.map_or(vms, |_| vms - 1);
                    let vm = to_others * 11 % others;
                    let vm = most.map_or(vm, |most| (most + 1 + vm) % vms);
                    numbers
                        .1
                        .push(world.send_request(vm, mixed_request(to_others)));
                }
            }
            world.run(pause);
        }
        numbers
    };
    // The engines load their adapters first.
    send(&mut world, 3 * per_second, per_second, None);
    let (_, before) = send(&mut world, SPREAD_SECONDS * per_second, per_second, None);
    let most = match crowded {
        Crowded::Weak => vms - 1,
        Crowded::Holder => world.holder().expect("a holder"),
    };
    let more = per_second * percent / 100;
    send(&mut world, RECOVERY_SECONDS * more, more, Some(most));
    let late = (CROWDED_SECONDS - RECOVERY_SECONDS) * more;
    let (at_crowded, at_others) = send(&mut world, late, more, Some(most));
    world.run(Span::from_secs(6));
    let before = share_served(&world, &before);
    let at_crowded = share_served(&world, &at_crowded);
    let at_others = share_served(&world, &at_others);
    let figures = format!(
        "{vms} VMs, {rate}/s and VM, {percent} %: {before:.3} served before, then {at_crowded:.3} at vm{most}, \
         {at_others:.3} at others"
    );
    println!("{figures}");
    assert!(before >= 0.9, "{figures}");
    assert!(at_crowded >= 0.75 * before, "{figures}");
    assert!(at_others >= 0.75 * before, "{figures}");
    world.check_invariants();
}

/// Guards against a weak VM of a small fleet that reads more requests than it serves.
#[test]
fn weak_sixvms() {
    check_crowded(6, 6, 100, Crowded::Weak);
}

/// The same at the rate of the busiest deployment.
#[test]
fn weak_sixvmsbusy() {
    check_crowded(6, 15, 100, Crowded::Weak);
}

/// Guards against a weak VM that reads twenty times its share and serves little of it.
#[test]
fn weak_twentyfourvms() {
    check_crowded(24, 6, 100, Crowded::Weak);
}

/// The same at the rate of the busiest deployment.
#[test]
fn weak_twentyfourvmsbusy() {
    check_crowded(24, 15, 100, Crowded::Weak);
}

/// The same while callers open connections half as often again.
#[test]
fn weak_twentyfourvmsmore() {
    check_crowded(24, 6, 150, Crowded::Weak);
}

/// Guards against a weak VM that reads sixty times its share and serves little of it.
#[test]
fn weak_seventyvms() {
    check_crowded(70, 6, 100, Crowded::Weak);
}

/// The same while callers open connections half as often again.
#[test]
fn weak_seventyvmsmore() {
    check_crowded(70, 6, 150, Crowded::Weak);
}

/// The same at the rate of the busiest deployment.
#[test]
fn weak_seventyvmsbusy() {
    check_crowded(70, 15, 100, Crowded::Weak);
}

/// The same at that rate, while callers open connections half as often again.
#[test]
fn weak_seventyvmsbusymore() {
    check_crowded(70, 15, 150, Crowded::Weak);
}

/// Guards against a scheduler's VM whose messages wait behind the requests that it reads.
#[test]
fn holder_sixvms() {
    check_crowded(6, 6, 100, Crowded::Holder);
}

/// The same in a larger fleet.
#[test]
fn holder_twentyfourvms() {
    check_crowded(24, 6, 100, Crowded::Holder);
}

/// The same at the rate of the busiest deployment.
#[test]
fn holder_twentyfourvmsbusy() {
    check_crowded(24, 15, 100, Crowded::Holder);
}

/// The same in the largest fleet.
#[test]
fn holder_seventyvms() {
    check_crowded(70, 6, 100, Crowded::Holder);
}

/// The same in the largest fleet at the rate of the busiest deployment.
#[test]
fn holder_seventyvmsbusy() {
    check_crowded(70, 15, 100, Crowded::Holder);
}

/// The same while callers open connections half as often again.
#[test]
fn holder_seventyvmsbusymore() {
    check_crowded(70, 15, 150, Crowded::Holder);
}
