//! Answers operators who want the last edits, after reading those that are not in memory.

use super::edit_timeout;
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::id::{Edition, Ticket};
use crate::operator::{Entry, Reply};
use crate::time::Instant;

/// Edits that one answer shows at most.
const MAX_LIMIT: u32 = 1_000;

/// An operator that waits.
#[derive(Debug)]
struct Waiting {
    /// The call.
    ticket: Ticket,
    /// The oldest edition wanted.
    first: Edition,
    /// When the call came.
    since: Instant,
}

/// Operators that wait for old edits.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// The operators.
    waiting: Vec<Waiting>,
}

/// An operator wants the last edits.
pub(crate) fn begin(node: &mut Node, ticket: Ticket, limit: u32, out: &mut Effects) {
    let limit = u64::from(limit.min(MAX_LIMIT));
    let first = Edition(node.sync.edition.0.saturating_sub(limit) + 1);
    if node.sync.log.first() <= first {
        return answer(node, ticket, first, out);
    }
    node.sync.reader.hurry();
    node.sync.reader.want_older(first);
    let since = node.now;
    node.sync.history.waiting.push(Waiting {
        ticket,
        first,
        since,
    });
}

/// Answers those for whom all that can be read is in memory.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    let reading = node.sync.reader.reads_older();
    let kept = node.sync.log.first();
    finish(node, |waiting| kept <= waiting.first || !reading, out);
}

/// The platform could not be read: answers with what is in memory.
pub(crate) fn unread(node: &mut Node, out: &mut Effects) {
    finish(node, |_| true, out);
}

/// Answers those who have waited too long with what is in memory.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let (now, bound) = (node.now, edit_timeout(&node.settings.tuning));
    finish(node, |waiting| now.since(waiting.since) > bound, out);
}

fn finish(node: &mut Node, done: impl Fn(&Waiting) -> bool, out: &mut Effects) {
    if node.sync.history.waiting.is_empty() {
        return;
    }
    let waiting = std::mem::take(&mut node.sync.history.waiting);
    let (ready, left) = waiting.into_iter().partition(done);
    node.sync.history.waiting = left;
    for waiting in ready {
        answer(node, waiting.ticket, waiting.first, out);
    }
}

fn answer(node: &Node, ticket: Ticket, first: Edition, out: &mut Effects) {
    let edits = node.sync.log.edits_after(Edition(first.0 - 1));
    let entries = edits.rev().map(|(edition, edit)| Entry { edition, edit });
    let reply = Reply::History(entries.collect());
    out.push(Effect::Reply { ticket, reply });
}
