//! Refusing at once what can't be served in time.

use dahliastile_core::time::{Instant, Span};

use super::{Decision, Desk};

/// The least time that a request needs at an engine: a short prompt and a few steps.
const SHORTEST: Span = Span::from_millis(150);

/// When a caller that was refused may come back: what waits now will mostly be served by then.
const COME_BACK: Span = Span::from_millis(600);

impl Desk {
    /// Refuses the waiting requests that can't be served before their time is over.
    pub(crate) fn refuse_jobs(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for id in self.jobs.waiting(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let resident = self.best(now, job).is_some();
            let needs = if resident {
                SHORTEST
            } else {
                SHORTEST + self.load_time
            };
            if now + needs <= job.ends {
                continue;
            }
            self.jobs.remove(&id);
            out.push(Decision::Refuse(id.vm, id.request, COME_BACK));
        }
    }
}
