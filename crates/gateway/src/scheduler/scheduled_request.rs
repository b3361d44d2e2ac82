//! The requests of a scheduler, waiting or running.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::{Server, Vm, Zone};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use super::engine::Engine;
use super::fair_share::Tag;
use crate::event::{InferenceSpec, RequestId};
use crate::message::{Binding, PlacementDetail, PlacementRequest, Running};

/// Identifies a request across all VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct VmRequestId {
    pub(crate) vm: Vm,
    /// The request's number on that VM.
    pub(crate) request: RequestId,
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The request waits for a placement.
    Waiting,
    /// The request was placed.
    Running {
        server: Server,
        /// When it was placed.
        since: Instant,
        answer_started: bool,
    },
}

/// The state of an engine when an answer started there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamStart {
    /// Prompt tokens that the engine had read until then.
    pub(crate) read_tokens: u64,
    /// Number of requests that ran there.
    pub(crate) running: u32,
}

/// A request that waits for a placement or runs at an engine.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledRequest {
    /// The caller's id of the request, for the log; empty for one that already ran when the scheduler started.
    pub(crate) id: Arc<str>,
    /// The model, adapter and prompt of the request.
    pub(crate) work: InferenceSpec,
    /// The adapter that it names, if any.
    pub(crate) adapter: Option<AdapterId>,
    /// When it arrived at its VM.
    pub(crate) arrived: Instant,
    /// When its caller's first try arrived: `arrived`, unless a claim shows that the caller was refused before.
    pub(crate) first_arrived: Instant,
    /// Whether its caller was refused before and came back with a claim.
    pub(crate) is_returning: bool,
    /// Whether it is served before others, because no request for its adapter was served since others were refused.
    pub(crate) is_expedited: bool,
    /// When its objective ends: the time until which the first chunk of its answer is wanted.
    pub(crate) first_chunk_due: Instant,
    /// When its caller gives up, after which its answer is of no use.
    pub(crate) deadline: Instant,
    /// Its priority; 0 is served first.
    pub(crate) priority: u8,
    /// The availability zone of its VM; `None` for a request that already ran when the scheduler started.
    pub(crate) zone: Option<Zone>,
    /// Servers that failed it.
    pub(crate) failed: Vec<Server>,
    /// Its account and the pause that its caller allows, as far as its VM has sent them.
    pub(crate) detail: PlacementDetail,
    /// Its place among the requests of its priority by the share of its account; the same for all requests without
    /// accounts.
    pub(crate) tag: Tag,
    /// Prompt tokens that its server had to read when it was placed.
    pub(crate) prefill_tokens: u32,
    /// When its answer started; `None` before that, and for one that already ran when the scheduler started.
    pub(crate) stream_start: Option<StreamStart>,
    state: State,
}

impl ScheduledRequest {
    /// Creates a request that waits for a placement.
    pub(crate) fn waiting(
        now: Instant,
        placement: PlacementRequest,
        detail: PlacementDetail,
        adapter: Option<AdapterId>,
    ) -> Self {
        let arrived = now.back(placement.waited);
        Self {
            id: placement.id,
            work: placement.work,
            adapter,
            arrived,
            first_arrived: arrived,
            is_returning: false,
            is_expedited: false,
            first_chunk_due: arrived + placement.objective,
            deadline: now + placement.left,
            priority: placement.priority,
            zone: Some(placement.zone),
            failed: placement.failed,
            detail,
            tag: Tag::default(),
            prefill_tokens: 0,
            stream_start: None,
            state: State::Waiting,
        }
    }

    /// Creates a request that already ran when the scheduler started.
    pub(crate) fn running(now: Instant, run: &Running, adapter: Option<AdapterId>) -> Self {
        Self {
            id: Arc::default(),
            work: run.work.clone(),
            adapter,
            arrived: now,
            first_arrived: now,
            is_returning: false,
            is_expedited: false,
            first_chunk_due: now,
            deadline: Instant::NEVER,
            priority: 0,
            zone: None,
            failed: Vec::new(),
            detail: PlacementDetail::default(),
            tag: Tag::default(),
            prefill_tokens: 0,
            stream_start: None,
            state: State::Running {
                server: run.server.clone(),
                since: now,
                answer_started: true,
            },
        }
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether the request may run only at engines of one build.
    pub(crate) fn is_bound(&self) -> bool {
        matches!(self.detail.binding, Binding::Continues(_))
    }

    /// Returns whether an engine is of a build that may run the request.
    pub(crate) fn may_run_at(&self, engine: &Engine) -> bool {
        self.detail.binding.allows(&engine.backend.build)
    }

    /// Returns whether the request waits for a placement.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }

    /// Returns whether the request was placed at this server and its answer has not started.
    pub(crate) fn is_unstarted_at(&self, server: &Server) -> bool {
        matches!(&self.state, State::Running { server: assigned, answer_started: false, .. } if assigned == server)
    }

    /// Returns its objective: the time from its first arrival until the first chunk of its answer is wanted.
    pub(crate) fn objective(&self) -> Span {
        self.first_chunk_due.since(self.first_arrived)
    }

    /// Returns whether the request was placed at this server.
    fn is_at(&self, server: &Server) -> bool {
        matches!(&self.state, State::Running { server: assigned, .. } if assigned == server)
    }

    /// Returns its position among the waiting requests.
    fn queue_position(&self, id: &VmRequestId) -> QueuePosition {
        (
            !self.is_expedited,
            self.priority,
            self.tag,
            self.first_arrived,
            id.clone(),
        )
    }
}

/// Position of a waiting request: those that are expedited first, then by priority, by the share of its account and by
/// first arrival.
type QueuePosition = (bool, u8, Tag, Instant, VmRequestId);

/// All requests of a scheduler.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    by_id: FxHashMap<VmRequestId, ScheduledRequest>,
    /// The waiting requests, kept apart so that visiting them costs no more when many requests run.
    waiting: BTreeSet<QueuePosition>,
}

