//! Editions that the key-value service lost are written again: by one VM, once, and over nobody's edit.

mod edits;
mod support;

use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::log::Code;
use edits::{accepted, edit, edit_up_to, edition, failed, give, insert, names, reach};
use support::net::End;
use support::setup::Size;
use support::{Fleet, MS, SEC};

const HEAD: &str = "dahliastile/config/head";

/// Three VMs that have an edition in force, and a service that came back from a copy of edition 3 and can't be called yet.
fn lost(seed: u64, in_force: u64, snapshot_edits: u64) -> (Fleet, Vec<Vec<u8>>) {
    let mut size = Size::small();
    size.tuning.snapshot_edits = snapshot_edits;
    let mut fleet = size.fleet(seed);
    edit_up_to(&mut fleet, 0, 3);
    fleet.run_for(SEC);
    let copy = fleet.kv.copy();
    edit_up_to(&mut fleet, 0, in_force);
    fleet.run_for(SEC);
    let before = values(&fleet);
    fleet.kv_down(false);
    fleet.kv.restore(copy);
    (fleet, before)
}

fn edit_keys(fleet: &Fleet) -> Vec<String> {
    let keys = fleet.kv.pairs.keys();
    keys.filter(|key| key.contains("/config/edit/"))
        .cloned()
        .collect()
}

/// The texts of the edits that the service holds, in order.
fn values(fleet: &Fleet) -> Vec<Vec<u8>> {
    let keys = edit_keys(fleet);
    let value = |key: &String| fleet.kv.value(key).unwrap().to_vec();
    keys.iter().map(value).collect()
}

/// Whether an edit that the service holds was written over.
fn overwritten(fleet: &Fleet) -> bool {
    let keys = edit_keys(fleet);
    let pair = |key: &String| fleet.kv.pairs[key].0.clone();
    keys.iter()
        .map(pair)
        .any(|pair| pair.created != pair.changed)
}

/// Guards against editions that stay lost unless an operator makes an edit: a VM that starts alone would have the copy's.
#[test]
fn lost_arewrittenwithoutanedit() {
    let (mut fleet, before) = lost(1, 6, 256);
    fleet.kv_up();
    fleet.run_for(15 * SEC);
    assert_eq!(values(&fleet), before);
    assert!(!overwritten(&fleet));
    assert_eq!(fleet.logged(Code::EditionsWrittenAgain), 1);
    fleet.crash(2);
    fleet.net.cut(End::Vm(2), End::Vm(0));
    fleet.net.cut(End::Vm(2), End::Vm(1));
    fleet.start(2);
    assert!(reach(&mut fleet, &[2], 6, 10 * SEC));
}

/// Guards against a log with a gap, or edits refused for good, where the VM that writes editions again dies between two
/// writes: another one goes on.
#[test]
fn writer_diesmidway() {
    for seed in 0..6 {
        let (mut fleet, before) = lost(seed, 80, 256);
        fleet.net.kv = 20 * MS;
        fleet.kv_up();
        let begun = fleet.run_while(|fleet| values(fleet).len() == 3, 20 * SEC);
        assert!(begun, "nobody writes");
        assert!(values(&fleet).len() < 80, "one write took all");
        // The answer is on its way, so the writer is the one that logs it next.
        fleet.run_while(|fleet| fleet.logged(Code::EditionsWrittenAgain) == 0, SEC);
        let written = |code: &Code| *code == Code::EditionsWrittenAgain;
        let line = fleet.logs.iter().find(|(_, _, line)| written(&line.code));
        let writer = line.expect("a writer").1;
        fleet.crash(writer);
        fleet.run_for(30 * SEC);
        assert_eq!(values(&fleet), before, "seed {seed}");
        assert!(!overwritten(&fleet));
        let other = (writer + 1) % 3;
        let ticket = give(&mut fleet, other, edit("after", 80, vec![insert("after")]));
        assert_eq!(accepted(&mut fleet, ticket).0, 81);
    }
}

/// Guards against edits that are written twice, or not at all, where calls and answers of the VMs that write again are lost.
#[test]
fn answers_lostwhilewriting() {
    for seed in 0..8 {
        let (mut fleet, before) = lost(seed, 80, 256);
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_answers = 2;
        fleet.kv.faults.lose_calls = u32::from(seed % 2 == 0);
        fleet.kv_up();
        fleet.run_for(30 * SEC);
        assert_eq!(values(&fleet), before, "seed {seed}");
        assert!(!overwritten(&fleet));
    }
}

/// Guards against two VMs that write over each other where all see the loss at once, each with an operator that waits.
#[test]
fn writers_atonce() {
    for seed in 0..8 {
        let (mut fleet, before) = lost(seed, 40, 256);
        fleet.net.kv = 50 * MS;
        fleet.kv_up();
        let tickets = [0, 1, 2].map(|vm| {
            let name = format!("after-{vm}");
            give(&mut fleet, vm, edit(&name, 40, vec![insert(&name)]))
        });
        let mut editions = tickets.map(|ticket| accepted(&mut fleet, ticket).0);
        editions.sort_unstable();
        assert_eq!(editions, [41, 42, 43], "seed {seed}");
        assert_eq!(values(&fleet)[..40], before);
        assert!(!overwritten(&fleet));
    }
}

