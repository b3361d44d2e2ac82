//! Who is silent: signs of life are asked for, suspicions raised, and VMs that are gone forgotten.

use rand::Rng;

use crate::Node;
use crate::effect::Effects;
use crate::id;
use crate::log::Code;
use crate::time::{Instant, Span};

use super::gossip;
use super::member::Row;

/// Time between two passes over the whole table.
const SWEEP: Span = Span::from_millis(500);

/// How long a suspected VM is remembered, so that old news does not bring it back.
const MEMORY: Span = Span::from_secs(300);

/// How long a member may go without any news before it is suspected though nobody missed it.
const FORGOTTEN: Span = Span::from_secs(300);

/// How many VMs, of the whole fleet, knock at an absent one in each pass.
const KNOCKS: f64 = 4.0;

/// Looks at the neighbours that are expected to send heartbeats.
pub(super) fn pass(node: &mut Node, out: &mut Effects) {
    let expected = node.fleet.links.from.clone();
    for vm in expected {
        neighbour(node, &vm, out);
    }
    if node.now.since(node.fleet.swept) >= SWEEP {
        node.fleet.swept = node.now;
        sweep(node, out);
    }
}

/// Looks at one neighbour.
fn neighbour(node: &mut Node, vm: &id::Vm, out: &mut Effects) {
    let now = node.now;
    let pace = node.fleet.pace;
    let Some(row) = node.fleet.rows.get_mut(vm).filter(|row| row.present()) else {
        return;
    };
    let since = row.expected.max(row.direct).unwrap_or(now);
    let quiet = now.since(since);
    let probed = now.since(row.probed) < Span(pace.beat.0 / 2);
    match quiet {
        _ if now < row.muted => {}
        quiet if quiet >= pace.suspect && now.since(row.word) < pace.ask => {
            row.muted = now + pace.mute;
        }
        quiet if quiet >= pace.suspect => suspect(node, vm, out),
        quiet if quiet >= pace.ask && !probed => {
            node.fleet.tell(vm);
            gossip::probe(node, vm, out);
        }
        _ => {}
    }
}

/// Raises a suspicion and has it told on at once.
pub(super) fn suspect(node: &mut Node, vm: &id::Vm, out: &mut Effects) {
    let now = node.now;
    let Some(row) = node.fleet.rows.get_mut(vm).filter(|row| row.present()) else {
        return;
    };
    row.doubt(now);
    let refused = row.refused;
    node.fleet.urgent = true;
    node.fleet.tell(vm);
    node.fleet.dirty = true;
    node.fleet.refresh();
    gossip::log(Code::PeerSuspected, vm, out);
    if !refused {
        gossip::probe(node, vm, out);
    }
}

/// Looks at every row.
fn sweep(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let fleet = &mut node.fleet;
    let gone = fleet.newly_gone();
    for vm in gone {
        gossip::log(Code::PeerGone, &vm, out);
        if let Some(row) = fleet.rows.get_mut(&vm) {
            row.buried = true;
        }
    }
    fleet.rows.retain(|_, row| keep(row, now));
    fleet.dirty |= fleet.rows.values().any(|row| !row.heard);
    let forgotten = fleet.rows.values().filter(|row| row.present());
    let forgotten = forgotten.filter(|row| now.since(row.word) >= FORGOTTEN);
    let forgotten: Vec<id::Vm> = forgotten.map(|row| row.member.vm.clone()).collect();
    for vm in forgotten {
        suspect(node, &vm, out);
    }
    knock(node, out);
}

/// Whether a row is of use any longer.
fn keep(row: &Row, now: Instant) -> bool {
    let remembered = row.heard && (!row.suspected() || now.since(row.doubted) < MEMORY);
    row.listed || remembered
}

/// Tries VMs that should be there and are not heard of, more seldom the more VMs there are to do so.
fn knock(node: &mut Node, out: &mut Effects) {
    let rows = node.fleet.rows.values();
    let absent = rows.filter(|row| !row.present() && (row.listed || !row.buried));
    let absent: Vec<id::Vm> = absent.map(|row| row.member.vm.clone()).collect();
    if absent.is_empty() {
        return;
    }
    #[allow(clippy::cast_precision_loss)]
    let share = KNOCKS * absent.len() as f64 / node.fleet.live.len().max(1) as f64;
    if share < 1.0 && !node.rng.random_bool(share) {
        return;
    }
    let vm = absent[node.rng.random_range(0..absent.len())].clone();
    gossip::probe(node, &vm, out);
}

/// Starts every silence anew: this VM was not run, so that it heard nothing says nothing.
pub(super) fn forgive(node: &mut Node) {
    let now = node.now;
    for row in node.fleet.rows.values_mut() {
        row.word = row.word.max(now);
        row.doubted = now;
        row.expected = row.expected.map(|_| now);
    }
}

impl super::State {
    /// The VMs that have become gone for certain.
    fn newly_gone(&self) -> Vec<id::Vm> {
        let rows = self.rows.values().filter(|row| row.heard && !row.buried);
        let gone = rows.filter(|row| self.row_gone(row));
        gone.map(|row| row.member.vm.clone()).collect()
    }

    /// Whether the latest start of a VM is certainly over.
    pub(super) fn row_gone(&self, row: &Row) -> bool {
        let silent = row.suspected() && self.now.since(row.doubted) >= self.pace.gone;
        let listed = self
            .listed
            .is_some_and(|at| at >= row.doubted + self.pace.gone);
        row.refused || silent && listed && !row.listed
    }
}
