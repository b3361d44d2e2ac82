//! Adapters that can't become resident for now: an unload on engines that don't check fencing numbers must stand in the
//! domain's record first, and the record can't be written while the key-value service does not answer.

use super::{ask, place};
use crate::entity::{Adapter, Domain, Service};
use crate::time::Span;
use crate::traffic::Wish;
use crate::{Node, sync};

/// How far off an adapter is said to be whose slot can't be freed: longer than callers wait, as nobody knows how long an
/// outage lasts.
pub(super) const FAR: Span = Span::from_secs(60);

/// How long a holder's word that a slot can't be freed is believed: well under the time after which callers come back.
const FRESH: Span = Span::from_secs(1);

/// How long a holder may be silent until nothing is expected of it: some of the grantees' shortest retries.
const SILENT: Span = Span::from_secs(1);

/// When a caller that was refused for this may come back: an outage that is over is noticed within about this time.
pub(crate) const COME_BACK: Span = Span::from_secs(2);

/// Whether slots of a domain that this VM holds can't be freed and none is free.
pub(super) fn full(node: &Node, domain: Domain, service: Service) -> bool {
    if node.catalog.services.get(service).fenced {
        return false;
    }
    let Some(held) = node.domains.held.get(&domain) else {
        return false;
    };
    let now = node.now;
    let mut hosts = held.hosts.iter();
    away(node)
        && held.writer.stuck()
        && hosts.all(|(server, host)| {
            !place::usable(node, service, *server, host) || host.free() + host.freeing(now) == 0
        })
}

/// Whether an adapter that is resident nowhere can't be loaded for now, as far as this VM knows.
pub(crate) fn unloadable(node: &Node, adapter: Adapter, wish: Wish) -> bool {
    let service = node.catalog.adapters.get(adapter).service;
    let cold = node.domains.usable(adapter).is_empty();
    if !cold || node.catalog.services.get(service).fenced {
        return false;
    }
    let Some(domain) = ask::home(node, adapter, wish, false) else {
        return false;
    };
    let held = node.domains.held.contains_key(&domain);
    let told = node.domains.grants.unloadable.get(&adapter);
    (!held && away(node) && unheld(node, domain))
        || told.is_some_and(|at| node.now.since(*at) < FRESH)
}

/// Whether a holder says by a wait that an adapter's slot can't be freed.
pub(super) fn is_far(wait: Span) -> bool {
    wait.times(2) > FAR
}

fn away(node: &Node) -> bool {
    !sync::reachable(node) || node.claims.platform_lost()
}

/// Whether nobody answers for a domain that another VM is to hold.
fn unheld(node: &Node, domain: Domain) -> bool {
    let used = node.domains.used.get(&domain);
    used.is_some_and(|used| node.now.since(used.heard) > SILENT && used.answered < used.nonce)
}
