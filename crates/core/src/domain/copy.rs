//! Loads that nobody waits for.

use std::collections::BTreeMap;

use super::holder::Held;
use super::host::Host;
use super::place::{load, placed, target, usable};
use super::room::ahead;
use super::store;
use super::worth::ROOM_SHARE;
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain, Service};
use crate::time::Span;

/// The shortest time between two looks for loads that nobody waits for.
const SPARE: Span = Span::from_millis(250);
/// A second copy is loaded where one adapter keeps this share of a batch busy.
const COPY_SHARE: f64 = 0.5;
/// Demand, in requests a second, below which nothing is loaded that nobody waits for.
const PREFETCH_RATE: f64 = 0.02;

/// Loads what nobody waits for: second copies of adapters that keep a server busy, and popular adapters that lost
/// their slot, such as by a restart. Only into slots that are free beyond those kept ahead.
pub(super) fn spare(node: &mut Node, domain: Domain, service: Service, out: &mut Effects) {
    let now = node.now;
    let pace = store::row(node, service).pace();
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if now < held.plan.spare {
        return;
    }
    held.plan.spare = now + SPARE;
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    let slots: usize = held.hosts.values().map(Host::slots).sum();
    let free: usize = held.hosts.values().map(Host::free).sum();
    if free <= ahead(held, slots, pace) {
        return;
    }
    let chosen = crowded(node, held, service).or_else(|| popular(node, held, service));
    let Some(adapter) = chosen else {
        return;
    };
    if let Some(server) = target(node, domain, service, adapter) {
        load(node, domain, (server, adapter), out);
    }
}

/// An adapter that needs one more copy.
fn crowded(node: &Node, held: &Held, service: Service) -> Option<Adapter> {
    let room = held
        .hosts
        .iter()
        .any(|(server, host)| usable(node, service, *server, host) && host.fill() < ROOM_SHARE);
    let copies = placed(held, node.now, Span(u64::MAX));
    let batch = held
        .hosts
        .values()
        .filter_map(|host| host.report.as_ref())
        .map(|report| report.batch)
        .max()?;
    let mut load: BTreeMap<Adapter, u32> = BTreeMap::new();
    for peer in held.peers.values() {
        for (adapter, in_flight) in &peer.uses {
            *load.entry(*adapter).or_default() += in_flight;
        }
    }
    for (adapter, rows) in &held.waiting {
        *load.entry(*adapter).or_default() += rows.iter().map(|row| row.waiting).sum::<u32>();
    }
    let need = |adapter: &Adapter, load: u32| {
        let have = copies.get(adapter).copied().unwrap_or(0);
        have > 0 && f64::from(load) > f64::from(have) * COPY_SHARE * f64::from(batch)
    };
    load.iter()
        .filter(|(adapter, load)| {
            let row = node.catalog.adapters.get(**adapter);
            room && row.listed && row.service == service && need(adapter, **load)
        })
        .max_by_key(|(_, load)| **load)
        .map(|(adapter, _)| *adapter)
}

/// The adapter of the highest demand that is nowhere resident.
fn popular(node: &Node, held: &Held, service: Service) -> Option<Adapter> {
    let half_life = Span::from_millis(node.settings.tuning.demand_half_life_ms);
    let copies = placed(held, node.now, Span(u64::MAX));
    held.demand
        .rates(node.now, half_life)
        .filter(|(adapter, rate)| {
            let row = node.catalog.adapters.get(*adapter);
            *rate >= PREFETCH_RATE
                && row.listed
                && row.service == service
                && !copies.contains_key(adapter)
        })
        .max_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(adapter, _)| adapter)
}
