//! The holder's side of a control domain: its grantees, and what each of them is told.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::demand::Demand;
use super::host::{Entry, Host, Phase, Place};
use super::record::{Intent, Record, Start, Writer};
use super::{seat, update};
use crate::Node;
use crate::catalog::Catalog;
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Domain, Server};
use crate::id::{self, Fence, Grant, Incarnation};
use crate::log::{self, Code};
use crate::time::{Instant, Span};

/// How many order timeouts after its sender is done an unload may still take effect at most.
pub(crate) const SETTLE: u64 = 2;

/// A grant as the holder keeps it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    /// Where it is for.
    pub(crate) place: Place,
    /// The first update that carried it, or none before that.
    pub(crate) first: Option<u64>,
    /// Whether the grantee has processed such an update.
    pub(crate) confirmed: bool,
    /// Whether it is to be released.
    pub(crate) revoked: bool,
}

/// What a grantee waits for, with times on the holder's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    /// The grantee.
    pub(crate) peer: u32,
    /// Requests that wait.
    pub(crate) waiting: u32,
    /// The sum of their weights, in thousandths.
    pub(crate) weight: u32,
    /// When the first of them gives up.
    pub(crate) until: Instant,
}

/// A grantee.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(crate) struct Peer {
    /// Its start.
    pub(crate) start: Start,
    /// Whether the record in the key-value service names it.
    pub(crate) recorded: bool,
    /// Whether the record named it when this VM took the domain.
    pub(crate) inherited: bool,
    /// Whether it has told all that it holds under this holder's number.
    pub(crate) full: bool,
    /// Whether it was taken for gone, and so does not know that it must tell.
    pub(crate) estranged: bool,
    /// Its last ask.
    pub(crate) nonce: u64,
    /// The last update that it has processed.
    pub(crate) seen: u64,
    /// The last update sent to it.
    pub(crate) seq: u64,
    /// When it was last heard of.
    pub(crate) heard: Instant,
    /// When an update was last sent to it.
    pub(crate) sent: Instant,
    /// When loads were last sent to it.
    pub(crate) loads: Instant,
    /// Whether it is to be sent an update in this step.
    pub(crate) due: bool,
    /// Its grants.
    pub(crate) grants: BTreeMap<Grant, Out>,
    /// Adapters that it waits for.
    pub(crate) wants: Vec<Adapter>,
    /// Requests that it has in flight, by adapter.
    pub(crate) uses: FxHashMap<Adapter, u32>,
}

impl Peer {
    fn new(start: Start, now: Instant) -> Self {
        Self {
            start,
            recorded: false,
            inherited: false,
            full: false,
            estranged: false,
            nonce: 0,
            seen: 0,
            seq: 0,
            heard: now,
            sent: Instant::default(),
            loads: Instant::default(),
            due: false,
            grants: BTreeMap::new(),
            wants: Vec::new(),
            uses: FxHashMap::default(),
        }
    }

    /// Whether something that it was told is not confirmed yet.
    pub(crate) fn unsettled(&self) -> bool {
        !self.full
            || self
                .grants
                .values()
                .any(|grant| grant.revoked || !grant.confirmed)
    }
}

/// An unload that an earlier holder may still send.
#[derive(Debug)]
pub(crate) struct Foreign {
    /// As the record names it.
    pub(crate) intent: Intent,
    /// Where it is for, where the configuration names that.
    pub(crate) place: Option<Place>,
    /// Until when it may take effect, once its holder is known to send it no more.
    pub(crate) until: Option<Instant>,
}

