//! Load reports: fetched by a domain's holder, one at a time from each server.

use super::grant;
use super::holder::{self, Held};
use super::host::{Entry, Host, Phase, Place};
use crate::Node;
use crate::catalog::{AdapterRow, Catalog};
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Domain, Server};
use crate::event::Report;
use crate::id;
use crate::log::{Code, Record};
use crate::time::{Instant, Span};

/// The shortest time between two polls while an eviction waits for a fresh report.
const EAGER: Span = Span::from_millis(25);

/// Asks servers for the reports that are due.
pub(crate) fn poll(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let tuning = &node.settings.tuning;
    let pace = Span::from_millis(tuning.poll_ms);
    let patience = Span::from_millis(tuning.order_timeout_ms);
    let retry = Span::from_millis(tuning.server_lost_ms);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    for (server, host) in &mut held.hosts {
        let row = node.catalog.servers.get(*server);
        let due = match host.poll.sent {
            None => now >= host.poll.next,
            Some(sent) => now >= host.poll.next + retry && now.since(sent) < patience,
        };
        let overdue = host
            .poll
            .sent
            .is_some_and(|sent| now.since(sent) >= patience);
        if !row.listed || !(due || overdue) {
            continue;
        }
        // An answer that comes now may be that of the oldest poll. Only after a long time is that given up.
        if host.poll.sent.is_none() || overdue {
            host.poll.sent = Some(now);
            host.poll.pending = 0;
        }
        host.poll.pending += 1;
        host.poll.next = now + pace;
        out.push(Effect::Poll {
            server: row.name.clone(),
            address: row.address.as_ref().to_owned(),
        });
    }
}

/// Asks for a report soon, for an eviction that needs one made after the present time.
pub(crate) fn hasten(host: &mut Host, now: Instant) {
    host.poll.next = host.poll.next.min(now + EAGER);
}

/// A server reported, or did not answer.
pub(crate) fn reported(
    node: &mut Node,
    name: &id::Server,
    report: Option<Report>,
    out: &mut Effects,
) {
    let Some(server) = node.catalog.servers.find(name) else {
        return;
    };
    let Some(domain) = node.catalog.servers.get(server).domain else {
        return;
    };
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&server) else {
        return;
    };
    let sent = host.poll.answered();
    match (sent, report) {
        (Some(sent), Some(report)) => {
            let made = sent.back(report.age);
            take_in(node, domain, server, made, report, out);
        }
        (_, None) => silent(node, domain, server, out),
        (None, Some(_)) => return,
    }
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    grant::offer_server(held, &node.catalog, &node.domains.lease, server, now);
    holder::pump(node, domain, out);
}

/// A server did not answer. Where most of a domain's servers are silent at once, the fault is more likely with
/// this VM, and nothing is taken from anyone.
pub(crate) fn silent(node: &mut Node, domain: Domain, server: Server, out: &mut Effects) {
    let now = node.now;
    let limit = Span::from_millis(node.settings.tuning.server_lost_ms);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&server) else {
        return;
    };
    if host.lost || now.since(host.heard) < limit {
        return;
    }
    host.lost = true;
    let name = &node.catalog.servers.get(server).name;
    out.push(Effect::Log(Record::new(
        Code::ServerLost,
        format!("server={name}"),
    )));
    let lost = held.hosts.values().filter(|host| host.lost).count();
    if lost * 2 <= held.hosts.len() || held.hosts.len() <= 2 {
        grant::revoke_server(held, server);
    }
}

fn take_in(
    node: &mut Node,
    domain: Domain,
    server: Server,
    made: Instant,
    mut report: Report,
    out: &mut Effects,
) {
    let now = node.now;
    let residents = residents(node, server, &report);
    let boot = report.boot;
    report.residents.clear();
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&server) else {
        return;
    };
    host.heard = now;
    host.lost = false;
    if made < host.made {
        return;
    }
    let restarted = host.boot.is_some_and(|before| before != boot);
    let first = host.boot.is_none();
    host.made = made;
    host.boot = Some(boot);
    if first {
        let name = &node.catalog.servers.get(server).name;
        host.clean = held.writer.committed.boots.get(name) == Some(&boot);
    }
    host.report = Some(report);
    if restarted {
        let name = &node.catalog.servers.get(server).name;
        out.push(Effect::Log(Record::new(
            Code::ServerRestarted,
            format!("server={name}"),
        )));
        restart(held, server, now);
    }
    for (adapter, in_flight) in &residents {
        present(held, (server, *adapter), *in_flight, made, now);
    }
    absent(held, server, &residents, made, now);
    super::order::shown(node, domain, server);
}

