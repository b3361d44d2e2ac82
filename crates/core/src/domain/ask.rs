//! Asks to holders: when they are due, to whom they go, and what they say.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::assign;
use super::grantee::{self, Used};
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain};
use crate::id::{self, Fence};
use crate::peer::{Ask, Held, Message, Use, Want};
use crate::time::Instant;
use crate::time::Span;
use crate::traffic::{self, Wish};

/// Adapters that are waited for, by which the shortest time between two asks grows by itself once.
const WANTS_PER_PACE: usize = 16;
/// How long a domain is asked for after the last request, where nothing there is held.
const KEEP: Span = Span::from_secs(30);

/// Quiet asks that a VM sends a second, to all holders together.
const QUIET_ASKS: u64 = 8;
/// The longest time between two quiet asks to one holder. Loads come with the answers, and must not grow stale.
const QUIET_MAX: Span = Span::from_secs(4);
/// How long requests wait for a domain of their own zone, if not half of their time is over before. After that any
/// domain of the service may take them, as the servers of the zone may be down.
const SPILL: Span = Span::from_secs(30);

/// The domain that an adapter's requests ask for: that of a named server, else where it is usable, else the one that
/// its name hashes to among those of the zone, so that all VMs of a zone ask the same holder and a VM uses few.
pub(super) fn home(node: &Node, adapter: Adapter, wish: Wish, spills: bool) -> Option<Domain> {
    let servers = &node.catalog.servers;
    if let Some(domain) = wish.pin.and_then(|server| servers.get(server).domain) {
        return Some(domain);
    }
    let usable = node.domains.grants.usable[adapter]
        .iter()
        .map(|server| servers.get(*server))
        .find(|row| wish.require.is_none_or(|zone| zone == row.zone));
    if let Some(domain) = usable.and_then(|row| row.domain) {
        return Some(domain);
    }
    let domains = candidates(node, adapter, wish, spills);
    match domains {
        [] => None,
        [only] => Some(*only),
        _ => domains.iter().copied().max_by_key(|domain| {
            let name = &node.catalog.domains.get(*domain).name;
            assign::score(&node.catalog.adapters.get(adapter).name, name)
        }),
    }
}

/// The domains of an adapter's service in the zone that a rule names or else in this VM's; all where there is none.
fn candidates(node: &Node, adapter: Adapter, wish: Wish, spills: bool) -> &[Domain] {
    let service = node.catalog.adapters.get(adapter).service;
    let own = || node.catalog.zones.find(&node.settings.zone);
    let zone = match wish.require {
        None if spills => None,
        None => wish.prefer.or_else(own),
        required => required,
    };
    zone.and_then(|zone| node.domains.domains_in.get(&(service, zone)))
        .unwrap_or(&node.domains.domains_of[service])
}

/// A request arrived for an adapter.
pub(crate) fn arrived(
    node: &mut Node,
    adapter: Adapter,
    wish: Wish,
    cold: bool,
    out: &mut Effects,
) {
    let Some(domain) = home(node, adapter, wish, false) else {
        return;
    };
    let now = node.now;
    let used = node.domains.used.entry(domain).or_default();
    *used.arrived.entry(adapter).or_default() += 1;
    used.last = now;
    if cold {
        used.due = true;
        used.wanting = used.wanting.max(1);
        settle_with(node, domain, Some(adapter), out);
    }
}

/// Sends an ask that is due, if the pace allows; otherwise a later tick does.
pub(crate) fn settle(node: &mut Node, domain: Domain, out: &mut Effects) {
    settle_with(node, domain, None, out);
}

fn settle_with(node: &mut Node, domain: Domain, new: Option<Adapter>, out: &mut Effects) {
    let now = node.now;
    let least = Span::from_millis(node.settings.tuning.ask_min_ms);
    let Some(used) = node.domains.used.get(&domain) else {
        return;
    };
    if used.due && now.since(used.asked) >= pace(used, least) {
        let mut wants = wants(node);
        let mut wants = wants.remove(&domain).unwrap_or_default();
        if let Some(adapter) = new {
            add_new(node, adapter, &mut wants);
        }
        send(node, domain, wants, out);
    }
}

