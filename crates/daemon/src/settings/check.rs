//! Holds a tree of settings against the table of known ones and collects every fault.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::str::FromStr;

use dahliastile_core::id;
use serde_saphyr::Spanned;

use super::fault::{Fault, Place};
use super::table::{self, Entry, Form};
use super::tree::{self, Node};

/// A value that has the form its setting asks for.
#[derive(Clone, Debug)]
pub(super) struct Value {
    /// Where it was given.
    pub(super) place: Place,
    /// Its text; a list has one for each item.
    pub(super) texts: Vec<String>,
}

/// The settings that were given, and the faults found so far.
#[derive(Debug)]
pub(super) struct Check {
    /// Every known setting.
    pub(super) entries: Vec<Entry>,
    /// The values given, by full name.
    pub(super) values: BTreeMap<String, Value>,
    /// What is wrong.
    pub(super) faults: Vec<Fault>,
    /// Settings that were given a value that was refused.
    refused: BTreeSet<String>,
}

impl Check {
    /// A check that has seen nothing.
    pub(super) fn new() -> Self {
        Self {
            entries: table::entries(),
            values: BTreeMap::new(),
            faults: Vec::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Looks at a whole document.
    pub(super) fn document(&mut self, root: &Spanned<Node>) {
        match &root.value {
            Node::Map(map) => self.section("", map),
            Node::Null => {}
            other => {
                let message = format!("the settings are a mapping, not {}", other.kind());
                self.fault(tree::place(root.referenced), message);
            }
        }
    }

    /// Looks at a `name=value` of the command line, which wins over the file.
    pub(super) fn assignment(&mut self, text: &str) {
        let place = Place::CommandLine(text.to_owned());
        let Some((name, value)) = text.split_once('=') else {
            self.fault(place, "it is not of the form name=value".to_owned());
            return;
        };
        let Some(entry) = self.entry(name) else {
            self.fault(place, format!("there is no setting `{name}`"));
            return;
        };
        let texts = match entry.form {
            Form::Addresses => value.split(',').map(str::to_owned).collect(),
            _ => vec![value.to_owned()],
        };
        self.accept(&entry, place, texts);
    }

    /// Adds the faults that lie between settings, and those that are missing.
    pub(super) fn relations(&mut self) {
        for entry in self.entries.clone() {
            let missing = !self.values.contains_key(&entry.name);
            if entry.required && missing && !self.refused.contains(&entry.name) {
                self.fault(Place::File, format!("`{}` is required", entry.name));
            }
        }
        self.one_secret();
        for (low, high) in ORDERED {
            self.ordered(low, high);
        }
    }

    /// The number that a setting has, given or by default.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.text(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// The text that a setting has, given or by default.
    pub(super) fn text(&self, name: &str) -> Option<String> {
        let given = self.values.get(name).and_then(|value| value.texts.first());
        let default = || self.entry(name).and_then(|entry| entry.default);
        given.cloned().or_else(default)
    }

    /// Reports a fault.
    pub(super) fn fault(&mut self, place: Place, message: String) {
        self.faults.push(Fault { place, message });
    }

    fn entry(&self, name: &str) -> Option<Entry> {
        self.entries
            .iter()
            .find(|entry| entry.name == name)
            .cloned()
    }

    fn section(&mut self, prefix: &str, map: &[(Spanned<Node>, Spanned<Node>)]) {
        let mut seen: Vec<&str> = Vec::new();
        for (key, node) in map {
            let place = tree::place(key.referenced);
            match &key.value {
                Node::Text(text) if seen.contains(&text.as_str()) => {
                    self.fault(place, format!("`{prefix}{text}` is set twice"));
                }
                Node::Text(text) => {
                    seen.push(text);
                    self.key(&format!("{prefix}{text}"), place, node);
                }
                other => self.fault(place, format!("a key is a text, not {}", other.kind())),
            }
        }
    }

    fn key(&mut self, name: &str, place: Place, node: &Spanned<Node>) {
        let section = format!("{name}.");
        let is_section = self.entries.iter().any(|e| e.name.starts_with(&section));
        match (&node.value, self.entry(name)) {
            (_, Some(entry)) => self.value(&entry, node),
            (Node::Map(map), None) if is_section => self.section(&section, map),
            (Node::Null, None) if is_section => {}
            (other, None) if is_section => {
                let message = format!("`{name}` is a mapping, not {}", other.kind());
                self.fault(tree::place(node.referenced), message);
            }
            (_, None) => self.fault(place, format!("there is no setting `{name}`")),
        }
    }

    fn value(&mut self, entry: &Entry, node: &Spanned<Node>) {
        let place = tree::place(node.referenced);
        match (&node.value, entry.form) {
            (Node::Text(text), form) if !matches!(form, Form::Addresses | Form::Number { .. }) => {
                self.accept(entry, place, vec![text.clone()]);
            }
            (Node::Number(number), Form::Number { .. }) => {
                self.accept(entry, place, vec![number.to_string()]);
            }
            (Node::List(list), Form::Addresses) => self.list(entry, place, list),
            // YAML reads a bare `off` as false.
            (Node::Bool(false), Form::Word(words)) if words.contains(&"off") => {
                self.accept(entry, place, vec!["off".to_owned()]);
            }
            (other, form) => {
                let wanted = wanted(form);
                let message = format!("`{}` is {wanted}, not {}", entry.name, other.kind());
                self.refuse(&entry.name, place, message);
            }
        }
    }

    fn list(&mut self, entry: &Entry, place: Place, list: &[Spanned<Node>]) {
        let mut texts = Vec::new();
        for item in list {
            match &item.value {
                Node::Text(text) => match fault_in(entry, text) {
                    Some(message) => {
                        self.refuse(&entry.name, tree::place(item.referenced), message);
                    }
                    None => texts.push(text.clone()),
                },
                other => {
                    let message = format!("`{}` lists texts, not {}", entry.name, other.kind());
                    self.refuse(&entry.name, tree::place(item.referenced), message);
                }
            }
        }
        if list.is_empty() {
            self.fault(place.clone(), format!("`{}` can't be empty", entry.name));
        }
        self.values
            .insert(entry.name.clone(), Value { place, texts });
    }

    fn accept(&mut self, entry: &Entry, place: Place, texts: Vec<String>) {
        let faults: Vec<String> = texts.iter().filter_map(|t| fault_in(entry, t)).collect();
        for message in faults {
            self.refuse(&entry.name, place.clone(), message);
        }
        self.values
            .insert(entry.name.clone(), Value { place, texts });
    }

    /// Reports a value that is refused.
    fn refuse(&mut self, name: &str, place: Place, message: String) {
        self.refused.insert(name.to_owned());
        self.fault(place, message);
    }

    fn one_secret(&mut self) {
        let given: Vec<Value> = SECRETS
            .iter()
            .filter_map(|name| self.values.get(*name).cloned())
            .collect();
        match given.as_slice() {
            [_] => {}
            [] if SECRETS.iter().any(|name| self.refused.contains(*name)) => {}
            [] => self.fault(
                Place::File,
                "one of `peers.secret`, `peers.secret_file` and `peers.secret_env` is required"
                    .to_owned(),
            ),
            [_, others @ ..] => {
                for other in others {
                    let message = "the peers' secret is given more than once".to_owned();
                    self.fault(other.place.clone(), message);
                }
            }
        }
    }

    fn ordered(&mut self, low: &str, high: &str) {
        let (small, large) = (self.number(low), self.number(high));
        let place = [low, high]
            .iter()
            .find_map(|name| self.values.get(*name))
            .map_or(Place::File, |value| value.place.clone());
        let refused = self.refused.contains(low) || self.refused.contains(high);
        if small >= large && !refused {
            self.fault(
                place,
                format!("`{low}` ({small}) must be below `{high}` ({large})"),
            );
        }
    }
}

/// The three ways to give the peers' secret.
pub(super) const SECRETS: [&str; 3] = ["peers.secret", "peers.secret_file", "peers.secret_env"];

/// Pairs of settings of which the first must be below the second.
const ORDERED: [(&str, &str); 6] = [
    ("tuning.lease_renew_ms", "tuning.lease_ttl_ms"),
    ("tuning.lease_guard_ms", "tuning.lease_ttl_ms"),
    ("tuning.ask_min_ms", "tuning.ask_max_ms"),
    ("tuning.suspect_ms", "tuning.gone_ms"),
    ("tuning.deadline_max_ms", "tuning.grant_abandon_ms"),
    (
        "tuning.platform_backoff_ms",
        "tuning.platform_backoff_max_ms",
    ),
];

fn wanted(form: Form) -> &'static str {
    match form {
        Form::Name => "a name",
        Form::Listen => "an IP address and a port",
        Form::Address => "an IPv4 address and a port",
        Form::Addresses => "a list of IPv4 addresses and ports",
        Form::Prefix => "a prefix of keys",
        Form::Hash => "a hash",
        Form::Text => "a text",
        Form::File => "the path of a file",
        Form::Variable => "the name of an environment variable",
        Form::Word(_) => "a word",
        Form::Number { .. } => "a whole number",
    }
}

fn fault_in(entry: &Entry, text: &str) -> Option<String> {
    let name = &entry.name;
    let unless = |good: bool, message: String| (!good).then_some(message);
    match entry.form {
        Form::Name => id::Vm::from_str(text)
            .err()
            .map(|error| format!("`{name}`: {error}")),
        Form::Listen => unless(
            text.parse::<SocketAddr>().is_ok(),
            format!("`{name}` is an IP address and a port, not `{text}`"),
        ),
        Form::Address | Form::Addresses => unless(
            is_address(text),
            format!("`{name}` takes an IPv4 address and a port, not `{text}`"),
        ),
        Form::Prefix => unless(
            !text.is_empty() && !text.ends_with('/'),
            format!("`{name}` is not empty and does not end with a slash"),
        ),
        Form::Hash => unless(
            blake3::Hash::from_hex(text).is_ok(),
            format!("`{name}` is a BLAKE3 hash of 64 hexadecimal digits"),
        ),
        Form::Text => unless(!text.is_empty(), format!("`{name}` can't be empty")),
        Form::File => std::fs::read_to_string(text)
            .err()
            .map(|error| format!("`{name}`: can't read `{text}`: {error}")),
        Form::Variable => unless(
            std::env::var(text).is_ok_and(|value| !value.is_empty()),
            format!("`{name}`: the environment variable `{text}` is not set"),
        ),
        Form::Word(words) => unless(
            words.contains(&text),
            format!("`{name}` is one of {}, not `{text}`", words.join(", ")),
        ),
        Form::Number { unit, min, max } => match text.parse::<i128>() {
            Ok(number) if (i128::from(min)..=i128::from(max)).contains(&number) => None,
            Ok(number) => Some(format!("`{name}` is {min} to {max} {unit}, not {number}")),
            Err(_) => Some(format!("`{name}` is a whole number, not `{text}`")),
        },
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddrV4>()
        .is_ok_and(|address| address.port() > 0)
}
