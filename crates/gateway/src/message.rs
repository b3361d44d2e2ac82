//! The messages that entry VMs send to each other, and their encoding.
//!
//! Delivery is best effort: a message may be lost, delayed or delivered more than once. Variants and fields are
//! encoded by position, so their order is part of the protocol.

use dahliastile_core::id::{Build, Incarnation, Server, Service, Tenant, Zone};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::account::quota::window::loan::{LendAnswer, LendRequest, LoanAnswer, LoanRequest};
use crate::account::quota::{TokenGrant, TokenRequest};
use crate::account::{TokenRate, Tokens};
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Change, KnownBuild, Member, Resident, Version};
use crate::event::{Execution, FailureCause, InferenceSpec, RequestId, StreamTiming};
use crate::request::fingerprint::Fingerprint;
use crate::request::notice::Rate;
use crate::request::origin::{BuildAges, OriginAnswer, StreamId, StreamOrigin};
use crate::request::quarantine::{CrashReport, QuarantineStatus};

/// A request that waits for the scheduler to choose an engine for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The request's number on the VM that sends this message.
    pub request: RequestId,
    /// The id that the caller gave to the request, for the log.
    pub id: Arc<str>,
    /// The model, adapter and tokens that the request asks for.
    pub work: InferenceSpec,
    /// Time since its arrival.
    pub waited: Span,
    /// The time within which the first chunk of its answer is wanted, counted from its arrival.
    pub objective: Span,
    /// The time until its deadline, after which an answer is useless to the caller.
    pub left: Span,
    /// Its priority; requests with a lower number are served first.
    pub priority: u8,
    /// The availability zone of the VM that received it.
    pub zone: Zone,
    /// Servers at which an attempt to serve it has failed.
    pub failed: Vec<Server>,
}

/// What a scheduler needs to know of a request besides its [`PlacementRequest`] where accounts compete for engines, or
/// where callers limit the pauses of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementDetail {
    /// The client account; none if the request needs none.
    pub account: Option<Tenant>,
    /// The rate of the account's limit; 0 if the account has none.
    pub weight: TokenRate,
    /// The longest pause between two chunks of the answer after which the next chunk does not count as late; zero if
    /// the route sets none.
    pub pause: Span,
    /// The fingerprint of the request, by which a retry of the caller is recognized; none for a request without an
    /// account.
    pub fingerprint: Option<Fingerprint>,
    /// Which builds of the servers' software may run the request. Sent beside the other details, whose encoding predates it.
    #[serde(skip)]
    pub binding: Binding,
}

/// Which builds of its servers' software may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Binding {
    /// Any.
    #[default]
    Any,
    /// The one that began the stream that the request continues.
    Continues(Build),
    /// Any, best one of which several servers are there: the request begins a stream that others may have to continue.
    Begins,
}

impl Binding {
    /// Returns whether servers of a build may run the request. A build that is not known may be any.
    pub(crate) fn allows(&self, build: &KnownBuild) -> bool {
        match self {
            Self::Any | Self::Begins => true,
            Self::Continues(only) => build.0.as_ref() == Some(only),
        }
    }
}

/// A request that waits for an engine of some builds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundPlacement {
    /// The request.
    pub placement: PlacementRequest,
    /// Its details.
    pub detail: PlacementDetail,
    /// The builds whose engines may run it.
    pub binding: Binding,
}

/// A request that was sent to an engine and is not finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request's number on the VM that sends this message.
    pub request: RequestId,
    /// The engine that it was sent to.
    pub server: Server,
    /// The model, adapter and tokens that the request asks for.
    pub work: InferenceSpec,
}

/// The adapters resident at one engine, as far as its scheduler knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineResidents {
    /// The engine.
    pub server: Server,
    /// The adapters that it can serve without a load.
    pub adapters: Vec<Resident>,
}

/// A batch of changes of the key-value service's entries, sent by a VM to its subscribers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replication {
    /// The batch holds all changes after this revision.
    pub since: Revision,
    /// The batch holds all changes up to and including this revision.
    pub until: Revision,
    /// Time since the key-value service last answered the sender or the sender's upstream, as far as the sender knows.
    pub age: Span,
    /// Whether entries may be missing although their owners are alive, since the key-value service was away until
    /// recently; `false` if the sender knows that it was not.
    pub recovering: bool,
    /// The last change of each changed entry.
    pub changes: Vec<Change>,
}

/// A change in the state of a request, reported to the scheduler by the VM that received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The first chunk of its answer has arrived.
    AnswerStarted,
    /// The request has its final answer, or its caller has left.
    Finished,
    /// The attempt at the request's server has failed. Tells whether the server ran the request, and the cause.
    Failed(Execution, FailureCause),
    /// The request has its final answer, a stream that reached its caller in full.
    Streamed(StreamTiming),
}

