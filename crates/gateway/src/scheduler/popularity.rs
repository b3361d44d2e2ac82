//! How much an adapter is asked for, with older requests counting less.

use dahliastile_core::time::{Instant, Span};

/// The time after which a request counts half. Popularity moves within some ten seconds at both deployments; half-lives
/// of 3, 10 and 40 s made no difference in the number of loads.
const HALF_LIFE: Span = Span::from_secs(10);

/// The decayed number of requests for one adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// The number as of `at`.
    value: f64,
    /// When it was last computed.
    at: Instant,
}

impl Demand {
    /// Counts a request.
    pub(crate) fn add(&mut self, now: Instant) {
        self.value = self.now(now) + 1.0;
        self.at = now;
    }

    /// The number now.
    pub(crate) fn now(&self, now: Instant) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * (-halves).exp2()
    }
}
