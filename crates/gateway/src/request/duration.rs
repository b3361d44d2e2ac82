//! How long requests of each route take.

use dahliastile_core::time::Span;
use rustc_hash::FxHashMap;

/// Divisor of the weight of one duration in the mean, as RFC 6298 has it for round trips.
const WEIGHT_DIVISOR: u64 = 8;

/// Means of the durations of requests that got their whole answers, by the name of their route.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    means: FxHashMap<String, Span>,
}

impl Durations {
    /// Adds the duration of a request of a route.
    pub(crate) fn record(&mut self, route: &str, took: Span) {
        match self.means.get_mut(route) {
            Some(mean) => mean.0 = mean.0 - mean.0 / WEIGHT_DIVISOR + took.0 / WEIGHT_DIVISOR,
            None => {
                self.means.insert(route.to_owned(), took);
            }
        }
    }

    /// Returns the mean of a route; `None` if none of its requests has been answered here.
    pub(crate) fn mean(&self, route: &str) -> Option<Span> {
        self.means.get(route).copied()
    }

    /// Forgets the routes that are not kept.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.means.retain(|route, _| is_kept(route));
    }
}
