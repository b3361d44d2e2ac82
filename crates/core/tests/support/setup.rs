//! Ready-made deployments and requests.

use dahliastile_core::config::{
    Adapter, Caller, Change, Document, Edit, Rule, Server, Service, ServiceKind,
};
use dahliastile_core::event::{Call, Target};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Command, Reply};
use dahliastile_core::settings::Tuning;
use dahliastile_core::time::Span;

use super::engine::Engine;
use super::plain::Plain;
use super::{Fleet, Micros, SEC};

/// How large a deployment is.
#[derive(Clone, Debug)]
pub struct Size {
    /// Availability zones.
    pub zones: Vec<&'static str>,
    /// Entry VMs.
    pub vms: usize,
    /// Model engines.
    pub engines: usize,
    /// Servers of the plain service `booking`.
    pub plains: usize,
    /// Adapters, `a0@1` and on.
    pub adapters: usize,
    /// Adapters on one engine.
    pub slots: usize,
    /// Sequences in one engine's batch.
    pub batch: usize,
    /// Whether engines check fencing numbers.
    pub fenced: bool,
    /// Time of a step.
    pub step: Micros,
    /// Time to load the base model.
    pub base_load: Micros,
    /// The weights of load stalls and of batch efficiency.
    pub weights: (f64, f64),
    /// The VMs' times and sizes.
    pub tuning: Tuning,
}

impl Size {
    /// A small deployment for focused tests.
    pub fn small() -> Self {
        Self {
            zones: vec!["east", "west"],
            vms: 3,
            engines: 2,
            plains: 2,
            adapters: 12,
            slots: 3,
            batch: 4,
            fenced: false,
            step: 9_000,
            base_load: 5 * SEC,
            weights: (1.0, 1.0),
            tuning: Tuning::default(),
        }
    }

    /// Kolenvaart's deployment.
    pub fn kolenvaart() -> Self {
        Self {
            zones: vec!["maasvlakte", "botlek", "delft-zuid", "dordrecht"],
            vms: 8,
            engines: 12,
            plains: 4,
            adapters: 3_000,
            slots: 16,
            batch: 32,
            base_load: 70 * SEC,
            weights: (4.0, 1.0),
            ..Self::small()
        }
    }

    /// Rak Nusantara's deployment.
    pub fn rak() -> Self {
        Self {
            zones: vec!["jkt-hall", "sby-hall", "smg-hall"],
            vms: 6,
            plains: 3,
            step: 8_000,
            base_load: 35 * SEC,
            weights: (1.0, 4.0),
            ..Self::kolenvaart()
        }
    }

    /// The configuration for it.
    pub fn document(&self) -> Document {
        let zone = |i: usize| self.zones[i % self.zones.len()].parse().unwrap();
        let server = |name: String, service: &str, i: usize, domain: bool| Server {
            address: format!("{name}:8000"),
            name: name.parse().unwrap(),
            service: service.parse().unwrap(),
            zone: zone(i),
            domain: domain.then(|| "base".parse().unwrap()),
            leaving: false,
        };
        let engines = (0..self.engines).map(|i| server(format!("engine-{i}"), "model", i, true));
        let plains = (0..self.plains).map(|i| server(format!("plain-{i}"), "booking", i, false));
        Document {
            callers: (0..3).map(caller).collect(),
            services: vec![self.model(), booking()],
            servers: engines.chain(plains).collect(),
            adapters: (0..self.adapters).map(adapter).collect(),
            rules: Vec::new(),
        }
    }

    /// A fleet of it, with its configuration in force.
    pub fn fleet(&self, seed: u64) -> Fleet {
        let mut fleet = self.bare_fleet(seed);
        fleet.configure(&self.document());
        fleet
    }

    /// A fleet of it without a configuration.
    pub fn bare_fleet(&self, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(seed);
        let zone = |i: usize| self.zones[i % self.zones.len()];
        for i in 0..self.engines {
            let mut engine = Engine::new(&format!("engine-{i}"), zone(i), self.slots, self.batch);
            engine.step = self.step;
            engine.base_load = self.base_load;
            engine.fenced = self.fenced;
            fleet.add_engine(engine);
        }
        for i in 0..self.plains {
            fleet.add_plain(Plain::new(&format!("plain-{i}"), zone(i)));
        }
        for i in 0..self.vms {
            fleet.add_vm(zone(i), self.tuning.clone());
        }
        fleet
    }

