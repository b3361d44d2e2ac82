//! A token bucket: tokens are added at a rate up to a capacity, and requests take them.

use dahliastile_core::time::{Instant, Span};

use crate::account::Tokens;

/// The rate and capacity of a bucket. Both change with the number of VMs, so each operation that needs them takes them
/// as an argument.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Tokens added per second.
    pub rate: f64,
    /// Capacity in tokens.
    pub capacity: f64,
}

/// A token bucket. It starts empty, since a new process with a full bucket would grant tokens again that the VM's
/// previous process has used.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// The number of tokens at `refilled`; negative while tokens are owed.
    balance: f64,
    /// The time of the last refill.
    refilled: Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            balance: 0.0,
            refilled: now,
        }
    }

    /// Adds the tokens since the last refill, up to the capacity. A balance above the capacity is kept.
    pub fn refill(&mut self, now: Instant, params: Params) {
        let added = params.rate * now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.balance = (self.balance + added).min(params.capacity.max(self.balance));
    }

    /// Drops the tokens above the capacity.
    pub fn truncate(&mut self, params: Params) {
        self.balance = self.balance.min(params.capacity);
    }

    /// Returns the number of tokens; negative while tokens are owed.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes tokens if there are enough. Returns whether they were taken.
    pub fn take(&mut self, tokens: Tokens) -> bool {
        let is_enough = self.balance >= tokens.as_f64();
        if is_enough {
            self.balance -= tokens.as_f64();
        }
        is_enough
    }

    /// Takes the whole tokens above a balance of `reserve`, but at most `max`. Returns the number of tokens taken.
    pub fn take_above(&mut self, reserve: f64, max: Tokens) -> Tokens {
        let taken = floor_tokens(self.balance - reserve).min(max);
        self.balance -= taken.as_f64();
        taken
    }

    /// Returns the number of whole tokens that fit into the free capacity.
    #[must_use]
    pub fn free_capacity(&self, params: Params) -> Tokens {
        floor_tokens(params.capacity - self.balance)
    }

    /// Takes tokens even if there are too few, which makes the balance negative.
    pub fn take_unchecked(&mut self, tokens: Tokens) {
        self.balance -= tokens.as_f64();
    }

    /// Adds tokens up to a balance of `max_balance`. A balance that is already higher is kept.
    pub fn add(&mut self, tokens: Tokens, max_balance: f64) {
        self.balance = (self.balance + tokens.as_f64()).min(max_balance.max(self.balance));
    }
}

/// Rounds down to whole tokens; negative numbers become 0.
// The converted number is not negative, and no larger than a limit of the configuration.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor_tokens(tokens: f64) -> Tokens {
    Tokens(tokens.max(0.0) as u64)
}

/// Returns the time after which `tokens` tokens have been added at `rate` tokens per second: more than none for any
/// missing token, and the longest possible span for a rate of 0.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn time_until_available(tokens: f64, rate: f64) -> Span {
    if rate <= 0.0 {
        return Span(u64::MAX);
    }
    Span((tokens.max(0.0) / rate * 1e6).ceil() as u64)
}
