//! Placement: which adapter is loaded where, and which gives its slot up for it.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;

use super::backoff::Backoff;
use super::holder::{Held, Wanted};
use super::host::{Entry, Host, Phase, Place};
use super::order::{self, Kind};
use super::record::Start;
use super::worth::{self, Cold, unwelcome};
use super::{copy, room, store, unloadable};
use crate::Node;
use crate::catalog::Catalog;
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Domain, Server, Service};
use crate::event::{Ordered, Reason};
use crate::id::Order;
use crate::log::{Code, Record};
use crate::metric::{Figure, Sample};
use crate::time::{Instant, Span};
use crate::traffic::route::score::bias;

/// The shortest time between two full passes while nothing can be ordered anyway.
const PASS: Span = Span::from_millis(50);
/// How long an adapter stays after its load at least, so that those who waited for it are served.
pub(super) const STAY: Span = Span::from_millis(1_000);
/// How long a server gets no load after one could not be done there for a reason that passes.
const REST: Span = Span::from_millis(300);
/// The weight of the newest eviction in the mean, as one part in this many.
const SMOOTHING: u64 = 4;
/// The time that an eviction takes until one was seen.
const FREEING: Span = Span::from_millis(500);
/// So many requests that wait for a resident adapter are worth another copy.
const COPY_WAITING: u32 = 4;
/// What placement remembers of a domain.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// This VM's start, which signs unloads in the record.
    pub(crate) me: Option<Start>,
    /// Evictions that were logged as slow.
    pub(crate) slow: BTreeSet<Place>,
    /// The mean time that an eviction takes, once one was seen.
    freeing: Option<Span>,
    /// Delays after failed loads.
    failed: BTreeMap<Place, Backoff>,
    /// Delays for adapters whose loads failed, wherever that was.
    troubled: BTreeMap<Adapter, Backoff>,
    /// When the next pass is due that is not called for by a free store.
    next: Instant,
    /// When loads that nobody waits for are looked for again.
    pub(super) spare: Instant,
}

impl Plan {
    /// An eviction is done.
    pub(crate) fn freed(&mut self, took: Span) {
        let mean = self.freeing.unwrap_or(FREEING);
        self.freeing = Some(Span((mean.0 * (SMOOTHING - 1) + took.0.max(1)) / SMOOTHING));
    }

    /// The time that an eviction takes.
    pub(super) fn freeing(&self) -> Span {
        self.freeing.unwrap_or(FREEING)
    }

    fn may_load(&self, place: Place, now: Instant) -> bool {
        let there = self.failed.get(&place);
        // One failure is blamed on the server; from the second on, the adapter itself waits.
        let anywhere = self
            .troubled
            .get(&place.1)
            .filter(|backoff| backoff.failures() > 1);
        there
            .into_iter()
            .chain(anywhere)
            .all(|backoff| backoff.ready(now))
    }

    /// A load is done.
    pub(crate) fn loaded(&mut self, place: Place) {
        self.failed.remove(&place);
        self.troubled.remove(&place.1);
    }
}

/// Orders loads and evictions that are due in a domain.
pub(crate) fn run(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    if !held.active || node.domains.closing.is_some() {
        return;
    }
    for service in services(held, &node.catalog) {
        let free = store::row(node, service).free(now);
        let due = node
            .domains
            .held
            .get(&domain)
            .is_some_and(|held| now >= held.plan.next);
        if free || due {
            serve(node, domain, service, out);
        }
    }
}

fn services(held: &Held, catalog: &Catalog) -> BTreeSet<Service> {
    held.hosts
        .keys()
        .map(|server| catalog.servers.get(*server).service)
        .collect()
}

