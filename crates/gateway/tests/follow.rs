//! Tests of watching the key-value service: which VMs watch it directly, and how the others receive its
//! changes.
//!
//! Servers rewrite their entries several times a second, as on a day without faults in the larger deployments,
//! and a VM that watches directly may make a call for each rewrite.

mod support;

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::revision::{Era, Revision};
use dahliastile_gateway::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue, Snapshot};
use support::World;
use support::setup::{config, name};

fn revision(number: u64) -> Revision {
    Revision::new(Era::default(), number)
}

/// Runs for `span` while servers rewrite their entries every 50 ms.
fn run_with_rewrites(world: &mut World, span: Span) {
    let step = Span::from_millis(50);
    for at in 0..span.0 / step.0 {
        let id = name(&format!("e{}", at % 4));
        let backend = world.servers[&id].1.clone();
        world.store.put(
            EntryKey::Server(id),
            EntryValue::Server(Arc::clone(&backend)),
            0,
        );
        world.wake_watchers();
        world.run(step);
    }
}

/// Returns the version of the configuration in force at each VM that runs.
fn config_versions(world: &World) -> Vec<u64> {
    let gateways = world.vms.iter().filter_map(|vm| vm.gateway.as_ref());
    gateways
        .map(dahliastile_gateway::Gateway::config_version)
        .collect()
}

/// Returns a world of `vms` VMs, the engines e0 to e3 and the server p0, which has no adapters, after three seconds.
fn settled_world(vms: usize) -> World {
    let mut world = World::new(vms, 4, 1);
    world.run(Span::from_secs(2));
    run_with_rewrites(&mut world, Span::from_secs(1));
    world
}

#[test]
fn watch_byfew() {
    let mut world = settled_world(12);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(5));
    assert!(
        world.store.watched_by.len() <= 3,
        "{:?}",
        world.store.watched_by
    );
    world.configure(config(7));
    // The pause between two watches is 200 ms; the rest is a margin.
    world.run(Span::from_millis(250));
    assert_eq!(config_versions(&world), vec![7; 12]);
}

#[test]
fn watchers_killedarereplaced() {
    let mut world = settled_world(12);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in watchers {
        world.kill(vm, true);
    }
    world.configure(config(8));
    world.run(Span::from_millis(1_600));
    assert_eq!(config_versions(&world), vec![8; 9]);
    world.check_invariants();
}

#[test]
fn watchers_frozenarereplaced() {
    let mut world = settled_world(12);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.freeze(*vm, Span::from_secs(6));
    }
    world.configure(config(9));
    world.run(Span::from_millis(1_600));
    let others = config_versions(&world)
        .into_iter()
        .filter(|version| *version == 9)
        .count();
    assert_eq!(others, 9);
    world.run(Span::from_secs(6));
    assert_eq!(config_versions(&world), vec![9; 12]);
}

/// The key-value service refuses the calls of all watchers: the other VMs watch it directly, and send the
/// changes to the watchers.
#[test]
fn watchers_turnedawayhear() {
    let mut world = settled_world(12);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_reachable = false;
    }
    world.wake_watchers();
    world.configure(config(9));
    world.run(Span::from_millis(2_500));
    assert_eq!(config_versions(&world), vec![9; 12]);
}

/// Every entry expires while the key-value service is away: no VM removes the servers before they could write
/// their entries again.
#[test]
fn entries_lapsedarewaitedfor() {
    let mut world = settled_world(12);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_secs(3));
    for server in ["e0", "e1", "e2", "e3", "p0"] {
        world.store.remove(&EntryKey::Server(name(server)));
    }
    world.store_up = true;
    world.run(Span::from_millis(900));
    let numbers: Vec<u64> = (0..12)
        .map(|vm| world.send_request(vm, support::setup::request("q", "/query/x", 2_000, None)))
        .collect();
    world.run(Span::from_millis(300));
    for number in numbers {
        assert!(matches!(
            world.answer(number),
            Some(support::Answer::Served(_))
        ));
    }
}

/// The key-value service doesn't answer the watchers' calls, including the watches in progress: the other VMs
/// must not take the watchers' silence to mean that nothing has changed.
#[test]
fn watchers_unansweredarereplaced() {
    let mut world = settled_world(12);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_silent = true;
    }
    world.configure(config(9));
    world.run(Span::from_millis(1_900));
    let others = config_versions(&world)
        .into_iter()
        .filter(|version| *version == 9)
        .count();
    assert!(others >= 9, "{others} of 9");
}

