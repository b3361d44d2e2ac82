//! The grantee's side of a control domain: the grants that this VM has, and what it asks the holder.
//!
//! Asks are numbered from a base that belongs to this start of the VM, and every update repeats the number of the last
//! ask that its sender has processed. So an update that was meant for an earlier start of this VM is told apart.
//!
//! A grant's number is taken at most once: numbers only grow within one holder's fencing number, so one that is not
//! above the highest ever seen and not held was dropped before, and a late or repeated update can't bring it back.

use std::collections::{BTreeMap, BTreeSet};

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::host::Place;
use super::{ask, assign, seat, unloadable};
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain, Server};
use crate::event::Report;
use crate::id::{self, Fence, Grant, Incarnation};
use crate::peer::Update;
use crate::time::{Instant, Span};
use crate::traffic;

/// Bits of an ask's number that count the asks of one start.
const COUNTER: u32 = 32;
/// The bits that belong to the start.
const BASE: u64 = u64::MAX << COUNTER;

/// A grant as this VM has it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    /// The domain.
    pub(crate) domain: Domain,
    /// Its number under the present holder, or none where it is kept from an earlier one.
    pub(crate) grant: Option<Grant>,
    /// Whether no new work is sent under it.
    pub(crate) revoked: bool,
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// When the last of them ended, or began.
    pub(crate) touched: Instant,
}

/// A server's load as this VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// The report. Its age is that at the time of receipt.
    pub(crate) report: Report,
    /// When its figures were made.
    pub(crate) made: Instant,
    /// Requests of this VM that were in progress there then.
    pub(crate) own: i64,
}

/// A domain that this VM uses.
#[derive(Debug, Default)]
pub(crate) struct Used {
    /// The fencing number under which grants are kept.
    pub(crate) fence: Fence,
    /// The last update processed under that number.
    pub(crate) seq: u64,
    /// The last ask sent.
    pub(crate) nonce: u64,
    /// The highest grant number seen under the fencing number.
    pub(crate) top: Grant,
    /// Whether the holder is yet to learn all that this VM holds, and from which ask on it does.
    pub(crate) full: Option<u64>,
    /// Grants that are over on this side, with the ask that said so first.
    pub(crate) released: BTreeMap<Grant, Option<u64>>,
    /// Places with a grant.
    pub(crate) places: BTreeSet<Place>,
    /// Requests that arrived since the last ask.
    pub(crate) arrived: BTreeMap<Adapter, u32>,
    /// Whether an ask is due as soon as the pace allows.
    pub(crate) due: bool,
    /// Whether requests waited for adapters of this domain at the last ask.
    pub(crate) wanting: usize,
    /// When the last ask was sent.
    pub(crate) asked: Instant,
    /// When the last update came.
    pub(crate) heard: Instant,
    /// The last ask that the holder has answered.
    pub(crate) answered: u64,
    /// When a request last arrived.
    pub(crate) last: Instant,
}

impl Used {
    /// All that is held must be told again.
    pub(crate) fn retell(&mut self) {
        self.full = Some(u64::MAX);
        self.due = true;
    }
}

/// What this VM may use.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    /// The grants.
    pub(crate) rows: FxHashMap<Place, Row>,
    /// The servers on which work may be sent for each adapter.
    pub(crate) usable: SecondaryMap<Adapter, SmallVec<[Server; 4]>>,
    /// Load reports.
    pub(crate) loads: SecondaryMap<Server, Option<Load>>,
    /// When adapters are expected.
    pub(crate) expected: FxHashMap<Adapter, Instant>,
    /// Adapters that can't be loaded for now, and when their holder last said so.
    pub(crate) unloadable: FxHashMap<Adapter, Instant>,
    /// Revoked grants that are given back once their last request is over for long enough.
    pub(crate) lingering: BTreeSet<Place>,
}

/// Brings the list of usable servers in line with the grant of one place.
pub(crate) fn refresh(node: &mut Node, place: Place) {
    let (server, adapter) = place;
    let row = node.catalog.servers.get(server);
    let grants = &mut node.domains.grants;
    let granted = grants.rows.get(&place).is_some_and(|row| !row.revoked);
    let usable = granted && row.listed && !row.leaving;
    let servers = &mut grants.usable[adapter];
    let position = servers.iter().position(|one| *one == server);
    match (usable, position) {
        (true, None) => {
            servers.push(server);
            grants.expected.remove(&adapter);
            grants.unloadable.remove(&adapter);
            traffic::wake(node, adapter);
        }
        (false, Some(position)) => {
            servers.remove(position);
            traffic::wake(node, adapter);
        }
        _ => {}
    }
}

