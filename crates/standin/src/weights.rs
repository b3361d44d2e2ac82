//! The weight store: one load at a time, each at full speed.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::Method;

use crate::call::Call;
use crate::engine::Model;
use crate::host::{Host, Service};

/// What comes before the adapter in a path.
const PREFIX: &str = "/weights/";

/// The usual time of one load: about three a second.
pub const LOAD_TIME: Duration = Duration::from_millis(333);

/// A running weight store.
pub type Server = Host<Weights>;

/// The faults that can be set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Serves nothing, or goes on.
    Stall(bool),
    /// The next loads fail when their turn is over.
    FailLoads(u64),
    /// Changes the time of one load, in milliseconds.
    LoadMs(u64),
}

/// A load that is waiting or running, by the order of arrival.
type Ticket = u64;

/// The queue of loads.
#[derive(Debug)]
struct Queue {
    /// The time of one load.
    load_time: Duration,
    /// The loads, the running one first.
    tickets: VecDeque<Ticket>,
    /// The next ticket.
    next: Ticket,
    /// See [`Fault::Stall`].
    stalled: bool,
    /// See [`Fault::FailLoads`].
    fail: u64,
    /// Whether the store stops.
    stopped: bool,
    /// The adapters served so far, in order.
    served: Vec<Model>,
}

/// The weight store.
#[derive(Debug)]
pub struct Weights {
    /// The queue of loads.
    queue: Mutex<Queue>,
    /// Signalled on each change of the queue.
    changed: Condvar,
}

impl Weights {
    /// A store that takes this time for each load.
    #[must_use]
    pub fn new(load_time: Duration) -> Self {
        let queue = Queue {
            load_time,
            tickets: VecDeque::new(),
            next: 0,
            stalled: false,
            fail: 0,
            stopped: false,
            served: Vec::new(),
        };
        Self {
            queue: Mutex::new(queue),
            changed: Condvar::new(),
        }
    }

    /// The adapters served so far, in order.
    #[must_use]
    pub fn served(&self) -> Vec<Model> {
        self.lock().served.clone()
    }

    /// The number of loads that wait or run.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.lock().tickets.len()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the load's turn and its time; whether it worked, `None` when the store stops.
    fn load(&self, model: &Model) -> Option<bool> {
        let mut queue = self.lock();
        let ticket = queue.next;
        queue.next += 1;
        queue.tickets.push_back(ticket);
        let waits = |queue: &mut Queue| {
            !queue.stopped && (queue.stalled || queue.tickets.front() != Some(&ticket))
        };
        queue = self
            .changed
            .wait_while(queue, waits)
            .unwrap_or_else(PoisonError::into_inner);
        queue = self.transfer(queue);
        queue.tickets.retain(|other| *other != ticket);
        self.changed.notify_all();
        let failed = queue.fail > 0;
        match queue.stopped {
            true => None,
            false if failed => {
                queue.fail -= 1;
                Some(false)
            }
            false => {
                queue.served.push(model.clone());
                Some(true)
            }
        }
    }

    /// Lets the time of one load pass; a stall stops the clock.
    fn transfer<'a>(&'a self, mut queue: MutexGuard<'a, Queue>) -> MutexGuard<'a, Queue> {
        let mut left = queue.load_time;
        while !queue.stopped && !left.is_zero() {
            let begun = Instant::now();
            let steady = |queue: &mut Queue| !queue.stopped && !queue.stalled;
            let woken = self.changed.wait_timeout_while(queue, left, steady);
            queue = woken.unwrap_or_else(PoisonError::into_inner).0;
            left = left.saturating_sub(begun.elapsed());
            let held = |queue: &mut Queue| !queue.stopped && queue.stalled;
            queue = self
                .changed
                .wait_while(queue, held)
                .unwrap_or_else(PoisonError::into_inner);
        }
        queue
    }
}

impl Service for Weights {
    type Fault = Fault;

    fn serve(&self, call: Call) {
        let name = call.path().strip_prefix(PREFIX).unwrap_or_default();
        let (Method::Get, Ok(model)) = (call.method(), name.parse::<Model>()) else {
            return call.refuse(
                400,
                "bad_request",
                "expected GET /weights/<adapter>@<version>",
            );
        };
        match self.load(&model) {
            Some(true) => call.answer(200, &json!({ "name": model })),
            Some(false) => call.refuse(500, "load_failed", "the load failed"),
            None => call.vanish(),
        }
    }

    fn fault(&self, fault: Fault) {
        let mut queue = self.lock();
        match fault {
            Fault::Stall(stalled) => queue.stalled = stalled,
            Fault::FailLoads(count) => queue.fail = count,
            Fault::LoadMs(time) => queue.load_time = Duration::from_millis(time),
        }
        self.changed.notify_all();
    }

    fn record(&self) -> Value {
        json!({"served": self.served(), "queued": self.queued()})
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
