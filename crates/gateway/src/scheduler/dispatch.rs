//! Which request goes to which engine, and what its way there tells.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::engine::{Engine, Stage};
use super::job::{Job, JobId, State};
use super::residency::Spread;
use super::{Decision, Scheduler};
use crate::event::{Execution, FailureCause};
use crate::feature::Feature;

/// The cost of another availability zone, as a time: bytes between zones cost about a twentieth of a plan's worth, which
/// a wait of this length costs too.
const OTHER_ZONE: Span = Span::from_millis(15);

/// What each request that runs already costs one more: its tokens lengthen each step.
const EACH_RUNNING: Span = Span::from_millis(4);

/// What is added for an engine that fails requests: more than any backlog.
const SHUNNED: Span = Span::from_secs(60);

/// How long an adapter that was refused right after it was expected is given: a fifth of its usual time.
const NOT_YET: Span = Span::from_millis(50);

/// How much longer a load is taken to last after one that was not done when expected, and how much shorter after each
/// one that was, with `STEP_LOADS` under way: one in nine comes too early, which costs a rejected arrival and 50 ms. Loads
/// that are under way together tell the same thing together, so with more of them each tells less.
const LATER: Span = Span::from_millis(8);
const SOONER: Span = Span::from_millis(1);

/// The loads under way at the deployments where those steps were tried.
const STEP_LOADS: u64 = 8;

/// How often an adapter may be refused before the engine's report is read.
const REFUSALS: u32 = 3;

/// The longest pause between two looks at requests that wait for room.
const LOOK_AGAIN: Span = Span::from_millis(25);

impl Scheduler {
    /// Gives places to the requests that can have one now.
    pub(crate) fn place_jobs(&mut self, now: Instant, spread: &Spread, out: &mut Vec<Decision>) {
        for id in self.jobs.waiting(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some((server, cost)) = self.best(now, &id.vm, job, spread) else {
                continue;
            };
            let engine = &self.engines[&server];
            let tuning = &self.settings.tuning;
            let room = engine.running < tuning.running_per_engine.min(self.shape.batch);
            let ahead = engine.backlog_with(now, engine.reads(job));
            let soon = engine.unread == 0 || ahead <= tuning.backlog;
            if room && soon && cost < SHUNNED {
                self.give(now, &id, &server, out);
            } else {
                self.by(now + LOOK_AGAIN);
            }
        }
    }

    /// The engine that could run a request at the least cost, of those that hold what it needs.
    fn best(&self, now: Instant, vm: &Vm, job: &Job, spread: &Spread) -> Option<(Server, Span)> {
        let zones = self.settings.uses(Feature::ZonePreference);
        let cost = |server: &Server, engine: &Engine| {
            let open = engine.usable() && engine.may_get(1, now) && engine.cooldown.allows(now, vm);
            let fit = open && !job.failed.contains(server);
            fit.then(|| cost(engine, job, now, zones))
        };
        let ready = |key| spread.ready(key).iter();
        let named = job.key.into_iter().flat_map(ready);
        let known = named.filter_map(|server| Some((server, self.engines.get(server)?)));
        // Only a request that names no adapter looks at all engines.
        let all = job.key.is_none().then_some(&self.engines);
        let all = all.into_iter().flatten();
        let bases = all.filter(|(_, engine)| engine.bases.contains(&job.work.model));
        let costs = known
            .chain(bases)
            .filter_map(|(server, engine)| Some((server, cost(server, engine)?)));
        let least = costs.min_by_key(|(_, cost)| *cost);
        least.map(|(server, cost)| (server.clone(), cost))
    }

    fn give(&mut self, now: Instant, id: &JobId, server: &Server, out: &mut Vec<Decision>) {
        let reads = self.jobs.get(id).map(|job| self.engines[server].reads(job));
        self.jobs.start(id, server, reads.unwrap_or(0), now);
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let engine = &self.engines[server];
        let place = job.key.and_then(|key| engine.places.get(&key));
        let version = place.map(|place| place.version);
        let version = version.filter(|version| *version > 0);
        self.occupy(&job, server);
        if let Some(engine) = self.engines.get_mut(server) {
            engine.take_one(now);
            engine.cooldown.give(now);
            engine.add(now, job.reads);
            let waited = now.since(job.arrived);
            let adapter = job.work.adapter.as_deref().unwrap_or("-");
            let detail = format!(
                "id={} vm={} adapter={adapter} version={version:?} server={server} waited={waited} reads={} running={} backlog={} limit={}",
                job.id,
                id.vm,
                job.reads,
                engine.running,
                engine.backlog(now),
                limit(engine, now)
            );
            out.push(Decision::Log(Record::new(Code::Placed, detail)));
        }
        out.push(Decision::Place(
            id.vm.clone(),
            id.request,
            server.clone(),
            version,
        ));
    }

