//! A caller's request on this VM, and what is known of the servers that it may go to.
//!
//! * `state`: its life, from arrival to its one final answer.
//! * [`budget`]: second sends over all VMs.
//! * `load_balancer`: which server one of a plain service goes to; [`health`]: what answers say of a server's health; [`notice`]: what
//!   servers say of themselves.
//! * [`fingerprint`]: by what one that comes again is known; [`quarantine`]: those that crash the servers that run them.

pub mod budget;
pub mod fingerprint;
pub mod health;
pub(crate) mod load_balancer;
pub mod notice;
pub mod quarantine;
pub(crate) mod state;