/// Servers keep rewriting entries that differ only in resident adapters and counts of accepted orders. The
/// calls of the watchers don't grow with the rewrites (three VMs make a call each 200 ms and its answer), and
/// subscribers receive nothing.
#[test]
fn watch_ofchurnisbounded() {
    let mut world = settled_world(12);
    let calls = world.store.calls;
    let sent = world.messages;
    let step = Span::from_millis(10);
    for at in 0..500_u64 {
        let id = name(&format!("e{}", at % 4));
        let value = EntryValue::Server(world.servers[&id].1.clone());
        world.store.put(EntryKey::Server(id), value, 0);
        world.wake_watchers();
        world.run(step);
    }
    // The renewals of each VM's entry and of the leadership's lease are added.
    let calls = world.store.calls - calls;
    assert!(calls <= 3 * 5_000 / 200 + 12 * 2 + 10 + 10, "{calls} calls");
    // Each subscriber sends a message and is answered every 300 ms, and the scheduler sends to all VMs five
    // times a second.
    let sent = world.messages - sent;
    assert!(sent <= 2 * 9 * 17 + 11 * 5 * 6, "{sent} messages");
    world.check_invariants();
}

/// When a watcher freezes, its subscribers choose another upstream instead of watching directly: with 300 VMs,
/// a hundred VMs that watch directly would each be sent every rewrite of 3,000 servers. A configuration written
/// meanwhile is in force within two seconds all the same.
#[test]
fn watcher_frozenisfollowedbyanother() {
    let mut world = settled_world(24);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for frozen in watchers {
        world.freeze(frozen, Span::from_millis(2_500));
        world.store.watched_by.clear();
        world.configure(config(10 + frozen as u64));
        run_with_rewrites(&mut world, Span::from_secs(2));
        let versions = config_versions(&world);
        let behind = versions.iter().filter(|v| **v != 10 + frozen as u64);
        assert!(behind.count() <= 1, "{versions:?}");
        let watching = world.store.watched_by.len();
        assert!(watching <= 4, "{watching} VMs watch");
        run_with_rewrites(&mut world, Span::from_secs(4));
    }
    world.check_invariants();
}

/// The key-value service cuts the watchers' watches and answers none of their calls, so that all other VMs
/// watch directly; then it goes away and comes back. The VMs that watch directly each call it about twice a
/// second, and don't repeatedly call it all at once.
#[test]
fn watch_alonecallslittle() {
    let mut world = settled_world(24);
    world.store.watched_by.clear();
    run_with_rewrites(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_silent = true;
    }
    let calls = world.store.calls;
    run_with_rewrites(&mut world, Span::from_secs(4));
    world.store_up = false;
    world.wake_watchers();
    run_with_rewrites(&mut world, Span::from_secs(2));
    world.store_up = true;
    run_with_rewrites(&mut world, Span::from_secs(4));
    let calls = world.store.calls - calls;
    // 21 VMs watch directly for ten seconds, with a call every 400 ms and two renewals a second each, and some
    // lists and writes of entries.
    let most = 21 * (25 + 20 + 10);
    assert!(calls <= most, "{calls} calls");
    world.check_invariants();
}

/// A configuration is written right after an outage, while some VMs watch and others subscribe, and each
/// receives it by another way. A VM that sends changes on must include those that it received by another way,
/// because its subscribers then assume that they know all changes up to that revision.
#[test]
fn config_afteroutagereachesall() {
    for round in 0..40_u64 {
        let mut world = settled_world(24);
        world.store_up = false;
        world.wake_watchers();
        world.run(Span::from_millis(4_500 + 37 * round));
        world.store_up = true;
        run_with_rewrites(&mut world, Span::from_millis(50 * (round % 20)));
        world.run(Span::from_millis(round * 7 % 50));
        world.configure(config(9));
        run_with_rewrites(&mut world, Span::from_secs(3));
        assert_eq!(config_versions(&world), vec![9; 24], "round {round}");
    }
}

