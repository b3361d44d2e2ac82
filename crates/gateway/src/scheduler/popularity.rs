//! Measures the demand for each adapter: the number of its requests, where older requests count less.

use dahliastile_core::time::{Instant, Span};

/// Time after which a request counts half. The popularity of adapters changes within about ten seconds at both
/// reference deployments; half-lives of 3, 10 and 40 s made no difference to the number of loads.
const HALF_LIFE: Span = Span::from_secs(10);

/// The decayed number of requests for one adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// The number as of `at`.
    value: f64,
    /// When `value` was last computed.
    at: Instant,
}

impl Demand {
    /// Counts a request.
    pub(crate) fn add(&mut self, now: Instant) {
        self.value = self.value_at(now) + 1.0;
        self.at = now;
    }

    /// Returns the number as of `now`.
    pub(crate) fn value_at(&self, now: Instant) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * (-halves).exp2()
    }
}
