//! Who reads the key-value service, and how the others hear of its changes.
//!
//! The load is that of a calm day at the larger deployments: servers rewrite their entries several times a second, and
//! each VM that watches by itself would make a call for each.

mod support;

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue, Snapshot};
use support::World;
use support::setup::{config, name};

/// Servers rewrite their entries every 50 ms for a while.
fn churn(world: &mut World, span: Span) {
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

fn versions(world: &World) -> Vec<u64> {
    let gateways = world.vms.iter().filter_map(|host| host.gateway.as_ref());
    gateways
        .map(dahliastile_gateway::Gateway::config_version)
        .collect()
}

fn calm(vms: usize) -> World {
    let mut world = World::new(vms, 4, 1);
    world.run(Span::from_secs(2));
    churn(&mut world, Span::from_secs(1));
    world
}

#[test]
fn watch_byfew() {
    let mut world = calm(12);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(5));
    assert!(
        world.store.watched_by.len() <= 3,
        "{:?}",
        world.store.watched_by
    );
    world.configure(config(7));
    // The pause between two watches, and some.
    world.run(Span::from_millis(250));
    assert_eq!(versions(&world), vec![7; 12]);
}

#[test]
fn watchers_killedarereplaced() {
    let mut world = calm(12);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in watchers {
        world.kill(vm, true);
    }
    world.configure(config(8));
    world.run(Span::from_millis(1_600));
    assert_eq!(versions(&world), vec![8; 9]);
    world.check_invariants();
}

#[test]
fn watchers_frozenarereplaced() {
    let mut world = calm(12);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.freeze(*vm, Span::from_secs(6));
    }
    world.configure(config(9));
    world.run(Span::from_millis(1_600));
    let others = versions(&world)
        .into_iter()
        .filter(|version| *version == 9)
        .count();
    assert_eq!(others, 9);
    world.run(Span::from_secs(6));
    assert_eq!(versions(&world), vec![9; 12]);
}

/// The key-value service turns away all that watch it: the others read it themselves, and tell them.
#[test]
fn watchers_turnedawayhear() {
    let mut world = calm(12);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_reachable = false;
    }
    world.wake_watchers();
    world.configure(config(9));
    world.run(Span::from_millis(2_500));
    assert_eq!(versions(&world), vec![9; 12]);
}

/// Every entry lapses while the service is away: nobody takes the servers for gone before they could come back.
#[test]
fn entries_lapsedarewaitedfor() {
    let mut world = calm(12);
    world.store_up = false;
    world.wake_watchers();
    world.run(Span::from_secs(3));
    for server in ["e0", "e1", "e2", "e3", "p0"] {
        world.store.remove(&EntryKey::Server(name(server)));
    }
    world.store_up = true;
    world.run(Span::from_millis(900));
    let asked: Vec<u64> = (0..12)
        .map(|vm| world.send_request(vm, support::setup::request("q", "/query/x", 2_000, None)))
        .collect();
    world.run(Span::from_millis(300));
    for number in asked {
        assert!(matches!(
            world.answer(number),
            Some(support::Answer::Served(_))
        ));
    }
}

/// The key-value service leaves the calls of all that watch it without an answer, also the watches in progress: the
/// others must not take their silence for news of no change.
#[test]
fn watchers_unansweredarereplaced() {
    let mut world = calm(12);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_silent = true;
    }
    world.configure(config(9));
    world.run(Span::from_millis(1_900));
    let others = versions(&world)
        .into_iter()
        .filter(|version| *version == 9)
        .count();
    assert!(others >= 9, "{others} of 9");
}

