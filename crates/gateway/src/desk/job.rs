//! Requests as the scheduler sees them.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::id::{Server, Vm, Zone};
use dahliastile_core::time::Instant;

use super::Key;
use crate::event::{RequestId, Work};
use crate::message::{Running, Want};

/// A request of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    pub(crate) work: Work,
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
    /// Where it stands.
    pub(crate) state: State,
}

impl Job {
    /// A request that wants a place.
    pub(crate) fn waiting(now: Instant, want: Want) -> Self {
        let arrived = now.back(want.waited);
        Self {
            id: want.id,
            work: want.work,
            arrived,
            due: arrived + want.objective,
            ends: now + want.left,
            priority: want.priority,
            zone: Some(want.zone),
            failed: want.failed,
            state: State::Waiting,
        }
    }

    /// A request that was running already when the scheduler began.
    pub(crate) fn running(now: Instant, run: &Running) -> Self {
        Self {
            id: Arc::default(),
            work: run.work.clone(),
            arrived: now,
            due: now,
            ends: Instant::NEVER,
            priority: 0,
            zone: None,
            failed: Vec::new(),
            state: State::Running {
                server: run.server.clone(),
                since: now,
                begun: true,
            },
        }
    }

    /// Whether it waits for a place.
    pub(crate) fn waits(&self) -> bool {
        self.state == State::Waiting
    }

    /// The adapter that it needs, where it names one.
    pub(crate) fn key(&self) -> Option<Key> {
        Some(Key {
            model: self.work.model.clone(),
            adapter: self.work.adapter.clone()?,
        })
    }
}

/// All requests of a scheduler.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    /// The requests.
    rows: BTreeMap<JobId, Job>,
}

impl Jobs {
    pub(crate) fn insert(&mut self, id: JobId, job: Job) {
        self.rows.insert(id, job);
    }

    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.rows.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.rows.get_mut(id)
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<Job> {
        self.rows.remove(id)
    }

    /// The requests of a VM.
    pub(crate) fn of(&self, vm: &Vm) -> Vec<JobId> {
        self.rows
            .keys()
            .filter(|id| id.vm == *vm)
            .cloned()
            .collect()
    }

    /// The requests that wait, in the order in which they are served: first those that can still be in time, among
    /// them by rank and age.
    pub(crate) fn waiting(&self, now: Instant) -> Vec<JobId> {
        let waiting = self
            .rows
            .iter()
            .filter(|(_, job)| job.state == State::Waiting);
        let mut keyed: Vec<_> = waiting
            .map(|(id, job)| ((job.due < now, job.priority, job.arrived), id))
            .collect();
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// The requests that run at a server.
    pub(crate) fn at<'a>(&'a self, server: &'a Server) -> impl Iterator<Item = &'a Job> {
        self.rows.values().filter(
            move |job| matches!(&job.state, State::Running { server: at, .. } if at == server),
        )
    }

    /// How many requests at a server use an adapter.
    pub(crate) fn using(&self, server: &Server, key: &Key) -> u32 {
        let using = self
            .at(server)
            .filter(|job| job.key().as_ref() == Some(key));
        u32::try_from(using.count()).unwrap_or(u32::MAX)
    }
}