/// A message from one entry VM to another.
///
/// `Service` is the service whose scheduler sends or receives the message. A `u64` after it is the fencing token of
/// the scheduler's leadership; receivers drop messages whose token is older than the newest that they know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To the scheduler: asks for an engine for a request.
    PlacementRequest(Service, PlacementRequest),
    /// To the scheduler: the state of a request has changed.
    Progress(Service, RequestId, Progress),
    /// To a new scheduler: the sender's description of itself, its running requests and its waiting requests. The two
    /// lists replace all that the scheduler knew of the sender's requests.
    Resync(Service, Member, Vec<Running>, Vec<PlacementRequest>),
    /// From the scheduler: the engine that a request is to be sent to, and the adapter version to ask for; no version
    /// where any will do.
    Placement(Service, u64, RequestId, Server, Option<Version>),
    /// From the scheduler: a request can't be served in time, and the caller may retry after the span.
    PlacementRefused(Service, u64, RequestId, Span),
    /// From the scheduler to one VM of each other availability zone: the resident adapters of each engine. VMs choose
    /// engines by this list while no scheduler is reachable.
    ResidentAdapters(Service, u64, Vec<EngineResidents>),
    /// To the other VMs of the sender's availability zone: the resident adapters of each engine, sent by the scheduler
    /// or by the VM of the zone that received [`Self::ResidentAdapters`] from the scheduler with this fencing token.
    /// Each list therefore crosses the border of each zone only once.
    RelayedResidentAdapters(Service, u64, Vec<EngineResidents>),
    /// From the scheduler to all VMs: heartbeat.
    SchedulerHeartbeat(Service, u64),
    /// From the scheduler to all VMs while the key-value service does not answer: asks the receiver not to take the
    /// service's leadership for a fixed time. The instant is the time of the question by the scheduler's clock.
    RequestLeaseVote(Service, u64, Instant),
    /// To the scheduler: the sender will not take the leadership. The instant is copied from the question.
    LeaseVote(Service, u64, Instant),
    /// To the upstream: subscribes the sender, which describes itself, to the changes of the key-value service's
    /// entries after a revision. A subscription ends after a fixed time, and is renewed by this message.
    Subscribe(Member, Revision),
    /// To a subscriber: changes of the key-value service's entries.
    Replicate(Replication),
    /// To the VMs that count crashes by request fingerprint: servers have crashed while they ran these requests.
    CrashReports(Vec<CrashReport>),
    /// To any VM: the quarantine status, by fingerprint, of requests that servers ran when they crashed.
    QuarantineStatuses(Vec<(Fingerprint, QuarantineStatus)>),
    /// To the VM that owns the token pool: the sender's share of an account has too few tokens for a request.
    TokenRequest(TokenRequest),
    /// From the pool owner: the answer to a token request.
    TokenGrant(TokenGrant),
    /// From the pool owner to all VMs: asks for the tokens of these accounts that the receiver does not need. The
    /// number identifies the collection.
    CollectTokens(u64, Vec<Tenant>),
    /// To the pool owner: the tokens that the sender does not need, in answer to the collection with this number.
    SurplusTokens(u64, Vec<(Tenant, Tokens)>),
    /// The rate limit in requests per second that a server has announced for all VMs together; none if the server has
    /// withdrawn the limit. Sent to the VM that counts the server's requests, and from it to all VMs.
    ServerRateLimit(Server, Option<Rate>),
    /// A server has announced that it shuts down, with the incarnation of the announcing process if it is known. Sent
    /// to the VM that counts the server's requests, and from it to all VMs.
    ServerLeaving(Server, Option<Incarnation>),
    /// To the scheduler: a server has rejected a request of the sender and asks the sender to send no more requests for
    /// this span.
    ServerCooldown(Server, Span),
    /// To the VM that counts the requests sent to a rate-limited server: asks for permission to send this request.
    SendPermitRequest(RequestId, Server),
    /// The answer to [`Self::SendPermitRequest`]: `Ok` if the request may be sent, or the time after which to ask
    /// again.
    SendPermitReply(RequestId, Server, Result<(), Span>),
    /// To the scheduler: asks for an engine for a request, as [`Self::PlacementRequest`] does, with details.
    DetailedPlacementRequest(Service, PlacementRequest, PlacementDetail),
    /// To the broker of an account: the sender has too few tokens for a request.
    LoanRequest(LoanRequest),
    /// From the broker: the answer to a loan request.
    LoanAnswer(LoanAnswer),
    /// From the broker to a VM with a share of an account: asks for tokens to pass on.
    LendRequest(LendRequest),
    /// To the broker: the answer to a request to lend.
    LendAnswer(LendAnswer),
    /// From the scheduler: a request is to be withdrawn from this server, which has fallen behind. The receiver does so
    /// unless the answer has started or the request may not run on another server.
    Withdraw(Service, u64, RequestId, Server),
    /// To the scheduler: asks for an engine for a request, as [`Self::DetailedPlacementRequest`] does, among those of some
    /// builds.
    BoundPlacementRequest(Service, Box<BoundPlacement>),
    /// To any VM: asks for the builds of these servers, whose entries the sender has from other VMs.
    BuildRequest(Vec<Server>),
    /// The answer to [`Self::BuildRequest`], as far as the sender knows it: the build of each server's process with this
    /// incarnation.
    Builds(Vec<(Server, Option<Incarnation>, Build)>),
    /// To the VMs that keep the origins of streams: what began these streams.
    StreamOrigins(Vec<StreamOrigin>),
    /// To a VM that keeps origins: asks what began a stream that a request of the sender resumes, perhaps at this service.
    OriginRequest(RequestId, StreamId, Service),
    /// The answer to [`Self::OriginRequest`].
    OriginReply(RequestId, OriginAnswer),
    /// To a VM that keeps origins: the sender has just started, or has missed changes, and asks for what it lacks. The answer
    /// is [`Self::BuildHistory`], after [`Self::StreamOrigins`] if the sender keeps origins too.
    OriginsRequest,
    /// The builds that have served each service lately, with the time since a server of each was last listed, and for how
    /// long the sender knows all of them.
    BuildHistory(BuildAges, Span),
    /// To the VMs that count crashes by prompt part: servers have crashed while they ran requests with these parts.
    PartCrashReports(Vec<CrashReport>),
    /// To any VM: crashes are counted for these prompt parts, the first one this long ago. The receiver answers which of them
    /// were in complete answers since, and watches for such answers to the others.
    PartsWatched(Vec<(Fingerprint, Span)>),
}

