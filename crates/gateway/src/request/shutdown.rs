//! The bounds that a graceful stop sets to requests.
//!
//! The end of the process is a deadline of each request that it has taken. A request that is at no server and has not run at
//! half of the grace is refused, as an answer that began later might be broken off and another VM still has time for it;
//! the scheduler is told of this bound with each such request that waits. One that may have run can't be sent to another
//! VM, so it goes on here as its route allows. What is left shortly before the end gets its final answer then.
//!
//! A request that arrives after the stop and can't be expected to end in time is refused at once.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::state::{Phase, RequestState};
use crate::effect::Effects;
use crate::event::RequestId;
use crate::node::Gateway;
use crate::settings::Tuning;
use crate::timer::Timer;

/// Time from the final answers of all requests to the end of the process, in which the answers are written.
const WRITE_TIME: Span = Span::from_millis(100);

/// Number of unanswered requests that are logged, so that the end of a busy process is not delayed.
const MAX_LOGGED: usize = 16;

/// The latest times of the steps of a request at a VM that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// When requests that are at no server and have not run are refused.
    pub(crate) start: Instant,
    /// When all others get their final answer.
    pub(crate) answer: Instant,
    /// When the process ends.
    pub(crate) end: Instant,
}

impl Bounds {
    /// Returns the bounds of a stop that begins now.
    pub(crate) fn new(now: Instant, tuning: &Tuning) -> Self {
        let end = now + (tuning.grace - tuning.end_margin);
        Self {
            start: now + tuning.start_time(),
            answer: end.back(WRITE_TIME),
            end,
        }
    }
}

impl Gateway {
    /// Whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns when the process ends at the latest; `None` if it was not asked to stop.
    #[must_use]
    pub fn end_by(&self) -> Option<Instant> {
        self.shutdown.map(|bounds| bounds.end)
    }

    /// Bounds all requests of this VM, and asks the schedulers again for the placements that the bounds concern.
    pub(crate) fn bound_requests(&mut self, bounds: Bounds, out: &mut Effects) {
        let mut requests: Vec<RequestId> = self.in_flight.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            self.bound_request(request, bounds);
            let waits = self
                .in_flight
                .get(&request)
                .is_some_and(|state| state.phase == Phase::Waiting && state.call.work.is_some());
            if waits {
                self.request_placement(request, out);
            }
        }
    }

    /// Bounds a request.
    pub(crate) fn bound_request(&mut self, request: RequestId, bounds: Bounds) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.start_by = bounds.start;
        state.deadline = state.deadline.min(bounds.answer);
        for at in [bounds.start, bounds.answer] {
            self.timers.set(at, Timer::Request(request));
        }
    }

    /// Whether a request that has just arrived is likely to be in progress at the end of the process: requests of its route
    /// usually take longer here than there is time.
    pub(crate) fn outlasts_stop(&self, request: RequestId) -> bool {
        let (Some(bounds), Some(state)) = (self.shutdown, self.in_flight.get(&request)) else {
            return false;
        };
        let left = bounds.answer.since(self.now);
        let usual = self.durations.mean(&state.route.name);
        state.deadline > bounds.answer && usual.is_some_and(|usual| usual > left)
    }

    /// Whether a request has to be refused because this VM stops.
    pub(crate) fn is_past_start(&self, request: RequestId) -> bool {
        let state = self.in_flight.get(&request);
        state.is_some_and(|state| state.is_past_start(self.now))
    }

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
