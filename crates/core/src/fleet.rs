//! The other entry VMs: who is there, who is leaving, and how this VM leaves.
//!
//! Each VM sends heartbeats to a bounded number of neighbours and misses those that others owe it. Whoever misses a
//! neighbour asks it for a sign of life, then suspects it and tells; a suspected VM that lives hears of it and shows
//! itself. What is decided on this knowledge is only ever a matter of speed, except for [`State::gone`], which asks
//! for evidence.

mod drain;
mod gossip;
mod member;
mod pace;
mod ring;
mod status;
mod watch;

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use crate::Node;
use crate::effect::{Effect, Effects};
use crate::event::Listed;
use crate::id::{self, Edition, Incarnation, Ticket};
use crate::operator::Reply;
use crate::peer::{Heartbeat, Holder, Member};
use crate::settings::Settings;
use crate::time::Instant;

use member::Row;
use ring::{Links, Point};

/// The members of the fleet as this VM sees them.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)]
pub(crate) struct State {
    /// Whether this VM is shutting down.
    pub(crate) draining: bool,
    /// Goes up whenever [`State::live`] changes.
    pub(crate) version: u64,
    /// What this VM says of itself.
    own: Member,
    /// The hash of this VM's name.
    hash: u64,
    /// Times and counts from the settings.
    pace: pace::Pace,
    /// Neighbours wanted in the same availability zone.
    near: u64,
    /// Neighbours wanted over the whole fleet.
    far: u64,
    /// The time of the last pass.
    now: Instant,
    /// The other VMs.
    rows: BTreeMap<id::Vm, Row>,
    /// The VMs that are live and not leaving, with the hashes of their names, in order of name.
    live: Vec<(id::Vm, u64)>,
    /// The neighbours.
    links: Links,
    /// Whether [`State::live`] is to be brought in line with the rows.
    stale: bool,
    /// Whether the neighbours are to be found anew.
    dirty: bool,
    /// Whether there is news that does not wait for the next round.
    urgent: bool,
    /// When the last round of heartbeats was sent.
    sent: Instant,
    /// When the whole table was last passed over.
    swept: Instant,
    /// Members to tell on as news.
    news: VecDeque<id::Vm>,
    /// The member that was last told in turn.
    turn: Option<id::Vm>,
    /// Who holds which domain.
    holders: gossip::Holders,
    /// The domain whose holder was last told in turn.
    holder_turn: Option<id::Domain>,
    /// When the platform's list first came.
    first_listed: Option<Instant>,
    /// When the platform's list last came.
    listed: Option<Instant>,
    /// Whether that list says that this VM is leaving.
    listed_leaving: bool,
    /// The shutdown in progress.
    drain: Option<drain::Drain>,
}

impl State {
    /// A fleet of this VM alone.
    pub(crate) fn new(settings: &Settings) -> Self {
        let hash = ring::digest(settings.vm.as_str().as_bytes());
        Self {
            draining: false,
            version: 1,
            own: Member {
                vm: settings.vm.clone(),
                address: settings.address.clone(),
                zone: settings.zone.clone(),
                incarnation: settings.incarnation,
                beat: 0,
                leaving: false,
                edition: Edition(0),
            },
            hash,
            pace: pace::Pace::new(&settings.tuning),
            near: settings.tuning.neighbours_near,
            far: settings.tuning.neighbours_far,
            now: Instant::default(),
            rows: BTreeMap::new(),
            live: vec![(settings.vm.clone(), hash)],
            links: Links::default(),
            stale: false,
            dirty: false,
            urgent: false,
            sent: Instant::default(),
            swept: Instant::default(),
            news: VecDeque::new(),
            turn: None,
            holders: BTreeMap::new(),
            holder_turn: None,
            first_listed: None,
            listed: None,
            listed_leaving: false,
            drain: None,
        }
    }

    /// The address of a VM that is not known to be gone.
    pub(crate) fn address(&self, vm: &id::Vm) -> Option<String> {
        let row = self.rows.get(vm).filter(|row| !self.row_gone(row))?;
        Some(row.member.address.clone())
    }

    /// The VMs that are live and not leaving, this one included, in order of name.
    pub(crate) fn live(&self) -> impl Iterator<Item = &id::Vm> {
        self.live.iter().map(|(vm, _)| vm)
    }

    /// Whether a VM is among them.
    pub(crate) fn is_live(&self, vm: &id::Vm) -> bool {
        self.live.binary_search_by(|row| row.0.cmp(vm)).is_ok()
    }

