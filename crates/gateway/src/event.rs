//! What can happen to a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::time::Span;
use serde::{Deserialize, Serialize};

use crate::account::Tokens;
use crate::account::key::AccountKey;
use crate::cluster::snapshot::{Change, ResidentModel, Revision};
use crate::effect::{KvOperationId, OrderId};
use crate::message::Message;
use crate::request::fingerprint::Fingerprint;
use crate::request::notice::Notice;
use crate::settings::Tuning;

/// The number of a request on this VM, never used twice by one start.
pub type RequestId = u64;

/// A lease of the key-value service.
pub type Lease = u64;

/// What a request asks an engine for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InferenceSpec {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter of it, where one is named.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The largest number of tokens asked for.
    pub max_output_tokens: u32,
    /// The parts of the prompt, in order.
    pub prompt_parts: Arc<[PromptPart]>,
}

/// A part of a prompt. Requests share parts; the last one belongs to the request itself or to its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Its id, the same wherever the same text stands.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's own id of it.
    pub id: Arc<str>,
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// How long the caller waits.
    pub caller_timeout: Option<Span>,
    /// What it asks an engine for; none for a plain service.
    pub work: Option<InferenceSpec>,
    /// The key that it bears; none where it bears none, several, or one that can't be any.
    pub key: Option<AccountKey>,
    /// The tokens that it names.
    pub tokens: Option<Tokens>,
    /// What it has in common with others that ask the same.
    pub fingerprint: Fingerprint,
}

/// Whether a request has run at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Execution {
    /// It has not and will not: no byte was sent, or the server says so.
    No,
    /// It may have.
    Maybe,
    /// It has.
    Yes,
}

/// Why a server did not answer a request well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The answer was none in the protocol, or another request's.
    Malformed,
    /// The server takes no more work.
    Full,
    /// The server is another one, or lacks the adapter or its version.
    Missing,
    /// The server answered with this status of its own.
    Status(u16),
    /// This VM sends nothing to the server now.
    Declined,
}

/// How an order came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// The server is another one.
    Missing,
    /// The server can't carry it out.
    Invalid,
    /// No answer: it may be carried out, also later.
    Unknown,
    /// It certainly did not reach the server.
    NotSent,
}

/// What a server says it holds and does, as of some hundred milliseconds before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The base models and their adapters.
    pub models: Vec<ResidentModel>,
    /// Adapters on their way to it: base model, adapter, version.
    pub loading: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Whether an order on a base model is in progress.
    pub busy: bool,
    /// Orders accepted.
    pub orders: u64,
    /// The server's start, where deployments tell it.
    pub start: Option<Incarnation>,
}

/// Whether a server takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It does.
    Listens,
    /// Nothing listens at its address.
    Refuses,
    /// There was no answer in time.
    Silent,
}

/// How a call of the key-value service came out.
#[derive(Clone, Debug)]
pub enum KvOutcome {
    /// Items listed, and the revision of the first page.
    Listed(Vec<Change>, Revision),
    /// Changes after the revision asked for, and the revision to go on from.
    Watched(Vec<Change>, Revision),
    /// The history asked for is gone.
    Compacted,
    /// A lease with the time it lives.
    Granted(Lease, Span),
    /// The lease lives on.
    Renewed(Span),
    /// Written at this revision.
    Written(Revision),
    /// A condition did not hold; the subjects as they are now.
    Conflict(Vec<Change>),
    /// There is no such lease.
    NoLease,
    /// Nothing was done.
    Refused,
    /// No answer: it may have been done, also later.
    Unknown,
}

/// How a link to another VM failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// It could not be made.
    Unreachable,
    /// It broke.
    Broken,
    /// What was sent was not taken in within its time, as by a VM that is busy or can't be reached.
    Late,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The gateway begins.
    Start,
    /// A time asked for by [`crate::Gateway::next_wakeup`] has come.
    Tick,
    /// A caller's request has been read.
    RequestArrived(RequestId, Box<CallerRequest>),
    /// The caller has left.
    CallerLeft(RequestId),
    /// The first piece of an answer has come.
    AnswerStarted(RequestId),
    /// The answer is complete, with the longest pause between two pieces of it.
    AnswerCompleted(RequestId, Span),
    /// The server did not answer well.
    AttemptFailed(RequestId, Execution, FailureCause),
    /// An order came back.
    OrderAnswered(OrderId, OrderOutcome),
    /// An answer says something of its server, or says no more what an earlier one did.
    NoticeReceived(Server, Notice),
    /// A server's report, or none where it gave none.
    ReportReceived(Server, Option<Report>),
    /// A server was asked whether it takes connections.
    Probed(Server, ProbeResult),
    /// A call of the key-value service came back.
    KvAnswered(KvOperationId, KvOutcome),
    /// A message from another VM.
    PeerMessage(Vm, Message),
    /// A link to another VM could not be made or broke.
    PeerDown(SocketAddr, LinkFault),
    /// The settings file was read again: its figures, or why it can't be used.
    SettingsReloaded(Result<Box<Tuning>, String>),
    /// The process is to stop.
    Stop,
}
