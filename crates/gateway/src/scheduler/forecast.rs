//! Forecasts when each waiting request can start.
//!
//! The requests are visited in the order in which they are served. A request whose adapter is resident waits
//! for the prompts before it at the engines that hold the adapter. One whose adapter is being loaded waits for
//! that load as well. One whose adapter must be loaded first waits for the loads before it.

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::adapter::AdapterId;
use super::capacity::REQUESTS_PER_LOAD;
use super::engine::{Engine, Leaving, REPORT_LAG};
use super::load::SLOT_WAIT;
use super::residency::Residency;
use super::scheduled_request::{ScheduledRequest, VmRequestId};
use crate::account::quota::bucket::time_until_available;
use crate::feature::Feature;

/// A wait that exceeds every deadline.
const UNBOUNDED_WAIT: Span = Span::from_secs(3_600);

/// Expected time without loads of adapters while all engines reject requests: until the answer to a trial request
/// has started at one of them.
const LOAD_PAUSE: Span = Span::from_millis(1_500);

/// What a request waits for. The names of the variants are logged as `why=`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Capacity of an engine that holds its adapter, or of any engine if it names none.
    Room,
    /// Capacity of an engine that holds its adapter, while one more copy of the adapter is being loaded.
    Copy,
    /// An adapter that is being loaded.
    Coming,
    /// A load that has not started.
    Load,
    /// An engine that accepts requests, because all engines reject them, shut down or reached their rate limits.
    Engine,
}

/// The forecast of one waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitForecast {
    pub(crate) id: VmRequestId,
    pub(crate) reason: WaitReason,
    /// Time until the request can be placed.
    pub(crate) span: Span,
    /// What streams lose wherever it is placed, as a waiting time: a reason for one more copy of its adapter, but not
    /// for refusing it.
    pub(crate) pause_cost: Span,
}

/// What is served before the next request in the queue.
#[derive(Default)]
struct QueueAhead {
    /// Prompt tokens to read for each adapter.
    tokens: FxHashMap<AdapterId, u64>,
    /// Loads that have not started.
    queued_loads: usize,
    /// Loads from the weight store in progress, over all engines.
    store_loads: usize,
    /// Prefill rate of the slowest engine, in tokens per millisecond.
    slowest_rate: f64,
    /// Rate limits of all engines together; `None` if any of them has no limit.
    rate_limit: Option<RateLimitBudget>,
    /// Time until each engine's cooldown for a VM ends, shortest first; `None` if no engine has a cooldown.
    cooldowns: Option<FxHashMap<Vm, Vec<Span>>>,
    /// Number of requests that wait for the end of a cooldown.
    waiting_for_cooldown: usize,
}

impl QueueAhead {
    /// Returns how long the next request of a VM waits for a cooldown to end. Each request is taken as the
    /// trial of another engine.
    fn next_cooldown_end(
        &mut self,
        vm: &Vm,
        cooldown_ends_of: impl FnOnce(&Vm) -> Vec<Span>,
    ) -> Span {
        let Some(cooldowns) = &mut self.cooldowns else {
            return Span::ZERO;
        };
        let ends = cooldowns
            .entry(vm.clone())
            .or_insert_with(|| cooldown_ends_of(vm));
        if ends.first().is_none_or(|first| *first == Span::ZERO) {
            return Span::ZERO;
        }
        self.waiting_for_cooldown += 1;
        let end = ends.get(self.waiting_for_cooldown - 1).or(ends.last());
        end.copied().unwrap_or_default()
    }
}

/// The rate limits of all engines together, where each of them has one.
#[derive(Clone, Copy)]
struct RateLimitBudget {
    /// Requests that the engines accept now.
    available: f64,
    /// Requests that the engines accept per second.
    rate: f64,
}

impl RateLimitBudget {
    /// Takes the requests and orders that the next request needs. Returns the time until the limits allow them.
    fn take_next(&mut self, reason: WaitReason) -> Span {
        self.available -= match reason {
            WaitReason::Room | WaitReason::Copy | WaitReason::Coming => 1.0,
            WaitReason::Load | WaitReason::Engine => f64::from(REQUESTS_PER_LOAD),
        };
        time_until_available(-self.available, self.rate)
    }
}

