//! Who holds each domain, as far as this VM knows, and how this VM takes domains that are free.
//!
//! The VM that the even spread names looks at a free domain at once; others wait longer, by a time of their own.
//! Taking a domain is always safe, however many VMs try: the lease key is created by compare-and-swap, and its
//! creation revision is the fencing number. After any answer, also a lost one, the key is read: what it says holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::call::{self, What};
use super::record::Start;
use super::vacancy::{self, Standing};
use super::{assign, holder, keys, lease};
use crate::Node;
use crate::effect::Effects;
use crate::entity::Domain;
use crate::id::{self, Fence, Incarnation, Lease, Revision};
use crate::peer::{self, Message, NotHolder};
use crate::platform::{Call, Compare, Outcome, Put};
use crate::time::{Instant, Span};

/// Time between two passes over the seats.
const PASS: Span = Span::from_millis(100);
/// How long the spread over VMs must stand before a domain is moved because of it.
const SETTLED: Span = Span::from_secs(10);
/// The shortest time between two domains that one VM gives up for the sake of the spread.
const MOVE_PAUSE: Span = Span::from_secs(5);

/// The shortest time between two tries to get a higher fencing number.
const RETAKE: Span = Span::from_secs(1);

/// What a lease key holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claimant {
    /// The start that created it.
    start: Start,
    /// The lease it was created under.
    lease: Lease,
}

/// A domain's holder as this VM knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    /// The VM.
    pub(crate) vm: id::Vm,
    /// Its start, where the key was read.
    pub(crate) incarnation: Option<Incarnation>,
    /// The fencing number.
    pub(crate) fence: Fence,
}

/// A domain's seat.
#[derive(Debug, Default)]
pub(crate) struct Seat {
    /// The holder, where one is known.
    pub(crate) holder: Option<Known>,
    /// The highest fencing number heard of.
    pub(crate) top: Fence,
    /// Since when no holder is known, or the known one is not live.
    pub(crate) empty: Instant,
    /// How the holder stood when it was last looked at.
    pub(crate) standing: Standing,
    /// Whether a call for the seat is in progress.
    busy: bool,
    /// Whether this VM wants the domain and creates the key if it is not there.
    taking: bool,
    /// When this VM looks at the key again.
    pub(crate) next: Instant,
    /// Delays after failures.
    backoff: Backoff,
    /// When this VM last gave its key up to get a higher number.
    retaken: Instant,
}

/// The even spread of domains over live VMs.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// The VM that is to hold each domain.
    pub(crate) targets: BTreeMap<id::Domain, id::Vm>,
    /// The version of the list of live VMs that was last compared.
    version: u64,
    /// Whether domains have come or gone since then.
    stale: bool,
    /// The live VMs that it was computed from.
    vms: Vec<id::Vm>,
    /// The domains that it was computed from.
    domains: Vec<id::Domain>,
    /// Since when it stands.
    since: Instant,
    /// When a domain was last moved because of it.
    moved: Instant,
    /// When the next pass over the seats is due.
    next: Instant,
}

/// Makes seats for the domains of the configuration in force.
pub(crate) fn configured(node: &mut Node) {
    let now = node.now;
    let listed: Vec<Domain> = node
        .catalog
        .domains
        .iter()
        .filter(|(_, row)| !row.servers.is_empty())
        .map(|(domain, _)| domain)
        .collect();
    let seats = &mut node.domains.seats;
    seats.retain(|domain, _| listed.contains(domain));
    for domain in listed {
        seats.entry(domain).or_insert_with(|| Seat {
            empty: now,
            ..Seat::default()
        });
    }
    node.domains.spread.stale = true;
}

