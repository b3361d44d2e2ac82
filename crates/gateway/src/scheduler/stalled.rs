//! Finds engines that have fallen behind, and withdraws requests from their queues that another engine can start.
//!
//! Designed for 60 engines with prompts of 1,460 and 2,368 tokens (75 to 180 ms), some of which are 2.5 times slower for
//! 0.6 s at a time, and for engines that stop for seconds. The scheduler observes an engine only
//! through the answers that start there. An engine without unread prompts can't be judged; one that reads a long prompt
//! is judged by that prompt.
//!
//! The VM of a request decides whether it may be withdrawn, since only the VM knows the kind of its route, its retry
//! budget and whether the answer has started. A VM that keeps a request does not reply.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::dispatch::PLACEMENT_RETRY_INTERVAL;
use super::engine::Engine;
use super::forecast::prefill_time;
use super::residency::Residency;
use super::scheduled_request::{RequestTable, ScheduledRequest, VmRequestId};
use super::throughput::Rank;
use super::{Decision, HEARTBEAT_INTERVAL, Scheduler};

/// Shortest time without the start of an answer after which an engine counts as stalled. Equals the pause that callers
/// accept between chunks, and exceeds the delay of progress reports from VMs that are short of processor time (90 ms).
const MIN_STALL: Span = Span::from_millis(400);

/// How many times the forecast of its longest prompt an engine may take before it counts as stalled.
const FORECAST_FACTOR: u64 = 2;

/// How long a stalled engine whose queue has become empty gets no request. Afterwards it gets one at a time until an
/// answer starts.
const RETRY_INTERVAL: Span = MIN_STALL;

/// How much sooner, as a factor, another engine must be expected to start a request. The forecasts of both engines are
/// uncertain, and a withdrawal discards what the engine may have read of the prompt.
const MIN_GAIN: u64 = 2;

/// Time from the decision to withdraw a request to its arrival at another engine: four messages between zones at 0.9 ms
/// each, two runs of the scheduler at 3 ms, and a connection.
const WITHDRAWAL_TIME: Span = Span::from_millis(15);

/// Time after which a withdrawal counts as lost or declined, so that the next request of the engine may be withdrawn.
const REPLY_TIMEOUT: Span = Span::from_millis(25);

/// Longest time between two runs after which the answers that started in between count as known. The scheduler runs
/// once in each heartbeat interval, so that its VM was paused if this time is exceeded.
const MAX_RUN_GAP: Span = Span(2 * HEARTBEAT_INTERVAL.0);

/// A withdrawal that its VM has not confirmed.
#[derive(Debug)]
struct Withdrawal {
    id: VmRequestId,
    /// The engine that is expected to start the request.
    target: Server,
    /// When it was decided.
    at: Instant,
}

/// Engines that have fallen behind, and the requests withdrawn from them.
#[derive(Debug, Default)]
pub(crate) struct StallTable {
    enabled: bool,
    /// When each engine was last found to be stalled. An engine is removed when an answer starts there.
    stalled: BTreeMap<Server, Instant>,
    /// The withdrawal in progress at each engine.
    pending: BTreeMap<Server, Withdrawal>,
    /// Requests whose VM was asked to withdraw them, with the engine where they were placed. Each is asked once, since
    /// a VM that keeps a request does not reply.
    asked: BTreeMap<VmRequestId, Server>,
    /// When the scheduler last ran.
    last_run: Instant,
    /// The start of the current sequence of runs without a gap. What happened before it may be unknown.
    observed_since: Instant,
}

impl StallTable {
    /// Enables or disables withdrawals.
    pub(crate) fn set_enabled(&mut self, enabled: bool) {
        if self.enabled && !enabled {
            *self = Self::default();
        }
        self.enabled = enabled;
    }

    /// Returns whether an engine gets no new request, because it is stalled.
    pub(crate) fn excludes(&self, now: Instant, server: &Server, engine: &Engine) -> bool {
        self.stalled
            .get(server)
            .is_some_and(|at| engine.unread_tokens > 0 || now < *at + RETRY_INTERVAL)
    }

