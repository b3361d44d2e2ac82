//! Reading the configuration from the key-value service: starts, outages, gaps of the watch, damage and snapshots.

mod edits;
mod support;

use dahliastile_core::config::Change;
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::log::Code;
use dahliastile_core::operator::{Command, Reply};
use edits::{accepted, edit, edit_up_to, edition, failed, give, insert, names, reach, shown};
use support::net::End;
use support::setup::Size;
use support::{Fleet, MS, SEC};

const HEAD: &str = "dahliastile/config/head";

/// A fleet of a few VMs whose snapshots are written after `snapshot_edits` edits.
fn fleet(seed: u64, vms: usize, snapshot_edits: u64) -> Fleet {
    let mut size = Size::small();
    size.vms = vms;
    size.tuning.snapshot_edits = snapshot_edits;
    size.fleet(seed)
}

fn keys(fleet: &Fleet, part: &str) -> Vec<String> {
    let keys = fleet.kv.pairs.keys();
    keys.filter(|key| key.contains(part)).cloned().collect()
}

/// The texts of the edits that the service holds, in order.
fn values(fleet: &Fleet) -> Vec<Vec<u8>> {
    let keys = keys(fleet, "/edit/");
    let value = |key: &String| fleet.kv.value(key).unwrap().to_vec();
    keys.iter().map(value).collect()
}

/// Changes a byte of a value behind the service's back.
fn damage(fleet: &mut Fleet, key: &str) {
    let (pair, _) = fleet.kv.pairs.get_mut(key).unwrap();
    let middle = pair.value.len() / 2;
    pair.value[middle] ^= 1;
}

#[test]
fn start_platform_down_then_up() {
    let mut fleet = Size::small().bare_fleet(1);
    fleet.kv_down(false);
    fleet.run_for(60 * SEC);
    assert_eq!(edition(&mut fleet, 0), 0);
    fleet.kv_up();
    fleet.configure(&Size::small().document());
    fleet.run_for(4 * SEC);
    for vm in 0..3 {
        assert_eq!(edition(&mut fleet, vm), 1);
    }
}

#[test]
fn restart_reads_platform() {
    let mut fleet = fleet(2, 1, 256);
    edit_up_to(&mut fleet, 0, 25);
    let before = shown(&mut fleet, 0);
    fleet.restart(0, SEC);
    fleet.run_for(5 * SEC);
    assert_eq!(shown(&mut fleet, 0), before);
}

#[test]
fn outage_keeps_edition() {
    let mut fleet = fleet(3, 3, 256);
    edit_up_to(&mut fleet, 0, 3);
    fleet.kv_down(true);
    fleet.run_for(600 * SEC);
    for vm in 0..3 {
        assert_eq!(edition(&mut fleet, vm), 3);
    }
    fleet.kv_up();
    fleet.run_for(10 * SEC);
    edit_up_to(&mut fleet, 1, 4);
    for vm in 0..3 {
        assert!(reach(&mut fleet, &[vm], 4, 4 * SEC));
    }
}

#[test]
fn slow_platform_still_commits() {
    let mut fleet = fleet(4, 2, 256);
    fleet.kv.faults.slow = 1_500 * MS;
    edit_up_to(&mut fleet, 0, 2);
    assert!(reach(&mut fleet, &[1], 2, 10 * SEC));
}

#[test]
fn watch_gap_is_read_again() {
    for compacted in [false, true] {
        let mut fleet = fleet(5, 2, 256);
        fleet.run_for(SEC);
        fleet.net.cut(End::Vm(1), End::Kv);
        fleet.net.cut(End::Vm(1), End::Vm(0));
        fleet.kv_down(false);
        fleet.kv_up();
        edit_up_to(&mut fleet, 0, 6);
        if compacted {
            fleet.kv.compact();
        }
        assert_eq!(edition(&mut fleet, 1), 1);
        fleet.net.mend_all();
        assert!(reach(&mut fleet, &[1], 6, 4 * SEC));
    }
}

#[test]
fn silent_watch_is_noticed() {
    let mut fleet = fleet(6, 1, 256);
    fleet.run_for(SEC);
    let head = fleet.kv.pairs[HEAD].clone();
    edit_up_to(&mut fleet, 0, 2);
    let edits = keys(&fleet, "/edit/");
    assert_eq!(edits.len(), 2);
    // An older head, as from a store that was put back, takes nothing back.
    fleet.kv.pairs.insert(HEAD.to_owned(), head);
    fleet.run_for(60 * SEC);
    assert_eq!(edition(&mut fleet, 0), 2);
}

