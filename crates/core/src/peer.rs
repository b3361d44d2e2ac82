//! Messages between entry VMs. Any of them may be lost, come late, twice or out of order.

use serde::{Deserialize, Serialize};

use crate::event::Report;
use crate::id::{self, Edition, Fence, Grant, Incarnation, Request};
use crate::time::Span;

/// A message to another entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Heartbeat(Heartbeat),
    /// A grantee to the holder of a domain.
    Ask(Ask),
    /// The holder of a domain to a grantee.
    Update(Update),
    /// This VM does not hold the domain.
    NotHolder(NotHolder),
    /// A claim on an idempotency key.
    Claim(Claim),
    /// The answer to a claim.
    Verdict(Verdict),
    /// Fetch the configuration.
    Fetch(Fetch),
    /// A piece of the configuration.
    Piece(Piece),
}

/// What each VM says of itself, and of a few others, about once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender says of itself first, then of others it heard from.
    pub members: Vec<Member>,
    /// The domains that the sender knows the holder of and that changed lately.
    pub holders: Vec<Holder>,
}

/// The state of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: id::Vm,
    /// Its address for peers.
    pub address: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its start.
    pub incarnation: Incarnation,
    /// Counts up with each heartbeat of this incarnation.
    pub beat: u64,
    /// Whether it is draining.
    pub leaving: bool,
    /// The configuration it has in force.
    pub edition: Edition,
}

/// Who holds a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The domain.
    pub domain: id::Domain,
    /// The VM that holds it.
    pub vm: id::Vm,
    /// The fencing number of its lease. The highest is the latest.
    pub fence: Fence,
}

/// A grantee tells a domain's holder what it waits for, uses and has released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The domain.
    pub domain: id::Domain,
    /// Counts up with each ask of this incarnation; the holder ignores older ones.
    pub nonce: u64,
    /// The fencing number under which the sender keeps its grants, or zero.
    pub fence: Fence,
    /// The highest [`Update::seq`] that the sender has processed under that number.
    pub seen: u64,
    /// Whether `held` is complete; it is after a change of the holder.
    pub full: bool,
    /// Grants kept from an earlier holder, or all of them.
    pub held: Vec<Held>,
    /// Grants released because they were revoked: nothing is in flight on them any more.
    pub released: Vec<Grant>,
    /// What requests wait for.
    pub wants: Vec<Want>,
    /// What was used since the last ask.
    pub uses: Vec<Use>,
}

/// A grant that a grantee holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The server.
    pub server: id::Server,
    /// The adapter.
    pub adapter: id::Adapter,
    /// Requests in flight.
    pub in_flight: u32,
}

/// What requests of a grantee wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The adapter.
    pub adapter: id::Adapter,
    /// Requests that wait.
    pub waiting: u32,
    /// The sum of their weights, in thousandths.
    pub weight: u32,
    /// How long the first of them can still wait.
    pub left: Span,
    /// How long the first of them has waited.
    pub waited: Span,
}

/// How much a grantee uses an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The adapter.
    pub adapter: id::Adapter,
    /// Requests that arrived for it since the last ask.
    pub arrived: u32,
    /// Requests in flight on it now.
    pub in_flight: u32,
}

/// The holder of a domain tells a grantee what it may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The domain.
    pub domain: id::Domain,
    /// The fencing number of the holder's lease.
    pub fence: Fence,
    /// Counts up with each update to this grantee; the grantee ignores older ones.
    pub seq: u64,
    /// The nonce of the last ask that the holder has processed.
    pub nonce: u64,
    /// The grants that the grantee has not yet confirmed, also those that are revoked already.
    pub grants: Vec<Granted>,
    /// Grants that the grantee is to release, until it has.
    pub revokes: Vec<Grant>,
    /// The load of servers on which the grantee has grants.
    pub loads: Vec<Load>,
    /// When adapters that the grantee waits for are expected.
    pub expected: Vec<Expected>,
}

/// Leave to send work for an adapter to a server, until revoked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The number of the grant.
    pub grant: Grant,
    /// The server.
    pub server: id::Server,
    /// The adapter.
    pub adapter: id::Adapter,
}

/// A server's load as the holder last saw it, without its residents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: id::Server,
    /// The load report; its age includes the time since it was made.
    pub report: Report,
}

/// When an adapter is expected to be resident.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expected {
    /// The adapter.
    pub adapter: id::Adapter,
    /// How long it takes from now on.
    pub wait: Span,
}

/// The answer of a VM that is asked for a domain it does not hold, or, where it names itself as the holder, that it
/// knows nothing of the asking start's grants and needs to be told all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotHolder {
    /// The domain.
    pub domain: id::Domain,
    /// The holder as this VM knows it.
    pub holder: Option<Holder>,
}

/// The hash of a caller's name and its idempotency key.
pub type Key = [u8; 16];

/// A step of a claim, sent to the key's home VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The hash of what was asked.
    pub digest: u64,
    /// The request on the sending VM. Together with the sender's incarnation it names the run.
    pub request: Request,
    /// What is wanted.
    pub step: Step,
}

/// A step of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Claim the key for this request.
    Take,
    /// The request was certainly not run: the key is free again.
    Free,
    /// The request ended; the result is kept if it is small.
    Done(Outcome),
}

/// How the run of a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a whole answer, which is small enough to keep.
    Kept {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// With a whole answer that is not kept.
    Whole,
    /// It may have run; its answer was not whole.
    Unknown,
}

/// The answer to [`Step::Take`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The key.
    pub key: Key,
    /// The request that claimed.
    pub request: Request,
    /// What was found.
    pub finding: Finding,
}

/// What a claim found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// The key is this request's: it may be sent once.
    Granted,
    /// The key was claimed before.
    Taken(Option<Outcome>),
    /// The key was claimed before for other work.
    Reused,
    /// The key-value service does not answer; nothing is claimed for this request.
    Down,
    /// The receiver is not the key's home as it sees the fleet; ask again.
    NotHome,
}

/// Asks a peer for the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The edition that the sender has, or zero.
    pub have: Edition,
    /// How many bytes of the snapshot it has already, where it needs one.
    pub offset: u64,
    /// The edition of the snapshot it is reading, or zero.
    pub snapshot: Edition,
}

/// A piece of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Edits that follow each other, as the key-value service holds them.
    Edits {
        /// The edition that the first of them makes.
        first: Edition,
        /// The edits.
        edits: Vec<Vec<u8>>,
    },
    /// A part of a whole document.
    Snapshot {
        /// Its edition.
        edition: Edition,
        /// The part's offset.
        offset: u64,
        /// The length of the whole.
        total: u64,
        /// The hash of the whole.
        hash: [u8; 32],
        /// The bytes of this part.
        data: Vec<u8>,
    },
}
