//! The record of each request in quarantine in the key-value service, so that VMs that start later know of it, and operators can lift
//! it by removing it. It goes with its lease.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use super::LENGTH;
use crate::effect::{Effects, Op, OpId};
use crate::event::{Lease, Outcome};
use crate::fact::{Fact, Revision, Subject, Way, own};
use crate::fingerprint::Fingerprint;
use crate::node::Gateway;
use crate::timer::Timer;

/// How much later than the first VM that counts a request's strikes the next one writes, where the record is not there by then.
const TURN: Span = Span::from_millis(500);

/// How long a lease takes further records: they go that much sooner.
const LEASE_SHARED: Span = Span::from_secs(60);

/// The pause after a call that failed, doubled with each further one.
const RETRY: Span = Span::from_secs(1);

/// How often it is doubled.
const DOUBLINGS: u32 = 3;

/// What is wanted of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wish {
    /// That it is there.
    There,
    /// That it is gone.
    Gone,
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The lease.
    Lease,
    /// What is wanted of a record.
    Record(Fingerprint),
}

/// What this VM has to write.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Records that are not as they should be, each with when this VM sees to it.
    wishes: BTreeMap<Fingerprint, (Wish, Instant)>,
    /// The lease, with when it was granted.
    lease: Option<(Lease, Instant)>,
    /// The call in progress.
    call: Option<(OpId, Purpose)>,
    /// Calls in a row that failed.
    failures: u32,
    /// Until when none is made after one that failed.
    pause: Instant,
}

impl State {
    /// Whether a call is one on records.
    pub(crate) fn owns(&self, op: OpId) -> bool {
        self.call.is_some_and(|(id, _)| id == op)
    }

    /// When something is to be written.
    pub(super) fn next(&self) -> Option<Instant> {
        let due = self.wishes.values().map(|(_, at)| *at).min();
        let due = due.filter(|_| self.call.is_none());
        due.map(|at| at.max(self.pause))
    }

    /// The wish that is due now.
    fn due(&self, now: Instant) -> Option<(Fingerprint, Wish)> {
        if self.call.is_some() || now < self.pause {
            return None;
        }
        let mut wishes = self.wishes.iter();
        let due = wishes.find(|(_, (_, at))| *at <= now);
        due.map(|(fingerprint, (wish, _))| (*fingerprint, *wish))
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
        self.wish(fingerprint, Wish::There, at, out);
    }

    /// A request got a whole answer: its record goes, if there is one.
    pub(super) fn remove_record(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        self.wish(fingerprint, Wish::Gone, self.now, out);
    }

    fn wish(&mut self, fingerprint: Fingerprint, wish: Wish, at: Instant, out: &mut Effects) {
        let wishes = &mut self.quarantine.records.wishes;
        wishes.insert(fingerprint, (wish, at));
        self.records_due(out);
    }

    /// The revision of a request's record, where it is there.
    fn recorded_at(&self, fingerprint: Fingerprint) -> Option<Revision> {
        let known = self.facts.get(&Subject::Quarantine(fingerprint));
        let there = known.filter(|change| change.fact.is_some());
        there.map(|change| change.revision)
    }

    /// Forgets the wishes that have come true, or for requests that are no longer refused.
    fn drop_wishes(&mut self) {
        let mut wishes = std::mem::take(&mut self.quarantine.records.wishes);
        wishes.retain(|fingerprint, (wish, _)| {
            let there = self.recorded_at(*fingerprint).is_some();
            let refused = self.quarantine.left(*fingerprint, self.now).is_some();
            match wish {
                Wish::There => refused && !there,
                Wish::Gone => there,
            }
        });
        self.quarantine.records.wishes = wishes;
    }

    /// Makes the next call on records that is due.
    pub(crate) fn records_due(&mut self, out: &mut Effects) {
        self.drop_wishes();
        if let Some((fingerprint, wish)) = self.quarantine.records.due(self.now) {
            self.fulfil(fingerprint, wish, out);
        }
        if let Some(next) = self.quarantine.records.next() {
            self.timers.set_once(next, Timer::Quarantine);
        }
    }

    fn fulfil(&mut self, fingerprint: Fingerprint, wish: Wish, out: &mut Effects) {
        let subject = Subject::Quarantine(fingerprint);
        let known = self.recorded_at(fingerprint);
        let lease = self.quarantine.records.lease(self.now);
        let purpose = Purpose::Record(fingerprint);
        let (purpose, op) = match (wish, known, lease) {
            (Wish::Gone, Some(revision), _) => (purpose, Op::Remove(subject, revision)),
            (_, _, Some(lease)) => {
                let change = own(subject.clone(), Fact::Quarantine);
                (purpose, Op::Put(change, lease, vec![(subject, 0)]))
            }
            (_, _, None) => (Purpose::Lease, Op::Grant(LENGTH)),
        };
        let id = self.store(op, out);
        self.quarantine.records.call = Some((id, purpose));
    }

    /// A call on records came back.
    pub(crate) fn recorded(&mut self, outcome: Outcome, out: &mut Effects) {
        let now = self.now;
        let records = &mut self.quarantine.records;
        let Some((_, purpose)) = records.call.take() else {
            return;
        };
        match (purpose, outcome) {
            (Purpose::Lease, Outcome::Granted(lease, _)) => {
                records.lease = Some((lease, now));
                records.failures = 0;
            }
            (Purpose::Record(fingerprint), Outcome::Written(_)) => {
                records.wishes.remove(&fingerprint);
                records.failures = 0;
            }
            (_, Outcome::Conflict(changes)) => {
                records.pause = now + RETRY;
                self.take_changes(changes, Way::Told, false, out);
            }
            (_, outcome) => {
                if matches!(outcome, Outcome::NoLease) {
                    records.lease = None;
                }
                let pause = RETRY.times(1 << records.failures.min(DOUBLINGS));
                records.failures += 1;
                records.pause = now + Span(self.rng.random_range(pause.0 / 2..=pause.0));
            }
        }
        self.records_due(out);
    }
}
