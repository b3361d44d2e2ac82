//! How large a fleet is and the configuration that goes with it.

use dahliastile_core::config::{
    Adapter, Caller, Change, Rule, Server, Service, ServiceKind, Then, When,
};

use crate::fleet::Micros;

/// The letter's fleet.
const LETTER: Size = Size {
    vms: 720,
    replicas: 10_000,
    adapters: 33_000,
    zones: 13,
    models: 6,
};
/// Replicas in a domain.
const DOMAIN: usize = 24;
/// Regions at most.
const REGIONS: usize = 6;
/// Rules in the list.
pub const RULES: usize = 40;
/// Time of one load.
pub const LOAD_MS: u64 = 333;

/// A fleet's size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry VMs.
    pub vms: usize,
    /// Backend servers.
    pub replicas: usize,
    /// Adapters.
    pub adapters: usize,
    /// Availability zones.
    pub zones: usize,
    /// Base models.
    pub models: usize,
}

impl Size {
    /// A fleet of `vms`, with the backend of the letter's share for `backend` of them.
    pub fn new(vms: usize, backend: usize) -> Self {
        let share = |whole: usize| (whole * backend).div_ceil(LETTER.vms);
        let (replicas, zones) = (share(LETTER.replicas), share(LETTER.zones).clamp(3, 13));
        Self {
            vms,
            replicas,
            adapters: share(LETTER.adapters),
            zones,
            models: (replicas / (zones * DOMAIN)).clamp(1, LETTER.models),
        }
    }

    /// The zone of the VM or server of that number.
    pub fn zone(&self, at: usize) -> usize {
        at % self.zones
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone % REGIONS.min(self.zones.div_ceil(2))
    }

    /// One way between two zones.
    pub fn delay(&self, from: usize, to: usize) -> Micros {
        match () {
            () if from == to => 200,
            () if self.region(from) == self.region(to) => 1_500,
            () => 40_000,
        }
    }

    /// Domains: the servers of a zone and base model, divided evenly.
    pub fn domains(&self) -> usize {
        self.zones * self.models * self.parts()
    }

    fn parts(&self) -> usize {
        let cell = self.replicas as f64 / (self.zones * self.models) as f64;
        ((cell / DOMAIN as f64).round() as usize).max(1)
    }

    /// The base model of the server of that number.
    pub fn model(&self, at: usize) -> usize {
        (at / self.zones) % self.models
    }

    /// The changes that make the configuration.
    pub fn changes(&self) -> Vec<Change> {
        let caller = Change::PutCaller(Caller {
            name: "caller".parse().unwrap(),
            tenant: "tenant".parse().unwrap(),
            class: "class".parse().unwrap(),
            token_hash: "00".repeat(32),
            weight: 1,
            rate: None,
        });
        let rules = Change::SetRules {
            rules: (0..RULES).map(|at| rule(at, 0)).collect(),
        };
        (0..self.models)
            .map(service)
            .chain([caller])
            .chain((0..self.adapters).map(|at| self.adapter(at, 1)))
            .chain((0..self.replicas).map(|at| self.server(at)))
            .chain([rules])
            .collect()
    }

    /// The change that gives an adapter that many versions.
    pub fn adapter(&self, at: usize, versions: usize) -> Change {
        Change::PutAdapter(Adapter {
            name: format!("adapter-{at}"),
            service: format!("model-{}", at % self.models).parse().unwrap(),
            versions: (1..=versions).map(|version| version.to_string()).collect(),
        })
    }

    fn server(&self, at: usize) -> Change {
        let (zone, model) = (self.zone(at), self.model(at));
        let part = at / (self.zones * self.models) % self.parts();
        Change::PutServer(Server {
            name: format!("server-{at}").parse().unwrap(),
            service: format!("model-{model}").parse().unwrap(),
            zone: format!("zone-{zone}").parse().unwrap(),
            address: format!("10.1.{}.{}:{at}", at / 250, at % 250),
            domain: Some(format!("zone-{zone}-model-{model}-{part}").parse().unwrap()),
            leaving: false,
        })
    }
}

fn service(at: usize) -> Change {
    Change::PutService(Service {
        name: format!("model-{at}").parse().unwrap(),
        kind: ServiceKind::Model,
        fenced: true,
        stall_weight: 1.0,
        batch_weight: 1.0,
        store: Some(format!("store-{at}").parse().unwrap()),
        load_ms: LOAD_MS,
        base_load_ms: 70_000,
        non_idempotent: false,
        timeout_ms: 60_000,
        queue: 10_000,
    })
}

/// A rule that no request of the bench matches.
pub fn rule(at: usize, priority: i32) -> Rule {
    Rule {
        name: format!("rule-{at}").parse().unwrap(),
        when: When {
            adapter: Some(format!("adapter-{at}")),
            version: Some("none".to_owned()),
            ..When::default()
        },
        then: Then {
            priority: Some(priority),
            ..Then::default()
        },
    }
}
