//! One node of a large deployment, with a peer that holds all control domains and has granted it what is warm.

use std::time::{Duration, Instant as Wall};

use dahliastile_core::Node;
use dahliastile_core::config::rules::Subject;
use dahliastile_core::config::{
    Adapter, Caller, Change, Document, Edit, Header, Rule, Server, Service, ServiceKind, Then, When,
};
use dahliastile_core::effect::{Effect, Effects};
use dahliastile_core::event::{Call, Event, Listed, Report, Target};
use dahliastile_core::id::{Boot, Edition, Fence, Grant, Incarnation, Request};
use dahliastile_core::peer::{Granted, Heartbeat, Holder, Load, Member, Message, Piece, Update};
use dahliastile_core::settings::{Settings, Tuning};
use dahliastile_core::time::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Servers in one control domain.
const A_DOMAIN: usize = 32;
/// Adapters that are warm.
const WARM: usize = 2_000;
/// Servers that hold a warm adapter.
const COPIES: usize = 3;
const ZONES: [&str; 4] = ["maasvlakte", "botlek", "delft-zuid", "dordrecht"];
const CALLERS: usize = 200;

#[derive(Clone, Copy)]
pub struct Size {
    pub replicas: usize,
    pub adapters: usize,
    pub rules: usize,
}

impl Size {
    pub const ALL: [Self; 3] = [
        Self {
            replicas: 12,
            adapters: 3_000,
            rules: 50,
        },
        Self {
            replicas: 1_000,
            adapters: 33_000,
            rules: 500,
        },
        Self {
            replicas: 10_000,
            adapters: 33_000,
            rules: 1_000,
        },
    ];
}

pub struct Deployment {
    pub size: Size,
    pub node: Node,
    pub document: Document,
    now: Instant,
    seed: u64,
    beat: u64,
    edition: u64,
    chain: String,
    names: Vec<String>,
    /// The number that updates repeat: one of this node's own asks, or it takes them for an earlier start's.
    nonce: u64,
}

