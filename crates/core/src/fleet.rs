//! The other entry VMs: who is there, who is leaving, and how this VM leaves.

use crate::Node;
use crate::effect::Effects;
use crate::event::Listed;
use crate::id::{self, Incarnation, Ticket};
use crate::peer::{Heartbeat, Holder};
use crate::settings::Settings;

/// The members of the fleet as this VM sees them.
#[derive(Debug)]
pub(crate) struct State {
    /// Whether this VM is shutting down.
    pub(crate) draining: bool,
}

impl State {
    /// A fleet of this VM alone.
    pub(crate) fn new(settings: &Settings) -> Self {
        let _ = settings;
        Self { draining: false }
    }

    /// The address of a VM that is not known to be gone.
    pub(crate) fn address(&self, vm: &id::Vm) -> Option<String> {
        let _ = vm;
        None
    }

    /// The VMs that are live and not leaving, this one included, in order of name.
    pub(crate) fn live(&self) -> impl Iterator<Item = &id::Vm> {
        std::iter::empty()
    }

    /// The live VM that a key belongs to, by rendezvous hashing.
    pub(crate) fn home(&self, key: &[u8]) -> Option<&id::Vm> {
        let _ = key;
        self.live().next()
    }

    /// Whether that start of a VM is certainly over: a newer start was heard of, no process listens at its
    /// address, or the platform no longer lists it and it is silent.
    pub(crate) fn gone(&self, vm: &id::Vm, incarnation: Incarnation) -> bool {
        let _ = (vm, incarnation);
        false
    }
}

/// Holder news to spread with the next heartbeats.
pub(crate) fn spread(node: &mut Node, holder: Holder) {
    let _ = (node, holder);
}

/// A message came; says whether its sender may be listened to (not a start that is known to be over).
pub(crate) fn heard(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    out: &mut Effects,
) -> bool {
    let _ = (node, from, incarnation, out);
    true
}

/// A heartbeat came.
pub(crate) fn heartbeat(node: &mut Node, from: &id::Vm, beat: Heartbeat, out: &mut Effects) {
    let _ = (node, from, beat, out);
}

/// The platform's list came.
pub(crate) fn listed(node: &mut Node, vms: Vec<Listed>, out: &mut Effects) {
    let _ = (node, vms, out);
}

/// A link broke.
pub(crate) fn down(node: &mut Node, vm: &id::Vm, refused: bool, out: &mut Effects) {
    let _ = (node, vm, refused, out);
}

/// This VM was not run for a while.
pub(crate) fn paused(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}

/// This VM is told to stop.
pub(crate) fn shutdown(node: &mut Node, now: bool, out: &mut Effects) {
    let _ = (node, now, out);
}

/// An operator wants the state of the fleet.
pub(crate) fn status(node: &mut Node, ticket: Ticket, out: &mut Effects) {
    let _ = (node, ticket, out);
}

/// Time has passed.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let _ = (node, out);
}