    /// Records that an answer has started at an engine.
    pub(crate) fn record_answer_started(&mut self, server: &Server) {
        self.stalled.remove(server);
    }

    /// Removes an engine that has restarted or is gone.
    pub(crate) fn forget(&mut self, server: &Server) {
        self.stalled.remove(server);
        self.pending.remove(server);
    }

    /// Records a run of the scheduler. Starts the measurements anew after a gap.
    fn record_run(&mut self, now: Instant) {
        if now.since(self.last_run) > MAX_RUN_GAP {
            self.observed_since = now;
        }
        self.last_run = now;
    }

    /// Returns how long an engine with unread prompts has started no answer.
    fn silence(&self, now: Instant, engine: &Engine) -> Span {
        now.since(engine.prefill_since.max(self.observed_since))
    }

    /// Removes the withdrawals of requests that are no longer in the queue of their engine, and those that were lost
    /// or declined.
    fn remove_completed(&mut self, now: Instant, requests: &RequestTable) {
        let is_queued = |id: &VmRequestId, server: &Server| {
            let request = requests.get(id);
            request.is_some_and(|request| request.is_unstarted_at(server))
        };
        self.asked.retain(|id, server| is_queued(id, server));
        self.pending.retain(|server, withdrawal| {
            is_queued(&withdrawal.id, server) && now.since(withdrawal.at) < REPLY_TIMEOUT
        });
    }
}

/// A stalled engine and its queue.
#[derive(Debug)]
pub(crate) struct Stall {
    server: Server,
    /// How long it has started no answer.
    silence: Span,
    /// Requests whose answers have not started, in the order in which they were placed.
    queue: Vec<VmRequestId>,
}

/// A request that may be withdrawn.
struct Candidate<'a> {
    id: &'a VmRequestId,
    /// Time until its engine is expected to start its answer.
    wait: Span,
}

impl Scheduler {
    /// Returns the engines that are stalled. None count as stalled if more than a third are: the cause is then probably
    /// common to them, such as lost progress reports, and no other engine is a better choice.
    pub(crate) fn update_stalled(&mut self, now: Instant, out: &mut Vec<Decision>) -> Vec<Stall> {
        if !self.stalls.enabled {
            return Vec::new();
        }
        self.stalls.record_run(now);
        self.stalls.remove_completed(now, &self.requests);
        let is_silent = |(_, engine): &(&Server, &Engine)| {
            engine.unread_tokens > 0 && self.stalls.silence(now, engine) >= MIN_STALL
        };
        let silent = self.engines.iter().filter(is_silent);
        let silent: BTreeSet<&Server> = silent.map(|(server, _)| server).collect();
        if silent.is_empty() {
            return Vec::new();
        }
        let queues = self.requests.unstarted_at(&silent).into_iter();
        let stalls: Vec<Stall> = queues
            .filter_map(|(server, queue)| self.stall_of(now, server, queue))
            .collect();
        if stalls.len() > (self.engines.len() / 3).max(1) {
            return Vec::new();
        }
        for stall in &stalls {
            let was_stalled = self.stalls.stalled.insert(stall.server.clone(), now);
            if was_stalled.is_none() {
                let detail = format!(
                    "server={} silent={} queue={}",
                    stall.server,
                    stall.silence,
                    stall.queue.len()
                );
                out.push(Decision::Log(Record::new(Code::EngineStalled, detail)));
            }
        }
        stalls
    }

    /// Returns the stall of an engine with this queue; `None` if it is not stalled. Prompts count in full, since the
    /// prefix cache may hold less of them than the scheduler assumes.
    fn stall_of(&self, now: Instant, server: Server, queue: Vec<VmRequestId>) -> Option<Stall> {
        let engine = self.engines.get(&server)?;
        let requests = queue.iter().filter_map(|id| self.requests.get(id));
        let longest = requests.map(|request| request.work.prompt_tokens).max()?;
        let forecast = prefill_time(u64::from(longest), engine.prefill_rate);
        let silence = self.stalls.silence(now, engine);
        (silence >= forecast.times(FORECAST_FACTOR)).then_some(Stall {
            server,
            silence,
            queue,
        })
    }

