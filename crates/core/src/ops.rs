//! Operations on the key-value service that have not come back yet, and who waits for each.

use std::collections::BTreeMap;

use crate::effect::{Effect, Effects};
use crate::id::Op;
use crate::platform::Call;

/// The part of the node that an operation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// Control domains: leases and intents.
    Domain,
    /// Claims on idempotency keys.
    Claim,
    /// The configuration.
    Sync,
}

/// Operations in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// The number of the last operation.
    last: u64,
    /// Who waits for each.
    owners: BTreeMap<Op, Owner>,
}

impl Table {
    /// Begins an operation.
    pub(crate) fn call(&mut self, owner: Owner, call: Call, out: &mut Effects) -> Op {
        self.last += 1;
        let op = Op(self.last);
        self.owners.insert(op, owner);
        out.push(Effect::Platform { op, call });
        op
    }

    /// Who waits for an operation that came back. A watch is never over by an outcome alone.
    pub(crate) fn take(&mut self, op: Op) -> Option<Owner> {
        self.owners.remove(&op)
    }

    /// Who waits for a watch.
    pub(crate) fn watcher(&self, op: Op) -> Option<Owner> {
        self.owners.get(&op).copied()
    }

    /// Ends a watch.
    pub(crate) fn unwatch(&mut self, op: Op, out: &mut Effects) {
        if self.owners.remove(&op).is_some() {
            out.push(Effect::Unwatch { op });
        }
    }
}
