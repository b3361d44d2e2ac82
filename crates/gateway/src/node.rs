//! One entry VM: its tables, and the dispatch of events to the passes that run over them.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Vm};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use crate::account::quota;
use crate::cluster::apply;
use crate::cluster::leadership;
use crate::cluster::lease_vote;
use crate::cluster::membership::Membership;
use crate::cluster::registration;
use crate::cluster::snapshot::{Member, Snapshot};
use crate::cluster::watch;
use crate::config::startup_queue;
use crate::config::{Config, HttpLimits, RouteIndex};
use crate::effect::{Effect, Effects, KvOperation, KvOperationId, Locality};
use crate::event::{Event, RequestId};
use crate::feature::Feature;
use crate::message::Message;
use crate::metrics;
use crate::request::budget::RetryBudget;
use crate::request::load_balancer::ServerState;
use crate::request::notice;
use crate::request::quarantine;
use crate::request::state::RequestState;
use crate::scheduler::Scheduler;
use crate::scheduler::client;
use crate::settings::{Settings, Tuning};
use crate::timer::{Timer, Timers};

/// Everything that one entry VM knows.
#[derive(Debug)]
pub struct Gateway {
    /// What it was told.
    pub(crate) settings: Settings,
    /// The time of the present step.
    pub(crate) now: Instant,
    /// Its random numbers.
    pub(crate) rng: ChaCha8Rng,
    /// The facts of the key-value service.
    pub(crate) snapshot: Snapshot,
    /// The configuration in force.
    pub(crate) config: Option<Arc<Config>>,
    /// Its index.
    pub(crate) index: RouteIndex,
    /// The other entry VMs.
    pub(crate) membership: Membership,
    /// The backend servers that take work, and what this VM knows of them.
    pub(crate) servers: BTreeMap<Server, ServerState>,
    /// What backend servers said of themselves.
    pub(crate) notices: notice::ServerNotices,
    /// The requests of this VM's callers.
    pub(crate) in_flight: FxHashMap<RequestId, RequestState>,
    /// The budgets of second sends.
    pub(crate) retry_budgets: BTreeMap<Service, RetryBudget>,
    /// What this VM knows of the schedulers.
    pub(crate) scheduler_clients: BTreeMap<Service, client::State>,
    /// The schedulers that run on this VM.
    pub(crate) schedulers: BTreeMap<Service, Scheduler>,
    /// This VM's own entry.
    pub(crate) registration: registration::State,
    /// The leaderships it holds or wants, and their lease.
    pub(crate) leaderships: leadership::State,
    /// Lease votes given and had.
    pub(crate) votes: lease_vote::State,
    /// How the key-value service is followed.
    pub(crate) watch: watch::State,
    /// What is noted beside the facts.
    pub(crate) applied: apply::State,
    /// Requests that crash servers.
    pub(crate) quarantine: quarantine::State,
    /// The limits of client accounts.
    pub(crate) quota: quota::State,
    /// Requests that came before the first configuration.
    pub(crate) startup_queue: startup_queue::State,
    /// What is to be looked at later.
    pub(crate) timers: Timers,
    /// The last number given to a call or order.
    last_id: u64,
    /// Whether the process is to stop.
    pub(crate) stopping: bool,
    /// Whether a scheduler ran in the last step.
    pub(crate) scheduler_ran: bool,
}

