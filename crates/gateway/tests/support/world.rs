//! The fleet and its clock.

mod act;
mod fall;
mod notice;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Tenant};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey, EntryValue};
use dahliastile_gateway::config::Config;
use dahliastile_gateway::effect::{Attempt, KvOperation, Order, RefusalReason};
use dahliastile_gateway::event::{CallerRequest, Event};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::message::Message;
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::settings::Tuning;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use fall::Crashing;
pub use notice::{Arrival, Notices};

use super::engine::Engine;
use super::setup::{self, ENGINES, MODEL, PLAIN, name};
use super::store::Store;

/// The pause between two requests of a quiet night.
const QUIET_PAUSE: Span = Span::from_millis(40);
/// The pause between two requests of a busy one.
const BUSY_PAUSE: Span = Span::from_millis(20);
/// How long after a version was named no request may begin on an older one.
const IN_FORCE: Span = Span::from_secs(5);
/// One way between two zones.
const WAY: Span = Span::from_millis(1);
/// One way to the key-value service and back, half each.
const STORE_WAY: Span = Span::from_millis(2);
/// The work of a plain service.
const PLAIN_WORK: Span = Span::from_millis(60);
/// How long a call waits for an answer that does not come.
const SILENT_CALL: Span = Span::from_millis(700);
/// How long a process is down before it is started again.
const RESTART: Span = Span::from_millis(400);

/// How a request came out for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A whole answer, and when its first piece came.
    Served(Instant),
    /// A server's own failure.
    Failure,
    /// A refusal, and when to come back.
    Refused(RefusalReason, Option<Span>),
    /// Broken off.
    Cut,
    /// The VM died.
    Lost,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// What it asked.
    pub request: CallerRequest,
    /// The VM.
    pub vm: usize,
    /// When.
    pub at: Instant,
    /// When its answer was final.
    pub ended: Option<(Instant, Answer)>,
    /// The servers that ran it, with the times.
    pub runs: Vec<(Instant, Server)>,
    /// Arrivals at servers.
    pub arrivals: u32,
    /// The client accounts that the servers that ran it were told.
    pub accounts: Vec<Option<Tenant>>,
    /// The ranks that it had there, 0 first.
    pub priorities: Vec<u8>,
    /// The newest version named when it ran, and the one it ran on.
    pub versions: Vec<(u64, u64)>,
}

/// A VM.
// Its faults are set one by one.
#[allow(clippy::struct_excessive_bools)]
pub struct SimulatedVm {
    /// Its gateway, while it runs.
    pub gateway: Option<Gateway>,
    /// The number of its start.
    pub start: u64,
    /// Until when it stands still, and what came meanwhile.
    pub frozen: Option<Instant>,
    /// What came while it stood still.
    backlog: Vec<Event>,
    /// Whether it reaches the key-value service.
    pub store_reachable: bool,
    /// How much it can do for others.
    pub strength: u32,
    /// Whether the key-value service leaves its calls without an answer.
    pub store_silent: bool,
    /// How much longer the key-value service's answers take to it that say that it holds the leadership.
    pub store_delay: Span,
    /// Whether it reaches other VMs.
    pub peers_reachable: bool,
    /// VMs of different sides don't reach each other.
    pub partition: u8,
    /// Whether it reaches other VMs and servers.
    pub network_up: bool,
    /// The wake-up that is set.
    wake: Instant,
    /// What its processor takes for an event and for a run of a scheduler.
    pub cpu_cost: (Span, Span),
    /// Until when its processor is taken, and the events that wait for it.
    taken: Instant,
    queue: std::collections::VecDeque<Event>,
}

enum Act {
    Event(usize, u64, Event),
    Wake(usize, u64),
    Store(usize, u64, u64, KvOperation),
    Order(usize, u64, u64, Server, Order, bool),
    Report(usize, u64, Server),
    Peer(usize, usize, Message),
    Arrive(usize, u64, u64, Attempt),
    Head(notice::Head),
    Restart(usize),
    Expire,
    Thaw(usize),
    Free(usize, u64),
    Answer(u64, Server, Event),
    Fall(Server, Fingerprint),
    Unlist(Server),
    Succeed(String, bool, Arc<Backend>),
}

