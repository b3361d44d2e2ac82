//! Requests of callers on this VM: their state, and what the VM knows about the servers that they can be sent
//! to.
//!
//! * `state`: the state of a request from arrival to final answer.
//! * [`budget`]: the retry budget that all VMs share.
//! * `load_balancer`: the choice of a server where no scheduler places requests.
//! * [`health`]: the health of servers, derived from their answers.
//! * [`notice`]: what servers say about themselves in their answers.
//! * [`origin`]: where streams began, which binds where they may go on.
//! * [`proof`]: what proves that no server has run a request.
//! * `duration`: how long requests of each route take.
//! * `expiring_map`: a map of bounded size and age.
//! * [`fingerprint`]: the hash by which repetitions of a request are recognized.
//! * [`quarantine`]: requests that crash the servers that run them.
//! * `shutdown`: requests at a graceful stop.

pub mod budget;
pub(crate) mod duration;
pub(crate) mod expiring_map;
pub mod fingerprint;
pub mod health;
pub(crate) mod load_balancer;
pub mod notice;
pub mod origin;
pub mod proof;
pub mod quarantine;
pub(crate) mod shutdown;
pub(crate) mod state;
