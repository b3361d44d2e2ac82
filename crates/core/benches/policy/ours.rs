//! Our policy: entry VMs with a core each, over the fake fleet, with a small key-value service between them.

use std::collections::BTreeMap;

use dahliastile_core::Node;
use dahliastile_core::config::{Adapter, Caller, Change, Edit, Rule, Server, Service, ServiceKind};
use dahliastile_core::effect::{Action, Command, Effect, Effects, Work};
use dahliastile_core::event::{
    Call, Event, Failure, Head, Listed, Ordered, Reason, Report, Resident, Target,
};
use dahliastile_core::id::{
    Attempt, Boot, Edition, Incarnation, Lease, Order, Request, Revision, Ticket,
};
use dahliastile_core::operator;
use dahliastile_core::platform::{self, Compare, Outcome, Pair, Reply};
use dahliastile_core::settings::{Settings, Tuning};
use dahliastile_core::time::{Instant, Span};

use crate::trace::{Micros, SEC};
use crate::world::{Ask, Policy, World};

/// Entry VMs.
const VMS: usize = 6;
/// One way between two VMs or zones.
const HOP: Micros = 1_500;
/// One way to an engine.
const NEAR: Micros = 1_000;
/// The time that the fleet gets to settle before the first arrival; arrivals are held back by it.
pub const SETTLE: Micros = 30 * SEC;

enum Later {
    Event(usize, Event),
    Submit(usize, usize, Attempt, Ask),
    Order(usize, Command),
    Tick(usize),
    List(usize),
}

/// What waits for a load: the VM that ordered it, and the order.
type Waiting = (usize, Order);

/// Entry VMs over the fake fleet.
pub struct Ours {
    nodes: Vec<Node>,
    later: BTreeMap<u64, Later>,
    last: u64,
    effects: Effects,
    kv: Kv,
    loads: BTreeMap<(usize, usize), Waiting>,
    running: BTreeMap<Ask, (usize, Attempt, usize)>,
    attempts: BTreeMap<(usize, Attempt), Ask>,
    asks: BTreeMap<(usize, Request), Ask>,
    names: BTreeMap<String, usize>,
}

impl Ours {
    /// Entry VMs that have begun and taken their configuration.
    pub fn new(world: &mut World, seed: u64) -> Self {
        let tuning = Tuning {
            deadline_max_ms: 600_000,
            ..Tuning::default()
        };
        let node = |vm: usize| {
            Node::new(Settings {
                vm: format!("vm{vm}").parse().expect("a name"),
                zone: format!("zone{}", vm % 3).parse().expect("a name"),
                address: format!("10.0.0.{vm}:1"),
                incarnation: Incarnation(vm as u64 + 1),
                seed: seed + vm as u64,
                prefix: "/d".to_owned(),
                tuning: tuning.clone(),
            })
        };
        let mut ours = Self {
            nodes: (0..VMS).map(node).collect(),
            later: BTreeMap::new(),
            last: 0,
            effects: Vec::new(),
            kv: Kv::default(),
            loads: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            asks: BTreeMap::new(),
            names: (0..world.deployment.adapters)
                .map(|at| (format!("a{at}@1"), at))
                .collect(),
        };
        for vm in 0..VMS {
            ours.after(world, vm as Micros * 100, Later::List(vm));
            ours.after(world, vm as Micros * 100 + 50, Later::Tick(vm));
        }
        ours.configure(world);
        world.run(&mut ours, 0);
        world.hold_back(SETTLE);
        ours
    }

