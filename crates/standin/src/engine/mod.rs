//! The model engine: OpenAI-style answers, continuous batching, adapters in slots.

mod answer;
mod batch;
mod order;
mod record;
mod report;
mod state;
mod token;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::Method;

use crate::call::Call;
use crate::host::{Host, Service};
use answer::Form;
use state::State;

pub use record::{Order, Record, Run, Violation};
pub use report::{Event, Events, Kind, Report, Resident};
pub use token::{Digest, MAX_TOKENS, Malformed, Model, expected, prefix, text};

/// A running engine.
pub type Server = Host<Engine>;

/// Where an engine gets its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// Each load takes this time.
    Local(Duration),
    /// From the weight store at this address.
    Store(SocketAddr),
}

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The room in the batch.
    pub batch: usize,
    /// The time of one step.
    pub step: Duration,
    /// The number of adapters that can be resident.
    pub slots: usize,
    /// The number of requests that may wait.
    pub queue: usize,
    /// The time of a cold start.
    pub base_load: Duration,
    /// Where adapters come from.
    pub source: Source,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Whether an unload is refused while requests are in flight; else it is obeyed and recorded as
    /// a violation.
    pub refuse_in_use: bool,
    /// How old the load report is.
    pub report_lag: Duration,
    /// The number of prefixes in the cache.
    pub cache: usize,
    /// How late the cache events are published.
    pub cache_lag: Duration,
    /// Each n-th cache event is lost; zero for none.
    pub cache_gap: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: 8,
            step: Duration::from_millis(1),
            slots: 4,
            queue: 256,
            base_load: Duration::ZERO,
            source: Source::Local(Duration::ZERO),
            fencing: true,
            refuse_in_use: false,
            report_lag: Duration::ZERO,
            cache: 64,
            cache_lag: Duration::ZERO,
            cache_gap: 0,
        }
    }
}

/// The faults that can be set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next loads fail.
    FailLoads(u64),
    /// The next loads take effect but are answered as failed.
    FalseFailures(u64),
    /// The next loads take effect and their connections are dropped.
    LoseLoadAnswers(u64),
    /// The next requests run on another resident adapter, and the answers say so.
    WrongModel(u64),
    /// The next answers break off.
    BreakStreams {
        /// After this many tokens.
        after: u64,
        /// How many answers.
        count: u64,
    },
    /// The next requests start to run and their connections are dropped before the first byte.
    ResetBeforeFirst(u64),
    /// The next aborted streams yield one token more.
    ExtraAfterAbort(u64),
    /// That many times, two running requests get each other's further answers.
    CrossAnswers(u64),
    /// Refuses new requests as overloaded, or no longer.
    RefuseWork(bool),
    /// Changes the time of one step, in microseconds.
    StepUs(u64),
    /// Restarts the engine: connections break, adapters and the fencing number are forgotten.
    Restart,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The adapter is not resident.
    NotLoaded,
    /// The order's fencing number is old.
    StaleFence,
    /// All slots are taken.
    NoSlot,
    /// Requests are in flight on the adapter.
    InUse,
    /// The adapter is being loaded.
    Loading,
    /// The load failed.
    LoadFailed,
    /// The cold start is not over.
    NotReady,
    /// There are too many requests.
    Overloaded,
}

impl Refusal {
    /// The code of `docs/design/outside.md`.
    pub(crate) fn code(self) -> &'static str {
        self.describe().1
    }

    /// Answers a call; a failed load may have had an effect, so that it vouches for nothing.
    pub(crate) fn answer(self, call: Call) {
        let (status, code, message) = self.describe();
        match self {
            Self::LoadFailed => {
                let error = json!({"code": code, "message": message});
                call.answer(status, &json!({ "error": error }));
            }
            _ => call.refuse(status, code, message),
        }
    }

    fn describe(self) -> (u16, &'static str, &'static str) {
        match self {
            Self::NotLoaded => (404, "not_loaded", "the adapter is not resident"),
            Self::StaleFence => (409, "stale_fence", "the fencing number is old"),
            Self::NoSlot => (409, "no_slot", "all slots are taken"),
            Self::InUse => (409, "in_use", "requests are in flight on the adapter"),
            Self::Loading => (409, "loading", "the adapter is being loaded"),
            Self::LoadFailed => (500, "load_failed", "the load failed"),
            Self::NotReady => (503, "not_ready", "the base model is being loaded"),
            Self::Overloaded => (503, "overloaded", "there are too many requests"),
        }
    }
}

