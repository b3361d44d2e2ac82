//! The decisions of one entry VM in front of backend servers that say truthfully what they did not run.
//!
//! [`Gateway`] is a pure state machine: [`Gateway::step`] takes the time, an [`Event`](event::Event) and a buffer
//! for [`Effect`](effect::Effect)s. It does no I/O, reads no clock and holds no globals, so dozens of gateways run
//! side by side in virtual time.
//!
//! # How the parts meet
//! * [`config`], [`fact`]: what the key-value service says, each fact with its revision. A fact of a lower revision
//!   never replaces a newer one, whatever way it came.
//! * [`account`]: whose request it is, and how much each client account may use over all VMs.
//! * [`fingerprint`]: by what a request that comes again is known.
//! * `flow`: the life of one caller's request on this VM, from arrival to its one final answer.
//! * `startup_queue`: requests that come before the first configuration is known.
//! * [`notice`]: what servers say of themselves in their answers.
//! * `passed_by`: VMs that did not do what was asked of them, and are not asked again for a while.
//! * `load_balancer`: which server a request of a plain service goes to.
//! * `scheduler_client`: asks the scheduler of an engine service for a place, and goes on without one.
//! * [`scheduler`]: the scheduler itself: which adapter is loaded where, and which request goes to which engine. It runs
//!   on the one VM that holds the service's lease.
//! * `run`: when it runs, and what becomes of its decisions.
//! * `registration`: this VM's own entry, by which others find it; `lease`: how a lease is kept.
//! * `leadership`: the lease of the service's leadership, and the fencing number of orders; `candidacy`: who may take one, and when.
//! * `lease_vote`: how a scheduler goes on while the key-value service answers nobody.
//! * [`feature`]: what of all that can be switched off.
//! * [`quarantine`]: requests that crash the servers that run them.
//! * `follow`: reading and watching the key-value service, and peers when it is away.
//! * `replication`: what VMs tell each other of its changes; `apply`: what a change does here.
//! * `relay`: which VMs tell others what all are told.

pub mod account;
mod apply;
pub mod budget;
mod candidacy;
pub mod config;
pub mod effect;
pub mod event;
pub mod fact;
pub mod feature;
pub mod fingerprint;
mod flow;
mod follow;
pub mod health;
mod leadership;
mod lease;
mod lease_vote;
mod load_balancer;
mod measure;
mod membership;
pub mod message;
mod node;
pub mod notice;
mod passed_by;
pub mod quarantine;
mod registration;
mod relay;
mod replication;
mod run;
pub mod scheduler;
mod scheduler_client;
mod scheduler_host;
pub mod settings;
mod startup_queue;
mod timer;

pub use node::Gateway;
