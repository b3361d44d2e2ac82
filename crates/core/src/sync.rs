//! The configuration: read from the platform or from peers, edited by compare-and-swap, never taken back.

use crate::Node;
use crate::config::{Document, Edit};
use crate::effect::Effects;
use crate::id::{self, Edition, Op, Ticket};
use crate::peer::{Fetch, Piece};
use crate::platform::{Notice, Outcome};

/// The configuration in force and what is known of newer ones.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The edition in force, or zero before the first.
    pub(crate) edition: Edition,
    /// The document in force.
    pub(crate) document: Document,
}

/// A call of the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    let _ = (node, op, outcome, out);
}

/// The watch saw something.
pub(crate) fn watched(node: &mut Node, op: Op, notice: Notice, out: &mut Effects) {
    let _ = (node, op, notice, out);
}

/// A peer asks for the configuration.
pub(crate) fn fetched(node: &mut Node, from: &id::Vm, fetch: Fetch, out: &mut Effects) {
    let _ = (node, from, fetch, out);
}

/// A peer sent a piece of the configuration.
pub(crate) fn piece(node: &mut Node, from: &id::Vm, piece: Piece, out: &mut Effects) {
    let _ = (node, from, piece, out);
}

/// A peer's heartbeat says which edition it has.
pub(crate) fn peer_has(node: &mut Node, from: &id::Vm, edition: Edition, out: &mut Effects) {
    let _ = (node, from, edition, out);
}

/// An operator wants a change.
pub(crate) fn edit(node: &mut Node, ticket: Ticket, edit: Edit, out: &mut Effects) {
    let _ = (node, ticket, edit, out);
}

/// An operator wants the configuration in force.
pub(crate) fn show(node: &mut Node, ticket: Ticket, out: &mut Effects) {
    let _ = (node, ticket, out);
}

/// An operator wants the last edits.
pub(crate) fn history(node: &mut Node, ticket: Ticket, limit: u32, out: &mut Effects) {
    let _ = (node, ticket, limit, out);
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// Whether there is a configuration to work by.
pub(crate) fn ready(node: &Node) -> bool {
    node.sync.edition > Edition(0)
}
