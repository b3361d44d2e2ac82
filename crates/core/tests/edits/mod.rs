//! Edits and what is shown of them, for the tests of the configuration.
#![allow(dead_code, unreachable_pub, clippy::pedantic)]

use dahliastile_core::config::{Change, Document, Edit, Place, Rule, Then, When};
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::id::{Edition, Ticket};
use dahliastile_core::operator::{Command, Reply};

use super::support::{Fleet, MS, Micros, SEC};

/// A rule for one zone.
pub fn rule(name: &str, zone: &str) -> Rule {
    Rule {
        name: name.parse().unwrap(),
        when: When {
            zone: Some(zone.parse().unwrap()),
            ..When::default()
        },
        then: Then {
            priority: Some(1),
            ..Then::default()
        },
    }
}

/// A change that adds a rule at the end.
pub fn insert(name: &str) -> Change {
    Change::InsertRule {
        rule: rule(name, name),
        place: Place::Last,
    }
}

/// An edit.
pub fn edit(id: &str, base: u64, changes: Vec<Change>) -> Edit {
    Edit {
        id: id.to_owned(),
        author: format!("author-of-{id}"),
        base: Edition(base),
        changes,
    }
}

/// Gives a VM an edit.
pub fn give(fleet: &mut Fleet, vm: usize, edit: Edit) -> Ticket {
    fleet.command(vm, Command::Edit(edit))
}

/// Runs until an operator has an answer.
pub fn reply(fleet: &mut Fleet, ticket: Ticket) -> Reply {
    let answered = fleet.run_while(|fleet| !fleet.replies.contains_key(&ticket), 10 * SEC);
    assert!(answered, "an operator got no answer");
    fleet.replies[&ticket].clone()
}

/// Runs until an edit is accepted.
pub fn accepted(fleet: &mut Fleet, ticket: Ticket) -> Edition {
    match reply(fleet, ticket) {
        Reply::Accepted { edition, .. } => edition,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Runs until an edit has failed.
pub fn failed(fleet: &mut Fleet, ticket: Ticket) -> (Kind, Ran) {
    match reply(fleet, ticket) {
        Reply::Failed(answer) => (answer.kind, answer.ran),
        other => panic!("not failed: {other:?}"),
    }
}

/// What a VM has in force.
pub fn shown(fleet: &mut Fleet, vm: usize) -> (Edition, Document) {
    match fleet.answer(vm, Command::Show, SEC) {
        Some(Reply::Show { edition, document }) => (edition, *document),
        other => panic!("not shown: {other:?}"),
    }
}

/// The edition that a VM has in force.
pub fn edition(fleet: &mut Fleet, vm: usize) -> u64 {
    shown(fleet, vm).0.0
}

/// The names of the rules that a VM has in force.
pub fn names(fleet: &mut Fleet, vm: usize) -> Vec<String> {
    let rules = shown(fleet, vm).1.rules;
    rules.iter().map(|rule| rule.name.to_string()).collect()
}

/// Runs until VMs have an edition in force; says whether they have.
pub fn reach(fleet: &mut Fleet, vms: &[usize], wanted: u64, limit: Micros) -> bool {
    let end = fleet.now + limit;
    loop {
        if vms.iter().all(|vm| edition(fleet, *vm) >= wanted) {
            return true;
        }
        if fleet.now >= end {
            return false;
        }
        fleet.run_for(20 * MS);
    }
}

/// Makes edits at one VM until an edition is reached.
pub fn edit_up_to(fleet: &mut Fleet, vm: usize, wanted: u64) {
    for number in edition(fleet, vm)..wanted {
        fleet.edit(vm, vec![insert(&format!("r{number}"))]);
        fleet.run_for(50 * MS);
    }
    assert_eq!(edition(fleet, vm), wanted);
}