/// The adapters that a report lists. One that the configuration never named gets a row, so that it can be unloaded.
fn residents(node: &mut Node, server: Server, report: &Report) -> Vec<(Adapter, u32)> {
    let service = node.catalog.servers.get(server).service;
    let row = |name: &id::Adapter| AdapterRow {
        name: name.clone(),
        service,
        listed: false,
    };
    report
        .residents
        .iter()
        .map(|resident| {
            let name = &resident.adapter;
            let adapters = &mut node.catalog.adapters;
            let adapter = adapters.intern(name.clone(), || row(name));
            (adapter, resident.in_flight)
        })
        .collect()
}

/// A server has started anew: nothing of before is resident. Grants there stay on the books until their grantees
/// have released them, because a grantee that has not heard of it may still send work for the same adapter.
fn restart(held: &mut Held, server: Server, now: Instant) {
    grant::revoke_server(held, server);
    let Some(host) = held.hosts.get_mut(&server) else {
        return;
    };
    host.fenced = false;
    host.clean = false;
    host.fencing = None;
    host.unloaded.clear();
    host.rest = now;
    for entry in host.entries.values_mut() {
        entry.enter(Phase::Absent, now);
        entry.in_flight = 0;
        entry.doubt = None;
    }
    host.entries.retain(|_, entry| !entry.lent.is_empty());
    held.evicting.retain(|(at, _)| *at != server);
    held.writer.touch();
}

/// A report lists an adapter.
fn present(held: &mut Held, place: Place, in_flight: u32, made: Instant, now: Instant) {
    let Some(host) = held.hosts.get_mut(&place.0) else {
        return;
    };
    let old = host
        .unloaded
        .get(&place.1)
        .is_some_and(|unloaded| made <= *unloaded);
    if old {
        return;
    }
    let entry = host
        .entries
        .entry(place.1)
        .or_insert_with(|| Entry::new(Phase::Absent, made));
    entry.in_flight = in_flight;
    if entry.doubt.is_some_and(|since| made >= since) {
        entry.doubt = None;
    }
    match entry.phase {
        Phase::Absent if made >= entry.since => entry.enter(Phase::Resident, now),
        Phase::Loading(_) => {
            entry.enter(Phase::Resident, now);
            entry.loaded = now;
        }
        _ => {}
    }
}

/// Adapters that a report made late enough does not list are not resident.
fn absent(
    held: &mut Held,
    server: Server,
    residents: &[(Adapter, u32)],
    made: Instant,
    now: Instant,
) {
    let listed = |adapter: Adapter| residents.iter().any(|(resident, _)| *resident == adapter);
    let Some(host) = held.hosts.get_mut(&server) else {
        return;
    };
    let missing: Vec<Adapter> = host
        .entries
        .iter()
        .filter(|(adapter, entry)| !listed(**adapter) && made >= entry.since)
        .filter(|(_, entry)| !matches!(entry.phase, Phase::Loading(_)))
        .map(|(adapter, _)| *adapter)
        .collect();
    for adapter in missing {
        vanish(held, (server, adapter), now);
    }
}

/// An adapter is not resident any more: what is granted on it is collected.
pub(crate) fn vanish(held: &mut Held, place: Place, now: Instant) {
    grant::revoke(held, place);
    if held.evicting.remove(&place) {
        held.writer.touch();
    }
    let Some(host) = held.hosts.get_mut(&place.0) else {
        return;
    };
    host.unloaded.insert(place.1, now);
    let Some(entry) = host.entries.get_mut(&place.1) else {
        return;
    };
    match entry.lent.is_empty() {
        true => {
            host.entries.remove(&place.1);
        }
        false if entry.phase != Phase::Absent => {
            entry.enter(Phase::Absent, now);
            entry.in_flight = 0;
        }
        false => {}
    }
}

/// Whether the last report is late enough to prove that nothing runs on a place that is to be unloaded.
pub(crate) fn proves_idle(held: &Held, _: &Catalog, place: Place) -> bool {
    let (Some(host), Some(entry)) = (held.hosts.get(&place.0), held.entry(place)) else {
        return false;
    };
    let needed = entry.released.max(held.cleared).max(entry.since);
    !host.lost && entry.in_flight == 0 && host.made >= needed
}