    fn configure(&mut self, world: &mut World) {
        let deployment = world.deployment.clone();
        let name = |text: &str| text.parse().expect("a name");
        let mut changes = vec![
            Change::PutService(Service {
                name: "plan".parse().expect("a name"),
                kind: ServiceKind::Model,
                fenced: true,
                stall_weight: deployment.stall_weight,
                batch_weight: deployment.batch_weight,
                store: Some("store".parse().expect("a name")),
                load_ms: deployment.load / 1_000,
                base_load_ms: 70_000,
                non_idempotent: false,
                timeout_ms: deployment.deadline / 1_000,
                queue: 10_000,
            }),
            Change::PutCaller(Caller {
                name: "caller".parse().expect("a name"),
                tenant: "tenant".parse().expect("a name"),
                class: "class".parse().expect("a name"),
                token_hash: "00".repeat(32),
                weight: 1,
                rate: None,
            }),
            Change::SetRules {
                rules: Vec::<Rule>::new(),
            },
        ];
        for at in 0..deployment.engines {
            changes.push(Change::PutServer(Server {
                name: format!("s{at}").parse().expect("a name"),
                service: "plan".parse().expect("a name"),
                zone: name(&format!("zone{}", at % 3)),
                address: format!("10.1.0.1:{}", at + 1),
                domain: Some("dom".parse().expect("a name")),
                leaving: false,
            }));
        }
        for at in 0..deployment.adapters {
            changes.push(Change::PutAdapter(Adapter {
                name: format!("a{at}"),
                service: "plan".parse().expect("a name"),
                versions: vec!["1".to_owned()],
            }));
        }
        let edit = Edit {
            id: "first".to_owned(),
            author: "bench".to_owned(),
            base: Edition(0),
            changes,
        };
        let command = operator::Command::Edit(edit);
        let event = Event::Operator {
            ticket: Ticket(1),
            command,
        };
        self.after(world, 5 * SEC, Later::Event(0, event));
    }

    fn after(&mut self, world: &mut World, delay: Micros, later: Later) {
        self.last += 1;
        self.later.insert(self.last, later);
        world.later(delay, self.last);
    }

    fn step(&mut self, world: &mut World, vm: usize, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.nodes[vm].step(Instant(world.now + 1), event, &mut effects);
        for effect in effects.drain(..) {
            self.act(world, vm, effect);
        }
        self.effects = effects;
    }

    fn tell(&mut self, world: &mut World, delay: Micros, vm: usize, event: Event) {
        self.after(world, delay, Later::Event(vm, event));
    }

    fn act(&mut self, world: &mut World, vm: usize, effect: Effect) {
        match effect {
            Effect::Send(work) => self.send(world, vm, &work),
            Effect::Refuse { request, .. } => {
                if let Some(ask) = self.asks.get(&(vm, request)) {
                    world.fates[*ask].refused = true;
                }
            }
            Effect::Peer { to, message, .. } => {
                let to_vm: usize = to.as_str()[2..].parse().expect("a VM's number");
                let from = format!("vm{vm}").parse().expect("a name");
                let incarnation = Incarnation(vm as u64 + 1);
                let event = Event::Peer {
                    from,
                    incarnation,
                    message,
                };
                self.tell(world, HOP, to_vm, event);
            }
            Effect::Platform { op, call } => {
                if let Some(outcome) = self.kv.apply(call) {
                    self.tell(world, 2 * HOP, vm, Event::Platform { op, outcome });
                }
            }
            Effect::Poll { server, address } => {
                let report = report(world, engine_of(&address));
                let event = Event::Report {
                    server,
                    report: Some(report),
                };
                self.tell(world, 2 * NEAR, vm, event);
            }
            Effect::Cancel { attempt } => {
                let ask = self.attempts.remove(&(vm, attempt));
                if let Some((ask, (_, _, engine))) =
                    ask.and_then(|ask| self.running.remove_entry(&ask))
                {
                    world.cancel(engine, ask);
                }
            }
            Effect::Order(command) => self.after(world, NEAR, Later::Order(vm, command)),
            Effect::Reply {
                reply: operator::Reply::Failed(answer),
                ..
            } => {
                panic!("the configuration was refused: {answer:?}");
            }
            _ => {}
        }
    }

    fn send(&mut self, world: &mut World, vm: usize, work: &Work) {
        let engine = engine_of(&work.address);
        let ask = self.asks[&(vm, work.request)];
        self.after(world, NEAR, Later::Submit(vm, engine, work.attempt, ask));
    }

