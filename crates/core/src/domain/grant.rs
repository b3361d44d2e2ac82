//! Grants on the holder's side: given, confirmed, revoked, released, and what asks say of them.

use std::collections::BTreeSet;

use super::holder::{self, Held, Out, Wanted};
use super::host::{Entry, Lent, Phase, Place};
use super::lease::Lease;
use super::record::Start;
use super::{checks_fences, record, seat, update};
use crate::Node;
use crate::catalog::Catalog;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain, Server};
use crate::id::{self, Grant, Incarnation};
use crate::peer::{Ask, Held as Kept, Message, NotHolder};
use crate::time::{Instant, Span};

/// A grantee, or a VM that is to become one, asks.
pub(crate) fn asked(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    ask: &Ask,
    out: &mut Effects,
) {
    let Some(domain) = node.catalog.domains.find(&ask.domain) else {
        return;
    };
    let fence = node.domains.held.get(&domain).map(|held| held.fence);
    match fence {
        None => {
            deny(node, domain, from, out);
            return;
        }
        // The sender knows of a newer holder than this one.
        Some(fence) if ask.fence > fence => {
            holder::drop_domain(node, domain, "newer_number_asked", out);
            seat::look_now(node, domain, out);
            return;
        }
        Some(_) => {}
    }
    let start = Start {
        vm: from.clone(),
        incarnation,
    };
    if fence == Some(ask.fence) {
        holder::acknowledged(node, domain, &start);
    }
    let Some(number) = take_in(node, domain, &start, ask) else {
        return;
    };
    estranged(node, domain, &start, out);
    offer_asked(node, domain, number, ask);
    if ask.full || !ask.wants.is_empty() || !ask.released.is_empty() {
        holder::pump(node, domain, out);
    } else {
        // Nothing that loads or evictions wait for: those stay on their own pace, and the asker gets its answer.
        update::answer(node, domain, number, out);
        record::flush(node, domain, out);
    }
}

fn deny(node: &mut Node, domain: Domain, from: &id::Vm, out: &mut Effects) {
    let me = node.settings.vm.clone();
    let notice = NotHolder {
        domain: node.catalog.domains.get(domain).name.clone(),
        holder: seat::hint(node, domain).filter(|holder| holder.vm != me),
    };
    node.send(from, Message::NotHolder(notice), out);
}

/// A start that was taken for gone and speaks is told that this VM knows nothing of its grants.
fn estranged(node: &mut Node, domain: Domain, start: &Start, out: &mut Effects) {
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    let peer = held.starts.get(start).and_then(|peer| held.peers.get(peer));
    if !peer.is_some_and(|peer| peer.estranged) {
        return;
    }
    let notice = NotHolder {
        domain: node.catalog.domains.get(domain).name.clone(),
        holder: seat::hint(node, domain),
    };
    node.send(&start.vm, Message::NotHolder(notice), out);
}

/// Writes what an ask says into the tables. Says whose it is, if it was news.
fn take_in(node: &mut Node, domain: Domain, start: &Start, ask: &Ask) -> Option<u32> {
    let now = node.now;
    let half_life = Span::from_millis(node.settings.tuning.demand_half_life_ms);
    let catalog = &node.catalog;
    let held = node.domains.held.get_mut(&domain)?;
    if !held.active {
        return None;
    }
    let number = held.peer(start, now);
    let peer = held.peers.get_mut(&number)?;
    if ask.nonce <= peer.nonce {
        return None;
    }
    let admit = !peer.recorded;
    peer.nonce = ask.nonce;
    peer.heard = now;
    peer.due = true;
    if admit {
        held.writer.touch();
    }
    take_wants(held, catalog, number, ask, now);
    take_uses(held, catalog, number, ask, now, half_life);
    if ask.fence == held.fence {
        take_grants(held, catalog, number, ask, now);
    }
    Some(number)
}

fn take_wants(held: &mut Held, catalog: &Catalog, number: u32, ask: &Ask, now: Instant) {
    clear_wants(held, number);
    let mut wants = Vec::with_capacity(ask.wants.len());
    for want in &ask.wants {
        let Some(adapter) = catalog.adapters.find(&want.adapter) else {
            continue;
        };
        let row = Wanted {
            peer: number,
            waiting: want.waiting,
            weight: want.weight,
            until: now + want.left,
        };
        held.waiting.entry(adapter).or_default().push(row);
        wants.push(adapter);
    }
    if let Some(peer) = held.peers.get_mut(&number) {
        peer.wants = wants;
    }
}

fn clear_wants(held: &mut Held, number: u32) {
    let Some(peer) = held.peers.get_mut(&number) else {
        return;
    };
    for adapter in std::mem::take(&mut peer.wants) {
        let Some(rows) = held.waiting.get_mut(&adapter) else {
            continue;
        };
        rows.retain(|row| row.peer != number);
        if rows.is_empty() {
            held.waiting.remove(&adapter);
            held.expected.remove(&adapter);
        }
    }
}