    /// Counts a request on its engine and its adapter's place.
    pub(crate) fn occupy(&mut self, job: &Job, server: &Server) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.running += 1;
        let Some(key) = job.key else {
            return;
        };
        if self.settings.uses(Feature::PrefixCache) {
            let kept = &mut engine.kept;
            kept.read(key, &job.work.prompt_parts, self.shape.tokens);
        }
        if let Some(place) = engine.places.get_mut(&key) {
            place.used += 1;
        }
    }

    /// Takes a request off the engine where it was.
    pub(crate) fn release(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let State::Running { server, begun, .. } = job.state() else {
            return;
        };
        let (key, reads) = (job.key, u64::from(job.reads));
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        if !*begun {
            engine.unread = engine.unread.saturating_sub(reads);
        }
        let Some(key) = key else {
            return;
        };
        self.remembering.touch(server, &mut engine.recent, key);
        if let Some(place) = engine.places.get_mut(&key) {
            place.used = place.used.saturating_sub(1);
        }
    }

    /// The answer to a request has begun.
    pub(crate) fn job_begun(&mut self, now: Instant, id: &JobId) {
        let Some((server, since)) = self.jobs.begin(id) else {
            return;
        };
        let Some((key, reads)) = self.jobs.get(id).map(|job| (job.key, job.reads)) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        engine.read(now, reads, since);
        engine.health.record_success(now);
        engine.cooldown.begin();
        let place = key.and_then(|key| engine.places.get_mut(&key));
        if let Some(place) = place {
            let first = std::mem::replace(&mut place.fresh, false);
            let refused = std::mem::replace(&mut place.refusals, 0) > 0;
            if let Some(depth) = place.depth.take().filter(|_| first && !refused) {
                self.beside.fast(depth);
            } else if first {
                let usual = self.settings.tuning.adapter_load;
                self.load_time = (self.load_time - self.step(SOONER)).max(usual);
            }
        }
    }

    /// A request is over.
    pub(crate) fn job_over(&mut self, id: &JobId) {
        self.release(id);
        self.jobs.remove(id);
    }

    /// An engine failed a request.
    pub(crate) fn job_failed(
        &mut self,
        now: Instant,
        id: &JobId,
        ran: Execution,
        cause: FailureCause,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (key, state) = (job.key, job.state().clone());
        self.job_over(id);
        let State::Running { server, .. } = state else {
            return;
        };
        let longest = self.settings.tuning.adapter_load.times(4);
        let longer = (self.load_time + self.step(LATER)).min(longest);
        let fetched = self.load_time - self.back_time();
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        match cause {
            // It says nothing of its adapters.
            FailureCause::Full if engine.cooldown.turns_away() => {}
            FailureCause::Missing | FailureCause::Full if ran == Execution::No => {
                let place = key.and_then(|key| engine.places.get_mut(&key));
                match place {
                    // It was rejected before the order that is to bring the adapter, or after the one that takes it away.
                    Some(place) if matches!(place.stage, Stage::Wanted | Stage::Leaving) => {}
                    // It was not beside the engine any more, and comes from the weight store.
                    Some(place) if place.depth.is_some() && place.refusals == 0 => {
                        place.refusals = 1;
                        place.stage = Stage::Coming(now + fetched);
                        if let Some(depth) = place.depth.take() {
                            self.beside.slow(depth);
                        }
                    }
                    Some(place) if place.refusals < REFUSALS => {
                        place.refusals += 1;
                        place.stage = Stage::Coming(now + NOT_YET);
                        // Its later rejections tell nothing more of how long loads take.
                        if place.refusals == 1 {
                            self.load_time = longer;
                        }
                    }
                    _ => engine.forget(),
                }
            }
            FailureCause::Missing | FailureCause::Full | FailureCause::Declined => {}
            FailureCause::Unreachable | FailureCause::Broken => {
                engine.health.record_connection_failure(now);
            }
            FailureCause::Malformed | FailureCause::Status(_) => engine.health.record_failure(now),
        }
    }

    /// A step of the time that a load is taken to last, for the loads that may be under way together.
    fn step(&self, step: Span) -> Span {
        Span(step.0 * STEP_LOADS / self.loads_at_once().max(1) as u64)
    }
}

/// The limit that an engine names and its age, for the log.
fn limit(engine: &Engine, now: Instant) -> String {
    engine.rate_limiter.as_ref().map_or_else(
        || "-".to_owned(),
        |rate_limiter| {
            let (rate, age) = rate_limiter.limit(now);
            format!("{rate},{age}")
        },
    )
}

/// What a request costs at an engine, as a time.
fn cost(engine: &Engine, job: &Job, now: Instant, zones: bool) -> Span {
    let away = match &job.zone {
        Some(zone) if zones && *zone != engine.backend.zone => OTHER_ZONE,
        _ => Span::ZERO,
    };
    let shunned = if engine.last { SHUNNED } else { Span::ZERO };
    engine.backlog_with(now, engine.reads(job))
        + EACH_RUNNING.times(u64::from(engine.running))
        + away
        + shunned
}
