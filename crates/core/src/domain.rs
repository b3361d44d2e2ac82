//! Control domains: leases, residency grants, placement and loads, on the holder's and on the grantee's side.
//!
//! One decision a file: `lease`, `seat` and `vacancy` say which VM holds which domain, `record` keeps what must outlast a
//! holder, `holder`, `grant` and `update` keep and spread grants, `ask` and `grantee` use them, `report` and `order`
//! talk to backend servers, `place` and `evict` decide what is loaded and unloaded, and `verify` checks the tables.

pub(crate) mod ask;
pub(crate) mod assign;
pub(crate) mod backoff;
pub(crate) mod cache;
pub(crate) mod call;
pub(crate) mod copy;
pub(crate) mod demand;
pub(crate) mod evict;
pub(crate) mod grant;
pub(crate) mod grantee;
pub(crate) mod holder;
pub(crate) mod host;
pub(crate) mod keys;
pub(crate) mod lease;
pub(crate) mod order;
pub(crate) mod place;
pub(crate) mod record;
pub(crate) mod report;
pub(crate) mod room;
pub(crate) mod seat;
pub(crate) mod store;
pub(crate) mod unloadable;
pub(crate) mod update;
pub(crate) mod vacancy;
pub(crate) mod view;
pub(crate) mod worth;

use std::collections::BTreeMap;

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::Node;
use crate::catalog::Catalog;
use crate::effect::Effects;
use crate::entity::{Adapter, Domain, Server, Service, Zone};
use crate::event::{Cached, Ordered, Report};
use crate::id::{self, Fence, Incarnation, Op, Order};
use crate::peer::{Ask, Holder, NotHolder, Update};
use crate::platform::Outcome;
use crate::time::{Instant, Span};
use crate::traffic::{self, Wish};

pub(crate) use view::{status, verify};

/// Time between two looks for answers that are long overdue.
const EXPIRE: Span = Span::from_secs(1);

/// How long handing over waits for the record to be written.
const HAND_OVER: Span = Span::from_secs(3);

/// What this VM holds and what it is granted.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lease of this VM.
    lease: lease::Lease,
    /// Who holds each domain.
    seats: BTreeMap<Domain, seat::Seat>,
    /// Which VM is to hold each domain.
    spread: seat::Spread,
    /// Domains that this VM holds.
    held: BTreeMap<Domain, holder::Held>,
    /// Domains that this VM uses.
    used: BTreeMap<Domain, grantee::Used>,
    /// What this VM may use.
    grants: grantee::Grants,
    /// Calls of the key-value service in progress.
    calls: call::Table,
    /// Orders in progress.
    orders: BTreeMap<Order, order::Row>,
    /// The number of the last order.
    last_order: u64,
    /// Weight stores.
    stores: store::Table,
    /// The domains of each service.
    domains_of: SecondaryMap<Service, SmallVec<[Domain; 2]>>,
    /// Those of them that have servers of the service in a zone which are not leaving.
    domains_in: FxHashMap<(Service, Zone), SmallVec<[Domain; 2]>>,
    /// Prefix caches.
    caches: cache::Table,
    /// Since when this VM is handing its domains over.
    closing: Option<Instant>,
    /// The time of the last tick.
    clock: Instant,
    /// When overdue answers were last looked for.
    expired: Instant,
}

impl State {
    /// The servers on which this VM may send work for an adapter right now.
    pub(crate) fn usable(&self, adapter: Adapter) -> &[Server] {
        &self.grants.usable[adapter]
    }

    /// A server's last load report as far as this VM has it. Its age is that at the time of receipt; `made` says
    /// when its figures were made.
    pub(crate) fn load(&self, server: Server) -> Option<&Report> {
        self.grants.loads[server].as_ref().map(|load| &load.report)
    }

    /// When the figures of a server's last load report were made.
    pub(crate) fn made(&self, server: Server) -> Option<Instant> {
        self.grants.loads[server].as_ref().map(|load| load.made)
    }

    /// How many requests of this VM were in progress on a server when those figures were made.
    pub(crate) fn own(&self, server: Server) -> i64 {
        self.grants.loads[server]
            .as_ref()
            .map_or(0, |load| load.own)
    }

