//! The simulated fleet, its virtual clock and its faults, and the invariants that must always hold.

mod actions;
mod brittle;
mod build;
mod crash;
mod notice;
mod path;
mod restore;
mod shutdown;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Tenant};
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey, EntryValue, KnownBuild};
use dahliastile_gateway::config::Config;
use dahliastile_gateway::effect::{Attempt, KvOperation, Order, RefusalReason};
use dahliastile_gateway::event::{CallerRequest, Event};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::message::Message;
use dahliastile_gateway::settings::Tuning;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use build::Streams;
pub use crash::{CrashRecords, PartArrival};
pub use notice::{Arrival, Notices};
pub use path::ServerPath;
pub use shutdown::End;

use super::engine::Engine;
use super::setup::{self, ENGINES, MODEL, PLAIN, name};
use super::store::Store;

/// Time between two requests of a light load.
const LIGHT_LOAD_INTERVAL: Span = Span::from_millis(40);
/// Time between two requests of a heavy load.
const HEAVY_LOAD_INTERVAL: Span = Span::from_millis(20);
/// Time after the publication of an adapter version from which on no request may run on an older one.
const VERSION_DEADLINE: Span = Span::from_secs(5);
/// One-way network latency between VMs, and between a VM and a server.
const LATENCY: Span = Span::from_millis(1);
/// One-way network latency between a VM and the key-value service.
const KV_LATENCY: Span = Span::from_millis(2);
/// Time that a server of a plain service takes for a request.
const PLAIN_SERVICE_TIME: Span = Span::from_millis(60);
/// Time after which a call of the key-value service that is left without an answer fails at its caller.
const KV_CALL_TIMEOUT: Span = Span::from_millis(700);
/// Time from the end of a VM's process to its restart.
const RESTART_DELAY: Span = Span::from_millis(400);

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The server's answer started at this time, and did not break off.
    Served(Instant),
    /// The server's own failure was forwarded.
    Failure,
    /// The VM refused the request for this reason. The caller may retry after the span.
    Refused(RefusalReason, Option<Span>),
    /// The answer broke off after its start.
    Cut,
    /// The VM's process did not run when the request came, or ended before an answer started.
    Lost,
}

/// A caller's request, and what the fakes recorded about it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request itself.
    pub request: CallerRequest,
    /// The VM that the caller sent the request to.
    pub vm: usize,
    /// When the caller sent it.
    pub at: Instant,
    /// The answer, and when it started or became final.
    pub ended: Option<(Instant, Answer)>,
    /// When servers accepted the request, and which.
    pub runs: Vec<(Instant, Server)>,
    /// Number of attempts that were sent to a server.
    pub arrivals: u32,
    /// The servers that these reached, in order.
    pub reached: Vec<Server>,
    /// The client account that each of `runs` was attributed to.
    pub accounts: Vec<Option<Tenant>>,
    /// The priority of each of `runs`, 0 being the highest.
    pub priorities: Vec<u8>,
    /// For each run on an adapter: the lowest version allowed at that time, and the version that it ran on.
    pub versions: Vec<(u64, u64)>,
}

/// A VM and its faults.
// Tests set each fault on its own.
#[allow(clippy::struct_excessive_bools)]
pub struct SimulatedVm {
    /// The gateway, while the VM's process runs.
    pub gateway: Option<Gateway>,
    /// Number of starts of the process. Events for an earlier start are dropped.
    pub incarnation: u64,
    /// Until when the VM is frozen; `None` if it is not.
    pub frozen: Option<Instant>,
    /// Events that came while the VM was frozen.
    backlog: Vec<Event>,
    /// Whether the VM reaches the key-value service.
    pub store_reachable: bool,
    /// Strength that the VM is configured with: its capacity to do work for other VMs.
    pub strength: u32,
    /// Whether the key-value service leaves the VM's calls without an answer.
    pub store_silent: bool,
    /// Additional delay of the key-value service's answers to this VM's writes, and of changes of a
    /// leadership.
    pub store_delay: Span,
    /// Whether the VM reaches other VMs.
    pub peers_reachable: bool,
    /// Side of a network partition. VMs on different sides don't reach each other.
    pub partition: u8,
    /// Whether the VM reaches other VMs and servers.
    pub network_up: bool,
    /// The VM's path to all servers.
    pub server_path: ServerPath,
    /// The servers to which the VM keeps a connection, each with the time of its last use.
    kept_connections: BTreeMap<Server, Instant>,
    /// When the next scheduled wake-up of the gateway is due.
    wake_at: Instant,
    /// Processor time that an event takes, and that a scheduler run takes in addition.
    pub cpu_cost: (Span, Span),
    /// Until when the processor is busy.
    busy_until: Instant,
    /// Events that wait for the processor.
    pending_events: std::collections::VecDeque<Event>,
}