/// What engines hold and how many orders they took is rewritten all the time, in entries that are else the same: the calls of
/// the VMs that watch don't grow with it (a call each 200 ms and its answer, by three VMs), and the VMs that follow are not told of it at all.
#[test]
fn watch_ofchurnisbounded() {
    let mut world = calm(12);
    let calls = world.store.calls;
    let sent = world.messages;
    let step = Span::from_millis(10);
    for at in 0..500_u64 {
        let id = name(&format!("e{}", at % 4));
        let fact = EntryValue::Server(world.servers[&id].1.clone());
        world.store.put(EntryKey::Server(id), fact, 0);
        world.wake_watchers();
        world.run(step);
    }
    // The renewals of each VM's entry and of the leadership come on top.
    let calls = world.store.calls - calls;
    assert!(calls <= 3 * 5_000 / 200 + 12 * 2 + 10 + 10, "{calls} calls");
    // Each VM that follows asks and is answered each 300 ms, and the scheduler speaks to all five times a second.
    let sent = world.messages - sent;
    assert!(sent <= 2 * 9 * 17 + 11 * 5 * 6, "{sent} messages");
    world.check_invariants();
}

/// Where one of the VMs that watch for all stands still, those that followed it follow another one: with 300 VMs, a hundred
/// that watch by themselves would each be sent all that 3,000 servers rewrite. What is configured then is in force in two
/// seconds all the same.
#[test]
fn watcher_frozenisfollowedbyanother() {
    let mut world = calm(24);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for frozen in watchers {
        world.freeze(frozen, Span::from_millis(2_500));
        world.store.watched_by.clear();
        world.configure(config(10 + frozen as u64));
        churn(&mut world, Span::from_secs(2));
        let versions = versions(&world);
        let behind = versions.iter().filter(|v| **v != 10 + frozen as u64);
        assert!(behind.count() <= 1, "{versions:?}");
        let watch = world.store.watched_by.len();
        assert!(watch <= 4, "{watch} watch");
        churn(&mut world, Span::from_secs(4));
    }
    world.check_invariants();
}

/// The key-value service cuts the watches of the VMs that watch for all and answers none of their calls, so that all others
/// watch by themselves, then goes away and comes back: those others call it about twice a second each, and it is not met
/// by all VMs at once again and again.
#[test]
fn watch_alonecallslittle() {
    let mut world = calm(24);
    world.store.watched_by.clear();
    churn(&mut world, Span::from_secs(2));
    let watchers: Vec<usize> = world.store.watched_by.iter().copied().collect();
    for vm in &watchers {
        world.vms[*vm].store_silent = true;
    }
    let calls = world.store.calls;
    churn(&mut world, Span::from_secs(4));
    world.store_up = false;
    world.wake_watchers();
    churn(&mut world, Span::from_secs(2));
    world.store_up = true;
    churn(&mut world, Span::from_secs(4));
    let calls = world.store.calls - calls;
    // 21 VMs alone for ten seconds, each with a call in 400 ms and two renewals a second, and some lists and entries.
    let most = 21 * (25 + 20 + 10);
    assert!(calls <= most, "{calls} calls");
    world.check_invariants();
}

/// A configuration that is written right after an outage, while some VMs watch, some follow, and each hears of it by another
/// way: whoever passes changes on must not leave out what it heard of by another way, as the others then believe that they
/// know all up to there.
#[test]
fn news_afteroutagereachesall() {
    for round in 0..40_u64 {
        let mut world = calm(24);
        world.store_up = false;
        world.wake_watchers();
        world.run(Span::from_millis(4_500 + 37 * round));
        world.store_up = true;
        churn(&mut world, Span::from_millis(50 * (round % 20)));
        world.run(Span::from_millis(round * 7 % 50));
        world.configure(config(9));
        churn(&mut world, Span::from_secs(3));
        assert_eq!(versions(&world), vec![9; 24], "round {round}");
    }
}

