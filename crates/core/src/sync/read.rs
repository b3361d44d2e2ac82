//! Reads the configuration from the key-value service: the head, then what is missing, one call at a time.

use rand::Rng;

use super::apply;
use super::log::Kept;
use super::store::{self, BLOCK, Head, Known, Stored};
use super::{call_timeout, commit, history, watch};
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::id::{Edition, Op, Revision};
use crate::log::{Code, Record};
use crate::ops::Owner;
use crate::platform::{Call, Outcome, Pair, Reply};
use crate::time::{Instant, Span};

/// How long a VM waits for the platform's list and for peers' heartbeats before its first read.
const FIRST_READ: Span = Span::from_millis(100);

/// How long a VM that does not watch the platform waits at start for a peer that has a configuration.
const PEER_WAIT: Span = Span::from_secs(2);

/// Time between two reads of a head that is not there, by a VM that does not watch it.
const ABSENT_WAIT: Span = Span::from_secs(10);

/// How often the wait after a useless read doubles at most.
const MAX_DOUBLINGS: u32 = 16;

/// What a call reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    /// The head.
    Head,
    /// The next part of a snapshot.
    Part,
    /// Edits after the edition in force.
    Edits,
    /// Edits before those kept in memory.
    Older,
}

/// A call in progress.
#[derive(Debug)]
struct Pending {
    /// The operation.
    op: Op,
    /// When it was sent.
    sent: Instant,
    /// What it reads.
    what: What,
}

/// What is known of the platform's configuration, and what is to be read.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// The call in progress.
    call: Option<Pending>,
    /// The head as it was last read, written or seen by the watch.
    known: Option<Known>,
    /// When the head was last read.
    read_at: Instant,
    /// Whether the head is to be read.
    wanted: bool,
    /// The snapshot that is being read.
    source: Option<Stored>,
    /// Its parts so far.
    bytes: Vec<u8>,
    /// The number of its parts so far.
    parts: u32,
    /// The oldest edition whose edit is wanted in memory.
    older: Option<Edition>,
    /// The edition whose edit or snapshot was last rejected.
    rejected: Option<Edition>,
    /// No call before this time, after one has failed.
    retry_at: Instant,
    /// The delay after the next failure.
    backoff: Span,
    /// Whether the last call failed.
    down: bool,
    /// Reads in a row that were answered and brought nothing that can be used.
    useless: u32,
}

impl Reader {
    /// Whether it waits for an operation.
    pub(crate) fn waits_for(&self, op: Op) -> bool {
        self.call.as_ref().is_some_and(|pending| pending.op == op)
    }

    /// Whether the last call was answered.
    pub(crate) fn reachable(&self) -> bool {
        !self.down
    }

    /// The head as it was last known.
    pub(crate) fn known(&self) -> Option<&Known> {
        self.known.as_ref()
    }

    /// Whether a read of the head is due or in progress.
    pub(crate) fn reads_head(&self) -> bool {
        let reading = |pending: &Pending| pending.what == What::Head;
        self.wanted || self.call.as_ref().is_some_and(reading)
    }

    /// Has the head read as soon as the platform may be called.
    pub(crate) fn want_head(&mut self) {
        self.wanted = true;
    }

    /// Has the platform called at once, whatever failed before: an operator waits.
    pub(crate) fn hurry(&mut self) {
        self.retry_at = Instant::default();
    }

    /// Has older edits read, down to the one that made an edition.
    pub(crate) fn want_older(&mut self, edition: Edition) {
        let lowest = self.older.map_or(edition, |wanted| wanted.min(edition));
        self.older = Some(lowest.max(Edition(1)));
    }

    /// Whether older edits are being read.
    pub(crate) fn reads_older(&self) -> bool {
        self.older.is_some()
    }

    /// Takes a newer head in.
    pub(crate) fn learn(&mut self, head: Head, revision: Revision, seen: Revision) {
        let newer = self.known.as_ref().is_none_or(|known| seen >= known.seen);
        if newer {
            self.known = Some(Known {
                head,
                revision,
                seen,
            });
        }
    }

    /// Notes that an edition was rejected; says whether that is new.
    pub(crate) fn reject(&mut self, edition: Edition) -> bool {
        self.rejected.replace(edition) != Some(edition)
    }

    /// A newer edition is in force.
    pub(crate) fn progressed(&mut self) {
        self.rejected = None;
        self.useless = 0;
    }

    /// Gives up reading a snapshot.
    fn drop_parts(&mut self) {
        self.source = None;
        self.parts = 0;
        self.bytes = Vec::new();
    }
}

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
    node.sync.reader.call = Some(Pending { op, sent, what });
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
            done(node, pending.what, reply, out);
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

/// A call was answered.
pub(crate) fn succeeded(node: &mut Node, out: &mut Effects) {
    let reader = &mut node.sync.reader;
    reader.backoff = Span::ZERO;
    if std::mem::take(&mut reader.down) {
        out.push(Effect::Log(Record::new(
            Code::PlatformBack,
            "for=configuration",
        )));
    }
}

/// A call failed: the next one waits.
pub(crate) fn failed(node: &mut Node, out: &mut Effects) {
    wait(node);
    if !std::mem::replace(&mut node.sync.reader.down, true) {
        out.push(Effect::Log(Record::new(
            Code::PlatformLost,
            "for=configuration",
        )));
    }
}

/// Puts the next call off, longer each time, by a random share so that VMs do not call together.
pub(crate) fn wait(node: &mut Node) {
    let tuning = &node.settings.tuning;
    let (least, most) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let (least, most) = (Span::from_millis(least), Span::from_millis(most));
    let reader = &mut node.sync.reader;
    reader.backoff = reader.backoff.times(2).clamp(least, most.max(least));
    let half = reader.backoff.0 / 2;
    reader.retry_at = node.now + Span(half + node.rng.random_range(0..=half));
}

fn done(node: &mut Node, what: What, reply: Reply, out: &mut Effects) {
    match what {
        What::Head => head_read(node, reply, out),
        What::Part => part_read(node, reply, out),
        What::Edits => edits_read(node, reply, out),
        What::Older => older_read(node, reply),
    }
}

fn head_read(node: &mut Node, reply: Reply, out: &mut Effects) {
    node.sync.reader.read_at = node.now;
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

/// Reads everything again after a while, since what was read can't be used.
fn retry(node: &mut Node) {
    let tuning = &node.settings.tuning;
    let (least, most) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let reader = &mut node.sync.reader;
    reader.useless = (reader.useless + 1).min(MAX_DOUBLINGS);
    let wait = Span::from_millis(least << (reader.useless - 1));
    reader.retry_at = node.now + wait.min(Span::from_millis(most));
    reader.want_head();
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
