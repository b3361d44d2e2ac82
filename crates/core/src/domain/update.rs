//! Updates to grantees: what each has not confirmed, what it is to release, loads, and when adapters are expected.

use std::collections::BTreeSet;

use super::holder::{self, Held};
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Domain, Server};
use crate::event::Report;
use crate::peer::{Expected, Granted, Load, Message, Update};
use crate::time::{Instant, Span};

/// Sends every grantee that is due an update.
pub(crate) fn flush(node: &mut Node, domain: Domain, out: &mut Effects) {
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if !held.active {
        return;
    }
    let mut due = Vec::new();
    for (number, peer) in &mut held.peers {
        if std::mem::take(&mut peer.due) {
            due.push(*number);
        }
    }
    for number in due {
        send(node, domain, number, out);
    }
}

/// Sends one grantee the update that it is due.
pub(crate) fn answer(node: &mut Node, domain: Domain, number: u32, out: &mut Effects) {
    let held = node.domains.held.get_mut(&domain);
    let peer = held.and_then(|held| held.peers.get_mut(&number));
    if peer.is_some_and(|peer| std::mem::take(&mut peer.due)) {
        send(node, domain, number, out);
    }
}

fn send(node: &mut Node, domain: Domain, number: u32, out: &mut Effects) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let Some(peer) = held.peers.get_mut(&number) else {
        return;
    };
    peer.seq += 1;
    peer.sent = now;
    let seq = peer.seq;
    for grant in peer.grants.values_mut() {
        grant.first.get_or_insert(seq);
    }
    let update = build(node, domain, number);
    let to = node
        .domains
        .held
        .get(&domain)
        .and_then(|held| holder::addressee(held, number));
    if let (Some(update), Some((vm, _))) = (update, to) {
        node.send(&vm, Message::Update(update), out);
    }
}

fn build(node: &mut Node, domain: Domain, number: u32) -> Option<Update> {
    let now = node.now;
    let pace = Span::from_millis(node.settings.tuning.poll_ms);
    let loads = loads(node, domain, number, pace);
    let catalog = &node.catalog;
    let held = node.domains.held.get(&domain)?;
    let peer = held.peers.get(&number)?;
    let grants = peer
        .grants
        .iter()
        // Also those that are revoked already: a grantee that keeps a place from an earlier holder learns only here
        // which number stands for it.
        .filter(|(_, row)| !row.confirmed)
        .map(|(grant, row)| Granted {
            grant: *grant,
            server: catalog.servers.get(row.place.0).name.clone(),
            adapter: catalog.adapters.get(row.place.1).name.clone(),
        })
        .collect();
    let revokes = peer
        .grants
        .iter()
        .filter(|(_, row)| row.revoked)
        .map(|(grant, _)| *grant)
        .collect();
    let expected = peer
        .wants
        .iter()
        .filter_map(|adapter| {
            Some(Expected {
                adapter: catalog.adapters.get(*adapter).name.clone(),
                wait: held.expected.get(adapter)?.since(now),
            })
        })
        .collect();
    Some(Update {
        domain: catalog.domains.get(domain).name.clone(),
        fence: held.fence,
        seq: peer.seq,
        nonce: peer.nonce,
        grants,
        revokes,
        loads,
        expected,
    })
}

/// The load of the servers that a grantee has grants on, not more often than they are polled.
fn loads(node: &mut Node, domain: Domain, number: u32, pace: Span) -> Vec<Load> {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return Vec::new();
    };
    let Some(peer) = held.peers.get_mut(&number) else {
        return Vec::new();
    };
    let fresh = peer
        .grants
        .values()
        .any(|grant| grant.first == Some(peer.seq));
    if now.since(peer.loads) < pace && !fresh {
        return Vec::new();
    }
    peer.loads = now;
    let servers: BTreeSet<Server> = peer.grants.values().map(|grant| grant.place.0).collect();
    let held = &*held;
    servers
        .into_iter()
        .filter_map(|server| {
            Some(Load {
                server: node.catalog.servers.get(server).name.clone(),
                report: aged(held, server, now)?,
            })
        })
        .collect()
}

fn aged(held: &Held, server: Server, now: Instant) -> Option<Report> {
    let host = held.hosts.get(&server)?;
    let report = host.report.clone()?;
    Some(Report {
        age: now.since(host.made),
        ..report
    })
}
