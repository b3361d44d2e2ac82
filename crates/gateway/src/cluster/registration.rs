//! This VM's own entry in the key-value service, by which others find it, under a slow lease.
//!
//! That a VM is there is not urgent: who depends on another VM hears of its end by its link. So the lease is long and renewed
//! seldom, and an outage of some seconds ends none. A VM with the lease of a leadership renews that one quickly (`leadership`), and it
//! is the only one: so VMs to which nothing happens cost the service little, however many they are.

use std::collections::BTreeMap;

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::lease::{Kept, Terms};
use crate::cluster::snapshot::{EntryKey, EntryValue, Revision, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::KvOutcome;
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
    calls: BTreeMap<KvOperationId, (Purpose, Instant)>,
}

impl State {
    /// Whether a call is one on the entry.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
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
    fn registration_terms(&self) -> Terms {
        Terms {
            ttl: self.settings.tuning.entry_lease,
            renew: self.settings.tuning.entry_renew,
            retry: RETRY,
            longest: RETRY_LONGEST,
        }
    }

    /// Calls on the entry, where one is due.
    pub(crate) fn handle_registration_timer(&mut self, out: &mut Effects) {
        if self.stopping {
            return;
        }
        if let Some(due) = self.registration.lease.due(self.now) {
            let op = due.op(self.registration_terms().ttl);
            self.registration.lease.called();
            self.registration_call(Purpose::Lease, op, out);
        }
        self.await_registration();
    }

    fn await_registration(&mut self) {
        if let Some(next) = self.registration.lease.next() {
            self.timers.set_once(next, Timer::Registration);
        }
    }

    /// A call on the entry came back.
    pub(crate) fn handle_registration_outcome(
        &mut self,
        op: KvOperationId,
        outcome: KvOutcome,
        out: &mut Effects,
    ) {
        let Some((purpose, sent)) = self.registration.calls.remove(&op) else {
            return;
        };
        let (now, terms) = (self.now, self.registration_terms());
        match (purpose, outcome) {
            (Purpose::Lease, KvOutcome::Granted(id, _)) => {
                self.registration.lease.was_granted(now, sent, id, terms);
                self.registration.written = None;
                self.register(out);
                self.update_candidacies(out);
            }
            (Purpose::Lease, KvOutcome::Renewed(_)) => {
                self.registration.lease.was_renewed(sent, terms);
                if self.registration.written.is_none() {
                    self.register(out);
                }
            }
            (Purpose::Write, KvOutcome::Written(revision)) => {
                self.registration.written = Some(revision);
                self.take_asked(out);
            }
            (Purpose::Lease | Purpose::Write, KvOutcome::NoLease) => {
                self.registration.lease.ended(now, terms, &mut self.rng);
                self.registration.written = None;
                let detail = "of=entry next=grant".to_owned();
                Self::log(out, Code::StoreLeaseLost, detail);
            }
            (Purpose::Lease, _) => self.registration.lease.failed(now, terms, &mut self.rng),
            (Purpose::Write, _) => self.registration.lease.expedite(now, RETRY, &mut self.rng),
            (Purpose::End, _) => {}
        }
        self.handle_registration_timer(out);
    }

    /// The key-value service answers again: what failed meanwhile is tried again.
    pub(crate) fn registration_back(&mut self) {
        if self.registration.lease.failing() {
            self.expedite_registration(BACK_WITHIN);
        }
    }

    /// This VM's entry was taken away, though it lives.
    pub(crate) fn registration_gone(&mut self) {
        if !self.stopping {
            self.registration.written = None;
            self.expedite_registration(REWRITE_WITHIN);
        }
    }

    /// Calls the key-value service at once, to learn whether it answers.
    pub(crate) fn probe_by_registration(&mut self, out: &mut Effects) {
        self.registration
            .lease
            .expedite(self.now, Span::ZERO, &mut self.rng);
        self.handle_registration_timer(out);
    }

    /// Takes the entry away, for a graceful stop: nobody has to wait for the end of its lease.
    pub(crate) fn deregister(&mut self, out: &mut Effects) {
        if let Some(lease) = self.registration.lease.id() {
            self.registration.lease.drop_it();
            self.registration_call(Purpose::End, KvOperation::RevokeLease(lease), out);
        }
    }

    fn expedite_registration(&mut self, within: Span) {
        self.registration
            .lease
            .expedite(self.now, within, &mut self.rng);
        self.await_registration();
    }

    fn register(&mut self, out: &mut Effects) {
        let Some(lease) = self.registration.lease.id() else {
            return;
        };
        let fact = EntryValue::Member(self.member());
        let change = proposed_change(EntryKey::Member(self.settings.vm.clone()), fact);
        self.registration_call(
            Purpose::Write,
            KvOperation::Put(change, lease, Vec::new()),
            out,
        );
    }

    fn registration_call(&mut self, purpose: Purpose, op: KvOperation, out: &mut Effects) {
        let now = self.now;
        let id = self.call_kv(op, out);
        self.registration.calls.insert(id, (purpose, now));
    }
}
