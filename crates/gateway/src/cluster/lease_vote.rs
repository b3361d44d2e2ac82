//! Lease votes: how a scheduler goes on without the key-value service where engines don't check fencing tokens.
//!
//! Without fencing tokens, the holder of a leadership must stop before its lease can end, as another VM may
//! take the leadership from then on. While the key-value service answers no VM, no VM can take the leadership,
//! and the holder asks all other VMs to confirm this. A VM that has had no answer from the service for a while
//! gives its lease vote: it promises not to take the leadership for [`VOTE_DURATION`] from when it received the
//! request. The holder goes on as long as it has a valid vote of each VM that it knows, counted from when it
//! sent the request. One VM that reaches the service, or doesn't answer, is enough for the holder to stop. A VM
//! whose lease was just granted waits for the duration of a vote before it takes a leadership.

use std::collections::BTreeMap;

use dahliastile_core::id::{Service, Vm};
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::event::KvOutcome;
use crate::feature::Feature;
use crate::message::Message;
use crate::node::Gateway;
use crate::timer::Timer;

/// How long a lease vote is valid. The holder sends four requests within this time, and 300 ms of it are kept
/// for orders in transit.
pub(crate) const VOTE_DURATION: Span = Span::from_millis(1_000);

/// The time between two requests for votes.
const REQUEST_INTERVAL: Span = Span::from_millis(200);

/// How long after its due time a renewal may be unanswered before the key-value service counts as away: fifty
/// times its usual response time.
const RENEWAL_OVERDUE: Span = Span::from_millis(200);

/// How long after a write without an answer the key-value service may still perform it.
const LATE_WRITE_WINDOW: Span = Span::from_secs(15);

/// Lease votes given and received.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// For each service, the time until which this VM's vote forbids it to take the leadership.
    given_until: BTreeMap<Service, Instant>,
    /// The votes that this VM received, each with the time at which it sent the request.
    received: BTreeMap<(Service, Vm), Instant>,
    /// When this VM sends the next requests.
    next_request: Instant,
    /// Until when the key-value service may still perform a write of a leadership that had no answer.
    write_unsettled_until: Instant,
    /// Whether this VM schedules by votes alone, after its lease may have ended.
    pub(crate) schedules_by_votes: bool,
}

impl State {
    /// Returns until when this VM's vote forbids it to take a leadership.
    pub(crate) fn given_until(&self, service: &Service) -> Instant {
        self.given_until.get(service).copied().unwrap_or_default()
    }

    /// Returns until when the key-value service may still perform a write of a leadership that had no answer.
    pub(crate) fn write_unsettled_until(&self) -> Instant {
        self.write_unsettled_until
    }

    /// Records the result of a write of a leadership.
    pub(crate) fn record_leadership_write(&mut self, now: Instant, outcome: &KvOutcome) {
        if matches!(outcome, KvOutcome::Unknown) {
            self.write_unsettled_until = now + LATE_WRITE_WINDOW;
        }
    }
}

impl Gateway {
    /// Returns when the renewal of this VM's lease counts as overdue.
    fn renewal_overdue_at(&self) -> Instant {
        self.leaderships.renewed_at() + self.settings.tuning.renew + RENEWAL_OVERDUE
    }

    /// Requests votes from all other VMs if this VM schedules and its lease's renewal is overdue.
    pub(crate) fn request_votes(&mut self, out: &mut Effects) {
        let is_used = self.settings.uses(Feature::LeaseVotes);
        if !is_used || self.settings.tuning.fencing || self.schedulers.is_empty() {
            return;
        }
        let due = self.votes.next_request.max(self.renewal_overdue_at());
        if self.now < due {
            self.timers.set_once(due, Timer::Leadership);
            return;
        }
        self.votes.next_request = self.now + REQUEST_INTERVAL;
        self.timers
            .set_once(self.votes.next_request, Timer::Leadership);
        for (service, scheduler) in &self.schedulers {
            let request = Message::RequestLeaseVote(service.clone(), scheduler.fence(), self.now);
            self.broadcast(&request, out);
        }
    }

    /// Handles a request for a lease vote. The caller has checked that `from` is the holder that this VM knows.
    pub(crate) fn handle_vote_request(
        &mut self,
        service: &Service,
        fence: u64,
        requested_at: Instant,
        from: &Vm,
        out: &mut Effects,
    ) {
        if !self.registration.is_unanswered(self.now) {
            // The key-value service doesn't answer the holder, but may answer this VM. This VM calls the
            // service to find out, and can vote on the holder's next request.
            self.probe_by_registration(out);
            return;
        }
        if self.now < self.votes.write_unsettled_until
            || self.leaderships.is_writing(service)
            || self.schedulers.contains_key(service)
        {
            return;
        }
        let until = self.now + VOTE_DURATION;
        self.votes.given_until.insert(service.clone(), until);
        self.send(
            from,
            Message::LeaseVote(service.clone(), fence, requested_at),
            out,
        );
    }

    /// Handles the lease vote of a VM, given for the request that this VM sent at `requested_at`.
    pub(crate) fn handle_vote(
        &mut self,
        service: &Service,
        fence: u64,
        requested_at: Instant,
        from: &Vm,
    ) {
        let own_fence = self
            .schedulers
            .get(service)
            .map(crate::scheduler::Scheduler::fence);
        if own_fence != Some(fence) {
            return;
        }
        let latest = self.votes.received.entry((service.clone(), from.clone()));
        let latest = latest.or_default();
        *latest = (*latest).max(requested_at);
    }

    /// Returns until when the votes of all other VMs keep them from taking a leadership, less the time that an
    /// order may be in transit.
    pub(crate) fn votes_valid_until(&self, service: &Service) -> Instant {
        let received = |vm: &Vm| self.votes.received.get(&(service.clone(), vm.clone()));
        let requested_at = self
            .peers()
            .map(|vm| received(vm).copied().unwrap_or_default());
        let earliest = requested_at.min().unwrap_or_default();
        if earliest == Instant::default() {
            return earliest;
        }
        earliest + (VOTE_DURATION - self.settings.tuning.lease_guard)
    }
}