    /// The live VM that a key belongs to, by rendezvous hashing.
    pub(crate) fn home(&self, key: &[u8]) -> Option<&id::Vm> {
        let key = ring::digest(key);
        let best = self
            .live
            .iter()
            .max_by_key(|(_, hash)| ring::score(*hash, key));
        best.map(|(vm, _)| vm)
    }

    /// Whether that start of a VM is certainly over: a newer start was heard of, no process listens at its
    /// address, or the platform no longer lists it and it is silent.
    pub(crate) fn gone(&self, vm: &id::Vm, incarnation: Incarnation) -> bool {
        if *vm == self.own.vm {
            return incarnation < self.own.incarnation;
        }
        match self.rows.get(vm).filter(|row| row.heard) {
            Some(row) if incarnation < row.member.incarnation => true,
            Some(row) if incarnation == row.member.incarnation => self.row_gone(row),
            Some(_) => false,
            None => self.never_heard_of(vm),
        }
    }

    /// Whether a VM that this one never heard of is not there: the lists of a long time have not had it.
    fn never_heard_of(&self, vm: &id::Vm) -> bool {
        let patience = self.pace.gone.times(2);
        let lists = self.first_listed.zip(self.listed);
        !self.rows.contains_key(vm) && lists.is_some_and(|(first, last)| last >= first + patience)
    }

    /// Brings the list of live VMs in line with the rows.
    fn refresh(&mut self) {
        self.stale = false;
        let own = !(self.draining || self.listed_leaving);
        let own = own.then_some((&self.own.vm, self.hash));
        let others = self.rows.values().filter(|row| row.live());
        let others = others.map(|row| (&row.member.vm, row.hash));
        let mut live: Vec<(&id::Vm, u64)> = others.chain(own).collect();
        live.sort_unstable();
        let same = live.len() == self.live.len();
        let same = same
            && live
                .iter()
                .zip(&self.live)
                .all(|(new, old)| *new.0 == old.0);
        if !same {
            self.live = live
                .into_iter()
                .map(|(vm, hash)| (vm.clone(), hash))
                .collect();
            self.version += 1;
        }
    }

    /// Finds the neighbours anew.
    fn relink(&mut self) {
        self.dirty = false;
        let grace = self.pace.suspect.times(2);
        let reachable = |row: &&Row| {
            row.present() || !row.heard && row.listed && self.now.since(row.added) < grace
        };
        let me = Point {
            vm: &self.own.vm,
            zone: &self.own.zone,
            hash: self.hash,
        };
        let others = self.rows.values().filter(reachable).map(|row| Point {
            vm: &row.member.vm,
            zone: &row.member.zone,
            hash: row.hash,
        });
        let points: Vec<Point> = others.chain([me]).collect();
        let links = Links::find(&points, me, self.near, self.far);
        for row in self.rows.values_mut() {
            let expected = links.from.contains(&row.member.vm);
            row.expected = expected.then(|| row.expected.unwrap_or(self.now));
        }
        self.links = links;
    }
}

/// Holder news to spread with the next heartbeats.
pub(crate) fn spread(node: &mut Node, holder: Holder) {
    gossip::spread(node, holder);
}

/// Asks a VM for a sign of life: where its start is over, its refusal says so.
pub(crate) fn probe(node: &mut Node, vm: &id::Vm, out: &mut Effects) {
    gossip::probe(node, vm, out);
}

/// A message came; says whether its sender may be listened to (not a start that is known to be over).
pub(crate) fn heard(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    out: &mut Effects,
) -> bool {
    let now = node.now;
    if *from == node.settings.vm {
        return incarnation == node.settings.incarnation;
    }
    let pause = node.fleet.pace.urgent;
    let Some(row) = node.fleet.rows.get_mut(from) else {
        return true;
    };
    if incarnation < row.member.incarnation {
        if now.since(row.probed) >= pause {
            gossip::probe(node, from, out);
        }
        return false;
    }
    row.direct = Some(now);
    row.muted = Instant(0);
    if incarnation > row.member.incarnation {
        let mut news = row.member.clone();
        news.incarnation = incarnation;
        news.beat = 0;
        news.leaving = false;
        row.adopt(news, now);
        node.fleet.dirty = true;
        node.fleet.refresh();
    } else {
        row.refused = false;
    }
    true
}

