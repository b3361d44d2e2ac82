//! How long claims last: segments lie under leases, each shared by what is written in one part of that time.

use crate::Node;
use crate::effect::Effects;
use crate::id::{Lease, Op};
use crate::ops::Owner;
use crate::platform::{Call, Outcome};
use crate::time::{Instant, Span};

use super::home::{Job, pump};
use super::keep;

/// Into how many parts the time for which keys are kept is divided; each part's segments share a lease.
const LEASE_PARTS: u64 = 4;

/// The lease of the segments that are written now.
#[derive(Debug, Default)]
pub(super) struct Retention {
    /// The lease.
    lease: Option<Lease>,
    /// When another one is to be used.
    until: Instant,
    /// The operation that grants another, and when it began.
    op: Option<(Op, Instant)>,
}

/// The lease for the segments that are written now; without one, asks for it.
pub(super) fn lease(node: &mut Node, out: &mut Effects) -> Option<Lease> {
    let keep = keep(node);
    let retention = &mut node.claims.retention;
    let due = retention.lease.is_none() || node.now >= retention.until;
    if due && retention.op.is_none() {
        let ttl = keep + part(keep).times(2);
        let op = node.ops.call(Owner::Claim, Call::LeaseGrant { ttl }, out);
        node.claims.jobs.insert(op, Job::Lease);
        retention.op = Some((op, node.now));
    }
    // The lease outlives the second part after it was asked for by the whole time for which keys are kept.
    let usable = node.now < retention.until + part(keep);
    retention.lease.filter(|_| usable)
}

fn part(keep: Span) -> Span {
    Span(keep.0 / LEASE_PARTS)
}

impl Retention {
    /// Gives a lease up that the service does not know.
    pub(super) fn forget(&mut self) {
        self.lease = None;
    }
}

/// A lease was granted, or not.
pub(super) fn leased(node: &mut Node, op: Op, outcome: &Outcome, out: &mut Effects) {
    let keep = keep(node);
    let retention = &mut node.claims.retention;
    let Some((_, begun)) = retention.op.take_if(|(waited, _)| *waited == op) else {
        return;
    };
    match outcome {
        Outcome::Done(reply) if reply.lease.is_some() => {
            retention.lease = reply.lease;
            retention.until = begun + part(keep);
        }
        Outcome::Done(_) | Outcome::Conflict | Outcome::NotSent | Outcome::Unknown => {}
    }
    let slots: Vec<u64> = node.claims.slots.keys().copied().collect();
    for number in slots {
        pump(node, number, out);
    }
}