/// The strength of a VM of the smaller deployments.
const USUAL: u32 = 25;

/// The fleet.
pub struct World {
    /// The time.
    pub now: Instant,
    /// The VMs.
    pub vms: Vec<SimulatedVm>,
    /// The servers.
    pub servers: BTreeMap<Server, (Engine, Arc<Backend>)>,
    /// The key-value service.
    pub store: Store,
    /// Whether it answers.
    pub store_up: bool,
    /// The share of orders that get no answer and are carried out seconds later.
    pub delayed_order_share: f64,
    /// The newest versions named.
    pub versions: BTreeMap<Arc<str>, u64>,
    /// All versions named, with the time of each.
    pub names: Vec<(Instant, Arc<str>, u64)>,
    /// Requests that crash the servers that run them.
    pub crashing: Crashing,
    /// What servers say of themselves in their answers.
    pub notices: Notices,
    /// The requests at servers, by number.
    running: BTreeMap<u64, fall::Run>,
    /// How many servers have ended under requests.
    fallen: u64,
    /// Connections that VMs made to see whether a server takes any.
    pub probes: u64,
    /// The requests, by number.
    pub requests: BTreeMap<u64, RequestRecord>,
    /// The log lines.
    pub log_lines: Vec<String>,
    /// Messages that VMs sent to each other.
    pub messages: u64,
    /// The same by kind.
    pub messages_by_kind: BTreeMap<&'static str, u64>,
    /// Calls of the key-value service that VMs made, whether or not it answers.
    pub tried: u64,
    tuning: Tuning,
    without: DisabledFeatures,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    acts: BTreeMap<u64, Act>,
    seq: u64,
    /// Random numbers of the world.
    pub rng: ChaCha8Rng,
}

impl World {
    /// A fleet of VMs, engines and plain servers that has just started.
    pub fn new(vms: usize, engines: usize, plain: usize) -> Self {
        Self::with_tuning(vms, engines, plain, Tuning::default())
    }

    /// The same with other figures.
    pub fn with_tuning(vms: usize, engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::with_strengths(&vec![USUAL; vms], engines, plain, tuning)
    }

    /// The same without some features.
    pub fn without_features(
        vms: usize,
        engines: usize,
        plain: usize,
        tuning: Tuning,
        without: DisabledFeatures,
    ) -> Self {
        Self::build(&vec![USUAL; vms], engines, plain, tuning, without)
    }

    /// The same with VMs of different strength.
    pub fn with_strengths(strengths: &[u32], engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::build(
            strengths,
            engines,
            plain,
            tuning,
            DisabledFeatures::default(),
        )
    }

    /// The same before the operator wrote a configuration.
    pub fn unconfigured(strengths: &[u32], engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::started(
            strengths,
            engines,
            plain,
            tuning,
            DisabledFeatures::default(),
            None,
        )
    }

    fn build(
        strengths: &[u32],
        engines: usize,
        plain: usize,
        tuning: Tuning,
        without: DisabledFeatures,
    ) -> Self {
        let config = Some(setup::config(1));
        Self::started(strengths, engines, plain, tuning, without, config)
    }

    fn started(
        strengths: &[u32],
        engines: usize,
        plain: usize,
        tuning: Tuning,
        without: DisabledFeatures,
        config: Option<Config>,
    ) -> Self {
        let mut world = Self {
            now: Instant(1_000_000),
            vms: Vec::new(),
            servers: BTreeMap::new(),
            store: Store::default(),
            store_up: true,
            delayed_order_share: 0.0,
            versions: BTreeMap::new(),
            names: Vec::new(),
            crashing: Crashing::default(),
            notices: Notices::default(),
            running: BTreeMap::new(),
            fallen: 0,
            probes: 0,
            requests: BTreeMap::new(),
            log_lines: Vec::new(),
            messages: 0,
            messages_by_kind: BTreeMap::new(),
            tried: 0,
            tuning,
            without,
            queue: BinaryHeap::new(),
            acts: BTreeMap::new(),
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(11),
        };
        if let Some(config) = config {
            world.configure(config);
        }
        for number in 0..engines {
            world.add_server(&format!("e{number}"), number, true);
        }
        for number in 0..plain {
            world.add_server(&format!("p{number}"), number, false);
        }
        for (number, strength) in strengths.iter().enumerate() {
            world.vms.push(SimulatedVm {
                strength: *strength,
                gateway: None,
                start: 0,
                frozen: None,
                backlog: Vec::new(),
                store_reachable: true,
                store_silent: false,
                peers_reachable: true,
                partition: 0,
                store_delay: Span::ZERO,
                network_up: true,
                wake: Instant::NEVER,
                cpu_cost: (Span::ZERO, Span::ZERO),
                taken: Instant::default(),
                queue: std::collections::VecDeque::new(),
            });
            world.start(number);
        }
        world.at(world.now, Act::Expire);
        world
    }

