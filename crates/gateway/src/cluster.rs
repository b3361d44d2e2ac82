//! The coordination of the VMs of a deployment: membership, the scheduler's leadership, and the copy of the
//! key-value service's entries that each VM keeps.
//!
//! * [`revision`]: the numbers of the key-value service's changes, and the eras in which it counts them.
//! * [`snapshot`]: the entries of the key-value service that this VM knows, each with its revision.
//! * `watch`: how this VM watches the key-value service, directly or through another VM; `relay`: which VMs
//!   watch directly and which relay to their availability zone; `replication`: the changes that VMs send to
//!   each other; `apply`: the effects of a change on this VM.
//! * `membership`: the other VMs; `registration`: this VM's own entry, by which others find it; `lease`:
//!   granting and renewing a lease.
//! * `leadership`: the right to run a service's scheduler, and the fencing token of its orders; `candidacy`:
//!   which VM may take a leadership, and when; `lease_vote`: how the holder of a leadership goes on while the
//!   key-value service answers no VM.
//! * `era`: what changes when the key-value service comes back from a copy.
//! * `exclusion`: VMs that are excluded from a role for a while, since they failed in it.

pub(crate) mod apply;
pub(crate) mod builds;
pub(crate) mod candidacy;
pub(crate) mod era;
pub(crate) mod exclusion;
pub(crate) mod leadership;
pub(crate) mod lease;
pub(crate) mod lease_vote;
pub(crate) mod membership;
pub(crate) mod outage;
pub(crate) mod registration;
mod relay;
mod replication;
pub mod revision;
pub mod snapshot;
pub(crate) mod watch;
