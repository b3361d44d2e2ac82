//! A scheduler that goes on without the key-value service, where engines don't check fencing numbers.
//!
//! There a holder must stop before its lease can end, as another VM may take its leadership from then on. While the key-value
//! service answers nobody, nobody can take it, and the holder asks all other VMs to say so: a VM that has had no answer
//! itself for a while gives its lease vote, not to take the leadership for [`VOTE`] from when it hears the question. The holder goes on as
//! long as it has a vote of each VM that it knows, counted from when it asked. One VM that reaches the service, or is not
//! heard, is enough to have the holder stop; a VM that has just got a lease waits a vote's length before it takes a leadership.

use std::collections::BTreeMap;

use dahliastile_core::id::{Service, Vm};
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::event::KvOutcome;
use crate::feature::Feature;
use crate::message::Message;
use crate::node::Gateway;
use crate::timer::Timer;

/// How long a lease vote holds. The holder asks four times within it, and an order may be on its way for 300 ms of it.
pub(crate) const VOTE: Span = Span::from_millis(1_000);

/// The time between two questions.
const ASK_EVERY: Span = Span::from_millis(200);

/// How much later than its turn a renewal may be answered before the key-value service counts as away here: fifty times its
/// usual time.
const OVERDUE: Span = Span::from_millis(200);

/// How long a write without an answer may still be carried out.
const LATE_WRITE: Span = Span::from_secs(15);

/// Lease votes given and had.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Until when this VM takes no leadership of a service.
    given: BTreeMap<Service, Instant>,
    /// The votes that this VM had, each with when it asked for it.
    had: BTreeMap<(Service, Vm), Instant>,
    /// When it asks next.
    next: Instant,
    /// Until when a write of a leadership may be carried out that had no answer.
    unsure: Instant,
    /// Whether this VM schedules by votes alone.
    pub(crate) holds: bool,
}

impl State {
    /// Until when this VM has said that it takes no leadership of a service.
    pub(crate) fn given(&self, service: &Service) -> Instant {
        self.given.get(service).copied().unwrap_or_default()
    }

    /// Until when a write of a leadership may be carried out that had no answer.
    pub(crate) fn unsure(&self) -> Instant {
        self.unsure
    }

    /// A write of a leadership came back.
    pub(crate) fn leadership_written(&mut self, now: Instant, outcome: &KvOutcome) {
        if matches!(outcome, KvOutcome::Unknown) {
            self.unsure = now + LATE_WRITE;
        }
    }
}

impl Gateway {
    /// When the renewals of this VM's leaderships have had no answer for a while.
    fn overdue_at(&self) -> Instant {
        self.leaderships.renewed() + self.settings.tuning.renew + OVERDUE
    }

    /// Asks all other VMs for their votes, where this one schedules and its renewals have no answer.
    pub(crate) fn request_votes(&mut self, out: &mut Effects) {
        let used = self.settings.uses(Feature::LeaseVotes);
        if !used || self.settings.tuning.fencing || self.schedulers.is_empty() {
            return;
        }
        let due = self.votes.next.max(self.overdue_at());
        if self.now < due {
            self.timers.set_once(due, Timer::Leadership);
            return;
        }
        self.votes.next = self.now + ASK_EVERY;
        self.timers.set_once(self.votes.next, Timer::Leadership);
        for (service, scheduler) in &self.schedulers {
            let question = Message::RequestLeaseVote(service.clone(), scheduler.fence(), self.now);
            self.broadcast(&question, out);
        }
    }

    /// The holder of a leadership asks for a vote. It came from the one that this VM takes for the holder.
    pub(crate) fn handle_vote_request(
        &mut self,
        service: &Service,
        fence: u64,
        asked: Instant,
        from: &Vm,
        out: &mut Effects,
    ) {
        if !self.registration.unanswered(self.now) {
            // The holder has no answer. This VM learns whether it has any, and says so when it is asked again.
            self.probe_by_registration(out);
            return;
        }
        if self.now < self.votes.unsure
            || self.leaderships.writes(service)
            || self.schedulers.contains_key(service)
        {
            return;
        }
        let until = self.now + VOTE;
        self.votes.given.insert(service.clone(), until);
        self.send(from, Message::LeaseVote(service.clone(), fence, asked), out);
    }

    /// A VM has given the vote that this one asked for at a time.
    pub(crate) fn handle_vote(&mut self, service: &Service, fence: u64, asked: Instant, from: &Vm) {
        let holds = self
            .schedulers
            .get(service)
            .map(crate::scheduler::Scheduler::fence);
        if holds != Some(fence) {
            return;
        }
        let had = self.votes.had.entry((service.clone(), from.clone()));
        let had = had.or_default();
        *had = (*had).max(asked);
    }

    /// Until when all other VMs take no leadership of a service, with the time that an order may be on its way.
    pub(crate) fn voted_until(&self, service: &Service) -> Instant {
        let had = |vm: &Vm| self.votes.had.get(&(service.clone(), vm.clone()));
        let asked = self.peers().map(|vm| had(vm).copied().unwrap_or_default());
        let first = asked.min().unwrap_or_default();
        if first == Instant::default() {
            return first;
        }
        first + (VOTE - self.settings.tuning.lease_guard)
    }
}
