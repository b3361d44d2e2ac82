//! Slots for loads: how many are kept free, and which adapters give theirs up.

use std::collections::BTreeSet;

use super::holder::Held;
use super::host::{Host, Phase, Place};
use super::place::{STAY, packs, placed, usable};
use super::worth::unwelcome;
use super::{evict, store};
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain, Service};
use crate::time::Span;

/// Slots that are kept free ahead of need in one domain at most.
const AHEAD_MAX: usize = 4;
/// One slot in this many may be kept free ahead of need.
const AHEAD_PART: usize = 8;
/// What it costs more to free a slot of a server whose batch is full: what is loaded there has to wait.
const FULL_COST: f64 = 10.0;
/// What it costs more, in requests a second, to free a slot of an idle server where batches are to be filled.
const IDLE_COST: f64 = 0.1;
/// How much less an adapter costs that is resident elsewhere too.
const COPY_COST: f64 = 0.2;

/// Frees slots: as many as loads that wait need, and a few ahead, so that the next cold request need not wait for
/// grants to be collected.
pub(super) fn make(
    node: &mut Node,
    domain: Domain,
    service: Service,
    cold: usize,
    out: &mut Effects,
) {
    let now = node.now;
    let pace = store::row(node, service).pace();
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    let hosts = || {
        held.hosts
            .iter()
            .filter(|(server, host)| usable(node, service, **server, host))
            .map(|(_, host)| host)
    };
    let slots: usize = hosts().map(Host::slots).sum();
    let free: usize = hosts().map(|host| host.free() + host.freeing(now)).sum();
    let ahead = ahead(held, slots, pace);
    let wanted = ahead.max(cold.min(AHEAD_MAX));
    // Where an unload must stand in the record before it is sent, grants would be collected for nothing, and what is
    // resident would be served by nobody.
    if held.writer.stuck() && !node.catalog.services.get(service).fenced {
        return;
    }
    for _ in free..wanted {
        let must = cold > 0 && free == 0;
        let Some(chosen) = victim(node, domain, service, must) else {
            break;
        };
        evict::begin(node, domain, chosen, out);
    }
}

pub(super) fn ahead(held: &Held, slots: usize, pace: Span) -> usize {
    let freeing = held.plan.freeing().0;
    let turns = usize::try_from(freeing.div_ceil(pace.0.max(1))).unwrap_or(AHEAD_MAX);
    (turns + 1).min(AHEAD_MAX).min(slots / AHEAD_PART)
}

/// The adapter whose loss costs least: its demand times the time of loading it again. Never one that requests wait
/// for; one with requests in flight only where there is no other way, since it holds its slot until they are over.
fn victim(node: &Node, domain: Domain, service: Service, must: bool) -> Option<Place> {
    let now = node.now;
    let half_life = Span::from_millis(node.settings.tuning.demand_half_life_ms);
    let held = node.domains.held.get(&domain)?;
    let copies = placed(held, now, Span(u64::MAX));
    let busy = busy(held);
    let packs = packs(node, service);
    let known = !held.unknown();
    let mut best: Option<(f64, Place)> = None;
    for (server, host) in &held.hosts {
        if !usable(node, service, *server, host) {
            continue;
        }
        let crowd = usize_to_f64(host.free() + host.freeing(now));
        let full = if host.fill() < 1.0 { 0.0 } else { FULL_COST };
        let apart = if packs {
            unwelcome(host.fill(), true) * IDLE_COST
        } else {
            0.0
        };
        for (adapter, entry) in &host.entries {
            let blocked = held.blocked((*server, *adapter), now);
            let resting = now.since(entry.loaded) >= STAY;
            let elsewhere = copies.get(adapter).copied().unwrap_or(0) > 1;
            let needed = !resting || held.waiting.contains_key(adapter);
            // Until all grantees of earlier holders are heard, only what this holder loaded can be collected.
            let sure = known || entry.own;
            if entry.phase != Phase::Resident || (needed && !blocked) || !sure {
                continue;
            }
            let used = entry.in_flight > 0 || (!elsewhere && busy.contains(adapter));
            if used && !must {
                continue;
            }
            let rate = held.demand.rate(*adapter, now, half_life);
            let listed = node.catalog.adapters.get(*adapter).listed;
            let cost = match (listed, elsewhere) {
                (false, _) => -1.0,
                _ if blocked => -1.0,
                (true, true) => rate * COPY_COST,
                (true, false) => rate,
            };
            // Free slots are better spread over servers; work in flight delays the slot.
            let cost = cost * (1.0 + crowd) + full + apart + if used { 1_000.0 } else { 0.0 };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, (*server, *adapter)));
            }
        }
    }
    best.map(|(_, place)| place)
}

#[allow(clippy::cast_precision_loss)]
fn usize_to_f64(value: usize) -> f64 {
    value as f64
}

/// Adapters that grantees have requests in flight on.
fn busy(held: &Held) -> BTreeSet<Adapter> {
    held.peers
        .values()
        .flat_map(|peer| peer.uses.iter())
        .filter(|(_, in_flight)| **in_flight > 0)
        .map(|(adapter, _)| *adapter)
        .collect()
}
