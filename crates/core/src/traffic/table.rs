//! The rows of requests and attempts.

use smallvec::SmallVec;

use super::queue::{Key, Place};
use super::trail::Notes;
use crate::entity::{Adapter, Caller, Server, Service, Zone};
use crate::event::{Call, Head};
use crate::id::{self, Attempt, Request};
use crate::time::{Instant, Span};

/// Where the rules let requests run, as far as it matters for the domain that is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wish {
    /// Servers in this zone first.
    pub(crate) prefer: Option<Zone>,
    /// Servers in this zone only.
    pub(crate) require: Option<Zone>,
    /// This server, as the first of those that are named.
    pub(crate) pin: Option<Server>,
}

/// What waits for one adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Requests that wait.
    pub(crate) count: u32,
    /// The sum of their callers' weights, in thousandths.
    pub(crate) weight: u32,
    /// How long the first of them can still wait.
    pub(crate) left: Span,
    /// How long the first of them has waited.
    pub(crate) waited: Span,
    /// Where the first of them may run.
    pub(crate) wish: Wish,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits in its queue.
    Waiting,
    /// A place on this server is kept for it while its idempotency key is claimed.
    Claiming(Server),
    /// This attempt is in progress.
    Running(Attempt),
}

/// Whether a request needs a claim on its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// It needs none.
    Unneeded,
    /// It needs one and has not got it yet.
    Wanted,
    /// It has it.
    Held,
}

/// What the first matching rule decided, kept so that a later edition does not change it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decision {
    /// The rule's name.
    pub(crate) rule: Option<id::Rule>,
    /// Servers in this zone first.
    pub(crate) prefer: Option<Zone>,
    /// Servers in this zone only.
    pub(crate) require: Option<Zone>,
    /// These servers only, where there are any.
    pub(crate) pin: SmallVec<[Server; 2]>,
    /// Not these servers.
    pub(crate) avoid: SmallVec<[Server; 2]>,
    /// The priority; smaller runs first.
    pub(crate) priority: i32,
    /// How long a cold request may be held back to fill a batch.
    pub(crate) hold: Span,
}

impl Decision {
    /// Where it lets a request run.
    pub(crate) fn wish(&self) -> Wish {
        Wish {
            prefer: self.prefer,
            require: self.require,
            pin: self.pin.first().copied(),
        }
    }
}

/// A request in progress.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own, not a state"
)]
pub(crate) struct RequestRow {
    /// What was asked for.
    pub(crate) call: Box<Call>,
    /// Its caller.
    pub(crate) caller: Caller,
    /// Its service.
    pub(crate) service: Service,
    /// Its adapter, or none for a plain service.
    pub(crate) adapter: Option<Adapter>,
    /// The queue it belongs to.
    pub(crate) key: Key,
    /// Its place there. Kept, since a caller's weight may change while it waits.
    pub(crate) place: Place,
    /// What the rules decided.
    pub(crate) decision: Decision,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether it may be run more than once.
    pub(crate) idempotent: bool,
    /// Its claim.
    pub(crate) claim: Claim,
    /// How far it has come.
    pub(crate) stage: Stage,
    /// When it was first sent.
    pub(crate) sent: Option<Instant>,
    /// Attempts made.
    pub(crate) tries: u32,
    /// Servers that failed it.
    pub(crate) failed_on: SmallVec<[Server; 2]>,
    /// Until when those are left out even where no other server has its adapter.
    pub(crate) barred_until: Instant,
    /// Whether an attempt may have run it.
    pub(crate) maybe_ran: bool,
    /// Whether the adapter was not resident when it arrived.
    pub(crate) cold: bool,
    /// Whether the caller has the head of the answer.
    pub(crate) begun: bool,
    /// Tokens that the caller has.
    pub(crate) tokens: u32,
    /// When the last token came.
    pub(crate) last_token: Option<Instant>,
    /// The answer so far, kept for the claim while it is small enough.
    pub(crate) kept: Option<Kept>,
    /// What was done so far.
    pub(crate) notes: Notes,
}

/// How long a server that failed a request is left out for it at first; it doubles with each failure.
const BARRED: Span = Span::from_secs(1);
/// How often it doubles at most.
const MAX_DOUBLINGS: u32 = 6;

impl RequestRow {
    /// A server failed this request.
    pub(super) fn bar(&mut self, server: Server, now: Instant) {
        let failures = u32::try_from(self.failed_on.len()).unwrap_or(u32::MAX);
        self.failed_on.push(server);
        self.barred_until = now + BARRED.times(1 << failures.min(MAX_DOUBLINGS));
    }

    /// Until when no load is asked for on account of this request, so that others can join its batch.
    pub(crate) fn held_until(&self) -> Instant {
        let hold = if self.cold {
            self.decision.hold
        } else {
            Span::ZERO
        };
        (self.arrived + hold).min(self.deadline)
    }
}

/// An answer kept for a repeated idempotency key.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: String,
    /// The body so far.
    pub(crate) body: Vec<u8>,
}

/// An attempt in progress.
#[derive(Debug)]
pub(crate) struct AttemptRow {
    /// The request.
    pub(crate) request: Request,
    /// The server.
    pub(crate) server: Server,
    /// Whether the server has said which adapter answers.
    pub(crate) vouched: bool,
    /// The head of the answer, kept back until the server has said which adapter answers.
    pub(crate) head: Option<Head>,
}