    /// How long it takes until an adapter is expected to be resident, as its domain's holder last said.
    pub(crate) fn expected(&self, adapter: Adapter) -> Option<Span> {
        let at = self.grants.expected.get(&adapter)?;
        Some(at.since(self.clock))
    }

    /// How many of a prompt's prefix blocks a server's cache is known to hold.
    pub(crate) fn cached(&self, server: Server, prefix: &[u64]) -> usize {
        self.caches.longest(server, prefix)
    }

    /// A domain held under this number.
    fn held_under(&mut self, domain: Domain, fence: Fence) -> Option<&mut holder::Held> {
        self.held
            .get_mut(&domain)
            .filter(|held| held.fence == fence)
    }

    /// A server of a held domain.
    fn host(&mut self, domain: Domain, server: Server) -> Option<&mut host::Host> {
        self.held.get_mut(&domain)?.hosts.get_mut(&server)
    }

    /// The seat of a domain.
    fn seat(&mut self, domain: Domain) -> &mut seat::Seat {
        self.seats.entry(domain).or_default()
    }

    /// Whether an order of a domain is on its way.
    fn orders_of(&self, domain: Domain) -> bool {
        self.orders.values().any(|row| row.domain == domain)
    }
}

/// This VM's present start.
fn start(node: &Node) -> record::Start {
    record::Start {
        vm: node.settings.vm.clone(),
        incarnation: node.settings.incarnation,
    }
}

/// Whether a server refuses orders with an old fencing number.
fn checks_fences(catalog: &Catalog, server: Server) -> bool {
    let service = catalog.servers.get(server).service;
    catalog.services.get(service).fenced
}

/// Work for an adapter begins on a server of this VM's grants.
pub(crate) fn begin_use(node: &mut Node, server: Server, adapter: Adapter) {
    grantee::begin_use(node, (server, adapter));
}

/// Work for an adapter ended on a server, however it ended.
pub(crate) fn end_use(node: &mut Node, server: Server, adapter: Adapter, out: &mut Effects) {
    grantee::end_use(node, (server, adapter), out);
}

/// A request arrived for an adapter; with `cold`, nothing is granted and it waits for that.
pub(crate) fn arrived(
    node: &mut Node,
    adapter: Adapter,
    wish: Wish,
    cold: bool,
    out: &mut Effects,
) {
    ask::arrived(node, adapter, wish, cold, out);
}

/// A server said that an adapter is not resident though it was granted.
pub(crate) fn missing(node: &mut Node, server: Server, adapter: Adapter, out: &mut Effects) {
    grantee::missing(node, (server, adapter), out);
}

/// A load report came, or the server did not answer.
pub(crate) fn reported(
    node: &mut Node,
    server: &id::Server,
    report: Option<Report>,
    out: &mut Effects,
) {
    report::reported(node, server, report, out);
}

/// A server refused a connection: its holder, where this VM is that, looks at it at once.
pub(crate) fn unreachable(node: &mut Node, server: Server) {
    let now = node.now;
    if let Some(domain) = node.catalog.servers.get(server).domain
        && let Some(host) = node.domains.host(domain, server)
    {
        host.poll.next = now;
    }
}

/// Changes of a prefix cache came.
pub(crate) fn cached(node: &mut Node, server: &id::Server, changes: &[Cached], out: &mut Effects) {
    let _ = out;
    if let Some(server) = node.catalog.servers.find(server) {
        node.domains.caches.changed(server, changes);
    }
}

/// An order came back.
pub(crate) fn ordered(node: &mut Node, order: Order, outcome: Ordered, out: &mut Effects) {
    order::ordered(node, order, outcome, out);
}

/// An operation on the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: &Outcome, out: &mut Effects) {
    call::ended(node, op, outcome, out);
}

/// A grantee asks.
pub(crate) fn asked(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    ask: &Ask,
    out: &mut Effects,
) {
    grant::asked(node, from, incarnation, ask, out);
}

/// A holder tells what may be used.
pub(crate) fn updated(node: &mut Node, from: &id::Vm, update: &Update, out: &mut Effects) {
    grantee::updated(node, from, update, out);
}