    /// The operator writes a configuration.
    pub fn configure(&mut self, config: Config) {
        self.store
            .put(EntryKey::Config, EntryValue::Config(Arc::new(config)), 0);
        self.wake_watchers();
    }

    /// The operator names a version of an adapter.
    pub fn publish_version(&mut self, adapter: &str, version: u64) {
        let adapter: Arc<str> = adapter.into();
        self.versions.insert(adapter.clone(), version);
        self.names.push((self.now, adapter.clone(), version));
        let subject = EntryKey::Version(MODEL.into(), adapter);
        self.store.put(subject, EntryValue::Version(version), 0);
        self.wake_watchers();
    }

    /// The version of an adapter that a request must have at least when it begins now.
    pub(super) fn version_in_force(&self, adapter: &Arc<str>) -> u64 {
        let named = self.names.iter();
        let due = named.filter(|(at, name, _)| name == adapter && *at + IN_FORCE <= self.now);
        due.map(|(_, _, version)| *version).max().unwrap_or(0)
    }

    /// A server registers.
    pub fn add_server(&mut self, id: &str, number: usize, engine: bool) {
        let made = Engine::new(id, engine, setup::engine_config().places);
        let backend = Backend {
            service: name(if engine { ENGINES } else { PLAIN }),
            address: setup::address(if engine { 2 } else { 3 }, number),
            zone: setup::zone(number),
            slots: if engine { 64 } else { 6 },
            ready: true,
            bases: made
                .report(self.now)
                .models
                .into_iter()
                .map(|base| base.model)
                .collect(),
            start: Some(made.start),
        };
        self.register(made, backend);
    }

    fn register(&mut self, made: Engine, backend: Backend) {
        let (id, backend) = (made.id.clone(), Arc::new(backend));
        self.servers.insert(id.clone(), (made, backend.clone()));
        self.write_entry(EntryKey::Server(id), EntryValue::Server(backend));
    }

    /// A server says that it is leaving.
    pub fn drain(&mut self, id: &str) {
        let id: Server = name(id);
        let (_, backend) = self.servers.get_mut(&id).expect("a server");
        let mut leaving = (**backend).clone();
        leaving.ready = false;
        *backend = Arc::new(leaving);
        let fact = EntryValue::Server(backend.clone());
        self.store.put(EntryKey::Server(id), fact, 0);
        self.wake_watchers();
    }

    /// A server ends without a word; its entry goes after a while.
    pub fn crash_server(&mut self, id: &str) {
        let id: Server = name(id);
        self.servers.get_mut(&id).expect("a server").0.up = false;
    }

    /// A server starts again under the id that it had, and loads its base model on the way.
    pub fn restart_server(&mut self, id: &str, start: u64) {
        let id: Server = name(id);
        let (engine, backend) = self.servers.get_mut(&id).expect("a server");
        engine.restart(self.now, Incarnation(start));
        let mut anew = (**backend).clone();
        anew.start = Some(Incarnation(start));
        *backend = Arc::new(anew);
        let fact = EntryValue::Server(backend.clone());
        self.store.put(EntryKey::Server(id), fact, 0);
        self.wake_watchers();
    }

