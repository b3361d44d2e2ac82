//! Retry budget of a service. The VMs share it without exchanging messages: each VM spends at most a ratio of
//! its own requests, plus its part of an extra allowance.

use std::collections::VecDeque;

use dahliastile_core::time::{Instant, Span};

/// Retry budget of one service on one VM, over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Arrival times of the requests in the window.
    requests: VecDeque<Instant>,
    /// Times of the retries in the window.
    retries: VecDeque<Instant>,
}

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Allowed retries per request in the window.
    pub retries_per_request: f64,
    /// Allowed retries in the window on this VM in addition to those per request.
    pub extra_retries: f64,
    /// Length of the window.
    pub window: Span,
}

impl RetryBudget {
    /// Records a request, and drops what is older than the window.
    pub fn record_request(&mut self, now: Instant, window: Span) {
        self.drop_before(now.back(window));

        self.requests.push_back(now);
    }

    /// Returns the number of recorded requests and retries.
    #[must_use]
    pub fn recorded_count(&self) -> usize {
        self.requests.len() + self.retries.len()
    }

    /// Records a retry if the budget allows one, and returns whether it does.
    #[allow(clippy::cast_precision_loss)]
    pub fn try_spend(&mut self, now: Instant, limits: RetryLimits) -> bool {
        self.drop_before(now.back(limits.window));
        let allowed =
            self.requests.len() as f64 * limits.retries_per_request + limits.extra_retries;
        let is_allowed = (self.retries.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn drop_before(&mut self, before: Instant) {
        while self.requests.front().is_some_and(|at| *at < before) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < before) {
            self.retries.pop_front();
        }
    }
}
