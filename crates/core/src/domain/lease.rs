//! The one lease of this VM, under which it holds its domains. It is renewed per VM, not per domain, and only while
//! a domain is held or wanted. Its end is counted on this VM's clock from when the last successful renewal was
//! *sent*, so it never seems longer here than it is on the platform.

use super::backoff::Backoff;
use super::call::{self, What};
use super::{holder, seat};
use crate::Node;
use crate::effect::Effects;
use crate::entity::Domain;
use crate::id;
use crate::log::{Code, Record};
use crate::platform::{Call, Outcome};
use crate::time::{Instant, Span};

/// The lease of this VM.
#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(crate) struct Lease {
    /// Its number, while it is not known to be over.
    pub(crate) id: Option<id::Lease>,
    /// When it ends at the earliest, by this VM's clock.
    until: Instant,
    /// When it is to be renewed.
    renew: Instant,
    /// Whether a call for it is in progress.
    busy: bool,
    /// Whether a domain waits for a lease.
    wanted: bool,
    /// Whether this VM was not run for a while since the last renewal.
    doubtful: bool,
    /// Whether its lapse was logged.
    lapsed: bool,
    /// Delays after failures.
    backoff: Backoff,
}

impl Lease {
    /// Whether the lease certainly still holds, with the guard time to spare.
    pub(crate) fn valid(&self, now: Instant, guard: Span) -> bool {
        self.id.is_some() && now + guard < self.until
    }

    /// Whether what is resident since some time may be granted. A holder whose lease may be over grants on only
    /// what was resident while it certainly held; on servers that check fencing numbers also what it has loaded
    /// since, unless it was not run for a while, in which a newer holder may have loaded the same there.
    pub(crate) fn vouches(&self, now: Instant, since: Instant, fenced: bool) -> bool {
        now < self.until || since < self.until || (fenced && !self.doubtful)
    }

    /// This VM was not run for a while.
    pub(crate) fn paused(&mut self) {
        self.doubtful = true;
    }
}

/// Whether this VM's lease holds right now.
pub(crate) fn valid(node: &Node) -> bool {
    let guard = Span::from_millis(node.settings.tuning.lease_guard_ms);
    node.domains.lease.valid(node.now, guard)
}

/// A domain is wanted: gets a lease if there is none.
pub(crate) fn want(node: &mut Node) {
    node.domains.lease.wanted = true;
}

/// Renews the lease, or gets one, where that is due.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let ttl = Span::from_millis(node.settings.tuning.lease_ttl_ms);
    let held = !node.domains.held.is_empty();
    let valid = valid(node);
    let lease = &mut node.domains.lease;
    if held && !valid && !lease.lapsed {
        lease.lapsed = true;
        out.push(crate::effect::Effect::Log(Record::new(
            Code::LeaseLost,
            "cause=lapsed",
        )));
    }
    if !held && now >= lease.until {
        lease.id = None;
    }
    if lease.busy || !lease.backoff.ready(now) || node.domains.closing.is_some() {
        return;
    }
    match lease.id {
        Some(number) if held && now >= lease.renew => {
            lease.busy = true;
            call::begin(node, What::Renew, Call::LeaseRenew { lease: number }, out);
        }
        None if lease.wanted => {
            lease.busy = true;
            call::begin(node, What::Grant, Call::LeaseGrant { ttl }, out);
        }
        _ => {}
    }
}

/// A lease was asked for. Where the answer was lost, the lease that may be there lapses by itself.
pub(crate) fn granted(node: &mut Node, sent: Instant, outcome: &Outcome) {
    node.domains.lease.busy = false;
    match outcome {
        Outcome::Done(reply) if reply.lease.is_some() => {
            node.domains.lease.id = reply.lease;
            node.domains.lease.wanted = false;
            extend(node, sent);
        }
        _ => fail(node),
    }
}

/// The lease was renewed, or is over, or nobody knows.
pub(crate) fn renewed(node: &mut Node, sent: Instant, outcome: &Outcome, out: &mut Effects) {
    node.domains.lease.busy = false;
    match outcome {
        Outcome::Done(_) => extend(node, sent),
        Outcome::Conflict => over(node, out),
        Outcome::NotSent | Outcome::Unknown => fail(node),
    }
}

/// The lease was ended by this VM.
pub(crate) fn revoked(node: &mut Node, outcome: &Outcome, out: &mut Effects) {
    node.domains.lease.busy = false;
    match outcome {
        Outcome::Done(_) | Outcome::Conflict => over(node, out),
        Outcome::NotSent | Outcome::Unknown => fail(node),
    }
}

/// Ends the lease and with it all that is held, in one call.
pub(crate) fn revoke(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let lease = &mut node.domains.lease;
    let Some(number) = lease.id else {
        over(node, out);
        return;
    };
    if now >= lease.until {
        over(node, out);
        return;
    }
    if lease.busy || !lease.backoff.ready(now) {
        return;
    }
    lease.busy = true;
    call::begin(node, What::Revoke, Call::LeaseRevoke { lease: number }, out);
}

/// The lease is over: every domain that was held under it is given up.
fn over(node: &mut Node, out: &mut Effects) {
    node.domains.lease.id = None;
    node.domains.lease.until = Instant::default();
    let held: Vec<Domain> = node.domains.held.keys().copied().collect();
    for domain in held {
        holder::drop_domain(node, domain, "lease_over", out);
        seat::vacated(node, domain, out);
    }
}

fn extend(node: &mut Node, sent: Instant) {
    let tuning = &node.settings.tuning;
    let lease = &mut node.domains.lease;
    lease.until = sent + Span::from_millis(tuning.lease_ttl_ms);
    lease.renew = sent + Span::from_millis(tuning.lease_renew_ms);
    lease.lapsed = false;
    lease.doubtful = false;
    lease.backoff.clear();
}

fn fail(node: &mut Node) {
    let tuning = &node.settings.tuning;
    let (first, limit) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    node.domains.lease.backoff.fail(node.now, first, limit);
}