    /// Another program writes an entry, or a late write is carried out.
    pub fn write_entry(&mut self, subject: EntryKey, fact: EntryValue) {
        self.store.put(subject, fact, 0);
        self.wake_watchers();
    }

    /// A server rewrites its entry as it is.
    pub fn rewrite_server_entry(&mut self, id: &str) {
        let id: Server = name(id);
        let fact = EntryValue::Server(self.servers[&id].1.clone());
        self.write_entry(EntryKey::Server(id), fact);
    }

    /// A server's entry goes.
    pub fn remove_server_entry(&mut self, id: &str) {
        self.store.remove(&EntryKey::Server(name(id)));
        self.wake_watchers();
    }

    /// The VM that holds the leadership of the engines, by the key-value service.
    pub fn holder(&self) -> Option<usize> {
        let change = self.store.get(&EntryKey::Holder(name(ENGINES)))?;
        match change.value.as_ref()? {
            EntryValue::Holder(holder) => holder.vm.as_str().strip_prefix("vm")?.parse().ok(),
            _ => None,
        }
    }

    /// Kills a VM's process; it starts again after a while, unless it is gone for good.
    pub fn kill(&mut self, vm: usize, for_good: bool) {
        self.vms[vm].gateway = None;
        for asked in self
            .requests
            .values_mut()
            .filter(|a| a.vm == vm && a.ended.is_none())
        {
            asked.ended = Some((self.now, Answer::Lost));
        }
        if !for_good {
            self.at(self.now + RESTART, Act::Restart(vm));
        }
    }

    /// Stops a VM in order.
    pub fn stop(&mut self, vm: usize) {
        self.deliver(vm, Event::Stop);
    }

    /// The key-value service turns a VM away and takes away what it wrote.
    pub fn revoke(&mut self, vm: usize) {
        self.vms[vm].store_reachable = false;
        self.store
            .remove(&EntryKey::Member(name(&format!("vm{vm}"))));
        if self.holder() == Some(vm) {
            self.store.remove(&EntryKey::Holder(name(ENGINES)));
        }
        self.wake_watchers();
    }

    /// Has a VM stand still for a while.
    pub fn freeze(&mut self, vm: usize, span: Span) {
        let until = self.now + span;
        self.vms[vm].frozen = Some(until);
        self.at(until, Act::Thaw(vm));
    }

    /// Sends a request to a VM and gives its number.
    pub fn send_request(&mut self, vm: usize, call: CallerRequest) -> u64 {
        self.seq += 1;
        let number = self.seq;
        self.requests.insert(
            number,
            RequestRecord {
                request: call.clone(),
                vm,
                at: self.now,
                ended: None,
                runs: Vec::new(),
                accounts: Vec::new(),
                priorities: Vec::new(),
                arrivals: 0,
                versions: Vec::new(),
            },
        );
        if self.vms[vm].gateway.is_none() {
            self.requests.get_mut(&number).expect("just put").ended =
                Some((self.now, Answer::Lost));
        }
        self.deliver(vm, Event::RequestArrived(number, Box::new(call)));
        number
    }

    /// Sends requests at a steady pace, each to the next VM in turn where that one runs, and gives their numbers.
    pub fn send_requests(
        &mut self,
        count: usize,
        pause: Span,
        call: impl Fn(usize) -> CallerRequest,
    ) -> Vec<u64> {
        let mut numbers = Vec::new();
        for at in 0..count {
            let vm = at % self.vms.len();
            if self.vms[vm].gateway.is_some() {
                numbers.push(self.send_request(vm, call(at)));
            }
            self.run(pause);
        }
        numbers
    }

    /// The load of a quiet night for the span: a request every 40 ms for one of twelve adapters in turn, at the VMs that run;
    /// their numbers.
    pub fn send_light_load(&mut self, span: Span) -> Vec<u64> {
        let count = usize::try_from(span.0 / QUIET_PAUSE.0).expect("small");
        let call = |at| setup::adapter_request(&format!("r{at}"), &format!("a{}", at * 5 % 12));
        self.send_requests(count, QUIET_PAUSE, call)
    }

