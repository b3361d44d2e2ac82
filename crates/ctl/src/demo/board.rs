//! What callers asked and how it ended, as it comes in.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The parts of the demonstration, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    /// Ordinary traffic, from cold engines.
    Start,
    /// A rule is edited, and taken back.
    Rule,
    /// Calls that must not be repeated are repeated.
    Repeat,
    /// The key-value service is away.
    Outage,
    /// It is back.
    Return,
    /// An engine restarts.
    Restart,
    /// A VM is shut down.
    Shutdown,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// With its whole answer, checked against the expected one.
    Whole,
    /// With an explicit refusal or error.
    Refused {
        /// Its kind.
        kind: String,
        /// What it says of whether the request ran.
        ran: String,
        /// What it says to a person.
        detail: String,
        /// The request's id.
        request: String,
    },
    /// Nothing listened: the request was never sent.
    Unreached,
    /// Otherwise: no explicit end, a wrong text, another model.
    Broken(String),
}

/// A request that ended.
#[derive(Clone, Debug)]
pub(super) struct Done {
    /// The part in which it was sent.
    pub(super) phase: Phase,
    /// The VM it was sent to.
    pub(super) vm: usize,
    /// The service.
    pub(super) service: &'static str,
    /// What names its runs in the stand-ins' records: a model, an idempotency key or a request's id.
    pub(super) subject: String,
    /// When it was sent.
    pub(super) sent: Instant,
    /// How it ended.
    pub(super) ending: Ending,
}

impl Done {
    /// Whether it got its whole answer.
    pub(super) fn whole(&self) -> bool {
        self.ending == Ending::Whole
    }

    /// Whether it was refused with this kind.
    pub(super) fn refused(&self, wanted: &str) -> bool {
        matches!(&self.ending, Ending::Refused { kind, .. } if kind == wanted)
    }
}

/// What the board's users share.
#[derive(Debug)]
struct State {
    /// The part that is played now.
    phase: Phase,
    /// What has ended.
    done: Vec<Done>,
    /// Whether traffic goes on.
    open: bool,
    /// The VMs that get traffic.
    targets: Vec<usize>,
}

/// All requests that ended.
#[derive(Debug)]
pub(super) struct Board {
    /// What is shared.
    state: Mutex<State>,
    /// Signalled on each change.
    changed: Condvar,
}

impl Board {
    /// An empty board for so many VMs.
    pub(super) fn new(vms: usize) -> Self {
        Self {
            state: Mutex::new(State {
                phase: Phase::Start,
                done: Vec::new(),
                open: true,
                targets: (0..vms).collect(),
            }),
            changed: Condvar::new(),
        }
    }

    /// Begins a part.
    pub(super) fn begin(&self, phase: Phase) {
        self.lock().phase = phase;
    }

    /// The part that is played now.
    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// The VMs that get traffic, or none when traffic is to end.
    pub(super) fn targets(&self) -> Option<Vec<usize>> {
        let state = self.lock();
        state.open.then(|| state.targets.clone())
    }

    /// Sends no more traffic to a VM.
    pub(super) fn spare(&self, vm: usize) {
        self.lock().targets.retain(|target| *target != vm);
    }

    /// Ends the traffic.
    pub(super) fn close(&self) {
        self.lock().open = false;
    }

    /// Notes a request that ended.
    pub(super) fn add(&self, done: Done) {
        self.lock().done.push(done);
        self.changed.notify_all();
    }

    /// All that has ended.
    pub(super) fn done(&self) -> Vec<Done> {
        self.lock().done.clone()
    }

    /// Waits until so many requests of a part fulfil a condition, at most for `limit`; whether they do.
    pub(super) fn wait(
        &self,
        limit: Duration,
        phase: Phase,
        count: usize,
        test: impl Fn(&Done) -> bool,
    ) -> bool {
        let few = |state: &mut State| {
            let done = state.done.iter().filter(|done| done.phase == phase);
            done.filter(|done| test(done)).count() < count
        };
        let waited = self.changed.wait_timeout_while(self.lock(), limit, few);
        let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        drop(guard);
        !timeout.timed_out()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
