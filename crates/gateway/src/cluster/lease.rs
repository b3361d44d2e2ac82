//! A lease of the key-value service: granted on demand, renewed in time, and requested again with growing
//! pauses while the service doesn't answer.

use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::effect::KvOperation;
use crate::event::Lease;

/// The durations of one kind of lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// How long the lease lives without a renewal.
    pub(crate) ttl: Span,
    /// The time between renewals.
    pub(crate) renew_interval: Span,
    /// The pause after the first failed call.
    pub(crate) first_retry: Span,
    /// The longest pause after failed calls: the pause doubles with each failure up to this length.
    pub(crate) max_retry: Span,
}

/// The next call for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DueCall {
    /// Request a lease.
    Grant,
    /// Renew the lease.
    Renew(Lease),
}

impl DueCall {
    /// Returns the operation of the key-value service; a lease that it grants lives for `ttl`.
    pub(crate) fn op(self, ttl: Span) -> KvOperation {
        match self {
            Self::Grant => KvOperation::GrantLease(ttl),
            Self::Renew(lease) => KvOperation::RenewLease(lease),
        }
    }
}

/// A lease that this VM has or wants.
#[derive(Debug, Default)]
pub(crate) struct LeaseKeeper {
    /// The lease's ID; none if this VM has no lease.
    id: Option<Lease>,
    /// When the lease was granted.
    granted_at: Instant,
    /// When the call was sent that last granted or renewed the lease.
    renewed_at: Instant,
    /// When the next call for the lease is due.
    next_call: Instant,
    /// The number of failed calls and ended leases since the last renewal.
    failures: u32,
    /// Whether the last call failed.
    is_failing: bool,
    /// Whether a call is in progress.
    is_calling: bool,
}

impl LeaseKeeper {
    /// Returns the lease's ID, unless the lease is known to have ended.
    pub(crate) fn id(&self) -> Option<Lease> {
        self.id
    }

    /// Returns when the lease was granted.
    pub(crate) fn granted_at(&self) -> Instant {
        self.granted_at
    }

    /// Returns when the call was sent that last granted or renewed the lease.
    pub(crate) fn renewed_at(&self) -> Instant {
        self.renewed_at
    }

    /// Returns when the next call is due; none while one is in progress.
    pub(crate) fn next_call(&self) -> Option<Instant> {
        Some(self.next_call).filter(|_| !self.is_calling)
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns the call that is due at `now`.
    pub(crate) fn due_call(&self, now: Instant) -> Option<DueCall> {
        match self.id {
            _ if self.is_calling || now < self.next_call => None,
            None => Some(DueCall::Grant),
            Some(id) => Some(DueCall::Renew(id)),
        }
    }

    /// Records that a call was sent.
    pub(crate) fn record_call(&mut self) {
        self.is_calling = true;
    }

    /// Records that a call sent at `sent` had the lease granted.
    pub(crate) fn record_grant(&mut self, now: Instant, sent: Instant, id: Lease, terms: Terms) {
        self.id = Some(id);
        self.granted_at = now;
        self.record_success(sent, terms);
    }

    /// Records that a call sent at `sent` renewed the lease. A lease that was invalidated meanwhile stays invalid.
    pub(crate) fn record_renewal(&mut self, sent: Instant, terms: Terms) {
        if self.id.is_none() {
            self.is_calling = false;
            return;
        }
        self.failures = 0;
        self.record_success(sent, terms);
    }

    fn record_success(&mut self, sent: Instant, terms: Terms) {
        self.renewed_at = sent;
        self.is_failing = false;
        self.is_calling = false;
        self.next_call = sent + terms.renew_interval;
    }

    /// Records that the key-value service reported the end of the lease. A new lease is requested at once,
    /// unless the service ended the lease soon after granting it: then the pauses grow, as they do after
    /// failures. Changes nothing if the lease was invalidated while the call was in progress.
    pub(crate) fn record_end(&mut self, now: Instant, terms: Terms, rng: &mut impl Rng) {
        self.is_calling = false;
        if self.id.take().is_none() {
            return;
        }
        let has_lived = now.since(self.granted_at) >= terms.first_retry;
        self.record_failure(now, terms, rng);
        self.is_failing = false;
        if has_lived {
            self.next_call = now;
        }
    }

    /// Records that a call failed.
    pub(crate) fn record_failure(&mut self, now: Instant, terms: Terms, rng: &mut impl Rng) {
        self.is_calling = false;
        self.is_failing = true;
        self.next_call = now + backoff(terms.first_retry, terms.max_retry, self.failures, rng);
        self.failures += 1;
    }

    /// Moves the next call to a random time within `within` from `now`, if it is due later. Used when the
    /// key-value service answers again, to check whether it answers, and after an entry under the lease was
    /// deleted or could not be written.
    pub(crate) fn expedite(&mut self, now: Instant, within: Span, rng: &mut impl Rng) {
        let soon = now + Span(rng.random_range(0..=within.0));
        self.next_call = self.next_call.min(soon);
    }

    /// Discards the lease, since the key-value service came back from a copy: it may have forgotten the lease and
    /// granted its ID to another VM. A new lease is requested within `within`. Returns whether there was a lease.
    pub(crate) fn invalidate(&mut self, now: Instant, within: Span, rng: &mut impl Rng) -> bool {
        let had_lease = self.id.take().is_some();
        self.failures = 0;
        self.next_call = now + Span(rng.random_range(0..=within.0));
        had_lease
    }

    /// Discards the lease. At the key-value service the lease expires, unless the caller revokes it.
    pub(crate) fn give_up(&mut self) {
        self.id = None;
        self.next_call = Instant::default();
        self.failures = 0;
        self.is_failing = false;
    }
}

/// Returns the pause after a failed call of the key-value service. `first` doubles with each of the `failures`
/// before it, up to `longest`; the pause is drawn from between half of that and all of it, so that VMs whose
/// calls failed together don't retry together.
pub(crate) fn backoff(first: Span, longest: Span, failures: u32, rng: &mut impl Rng) -> Span {
    let doubled = first.times(1 << failures.min(10));
    let pause = doubled.min(longest.max(first));
    Span(rng.random_range(pause.0 / 2..=pause.0))
}
