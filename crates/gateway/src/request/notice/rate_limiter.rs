//! Token bucket for the requests to a server that has a rate limit.

use dahliastile_core::time::{Instant, Span};

use super::Rate;
use crate::account::Tokens;
use crate::account::quota::bucket::{Bucket, Params, time_until_available};

/// Upper bound on the tokens in the bucket. A request for an adapter that is not loaded takes three tokens: one
/// to unload another adapter, one to load the adapter, and one for the request itself.
const BURST: f64 = 3.0;

/// Lower bound on the rate that is applied: 0.1 requests per second. Only an answer shows that a limit has
/// ended, so that even a server with a limit of 0 must be sent a request from time to time.
const MIN_RATE: Rate = Rate(100);

/// Upper bound on the time that a VM is told to wait for a token.
pub(super) const MAX_WAIT: Span = Span::from_secs(5);

/// Token bucket that fills at the rate of a server's limit, one token per request. It is empty at first,
/// since requests that were sent before the limit was known count against it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    /// The limit.
    rate: Rate,
    /// When an answer of the server last confirmed the limit.
    confirmed_at: Instant,
    /// The tokens.
    bucket: Bucket,
    /// Time up to which all new tokens are reserved for VMs that were told to wait.
    reserved_until: Instant,
}

impl RateLimiter {
    pub(crate) fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate,
            confirmed_at: now,
            bucket: Bucket::new(now),
            reserved_until: now,
        }
    }

    /// Sets the rate from an answer of the server.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: Rate) {
        self.bucket.refill(now, self.params());
        self.rate = rate;
        self.confirmed_at = now;
    }

    /// Returns the limit, and how long ago an answer confirmed it.
    pub(crate) fn limit(&self, now: Instant) -> (Rate, Span) {
        (self.rate, now.since(self.confirmed_at))
    }

    /// Returns the rate at which the bucket fills, in tokens per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate.max(MIN_RATE).as_f64()
    }

    /// Returns the number of tokens in the bucket.
    pub(crate) fn available(&self, now: Instant) -> f64 {
        let mut bucket = self.bucket;
        bucket.refill(now, self.params());
        bucket.balance()
    }

    /// Returns whether there are `count` tokens.
    pub(crate) fn has_tokens(&self, count: u32, now: Instant) -> bool {
        self.available(now) >= f64::from(count)
    }

    /// Takes a token, and returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        self.bucket.refill(now, self.params());
        self.bucket.take(Tokens(1))
    }

    /// Reserves a future token, after those that earlier calls reserved. Returns the time until the token is
    /// available, at most [`MAX_WAIT`].
    pub(crate) fn reserve(&mut self, now: Instant) -> Span {
        let one = time_until_available(1.0, self.rate());
        let next = time_until_available(1.0 - self.available(now), self.rate());
        self.reserved_until = (self.reserved_until + one).max(now + next);
        self.reserved_until = self.reserved_until.min(now + MAX_WAIT);
        self.reserved_until.since(now)
    }

    fn params(&self) -> Params {
        Params {
            rate: self.rate(),
            capacity: BURST,
        }
    }
}