/// A change that a VM received before its own watch showed it is still relevant to its subscribers. So is a
/// change of an entry of which only the latest change was received, since earlier ones may be missing. A
/// watched change that doesn't alter the value is not relevant.
#[test]
fn news_toldearlierispassedon() {
    let world = settled_world(1);
    let (key, value) = (EntryKey::Config, EntryValue::Config(Arc::new(config(9))));
    let config = Change {
        key,
        revision: revision(5),
        created: revision(5),
        value: Some(value),
    };
    let mut snapshot = Snapshot::default();
    assert!(snapshot.is_relevant(&config, revision(4)));
    assert!(snapshot.apply(config.clone(), Delivery::Known));
    assert!(
        snapshot.is_relevant(&config, revision(4)),
        "the subscribers know all changes up to 4"
    );
    assert!(
        !snapshot.is_relevant(&config, revision(5)),
        "the subscribers know it already"
    );
    let entry = |number: u64, ready: bool| {
        let mut backend = (*world.servers[&name::<Server>("e0")].1).clone();
        backend.ready = ready;
        Change {
            key: EntryKey::Server(name("e0")),
            revision: revision(number),
            created: revision(1),
            value: Some(EntryValue::Server(Arc::new(backend))),
        }
    };
    assert!(snapshot.apply(entry(6, true), Delivery::EveryChange));
    assert!(!snapshot.is_relevant(&entry(7, true), revision(6)));
    assert!(snapshot.is_relevant(&entry(7, false), revision(6)));
    assert!(snapshot.apply(entry(8, true), Delivery::Known));
    assert_eq!(
        snapshot.changes_after(revision(6)).count(),
        1,
        "an earlier change of the entry may be missing"
    );
    assert!(snapshot.apply(entry(9, true), Delivery::EveryChange));
    assert_eq!(snapshot.changes_after(revision(8)).count(), 0);
}

/// Returns whether a request to each VM that needs no adapter is served.
fn all_serve(world: &mut World) -> bool {
    let vms = 0..world.vms.len();
    let numbers: Vec<u64> = vms
        .map(|vm| world.send_request(vm, support::setup::request("q", "/query/x", 2_000, None)))
        .collect();
    world.run(Span::from_millis(400));
    world.count_served(&numbers) == numbers.len()
}

/// A server's entry is deleted and written again with the same value between two watches. Subscribers must
/// receive both changes; otherwise they treat the server as gone until the entry's value changes.
#[test]
fn entry_goneandbackatonceisknown() {
    let mut world = settled_world(12);
    let (key, backend) = (
        EntryKey::Server(name("p0")),
        world.servers[&name::<Server>("p0")].1.clone(),
    );
    // At least one of these pairs falls into a pause of each watcher.
    for _ in 0..8 {
        world.store.remove(&key);
        world
            .store
            .put(key.clone(), EntryValue::Server(backend.clone()), 0);
        world.wake_watchers();
        run_with_rewrites(&mut world, Span::from_millis(100));
    }
    world.run(Span::from_secs(1));
    assert!(all_serve(&mut world));
    world.check_invariants();
}

/// All entries expire in an outage, and servers write the same values again up to 1.3 s after it: no VM removes
/// the servers when their grace period of two seconds ends.
#[test]
fn entries_lapsedandbackareknown() {
    for back_after in [100, 700, 1_300] {
        let mut world = settled_world(12);
        world.store_up = false;
        world.wake_watchers();
        world.run(Span::from_secs(4));
        let ids = ["e0", "e1", "e2", "e3", "p0"];
        for server in ids {
            world.store.remove(&EntryKey::Server(name(server)));
        }
        world.store_up = true;
        world.run(Span::from_millis(back_after));
        for server in ids {
            world.rewrite_server_entry(server);
        }
        world.run(Span::from_secs(4));
        assert!(all_serve(&mut world), "back after {back_after} ms");
        world.check_invariants();
    }
}

/// VMs that subscribe to each other receive entries with a newer revision and the same value, as after a start
/// of all VMs, each of which has listed the entries at another time. None of these changes is sent on.
#[test]
fn change_ofrevisiononlyisnotsenton() {
    let world = settled_world(1);
    let backend = world.servers[&name::<Server>("e0")].1.clone();
    let entry = |number: u64| Change {
        key: EntryKey::Server(name("e0")),
        revision: revision(number),
        created: revision(1),
        value: Some(EntryValue::Server(backend.clone())),
    };
    let mut snapshot = Snapshot::default();
    assert!(snapshot.is_new_value(&entry(5)), "the entry is not known");
    assert!(snapshot.apply(entry(5), Delivery::Known));
    assert!(!snapshot.is_new_value(&entry(6)));
    let gone = Change {
        value: None,
        ..entry(7)
    };
    assert!(snapshot.is_new_value(&gone));
    assert!(
        !snapshot.is_new_value(&Change {
            revision: revision(4),
            ..gone
        }),
        "the change is older"
    );
    snapshot.mark_unconfirmed(&EntryKey::Server(name("e0")));
    assert!(snapshot.is_new_value(&entry(8)), "the entry is back");
}
