//! Requests and their attempts, from arrival to the final answer.

pub(crate) mod attempt;
pub(crate) mod limit;
pub(crate) mod queue;
pub(crate) mod route;
pub(crate) mod trail;

use crate::Node;
use crate::effect::Effects;
use crate::entity::Adapter;
use crate::event::{Call, Failure, Head};
use crate::id::{Attempt, Request, Ticket};
use crate::peer::Finding;
use crate::time::Span;

/// Requests and attempts in progress.
#[derive(Debug, Default)]
pub(crate) struct State {}

/// What waits for one adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Requests that wait.
    pub(crate) count: u32,
    /// The sum of their callers' weights, in thousandths.
    pub(crate) weight: u32,
    /// How long the first of them can still wait.
    pub(crate) left: Span,
    /// How long the first of them has waited.
    pub(crate) waited: Span,
}

/// Adapters for which requests wait.
pub(crate) fn wanted(node: &Node) -> impl Iterator<Item = (Adapter, Waiting)> + '_ {
    let _ = node;
    std::iter::empty()
}

/// Something changed for an adapter: its queue is looked at again before the step ends.
pub(crate) fn wake(node: &mut Node, adapter: Adapter) {
    let _ = (node, adapter);
}

/// Something changed for many adapters or plain services: every queue is looked at again.
pub(crate) fn wake_all(node: &mut Node) {
    let _ = node;
}

/// Whether no request is in progress.
pub(crate) fn idle(node: &Node) -> bool {
    let _ = node;
    true
}

/// Cuts every request in progress with an explicit error.
pub(crate) fn cut(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// A caller's request arrived.
pub(crate) fn arrived(node: &mut Node, request: Request, call: Call, out: &mut Effects) {
    let _ = (node, request, call, out);
}

/// A caller went away.
pub(crate) fn gone(node: &mut Node, request: Request, out: &mut Effects) {
    let _ = (node, request, out);
}

/// A server began to answer.
pub(crate) fn begun(node: &mut Node, attempt: Attempt, head: Head, out: &mut Effects) {
    let _ = (node, attempt, head, out);
}

/// A piece of an answer came.
pub(crate) fn chunk(
    node: &mut Node,
    attempt: Attempt,
    model: Option<&str>,
    tokens: u32,
    data: Vec<u8>,
    out: &mut Effects,
) {
    let _ = (node, attempt, model, tokens, data, out);
}

/// An answer ended.
pub(crate) fn ended(node: &mut Node, attempt: Attempt, out: &mut Effects) {
    let _ = (node, attempt, out);
}

/// An attempt failed.
pub(crate) fn failed(node: &mut Node, attempt: Attempt, failure: &Failure, out: &mut Effects) {
    let _ = (node, attempt, failure, out);
}

/// The finding of a claim came.
pub(crate) fn claimed(node: &mut Node, request: Request, finding: Finding, out: &mut Effects) {
    let _ = (node, request, finding, out);
}

/// Looks at the queues for which something changed in this step, and sends what can be sent.
pub(crate) fn dispatch(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// Time has passed: deadlines.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// An operator wants to know which rule decides a request.
pub(crate) fn test(node: &mut Node, ticket: Ticket, call: &Call, out: &mut Effects) {
    let _ = (node, ticket, call, out);
}

/// An operator wants to know what was done with a request.
pub(crate) fn explain(node: &mut Node, ticket: Ticket, request: &str, out: &mut Effects) {
    let _ = (node, ticket, request, out);
}

/// Adds what is broken in the tables of requests and attempts.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    let _ = (node, broken);
}
