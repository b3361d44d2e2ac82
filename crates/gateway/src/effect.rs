//! The outputs of a [`Gateway`](crate::Gateway): what the process around it has to do after a step.

use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Server, Tenant, Vm};
use dahliastile_core::log::Record;
use dahliastile_core::metric::Sample;
use dahliastile_core::time::Span;

use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Change, EntryKey, Version};
use crate::event::{Lease, RequestId};
use crate::message::Message;
use crate::path::relay::RelayRefusal;
use crate::request::proof::Proof;

/// The number of a call of the key-value service; the event with the call's outcome has the same number.
pub type KvOperationId = u64;

/// The number of an order to a server; the event with the order's outcome has the same number.
pub type OrderId = u64;

/// Why the caller of a request gets a refusal instead of a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No route matches the request's host and path.
    NoRoute,
    /// The VM knows no configuration yet.
    NoConfig,
    /// The request has no key of any account.
    UnknownKey,
    /// The request has no key of an account that this VM knows, but the VM may not know the newest configuration. No
    /// server has run the request.
    UnconfirmedKey,
    /// The quota of the request's account is used up. No server has run the request.
    OverLimit,
    /// No server could serve the request in time, and none has run it.
    Overloaded,
    /// Several servers have crashed, one after the other, while they ran a request with the same fingerprint. No server
    /// has run this one.
    Quarantined,
    /// The VM stops and has no time left to serve the request. No server has run it.
    Stopping,
    /// A server may have run the request, and no complete answer arrived.
    Failed,
    /// The request's deadline has passed, and a server may have run the request.
    TimedOut,
}

impl RefusalReason {
    /// Returns whether the caller is told that no server has run the request and none will.
    #[must_use]
    pub const fn promises_not_run(self) -> bool {
        match self {
            Self::NoConfig
            | Self::UnconfirmedKey
            | Self::OverLimit
            | Self::Overloaded
            | Self::Quarantined
            | Self::Stopping => true,
            Self::NoRoute | Self::UnknownKey | Self::Failed | Self::TimedOut => false,
        }
    }
}

/// The final answer to a request that gets none of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    reason: RefusalReason,
    retry_after: Option<Span>,
    proof: Option<Proof>,
}

impl Refusal {
    /// Returns a refusal for this reason. Without a proof, a reason that promises that no server has run the request becomes
    /// [`RefusalReason::Failed`], and the caller is not told when to come back.
    #[must_use]
    pub const fn new(
        reason: RefusalReason,
        proof: Option<Proof>,
        retry_after: Option<Span>,
    ) -> Self {
        match proof {
            None if reason.promises_not_run() => Self {
                reason: RefusalReason::Failed,
                retry_after: None,
                proof: None,
            },
            _ => Self {
                reason,
                retry_after,
                proof,
            },
        }
    }

    /// Returns why the request is refused.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        self.reason
    }

    /// Returns the time after which the caller may retry; `None` if it is told none.
    #[must_use]
    pub const fn retry_after(self) -> Option<Span> {
        self.retry_after
    }

    /// Returns the proof that no server has run the request, if there is one.
    #[must_use]
    pub const fn proof(self) -> Option<Proof> {
        self.proof
    }
}

/// One attempt to have a server answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The id that the caller gave to the request, for the log.
    pub id: Arc<str>,
    /// The server.
    pub server: Server,
    /// The address of the server.
    pub address: SocketAddr,
    /// The address of the VM to send the request over; none for this VM's own path.
    pub via: Option<SocketAddr>,
    /// The time left until the request's deadline.
    pub left: Span,
    /// The client account of the request, to be named to the server; none where the request needs no account.
    pub account: Option<Tenant>,
    /// The version of the adapter that the server must use; none where any will do.
    pub version: Option<Version>,
    /// The request's priority in the server's queue; requests with a lower number are served first.
    pub priority: u8,
    /// Whether the answer is an event stream.
    pub stream: bool,
    /// Whether a broken stream can be continued at another server.
    pub resumable: bool,
    /// Whether the attempt may be cancelled by [`NextStep::CancelAttempt`]. The head of the answer is then held back
    /// until the first event of the stream has arrived.
    pub withdrawable: bool,
}

