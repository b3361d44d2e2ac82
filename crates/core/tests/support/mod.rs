//! Many nodes in one process under virtual time, with small fakes at every interface.
//!
//! A [`Fleet`] owns the nodes, the fakes and one heap of things to come. Nothing reads a wall clock and all chance
//! comes from one seed, so that a run can be repeated. What the fakes saw is kept by the fakes: tests assert over
//! [`Fleet::asks`] and [`Fleet::violations`], never over a node's opinion of itself.
#![allow(dead_code, unreachable_pub, clippy::pedantic)]

pub mod callers;
pub mod engine;
pub mod kv;
pub mod net;
pub mod orders;
pub mod plain;
pub mod serve;
pub mod setup;
pub mod vm;

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use dahliastile_core::effect::Effect;
use dahliastile_core::event::{Event, Listed};
use dahliastile_core::id::{Attempt, Incarnation, Request, Ticket};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::metric::Sample;
use dahliastile_core::operator::{Command, Reply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Virtual time, in microseconds since the start of the run.
pub type Micros = u64;
/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;

/// Something that happens at a point of virtual time.
type Action = Box<dyn FnOnce(&mut Fleet)>;

struct Due {
    at: Micros,
    seq: u64,
    action: Action,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// One start of an entry VM: where answers to it go. They are lost where that start is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The VM's position in [`Fleet::vms`].
    pub vm: usize,
    /// Its start.
    pub incarnation: Incarnation,
}

/// Nodes, fakes and the virtual time that drives them.
pub struct Fleet {
    /// The present time.
    pub now: Micros,
    /// All chance.
    pub rng: ChaCha8Rng,
    /// The entry VMs.
    pub vms: Vec<vm::Vm>,
    /// The key-value service.
    pub kv: kv::Kv,
    /// The network.
    pub net: net::Net,
    /// Model engines.
    pub engines: Vec<engine::Engine>,
    /// Servers of plain services.
    pub plains: Vec<plain::Plain>,
    /// Weight stores by name.
    pub stores: BTreeMap<String, engine::Store>,
    /// What callers asked and got.
    pub asks: Vec<callers::Ask>,
    /// Promises that were broken, as the fakes saw it.
    pub violations: Vec<String>,
    /// Answers to operators.
    pub replies: BTreeMap<Ticket, Reply>,
    /// Log events with their time and VM.
    pub logs: Vec<(Micros, usize, Record)>,
    /// Figures with their time and VM.
    pub samples: Vec<(Micros, usize, Sample)>,
    /// Whether figures are kept.
    pub keep_samples: bool,
    /// Whether every node is verified after every step.
    pub verify: bool,
    /// The list of VMs as the platform shows it.
    pub list: Vec<Listed>,
    /// How far that list is behind.
    pub list_lag: Micros,
    /// Time between two looks at the list.
    pub list_every: Micros,
    servers: BTreeMap<String, usize>,
    requests: BTreeMap<(Origin, Request), usize>,
    key_runs: BTreeMap<(String, String), usize>,
    /// Answers of which a piece was lost: a connection carries nothing after a hole.
    holed: BTreeSet<(Origin, Attempt)>,
    heap: BinaryHeap<Reverse<Due>>,
    seq: u64,
    last_ticket: u64,
}

impl Fleet {
    /// An empty fleet.
    pub fn new(seed: u64) -> Self {
        Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            vms: Vec::new(),
            kv: kv::Kv::default(),
            net: net::Net::default(),
            engines: Vec::new(),
            plains: Vec::new(),
            stores: BTreeMap::new(),
            asks: Vec::new(),
            violations: Vec::new(),
            replies: BTreeMap::new(),
            logs: Vec::new(),
            samples: Vec::new(),
            keep_samples: false,
            verify: true,
            list: Vec::new(),
            list_lag: SEC,
            list_every: SEC,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            key_runs: BTreeMap::new(),
            holed: BTreeSet::new(),
            heap: BinaryHeap::new(),
            seq: 0,
            last_ticket: 0,
        }
    }

    /// Does something after a while.
    pub fn after(&mut self, delay: Micros, action: impl FnOnce(&mut Self) + 'static) {
        self.seq += 1;
        self.heap.push(Reverse(Due {
            at: self.now + delay,
            seq: self.seq,
            action: Box::new(action),
        }));
    }

    /// Runs up to and including a point of time.
    pub fn run_until(&mut self, time: Micros) {
        while self.heap.peek().is_some_and(|Reverse(due)| due.at <= time) {
            self.run_one();
        }
        self.now = self.now.max(time);
    }

    /// Runs for a while.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Runs while a condition holds, for `limit` at most. Says whether the condition ended.
    pub fn run_while(&mut self, condition: impl Fn(&Self) -> bool, limit: Micros) -> bool {
        let end = self.now + limit;
        while condition(self) {
            match self.heap.peek() {
                Some(Reverse(due)) if due.at <= end => self.run_one(),
                _ => return false,
            }
        }
        true
    }

    /// Panics where the fakes saw a promise broken.
    pub fn check(&self) {
        assert!(
            self.violations.is_empty(),
            "{}",
            self.violations[..self.violations.len().min(20)].join("\n")
        );
    }

    /// Gives a VM an operator's command. The answer comes to [`Fleet::replies`].
    pub fn command(&mut self, vm: usize, command: Command) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.step(vm, Event::Operator { ticket, command });
        ticket
    }

    /// Gives a VM an operator's command and runs until it is answered.
    pub fn answer(&mut self, vm: usize, command: Command, limit: Micros) -> Option<Reply> {
        let ticket = self.command(vm, command);
        self.run_while(|fleet| !fleet.replies.contains_key(&ticket), limit);
        self.replies.get(&ticket).cloned()
    }

    /// How many log events of a kind there were.
    pub fn logged(&self, code: Code) -> usize {
        self.logs
            .iter()
            .filter(|(_, _, record)| record.code == code)
            .count()
    }

    /// Notes a broken promise.
    pub(crate) fn violate(&mut self, text: impl Into<String>) {
        let text = format!("{}us: {}", self.now, text.into());
        self.violations.push(text);
    }

    /// Hands an event to one start of a VM after a while.
    pub(crate) fn tell(&mut self, to: Origin, delay: Micros, event: Event) {
        self.after(delay, move |fleet| {
            if fleet.vms[to.vm].incarnation == to.incarnation {
                fleet.step(to.vm, event);
            }
        });
    }

    /// Carries out what a node wants done.
    pub(crate) fn act(&mut self, vm: usize, effect: Effect) {
        let origin = self.vms[vm].origin(vm);
        match effect {
            Effect::Send(work) => self.send(origin, work),
            Effect::Cancel { attempt } => self.cancel(origin, attempt),
            Effect::Begin { request, head } => self.caller_begin(origin, request, head),
            Effect::Stream { request, data } => self.caller_data(origin, request, &data),
            Effect::Finish { request } => {
                self.caller_end(origin, request, callers::Ending::Finished)
            }
            Effect::Refuse { request, answer } => {
                self.caller_end(origin, request, callers::Ending::Refused(answer));
            }
            Effect::Replay {
                request,
                head,
                data,
            } => {
                self.caller_end(origin, request, callers::Ending::Replayed(head, data));
            }
            Effect::Peer {
                to,
                address,
                message,
            } => self.message(origin, &to, &address, message),
            Effect::Platform { op, call } => self.platform(origin, op, call),
            Effect::Unwatch { op } => self.kv.unwatch(origin, op),
            Effect::Poll { server, address } => self.poll(origin, server, &address),
            Effect::Order(command) => self.order(origin, command),
            Effect::Log(record) => {
                if record.code == Code::Broken {
                    self.violate(format!("vm {vm} logs {}", record.detail));
                }
                self.logs.push((self.now, vm, record));
            }
            Effect::Metric(sample) if self.keep_samples => {
                self.samples.push((self.now, vm, sample))
            }
            Effect::Metric(_) => {}
            Effect::Reply { ticket, reply } => {
                self.replies.insert(ticket, reply);
            }
            Effect::Stopped => self.stopped(vm),
        }
    }

    fn run_one(&mut self) {
        if let Some(Reverse(due)) = self.heap.pop() {
            self.now = due.at;
            (due.action)(self);
        }
    }
}
