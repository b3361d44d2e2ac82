//! Placement: which adapter is loaded where, and which gives its slot up for it.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;

use super::backoff::Backoff;
use super::holder::{Held, Wanted};
use super::host::{Entry, Host, Phase, Place};
use super::order::{self, Kind};
use super::record::Start;
use super::{evict, store};
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
/// The shortest time between two looks for loads that nobody waits for.
const SPARE: Span = Span::from_millis(250);
/// How long an adapter stays after its load at least, so that those who waited for it are served.
const STAY: Span = Span::from_millis(1_000);
/// How long a server gets no load after one could not be done there for a reason that passes.
const REST: Span = Span::from_millis(300);
/// Slots that are kept free ahead of need in one domain at most.
const AHEAD_MAX: usize = 4;
/// One slot in this many may be kept free ahead of need.
const AHEAD_PART: usize = 8;
/// The weight of the newest eviction in the mean, as one part in this many.
const SMOOTHING: u64 = 4;
/// The time that an eviction takes until one was seen.
const FREEING: Span = Span::from_millis(500);
/// A second copy is loaded where one adapter keeps this share of a batch busy.
const COPY_SHARE: f64 = 0.5;
/// So many requests that wait for a resident adapter are worth another copy.
const COPY_WAITING: u32 = 4;
/// What it costs more to free a slot of a server whose batch is full: what is loaded there has to wait.
const FULL_COST: f64 = 10.0;
/// What it costs more, in requests a second, to free a slot of an idle server where batches are to be filled.
const IDLE_COST: f64 = 0.1;
/// A server above this share of its batch gets no second copies.
const ROOM_SHARE: f64 = 0.7;
/// Demand, in requests a second, below which nothing is loaded that nobody waits for.
const PREFETCH_RATE: f64 = 0.02;
/// Requests that are expected within this time count as if they waited already.
const AWAITED: Span = Span::from_secs(30);
/// How much less an adapter costs that is resident elsewhere too.
const COPY_COST: f64 = 0.2;

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
    spare: Instant,
}

impl Plan {
    /// An eviction is done.
    pub(crate) fn freed(&mut self, took: Span) {
        let mean = self.freeing.unwrap_or(FREEING);
        self.freeing = Some(Span((mean.0 * (SMOOTHING - 1) + took.0.max(1)) / SMOOTHING));
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

/// An adapter that requests wait for: it is nowhere resident or loading, or all servers that have it are full.
#[derive(Clone, Copy, Debug)]
struct Cold {
    /// The adapter.
    adapter: Adapter,
    /// How much its load is worth now.
    score: f64,
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
    if let Some(held) = node.domains.held.get_mut(&domain) {
        held.plan.next = now + PASS;
        forecast(held, &cold, store, now);
    }
    if store.free(now) {
        let chosen = cold
            .iter()
            .find_map(|row| Some((row.adapter, target(node, domain, service, row.adapter)?)));
        match chosen {
            Some((adapter, server)) if load(node, domain, (server, adapter), out) => {
                cold.retain(|row| row.adapter != adapter);
            }
            None if cold.is_empty() && !store.contended() => spare(node, domain, service, out),
            Some(_) | None => {}
        }
    }
    make_room(node, domain, service, cold.len(), out);
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
            score: score(
                rows,
                held.demand.rate(*adapter, now, half_life),
                now,
                store.pace(),
            ),
        })
        .collect();
    cold.sort_by(|one, other| {
        other
            .score
            .total_cmp(&one.score)
            .then(one.adapter.cmp(&other.adapter))
    });
    cold
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

/// What it is worth to load an adapter next: the weight of the requests that wait and of those that are expected soon.
/// Waiting alone earns nothing: while more is cold than the store can load, serving by age lets all wait long, and each
/// unpopular adapter that is loaded takes the slot of one that would have been used. What can't be there in time is last.
fn score(rows: &[Wanted], rate: f64, now: Instant, pace: Span) -> f64 {
    let in_time = |row: &&Wanted| row.until.since(now) >= pace;
    let weight: u32 = rows
        .iter()
        .filter(in_time)
        .map(|row| row.weight.max(1))
        .sum();
    f64::from(weight) / 1_000.0 + rate * AWAITED.as_secs_f64()
}

/// Copies of each adapter that are resident, or loading and not overdue.
fn placed(held: &Held, now: Instant, overdue: Span) -> FxHashMap<Adapter, u32> {
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
fn forecast(held: &mut Held, cold: &[Cold], store: store::Store, now: Instant) {
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
        held.expected.insert(row.adapter, at);
    }
}

/// The server to load an adapter on: one with a free slot, the least busy; where batches are to be filled, the busiest
/// that has room.
fn target(node: &Node, domain: Domain, service: Service, adapter: Adapter) -> Option<Server> {
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
            let fill = idle(first, packs).total_cmp(&idle(second, packs));
            fill.then(second.free().cmp(&first.free()))
                .then(one.cmp(other))
        })
        .map(|(server, _)| *server)
}

/// Whether batches are to be filled rather than work spread, by the service's weights.
fn packs(node: &Node, service: Service) -> bool {
    let row = node.catalog.services.get(service);
    bias(row.stall_weight, row.batch_weight) < 0
}

/// How unwelcome more work is on a server: its load, or where batches are to be filled, the room that is left in one
/// that still has some.
fn idle(host: &Host, packs: bool) -> f64 {
    match host.fill() {
        fill if packs && fill < ROOM_SHARE => ROOM_SHARE - fill,
        fill => fill,
    }
}

fn usable(node: &Node, service: Service, server: Server, host: &Host) -> bool {
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

fn load(node: &mut Node, domain: Domain, place: Place, out: &mut Effects) -> bool {
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

/// Frees slots: as many as loads that wait need, and a few ahead, so that the next cold request need not wait for
/// grants to be collected.
fn make_room(node: &mut Node, domain: Domain, service: Service, cold: usize, out: &mut Effects) {
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
    for _ in free..wanted {
        let must = cold > 0 && free == 0;
        let Some(chosen) = victim(node, domain, service, must) else {
            break;
        };
        evict::begin(node, domain, chosen, out);
    }
}

fn ahead(held: &Held, slots: usize, pace: Span) -> usize {
    let freeing = held.plan.freeing.unwrap_or(FREEING).0;
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
            idle(host, true) * IDLE_COST
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

/// Loads what nobody waits for: second copies of adapters that keep a server busy, and popular adapters that lost
/// their slot, such as by a restart. Only into slots that are free beyond those kept ahead.
fn spare(node: &mut Node, domain: Domain, service: Service, out: &mut Effects) {
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
