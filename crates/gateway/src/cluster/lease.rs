//! A lease of the key-value service that this VM keeps: granted when it is wanted, renewed in time, and tried again at growing
//! pauses while the service does not answer.

use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::effect::KvOperation;
use crate::event::Lease;

/// How one kind of lease is kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// How long it lives without a renewal.
    pub(crate) ttl: Span,
    /// The time from one renewal to the next.
    pub(crate) renew: Span,
    /// The pause after the first call that failed.
    pub(crate) retry: Span,
    /// The longest pause after calls that failed: it is doubled until then.
    pub(crate) longest: Span,
}

/// What is to be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// A lease is to be granted.
    Grant,
    /// It is to be renewed.
    Renew(Lease),
}

impl Due {
    /// The call, for a lease that lives so long.
    pub(crate) fn op(self, ttl: Span) -> KvOperation {
        match self {
            Self::Grant => KvOperation::GrantLease(ttl),
            Self::Renew(lease) => KvOperation::RenewLease(lease),
        }
    }
}

/// A lease, or the wish for one.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    /// Its number.
    id: Option<Lease>,
    /// When it was granted.
    granted: Instant,
    /// When it was last granted or renewed, counted from when the call was sent.
    renewed: Instant,
    /// When the next call on it is due.
    next: Instant,
    /// Calls in a row that failed, and leases that ended since one was renewed.
    failures: u32,
    /// Whether the last call on it failed.
    failing: bool,
    /// Whether a call on it is in progress.
    calling: bool,
}

impl Kept {
    /// Its number, as long as it is not known to have ended.
    pub(crate) fn id(&self) -> Option<Lease> {
        self.id
    }

    /// When it was granted.
    pub(crate) fn granted(&self) -> Instant {
        self.granted
    }

    /// When it was last renewed.
    pub(crate) fn renewed(&self) -> Instant {
        self.renewed
    }

    /// When the next call on it is due; none while one is in progress.
    pub(crate) fn next(&self) -> Option<Instant> {
        Some(self.next).filter(|_| !self.calling)
    }

    /// Whether the last call on it failed.
    pub(crate) fn failing(&self) -> bool {
        self.failing
    }

    /// The call that is due now.
    pub(crate) fn due(&self, now: Instant) -> Option<Due> {
        match self.id {
            _ if self.calling || now < self.next => None,
            None => Some(Due::Grant),
            Some(id) => Some(Due::Renew(id)),
        }
    }

    /// A call on it is sent.
    pub(crate) fn called(&mut self) {
        self.calling = true;
    }

    /// It was granted, by a call sent at a time.
    pub(crate) fn was_granted(&mut self, now: Instant, sent: Instant, id: Lease, terms: Terms) {
        self.id = Some(id);
        self.granted = now;
        self.answered(sent, terms);
    }

    /// It was renewed, by a call sent at a time.
    pub(crate) fn was_renewed(&mut self, sent: Instant, terms: Terms) {
        self.failures = 0;
        self.answered(sent, terms);
    }

    fn answered(&mut self, sent: Instant, terms: Terms) {
        self.renewed = sent;
        self.failing = false;
        self.calling = false;
        self.next = sent + terms.renew;
    }

    /// The service says that it has ended. Another one is wanted at once, but of a service that takes each away as soon as it has
    /// granted it, at growing pauses.
    pub(crate) fn ended(&mut self, now: Instant, terms: Terms, rng: &mut impl Rng) {
        self.id = None;
        let lived = now.since(self.granted) >= terms.retry;
        self.failed(now, terms, rng);
        self.failing = false;
        if lived {
            self.next = now;
        }
    }

    /// A call on it failed.
    pub(crate) fn failed(&mut self, now: Instant, terms: Terms, rng: &mut impl Rng) {
        self.calling = false;
        self.failing = true;
        self.next = now + backoff(terms.retry, terms.longest, self.failures, rng);
        self.failures += 1;
    }

    /// The service is there again, or has taken away what was under the lease: the next call comes within a while.
    pub(crate) fn expedite(&mut self, now: Instant, within: Span, rng: &mut impl Rng) {
        let soon = now + Span(rng.random_range(0..=within.0));
        self.next = self.next.min(soon);
    }

    /// It is no longer wanted, and ends by itself.
    pub(crate) fn drop_it(&mut self) {
        self.id = None;
        self.next = Instant::default();
        self.failures = 0;
        self.failing = false;
    }
}

/// The pause after a call of the key-value service that failed, as did so many before it in a row: it is doubled with each, up to the
/// longest, and drawn from half of its length on, so that VMs that failed together don't call together.
pub(crate) fn backoff(first: Span, longest: Span, failures: u32, rng: &mut impl Rng) -> Span {
    let doubled = first.times(1 << failures.min(10));
    let pause = doubled.min(longest.max(first));
    Span(rng.random_range(pause.0 / 2..=pause.0))
}
