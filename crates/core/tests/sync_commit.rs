//! Operators' edits: accepted means committed, nothing is accepted twice, and clashing edits are refused.

mod edits;
#[path = "edits/random.rs"]
mod random;
mod support;

use dahliastile_core::config::{Adapter, Change, Place, apply, check};
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::event::Target;
use dahliastile_core::id::Edition;
use dahliastile_core::log::Code;
use dahliastile_core::operator::Reply;
use edits::{accepted, edit, failed, give, insert, names, reply, rule, shown};
use quickcheck::{Gen, QuickCheck};
use random::Wish;
use support::setup::{Size, changes, model};
use support::{Fleet, MS, SEC};

/// A fleet with edition 1 in force.
fn fleet(seed: u64) -> Fleet {
    let fleet = Size::small().fleet(seed);
    assert_eq!(fleet.logged(Code::EditionRejected), 0);
    fleet
}

#[test]
fn edit_everywhere() {
    let mut fleet = fleet(1);
    for vm in 0..3 {
        let (edition, document) = shown(&mut fleet, vm);
        assert_eq!(edition, Edition(1));
        assert_eq!(document, Size::small().document());
    }
}

#[test]
fn race_disjoint_both_stay() {
    for seed in 0..20 {
        let mut fleet = fleet(seed);
        let tickets = ["a", "b", "c"].map(|name| {
            let vm = usize::from(name.as_bytes()[0] - b'a');
            give(&mut fleet, vm, edit(name, 1, vec![insert(name)]))
        });
        let mut editions = tickets.map(|ticket| accepted(&mut fleet, ticket).0);
        editions.sort_unstable();
        assert_eq!(editions, [2, 3, 4]);
        fleet.run_for(2 * SEC);
        let first = names(&mut fleet, 0);
        assert_eq!(first.len(), 3);
        assert_eq!(names(&mut fleet, 1), first);
        assert_eq!(names(&mut fleet, 2), first);
    }
}

#[test]
fn race_clash_one_stays() {
    for seed in 0..20 {
        let mut fleet = fleet(seed);
        fleet.edit(0, vec![insert("r")]);
        fleet.run_for(SEC);
        let tickets = [("a", "north"), ("b", "south"), ("c", "up")].map(|(id, zone)| {
            let vm = usize::from(id.as_bytes()[0] - b'a');
            let rule = rule("r", zone);
            give(
                &mut fleet,
                vm,
                edit(id, 2, vec![Change::ReplaceRule { rule }]),
            )
        });
        let replies = tickets.map(|ticket| reply(&mut fleet, ticket));
        let won = replies
            .iter()
            .filter(|reply| matches!(reply, Reply::Accepted { .. }));
        assert_eq!(won.count(), 1);
        for reply in &replies {
            if let Reply::Clash(clash) = reply {
                assert_eq!(clash.subject, "rule r");
                assert_ne!(clash.yours, clash.theirs);
                assert!(clash.author.starts_with("author-of-"));
            }
        }
        fleet.run_for(2 * SEC);
        assert_eq!(shown(&mut fleet, 2).0, Edition(3));
    }
}

#[test]
fn repeat_changes_nothing_twice() {
    let mut fleet = fleet(3);
    let once = edit("once", 1, vec![insert("r")]);
    let ticket = give(&mut fleet, 0, once.clone());
    assert_eq!(accepted(&mut fleet, ticket), Edition(2));
    for vm in 0..3 {
        let ticket = give(&mut fleet, vm, once.clone());
        assert_eq!(accepted(&mut fleet, ticket), Edition(2));
    }
    assert_eq!(shown(&mut fleet, 0).0, Edition(2));
}

#[test]
fn lost_answer_is_found() {
    for effective in [true, false] {
        let mut fleet = fleet(4);
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_answers = u32::from(effective);
        fleet.kv.faults.lose_calls = u32::from(!effective);
        let ticket = give(&mut fleet, 1, edit("lost", 1, vec![insert("r")]));
        assert_eq!(accepted(&mut fleet, ticket), Edition(2));
        fleet.run_for(2 * SEC);
        assert_eq!(names(&mut fleet, 0), ["r"]);
    }
}

#[test]
fn lost_answer_then_down_is_unknown() {
    for effective in [true, false] {
        let mut fleet = fleet(5);
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_answers = u32::from(effective);
        fleet.kv.faults.lose_calls = u32::from(!effective);
        let lost = edit("lost", 1, vec![insert("r")]);
        let ticket = give(&mut fleet, 1, lost.clone());
        fleet.run_for(100 * MS);
        fleet.kv_down(false);
        assert_eq!(
            failed(&mut fleet, ticket),
            (Kind::EditUnknown, Ran::Unknown)
        );
        fleet.kv_up();
        fleet.run_for(5 * SEC);
        let ticket = give(&mut fleet, 2, lost);
        assert_eq!(accepted(&mut fleet, ticket), Edition(2));
        fleet.run_for(2 * SEC);
        assert_eq!(names(&mut fleet, 0), ["r"]);
    }
}

