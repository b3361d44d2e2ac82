//! The VM list, which lags behind the truth.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::Method;

use crate::call::Call;
use crate::host::{Host, Service};

/// A running VM list.
pub type Server = Host<Vms>;

/// Whether a VM takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It is about to end.
    Leaving,
}

/// One VM in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it takes work.
    pub state: State,
}

/// What can be set, also over HTTP.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The truth from now on; the list shows it when the lag is over.
    Set(Vec<Vm>),
    /// The lag of the list, in milliseconds.
    LagMs(u64),
}

/// The lists of the past.
#[derive(Debug)]
struct History {
    /// How far the list lags behind.
    lag: Duration,
    /// Lists with the times from which they were true; the first one is shown at least.
    lists: VecDeque<(Instant, Vec<Vm>)>,
}

/// The VM list.
#[derive(Debug)]
pub struct Vms {
    /// The lists of the past.
    history: Mutex<History>,
}

impl Vms {
    /// A list that shows these VMs at once and each change after the lag.
    #[must_use]
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        let lists = VecDeque::from([(Instant::now(), vms)]);
        Self {
            history: Mutex::new(History { lag, lists }),
        }
    }

    /// Changes the truth.
    pub fn set(&self, vms: Vec<Vm>) {
        self.lock().lists.push_back((Instant::now(), vms));
    }

    /// The list as it is shown now.
    #[must_use]
    pub fn shown(&self) -> Vec<Vm> {
        let mut history = self.lock();
        let (now, lag) = (Instant::now(), history.lag);
        let due = |entry: Option<&(Instant, Vec<Vm>)>| {
            entry.is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        };
        while due(history.lists.get(1)) {
            history.lists.pop_front();
        }
        history
            .lists
            .front()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Vms {
    type Fault = Fault;

    fn serve(&self, call: Call) {
        match (call.method(), call.path()) {
            (Method::Get, "/vms") => call.answer(200, &json!({"vms": self.shown()})),
            _ => call.refuse(404, "bad_request", "there is no such call"),
        }
    }

    fn fault(&self, fault: Fault) {
        match fault {
            Fault::Set(vms) => self.set(vms),
            Fault::LagMs(lag) => self.lock().lag = Duration::from_millis(lag),
        }
    }
}
