//! This VM's own entry in the key-value service, by which other VMs find it, and the entry's long lease.
//!
//! Other VMs need not learn from the entry that a VM has ended, since VMs that depend on it notice a failed
//! link. The entry's lease is therefore long and rarely renewed, and an outage of a few seconds doesn't end it.
//! The lease of leaderships (`leadership`) is short, but only a VM that holds or takes a leadership has one.
//! All other VMs make few calls to the key-value service.

use std::collections::BTreeMap;

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::lease::{LeaseKeeper, Terms};
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{EntryKey, EntryValue, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::KvOutcome;
use crate::node::Gateway;
use crate::timer::Timer;

/// The pause after the first failed call.
const FIRST_RETRY: Span = Span::from_secs(1);

/// The longest pause after failed calls: three calls at this pause fit into the lease's remaining time after
/// its renewal is due.
const MAX_RETRY: Span = Span::from_secs(4);

/// The time over which the VMs spread their calls when the key-value service is back, so that they don't call
/// all at once.
const RECOVERY_SPREAD: Span = Span::from_millis(500);

/// The time over which the VMs spread their calls after the key-value service came back from a copy, for each VM:
/// each makes two writes, and all together use half of the smallest rate limit of 400 writes a second.
const RESTORE_SPREAD_PER_VM: Span = Span::from_millis(10);

/// The time within which a deleted entry is written again.
const REWRITE_WITHIN: Span = Span::from_millis(100);

/// How long a call may be unanswered before the key-value service counts as away: fifty times its usual
/// response time.
const CALL_OVERDUE: Span = Span::from_millis(200);

/// The purpose of a call of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// To grant or renew the lease.
    Lease,
    /// To write the entry.
    WriteEntry,
    /// To end the lease.
    EndLease,
}

/// The entry and its lease.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The entry's lease.
    lease: LeaseKeeper,
    /// The revision at which the entry was written under this lease; none if it is not known to exist.
    written_revision: Option<Revision>,
    /// Calls in progress, each with the time at which it was sent.
    calls: BTreeMap<KvOperationId, (Purpose, Instant)>,
}

impl State {
    /// Whether `op` is a call for the entry or its lease.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
        self.calls.contains_key(&op)
    }

    /// Returns when the lease was granted; none if this VM has no lease.
    pub(crate) fn granted_at(&self) -> Option<Instant> {
        self.lease.id().map(|_| self.lease.granted_at())
    }

    /// Returns the revision at which the entry was written, unless the entry is known to be gone.
    pub(crate) fn written_revision(&self) -> Option<Revision> {
        self.written_revision
    }

    /// Whether the key-value service has left a call of this VM unanswered for [`CALL_OVERDUE`], or the last call
    /// for the lease failed.
    pub(crate) fn is_unanswered(&self, now: Instant) -> bool {
        let late = |sent: &Instant| now.since(*sent) >= CALL_OVERDUE;
        self.lease.is_failing() || self.calls.values().any(|(_, sent)| late(sent))
    }
}

impl Gateway {
    fn registration_terms(&self) -> Terms {
        Terms {
            ttl: self.settings.tuning.entry_lease,
            renew_interval: self.settings.tuning.entry_renew,
            first_retry: FIRST_RETRY,
            max_retry: MAX_RETRY,
        }
    }

    /// Requests or renews the lease if that is due, and sets the timer for the next call.
    pub(crate) fn handle_registration_timer(&mut self, out: &mut Effects) {
        if self.is_stopping() {
            return;
        }
        if let Some(due) = self.registration.lease.due_call(self.now) {
            let op = due.op(self.registration_terms().ttl);
            self.registration.lease.record_call();
            self.start_registration_call(Purpose::Lease, op, out);
        }
        self.set_registration_timer();
    }

    fn set_registration_timer(&mut self) {
        if let Some(next) = self.registration.lease.next_call() {
            self.timers.set_once(next, Timer::Registration);
        }
    }

