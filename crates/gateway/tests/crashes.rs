//! Requests that crash the servers that run them.
//!
//! At one deployment a caller repeated such a request about once a second, at whichever VM, and 12 and 16 of its 12 engines ended under
//! two of them, one after the other, each back after three seconds. Each repetition was a new request to the VM that had it: what had
//! run on a server that ended was forgotten with its failure and known to no other VM. The log of the repetitions, by what they have in
//! common, proved it: one fingerprint at each server that ended, few of the requests sent a second time by a VM.
//!
//! The bound is the users': at most three arrivals at servers later than three seconds after the third has ended.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::event::Call;
use dahliastile_gateway::fingerprint::Fingerprint;
use support::World;
use support::setup::{call, work};

/// After so long all VMs that are well must know what has happened.
const CONTACT: Span = Span::from_secs(3);
/// Arrivals that are allowed from then on.
const ALLOWED: usize = 3;
/// The pause between two repetitions.
const REPEATED: Span = Span::from_millis(700);

/// A request that crashes its servers: the same each time but for its id.
fn crashing(world: &mut World, path: &str, at: usize) -> Call {
    let work = path.starts_with("/plan/").then(|| work("a3", 600, 15));
    let fingerprint = Fingerprint::of([path.as_bytes()]);
    world.crashing.fingerprints.insert(fingerprint);
    Call {
        fingerprint,
        ..call(&format!("c{at}"), path, 5_000, work)
    }
}

/// The request comes again and again, each time to the next VM, beside a quiet night. Gives the numbers of the night's requests.
fn repeat(world: &mut World, path: &str, times: usize) -> Vec<u64> {
    let mut others = Vec::new();
    for at in 0..times {
        let vm = at % world.hosts.len();
        if world.hosts[vm].gateway.is_some() {
            let crashing = crashing(world, path, at);
            world.ask(vm, crashing);
        }
        others.extend(world.quiet_night(REPEATED));
    }
    others
}

/// That a request crashed servers, and no more than is allowed.
fn check(world: &World, path: &str) {
    let fingerprint = Fingerprint::of([path.as_bytes()]);
    let late = world.crashing.late_arrivals(fingerprint, CONTACT);
    let ends = world.crashing.ends_of(fingerprint);
    assert!(ends >= 3, "{ends} servers ended");
    assert!(late <= ALLOWED, "{late} arrivals, {ends} servers ended");
    world.check();
}

fn warm() -> World {
    let mut world = World::new(6, 12, 4);
    world.run(Span::from_secs(2));
    world.quiet_night(Span::from_secs(2));
    world
}

/// At engines.
#[test]
fn crashing_repeatedatengines() {
    let mut world = warm();
    repeat(&mut world, "/plan/crash", 40);
    check(&world, "/plan/crash");
}

/// At a plain service, where a VM itself may send the request a second time.
#[test]
fn crashing_repeatedatplainservice() {
    let mut world = warm();
    repeat(&mut world, "/query/crash", 40);
    check(&world, "/query/crash");
}