/// The holder of a domain tells what may be used.
pub(crate) fn updated(node: &mut Node, from: &id::Vm, update: &Update, out: &mut Effects) {
    let Some(domain) = node.catalog.domains.find(&update.domain) else {
        return;
    };
    let now = node.now;
    let base = base(node.settings.incarnation);
    if update.nonce != 0 && update.nonce & BASE != base {
        return;
    }
    follow(node, domain, update.fence);
    let used = node.domains.used.entry(domain).or_default();
    if update.fence != used.fence {
        return;
    }
    if update.nonce == 0 {
        // The holder has not heard this start: it grants nothing yet, and wants to know all.
        ask::settle(node, domain, out);
        return;
    }
    if update.seq <= used.seq {
        return;
    }
    used.seq = update.seq;
    used.heard = now;
    used.answered = used.answered.max(update.nonce);
    if used.full.is_some_and(|nonce| update.nonce >= nonce) {
        used.full = None;
    }
    used.released
        .retain(|_, nonce| nonce.is_none_or(|nonce| update.nonce < nonce));
    let known = seat::Known {
        vm: from.clone(),
        incarnation: None,
        fence: update.fence,
    };
    seat::heard(node, domain, known, out);
    take_grants(node, domain, update);
    take_revokes(node, domain, &update.revokes);
    take_loads(node, update);
    take_expected(node, update);
    ask::settle(node, domain, out);
}

/// The numbers of asks of one start begin here.
pub(crate) fn base(incarnation: Incarnation) -> u64 {
    let hash = assign::score(&incarnation, &());
    // Never zero, which means that no ask was processed.
    (hash | 1 << COUNTER) & BASE
}

/// Follows a newer holder: numbers of the earlier one mean nothing any more, what it granted is kept without one.
pub(crate) fn follow(node: &mut Node, domain: Domain, fence: Fence) {
    let Some(used) = node.domains.used.get_mut(&domain) else {
        if let Some(seat) = node.domains.seats.get(&domain)
            && fence >= seat.top
        {
            let used = node.domains.used.entry(domain).or_default();
            used.fence = fence;
            used.retell();
        }
        return;
    };
    if fence <= used.fence {
        return;
    }
    used.fence = fence;
    used.seq = 0;
    used.top = Grant(0);
    used.released.clear();
    used.retell();
    for place in &used.places {
        if let Some(row) = node.domains.grants.rows.get_mut(place) {
            row.grant = None;
        }
    }
}

fn take_grants(node: &mut Node, domain: Domain, update: &Update) {
    for granted in &update.grants {
        let Some(used) = node.domains.used.get_mut(&domain) else {
            return;
        };
        if granted.grant <= used.top {
            continue;
        }
        used.top = granted.grant;
        let server = node.catalog.servers.find(&granted.server);
        let adapter = node.catalog.adapters.find(&granted.adapter);
        let Some(place) = server.zip(adapter) else {
            // Not in the configuration here yet. It is given back, so that the holder does not wait for it.
            used.released.insert(granted.grant, None);
            continue;
        };
        used.places.insert(place);
        let row = node.domains.grants.rows.entry(place).or_insert(Row {
            domain,
            grant: None,
            revoked: false,
            in_flight: 0,
            touched: Instant::default(),
        });
        row.grant = Some(granted.grant);
        row.revoked = false;
        refresh(node, place);
    }
}

fn take_revokes(node: &mut Node, domain: Domain, revokes: &[Grant]) {
    if revokes.is_empty() {
        return;
    }
    let Some(used) = node.domains.used.get_mut(&domain) else {
        return;
    };
    let places: FxHashMap<Grant, Place> = used
        .places
        .iter()
        .filter_map(|place| Some((node.domains.grants.rows.get(place)?.grant?, *place)))
        .collect();
    for grant in revokes {
        used.top = used.top.max(*grant);
        if !places.contains_key(grant) {
            used.released.entry(*grant).or_insert(None);
        }
    }
    for place in revokes.iter().filter_map(|grant| places.get(grant)) {
        if let Some(row) = node.domains.grants.rows.get_mut(place) {
            row.revoked = true;
        }
        refresh(node, *place);
        close(node, *place);
    }
}

/// Gives a revoked grant back once nothing is in flight on it. A request that was cut off may still be on its way
/// to the server, where no report shows it yet, so some time must have passed since the last one.
pub(crate) fn close(node: &mut Node, place: Place) {
    let guard = Span::from_millis(node.settings.tuning.release_guard_ms);
    node.domains.grants.lingering.remove(&place);
    let Some(row) = node.domains.grants.rows.get(&place).copied() else {
        return;
    };
    if !row.revoked || row.in_flight > 0 {
        return;
    }
    if row.touched != Instant::default() && node.now.since(row.touched) < guard {
        node.domains.grants.lingering.insert(place);
        return;
    }
    node.domains.grants.rows.remove(&place);
    if let Some(used) = node.domains.used.get_mut(&row.domain) {
        used.places.remove(&place);
        match row.grant {
            Some(grant) => {
                used.released.insert(grant, None);
                used.due = true;
            }
            // The holder has not numbered it yet, so only a complete list can say that it is over.
            None => used.retell(),
        }
    }
    refresh(node, place);
}

