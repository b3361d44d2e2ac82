//! Heartbeats: what is told, to whom, and what is made of what others tell.
//!
//! A heartbeat carries the sender itself, the news that is still to be told on, and, where there is room, other
//! members in turn. So its size is bounded, and a member's slow news comes round to everybody in the end.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::Node;
use crate::effect::{Effect, Effects};
use crate::id::{self, Domain};
use crate::log::{Code, Record};
use crate::peer::{Heartbeat, Holder, Member, Message};
use crate::{domain, sync};

use super::drain;
use super::member::{self, BEAT, Row};

/// Rounds of heartbeats in which a piece of news is told on.
pub(super) const ROUNDS: u8 = 2;

/// Members told in turn in a heartbeat that has little news.
const TURNS: usize = 6;

/// Pieces of news about members in one heartbeat at most.
const NEWS: usize = 24;

/// Pieces of news about holders in one heartbeat at most.
const HOLDERS: usize = 8;

/// Members in one of the heartbeats that tell a newcomer of the whole fleet.
const SHEET: usize = 64;

/// A VM whose beat is not above this has just started.
const FRESH: u64 = 8 * BEAT;

/// Who holds a domain, as far as this VM has heard.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    /// The holder.
    pub(super) holder: Holder,
    /// In how many more rounds of heartbeats it is told on as news.
    rounds: u8,
}

/// Sends a heartbeat to every neighbour.
pub(super) fn round(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    fleet.sent = now;
    fleet.urgent = false;
    fleet.own.beat += BEAT;
    fleet.own.leaving = fleet.draining || fleet.listed_leaving;
    fleet.own.edition = node.sync.edition;
    let news = fleet.news();
    let holders = fleet.holder_news();
    let links = fleet.links.to.clone();
    for vm in links {
        let mut members = vec![fleet.own.clone()];
        let told = news.iter().filter(|name| **name != vm);
        members.extend(
            told.filter_map(|name| fleet.rows.get(name))
                .map(|row| row.member.clone()),
        );
        fleet.take_turns(&vm, &mut members);
        let holders = holders.clone();
        fleet.deliver(&vm, Heartbeat { members, holders }, out);
    }
}

/// Asks one VM for a sign of life, or gives it one: it sees what this VM last heard of it.
pub(super) fn probe(node: &mut Node, vm: &id::Vm, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    fleet.own.beat += BEAT;
    let Some(row) = fleet.rows.get_mut(vm) else {
        return;
    };
    row.probed = now;
    let members = vec![fleet.own.clone(), row.member.clone()];
    let holders = Vec::new();
    fleet.deliver(vm, Heartbeat { members, holders }, out);
}

/// A heartbeat came.
pub(super) fn receive(node: &mut Node, from: &id::Vm, beat: Heartbeat, out: &mut Effects) {
    let edition = beat
        .members
        .first()
        .filter(|own| own.vm == *from)
        .map(|own| own.edition);
    let sheet = beat.members.len() > 1 + TURNS + NEWS;
    for news in beat.members {
        if news.vm == node.settings.vm {
            own_name(node, from, &news, out);
        } else {
            learn(node, from, news, sheet, out);
        }
    }
    if node.fleet.stale {
        node.fleet.refresh();
    }
    for holder in beat.holders {
        domain::holder_is(node, holder.clone(), out);
        spread(node, holder);
    }
    if let Some(edition) = edition {
        sync::peer_has(node, from, edition, out);
    }
}

/// Holder news to spread with the next heartbeats; older news than is known is dropped.
pub(super) fn spread(node: &mut Node, holder: Holder) {
    let known = node.fleet.holders.get(&holder.domain);
    if known.is_some_and(|known| known.holder.fence >= holder.fence) {
        return;
    }
    let name = holder.domain.clone();
    let rounds = ROUNDS;
    node.fleet.urgent = true;
    node.fleet.holders.insert(name, Holding { holder, rounds });
}