/// A domain that this VM holds.
#[derive(Debug)]
pub(crate) struct Held {
    /// The fencing number.
    pub(crate) fence: Fence,
    /// Whether the record was read, so that grants may be given.
    pub(crate) active: bool,
    /// The record as it is written.
    pub(crate) writer: Writer,
    /// Grantees.
    pub(crate) peers: BTreeMap<u32, Peer>,
    /// The last update and the last ask of starts that were taken for gone. If one of them speaks after all, its
    /// numbers go on, so that nothing late is taken for new.
    pub(crate) forgotten: BTreeMap<Start, (u64, u64)>,
    /// Grantees by their starts.
    pub(crate) starts: BTreeMap<Start, u32>,
    /// The number of the last grantee.
    last_peer: u32,
    /// The number of the last grant.
    last_grant: u64,
    /// Servers.
    pub(crate) hosts: BTreeMap<Server, Host>,
    /// What grantees wait for.
    pub(crate) waiting: BTreeMap<Adapter, SmallVec<[Wanted; 2]>>,
    /// Decayed demand.
    pub(crate) demand: Demand,
    /// When the holdings of the last grantee that had not told them became known.
    pub(crate) cleared: Instant,
    /// Unloads of earlier holders that may still take effect.
    pub(crate) foreign: Vec<Foreign>,
    /// Places whose adapter is being unloaded.
    pub(crate) evicting: BTreeSet<Place>,
    /// When adapters that are waited for are expected.
    pub(crate) expected: BTreeMap<Adapter, Instant>,
    /// What placement remembers.
    pub(crate) plan: super::place::Plan,
    /// When timers were last looked at.
    pub(crate) checked: Instant,
}

impl Held {
    fn new(fence: Fence, now: Instant) -> Self {
        Self {
            fence,
            active: false,
            writer: Writer::new(),
            peers: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            starts: BTreeMap::new(),
            last_peer: 0,
            last_grant: 0,
            hosts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            demand: Demand::default(),
            cleared: now,
            foreign: Vec::new(),
            evicting: BTreeSet::new(),
            expected: BTreeMap::new(),
            plan: super::place::Plan::default(),
            checked: now,
        }
    }

    /// Whether no order, eviction or write is in progress.
    pub(crate) fn quiet(&self) -> bool {
        self.active && !self.writer.busy() && self.evicting.is_empty()
    }

    /// The row of a start, new where it has none.
    pub(crate) fn peer(&mut self, start: &Start, now: Instant) -> u32 {
        if let Some(&peer) = self.starts.get(start) {
            return peer;
        }
        self.last_peer += 1;
        let peer = self.last_peer;
        self.starts.insert(start.clone(), peer);
        let mut row = Peer::new(start.clone(), now);
        if let Some((seq, nonce)) = self.forgotten.remove(start) {
            (row.seq, row.nonce) = (seq, nonce);
            row.estranged = true;
            row.inherited = true;
        }
        self.peers.insert(peer, row);
        peer
    }

    /// The entry of a place.
    pub(crate) fn entry(&self, (server, adapter): Place) -> Option<&Entry> {
        self.hosts.get(&server)?.entries.get(&adapter)
    }

    /// The entry of a place, to change it.
    pub(crate) fn entry_mut(&mut self, (server, adapter): Place) -> Option<&mut Entry> {
        self.hosts.get_mut(&server)?.entries.get_mut(&adapter)
    }

    /// Whether grantees of earlier holders have not yet told what they hold.
    pub(crate) fn unknown(&self) -> bool {
        self.peers.values().any(|peer| peer.inherited && !peer.full)
    }

    /// Whether an earlier unload of that place may still take effect.
    pub(crate) fn blocked(&self, place: Place, now: Instant) -> bool {
        let foreign = |foreign: &Foreign| {
            foreign.place == Some(place) && foreign.until.is_none_or(|until| until > now)
        };
        self.foreign.iter().any(foreign)
            || self
                .hosts
                .get(&place.0)
                .is_some_and(|host| host.blocks(place.1, now))
    }

    /// A number for a new grant.
    pub(crate) fn next_grant(&mut self) -> Grant {
        self.last_grant += 1;
        Grant(self.last_grant)
    }

    /// What the record is to name.
    pub(crate) fn desired(&self, catalog: &Catalog, now: Instant) -> Record {
        let grantees = self
            .peers
            .values()
            .filter(|peer| peer.inherited || peer.nonce > 0)
            .map(|peer| peer.start.clone())
            .collect();
        let foreign = self.foreign.iter().map(|foreign| foreign.intent.clone());
        let own = self.own_intents(catalog, now);
        let boots = self
            .hosts
            .iter()
            .filter(|(_, host)| host.clean)
            .filter_map(|(server, host)| {
                Some((catalog.servers.get(*server).name.clone(), host.boot?))
            })
            .collect();
        Record {
            grantees,
            intents: foreign.chain(own).collect(),
            boots,
        }
    }

