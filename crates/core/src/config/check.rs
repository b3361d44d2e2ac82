//! Checks whether a configuration holds together, before it is accepted and again before it is applied.

use std::fmt;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use super::document::{Adapter, Caller, Document, Kind, Rule, Server, Service};
use super::edit::{Change, Edit};
use crate::id;

/// The length of a BLAKE3 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Something that is wrong at one place of a configuration or an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where, such as `rules[3].then.pin[0]`; positions count from 0.
    pub path: String,
    /// What, in one sentence without a stop.
    pub message: String,
}

impl Problem {
    pub(crate) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Everything for which a configuration is refused; empty where it holds together.
#[must_use]
pub fn check(document: &Document) -> Vec<Problem> {
    let mut checker = Checker::new(document);
    checker.short_lists();
    checker.all_adapters();
    checker.problems
}

/// Everything for which a document is refused after an edit, where it held together before.
///
/// The short lists are checked whole. Of the adapters, of which there are tens of thousands, only those that the
/// edit touches are looked at, and where it touches a service, the services of all others.
pub(crate) fn check_after(document: &Document, edit: &Edit) -> Vec<Problem> {
    let service =
        |change: &Change| matches!(change, Change::PutService(_) | Change::RemoveService(_));
    let mut checker = Checker::new(document);
    checker.short_lists();
    checker.some_adapters(edit);
    if edit.changes.iter().any(service) {
        checker.services_of_adapters();
    }
    checker.problems
}

/// A check in progress.
struct Checker<'a> {
    /// What is checked.
    document: &'a Document,
    /// The services by name.
    services: FxHashMap<&'a id::Service, &'a Service>,
    /// What was found.
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn new(document: &'a Document) -> Self {
        let services = &document.services;
        Self {
            document,
            services: services.iter().map(|item| (&item.name, item)).collect(),
            problems: Vec::new(),
        }
    }

    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem::new(path, message));
    }

    /// Reports where `wrong` holds.
    fn refuse(&mut self, wrong: bool, path: impl FnOnce() -> String, message: &str) {
        if wrong {
            self.report(path(), message);
        }
    }

    fn short_lists(&mut self) {
        let document = self.document;
        self.callers(&document.callers);
        self.service_list(&document.services);
        self.servers(&document.servers);
        self.rules(&document.rules);
    }

    fn callers(&mut self, callers: &[Caller]) {
        let mut names = FxHashSet::default();
        let mut tokens = FxHashSet::default();
        for (number, caller) in callers.iter().enumerate() {
            let path = |field: &str| format!("callers[{number}].{field}");
            let hash = caller.token_hash.as_str();
            let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            let bad = hash.len() != HASH_DIGITS || !hash.chars().all(hex);
            self.unique(names.insert(&caller.name), path("name"), &caller.name);
            self.refuse(
                bad,
                || path("token_hash"),
                "is not a BLAKE3 hash of 64 small hexadecimal digits",
            );
            let reused = !tokens.insert(hash);
            self.refuse(reused, || path("token_hash"), "is another caller's too");
            self.refuse(caller.weight == 0, || path("weight"), "can't be zero");
            self.refuse(
                caller.rate == Some(0),
                || path("rate"),
                "can't be zero; remove the caller instead",
            );
        }
    }

    fn unique(&mut self, new: bool, path: String, name: &impl fmt::Display) {
        if !new {
            self.report(path, format!("{name} is listed twice"));
        }
    }

    fn service_list(&mut self, services: &[Service]) {
        let mut names = FxHashSet::default();
        for (number, service) in services.iter().enumerate() {
            let path = |field: &str| format!("services[{number}].{field}");
            self.unique(names.insert(&service.name), path("name"), &service.name);
            self.weights(service, path);
            let model = service.kind == Kind::Model;
            let storeless = model && service.store.is_none();
            self.refuse(storeless, || path("store"), "is needed for a model service");
            let instant = model && service.load_ms == 0;
            self.refuse(
                instant,
                || path("load_ms"),
                "can't be zero for a model service",
            );
            self.refuse(
                service.timeout_ms == 0,
                || path("timeout_ms"),
                "can't be zero",
            );
            self.refuse(service.queue == 0, || path("queue"), "can't be zero");
        }
    }

    fn weights(&mut self, service: &Service, path: impl Fn(&str) -> String) {
        let (stall, batch) = (service.stall_weight, service.batch_weight);
        let bad = |weight: f64| !weight.is_finite() || weight < 0.0;
        self.refuse(
            bad(stall),
            || path("stall_weight"),
            "is not a number of at least zero",
        );
        self.refuse(
            bad(batch),
            || path("batch_weight"),
            "is not a number of at least zero",
        );
        let zero = stall == 0.0 && batch == 0.0;
        self.refuse(
            zero,
            || path("stall_weight"),
            "can't be zero besides a batch_weight of zero",
        );
    }

    fn servers(&mut self, servers: &'a [Server]) {
        let mut names = FxHashSet::default();
        let mut domains: FxHashMap<&id::Domain, &id::Service> = FxHashMap::default();
        for (number, server) in servers.iter().enumerate() {
            let path = |field: &str| format!("servers[{number}].{field}");
            self.unique(names.insert(&server.name), path("name"), &server.name);
            self.address(server, path);
            let kind = self
                .services
                .get(&server.service)
                .map(|service| service.kind);
            self.refuse(kind.is_none(), || path("service"), "names no service");
            let model = kind == Some(Kind::Model);
            let free = model && server.domain.is_none();
            self.refuse(
                free,
                || path("domain"),
                "is needed for a server of a model service",
            );
            let held = kind == Some(Kind::Plain) && server.domain.is_some();
            self.refuse(
                held,
                || path("domain"),
                "is only for servers of model services",
            );
            let domain = server.domain.as_ref().filter(|_| model);
            let shared = domain.is_some_and(|domain| {
                *domains.entry(domain).or_insert(&server.service) != &server.service
            });
            self.refuse(
                shared,
                || path("domain"),
                "has servers of another service too",
            );
        }
    }

    fn all_adapters(&mut self) {
        let document = self.document;
        let mut names = FxHashSet::default();
        names.reserve(document.adapters.len());
        for (number, adapter) in document.adapters.iter().enumerate() {
            if !names.insert(adapter.name.as_str()) {
                let path = format!("adapters[{number}].name");
                self.unique(false, path, &adapter.name);
            }
            self.adapter(number, adapter);
        }
    }

    fn some_adapters(&mut self, edit: &Edit) {
        let names: FxHashSet<&str> = edit.changes.iter().filter_map(put_adapter).collect();
        if names.is_empty() {
            return;
        }
        let document = self.document;
        for (number, adapter) in document.adapters.iter().enumerate() {
            if names.contains(adapter.name.as_str()) {
                self.adapter(number, adapter);
            }
        }
    }

    fn address(&mut self, server: &Server, path: impl Fn(&str) -> String) {
        let port = server.address.rsplit_once(':');
        let good = port.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
        let message = "is not a host and a port such as 10.0.0.1:8000";
        self.refuse(!good, || path("address"), message);
    }

    fn services_of_adapters(&mut self) {
        for (number, adapter) in self.document.adapters.iter().enumerate() {
            self.service_of_adapter(number, adapter);
        }
    }

    fn service_of_adapter(&mut self, number: usize, adapter: &Adapter) {
        let path = || format!("adapters[{number}].service");
        match self.services.get(&adapter.service).map(|item| item.kind) {
            Some(Kind::Model) => {}
            Some(Kind::Plain) => self.report(path(), "is not a model service"),
            None => self.report(path(), "names no service"),
        }
    }

    fn adapter(&mut self, number: usize, adapter: &Adapter) {
        let path = |field: &str| format!("adapters[{number}].{field}");
        self.service_of_adapter(number, adapter);
        self.refuse(adapter.versions.is_empty(), || path("versions"), "is empty");
        for (position, version) in adapter.versions.iter().enumerate() {
            let path = || format!("adapters[{number}].versions[{position}]");
            let twice = adapter.versions[..position].contains(version);
            self.refuse(twice, path, "is listed twice");
            if let Err(error) = format!("{}@{version}", adapter.name).parse::<id::Adapter>() {
                self.report(path(), error.to_string());
            }
        }
    }

    fn rules(&mut self, rules: &[Rule]) {
        let mut names = FxHashSet::default();
        let known = Known::new(self.document);
        for (number, rule) in rules.iter().enumerate() {
            let path = format!("rules[{number}].name");
            self.unique(names.insert(&rule.name), path, &rule.name);
            self.when(number, rule, &known);
            self.then(number, rule, &known);
        }
    }

    fn when(&mut self, number: usize, rule: &Rule, known: &Known<'_>) {
        let path = |field: &str| format!("rules[{number}].when.{field}");
        let when = &rule.when;
        let caller = when
            .caller
            .as_ref()
            .is_some_and(|name| !known.callers.contains_key(name));
        self.refuse(caller, || path("caller"), "names no caller");
        let service = when.service.as_ref();
        let service = service.is_some_and(|name| !self.services.contains_key(name));
        self.refuse(service, || path("service"), "names no service");
        let adapter = when.adapter.as_deref();
        let adapter = adapter.is_some_and(|name| !known.adapters.contains_key(name));
        self.refuse(adapter, || path("adapter"), "names no adapter");
        let header = when.header.as_ref().is_some_and(|header| {
            header.name.is_empty() || header.name.chars().any(char::is_uppercase)
        });
        self.refuse(
            header,
            || path("header.name"),
            "is not the name of a header in lower case",
        );
    }

    fn then(&mut self, number: usize, rule: &Rule, known: &Known<'_>) {
        let path = |field: &str| format!("rules[{number}].then.{field}");
        let then = &rule.then;
        for (field, list) in [("pin", &then.pin), ("avoid", &then.avoid)] {
            for (position, server) in list.iter().enumerate() {
                let path = || format!("rules[{number}].then.{field}[{position}]");
                self.refuse(!known.servers.contains(server), path, "names no server");
            }
        }
        let none = !then.pin.is_empty() && then.pin.iter().all(|name| then.avoid.contains(name));
        self.refuse(none, || path("avoid"), "leaves none of the servers in pin");
        self.refuse(
            then.rate == Some(0),
            || path("rate"),
            "can't be zero; use refuse",
        );
        self.refuse(
            then.deadline_ms == Some(0),
            || path("deadline_ms"),
            "can't be zero",
        );
        let mute = then.refuse.as_ref().is_some_and(String::is_empty);
        self.refuse(mute, || path("refuse"), "needs a reason");
    }
}

