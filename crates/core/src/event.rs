//! What can happen to a node: everything that enters it from outside.

use serde::{Deserialize, Serialize};

use crate::id::{self, Attempt, Boot, Incarnation, Op, Order, Request, Ticket};
use crate::time::Span;
use crate::{operator, peer, platform};

/// What a caller wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A completion by an adapter. The text is as the caller wrote it.
    Model(String),
    /// A call of a plain service.
    Service(String),
}

/// A caller's request, without its body: the shell keeps that under the request's number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The caller, as its token proved.
    pub caller: id::Caller,
    /// What to do.
    pub target: Target,
    /// The availability zone that the caller says it is in.
    pub zone: Option<id::Zone>,
    /// Request headers by lower-case name, for rules that test them.
    pub headers: Vec<(String, String)>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
    /// A hash of what was asked, so that a key that comes back with another request is noticed.
    pub digest: u64,
    /// The caller says that the work is not idempotent.
    pub non_idempotent: bool,
    /// How long the caller waits for the whole answer.
    pub timeout: Option<Span>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Hashes of the prompt's prefix blocks, longest last, for prefix-cache affinity.
    pub prefix: Vec<u64>,
    /// The length of the prompt in tokens, as the shell estimates it.
    pub prompt_tokens: u32,
    /// The largest number of tokens asked for.
    pub max_tokens: u32,
}

/// The start of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The adapter that the server says answers, where it says so.
    pub model: Option<String>,
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The connection was refused: no byte reached the server.
    Refused,
    /// The server said that it did not run the request, and why.
    NotRun(Reason),
    /// The server answered with an error and did not say whether it ran the request.
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The connection broke, before or after the first byte of the answer.
    Broken,
    /// The server did not answer in time.
    Timeout,
}

/// Why a server says that it did not run a request or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The adapter is not resident there.
    NotLoaded,
    /// The engine is still loading its base model.
    NotReady,
    /// The engine takes no more work.
    Overloaded,
    /// The fencing number is older than one it has seen.
    StaleFence,
    /// All adapter slots are taken.
    NoSlot,
    /// The adapter is in use.
    InUse,
    /// A load is going on.
    Loading,
    /// The load failed.
    LoadFailed,
    /// The server can't read the request.
    BadRequest,
}

/// An adapter as a backend server reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter.
    pub adapter: id::Adapter,
    /// Requests on it that run or wait there.
    pub in_flight: u32,
}

/// A backend server's load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The start of the server that the figures belong to.
    pub boot: Boot,
    /// Whether the base model is loaded.
    pub ready: bool,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait for a place in the batch.
    pub waiting: u32,
    /// Sequences that the batch holds at most.
    pub batch: u32,
    /// The length of one step.
    pub step: Span,
    /// Adapters that the server holds at most.
    pub slots: u32,
    /// How old the figures were when they were sent.
    pub age: Span,
    /// What is resident.
    pub residents: Vec<Resident>,
}

/// A change of a backend server's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// The number of the event; a gap means that some were lost.
    pub seq: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether it was stored or removed.
    pub stored: bool,
}

/// How an order to a backend server came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ordered {
    /// Carried out.
    Done,
    /// The server refused it and nothing changed. A load that failed there may have had an effect all the same, which the
    /// next report shows.
    Refused(Reason),
    /// It may have taken effect.
    Unknown,
    /// It certainly did not reach the server.
    NotSent,
}

/// An entry VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub vm: id::Vm,
    /// Its address for peers, as host and port.
    pub address: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed. The shell sends one every [`crate::settings::Tuning::tick`].
    Tick,
    /// A caller's request arrived.
    Arrived {
        /// Its number, never used before.
        request: Request,
        /// What it asks for.
        call: Box<Call>,
    },
    /// The caller of a request has gone away.
    Gone {
        /// The request.
        request: Request,
    },
    /// A backend server began to answer.
    Begun {
        /// The attempt.
        attempt: Attempt,
        /// The start of the answer.
        head: Head,
    },
    /// A piece of an answer.
    Chunk {
        /// The attempt.
        attempt: Attempt,
        /// The adapter that the piece says it comes from.
        model: Option<String>,
        /// How many tokens the piece holds.
        tokens: u32,
        /// The bytes for the caller.
        data: Vec<u8>,
    },
    /// The explicit end of an answer.
    Ended {
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// How.
        failure: Failure,
    },
    /// A backend server's load report.
    Report {
        /// The server.
        server: id::Server,
        /// The report, or none where the server did not answer.
        report: Option<Report>,
    },
    /// Changes of a backend server's prefix cache.
    Cache {
        /// The server.
        server: id::Server,
        /// The changes, late and with gaps.
        changes: Vec<Cached>,
    },
    /// An order to a backend server came back.
    Ordered {
        /// The order.
        order: Order,
        /// How it came out.
        outcome: Ordered,
    },
    /// An operation on the key-value service came back.
    Platform {
        /// The operation.
        op: Op,
        /// How it came out.
        outcome: platform::Outcome,
    },
    /// A watch saw a change, or broke.
    Watch {
        /// The operation that began the watch.
        op: Op,
        /// What it saw.
        notice: platform::Notice,
    },
    /// The platform's list of entry VMs.
    List {
        /// The VMs listed.
        vms: Vec<Listed>,
    },
    /// A message from another entry VM, whose secret the link has proved.
    Peer {
        /// The sender.
        from: id::Vm,
        /// The sender's start.
        incarnation: Incarnation,
        /// The message.
        message: peer::Message,
    },
    /// A link to another entry VM broke or could not be made.
    PeerDown {
        /// The other VM.
        vm: id::Vm,
        /// The connection was refused: no process listens there.
        refused: bool,
    },
    /// An operator's command.
    Operator {
        /// The call, for the reply.
        ticket: Ticket,
        /// What to do.
        command: operator::Command,
    },
    /// The daemon is told to stop.
    Shutdown {
        /// Whether to cut what runs instead of finishing it.
        now: bool,
    },
}
