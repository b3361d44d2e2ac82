//! Plans several copies of an adapter at once when more prompts wait for it than the engines that hold or load it
//! can read soon.
//!
//! The load that it is designed for: demand moves to other adapters within a second, and the most popular of them
//! needs the prefill of several engines. With one copy at a time, each of which takes a load, the engines with the
//! adapter fall behind for seconds while others are idle.

use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::adapter::AdapterId;
use super::forecast::{WaitForecast, prefill_time};
use super::residency::Residency;
use super::throughput::Rank;
use crate::feature::Feature;

/// Longest time that the prompts waiting for an adapter should take to read, once its copies are loaded: what an
/// objective of a second leaves after a load and the wait before it.
const MAX_QUEUE_TIME: Span = Span::from_millis(300);

/// Maximum number of copies of one adapter that are ordered in one run.
const MAX_EXTRA: u32 = 8;

/// An adapter for which additional copies are worth loading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExtraCopies {
    pub(crate) adapter: AdapterId,
    /// Number of additional copies.
    pub(crate) count: u32,
    /// Time to read the waiting prompts with the present copies.
    pub(crate) queue_time: Span,
    /// Rank of the first request that waits for it.
    pub(crate) rank: Rank,
}

/// Returns how many engines besides `engines` have to read the waiting prompts, so that `tokens` are read within
/// [`MAX_QUEUE_TIME`] at `rate` tokens per millisecond and engine.
pub(crate) fn extra_copies(tokens: u64, engines: u32, rate: f64) -> u32 {
    let mut extra = 0;
    while extra < MAX_EXTRA
        && prefill_time(tokens / u64::from((engines + extra).max(1)), rate) > MAX_QUEUE_TIME
    {
        extra += 1;
    }
    extra
}

impl Scheduler {
    /// Returns whether several copies may be ordered at once: where requests of different priorities or engines of
    /// different speeds make a queue at a few engines costly.
    fn plans_copies(&self, now: Instant) -> bool {
        let uses = |feature| self.settings.uses(feature);
        let is_called_for = self.urgency.priorities_differ(now) || self.speeds.differ;
        uses(Feature::ParallelCopies) && uses(Feature::ExtraReplicas) && is_called_for
    }

    /// Returns the adapters for which more prompts wait than their engines can read soon, in the order of the
    /// requests.
    pub(crate) fn plan_copies(
        &self,
        now: Instant,
        forecasts: &[WaitForecast],
        residency: &Residency,
    ) -> Vec<ExtraCopies> {
        if !self.plans_copies(now) {
            return Vec::new();
        }
        let mut order: Vec<(AdapterId, Rank)> = Vec::new();
        let mut tokens: FxHashMap<AdapterId, u64> = FxHashMap::default();
        for forecast in forecasts {
            let request = self.requests.get(&forecast.id);
            let request = request.filter(|request| request.is_waiting());
            let Some((request, adapter)) = request.and_then(|r| Some((r, r.adapter?))) else {
                continue;
            };
            let sum = tokens.entry(adapter).or_insert_with(|| {
                order.push((adapter, Rank::of(request, now)));
                0
            });
            *sum += u64::from(request.work.prompt_tokens);
        }
        let rates = self.engines.values().map(|engine| engine.prefill_rate);
        let count = self.engines.len().max(1);
        #[allow(clippy::cast_precision_loss)]
        let rate = rates.sum::<f64>() / count as f64;
        let rows = order.into_iter().filter_map(|(adapter, rank)| {
            let held = residency.servers(adapter).len();
            let held = u32::try_from(held).unwrap_or(u32::MAX).max(1);
            let queue = tokens[&adapter];
            let count = extra_copies(queue, held, rate);
            (count > 0).then_some(ExtraCopies {
                adapter,
                count,
                queue_time: prefill_time(queue / u64::from(held), rate),
                rank,
            })
        });
        rows.collect()
    }
}