fn take_loads(node: &mut Node, update: &Update) {
    let now = node.now;
    for load in &update.loads {
        let Some(server) = node.catalog.servers.find(&load.server) else {
            continue;
        };
        let made = now.back(load.report.age);
        let own = traffic::route::own_at(node, server, made);
        let row = &mut node.domains.grants.loads[server];
        if row.as_ref().is_some_and(|row| row.made >= made) {
            continue;
        }
        *row = Some(Load {
            report: load.report.clone(),
            made,
            own,
        });
        wake_server(node, server);
    }
}

/// Queues for adapters that are usable on a server are looked at again.
fn wake_server(node: &mut Node, server: Server) {
    let Some(domain) = node.catalog.servers.get(server).domain else {
        return;
    };
    let Some(used) = node.domains.used.get(&domain) else {
        return;
    };
    let adapters: SmallVec<[Adapter; 32]> = used
        .places
        .range((server, Adapter::from_u32(0))..=(server, Adapter::from_u32(u32::MAX - 1)))
        .map(|(_, adapter)| *adapter)
        .collect();
    for adapter in adapters {
        traffic::wake(node, adapter);
    }
}

fn take_expected(node: &mut Node, update: &Update) {
    let now = node.now;
    for expected in &update.expected {
        if let Some(adapter) = node.catalog.adapters.find(&expected.adapter) {
            let grants = &mut node.domains.grants;
            if unloadable::is_far(expected.wait) {
                grants.expected.remove(&adapter);
                grants.unloadable.insert(adapter, now);
            } else {
                grants.expected.insert(adapter, now + expected.wait);
                grants.unloadable.remove(&adapter);
            }
            traffic::wake(node, adapter);
        }
    }
}

/// Work begins under a grant.
pub(crate) fn begin_use(node: &mut Node, place: Place) {
    let row = node.domains.grants.rows.get_mut(&place);
    debug_assert!(
        row.as_ref().is_some_and(|row| !row.revoked),
        "work without a grant"
    );
    if let Some(row) = row {
        row.in_flight += 1;
        row.touched = node.now;
    }
}

/// Work ended.
pub(crate) fn end_use(node: &mut Node, place: Place, out: &mut Effects) {
    let Some(row) = node.domains.grants.rows.get_mut(&place) else {
        return;
    };
    row.in_flight = row.in_flight.saturating_sub(1);
    row.touched = node.now;
    let (domain, over) = (row.domain, row.revoked && row.in_flight == 0);
    if over {
        close(node, place);
        ask::settle(node, domain, out);
    }
}

/// A server does not have what was granted: the grant is given back, and the holder looks at the server again.
pub(crate) fn missing(node: &mut Node, place: Place, out: &mut Effects) {
    let Some(row) = node.domains.grants.rows.get_mut(&place) else {
        return;
    };
    row.revoked = true;
    let domain = row.domain;
    refresh(node, place);
    close(node, place);
    if let Some(used) = node.domains.used.get_mut(&domain) {
        used.due = true;
    }
    ask::settle(node, domain, out);
}

/// Gives back what was revoked and has been idle for long enough.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let lingering: Vec<Place> = node.domains.grants.lingering.iter().copied().collect();
    for place in lingering {
        let domain = node.domains.grants.rows.get(&place).map(|row| row.domain);
        close(node, place);
        if let Some(domain) = domain {
            ask::settle(node, domain, out);
        }
    }
}

/// This VM was not run for a while: gives up what nothing is in flight on, and asks anew.
pub(crate) fn paused(node: &mut Node) {
    let idle: Vec<Place> = node
        .domains
        .grants
        .rows
        .iter()
        .filter(|(_, row)| row.in_flight == 0 && !row.revoked)
        .map(|(place, _)| *place)
        .collect();
    for place in idle {
        drop_row(node, place);
    }
    for used in node.domains.used.values_mut() {
        used.retell();
    }
}

/// Drops a grant without a word; a complete list must follow.
pub(crate) fn drop_row(node: &mut Node, place: Place) {
    let Some(row) = node.domains.grants.rows.remove(&place) else {
        return;
    };
    if let Some(used) = node.domains.used.get_mut(&row.domain) {
        used.places.remove(&place);
        used.retell();
    }
    refresh(node, place);
}

/// The configuration changed: servers may be leaving, or back.
pub(crate) fn configured(node: &mut Node) {
    let mut places: Vec<Place> = node.domains.grants.rows.keys().copied().collect();
    places.sort_unstable();
    for place in places {
        refresh(node, place);
    }
}

/// How long ago a domain was last used.
pub(crate) fn idle(used: &Used, now: Instant) -> Span {
    now.since(used.last)
}