fn serve(node: &mut Node, domain: Domain, service: Service, out: &mut Effects) {
    let now = node.now;
    let mut cold = cold(node, domain, service);
    let store = *store::row(node, service);
    let full = unloadable::full(node, domain, service);
    if let Some(held) = node.domains.held.get_mut(&domain) {
        held.plan.next = now + PASS;
        forecast(held, &cold, store, now, full);
    }
    if store.free(now) {
        let chosen = cold
            .iter()
            .find_map(|row| Some((row.adapter, target(node, domain, service, row.adapter)?)));
        match chosen {
            Some((adapter, server)) if load(node, domain, (server, adapter), out) => {
                cold.retain(|row| row.adapter != adapter);
            }
            None if cold.is_empty() && !store.contended() => {
                copy::spare(node, domain, service, out);
            }
            Some(_) | None => {}
        }
    }
    room::make(node, domain, service, cold.len(), out);
}

/// Adapters of a service that must be loaded because requests wait, best first.
fn cold(node: &mut Node, domain: Domain, service: Service) -> Vec<Cold> {
    let now = node.now;
    let store = *store::row(node, service);
    let half_life = Span::from_millis(node.settings.tuning.demand_half_life_ms);
    let Some(held) = node.domains.held.get(&domain) else {
        return Vec::new();
    };
    let resident = placed(held, now, store.overdue());
    let mut cold: Vec<Cold> = held
        .waiting
        .iter()
        .filter(|(adapter, _)| {
            let row = node.catalog.adapters.get(**adapter);
            row.service == service && row.listed
        })
        .filter(|(adapter, rows)| match resident.get(adapter) {
            None => true,
            Some(_) => crowded_out(held, **adapter, rows, now),
        })
        .map(|(adapter, rows)| Cold {
            adapter: *adapter,
            weight: in_time(rows, now, store.pace()),
            rate: held.demand.rate(*adapter, now, half_life),
        })
        .collect();
    worth::order(&mut cold);
    cold
}

/// The weight of the requests that a load made now would still serve before their deadlines.
fn in_time(rows: &[Wanted], now: Instant, pace: Span) -> u32 {
    rows.iter()
        .filter(|row| row.until.since(now) >= pace)
        .map(|row| row.weight.max(1))
        .sum()
}

/// Whether so many wait for a resident adapter that another copy is worth a load. None is while one is on its way.
fn crowded_out(held: &Held, adapter: Adapter, rows: &[Wanted], now: Instant) -> bool {
    let waiting: u32 = rows.iter().map(|row| row.waiting).sum();
    let moving = |entry: &Entry| match entry.phase {
        Phase::Loading(_) => true,
        Phase::Resident => now.since(entry.loaded) < STAY,
        Phase::Absent | Phase::Evicting | Phase::Unloading(_) => false,
    };
    let mut entries = held.hosts.values().filter_map(|h| h.entries.get(&adapter));
    waiting >= COPY_WAITING && !entries.any(moving)
}

/// Copies of each adapter that are resident, or loading and not overdue.
pub(super) fn placed(held: &Held, now: Instant, overdue: Span) -> FxHashMap<Adapter, u32> {
    let mut copies = FxHashMap::default();
    for (server, host) in &held.hosts {
        for (adapter, entry) in &host.entries {
            let counts = match entry.phase {
                // One that an earlier unload may still hit can't be granted, so it serves nobody.
                Phase::Resident => !host.lost && !held.blocked((*server, *adapter), now),
                Phase::Loading(_) => now.since(entry.since) <= overdue,
                Phase::Absent | Phase::Evicting | Phase::Unloading(_) => false,
            };
            if counts {
                *copies.entry(*adapter).or_default() += 1;
            }
        }
    }
    copies
}

/// Says when the adapters that are waited for will be there.
fn forecast(held: &mut Held, cold: &[Cold], store: store::Store, now: Instant, full: bool) {
    let mut at = now + store.left(now);
    held.expected.clear();
    for host in held.hosts.values() {
        for (adapter, entry) in &host.entries {
            if matches!(entry.phase, Phase::Loading(_)) {
                held.expected.insert(*adapter, now + store.left(now));
            }
        }
    }
    for row in cold {
        at += store.pace();
        let at = if full { now + unloadable::FAR } else { at };
        held.expected.insert(row.adapter, at);
    }
}

