//! Control domains: leases, residency grants, placement and loads, on the holder's and on the grantee's side.

use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Server};
use crate::event::{Cached, Ordered, Report};
use crate::id::{self, Incarnation, Op, Order};
use crate::peer::{Ask, Holder, NotHolder, Update};
use crate::platform::Outcome;
use crate::time::Span;

/// What this VM holds and what it is granted.
#[derive(Debug, Default)]
pub(crate) struct State {}

impl State {
    /// The servers on which this VM may send work for an adapter right now.
    pub(crate) fn usable(&self, adapter: Adapter) -> &[Server] {
        let _ = adapter;
        &[]
    }

    /// A server's last load report, with its present age, as far as this VM has it.
    pub(crate) fn load(&self, server: Server) -> Option<&Report> {
        let _ = server;
        None
    }

    /// How long it takes until an adapter is expected to be resident, where the holder has said so.
    pub(crate) fn expected(&self, adapter: Adapter) -> Option<Span> {
        let _ = adapter;
        None
    }
}

/// Work for an adapter begins on a server of this VM's grants.
pub(crate) fn begin_use(node: &mut Node, server: Server, adapter: Adapter) {
    let _ = (node, server, adapter);
}

/// Work for an adapter ended on a server, however it ended.
pub(crate) fn end_use(node: &mut Node, server: Server, adapter: Adapter, out: &mut Effects) {
    let _ = (node, server, adapter, out);
}

/// A request arrived for an adapter; with `cold`, nothing is granted and it waits for that.
pub(crate) fn arrived(node: &mut Node, adapter: Adapter, cold: bool, out: &mut Effects) {
    let _ = (node, adapter, cold, out);
}

/// A server said that an adapter is not resident though it was granted.
pub(crate) fn missing(node: &mut Node, server: Server, adapter: Adapter, out: &mut Effects) {
    let _ = (node, server, adapter, out);
}

/// A load report came, or the server did not answer.
pub(crate) fn reported(
    node: &mut Node,
    server: &id::Server,
    report: Option<Report>,
    out: &mut Effects,
) {
    let _ = (node, server, report, out);
}

/// Changes of a prefix cache came.
pub(crate) fn cached(node: &mut Node, server: &id::Server, changes: &[Cached], out: &mut Effects) {
    let _ = (node, server, changes, out);
}

/// An order came back.
pub(crate) fn ordered(node: &mut Node, order: Order, outcome: Ordered, out: &mut Effects) {
    let _ = (node, order, outcome, out);
}

/// An operation on the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    let _ = (node, op, outcome, out);
}

/// A grantee asks.
pub(crate) fn asked(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    ask: Ask,
    out: &mut Effects,
) {
    let _ = (node, from, incarnation, ask, out);
}

/// A holder tells what may be used.
pub(crate) fn updated(node: &mut Node, from: &id::Vm, update: Update, out: &mut Effects) {
    let _ = (node, from, update, out);
}

/// A VM says that it does not hold a domain.
pub(crate) fn not_holder(node: &mut Node, from: &id::Vm, notice: NotHolder, out: &mut Effects) {
    let _ = (node, from, notice, out);
}

/// News of a domain's holder came with a heartbeat.
pub(crate) fn holder_is(node: &mut Node, holder: Holder, out: &mut Effects) {
    let _ = (node, holder, out);
}

/// The configuration changed.
pub(crate) fn configured(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// This VM was not run for a while: leases and grants kept by time are void.
pub(crate) fn paused(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// This VM is leaving: hands its domains over. Says whether all is handed over.
pub(crate) fn hand_over(node: &mut Node, out: &mut Effects) -> bool {
    let _ = (node, out);
    true
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}
