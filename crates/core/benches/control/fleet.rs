//! Entry VMs in virtual time over a small key-value service, a network with delays and engines that answer at once.
//! Messages between VMs go over the wire's encoding, so that sizes are real and no memory is shared between VMs.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::Node;
use dahliastile_core::config::{Change, Edit};
use dahliastile_core::effect::{Effect, Effects};
use dahliastile_core::event::{Event, Listed};
use dahliastile_core::id::{Attempt, Edition, Incarnation, Op, Ticket};
use dahliastile_core::log::Code;
use dahliastile_core::operator::{self, Reply};
use dahliastile_core::peer::Message;
use dahliastile_core::platform::{Call, Notice, Outcome};
use dahliastile_core::settings::{Settings, Tuning};
use dahliastile_core::time::Instant;
use dahliastile_wire::{decode, encode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::heap;
use crate::kv::Kv;
use crate::meter::{Meter, event_kind, is_control, message_kind};
use crate::size::Size;

/// Virtual time in microseconds.
pub type Micros = u64;
/// A second.
pub const SEC: Micros = 1_000_000;
/// A millisecond.
pub const MS: Micros = 1_000;
/// One way to the key-value service.
const KV_WAY: Micros = 2 * MS;
/// One way to an engine.
pub const NEAR: Micros = MS;
/// Time between two reads of the platform's list, as the daemon's default has it.
const LIST_EVERY: Micros = SEC;
/// Edits after which the first configuration has a snapshot, and changes in one of them at most.
const SNAPSHOT: usize = 8;
const CHANGES: usize = 4_000;

/// One start of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The VM's position.
    pub vm: usize,
    /// The number of the start.
    pub life: u64,
}

/// What happens later.
pub enum Later {
    Tick,
    List,
    Report(usize),
    Message(Origin, Vec<u8>),
    Event(Event),
    Done(usize, Attempt, String),
}

/// One entry VM.
#[derive(Default)]
pub struct Vm {
    /// Its node, while it is up.
    pub node: Option<Node>,
    /// The number of its start.
    pub life: u64,
    /// When it was started.
    pub started: Micros,
    /// The edition in force.
    pub edition: u64,
    /// What its node keeps, in bytes.
    pub state: i64,
}

/// The fleet and what is around it.
pub struct Fleet {
    /// Its size.
    pub size: Size,
    /// The present time.
    pub now: Micros,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// The key-value service.
    pub kv: Kv,
    /// What was measured.
    pub meter: Meter,
    /// Random numbers.
    pub rng: ChaCha8Rng,
    /// Starts that are due, by time.
    pub starts: BTreeSet<(Micros, usize)>,
    /// Whether the first region is cut off from the others and from the platform.
    pub cut: bool,
    /// Whether the last zone is lost, with its VMs and servers.
    pub lost: bool,
    /// The engines.
    pub engines: Vec<Engine>,
    later: BTreeMap<(Micros, u64), (Origin, Later)>,
    /// The number given last.
    pub last: u64,
    effects: Effects,
    tuning: Tuning,
}

impl Fleet {
    /// A fleet of which no VM is up.
    pub fn new(size: Size, seed: u64) -> Self {
        Self {
            size,
            now: SEC,
            vms: (0..size.vms).map(|_| Vm::default()).collect(),
            kv: Kv::default(),
            meter: Meter::new(size.vms),
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts: BTreeSet::new(),
            cut: false,
            lost: false,
            engines: (0..size.replicas).map(|_| Engine::default()).collect(),
            later: BTreeMap::new(),
            last: 0,
            effects: Vec::with_capacity(1 << 16),
            tuning: Tuning::default(),
        }
    }

    /// Has one VM write the configuration and a snapshot of it, and ends that VM.
    pub fn configure(&mut self) {
        self.tuning.snapshot_edits = SNAPSHOT as u64;
        self.start(0);
        self.run(SEC);
        let changes = self.size.changes();
        let parts = SNAPSHOT * changes.len().div_ceil(SNAPSHOT * CHANGES);
        for (at, part) in changes.chunks(changes.len().div_ceil(parts)).enumerate() {
            self.edit(0, part.to_vec());
            while self.vms[0].edition <= at as u64 {
                self.run(20 * MS);
            }
        }
        let last = format!("/snap/{parts}/");
        while !self.kv.pairs.keys().any(|key| key.contains(&last)) {
            self.run(20 * MS);
        }
        self.run(SEC);
        self.stop(0);
        self.kv.keep_configuration();
        self.later.clear();
        self.engines.iter_mut().for_each(|e| e.residents.clear());
        self.tuning = Tuning::default();
    }

    /// Starts all VMs within a second.
    pub fn start_all(&mut self) {
        for vm in 0..self.size.vms {
            let at = self.now + self.rng.random_range(0..SEC);
            self.starts.insert((at, vm));
        }
    }

