//! What a gateway wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Server, Tenant};
use dahliastile_core::log::Record;
use dahliastile_core::metric::Sample;
use dahliastile_core::time::Span;

use crate::cluster::snapshot::{Change, EntryKey, Revision, Version};
use crate::event::{Lease, RequestId};
use crate::message::Message;

/// The number of a call of the key-value service.
pub type KvOperationId = u64;

/// The number of an order.
pub type OrderId = u64;

/// Why a request gets no answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No route fits.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
    /// No account holds its key.
    UnknownKey,
    /// No account that this VM knows holds its key, and the VM may not know the newest configuration; it has not run.
    UnconfirmedKey,
    /// Its account has used what it may; it has not run.
    OverLimit,
    /// No server could take it in time; it has not run.
    Overloaded,
    /// Servers have ended, one after the other, while they ran it; this time it has not run.
    Quarantined,
    /// A server may have run it, and no whole answer came.
    Failed,
    /// The route's time is over; it may have run.
    TimedOut,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub server: Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// The time left for it.
    pub left: Span,
    /// The client account that it is for; none where it needs none.
    pub account: Option<Tenant>,
    /// The version of the adapter that it must hold.
    pub version: Option<Version>,
    /// How its turn compares at the server, 0 first.
    pub priority: u8,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether a broken stream can go on elsewhere.
    pub resumable: bool,
}

/// What becomes of a request next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It is sent to a server.
    Attempt(Box<Attempt>),
    /// The server's own failure is the answer.
    ForwardFailure,
    /// It is refused, and the caller may come back after the span.
    Refuse(RefusalReason, Option<Span>),
    /// Its time is over in the midst of its answer, which is broken off.
    AbortAnswer,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Whether it loads or unloads.
    pub load: bool,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter; none for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The version to load; none for the newest.
    pub version: Option<Version>,
    /// The number of orders that the server must have accepted before.
    pub expected: u64,
    /// The fencing number.
    pub fence: u64,
    /// How long its answer is waited for.
    pub answer_timeout: Span,
}

/// A call of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum KvOperation {
    /// Read everything.
    List,
    /// Wait for changes after a revision.
    Watch(Revision, Span),
    /// Grant a lease.
    GrantLease(Span),
    /// Renew a lease.
    RenewLease(Lease),
    /// End a lease.
    RevokeLease(Lease),
    /// Write a fact under a lease, if each of these subjects is still as of a revision (0: not there).
    Put(Change, Lease, Vec<(EntryKey, Revision)>),
    /// Remove a subject that is still as of a revision.
    Remove(EntryKey, Revision),
}

impl KvOperation {
    /// What kind of call it is, for figures.
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

/// How far a message to another VM goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// It stays in this VM's availability zone.
    SameZone,
    /// It leaves it, or may.
    CrossZone,
}

impl Locality {
    /// Its name, for figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::CrossZone => "beyond",
        }
    }
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tells a request's task what to do.
    Request(RequestId, NextStep),
    /// Calls the key-value service.
    KvCall(KvOperationId, KvOperation),
    /// Orders something of a server.
    Order(OrderId, Server, SocketAddr, Order),
    /// Asks a server for its report.
    Report(Server, SocketAddr),
    /// Makes a connection to a server, to see whether it takes any.
    Probe(Server, SocketAddr),
    /// Has all answers of a server told, also those that say nothing of it; or only those that do.
    TrackAnswers(Server, bool),
    /// Sends a message to the VM at an address.
    SendMessage(SocketAddr, Locality, Message),
    /// Writes a log event.
    Log(Record),
    /// Counts or observes a figure.
    Measure(Sample),
}

/// Effects in the order in which they are to be done.
pub type Effects = Vec<Effect>;