/// A request that arrives in the present step may not be in the queue yet.
fn add_new(node: &Node, adapter: Adapter, wants: &mut Vec<Want>) {
    let row = node.catalog.adapters.get(adapter);
    if wants.iter().any(|want| want.adapter == row.name) {
        return;
    }
    wants.push(Want {
        adapter: row.name.clone(),
        waiting: 1,
        weight: 1_000,
        left: node.catalog.services.get(row.service).timeout,
        waited: Span::ZERO,
    });
}

fn pace(used: &Used, least: Span) -> Span {
    least.times(1 + (used.wanting / WANTS_PER_PACE) as u64)
}

/// Whether a domain is to be asked from time to time.
fn live(used: &Used, now: Instant) -> bool {
    !used.places.is_empty() || !used.released.is_empty() || grantee::idle(used, now) < KEEP
}

/// The time between two asks that have nothing new: it grows with the domains in use, so that their number does not
/// make the asks of a VM grow.
fn quiet(domains: usize, longest: Span) -> Span {
    let even = Span(Span::from_secs(1).times(domains as u64).0 / QUIET_ASKS);
    even.min(QUIET_MAX).max(longest)
}

/// Sends the asks that are due.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let tuning = &node.settings.tuning;
    let least = Span::from_millis(tuning.ask_min_ms);
    let retry = Span::from_millis(tuning.ask_retry_ms);
    let longest = Span::from_millis(tuning.ask_max_ms);
    let used = &node.domains.used;
    let quiet = quiet(
        used.values().filter(|used| live(used, now)).count(),
        longest,
    );
    let due: Vec<Domain> = used
        .iter()
        .filter(|(_, used)| {
            let waited = now.since(used.asked);
            let unheard = used.full.is_some() || used.answered < used.nonce || used.wanting > 0;
            let live = live(used, now);
            let wait = match (used.due, unheard && live) {
                (true, _) if used.answered >= used.nonce => pace(used, least),
                (true, _) => pace(used, least).times(2).max(retry.min(longest)),
                (false, true) => retry,
                (false, false) if live => quiet,
                (false, false) => return false,
            };
            waited >= wait
        })
        .map(|(domain, _)| *domain)
        .collect();
    if due.is_empty() {
        return;
    }
    let mut wants = wants(node);
    for domain in due {
        let wants = wants.remove(&domain).unwrap_or_default();
        send(node, domain, wants, out);
    }
    for domain in wants.into_keys() {
        spilled(node, domain);
    }
}

/// A domain is wanted from now on because requests have waited for another for long: it is asked with the next tick.
fn spilled(node: &mut Node, domain: Domain) {
    let now = node.now;
    let used = node.domains.used.entry(domain).or_default();
    if used.wanting == 0 {
        used.wanting = 1;
        used.due = true;
        used.last = now;
    }
}

/// What requests wait for, by the domain that is asked for it.
fn wants(node: &Node) -> BTreeMap<Domain, Vec<Want>> {
    let mut wants: BTreeMap<Domain, Vec<Want>> = BTreeMap::new();
    for (adapter, waiting) in traffic::wanted(node) {
        let spills = waiting.waited >= SPILL.min(waiting.left);
        let Some(domain) = home(node, adapter, waiting.wish, spills) else {
            continue;
        };
        wants.entry(domain).or_default().push(Want {
            adapter: node.catalog.adapters.get(adapter).name.clone(),
            waiting: waiting.count,
            weight: waiting.weight,
            left: waiting.left,
            waited: waiting.waited,
        });
    }
    wants
}

