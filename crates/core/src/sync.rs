//! The configuration: read from the platform or from peers, edited by compare-and-swap, never taken back.
//!
//! The editions form a log. Each VM applies it in order, or begins with a snapshot; it takes nothing that is not
//! newer than what it has in force. What it reads is checked again before it is applied.

mod apply;
mod commit;
mod draft;
mod entities;
mod history;
mod log;
mod read;
mod reader;
mod rewrite;
mod snapshot;
mod spread;
mod store;
mod watch;

use crate::Node;
use crate::config::{Document, Edit};
use crate::effect::{Effect, Effects};
use crate::id::{self, Edition, Op, Ticket};
use crate::operator::Reply;
use crate::peer::{Fetch, Piece};
use crate::platform::{Notice, Outcome};
use crate::settings::Tuning;
use crate::time::{Instant, Span};

/// The configuration in force and what is known of newer ones.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The edition in force, or zero before the first.
    pub(crate) edition: Edition,
    /// The document in force.
    pub(crate) document: Document,
    /// The hash of the edit that made the edition in force.
    chain: store::Digest,
    /// The last edits.
    log: log::Log,
    /// What is read from the platform.
    reader: reader::Reader,
    /// The watch of the head.
    watch: watch::Watch,
    /// Operators' edits on their way.
    commits: commit::Queue,
    /// Operators that wait for old edits.
    history: history::Queue,
    /// A snapshot on its way into the platform.
    writer: snapshot::Writer,
    /// What is written again that the platform has lost.
    rewrite: rewrite::State,
    /// What is fetched from and served to peers.
    spread: spread::State,
    /// The time of the first tick.
    begun: Option<Instant>,
}

/// Whether there is a configuration in force.
pub(crate) fn ready(node: &Node) -> bool {
    node.sync.edition > Edition(0)
}

/// Whether the key-value service answered the last call that this module made.
pub(crate) fn reachable(node: &Node) -> bool {
    node.sync.reader.reachable()
}

/// A call of the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    if node.sync.reader.waits_for(op) {
        read::answered(node, outcome, out);
    } else if node.sync.commits.waits_for(op) {
        commit::answered(node, outcome, out);
    } else if node.sync.writer.waits_for(op) {
        snapshot::answered(node, outcome, out);
    } else if node.sync.rewrite.waits_for(op) {
        rewrite::answered(node, outcome, out);
    } else if node.sync.watch.is(op) {
        watch::lost(node);
    }
    advance(node, out);
}

/// The watch saw something.
pub(crate) fn watched(node: &mut Node, op: Op, notice: Notice, out: &mut Effects) {
    if node.sync.watch.is(op) {
        watch::noticed(node, notice, out);
        advance(node, out);
    }
}

/// A peer asks for the configuration.
#[allow(clippy::needless_pass_by_value)] // Messages are handed over whole.
pub(crate) fn fetched(node: &mut Node, from: &id::Vm, fetch: Fetch, out: &mut Effects) {
    spread::fetched(node, from, &fetch, out);
}

/// A peer sent a piece of the configuration.
pub(crate) fn piece(node: &mut Node, from: &id::Vm, piece: Piece, out: &mut Effects) {
    spread::piece(node, from, piece, out);
    advance(node, out);
}

/// A peer's heartbeat says which edition it has.
pub(crate) fn peer_has(node: &mut Node, from: &id::Vm, edition: Edition, out: &mut Effects) {
    spread::peer_has(node, from, edition, out);
}

/// An operator wants a change.
pub(crate) fn edit(node: &mut Node, ticket: Ticket, edit: Edit, out: &mut Effects) {
    commit::begin(node, ticket, edit, out);
    advance(node, out);
}

/// An operator wants the configuration in force.
pub(crate) fn show(node: &mut Node, ticket: Ticket, out: &mut Effects) {
    let reply = Reply::Show {
        edition: node.sync.edition,
        document: Box::new(node.sync.document.clone()),
    };
    out.push(Effect::Reply { ticket, reply });
}

/// An operator wants the last edits.
pub(crate) fn history(node: &mut Node, ticket: Ticket, limit: u32, out: &mut Effects) {
    history::begin(node, ticket, limit, out);
    advance(node, out);
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    node.sync.begun.get_or_insert(now);
    read::tick(node, out);
    commit::tick(node, out);
    snapshot::tick(node, out);
    rewrite::tick(node, out);
    spread::tick(node, out);
    history::tick(node, out);
    watch::tick(node, out);
    advance(node, out);
}

/// Adds what is broken in the configuration's tables.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    let state = &node.sync;
    let (edition, last) = (state.edition, state.log.last());
    if edition != last {
        broken.push(format!(
            "{edition} is in force, but the last edit kept made {last}"
        ));
    }
    rewrite::verify(node, broken);
    let mut before = None;
    for (edition, kept) in state.log.after(Edition(0)) {
        if before.is_some_and(|digest| digest != kept.prev) {
            broken.push(format!(
                "the edit of {edition} does not follow the one before"
            ));
        }
        before = Some(kept.digest);
    }
    if before.is_some_and(|digest| digest != state.chain) {
        broken.push(format!(
            "the last edit kept is not the one that made {edition}"
        ));
    }
}

/// Goes on with everything that waits for what was read.
fn advance(node: &mut Node, out: &mut Effects) {
    rewrite::advance(node, out);
    commit::advance(node, out);
    history::advance(node, out);
    snapshot::advance(node, out);
    watch::advance(node, out);
    read::advance(node, out);
}

/// How long a call of the key-value service may take before it counts as lost here. The shell gives up earlier; this
/// bound is for answers that never come.
fn call_timeout(tuning: &Tuning) -> Span {
    Span(tuning.platform_timeout_ms.saturating_mul(1_250))
}

/// How long an operator waits for an edit at most.
fn edit_timeout(tuning: &Tuning) -> Span {
    Tuning::span(tuning.platform_timeout_ms).times(3)
}
