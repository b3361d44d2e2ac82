//! Refuses requests as soon as the forecast shows that they cannot be served in time.

use dahliastile_core::id::Tenant;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::forecast::{WaitForecast, WaitReason};
use super::scheduled_request::ScheduledRequest;
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// Shortest time from the placement of a request to the first chunk of its answer: prefill of a short prompt
/// and a few decoding steps.
const MIN_TIME_TO_FIRST_CHUNK: Span = Span::from_millis(150);

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
    /// Refuses the waiting requests that cannot be served in time according to the forecast.
    pub(crate) fn refuse_unservable(
        &mut self,
        now: Instant,
        forecasts: &[WaitForecast],
        out: &mut Vec<Decision>,
    ) {
        if !self.settings.uses(Feature::ForecastRefusals) {
            return;
        }
        for forecast in forecasts {
            let Some(request) = self.requests.get(&forecast.id) else {
                continue;
            };
            if request.is_waiting() && cannot_be_served(now, request, forecast) {
                let after = forecast
                    .span
                    .max(RETRY_AFTER_BOUNDS.0)
                    .min(RETRY_AFTER_BOUNDS.1);
                let waited = now.since(request.arrived);
                let account = request.detail.account.as_ref().map_or("-", Tenant::as_str);
                let detail = format!(
                    "id={} vm={} why={:?} forecast={} waited={waited} left={} after={after} account={account}",
                    request.id,
                    forecast.id.vm,
                    forecast.reason,
                    forecast.span,
                    request.deadline.since(now)
                );
                out.push(Decision::Log(Record::new(Code::TurnedAway, detail)));
                out.push(Decision::Refuse(
                    forecast.id.vm.clone(),
                    forecast.id.request,
                    after,
                ));
                self.requests.remove(&forecast.id);
                self.refusals.record_refusal(now);
            }
        }
    }
}

/// Returns whether a request cannot be served in time: before its deadline, within its objective if it is new,
/// or within [`MAX_LATE_WAIT`] if its objective has passed. The forecast rather underestimates how much a copy
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
    no_engine_accepts && now + forecast.span + first_chunk > request.first_chunk_due
        || now + forecast.span + MIN_TIME_TO_FIRST_CHUNK > request.deadline
        || is_new && forecast.span + first_chunk > objective
        || is_late && forecast.span > MAX_LATE_WAIT
}