/// Takes free domains, and gives some up where this VM holds more than its share.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    if now < node.domains.spread.next || !takes(node) {
        return;
    }
    node.domains.spread.next = now + PASS;
    refresh(node);
    vacancy::watch(node);
    let due: Vec<Domain> = node
        .domains
        .seats
        .iter()
        .filter(|(_, seat)| !seat.busy && now >= seat.next && seat.backoff.ready(now))
        .map(|(domain, _)| *domain)
        .collect();
    for domain in due {
        if !node.domains.held.contains_key(&domain) && wants(node, domain) {
            node.domains.seat(domain).taking = true;
            look(node, domain, out);
        }
    }
    balance(node, out);
}

/// Whether this VM takes domains.
fn takes(node: &Node) -> bool {
    node.domains.closing.is_none() && (!node.fleet.draining || super::stays(node))
}

/// Computes the spread anew where the live VMs or the domains have changed.
fn refresh(node: &mut Node) {
    let version = node.fleet.version;
    let spread = &mut node.domains.spread;
    if spread.version == version && !spread.stale {
        return;
    }
    spread.version = version;
    spread.stale = false;
    let mut vms: Vec<id::Vm> = node.fleet.live().cloned().collect();
    if vms.is_empty() {
        vms.push(node.settings.vm.clone());
    }
    vms.sort();
    let mut domains: Vec<id::Domain> = node
        .domains
        .seats
        .keys()
        .map(|domain| node.catalog.domains.get(*domain).name.clone())
        .collect();
    domains.sort();
    let spread = &mut node.domains.spread;
    if spread.vms == vms && spread.domains == domains {
        return;
    }
    spread.targets = assign::targets(&domains, &vms);
    spread.vms = vms;
    spread.domains = domains;
    spread.since = node.now;
}

/// Whether this VM is to look at a domain's key now, to take it if it is free.
fn wants(node: &Node, domain: Domain) -> bool {
    let name = &node.catalog.domains.get(domain).name;
    let Some(seat) = node.domains.seats.get(&domain) else {
        return false;
    };
    let mine = node.domains.spread.targets.get(name) == Some(&node.settings.vm);
    let waited = || node.now.since(seat.empty) >= vacancy::patience(node, name);
    match &seat.holder {
        // The VM that is to hold the domain looks now and then also when a holder is known: its lease may be over.
        _ if mine => true,
        // Known as the holder, but not so by its own tables.
        Some(known) if known.vm == node.settings.vm => true,
        Some(_) if seat.standing == Standing::Live => false,
        Some(_) | None => waited(),
    }
}

/// Whether a start is certainly over.
pub(crate) fn is_gone(node: &Node, vm: &id::Vm, incarnation: Incarnation) -> bool {
    node.fleet.gone(vm, incarnation)
}

/// Looks at a domain's key as soon as no call for it is in progress.
pub(crate) fn look_now(node: &mut Node, domain: Domain, out: &mut Effects) {
    if !node.domains.seat(domain).busy {
        look(node, domain, out);
    }
}

fn look(node: &mut Node, domain: Domain, out: &mut Effects) {
    node.domains.seat(domain).busy = true;
    let key = keys::lease(node, domain);
    call::begin(node, What::Look(domain), Call::Get { key }, out);
}

/// The key was read.
pub(crate) fn looked(node: &mut Node, domain: Domain, outcome: &Outcome, out: &mut Effects) {
    let key = keys::lease(node, domain);
    let renewed = Span::from_millis(node.settings.tuning.lease_ttl_ms);
    let now = node.now;
    let seat = node.domains.seat(domain);
    seat.busy = false;
    let Outcome::Done(reply) = outcome else {
        fail(node, domain);
        return;
    };
    seat.backoff.clear();
    seat.next = now + renewed;
    let pair = reply.pairs.iter().find(|pair| pair.key == key);
    let claimant = pair.and_then(|pair| serde_json::from_slice::<Claimant>(&pair.value).ok());
    match (pair, claimant) {
        (None, _) => found_free(node, domain, out),
        (Some(pair), Some(claimant)) => found(node, domain, &claimant, pair.created, out),
        (Some(_), None) => {}
    }
}