fn take_uses(
    held: &mut Held,
    catalog: &Catalog,
    number: u32,
    ask: &Ask,
    now: Instant,
    half_life: Span,
) {
    let Some(peer) = held.peers.get_mut(&number) else {
        return;
    };
    peer.uses.clear();
    for used in &ask.uses {
        let Some(adapter) = catalog.adapters.find(&used.adapter) else {
            continue;
        };
        peer.uses.insert(adapter, used.in_flight);
        held.demand.add(adapter, used.arrived, now, half_life);
    }
}

/// What an ask under this holder's number says of grants.
fn take_grants(held: &mut Held, catalog: &Catalog, number: u32, ask: &Ask, now: Instant) {
    let Some(peer) = held.peers.get_mut(&number) else {
        return;
    };
    peer.seen = peer.seen.max(ask.seen);
    let seen = peer.seen;
    for grant in peer.grants.values_mut() {
        grant.confirmed |= grant.first.is_some_and(|first| first <= seen);
    }
    for grant in &ask.released {
        end(held, number, *grant, now);
    }
    if ask.full {
        take_full(held, catalog, number, ask, now);
    }
}

/// A complete list of what a grantee holds. Grants that it has received and does not list are over. Those that it
/// may not have received yet stay; a grantee takes no number that it has dropped a second time.
fn take_full(held: &mut Held, catalog: &Catalog, number: u32, ask: &Ask, now: Instant) {
    let place = |kept: &Kept| -> Option<Place> {
        Some((
            catalog.servers.find(&kept.server)?,
            catalog.adapters.find(&kept.adapter)?,
        ))
    };
    let kept: BTreeSet<Place> = ask.held.iter().filter_map(place).collect();
    let Some(peer) = held.peers.get(&number) else {
        return;
    };
    let over: Vec<Grant> = peer
        .grants
        .iter()
        .filter(|(_, grant)| grant.confirmed && !kept.contains(&grant.place))
        .map(|(number, _)| *number)
        .collect();
    for grant in over {
        end(held, number, grant, now);
    }
    let cleared = held.unknown();
    if let Some(peer) = held.peers.get_mut(&number) {
        peer.full = true;
        peer.estranged = false;
    }
    if cleared && !held.unknown() {
        held.cleared = now;
    }
    for place in kept {
        adopt(held, number, place, now);
    }
}

/// Numbers a grant that a grantee keeps from an earlier holder.
fn adopt(held: &mut Held, number: u32, place: Place, now: Instant) {
    if lent_to(held, number, place) {
        return;
    }
    let Some(host) = held.hosts.get_mut(&place.0) else {
        return;
    };
    host.entries
        .entry(place.1)
        .or_insert_with(|| Entry::new(Phase::Absent, now));
    give(held, number, place);
}

fn lent_to(held: &Held, number: u32, place: Place) -> bool {
    held.entry(place)
        .is_some_and(|entry| entry.lent.iter().any(|lent| lent.peer == number))
}

fn give(held: &mut Held, number: u32, place: Place) {
    let grant = held.next_grant();
    let (Some(peer), Some(host)) = (held.peers.get_mut(&number), held.hosts.get_mut(&place.0))
    else {
        return;
    };
    let Some(entry) = host.entries.get_mut(&place.1) else {
        return;
    };
    entry.lent.push(Lent {
        peer: number,
        grant,
    });
    let row = Out {
        place,
        first: None,
        confirmed: false,
        revoked: false,
    };
    peer.grants.insert(grant, row);
    peer.due = true;
}

/// A grant is over: released, or its grantee is.
fn end(held: &mut Held, number: u32, grant: Grant, now: Instant) {
    let Some(row) = held
        .peers
        .get_mut(&number)
        .and_then(|peer| peer.grants.remove(&grant))
    else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&row.place.0) else {
        return;
    };
    let Some(entry) = host.entries.get_mut(&row.place.1) else {
        return;
    };
    entry
        .lent
        .retain(|lent| lent.peer != number || lent.grant != grant);
    entry.released = now;
    if !row.revoked && entry.phase == Phase::Resident {
        // Given back without having been asked for: the server may no longer have the adapter.
        entry.doubt = Some(now);
        host.poll.next = now;
    }
    if entry.lent.is_empty() && entry.phase == Phase::Absent {
        host.entries.remove(&row.place.1);
    }
}

/// Ends all that a start held, after it is certainly over.
pub(crate) fn forget_peer(held: &mut Held, number: u32, now: Instant) {
    clear_wants(held, number);
    let grants: Vec<Grant> = held
        .peers
        .get(&number)
        .map(|peer| peer.grants.keys().copied().collect())
        .unwrap_or_default();
    for grant in grants {
        end(held, number, grant, now);
    }
    let unknown = held.unknown();
    if let Some(peer) = held.peers.remove(&number) {
        held.starts.remove(&peer.start);
        held.forgotten.insert(peer.start, (peer.seq, peer.nonce));
    }
    if unknown && !held.unknown() {
        held.cleared = now;
    }
    held.writer.touch();
}

