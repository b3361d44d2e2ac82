//! Requests as the scheduler sees them.

use std::collections::BTreeSet;
use std::sync::Arc;

use dahliastile_core::id::{Server, Vm, Zone};
use dahliastile_core::time::Instant;
use rustc_hash::FxHashMap;

use super::key::Key;
use crate::event::{InferenceSpec, RequestId};
use crate::message::{PlacementRequest, Running};

/// A request of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobId {
    /// The VM.
    pub(crate) vm: Vm,
    /// Its number there.
    pub(crate) request: RequestId,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits for a place.
    Waiting,
    /// It was given a place.
    Running {
        /// At this server.
        server: Server,
        /// Since then.
        since: Instant,
        /// Whether its answer has begun.
        begun: bool,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The caller's id of it; empty for one that ran already when the scheduler began.
    pub(crate) id: Arc<str>,
    /// What it asks for.
    pub(crate) work: InferenceSpec,
    /// The adapter that it needs, where it names one.
    pub(crate) key: Option<Key>,
    /// When it arrived at its VM.
    pub(crate) arrived: Instant,
    /// Until when its first event is of full use.
    pub(crate) due: Instant,
    /// Until when its answer is of any use.
    pub(crate) ends: Instant,
    /// Its rank, 0 first.
    pub(crate) priority: u8,
    /// The availability zone of its VM.
    pub(crate) zone: Option<Zone>,
    /// Servers that have failed it.
    pub(crate) failed: Vec<Server>,
    /// The prompt tokens that its server had to read when it was given.
    pub(crate) reads: u32,
    /// Where it stands.
    state: State,
}

impl Job {
    /// A request that wants a place.
    pub(crate) fn waiting(now: Instant, want: PlacementRequest, key: Option<Key>) -> Self {
        let arrived = now.back(want.waited);
        Self {
            id: want.id,
            work: want.work,
            key,
            arrived,
            due: arrived + want.objective,
            ends: now + want.left,
            priority: want.priority,
            zone: Some(want.zone),
            failed: want.failed,
            reads: 0,
            state: State::Waiting,
        }
    }

    /// A request that was running already when the scheduler began.
    pub(crate) fn running(now: Instant, run: &Running, key: Option<Key>) -> Self {
        Self {
            id: Arc::default(),
            work: run.work.clone(),
            key,
            arrived: now,
            due: now,
            ends: Instant::NEVER,
            priority: 0,
            zone: None,
            failed: Vec::new(),
            reads: 0,
            state: State::Running {
                server: run.server.clone(),
                since: now,
                begun: true,
            },
        }
    }

    /// Where it stands.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// Whether it waits for a place.
    pub(crate) fn waits(&self) -> bool {
        self.state == State::Waiting
    }

    /// Whether it was given to a server.
    fn is_at(&self, server: &Server) -> bool {
        matches!(&self.state, State::Running { server: at, .. } if at == server)
    }

    /// Its place among those that wait.
    fn turn(&self, id: &JobId) -> Turn {
        (self.priority, self.arrived, id.clone())
    }
}

/// A place among the requests that wait: by rank, then by age.
type Turn = (u8, Instant, JobId);

/// All requests of a scheduler.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    /// The requests.
    rows: FxHashMap<JobId, Job>,
    /// Those that wait, so that a look at them does not cost more because many run.
    waiting: BTreeSet<Turn>,
}

impl Jobs {
    /// Adds a request, in place of one of the same number.
    pub(crate) fn insert(&mut self, id: JobId, job: Job) {
        self.remove(&id);
        if job.waits() {
            self.waiting.insert(job.turn(&id));
        }
        self.rows.insert(id, job);
    }

    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.rows.get(id)
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.rows.remove(id)?;
        if job.waits() {
            self.waiting.remove(&job.turn(id));
        }
        Some(job)
    }

    /// A request that waits is given a place at a server, which has to read so many tokens of its prompt.
    pub(crate) fn start(&mut self, id: &JobId, server: &Server, reads: u32, now: Instant) {
        let Some(job) = self.rows.get_mut(id) else {
            return;
        };
        self.waiting.remove(&job.turn(id));
        job.reads = reads;
        job.state = State::Running {
            server: server.clone(),
            since: now,
            begun: false,
        };
    }

    /// The answer to a request begins. Gives the server and since when it runs there, at the first time.
    pub(crate) fn begin(&mut self, id: &JobId) -> Option<(Server, Instant)> {
        match &mut self.rows.get_mut(id)?.state {
            State::Running {
                server,
                since,
                begun,
            } if !*begun => {
                *begun = true;
                Some((server.clone(), *since))
            }
            State::Running { .. } | State::Waiting => None,
        }
    }

    /// The requests of a VM.
    pub(crate) fn of(&self, vm: &Vm) -> Vec<JobId> {
        let mut of: Vec<JobId> = self
            .rows
            .keys()
            .filter(|id| id.vm == *vm)
            .cloned()
            .collect();
        of.sort_unstable();
        of
    }

    /// The requests that were given to a server.
    pub(crate) fn at(&self, server: &Server) -> Vec<JobId> {
        let rows = self.rows.iter().filter(|(_, job)| job.is_at(server));
        let mut at: Vec<JobId> = rows.map(|(id, _)| id.clone()).collect();
        at.sort_unstable();
        at
    }

    /// The requests that wait, in the order in which they are served: first those that can still be in time, among
    /// them by rank and age.
    pub(crate) fn waiting(&self, now: Instant) -> Vec<JobId> {
        let late = |id: &JobId| self.rows.get(id).is_some_and(|job| job.due < now);
        let ids = self.waiting.iter().map(|(_, _, id)| id.clone());
        let (late, mut order): (Vec<JobId>, Vec<JobId>) = ids.partition(late);
        order.extend(late);
        order
    }

    /// How many requests at a server use an adapter.
    pub(crate) fn using(&self, server: &Server, key: Key) -> u32 {
        let jobs = self.rows.values();
        let using = jobs.filter(|job| job.key == Some(key) && job.is_at(server));
        u32::try_from(using.count()).unwrap_or(u32::MAX)
    }
}
