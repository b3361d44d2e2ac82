//! Claims on idempotency keys: non-idempotent work with a key is sent once, whatever VM it arrives at.

use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Incarnation, Op, Request};
use crate::peer::{Claim, Key, Outcome as Ending, Verdict};
use crate::platform::Outcome;

/// Claims that this VM wants, and the slots that it is home to.
#[derive(Debug, Default)]
pub(crate) struct State {}

impl State {
    /// Whether the key-value service did not answer when it was last asked.
    pub(crate) fn platform_lost(&self) -> bool {
        false
    }
}

/// Takes a claim for a request of this VM. The finding comes by [`crate::traffic::claimed`].
pub(crate) fn take(node: &mut Node, request: Request, key: Key, digest: u64, out: &mut Effects) {
    let _ = (node, request, key, digest, out);
}

/// Says how a claimed request ended, or, with none, that it was certainly not run.
pub(crate) fn release(
    node: &mut Node,
    request: Request,
    ending: Option<Ending>,
    out: &mut Effects,
) {
    let _ = (node, request, ending, out);
}

/// A claim arrived from a VM, this one included.
pub(crate) fn claimed(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    claim: Claim,
    out: &mut Effects,
) {
    let _ = (node, from, incarnation, claim, out);
}

/// The home answered a claim of this VM.
pub(crate) fn verdict(node: &mut Node, from: &id::Vm, verdict: Verdict, out: &mut Effects) {
    let _ = (node, from, verdict, out);
}

/// An operation on the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    let _ = (node, op, outcome, out);
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// Whether everything held is handed over, so that the VM may stop.
pub(crate) fn drained(node: &Node) -> bool {
    let _ = node;
    true
}
