//! Rate limits.

use crate::time::{Instant, Span};

/// A token bucket. It holds one second's worth of tokens, one at least, and begins full.
///
/// The rate is given with each call, since an operator may change it at any time. Levels are counted in millionths
/// of a token, so that each microsecond adds exactly the rate and nothing is lost by rounding.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// What is missing from a full bucket, in millionths of a token.
    missing: u64,
    /// When it was last looked at.
    at: Instant,
}

/// Millionths of a token in one.
const TOKEN: u64 = 1_000_000;

impl Bucket {
    /// A full bucket.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            missing: 0,
            at: now,
        }
    }

    /// How long it takes until there is a token at a rate a second; zero where there is one.
    #[must_use]
    pub fn wait(&self, now: Instant, rate: u32) -> Span {
        let rate = u64::from(rate);
        let size = rate.saturating_mul(TOKEN).max(TOKEN);
        let missing = self.missing_at(now, rate);
        let too_many = (missing + TOKEN).saturating_sub(size);
        match too_many.checked_div(rate) {
            Some(whole) => Span(whole + u64::from(too_many % rate > 0)),
            None => Span::from_secs(1),
        }
    }

    /// Takes a token that [`Bucket::wait`] has promised.
    pub fn take(&mut self, now: Instant, rate: u32) {
        self.missing = self.missing_at(now, u64::from(rate)) + TOKEN;
        self.at = now;
    }

    fn missing_at(&self, now: Instant, rate: u64) -> u64 {
        let filled = now.since(self.at).0.saturating_mul(rate);
        self.missing.saturating_sub(filled)
    }
}
