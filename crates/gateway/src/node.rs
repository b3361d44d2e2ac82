//! [`Gateway`], the state of one entry VM, and the dispatch of events, messages and timers to their handlers.

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
use crate::cluster::builds;
use crate::cluster::era;
use crate::cluster::leadership;
use crate::cluster::lease_vote;
use crate::cluster::membership::Membership;
use crate::cluster::outage;
use crate::cluster::registration;
use crate::cluster::snapshot::{Member, Snapshot};
use crate::cluster::watch;
use crate::config::startup_queue;
use crate::config::{Config, HttpLimits, RouteIndex};
use crate::effect::{Effect, Effects, KvOperation, KvOperationId, Locality};
use crate::event::{Event, KvAnswer, KvOutcome, RequestId};
use crate::feature::Feature;
use crate::message::{Message, PlacementDetail};
use crate::metrics;
use crate::path;
use crate::request::budget::RetryBudget;
use crate::request::duration::Durations;
use crate::request::load_balancer::ServerState;
use crate::request::notice;
use crate::request::origin;
use crate::request::quarantine;
use crate::request::shutdown;
use crate::request::state::RequestState;
use crate::scheduler::Scheduler;
use crate::scheduler::client;
use crate::settings::{Settings, Tuning};
use crate::timer::{Timer, Timers};

/// The state of one entry VM.
#[derive(Debug)]
pub struct Gateway {
    /// The VM's settings.
    pub(crate) settings: Settings,
    /// The time of the latest step, by the VM's monotonic clock.
    pub(crate) now: Instant,
    /// The random number generator; its seed is one of the settings.
    pub(crate) rng: ChaCha8Rng,
    /// The known entries of the key-value service.
    pub(crate) snapshot: Snapshot,
    /// The configuration in force.
    pub(crate) config: Option<Arc<Config>>,
    /// Lookup tables of the configuration in force.
    pub(crate) index: RouteIndex,
    /// The other entry VMs.
    pub(crate) membership: Membership,
    /// The backend servers with an entry in the key-value service, as this VM sees them.
    pub(crate) servers: BTreeMap<Server, ServerState>,
    /// The notices that backend servers attached to their answers.
    pub(crate) notices: notice::ServerNotices,
    /// The requests of this VM's callers that have no final answer yet.
    pub(crate) in_flight: FxHashMap<RequestId, RequestState>,
    /// The retry budget of each service.
    pub(crate) retry_budgets: BTreeMap<Service, RetryBudget>,
    /// What this VM knows of the scheduler of each service.
    pub(crate) scheduler_clients: BTreeMap<Service, client::State>,
    /// The schedulers that run on this VM.
    pub(crate) schedulers: BTreeMap<Service, Scheduler>,
    /// This VM's own entry in the key-value service, and its lease.
    pub(crate) registration: registration::State,
    /// The leaderships that this VM holds or is a candidate for, and their lease.
    pub(crate) leaderships: leadership::State,
    /// The lease votes that this VM has given and received.
    pub(crate) votes: lease_vote::State,
    /// The watch of the key-value service, or the subscription at another VM.
    pub(crate) watch: watch::State,
    /// When the key-value service was away.
    pub(crate) outage: outage::State,
    /// State kept while changes of entries are applied, such as servers whose entries have lapsed.
    pub(crate) applied: apply::State,
    /// What this VM has asked others about the builds of servers.
    pub(crate) builds: builds::State,
    /// What the key-value service may have forgotten when it came back from a copy.
    pub(crate) restored: era::State,
    /// Crash reports, and the quarantine of requests that crash servers.
    pub(crate) quarantine: quarantine::State,
    /// What this VM knows of the origins of streams.
    pub(crate) origins: origin::State,
    /// This VM's shares of the quotas of client accounts, and the token pool.
    pub(crate) quota: quota::State,
    /// Requests that arrived before a configuration was known.
    pub(crate) startup_queue: startup_queue::State,
    /// This VM's own path to the backend servers.
    pub(crate) path: path::State,
    /// The pending timers.
    pub(crate) timers: Timers,
    /// The last number given to a call of the key-value service or to an order.
    last_id: u64,
    /// The bounds of the graceful stop; `None` if the process was not asked to stop.
    pub(crate) shutdown: Option<shutdown::Bounds>,
    /// How long requests of each route take.
    pub(crate) durations: Durations,
    /// Whether a scheduler ran in the last step.
    pub(crate) scheduler_ran: bool,
}

