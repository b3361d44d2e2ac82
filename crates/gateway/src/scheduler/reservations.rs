//! The engine capacity that waiting requests reserve.
//!
//! An adapter that a request waits for is not evicted, and the prompts that wait for an adapter count as
//! backlog of the engine that holds or loads it. Without the first rule, adapters loaded for a request were
//! evicted before the request started, and loaded again. Without the second, adapters requested together were
//! loaded at the same engine, which then read their prompts one after the other.

use rustc_hash::FxHashMap;

use super::Scheduler;
use super::adapter::AdapterId;
use super::engine::Engine;
use super::forecast::WaitForecast;
use super::residency::Residency;

/// Prompt tokens of the waiting requests, by adapter.
#[derive(Debug, Default)]
pub(crate) struct Reservations(FxHashMap<AdapterId, u64>);

impl Reservations {
    /// Reserves an adapter for requests with `tokens` prompt tokens.
    pub(crate) fn add(&mut self, adapter: AdapterId, tokens: u64) {
        *self.0.entry(adapter).or_default() += tokens;
    }

    /// Returns whether a request waits for an adapter.
    pub(crate) fn is_reserved(&self, adapter: AdapterId) -> bool {
        self.0.contains_key(&adapter)
    }

    /// Returns the prompt tokens of waiting requests that an engine will have to read, except those for the
    /// adapter `excluded`. If several engines hold an adapter, each is counted with an equal share.
    pub(crate) fn tokens_at(
        &self,
        engine: &Engine,
        excluded: Option<AdapterId>,
        residency: &Residency,
    ) -> u64 {
        let others = engine
            .slots
            .keys()
            .filter(|adapter| Some(**adapter) != excluded);
        let tokens = others.filter_map(|adapter| {
            let tokens = self.0.get(adapter)?;
            let copies = residency
                .get(*adapter)
                .map_or(1, |location| location.ready_copies.max(1));
            Some(tokens / u64::from(copies))
        });
        tokens.sum()
    }
}

impl Scheduler {
    /// Returns the reservations of the waiting requests.
    pub(crate) fn reservations(&self, forecasts: &[WaitForecast]) -> Reservations {
        let mut reservations = Reservations::default();
        for request in forecasts
            .iter()
            .filter_map(|forecast| self.requests.get(&forecast.id))
        {
            if let Some(adapter) = request.adapter.filter(|_| request.is_waiting()) {
                reservations.add(adapter, u64::from(request.work.prompt_tokens));
            }
        }
        reservations
    }
}
