//! Scripts of changes between lists of rules, their opposites, and their size.

use std::collections::BTreeSet;

use crate::support::{names, rule, rules};
use dahliastile_core::config::{Change, Document, Place, Rule};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::Entry;
use dahliastile_ctl::{Error, MOST_BYTES, around, changes, opposite, parts, patched, script};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// A list of rules with small names, each at most once.
#[derive(Clone, Debug)]
struct List(Vec<Rule>);

impl Arbitrary for List {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut seen = BTreeSet::new();
        let zones = ["a", "b"];
        let numbers: Vec<u8> = Arbitrary::arbitrary(g);
        let fresh = numbers
            .into_iter()
            .map(|n| n % 12)
            .filter(|n| seen.insert(*n));
        let numbers: Vec<u8> = fresh.collect();
        let row = |n: u8| rule(&format!("r{n}"), g.choose(&zones).expect("not empty"));
        Self(numbers.into_iter().map(row).collect())
    }
}

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(500)
        .quickcheck(property);
}

#[test]
fn script_any_lists_leads_from_one_to_the_other() {
    fn property(old: List, new: List) -> bool {
        let script = script(&old.0, &new.0);
        let List(wanted) = new;
        patched(old.0, &script).expect("the script fits") == wanted
    }
    check(property as fn(List, List) -> bool);
}

#[test]
fn script_same_list_is_empty() {
    assert!(script(&rules(&["a", "b"]), &rules(&["a", "b"])).is_empty());
}

#[test]
fn script_one_moved_touches_only_that_one() {
    let script = script(&rules(&["a", "b", "c", "d"]), &rules(&["d", "a", "b", "c"]));
    let name = "d".parse().expect("a name");
    assert_eq!(
        script,
        [Change::MoveRule {
            name,
            place: Place::First
        }]
    );
}

#[test]
fn opposite_any_edit_restores_the_list() {
    fn property(before: List, after: List) -> bool {
        let now = (Edition(9), &after.0[..]);
        let changes = opposite((&before.0, &after.0), now).expect("nothing came between");
        let List(wanted) = before;
        patched(after.0, &changes).expect("the changes fit") == wanted
    }
    check(property as fn(List, List) -> bool);
}

#[test]
fn opposite_later_edits_of_other_rules_stay() {
    let (before, after) = (rules(&["a", "b"]), rules(&["drill", "a", "b"]));
    let now = rules(&["new", "drill", "b", "a"]);
    let changes = opposite((&before, &after), (Edition(5), &now)).expect("no clash");
    let left = patched(now, &changes).expect("the changes fit");
    assert_eq!(names(&left), ["new", "b", "a"]);
}

#[test]
fn opposite_rule_changed_since_clashes() {
    let (before, after) = (rules(&["a"]), vec![rule("a", "drill")]);
    let now = vec![rule("a", "later")];
    let error = opposite((&before, &after), (Edition(5), &now)).expect_err("it was changed");
    let Error::Clash(clash) = &error else {
        panic!("{error}");
    };
    assert_eq!(error.code(), 3);
    assert!(clash.yours.contains("prefer_zone: z"), "{}", clash.yours);
    assert!(
        clash.theirs.contains("prefer_zone: later"),
        "{}",
        clash.theirs
    );
}

fn entry(edition: u64, changes: &[Change]) -> Entry {
    let edit = serde_json::json!({"id": "i", "author": "a", "base": 0, "changes": changes});
    Entry {
        edition: Edition(edition),
        edit: serde_json::from_value(edit).expect("an edit"),
    }
}

#[test]
fn around_edits_kept_replays_them() {
    let set = Change::SetRules {
        rules: rules(&["a", "b"]),
    };
    let remove = |name: &str| Change::RemoveRule {
        name: name.parse().expect("a name"),
    };
    let entries = [
        entry(9, &[remove("b")]),
        entry(8, &[remove("a")]),
        entry(7, &[set]),
        entry(6, &[remove("unknown")]),
    ];
    let (before, after) = around(&entries, Edition(8)).expect("edition 7 sets the list");
    assert_eq!((names(&before), names(&after)), (vec!["a", "b"], vec!["b"]));
}

#[test]
fn around_too_old_says_so() {
    let remove = Change::RemoveRule {
        name: "a".parse().expect("a name"),
    };
    let entries = [entry(9, &[remove]), entry(8, &[])];
    let error = around(&entries, Edition(9)).expect_err("nothing sets the list");
    assert_eq!(error.code(), 1);
}

#[test]
fn around_too_old_tells_what_was_only_added() {
    let place = Place::Last;
    let rule = rule("drill", "z");
    let insert = Change::InsertRule { rule, place };
    let entries = [entry(9, &[insert]), entry(8, &[])];
    let (before, after) = around(&entries, Edition(9)).expect("only added");
    assert_eq!((names(&before), names(&after)), (vec![], vec!["drill"]));
    let now = rules(&["a", "drill", "b"]);
    let changes = opposite((&before, &after), (Edition(9), &now)).expect("no clash");
    let left = patched(now, &changes).expect("the changes fit");
    assert_eq!(names(&left), ["a", "b"]);
}

#[test]
fn parts_large_document_fit_edits_in_order() {
    let adapter = |n: u32| {
        let row =
            serde_json::json!({"name": format!("adapter-{n}"), "service": "s", "versions": ["1"]});
        Change::PutAdapter(serde_json::from_value(row).expect("an adapter"))
    };
    let all: Vec<Change> = (0..33_000).map(adapter).collect();
    let parts = parts(all.clone()).expect("each is small");
    let size = |part: &Vec<Change>| serde_json::to_vec(part).expect("plain data").len();
    assert!(parts.len() > 1 && parts.iter().map(size).all(|size| size < MOST_BYTES));
    assert_eq!(parts.concat(), all);
}

#[test]
fn changes_document_twice_sends_nothing_again() {
    let document: Document = serde_json::from_value(serde_json::json!({
        "services": [{"name": "s", "kind": "plain"}],
        "servers": [{"name": "a", "service": "s", "zone": "z", "address": "h:1"}],
        "rules": [{"name": "r", "then": {"pin": ["a"]}}],
    }))
    .expect("a document");
    let first = changes(&Document::default(), &document, true);
    assert!(matches!(
        first[..],
        [
            Change::PutService(_),
            Change::PutServer(_),
            Change::InsertRule { .. }
        ]
    ));
    assert!(changes(&document, &document, true).is_empty());
    let gone = changes(&document, &Document::default(), true);
    assert!(matches!(
        gone[..],
        [
            Change::RemoveRule { .. },
            Change::RemoveServer(_),
            Change::RemoveService(_)
        ]
    ));
}
