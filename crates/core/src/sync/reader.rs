//! What is known of the platform's configuration, what is to be read, and when the platform may be called.

use rand::Rng;

use super::store::{Head, Known, Stored};
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::id::{Edition, Op, Revision};
use crate::log::{Code, Record};
use crate::time::{Instant, Span};

/// How often the wait after a useless read doubles at most.
const MAX_DOUBLINGS: u32 = 16;

/// What a call reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum What {
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
pub(super) struct Pending {
    /// The operation.
    pub(super) op: Op,
    /// When it was sent.
    pub(super) sent: Instant,
    /// What it reads.
    pub(super) what: What,
    /// The revision up to which changes were known when it was sent.
    pub(super) seen: Revision,
}

/// What is known of the platform's configuration, and what is to be read.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// The call in progress.
    pub(super) call: Option<Pending>,
    /// The head as it was last read, written or seen by the watch.
    pub(super) known: Option<Known>,
    /// When the head was last read.
    pub(super) read_at: Instant,
    /// When the last read of the head that was answered was sent.
    pub(super) read_sent: Instant,
    /// Whether the head is to be read.
    pub(super) wanted: bool,
    /// The snapshot that is being read.
    pub(super) source: Option<Stored>,
    /// Its parts so far.
    pub(super) bytes: Vec<u8>,
    /// The number of its parts so far.
    pub(super) parts: u32,
    /// The oldest edition whose edit is wanted in memory.
    pub(super) older: Option<Edition>,
    /// The edition whose edit or snapshot was last rejected.
    pub(super) rejected: Option<Edition>,
    /// No call before this time, after one has failed.
    pub(super) retry_at: Instant,
    /// The delay after the next failure.
    pub(super) backoff: Span,
    /// Whether the last call failed.
    pub(super) down: bool,
    /// Reads in a row that were answered and brought nothing that can be used.
    pub(super) useless: u32,
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
        if seen >= self.seen() {
            self.known = Some(Known {
                head,
                revision,
                seen,
            });
        }
    }

    /// Changes up to this revision of the service are known.
    pub(super) fn seen(&self) -> Revision {
        self.known.as_ref().map_or(Revision(0), |known| known.seen)
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
    pub(super) fn drop_parts(&mut self) {
        self.source = None;
        self.parts = 0;
        self.bytes = Vec::new();
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

/// Reads everything again after a while, since what was read can't be used.
pub(super) fn retry(node: &mut Node) {
    let tuning = &node.settings.tuning;
    let (least, most) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let reader = &mut node.sync.reader;
    reader.useless = (reader.useless + 1).min(MAX_DOUBLINGS);
    let wait = Span::from_millis(least << (reader.useless - 1));
    reader.retry_at = node.now + wait.min(Span::from_millis(most));
    reader.want_head();
}