impl Message {
    /// Returns the kind of the message, used as a label of metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::PlacementRequest(..) => "want",
            Self::Progress(..) => "progress",
            Self::Resync(..) => "hello",
            Self::Placement(..) => "place",
            Self::PlacementRefused(..) => "refuse",
            Self::ResidentAdapters(..) => "residents",
            Self::RelayedResidentAdapters(..) => "passed",
            Self::SchedulerHeartbeat(..) => "alive",
            Self::RequestLeaseVote(..) => "request_lease_vote",
            Self::LeaseVote(..) => "lease_vote",
            Self::Subscribe(..) => "follow",
            Self::Replicate(_) => "replicate",
            Self::CrashReports(_) => "struck",
            Self::QuarantineStatuses(_) => "standings",
            Self::TokenRequest(_) => "draw",
            Self::TokenGrant(_) => "grant",
            Self::CollectTokens(..) => "collect",
            Self::SurplusTokens(..) => "deposit",
            Self::ServerRateLimit(..) => "limit",
            Self::ServerLeaving(..) => "leaving",
            Self::ServerCooldown(..) => "rest",
            Self::SendPermitRequest(..) => "permit",
            Self::SendPermitReply(..) => "permitted",
            Self::DetailedPlacementRequest(..) => "want_detail",
            Self::LoanRequest(_) => "loan_request",
            Self::LoanAnswer(_) => "loan_answer",
            Self::LendRequest(_) => "lend_request",
            Self::LendAnswer(_) => "lend_answer",
            Self::Withdraw(..) => "withdraw",
            Self::BoundPlacementRequest(..) => "want_bound",
            Self::BuildRequest(_) => "build_request",
            Self::Builds(_) => "builds",
            Self::StreamOrigins(_) => "origins",
            Self::OriginRequest(..) => "origin_request",
            Self::OriginReply(..) => "origin_reply",
            Self::OriginsRequest => "origins_request",
            Self::BuildHistory(..) => "build_history",
            Self::PartCrashReports(_) => "part_crash_reports",
            Self::PartsWatched(_) => "parts_watched",
        }
    }
}

/// Encodes messages for another VM. Returns `None` if a message can't be encoded; the types in this module always can.
#[must_use]
pub fn encode(messages: &[Message]) -> Option<Vec<u8>> {
    encode_each(messages, |_, _| {})
}

/// Encodes messages as [`encode`] does, and calls `each` with every message and its encoded size in bytes.
pub fn encode_each(messages: &[Message], mut each: impl FnMut(&Message, usize)) -> Option<Vec<u8>> {
    // Postcard encodes a sequence as its length followed by its items, so these bytes equal those of the encoded slice.
    let mut bytes = postcard::to_stdvec(&messages.len()).ok()?;
    for message in messages {
        let before = bytes.len();
        bytes = postcard::to_extend(message, bytes).ok()?;
        each(message, bytes.len() - before);
    }
    Some(bytes)
}

/// Decodes messages of another VM. Returns `None` if the bytes are malformed, for instance because the sender uses an
/// unknown version of the protocol.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Vec<Message>> {
    postcard::from_bytes(bytes).ok()
}
