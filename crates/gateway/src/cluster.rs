//! The VMs together: who is there, who schedules, and what all know of the key-value service.
//!
//! * [`snapshot`]: what the key-value service says, each fact with its revision.
//! * `watch`: reading and watching it, and peers when it is away; `relay`: which VMs tell others; `replication`: what they tell each
//!   other of its changes; `apply`: what a change does here.
//! * `membership`: the other VMs; `registration`: this VM's own entry, by which others find it; `lease`: how a lease is kept.
//! * `leadership`: the right to run a service's scheduler, and the fencing number of orders; `candidacy`: who may take it, and when;
//!   `lease_vote`: how its holder goes on while the key-value service answers nobody.
//! * `exclusion`: VMs that did not do what was asked of them, and are not asked again for a while.

pub(crate) mod apply;
pub(crate) mod candidacy;
pub(crate) mod exclusion;
pub(crate) mod leadership;
pub(crate) mod lease;
pub(crate) mod lease_vote;
pub(crate) mod membership;
pub(crate) mod registration;
mod relay;
mod replication;
pub mod snapshot;
pub(crate) mod watch;
