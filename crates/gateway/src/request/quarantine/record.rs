//! The record of each request in quarantine in the key-value service, so that VMs that start later know of it, and operators can lift
//! it by removing it. It goes with its lease.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};

use super::QUARANTINE_DURATION;
use crate::cluster::lease::backoff;
use crate::cluster::snapshot::{Delivery, EntryKey, EntryValue, Revision, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::{KvOutcome, Lease};
use crate::node::Gateway;
use crate::request::fingerprint::Fingerprint;
use crate::timer::Timer;

/// How much later than the first VM that counts a request's strikes the next one writes, where the record is not there by then.
const TURN: Span = Span::from_millis(500);

/// How long a lease takes further records: they go that much sooner.
const LEASE_SHARED: Span = Span::from_secs(60);

/// How long after a whole answer a record is removed that is written all the same: a write may be carried out seconds late.
const LATE_WRITE: Span = Span::from_secs(10);

/// The pause after the first call that failed.
const RETRY: Span = Span::from_secs(1);

/// The longest pause after calls that failed.
const RETRY_LONGEST: Span = Span::from_secs(8);

/// What a record is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goal {
    /// There.
    Present,
    /// Gone, also if it is written late, until then.
    Absent(Instant),
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The lease.
    Lease,
    /// What a record is to be.
    Record(Fingerprint),
}

/// What this VM has to write.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Records that are not as they should be, each with when this VM sees to it.
    goals: BTreeMap<Fingerprint, (Goal, Instant)>,
    /// The lease, with when it was granted.
    lease: Option<(Lease, Instant)>,
    /// The call in progress.
    call: Option<(KvOperationId, Purpose)>,
    /// Calls in a row that failed.
    failures: u32,
    /// Until when none is made after one that failed.
    pause: Instant,
}

impl State {
    /// Whether a call is one on records.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
        self.call.is_some_and(|(id, _)| id == op)
    }

    /// When something is to be written.
    pub(super) fn next(&self) -> Option<Instant> {
        let due = self.goals.values().map(|(_, at)| *at).min();
        let due = due.filter(|_| self.call.is_none());
        due.map(|at| at.max(self.pause))
    }

    /// The goal that is to be worked on now.
    fn due(&self, now: Instant) -> Option<(Fingerprint, Goal)> {
        if self.call.is_some() || now < self.pause {
            return None;
        }
        let mut goals = self.goals.iter();
        let due = goals.find(|(_, (_, at))| *at <= now);
        due.map(|(fingerprint, (goal, _))| (*fingerprint, *goal))
    }

    /// A call on a record was carried out. Whether one stays gone is looked at again.
    fn written(&mut self, fingerprint: Fingerprint, now: Instant) {
        match self.goals.get_mut(&fingerprint) {
            Some((Goal::Absent(_), at)) => *at = now + TURN,
            _ => drop(self.goals.remove(&fingerprint)),
        }
    }

    /// The lease for a further record, if it has long enough to live.
    fn lease(&self, now: Instant) -> Option<Lease> {
        let lease = self.lease.as_ref();
        let lease = lease.filter(|(_, granted)| now.since(*granted) < LEASE_SHARED);
        lease.map(|(id, _)| *id)
    }
}

impl Gateway {
    /// A request is in quarantine by this VM's count: the VMs that count its strikes write its record in turn, until one has.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        let counters = self.counters(fingerprint);
        let turn = counters.iter().position(|vm| **vm == self.settings.vm);
        let turn = turn.unwrap_or(counters.len());
        let at = self.now + TURN.times(turn as u64);
        self.set_goal(fingerprint, Goal::Present, at, out);
    }

    /// A request got a whole answer: its record goes, if there is one or another VM is about to write it.
    pub(super) fn remove_record(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        let until = self.now + LATE_WRITE;
        self.set_goal(fingerprint, Goal::Absent(until), self.now, out);
    }

    fn set_goal(&mut self, fingerprint: Fingerprint, goal: Goal, at: Instant, out: &mut Effects) {
        let goals = &mut self.quarantine.records.goals;
        goals.insert(fingerprint, (goal, at));
        self.handle_quarantine_timer(out);
    }

    /// The revision of a request's record, where it is there.
    fn recorded_at(&self, fingerprint: Fingerprint) -> Option<Revision> {
        let known = self.snapshot.get(&EntryKey::Quarantine(fingerprint));
        let there = known.filter(|change| change.value.is_some());
        there.map(|change| change.revision)
    }

    /// Forgets the goals that are reached, or of requests that are no longer refused.
    fn drop_goals(&mut self) {
        let mut goals = std::mem::take(&mut self.quarantine.records.goals);
        goals.retain(|fingerprint, (goal, _)| {
            let there = self.recorded_at(*fingerprint).is_some();
            let refused = self.quarantine.left(*fingerprint, self.now).is_some();
            match goal {
                Goal::Present => refused && !there,
                Goal::Absent(until) => there || self.now < *until,
            }
        });
        self.quarantine.records.goals = goals;
    }

    /// Makes the next call on records that is due.
    pub(crate) fn handle_quarantine_timer(&mut self, out: &mut Effects) {
        self.drop_goals();
        if let Some((fingerprint, goal)) = self.quarantine.records.due(self.now) {
            self.pursue(fingerprint, goal, out);
        }
        if let Some(next) = self.quarantine.records.next() {
            self.timers.set_once(next, Timer::Quarantine);
        }
    }

    fn pursue(&mut self, fingerprint: Fingerprint, goal: Goal, out: &mut Effects) {
        let subject = EntryKey::Quarantine(fingerprint);
        let known = self.recorded_at(fingerprint);
        let lease = self.quarantine.records.lease(self.now);
        let purpose = Purpose::Record(fingerprint);
        let (purpose, op) = match (goal, known, lease) {
            (Goal::Absent(_), None, _) => {
                let again = (goal, self.now + TURN);
                self.quarantine.records.goals.insert(fingerprint, again);
                return;
            }
            (Goal::Absent(_), Some(revision), _) => {
                (purpose, KvOperation::Remove(subject, revision))
            }
            (Goal::Present, _, Some(lease)) => {
                let change = proposed_change(subject.clone(), EntryValue::Quarantine);
                (purpose, KvOperation::Put(change, lease, vec![(subject, 0)]))
            }
            (Goal::Present, _, None) => {
                (Purpose::Lease, KvOperation::GrantLease(QUARANTINE_DURATION))
            }
        };
        let id = self.call_kv(op, out);
        self.quarantine.records.call = Some((id, purpose));
    }

    /// A call on records came back.
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
                records.written(fingerprint, now);
            }
            (_, KvOutcome::Conflict(changes)) => {
                records.pause = now + RETRY;
                self.apply_changes(changes, Delivery::LatestOnly, false, out);
            }
            (_, outcome) => {
                if matches!(outcome, KvOutcome::NoLease) {
                    records.lease = None;
                }
                let pause = backoff(RETRY, RETRY_LONGEST, records.failures, &mut self.rng);
                records.pause = now + pause;
                records.failures += 1;
            }
        }
        self.handle_quarantine_timer(out);
    }
}