    /// Handles the outcome of a call for the entry or its lease.
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
                self.registration.lease.record_grant(now, sent, id, terms);
                self.registration.written_revision = None;
                self.register(out);
                self.update_candidacies(out);
            }
            (Purpose::Lease, KvOutcome::Renewed(_)) => {
                self.registration.lease.record_renewal(sent, terms);
                if self.registration.written_revision.is_none() {
                    self.register(out);
                }
            }
            (Purpose::WriteEntry, KvOutcome::Written(revision)) => {
                self.registration.written_revision = Some(revision);
                self.take_awaiting_lease(out);
            }
            (Purpose::Lease | Purpose::WriteEntry, KvOutcome::NoLease) => {
                self.registration
                    .lease
                    .record_end(now, terms, &mut self.rng);
                self.registration.written_revision = None;
                let detail = "of=entry next=grant".to_owned();
                Self::log(out, Code::StoreLeaseLost, detail);
            }
            (Purpose::Lease, _) => {
                self.registration
                    .lease
                    .record_failure(now, terms, &mut self.rng);
            }
            (Purpose::WriteEntry, _) => {
                self.registration
                    .lease
                    .expedite(now, FIRST_RETRY, &mut self.rng);
            }
            (Purpose::EndLease, _) => {}
        }
        self.handle_registration_timer(out);
    }

    /// Schedules a retry within [`RECOVERY_SPREAD`] if the last call for the lease failed, since the key-value
    /// service answers again.
    pub(crate) fn retry_registration(&mut self) {
        if self.registration.lease.is_failing() {
            self.expedite_registration(RECOVERY_SPREAD);
        }
    }

    /// Schedules a new write of this VM's entry, which was deleted although the VM is alive.
    pub(crate) fn rewrite_registration(&mut self) {
        if !self.is_stopping() {
            self.registration.written_revision = None;
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

    /// Requests a new lease for the entry, since the key-value service came back from a copy. The VMs spread their
    /// calls over a time that grows with their number; a scheduler's VM goes first, as it can't write its
    /// leadership without an entry.
    pub(crate) fn renew_registration(&mut self, out: &mut Effects) {
        let within = if self.schedulers.is_empty() {
            RESTORE_SPREAD_PER_VM.times(self.peers().count() as u64)
        } else {
            Span::ZERO
        };
        let (now, rng) = (self.now, &mut self.rng);
        if self.registration.lease.invalidate(now, within, rng) {
            let detail = "of=entry next=grant why=restored".to_owned();
            Self::log(out, Code::StoreLeaseLost, detail);
        }
        self.registration.written_revision = None;
        self.handle_registration_timer(out);
    }

    /// Deletes this VM's entry for a graceful stop by ending its lease, so that other VMs need not wait for the
    /// lease to expire.
    pub(crate) fn deregister(&mut self, out: &mut Effects) {
        if let Some(lease) = self.registration.lease.id() {
            self.registration.lease.give_up();
            self.start_registration_call(Purpose::EndLease, KvOperation::RevokeLease(lease), out);
        }
    }

    fn expedite_registration(&mut self, within: Span) {
        self.registration
            .lease
            .expedite(self.now, within, &mut self.rng);
        self.set_registration_timer();
    }

    fn register(&mut self, out: &mut Effects) {
        let Some(lease) = self.registration.lease.id() else {
            return;
        };
        let value = EntryValue::Member(self.member());
        let change = proposed_change(EntryKey::Member(self.settings.vm.clone()), value);
        self.start_registration_call(
            Purpose::WriteEntry,
            KvOperation::Put(change, lease, Vec::new()),
            out,
        );
    }

    fn start_registration_call(&mut self, purpose: Purpose, op: KvOperation, out: &mut Effects) {
        let now = self.now;
        let id = self.call_kv(op, out);
        self.registration.calls.insert(id, (purpose, now));
    }
}
