//! Whether an edit that was made on an older edition still stands on a newer one.
//!
//! An edit writes subjects, such as a rule or a caller, and may stand on the position of others, where it puts a
//! rule right before or after one. Two edits clash where one writes what the other writes or stands on. Edits that
//! do not clash are both kept, in the order in which they were accepted.

use std::fmt;

use rustc_hash::FxHashSet;
use serde::Serialize;

use super::document::{Document, Rule};
use super::edit::{Change, Edit, Place};
use crate::id;

/// What an edit touches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    /// The whole list of rules.
    Rules,
    /// A rule.
    Rule(id::Rule),
    /// The position of a rule, which others may stand on.
    Place(id::Rule),
    /// A caller.
    Caller(id::Caller),
    /// A service.
    Service(id::Service),
    /// A backend server.
    Server(id::Server),
    /// An adapter.
    Adapter(String),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rules => f.write_str("rules"),
            Self::Rule(name) | Self::Place(name) => write!(f, "rule {name}"),
            Self::Caller(name) => write!(f, "caller {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Server(name) => write!(f, "server {name}"),
            Self::Adapter(name) => write!(f, "adapter {name}"),
        }
    }
}

/// What an edit writes and stands on.
#[derive(Debug, Default)]
pub(crate) struct Scope {
    /// What it writes.
    writes: FxHashSet<Subject>,
    /// What it stands on.
    reads: FxHashSet<Subject>,
    /// Whether it touches any rule.
    rules: bool,
    /// Whether it puts a whole list of rules in place.
    all_rules: bool,
    /// What it writes in the order of its changes, so that the same clash is always named first.
    order: Vec<Subject>,
}

impl Scope {
    /// The scope of an edit.
    pub(crate) fn of(edit: &Edit) -> Self {
        let mut scope = Self::default();
        for change in &edit.changes {
            scope.add(change);
        }
        scope
    }

    /// The first subject on which two edits clash.
    pub(crate) fn clash(&self, other: &Self) -> Option<Subject> {
        if let Some(subject) = self.list_clash(other) {
            return Some(subject);
        }
        let written =
            |subject: &&Subject| other.writes.contains(subject) || other.reads.contains(subject);
        let stands = |subject: &&Subject| self.reads.contains(subject);
        let first = self.order.iter().find(written);
        first.or_else(|| other.order.iter().find(stands)).cloned()
    }

    /// The clash between a whole list of rules and any other change of rules.
    fn list_clash(&self, other: &Self) -> Option<Subject> {
        let rule = |scope: &Self| {
            let rule = |subject: &&Subject| matches!(subject, Subject::Rule(_));
            scope.order.iter().find(rule).cloned()
        };
        match (self.all_rules, other.all_rules) {
            (true, true) => Some(Subject::Rules),
            (true, false) if other.rules => rule(other),
            (false, true) if self.rules => rule(self),
            _ => None,
        }
    }

    fn add(&mut self, change: &Change) {
        match change {
            Change::InsertRule { rule, place } => self.put_rule(&rule.name, place),
            Change::MoveRule { name, place } => self.put_rule(name, place),
            Change::ReplaceRule { rule } => self.rule(&rule.name),
            Change::RemoveRule { name } => {
                self.rule(name);
                self.write(Subject::Place(name.clone()));
            }
            Change::SetRules { .. } => {
                self.rules = true;
                self.all_rules = true;
                self.write(Subject::Rules);
            }
            Change::PutCaller(caller) => self.write(Subject::Caller(caller.name.clone())),
            Change::RemoveCaller(name) => self.write(Subject::Caller(name.clone())),
            Change::PutService(service) => self.write(Subject::Service(service.name.clone())),
            Change::RemoveService(name) => self.write(Subject::Service(name.clone())),
            Change::PutServer(server) => self.write(Subject::Server(server.name.clone())),
            Change::RemoveServer(name) => self.write(Subject::Server(name.clone())),
            Change::PutAdapter(adapter) => self.write(Subject::Adapter(adapter.name.clone())),
            Change::RemoveAdapter(name) => self.write(Subject::Adapter(name.clone())),
        }
    }

    fn put_rule(&mut self, name: &id::Rule, place: &Place) {
        self.rule(name);
        self.write(Subject::Place(name.clone()));
        match place {
            Place::Before(anchor) | Place::After(anchor) => {
                self.reads.insert(Subject::Place(anchor.clone()));
            }
            Place::First | Place::Last => {}
        }
    }

    fn rule(&mut self, name: &id::Rule) {
        self.rules = true;
        self.write(Subject::Rule(name.clone()));
    }

    fn write(&mut self, subject: Subject) {
        if self.writes.insert(subject.clone()) {
            self.order.push(subject);
        }
    }
}

/// What two edits both touch, so that the later of them can't be kept, or none where both can.
#[must_use]
pub fn clash(mine: &Edit, other: &Edit) -> Option<String> {
    let subject = Scope::of(mine).clash(&Scope::of(other))?;
    Some(subject.to_string())
}

/// What an edit wants of a subject, as text.
pub(crate) fn wanted(edit: &Edit, subject: &Subject) -> String {
    let lines: Vec<_> = edit
        .changes
        .iter()
        .filter_map(|change| wanted_by(change, subject))
        .collect();
    lines.join("\n")
}

fn wanted_by(change: &Change, subject: &Subject) -> Option<String> {
    let mut scope = Scope::default();
    scope.add(change);
    match (change, subject) {
        (Change::SetRules { rules }, Subject::Rule(name)) => Some(rule_text(rules, name)),
        (Change::SetRules { rules }, Subject::Rules) => Some(text(rules)),
        _ if scope.writes.contains(subject) || scope.reads.contains(subject) => Some(text(change)),
        _ => None,
    }
}

/// What is in force of a subject, as text.
pub(crate) fn in_force(document: &Document, subject: &Subject) -> String {
    let found = match subject {
        Subject::Rules => Some(text(&document.rules)),
        Subject::Rule(name) | Subject::Place(name) => Some(rule_text(&document.rules, name)),
        Subject::Caller(name) => find(&document.callers, |caller| caller.name == *name),
        Subject::Service(name) => find(&document.services, |service| service.name == *name),
        Subject::Server(name) => find(&document.servers, |server| server.name == *name),
        Subject::Adapter(name) => find(&document.adapters, |adapter| adapter.name == *name),
    };
    found.unwrap_or_else(absent)
}

fn find<T: Serialize>(list: &[T], test: impl Fn(&T) -> bool) -> Option<String> {
    list.iter().find(|item| test(item)).map(text)
}

/// A rule with its position, since that may be what clashes.
fn rule_text(rules: &[Rule], name: &id::Rule) -> String {
    match rules.iter().position(|rule| rule.name == *name) {
        Some(position) => {
            let (number, total) = (position + 1, rules.len());
            format!("# rule {number} of {total}\n{}", text(&rules[position]))
        }
        None => absent(),
    }
}

fn absent() -> String {
    "# not there".to_owned()
}

fn text<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("# unreadable: {error}"))
}