    fn model(&self) -> Service {
        Service {
            name: "model".parse().unwrap(),
            kind: ServiceKind::Model,
            fenced: self.fenced,
            stall_weight: self.weights.0,
            batch_weight: self.weights.1,
            store: Some("store".parse().unwrap()),
            load_ms: 333,
            base_load_ms: self.base_load / 1_000,
            non_idempotent: false,
            timeout_ms: 60_000,
            queue: 1_000,
        }
    }
}

fn booking() -> Service {
    Service {
        name: "booking".parse().unwrap(),
        kind: ServiceKind::Plain,
        fenced: false,
        stall_weight: 1.0,
        batch_weight: 1.0,
        store: None,
        load_ms: 0,
        base_load_ms: 0,
        non_idempotent: false,
        timeout_ms: 10_000,
        queue: 1_000,
    }
}

fn caller(i: usize) -> Caller {
    Caller {
        name: format!("caller-{i}").parse().unwrap(),
        tenant: "tenant".parse().unwrap(),
        class: "default".parse().unwrap(),
        token_hash: format!("{i:064x}"),
        weight: 1,
        rate: None,
    }
}

fn adapter(i: usize) -> Adapter {
    Adapter {
        name: format!("a{i}"),
        service: "model".parse().unwrap(),
        versions: vec!["1".to_owned()],
    }
}

/// The changes that make an empty configuration this document.
pub fn changes(document: &Document) -> Vec<Change> {
    let callers = document.callers.iter().cloned().map(Change::PutCaller);
    let services = document.services.iter().cloned().map(Change::PutService);
    let servers = document.servers.iter().cloned().map(Change::PutServer);
    let adapters = document.adapters.iter().cloned().map(Change::PutAdapter);
    let rules = Change::SetRules {
        rules: document.rules.clone(),
    };
    callers
        .chain(services)
        .chain(servers)
        .chain(adapters)
        .chain([rules])
        .collect()
}

/// A request for a completion by adapter `a<i>@1`, with `tokens` tokens.
pub fn model(i: usize, digest: u64, tokens: u32) -> Call {
    Call {
        caller: "caller-0".parse().unwrap(),
        target: Target::Model(format!("a{i}@1")),
        zone: None,
        headers: Vec::new(),
        key: None,
        digest,
        non_idempotent: false,
        timeout: Some(Span::from_secs(30)),
        stream: true,
        prefix: Vec::new(),
        prompt_tokens: 100,
        max_tokens: tokens,
    }
}

/// A call of the plain service.
pub fn booking_call(digest: u64) -> Call {
    Call {
        target: Target::Service("booking".to_owned()),
        stream: false,
        ..model(0, digest, 0)
    }
}

/// The same request as one that may not be repeated, with an idempotency key.
pub fn once(call: Call, key: &str) -> Call {
    Call {
        key: Some(key.to_owned()),
        non_idempotent: true,
        ..call
    }
}

impl Fleet {
    /// Puts a whole configuration in force by an operator's edit at the first VM, and waits until it is everywhere.
    pub fn configure(&mut self, document: &Document) {
        self.run_for(SEC);
        self.edit(0, changes(document));
        self.run_for(2 * SEC);
    }

    /// Puts rules in force.
    pub fn set_rules(&mut self, rules: Vec<Rule>) {
        self.edit(0, vec![Change::SetRules { rules }]);
        self.run_for(2 * SEC);
    }

    /// Makes an edit on the edition in force and waits until it is accepted.
    pub fn edit(&mut self, vm: usize, changes: Vec<Change>) -> Edition {
        let shown = self.answer(vm, Command::Show, 10 * SEC);
        let base = match shown {
            Some(Reply::Show { edition, .. }) => edition,
            _ => Edition(0),
        };
        let edit = Edit {
            id: format!("edit-{}-{}", self.now, self.replies.len()),
            author: "operator".to_owned(),
            base,
            changes,
        };
        match self.answer(vm, Command::Edit(edit), 10 * SEC) {
            Some(Reply::Accepted { edition, .. }) => edition,
            other => panic!("the edit was not accepted: {other:?}"),
        }
    }
}
