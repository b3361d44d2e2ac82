//! When each waiting request can begin, as far as that can be foreseen.
//!
//! Requests are taken in the order in which they are served. One whose adapter is resident waits for the prompts that
//! go before it at the engines that hold the adapter; one whose adapter is on its way, for that too; one whose adapter
//! must be loaded first, for the loads that go before it.

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::capacity::FOR_A_LOAD;
use super::engine::{Engine, Leaving};
use super::job::{Job, JobId};
use super::key::Key;
use super::load::ROOM_SOON;
use super::residency::Spread;
use crate::account::quota::bucket::wait;

/// A wait that no request has time for.
const FOREVER: Span = Span::from_secs(3_600);

/// How long no adapter is loaded where all engines turn requests away: until a request that tries one has begun there.
const NO_LOADS: Span = Span::from_millis(1_500);

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum For {
    /// Room at an engine that holds its adapter.
    Room,
    /// The same while a further copy of its adapter is on its way.
    Copy,
    /// An adapter on its way.
    Coming,
    /// A load that has not begun.
    Load,
    /// Any engine to take requests again.
    Engine,
}

/// The forecast of one waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    /// The request.
    pub(crate) id: JobId,
    /// What it waits for.
    pub(crate) what: For,
    /// How long until it can be given to an engine.
    pub(crate) span: Span,
}

/// What goes before the next request.
#[derive(Default)]
struct Ahead {
    /// Prompt tokens for each adapter.
    tokens: FxHashMap<Key, u64>,
    /// Loads that have not begun.
    loads: usize,
    /// Adapters on their way to all engines.
    loading: usize,
    /// The rate of the engine that reads slowest, in tokens a millisecond.
    slowest: f64,
    /// What the engines may be sent; none where one of them names no limit.
    limited: Option<Limited>,
    /// How long each engine wants nothing of a VM, the shortest first; none where no engine rests.
    rests: Option<FxHashMap<Vm, Vec<Span>>>,
    /// Requests that wait for an engine's rest to end.
    resting: usize,
}

impl Ahead {
    /// How long the next request of a VM waits for an engine's rest to end: one each tries an engine.
    fn next_end(&mut self, vm: &Vm, look: impl FnOnce(&Vm) -> Vec<Span>) -> Span {
        let Some(rests) = &mut self.rests else {
            return Span::ZERO;
        };
        let ends = rests.entry(vm.clone()).or_insert_with(|| look(vm));
        if ends.first().is_none_or(|first| *first == Span::ZERO) {
            return Span::ZERO;
        }
        self.resting += 1;
        let end = ends.get(self.resting - 1).or(ends.last());
        end.copied().unwrap_or_default()
    }
}

/// What engines may be sent that all name limits.
#[derive(Clone, Copy)]
struct Limited {
    /// Now.
    left: f64,
    /// A second.
    rate: f64,
}

impl Limited {
    /// Takes what is sent for the next request, and gives the time until it may be.
    fn next(&mut self, what: For) -> Span {
        self.left -= match what {
            For::Room | For::Copy | For::Coming => 1.0,
            For::Load | For::Engine => f64::from(FOR_A_LOAD),
        };
        wait(-self.left, self.rate)
    }
}

impl Scheduler {
    /// The forecast of all waiting requests, in their order.
    pub(crate) fn forecast(&self, now: Instant, spread: &Spread) -> Vec<Wait> {
        let rates = self.engines.values().map(|engine| engine.rate);
        let rests = self.engines.values().any(|e| e.cooldown.is_asked(now));
        let mut ahead = Ahead {
            loading: self.loading(),
            slowest: rates.fold(f64::MAX, f64::min),
            limited: self.limited(now),
            rests: rests.then(FxHashMap::default),
            ..Ahead::default()
        };
        let no_loads = if self.all_turn_away() {
            NO_LOADS
        } else {
            Span::ZERO
        };
        let closed = if self.all_leave() {
            FOREVER
        } else {
            Span::ZERO
        };
        let ids = self.jobs.waiting(now).into_iter();
        ids.filter_map(|id| {
            let (what, span) = self.wait_of(now, &id, self.jobs.get(&id)?, spread, &mut ahead);
            let limited = ahead.limited.as_mut().map(|limited| limited.next(what));
            let cooldown = ahead.next_end(&id.vm, |vm| self.rest_ends(now, vm));
            let loads = if what == For::Load {
                no_loads
            } else {
                Span::ZERO
            };
            let engine = limited
                .unwrap_or_default()
                .max(cooldown)
                .max(closed)
                .max(loads);
            let (what, span) = if engine > span {
                (For::Engine, engine)
            } else {
                (what, span)
            };
            Some(Wait { id, what, span })
        })
        .collect()
    }

