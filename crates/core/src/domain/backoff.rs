//! Delays after failures, doubled each time up to a limit.

use crate::time::{Instant, Span};

/// The most doublings that are counted; beyond it the limit holds anyway.
const DOUBLINGS_MAX: u32 = 16;

/// When something that failed may be tried again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    /// Failures since the last success.
    failures: u32,
    /// When the next try may be made.
    next: Instant,
}

impl Backoff {
    /// Counts a failure.
    pub(crate) fn fail(&mut self, now: Instant, first: u64, limit: u64) {
        let millis = first.saturating_mul(1 << self.failures.min(DOUBLINGS_MAX));
        self.next = now + Span::from_millis(millis.min(limit));
        self.failures = self.failures.saturating_add(1);
    }

    /// Forgets the failures.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a try may be made.
    pub(crate) fn ready(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }
}
