//! The choice among the servers that may take a request.

pub(crate) mod recent;
pub(crate) mod score;

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use super::table::RequestRow;
use crate::Node;
use crate::entity::{Server, Zone};
use crate::event::{Failure, Reason, Report};
use crate::id::Request;
use crate::time::{Instant, Span};

use recent::Recent;
use score::{Candidate, Figures};

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

/// This VM's own work on a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Own {
    /// Requests in progress.
    pub(super) in_flight: u32,
    /// How that changed lately.
    recent: Recent,
    /// Until when it is avoided because it failed.
    sick_until: Instant,
}

impl Own {
    /// A request begins or ends.
    pub(super) fn change(&mut self, now: Instant, change: i32) {
        self.in_flight = self.in_flight.saturating_add_signed(change);
        self.recent.add(now, change);
    }
}

/// How long a server that failed is avoided while others can take the work.
const SICK: Span = Span::from_secs(1);
/// How long a server that took no more work is avoided.
const BUSY: Span = Span::from_millis(100);
/// From this age on a report says nothing.
const STALE: Span = Span::from_secs(5);

/// Servers with room, well and in the preferred zone, among which the best is good enough.
const ENOUGH: u32 = 32;
/// Spreads request numbers over a list.
const SCATTER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Chooses a server for a request: one that has not failed it, or after a while one that has, where no other has its
/// adapter. The holder of the domain sees the adapter resident there, so waiting for another copy may be in vain.
pub(crate) fn choose(node: &Node, row: &RequestRow) -> Choice {
    let again = row.adapter.is_some() && !row.failed_on.is_empty() && row.barred_until <= node.now;
    match best(node, row, allows) {
        Choice::Nobody if again => best(node, row, permits),
        choice => choice,
    }
}

/// Chooses among the servers for which `may` holds.
fn best(node: &Node, row: &RequestRow, may: fn(&Node, &RequestRow, Server) -> bool) -> Choice {
    let service = node.catalog.services.get(row.service);
    let bias = score::bias(service.stall_weight, service.batch_weight);
    let home = node.catalog.zones.find(&node.settings.zone);
    let (mut among, mut near, mut best) = (0, 0, None);
    for server in turned(usable(node, row), row.place.request) {
        if near == ENOUGH {
            break;
        }
        if !may(node, row, server) {
            continue;
        }
        among += 1;
        let candidate = candidate(node, row, server, home);
        if candidate.has_room() {
            near += u32::from(!candidate.far && !candidate.sick);
            let rank = (candidate.rank(bias), server);
            best = Some(best.map_or(rank, |best| rank.min(best)));
        }
    }
    match best {
        Some((_, server)) => Choice::Server(server, among),
        None if among > 0 => Choice::Full,
        None => Choice::Nobody,
    }
}

/// The servers, beginning at a place of the list that differs from request to request where there are many.
fn turned(servers: &[Server], request: Request) -> impl Iterator<Item = Server> {
    let start = if servers.len() > ENOUGH as usize {
        usize::try_from(request.0.wrapping_mul(SCATTER)).unwrap_or(0) % servers.len()
    } else {
        0
    };
    let (before, after) = servers.split_at(start);
    after.iter().chain(before).copied()
}

/// The servers on which a request could run right now, whatever the rules say.
pub(crate) fn usable<'a>(node: &'a Node, row: &RequestRow) -> &'a [Server] {
    match row.adapter {
        Some(adapter) => node.domains.usable(adapter),
        None => &node.catalog.services.get(row.service).servers,
    }
}

/// Whether no server of the service may ever take a request, whatever is loaded.
pub(crate) fn hopeless(node: &Node, row: &RequestRow) -> bool {
    let servers = &node.catalog.services.get(row.service).servers;
    !servers.iter().any(|server| allows(node, row, *server))
}

/// An attempt on a server failed: it is avoided for a while where others can take the work.
pub(crate) fn trouble(node: &mut Node, server: Server, failure: &Failure) {
    let span = match failure {
        Failure::Refused | Failure::Broken | Failure::Timeout => SICK,
        Failure::NotRun(Reason::Overloaded | Reason::NotReady) => BUSY,
        Failure::NotRun(_) | Failure::Rejected { .. } => return,
    };
    node.traffic.own[server].sick_until = node.now + span;
}

/// Whether a request may go to a server, which has not failed it before.
fn allows(node: &Node, row: &RequestRow, server: Server) -> bool {
    permits(node, row, server) && !row.failed_on.contains(&server)
}

/// Whether configuration and rules let a request go to a server.
pub(super) fn permits(node: &Node, row: &RequestRow, server: Server) -> bool {
    let rule = &row.decision;
    let place = node.catalog.servers.get(server);
    place.listed
        && !place.leaving
        && rule.require.is_none_or(|zone| zone == place.zone)
        && (rule.pin.is_empty() || rule.pin.contains(&server))
        && !rule.avoid.contains(&server)
}

fn candidate(node: &Node, row: &RequestRow, server: Server, home: Option<Zone>) -> Candidate {
    let own = &node.traffic.own[server];
    let zone = node.catalog.servers.get(server).zone;
    let made = node.domains.made(server);
    let made = made.filter(|made| node.now.since(*made) <= STALE);
    let report = made.zip(node.domains.load(server));
    Candidate {
        sick: own.sick_until > node.now,
        far: row.decision.prefer.is_some_and(|prefer| prefer != zone),
        remote: home.is_some_and(|home| home != zone),
        own: own.in_flight,
        change: made.map_or(0, |_| change(own, node.domains.own(server))),
        figures: report.map(|(made, report)| figures(report, node.now.since(made))),
        uncached: uncached(node, row, server),
        spread: spread(node, server),
    }
}

/// How this VM's work on a server changed since its load report was made, which may be seconds ago.
fn change(own: &Own, then: i64) -> i32 {
    i32::try_from(i64::from(own.in_flight) - then).unwrap_or(0)
}

/// How many requests of this VM were in progress on a server at a time less than a second ago.
pub(crate) fn own_at(node: &Node, server: Server, then: Instant) -> i64 {
    let own = &node.traffic.own[server];
    i64::from(own.in_flight) - i64::from(own.recent.since(then))
}

fn figures(report: &Report, age: Span) -> Figures {
    Figures {
        load: report.running.saturating_add(report.waiting),
        batch: report.batch,
        step: report.step,
        age,
    }
}

/// Prefix blocks of a request that are not in a server's cache, as far as its late events tell.
fn uncached(node: &Node, row: &RequestRow, server: Server) -> u32 {
    let prefix = &row.call.prefix;
    let cached = node.domains.cached(server, prefix);
    u32::try_from(prefix.len().saturating_sub(cached)).unwrap_or(u32::MAX)
}

fn spread(node: &Node, server: Server) -> u64 {
    let mut state = FxHasher::default();
    (node.settings.seed, server.as_u32()).hash(&mut state);
    state.finish()
}