    /// Unloads of this holder that may take effect, on servers that do not check fencing numbers.
    fn own_intents<'a>(
        &'a self,
        catalog: &'a Catalog,
        now: Instant,
    ) -> impl Iterator<Item = Intent> + 'a {
        let blocked = self.hosts.iter().flat_map(move |(server, host)| {
            let open = host.blocked.iter().filter(move |(_, until)| **until > now);
            open.map(move |(adapter, _)| (*server, *adapter))
        });
        self.evicting
            .iter()
            .copied()
            .chain(blocked)
            .filter(|(server, _)| !super::checks_fences(catalog, *server))
            .filter_map(move |place| self.own_intent(catalog, place))
    }

    fn own_intent(&self, catalog: &Catalog, (server, adapter): Place) -> Option<Intent> {
        Some(Intent {
            by: self.plan.me.clone()?,
            server: catalog.servers.get(server).name.clone(),
            adapter: catalog.adapters.get(adapter).name.clone(),
        })
    }

    /// Whether the record names the unload of a place by this holder.
    pub(crate) fn intended(&self, catalog: &Catalog, place: Place) -> bool {
        self.own_intent(catalog, place)
            .is_some_and(|intent| self.writer.committed.intents.contains(&intent))
    }
}

/// This VM holds a domain under a fencing number.
pub(crate) fn hold(node: &mut Node, domain: Domain, fence: Fence, out: &mut Effects) {
    let now = node.now;
    if node
        .domains
        .held
        .get(&domain)
        .is_some_and(|held| held.fence == fence)
    {
        return;
    }
    drop_domain(node, domain, "new_number", out);
    let start = super::start(node);
    let mut held = Held::new(fence, now);
    held.plan.me = Some(start.clone());
    node.domains.held.insert(domain, held);
    let known = seat::Known {
        vm: start.vm,
        incarnation: Some(start.incarnation),
        fence,
    };
    seat::heard(node, domain, known, out);
    let name = &node.catalog.domains.get(domain).name;
    let detail = format!("domain={name} fence={}", fence.0);
    out.push(Effect::Log(log::Record::new(Code::LeaseTaken, detail)));
    configured(node, domain);
    super::record::flush(node, domain, out);
    super::report::poll(node, domain, out);
}

/// This VM no longer holds a domain. Its orders on their way are answered to nobody.
pub(crate) fn drop_domain(node: &mut Node, domain: Domain, cause: &str, out: &mut Effects) {
    let Some(held) = node.domains.held.remove(&domain) else {
        return;
    };
    super::order::forget(node, domain);
    let name = &node.catalog.domains.get(domain).name;
    let detail = format!("domain={name} fence={} cause={cause}", held.fence.0);
    out.push(Effect::Log(log::Record::new(Code::LeaseLost, detail)));
}

/// Brings the servers of a held domain in line with the configuration in force.
pub(crate) fn configured(node: &mut Node, domain: Domain) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    for server in &node.catalog.domains.get(domain).servers {
        held.hosts.entry(*server).or_insert_with(|| Host {
            heard: now,
            ..Host::default()
        });
    }
}

/// The record was read or written: grantees that it names may be given grants, unloads that it names be ordered.
pub(crate) fn record_known(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let me = super::start(node);
    let settle = settle(node);
    let catalog = &node.catalog;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if !held.active {
        held.active = true;
        for (server, host) in &mut held.hosts {
            let name = &catalog.servers.get(*server).name;
            let before = held.writer.committed.boots.get(name);
            host.clean = host.boot.is_some() && host.boot.as_ref() == before;
        }
        for start in held.writer.committed.grantees.clone() {
            let peer = held.peer(&start, now);
            if let Some(peer) = held.peers.get_mut(&peer) {
                peer.inherited = true;
                peer.due = true;
            }
        }
        for intent in held.writer.committed.intents.clone() {
            // Its holder must hear of the new number, to say that it sends no more.
            let by = held.peer(&intent.by, now);
            if let Some(peer) = held.peers.get_mut(&by) {
                peer.due = true;
            }
            let server = catalog.servers.find(&intent.server);
            let adapter = catalog.adapters.find(&intent.adapter);
            held.foreign.push(Foreign {
                place: server.zip(adapter),
                until: (intent.by == me).then(|| now + settle),
                intent,
            });
        }
    }
    let Held { peers, writer, .. } = held;
    for peer in peers.values_mut() {
        let recorded = writer.committed.grantees.contains(&peer.start);
        peer.due |= recorded && !peer.recorded;
        peer.recorded = recorded;
    }
    super::grant::offer_all(node, domain);
    pump(node, domain, out);
}

