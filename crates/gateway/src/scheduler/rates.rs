//! Decides by which speed an engine is judged in a run of the scheduler: the measured one where the speeds of the
//! engines differ, otherwise the moving average of its prefill rate and the same constants for all engines.
//!
//! Designed for engines at 0.7, 0.7 and 1.7 times the nominal speed in rotation, with slow phases.

use dahliastile_core::time::{Instant, Span};

use super::Scheduler;
use super::engine::Engine;
use super::residency::Residency;
use super::speed::{Spectrum, median};
use crate::feature::Feature;

/// Cost of each request that already runs at an engine of usual speed, as a waiting time: its tokens lengthen every
/// decoding step.
const COST_PER_RUNNING: Span = Span::from_millis(4);

/// Time between two comparisons of the engines' speeds, which take a pass over all engines.
const COMPARISON_INTERVAL: Span = Span::from_millis(250);

/// Bounds of an engine's slowness in relation to the median of its service, for the cost of running requests.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Weight of one prompt in the moving average of the tokens that engines have to read of a prompt.
const PROMPT_WEIGHT: f64 = 0.05;

/// Time over which the demand for an adapter counts its requests, in seconds: its half-life over the logarithm of 2.
const DEMAND_SECONDS: f64 = 14.4;

/// Number of requests for which a load decides where they wait. 4 and 8 gave the same share of first chunks in time
/// (0.97 in trials of `tests/engine_speed.rs`); a cost of whole prompts instead left the slow engines idle and 4 %
/// of the requests refused.
const REQUESTS_PER_LOAD: f64 = 8.0;

/// The speed by which an engine is judged in one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Prefill rate of a prompt that is sent now, in tokens per millisecond.
    pub(crate) now: f64,
    /// Prefill rate in the seconds to come, in tokens per millisecond.
    pub(crate) long: f64,
    /// Time from the end of a prompt's prefill to the first chunk of its answer; zero unless the rates are measured.
    pub(crate) chunk: Span,
    /// Cost of each request that already runs there, as a waiting time.
    pub(crate) per_running: Span,
    /// Whether the rates are measured ones, since the engines' speeds differ.
    pub(crate) is_measured: bool,
}

impl Rates {
    /// Returns the rates of an engine whose speed is not measured, or whose measurement is not used.
    pub(crate) fn uniform(prefill_rate: f64) -> Self {
        Self {
            now: prefill_rate,
            long: prefill_rate,
            chunk: Span::ZERO,
            per_running: COST_PER_RUNNING,
            is_measured: false,
        }
    }
}

/// The speeds of all engines of a service, compared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Comparison {
    /// When the speeds are compared next.
    due: Instant,
    /// Whether they differ.
    pub(crate) differ: bool,
    /// Median of the measured prefill rates, in tokens per millisecond; `None` if none is measured.
    pub(crate) median_rate: Option<f64>,
    /// Median of the measured decoding times per chunk, in milliseconds; `None` if none is measured.
    median_chunk: Option<f64>,
    /// Moving average of the tokens that engines have to read of a prompt.
    prompt_tokens: f64,
}

impl Comparison {
    /// Compares the speeds of the engines.
    fn update<'a>(&mut self, now: Instant, engines: impl Iterator<Item = &'a Engine> + Clone) {
        let rates = engines
            .clone()
            .filter_map(|engine| engine.speed.typical_rate(now));
        let mut rates: Vec<f64> = rates.collect();
        let count = engines.clone().count();
        let chunks = engines.filter_map(|engine| engine.speed.chunk_millis(now, engine.running));
        let mut chunks: Vec<f64> = chunks.collect();
        // Until the decoding of most engines is measured, the prefill rates contain an assumed time to the first chunk,
        // which makes engines that were idle seem 1.5 times as fast as busy ones.
        let are_most_known = rates.len() * 2 >= count && chunks.len() * 2 >= count;
        let spectrum = Spectrum::of(&mut rates);
        *self = Self {
            due: now + COMPARISON_INTERVAL,
            prompt_tokens: self.prompt_tokens,
            differ: are_most_known && spectrum.is_some_and(|spectrum| spectrum.is_wide()),
            median_rate: spectrum.map(|spectrum| spectrum.median),
            median_chunk: median(&mut chunks),
        };
    }

    /// Records the tokens that an engine has to read of a prompt.
    pub(crate) fn record_prompt(&mut self, tokens: u32) {
        self.prompt_tokens += (f64::from(tokens) - self.prompt_tokens) * PROMPT_WEIGHT;
    }

    /// Returns the rates of an engine in a service whose speeds differ.
    fn rates(&self, now: Instant, engine: &Engine) -> Rates {
        let median = self.median_rate.unwrap_or(engine.prefill_rate);
        let long = engine.speed.long_rate(now).unwrap_or(median);
        let recent = engine.speed.recent_rate(now).unwrap_or(long);
        let slowness = (median / long).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let chunk = engine.speed.chunk_millis(now, engine.running + 1);
        let usual_chunk = self.median_chunk.map(|usual| usual * slowness);
        let chunk = chunk.or(usual_chunk).unwrap_or_default();
        Rates {
            now: recent,
            long,
            chunk: from_millis(chunk * long / recent),
            per_running: from_millis(COST_PER_RUNNING.as_secs_f64() * 1_000.0 * slowness),
            is_measured: true,
        }
    }
}

impl Scheduler {
    /// Returns the cost of loading an adapter at an engine that comes from the engine's speed, as a waiting time; zero
    /// unless the rates are measured. When the load is complete, the engine's present prompts have been read. What the
    /// adapter's requests wait for then are prompts for the other adapters there, and the steps of its streams.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn future_cost(&self, now: Instant, engine: &Engine, residency: &Residency) -> Span {
        if !engine.rates.is_measured {
            return Span::ZERO;
        }
        let requests = engine.slots.keys().map(|adapter| {
            let copies = residency.get(*adapter).map_or(1, |l| l.ready_copies.max(1));
            self.adapters.demand(*adapter, now) / f64::from(copies)
        });
        let prompt = self.speeds.prompt_tokens / engine.rates.long;
        let busy_share = requests.sum::<f64>() / DEMAND_SECONDS * prompt / 1_000.0;
        from_millis(busy_share * prompt * REQUESTS_PER_LOAD)
            + engine.rates.chunk
            + engine.rates.per_running.times(u64::from(engine.running))
    }

    /// Sets the speeds by which the engines are judged in this run.
    pub(crate) fn update_rates(&mut self, now: Instant) {
        if self.measures_speed() && now >= self.speeds.due {
            self.speeds.update(now, self.engines.values());
        }
        let uses_measured = self.settings.uses(Feature::EngineSpeed) && self.speeds.differ;
        for engine in self.engines.values_mut() {
            engine.rates = if uses_measured {
                self.speeds.rates(now, engine)
            } else {
                Rates::uniform(engine.prefill_rate)
            };
        }
    }

    /// Returns whether a feature uses the measured speeds.
    pub(crate) fn measures_speed(&self) -> bool {
        let features = [Feature::EngineSpeed, Feature::StreamPauses];
        features
            .into_iter()
            .any(|feature| self.settings.uses(feature))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn from_millis(millis: f64) -> Span {
    Span((millis * 1_000.0) as u64)
}