fn send(node: &mut Node, domain: Domain, wants: Vec<Want>, out: &mut Effects) {
    let now = node.now;
    let Some(to) = addressee(node, domain) else {
        if let Some(used) = node.domains.used.get_mut(&domain) {
            used.asked = now;
        }
        return;
    };
    let in_use = uses(node, domain);
    let held = held(node, domain);
    let base = grantee::base(node.settings.incarnation);
    let Some(used) = node.domains.used.get_mut(&domain) else {
        return;
    };
    used.nonce = used.nonce.max(base) + 1;
    used.asked = now;
    used.due = false;
    used.wanting = wants.len();
    used.arrived.clear();
    let nonce = used.nonce;
    if let Some(first) = &mut used.full {
        *first = (*first).min(nonce);
    }
    for first in used.released.values_mut() {
        first.get_or_insert(nonce);
    }
    let full = used.full.is_some();
    let ask = Ask {
        domain: node.catalog.domains.get(domain).name.clone(),
        nonce,
        fence: used.fence,
        seen: used.seq,
        full,
        held: if full { held } else { Vec::new() },
        released: used.released.keys().copied().collect(),
        wants,
        uses: in_use,
    };
    node.send(&to, Message::Ask(ask), out);
}

/// The holder as far as it is known, else the VM that is to hold the domain.
fn addressee(node: &Node, domain: Domain) -> Option<id::Vm> {
    let me = &node.settings.vm;
    if node.domains.held.contains_key(&domain) {
        return Some(me.clone());
    }
    let seat = node.domains.seats.get(&domain)?;
    if let Some(known) = &seat.holder {
        return Some(known.vm.clone());
    }
    let name = &node.catalog.domains.get(domain).name;
    let target = node.domains.spread.targets.get(name)?;
    (target != me).then(|| target.clone())
}

/// Requests that arrived since the last ask, and those in flight.
fn uses(node: &Node, domain: Domain) -> Vec<Use> {
    let Some(used) = node.domains.used.get(&domain) else {
        return Vec::new();
    };
    let mut rows: BTreeMap<Adapter, (u32, u32)> = BTreeMap::new();
    for (adapter, arrived) in &used.arrived {
        rows.entry(*adapter).or_default().0 = *arrived;
    }
    for place in &used.places {
        let grant = node.domains.grants.rows.get(place);
        let in_flight = grant.map_or(0, |row| row.in_flight);
        if in_flight > 0 {
            rows.entry(place.1).or_default().1 += in_flight;
        }
    }
    rows.into_iter()
        .map(|(adapter, (arrived, in_flight))| Use {
            adapter: node.catalog.adapters.get(adapter).name.clone(),
            arrived,
            in_flight,
        })
        .collect()
}

fn held(node: &Node, domain: Domain) -> Vec<Held> {
    let Some(used) = node.domains.used.get(&domain) else {
        return Vec::new();
    };
    let rows: &FxHashMap<_, _> = &node.domains.grants.rows;
    used.places
        .iter()
        .filter_map(|place| {
            Some(Held {
                server: node.catalog.servers.get(place.0).name.clone(),
                adapter: node.catalog.adapters.get(place.1).name.clone(),
                in_flight: rows.get(place)?.in_flight,
            })
        })
        .collect()
}

/// This VM leaves: tells every holder that it holds nothing any more. Says whether that is done.
pub(crate) fn leave(node: &mut Node, out: &mut Effects) -> bool {
    let rows: Vec<_> = node.domains.grants.rows.keys().copied().collect();
    for place in rows {
        grantee::drop_row(node, place);
    }
    let domains: Vec<Domain> = node.domains.used.keys().copied().collect();
    for domain in domains {
        if node
            .domains
            .used
            .get(&domain)
            .is_some_and(|used| used.full.is_some())
        {
            send(node, domain, Vec::new(), out);
        }
    }
    node.domains.used.clear();
    true
}

/// The holder does not know what it granted to this VM: it is told all.
pub(crate) fn forgotten(node: &mut Node, domain: Domain, fence: Fence, out: &mut Effects) {
    if let Some(used) = node.domains.used.get_mut(&domain)
        && used.fence == fence
    {
        used.retell();
        settle(node, domain, out);
    }
}

/// News of a holder came: it is asked with all that this VM holds.
pub(crate) fn holder_changed(node: &mut Node, domain: Domain, out: &mut Effects) {
    if !node.domains.used.contains_key(&domain) {
        return;
    }
    let top = node.domains.seats.get(&domain).map(|seat| seat.top);
    if let Some(top) = top {
        grantee::follow(node, domain, top);
    }
    settle(node, domain, out);
}
