//! This VM's own entry in the key-value service, by which others find it, under a slow lease.
//!
//! That a VM is there is not urgent: who depends on another VM hears of its end by its link. So the lease is long and renewed
//! seldom, and an outage of some seconds ends none. A VM with the lease of a seat renews that one quickly (`seat`), and it
//! is the only one: so VMs to which nothing happens cost the service little, however many they are.

use std::collections::BTreeMap;

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::{Effects, Op, OpId};
use crate::event::Outcome;
use crate::fact::{Fact, Revision, Subject, own};
use crate::lease::{Kept, Terms};
use crate::node::Gateway;
use crate::timer::Timer;

/// The pause after the first call that failed.
const RETRY: Span = Span::from_secs(1);

/// The longest pause after calls that failed: three such calls fit into what is left of the lease when it is to be renewed.
const RETRY_LONGEST: Span = Span::from_secs(4);

/// The time within which all VMs call again when the key-value service is back, so that they don't call all at once.
const BACK_WITHIN: Span = Span::from_millis(500);

/// The time within which an entry that was taken away is written anew.
const REWRITE_WITHIN: Span = Span::from_millis(100);

/// How long a renewal may have no answer before the key-value service counts as away here: fifty times its usual time.
const OVERDUE: Span = Span::from_millis(200);

/// What a call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The lease.
    Lease,
    /// The entry.
    Write,
    /// The end of the lease.
    End,
}

/// The entry and its lease.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lease.
    lease: Kept,
    /// The revision at which the entry was written under it.
    written: Option<Revision>,
    /// Calls in progress, with the time at which each was sent.
    calls: BTreeMap<OpId, (Purpose, Instant)>,
}

impl State {
    /// Whether a call is one on the entry.
    pub(crate) fn owns(&self, op: OpId) -> bool {
        self.calls.contains_key(&op)
    }

    /// When the lease was granted, where this VM has one.
    pub(crate) fn granted(&self) -> Option<Instant> {
        self.lease.id().map(|_| self.lease.granted())
    }

    /// The revision at which the entry was written, as long as it is not known to be gone.
    pub(crate) fn written(&self) -> Option<Revision> {
        self.written
    }

    /// Whether the key-value service leaves calls of this VM without an answer, or turned the last one away.
    pub(crate) fn unanswered(&self, now: Instant) -> bool {
        let late = |sent: &Instant| now.since(*sent) >= OVERDUE;
        self.lease.failing() || self.calls.values().any(|(_, sent)| late(sent))
    }
}

impl Gateway {
    fn entry_terms(&self) -> Terms {
        Terms {
            ttl: self.settings.tuning.entry_lease,
            renew: self.settings.tuning.entry_renew,
            retry: RETRY,
            longest: RETRY_LONGEST,
        }
    }

    /// Calls on the entry, where one is due.
    pub(crate) fn entry_due(&mut self, out: &mut Effects) {
        if self.stopping {
            return;
        }
        if let Some(due) = self.entry.lease.due(self.now) {
            let op = due.op(self.entry_terms().ttl);
            self.entry.lease.called();
            self.entry_call(Purpose::Lease, op, out);
        }
        self.await_entry();
    }

    fn await_entry(&mut self) {
        if let Some(next) = self.entry.lease.next() {
            self.timers.set_once(next, Timer::Entry);
        }
    }

    /// A call on the entry came back.
    pub(crate) fn entry_answered(&mut self, op: OpId, outcome: Outcome, out: &mut Effects) {
        let Some((purpose, sent)) = self.entry.calls.remove(&op) else {
            return;
        };
        let (now, terms) = (self.now, self.entry_terms());
        match (purpose, outcome) {
            (Purpose::Lease, Outcome::Granted(id, _)) => {
                self.entry.lease.was_granted(now, sent, id, terms);
                self.entry.written = None;
                self.write_entry(out);
                self.seats_changed(out);
            }
            (Purpose::Lease, Outcome::Renewed(_)) => {
                self.entry.lease.was_renewed(sent, terms);
                if self.entry.written.is_none() {
                    self.write_entry(out);
                }
            }
            (Purpose::Write, Outcome::Written(revision)) => {
                self.entry.written = Some(revision);
                self.take_asked(out);
            }
            (Purpose::Lease | Purpose::Write, Outcome::NoLease) => {
                self.entry.lease.ended(now, terms, &mut self.rng);
                self.entry.written = None;
                let detail = "of=entry next=grant".to_owned();
                Self::log(out, Code::StoreLeaseLost, detail);
            }
            (Purpose::Lease, _) => self.entry.lease.failed(now, terms, &mut self.rng),
            (Purpose::Write, _) => self.entry.lease.hurry(now, RETRY, &mut self.rng),
            (Purpose::End, _) => {}
        }
        self.entry_due(out);
    }

    /// The key-value service answers again: what failed meanwhile is tried again.
    pub(crate) fn entry_back(&mut self) {
        if self.entry.lease.failing() {
            self.hurry_entry(BACK_WITHIN);
        }
    }

    /// This VM's entry was taken away, though it lives.
    pub(crate) fn entry_gone(&mut self) {
        if !self.stopping {
            self.entry.written = None;
            self.hurry_entry(REWRITE_WITHIN);
        }
    }

    /// Calls the key-value service at once, to learn whether it answers.
    pub(crate) fn probe_by_entry(&mut self, out: &mut Effects) {
        self.entry.lease.hurry(self.now, Span::ZERO, &mut self.rng);
        self.entry_due(out);
    }

    /// Takes the entry away, for a graceful stop: nobody has to wait for the end of its lease.
    pub(crate) fn leave_entry(&mut self, out: &mut Effects) {
        if let Some(lease) = self.entry.lease.id() {
            self.entry.lease.drop_it();
            self.entry_call(Purpose::End, Op::End(lease), out);
        }
    }

    fn hurry_entry(&mut self, within: Span) {
        self.entry.lease.hurry(self.now, within, &mut self.rng);
        self.await_entry();
    }

    fn write_entry(&mut self, out: &mut Effects) {
        let Some(lease) = self.entry.lease.id() else {
            return;
        };
        let fact = Fact::Member(self.member());
        let change = own(Subject::Member(self.settings.vm.clone()), fact);
        self.entry_call(Purpose::Write, Op::Put(change, lease, Vec::new()), out);
    }

    fn entry_call(&mut self, purpose: Purpose, op: Op, out: &mut Effects) {
        let now = self.now;
        let id = self.store(op, out);
        self.entry.calls.insert(id, (purpose, now));
    }
}
