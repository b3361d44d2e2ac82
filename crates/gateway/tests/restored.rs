//! The key-value service comes back from a copy that is some seconds old. What was written since is forgotten, and
//! its revisions and lease ids are given out again.
//!
//! The users' bounds: a configuration is in force within two seconds, and no request reaches a server more than two
//! seconds after the server has said that it leaves.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use dahliastile_core::id::Incarnation;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::cluster::revision::{Era, Revision};
use dahliastile_gateway::cluster::snapshot::{
    Backend, Change, Delivery, EntryKey, EntryValue, KnownBuild, Snapshot,
};
use dahliastile_gateway::effect::RefusalReason;
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::settings::Tuning;
use support::setup::{ENGINES, PLAIN, adapter_request, address, config, name, request, zone};
use support::{Answer, World};

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

/// Guards against VMs that start after the return with the configuration of the copy, although other VMs know the newer
/// one: a third of the VMs restart, the strongest among them, before the operator has written again.
#[test]
fn config_isknowntovmsthatstart() {
    for away in AWAY {
        for restarted in [[0, 1, 2], [3, 4, 5], [6, 7, 8]] {
            let mut world = copied_world();
            world.publish_version("a1", 7);
            world.run(Span::from_secs(1));
            world.restore_store(away);
            world.run(Span::from_millis(300));
            for vm in restarted {
                world.kill(vm, false);
            }
            world.run(Span::from_millis(400) + BOUND);
            assert_eq!(
                config_versions(&world),
                vec![6; 9],
                "away {away:?}, {restarted:?}"
            );
            run_with_rewrites(&mut world, Span::from_secs(1));
            world.rewrite_operator_entries();
            world.configure(config(7));
            world.run(BOUND);
            assert_eq!(
                config_versions(&world),
                vec![7; 9],
                "away {away:?}, {restarted:?}"
            );
            world.check_invariants();
        }
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

/// Guards against servers that are used again since the copy has them as ready: `e3` and `p0` said that they leave, or
/// ended, after the copy was made.
#[test]
fn server_thathaslefthasnomore() {
    for away in AWAY {
        for has_ended in [false, true] {
            let mut world = copied_world();
            for server in ["e3", "p0"] {
                world.announce_limit(server, None);
                if has_ended {
                    world.crash_server(server);
                    world.remove_server_entry(server);
                } else {
                    world.drain(server);
                }
            }
            let left = world.now;
            world.send_heavy_load(BOUND);
            world.restore_store(away);
            world.send_heavy_load(Span::from_millis(1_000));
            run_with_rewrites(&mut world, Span::from_secs(4));
            for server in ["e3", "p0"] {
                let arrivals = world.notices.arrivals.iter();
                let late = arrivals.filter(|arrival| {
                    arrival.request
                        && arrival.server.as_str() == server
                        && arrival.at > left + BOUND
                });
                let late = late.count();
                assert_eq!(
                    late, 0,
                    "away {away:?}, ended {has_ended}: {late} at {server}"
                );
            }
            world.check_invariants();
        }
    }
}

/// Guards against the removal of servers that the copy lacks although they run: `e12` and `p8` exist only since the copy
/// was made, and write their entries again a second and a half after the return.
#[test]
fn server_sincethecopyiskept() {
    for away in AWAY {
        let mut world = copied_world();
        world.add_server("e12", 12, true);
        world.add_server("p8", 8, false);
        run_with_rewrites(&mut world, Span::from_secs(2));
        world.restore_store(away);
        let back = world.now;
        let cold = |at: usize| match at % 2 {
            0 => adapter_request(&format!("s{at}"), &format!("s{at}")),
            _ => request(&format!("s{at}"), "/query/x", 2_000, None),
        };
        world.send_requests(75, Span::from_millis(20), cold);
        for server in ["e12", "p8"] {
            let runs = runs_since(&world, server, back);
            assert_ne!(runs, 0, "away {away:?}: {server}");
        }
        run_with_rewrites(&mut world, Span::from_secs(2));
        let gone = world.log_lines.iter();
        assert_eq!(gone.filter(|line| line.contains("ServerGone")).count(), 0);
        world.check_invariants();
    }
}

/// Guards against VMs that never hear that a server which the copy lacks doesn't return: VMs that receive changes from
/// others went on to send to it.
#[test]
fn server_forgottenandgoneisremoved() {
    for away in AWAY {
        let mut world = copied_world();
        world.add_server("p8", 8, false);
        run_with_rewrites(&mut world, Span::from_secs(2));
        world.restore_store(away);
        world.crash_server("p8");
        run_with_rewrites(&mut world, Span::from_secs(6));
        let gone = world.log_lines.iter();
        let gone = gone.filter(|line| line.contains("ServerGone server=p8"));
        assert_eq!(gone.count(), 9, "away {away:?}");
        world.check_invariants();
    }
}

/// Guards against a quarantine that ends since the key-value service has forgotten its record: it goes on, and the
/// record is written again, also by VMs that start later.
#[test]
fn quarantine_outlastsacopy() {
    for away in AWAY {
        let mut world = copied_world();
        let fingerprint = Fingerprint::of(["/plan/crash".as_bytes()]);
        world.write_entry(EntryKey::Quarantine(fingerprint), EntryValue::Quarantine);
        run_with_rewrites(&mut world, Span::from_secs(1));
        world.restore_store(away);
        run_with_rewrites(&mut world, Span::from_secs(8));
        let record = world.store.get(&EntryKey::Quarantine(fingerprint));
        assert!(record.is_some(), "away {away:?}");
        let lifted = world.log_lines.iter();
        assert_eq!(lifted.filter(|line| line.contains("Lifted")).count(), 0);
        for vm in 0..9 {
            let crashing = CallerRequest {
                fingerprint,
                ..adapter_request(&format!("q{vm}"), "a3")
            };
            let number = world.send_request(vm, crashing);
            let answer = world.answer(number);
            assert!(
                matches!(answer, Some(Answer::Refused(RefusalReason::Quarantined, _))),
                "away {away:?}, vm{vm}: {answer:?}"
            );
        }
        world.check_invariants();
    }
}

/// Applies a change of era 0 and then an older value that the first list of era 1 holds, and returns whether the latter
/// is in force.
fn is_replaced(key: &EntryKey, known: Option<EntryValue>, listed: EntryValue) -> bool {
    let change = |era, value| Change {
        key: key.clone(),
        revision: Revision::new(Era::new(era).expect("an era"), 40),
        created: Revision::default(),
        value,
    };
    let mut snapshot = Snapshot::default();
    assert!(snapshot.apply(change(0, known), Delivery::EveryChange));
    let is_applied = snapshot.apply(change(1, Some(listed.clone())), Delivery::Listed);
    let value = snapshot.get(key).and_then(|change| change.value.clone());
    assert_eq!(is_applied, value == Some(listed));
    is_applied
}

/// Guards against values of the copy that replace newer ones.
#[test]
fn value_ofthecopyreplacesnonewer() {
    let config = |version| EntryValue::Config(Arc::new(config(version)));
    let server = |ready, start| {
        EntryValue::Server(Arc::new(Backend {
            service: name(PLAIN),
            address: address(3, 0),
            zone: zone(0),
            slots: 6,
            ready,
            base_models: Vec::new(),
            start: Some(Incarnation(start)),
            build: KnownBuild(Some(name("-"))),
        }))
    };
    let id = EntryKey::Server(name("p0"));
    let version = EntryKey::Version("m".into(), "a".into());
    for (key, known, listed, replaced) in [
        (&EntryKey::Config, Some(config(3)), config(2), false),
        (&EntryKey::Config, Some(config(2)), config(3), true),
        (
            &version,
            Some(EntryValue::Version(3)),
            EntryValue::Version(2),
            false,
        ),
        (
            &version,
            Some(EntryValue::Version(2)),
            EntryValue::Version(3),
            true,
        ),
        (&id, Some(server(false, 1)), server(true, 1), false),
        (&id, Some(server(true, 1)), server(false, 1), true),
        (&id, Some(server(true, 2)), server(true, 1), false),
        (&id, None, server(true, 1), false),
    ] {
        let text = format!("{key:?} {known:?} {listed:?}");
        assert_eq!(is_replaced(key, known, listed), replaced, "{text}");
    }
}

/// Sends requests for adapters that are not resident, each to another VM, and returns how many are served.
fn cold_requests_served(world: &mut World, prefix: &str) -> (usize, usize) {
    let cold = |at: usize| adapter_request(&format!("{prefix}{at}"), &format!("{prefix}{at}"));
    let numbers = world.send_requests(20, Span::from_millis(50), cold);
    world.run(Span::from_secs(5));
    (world.count_served(&numbers), numbers.len())
}

/// When the leadership was taken that is in force when the key-value service comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    /// Before the copy was made.
    BeforeTheCopy,
    /// After the copy, from a VM that has ended.
    FromAnEndedVm,
    /// After the copy, from a VM that runs on.
    FromARunningVm,
    /// After the copy, which has no holder.
    FromNoVm,
}

/// Guards against schedulers that stop, or start beside another one, since the key-value service has forgotten the
/// leadership or names an earlier holder: the scheduler goes on, with a higher fencing token.
#[test]
fn scheduler_outlastsacopy() {
    use Taken::{BeforeTheCopy, FromARunningVm, FromAnEndedVm, FromNoVm};
    for fencing in [true, false] {
        for taken in [BeforeTheCopy, FromAnEndedVm, FromARunningVm, FromNoVm] {
            for away in AWAY {
                let tuning = Tuning {
                    fencing,
                    ..Tuning::default()
                };
                let mut world = World::with_tuning(9, 12, 4, tuning);
                world.run(Span::from_secs(2));
                world.send_heavy_load(Span::from_secs(2));
                let first = world.holder().expect("a holder");
                match taken {
                    BeforeTheCopy | FromAnEndedVm | FromARunningVm => world.copy_store(),
                    FromNoVm => {
                        world.stop(first);
                        world.run(Span::from_millis(5));
                        assert_eq!(world.holder(), None);
                        world.copy_store();
                    }
                }
                match taken {
                    BeforeTheCopy => {}
                    FromARunningVm => {
                        world.remove_entry(&EntryKey::Holder(name(ENGINES)));
                    }
                    FromAnEndedVm | FromNoVm => world.kill(first, true),
                }
                run_with_rewrites(&mut world, Span::from_secs(6));
                let before = world.holder().expect("a holder");
                let text = format!("fencing {fencing}, {taken:?}, away {away:?}, vm{before}");
                assert_eq!(taken == BeforeTheCopy, before == first, "{text}");
                world.restore_store(away);
                let back = world.now;
                world.rewrite_server_entries();
                run_with_rewrites(&mut world, Span::from_secs(3));
                // Without fencing tokens a scheduler outlasts its lease by the votes of all VMs that have an entry,
                // and an ended VM, whose entry lives for sixteen seconds, gives none.
                let ended = matches!(taken, FromAnEndedVm | FromNoVm);
                if fencing || !ended || away < Some(Tuning::default().lease) {
                    assert_eq!(world.holder(), Some(before), "{text}");
                    let id = format!(" vm{before} LeaseLost ");
                    let mut lines = world.log_lines.iter();
                    assert!(!lines.any(|line| line.contains(&id)), "{text}");
                }
                let (served, sent) = cold_requests_served(&mut world, "c");
                assert_eq!(served, sent, "{text}, since {back}");
                world.check_one_holder_at_a_time();
                world.check_invariants();
            }
        }
    }
}

/// Guards against VMs that trust a lease of before the copy, whose ID the key-value service gives to another VM: a VM
/// renewed, or revoked at its stop, the lease of the other one.
#[test]
fn lease_isofonevm() {
    for away in AWAY {
        let mut world = World::under_load(9);
        world.copy_store();
        for vm in [2, 5, 8] {
            world.kill(vm, false);
            world.run(Span::from_millis(700));
        }
        run_with_rewrites(&mut world, Span::from_secs(1));
        world.restore_store(away);
        // VMs that start now get the lease IDs of those that started after the copy.
        for vm in [0, 1, 3] {
            world.kill(vm, false);
        }
        run_with_rewrites(&mut world, Span::from_secs(4));
        let key = |vm: usize| EntryKey::Member(name(&format!("vm{vm}")));
        let leases: BTreeSet<_> = (0..9)
            .filter_map(|vm| world.store.lease(&key(vm)))
            .collect();
        assert_eq!(leases.len(), 9, "away {away:?}: {leases:?}");
        for vm in [2, 5, 8] {
            world.stop(vm);
            world.run(Span::from_secs(1));
            world.kill(vm, true);
        }
        run_with_rewrites(&mut world, Span::from_secs(3));
        for vm in 0..9 {
            let is_listed = world.store.get(&key(vm)).is_some();
            assert_eq!(is_listed, ![2, 5, 8].contains(&vm), "away {away:?}: vm{vm}");
        }
        world.check_invariants();
    }
}
