//! Measures how many requests are placed and how many loads are started per second, by the order in which requests are
//! served.
//!
//! Load: adapter slots and loads are short for several seconds. The forecast of a request covers what is queued before
//! it, but not the more urgent requests that will still come, nor the time until a slot becomes free. Both show in the
//! rate at which requests like it have been served.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use super::scheduled_request::ScheduledRequest;

/// Time constant of the measured rates: about the objectives of the deployments, so that a burst is noticed while
/// requests can still be refused in time for a retry.
const TIME_CONSTANT: Span = Span::from_millis(1_000);

/// Time after which the last event of a rate has no weight: e^-5 is less than 1 %.
const FORGOTTEN_AFTER: Span = Span::from_secs(5);

/// A number of events per second, as an average in which older events count exponentially less.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    /// Events per second as of `at`.
    per_s: f64,
    /// When `per_s` was last computed.
    at: Instant,
}

impl EventRate {
    fn add(&mut self, now: Instant) {
        self.per_s = self.value_at(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }

    fn value_at(&self, now: Instant) -> f64 {
        let constants = now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.per_s * (-constants).exp()
    }
}

/// The group of a waiting request in the order of service: requests whose objective has not passed go first, and among
/// these and the others the lower priority numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_late: bool,
    priority: u8,
}

impl Rank {
    pub(crate) fn of(request: &ScheduledRequest, now: Instant) -> Self {
        Self {
            is_late: request.first_chunk_due < now,
            priority: request.priority,
        }
    }

    pub(crate) fn priority(self) -> u8 {
        self.priority
    }
}

/// The measured rates of a scheduler. They are bounded by the number of priorities, and of adapters in use.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    /// Placements.
    placed: EventRate,
    /// Loads started for requests, by the rank of the request.
    loads: RatesByRank,
    /// Placements of requests for each adapter, by the rank of the request. Adapters without a placement for
    /// [`FORGOTTEN_AFTER`] are removed.
    placed_for: FxHashMap<AdapterId, RatesByRank>,
    /// When `placed_for` was last cleared of adapters without placements.
    cleared_at: Instant,
}

/// Rates of events by rank.
#[derive(Debug, Default)]
struct RatesByRank(BTreeMap<Rank, EventRate>);

impl RatesByRank {
    fn add(&mut self, now: Instant, rank: Rank) {
        self.0.entry(rank).or_default().add(now);
    }

    /// Returns the events per second of this rank and of those that are served after it.
    fn per_s_from(&self, now: Instant, rank: Rank) -> f64 {
        let rates = self.0.range(rank..);
        rates.map(|(_, rate)| rate.value_at(now)).sum()
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let mut rates = self.0.values();
        rates.all(|rate| now.since(rate.at) > FORGOTTEN_AFTER)
    }
}

impl Throughput {
    pub(crate) fn record_placement(&mut self, now: Instant) {
        self.placed.add(now);
    }

    /// Returns the number of requests placed per second.
    pub(crate) fn placed_per_s(&self, now: Instant) -> f64 {
        self.placed.value_at(now)
    }

    pub(crate) fn record_load(&mut self, now: Instant, rank: Rank) {
        self.loads.add(now, rank);
    }

    /// Returns the number of loads started per second for requests of this rank and for those that are served after
    /// them: what the requests that are served before them have left.
    pub(crate) fn loads_per_s_from(&self, now: Instant, rank: Rank) -> f64 {
        self.loads.per_s_from(now, rank)
    }

    /// Counts a placement of a request for an adapter.
    pub(crate) fn record_placement_for(&mut self, now: Instant, adapter: AdapterId, rank: Rank) {
        if now.since(self.cleared_at) > FORGOTTEN_AFTER {
            self.cleared_at = now;
            self.placed_for.retain(|_, rates| !rates.is_forgotten(now));
        }
        self.placed_for.entry(adapter).or_default().add(now, rank);
    }

    /// Returns the number of requests for an adapter placed per second, of this rank and of those that are served
    /// after it.
    pub(crate) fn placed_per_s_from(&self, now: Instant, adapter: AdapterId, rank: Rank) -> f64 {
        let rates = self.placed_for.get(&adapter);
        rates.map_or(0.0, |rates| rates.per_s_from(now, rank))
    }
}
