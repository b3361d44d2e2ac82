//! The inputs of a [`Gateway`](crate::Gateway): events of callers, servers, the key-value service and other VMs.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use dahliastile_body::Framing;
use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::time::Span;
use serde::{Deserialize, Serialize};

use crate::account::Tokens;
use crate::account::key::AccountKey;
use crate::cluster::revision::{Era, Revision};
use crate::cluster::snapshot::{Change, ResidentModel};
use crate::effect::{KvOperationId, OrderId};
use crate::message::Message;
use crate::request::fingerprint::Fingerprint;
use crate::request::notice::Notice;
use crate::settings::Tuning;

/// The number of a caller's request on the VM that received it. A process never uses one twice.
pub type RequestId = u64;

/// The id of a lease of the key-value service.
pub type Lease = u64;

/// The inference that a request asks an engine for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InferenceSpec {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter of the base model; none for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The largest number of output tokens that the caller asks for.
    pub max_output_tokens: u32,
    /// The parts that make up the prompt, in order. Prefix caches are keyed by them.
    pub prompt_parts: Arc<[PromptPart]>,
}

impl InferenceSpec {
    /// Returns the parts of the prompt that other requests may have too: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts
            .split_last()
            .map_or(&[], |(_, shared)| shared)
    }
}

/// A part of a prompt. Requests with a common prefix share parts; the last part is the request's or its session's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The id of the part's text; equal texts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A caller's request without its body, as read by the HTTP server.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that the caller gave to the request, for the log.
    pub id: Arc<str>,
    /// The value of its `Host` header.
    pub host: String,
    /// The path of its URL.
    pub path: String,
    /// How long the caller waits for the answer; none if the request does not say.
    pub caller_timeout: Option<Span>,
    /// The inference that the request asks for; none for a request to a plain service.
    pub work: Option<InferenceSpec>,
    /// The API key of its account; none if the request has no key, several, or a malformed one.
    pub key: Option<AccountKey>,
    /// The number of tokens to charge for the request; none if the caller gives no number.
    pub tokens: Option<Tokens>,
    /// A hash of the method, host, path, query and body; equal for repetitions of the same request.
    pub fingerprint: Fingerprint,
    /// The stream that the request resumes; none for a new one.
    pub resumes: Option<Resumption>,
}

/// What a caller says of a stream that it resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// The id of the caller's request that brought the stream's first event; none if the caller does not name it, or
    /// names none that can be an id.
    pub first_request: Option<Arc<str>>,
    /// The id of the last event that the caller has; none if the caller does not name it.
    pub last_event: Option<Arc<str>>,
}

/// The times at which the chunks of a stream came from its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamTiming {
    /// The number of chunks.
    pub chunks: u32,
    /// The time from the first chunk to the last one.
    pub decoding: Span,
    /// The longest pause between two chunks.
    pub longest_pause: Span,
}

/// Whether a server has executed a request that it did not answer successfully.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Execution {
    /// The server has not executed the request and will not: no byte was sent, or the server says that it did not run
    /// the request.
    No,
    /// The server may have executed all or part of the request.
    Maybe,
    /// The server has executed the request.
    Yes,
}

/// Why an attempt to have a server answer a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
    /// No connection to the server could be made.
    Unreachable,
    /// The connection broke, or the server did not answer in time.
    Broken,
    /// The answer violates the protocol, or belongs to another request.
    Malformed,
    /// The server has no capacity for more requests.
    Full,
    /// Another server listens at the address, or the server lacks the adapter or the requested version of it.
    Missing,
    /// The server answered with this HTTP status of its own.
    Status(u16),
    /// This VM has suspended sending requests to the server, and sent none in this attempt.
    Declined,
    /// The VM that was to carry the attempt did not, or the connection to it broke. Says nothing of the server, and is not
    /// reported to other VMs.
    NoPath,
}

/// The outcome of an order to load or unload a model or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server has accepted the order and carries it out.
    Accepted,
    /// The server is in the requested state already.
    Holds,
    /// Another order is in progress, or the server's count of orders is not the expected one.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// Another server listens at the address.
    Missing,
    /// The server can't carry out an order of this kind.
    Invalid,
    /// No answer: the order may have been carried out, or may still be.
    Unknown,
    /// The order did not reach the server and never will.
    NotSent,
}