fn found_free(node: &mut Node, domain: Domain, out: &mut Effects) {
    let seat = node.domains.seat(domain);
    let taking = seat.taking;
    seat.taking = false;
    if seat.holder.take().is_some() {
        seat.empty = node.now;
    }
    holder::drop_domain(node, domain, "key_gone", out);
    if taking && takes(node) {
        create(node, domain, out);
    }
}

fn found(
    node: &mut Node,
    domain: Domain,
    claimant: &Claimant,
    created: Revision,
    out: &mut Effects,
) {
    let fence = Fence(created.0);
    let start = &claimant.start;
    let me = start.vm == node.settings.vm && start.incarnation == node.settings.incarnation;
    let mine = me && node.domains.lease.id == Some(claimant.lease);
    let taking = std::mem::take(&mut node.domains.seat(domain).taking);
    if !mine {
        let known = Known {
            vm: start.vm.clone(),
            incarnation: Some(start.incarnation),
            fence,
        };
        heard(node, domain, known, out);
    }
    if mine {
        holder::hold(node, domain, fence, out);
    } else if taking && (me || is_gone(node, &start.vm, start.incarnation)) {
        // A key of a start that is over, or of an earlier lease of this start, is in the way until it lapses.
        delete(node, domain, created, What::Delete(domain), out);
    } else if taking && !node.fleet.is_live(&start.vm) {
        // Others may have been refused a connection already; only its own refusal lets this VM take the key away.
        crate::fleet::probe(node, &start.vm, out);
    }
}

fn create(node: &mut Node, domain: Domain, out: &mut Effects) {
    let number = match node.domains.lease.id {
        Some(number) if lease::valid(node) => number,
        _ => {
            lease::want(node);
            node.domains.seat(domain).next = node.now;
            return;
        }
    };
    let claimant = Claimant {
        start: super::start(node),
        lease: number,
    };
    let Ok(value) = serde_json::to_vec(&claimant) else {
        debug_assert!(false, "a claimant is always written as JSON");
        return;
    };
    let key = keys::lease(node, domain);
    let txn = Call::Txn {
        compares: vec![Compare::Created(key.clone(), Revision(0))],
        puts: vec![Put {
            key,
            value,
            lease: Some(number),
        }],
        deletes: Vec::new(),
    };
    node.domains.seat(domain).busy = true;
    call::begin(node, What::Create(domain), txn, out);
}

fn delete(node: &mut Node, domain: Domain, created: Revision, what: What, out: &mut Effects) {
    let key = keys::lease(node, domain);
    let txn = Call::Txn {
        compares: vec![Compare::Created(key.clone(), created)],
        puts: Vec::new(),
        deletes: vec![key],
    };
    node.domains.seat(domain).busy = true;
    call::begin(node, what, txn, out);
}

/// A server knows a higher number than this VM's. If the key still is this VM's, as after a loss of the key-value
/// service's state, a new one brings a higher number.
pub(crate) fn retake(node: &mut Node, domain: Domain, fence: Fence, out: &mut Effects) {
    let now = node.now;
    let seat = node.domains.seat(domain);
    seat.next = now + RETAKE;
    if seat.busy || now.since(seat.retaken) < RETAKE {
        return;
    }
    seat.retaken = now;
    let created = Revision(fence.0);
    delete(node, domain, created, What::Delete(domain), out);
}

/// The key was created or deleted, or not, or nobody knows: it is read again.
pub(crate) fn changed(node: &mut Node, domain: Domain, outcome: &Outcome, out: &mut Effects) {
    let seat = node.domains.seat(domain);
    seat.busy = false;
    if matches!(outcome, Outcome::NotSent) {
        fail(node, domain);
        return;
    }
    seat.taking = true;
    look(node, domain, out);
}

/// This VM gave one domain up.
pub(crate) fn yielded(
    node: &mut Node,
    domain: Domain,
    fence: Fence,
    outcome: &Outcome,
    out: &mut Effects,
) {
    node.domains.seat(domain).busy = false;
    match outcome {
        Outcome::Done(_) if node.domains.held_under(domain, fence).is_some() => {
            holder::drop_domain(node, domain, "moved", out);
            vacated(node, domain, out);
        }
        _ => look_now(node, domain, out),
    }
}

