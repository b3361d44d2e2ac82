//! Records of quarantined requests in the key-value service.
//!
//! A VM that starts after a quarantine began reads the record and enforces the quarantine too. Operators end a
//! quarantine by removing its record. A record disappears when its lease expires.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};

use super::QUARANTINE_DURATION;
use crate::cluster::lease::backoff;
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Delivery, EntryKey, EntryValue, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::{KvOutcome, Lease};
use crate::node::Gateway;
use crate::request::fingerprint::Fingerprint;
use crate::timer::Timer;

/// Delay between the write attempts of the VMs that count for a request: each VM in rendezvous order waits this
/// much longer than the one before it, and writes only if the record is still missing.
const WRITE_DELAY: Span = Span::from_millis(500);

/// How long after its grant a lease is used for further records. Those records expire with the lease, up to
/// this time earlier than under a lease of their own.
const LEASE_REUSE: Span = Span::from_secs(60);

/// How long after a complete answer a record is removed if it still appears: the key-value service may carry
/// out a write seconds late.
const LATE_WRITE_WINDOW: Span = Span::from_secs(10);

/// Pause after the first failed call to the key-value service.
const MIN_BACKOFF: Span = Span::from_secs(1);

/// Upper bound on the pause after consecutive failed calls to the key-value service.
const MAX_BACKOFF: Span = Span::from_secs(8);

/// Desired state of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goal {
    /// The record exists.
    Present,
    /// The record does not exist; a late write is removed as well, until this time.
    Absent(Instant),
}

/// Purpose of a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Obtain a lease.
    Lease,
    /// Write or remove the record of this request.
    Record(Fingerprint),
}

/// Pending writes of records.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Records that are not in their desired state yet, each with the time of the next attempt.
    goals: BTreeMap<Fingerprint, (Goal, Instant)>,
    /// The lease for records, with the time of its grant.
    lease: Option<(Lease, Instant)>,
    /// The call in flight.
    call: Option<(KvOperationId, Purpose)>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// After a failed call, the time until which no other one is made.
    paused_until: Instant,
}

impl State {
    /// Returns whether `op` is the call in flight.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
        self.call.is_some_and(|(id, _)| id == op)
    }

    /// Returns when the next call is due; `None` while a call is in flight.
    pub(super) fn next_call(&self) -> Option<Instant> {
        let due = self.goals.values().map(|(_, at)| *at).min();
        let due = due.filter(|_| self.call.is_none());
        due.map(|at| at.max(self.paused_until))
    }

    /// Returns the next goal that is due, unless a call is in flight or paused.
    fn due_goal(&self, now: Instant) -> Option<(Fingerprint, Goal)> {
        if self.call.is_some() || now < self.paused_until {
            return None;
        }
        let mut goals = self.goals.iter();
        let due = goals.find(|(_, (_, at))| *at <= now);
        due.map(|(fingerprint, (goal, _))| (*fingerprint, *goal))
    }

    /// Handles the success of a write or removal. An absent record is checked again later, because a late
    /// write may restore it.
    fn handle_written(&mut self, fingerprint: Fingerprint, now: Instant) {
        match self.goals.get_mut(&fingerprint) {
            Some((Goal::Absent(_), at)) => *at = now + WRITE_DELAY,
            _ => drop(self.goals.remove(&fingerprint)),
        }
    }

    /// Discards the lease, since the key-value service came back from a copy and may not know it.
    pub(crate) fn invalidate_lease(&mut self) {
        self.lease = None;
    }

    /// Returns the lease to use for a further record, if it has enough time left.
    fn reusable_lease(&self, now: Instant) -> Option<Lease> {
        let lease = self.lease.as_ref();
        let lease = lease.filter(|(_, granted)| now.since(*granted) < LEASE_REUSE);
        lease.map(|(id, _)| *id)
    }
}

impl Gateway {
    /// Schedules the write of a record, for a request that this VM's count has put in quarantine, or whose record
    /// the key-value service has forgotten. The VMs that count for the request try one after another, until one of
    /// them has written it.
    pub(crate) fn schedule_write(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        let crash_counting_vms = self.crash_counting_vms(fingerprint);
        let position = crash_counting_vms
            .iter()
            .position(|vm| **vm == self.settings.vm);
        let position = position.unwrap_or(crash_counting_vms.len());
        let at = self.now + WRITE_DELAY.times(position as u64);
        self.set_goal(fingerprint, Goal::Present, at, out);
    }