/// How long after its sender is done an unload may still take effect.
pub(crate) fn settle(node: &Node) -> Span {
    Span::from_millis(node.settings.tuning.order_timeout_ms).times(SETTLE)
}

/// A start of a VM has said that it knows this holder's number: it sends no order of its own any more.
pub(crate) fn acknowledged(node: &mut Node, domain: Domain, start: &Start) {
    let until = node.now + settle(node);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    for foreign in &mut held.foreign {
        if foreign.intent.by == *start && foreign.until.is_none() {
            foreign.until = Some(until);
        }
    }
}

/// Brings everything that follows from a change of a held domain about.
pub(crate) fn pump(node: &mut Node, domain: Domain, out: &mut Effects) {
    super::evict::advance(node, domain, out);
    super::place::run(node, domain, out);
    update::flush(node, domain, out);
    super::record::flush(node, domain, out);
}

/// Looks at timers: grantees that are gone or silent, polls, what was said but not confirmed.
pub(crate) fn tick(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let repeat = Span::from_millis(node.settings.tuning.ask_retry_ms);
    super::report::poll(node, domain, out);
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if now.since(held.checked) < repeat {
        // Between two looks only what is already due goes on.
        super::evict::advance(node, domain, out);
        super::place::run(node, domain, out);
        update::flush(node, domain, out);
        return;
    }
    held.checked = now;
    for peer in held.peers.values_mut() {
        peer.due |= peer.unsettled() && now.since(peer.sent) >= repeat;
    }
    let half_life = Span::from_millis(node.settings.tuning.demand_half_life_ms);
    held.demand.sweep(now, half_life);
    let known = !held.unknown();
    for host in held.hosts.values_mut() {
        host.forget(now);
        if known && !host.clean && host.boot.is_some() && !host.owed() {
            host.clean = true;
            held.writer.touch();
        }
    }
    collect_gone(node, domain);
    super::order::fence_hosts(node, domain, out);
    pump(node, domain, out);
}

/// Ends the grants of starts that are certainly over, or silent for so long that nothing of theirs can be in flight.
fn collect_gone(node: &mut Node, domain: Domain) {
    let now = node.now;
    let abandon = Span::from_millis(node.settings.tuning.grant_abandon_ms);
    let settle = settle(node);
    let Some(held) = node.domains.held.get(&domain) else {
        return;
    };
    let over = |start: &Start| seat::is_gone(node, &start.vm, start.incarnation);
    // A VM that others still hear of serves on under its grants, so its silence here proves nothing.
    let silent = |peer: &Peer| {
        now.since(peer.heard) >= abandon && !node.fleet.live().any(|vm| *vm == peer.start.vm)
    };
    let gone: Vec<u32> = held
        .peers
        .iter()
        .filter(|(_, peer)| over(&peer.start) || silent(peer))
        .map(|(peer, _)| *peer)
        .collect();
    let ended: Vec<bool> = held
        .foreign
        .iter()
        .map(|foreign| foreign.until.is_none() && over(&foreign.intent.by))
        .collect();
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    for (foreign, ended) in held.foreign.iter_mut().zip(ended) {
        if ended {
            foreign.until = Some(now + settle);
        }
    }
    held.foreign
        .retain(|foreign| foreign.until.is_none_or(|until| until > now));
    held.writer.touch();
    for peer in gone {
        super::grant::forget_peer(held, peer, now);
    }
}

/// The name and start of a grantee, for a message.
pub(crate) fn addressee(held: &Held, peer: u32) -> Option<(id::Vm, Incarnation)> {
    let start = &held.peers.get(&peer)?.start;
    Some((start.vm.clone(), start.incarnation))
}

/// Whether nothing of a place is granted, so that it may be unloaded as far as grants go.
pub(crate) fn collected(held: &Held, place: Place) -> bool {
    let entry = held.entry(place);
    entry.is_some_and(|entry| {
        (entry.own || !held.unknown()) && entry.lent.is_empty() && entry.phase == Phase::Evicting
    })
}
