//! Refusing at once what can't be served in time.

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::forecast::{For, Wait};
use super::job::Job;
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// The least time from a place to the first event: a short prompt and a few steps.
const SHORTEST: Span = Span::from_millis(150);

/// How long a new request may be thought about before it is refused: an eighth of the deployments' objective.
const FRESH: Span = Span::from_millis(125);

/// How long a request whose objective has passed may still have to wait: newer ones that can be in time go before it, so
/// that a longer forecast does not hold.
const LATE_WAIT: Span = Span::from_millis(1_000);

/// The bounds of the time after which a refused caller may come back: the first lets a burst pass, the second is about
/// a third of the shortest deadline, which is how long callers wait.
const COME_BACK: (Span, Span) = (Span::from_millis(300), Span::from_millis(1_500));

impl Scheduler {
    /// Refuses the waiting requests that can't be served in time, by the forecast.
    pub(crate) fn refuse_jobs(&mut self, now: Instant, waits: &[Wait], out: &mut Vec<Decision>) {
        if !self.settings.uses(Feature::ForecastRefusals) {
            return;
        }
        for wait in waits {
            let Some(job) = self.jobs.get(&wait.id) else {
                continue;
            };
            if job.waits() && hopeless(now, job, wait) {
                let after = wait.span.max(COME_BACK.0).min(COME_BACK.1);
                let waited = now.since(job.arrived);
                let detail = format!(
                    "id={} vm={} why={:?} forecast={} waited={waited} left={} after={after}",
                    job.id,
                    wait.id.vm,
                    wait.what,
                    wait.span,
                    job.ends.since(now)
                );
                out.push(Decision::Log(Record::new(Code::TurnedAway, detail)));
                out.push(Decision::Refuse(wait.id.vm.clone(), wait.id.request, after));
                self.jobs.remove(&wait.id);
            }
        }
    }
}

/// Whether a request can't be served in time: before its caller leaves, within its objective where it is new, or soon
/// where its objective has passed. How much a copy on its way shortens a queue is told too low rather than too high, so that a new
/// request is not refused there for the last bit of its objective.
fn hopeless(now: Instant, job: &Job, wait: &Wait) -> bool {
    let objective = job.due.since(job.arrived);
    let fresh = now.since(job.arrived) <= FRESH;
    let late = now > job.due;
    let first = match wait.what {
        For::Room | For::Load | For::Engine => SHORTEST,
        For::Copy | For::Coming => Span::ZERO,
    };
    let closed = wait.what == For::Engine;
    closed && now + wait.span + first > job.due
        || now + wait.span + SHORTEST > job.ends
        || fresh && wait.span + first > objective
        || late && wait.span > LATE_WAIT
}