/// The server to load an adapter on: one with a free slot, the least busy; where batches are to be filled, the busiest
/// that has room.
pub(super) fn target(
    node: &Node,
    domain: Domain,
    service: Service,
    adapter: Adapter,
) -> Option<Server> {
    let now = node.now;
    let key = store::key(node, service);
    let overdue = node.domains.stores.get(&key).map(store::Store::overdue)?;
    let held = node.domains.held.get(&domain)?;
    let packs = packs(node, service);
    held.hosts
        .iter()
        .filter(|(server, host)| {
            usable(node, service, **server, host)
                && host.free() > 0
                && now >= host.rest
                && !host.entries.contains_key(&adapter)
                && !loading(host, now, overdue)
                && held.plan.may_load((**server, adapter), now)
                && !held.blocked((**server, adapter), now)
        })
        .min_by(|(one, first), (other, second)| {
            let fill = unwelcome(first.fill(), packs).total_cmp(&unwelcome(second.fill(), packs));
            fill.then(second.free().cmp(&first.free()))
                .then(one.cmp(other))
        })
        .map(|(server, _)| *server)
}

/// Whether batches are to be filled rather than work spread, by the service's weights.
pub(super) fn packs(node: &Node, service: Service) -> bool {
    let row = node.catalog.services.get(service);
    bias(row.stall_weight, row.batch_weight) < 0
}

pub(super) fn usable(node: &Node, service: Service, server: Server, host: &Host) -> bool {
    let row = node.catalog.servers.get(server);
    row.service == service
        && row.listed
        && !row.leaving
        && host.ready()
        && order::allowed(node, server)
}

/// Whether a server is busy with a load that is not overdue.
fn loading(host: &Host, now: Instant, overdue: Span) -> bool {
    host.entries
        .values()
        .any(|entry| matches!(entry.phase, Phase::Loading(_)) && now.since(entry.since) <= overdue)
}

pub(super) fn load(node: &mut Node, domain: Domain, place: Place, out: &mut Effects) -> bool {
    let (server, adapter) = place;
    let Some(order) = order::send(node, domain, server, Kind::Load(adapter), out) else {
        return false;
    };
    let now = node.now;
    let service = node.catalog.adapters.get(adapter).service;
    store::row(node, service).begin(order, now);
    if let Some(host) = node.domains.host(domain, server) {
        host.entries
            .insert(adapter, Entry::new(Phase::Loading(order), now));
        host.unloaded.remove(&adapter);
    }
    out.push(Effect::Log(Record::new(
        Code::LoadOrdered,
        format!(
            "adapter={} server={}",
            node.catalog.adapters.get(adapter).name,
            node.catalog.servers.get(server).name
        ),
    )));
    out.push(Effect::Metric(Sample {
        figure: Figure::Loads,
        value: 1.0,
        tenant: None,
        class: None,
        label: None,
    }));
    true
}

/// A load failed: it is tried elsewhere at once, and there again after a growing delay.
pub(crate) fn failed(node: &mut Node, domain: Domain, place: Place, outcome: Ordered) {
    let now = node.now;
    let tuning = &node.settings.tuning;
    let (first, limit) = (tuning.load_backoff_ms, tuning.load_backoff_max_ms);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    match outcome {
        Ordered::Refused(Reason::LoadFailed | Reason::BadRequest) => {
            let plan = &mut held.plan;
            let there = plan.failed.entry(place).or_default();
            there.fail(now, first, limit);
            let anywhere = plan.troubled.entry(place.1).or_default();
            anywhere.fail(now, first, limit);
        }
        _ => {
            if let Some(host) = held.hosts.get_mut(&place.0) {
                host.rest = now + REST;
            }
        }
    }
}

/// Nobody knows whether a load took effect: its server gets no other before a report has shown it.
pub(crate) fn uncertain(held: &mut Held, place: Place, now: Instant) {
    if let Some(host) = held.hosts.get_mut(&place.0) {
        host.rest = now + REST;
    }
}

/// A load is over, as far as its weight store is concerned.
pub(crate) fn store_done(node: &mut Node, order: Order, done: bool) {
    store::done(node, order, done);
}
