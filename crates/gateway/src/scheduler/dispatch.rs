//! Chooses the engine for each request, and learns from the request's progress how fast and how healthy the
//! engines are.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::engine::{AdapterState, Engine};
use super::pause::Limit;
use super::residency::Residency;
use super::scheduled_request::{ScheduledRequest, State, StreamStart, VmRequestId};
use super::speed::{Decoding, Prefill};
use super::{Decision, Scheduler};
use crate::event::{Execution, FailureCause, StreamTiming};
use crate::feature::Feature;
use crate::message::Binding;

/// Cost of an engine in another availability zone than the request's VM, as a waiting time. The traffic of a
/// request between zones costs about a twentieth of what the answer to one `/plan/` request is worth, and a wait of
/// this length costs as much.
const CROSS_ZONE_COST: Span = Span::from_millis(15);

/// Cost of an engine that is deprioritized for its failures, as a waiting time: longer than any backlog.
const DEPRIORITIZED_COST: Span = Span::from_secs(60);

/// Cost of the only engine of its build for a request that begins a stream that others may have to continue, as a waiting
/// time: what a load costs, so that another engine with the adapter is chosen unless it is far behind.
const LONE_BUILD_COST: Span = Span::from_millis(250);

/// How much longer to wait for an adapter whose load was expected to be complete when the engine rejected a
/// request for it: a fifth of the usual load time.
const EXTRA_LOAD_TIME: Span = Span::from_millis(50);

/// Increase of the estimated load time after a load that was not complete when expected, with
/// [`REFERENCE_LOADS`] concurrent loads. With this step and [`LOAD_TIME_DECREASE`], one load in nine completes
/// later than expected, which costs a rejected request and 50 ms. Concurrent loads are slow or fast together, so
/// both steps are smaller with more of them.
const LOAD_TIME_INCREASE: Span = Span::from_millis(8);

/// Decrease of the estimated load time after a load that was complete when expected, with [`REFERENCE_LOADS`]
/// concurrent loads.
const LOAD_TIME_DECREASE: Span = Span::from_millis(1);

/// Number of concurrent loads at the deployments for which the two steps were chosen.
const REFERENCE_LOADS: u64 = 8;

/// How often an engine may reject requests for an adapter that should be resident before its report is read.
const MAX_REJECTIONS: u32 = 3;

/// Longest time between two attempts to place the waiting requests.
pub(super) const PLACEMENT_RETRY_INTERVAL: Span = Span::from_millis(25);

/// An engine chosen for a request.
pub(crate) struct Choice {
    pub(crate) server: Server,
    /// The cost of running the request there, as a waiting time.
    pub(crate) cost: Span,
    /// What streams that pause for too long add to the cost.
    pause_cost: Span,
}

