//! Calls of the key-value service in progress, and what each is for.

use std::collections::BTreeMap;

use super::record::Record;
use super::{lease, record, seat};
use crate::Node;
use crate::effect::Effects;
use crate::entity::Domain;
use crate::id::{Fence, Op};
use crate::ops::Owner;
use crate::platform::{Call, Outcome};
use crate::time::{Instant, Span};

/// How many times the timeout of a call may pass before its answer counts as lost.
const TIMEOUTS: u64 = 3;

/// What a call is for.
#[derive(Clone, Debug)]
pub(crate) enum What {
    /// Get a lease for this VM.
    Grant,
    /// Renew the lease.
    Renew,
    /// End the lease and give all domains up.
    Revoke,
    /// Read who holds a domain.
    Look(Domain),
    /// Delete the lease key of a holder that is gone.
    Delete(Domain),
    /// Create the lease key.
    Create(Domain),
    /// Give one domain up under this number.
    Yield(Domain, Fence),
    /// Read the record of a domain held under this number.
    Read(Domain, Fence),
    /// Write it.
    Write(Domain, Fence, Record),
}

/// A call in progress.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    /// What it is for.
    what: What,
    /// When it was sent.
    sent: Instant,
}

/// Calls in progress.
pub(crate) type Table = BTreeMap<Op, Pending>;

/// Begins a call.
pub(crate) fn begin(node: &mut Node, what: What, call: Call, out: &mut Effects) {
    let op = node.ops.call(Owner::Domain, call, out);
    let sent = node.now;
    node.domains.calls.insert(op, Pending { what, sent });
}

/// A call came back.
pub(crate) fn ended(node: &mut Node, op: Op, outcome: &Outcome, out: &mut Effects) {
    let Some(Pending { what, sent }) = node.domains.calls.remove(&op) else {
        return;
    };
    match what {
        What::Grant => lease::granted(node, sent, outcome),
        What::Renew => lease::renewed(node, sent, outcome, out),
        What::Revoke => lease::revoked(node, outcome, out),
        What::Look(domain) => seat::looked(node, domain, outcome, out),
        What::Delete(domain) | What::Create(domain) => seat::changed(node, domain, outcome, out),
        What::Yield(domain, fence) => seat::yielded(node, domain, fence, outcome, out),
        What::Read(domain, fence) => record::was_read(node, domain, fence, outcome, out),
        What::Write(domain, fence, record) => {
            record::was_written(node, domain, fence, record, outcome, out);
        }
    }
}

/// Counts calls whose answer is long overdue as lost.
pub(crate) fn expire(node: &mut Node, out: &mut Effects) {
    let limit = Span::from_millis(node.settings.tuning.platform_timeout_ms).times(TIMEOUTS);
    let now = node.now;
    let overdue: Vec<Op> = node
        .domains
        .calls
        .iter()
        .filter(|(_, call)| now.since(call.sent) > limit)
        .map(|(op, _)| *op)
        .collect();
    for op in overdue {
        ended(node, op, &Outcome::Unknown, out);
    }
}
