//! Writes a snapshot of the document into the platform after a number of edits, so that the edits before can go.
//!
//! The VM that committed the last of these edits writes the parts first and names them in the head afterwards, so a
//! head never names a snapshot that is not whole. A snapshot that its writer could not finish is never read.

use super::store::{self, Digest, Head, PART_BYTES, Stored};
use super::{apply, call_timeout, reader};
use crate::Node;
use crate::effect::Effects;
use crate::id::{Op, Revision};
use crate::ops::Owner;
use crate::platform::{Call, Compare, Outcome, Put};
use crate::settings::Tuning;
use crate::time::Instant;

/// Failed calls after which a snapshot is given up; the next edit begins another.
const MAX_FAILURES: u32 = 8;

/// Parts of the snapshot before that one write deletes at most: the service bounds the length of a transaction.
const MAX_DELETES: u32 = 100;

/// A snapshot on its way.
#[derive(Debug)]
struct Job {
    /// What the head will say of it.
    stored: Stored,
    /// Its bytes.
    bytes: Vec<u8>,
    /// The next part to write.
    next: u32,
    /// Calls that failed.
    failures: u32,
}

/// A call in progress.
#[derive(Debug)]
struct Pending {
    /// The operation.
    op: Op,
    /// When it was sent.
    sent: Instant,
    /// The new head, where this call names the snapshot.
    head: Option<Head>,
}

/// The snapshot on its way, if any.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    /// The snapshot.
    job: Option<Job>,
    /// The call in progress.
    call: Option<Pending>,
    /// No call before this time.
    retry_at: Instant,
    /// Whether an edit was committed since it was last seen whether a snapshot is due.
    asked: bool,
}

impl Writer {
    /// Whether it waits for an operation.
    pub(crate) fn waits_for(&self, op: Op) -> bool {
        self.call.as_ref().is_some_and(|pending| pending.op == op)
    }
}

/// An edit of this VM was committed: a snapshot may be due at the next tick.
pub(crate) fn consider(node: &mut Node) {
    node.sync.writer.asked = true;
}

/// Begins a snapshot where one is due.
fn begin(node: &mut Node) {
    let Some(known) = node.sync.reader.known() else {
        return;
    };
    let shown = known
        .head
        .snapshot
        .as_ref()
        .map_or(0, |stored| stored.edition.0);
    let edition = node.sync.edition;
    let due = edition.0.saturating_sub(shown) >= node.settings.tuning.snapshot_edits;
    if !due || node.sync.writer.job.is_some() {
        return;
    }
    let Ok(bytes) = apply::export(node) else {
        return;
    };
    let parts = bytes.len().div_ceil(PART_BYTES);
    let stored = Stored {
        edition,
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        bytes: bytes.len() as u64,
        hash: Digest::of(&bytes),
    };
    let (next, failures) = (0, 0);
    node.sync.writer.job = Some(Job {
        stored,
        bytes,
        next,
        failures,
    });
}

/// Begins the next call, where one is due.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    let writer = &node.sync.writer;
    let Some(job) = &writer.job else {
        return;
    };
    if writer.call.is_some() || node.now < writer.retry_at {
        return;
    }
    if job.next < job.stored.parts {
        let call = part(&node.settings.prefix, job);
        return send(node, call, None, out);
    }
    if !node.sync.commits.writing() {
        name(node, out);
    }
}

fn send(node: &mut Node, call: Call, head: Option<Head>, out: &mut Effects) {
    let op = node.ops.call(Owner::Sync, call, out);
    let sent = node.now;
    node.sync.writer.call = Some(Pending { op, sent, head });
}

/// Writes the next part.
fn part(prefix: &str, job: &Job) -> Call {
    let from = job.next as usize * PART_BYTES;
    let to = (from + PART_BYTES).min(job.bytes.len());
    let put = Put {
        key: store::part_key(prefix, job.stored.edition, job.next),
        value: job.bytes[from..to].to_vec(),
        lease: None,
    };
    Call::Txn {
        compares: Vec::new(),
        puts: vec![put],
        deletes: Vec::new(),
    }
}

/// Names the snapshot in the head and deletes the parts of the one before, or drops it where a later one is named.
fn name(node: &mut Node, out: &mut Effects) {
    let reader = &mut node.sync.reader;
    if reader.reads_head() {
        return;
    }
    let (Some(known), Some(job)) = (reader.known(), &node.sync.writer.job) else {
        return;
    };
    let prefix = &node.settings.prefix;
    let old = known.head.snapshot.as_ref();
    if known.head.edition < job.stored.edition {
        return node.sync.reader.want_head();
    }
    if old.is_some_and(|old| old.edition >= job.stored.edition) {
        node.sync.writer.job = None;
        return;
    }
    let head = Head {
        snapshot: Some(job.stored.clone()),
        ..known.head.clone()
    };
    let Ok((value, _)) = store::seal(&head) else {
        return;
    };
    let key = store::head_key(prefix);
    let call = Call::Txn {
        compares: vec![Compare::Changed(key.clone(), known.revision)],
        puts: vec![Put {
            key,
            value,
            lease: None,
        }],
        deletes: old.map_or_else(Vec::new, |old| parts(prefix, old)),
    };
    send(node, call, Some(head), out);
}

fn parts(prefix: &str, stored: &Stored) -> Vec<String> {
    let key = |part| store::part_key(prefix, stored.edition, part);
    (0..stored.parts.min(MAX_DELETES)).map(key).collect()
}

/// The call in progress came back.
pub(crate) fn answered(node: &mut Node, outcome: Outcome, out: &mut Effects) {
    let Some(pending) = node.sync.writer.call.take() else {
        return;
    };
    match (outcome, pending.head) {
        (Outcome::Done(reply), Some(head)) => {
            reader::succeeded(node, out);
            named(node, head, reply.revision);
        }
        (Outcome::Done(_), None) => {
            reader::succeeded(node, out);
            if let Some(job) = &mut node.sync.writer.job {
                job.next += 1;
            }
        }
        (Outcome::Conflict, _) => node.sync.reader.want_head(),
        (Outcome::NotSent | Outcome::Unknown, _) => failed(node),
    }
}

fn named(node: &mut Node, head: Head, revision: Revision) {
    node.sync.reader.learn(head, revision, revision);
    node.sync.writer.job = None;
}

/// Tries again later. A head that may have been written is read first.
fn failed(node: &mut Node) {
    let wait = Tuning::span(node.settings.tuning.platform_backoff_max_ms);
    node.sync.reader.want_head();
    let writer = &mut node.sync.writer;
    writer.retry_at = node.now + wait;
    writer.job = writer.job.take().filter(|job| job.failures < MAX_FAILURES);
    if let Some(job) = &mut writer.job {
        job.failures += 1;
    }
}

/// Begins a snapshot where one is due, and gives up a call that is not answered.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    if std::mem::take(&mut node.sync.writer.asked) {
        begin(node);
    }
    let lost = call_timeout(&node.settings.tuning);
    let call = &node.sync.writer.call;
    if call
        .as_ref()
        .is_some_and(|pending| node.now.since(pending.sent) > lost)
    {
        answered(node, Outcome::Unknown, out);
    }
}
