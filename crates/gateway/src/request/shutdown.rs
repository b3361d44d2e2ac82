//! Requests of callers at a graceful stop.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::{Code, Record};

use super::state::{Phase, RequestState};
use crate::node::Gateway;

/// Number of unanswered requests that are logged, so that the end of a busy process is not delayed.
const MAX_LOGGED: usize = 16;

impl Gateway {
    /// Returns a log record for each request without a final answer, for [`MAX_LOGGED`] of them. Called when the process
    /// ends.
    #[must_use]
    pub fn unanswered_requests(&self) -> Vec<Record> {
        let states = self.in_flight.values().take(MAX_LOGGED);
        states.map(|state| self.unanswered_record(state)).collect()
    }

    fn unanswered_record(&self, state: &RequestState) -> Record {
        let now = self.now;
        let (phase, begun) = match &state.phase {
            Phase::Resolving => ("resolving", false),
            Phase::Charging => ("charging", false),
            Phase::Waiting => ("waiting", false),
            Phase::Permit { .. } => ("permit", false),
            Phase::Sent { answer_started, .. } => ("sent", *answer_started),
        };
        let client = self.scheduler_clients.get(&state.service);
        let scheduler = client.and_then(|client| client.holder.as_ref());
        let detail = format!(
            "id={} route={} phase={phase} begun={begun} server={} waited={} sent={} sends={} left={} scheduler={} heard={}",
            state.call.id,
            state.route.name,
            state.server().map_or("-", Server::as_str),
            now.since(state.arrived),
            now.since(state.sent),
            state.send_count,
            state.deadline.since(now),
            scheduler.map_or("-", Vm::as_str),
            now.since(self.holder_last_heard(&state.service)),
        );
        Record::new(Code::Unanswered, detail)
    }
}
