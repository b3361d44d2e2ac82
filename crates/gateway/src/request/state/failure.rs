//! Handles requests whose server failed them, whose deadline has passed, or that get no server.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};

use super::Phase;
use crate::config::RouteKind;
use crate::effect::{Effect, Effects, NextStep, Refusal, RefusalReason};
use crate::event::{Execution, FailureCause, Part, Promise, RequestId, UnmatchedAnswer};
use crate::message::Progress;
use crate::metrics;
use crate::node::Gateway;
use crate::request::budget::RetryLimits;
use crate::request::health::Health;
use crate::request::proof::Evidence;
use crate::scheduler::client::PLACEMENT_RETRY_DELAY;

/// Upper bound on the sends of one request, including those that did not run. More sends would only use up
/// the retry budget that all requests of the service share.
pub(super) const MAX_SENDS: u32 = 4;

/// Upper bound on the attempts of one request that are sent again because the way to the server failed. Each costs a round
/// trip to another VM.
const MAX_PATH_RETRIES: u32 = 12;

/// Upper bound on such attempts where other VMs say that they did not reach the server: it may have ended, and each costs
/// the time that a connection may take.
const MAX_UNREACHED_RETRIES: u32 = 3;

/// Time after which a caller that was refused for lack of capacity may retry: about the time of one answer of
/// a service without engines.
pub(super) const RETRY_AFTER: Span = Span::from_millis(300);

/// A failed request is sent again only if more time than this is left until its deadline: one round trip and
/// the shortest run.
pub(super) const MIN_TIME_TO_RETRY: Span = Span::from_millis(30);

/// Share of the fleet-wide retry budget that the VMs use. Their sliding windows do not coincide, and with the
/// full budget the retries in some window could exceed it.
const RETRY_BUDGET_SHARE: f64 = 0.6;

/// Why a request is refused. More detailed than [`RefusalReason`], for the log and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalDetail {
    /// No server of the service accepts requests.
    NoServer,
    /// A server failed the request, which is not sent again.
    SendFailed,
    /// The scheduler can't place the request in time.
    Scheduler,
    /// This VM reaches no server, and no other VM is left to carry the request.
    NoPath,
    /// The request is in quarantine: servers crashed while they ran it.
    Quarantined,
    /// The client account of the request has no tokens left.
    OverLimit,
    /// The request continues a stream, and no server of the build that began it is left.
    NoBuild,
    /// The request resumes a stream of which nobody is known to know what began it.
    UnknownOrigin,
    /// This VM stops, and has no time left to serve the request.
    Stopping,
}

impl RefusalDetail {
    /// Returns the value of `why=` in the log, which is also the label in metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::SendFailed => "send_failed",
            Self::Scheduler => "scheduler",
            Self::NoPath => "no_path",
            Self::Quarantined => "quarantined",
            Self::OverLimit => "over_limit",
            Self::NoBuild => "no_build",
            Self::UnknownOrigin => "unknown_origin",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the reason that the caller is given if it is proven that no server has run the request.
    const fn reason(self) -> RefusalReason {
        match self {
            Self::Quarantined => RefusalReason::Quarantined,
            Self::OverLimit => RefusalReason::OverLimit,
            Self::Stopping => RefusalReason::Stopping,
            Self::NoServer
            | Self::SendFailed
            | Self::Scheduler
            | Self::NoPath
            | Self::NoBuild
            | Self::UnknownOrigin => RefusalReason::Overloaded,
        }
    }
}