impl RequestTable {
    /// Adds a request, and replaces one with the same id.
    pub(crate) fn insert(&mut self, id: VmRequestId, request: ScheduledRequest) {
        self.remove(&id);
        if request.is_waiting() {
            self.waiting.insert(request.queue_position(&id));
        }
        self.by_id.insert(id, request);
    }

    pub(crate) fn get(&self, id: &VmRequestId) -> Option<&ScheduledRequest> {
        self.by_id.get(id)
    }

    pub(crate) fn remove(&mut self, id: &VmRequestId) -> Option<ScheduledRequest> {
        let request = self.by_id.remove(id)?;
        if request.is_waiting() {
            self.waiting.remove(&request.queue_position(id));
        }
        Some(request)
    }

    /// Marks a waiting request as placed at a server that has to read `prefill_tokens` of its prompt.
    pub(crate) fn start(
        &mut self,
        id: &VmRequestId,
        server: &Server,
        prefill_tokens: u32,
        now: Instant,
    ) {
        let Some(request) = self.by_id.get_mut(id) else {
            return;
        };
        self.waiting.remove(&request.queue_position(id));
        request.prefill_tokens = prefill_tokens;
        request.state = State::Running {
            server: server.clone(),
            since: now,
            answer_started: false,
        };
    }

    /// Marks the answer to a request as started. Returns its server and when it was placed there;
    /// `None` if the answer had started before.
    pub(crate) fn mark_answer_started(&mut self, id: &VmRequestId) -> Option<(Server, Instant)> {
        match &mut self.by_id.get_mut(id)?.state {
            State::Running {
                server,
                since,
                answer_started,
            } if !*answer_started => {
                *answer_started = true;
                Some((server.clone(), *since))
            }
            State::Running { .. } | State::Waiting => None,
        }
    }

    /// Records the state of a request's engine when its answer started.
    pub(crate) fn record_stream_start(&mut self, id: &VmRequestId, start: StreamStart) {
        if let Some(request) = self.by_id.get_mut(id) {
            request.stream_start = Some(start);
        }
    }

    /// Returns the requests of a VM, in ascending order.
    pub(crate) fn of_vm(&self, vm: &Vm) -> Vec<VmRequestId> {
        let mut ids: Vec<VmRequestId> = self
            .by_id
            .keys()
            .filter(|id| id.vm == *vm)
            .cloned()
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the requests placed at a server, in ascending order.
    pub(crate) fn at_server(&self, server: &Server) -> Vec<VmRequestId> {
        let assigned = self
            .by_id
            .iter()
            .filter(|(_, request)| request.is_at(server));
        let mut ids: Vec<VmRequestId> = assigned.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the requests at these servers whose answers have not started, each server's in the order in which they
    /// were placed.
    pub(crate) fn unstarted_at(
        &self,
        servers: &BTreeSet<&Server>,
    ) -> BTreeMap<Server, Vec<VmRequestId>> {
        let mut placed = BTreeSet::new();
        for (id, request) in &self.by_id {
            match &request.state {
                State::Running {
                    server,
                    since,
                    answer_started: false,
                } if servers.contains(server) => placed.insert((server, *since, id)),
                State::Running { .. } | State::Waiting => false,
            };
        }
        let mut queues: BTreeMap<Server, Vec<VmRequestId>> = BTreeMap::new();
        for (server, _, id) in placed {
            queues.entry(server.clone()).or_default().push(id.clone());
        }
        queues
    }

    /// Returns the waiting requests in the order in which they are served: those that are expedited, then those whose
    /// objective has not passed, then the others, all by priority and arrival.
    pub(crate) fn waiting(&self, now: Instant) -> Vec<VmRequestId> {
        let is_late = |id: &VmRequestId| {
            self.by_id
                .get(id)
                .is_some_and(|request| request.first_chunk_due < now && !request.is_expedited)
        };
        let ids = self.waiting.iter().map(|(.., id)| id.clone());
        let (late, mut order): (Vec<VmRequestId>, Vec<VmRequestId>) = ids.partition(is_late);
        order.extend(late);
        order
    }

    /// Returns how many requests at a server use an adapter.
    pub(crate) fn count_using(&self, server: &Server, adapter: AdapterId) -> u32 {
        let requests = self.by_id.values();
        let using =
            requests.filter(|request| request.adapter == Some(adapter) && request.is_at(server));
        u32::try_from(using.count()).unwrap_or(u32::MAX)
    }
}
