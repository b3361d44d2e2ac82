//! What operators see of control domains, and the check of their tables.

use std::collections::BTreeSet;

use super::holder::Held;
use super::host::{Host, Phase, Place};
use crate::Node;
use crate::entity::{Domain, Server};
use crate::id::Fence;
use crate::operator::{DomainStatus, ServerStatus};

/// The domains and servers that this VM knows of.
pub(crate) fn status(node: &Node) -> (Vec<DomainStatus>, Vec<ServerStatus>) {
    let domains = node
        .domains
        .seats
        .iter()
        .map(|(domain, seat)| DomainStatus {
            domain: node.catalog.domains.get(*domain).name.clone(),
            holder: seat.holder.as_ref().map(|known| known.vm.clone()),
            fence: seat.holder.as_ref().map_or(Fence(0), |known| known.fence),
        })
        .collect();
    let servers = node
        .catalog
        .servers
        .iter()
        .filter(|(_, row)| row.listed)
        .filter_map(|(server, _)| server_status(node, server))
        .collect();
    (domains, servers)
}

fn server_status(node: &Node, server: Server) -> Option<ServerStatus> {
    let row = node.catalog.servers.get(server);
    let host = row
        .domain
        .and_then(|domain| node.domains.held.get(&domain))
        .and_then(|held| held.hosts.get(&server));
    let report = host
        .and_then(|host| host.report.as_ref())
        .or_else(|| node.domains.load(server));
    let state = match (host, report) {
        _ if row.leaving => "leaving",
        (Some(host), _) if host.lost => "lost",
        (_, Some(report)) if report.ready => "ready",
        (Some(_), _) | (_, Some(_)) => "starting",
        (None, None) => return None,
    };
    let residents = match host {
        Some(host) => host
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry.phase, Phase::Resident | Phase::Evicting))
            .map(|(adapter, _)| node.catalog.adapters.get(*adapter).name.clone())
            .collect(),
        None => granted(node, server),
    };
    Some(ServerStatus {
        server: row.name.clone(),
        state: state.to_owned(),
        residents,
        running: report.map_or(0, |report| report.running),
        waiting: report.map_or(0, |report| report.waiting),
    })
}

fn granted(node: &Node, server: Server) -> Vec<crate::id::Adapter> {
    let mut adapters: Vec<_> = node
        .domains
        .grants
        .rows
        .keys()
        .filter(|(at, _)| *at == server)
        .map(|(_, adapter)| node.catalog.adapters.get(*adapter).name.clone())
        .collect();
    adapters.sort();
    adapters
}

/// Adds what is broken in the tables of control domains.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    verify_grants(node, broken);
    for (domain, held) in &node.domains.held {
        verify_held(node, *domain, held, broken);
    }
}

fn verify_grants(node: &Node, broken: &mut Vec<String>) {
    let grants = &node.domains.grants;
    for (place, row) in &grants.rows {
        let server = node.catalog.servers.get(place.0);
        let usable = grants.usable[place.1].contains(&place.0);
        let ought = !row.revoked && server.listed && !server.leaving;
        if usable != ought {
            broken.push(format!("{place:?}: usable is {usable}, grant {row:?}"));
        }
        if row.revoked && row.in_flight == 0 && !grants.lingering.contains(place) {
            broken.push(format!("{place:?}: revoked, idle and not released"));
        }
        let listed = node
            .domains
            .used
            .get(&row.domain)
            .is_some_and(|used| used.places.contains(place));
        if !listed {
            broken.push(format!("{place:?}: a grant that its domain does not list"));
        }
    }
    for (domain, used) in &node.domains.used {
        for place in used
            .places
            .iter()
            .filter(|place| !grants.rows.contains_key(place))
        {
            broken.push(format!("{domain}: lists {place:?}, which has no grant"));
        }
    }
}

fn verify_held(node: &Node, domain: Domain, held: &Held, broken: &mut Vec<String>) {
    let evicting: BTreeSet<Place> = held
        .hosts
        .iter()
        .flat_map(|(server, host)| host.entries.iter().map(move |(a, e)| (*server, *a, e)))
        .filter(|(_, _, entry)| matches!(entry.phase, Phase::Evicting | Phase::Unloading(_)))
        .map(|(server, adapter, _)| (server, adapter))
        .collect();
    if evicting != held.evicting {
        broken.push(format!(
            "{domain}: evicting is {:?}, entries say {evicting:?}",
            held.evicting
        ));
    }
    for (server, host) in &held.hosts {
        verify_host(node, held, *server, host, broken);
    }
    for (number, peer) in &held.peers {
        for (grant, row) in &peer.grants {
            let lent = held.entry(row.place).is_some_and(|entry| {
                entry
                    .lent
                    .iter()
                    .any(|lent| lent.peer == *number && lent.grant == *grant)
            });
            if !lent {
                broken.push(format!(
                    "{domain}: {grant} of {:?} has no entry",
                    peer.start
                ));
            }
        }
        if !peer.recorded && !peer.inherited && !peer.grants.is_empty() && !peer.full {
            broken.push(format!("{domain}: {:?} has grants unrecorded", peer.start));
        }
    }
}

fn verify_host(node: &Node, held: &Held, server: Server, host: &Host, broken: &mut Vec<String>) {
    for (adapter, entry) in &host.entries {
        let name = &node.catalog.adapters.get(*adapter).name;
        match entry.phase {
            Phase::Unloading(order) => {
                if !entry.lent.is_empty() {
                    broken.push(format!("{server}: {name} is unloaded while granted"));
                }
                if !node.domains.orders.contains_key(&order) {
                    broken.push(format!("{server}: {name} waits for no order"));
                }
                if !host.blocked.contains_key(adapter) {
                    broken.push(format!("{server}: {name} is unloaded and not blocked"));
                }
            }
            Phase::Absent if entry.lent.is_empty() && entry.since > host.made => {}
            Phase::Absent if entry.lent.is_empty() => {
                broken.push(format!("{server}: {name} is absent and not forgotten"));
            }
            _ => {}
        }
        for lent in &entry.lent {
            let known = held
                .peers
                .get(&lent.peer)
                .is_some_and(|peer| peer.grants.contains_key(&lent.grant));
            if !known {
                broken.push(format!("{server}: {name} is lent to nobody: {lent:?}"));
            }
        }
    }
}