    /// Starts a VM that is down, with nothing kept.
    fn start(&mut self, vm: usize) {
        let now = self.now;
        let (seed, first) = (self.rng.random(), self.rng.random_range(0..20 * MS));
        let row = &mut self.vms[vm];
        row.life += 1;
        let base = heap::live();
        row.node = Some(Node::new(Settings {
            vm: name(vm).parse().unwrap(),
            zone: zone(self.size, vm).parse().unwrap(),
            address: address(vm),
            incarnation: Incarnation(row.life),
            seed,
            prefix: "/d".to_owned(),
            tuning: self.tuning.clone(),
        }));
        row.state = heap::live() - base;
        (row.started, row.edition) = (now, 0);
        let origin = self.origin(vm);
        self.after(origin, 0, Later::List);
        self.after(origin, first, Later::Tick);
    }

    /// Ends a VM at once.
    pub fn stop(&mut self, vm: usize) {
        self.vms[vm].node = None;
        self.vms[vm].life += 1;
        self.kv.watches.retain(|(origin, _), _| origin.vm != vm);
    }

    /// Tells a VM to finish and stop; it comes back a while later.
    pub fn shut_down(&mut self, vm: usize) {
        self.step(vm, || Event::Shutdown { now: false });
    }

    /// A VM that is up.
    pub fn any(&mut self) -> usize {
        loop {
            let vm = self.rng.random_range(0..self.size.vms);
            if self.vms[vm].node.is_some() {
                return vm;
            }
        }
    }

    fn origin(&self, vm: usize) -> Origin {
        let life = self.vms[vm].life;
        Origin { vm, life }
    }

    /// Whether a zone is in the region that is cut off.
    pub(crate) fn apart(&self, zone: usize) -> bool {
        self.cut && self.size.region(zone) == 0
    }

    /// Cuts the first region off; what its VMs watched is silent from now on.
    pub fn cut_off(&mut self) {
        self.cut = true;
        let size = self.size;
        let whole = |vm: usize| size.region(size.zone(vm)) != 0;
        self.kv.watches.retain(|(origin, _), _| whole(origin.vm));
    }

    /// Loses the last zone.
    pub fn lose_zone(&mut self) {
        self.lost = true;
        let size = self.size;
        let last = (0..size.vms).filter(|vm| size.zone(*vm) == size.zones - 1);
        last.for_each(|vm| self.stop(vm));
    }