/// A heartbeat came.
pub(crate) fn heartbeat(node: &mut Node, from: &id::Vm, beat: Heartbeat, out: &mut Effects) {
    gossip::receive(node, from, beat, out);
}

/// The platform's list came.
pub(crate) fn listed(node: &mut Node, vms: Vec<Listed>, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    let first = fleet.first_listed.is_none();
    fleet.first_listed.get_or_insert(now);
    fleet.listed = Some(now);
    fleet.listed_leaving = false;
    fleet.rows.values_mut().for_each(|row| row.listed = false);
    for listed in vms {
        if listed.vm == fleet.own.vm {
            fleet.listed_leaving = listed.leaving;
            continue;
        }
        let row = fleet.rows.entry(listed.vm).or_insert_with_key(|vm| {
            fleet.dirty = true;
            Row::new(vm.clone(), listed.address.clone(), listed.zone, now)
        });
        row.listed = true;
        row.listed_leaving = listed.leaving;
        if !row.heard {
            row.member.address = listed.address;
        }
    }
    fleet.rows.retain(|_, row| row.heard || row.listed);
    fleet.refresh();
    if first {
        fleet.relink();
        gossip::round(node, out);
    }
}

/// A link broke.
pub(crate) fn down(node: &mut Node, vm: &id::Vm, refused: bool, out: &mut Effects) {
    let now = node.now;
    let pace = node.fleet.pace;
    let Some(row) = node
        .fleet
        .rows
        .get_mut(vm)
        .filter(|row| row.heard && refused)
    else {
        return;
    };
    // A refusal that was in the mailbox while a new start already spoke says nothing of that start.
    if row.direct.is_some_and(|at| now.since(at) < pace.urgent) {
        return;
    }
    row.refused = true;
    watch::suspect(node, vm, out);
}

/// This VM was not run for a while.
pub(crate) fn paused(node: &mut Node, out: &mut Effects) {
    watch::forgive(node);
    gossip::round(node, out);
}

/// This VM is told to stop.
pub(crate) fn shutdown(node: &mut Node, now: bool, out: &mut Effects) {
    drain::begin(node, now, out);
}

/// An operator wants the state of the fleet.
pub(crate) fn status(node: &mut Node, ticket: Ticket, out: &mut Effects) {
    let reply = Reply::Status(Box::new(status::report(node)));
    out.push(Effect::Reply { ticket, reply });
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    if node.fleet.now == Instant::default() {
        // Rounds of VMs that start together are spread over the interval.
        let beat = node.fleet.pace.beat.0.max(1);
        node.fleet.sent = now.back(crate::time::Span(node.rng.random_range(0..beat)));
    }
    node.fleet.now = now;
    watch::pass(node, out);
    if node.fleet.dirty {
        node.fleet.relink();
    }
    node.fleet.urgent |= node.fleet.own.edition != node.sync.edition;
    let since = now.since(node.fleet.sent);
    let pace = node.fleet.pace;
    if since >= pace.beat || node.fleet.urgent && since >= pace.urgent {
        gossip::round(node, out);
    }
    drain::pass(node, out);
}

/// Adds what is broken in the table of members.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    let fleet = &node.fleet;
    let mut add = |text: String| broken.push(format!("fleet: {text}"));
    if !fleet.live.is_sorted() {
        add("live VMs are not in order".to_owned());
    }
    if !fleet.own.beat.is_multiple_of(member::BEAT) {
        add(format!("own beat {} is odd", fleet.own.beat));
    }
    for (vm, _) in &fleet.live {
        let live = fleet.rows.get(vm).is_none_or(Row::live);
        if !live {
            add(format!("{vm} is listed as live and is not"));
        }
    }
    for (vm, row) in &fleet.rows {
        if row.live()
            && fleet
                .live
                .binary_search_by(|(name, _)| name.cmp(vm))
                .is_err()
        {
            add(format!("{vm} is live and not listed as such"));
        }
        if row.rounds > 0 && !fleet.news.contains(vm) {
            add(format!("{vm} is news that is not told"));
        }
        if !row.heard && !row.listed {
            add(format!("{vm} is neither heard of nor listed"));
        }
    }
    let bound = usize::try_from(fleet.near + fleet.far).unwrap_or(usize::MAX) + 2;
    if fleet.links.to.len() > bound || fleet.links.from.len() > bound {
        add(format!("more than {bound} neighbours"));
    }
}