impl Scheduler {
    /// Returns the forecast of each waiting request, in the order in which they are served.
    pub(crate) fn forecast(&self, now: Instant, residency: &Residency) -> Vec<WaitForecast> {
        let rates = self.engines.values().map(|engine| engine.rates.long);
        let cooldowns = self.engines.values().any(|e| e.cooldown.is_active(now));
        let mut ahead = QueueAhead {
            store_loads: self.weight_store_loads(),
            slowest_rate: rates.fold(f64::MAX, f64::min),
            rate_limit: self.rate_limit(now),
            cooldowns: cooldowns.then(FxHashMap::default),
            ..QueueAhead::default()
        };
        let load_pause = if self.all_rejecting() {
            LOAD_PAUSE
        } else {
            Span::ZERO
        };
        let leaving_wait = if self.all_leaving() {
            UNBOUNDED_WAIT
        } else {
            Span::ZERO
        };
        let ids = self.requests.waiting(now).into_iter();
        ids.filter_map(|id| {
            let (reason, span) =
                self.forecast_request(now, &id, self.requests.get(&id)?, residency, &mut ahead);
            let rate_limit_wait = ahead
                .rate_limit
                .as_mut()
                .map(|rate_limit| rate_limit.take_next(reason));
            let cooldown_wait = ahead.next_cooldown_end(&id.vm, |vm| self.cooldown_ends(now, vm));
            let paused_wait = if reason == WaitReason::Load {
                load_pause
            } else {
                Span::ZERO
            };
            let engine_wait = rate_limit_wait
                .unwrap_or_default()
                .max(cooldown_wait)
                .max(leaving_wait)
                .max(paused_wait);
            let (reason, span) = if engine_wait > span {
                (WaitReason::Engine, engine_wait)
            } else {
                (reason, span)
            };
            let pause_cost = self.least_pause_cost(now, self.requests.get(&id)?, residency);
            Some(WaitForecast {
                id,
                reason,
                span,
                pause_cost,
            })
        })
        .collect()
    }

    /// Returns the least that streams lose at one of the engines that hold a request's adapter; zero under overload, in
    /// which loads are needed for requests whose adapters no engine holds.
    fn least_pause_cost(
        &self,
        now: Instant,
        request: &ScheduledRequest,
        residency: &Residency,
    ) -> Span {
        let Some(adapter) = request.adapter.filter(|_| {
            self.settings.uses(Feature::StreamPauses) && !self.refusals.show_overload()
        }) else {
            return Span::ZERO;
        };
        let engines = self.ready_engines(request, adapter, residency);
        let costs = engines.map(|engine| self.pause_cost(now, engine, request));
        costs.min().unwrap_or_default()
    }

    /// Returns whether there are engines and all of them shut down.
    fn all_leaving(&self) -> bool {
        let is_leaving = |engine: &Engine| {
            !engine.backend.ready || matches!(engine.leaving, Leaving::Excluded(_))
        };
        !self.engines.is_empty() && self.engines.values().all(is_leaving)
    }

    /// Returns whether all engines reject requests, so that no loads are ordered.
    fn all_rejecting(&self) -> bool {
        let usable = self.engines.values().filter(|engine| engine.is_usable());
        let rejecting = usable.map(|engine| engine.cooldown.is_rejecting());
        rejecting.reduce(|all, one| all && one).unwrap_or(false)
    }

    /// Returns the rate limits of all engines together; `None` if any of them has no limit.
    fn rate_limit(&self, now: Instant) -> Option<RateLimitBudget> {
        let mut rate_limit = None;
        for engine in self.engines.values().filter(|engine| engine.is_usable()) {
            let rate_limiter = engine.rate_limiter.as_ref()?;
            let sum: &mut RateLimitBudget = rate_limit.get_or_insert(RateLimitBudget {
                available: 0.0,
                rate: 0.0,
            });
            sum.available += rate_limiter.available(now);
            sum.rate += rate_limiter.rate();
        }
        rate_limit
    }

    /// Returns the time until each engine's cooldown for a VM ends, shortest first.
    fn cooldown_ends(&self, now: Instant, vm: &Vm) -> Vec<Span> {
        let usable = self.engines.values().filter(|engine| engine.is_usable());
        let ends = usable.map(|engine| engine.cooldown.ends_at(vm).since(now));
        let mut ends: Vec<Span> = ends.collect();
        ends.sort_unstable();
        ends
    }