impl Gateway {
    /// Handles a failed send: the server could not be reached, rejected the request, answered with a failure, or
    /// broke the connection.
    pub(crate) fn handle_attempt_failed(
        &mut self,
        request: RequestId,
        ran: Execution,
        cause: FailureCause,
        out: &mut Effects,
    ) {
        let now = self.now;
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let Phase::Sent {
            server,
            answer_started,
        } = state.phase.clone()
        else {
            return;
        };
        state.cancelling = false;
        state.ledger.close(ran, cause);
        let relay = state.relay.take();
        if answer_started {
            self.record_origin(request);
        }
        if self.resend_another_way(request, &server, relay.as_ref(), ran, cause, out) {
            return;
        }
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        // What a VM without a path, or without a relay, fails at says nothing of the server.
        let is_path_fault = match relay {
            Some(_) => matches!(cause, FailureCause::NoPath | FailureCause::Broken),
            None => self.path.was_lost_since(state.sent),
        };
        state.failed.push(server.clone());
        let application = self.index.service(state.service.as_str());
        let is_plain = application.is_none_or(|service| service.engine.is_none());
        if let Some(server_state) = self.servers.get_mut(&server) {
            server_state.open = server_state.open.saturating_sub(1);
            if !is_path_fault {
                record_health(&mut server_state.health, cause, is_plain, now);
            }
        }
        Self::log(
            out,
            Code::SendFailed,
            format!(
                "id={} call={} server={server} ran={ran:?} cause={cause:?} begun={answer_started} proof={}",
                state.call.id,
                state.call.fingerprint,
                state.proof().map_or("-", |proof| proof.evidence().name())
            ),
        );
        let is_server_word = !matches!(cause, FailureCause::Unreachable | FailureCause::Broken);
        if relay.is_none() && is_server_word {
            self.path.record_heard(now);
        }
        if ran != Execution::No && cause == FailureCause::Broken && !is_path_fault {
            let suspect = state.suspect(now, false);
            self.record_suspect(&server, suspect, out);
        }
        let reported = if is_path_fault {
            FailureCause::Declined
        } else {
            cause
        };
        self.report_progress(request, Progress::Failed(ran, reported), out);
        if cause == FailureCause::Full {
            self.record_rejection(&server);
        }
        // In phase `Sent`, `finish_request` would decrement the count of open requests at the server a second
        // time.
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.phase = Phase::Waiting;
        }
        self.retry_or_finish(request, ran, cause, answer_started, out);
    }

    /// Logs and counts an answer that does not bear the id of the request that it came for. The attempt's own event says how
    /// the attempt ended.
    pub(crate) fn record_unmatched_answer(
        server: &Server,
        answer: &UnmatchedAnswer,
        out: &mut Effects,
    ) {
        let claim = match answer.status {
            0 => "spliced",
            _ if answer.is_rejection => "rejection",
            _ => "other",
        };
        metrics::count_global(out, Figure::UnmatchedAnswers, claim);
        let detail = format!(
            "id={} server={server} answered={} status={} claim={claim}",
            answer.asked,
            answer.answered.as_deref().unwrap_or("-"),
            answer.status
        );
        Self::log(out, Code::AnswerUnmatched, detail);
    }

    /// Logs an answer of a server that promises that its request did not run.
    pub(crate) fn record_promise(server: &Server, promise: &Promise, out: &mut Effects) {
        let claim = if promise.is_stated {
            "stated"
        } else {
            "implied"
        };
        let detail = format!(
            "id={} server={server} status={} claim={claim} exchanges={}",
            promise.id, promise.status, promise.exchanges
        );
        Self::log(out, Code::PromiseReceived, detail);
    }

    /// Logs and counts an answer whose bytes exceeded a limit. The attempt's own event says how the attempt ended.
    pub(crate) fn record_oversized_answer(
        server: &Server,
        id: &str,
        part: Part,
        out: &mut Effects,
    ) {
        let part = match part {
            Part::Head => "head",
            Part::Body => "body",
            Part::Event => "event",
        };
        metrics::count_global(out, Figure::OversizedAnswers, part);
        let detail = format!("id={id} server={server} part={part}");
        Self::log(out, Code::AnswerOversized, detail);
    }

    /// Sends a request to the same server another way if its attempt did not reach the server: this VM's own path is in
    /// doubt or lost, or the VM that was to carry the attempt did not. Returns whether it was sent, or refused for want of
    /// another way. Nothing has arrived at the server, so no retry is spent.
    fn resend_another_way(
        &mut self,
        request: RequestId,
        server: &Server,
        relay: Option<&Vm>,
        ran: Execution,
        cause: FailureCause,
        out: &mut Effects,
    ) -> bool {
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let (retries, deadline) = (state.path_retries, state.deadline);
        let way_failed = match (relay, cause) {
            (Some(_), FailureCause::NoPath) => true,
            // The relay may have lost its path as well, without knowing yet.
            (Some(_), FailureCause::Unreachable) => retries < MAX_UNREACHED_RETRIES,
            (None, FailureCause::Unreachable) => !self.path.is_open(),
            _ => false,
        };
        if let Some(vm) = relay.filter(|_| way_failed) {
            self.record_relay_failed(vm);
        }
        let may_resend = way_failed
            && ran == Execution::No
            && deadline.since(self.now) > MIN_TIME_TO_RETRY
            && retries < MAX_PATH_RETRIES;
        let (true, Some(state), Some(server_state)) = (
            may_resend,
            self.in_flight.get_mut(&request),
            self.servers.get_mut(server),
        ) else {
            return false;
        };
        state.path_retries += 1;
        state.send_count = state.send_count.saturating_sub(1);
        state.phase = Phase::Waiting;
        let (id, version) = (state.call.id.clone(), state.version);
        server_state.open = server_state.open.saturating_sub(1);
        let over = relay.map_or("-", Vm::as_str);
        let detail = format!(
            "id={id} server={server} ran={ran:?} cause={cause:?} via={over} next=another_way"
        );
        Self::log(out, Code::SendFailed, detail);
        self.send_to(request, server, version, out);
        true
    }

    /// Sends a failed request again if its route, its deadline and the retry budget allow it. Otherwise ends it
    /// with its final answer.
    fn retry_or_finish(
        &mut self,
        request: RequestId,
        ran: Execution,
        cause: FailureCause,
        answer_started: bool,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let kind = state.route.kind;
        // An event of a build that is not known has been passed on, so that no server is known that fits.
        let is_of_unknown_build = answer_started && state.origin.is_none();
        let may_rerun = state.proof().is_some()
            || kind.is_idempotent()
                && (Evidence::of(ran, cause).is_some()
                    || state.ledger.executions() < state.route.attempts);
        let may_rerun = may_rerun && !(kind == RouteKind::Resumable && is_of_unknown_build);
        let answer_cut = answer_started && kind != RouteKind::Resumable && kind != RouteKind::Safe;
        let in_time =
            state.deadline.since(self.now) > MIN_TIME_TO_RETRY && state.send_count < MAX_SENDS;
        let quarantined = self.quarantine.remaining_for(&state.call, self.now);
        match cause {
            _ if answer_cut => self.finish_request(request, Progress::Finished, out),
            _ if quarantined.is_some() => {
                self.refuse_request(request, quarantined, RefusalDetail::Quarantined, out);
            }
            _ if may_rerun && in_time && self.spend_retry(request) => {
                self.find_server(request, out);
            }
            FailureCause::Status(status) if kind.is_idempotent() || !is_promise(status) => {
                out.push(Effect::Request(request, NextStep::ForwardFailure));
                self.finish_request(request, Progress::Finished, out);
            }
            _ => self.refuse_request(request, Some(RETRY_AFTER), RefusalDetail::SendFailed, out),
        }
    }

    /// Takes one retry of the request from the retry budget of its service, and returns whether there was one.
    pub(super) fn spend_retry(&mut self, request: RequestId) -> bool {
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let tuning = &self.settings.tuning;
        let vms = self.peers().count() + 1;
        let limits = RetryLimits {
            retries_per_request: tuning.retry_ratio * RETRY_BUDGET_SHARE,
            #[allow(clippy::cast_precision_loss)]
            extra_retries: tuning.retry_extra * RETRY_BUDGET_SHARE / vms as f64,
            window: tuning.retry_window,
        };
        let budget = self.retry_budgets.entry(state.service.clone()).or_default();
        budget.try_spend(self.now, limits)
    }

    /// Handles the timer of a request: its deadline, a missing answer of the scheduler, or a missing permit.
    pub(crate) fn handle_request_timer(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        if state.deadline > self.now {
            let unanswered = state.phase == Phase::Waiting && state.call.work.is_some();
            let is_overdue = unanswered && self.now.since(state.arrived) >= PLACEMENT_RETRY_DELAY;
            // Another VM may know a scheduler, and has more time to wait for one.
            let is_left_alone = is_overdue
                && self.is_stopping()
                && state.has_not_run()
                && self.scheduler_vm(&state.service).is_none();
            if state.is_past_start(self.now) || is_left_alone {
                self.refuse_request(request, Some(Span::ZERO), RefusalDetail::Stopping, out);
                return;
            }
            if is_overdue {
                self.request_placement(request, out);
            }
            self.handle_permit_timeout(request, out);
            self.decide_lookup(request, out);
            return;
        }
        metrics::count_for_service(out, Figure::Refused, &state.service, "timed_out");
        let answer_started = matches!(
            state.phase,
            Phase::Sent {
                answer_started: true,
                ..
            }
        );
        let (id, server) = (&state.call.id, state.server().map_or("-", Server::as_str));
        Self::log(
            out,
            Code::TimedOut,
            format!(
                "id={id} server={server} begun={answer_started} timeout={} waited={} stopping={}",
                state.route.timeout,
                self.now.since(state.arrived),
                self.is_stopping()
            ),
        );
        let proof = state.proof();
        let refusal = match proof {
            Some(_) => Refusal::new(RefusalReason::Overloaded, proof, Some(RETRY_AFTER)),
            None => Refusal::new(RefusalReason::TimedOut, None, None),
        };
        out.push(if answer_started {
            Effect::Request(request, NextStep::AbortAnswer)
        } else {
            refuse(request, refusal)
        });
        if proof.is_some() {
            self.refund(request);
        }
        self.finish_request(request, Progress::Finished, out);
    }

    /// Handles the scheduler's reply that it can't place a request in time.
    pub(crate) fn handle_placement_refused(
        &mut self,
        request: RequestId,
        after: Span,
        out: &mut Effects,
    ) {
        if self
            .in_flight
            .get(&request)
            .is_some_and(|state| state.phase == Phase::Waiting)
        {
            self.refuse_request(request, Some(after), RefusalDetail::Scheduler, out);
        }
    }

    /// Refuses a request. Its caller is told that it has not run, and may retry after `after`, only if that is proven.
    pub(crate) fn refuse_request(
        &mut self,
        request: RequestId,
        after: Option<Span>,
        detail: RefusalDetail,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let waited = self.now.since(state.arrived);
        let ran = state.ledger.executions();
        let proof = state.proof();
        let evidence = proof.map_or("-", |proof| proof.evidence().name());
        let account = state.account.as_ref().map_or("-", |a| a.name.as_str());
        let retry_after = after.unwrap_or_default();
        let part = self.quarantine.quarantined_part(&state.call, self.now);
        let part = part.map_or("-".to_owned(), |part| format!("{part:08x}"));
        Self::log(
            out,
            Code::Refused,
            format!(
                "id={} call={} account={account} cost={} why={} part={part} waited={waited} sends={} ran={ran} after={retry_after} proof={evidence}",
                state.call.id,
                state.call.fingerprint,
                state.cost,
                detail.name(),
                state.send_count
            ),
        );
        metrics::count_for_service(out, Figure::Refused, &state.service, detail.name());
        out.push(refuse(request, Refusal::new(detail.reason(), proof, after)));
        if proof.is_some() {
            self.refund(request);
        }
        self.finish_request(request, Progress::Finished, out);
    }
}

/// Returns whether callers take this status for a promise that the request has not run and never will.
const fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns the effect that refuses a request.
pub(crate) fn refuse(request: RequestId, refusal: Refusal) -> Effect {
    Effect::Request(request, NextStep::Refuse(refusal))
}

/// Records a failed send in the health of its server. A rejection is not a failure of the server, but who says for a plain service
/// that another server is meant is not that server: nothing else can be missing there.
fn record_health(health: &mut Health, cause: FailureCause, is_plain: bool, now: Instant) {
    match cause {
        FailureCause::Missing if is_plain => health.record_connection_failure(now),
        FailureCause::Unreachable | FailureCause::Broken => health.record_connection_failure(now),
        FailureCause::Malformed | FailureCause::Status(_) => health.record_failure(now),
        FailureCause::Full
        | FailureCause::Missing
        | FailureCause::Declined
        | FailureCause::NoPath => {}
    }
}
