//! The choice among the servers that may take a request.

use super::table::RequestRow;
use crate::Node;
use crate::entity::Server;
use crate::event::Report;
use crate::time::Span;

/// What became of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// This server, among so many that may take the request.
    Server(Server, usize),
    /// All servers that may take it are full.
    Full,
    /// No server may take it.
    Nobody,
}

/// Chooses a server for a request.
pub(crate) fn choose(node: &Node, row: &RequestRow) -> Choice {
    let servers = match row.adapter {
        Some(adapter) => node.domains.usable(adapter),
        None => &node.catalog.services.get(row.service).servers,
    };
    let allowed = servers
        .iter()
        .copied()
        .filter(|server| allows(node, row, *server));
    let among = allowed.clone().count();
    let room = |server: &Server| row.adapter.is_none() || has_room(node, *server);
    let best = allowed
        .filter(room)
        .min_by_key(|server| cost(node, row, *server));
    match best {
        Some(server) => Choice::Server(server, among),
        None if among > 0 => Choice::Full,
        None => Choice::Nobody,
    }
}

/// Whether no server of the service may ever take a request, whatever is loaded.
pub(crate) fn hopeless(node: &Node, row: &RequestRow) -> bool {
    let servers = &node.catalog.services.get(row.service).servers;
    !servers.iter().any(|server| allows(node, row, *server))
}

fn allows(node: &Node, row: &RequestRow, server: Server) -> bool {
    let rule = &row.decision;
    let place = node.catalog.servers.get(server);
    place.listed
        && !place.leaving
        && rule.require.is_none_or(|zone| zone == place.zone)
        && (rule.pin.is_empty() || rule.pin.contains(&server))
        && !rule.avoid.contains(&server)
        && !row.failed_on.contains(&server)
}

fn has_room(node: &Node, server: Server) -> bool {
    const SLACK: u32 = 2;
    let batch = node
        .domains
        .load(server)
        .map_or(u32::MAX, |report| report.batch);
    node.traffic.in_flight(server) < batch.saturating_add(SLACK)
}

fn cost(node: &Node, row: &RequestRow, server: Server) -> (bool, u32) {
    let far = row
        .decision
        .prefer
        .is_some_and(|zone| zone != node.catalog.servers.get(server).zone);
    let reported = node.domains.load(server).map_or(0, others);
    (far, node.traffic.in_flight(server).saturating_add(reported))
}

fn others(report: &Report) -> u32 {
    const STALE: Span = Span::from_secs(5);
    if report.age > STALE {
        0
    } else {
        report.running + report.waiting
    }
}