/// An action that the simulation performs at a set time. A variant that begins with a `usize` and a `u64`
/// belongs to the VM with this number and incarnation.
enum Action {
    /// Delivers an event to the VM.
    Deliver(usize, u64, Event),
    /// Wakes the gateway up.
    WakeUp(usize, u64),
    /// A call of the VM, with its number, reaches the key-value service.
    KvCall(usize, u64, u64, KvOperation),
    /// An order of the VM, with its number, reaches a server. The server sends no answer if the flag is set.
    ExecuteOrder(usize, u64, u64, Server, Order, bool),
    /// A report query of the VM reaches a server.
    QueryReport(usize, u64, Server),
    /// A message from the first VM reaches the second one.
    DeliverMessage(usize, usize, Message),
    /// An attempt of the request with this number reaches a server.
    DeliverAttempt(usize, u64, u64, Attempt),
    /// The task of the request with this number reads that its attempt is to be cancelled.
    CancelAttempt(u64),
    /// The head of a server's answer reaches its VM.
    DeliverHead(notice::Head),
    /// Restarts the process of the VM.
    RestartVm(usize),
    /// Looks whether the VM's process, which was told to stop at this time, can end.
    EndStopped(usize, u64, Instant),
    /// Expires leases, and does so again 50 ms later.
    ExpireLeases,
    /// Ends the freeze of the VM.
    Unfreeze(usize),
    /// Lets the VM handle the next event that waits for its processor.
    ResumeQueue(usize, u64),
    /// Delivers an event of the request with this number, which a server runs.
    DeliverFromServer(u64, Server, Event),
    /// Crashes a server for this cause.
    CrashServer(Server, crash::CrashCause),
    /// Removes the entry of a crashed server.
    RemoveServerEntry(Server),
    /// Adds a server with this ID, an engine if the flag is set, in place of the one with this entry.
    ReplaceServer(String, bool, Arc<Backend>),
}

/// Strength of a VM in the smaller deployments.
const DEFAULT_STRENGTH: u32 = 25;