    fn submit(&mut self, world: &mut World, vm: usize, engine: usize, attempt: Attempt, ask: Ask) {
        if world.submit(engine, ask) {
            self.running.insert(ask, (vm, attempt, engine));
            self.attempts.insert((vm, attempt), ask);
            return;
        }
        let failure = Failure::NotRun(Reason::NotLoaded);
        self.tell(world, NEAR, vm, Event::Failed { attempt, failure });
    }

    fn order(&mut self, world: &mut World, vm: usize, command: Command) {
        let engine = engine_of(&command.address);
        let outcome = match &command.action {
            Action::Fence => Ordered::Done,
            Action::Load(adapter) => {
                let adapter = self.names[adapter.as_str()];
                let holds = world.engines[engine].residents.contains_key(&adapter);
                if !holds && world.has_slot(engine) {
                    world.load(engine, adapter);
                    self.loads.insert((engine, adapter), (vm, command.order));
                    return;
                }
                if holds {
                    Ordered::Done
                } else {
                    Ordered::Refused(Reason::NoSlot)
                }
            }
            Action::Unload(adapter) => {
                let adapter = self.names[adapter.as_str()];
                match world.engines[engine].residents.get(&adapter) {
                    Some(resident) if resident.in_use > 0 => Ordered::Refused(Reason::InUse),
                    Some(_) => {
                        world.evict(engine, adapter);
                        Ordered::Done
                    }
                    None => Ordered::Done,
                }
            }
        };
        self.tell(
            world,
            NEAR,
            vm,
            Event::Ordered {
                order: command.order,
                outcome,
            },
        );
    }
}

fn engine_of(address: &str) -> usize {
    let port = address.rsplit(':').next().expect("an address has a port");
    port.parse::<usize>().expect("a port") - 1
}

fn report(world: &World, at: usize) -> Report {
    let engine = &world.engines[at];
    let ready = engine
        .residents
        .iter()
        .filter(|(_, resident)| resident.ready);
    let residents = ready.map(|(adapter, resident)| Resident {
        adapter: format!("a{adapter}@1").parse().expect("a name"),
        in_flight: resident.in_use,
    });
    Report {
        boot: Boot(1),
        ready: true,
        running: engine.running.len() as u32,
        waiting: engine.waiting.len() as u32,
        batch: world.deployment.batch as u32,
        step: Span(world.deployment.step),
        slots: world.deployment.slots as u32,
        age: Span(NEAR),
        residents: residents.collect(),
    }
}

impl Policy for Ours {
    fn arrive(&mut self, world: &mut World, ask: Ask) {
        let vm = ask % VMS;
        let request = Request(ask as u64 + 1);
        self.asks.insert((vm, request), ask);
        let call = Call {
            caller: "caller".parse().expect("a name"),
            target: Target::Model(format!("a{}@1", world.trace[ask].adapter)),
            zone: None,
            headers: Vec::new(),
            key: None,
            digest: ask as u64,
            non_idempotent: false,
            timeout: None,
            stream: true,
            prefix: Vec::new(),
            prompt_tokens: 100,
            max_tokens: world.trace[ask].tokens,
        };
        self.step(
            world,
            vm,
            Event::Arrived {
                request,
                call: Box::new(call),
            },
        );
    }

    fn loaded(&mut self, world: &mut World, engine: usize, adapter: usize) {
        if let Some((vm, order)) = self.loads.remove(&(engine, adapter)) {
            self.tell(
                world,
                NEAR,
                vm,
                Event::Ordered {
                    order,
                    outcome: Ordered::Done,
                },
            );
        }
    }

