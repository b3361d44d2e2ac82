//! Reads the configuration from the key-value service: the head, then what is missing, one call at a time.

use super::apply;
use super::log::Kept;
use super::reader::{Pending, What, failed, retry, succeeded};
use super::store::{self, BLOCK, Head, Stored};
use super::{call_timeout, commit, history, watch};
use crate::Node;
use crate::effect::Effects;
use crate::id::{Edition, Revision};
use crate::ops::Owner;
use crate::platform::{Call, Outcome, Pair, Reply};
use crate::time::Span;

/// How long a VM waits for the platform's list and for peers' heartbeats before its first read.
const FIRST_READ: Span = Span::from_millis(100);

/// How long a VM that does not watch the platform waits at start for a peer that has a configuration.
const PEER_WAIT: Span = Span::from_secs(2);

/// Time between two reads of a head that is not there, by a VM that does not watch it.
const ABSENT_WAIT: Span = Span::from_secs(10);

/// Decides when the head is read without any other cause, and gives up calls that are not answered.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let lost = call_timeout(&node.settings.tuning);
    let reader = &node.sync.reader;
    if reader
        .call
        .as_ref()
        .is_some_and(|pending| node.now.since(pending.sent) > lost)
    {
        answered(node, Outcome::Unknown, out);
    }
    if node.sync.edition == Edition(0) && start_due(node) {
        node.sync.reader.want_head();
    }
}

/// Whether a VM without a configuration reads the platform now.
fn start_due(node: &Node) -> bool {
    let age = node
        .sync
        .begun
        .map_or(Span::ZERO, |begun| node.now.since(begun));
    let reader = &node.sync.reader;
    let watcher = node.sync.watch.mine();
    match &reader.known {
        None if watcher => age >= FIRST_READ,
        None => age >= PEER_WAIT && !node.sync.spread.fetching(),
        Some(_) if watcher => false,
        Some(known) => {
            let absent = known.head.edition == Edition(0);
            absent && !reader.reads_head() && node.now.since(reader.read_at) >= ABSENT_WAIT
        }
    }
}

/// Begins the next call, where one is needed.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    let reader = &node.sync.reader;
    if reader.call.is_some() || node.now < reader.retry_at {
        return;
    }
    let Some((what, call)) = next(node) else {
        return;
    };
    let op = node.ops.call(Owner::Sync, call, out);
    let sent = node.now;
    let seen = node.sync.reader.seen();
    let pending = Pending {
        op,
        sent,
        what,
        seen,
    };
    node.sync.reader.call = Some(pending);
}

/// What to read next.
fn next(node: &mut Node) -> Option<(What, Call)> {
    let prefix = &node.settings.prefix;
    if node.sync.reader.wanted {
        node.sync.reader.wanted = false;
        let key = store::head_key(prefix);
        return Some((What::Head, Call::Get { key }));
    }
    if let Some(stored) = snapshot_due(node) {
        let reader = &mut node.sync.reader;
        if reader.source.as_ref() != Some(&stored) {
            reader.drop_parts();
            reader.source = Some(stored.clone());
        }
        let key = store::part_key(prefix, stored.edition, reader.parts);
        return Some((What::Part, Call::Get { key }));
    }
    let limit = u32::try_from(BLOCK).unwrap_or(u32::MAX);
    let block = |edition| Call::Range {
        prefix: store::block_prefix(prefix, edition),
        limit,
    };
    if behind(node) {
        let next = Edition(node.sync.edition.0 + 1);
        return Some((What::Edits, block(next)));
    }
    let first = node.sync.log.first();
    let older = node.sync.reader.older.filter(|wanted| *wanted < first);
    node.sync.reader.older = older;
    older.map(|_| (What::Older, block(Edition(first.0 - 1))))
}

/// Whether the platform has a higher edition than the one in force.
pub(crate) fn behind(node: &Node) -> bool {
    let known = node.sync.reader.known.as_ref();
    known.is_some_and(|known| known.head.edition > node.sync.edition)
}

/// The snapshot to read, where the edits alone do not lead on.
fn snapshot_due(node: &Node) -> Option<Stored> {
    let (reader, edition) = (&node.sync.reader, node.sync.edition);
    let head = &reader.known.as_ref()?.head;
    let stored = head.snapshot.as_ref()?;
    let next = Edition(edition.0 + 1);
    let trimmed = next < head.first;
    let rejected = reader.rejected == Some(next);
    let needed = edition == Edition(0) || trimmed || rejected;
    (stored.edition > edition && needed).then(|| stored.clone())
}

