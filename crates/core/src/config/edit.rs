//! Operators' edits of the configuration.

use serde::{Deserialize, Serialize};

use super::document::{Adapter, Caller, Rule, Server, Service};
use crate::id::{self, Edition};

/// A change that an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Chosen by the operator's tool; the same edit sent twice has the same one.
    pub id: String,
    /// Who makes the change, for the history.
    pub author: String,
    /// The edition that the operator looked at.
    pub base: Edition,
    /// What to change, in order. All of it is accepted, or none.
    pub changes: Vec<Change>,
}

/// Where a rule is to stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// Before all others.
    First,
    /// After all others.
    Last,
    /// Right before this one.
    Before(id::Rule),
    /// Right after this one.
    After(id::Rule),
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Add a rule.
    InsertRule {
        /// The rule.
        rule: Rule,
        /// Where.
        place: Place,
    },
    /// Move a rule.
    MoveRule {
        /// The rule.
        name: id::Rule,
        /// Where to.
        place: Place,
    },
    /// Replace a rule where it stands.
    ReplaceRule {
        /// The new rule, of the same name.
        rule: Rule,
    },
    /// Remove a rule.
    RemoveRule {
        /// The rule.
        name: id::Rule,
    },
    /// Put a whole list of rules in place of the present one.
    SetRules {
        /// The rules.
        rules: Vec<Rule>,
    },
    /// Add or replace a caller.
    PutCaller(Caller),
    /// Remove a caller.
    RemoveCaller(id::Caller),
    /// Add or replace a service.
    PutService(Service),
    /// Remove a service.
    RemoveService(id::Service),
    /// Add or replace a backend server.
    PutServer(Server),
    /// Remove a backend server.
    RemoveServer(id::Server),
    /// Add or replace an adapter.
    PutAdapter(Adapter),
    /// Remove an adapter.
    RemoveAdapter(String),
}
