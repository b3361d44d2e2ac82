//! Loads base models at engines that hold none: those with a local copy at once, the others as many at a time as the weight
//! store serves at full speed.
//!
//! Load: many engines are replaced at once. The weight store divides its bandwidth among all loads, so that loads that are all
//! started at once are all complete at the end, while loads that are started one after the other bring engines into service
//! from the first one on, and the last one as early. How many loads the weight store serves at full speed is learnt from how
//! long they take.

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::engine::{Engine, Intent, REPORT_LAG};
use super::order::REPORT_RETRY_DELAY;
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// Share of the weight store's rate that base model loads use. It leaves a margin because a scheduler that
/// starts does not know which loads its predecessor began.
const BASE_LOAD_RATE_SHARE: f64 = 0.8;

/// Maximum number of base model loads that may start at once.
const BASE_LOAD_BURST: f64 = 2.0;

/// A token bucket for loads of base models from the weight store.
#[derive(Clone, Debug)]
pub(crate) struct BaseLoadBucket {
    /// Loads per second.
    per_s: f64,
    /// Loads that may start, as of `at`.
    available: f64,
    /// When `available` was last computed.
    at: Instant,
}

impl BaseLoadBucket {
    pub(crate) fn new(now: Instant, per_s: f64) -> Self {
        Self {
            per_s: per_s * BASE_LOAD_RATE_SHARE,
            available: BASE_LOAD_BURST,
            at: now,
        }
    }

    /// Takes a token for one load. Returns whether one was available.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let earned = now.since(self.at).as_secs_f64() * self.per_s;
        self.available = (self.available + earned).min(BASE_LOAD_BURST);
        self.at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Loads from the weight store at once, until it is known how many it serves at full speed.
const INITIAL_LIMIT: usize = 4;

/// How many times longer than alone a load may take and still count as at full speed.
const FULL_SPEED_FACTOR: f64 = 1.25;

/// Time after which a load counts as in progress no more, as a multiple of the time that it takes alone, so that engines that
/// never complete theirs do not keep others waiting.
const ABANDONED_FACTOR: u64 = 8;

/// A load of a base model in progress at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaseLoad {
    /// When it was ordered; `None` if an earlier scheduler did.
    ordered_at: Option<Instant>,
    /// When it no longer counts as in progress.
    abandoned_at: Instant,
    /// Whether it takes bandwidth of the weight store.
    from_store: bool,
    /// Most loads from the weight store that were in progress at once during it.
    concurrent: usize,
}

impl BaseLoad {
    /// Describes a load that an earlier scheduler ordered, and that takes `alone` by itself.
    pub(crate) fn unknown(now: Instant, alone: Span, from_store: bool) -> Self {
        Self {
            ordered_at: None,
            abandoned_at: now + alone.times(ABANDONED_FACTOR),
            from_store,
            concurrent: 0,
        }
    }

    /// Returns whether it takes bandwidth of the weight store.
    fn loads_store(&self, now: Instant) -> bool {
        self.from_store && now < self.abandoned_at
    }
}

/// The number of loads that the weight store serves at full speed, learnt from how long loads take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaseLoadLimit {
    loads: usize,
    /// Loads that took as long as alone, since the limit last changed.
    at_full_speed: usize,
    /// Whether a load took longer since the scheduler started.
    is_measured: bool,
}

impl Default for BaseLoadLimit {
    fn default() -> Self {
        Self {
            loads: INITIAL_LIMIT,
            at_full_speed: 0,
            is_measured: false,
        }
    }
}

impl BaseLoadLimit {
    /// Records that a load took `span`, beside `concurrent - 1` others, which takes `alone` by itself. `resolution` is the
    /// uncertainty of `span`.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn record(&mut self, concurrent: usize, span: Span, alone: Span, resolution: Span) {
        let full_speed = alone.as_secs_f64() * FULL_SPEED_FACTOR + resolution.as_secs_f64();
        if span.as_secs_f64() > full_speed {
            let served = concurrent as f64 * alone.as_secs_f64() / span.as_secs_f64();
            // An engine may have been slow by itself, so one load lowers the limit by half at most.
            let least = (self.loads / 2).max(1);
            *self = Self {
                loads: (served.round() as usize).max(least),
                at_full_speed: 0,
                is_measured: true,
            };
            return;
        }
        self.at_full_speed += usize::from(concurrent >= self.loads);
        if self.at_full_speed >= self.loads {
            self.at_full_speed = 0;
            self.loads += if self.is_measured { 1 } else { self.loads };
        }
    }
}

impl Scheduler {
    /// Plans loads of the base model that the fewest engines hold, at the engines that hold no base model.
    pub(crate) fn plan_base_loads(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let needing = self.engines.iter().filter(|(_, e)| e.needs_base_model());
        let needing: Vec<Server> = needing.map(|(server, _)| server.clone()).collect();
        if needing.is_empty() {
            return;
        }
        let engine_count = |name: &Arc<str>| {
            let engines = self.engines.values();
            engines.filter(|e| e.base_models.contains(name)).count()
        };
        let models = self.engine_spec.models.iter();
        let model = models.min_by_key(|m| (engine_count(&m.name), m.name.clone()));
        let Some(model) = model.cloned() else {
            return;
        };
        let is_staged = self.settings.uses(Feature::StagedBaseLoads);
        let limit = if is_staged {
            self.base_load_limit.loads
        } else {
            usize::MAX
        };
        let loads_store = |engine: &&Engine| {
            let load = engine.base_load.as_ref();
            load.is_some_and(|load| load.loads_store(now))
        };
        let mut concurrent = self.engines.values().filter(loads_store).count();
        for server in needing {
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            let from_store = !is_staged || !engine.local_models.contains(&model.name);
            if from_store && (concurrent >= limit || !self.base_load_bucket.try_take(now)) {
                continue;
            }
            concurrent += usize::from(from_store);
            engine.base_load_due = Some(now + model.load);
            engine.base_load = Some(BaseLoad {
                ordered_at: Some(now),
                abandoned_at: now + model.load.times(ABANDONED_FACTOR),
                from_store,
                concurrent: 0,
            });
            engine
                .order_queue
                .push_back(Intent::Base(model.name.clone()));
            let detail = format!(
                "model={} server={server} from_store={from_store} concurrent={concurrent} limit={}",
                model.name, self.base_load_limit.loads
            );
            out.push(Decision::Log(Record::new(Code::LoadOrdered, detail)));
        }
        let loads = self
            .engines
            .values_mut()
            .filter_map(|e| e.base_load.as_mut());
        for load in loads {
            load.concurrent = load.concurrent.max(concurrent);
        }
    }

    /// Records that an engine's load of a base model is complete.
    pub(crate) fn record_base_load(&mut self, now: Instant, model: &Arc<str>, load: &BaseLoad) {
        let mut models = self.engine_spec.models.iter();
        let spec = models.find(|spec| spec.name == *model);
        let Some((ordered_at, spec)) = load.ordered_at.zip(spec).filter(|_| load.from_store) else {
            return;
        };
        self.base_load_limit.record(
            load.concurrent,
            now.since(ordered_at),
            spec.load,
            REPORT_LAG + REPORT_RETRY_DELAY,
        );
    }
}
