//! The budget of second sends, which all VMs share without talking: each spends no more than its part.

use std::collections::VecDeque;

use dahliastile_core::time::{Instant, Span};

/// The budget of one service on one VM, over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Requests in the window.
    requests: VecDeque<Instant>,
    /// Second sends in the window.
    repeats: VecDeque<Instant>,
}

/// What a budget allows in a window.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends besides, on this VM.
    pub extra: f64,
    /// The length of the window.
    pub window: Span,
}

impl RetryBudget {
    /// Counts a request, and forgets what has left the window.
    pub fn request(&mut self, now: Instant, window: Span) {
        self.forget(now.back(window));

        self.requests.push_back(now);
    }

    /// How many moments are kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.requests.len() + self.repeats.len()
    }

    /// Spends one second send, if the budget allows it.
    #[allow(clippy::cast_precision_loss)]
    pub fn spend(&mut self, now: Instant, terms: Terms) -> bool {
        self.forget(now.back(terms.window));
        let allowed = self.requests.len() as f64 * terms.ratio + terms.extra;
        let free = (self.repeats.len() as f64) + 1.0 <= allowed;
        if free {
            self.repeats.push_back(now);
        }
        free
    }

    fn forget(&mut self, before: Instant) {
        while self.requests.front().is_some_and(|at| *at < before) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(|at| *at < before) {
            self.repeats.pop_front();
        }
    }
}
