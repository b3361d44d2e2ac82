//! Messages between entry VMs. Each may be lost, late or doubled.

use dahliastile_core::id::{Incarnation, Server, Service, Tenant, Zone};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::account::Tokens;
use crate::account::quota::{TokenGrant, TokenRequest};
use crate::cluster::snapshot::{Change, Member, Resident, Revision, Version};
use crate::event::{Execution, FailureCause, InferenceSpec, RequestId};
use crate::request::fingerprint::Fingerprint;
use crate::request::notice::Rate;
use crate::request::quarantine::{CrashReport, QuarantineStatus};

/// A request that wants a place at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Its number on the VM that asks.
    pub request: RequestId,
    /// The caller's id of it, for the log.
    pub id: Arc<str>,
    /// What it asks for.
    pub work: InferenceSpec,
    /// How long it has waited already.
    pub waited: Span,
    /// The time within which its first event is of full use, from its arrival.
    pub objective: Span,
    /// The time left until its answer is of no use.
    pub left: Span,
    /// Its rank, 0 first.
    pub priority: u8,
    /// The availability zone of its VM.
    pub zone: Zone,
    /// Servers that have failed it.
    pub failed: Vec<Server>,
}

/// A request that runs at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Its number on the VM that asks.
    pub request: RequestId,
    /// Where it runs.
    pub server: Server,
    /// What it asks for.
    pub work: InferenceSpec,
}

/// What one engine holds, as its scheduler believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineResidents {
    /// The engine.
    pub server: Server,
    /// The adapters that can be used there.
    pub adapters: Vec<Resident>,
}

/// Changes of the key-value service, as one VM passes them on to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replication {
    /// All changes after this revision.
    pub since: Revision,
    /// Up to this one.
    pub until: Revision,
    /// How long ago the service last answered the sender, or the VM that the sender follows, as far as it knows.
    pub age: Span,
    /// Whether entries may be missing only because the service was away until a moment ago.
    pub recovering: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// How a placed request went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its first event came.
    AnswerStarted,
    /// It is over.
    Finished,
    /// Its server failed it.
    Failed(Execution, FailureCause),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To the scheduler: requests that want a place.
    PlacementRequest(Service, PlacementRequest),
    /// To the scheduler: a request is no longer waited for, or went on.
    Progress(Service, RequestId, Progress),
    /// To a new scheduler: where this VM is, and all that runs and waits on it, in place of all said before.
    Resync(Service, Member, Vec<Running>, Vec<PlacementRequest>),
    /// From the scheduler, under its fencing number: where a request goes.
    Placement(Service, u64, RequestId, Server, Option<Version>),
    /// From the scheduler: a request can't be served in time; when to come back.
    PlacementRefused(Service, u64, RequestId, Span),
    /// From the scheduler to one VM of each availability zone: what each engine holds, for the time without a scheduler.
    ResidentAdapters(Service, u64, Vec<EngineResidents>),
    /// From the VM that tells its availability zone: what the scheduler under a fencing number told it of engines.
    RelayedResidentAdapters(Service, u64, Vec<EngineResidents>),
    /// From the scheduler: it is there.
    SchedulerHeartbeat(Service, u64),
    /// From the scheduler, at a time of its own clock: will this VM take no leadership for a while?
    RequestLeaseVote(Service, u64, Instant),
    /// To the scheduler that asked so at a time of its clock: it will take none.
    LeaseVote(Service, u64, Instant),
    /// This VM, which is there, knows all changes of the key-value service up to the revision, and wants to be told of
    /// later ones for a while.
    Subscribe(Member, Revision),
    /// Changes of the key-value service.
    Replicate(Replication),
    /// To a VM that counts them: servers ended while they had these requests.
    CrashReports(Vec<CrashReport>),
    /// What is known of requests that servers have ended under.
    QuarantineStatuses(Vec<(Fingerprint, QuarantineStatus)>),
    /// To the VM that keeps the pool of tokens: a VM runs short.
    TokenRequest(TokenRequest),
    /// From the VM that keeps the pool: the answer to a draw.
    TokenGrant(TokenGrant),
    /// From the VM that keeps the pool: a collection with its number, for these accounts.
    CollectTokens(u64, Vec<Tenant>),
    /// To the VM that keeps the pool: what this VM does not need, in answer to a collection.
    SurplusTokens(u64, Vec<(Tenant, Tokens)>),
    /// A server names a limit to the requests a second that it takes from all VMs together, or none any more.
    ServerRateLimit(Server, Option<Rate>),
    /// A server is leaving, as this start of it says.
    ServerLeaving(Server, Option<Incarnation>),
    /// To the scheduler: a server has asked the sender for so much rest.
    ServerCooldown(Server, Span),
    /// To the VM that counts what a server is sent: may this request go there?
    SendPermitRequest(RequestId, Server),
    /// From that VM: it may, or when to ask again.
    SendPermitReply(RequestId, Server, Result<(), Span>),
}

impl Message {
    /// What kind of message it is, for figures.
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
        }
    }
}

/// Messages as bytes for another VM; none where they can't be written, which no message of this module is.
#[must_use]
pub fn encode(messages: &[Message]) -> Option<Vec<u8>> {
    encode_each(messages, |_, _| {})
}

/// The same; `each` is given every message with its bytes.
pub fn encode_each(messages: &[Message], mut each: impl FnMut(&Message, usize)) -> Option<Vec<u8>> {
    // A list is written as its length and its items.
    let mut bytes = postcard::to_stdvec(&messages.len()).ok()?;
    for message in messages {
        let before = bytes.len();
        bytes = postcard::to_extend(message, bytes).ok()?;
        each(message, bytes.len() - before);
    }
    Some(bytes)
}

/// Messages of another VM; none where the bytes are of a version that this one does not know.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Vec<Message>> {
    postcard::from_bytes(bytes).ok()
}