/// A server's report on its models, adapters and orders. Reports lag behind the server's state by some hundred
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The resident base models with their resident adapters.
    pub models: Vec<ResidentModel>,
    /// Adapters that are being loaded: base model, adapter, version.
    pub loading: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Base models of which the server's machine has a copy, so that their loads take nothing of the weight store's bandwidth.
    pub local_models: Vec<Arc<str>>,
    /// Whether an order to load or unload a base model is in progress.
    pub busy: bool,
    /// The number of orders that the server has accepted since its start.
    pub orders: u64,
    /// The incarnation of the server process, in deployments that report it.
    pub start: Option<Incarnation>,
}

/// Whether a server accepted a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepted a connection.
    Listens,
    /// The connection was refused: nothing listens at the address.
    Refuses,
    /// No answer within the probe's timeout, or another error.
    Silent,
}

/// How a call of the key-value service ended.
#[derive(Clone, Debug)]
pub struct KvAnswer {
    /// The era that the answer names; none if there was no answer.
    pub era: Option<Era>,
    /// The outcome of the call.
    pub outcome: KvOutcome,
}

/// The outcome of a call of the key-value service.
#[derive(Clone, Debug)]
pub enum KvOutcome {
    /// All entries, and the revision of the list's first page, from which a watch continues.
    Listed(Vec<Change>, Revision),
    /// A part of the entries: the list could not be read to its end.
    ListedInPart(Vec<Change>, ListFailure),
    /// The changes after the requested revision, and the revision to continue the watch from.
    Watched(Vec<Change>, Revision),
    /// The requested revision has been compacted; the entries must be listed again.
    Compacted,
    /// A new lease and its time to live.
    Granted(Lease, Span),
    /// The lease was renewed for this time to live.
    Renewed(Span),
    /// The entry was written, or removed, at this revision.
    Written(Revision),
    /// The write was rejected since one of its conditions did not hold; the present state of the entries that the
    /// conditions name.
    Conflict(Vec<Change>),
    /// The lease does not exist.
    NoLease,
    /// The call was rejected, or could not be sent, and had no effect.
    Refused,
    /// More bytes came than an answer has: the call may have taken effect.
    Oversized,
    /// No answer: the call may have taken effect, or may still take effect.
    Unknown,
}

/// Where a list of all entries stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFailure {
    /// Why.
    pub cause: ListFailureCause,
    /// The number of pages that were read.
    pub pages: usize,
    /// The key behind which the next page would have begun.
    pub after: Arc<str>,
}

/// Why a list of all entries has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFailureCause {
    /// A page was not behind the one before it.
    NotForward,
    /// It has more pages or bytes than any deployment's.
    TooLong,
}

/// An attempt that another VM, which has lost its own path, asks this one to carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// The address that the request came from.
    pub from: IpAddr,
    /// The server that the request is for.
    pub server: Server,
    /// The id that the caller gave to the request, for the log.
    pub id: Arc<str>,
}

/// An answer of a server that does not bear the id of the request that it came for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnmatchedAnswer {
    /// The id of the request.
    pub asked: Arc<str>,
    /// The id that the answer bears, shortened; none if it bears none, or if its head is of two answers.
    pub answered: Option<Arc<str>>,
    /// Its HTTP status; 0 if its head is of two answers.
    pub status: u16,
    /// Whether it claims that the server did not run a request.
    pub is_rejection: bool,
}

/// A part of a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// What comes before the body, interim answers included.
    Head,
    /// The body.
    Body,
    /// An event of a stream.
    Event,
}

/// An answer of a server whose head promises that its request did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// The id that the caller gave to the request.
    pub id: Arc<str>,
    /// Its HTTP status.
    pub status: u16,
    /// Whether it states so. One that does not has only a status by which callers take a request for not run.
    pub is_stated: bool,
    /// The number of answers that its connection had brought before.
    pub exchanges: u32,
}

/// How a connection to another VM failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The other VM did not read the sent bytes within the timeout: the VM is busy or can't be reached.
    Late,
}