/// Someone says something of this VM itself: it asks for a sign of life, or believes that this start is over.
fn own_name(node: &mut Node, from: &id::Vm, news: &Member, out: &mut Effects) {
    let own = node.settings.incarnation;
    if news.incarnation > own {
        let detail = format!("vm={} newer={}", news.vm, news.incarnation);
        out.push(Effect::Log(Record::new(Code::Paused, detail)));
        drain::begin(node, true, out);
        return;
    }
    let mistaken = member::suspicion(news) && news.incarnation == own;
    node.fleet.own.beat = node.fleet.own.beat.max((news.beat | 1) - 1);
    node.fleet.urgent |= mistaken;
    answer(node, from, out);
}

/// Gives a VM a sign of life, unless it just got one.
fn answer(node: &mut Node, to: &id::Vm, out: &mut Effects) {
    let pause = node.fleet.pace.urgent;
    let now = node.now;
    let Some(row) = node.fleet.rows.get(to) else {
        return;
    };
    if now.since(row.probed) < pause && row.probed.0 > 0 {
        return;
    }
    let own = node.fleet.sign();
    if let Some(row) = node.fleet.rows.get_mut(to) {
        row.probed = now;
    }
    let beat = Heartbeat {
        members: vec![own],
        holders: Vec::new(),
    };
    node.fleet.deliver(to, beat, out);
}

/// Takes news of another VM in, or sets the teller right.
///
/// What comes on a `sheet` is known to others, so that newcomer does not tell it on.
fn learn(node: &mut Node, from: &id::Vm, news: Member, sheet: bool, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    let itself = news.vm == *from;
    let row = fleet.rows.entry(news.vm.clone()).or_insert_with(|| {
        Row::new(
            news.vm.clone(),
            news.address.clone(),
            news.zone.clone(),
            now,
        )
    });
    let (known, told) = (member::order(&row.member), member::order(&news));
    let suspected = member::suspicion(&news);
    let hears = row
        .direct
        .is_some_and(|at| now.since(at) < fleet.pace.hears);
    match told.cmp(&known) {
        _ if !row.heard => {}
        Ordering::Greater if suspected && hears && !itself => {
            // This VM knows better, but only the one that is suspected can prove it.
            let vm = news.vm.clone();
            let members = vec![fleet.sign(), news];
            let holders = Vec::new();
            fleet.deliver(&vm, Heartbeat { members, holders }, out);
            return;
        }
        Ordering::Greater => {}
        Ordering::Equal => return,
        Ordering::Less if itself => return,
        Ordering::Less => {
            let at_odds = suspected != row.suspected();
            let asked = hears && known.1 >= told.1 + fleet.pace.stale_beats;
            if at_odds || asked {
                fleet.tell(&news.vm);
            }
            return;
        }
    }
    row.direct = if itself { Some(now) } else { row.direct };
    take(node, from, news, sheet, out);
}

/// Takes later news of another VM in and tells it on where it matters.
fn take(node: &mut Node, from: &id::Vm, news: Member, sheet: bool, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    let vm = news.vm.clone();
    let Some(row) = fleet.rows.get_mut(&vm) else {
        return;
    };
    let itself = vm == *from;
    let was = row.clone();
    row.adopt(news, now);
    if was.accused && row.present() && !itself {
        row.muted = now + fleet.pace.mute;
    }
    let joined = !was.heard || was.member.incarnation != row.member.incarnation;
    let lost = row.suspected() && !was.suspected();
    let left = row.member.leaving && !was.member.leaving;
    let back = was.suspected() && row.present();
    let newcomer = joined && itself && row.member.beat <= FRESH;
    let present = row.present();
    fleet.stale |= row.live() != was.live();
    if joined || lost || left || back {
        fleet.dirty = true;
        if !sheet {
            fleet.tell(&vm);
        }
    }
    fleet.urgent |= !joined && (lost || left || back);
    match () {
        () if joined && present => log(Code::PeerJoined, &vm, out),
        () if lost && !joined => log(Code::PeerSuspected, &vm, out),
        () => {}
    }
    if newcomer {
        introduce(node, &vm, out);
    }
}

