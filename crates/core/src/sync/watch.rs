//! A few VMs watch the head; which ones is decided by hashing over the live VMs.

use super::{read, reader, store};
use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Op, Revision};
use crate::ops::Owner;
use crate::platform::{Call, Notice, Pair};
use crate::time::{Instant, Span};

/// Time between two reads of the head by a VM that watches it, in case the watch is silently lost.
const RECHECK: Span = Span::from_secs(10);

/// What is hashed with the name of a VM to find the watchers.
const LABEL: &[u8] = b"config/head";

/// The watch of the head.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// The watch in progress.
    op: Option<Op>,
    /// Whether this VM is among those that watch.
    mine: bool,
    /// Whether the head was read after the last watch ended.
    fresh: bool,
    /// The version of the list of live VMs that was last looked at.
    looked: Option<u64>,
    /// When the head was last read or seen.
    seen: Instant,
}

impl Watch {
    /// Whether an operation began it.
    pub(crate) fn is(&self, op: Op) -> bool {
        self.op == Some(op)
    }

    /// Whether this VM is among those that watch.
    pub(crate) fn mine(&self) -> bool {
        self.mine
    }
}

/// The head was read.
pub(crate) fn refreshed(node: &mut Node) {
    node.sync.watch.fresh = true;
    node.sync.watch.seen = node.now;
}

/// The watch ended without being asked to.
pub(crate) fn lost(node: &mut Node) {
    if let Some(op) = node.sync.watch.op.take() {
        node.ops.take(op);
    }
    node.sync.watch.fresh = false;
}

/// Decides whether this VM watches, and reads the head anew from time to time.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let (now, version) = (node.now, node.fleet.version);
    if node.sync.watch.looked.replace(version) != Some(version) {
        node.sync.watch.mine = chosen(node);
    }
    let watch = &mut node.sync.watch;
    match watch.op {
        Some(op) if !watch.mine => {
            watch.op = None;
            watch.fresh = false;
            node.ops.unwatch(op, out);
        }
        Some(_) if now.since(watch.seen) >= RECHECK => {
            watch.seen = now;
            node.sync.reader.want_head();
        }
        _ => {}
    }
}

/// Begins the watch, or has the head read first.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    let watch = &node.sync.watch;
    if !watch.mine || watch.op.is_some() || node.sync.reader.reads_head() {
        return;
    }
    let known = node.sync.reader.known();
    match known.filter(|_| watch.fresh) {
        Some(known) => {
            let from = Revision(known.seen.0 + 1);
            let prefix = store::head_key(&node.settings.prefix);
            let call = Call::Watch { prefix, from };
            let op = node.ops.call(Owner::Sync, call, out);
            node.sync.watch.op = Some(op);
        }
        None if known.is_some() || super::ready(node) => node.sync.reader.want_head(),
        // The first read waits for the platform's list.
        None => {}
    }
}

/// The watch saw something.
pub(crate) fn noticed(node: &mut Node, notice: Notice, out: &mut Effects) {
    match notice {
        Notice::Changed(pairs) => changed(node, &pairs, out),
        // A head that is gone is read again, so that it is known and logged; the edition in force stays.
        Notice::Deleted(..) => node.sync.reader.want_head(),
        Notice::Compacted => {
            lost(node);
            reader::wait(node);
        }
        Notice::Broken => {
            lost(node);
            reader::failed(node, out);
        }
    }
}

fn changed(node: &mut Node, pairs: &[Pair], out: &mut Effects) {
    let key = store::head_key(&node.settings.prefix);
    let heads = pairs.iter().filter(|pair| pair.key == key);
    let Some(pair) = heads.max_by_key(|pair| pair.changed) else {
        return;
    };
    node.sync.watch.seen = node.now;
    read::head_pair(node, pair, pair.changed, out);
}

/// Whether this VM is among the first few of the live VMs in the order of their hashes.
fn chosen(node: &Node) -> bool {
    let watchers = usize::try_from(node.settings.tuning.watchers).unwrap_or(usize::MAX);
    let own = rank(&node.settings.vm);
    let ahead = node.fleet.live().filter(|vm| rank(vm) < own);
    ahead.take(watchers).count() < watchers
}

fn rank(vm: &id::Vm) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(LABEL);
    hasher.update(vm.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