/// A task of the process around the gateway, named by what it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Calls the key-value service.
    KvCall,
    /// Sends an order to a server.
    Order,
    /// Asks a server for its report.
    Report,
    /// Probes a server.
    Probe,
    /// Serves a connection of a caller, or of another VM whose attempts this one carries.
    Connection,
    /// Reads a request and answers it.
    Request,
    /// Sends a request to a server.
    Attempt,
    /// Passes a stream on.
    Stream,
    /// Passes an answer on to another VM.
    Relay,
    /// Exchanges messages with another VM.
    Link,
    /// Answers whether the VM is ready, and what its figures are.
    Probing,
    /// Takes connections in.
    Listener,
    /// Sums figures up.
    Figures,
    /// Reads the settings file again.
    Reload,
    /// Waits for the graceful stop.
    Stop,
}

impl Task {
    /// Returns its name for the log and the metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::KvCall => "kv_call",
            Self::Order => "order",
            Self::Report => "report",
            Self::Probe => "probe",
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Attempt => "attempt",
            Self::Stream => "stream",
            Self::Relay => "relay",
            Self::Link => "link",
            Self::Probing => "probing",
            Self::Listener => "listener",
            Self::Figures => "figures",
            Self::Reload => "reload",
            Self::Stop => "stop",
        }
    }
}

/// An input of the gateway's state machine, passed to [`Gateway::step`](crate::Gateway::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// The process has started. The first event, sent once.
    Start,
    /// The time that [`crate::Gateway::next_wakeup`] returned has come.
    Tick,
    /// A caller's request has been read.
    RequestArrived(RequestId, Box<CallerRequest>),
    /// The caller closed its connection before the answer was complete.
    CallerLeft(RequestId),
    /// The first chunk of the answer has arrived from the server.
    AnswerStarted(RequestId),
    /// The answer was passed on up to its end, which proves what its server's framing does. All times are zero if the
    /// answer is no stream.
    AnswerCompleted(RequestId, StreamTiming, Framing),
    /// The attempt at a server failed. Tells whether the server executed the request, and the cause.
    AttemptFailed(RequestId, Execution, FailureCause),
    /// The attempt in progress was cancelled by [`NextStep::CancelAttempt`](crate::effect::NextStep::CancelAttempt) and
    /// its connection is closed. All events of the attempt precede this one.
    AttemptCancelled(RequestId),
    /// A server answered an order, or the order's timeout has passed.
    OrderAnswered(OrderId, OrderOutcome),
    /// A server's answer carries a notice about the server (rate limit, shutdown, cooldown), or no longer carries the
    /// notice that an earlier answer carried.
    NoticeReceived(Server, Notice),
    /// A server's answer does not bear the id of the request that it came for.
    AnswerUnmatched(Server, Box<UnmatchedAnswer>),
    /// A server's answer promises that its request did not run.
    PromiseReceived(Server, Box<Promise>),
    /// The bytes of a server for the request with this id exceeded the limit of this part of an answer, and its connection
    /// was closed.
    AnswerOversized(Server, Arc<str>, Part),
    /// A server's report; none if the server gave no valid report in time.
    ReportReceived(Server, Option<Report>),
    /// A new connection to a server was made for an attempt, or could not be made.
    ConnectionTried(Server, ProbeResult),
    /// Another VM asks this one to carry an attempt.
    RelayRequested(RequestId, Box<RelayRequest>),
    /// An attempt that this VM carried has ended, or its VM has given it up.
    RelayEnded(RequestId),
    /// A VM that did not carry an attempt names another one that does.
    RelayHint(Vm),
    /// The result of a probe of a server.
    Probed(Server, ProbeResult),
    /// A call of the key-value service was answered, or its timeout has passed.
    KvAnswered(KvOperationId, KvAnswer),
    /// A message of another VM has arrived.
    PeerMessage(Vm, Message),
    /// The connection to the VM at this address could not be made, or failed.
    PeerDown(SocketAddr, LinkFault),
    /// The settings file was read again: its tuning parameters, or the reason why the file can't be used.
    SettingsReloaded(Result<Box<Tuning>, String>),
    /// A task of the process panicked with this message. What the task owed the gateway comes by another event.
    TaskPanicked(Task, Arc<str>),
    /// The process was asked to stop gracefully.
    Stop,
}