/// What the task that serves a caller's request has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a server.
    Attempt(Box<Attempt>),
    /// Forward the server's own error answer to the caller.
    ForwardFailure,
    /// Refuse the request.
    Refuse(Refusal),
    /// Abort the answer: the request's deadline has passed while its answer was being sent.
    AbortAnswer,
    /// Close the connection of the attempt in progress and confirm with
    /// [`Event::AttemptCancelled`](crate::event::Event::AttemptCancelled), unless the attempt has ended or its first
    /// event has been passed on to the caller.
    CancelAttempt,
    /// For an attempt of another VM: carry it to the server at this address.
    Carry(SocketAddr),
    /// For an attempt of another VM: refuse to carry it. A VM that may carry it, if one is known.
    RefuseRelay(RelayRefusal, Option<Vm>),
}

/// An order to an engine to load or unload a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload.
    pub load: bool,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter of the base model; none for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The version to load; none for the newest one.
    pub version: Option<Version>,
    /// The number of orders that the server must have accepted since its start; the server rejects the order if its
    /// count differs.
    pub expected: u64,
    /// The fencing token of the scheduler that gives the order.
    pub fence: u64,
    /// How long to wait for the server's answer.
    pub answer_timeout: Span,
}

/// A call of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum KvOperation {
    /// Read all entries.
    List,
    /// Wait for changes after a revision, at most for the span.
    Watch(Revision, Span),
    /// Create a lease with this time to live.
    GrantLease(Span),
    /// Renew a lease.
    RenewLease(Lease),
    /// Revoke a lease, which removes the entries that were written under it.
    RevokeLease(Lease),
    /// Write an entry under a lease, if the last change of each of these keys has this revision (0: no such entry).
    Put(Change, Lease, Vec<(EntryKey, Revision)>),
    /// Remove the entry of a key, if its last change has this revision.
    Remove(EntryKey, Revision),
}

impl KvOperation {
    /// Returns the kind of the call, used as a label of metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch(..) => "watch",
            Self::GrantLease(_) => "lease_grant",
            Self::RenewLease(_) => "lease_renew",
            Self::RevokeLease(_) => "lease_end",
            Self::Put(..) => "put",
            Self::Remove(..) => "remove",
        }
    }
}

/// Whether a message to another VM crosses the border of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// The receiver is in the sender's availability zone.
    SameZone,
    /// The receiver is in another availability zone, or its zone is unknown.
    CrossZone,
}

impl Locality {
    /// Returns the name of the locality, used as a label of metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::CrossZone => "beyond",
        }
    }
}

/// An output of the gateway's state machine, appended by [`Gateway::step`](crate::Gateway::step).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tell the task that serves a caller's request what to do next.
    Request(RequestId, NextStep),
    /// Call the key-value service.
    KvCall(KvOperationId, KvOperation),
    /// Send an order to the server at this address.
    Order(OrderId, Server, SocketAddr, Order),
    /// Ask the server at this address for its report.
    Report(Server, SocketAddr),
    /// Probe a server: open a connection to this address, to learn whether the server accepts any.
    Probe(Server, SocketAddr),
    /// With `true`: send [`Event::NoticeReceived`](crate::event::Event::NoticeReceived) for every answer of the server,
    /// also for answers without a notice, so that the end of a rate limit is seen. With `false`: send it only for
    /// answers with a notice.
    TrackAnswers(Server, bool),
    /// Close the idle connections to servers.
    DropConnections,
    /// Send a message to the VM at this address.
    SendMessage(SocketAddr, Locality, Message),
    /// Write a log record.
    Log(Record),
    /// Record a sample of a metric.
    Measure(Sample),
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
