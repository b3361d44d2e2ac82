//! What a node wants done: everything that leaves it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::Answer;
use crate::event::Head;
use crate::id::{self, Attempt, Fence, Op, Order, Request, Ticket};
use crate::time::{Instant, Span};
use crate::{log, metric, operator, peer, platform};

/// Work for a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The number of this try.
    pub attempt: Attempt,
    /// The request whose body to send.
    pub request: Request,
    /// The server.
    pub server: id::Server,
    /// Its address, as host and port.
    pub address: Arc<str>,
    /// The adapter, or none for a plain service.
    pub adapter: Option<id::Adapter>,
    /// The engine's priority; smaller runs first.
    pub priority: i32,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How many tokens the caller already has from a broken attempt.
    pub resume_from: u32,
}

/// What a backend server is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load an adapter.
    Load(id::Adapter),
    /// Unload an adapter.
    Unload(id::Adapter),
    /// Remember the fencing number and change nothing else.
    Fence,
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The number of the order.
    pub order: Order,
    /// The server.
    pub server: id::Server,
    /// Its address, as host and port.
    pub address: String,
    /// What to do.
    pub action: Action,
    /// The fencing number.
    pub fence: Fence,
    /// How long to wait for the answer.
    pub timeout: Span,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a request to a backend server.
    Send(Work),
    /// Give an attempt up: close its connection and tell the server.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Begin to answer a caller. An answer that is not streamed is kept back until [`Effect::Finish`]; a second
    /// `Begin` before that starts it over.
    Begin {
        /// The request.
        request: Request,
        /// The start of the answer.
        head: Head,
    },
    /// Pass a piece of the answer on.
    Stream {
        /// The request.
        request: Request,
        /// The bytes.
        data: Vec<u8>,
    },
    /// End a whole answer.
    Finish {
        /// The request.
        request: Request,
    },
    /// Refuse a request, or end its answer with an explicit error.
    Refuse {
        /// The request.
        request: Request,
        /// The final answer.
        answer: Answer,
    },
    /// Answer with the stored result of the first run of an idempotency key.
    Replay {
        /// The request.
        request: Request,
        /// The start of the first run's answer.
        head: Head,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// Send a message to another entry VM.
    Peer {
        /// The receiver.
        to: id::Vm,
        /// Its address, as host and port.
        address: String,
        /// The message.
        message: peer::Message,
    },
    /// Do something on the key-value service.
    Platform {
        /// The operation.
        op: Op,
        /// What to do.
        call: platform::Call,
    },
    /// End a watch.
    Unwatch {
        /// The operation that began it.
        op: Op,
    },
    /// Fetch a backend server's load report and cache changes.
    Poll {
        /// The server.
        server: id::Server,
        /// Its address, as host and port.
        address: String,
    },
    /// Give a backend server an order.
    Order(Command),
    /// Write a numbered log event.
    Log(log::Record),
    /// Count or observe a figure.
    Metric(metric::Sample),
    /// Answer an operator.
    Reply {
        /// The call.
        ticket: Ticket,
        /// The answer.
        reply: operator::Reply,
    },
    /// All work is finished and everything held is handed over: the process may end.
    Stopped,
}

/// Where the effects of a step are collected. Cleared and reused, so that the warm path allocates nothing.
pub type Effects = Vec<Effect>;