/// Tells a newcomer of the whole fleet.
fn introduce(node: &mut Node, vm: &id::Vm, out: &mut Effects) {
    let fleet = &mut node.fleet;
    let heard = fleet
        .rows
        .values()
        .filter(|row| row.heard && row.member.vm != *vm);
    let members: Vec<Member> = heard.map(|row| row.member.clone()).collect();
    let holders: Vec<Holder> = fleet
        .holders
        .values()
        .map(|news| news.holder.clone())
        .collect();
    let sheets = members.len().max(holders.len()).div_ceil(SHEET);
    for sheet in 0..sheets {
        let own = fleet.sign();
        let part = members.iter().skip(sheet * SHEET).take(SHEET);
        let beat = Heartbeat {
            members: [own].into_iter().chain(part.cloned()).collect(),
            holders: holders
                .iter()
                .skip(sheet * SHEET)
                .take(SHEET)
                .cloned()
                .collect(),
        };
        fleet.deliver(vm, beat, out);
    }
}

/// Logs something about another VM.
pub(super) fn log(code: Code, vm: &id::Vm, out: &mut Effects) {
    out.push(Effect::Log(Record::new(code, format!("vm={vm}"))));
}

impl super::State {
    /// Has a member told on as news.
    pub(super) fn tell(&mut self, vm: &id::Vm) {
        if let Some(row) = self.rows.get_mut(vm) {
            if row.rounds == 0 {
                self.news.push_back(vm.clone());
            }
            row.rounds = ROUNDS;
        }
    }

    /// What this VM says of itself, one beat later.
    fn sign(&mut self) -> Member {
        self.own.beat += BEAT;
        self.own.clone()
    }

    /// Sends a heartbeat, also to a VM that counts as gone: it may be back.
    fn deliver(&self, vm: &id::Vm, beat: Heartbeat, out: &mut Effects) {
        let Some(row) = self.rows.get(vm) else {
            return;
        };
        out.push(Effect::Peer {
            to: vm.clone(),
            address: row.member.address.clone(),
            message: Message::Heartbeat(beat),
        });
    }

    /// The members to tell on in this round.
    fn news(&mut self) -> Vec<id::Vm> {
        let count = self.news.len().min(NEWS);
        let told: Vec<id::Vm> = self.news.drain(..count).collect();
        for vm in &told {
            let Some(row) = self.rows.get_mut(vm) else {
                continue;
            };
            row.rounds = row.rounds.saturating_sub(1);
            if row.rounds > 0 {
                self.news.push_back(vm.clone());
            }
        }
        told
    }

    /// The holders to tell on in this round: the news, and one other in turn.
    fn holder_news(&mut self) -> Vec<Holder> {
        let mut told = Vec::new();
        for news in self
            .holders
            .values_mut()
            .filter(|news| news.rounds > 0)
            .take(HOLDERS)
        {
            news.rounds -= 1;
            told.push(news.holder.clone());
        }
        let turn = next(&self.holders, self.holder_turn.as_ref());
        if let Some((domain, news)) = turn.filter(|_| told.is_empty()) {
            told.push(news.holder.clone());
            self.holder_turn = Some(domain.clone());
        }
        told
    }

    /// Adds members in turn to a heartbeat that has little news.
    fn take_turns(&mut self, to: &id::Vm, members: &mut Vec<Member>) {
        for _ in 0..(1 + TURNS).saturating_sub(members.len()) {
            let Some((vm, row)) = next(&self.rows, self.turn.as_ref()) else {
                return;
            };
            if row.heard && vm != to {
                members.push(row.member.clone());
            }
            self.turn = Some(vm.clone());
        }
    }
}

/// The entry after a key, or the first.
fn next<'a, K: Ord, V>(map: &'a BTreeMap<K, V>, after: Option<&K>) -> Option<(&'a K, &'a V)> {
    let later = after.and_then(|key| map.range((Excluded(key), Unbounded)).next());
    later.or_else(|| map.iter().next())
}

/// Holders by domain.
pub(super) type Holders = BTreeMap<Domain, Holding>;