/// Guards against edits that are built on what a key-value service has left that lost editions without an outage: they
/// follow the editions in force, which are there again as they were.
#[test]
fn restored_platform_is_not_built_on() {
    let mut fleet = fleet(18, 2, 256);
    edit_up_to(&mut fleet, 0, 3);
    fleet.run_for(SEC);
    let (pairs, revision) = (fleet.kv.pairs.clone(), fleet.kv.revision);
    edit_up_to(&mut fleet, 0, 6);
    fleet.run_for(SEC);
    let before = values(&fleet);
    (fleet.kv.pairs, fleet.kv.revision) = (pairs, revision);
    assert_eq!(values(&fleet).len(), 3);
    for vm in 0..2 {
        let change = insert(&format!("on-sand-{vm}"));
        let ticket = give(&mut fleet, vm, edit(&format!("late-{vm}"), 6, vec![change]));
        assert_eq!(accepted(&mut fleet, ticket).0, 7 + vm as u64);
        let now = values(&fleet);
        assert_eq!(now.len(), 7 + vm);
        assert_eq!(now[..6], before, "an edit was not written as it was");
    }
    assert!(reach(&mut fleet, &[0, 1], 8, 4 * SEC));
}

#[test]
fn head_gone_takes_nothing_back() {
    let mut fleet = fleet(7, 2, 256);
    edit_up_to(&mut fleet, 0, 5);
    fleet.run_for(SEC);
    fleet.kv.pairs.retain(|key, _| !key.contains("/config/"));
    fleet.run_for(30 * SEC);
    for vm in 0..2 {
        assert_eq!(edition(&mut fleet, vm), 5);
    }
}

#[test]
fn snapshot_lets_old_edits_go() {
    let mut fleet = fleet(8, 1, 8);
    edit_up_to(&mut fleet, 0, 60);
    fleet.run_for(SEC);
    let kept = keys(&fleet, "/edit/").len();
    assert!(kept <= 8 * 3, "{kept} edits are kept");
    assert_eq!(keys(&fleet, "/snap/").len(), 1);
    let before = shown(&mut fleet, 0);
    fleet.restart(0, SEC);
    fleet.run_for(5 * SEC);
    assert_eq!(shown(&mut fleet, 0), before);
}

#[test]
fn snapshot_in_many_parts() {
    let mut size = Size::small();
    (size.vms, size.adapters, size.tuning.snapshot_edits) = (1, 12_000, 8);
    let mut fleet = Size {
        adapters: 1,
        ..size.clone()
    }
    .fleet(9);
    let document = size.document();
    for some in document.adapters.chunks(4_000) {
        fleet.edit(0, some.iter().cloned().map(Change::PutAdapter).collect());
    }
    edit_up_to(&mut fleet, 0, 9);
    fleet.run_for(SEC);
    let parts = keys(&fleet, "/snap/");
    assert!(parts.len() > 1);
    for part in &parts {
        assert!(fleet.kv.value(part).unwrap().len() <= 512 * 1024);
    }
    let before = shown(&mut fleet, 0);
    fleet.restart(0, SEC);
    fleet.run_for(5 * SEC);
    assert_eq!(shown(&mut fleet, 0), before);
}

#[test]
fn snapshot_write_faults() {
    for seed in 0..8 {
        let mut fleet = fleet(seed, 1, 8);
        edit_up_to(&mut fleet, 0, 7);
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_answers = 2;
        fleet.kv.faults.lose_calls = u32::from(seed % 2 == 0);
        edit_up_to(&mut fleet, 0, 30);
        fleet.run_for(30 * SEC);
        let before = shown(&mut fleet, 0);
        fleet.restart(0, SEC);
        fleet.run_for(5 * SEC);
        assert_eq!(shown(&mut fleet, 0), before);
    }
}

#[test]
fn damaged_edit_is_not_applied() {
    let mut fleet = fleet(10, 2, 256);
    fleet.run_for(SEC);
    fleet.crash(1);
    edit_up_to(&mut fleet, 0, 4);
    damage(&mut fleet, "dahliastile/config/edit/00000000000000000003");
    fleet.net.cut(End::Vm(1), End::Vm(0));
    fleet.start(1);
    fleet.run_for(20 * SEC);
    assert_eq!(edition(&mut fleet, 1), 2);
    assert!(fleet.logged(Code::EditionRejected) >= 1);
    assert!(fleet.logged(Code::EditionRejected) <= 2);
}

#[test]
fn damaged_part_is_not_applied() {
    let mut fleet = fleet(11, 1, 8);
    edit_up_to(&mut fleet, 0, 30);
    fleet.run_for(SEC);
    // The part can still be read, but says something else.
    let part = keys(&fleet, "/snap/").remove(0);
    let (pair, _) = fleet.kv.pairs.get_mut(&part).unwrap();
    let whole = pair.value.clone();
    let text = String::from_utf8(whole.clone()).unwrap();
    pair.value = text.replace("caller-0", "caller-9").into_bytes();
    assert_ne!(pair.value, whole);
    fleet.restart(0, SEC);
    fleet.run_for(20 * SEC);
    assert_eq!(edition(&mut fleet, 0), 0);
    assert!(fleet.logged(Code::EditionRejected) >= 1);
    fleet.kv.pairs.get_mut(&part).unwrap().0.value = whole;
    assert!(reach(&mut fleet, &[0], 30, 5 * SEC));
}