/// What the threads of an engine share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Everything that changes.
    state: Mutex<State>,
    /// Signalled when there is work or the engine stops.
    pub(crate) changed: Condvar,
    /// Whether the engine stops.
    stopped: AtomicBool,
}

impl Shared {
    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Runs steps as long as there is work.
    fn run(&self) {
        let mut last = Instant::now();
        let mut state = self.lock();
        while !self.is_stopped() {
            let idle = |state: &mut State| !self.is_stopped() && state.batch.is_idle();
            if state.batch.is_idle() {
                let woken = self.changed.wait_while(state, idle);
                state = woken.unwrap_or_else(PoisonError::into_inner);
                last = Instant::now();
                continue;
            }
            let due = last + state.settings.step;
            let wait = due.saturating_duration_since(Instant::now());
            let running = |_: &mut State| !self.is_stopped();
            let woken = self.changed.wait_timeout_while(state, wait, running);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
            // A step that comes late delays the next ones, as a slow engine would.
            last = Instant::now();
            state.step(last);
        }
        state.drop_all(Instant::now());
    }
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// What its threads share.
    shared: Arc<Shared>,
}

impl Engine {
    /// An engine that begins its cold start.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(settings, Instant::now())),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let steps = Arc::clone(&shared);
        thread::spawn(move || steps.run());
        Self { shared }
    }

    /// What happened so far.
    #[must_use]
    pub fn history(&self) -> Record {
        self.shared.lock().record.clone()
    }

    /// The load report without lag.
    #[must_use]
    pub fn now(&self) -> Report {
        self.shared.lock().current(Instant::now())
    }

    fn cache_events(&self, call: Call) {
        let from = call.query("from").map_or(Ok(0), str::parse);
        match from {
            Ok(from) => {
                let state = self.shared.lock();
                let (lag, gap) = (state.settings.cache_lag, state.settings.cache_gap);
                let events = state.cache.events(Instant::now(), from, lag, gap);
                drop(state);
                call.answer(200, &events);
            }
            Err(_) => call.refuse(400, "bad_request", "from must be a number"),
        }
    }
}

impl Service for Engine {
    type Fault = Fault;

    fn serve(&self, call: Call) {
        let shared = &self.shared;
        match (call.method(), call.path()) {
            (Method::Post, "/v1/completions") => answer::serve(shared, call, Form::Completion),
            (Method::Post, "/v1/chat/completions") => answer::serve(shared, call, Form::Chat),
            (Method::Post, "/v1/load_lora_adapter") => order::load(shared, call),
            (Method::Post, "/v1/unload_lora_adapter") => order::unload(shared, call),
            (Method::Post, "/v1/fence") => order::fence(shared, call),
            (Method::Post, "/v1/role") => order::role(shared, call),
            (Method::Post, "/v1/abort") => order::abort(shared, call),
            (Method::Get, "/load") => {
                let report = shared.lock().report(Instant::now());
                call.answer(200, &report);
            }
            (Method::Get, "/cache_events") => self.cache_events(call),
            _ => call.refuse(400, "bad_request", "there is no such call"),
        }
    }

    fn fault(&self, fault: Fault) {
        self.shared.lock().fault(Instant::now(), fault);
        self.shared.changed.notify_all();
    }

    fn record(&self) -> Value {
        json!(self.history())
    }

    fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        // The lock makes sure that the steps' thread waits or has seen the flag.
        drop(self.shared.lock());
        self.shared.changed.notify_all();
    }
}