/// A VM says that it does not hold a domain.
pub(crate) fn not_holder(node: &mut Node, from: &id::Vm, notice: NotHolder, out: &mut Effects) {
    let Some(domain) = node.catalog.domains.find(&notice.domain) else {
        return;
    };
    match notice.holder {
        // It does hold the domain, but took this VM for gone and forgot what it granted.
        Some(holder) if holder.vm == *from => ask::forgotten(node, domain, holder.fence, out),
        Some(holder) => {
            seat::denied(node, domain, from);
            holder_is(node, holder, out);
        }
        None => seat::denied(node, domain, from),
    }
}

/// News of a domain's holder came with a heartbeat.
pub(crate) fn holder_is(node: &mut Node, holder: Holder, out: &mut Effects) {
    let Some(domain) = node.catalog.domains.find(&holder.domain) else {
        return;
    };
    let known = seat::Known {
        vm: holder.vm,
        incarnation: None,
        fence: holder.fence,
    };
    if seat::heard(node, domain, known, out) {
        ask::holder_changed(node, domain, out);
    }
}

/// The configuration changed.
pub(crate) fn configured(node: &mut Node, out: &mut Effects) {
    index_services(node);
    seat::configured(node);
    let held: Vec<Domain> = node.domains.held.keys().copied().collect();
    for domain in held {
        if node.domains.seats.contains_key(&domain) {
            holder::configured(node, domain);
            grant::withdraw(node, domain);
            holder::pump(node, domain, out);
        } else {
            holder::drop_domain(node, domain, "not_configured", out);
        }
    }
    grantee::configured(node);
}

/// Lists the domains of each service.
fn index_services(node: &mut Node) {
    let domains_of = &mut node.domains.domains_of;
    let domains_in = &mut node.domains.domains_in;
    domains_of.clear();
    domains_in.clear();
    for (domain, row) in node.catalog.domains.iter() {
        for server in &row.servers {
            let server = node.catalog.servers.get(*server);
            note(&mut domains_of[server.service], domain);
            if !server.leaving {
                let zone = (server.service, server.zone);
                note(domains_in.entry(zone).or_default(), domain);
            }
        }
    }
}

/// Adds a domain to a list unless it was the last one added; domains come one after the other.
fn note(domains: &mut SmallVec<[Domain; 2]>, domain: Domain) {
    if domains.last() != Some(&domain) {
        domains.push(domain);
    }
}

/// This VM was not run for a while: leases and grants kept by time are void. Whether its lease still holds is
/// decided by its clock before each order.
pub(crate) fn paused(node: &mut Node, out: &mut Effects) {
    node.domains.lease.paused();
    grantee::paused(node);
    ask::tick(node, out);
}

/// Whether this VM, which leaves, holds and takes domains as before: requests wait for what only a holder can do, and no VM
/// that stays is there to become one.
fn stays(node: &Node) -> bool {
    let now = node.now;
    let waited_for =
        |held: &holder::Held| held.waiting.values().flatten().any(|row| row.until > now);
    let needed = !traffic::idle(node) || node.domains.held.values().any(waited_for);
    needed && node.fleet.live().next().is_none()
}

/// This VM is leaving: hands its domains over. Says whether all is handed over.
pub(crate) fn hand_over(node: &mut Node, out: &mut Effects) -> bool {
    let now = node.now;
    if stays(node) {
        node.domains.closing = None;
        return false;
    }
    let since = *node.domains.closing.get_or_insert(now);
    if node.domains.held.is_empty() {
        return traffic::idle(node) && ask::leave(node, out);
    }
    let held: Vec<Domain> = node.domains.held.keys().copied().collect();
    for domain in held {
        evict::cancel_all(node, domain);
        record::flush(node, domain, out);
    }
    // Orders on their way are waited for: each has an outcome within its timeout. The record is then free of
    // unloads, unless the key-value service does not answer.
    let settled = node.domains.held.values().all(|held| held.writer.settled());
    let waited = now.since(since) >= HAND_OVER;
    if node.domains.orders.is_empty() && (settled || waited) {
        lease::revoke(node, out);
    }
    false
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    node.domains.clock = now;
    if now.since(node.domains.expired) >= EXPIRE {
        node.domains.expired = now;
        call::expire(node, out);
        order::expire(node, out);
    }
    lease::tick(node, out);
    seat::tick(node, out);
    grantee::tick(node, out);
    let held: Vec<Domain> = node.domains.held.keys().copied().collect();
    for domain in held {
        holder::tick(node, domain, out);
    }
    ask::tick(node, out);
}
