//! Distinguishes an outage of the key-value service from the loss of this VM's path to it.
//!
//! A server whose entry lapsed in an outage is alive and writes the entry again, so a deletion after an outage takes effect
//! only after a grace period. Where only some VMs lose their path, nothing lapses, and a deletion takes effect at once. One VM
//! can't tell these cases apart by its own calls, so what counts is when the service answered any VM, as far as this one
//! knows: VMs send the age of the last answer with each batch of changes, and a VM without a path asks others for theirs.
//!
//! An entry lapses after [`LAPSE_INTERVALS`] report intervals without a renewal, and its last renewal may precede the outage
//! by one of them. After an outage it takes a report interval until every server has renewed its entry: entries may still
//! lapse in that time, and another outage within it adds to the first.
//!
//! The grace period counts from the service's return and not from the deletion's arrival, so that it does not grow on the way
//! over several VMs.

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::node::Gateway;
use crate::settings::Tuning;

/// The number of report intervals without a renewal after which a server's entry lapses.
const LAPSE_INTERVALS: u64 = 3;

/// The longest time between two answers that counts as none without an answer: the duration of a watch, the pause after it,
/// and some margin.
const ANSWER_PAUSE: Span = Span::from_millis(1_100);

/// When the key-value service has answered any VM, as far as this VM knows.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The last known answer; none before the first.
    last_answer: Option<Instant>,
    /// Since when no two answers were further apart than [`ANSWER_PAUSE`].
    answering_since: Instant,
    /// The end of the last such time, but for the present one, in which every server could renew its entry.
    renewed_until: Instant,
    /// The last answer at which entries may have lapsed, or the first one after this VM's start; none if another VM has ruled
    /// an outage out.
    ended_at: Option<Instant>,
}

impl State {
    /// Records that the service answered this or another VM. Answers may be reported out of order.
    fn record_answer(&mut self, at: Instant, tuning: &Tuning) {
        let Some(last) = self.last_answer else {
            *self = Self {
                last_answer: Some(at),
                answering_since: at,
                renewed_until: at,
                ended_at: Some(at),
            };
            return;
        };
        if at <= last {
            return;
        }
        if at.since(last) >= ANSWER_PAUSE {
            self.renewed_until = self.last_renewal(last, tuning);
            self.answering_since = at;
        }
        self.last_answer = Some(at);
        if self.may_have_lapsed(at, tuning) {
            self.ended_at = Some(at);
        }
    }

    /// Returns until when every server could renew its entry, where the service last answered at `last`.
    fn last_renewal(&self, last: Instant, tuning: &Tuning) -> Instant {
        if last.since(self.answering_since) >= tuning.report_interval {
            last
        } else {
            self.renewed_until
        }
    }

    /// Whether entries may have lapsed by `now` since their servers could not renew them.
    fn may_have_lapsed(&self, now: Instant, tuning: &Tuning) -> bool {
        let lapse_time = tuning.report_interval.times(LAPSE_INTERVALS - 1);
        self.last_answer.is_none_or(|last| {
            let unrenewed = now.since(self.last_renewal(last, tuning));
            unrenewed >= lapse_time.max(ANSWER_PAUSE)
        })
    }
}

impl Gateway {
    /// Records that the key-value service answered this or another VM.
    pub(crate) fn record_answer_to_any(&mut self, at: Instant) {
        self.outage.record_answer(at, &self.settings.tuning);
    }

    /// Returns until when entries may be missing only because of an outage of the key-value service, or because the service
    /// came back from a copy; none if they are not.
    pub(crate) fn recovery_end(&self) -> Option<Instant> {
        let tuning = &self.settings.tuning;
        let back = if self.outage.may_have_lapsed(self.now, tuning) {
            Some(self.now)
        } else {
            self.outage.ended_at
        };
        let end = back.max(self.watch.era_began_at)? + tuning.lapse_grace;
        Some(end).filter(|end| self.now < *end)
    }

    /// Whether entries may be missing for one of these reasons.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery_end().is_some()
    }

    /// Handles the word of another VM, which knows all changes that this one does, that there was no outage: what this VM took
    /// for one was the loss of its own path, or that of the VM from which it receives changes.
    pub(crate) fn dismiss_outage(&mut self, out: &mut Effects) {
        let end = self.outage.ended_at.take();
        let was_assumed = end.is_some_and(|end| self.now < end + self.settings.tuning.lapse_grace);
        let lapsed = self.remove_lapsed_servers(Instant::NEVER, out);
        if was_assumed || lapsed > 0 {
            Self::log(out, Code::OutageDismissed, format!("lapsed={lapsed}"));
        }
    }
}
