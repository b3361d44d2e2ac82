//! Claims on idempotency keys: non-idempotent work with a key is sent once, whatever VM it arrives at.
//!
//! The VM that has the request asks the home of the key's slot, which is found by hashing; the home writes the claim
//! to the slot's log on the key-value service and answers from the log. Which VM is home is only a matter of speed:
//! any VM may write to any log, since each write compares the log's head.

mod home;
mod log;
mod results;
mod retention;
mod slot;
mod table;
mod wanted;

use std::collections::BTreeMap;

use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Incarnation, Op, Request};
use crate::peer::{Claim, Key, Outcome as Ending, Verdict};
use crate::platform::Outcome;
use crate::time::{Instant, Span};

/// By how much a key is remembered longer than its segment can be there.
const MARGIN: Span = Span::from_secs(1);

/// Claims that this VM wants, and the slots that it is home to.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// What this VM's requests claim.
    wants: wanted::Wants,
    /// The slots that this VM is or was home to.
    slots: BTreeMap<u64, slot::Slot>,
    /// What each operation in progress is for.
    jobs: BTreeMap<Op, home::Job>,
    /// The lease of the segments that are written now.
    retention: retention::Retention,
    /// Whether the key-value service answers.
    service: home::Service,
    /// The version of the fleet for which homes were last looked up.
    version: u64,
    /// When time last passed.
    ticked: Instant,
}

impl State {
    /// Whether the key-value service did not answer when it was last asked.
    pub(crate) const fn platform_lost(&self) -> bool {
        self.service.lost
    }
}

/// Takes a claim for a request of this VM. The finding comes by [`crate::traffic::claimed`].
pub(crate) fn take(node: &mut Node, request: Request, key: Key, digest: u64, out: &mut Effects) {
    wanted::take(node, request, key, digest, out);
}

/// Says how a claimed request ended, or, with none, that it was certainly not run.
pub(crate) fn release(
    node: &mut Node,
    request: Request,
    ending: Option<Ending>,
    out: &mut Effects,
) {
    wanted::release(node, request, ending, out);
}

/// A claim arrived from a VM, this one included.
pub(crate) fn claimed(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    claim: Claim,
    out: &mut Effects,
) {
    home::claimed(node, from, incarnation, claim, out);
}

/// The home answered a claim of this VM.
pub(crate) fn verdict(node: &mut Node, from: &id::Vm, verdict: Verdict, out: &mut Effects) {
    wanted::verdict(node, from, verdict, out);
}

/// An operation on the key-value service came back.
pub(crate) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    home::platform(node, op, outcome, out);
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let moved = node.claims.version != node.fleet.version;
    node.claims.version = node.fleet.version;
    node.claims.ticked = node.now;
    home::tick(node, moved, out);
    wanted::tick(node, moved, out);
}

/// Whether everything held is handed over, so that the VM may stop.
pub(crate) fn drained(node: &Node) -> bool {
    let claims = &node.claims;
    claims.wants.is_empty() && claims.slots.values().all(slot::Slot::is_idle)
}

/// Adds what is broken in the tables of claims.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    wanted::verify(node, broken);
    let claims = &node.claims;
    for (number, slot) in &claims.slots {
        slot.table.verify(broken);
        let op = slot.phase.op();
        if op.is_some_and(|op| claims.jobs.get(&op) != Some(&home::Job::Slot(*number))) {
            broken.push(format!("claims: slot {number} waits for nothing"));
        }
        if slot.verified && slot.revision.is_none() {
            broken.push(format!(
                "claims: slot {number} is relied on but was not read"
            ));
        }
    }
}

/// The slot that a key belongs to.
fn slot_of(node: &Node, key: &Key) -> u64 {
    let (_, low) = key.split_at(key.len() / 2);
    let word = low.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    word % node.settings.tuning.claim_slots.max(1)
}

/// The home of a slot; this VM where no VM is live.
fn home_of(node: &Node, slot: u64) -> id::Vm {
    let key = slot.to_be_bytes();
    let home = node
        .fleet
        .home(&[b"claims/".as_slice(), key.as_slice()].concat());
    home.unwrap_or(&node.settings.vm).clone()
}

/// The number under which a request is known to homes, and back.
///
/// Requests are numbered anew with each start, and a verdict does not say for which start it is. So that one for an
/// earlier start fits no request of this one, the number is mixed with the start's own.
fn masked(node: &Node, request: Request) -> Request {
    let hash = blake3::hash(&node.settings.incarnation.0.to_be_bytes());
    let (word, _) = hash.as_bytes().split_at(8);
    let mask = word.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    Request(request.0 ^ mask)
}

/// How long keys are remembered: never shorter than a request may take.
fn keep(node: &Node) -> Span {
    let tuning = &node.settings.tuning;
    Span::from_millis(tuning.claim_keep_ms.max(tuning.deadline_max_ms))
}

/// How long a home remembers keys: for as long as their segments can be there.
fn memory(node: &Node) -> Span {
    let keep = keep(node);
    keep + Span(keep.0 / 2) + MARGIN
}