impl Deployment {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings {
            vm: "vm-0".parse().unwrap(),
            zone: ZONES[0].parse().unwrap(),
            address: "vm-0:7000".to_owned(),
            incarnation: Incarnation(1),
            seed,
            prefix: "bench".to_owned(),
            tuning: Tuning::default(),
        };
        let mut deployment = Self {
            size,
            node: Node::new(settings),
            document: document(size, &mut rng),
            now: Instant(0),
            seed,
            beat: 0,
            edition: 0,
            chain: "00".repeat(32),
            nonce: 0,
            names: (0..size.adapters)
                .map(|i| format!("adapter-{i}@1"))
                .collect(),
        };
        let listed = |i: usize| Listed {
            vm: format!("vm-{i}").parse().unwrap(),
            address: format!("vm-{i}:7000"),
            zone: ZONES[i].parse().unwrap(),
            leaving: false,
        };
        let vms = (0..2).map(listed).collect();
        deployment.step(Event::List { vms });
        deployment.configure();
        deployment.heartbeat();
        deployment.listen();
        deployment.grant();
        deployment
    }

    /// Has the node ask its peer for an adapter, and keeps the number that its asks begin with.
    fn listen(&mut self) {
        let call = Box::new(self.call(0));
        let mut effects = Effects::new();
        let arrived = Event::Arrived {
            request: Request(0),
            call,
        };
        self.node.step(self.now, arrived, &mut effects);
        // Asks keep a pace of their own.
        for _ in 0..100 {
            let now = self.pass(10_000);
            self.node.step(now, Event::Tick, &mut effects);
        }
        let asked = effects.iter().find_map(|effect| match effect {
            Effect::Peer {
                message: Message::Ask(ask),
                ..
            } => Some(ask.nonce),
            _ => None,
        });
        // Later asks count up from there.
        self.nonce = asked.expect("a cold adapter is asked for") | u64::from(u32::MAX >> 1);
    }

    /// Lets time pass.
    pub fn pass(&mut self, micros: u64) -> Instant {
        self.now += Span(micros);
        self.now
    }

    /// Sends the whole configuration.
    fn configure(&mut self) {
        self.edition += 1;
        let snapshot = json!({
            "edition": self.edition,
            "chain": "00".repeat(32),
            "document": self.document,
        });
        let data = serde_json::to_vec(&snapshot).unwrap();
        self.hear(Message::Piece(Piece::Snapshot {
            edition: Edition(self.edition),
            offset: 0,
            total: data.len() as u64,
            hash: *blake3::hash(&data).as_bytes(),
            data,
        }));
        assert_eq!(self.node.edition(), Edition(self.edition));
    }

    /// Sends an edit that follows the edition in force; says how long it took to put it in force.
    pub fn edit(&mut self, change: Change) -> Duration {
        self.edition += 1;
        let segment = json!({
            "edition": self.edition,
            "prev": self.chain,
            "edit": Edit {
                id: format!("edit-{}", self.edition),
                author: "operator".to_owned(),
                base: Edition(self.edition - 1),
                changes: vec![change],
            },
        });
        let body = serde_json::to_string(&segment).unwrap();
        self.chain = blake3::hash(body.as_bytes()).to_hex().to_string();
        let text = format!("{}\n{body}", self.chain).into_bytes();
        let piece = Piece::Edits {
            first: Edition(self.edition),
            edits: vec![text],
        };
        let wall = Wall::now();
        self.hear(Message::Piece(piece));
        let took = wall.elapsed();
        assert_eq!(self.node.edition(), Edition(self.edition));
        took
    }

    /// Keeps the peer alive and the loads of servers fresh.
    pub fn refresh(&mut self) {
        if self.now.0 / 1_000_000 > self.beat {
            self.heartbeat();
            for domain in 0..self.domains() {
                let update = self.update(domain, Vec::new());
                self.hear(Message::Update(update));
            }
        }
    }

    /// Which server holds which adapter.
    pub fn granted(&self) -> impl Iterator<Item = (usize, usize)> + use<> {
        let replicas = self.size.replicas;
        let warm = WARM.min(self.size.adapters);
        (0..warm).flat_map(move |adapter| {
            (0..COPIES).map(move |copy| ((adapter * 7 + copy * 5) % replicas, adapter))
        })
    }

    pub fn name(&self, adapter: usize) -> String {
        self.names[adapter].clone()
    }

    /// The model that a request names.
    pub fn model(&self, number: u64) -> String {
        self.names[self.adapter(number)].clone()
    }

    /// A request; the same number brings the same request.
    pub fn call(&self, number: u64) -> Call {
        let caller = self.mix(number, 1) as usize % CALLERS;
        Call {
            caller: format!("caller-{caller}").parse().unwrap(),
            target: Target::Model(self.model(number)),
            zone: Some(
                ZONES[self.mix(number, 2) as usize % ZONES.len()]
                    .parse()
                    .unwrap(),
            ),
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                ("x-kind".to_owned(), format!("k{}", self.mix(number, 3) % 8)),
            ],
            key: None,
            digest: number,
            non_idempotent: false,
            timeout: Some(Span::from_secs(30)),
            stream: true,
            prefix: Vec::new(),
            prompt_tokens: 100,
            max_tokens: 100,
        }
    }

    /// What rules test of a request.
    pub fn subject<'a>(&self, call: &'a Call) -> Subject<'a> {
        let Target::Model(model) = &call.target else {
            unreachable!("all requests are for models");
        };
        let (adapter, version) = model.split_once('@').unwrap();
        Subject {
            caller: call.caller.as_str(),
            tenant: "tenant",
            class: "default",
            adapter,
            version,
            service: "model",
            zone: call.zone.as_ref().map_or("", |zone| zone.as_str()),
            headers: &call.headers,
        }
    }

    fn adapter(&self, number: u64) -> usize {
        self.mix(number, 0) as usize % WARM.min(self.size.adapters)
    }

    fn mix(&self, number: u64, what: u64) -> u64 {
        ChaCha8Rng::seed_from_u64(self.seed ^ number << 8 ^ what).random::<u64>() >> 1
    }

    fn domains(&self) -> usize {
        self.size.replicas.div_ceil(A_DOMAIN)
    }

    fn grant(&mut self) {
        let mut grants: Vec<Vec<Granted>> = vec![Vec::new(); self.domains()];
        for (number, (server, adapter)) in self.granted().enumerate() {
            grants[server / A_DOMAIN].push(Granted {
                grant: Grant(number as u64 + 1),
                server: format!("engine-{server}").parse().unwrap(),
                adapter: self.names[adapter].parse().unwrap(),
            });
        }
        for (domain, grants) in grants.into_iter().enumerate() {
            let update = self.update(domain, grants);
            self.hear(Message::Update(update));
        }
    }

    fn update(&mut self, domain: usize, grants: Vec<Granted>) -> Update {
        let servers = domain * A_DOMAIN..self.size.replicas.min((domain + 1) * A_DOMAIN);
        let load = |server: usize| Load {
            server: format!("engine-{server}").parse().unwrap(),
            report: Report {
                boot: Boot(1),
                ready: true,
                running: (server % 16) as u32,
                waiting: 0,
                batch: 32,
                step: Span::from_millis(9),
                slots: 1_000,
                age: Span::from_millis(50),
                residents: Vec::new(),
            },
        };
        Update {
            domain: format!("domain-{domain}").parse().unwrap(),
            fence: Fence(5),
            seq: self.beat + 1,
            nonce: self.nonce,
            grants,
            revokes: Vec::new(),
            loads: servers.map(load).collect(),
            expected: Vec::new(),
        }
    }

    fn heartbeat(&mut self) {
        self.beat += 1;
        let member = Member {
            vm: "vm-1".parse().unwrap(),
            address: "vm-1:7000".to_owned(),
            zone: ZONES[1].parse().unwrap(),
            incarnation: Incarnation(1),
            beat: self.beat,
            leaving: false,
            edition: Edition(self.edition),
        };
        let holder = |domain: usize| Holder {
            domain: format!("domain-{domain}").parse().unwrap(),
            vm: "vm-1".parse().unwrap(),
            fence: Fence(5),
        };
        let holders = (0..self.domains()).map(holder).collect();
        self.hear(Message::Heartbeat(Heartbeat {
            members: vec![member],
            holders,
        }));
    }

    fn hear(&mut self, message: Message) {
        self.step(Event::Peer {
            from: "vm-1".parse().unwrap(),
            incarnation: Incarnation(1),
            message,
        });
    }

    fn step(&mut self, event: Event) {
        self.node.step(self.now, event, &mut Effects::new());
    }
}