    fn done(&mut self, world: &mut World, _engine: usize, ask: Ask) {
        let Some((vm, attempt, _)) = self.running.remove(&ask) else {
            return;
        };
        self.attempts.remove(&(vm, attempt));
        let model = Some(format!("a{}@1", world.trace[ask].adapter));
        let head = Head {
            status: 200,
            content_type: String::new(),
            model: model.clone(),
        };
        let tokens = world.trace[ask].tokens;
        self.tell(world, NEAR, vm, Event::Begun { attempt, head });
        self.tell(
            world,
            NEAR,
            vm,
            Event::Chunk {
                attempt,
                model,
                tokens,
                data: Vec::new(),
            },
        );
        self.tell(world, NEAR, vm, Event::Ended { attempt });
    }

    fn later(&mut self, world: &mut World, token: u64) {
        match self.later.remove(&token) {
            Some(Later::Event(vm, event)) => self.step(world, vm, event),
            Some(Later::Submit(vm, engine, attempt, ask)) => {
                self.submit(world, vm, engine, attempt, ask);
            }
            Some(Later::Order(vm, command)) => self.order(world, vm, command),
            Some(Later::Tick(vm)) => {
                self.step(world, vm, Event::Tick);
                self.after(world, 20_000, Later::Tick(vm));
            }
            Some(Later::List(vm)) => {
                let listed = |at: usize| Listed {
                    vm: format!("vm{at}").parse().expect("a name"),
                    address: format!("10.0.0.{at}:1"),
                    zone: format!("zone{}", at % 3).parse().expect("a name"),
                    leaving: false,
                };
                self.step(
                    world,
                    vm,
                    Event::List {
                        vms: (0..VMS).map(listed).collect(),
                    },
                );
                self.after(world, SEC, Later::List(vm));
            }
            None => {}
        }
    }
}

/// A key-value service that always answers; watches see nothing, so that VMs hear of changes by their peers.
#[derive(Default)]
struct Kv {
    revision: u64,
    leases: u64,
    pairs: BTreeMap<String, Pair>,
}

impl Kv {
    fn apply(&mut self, call: platform::Call) -> Option<Outcome> {
        let found = |pairs: Vec<Pair>, revision| {
            Some(Outcome::Done(Reply {
                revision: Revision(revision),
                pairs,
                lease: None,
            }))
        };
        let leased = |lease| {
            let lease = Some(Lease(lease));
            Some(Outcome::Done(Reply {
                revision: Revision(0),
                pairs: Vec::new(),
                lease,
            }))
        };
        match call {
            platform::Call::Get { key } => found(
                self.pairs.get(&key).cloned().into_iter().collect(),
                self.revision,
            ),
            platform::Call::Range { prefix, .. } => {
                let below = self
                    .pairs
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                found(below.map(|(_, pair)| pair.clone()).collect(), self.revision)
            }
            platform::Call::Txn {
                compares,
                puts,
                deletes,
            } => {
                if !compares.iter().all(|compare| self.holds(compare)) {
                    return Some(Outcome::Conflict);
                }
                self.revision += 1;
                deletes.iter().for_each(|key| drop(self.pairs.remove(key)));
                let changed = Revision(self.revision);
                for put in puts {
                    let created = self
                        .pairs
                        .get(&put.key)
                        .map_or(changed, |pair| pair.created);
                    let pair = Pair {
                        key: put.key.clone(),
                        value: put.value,
                        created,
                        changed,
                    };
                    self.pairs.insert(put.key, pair);
                }
                found(Vec::new(), self.revision)
            }
            platform::Call::LeaseGrant { .. } => {
                self.leases += 1;
                leased(self.leases)
            }
            platform::Call::LeaseRenew { lease } | platform::Call::LeaseRevoke { lease } => {
                leased(lease.0)
            }
            platform::Call::Watch { .. } => None,
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let (key, wanted, field): (_, _, fn(&Pair) -> Revision) = match compare {
            Compare::Changed(key, revision) => (key, revision, |pair| pair.changed),
            Compare::Created(key, revision) => (key, revision, |pair| pair.created),
        };
        self.pairs.get(key).map_or(Revision(0), field) == *wanted
    }
}