    /// A fleet of 12 engines and 4 plain servers after some seconds of a busy night.
    pub fn under_load(vms: usize) -> Self {
        let mut world = Self::new(vms, 12, 4);
        world.run(Span::from_secs(2));
        world.send_heavy_load(Span::from_secs(2));
        world
    }

    /// The load of a busy night for the span: each 20 ms a request for one of sixty adapters in turn, and each fourth time one to a
    /// plain service; their numbers.
    pub fn send_heavy_load(&mut self, span: Span) -> Vec<u64> {
        let count = usize::try_from(span.0 / BUSY_PAUSE.0).expect("small");
        self.send_requests(count, BUSY_PAUSE, setup::mixed_request)
    }

    /// How long each of these requests was held that was refused.
    pub fn refusal_delays(&self, numbers: &[u64]) -> Vec<Span> {
        let held = |number: &u64| {
            let asked = &self.requests[number];
            match &asked.ended {
                Some((at, Answer::Refused(..))) => Some(at.since(asked.at)),
                _ => None,
            }
        };
        numbers.iter().filter_map(held).collect()
    }

    /// The longest time that one of these requests was held that was refused.
    pub fn longest_refusal_delay(&self, numbers: &[u64]) -> Span {
        let held = self.refusal_delays(numbers);
        held.into_iter().max().unwrap_or_default()
    }

    /// The caller of a request leaves.
    pub fn disconnect_caller(&mut self, number: u64) {
        let vm = self.requests[&number].vm;
        self.deliver(vm, Event::CallerLeft(number));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(act) = self.acts.remove(&key) {
                self.act(act);
            }
        }
        self.now = end;
    }

    /// The answer to a request, if it is final.
    pub fn answer(&self, number: u64) -> Option<&Answer> {
        self.requests[&number]
            .ended
            .as_ref()
            .map(|(_, answer)| answer)
    }

    /// How many requests were served.
    pub fn total_served(&self) -> usize {
        self.requests
            .values()
            .filter(|a| matches!(a.ended, Some((_, Answer::Served(_)))))
            .count()
    }

    /// How many of these requests were served.
    pub fn count_served(&self, numbers: &[u64]) -> usize {
        let served = |n: &&u64| matches!(self.answer(**n), Some(Answer::Served(_)));
        numbers.iter().filter(served).count()
    }

    /// That so many in a hundred of these requests were served.
    pub fn check_served(&self, numbers: &[u64], percent: usize) {
        let (good, all) = (self.count_served(numbers), numbers.len());
        assert!(good * 100 >= all * percent, "{good} of {all}");
    }

    /// The time to the first piece of a request, where it was served.
    pub fn time_to_first_chunk(&self, number: u64) -> Option<Span> {
        let asked = &self.requests[&number];
        match &asked.ended {
            Some((_, Answer::Served(begun))) => Some(begun.since(asked.at)),
            _ => None,
        }
    }

    /// All that must always hold, over what the fakes recorded.
    pub fn check_invariants(&self) {
        for (number, asked) in &self.requests {
            let idempotent = asked.request.path.starts_with("/query/")
                || asked.request.path.starts_with("/berth/");
            assert!(
                idempotent || asked.runs.len() <= 1,
                "request {number} ran {} times",
                asked.runs.len()
            );
            let ended = asked.ended.as_ref().map(|(_, answer)| answer);
            if let Some(Answer::Refused(reason, _)) = ended
                && !matches!(reason, RefusalReason::Failed | RefusalReason::TimedOut)
            {
                assert!(
                    asked.runs.is_empty(),
                    "request {number} was refused as not run, and ran"
                );
            }
            for (newest, ran) in &asked.versions {
                assert!(
                    ran >= newest,
                    "request {number} ran on version {ran} of {newest}"
                );
            }
        }
        for (engine, _) in self.servers.values() {
            assert_eq!(engine.crash, None, "{} crashed", engine.id);
            let falls = engine.accepted_fences.windows(2).any(|w| w[1].1 < w[0].1);
            assert!(!falls, "{} took orders under a lower number", engine.id);
        }
        for host in &self.vms {
            if let Some(gateway) = &host.gateway {
                assert_eq!(gateway.verify(), Vec::<String>::new());
            }
        }
    }
}