impl Scheduler {
    /// Places the waiting requests that an engine can start now.
    pub(crate) fn place_requests(
        &mut self,
        now: Instant,
        residency: &Residency,
        out: &mut Vec<Decision>,
    ) {
        for id in self.requests.waiting(now) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let Some(choice) = self.cheapest_engine(now, &id.vm, request, residency) else {
                continue;
            };
            let engine = &self.engines[&choice.server];
            let starts_soon = self.starts_soon(now, engine, request);
            let has_room = starts_soon && self.has_room(engine, choice.cost);
            if has_room && !self.waits_for_streams(now, engine, request, choice.pause_cost) {
                self.dispatch(now, &id, &choice.server, out);
            } else {
                self.run_by(now + PLACEMENT_RETRY_INTERVAL);
            }
        }
    }

    /// Returns whether an engine, where a request has this cost, can take the request.
    pub(crate) fn has_room(&self, engine: &Engine, cost: Span) -> bool {
        let batch = self.engine_spec.batch;
        let most = self.settings.tuning.running_per_engine.min(batch);
        engine.running < most && cost < DEPRIORITIZED_COST
    }

    /// Returns whether an engine would soon start to read a request's prompt. A request that is queued at an engine
    /// cannot be sent to another one. Where speeds are measured, the next prompt may be sent while the answer to the
    /// one before is about to start, so that the engine does not wait for the messages in between.
    fn starts_soon(&self, now: Instant, engine: &Engine, request: &ScheduledRequest) -> bool {
        let ahead = engine.backlog_including(now, engine.tokens_to_read(request));
        let is_next = engine.rates.is_measured && engine.backlog(now) <= engine.rates.chunk;
        engine.unread_tokens == 0 || ahead <= self.settings.tuning.backlog || is_next
    }

    /// Returns the engine that can run a request at the lowest cost, with that cost.
    pub(crate) fn cheapest_engine(
        &self,
        now: Instant,
        vm: &Vm,
        request: &ScheduledRequest,
        residency: &Residency,
    ) -> Option<Choice> {
        let prefers_own_zone = self.settings.uses(Feature::ZonePreference);
        let cost_at = |server: &Server, engine: &Engine| {
            let is_open = engine.is_usable()
                && engine.is_within_rate_limit(1, now)
                && engine.cooldown.allows(now, vm);
            let is_eligible =
                is_open && !request.failed.contains(server) && request.may_run_at(engine);
            is_eligible.then(|| {
                let pause_cost = self.pause_cost(now, engine, request);
                let build_cost = self.lone_build_cost(engine, request);
                Choice {
                    server: server.clone(),
                    cost: cost(engine, request, now, prefers_own_zone) + pause_cost + build_cost,
                    pause_cost,
                }
            })
        };
        let ready = |adapter| residency.ready_servers(adapter).iter();
        let holding = request.adapter.into_iter().flat_map(ready);
        let with_adapter = holding.filter_map(|server| Some((server, self.engines.get(server)?)));
        // Only a request without an adapter visits all engines.
        let all = request.adapter.is_none().then_some(&self.engines);
        let all = all.into_iter().flatten();
        let with_base_model =
            all.filter(|(_, engine)| engine.base_models.contains(&request.work.model));
        let costs = with_adapter
            .chain(with_base_model)
            .filter_map(|(server, engine)| cost_at(server, engine));
        costs.min_by_key(|choice| choice.cost)
    }

    /// Returns what an engine costs a request whose stream could not go on if the engine broke, as no other one of its build
    /// is there.
    fn lone_build_cost(&self, engine: &Engine, request: &ScheduledRequest) -> Span {
        let begins = request.detail.binding == Binding::Begins;
        if begins && self.lone_builds.contains(&engine.backend.build.0) {
            LONE_BUILD_COST
        } else {
            Span::ZERO
        }
    }

    /// Places a request at a server, and appends the decision and its log event to `out`.
    fn dispatch(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        server: &Server,
        out: &mut Vec<Decision>,
    ) {
        let tokens = self
            .requests
            .get(id)
            .map(|request| self.engines[server].tokens_to_read(request));
        self.requests.start(id, server, tokens.unwrap_or(0), now);
        self.throughput.record_placement(now);
        self.record_rank_served(now, id);
        self.record_share_served(id);
        let Some(request) = self.requests.get(id).cloned() else {
            return;
        };
        let engine = &self.engines[server];
        let slot = request
            .adapter
            .and_then(|adapter| engine.slots.get(&adapter));
        let version = slot.map(|slot| slot.version);
        let version = version.filter(|version| *version > 0);
        self.occupy(&request, server);
        self.speeds.record_prompt(request.prefill_tokens);
        if let Some(engine) = self.engines.get_mut(server) {
            engine.count_against_rate_limit(now);
            engine.cooldown.record_dispatch(now);
            engine.add_prefill(now, request.prefill_tokens);
            let waited = now.since(request.arrived);
            let adapter = request.work.adapter.as_deref().unwrap_or("-");
            let detail = format!(
                "id={} vm={} adapter={adapter} version={version:?} server={server} waited={waited} reads={} running={} backlog={} limit={}",
                request.id,
                id.vm,
                request.prefill_tokens,
                engine.running,
                engine.backlog(now),
                describe_limit(engine, now)
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

    /// Adds a request to the counts of its engine and of its adapter there.
    pub(crate) fn occupy(&mut self, request: &ScheduledRequest, server: &Server) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.running += 1;
        let Some(adapter) = request.adapter else {
            return;
        };
        if self.settings.uses(Feature::PrefixCache) {
            let cache = &mut engine.prefix_cache;
            cache.insert_prompt(adapter, &request.work.prompt_parts, self.engine_spec.tokens);
        }
        if let Some(slot) = engine.slots.get_mut(&adapter) {
            slot.running += 1;
        }
    }

    /// Removes a request from the counts of its engine and of its adapter there.
    pub(crate) fn release(&mut self, id: &VmRequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let State::Running {
            server,
            answer_started,
            ..
        } = request.state()
        else {
            return;
        };
        let (adapter, tokens) = (request.adapter, request.prefill_tokens);
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        if !*answer_started {
            engine.remove_prefill(tokens);
        }
        if request.stream_start.is_some() {
            engine.allowances.remove(request.detail.pause);
        }
        let Some(adapter) = adapter else {
            return;
        };
        self.recent_engines
            .record_use(server, &mut engine.recent_adapters, adapter);
        if let Some(slot) = engine.slots.get_mut(&adapter) {
            slot.running = slot.running.saturating_sub(1);
        }
    }

    /// Records that the answer to a request started: updates the engine's prefill rate and health, and the
    /// estimated load time.
    pub(crate) fn record_answer_started(&mut self, now: Instant, id: &VmRequestId) {
        let Some((server, since)) = self.requests.mark_answer_started(id) else {
            return;
        };
        let measures_speed = self.measures_speed();
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (adapter, tokens) = (request.adapter, request.prefill_tokens);
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        self.stalls.record_answer_started(&server);
        if let Some(adapter) = adapter {
            self.unserved.record_served(adapter);
        }
        if measures_speed {
            let prefill = completed_prefill(now, engine, request, since);
            engine.speed.record_prefill(now, &prefill);
        }
        engine.complete_prefill(now, tokens, since);
        let stream_start = StreamStart {
            read_tokens: engine.read_tokens,
            running: engine.running,
        };
        engine.allowances.add(request.detail.pause);
        self.requests.record_stream_start(id, stream_start);
        engine.health.record_success(now);
        engine.cooldown.clear_rejections();
        let slot = adapter.and_then(|adapter| engine.slots.get_mut(&adapter));
        if let Some(slot) = slot {
            let is_first_use = std::mem::replace(&mut slot.is_unused, false);
            let was_rejected = std::mem::replace(&mut slot.rejections, 0) > 0;
            if let Some(distance) = slot
                .local_copy_distance
                .take()
                .filter(|_| is_first_use && !was_rejected)
            {
                self.local_copies.record_fast_load(distance);
            } else if is_first_use {
                let usual = self.settings.tuning.adapter_load;
                self.load_time = (self.load_time - self.scale_step(LOAD_TIME_DECREASE)).max(usual);
            }
        }
    }

    /// Records how fast an engine decoded a stream that has ended.
    pub(crate) fn record_stream(&mut self, now: Instant, id: &VmRequestId, timing: &StreamTiming) {
        let Some(request) = self.requests.get(id).filter(|_| self.measures_speed()) else {
            return;
        };
        let (State::Running { server, .. }, Some(start)) = (request.state(), request.stream_start)
        else {
            return;
        };
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let decoding = Decoding {
            chunks: timing.chunks,
            span: timing.decoding,
            read_tokens: engine.read_tokens.saturating_sub(start.read_tokens),
            batch: f64::from(start.running + engine.running) / 2.0,
        };
        engine.speed.record_stream(now, &decoding);
        let chunk = engine.speed.chunk_span(now, engine.running);
        let rate = engine.speed.long_rate(now).unwrap_or(engine.prefill_rate);
        let pause = timing.longest_pause;
        let tokens = (pause - chunk).as_secs_f64() * 1_000.0 * rate;
        self.pauses.record(now, Limit { tokens, pause });
        if request.detail.pause > Span::ZERO && timing.longest_pause > request.detail.pause {
            self.paused_streams += 1;
        }
    }

    /// Removes a request that is over.
    pub(crate) fn remove_request(&mut self, id: &VmRequestId) {
        self.release(id);
        let request = self.requests.remove(id);
        if let Some(request) = request.filter(ScheduledRequest::is_waiting) {
            self.refund_share(&request);
        }
    }

    /// Removes a request that an engine failed. Depending on the cause, updates the engine's health, or the state of
    /// the adapter and the estimates of loads.
    pub(crate) fn record_attempt_failed(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        execution: Execution,
        cause: FailureCause,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (adapter, state) = (request.adapter, request.state().clone());
        let rejected = Some(request.clone()).filter(|_| execution == Execution::No);
        self.remove_request(id);
        let State::Running { server, .. } = state else {
            return;
        };
        // The request was not run, and is charged again if its VM asks for another placement.
        if let Some(request) = rejected {
            self.refund_share(&request);
        }
        let max_load_time = self.settings.tuning.adapter_load.times(4);
        let increased_load_time =
            (self.load_time + self.scale_step(LOAD_TIME_INCREASE)).min(max_load_time);
        let remaining_load_time = self.load_time - self.local_load_time();
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        match cause {
            // An engine in a cooldown rejects all requests, so a rejection shows nothing about its adapters.
            FailureCause::Full if engine.cooldown.is_rejecting() => {}
            FailureCause::Missing | FailureCause::Full if execution == Execution::No => {
                let slot = adapter.and_then(|adapter| engine.slots.get_mut(&adapter));
                match slot {
                    // The engine rejected the request before it received the load order, or after it received
                    // the unload order.
                    Some(slot)
                        if matches!(
                            slot.state,
                            AdapterState::LoadPlanned | AdapterState::UnloadPlanned
                        ) => {}
                    // The engine had no local copy left, so the adapter comes from the weight store.
                    Some(slot) if slot.local_copy_distance.is_some() && slot.rejections == 0 => {
                        slot.rejections = 1;
                        slot.state = AdapterState::Loading(now + remaining_load_time);
                        if let Some(distance) = slot.local_copy_distance.take() {
                            self.local_copies.record_slow_load(distance);
                        }
                    }
                    Some(slot) if slot.rejections < MAX_REJECTIONS => {
                        slot.rejections += 1;
                        slot.state = AdapterState::Loading(now + EXTRA_LOAD_TIME);
                        // Further rejections of the same load give no new information about load times.
                        if slot.rejections == 1 {
                            self.load_time = increased_load_time;
                        }
                    }
                    _ => engine.invalidate(),
                }
            }
            FailureCause::Missing
            | FailureCause::Full
            | FailureCause::Declined
            | FailureCause::NoPath => {}
            FailureCause::Unreachable | FailureCause::Broken => {
                engine.health.record_connection_failure(now);
            }
            FailureCause::Malformed | FailureCause::Status(_) => engine.health.record_failure(now),
        }
    }

    /// Scales a step of the estimated load time to the number of concurrent loads.
    fn scale_step(&self, step: Span) -> Span {
        Span(step.0 * REFERENCE_LOADS / self.max_concurrent_loads().max(1) as u64)
    }
}

/// Formats an engine's rate limit for the log, as `rate,age`; `-` if it has none.
fn describe_limit(engine: &Engine, now: Instant) -> String {
    engine.rate_limiter.as_ref().map_or_else(
        || "-".to_owned(),
        |rate_limiter| {
            let (rate, age) = rate_limiter.limit(now);
            format!("{rate},{age}")
        },
    )
}

/// Describes the prefill of a request whose answer has started. It was sent at `since`.
fn completed_prefill(
    now: Instant,
    engine: &Engine,
    request: &ScheduledRequest,
    since: Instant,
) -> Prefill {
    let slot = request
        .adapter
        .and_then(|adapter| engine.slots.get(&adapter));
    Prefill {
        tokens: request.prefill_tokens,
        prompt_tokens: request.work.prompt_tokens,
        span: now.since(engine.prefill_since.max(since)),
        was_idle: since >= engine.prefill_since,
        has_others: engine.unread_prompts > 1,
        is_first_use: slot.is_some_and(|slot| slot.is_unused),
    }
}

/// Returns the cost of running a request at an engine, as a waiting time: the time until its first chunk, and the time
/// by which it delays the requests that run there.
fn cost(engine: &Engine, request: &ScheduledRequest, now: Instant, prefers_own_zone: bool) -> Span {
    let zone_cost = match &request.zone {
        Some(zone) if prefers_own_zone && *zone != engine.backend.zone => CROSS_ZONE_COST,
        _ => Span::ZERO,
    };
    let penalty = if engine.deprioritized {
        DEPRIORITIZED_COST
    } else {
        Span::ZERO
    };
    engine.backlog_including(now, engine.tokens_to_read(request))
        + engine.rates.chunk
        + engine.rates.per_running.times(u64::from(engine.running))
        + zone_cost
        + penalty
}
