//! Edits against a naive version of their rules, and edits of two operators in both orders.
#![allow(clippy::needless_pass_by_value)] // A property takes its values whole.

#[path = "edits/random.rs"]
mod random;

use dahliastile_core::config::{Change, Document, Edit, Place, Rule, apply, check, clash};
use dahliastile_core::id;
use quickcheck::{Gen, QuickCheck, TestResult};
use random::{Wish, adapter, document};

const SEED: u64 = 0xed17;

fn run<T: quickcheck::Testable>(property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(3_000)
        .quickcheck(property);
}

/// The document without the order of what has no order.
fn unordered(mut document: Document) -> Document {
    document.callers.sort_by(|a, b| a.name.cmp(&b.name));
    document.servers.sort_by(|a, b| a.name.cmp(&b.name));
    document.adapters.sort_by(|a, b| a.name.cmp(&b.name));
    document
}

/// Where an edit puts rules: two edits that put rules in one place stand in the order in which they came.
fn places(wish: &Wish) -> Vec<&Place> {
    let mut places = Vec::new();
    for change in &wish.0 {
        if let Change::InsertRule { place, .. } | Change::MoveRule { place, .. } = change {
            places.push(place);
        }
    }
    places
}

#[test]
fn rebase_disjoint_commutes() {
    fn property(a: Wish, b: Wish) -> TestResult {
        let (first, second) = (a.edit("a"), b.edit("b"));
        let start = document();
        let alone = apply(&start, &first).and(apply(&start, &second));
        if clash(&first, &second).is_some() || alone.is_err() {
            return TestResult::discard();
        }
        let forth = apply(&start, &first).and_then(|document| apply(&document, &second));
        let back = apply(&start, &second).and_then(|document| apply(&document, &first));
        let (Ok(mut forth), Ok(mut back)) = (forth, back) else {
            return TestResult::failed();
        };
        if places(&a).iter().any(|place| places(&b).contains(place)) {
            forth.rules.sort_by(|a, b| a.name.cmp(&b.name));
            back.rules.sort_by(|a, b| a.name.cmp(&b.name));
        }
        TestResult::from_bool(unordered(forth) == unordered(back))
    }
    run(property as fn(Wish, Wish) -> TestResult);
}

#[test]
fn clash_is_mutual() {
    fn property(a: Wish, b: Wish) -> bool {
        let (first, second) = (a.edit("a"), b.edit("b"));
        clash(&first, &second).is_some() == clash(&second, &first).is_some()
    }
    run(property as fn(Wish, Wish) -> bool);
}

#[test]
fn clash_on_same_subject() {
    fn property(a: Wish) -> bool {
        clash(&a.edit("a"), &a.edit("b")).is_some()
    }
    run(property as fn(Wish) -> bool);
}

/// The naive version: one list for each kind, and adapters without an order.
fn naive(document: &Document, edit: &Edit) -> Option<Document> {
    let mut new = document.clone();
    for change in &edit.changes {
        match change {
            Change::InsertRule { rule, place } => {
                if new.rules.iter().any(|r| r.name == rule.name) {
                    return None;
                }
                let at = slot(&new.rules, place)?;
                new.rules.insert(at, rule.clone());
            }
            Change::MoveRule { name, place } => {
                let from = new.rules.iter().position(|r| r.name == *name)?;
                let rule = new.rules.remove(from);
                let at = slot(&new.rules, place)?;
                new.rules.insert(at, rule);
            }
            Change::ReplaceRule { rule } => {
                *new.rules.iter_mut().find(|r| r.name == rule.name)? = rule.clone();
            }
            Change::RemoveRule { name } => cut(&mut new.rules, |r| r.name == *name)?,
            Change::SetRules { rules } => new.rules.clone_from(rules),
            Change::PutCaller(item) => set(&mut new.callers, item, |c| c.name == item.name),
            Change::RemoveCaller(name) => cut(&mut new.callers, |c| c.name == *name)?,
            Change::PutService(item) => set(&mut new.services, item, |s| s.name == item.name),
            Change::RemoveService(name) => cut(&mut new.services, |s| s.name == *name)?,
            Change::PutServer(item) => set(&mut new.servers, item, |s| s.name == item.name),
            Change::RemoveServer(name) => cut(&mut new.servers, |s| s.name == *name)?,
            Change::PutAdapter(item) => set(&mut new.adapters, item, |a| a.name == item.name),
            Change::RemoveAdapter(name) => cut(&mut new.adapters, |a| a.name == *name)?,
        }
    }
    Some(new)
}

fn slot(rules: &[Rule], place: &Place) -> Option<usize> {
    let find = |name: &id::Rule| rules.iter().position(|rule| rule.name == *name);
    match place {
        Place::First => Some(0),
        Place::Last => Some(rules.len()),
        Place::Before(name) => find(name),
        Place::After(name) => find(name).map(|at| at + 1),
    }
}

fn cut<T>(list: &mut Vec<T>, is: impl Fn(&T) -> bool) -> Option<()> {
    let before = list.len();
    list.retain(|item| !is(item));
    (list.len() < before).then_some(())
}

fn set<T: Clone>(list: &mut Vec<T>, item: &T, is: impl Fn(&T) -> bool) {
    match list.iter_mut().find(|item| is(item)) {
        Some(old) => *old = item.clone(),
        None => list.push(item.clone()),
    }
}

#[test]
fn apply_as_naive() {
    fn property(wishes: Vec<Wish>) -> bool {
        let mut at = document();
        for wish in wishes {
            let edit = wish.edit("a");
            match (apply(&at, &edit), naive(&at, &edit)) {
                (Ok(new), Some(expected))
                    if unordered(new.clone()) == unordered(expected.clone()) =>
                {
                    at = new;
                }
                (Err(_), None) => {}
                _ => return false,
            }
        }
        true
    }
    run(property as fn(Vec<Wish>) -> bool);
}

#[test]
fn apply_many_adapters_as_naive() {
    fn property(wishes: Vec<Wish>) -> TestResult {
        let adapters = wishes.into_iter().flat_map(|wish| wish.0);
        let adapters =
            adapters.filter(|c| matches!(c, Change::PutAdapter(_) | Change::RemoveAdapter(_)));
        // A removal of what is not there would end the edit, so what is removed is there.
        let changes = adapters.flat_map(|change| match &change {
            Change::RemoveAdapter(name) => {
                let number = name[1..].parse().unwrap();
                vec![Change::PutAdapter(adapter(number, 0, 1)), change]
            }
            _ => vec![change],
        });
        let wish = Wish(changes.collect());
        if wish.0.len() < 32 {
            return TestResult::discard();
        }
        let edit = wish.edit("a");
        let (new, expected) = (
            apply(&document(), &edit).unwrap(),
            naive(&document(), &edit).unwrap(),
        );
        TestResult::from_bool(unordered(new) == unordered(expected))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(50)
        .quickcheck(property as fn(Vec<Wish>) -> TestResult);
}

#[test]
fn document_of_the_tests_is_valid() {
    assert_eq!(check(&document()), []);
}
