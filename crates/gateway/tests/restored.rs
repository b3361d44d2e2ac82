//! The key-value service comes back from a copy that is some seconds old. What was written since is forgotten, and
//! its revisions and lease ids are given out again.
//!
//! The users' bounds: a configuration is in force within two seconds, and no request reaches a server more than two
//! seconds after the server has said that it leaves.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use support::World;
use support::setup::config;

/// The time within which what the key-value service has acknowledged is in force.
const BOUND: Span = Span::from_secs(2);
/// How old the copy is.
const COPY_AGE: Span = Span::from_secs(3);
/// The time between two writes of a server's entry.
const SERVER_REWRITE: Span = Span::from_millis(500);
/// How long the key-value service is away before it comes back. Without a time, watches stay pending.
const AWAY: [Option<Span>; 4] = [
    None,
    Some(Span::from_millis(300)),
    Some(Span::from_millis(1_500)),
    Some(Span::from_secs(5)),
];

/// Runs a heavy load for `span`, while servers rewrite their entries.
fn run_with_rewrites(world: &mut World, span: Span) -> Vec<u64> {
    let mut numbers = Vec::new();
    let end = world.now + span;
    while world.now < end {
        world.rewrite_server_entries();
        numbers.extend(world.send_heavy_load(SERVER_REWRITE));
    }
    numbers
}

/// Returns a world of nine VMs under load whose key-value service has been copied [`COPY_AGE`] ago. All
/// configurations from 2 to 6 were written since.
fn copied_world() -> World {
    let mut world = World::under_load(9);
    run_with_rewrites(&mut world, Span::from_secs(1));
    world.copy_store();
    for version in 2..=6 {
        world.configure(config(version));
        run_with_rewrites(&mut world, Span(COPY_AGE.0 / 5));
    }
    world
}

/// Returns the version of the configuration in force at each VM that runs.
fn config_versions(world: &World) -> Vec<u64> {
    let gateways = world.vms.iter().filter_map(|vm| vm.gateway.as_ref());
    gateways.map(Gateway::config_version).collect()
}

/// Returns the number of requests that reached a server after `since`.
fn runs_since(world: &World, server: &str, since: Instant) -> usize {
    let runs = world.requests.values().flat_map(|record| &record.runs);
    runs.filter(|(at, id)| *at > since && id.as_str() == server)
        .count()
}

/// Guards against changes that are dropped since their revisions are lower than those known from before the copy:
/// configurations written after the return were in force on no VM.
#[test]
fn config_afterarestoreisinforce() {
    for away in AWAY {
        let mut world = copied_world();
        world.restore_store(away);
        run_with_rewrites(&mut world, Span::from_millis(500));
        world.rewrite_operator_entries();
        for version in 7..=9 {
            run_with_rewrites(&mut world, Span::from_millis(700));
            world.configure(config(version));
        }
        world.run(BOUND);
        assert_eq!(config_versions(&world), vec![9; 9], "away {away:?}");
        world.check_invariants();
    }
}

/// Guards against the same fault in the entries of servers: VMs that watch the key-value service dropped a server's
/// word that it leaves, and the scheduler went on to place requests there.
#[test]
fn leaving_afterarestoreisknown() {
    for away in AWAY {
        let mut world = copied_world();
        world.restore_store(away);
        world.send_heavy_load(Span::from_millis(500));
        world.rewrite_operator_entries();
        world.drain("e3");
        world.drain("p0");
        let left = world.now;
        run_with_rewrites(&mut world, Span::from_secs(6));
        for server in ["e3", "p0"] {
            let late = runs_since(&world, server, left + BOUND);
            assert_eq!(late, 0, "away {away:?}: {late} requests at {server}");
        }
        world.check_invariants();
    }
}
