//! Evictions: an adapter is unloaded only when all its grants are released, every grantee of earlier holders is
//! heard or gone, a report made after that shows nothing in flight, and, on servers that do not check fencing
//! numbers, the record names the unload.

use super::holder::{self, Held};
use super::host::{Phase, Place};
use super::order::{self, Kind, Row};
use super::{checks_fences, grant, report};
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Domain};
use crate::event::{Ordered, Reason};
use crate::id::Order;
use crate::log::{Code, Record};
use crate::time::{Instant, Span};

/// How long an eviction may take before it is logged as slow.
const SLOW: Span = Span::from_secs(10);

/// Begins to collect the grants of a place.
pub(crate) fn begin(node: &mut Node, domain: Domain, place: Place, out: &mut Effects) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let Some(entry) = held.entry_mut(place) else {
        return;
    };
    entry.enter(Phase::Evicting, now);
    held.evicting.insert(place);
    held.writer.touch();
    grant::revoke(held, place);
    if let Some(host) = held.hosts.get_mut(&place.0) {
        report::hasten(host, now);
    }
    let (server, adapter) = place;
    out.push(Effect::Log(Record::new(
        Code::RevokeBegun,
        format!(
            "adapter={} server={}",
            node.catalog.adapters.get(adapter).name,
            node.catalog.servers.get(server).name
        ),
    )));
}

/// Takes each eviction as far as it can go now.
pub(crate) fn advance(node: &mut Node, domain: Domain, out: &mut Effects) {
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    if held.evicting.is_empty() {
        return;
    }
    let places: Vec<Place> = held.evicting.iter().copied().collect();
    for place in places {
        step(node, domain, place, out);
    }
}

fn step(node: &mut Node, domain: Domain, place: Place, out: &mut Effects) {
    let now = node.now;
    let slow = slow(node, domain, place);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if slow && !held.plan.slow.contains(&place) {
        held.plan.slow.insert(place);
        out.push(Effect::Log(Record::new(
            Code::RevokeSlow,
            format!(
                "adapter={} server={}",
                node.catalog.adapters.get(place.1).name,
                node.catalog.servers.get(place.0).name
            ),
        )));
    }
    if held
        .entry(place)
        .is_none_or(|entry| entry.phase != Phase::Evicting)
    {
        return;
    }
    // Where the unload must stand in the record before it is sent and the record can't be written, the eviction would
    // not end before the key-value service is back, and nobody would serve what is resident until then.
    let unnamed = !checks_fences(&node.catalog, place.0) && !held.intended(&node.catalog, place);
    let stopped = unnamed && held.writer.stuck();
    if stopped || wanted_back(held, place, now) {
        cancel(node, domain, place);
        return;
    }
    if !holder::collected(held, place) {
        return;
    }
    if !report::proves_idle(held, &node.catalog, place) {
        if let Some(host) = held.hosts.get_mut(&place.0) {
            report::hasten(host, now);
        }
        return;
    }
    let named = checks_fences(&node.catalog, place.0) || held.intended(&node.catalog, place);
    if named {
        unload(node, domain, place, out);
    }
}

fn slow(node: &Node, domain: Domain, place: Place) -> bool {
    node.domains
        .held
        .get(&domain)
        .and_then(|held| held.entry(place))
        .is_some_and(|entry| node.now.since(entry.since) >= SLOW)
}

/// Whether requests wait for an adapter whose last copy is being collected, so that it is better kept.
fn wanted_back(held: &Held, place: Place, now: Instant) -> bool {
    held.waiting.contains_key(&place.1)
        && !held.blocked(place, now)
        && grant::residences(held, place.1, now).is_empty()
}

/// Keeps every adapter whose unload was not ordered yet.
pub(crate) fn cancel_all(node: &mut Node, domain: Domain) {
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    let open = |place: &Place| {
        held.entry(*place)
            .is_some_and(|entry| entry.phase == Phase::Evicting)
    };
    let places: Vec<Place> = held.evicting.iter().copied().filter(open).collect();
    for place in places {
        cancel(node, domain, place);
    }
}

fn cancel(node: &mut Node, domain: Domain, place: Place) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    held.evicting.remove(&place);
    held.writer.touch();
    if let Some(entry) = held.entry_mut(place) {
        entry.enter(Phase::Resident, now);
    }
    grant::offer(held, &node.catalog, &node.domains.lease, place, now);
}

/// Orders the unload. From here on until its outcome is known, and some time more where it stays unknown, the
/// place is neither loaded nor granted.
fn unload(node: &mut Node, domain: Domain, place: Place, out: &mut Effects) {
    let (server, adapter) = place;
    let Some(order) = order::send(node, domain, server, Kind::Unload(adapter), out) else {
        return;
    };
    let now = node.now;
    let Some(host) = node.domains.host(domain, server) else {
        return;
    };
    host.blocked.insert(adapter, Instant::NEVER);
    if let Some(entry) = host.entries.get_mut(&adapter) {
        entry.enter(Phase::Unloading(order), now);
    }
}

/// An unload came back.
pub(crate) fn unloaded(
    node: &mut Node,
    row: Row,
    order: Order,
    adapter: Adapter,
    outcome: Ordered,
) {
    let now = node.now;
    let settle = holder::settle(node);
    let place = (row.server, adapter);
    let Some(held) = node.domains.held.get_mut(&row.domain) else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&row.server) else {
        return;
    };
    match outcome {
        Ordered::Unknown => {
            host.blocked.insert(adapter, now + settle);
        }
        _ => {
            host.blocked.remove(&adapter);
        }
    }
    host.poll.next = now;
    let current = host
        .entries
        .get_mut(&adapter)
        .filter(|entry| entry.phase == Phase::Unloading(order));
    let Some(entry) = current else {
        return;
    };
    match outcome {
        Ordered::Done | Ordered::Refused(Reason::NotLoaded) => {
            let took = now.since(row.sent);
            report::vanish(held, place, now);
            held.plan.freed(took);
        }
        // In use by work that no grantee knows of, or not reached: a report made after this decides.
        Ordered::Refused(_) | Ordered::NotSent | Ordered::Unknown => {
            entry.enter(Phase::Evicting, now);
        }
    }
}