/// This VM no longer holds a domain: tells the VM that is to hold it next.
pub(crate) fn vacated(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let patience = Span::from_millis(node.settings.tuning.lease_ttl_ms);
    let seat = node.domains.seat(domain);
    seat.holder = None;
    seat.empty = now;
    seat.next = now + patience;
    refresh(node);
    let name = node.catalog.domains.get(domain).name.clone();
    let me = node.settings.vm.clone();
    let next = node.domains.spread.targets.get(&name).cloned();
    let Some(next) = next.filter(|vm| *vm != me) else {
        node.domains.seat(domain).next = now;
        return;
    };
    let notice = NotHolder {
        domain: name,
        holder: None,
    };
    node.send(&next, Message::NotHolder(notice), out);
}

/// Gives one domain to the VM that the even spread names, where this VM holds more than its share. One at a time,
/// with a pause, and never while an order is on its way.
fn balance(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let spread = &node.domains.spread;
    let share = assign::share(spread.domains.len(), spread.vms.len());
    let settled = now.since(spread.since) >= SETTLED && now.since(spread.moved) >= MOVE_PAUSE;
    if node.domains.held.len() <= share || !settled {
        return;
    }
    let me = &node.settings.vm;
    let moved = node.domains.held.iter().find(|(domain, held)| {
        let name = &node.catalog.domains.get(**domain).name;
        let busy = node.domains.seats.get(domain).is_none_or(|seat| seat.busy);
        let elsewhere = spread.targets.get(name).is_some_and(|vm| vm != me);
        elsewhere && !busy && held.quiet() && !node.domains.orders_of(**domain)
    });
    let Some((&domain, held)) = moved else {
        return;
    };
    let fence = held.fence;
    node.domains.spread.moved = now;
    delete(
        node,
        domain,
        Revision(fence.0),
        What::Yield(domain, fence),
        out,
    );
}

/// News of a holder: the highest fencing number counts.
pub(crate) fn heard(node: &mut Node, domain: Domain, known: Known, out: &mut Effects) -> bool {
    let seat = node.domains.seat(domain);
    let newer = known.fence > seat.top;
    let more = known.fence == seat.top && known.incarnation.is_some();
    if !newer && !more {
        return false;
    }
    seat.top = known.fence;
    let fence = known.fence;
    seat.holder = Some(known);
    if newer {
        spread(node, domain);
    }
    if node
        .domains
        .held
        .get(&domain)
        .is_some_and(|held| held.fence < fence)
    {
        holder::drop_domain(node, domain, "newer_holder", out);
    }
    newer
}

/// Tells neighbours who holds a domain.
fn spread(node: &mut Node, domain: Domain) {
    if let Some(holder) = hint(node, domain) {
        crate::fleet::spread(node, holder);
    }
}

/// A domain's holder, as a hint for others.
pub(crate) fn hint(node: &Node, domain: Domain) -> Option<peer::Holder> {
    let known = node.domains.seats.get(&domain)?.holder.as_ref()?;
    Some(peer::Holder {
        domain: node.catalog.domains.get(domain).name.clone(),
        vm: known.vm.clone(),
        fence: known.fence,
    })
}

/// A VM that was believed to hold a domain says that it does not.
pub(crate) fn denied(node: &mut Node, domain: Domain, from: &id::Vm) {
    let now = node.now;
    let seat = node.domains.seat(domain);
    match &seat.holder {
        Some(known) if known.vm != *from => {}
        Some(_) => {
            seat.holder = None;
            seat.empty = now;
            seat.next = now;
        }
        None => seat.next = now,
    }
}

fn fail(node: &mut Node, domain: Domain) {
    let tuning = &node.settings.tuning;
    let (first, limit) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let now = node.now;
    node.domains.seat(domain).backoff.fail(now, first, limit);
}