    /// Whether there are engines, and all of them leave.
    fn all_leave(&self) -> bool {
        let leaves =
            |engine: &Engine| !engine.backend.ready || matches!(engine.leaving, Leaving::Closed(_));
        !self.engines.is_empty() && self.engines.values().all(leaves)
    }

    /// Whether all engines turn requests away, and so are ordered no loads.
    fn all_turn_away(&self) -> bool {
        let usable = self.engines.values().filter(|engine| engine.usable());
        let turns_away = usable.map(|engine| engine.cooldown.turns_away());
        turns_away.reduce(|all, one| all && one).unwrap_or(false)
    }

    /// What the engines may be sent, where all of them name limits.
    fn limited(&self, now: Instant) -> Option<Limited> {
        let mut limited = None;
        for engine in self.engines.values().filter(|engine| engine.usable()) {
            let rate_limiter = engine.rate_limiter.as_ref()?;
            let sum: &mut Limited = limited.get_or_insert(Limited {
                left: 0.0,
                rate: 0.0,
            });
            sum.left += rate_limiter.available(now);
            sum.rate += rate_limiter.rate();
        }
        limited
    }

    /// How long each engine wants nothing of a VM, the shortest first.
    fn rest_ends(&self, now: Instant, vm: &Vm) -> Vec<Span> {
        let usable = self.engines.values().filter(|engine| engine.usable());
        let ends = usable.map(|engine| engine.cooldown.ends(vm).since(now));
        let mut ends: Vec<Span> = ends.collect();
        ends.sort_unstable();
        ends
    }

    fn wait_of(
        &self,
        now: Instant,
        id: &JobId,
        job: &Job,
        spread: &Spread,
        ahead: &mut Ahead,
    ) -> (For, Span) {
        let Some(key) = job.key else {
            let backlogs = self.engines.values().filter(|engine| engine.usable());
            let least = backlogs.map(|engine| engine.backlog(now)).min();
            return (For::Room, least.unwrap_or(Span::ZERO));
        };
        let holders = self.holders(job, key, spread);
        let open = |engine: &&Engine| engine.cooldown.allows(now, &id.vm);
        let holders: Vec<&Engine> = holders.filter(open).collect();
        let least = holders.iter().map(|engine| engine.reads(job)).min();
        let reads = least.unwrap_or(job.work.prompt_tokens);
        let first = !ahead.tokens.contains_key(&key);
        let tokens = ahead.tokens.entry(key).or_default();
        let before = std::mem::replace(tokens, *tokens + u64::from(reads));
        if !holders.is_empty() {
            let least = holders.iter().map(|engine| engine.backlog(now)).min();
            let rate: f64 = holders.iter().map(|engine| engine.rate).sum();
            let queued = self.shortened(reading(before, rate), holders.len());
            let what = match spread.spot(key) {
                Some(spot) if spot.moving => For::Copy,
                Some(_) | None => For::Room,
            };
            return (what, least.unwrap_or(Span::ZERO) + queued);
        }
        let queued = self.shortened(reading(before, ahead.slowest), 1);
        if let Some(at) = spread.spot(key).and_then(|spot| spot.coming) {
            return (For::Coming, at.since(now) + queued);
        }
        if self.lies_beside_any(now, key) {
            return (For::Load, ROOM_SOON + self.back_time() + queued);
        }
        ahead.loads += usize::from(first);
        (
            For::Load,
            self.load_wait(ahead.loading + ahead.loads) + queued,
        )
    }

    /// A queue at so many engines, shortened by one more copy of the adapter that takes part after a load's time.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn shortened(&self, queued: Span, engines: usize) -> Span {
        let beyond = queued - self.load_time;
        let share = engines as f64 / (engines + 1) as f64;
        queued.min(self.load_time) + Span((beyond.0 as f64 * share) as u64)
    }

    /// The engines that can run a request, as far as its adapter goes.
    fn holders<'a>(
        &'a self,
        job: &'a Job,
        key: Key,
        spread: &'a Spread,
    ) -> impl Iterator<Item = &'a Engine> {
        let ready = spread.ready(key).iter();
        let fit = ready.filter(|server| !job.failed.contains(server));
        let engines = fit.filter_map(|server| self.engines.get(server));
        engines.filter(|engine| !engine.last)
    }

    /// How long the load at this place in the queue takes, those that are under way counted.
    fn load_wait(&self, place: usize) -> Span {
        let rounds = place.div_ceil(self.loads_at_once()).max(1);
        self.load_time.times(rounds as u64)
    }
}

/// The time that it takes to read tokens at a rate in tokens a millisecond.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub(crate) fn reading(tokens: u64, rate: f64) -> Span {
    Span((tokens as f64 / rate.max(f64::MIN_POSITIVE) * 1_000.0) as u64)
}
