//! A plain service that counts how often each request ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::call::Call;
use crate::host::{Host, Service};

/// The header that names a request.
const REQUEST_ID: &str = "X-Request-Id";

/// The header that names a piece of work across requests.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// A running plain service.
pub type Server = Host<Plain>;

/// The faults that can be set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next requests do not run and their connections are dropped.
    ResetBeforeRun(u64),
    /// The next requests run and their connections are dropped.
    ResetAfterRun(u64),
    /// The next requests are refused as not run.
    Refuse(u64),
    /// The time of each run, in milliseconds.
    WorkMs(u64),
    /// Bytes that each answer has besides.
    Padding(usize),
}

/// How often each request ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Runs of all requests.
    pub total: u64,
    /// Runs by `X-Request-Id`.
    pub request_ids: BTreeMap<String, u64>,
    /// Runs by `Idempotency-Key`.
    pub keys: BTreeMap<String, u64>,
    /// Requests refused as not run.
    pub refused: u64,
}

/// The service's state.
#[derive(Debug, Default)]
struct State {
    /// How often each request ran.
    record: Record,
    /// See [`Fault::ResetBeforeRun`].
    reset_before: u64,
    /// See [`Fault::ResetAfterRun`].
    reset_after: u64,
    /// See [`Fault::Refuse`].
    refuse: u64,
    /// See [`Fault::WorkMs`].
    work: Duration,
    /// See [`Fault::Padding`].
    padding: usize,
}

/// What happens to one request.
enum Fate {
    /// It runs for this time; the answer or `None` for a dropped connection.
    Run(Duration, Option<Value>),
    /// It does not run and its connection is dropped.
    Reset,
    /// It is refused.
    Refused,
}

/// A plain service.
#[derive(Debug, Default)]
pub struct Plain {
    /// Everything that changes.
    state: Mutex<State>,
}

impl Plain {
    /// A service whose runs take this time.
    #[must_use]
    pub fn new(work: Duration) -> Self {
        Self {
            state: Mutex::new(State {
                work,
                ..State::default()
            }),
        }
    }

    /// How often each request ran.
    #[must_use]
    pub fn history(&self) -> Record {
        self.lock().record.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the run, if there is one, at its start.
    fn fate(&self, call: &Call) -> Fate {
        let mut state = self.lock();
        match *state {
            State { refuse: 1.., .. } => {
                state.refuse -= 1;
                state.record.refused += 1;
                Fate::Refused
            }
            State {
                reset_before: 1.., ..
            } => {
                state.reset_before -= 1;
                Fate::Reset
            }
            State {
                reset_after: 1..,
                work,
                ..
            } => {
                state.reset_after -= 1;
                state.run(call);
                Fate::Run(work, None)
            }
            State { work, .. } => Fate::Run(work, Some(state.run(call))),
        }
    }
}

impl State {
    /// Counts one run and returns its answer.
    fn run(&mut self, call: &Call) -> Value {
        let request_id = call.header(REQUEST_ID);
        let key = call.header(IDEMPOTENCY_KEY);
        self.record.total += 1;
        let runs = count(&mut self.record.request_ids, request_id);
        let key_runs = count(&mut self.record.keys, key);
        json!({
            "request_id": request_id,
            "runs": runs,
            "idempotency_key": key,
            "key_runs": key_runs,
            "method": call.method().as_str(),
            "path": call.path(),
            "body_bytes": call.body().len(),
            "padding": "p".repeat(self.padding),
        })
    }
}

/// Counts one more run under a name; `None` without a name.
fn count(runs: &mut BTreeMap<String, u64>, name: Option<&str>) -> Option<u64> {
    let runs = runs.entry(name?.to_owned()).or_default();
    *runs += 1;
    Some(*runs)
}

impl Service for Plain {
    type Fault = Fault;

    fn serve(&self, call: Call) {
        match self.fate(&call) {
            Fate::Run(work, answer) => {
                if !work.is_zero() {
                    // Models the time of the work.
                    thread::sleep(work);
                }
                match answer {
                    Some(answer) => call.answer(200, &answer),
                    None => call.vanish(),
                }
            }
            Fate::Reset => call.vanish(),
            Fate::Refused => call.refuse(503, "overloaded", "told to refuse"),
        }
    }

    fn fault(&self, fault: Fault) {
        let mut state = self.lock();
        match fault {
            Fault::ResetBeforeRun(count) => state.reset_before = count,
            Fault::ResetAfterRun(count) => state.reset_after = count,
            Fault::Refuse(count) => state.refuse = count,
            Fault::WorkMs(work) => state.work = Duration::from_millis(work),
            Fault::Padding(bytes) => state.padding = bytes,
        }
    }

    fn record(&self) -> Value {
        json!(self.history())
    }
}