/// Revokes every grant on a place.
pub(crate) fn revoke(held: &mut Held, place: Place) {
    let lent = held.entry(place).map(|entry| entry.lent.clone());
    for Lent { peer, grant } in lent.unwrap_or_default() {
        let Some(peer) = held.peers.get_mut(&peer) else {
            continue;
        };
        if let Some(row) = peer.grants.get_mut(&grant) {
            peer.due |= !row.revoked;
            row.revoked = true;
        }
    }
}

/// Whether a place may be granted to anyone right now.
fn open(held: &Held, catalog: &Catalog, lease: &Lease, place: Place, now: Instant) -> bool {
    let (Some(host), Some(entry)) = (held.hosts.get(&place.0), held.entry(place)) else {
        return false;
    };
    let row = catalog.servers.get(place.0);
    held.active
        && entry.phase == Phase::Resident
        && entry.doubt.is_none()
        && lease.vouches(now, entry.since, checks_fences(catalog, place.0))
        && !host.lost
        && row.listed
        && !row.leaving
        && (host.fenced || !checks_fences(catalog, place.0))
        && !held.blocked(place, now)
}

/// Grants a resident adapter to all who want or use it.
pub(crate) fn offer(held: &mut Held, catalog: &Catalog, lease: &Lease, place: Place, now: Instant) {
    if !open(held, catalog, lease, place, now) {
        return;
    }
    let peers: Vec<u32> = held
        .peers
        .iter()
        .filter(|(_, peer)| eligible(peer, place.1))
        .map(|(number, _)| *number)
        .collect();
    for number in peers {
        offer_to(held, number, place);
    }
}

/// Grants a place that is open to one grantee, if it may have grants, wants it and has it not.
fn offer_to(held: &mut Held, number: u32, place: Place) {
    let eligible = held
        .peers
        .get(&number)
        .is_some_and(|peer| eligible(peer, place.1));
    if eligible && !lent_to(held, number, place) {
        give(held, number, place);
    }
}

/// Whether a grantee may be granted an adapter, and wants it.
fn eligible(peer: &holder::Peer, adapter: Adapter) -> bool {
    peer.recorded && peer.full && wants(peer, adapter)
}

fn wants(peer: &holder::Peer, adapter: Adapter) -> bool {
    peer.wants.contains(&adapter) || peer.uses.contains_key(&adapter)
}

/// Servers on which an adapter is resident and may be granted.
pub(crate) fn residences(held: &Held, adapter: Adapter, now: Instant) -> Vec<Server> {
    held.hosts
        .iter()
        .filter(|(server, host)| {
            let entry = host.entries.get(&adapter);
            entry.is_some_and(|entry| entry.phase == Phase::Resident)
                && !held.blocked((**server, adapter), now)
        })
        .map(|(server, _)| *server)
        .collect()
}

/// Grants what an ask wants or uses to its sender, as far as it is resident. Others ask for themselves, so that the
/// work does not grow with the number of grantees.
fn offer_asked(node: &mut Node, domain: Domain, number: u32, ask: &Ask) {
    let now = node.now;
    let catalog = &node.catalog;
    let lease = &node.domains.lease;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let wants = ask.wants.iter().map(|want| &want.adapter);
    let uses = ask.uses.iter().map(|used| &used.adapter);
    for name in wants.chain(uses) {
        let Some(adapter) = catalog.adapters.find(name) else {
            continue;
        };
        for server in residences(held, adapter, now) {
            let place = (server, adapter);
            if open(held, catalog, lease, place, now) {
                offer_to(held, number, place);
            }
        }
    }
}

/// Grants everything that is resident to those who want or use it.
pub(crate) fn offer_all(node: &mut Node, domain: Domain) {
    let now = node.now;
    let catalog = &node.catalog;
    let lease = &node.domains.lease;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let places: Vec<Place> = held
        .hosts
        .iter()
        .flat_map(|(server, host)| host.entries.keys().map(|adapter| (*server, *adapter)))
        .collect();
    for place in places {
        offer(held, catalog, lease, place, now);
    }
}

/// Grants what is resident on one server to those who want or use it.
pub(crate) fn offer_server(
    held: &mut Held,
    catalog: &Catalog,
    lease: &Lease,
    server: Server,
    now: Instant,
) {
    let adapters: Vec<Adapter> = held
        .hosts
        .get(&server)
        .map(|host| host.entries.keys().copied().collect())
        .unwrap_or_default();
    for adapter in adapters {
        offer(held, catalog, lease, (server, adapter), now);
    }
}

/// Revokes everything on one server.
pub(crate) fn revoke_server(held: &mut Held, server: Server) {
    let adapters: Vec<Adapter> = held
        .hosts
        .get(&server)
        .map(|host| host.entries.keys().copied().collect())
        .unwrap_or_default();
    for adapter in adapters {
        revoke(held, (server, adapter));
    }
}

/// Revokes what is granted on servers that are leaving or no longer configured.
pub(crate) fn withdraw(node: &mut Node, domain: Domain) {
    let catalog = &node.catalog;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let leaving: Vec<Server> = held
        .hosts
        .keys()
        .copied()
        .filter(|server| {
            let row = catalog.servers.get(*server);
            row.leaving || !row.listed
        })
        .collect();
    for server in leaving {
        revoke_server(held, server);
    }
}