fn document(size: Size, rng: &mut ChaCha8Rng) -> Document {
    let caller = |i: usize| Caller {
        name: format!("caller-{i}").parse().unwrap(),
        tenant: "tenant".parse().unwrap(),
        class: "default".parse().unwrap(),
        token_hash: format!("{i:064x}"),
        weight: 1,
        rate: None,
    };
    let server = |i: usize| Server {
        name: format!("engine-{i}").parse().unwrap(),
        service: "model".parse().unwrap(),
        zone: ZONES[i % ZONES.len()].parse().unwrap(),
        address: format!("engine-{i}:8000"),
        domain: Some(format!("domain-{}", i / A_DOMAIN).parse().unwrap()),
        leaving: false,
    };
    let adapter = |i: usize| Adapter {
        name: format!("adapter-{i}"),
        service: "model".parse().unwrap(),
        versions: vec!["1".to_owned()],
    };
    Document {
        callers: (0..CALLERS).map(caller).collect(),
        services: vec![Service {
            name: "model".parse().unwrap(),
            kind: ServiceKind::Model,
            fenced: true,
            stall_weight: 4.0,
            batch_weight: 1.0,
            store: Some("store".parse().unwrap()),
            load_ms: 333,
            base_load_ms: 70_000,
            non_idempotent: false,
            timeout_ms: 60_000,
            queue: 1_000,
        }],
        servers: (0..size.replicas).map(server).collect(),
        adapters: (0..size.adapters).map(adapter).collect(),
        rules: (0..size.rules).map(|i| rule(i, size, rng)).collect(),
    }
}

/// Rules as operators write them: most test a caller and an adapter, some a zone or a header, the last one nothing.
fn rule(i: usize, size: Size, rng: &mut ChaCha8Rng) -> Rule {
    let last = i + 1 == size.rules;
    let caller = format!("caller-{}", rng.random_range(0..CALLERS));
    let caller = rng.random_bool(0.6).then(|| caller.parse().unwrap());
    let adapter = format!("adapter-{}", rng.random_range(0..size.adapters));
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    let when = When {
        caller,
        adapter: Some(adapter).filter(|_| rng.random_bool(0.8)),
        version: rng.random_bool(0.2).then(|| "1".to_owned()),
        zone: rng.random_bool(0.3).then(|| zone.parse().unwrap()),
        header: rng.random_bool(0.1).then(|| Header {
            name: "x-kind".to_owned(),
            value: format!("k{}", rng.random_range(0..8)),
        }),
        service: rng.random_bool(0.2).then(|| "model".parse().unwrap()),
        ..When::default()
    };
    let narrow = when.adapter.is_some() || when.caller.is_some() && when.zone.is_some();
    let when = match (last, narrow) {
        (true, _) => When::default(),
        (false, true) => when,
        (false, false) => When {
            adapter: Some(format!("adapter-{}", rng.random_range(0..size.adapters))),
            ..when
        },
    };
    Rule {
        name: format!("rule-{i}").parse().unwrap(),
        when,
        then: Then {
            prefer_zone: Some(zone.parse().unwrap()),
            priority: Some(rng.random_range(0..3)),
            ..Then::default()
        },
    }
}