    /// Returns what a request waits for and for how long, apart from rate limits and cooldowns. Adds its prompt
    /// and its load to `ahead`.
    fn forecast_request(
        &self,
        now: Instant,
        id: &VmRequestId,
        request: &ScheduledRequest,
        residency: &Residency,
        ahead: &mut QueueAhead,
    ) -> (WaitReason, Span) {
        let usable = self.engines.values().filter(|engine| engine.is_usable());
        let mut allowed = usable.filter(|engine| request.may_run_at(engine));
        let Some(adapter) = request.adapter else {
            let least = allowed.map(|engine| engine.backlog(now)).min();
            return match least {
                None if request.is_bound() => (WaitReason::Engine, self.build_wait(request)),
                least => (WaitReason::Room, least.unwrap_or(Span::ZERO)),
            };
        };
        if request.is_bound() && allowed.next().is_none() {
            return (WaitReason::Engine, self.build_wait(request));
        }
        let engines = self.ready_engines(request, adapter, residency);
        let is_allowed = |engine: &&Engine| engine.cooldown.allows(now, &id.vm);
        let engines: Vec<&Engine> = engines.filter(is_allowed).collect();
        let fewest = engines
            .iter()
            .map(|engine| engine.tokens_to_read(request))
            .min();
        let unread = fewest.unwrap_or(request.work.prompt_tokens);
        let is_first = !ahead.tokens.contains_key(&adapter);
        let tokens = ahead.tokens.entry(adapter).or_default();
        let tokens_before = std::mem::replace(tokens, *tokens + u64::from(unread));
        if !engines.is_empty() {
            let least = engines.iter().map(|engine| engine.backlog(now)).min();
            let rate: f64 = engines.iter().map(|engine| engine.rates.now).sum();
            let queue_wait =
                self.with_one_more_copy(prefill_time(tokens_before, rate), engines.len());
            let reason = if self.is_loading(request, adapter, residency) {
                WaitReason::Copy
            } else {
                WaitReason::Room
            };
            return (reason, least.unwrap_or(Span::ZERO) + queue_wait);
        }
        let queue_wait =
            self.with_one_more_copy(prefill_time(tokens_before, ahead.slowest_rate), 1);
        if let Some(at) = self.next_ready_at(request, adapter, residency) {
            return (WaitReason::Coming, at.since(now) + queue_wait);
        }
        if self.has_local_copy(now, adapter) {
            return (
                WaitReason::Load,
                SLOT_WAIT + self.local_load_time() + queue_wait,
            );
        }
        ahead.queued_loads += usize::from(is_first);
        (
            WaitReason::Load,
            self.load_queue_wait(ahead.store_loads + ahead.queued_loads) + queue_wait,
        )
    }

    /// Returns the expected time until an engine can be used that may run a request: until the report of one that has been
    /// listed is read, if there is any.
    fn build_wait(&self, request: &ScheduledRequest) -> Span {
        let is_coming = |engine: &Engine| {
            let is_leaving = matches!(engine.leaving, Leaving::Excluded(_));
            engine.backend.ready && !engine.state_known && !is_leaving && request.may_run_at(engine)
        };
        if self.engines.values().any(is_coming) {
            REPORT_LAG
        } else {
            UNBOUNDED_WAIT
        }
    }

    /// Returns the wait for a queue at `engines` engines if one more copy of the adapter is loaded: after the load
    /// time, the engine with the copy serves an equal share of the rest of the queue.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn with_one_more_copy(&self, queue_wait: Span, engines: usize) -> Span {
        let excess = queue_wait - self.load_time;
        let share = engines as f64 / (engines + 1) as f64;
        queue_wait.min(self.load_time) + Span((excess.0 as f64 * share) as u64)
    }

    /// Returns the engines where a request's adapter is ready, without those that failed the request or are
    /// deprioritized.
    fn ready_engines<'a>(
        &'a self,
        request: &'a ScheduledRequest,
        adapter: AdapterId,
        residency: &'a Residency,
    ) -> impl Iterator<Item = &'a Engine> {
        let ready = residency.ready_servers(adapter).iter();
        let eligible = ready.filter(|server| !request.failed.contains(server));
        let engines = eligible.filter_map(|server| self.engines.get(server));
        engines.filter(|engine| !engine.deprioritized && request.may_run_at(engine))
    }

    /// Returns the time until the load at this position of the queue is complete. The loads in progress have the
    /// first positions.
    fn load_queue_wait(&self, position: usize) -> Span {
        let rounds = position.div_ceil(self.max_concurrent_loads()).max(1);
        self.load_time.times(rounds as u64)
    }
}

/// Returns the time to read `tokens` prompt tokens at `rate` tokens per millisecond.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub(crate) fn prefill_time(tokens: u64, rate: f64) -> Span {
    Span((tokens as f64 / rate.max(f64::MIN_POSITIVE) * 1_000.0) as u64)
}
