//! How many retries a service may have.

use crate::time::Instant;

/// The retry budget of a service: a share of its first attempts, and a few each second so that a quiet service can
/// retry too. What was saved is bounded, so a long quiet time does not buy a storm.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries that are left, in hundredths.
    left: u64,
    /// When it was last refilled.
    at: Instant,
}

/// Hundredths of a retry in one.
const RETRY: u64 = 100;
/// Retries that can be saved: about what one server's full batch needs when the server is lost.
const MOST: u64 = 100;
/// Retries a second whatever the traffic.
const EACH_SECOND: u64 = 2;

impl Budget {
    /// A full budget.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            left: MOST * RETRY,
            at: now,
        }
    }

    /// Notes a first attempt, which earns that percentage of a retry.
    pub fn earn(&mut self, percent: u64) {
        self.left = (self.left + percent).min(MOST * RETRY);
    }

    /// Takes a retry; says whether one was left.
    pub fn spend(&mut self, now: Instant) -> bool {
        let refill = now.since(self.at).as_millis() * EACH_SECOND * RETRY / 1_000;
        if refill > 0 {
            self.left = (self.left + refill).min(MOST * RETRY);
            self.at = now;
        }
        let enough = self.left >= RETRY;
        if enough {
            self.left -= RETRY;
        }
        enough
    }
}