/// What a VM was told before its own watch showed it is still news for those that follow it, and so is an entry that was
/// told, since told entries may skip changes; an entry whose watched changes are alike is not.
#[test]
fn news_toldearlierispassedon() {
    let world = calm(1);
    let (key, value) = (EntryKey::Config, EntryValue::Config(Arc::new(config(9))));
    let config = Change {
        key,
        revision: 5,
        created: 5,
        value: Some(value),
    };
    let mut table = Snapshot::default();
    assert!(table.is_change(&config, 4));
    assert!(table.apply(config.clone(), Delivery::LatestOnly));
    assert!(
        table.is_change(&config, 4),
        "the followers know all up to 4"
    );
    assert!(!table.is_change(&config, 5), "they know it already");
    let entry = |revision: u64, ready: bool| {
        let mut backend = (*world.servers[&name::<Server>("e0")].1).clone();
        backend.ready = ready;
        Change {
            key: EntryKey::Server(name("e0")),
            revision,
            created: 1,
            value: Some(EntryValue::Server(Arc::new(backend))),
        }
    };
    assert!(table.apply(entry(6, true), Delivery::EveryChange));
    assert!(!table.is_change(&entry(7, true), 6));
    assert!(table.is_change(&entry(7, false), 6));
    assert!(table.apply(entry(8, true), Delivery::LatestOnly));
    assert_eq!(table.after(6).count(), 1, "an entry of before may differ");
    assert!(table.apply(entry(9, true), Delivery::EveryChange));
    assert_eq!(table.after(8).count(), 0);
}

/// Whether each VM has a plain request served.
fn all_serve(world: &mut World) -> bool {
    let vms = 0..world.vms.len();
    let asked: Vec<u64> = vms
        .map(|vm| world.send_request(vm, support::setup::request("q", "/query/x", 2_000, None)))
        .collect();
    world.run(Span::from_millis(400));
    world.count_served(&asked) == asked.len()
}

/// A server's entry goes and is there again as it was, both between two watches: VMs that follow hear of both, or they take the
/// server for gone until its entry says something else.
#[test]
fn entry_goneandbackatonceisknown() {
    let mut world = calm(12);
    let (subject, back) = (
        EntryKey::Server(name("p0")),
        world.servers[&name::<Server>("p0")].1.clone(),
    );
    // One such pair falls into a pause of each watcher.
    for _ in 0..8 {
        world.store.remove(&subject);
        world
            .store
            .put(subject.clone(), EntryValue::Server(back.clone()), 0);
        world.wake_watchers();
        churn(&mut world, Span::from_millis(100));
    }
    world.run(Span::from_secs(1));
    assert!(all_serve(&mut world));
    world.check_invariants();
}

/// All entries lapse in an outage, and servers write theirs again a second after it, as they were: nobody takes them for gone
/// after the two seconds that they have.
#[test]
fn entries_lapsedandbackareknown() {
    for back in [100, 700, 1_300] {
        let mut world = calm(12);
        world.store_up = false;
        world.wake_watchers();
        world.run(Span::from_secs(4));
        let ids = ["e0", "e1", "e2", "e3", "p0"];
        for server in ids {
            world.store.remove(&EntryKey::Server(name(server)));
        }
        world.store_up = true;
        world.run(Span::from_millis(back));
        for server in ids {
            world.rewrite_server_entry(server);
        }
        world.run(Span::from_secs(4));
        assert!(all_serve(&mut world), "back after {back} ms");
        world.check_invariants();
    }
}

/// VMs that follow each other are told of entries that are newer and else the same, as after a start of all, when each has listed them
/// at another time: nobody passes those on.
#[test]
fn news_thatisonlynewerisnotpassedon() {
    let world = calm(1);
    let backend = world.servers[&name::<Server>("e0")].1.clone();
    let entry = |revision: u64| Change {
        key: EntryKey::Server(name("e0")),
        revision,
        created: 1,
        value: Some(EntryValue::Server(backend.clone())),
    };
    let mut table = Snapshot::default();
    assert!(table.differs(&entry(5)), "it is not known");
    assert!(table.apply(entry(5), Delivery::LatestOnly));
    assert!(!table.differs(&entry(6)));
    let gone = Change {
        value: None,
        ..entry(7)
    };
    assert!(table.differs(&gone));
    assert!(
        !table.differs(&Change {
            revision: 4,
            ..gone
        }),
        "it is older"
    );
    table.lapse(&EntryKey::Server(name("e0")));
    assert!(table.differs(&entry(8)), "it is back");
}