    pub(crate) fn after(&mut self, origin: Origin, delay: Micros, later: Later) {
        self.last += 1;
        self.later
            .insert((self.now + delay, self.last), (origin, later));
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let event = self
                .later
                .first_key_value()
                .map_or(Micros::MAX, |(key, _)| key.0);
            let start = self.starts.first().map_or(Micros::MAX, |row| row.0);
            if event.min(start) > end {
                break;
            }
            self.now = self.now.max(event.min(start));
            if start <= event {
                let due = self.starts.pop_first();
                due.into_iter().for_each(|(_, vm)| self.start(vm));
            } else if let Some((_, (origin, later))) = self.later.pop_first() {
                self.handle(origin, later);
            }
        }
        self.now = end;
    }

    pub(crate) fn handle(&mut self, to: Origin, later: Later) {
        let alive = self.vms[to.vm].node.is_some();
        match later {
            Later::Message(from, bytes) if alive => self.deliver(from, to.vm, &bytes),
            Later::Message(from, _) => {
                let down = Event::PeerDown {
                    vm: name(to.vm).parse().unwrap(),
                    refused: true,
                };
                self.after(from, NEAR, Later::Event(down));
            }
            Later::Done(engine, attempt, adapter) => self.done(to, engine, attempt, &adapter),
            _ if !alive || self.vms[to.vm].life != to.life => {}
            Later::Tick => {
                self.kv.pass_time(self.now);
                self.step(to.vm, || Event::Tick);
                self.after(to, 20 * MS, Later::Tick);
            }
            Later::List if self.apart(self.size.zone(to.vm)) => {
                self.after(to, LIST_EVERY, Later::List);
            }
            Later::List => {
                let up = (0..self.size.vms).filter(|vm| self.vms[*vm].node.is_some());
                let up: Vec<usize> = up.collect();
                let size = self.size;
                let listed = |vm: &usize| Listed {
                    vm: name(*vm).parse().unwrap(),
                    address: address(*vm),
                    zone: zone(size, *vm).parse().unwrap(),
                    leaving: false,
                };
                let bytes = up
                    .iter()
                    .map(|vm| name(*vm).len() + address(*vm).len() + 60);
                self.meter.lists += 1;
                self.meter.list_bytes += bytes.sum::<usize>() as u64;
                let vms = up.iter().map(listed);
                self.step(to.vm, || Event::List { vms: vms.collect() });
                self.after(to, LIST_EVERY, Later::List);
            }
            Later::Report(server) => self.report(to.vm, server),
            Later::Event(event) => self.step(to.vm, || event),
        }
    }

    fn deliver(&mut self, from: Origin, vm: usize, bytes: &[u8]) {
        self.meter.vms[vm].received += bytes.len() as u64;
        self.step(vm, || Event::Peer {
            from: name(from.vm).parse().unwrap(),
            incarnation: Incarnation(from.life),
            message: decode(bytes).expect("a message of ours is well-formed"),
        });
    }

    /// Gives a VM an event and carries out what it wants done.
    pub(crate) fn step(&mut self, vm: usize, make: impl FnOnce() -> Event) {
        let now = Instant(self.now);
        let mut effects = std::mem::take(&mut self.effects);
        let base = heap::live();
        let event = make();
        let kind = event_kind(&event);
        let row = &mut self.vms[vm];
        let Some(node) = row.node.as_mut() else {
            return self.effects = effects;
        };
        let room = effects.capacity();
        let began = std::time::Instant::now();
        node.step(now, event, &mut effects);
        let took = began.elapsed().as_nanos() as u64;
        let grown = (effects.capacity() - room) * size_of::<Effect>();
        row.state += heap::live() - base - grown as i64;
        self.meter.step(vm, kind, is_control(kind), took);
        for effect in &effects {
            self.act(vm, effect);
        }
        let full = heap::live();
        effects.clear();
        self.vms[vm].state -= full - heap::live();
        self.effects = effects;
    }

    fn act(&mut self, vm: usize, effect: &Effect) {
        let origin = self.origin(vm);
        match effect {
            Effect::Peer { to, message, .. } => self.send(vm, number(to.as_str()), message),
            Effect::Platform { op, call } if self.apart(self.size.zone(vm)) => {
                let (op, outcome) = (*op, Outcome::Unknown);
                let event = match call {
                    Call::Watch { .. } => Event::Watch {
                        op,
                        notice: Notice::Broken,
                    },
                    _ => Event::Platform { op, outcome },
                };
                self.after(origin, 2 * SEC, Later::Event(event));
            }
            Effect::Platform { op, call } => {
                let outcome = self.kv.call(self.now, origin, *op, call);
                if let Some(outcome) = outcome {
                    let event = Event::Platform { op: *op, outcome };
                    self.after(origin, 2 * KV_WAY, Later::Event(event));
                }
                for (to, op, notice) in std::mem::take(&mut self.kv.notices) {
                    self.notice(to, op, notice);
                }
            }
            Effect::Unwatch { op } => drop(self.kv.watches.remove(&(origin, *op))),
            Effect::Poll { server, .. } => {
                let server = number(server.as_str());
                self.after(origin, 2 * NEAR, Later::Report(server));
            }
            Effect::Order(command) => self.order(origin, command),
            Effect::Send(work) => {
                let server = number(work.server.as_str());
                let adapter = work.adapter.as_ref().map(ToString::to_string);
                self.submit(origin, server, work.attempt, adapter.unwrap_or_default());
            }
            Effect::Refuse { .. } => self.meter.refused += 1,
            Effect::Finish { .. } => self.meter.finished += 1,
            Effect::Log(record) if record.code == Code::EditionInForce => {
                let edition = record.detail.trim_start_matches("edition=ed");
                let edition = edition.parse().expect("an edition");
                let row = &mut self.vms[vm];
                let before = std::mem::replace(&mut row.edition, edition);
                let started = row.started;
                self.meter.in_force(vm, started, before, edition, self.now);
            }
            Effect::Reply { reply, .. } => match reply {
                Reply::Accepted { edition, .. } => self.meter.accepted(edition.0, self.now),
                other => panic!("an edit was not accepted: {other:?}"),
            },
            Effect::Stopped => {
                self.stop(vm);
                self.starts.insert((self.now + 5 * SEC, vm));
            }
            _ => {}
        }
    }

    fn notice(&mut self, to: Origin, op: Op, notice: Notice) {
        self.after(to, KV_WAY, Later::Event(Event::Watch { op, notice }));
    }

    fn send(&mut self, vm: usize, to: usize, message: &Message) {
        let bytes = encode(message);
        self.meter.sent(vm, message_kind(message), bytes.len());
        let zones = (self.size.zone(vm), self.size.zone(to));
        if self.apart(zones.0) != self.apart(zones.1) {
            return;
        }
        let delay = self.size.delay(zones.0, zones.1);
        let (from, to) = (self.origin(vm), self.origin(to));
        self.after(to, delay, Later::Message(from, bytes));
    }

    /// An operator's edit at a VM, on the edition in force there.
    pub fn edit(&mut self, vm: usize, changes: Vec<Change>) {
        self.last += 1;
        let edit = Edit {
            id: format!("edit-{}", self.last),
            author: "bench".to_owned(),
            base: Edition(self.vms[vm].edition),
            changes,
        };
        let ticket = Ticket(self.last);
        let command = operator::Command::Edit(edit);
        self.step(vm, || Event::Operator { ticket, command });
    }

    /// Domains that a VM holds, by the lease keys.
    pub fn held(&self) -> usize {
        let keys = self.kv.pairs.keys();
        keys.filter(|key| key.starts_with("/d/lease/")).count()
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn address(vm: usize) -> String {
    format!("10.0.{}.{}:7000", vm / 250, vm % 250)
}

fn zone(size: Size, vm: usize) -> String {
    format!("zone-{}", size.zone(vm))
}

/// The number at the end of a name.
pub fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next();
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("a name with a number")
}