    /// Withdraws at most one request from each stalled engine.
    pub(crate) fn withdraw_requests(
        &mut self,
        now: Instant,
        stalls: &[Stall],
        residency: &Residency,
        out: &mut Vec<Decision>,
    ) {
        for stall in stalls {
            self.run_by(now + PLACEMENT_RETRY_INTERVAL);
            if self.stalls.pending.contains_key(&stall.server) {
                continue;
            }
            let candidates = self.candidates(stall);
            let choice = candidates.into_iter().find_map(|candidate| {
                let target = self.sooner_engine(now, stall, &candidate, residency)?;
                Some((candidate.id, candidate.wait, target))
            });
            let Some((id, wait, (target, start))) = choice else {
                continue;
            };
            let request = self.requests.get(id).map_or("-", |request| &*request.id);
            let detail = format!(
                "id={request} vm={} server={} silent={} wait={wait} other={target} start={start}",
                id.vm, stall.server, stall.silence
            );
            out.push(Decision::Log(Record::new(Code::WithdrawalAsked, detail)));
            let server = stall.server.clone();
            out.push(Decision::Withdraw(
                id.vm.clone(),
                id.request,
                server.clone(),
            ));
            self.stalls.asked.insert(id.clone(), server.clone());
            let withdrawal = Withdrawal {
                id: id.clone(),
                target,
                at: now,
            };
            self.stalls.pending.insert(server, withdrawal);
        }
    }

    /// Returns the requests of a stalled engine that were not yet to be withdrawn, the most urgent first. The first
    /// prompt of the queue is expected to take as much longer as it has taken longer than forecast, and the others to
    /// be read at the usual rate after it.
    fn candidates<'a>(&self, stall: &'a Stall) -> Vec<Candidate<'a>> {
        let Some(engine) = self.engines.get(&stall.server) else {
            return Vec::new();
        };
        let read_time = |tokens: u32| prefill_time(u64::from(tokens), engine.prefill_rate);
        let mut wait = None;
        let mut ordered = BTreeMap::new();
        for id in &stall.queue {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let own = read_time(request.prefill_tokens);
            let wait = wait.insert(wait.map_or(stall.silence - own, |ahead| ahead + own));
            if !self.stalls.asked.contains_key(id) {
                let candidate = Candidate { id, wait: *wait };
                ordered.insert((request.priority, request.arrived, id), candidate);
            }
        }
        ordered.into_values().collect()
    }

    /// Returns another engine that is expected to start a request clearly sooner and before its deadline, with the time
    /// until then. An engine that another withdrawal counts on is not used.
    fn sooner_engine(
        &self,
        now: Instant,
        stall: &Stall,
        candidate: &Candidate,
        residency: &Residency,
    ) -> Option<(Server, Span)> {
        let mut request = self.requests.get(candidate.id)?.clone();
        request.failed.push(stall.server.clone());
        let choice = self.cheapest_engine(now, &candidate.id.vm, &request, residency)?;
        let target = choice.server;
        let engine = &self.engines[&target];
        let is_taken = self.stalls.pending.values().any(|w| w.target == target);
        let tokens = engine.tokens_to_read(&request);
        let start = engine.backlog_including(now, tokens) + WITHDRAWAL_TIME;
        let is_sooner = start.times(MIN_GAIN) <= candidate.wait;
        let is_possible =
            self.has_room(engine, choice.cost) && !is_taken && now + start < request.deadline;
        (is_possible && is_sooner && self.is_next(now, &request)).then_some((target, start))
    }

    /// Returns whether a withdrawn request would be placed before all waiting requests for its adapter.
    fn is_next(&self, now: Instant, request: &ScheduledRequest) -> bool {
        let position = |request: &ScheduledRequest| {
            (Rank::of(request, now), request.tag, request.first_arrived)
        };
        let waiting = self.requests.waiting(now);
        let waiting = waiting.iter().filter_map(|id| self.requests.get(id));
        let mut competing = waiting.filter(|other| other.adapter == request.adapter);
        competing
            .next()
            .is_none_or(|first| position(request) < position(first))
    }
}
