//! Withdraws requests from servers that have fallen behind, as the scheduler of their service asks.
//!
//! A withdrawal has two steps. The task that carries out the attempt is told to cancel it, and confirms that the
//! connection is closed; only then is a new placement requested. The task handles and posts everything in order, so
//! each event that comes before the confirmation belongs to the cancelled attempt, and each later one to the next
//! attempt. If the answer starts or the attempt fails before the task reads the cancellation, it does not confirm.

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;

use super::failure::{MAX_SENDS, MIN_TIME_TO_RETRY};
use super::{Phase, RequestState};
use crate::effect::{Effect, Effects, NextStep};
use crate::event::RequestId;
use crate::metrics;
use crate::node::Gateway;

/// Label of a completed withdrawal in metrics.
const WITHDRAWN: &str = "withdrawn";

impl Gateway {
    /// Handles the scheduler's decision to withdraw a request from a server. The request stays there if its answer has
    /// started, if it may not run on another server, or if the retry budget is used up.
    pub(crate) fn handle_withdrawal(
        &mut self,
        request: RequestId,
        server: &Server,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let answer_started = match &state.phase {
            Phase::Sent {
                server: current,
                answer_started,
            } if current == server && !state.cancelling => *answer_started,
            _ => return,
        };
        let (service, withdrawable) = (state.service.clone(), state.withdrawable);
        let can_be_sent_again = self.can_be_sent_again(state);
        let is_quarantined = self
            .quarantine
            .remaining_for(&state.call, self.now)
            .is_some();
        let kept = match withdrawable {
            _ if answer_started => Some("started"),
            false => Some("not_repeatable"),
            true if !can_be_sent_again || is_quarantined => Some("late"),
            true if !self.spend_retry(request) => Some("budget"),
            true => None,
        };
        if let Some(reason) = kept {
            metrics::count_for_service(out, Figure::Withdrawals, &service, reason);
            return;
        }
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.cancelling = true;
            out.push(Effect::Request(request, NextStep::CancelAttempt));
        }
    }

    /// Returns whether the deadline and the number of sends allow another send.
    fn can_be_sent_again(&self, state: &RequestState) -> bool {
        state.deadline.since(self.now) > MIN_TIME_TO_RETRY && state.send_count < MAX_SENDS
    }

    /// Handles the confirmation that an attempt was cancelled: counts it as a run and finds another server.
    pub(crate) fn handle_attempt_cancelled(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let server = match &state.phase {
            Phase::Sent {
                server,
                answer_started: false,
            } if state.cancelling => server.clone(),
            _ => return,
        };
        state.cancelling = false;
        state.ledger.abandon();
        state.failed.push(server.clone());
        state.phase = Phase::Waiting;
        if let Some(server_state) = self.servers.get_mut(&server) {
            server_state.open = server_state.open.saturating_sub(1);
        }
        let detail = format!(
            "id={} call={} server={server} waited={} sent={}",
            state.call.id,
            state.call.fingerprint,
            self.now.since(state.arrived),
            self.now.since(state.sent)
        );
        metrics::count_for_service(out, Figure::Withdrawals, &state.service, WITHDRAWN);
        Self::log(out, Code::Withdrawn, detail);
        self.find_server(request, out);
    }
}