/// A simulated fleet in virtual time.
pub struct World {
    /// The virtual time.
    pub now: Instant,
    /// The VMs.
    pub vms: Vec<SimulatedVm>,
    /// The servers, each with its entry in the key-value service.
    pub servers: BTreeMap<Server, (Engine, Arc<Backend>)>,
    /// The key-value service.
    pub store: Store,
    /// Whether the key-value service answers any VM.
    pub store_up: bool,
    /// The configuration that the operator wrote last.
    pub operator_config: Option<Arc<Config>>,
    /// Share of orders that get no answer and are executed 2 s to 12 s later.
    pub delayed_order_share: f64,
    /// The newest published version of each adapter.
    pub versions: BTreeMap<Arc<str>, u64>,
    /// All published versions, with the time of each.
    pub published_versions: Vec<(Instant, Arc<str>, u64)>,
    /// Requests that crash the servers that run them.
    pub crashing: CrashRecords,
    /// What callers hold of their streams.
    pub streams: Streams,
    /// The notices that servers attach to their answers.
    pub notices: Notices,
    /// The requests that servers run, by number.
    running: BTreeMap<u64, crash::RunningRequest>,
    /// Number of servers that have crashed and are replaced. Makes the replacements' IDs unique.
    replacements: u64,
    /// Number of probes: connections that VMs opened to see whether a server accepts any.
    pub probes: u64,
    /// All requests of callers, by number.
    pub requests: BTreeMap<u64, RequestRecord>,
    /// The log lines of all VMs.
    pub log_lines: Vec<String>,
    /// Number of messages that VMs sent to each other.
    pub messages: u64,
    /// Number of these messages by kind.
    pub messages_by_kind: BTreeMap<&'static str, u64>,
    /// The sums of the metrics' values by metric and label.
    pub figures: BTreeMap<(Figure, String), f64>,
    /// VMs that were sent origins of streams.
    pub origin_receivers: BTreeSet<usize>,
    /// Kinds of messages between VMs that are lost.
    pub lost_kinds: BTreeSet<&'static str>,
    /// Time after which the task of a request reads that its attempt is to be cancelled.
    pub cancel_delay: Span,
    /// Attempts that VMs cancelled: when, of which request, and at which server.
    pub cancelled: Vec<(Instant, u64, Server)>,
    /// The servers that are brittle.
    brittle: BTreeMap<Server, brittle::Brittle>,
    /// Number of servers that have fallen over as they had to reject too many requests.
    pub falls: usize,
    /// Number of attempts that were sent over another VM.
    pub relayed: u64,
    /// Attempts that other VMs were asked to carry and have not decided on, by the numbers that these know them by: the VM
    /// that asked and its incarnation, the request, and the attempt.
    asked_relays: BTreeMap<u64, ((usize, u64), u64, Attempt)>,
    /// Requests whose attempt another VM carries: that VM, its incarnation, and its number of the attempt.
    carried_by: BTreeMap<u64, (usize, u64, u64)>,
    /// Number of attempts that reached a server while another server ran the same request.
    pub concurrent_runs: u32,
    /// Number of calls of the key-value service that VMs made, whether or not it answered.
    pub kv_calls: u64,
    /// The VMs whose process ended after a graceful stop.
    pub ends: Vec<(usize, End)>,
    /// Tuning of all VMs.
    tuning: Tuning,
    /// Features that all VMs run without.
    without: DisabledFeatures,
    /// Time and number of each scheduled action, the earliest first.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// The scheduled actions by number.
    actions: BTreeMap<u64, Action>,
    /// Last number of an action or a request.
    last_number: u64,
    /// Random number generator of the simulation.
    pub rng: ChaCha8Rng,
}

impl World {
    /// Returns a fleet of VMs, engines and plain servers that has just started.
    pub fn new(vms: usize, engines: usize, plain: usize) -> Self {
        Self::with_tuning(vms, engines, plain, Tuning::default())
    }

    /// Returns the fleet of `new` with this tuning.
    pub fn with_tuning(vms: usize, engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::with_strengths(&vec![DEFAULT_STRENGTH; vms], engines, plain, tuning)
    }

    /// Returns the fleet of `new` with this tuning and without these features.
    pub fn without_features(
        vms: usize,
        engines: usize,
        plain: usize,
        tuning: Tuning,
        without: DisabledFeatures,
    ) -> Self {
        Self::configured(
            &vec![DEFAULT_STRENGTH; vms],
            engines,
            plain,
            tuning,
            without,
        )
    }

    /// Returns a fleet with a VM of each of these strengths.
    pub fn with_strengths(strengths: &[u32], engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::configured(
            strengths,
            engines,
            plain,
            tuning,
            DisabledFeatures::default(),
        )
    }

    /// Returns a fleet whose operator has not written a configuration.
    pub fn unconfigured(strengths: &[u32], engines: usize, plain: usize, tuning: Tuning) -> Self {
        Self::start_fleet(
            strengths,
            engines,
            plain,
            tuning,
            DisabledFeatures::default(),
            None,
        )
    }

