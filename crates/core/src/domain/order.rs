//! Orders to backend servers: each is sent once under a number of its own, and its outcome is Done, refused, not
//! sent, or unknown. An unknown outcome is settled by what the server reports later.

use super::host::Phase;
use super::{checks_fences, evict, grant, holder, lease, place, report, seat};
use crate::Node;
use crate::effect::{Action, Command, Effect, Effects};
use crate::entity::{Adapter, Domain, Server};
use crate::event::{Ordered, Reason};
use crate::id::{Boot, Fence, Order};
use crate::log::{Code, Record};
use crate::time::{Instant, Span};

/// How long after its timeout an order's outcome is waited for.
const GRACE: Span = Span::from_secs(1);

/// How long an order may take that moves no weights.
const QUICK: Span = Span::from_secs(5);

/// What an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Load an adapter.
    Load(Adapter),
    /// Unload an adapter.
    Unload(Adapter),
    /// Tell the server the fencing number.
    Fence,
}

/// An order on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    /// The domain.
    pub(crate) domain: Domain,
    /// The fencing number under which it was sent.
    pub(crate) fence: Fence,
    /// The server.
    pub(crate) server: Server,
    /// The server's start, as it was known then.
    pub(crate) boot: Option<Boot>,
    /// What it is for.
    pub(crate) kind: Kind,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// How long it may take.
    timeout: Span,
}

/// Whether this VM may give orders to a server now. One whose lease may have lapsed goes on only where servers
/// refuse the orders of all but the newest holder.
pub(crate) fn allowed(node: &Node, server: Server) -> bool {
    node.domains.closing.is_none() && (lease::valid(node) || checks_fences(&node.catalog, server))
}

/// Sends an order, where that is allowed.
pub(crate) fn send(
    node: &mut Node,
    domain: Domain,
    server: Server,
    kind: Kind,
    out: &mut Effects,
) -> Option<Order> {
    if !allowed(node, server) {
        return None;
    }
    let longest = Span::from_millis(node.settings.tuning.order_timeout_ms);
    let timeout = match kind {
        Kind::Load(_) => longest,
        Kind::Unload(_) | Kind::Fence => longest.min(QUICK),
    };
    let held = node.domains.held.get(&domain)?;
    let row = Row {
        domain,
        fence: held.fence,
        server,
        boot: held.hosts.get(&server).and_then(|host| host.boot),
        kind,
        sent: node.now,
        timeout,
    };
    node.domains.last_order += 1;
    let order = Order(node.domains.last_order);
    node.domains.orders.insert(order, row);
    let name = |adapter| node.catalog.adapters.get(adapter).name.clone();
    let target = node.catalog.servers.get(server);
    out.push(Effect::Order(Command {
        order,
        server: target.name.clone(),
        address: target.address.as_ref().to_owned(),
        action: match kind {
            Kind::Load(adapter) => Action::Load(name(adapter)),
            Kind::Unload(adapter) => Action::Unload(name(adapter)),
            Kind::Fence => Action::Fence,
        },
        fence: row.fence,
        timeout,
    }));
    Some(order)
}

/// Tells servers that check fencing numbers the number of a new holder, before anything there is granted.
pub(crate) fn fence_hosts(node: &mut Node, domain: Domain, out: &mut Effects) {
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    if !held.active {
        return;
    }
    let due: Vec<Server> = held
        .hosts
        .iter()
        .filter(|(_, host)| !host.fenced && host.fencing.is_none() && host.boot.is_some())
        .map(|(server, _)| *server)
        .filter(|server| checks_fences(&node.catalog, *server))
        .collect();
    for server in due {
        let order = send(node, domain, server, Kind::Fence, out);
        if let Some(host) = node.domains.host(domain, server) {
            host.fencing = order;
        }
    }
}