impl Gateway {
    /// A gateway that knows nothing but its settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            now: Instant::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            snapshot: Snapshot::default(),
            config: None,
            index: RouteIndex::default(),
            membership: Membership::default(),
            servers: BTreeMap::new(),
            notices: notice::ServerNotices::default(),
            in_flight: FxHashMap::default(),
            retry_budgets: BTreeMap::new(),
            scheduler_clients: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            registration: registration::State::default(),
            leaderships: leadership::State::default(),
            votes: lease_vote::State::default(),
            watch: watch::State::default(),
            applied: apply::State::default(),
            quarantine: quarantine::State::default(),
            quota: quota::State::default(),
            startup_queue: startup_queue::State::default(),
            timers: Timers::default(),
            last_id: 0,
            stopping: false,
            scheduler_ran: false,
            settings,
        }
    }

    /// Handles one event at the time `now` of the VM's monotonic clock, and appends what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Effects) {
        self.now = self.now.max(now);
        self.scheduler_ran = false;
        self.handle(event, out);
        self.release_startup_queue(out);
        self.run_timers(out);
        self.run_schedulers(out);
    }

    /// Whether a scheduler ran in the last step, so that its length is to be told to [`Self::record_step_duration`].
    #[must_use]
    pub fn scheduler_ran(&self) -> bool {
        self.scheduler_ran
    }

    /// The last step, in which a scheduler ran, took so long, with what was done for it: schedulers run no more often than their
    /// VM can bear.
    pub fn record_step_duration(&mut self, span: Span) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.record_run_duration(span);
        }
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        self.timers.next()
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && !self.stopping
    }

    /// What callers may send.
    #[must_use]
    pub fn limits(&self) -> HttpLimits {
        self.config
            .as_ref()
            .map_or_else(HttpLimits::default, |c| c.limits)
    }

    /// The version of the configuration in force, 0 where none is known.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// The requests in progress.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.in_flight.len() + self.startup_queue.len()
    }

    /// Everything that does not hold together, as readable text; empty where all is well.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        self.schedulers
            .values()
            .flat_map(Scheduler::verify)
            .collect()
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a message to another VM, if its address is known.
    pub(crate) fn send(&self, to: &Vm, message: Message, out: &mut Effects) {
        match self.membership.address(to) {
            Some(address) => {
                let near = self.membership.zone(to) == Some(&self.settings.zone);
                let reach = if near {
                    Locality::SameZone
                } else {
                    Locality::CrossZone
                };
                out.push(Effect::SendMessage(address, reach, message));
            }
            None => metrics::count_global(out, Figure::Dropped, "peer_unknown"),
        }
    }

    /// The entry VMs that are there besides this one.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Vm> {
        let me = &self.settings.vm;
        self.membership
            .present(self.now)
            .filter(move |vm| *vm != me)
    }

    /// So many of the VMs that are there, this one among them, the first by their place in an order.
    pub(crate) fn first_vms<K: Ord>(&self, count: usize, place: impl Fn(&Vm) -> K) -> Vec<&Vm> {
        let mut vms: Vec<&Vm> = self.peers().chain([&self.settings.vm]).collect();
        vms.sort_by_cached_key(|vm| place(vm));
        vms.truncate(count);
        vms
    }

    /// The service of a server that is listed.
    pub(crate) fn service_of(&self, server: &Server) -> Option<Service> {
        self.servers
            .get(server)
            .map(|row| row.backend.service.clone())
    }

    /// How much a VM can do for others.
    pub(crate) fn strength(&self, vm: &Vm) -> u32 {
        if !self.settings.uses(Feature::Strength) {
            return 0;
        }
        if *vm == self.settings.vm {
            self.settings.strength
        } else {
            self.membership.strength(vm)
        }
    }

    /// This VM as it describes itself.
    pub(crate) fn member(&self) -> Member {
        Member {
            address: self.settings.address,
            zone: self.settings.zone.clone(),
            incarnation: self.settings.incarnation,
            strength: self.settings.strength,
        }
    }

    pub(crate) fn call_kv(&mut self, op: KvOperation, out: &mut Effects) -> KvOperationId {
        metrics::count_global(out, Figure::PlatformCalls, op.name());
        let id = self.next_id();
        out.push(Effect::KvCall(id, op));
        id
    }

    pub(crate) fn log(out: &mut Effects, code: Code, detail: String) {
        out.push(Effect::Log(Record::new(code, detail)));
    }

    fn handle(&mut self, event: Event, out: &mut Effects) {
        match event {
            Event::Start => self.start(out),
            Event::Tick => {}
            Event::RequestArrived(request, call) => self.handle_request(request, *call, out),
            Event::CallerLeft(request) => self.handle_caller_left(request, out),
            Event::AnswerStarted(request) => self.handle_answer_started(request, out),
            Event::AnswerCompleted(request, pause) => {
                self.handle_answer_completed(request, pause, out);
            }
            Event::AttemptFailed(request, ran, cause) => {
                self.handle_attempt_failed(request, ran, cause, out);
            }
            Event::OrderAnswered(order, outcome) => self.handle_order_outcome(order, outcome, out),
            Event::NoticeReceived(server, notice) => self.handle_notice(&server, notice, out),
            Event::ReportReceived(server, report) => self.handle_report(&server, report.as_ref()),
            Event::Probed(server, presence) => self.handle_probe(&server, presence, out),
            Event::KvAnswered(op, outcome) => self.answered(op, outcome, out),
            Event::PeerMessage(from, message) => self.heard(&from, message, out),
            Event::PeerDown(address, fault) => self.peer_down(address, fault, out),
            Event::SettingsReloaded(tuning) => self.reloaded(tuning, out),
            Event::Stop => self.stop(out),
        }
    }

    fn start(&mut self, out: &mut Effects) {
        self.startup_queue_start();
        self.quota_start();
        self.start_watching(out);
        self.start_candidacy_delay();
        self.handle_registration_timer(out);
    }

    fn answered(&mut self, op: KvOperationId, outcome: crate::event::KvOutcome, out: &mut Effects) {
        if self.watch.op == Some(op) {
            self.handle_watch_outcome(outcome, out);
        } else if self.registration.owns(op) {
            self.handle_registration_outcome(op, outcome, out);
        } else if self.quarantine.owns(op) {
            self.handle_quarantine_outcome(outcome, out);
        } else {
            self.handle_leadership_outcome(op, outcome, out);
        }
    }

    fn heard(&mut self, from: &Vm, message: Message, out: &mut Effects) {
        self.membership.record_heard(from, self.now);
        match message {
            Message::Subscribe(member, revision) => {
                self.membership.record_member(from, &member);
                self.handle_subscribe(from, revision, out);
            }
            Message::Replicate(batch) => self.apply_replicated(from, batch, out),
            Message::PlacementRequest(service, want) => {
                self.handle_placement_request(&service, from, want);
            }
            Message::Progress(service, request, progress) => {
                self.handle_progress(&service, from, request, progress);
            }
            Message::Resync(service, member, running, wants) => {
                self.membership.record_member(from, &member);
                self.handle_resync(&service, from, &running, wants);
            }
            Message::Placement(service, fence, request, server, version) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.record_placement(request, &server, version);
                    self.handle_placement(request, &server, version, out);
                }
            }
            Message::PlacementRefused(service, fence, request, after) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.handle_placement_refused(request, after, out);
                }
            }
            Message::SchedulerHeartbeat(service, fence) => {
                self.accept_scheduler_message(&service, fence, from, out);
            }
            Message::RequestLeaseVote(service, fence, asked) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.handle_vote_request(&service, fence, asked, from, out);
                }
            }
            Message::LeaseVote(service, fence, asked) => {
                self.handle_vote(&service, fence, asked, from);
            }
            Message::ResidentAdapters(service, fence, residents) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.relay_residents(&service, fence, &residents, out);
                    self.record_residents(&service, residents);
                }
            }
            Message::CrashReports(strikes) => self.handle_crash_reports(from, &strikes, out),
            Message::QuarantineStatuses(told) => self.handle_quarantine_statuses(told, out),
            Message::ServerRateLimit(server, limit) => self.set_limit(from, &server, limit, out),
            Message::ServerLeaving(server, start) => {
                self.mark_leaving(from, &server, start, out);
            }
            Message::ServerCooldown(server, span) => {
                self.handle_server_cooldown(from, &server, span);
            }
            Message::SendPermitRequest(request, server) => {
                self.handle_permit_request(from, request, server, out);
            }
            Message::SendPermitReply(request, server, answer) => {
                self.handle_permit_reply(request, &server, answer, out);
            }
            Message::TokenRequest(draw) => self.drawn(from, draw, out),
            Message::TokenGrant(grant) => self.granted(&grant, out),
            Message::CollectTokens(number, accounts) => {
                self.collected(from, number, &accounts, out);
            }
            Message::SurplusTokens(number, deposits) => {
                self.deposited(from, number, &deposits, out);
            }
            Message::RelayedResidentAdapters(service, fence, residents) => {
                let holder = self
                    .scheduler_clients
                    .get(&service)
                    .map(|client| client.fence);
                if holder == Some(fence) {
                    self.record_residents(&service, residents);
                }
            }
        }
    }

    /// Takes new figures from the settings file; a file that can't be used changes nothing.
    fn reloaded(&mut self, tuning: Result<Box<Tuning>, String>, out: &mut Effects) {
        match tuning {
            Ok(tuning) => {
                self.settings.tuning = *tuning;
                Self::log(out, Code::Reloaded, "outcome=taken".to_owned());
            }
            Err(why) => Self::log(out, Code::ReloadFailed, format!("why={why}")),
        }
    }

    fn stop(&mut self, out: &mut Effects) {
        self.stopping = true;
        Self::log(
            out,
            Code::Draining,
            format!("open={}", self.open_requests()),
        );
        self.resign_all(out);
        self.deregister(out);
    }

    fn run_timers(&mut self, out: &mut Effects) {
        while let Some(timer) = self.timers.due(self.now) {
            match timer {
                Timer::Request(request) => self.handle_request_timer(request, out),
                Timer::Registration => self.handle_registration_timer(out),
                Timer::Leadership => self.handle_leadership_timer(out),
                Timer::Watch => self.handle_watch_timer(out),
                Timer::StartupQueue => self.handle_startup_queue_timer(out),
                Timer::Quarantine => self.handle_quarantine_timer(out),
                Timer::Quota => self.handle_quota_timer(out),
                // The schedulers run after each step, where one is due.
                Timer::Scheduler(_) => {}
            }
        }
    }
}