    /// Returns a fleet with a configuration and these strengths, features and tuning.
    pub fn configured(
        strengths: &[u32],
        engines: usize,
        plain: usize,
        tuning: Tuning,
        without: DisabledFeatures,
    ) -> Self {
        let config = Some(setup::config(1));
        Self::start_fleet(strengths, engines, plain, tuning, without, config)
    }

    /// Starts a fleet, with a configuration unless `config` is `None`.
    fn start_fleet(
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
            operator_config: None,
            delayed_order_share: 0.0,
            versions: BTreeMap::new(),
            published_versions: Vec::new(),
            crashing: CrashRecords::default(),
            streams: Streams::default(),
            notices: Notices::default(),
            running: BTreeMap::new(),
            replacements: 0,
            probes: 0,
            requests: BTreeMap::new(),
            log_lines: Vec::new(),
            messages: 0,
            messages_by_kind: BTreeMap::new(),
            figures: BTreeMap::new(),
            origin_receivers: BTreeSet::new(),
            lost_kinds: BTreeSet::new(),
            cancel_delay: Span::ZERO,
            cancelled: Vec::new(),
            concurrent_runs: 0,
            brittle: BTreeMap::new(),
            falls: 0,
            relayed: 0,
            asked_relays: BTreeMap::new(),
            carried_by: BTreeMap::new(),
            kv_calls: 0,
            ends: Vec::new(),
            tuning,
            without,
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            last_number: 0,
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
                incarnation: 0,
                frozen: None,
                backlog: Vec::new(),
                store_reachable: true,
                store_silent: false,
                peers_reachable: true,
                partition: 0,
                store_delay: Span::ZERO,
                network_up: true,
                server_path: ServerPath::Open,
                kept_connections: BTreeMap::new(),
                wake_at: Instant::NEVER,
                cpu_cost: (Span::ZERO, Span::ZERO),
                busy_until: Instant::default(),
                pending_events: std::collections::VecDeque::new(),
            });
            world.start_vm(number);
        }
        world.schedule(world.now, Action::ExpireLeases);
        world
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&mut self, config: Config) {
        let config = Arc::new(config);
        self.operator_config = Some(config.clone());
        self.write_entry(EntryKey::Config, EntryValue::Config(config));
    }

    /// Publishes a version of an adapter, as the operator does.
    pub fn publish_version(&mut self, adapter: &str, version: u64) {
        let adapter: Arc<str> = adapter.into();
        self.versions.insert(adapter.clone(), version);
        self.published_versions
            .push((self.now, adapter.clone(), version));
        let key = EntryKey::Version(MODEL.into(), adapter);
        self.store.put(key, EntryValue::Version(version), 0);
        self.wake_watchers();
    }

    /// Returns the lowest version of an adapter that a request may run on at this time.
    pub(super) fn version_in_force(&self, adapter: &Arc<str>) -> u64 {
        let published = self.published_versions.iter();
        let due =
            published.filter(|(at, name, _)| name == adapter && *at + VERSION_DEADLINE <= self.now);
        due.map(|(_, _, version)| *version).max().unwrap_or(0)
    }

    /// Adds a server and its entry.
    pub fn add_server(&mut self, id: &str, number: usize, is_engine: bool) {
        self.add_server_of(id, number, is_engine, "-");
    }

    /// Adds a server of a build of its software, and its entry.
    pub fn add_server_of(&mut self, id: &str, number: usize, is_engine: bool, build: &str) {
        let engine = Engine::new(id, is_engine, setup::engine_config().adapter_slots);
        let backend = Backend {
            service: name(if is_engine { ENGINES } else { PLAIN }),
            address: setup::address(if is_engine { 2 } else { 3 }, number),
            zone: setup::zone(number),
            slots: if is_engine { 64 } else { 6 },
            ready: true,
            base_models: engine
                .report(self.now)
                .models
                .into_iter()
                .map(|base| base.model)
                .collect(),
            start: Some(engine.incarnation),
            build: KnownBuild(Some(name(build))),
        };
        self.register(engine, backend);
    }

    /// Adds a server with this entry.
    fn register(&mut self, engine: Engine, backend: Backend) {
        let (id, backend) = (engine.id.clone(), Arc::new(backend));
        self.servers.insert(id.clone(), (engine, backend.clone()));
        self.write_entry(EntryKey::Server(id), EntryValue::Server(backend));
    }

    /// Marks a server as leaving in its entry.
    pub fn drain(&mut self, id: &str) {
        let id: Server = name(id);
        let (_, backend) = self.servers.get_mut(&id).expect("the server exists");
        let mut leaving = (**backend).clone();
        leaving.ready = false;
        *backend = Arc::new(leaving);
        let value = EntryValue::Server(backend.clone());
        self.store.put(EntryKey::Server(id), value, 0);
        self.wake_watchers();
    }

    /// Stops a server without notice. Its entry stays.
    pub fn crash_server(&mut self, id: &str) {
        let id: Server = name(id);
        self.servers.get_mut(&id).expect("the server exists").0.up = false;
    }

    /// Restarts a server under the same ID, with a new incarnation and only its base model loaded.
    pub fn restart_server(&mut self, id: &str, incarnation: u64) {
        let id: Server = name(id);
        let (engine, backend) = self.servers.get_mut(&id).expect("the server exists");
        engine.restart(self.now, Incarnation(incarnation));
        let mut restarted = (**backend).clone();
        restarted.start = Some(Incarnation(incarnation));
        *backend = Arc::new(restarted);
        let value = EntryValue::Server(backend.clone());
        self.store.put(EntryKey::Server(id), value, 0);
        self.wake_watchers();
    }

    /// Writes an entry, as another program does, or as a delayed write is executed.
    pub fn write_entry(&mut self, key: EntryKey, value: EntryValue) {
        self.store.put(key, value, 0);
        self.wake_watchers();
    }

    /// Writes a server's entry again without a change.
    pub fn rewrite_server_entry(&mut self, id: &str) {
        let id: Server = name(id);
        let value = EntryValue::Server(self.servers[&id].1.clone());
        self.write_entry(EntryKey::Server(id), value);
    }

    /// Removes an entry.
    pub fn remove_entry(&mut self, key: &EntryKey) {
        self.store.remove(key);
        self.wake_watchers();
    }

    /// Removes a server's entry.
    pub fn remove_server_entry(&mut self, id: &str) {
        self.store.remove(&EntryKey::Server(name(id)));
        self.wake_watchers();
    }

    /// Returns the VM that holds the leadership of the engines' service, by the entry in the key-value
    /// service.
    pub fn holder(&self) -> Option<usize> {
        let change = self.store.get(&EntryKey::Holder(name(ENGINES)))?;
        match change.value.as_ref()? {
            EntryValue::Holder(holder) => holder.vm.as_str().strip_prefix("vm")?.parse().ok(),
            _ => None,
        }
    }

    /// Kills a VM's process. Unless `for_good` is set, it restarts after 400 ms.
    pub fn kill(&mut self, vm: usize, for_good: bool) {
        self.vms[vm].gateway = None;
        self.break_carried(vm);
        for record in self
            .requests
            .values_mut()
            .filter(|a| a.vm == vm && a.ended.is_none())
        {
            record.ended = Some((self.now, Answer::Lost));
        }
        if !for_good {
            self.schedule(self.now + RESTART_DELAY, Action::RestartVm(vm));
        }
    }

    /// Tells a VM's process to shut down.
    pub fn stop(&mut self, vm: usize) {
        self.deliver(vm, Event::Stop);
    }

    /// Cuts a VM off from the key-value service and removes its member entry and its leadership.
    pub fn revoke(&mut self, vm: usize) {
        self.vms[vm].store_reachable = false;
        self.store
            .remove(&EntryKey::Member(name(&format!("vm{vm}"))));
        if self.holder() == Some(vm) {
            self.store.remove(&EntryKey::Holder(name(ENGINES)));
        }
        self.wake_watchers();
    }

    /// Freezes a VM for a span. The VM handles the events of this span afterwards.
    pub fn freeze(&mut self, vm: usize, span: Span) {
        let until = self.now + span;
        self.vms[vm].frozen = Some(until);
        self.schedule(until, Action::Unfreeze(vm));
    }

    /// Sends a request to a VM and returns the request's number.
    pub fn send_request(&mut self, vm: usize, request: CallerRequest) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.requests.insert(
            number,
            RequestRecord {
                request: request.clone(),
                vm,
                at: self.now,
                ended: None,
                runs: Vec::new(),
                accounts: Vec::new(),
                priorities: Vec::new(),
                arrivals: 0,
                reached: Vec::new(),
                versions: Vec::new(),
            },
        );
        if self.vms[vm].gateway.is_none() {
            self.requests.get_mut(&number).expect("just inserted").ended =
                Some((self.now, Answer::Lost));
        }
        self.deliver(vm, Event::RequestArrived(number, Box::new(request)));
        number
    }

    /// Sends `count` requests at a steady pace to all VMs in turn and returns the requests' numbers. Omits
    /// the requests whose VM is down.
    pub fn send_requests(
        &mut self,
        count: usize,
        pause: Span,
        request: impl Fn(usize) -> CallerRequest,
    ) -> Vec<u64> {
        let mut numbers = Vec::new();
        for at in 0..count {
            let vm = at % self.vms.len();
            if self.vms[vm].gateway.is_some() {
                numbers.push(self.send_request(vm, request(at)));
            }
            self.run(pause);
        }
        numbers
    }

    /// Sends a light load for the span: a request each 40 ms, to one of twelve adapters in turn. Returns the
    /// requests' numbers.
    pub fn send_light_load(&mut self, span: Span) -> Vec<u64> {
        let count = usize::try_from(span.0 / LIGHT_LOAD_INTERVAL.0).expect("the count fits");
        let request = |at| setup::adapter_request(&format!("r{at}"), &format!("a{}", at * 5 % 12));
        self.send_requests(count, LIGHT_LOAD_INTERVAL, request)
    }

    /// Returns a fleet of 12 engines and 4 plain servers after 2 s without load and 2 s of heavy load.
    pub fn under_load(vms: usize) -> Self {
        let mut world = Self::new(vms, 12, 4);
        world.run(Span::from_secs(2));
        world.send_heavy_load(Span::from_secs(2));
        world
    }

    /// Sends a heavy load for the span: a request each 20 ms, three in four to one of sixty adapters in turn
    /// and the others to the plain service. Returns the requests' numbers.
    pub fn send_heavy_load(&mut self, span: Span) -> Vec<u64> {
        let count = usize::try_from(span.0 / HEAVY_LOAD_INTERVAL.0).expect("the count fits");
        self.send_requests(count, HEAVY_LOAD_INTERVAL, setup::mixed_request)
    }

    /// Returns the time from sending to refusal for each of these requests that was refused.
    pub fn refusal_delays(&self, numbers: &[u64]) -> Vec<Span> {
        let delay = |number: &u64| {
            let record = &self.requests[number];
            match &record.ended {
                Some((at, Answer::Refused(..))) => Some(at.since(record.at)),
                _ => None,
            }
        };
        numbers.iter().filter_map(delay).collect()
    }

    /// Returns the longest time from sending to refusal among these requests.
    pub fn longest_refusal_delay(&self, numbers: &[u64]) -> Span {
        let delays = self.refusal_delays(numbers);
        delays.into_iter().max().unwrap_or_default()
    }

    /// Closes the connection of a request's caller.
    pub fn disconnect_caller(&mut self, number: u64) {
        let vm = self.requests[&number].vm;
        self.deliver(vm, Event::CallerLeft(number));
    }

    /// Runs the simulation for a span of virtual time.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(action) = self.actions.remove(&number) {
                self.perform(action);
            }
        }
        self.now = end;
    }

    /// Returns the answer to a request, once it has started or is final.
    pub fn answer(&self, number: u64) -> Option<&Answer> {
        self.requests[&number]
            .ended
            .as_ref()
            .map(|(_, answer)| answer)
    }

    /// Returns the number of requests that were served.
    pub fn total_served(&self) -> usize {
        self.requests
            .values()
            .filter(|a| matches!(a.ended, Some((_, Answer::Served(_)))))
            .count()
    }

    /// Returns how many of these requests were served.
    pub fn count_served(&self, numbers: &[u64]) -> usize {
        let served = |n: &&u64| matches!(self.answer(**n), Some(Answer::Served(_)));
        numbers.iter().filter(served).count()
    }

    /// Asserts that at least `percent` percent of these requests were served.
    pub fn check_served(&self, numbers: &[u64], percent: usize) {
        let (served, all) = (self.count_served(numbers), numbers.len());
        assert!(
            served * 100 >= all * percent,
            "{served} of {all} requests were served"
        );
    }

    /// Returns the time from sending a request to the first chunk of its answer, where the request was
    /// served.
    pub fn time_to_first_chunk(&self, number: u64) -> Option<Span> {
        let record = &self.requests[&number];
        match &record.ended {
            Some((_, Answer::Served(started))) => Some(started.since(record.at)),
            _ => None,
        }
    }

    /// Asserts that no engine accepted an order of an earlier holder after one of a later holder.
    pub fn check_one_holder_at_a_time(&self) {
        for (engine, _) in self.servers.values() {
            let fences: Vec<u64> = engine
                .accepted_fences
                .iter()
                .map(|(_, fence)| *fence)
                .collect();
            assert!(
                fences.is_sorted(),
                "{}: {:?}",
                engine.id,
                engine.accepted_fences
            );
            assert!(
                engine.stale_fence.is_none(),
                "{}: {:?}",
                engine.id,
                engine.stale_fence
            );
        }
    }

    /// Asserts what must always hold, on what the fakes recorded: only requests to `/query/` and `/berth/`
    /// ran more than once, requests that were refused as not run did not run, no request ran on an outdated
    /// adapter version, no request reached one server twice, no engine crashed because of an order or accepted a stale
    /// fencing token. Also checks the gateways' own invariants.
    pub fn check_invariants(&self) {
        for (number, record) in &self.requests {
            let idempotent = record.request.path.starts_with("/query/")
                || record.request.path.starts_with("/berth/");
            assert!(
                idempotent || record.runs.len() <= 1,
                "request {number} ran {} times",
                record.runs.len()
            );
            let ended = record.ended.as_ref().map(|(_, answer)| answer);
            if let Some(Answer::Refused(reason, _)) = ended
                && !matches!(reason, RefusalReason::Failed | RefusalReason::TimedOut)
            {
                assert!(
                    record.runs.is_empty(),
                    "request {number} was refused as not run, but a server ran it"
                );
            }
            let servers: BTreeSet<&Server> = record.reached.iter().collect();
            assert_eq!(
                servers.len(),
                record.reached.len(),
                "request {number} reached a server twice: {:?}",
                record.reached
            );
            for (required, ran) in &record.versions {
                assert!(
                    ran >= required,
                    "request {number} ran on version {ran}, although version {required} was required"
                );
            }
        }
        for (engine, _) in self.servers.values() {
            assert_eq!(engine.crash_reason, None, "{} crashed", engine.id);
            let decreases = engine.accepted_fences.windows(2).any(|w| w[1].1 < w[0].1);
            assert!(
                !decreases,
                "{} accepted orders with a decreasing fencing token",
                engine.id
            );
        }
        for vm_state in &self.vms {
            if let Some(gateway) = &vm_state.gateway {
                assert_eq!(gateway.verify(), Vec::<String>::new());
            }
        }
    }
}