/// Guards against an operator's edit that is written over: a VM that has only the copy's editions accepts it before, while
/// or after the lost ones are written again. It is kept as it was accepted, and the log of the service has no gap.
#[test]
fn edit_newerisnotoverwritten() {
    let (mut first, mut after) = (0, 0);
    for delay in (0..1_000).step_by(25) {
        let mut size = Size::small();
        size.tuning.snapshot_edits = 256;
        let mut fleet = size.fleet(delay);
        edit_up_to(&mut fleet, 0, 3);
        fleet.run_for(SEC);
        let copy = fleet.kv.copy();
        fleet.net.cut(End::Vm(2), End::Vm(0));
        fleet.net.cut(End::Vm(2), End::Vm(1));
        fleet.net.cut(End::Vm(2), End::Kv);
        edit_up_to(&mut fleet, 0, 6);
        let before = values(&fleet);
        fleet.kv_down(false);
        fleet.kv.restore(copy);
        fleet.net.mend(End::Vm(2), End::Kv);
        fleet.kv_up();
        fleet.run_for(delay * MS);
        let ticket = give(&mut fleet, 2, edit("newer", 3, vec![insert("newer")]));
        let made = accepted(&mut fleet, ticket).0;
        fleet.run_for(30 * SEC);
        let now = values(&fleet);
        let newer = String::from_utf8_lossy(now.last().unwrap()).into_owned();
        assert!(newer.contains("\"newer\""), "delay {delay}: {newer}");
        assert!(!overwritten(&fleet));
        assert_eq!(now.len() as u64, made, "delay {delay}");
        assert!(names(&mut fleet, 2).contains(&"newer".to_owned()));
        if made == 7 {
            after += 1;
            assert_eq!(now[..6], before);
            assert!(reach(&mut fleet, &[0, 1], 7, 4 * SEC));
            continue;
        }
        // Nobody decides between two edits that both were accepted: both stay, and operators are told.
        first += 1;
        assert_eq!((made, edition(&mut fleet, 0)), (4, 6));
        assert!(fleet.logged(Code::EditionsNotWritten) >= 1);
        assert!(fleet.logged(Code::EditionsNotWritten) <= 4);
        let ticket = give(&mut fleet, 0, edit("refused", 6, vec![insert("refused")]));
        assert_eq!(failed(&mut fleet, ticket), (Kind::PlatformDown, Ran::No));
    }
    assert!(first > 0 && after > 0, "{first} before and {after} after");
}

/// Guards against a VM that takes a copy's head for the beginning of its own log without having the edits in between.
#[test]
fn lost_withoutitseditsisleft() {
    let mut size = Size::small();
    (size.vms, size.tuning.snapshot_edits) = (1, 8);
    let mut fleet = size.fleet(10);
    edit_up_to(&mut fleet, 0, 3);
    let copy = fleet.kv.copy();
    edit_up_to(&mut fleet, 0, 30);
    fleet.run_for(SEC);
    // It reads a snapshot, and the edits after that.
    fleet.restart(0, SEC);
    fleet.run_for(5 * SEC);
    fleet.kv_down(false);
    fleet.kv.restore(copy);
    fleet.kv_up();
    fleet.run_for(60 * SEC);
    assert_eq!((edition(&mut fleet, 0), values(&fleet).len()), (30, 3));
    assert_eq!(fleet.logged(Code::EditionsNotWritten), 1);
    let ticket = give(&mut fleet, 0, edit("refused", 30, vec![insert("refused")]));
    assert_eq!(failed(&mut fleet, ticket), (Kind::PlatformDown, Ran::No));
}

/// Guards against edits written over where a service lost its head only, and the edits after it are still there.
#[test]
fn edits_afteraheadstay() {
    let (mut fleet, _) = lost(11, 6, 256);
    let head = fleet.kv.pairs[HEAD].clone();
    fleet.kv_up();
    fleet.run_for(15 * SEC);
    fleet.kv.pairs.insert(HEAD.to_owned(), head);
    let before = values(&fleet);
    fleet.run_for(60 * SEC);
    assert_eq!(values(&fleet), before);
    assert!(!overwritten(&fleet));
    assert!(fleet.logged(Code::EditionsNotWritten) >= 1);
    assert!(fleet.logged(Code::EditionsNotWritten) <= 3);
    let ticket = give(&mut fleet, 0, edit("refused", 6, vec![insert("refused")]));
    assert_eq!(failed(&mut fleet, ticket), (Kind::PlatformDown, Ran::No));
}