impl Gateway {
    /// Creates a gateway that knows only its settings.
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
            outage: outage::State::default(),
            applied: apply::State::default(),
            builds: builds::State::default(),
            restored: era::State::default(),
            quarantine: quarantine::State::default(),
            origins: origin::State::default(),
            quota: quota::State::default(),
            startup_queue: startup_queue::State::default(),
            path: path::State::default(),
            timers: Timers::default(),
            last_id: 0,
            shutdown: None,
            durations: Durations::default(),
            scheduler_ran: false,
            settings,
        }
    }

    /// Handles one event at the time `now` of the VM's monotonic clock, and appends the effects to `out`. Timers and
    /// schedulers that are due run in the same step.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Effects) {
        self.now = self.now.max(now);
        self.scheduler_ran = false;
        self.handle_event(event, out);
        self.release_startup_queue(out);
        self.run_timers(out);
        self.run_schedulers(out);
    }

    /// Returns whether a scheduler ran in the last step. If so, the caller passes the duration of the step to
    /// [`Self::record_step_duration`].
    #[must_use]
    pub fn scheduler_ran(&self) -> bool {
        self.scheduler_ran
    }

    /// Records the duration of the last step in which a scheduler ran, including the time to carry out its effects.
    /// Schedulers derive the interval between their runs from this duration, so that they do not overload the VM.
    pub fn record_step_duration(&mut self, span: Span) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.record_run_duration(span);
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        self.timers.next_at()
    }

    /// Returns whether the VM is ready for new connections: whether it knows a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && !self.is_stopping()
    }

    /// Returns the limits on callers' HTTP requests and connections.
    #[must_use]
    pub fn limits(&self) -> HttpLimits {
        self.config
            .as_ref()
            .map_or_else(HttpLimits::default, |c| c.limits)
    }

    /// Returns the version of the configuration in force; 0 while none is known.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.in_flight.len() + self.startup_queue.len()
    }

    /// Checks the invariants of the requests in flight and of the schedulers' state. Returns a description of each violation.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let ledger_fault = |(request, state): (&RequestId, &RequestState)| {
            let fault = state.ledger_fault()?;
            Some(format!("request {request} {fault}"))
        };
        let requests = self.in_flight.iter().filter_map(ledger_fault);
        let schedulers = self.schedulers.values().flat_map(Scheduler::verify);
        requests.chain(schedulers).collect()
    }

    /// Returns a new number for a call of the key-value service or an order.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a message to another VM, or counts it as dropped if the VM's address is unknown.
    pub(crate) fn send(&self, to: &Vm, message: Message, out: &mut Effects) {
        match self.membership.address(to) {
            Some(address) => {
                let same_zone = self.membership.zone(to) == Some(&self.settings.zone);
                let locality = if same_zone {
                    Locality::SameZone
                } else {
                    Locality::CrossZone
                };
                out.push(Effect::SendMessage(address, locality, message));
            }
            None => metrics::count_global(out, Figure::Dropped, "peer_unknown"),
        }
    }

    /// Returns the other entry VMs that count as present.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Vm> {
        let me = &self.settings.vm;
        self.membership
            .live_vms(self.now)
            .filter(move |vm| *vm != me)
    }

    /// Returns the first `count` VMs in the order of `rank`, among the VMs that count as present and this one.
    pub(crate) fn first_vms<K: Ord>(&self, count: usize, rank: impl Fn(&Vm) -> K) -> Vec<&Vm> {
        let mut vms: Vec<&Vm> = self.peers().chain([&self.settings.vm]).collect();
        vms.sort_by_cached_key(|vm| rank(vm));
        vms.truncate(count);
        vms
    }

    /// Returns the service of a server, if the server has an entry in the key-value service.
    pub(crate) fn service_of(&self, server: &Server) -> Option<Service> {
        self.servers
            .get(server)
            .map(|state| state.backend.service.clone())
    }

    /// Returns the strength of a VM: its capacity for work on behalf of others, or 0 for all VMs if the feature
    /// [`Feature::Strength`] is disabled.
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

    /// Returns this VM's description of itself, for its entry in the key-value service and for other VMs.
    pub(crate) fn member(&self) -> Member {
        Member {
            address: self.settings.address,
            zone: self.settings.zone.clone(),
            incarnation: self.settings.incarnation,
            strength: self.settings.strength,
        }
    }

    /// Starts a call of the key-value service and returns its number.
    pub(crate) fn call_kv(&mut self, op: KvOperation, out: &mut Effects) -> KvOperationId {
        metrics::count_global(out, Figure::PlatformCalls, op.name());
        let id = self.next_id();
        out.push(Effect::KvCall(id, op));
        id
    }

    /// Appends a log record.
    pub(crate) fn log(out: &mut Effects, code: Code, detail: String) {
        out.push(Effect::Log(Record::new(code, detail)));
    }

    /// Passes an event to its handler.
    fn handle_event(&mut self, event: Event, out: &mut Effects) {
        match event {
            Event::Start => self.start(out),
            Event::Tick => {}
            Event::RequestArrived(request, caller_request) => {
                self.handle_request(request, *caller_request, out);
            }
            Event::CallerLeft(request) => self.handle_caller_left(request, out),
            Event::AnswerStarted(request) => self.handle_answer_started(request, out),
            Event::AnswerCompleted(request, timing, framing) => {
                self.handle_answer_completed(request, timing, framing, out);
            }
            Event::AttemptFailed(request, execution, cause) => {
                self.handle_attempt_failed(request, execution, cause, out);
            }
            Event::AttemptCancelled(request) => self.handle_attempt_cancelled(request, out),
            Event::OrderAnswered(order, outcome) => self.handle_order_outcome(order, outcome, out),
            Event::NoticeReceived(server, notice) => self.handle_notice(&server, notice, out),
            Event::PromiseReceived(server, promise) => {
                Self::record_promise(&server, &promise, out);
            }
            Event::AnswerUnmatched(server, answer) => {
                Self::record_unmatched_answer(&server, &answer, out);
            }
            Event::AnswerOversized(server, id, part) => {
                Self::record_oversized_answer(&server, &id, part, out);
            }
            Event::ReportReceived(server, report) => {
                self.handle_report(&server, report.as_ref(), out);
            }
            Event::ConnectionTried(server, result) => {
                self.record_connection(&server, result, out);
            }
            Event::RelayRequested(request, asked) => {
                self.handle_relay_request(request, &asked, out);
            }
            Event::RelayEnded(request) => self.handle_relay_ended(request),
            Event::RelayHint(vm) => self.handle_relay_hint(vm),
            Event::Probed(server, result) => self.handle_probe(&server, result, out),
            Event::KvAnswered(op, answer) => self.handle_kv_answer(op, answer, out),
            Event::PeerMessage(from, message) => self.handle_message(&from, message, out),
            Event::PeerDown(address, fault) => self.peer_down(address, fault, out),
            Event::SettingsReloaded(tuning) => self.apply_reloaded_settings(tuning, out),
            Event::TaskPanicked(task, message) => {
                metrics::count_global(out, Figure::TaskPanics, task.name());
                let detail = format!("task={} message={message}", task.name());
                Self::log(out, Code::TaskPanicked, detail);
            }
            Event::Stop => self.stop(out),
        }
    }

    /// Handles the start of the process: starts the first calls of the key-value service and the initial delays.
    fn start(&mut self, out: &mut Effects) {
        self.start_startup_queue();
        self.start_quota();
        self.start_watching(out);
        self.start_candidacy_delay();
        self.record_build_gap();
        self.handle_registration_timer(out);
    }

    /// Passes the outcome of a call of the key-value service to the module that started the call.
    fn handle_kv_answer(&mut self, op: KvOperationId, answer: KvAnswer, out: &mut Effects) {
        if let Some(era) = answer.era {
            self.record_era(era, out);
        }
        if answer.era.is_some() && !matches!(answer.outcome, KvOutcome::Refused) {
            self.record_answer_to_any(self.now);
        }
        // A late answer of an earlier era tells nothing of what the service holds now.
        let is_outdated = answer.era.is_some() && answer.era < self.watch.era;
        let outcome = match answer.outcome {
            KvOutcome::Refused => KvOutcome::Refused,
            _ if is_outdated => KvOutcome::Unknown,
            // Only a watch can be asked in another way.
            KvOutcome::Oversized if self.watch.op != Some(op) => KvOutcome::Unknown,
            outcome => outcome,
        };
        if self.watch.op == Some(op) {
            self.handle_watch_outcome(outcome, out);
        } else if self.registration.owns(op) {
            self.handle_registration_outcome(op, outcome, out);
        } else if self.owns_origin_call(op) {
            self.handle_origin_outcome(outcome, out);
        } else if self.quarantine.owns(op) {
            self.handle_quarantine_outcome(outcome, out);
        } else {
            self.handle_leadership_outcome(op, outcome, out);
        }
    }

    /// Passes a message of another VM to its handler. Messages of a scheduler with a stale fencing token are dropped.
    fn handle_message(&mut self, from: &Vm, message: Message, out: &mut Effects) {
        self.membership.record_heard(from, self.now);
        match message {
            Message::Subscribe(member, revision) => {
                self.membership.record_member(from, &member);
                self.handle_subscribe(from, member.incarnation, revision, out);
            }
            Message::Replicate(batch) => self.apply_replicated(from, batch, out),
            Message::PlacementRequest(service, placement_request) => {
                let detail = PlacementDetail::default();
                self.handle_placement_request(&service, from, placement_request, detail);
            }
            Message::DetailedPlacementRequest(service, placement_request, detail) => {
                self.handle_placement_request(&service, from, placement_request, detail);
            }
            Message::BoundPlacementRequest(service, bound) => {
                self.handle_bound_placement(&service, from, *bound);
            }
            message @ (Message::BuildRequest(_)
            | Message::Builds(_)
            | Message::StreamOrigins(_)
            | Message::OriginRequest(..)
            | Message::OriginReply(..)
            | Message::OriginsRequest
            | Message::BuildHistory(..)) => self.handle_origin_message(from, message, out),
            Message::Progress(service, request, progress) => {
                self.handle_progress(&service, from, request, progress);
            }
            Message::Resync(service, member, running, waiting) => {
                self.membership.record_member(from, &member);
                self.handle_resync(&service, from, &running, waiting);
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
            Message::Withdraw(service, fence, request, server) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.handle_withdrawal(request, &server, out);
                }
            }
            Message::SchedulerHeartbeat(service, fence) => {
                self.accept_scheduler_message(&service, fence, from, out);
            }
            Message::RequestLeaseVote(service, fence, asked_at) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.handle_vote_request(&service, fence, asked_at, from, out);
                }
            }
            Message::LeaseVote(service, fence, asked_at) => {
                self.handle_vote(&service, fence, asked_at, from);
            }
            Message::ResidentAdapters(service, fence, residents) => {
                if self.accept_scheduler_message(&service, fence, from, out) {
                    self.relay_residents(&service, fence, &residents, out);
                    self.record_residents(&service, residents);
                }
            }
            message @ (Message::CrashReports(_)
            | Message::QuarantineStatuses(_)
            | Message::PartCrashReports(_)
            | Message::PartsWatched(_)) => self.handle_quarantine_message(from, message, out),
            Message::ServerRateLimit(server, limit) => self.set_limit(from, &server, limit, out),
            Message::ServerLeaving(server, incarnation) => {
                self.mark_leaving(from, &server, incarnation, out);
            }
            Message::ServerCooldown(server, cooldown) => {
                self.handle_server_cooldown(from, &server, cooldown);
            }
            Message::SendPermitRequest(request, server) => {
                self.handle_permit_request(from, request, server, out);
            }
            Message::SendPermitReply(request, server, answer) => {
                self.handle_permit_reply(request, &server, answer, out);
            }
            message @ (Message::TokenRequest(_)
            | Message::TokenGrant(_)
            | Message::LoanRequest(_)
            | Message::LoanAnswer(_)
            | Message::LendRequest(_)
            | Message::LendAnswer(_)
            | Message::CollectTokens(..)
            | Message::SurplusTokens(..)) => self.handle_quota_message(from, message, out),
            Message::RelayedResidentAdapters(service, fence, residents) => {
                let known_fence = self
                    .scheduler_clients
                    .get(&service)
                    .map(|client| client.fence);
                if known_fence == Some(fence) {
                    self.record_residents(&service, residents);
                }
            }
        }
    }

    /// Passes a message about the quotas of client accounts to its handler.
    fn handle_quota_message(&mut self, from: &Vm, message: Message, out: &mut Effects) {
        match message {
            Message::TokenRequest(token_request) => {
                self.handle_token_request(from, token_request, out);
            }
            Message::TokenGrant(grant) => self.handle_token_grant(&grant, out),
            Message::LoanRequest(loan_request) => {
                self.handle_loan_request(from, loan_request, out);
            }
            Message::LoanAnswer(answer) => self.handle_loan_answer(&answer, out),
            Message::LendRequest(lend_request) => {
                self.handle_lend_request(from, &lend_request, out);
            }
            Message::LendAnswer(answer) => self.handle_lend_answer(from, &answer, out),
            Message::CollectTokens(number, accounts) => {
                self.handle_collect_tokens(from, number, &accounts, out);
            }
            Message::SurplusTokens(number, surplus) => {
                self.handle_surplus_tokens(from, number, &surplus, out);
            }
            _ => {}
        }
    }

    /// Applies the tuning parameters of a reloaded settings file. A file that can't be used changes nothing.
    fn apply_reloaded_settings(&mut self, tuning: Result<Box<Tuning>, String>, out: &mut Effects) {
        match tuning {
            Ok(tuning) => {
                self.settings.tuning = *tuning;
                Self::log(out, Code::Reloaded, "outcome=taken".to_owned());
            }
            Err(why) => Self::log(out, Code::ReloadFailed, format!("why={why}")),
        }
    }

    /// Starts a graceful stop: gives up the leaderships and removes this VM's entry from the key-value service.
    /// Requests without a final answer are still served, within the bounds of the stop.
    fn stop(&mut self, out: &mut Effects) {
        if self.is_stopping() {
            return;
        }
        let bounds = shutdown::Bounds::new(self.now, &self.settings.tuning);
        self.shutdown = Some(bounds);
        let detail = format!(
            "open={} start_by={} answer_by={} end_by={}",
            self.open_requests(),
            bounds.start.since(self.now),
            bounds.answer.since(self.now),
            bounds.end.since(self.now)
        );
        Self::log(out, Code::Draining, detail);
        self.resign_all(out);
        self.deregister(out);
        self.bound_requests(bounds, out);
    }

    /// Runs the handlers of the timers that are due.
    fn run_timers(&mut self, out: &mut Effects) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Request(request) => self.handle_request_timer(request, out),
                Timer::Registration => self.handle_registration_timer(out),
                Timer::Leadership => self.handle_leadership_timer(out),
                Timer::Watch => self.handle_watch_timer(out),
                Timer::StartupQueue => self.handle_startup_queue_timer(out),
                Timer::Quarantine => self.handle_quarantine_timer(out),
                Timer::Quota => self.handle_quota_timer(out),
                Timer::Path => self.handle_path_timer(out),
                Timer::Origins => self.handle_origin_timer(out),
                // `run_schedulers` runs the schedulers that are due at the end of each step.
                Timer::Scheduler(_) => {}
            }
        }
    }
}