/// The name of the adapter that a change adds or replaces.
fn put_adapter(change: &Change) -> Option<&str> {
    match change {
        Change::PutAdapter(adapter) => Some(&adapter.name),
        _ => None,
    }
}

/// What rules may name.
pub(super) struct Known<'a> {
    /// Callers.
    pub(super) callers: FxHashMap<&'a id::Caller, &'a Caller>,
    /// Servers.
    servers: FxHashSet<&'a id::Server>,
    /// Adapters, but only those that some rule names: a table of all of them would cost more than the check.
    pub(super) adapters: FxHashMap<&'a str, &'a Adapter>,
}

impl<'a> Known<'a> {
    pub(super) fn new(document: &'a Document) -> Self {
        let named = document.rules.iter();
        let named: FxHashSet<&str> = named
            .filter_map(|rule| rule.when.adapter.as_deref())
            .collect();
        let adapters = document.adapters.iter();
        let adapters =
            adapters.filter(|adapter| !named.is_empty() && named.contains(adapter.name.as_str()));
        Self {
            callers: document
                .callers
                .iter()
                .map(|item| (&item.name, item))
                .collect(),
            servers: document.servers.iter().map(|item| &item.name).collect(),
            adapters: adapters.map(|item| (item.name.as_str(), item)).collect(),
        }
    }
}