#[test]
fn damaged_head_is_not_applied() {
    let mut fleet = fleet(12, 1, 256);
    fleet.run_for(SEC);
    damage(&mut fleet, HEAD);
    fleet.run_for(30 * SEC);
    assert_eq!(edition(&mut fleet, 0), 1);
    assert_eq!(fleet.logged(Code::EditionRejected), 1);
}

#[test]
fn old_base_reads_older_edits() {
    let mut fleet = fleet(13, 2, 8);
    edit_up_to(&mut fleet, 0, 20);
    fleet.run_for(SEC);
    fleet.restart(1, SEC);
    fleet.run_for(5 * SEC);
    assert_eq!(edition(&mut fleet, 1), 20);
    let history = fleet.answer(1, Command::History { limit: 6 }, 10 * SEC);
    let Some(Reply::History(entries)) = history else {
        panic!("no history: {history:?}");
    };
    let editions: Vec<u64> = entries.iter().map(|entry| entry.edition.0).collect();
    assert_eq!(editions, [20, 19, 18, 17, 16, 15]);
}

#[test]
fn steady_state_reads_little() {
    let mut fleet = fleet(14, 3, 256);
    fleet.run_for(5 * SEC);
    let before = fleet.kv.calls.get("get").copied().unwrap_or(0);
    fleet.run_for(100 * SEC);
    let reads = fleet.kv.calls["get"] - before;
    assert!(reads <= 3 * 11, "{reads} reads in 100 s");
}

#[test]
fn watch_compacted_is_begun_again() {
    let mut fleet = fleet(15, 2, 256);
    fleet.net.cut(End::Vm(1), End::Vm(0));
    fleet.kv_down(false);
    fleet.kv_up();
    // Whatever is read is compacted away before the watch that follows it begins.
    for _ in 0..300 {
        fleet.kv.revision += 5;
        fleet.kv.compact();
        fleet.run_for(MS);
    }
    assert!(fleet.kv.calls["watch"] > 4);
    edit_up_to(&mut fleet, 0, 3);
    assert!(reach(&mut fleet, &[1], 3, 4 * SEC));
}

#[test]
fn watch_lost_silently_is_made_good() {
    let mut fleet = fleet(16, 2, 256);
    fleet.net.cut(End::Vm(1), End::Vm(0));
    let origin = fleet.vms[1].origin(1);
    fleet.kv.drop_watches(origin);
    edit_up_to(&mut fleet, 0, 3);
    assert!(reach(&mut fleet, &[1], 3, 11 * SEC));
}

#[test]
fn late_write_is_found() {
    let mut fleet = fleet(17, 2, 256);
    fleet.run_for(SEC);
    // The call arrives long after the VM has given it up.
    fleet.net.kv = 8 * SEC;
    let late = edit("late", 1, vec![insert("r")]);
    let ticket = give(&mut fleet, 0, late.clone());
    assert_eq!(
        failed(&mut fleet, ticket),
        (Kind::EditUnknown, Ran::Unknown)
    );
    assert_eq!(edition(&mut fleet, 0), 1);
    fleet.net.kv = 2 * MS;
    assert!(reach(&mut fleet, &[0, 1], 2, 20 * SEC));
    let ticket = give(&mut fleet, 1, late);
    assert_eq!(accepted(&mut fleet, ticket).0, 2);
    assert_eq!(names(&mut fleet, 0), ["r"]);
}

/// Guards against edits that are accepted and not in force since the key-value service came back from a copy, and
/// against VMs that go back to the copy's edition.
#[test]
fn restored_editsareinforce() {
    let mut fleet = fleet(31, 3, 256);
    edit_up_to(&mut fleet, 0, 3);
    let copy = fleet.kv.copy();
    edit_up_to(&mut fleet, 0, 6);
    fleet.run_for(SEC);
    fleet.kv_down(false);
    fleet.run_for(SEC);
    fleet.kv.restore(copy);
    fleet.kv_up();
    fleet.run_for(10 * SEC);
    for vm in 0..3 {
        assert!(edition(&mut fleet, vm) >= 6, "vm{vm} went back");
    }
    let ticket = give(&mut fleet, 1, edit("after", 6, vec![insert("after")]));
    let after = accepted(&mut fleet, ticket).0;
    assert!(after > 6, "edition {after} is accepted after edition 6");
    fleet.run_for(4 * SEC);
    for vm in 0..3 {
        assert_eq!(edition(&mut fleet, vm), after, "vm{vm}");
        let rules = names(&mut fleet, vm);
        assert!(rules.contains(&"after".to_owned()), "vm{vm}: {rules:?}");
    }
}