/// An order came back.
pub(crate) fn ordered(node: &mut Node, order: Order, outcome: Ordered, out: &mut Effects) {
    let Some(row) = node.domains.orders.remove(&order) else {
        return;
    };
    place::store_done(node, order, outcome == Ordered::Done);
    if node.domains.held_under(row.domain, row.fence).is_none() {
        return;
    }
    if outcome == Ordered::Refused(Reason::StaleFence) {
        stale(node, row, out);
        return;
    }
    confirm_fence(node, row, outcome);
    match row.kind {
        Kind::Load(adapter) => loaded(node, row, order, adapter, outcome, out),
        Kind::Unload(adapter) => evict::unloaded(node, row, order, adapter, outcome),
        Kind::Fence => {}
    }
    let now = node.now;
    if let Some(held) = node.domains.held.get_mut(&row.domain) {
        held.writer.touch();
        grant::offer_server(held, &node.catalog, &node.domains.lease, row.server, now);
    }
    holder::pump(node, row.domain, out);
}

/// A server has seen a higher number: another VM holds the domain, or did.
fn stale(node: &mut Node, row: Row, out: &mut Effects) {
    holder::drop_domain(node, row.domain, "stale_number", out);
    seat::retake(node, row.domain, row.fence, out);
}

/// A server that took an order has the number it carried, as long as it does not start anew.
fn confirm_fence(node: &mut Node, row: Row, outcome: Ordered) {
    let Some(host) = node.domains.host(row.domain, row.server) else {
        return;
    };
    if row.kind == Kind::Fence {
        host.fencing = None;
    }
    host.fenced |= outcome == Ordered::Done && host.boot == row.boot;
}

fn loaded(
    node: &mut Node,
    row: Row,
    order: Order,
    adapter: Adapter,
    outcome: Ordered,
    out: &mut Effects,
) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&row.domain) else {
        return;
    };
    let Some(host) = held.hosts.get_mut(&row.server) else {
        return;
    };
    host.poll.next = now;
    let restarted = host.boot != row.boot;
    let Some(entry) = host.entries.get_mut(&adapter) else {
        return;
    };
    if entry.phase != Phase::Loading(order) {
        return;
    }
    let name = &node.catalog.adapters.get(adapter).name;
    let detail = format!(
        "adapter={name} server={}",
        node.catalog.servers.get(row.server).name
    );
    match outcome {
        Ordered::Done if !restarted => {
            entry.enter(Phase::Resident, now);
            entry.loaded = now;
            entry.own = host.clean;
            held.plan.loaded((row.server, adapter));
            out.push(Effect::Log(Record::new(Code::LoadDone, detail)));
        }
        // The next report made after this time shows whether it is there.
        Ordered::Done | Ordered::Unknown => {
            entry.enter(Phase::Absent, now);
            place::uncertain(held, (row.server, adapter), now);
        }
        Ordered::Refused(_) | Ordered::NotSent => {
            report::vanish(held, (row.server, adapter), now);
            out.push(Effect::Log(Record::new(Code::LoadFailed, detail)));
            place::failed(node, row.domain, (row.server, adapter), outcome);
        }
    }
}

/// A report came: loads and unloads that it shows done need no answer any more.
pub(crate) fn shown(node: &mut Node, domain: Domain, server: Server) {
    let over: Vec<Order> = node
        .domains
        .orders
        .iter()
        .filter(|(_, row)| row.domain == domain && row.server == server)
        .filter(|(order, row)| shows_done(node, **order, row))
        .map(|(order, _)| *order)
        .collect();
    for order in over {
        place::store_done(node, order, true);
    }
}

fn shows_done(node: &Node, order: Order, row: &Row) -> bool {
    let Kind::Load(adapter) = row.kind else {
        return false;
    };
    let entry = node
        .domains
        .held
        .get(&row.domain)
        .and_then(|held| held.entry((row.server, adapter)));
    entry.is_none_or(|entry| entry.phase != Phase::Loading(order))
}

/// Counts orders whose outcome is long overdue as unknown.
pub(crate) fn expire(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let overdue: Vec<Order> = node
        .domains
        .orders
        .iter()
        .filter(|(_, row)| now.since(row.sent) > row.timeout + GRACE)
        .map(|(order, _)| *order)
        .collect();
    for order in overdue {
        ordered(node, order, Ordered::Unknown, out);
    }
}

/// A domain is no longer held: its loads on their way hold no weight store up.
pub(crate) fn forget(node: &mut Node, domain: Domain) {
    let orders: Vec<Order> = node
        .domains
        .orders
        .iter()
        .filter(|(_, row)| row.domain == domain)
        .map(|(order, _)| *order)
        .collect();
    for order in orders {
        place::store_done(node, order, false);
    }
}