/// The call in progress came back.
pub(crate) fn answered(node: &mut Node, outcome: Outcome, out: &mut Effects) {
    let Some(pending) = node.sync.reader.call.take() else {
        return;
    };
    match outcome {
        Outcome::Done(reply) => {
            succeeded(node, out);
            done(node, &pending, reply, out);
        }
        Outcome::NotSent | Outcome::Unknown | Outcome::Conflict => {
            failed(node, out);
            restore(node, pending.what);
            let unsent = outcome == Outcome::NotSent;
            commit::unread(node, unsent, out);
            history::unread(node, out);
        }
    }
}

/// Has what a failed call was to read read again.
fn restore(node: &mut Node, what: What) {
    match what {
        What::Head => node.sync.reader.want_head(),
        What::Part | What::Edits => {}
        What::Older => node.sync.reader.older = None,
    }
}

fn done(node: &mut Node, pending: &Pending, reply: Reply, out: &mut Effects) {
    match pending.what {
        What::Head => head_read(node, pending, reply, out),
        What::Part => part_read(node, reply, out),
        What::Edits => edits_read(node, reply, out),
        What::Older => older_read(node, reply),
    }
}

fn head_read(node: &mut Node, pending: &Pending, reply: Reply, out: &mut Effects) {
    node.sync.reader.read_at = node.now;
    node.sync.reader.read_sent = pending.sent;
    if reply.revision < pending.seen {
        // The service went back, as after a restore. What was known of it says nothing any more.
        node.sync.reader.known = None;
    }
    match reply.pairs.into_iter().next() {
        Some(pair) => head_pair(node, &pair, reply.revision, out),
        None => node
            .sync
            .reader
            .learn(Head::default(), Revision(0), reply.revision),
    }
    watch::refreshed(node);
}

/// Takes in a head that was read or seen by the watch.
pub(crate) fn head_pair(node: &mut Node, pair: &Pair, seen: Revision, out: &mut Effects) {
    match store::open::<Head>(&pair.value) {
        Ok((head, _)) => node.sync.reader.learn(head, pair.changed, seen),
        Err(damage) => {
            let next = Edition(node.sync.edition.0 + 1);
            apply::reject(node, next, &damage, out);
            retry(node);
        }
    }
}

fn part_read(node: &mut Node, reply: Reply, out: &mut Effects) {
    let reader = &mut node.sync.reader;
    let Some(stored) = reader.source.clone() else {
        return;
    };
    let Some(pair) = reply.pairs.into_iter().next() else {
        reader.drop_parts();
        return retry(node);
    };
    reader.bytes.extend_from_slice(&pair.value);
    reader.parts += 1;
    let bytes = reader.bytes.len() as u64;
    let long = bytes > stored.bytes || bytes > store::MAX_SNAPSHOT_BYTES;
    if reader.parts < stored.parts && !long {
        return;
    }
    let bytes = std::mem::take(&mut reader.bytes);
    reader.drop_parts();
    let applied = apply::snapshot(node, stored.edition, stored.hash, &bytes, out);
    if applied.is_err() {
        retry(node);
    }
}

fn edits_read(node: &mut Node, reply: Reply, out: &mut Effects) {
    let mut pairs = reply.pairs;
    pairs.sort_by(|a, b| a.key.cmp(&b.key));
    let next = store::edit_key(&node.settings.prefix, Edition(node.sync.edition.0 + 1));
    let texts = pairs.into_iter().filter(|pair| pair.key >= next);
    let run = apply::edits(node, texts.map(|pair| pair.value), out);
    if run.applied == 0 && behind(node) {
        retry(node);
    }
}

fn older_read(node: &mut Node, reply: Reply) {
    let mut pairs = reply.pairs;
    pairs.sort_by(|a, b| b.key.cmp(&a.key));
    let before = node.sync.log.first();
    for pair in pairs {
        let first = node.sync.log.first();
        let wanted = store::edit_key(&node.settings.prefix, Edition(first.0 - 1));
        if pair.key == wanted && !prepend(node, pair.value) {
            break;
        }
    }
    if node.sync.log.first() == before {
        node.sync.reader.older = None;
    }
}

/// Adds an edit before those kept, where it is the one that they follow.
fn prepend(node: &mut Node, text: Vec<u8>) -> bool {
    let state = &mut node.sync;
    let follows = state.log.front().map_or(state.chain, |kept| kept.prev);
    match Kept::read(text) {
        Ok((kept, _)) if kept.digest == follows => state.log.prepend(kept),
        Ok(_) | Err(_) => false,
    }
}