#[test]
fn outage_refuses_not_run() {
    let mut fleet = fleet(6);
    fleet.kv_down(false);
    fleet.run_for(SEC);
    let ticket = give(&mut fleet, 0, edit("refused", 1, vec![insert("r")]));
    assert_eq!(failed(&mut fleet, ticket), (Kind::PlatformDown, Ran::No));
    fleet.kv_up();
    fleet.run_for(10 * SEC);
    assert_eq!(shown(&mut fleet, 0).0, Edition(1));
}

#[test]
fn silent_outage_is_bounded() {
    let mut fleet = fleet(7);
    fleet.kv_down(true);
    let ticket = give(&mut fleet, 0, edit("silent", 1, vec![insert("r")]));
    let before = fleet.now;
    let (kind, _) = failed(&mut fleet, ticket);
    assert!(matches!(kind, Kind::EditUnknown | Kind::PlatformDown));
    assert!(fleet.now - before <= 7 * SEC);
}

#[test]
fn invalid_edit_is_refused() {
    let mut fleet = fleet(8);
    let mut bad = rule("r", "east");
    bad.then.pin = vec!["nobody".parse().unwrap()];
    let place = Place::First;
    let ticket = give(
        &mut fleet,
        0,
        edit("bad", 1, vec![Change::InsertRule { rule: bad, place }]),
    );
    match reply(&mut fleet, ticket) {
        Reply::Failed(answer) => {
            assert_eq!((answer.kind, answer.ran), (Kind::BadConfiguration, Ran::No));
            assert!(
                answer.detail.contains("rules[0].then.pin[0]"),
                "{}",
                answer.detail
            );
        }
        other => panic!("not refused: {other:?}"),
    }
    assert_eq!(shown(&mut fleet, 0).1, Size::small().document());
}

#[test]
fn adapters_come_and_go() {
    let mut fleet = fleet(9);
    let known = |fleet: &mut Fleet, number: usize, version: &str| {
        let mut call = model(number, 1, 1);
        call.target = Target::Model(format!("a{number}@{version}"));
        let ask = fleet.ask(1, call);
        let refusal = fleet.finish(ask, 20 * SEC).refusal();
        refusal.map(|answer| answer.kind)
    };
    let put = |number: usize, versions: &[&str]| {
        Change::PutAdapter(Adapter {
            name: format!("a{number}"),
            service: "model".parse().unwrap(),
            versions: versions.iter().map(|text| (*text).to_owned()).collect(),
        })
    };
    assert_eq!(known(&mut fleet, 20, "1"), Some(Kind::UnknownAdapter));
    // Several edits at once: the last word on each adapter counts.
    fleet.edit(0, vec![put(20, &["1"]), put(5, &["2"]), put(6, &["2"])]);
    fleet.edit(
        0,
        vec![put(6, &["1", "3"]), Change::RemoveAdapter("a7".to_owned())],
    );
    fleet.run_for(2 * SEC);
    let unknown = [Kind::UnknownAdapter, Kind::UnknownVersion].map(Some);
    assert!(!unknown.contains(&known(&mut fleet, 20, "1")));
    assert_eq!(known(&mut fleet, 5, "1"), Some(Kind::UnknownVersion));
    assert!(!unknown.contains(&known(&mut fleet, 5, "2")));
    assert_eq!(known(&mut fleet, 6, "2"), Some(Kind::UnknownVersion));
    assert!(!unknown.contains(&known(&mut fleet, 6, "3")));
    assert_eq!(known(&mut fleet, 7, "1"), Some(Kind::UnknownAdapter));
}

#[test]
fn edit_accepted_where_valid() {
    fn property(seed: u64, wishes: Vec<Wish>) -> bool {
        let size = Size {
            vms: 2,
            ..Size::small()
        };
        let mut fleet = size.bare_fleet(seed);
        fleet.run_for(SEC);
        let mut expected = random::document();
        fleet.edit(0, changes(&expected));
        let mut at = 1;
        for (number, wish) in wishes.into_iter().enumerate() {
            let mut wish = wish.edit(&format!("e{number}"));
            wish.base = Edition(at);
            let valid = apply(&expected, &wish).ok();
            let valid = valid.filter(|document| check(document).is_empty());
            let ticket = give(&mut fleet, 0, wish);
            match (reply(&mut fleet, ticket), valid) {
                (Reply::Accepted { .. }, Some(document)) => {
                    at += 1;
                    expected = document;
                }
                (Reply::Failed(answer), None) if answer.kind == Kind::BadConfiguration => {}
                _ => return false,
            }
            if shown(&mut fleet, 0) != (Edition(at), expected.clone()) {
                return false;
            }
        }
        fleet.run_for(4 * SEC);
        shown(&mut fleet, 1) == (Edition(at), expected) && fleet.logged(Code::EditionRejected) == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 0xacce))
        .tests(60)
        .quickcheck(property as fn(u64, Vec<Wish>) -> bool);
}
