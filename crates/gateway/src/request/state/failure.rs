//! What becomes of a request whose server failed it, whose time is over, or that gets no server.

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};

use super::Phase;
use crate::config::RouteKind;
use crate::effect::{Effect, Effects, NextStep, RefusalReason};
use crate::event::{Execution, FailureCause, RequestId};
use crate::message::Progress;
use crate::metrics;
use crate::node::Gateway;
use crate::request::budget::Terms;
use crate::request::health::Health;
use crate::scheduler::client::PLACEMENT_RETRY_DELAY;

/// Sends of one request at most, counting those that did not run: more only wear out the shared budget.
const MAX_SENDS: u32 = 4;

/// When a caller that was refused for want of room may come back: about the time of one answer of a plain service.
pub(super) const COME_BACK: Span = Span::from_millis(300);

/// What is left of a request's time below which it is not sent again: one round trip and the shortest work.
const TOO_LATE: Span = Span::from_millis(30);

/// The part of the shared budget of second sends that the VMs use, so that windows that slide differently elsewhere and
/// here never add up to more.
const BUDGET_USED: f64 = 0.6;

/// Why a request gets no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalDetail {
    /// No server takes work.
    NoServer,
    /// Its server failed it, and it is not sent again.
    SendFailed,
    /// The scheduler can't serve it in time.
    Scheduler,
    /// It crashes servers.
    Quarantined,
    /// Its account has no tokens left.
    OverLimit,
}

impl RefusalDetail {
    /// Its name, for the log and figures.
    const fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::SendFailed => "send_failed",
            Self::Scheduler => "scheduler",
            Self::Quarantined => "quarantined",
            Self::OverLimit => "over_limit",
        }
    }

    /// What its caller is told where it may have run on so many servers.
    const fn reason(self, ran: u32) -> RefusalReason {
        match self {
            _ if ran > 0 => RefusalReason::Failed,
            Self::Quarantined => RefusalReason::Quarantined,
            Self::OverLimit => RefusalReason::OverLimit,
            Self::NoServer | Self::SendFailed | Self::Scheduler => RefusalReason::Overloaded,
        }
    }
}

impl Gateway {
    /// A server did not answer a request well.
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
        let Phase::Sent { server, begun } = state.phase.clone() else {
            return;
        };
        state.failed.push(server.clone());
        state.ran += u32::from(ran != Execution::No);
        if let Some(row) = self.servers.get_mut(&server) {
            row.open = row.open.saturating_sub(1);
            judge(&mut row.health, cause, now);
        }
        Self::log(
            out,
            Code::SendFailed,
            format!(
                "id={} call={} server={server} ran={ran:?} cause={cause:?} begun={begun}",
                state.call.id, state.call.fingerprint
            ),
        );
        if ran != Execution::No && cause == FailureCause::Broken {
            let (fingerprint, sent) = (state.call.fingerprint, state.sent);
            self.suspect(&server, fingerprint, sent, out);
        }
        self.report_progress(request, Progress::Failed(ran, cause), out);
        // It is at no server now, and its end must not count there once more.
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.phase = Phase::Waiting;
        }
        self.after_failure(request, ran, cause, begun, out);
    }

    /// Sends a failed request again where that is allowed and of use, or gives it its final answer.
    fn after_failure(
        &mut self,
        request: RequestId,
        ran: Execution,
        cause: FailureCause,
        begun: bool,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let kind = state.route.kind;
        let may = ran == Execution::No || kind.idempotent() && state.ran < state.route.attempts;
        let cut = begun && kind != RouteKind::Resumable && kind != RouteKind::Safe;
        let in_time = state.ends.since(self.now) > TOO_LATE && state.sends < MAX_SENDS;
        let quarantined = self.quarantine.left(state.call.fingerprint, self.now);
        match cause {
            _ if cut => self.end(request, Progress::Finished, out),
            _ if quarantined.is_some() => {
                self.refuse_request(request, quarantined, RefusalDetail::Quarantined, out);
            }
            _ if may && in_time && self.spend(request) => self.find_server(request, out),
            FailureCause::Status(_) => {
                out.push(Effect::Request(request, NextStep::ForwardFailure));
                self.end(request, Progress::Finished, out);
            }
            _ => self.refuse_request(request, Some(COME_BACK), RefusalDetail::SendFailed, out),
        }
    }

    fn spend(&mut self, request: RequestId) -> bool {
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let tuning = &self.settings.tuning;
        let vms = self.peers().count() + 1;
        let terms = Terms {
            ratio: tuning.retry_ratio * BUDGET_USED,
            #[allow(clippy::cast_precision_loss)]
            extra: tuning.retry_extra * BUDGET_USED / vms as f64,
            window: tuning.retry_window,
        };
        let budget = self.retry_budgets.entry(state.service.clone()).or_default();
        budget.spend(self.now, terms)
    }

    /// A request's time is over.
    pub(crate) fn handle_request_timer(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        if state.ends > self.now {
            let unheard = state.phase == Phase::Waiting && state.call.work.is_some();
            if unheard && self.now.since(state.arrived) >= PLACEMENT_RETRY_DELAY {
                self.request_placement(request, out);
            }
            self.permit_due(request, out);
            return;
        }
        metrics::count_for_service(out, Figure::Refused, &state.service, "timed_out");
        let begun = matches!(state.phase, Phase::Sent { begun: true, .. });
        let sent = matches!(state.phase, Phase::Sent { .. });
        let (id, server) = (&state.call.id, state.server().map_or("-", Server::as_str));
        Self::log(
            out,
            Code::TimedOut,
            format!(
                "id={id} server={server} begun={begun} timeout={}",
                state.route.timeout
            ),
        );
        let effect = match sent || state.ran > 0 {
            _ if begun => Effect::Request(request, NextStep::AbortAnswer),
            true => refusal(request, RefusalReason::TimedOut, None),
            false => refusal(request, RefusalReason::Overloaded, Some(COME_BACK)),
        };
        let ran = sent || state.ran > 0;
        out.push(effect);
        if !ran {
            self.refund(request);
        }
        self.end(request, Progress::Finished, out);
    }

    /// The scheduler can't serve a request in time.
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

    /// Gives a request that is at no server its final answer.
    pub(crate) fn refuse_request(
        &mut self,
        request: RequestId,
        after: Option<Span>,
        why: RefusalDetail,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let waited = self.now.since(state.arrived);
        let ran = state.ran;
        let account = state.account.as_ref().map_or("-", |a| a.name.as_str());
        let back = after.unwrap_or_default();
        Self::log(
            out,
            Code::Refused,
            format!(
                "id={} call={} account={account} cost={} why={} waited={waited} sends={} ran={ran} after={back}",
                state.call.id,
                state.call.fingerprint,
                state.cost,
                why.name(),
                state.sends
            ),
        );
        metrics::count_for_service(out, Figure::Refused, &state.service, why.name());
        out.push(refusal(
            request,
            why.reason(ran),
            after.filter(|_| ran == 0),
        ));
        if ran == 0 {
            self.refund(request);
        }
        self.end(request, Progress::Finished, out);
    }
}

pub(crate) fn refusal(request: RequestId, reason: RefusalReason, after: Option<Span>) -> Effect {
    Effect::Request(request, NextStep::Refuse(reason, after))
}

fn judge(health: &mut Health, cause: FailureCause, now: Instant) {
    match cause {
        FailureCause::Unreachable | FailureCause::Broken => health.record_connection_failure(now),
        FailureCause::Malformed | FailureCause::Status(_) => health.record_failure(now),
        FailureCause::Full | FailureCause::Missing | FailureCause::Declined => {}
    }
}