    /// Schedules the removal of the record of a request that got a complete answer, whether it exists or is
    /// about to be written by another VM.
    pub(super) fn schedule_removal(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        let until = self.now + LATE_WRITE_WINDOW;
        self.set_goal(fingerprint, Goal::Absent(until), self.now, out);
    }

    fn set_goal(&mut self, fingerprint: Fingerprint, goal: Goal, at: Instant, out: &mut Effects) {
        let goals = &mut self.quarantine.records.goals;
        goals.insert(fingerprint, (goal, at));
        self.handle_quarantine_timer(out);
    }

    /// Returns the revision of a request's record, if the record exists.
    fn record_revision(&self, fingerprint: Fingerprint) -> Option<Revision> {
        let key = EntryKey::Quarantine(fingerprint);
        let change = self.snapshot.get(&key);
        let existing = change.filter(|_| self.snapshot.is_confirmed(&key));
        existing.map(|change| change.revision)
    }

    /// Drops the goals that are reached, and the goals to write a record of a request whose quarantine has
    /// ended.
    fn drop_reached_goals(&mut self) {
        let mut goals = std::mem::take(&mut self.quarantine.records.goals);
        goals.retain(|fingerprint, (goal, _)| {
            let exists = self.record_revision(*fingerprint).is_some();
            let is_quarantined = self.quarantine.remaining(*fingerprint, self.now).is_some();
            match goal {
                Goal::Present => is_quarantined && !exists,
                Goal::Absent(until) => exists || self.now < *until,
            }
        });
        self.quarantine.records.goals = goals;
    }

    /// Makes the next call that is due, and sets the timer for the one after it.
    pub(crate) fn handle_quarantine_timer(&mut self, out: &mut Effects) {
        self.drop_reached_goals();
        if let Some((fingerprint, goal)) = self.quarantine.records.due_goal(self.now) {
            self.call_for_goal(fingerprint, goal, out);
        }
        if let Some(next_call) = self.quarantine.records.next_call() {
            self.timers.set_once(next_call, Timer::Quarantine);
        }
    }

    /// Makes the next call for a goal: grants a lease, writes the record or removes it. If the record to remove
    /// does not exist, checks again after [`WRITE_DELAY`].
    fn call_for_goal(&mut self, fingerprint: Fingerprint, goal: Goal, out: &mut Effects) {
        let key = EntryKey::Quarantine(fingerprint);
        let existing = self.record_revision(fingerprint);
        let lease = self.quarantine.records.reusable_lease(self.now);
        let purpose = Purpose::Record(fingerprint);
        let (purpose, op) = match (goal, existing, lease) {
            (Goal::Absent(_), None, _) => {
                let retry = (goal, self.now + WRITE_DELAY);
                self.quarantine.records.goals.insert(fingerprint, retry);
                return;
            }
            (Goal::Absent(_), Some(revision), _) => (purpose, KvOperation::Remove(key, revision)),
            (Goal::Present, _, Some(lease)) => {
                let change = proposed_change(key.clone(), EntryValue::Quarantine);
                (
                    purpose,
                    KvOperation::Put(change, lease, vec![(key, Revision::default())]),
                )
            }
            (Goal::Present, _, None) => {
                (Purpose::Lease, KvOperation::GrantLease(QUARANTINE_DURATION))
            }
        };
        let id = self.call_kv(op, out);
        self.quarantine.records.call = Some((id, purpose));
    }

    /// Handles the outcome of the call in flight.
    pub(crate) fn handle_quarantine_outcome(&mut self, outcome: KvOutcome, out: &mut Effects) {
        let now = self.now;
        let records = &mut self.quarantine.records;
        let Some((_, purpose)) = records.call.take() else {
            return;
        };
        match (purpose, outcome) {
            (Purpose::Lease, KvOutcome::Granted(lease, _)) => {
                records.lease = Some((lease, now));
                records.failures = 0;
            }
            (Purpose::Record(fingerprint), KvOutcome::Written(_)) => {
                records.failures = 0;
                records.handle_written(fingerprint, now);
            }
            (_, KvOutcome::Conflict(changes)) => {
                records.paused_until = now + MIN_BACKOFF;
                self.apply_changes(changes, Delivery::Listed, false, out);
            }
            (_, outcome) => {
                if matches!(outcome, KvOutcome::NoLease) {
                    records.lease = None;
                }
                let pause = backoff(MIN_BACKOFF, MAX_BACKOFF, records.failures, &mut self.rng);
                records.paused_until = now + pause;
                records.failures += 1;
            }
        }
        self.handle_quarantine_timer(out);
    }
}
