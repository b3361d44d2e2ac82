//! What a server that names a limit may still be sent.

use dahliastile_core::time::{Instant, Span};

use super::Rate;
use crate::account::Tokens;
use crate::account::quota::bucket::{Bucket, Terms, wait};

/// What a limited server may be sent at once: an adapter that makes room, the load of another one, and a request for that.
const AT_ONCE: f64 = 3.0;

/// The least rate that a limit is taken for. Only an answer tells that a limit has ended, so that a server is never sent nothing.
const LEAST: Rate = Rate(100);

/// The longest time after which there may be something left to send: nobody waits longer.
const LONGEST_WAIT: Span = Span::from_secs(5);

/// Requests that come in at the rate of a limit, none at first: what was sent before the limit was heard of counts against it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    /// The limit.
    rate: Rate,
    /// When a server last named it.
    heard: Instant,
    /// What may be sent.
    bucket: Bucket,
    /// Until when all that comes in is promised to others.
    promised: Instant,
}

impl RateLimiter {
    pub(crate) fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate,
            heard: now,
            bucket: Bucket::new(now),
            promised: now,
        }
    }

    /// The server names its limit once more.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: Rate) {
        self.bucket.refill(now, self.terms());
        self.rate = rate;
        self.heard = now;
    }

    /// The limit, and how long ago a server named it.
    pub(crate) fn limit(&self, now: Instant) -> (Rate, Span) {
        (self.rate, now.since(self.heard))
    }

    /// Requests a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate.max(LEAST).as_f64()
    }

    /// What may be sent now.
    pub(crate) fn available(&self, now: Instant) -> f64 {
        let mut bucket = self.bucket;
        bucket.refill(now, self.terms());
        bucket.balance()
    }

    /// Counts one that is sent, if it may be.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        self.bucket.refill(now, self.terms());
        self.bucket.take(Tokens(1))
    }

    /// When one that may not be sent now may be, after all that were told so before.
    pub(crate) fn promise(&mut self, now: Instant) -> Span {
        let one = wait(1.0, self.rate());
        let next = wait(1.0 - self.available(now), self.rate());
        self.promised = (self.promised + one).max(now + next);
        self.promised = self.promised.min(now + LONGEST_WAIT);
        self.promised.since(now)
    }

    fn terms(&self) -> Terms {
        Terms {
            rate: self.rate(),
            most: AT_ONCE,
        }
    }
}
