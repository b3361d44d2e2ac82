//! Refuses requests as soon as the forecast shows that they cannot be served in time.

use dahliastile_core::id::Tenant;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use super::contention::Contention;
use super::forecast::{WaitForecast, WaitReason};
use super::overtaken::QueuesByRank;
use super::scheduled_request::ScheduledRequest;
use super::unserved::{Cause, LoadBlock};
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// Shortest time from the placement of a request to the first chunk of its answer: prefill of a short prompt
/// and a few decoding steps.
pub(crate) const MIN_TIME_TO_FIRST_CHUNK: Span = Span::from_millis(150);

/// Age up to which a request counts as new and may still be refused because of its objective: an eighth of the
/// objective that the deployments use.
const NEW_REQUEST_AGE: Span = Span::from_millis(125);

/// Longest forecast wait of a request whose objective has passed. Newer requests that can still meet their
/// objective go before it, so a longer forecast would not be reliable.
const MAX_LATE_WAIT: Span = Span::from_millis(1_000);

/// Bounds of the time after which a refused caller may retry. The lower one lets a burst pass; the upper one is
/// about a third of the shortest deadline, which is how long callers wait.
const RETRY_AFTER_BOUNDS: (Span, Span) = (Span::from_millis(300), Span::from_millis(1_500));

impl Scheduler {
    /// Refuses the waiting requests that cannot be served in time according to the forecast. `blocks` tells why adapters
    /// were not loaded in this run.
    pub(crate) fn refuse_unservable(
        &mut self,
        now: Instant,
        forecasts: &[WaitForecast],
        blocks: &FxHashMap<AdapterId, LoadBlock>,
        out: &mut Vec<Decision>,
    ) {
        if !self.settings.uses(Feature::ForecastRefusals) {
            return;
        }
        let refuses_overtaken = self.reserves(now);
        let mut queues = QueuesByRank::default();
        for forecast in forecasts {
            let Some(request) = self.requests.get(&forecast.id) else {
                continue;
            };
            if !request.is_waiting() {
                continue;
            }
            let block = request.adapter.and_then(|a| blocks.get(&a).copied());
            if cannot_be_served(now, request, forecast) {
                self.refuse(now, forecast, None, block, out);
                continue;
            }
            let overtaken_wait = refuses_overtaken
                .then(|| self.overtaken_wait(now, request, forecast, &mut queues))
                .flatten();
            if overtaken_wait.is_some() {
                self.contention.add(Contention::Overtaken);
                self.refuse(now, forecast, overtaken_wait, block, out);
            }
        }
    }

    /// Refuses a waiting request, and keeps a claim for its caller. `overtaken_wait` is the time until the request
    /// would be served, if it is refused because others overtake it, and `block` why its adapter was not loaded.
    fn refuse(
        &mut self,
        now: Instant,
        forecast: &WaitForecast,
        overtaken_wait: Option<Span>,
        block: Option<LoadBlock>,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.remove(&forecast.id) else {
            return;
        };
        let span = overtaken_wait.unwrap_or(forecast.span);
        let reason = match overtaken_wait {
            Some(_) => "Overtaken".to_owned(),
            None => format!("{:?}", forecast.reason),
        };
        let after = self
            .time_until_capacity(now, &request, span)
            .max(RETRY_AFTER_BOUNDS.0)
            .min(RETRY_AFTER_BOUNDS.1);
        let waited = now.since(request.arrived);
        let account = request.detail.account.as_ref().map_or("-", Tenant::as_str);
        let detail = format!(
            "id={} vm={} why={reason} forecast={span} waited={waited} left={} after={after} account={account}",
            request.id,
            forecast.id.vm,
            request.deadline.since(now)
        );
        if let Some(adapter) = request.adapter {
            let cause = Cause { reason, block };
            self.unserved
                .record_unserved(now, adapter, &forecast.id, cause);
        }
        let detail = format!("{detail} {}", self.describe_unserved(now, &request, block));
        out.push(Decision::Log(Record::new(Code::TurnedAway, detail)));
        out.push(Decision::Refuse(
            forecast.id.vm.clone(),
            forecast.id.request,
            after,
        ));
        self.refund_share(&request);
        self.add_claim(now, &forecast.id, &request, after);
    }
}

/// Returns whether a request cannot be served in time: before its deadline, within its objective if it is new,
/// or within [`MAX_LATE_WAIT`] if its objective has passed. A caller that was refused before is not refused again
/// because of its objective, since it does not come a third time. The forecast rather underestimates how much a copy
/// that is being loaded shortens a queue, so [`MIN_TIME_TO_FIRST_CHUNK`] is not added in that case: a new
/// request should not be refused for a small excess over its objective.
fn cannot_be_served(now: Instant, request: &ScheduledRequest, forecast: &WaitForecast) -> bool {
    let objective = request.first_chunk_due.since(request.arrived);
    let is_new = now.since(request.arrived) <= NEW_REQUEST_AGE;
    let is_late = now > request.first_chunk_due;
    let first_chunk = match forecast.reason {
        WaitReason::Room | WaitReason::Load | WaitReason::Engine => MIN_TIME_TO_FIRST_CHUNK,
        WaitReason::Copy | WaitReason::Coming => Span::ZERO,
    };
    let no_engine_accepts = forecast.reason == WaitReason::Engine;
    let misses_objective = no_engine_accepts
        && now + forecast.span + first_chunk > request.first_chunk_due
        || is_new && forecast.span + first_chunk > objective
        || is_late && forecast.span > MAX_LATE_WAIT;
    now + forecast.span + MIN_TIME_TO_FIRST_CHUNK > request.deadline
        || misses_objective && !request.is_returning
}
