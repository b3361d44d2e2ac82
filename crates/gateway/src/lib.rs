//! The decisions of one entry VM in front of backend servers that say truthfully what they did not run.
//!
//! [`Gateway`] is a pure state machine: [`Gateway::step`] takes the time, an [`Event`](event::Event) and a buffer
//! for [`Effect`](effect::Effect)s. It does no I/O, reads no clock and holds no globals, so dozens of gateways run
//! side by side in virtual time.
//!
//! # How the parts meet
//! * [`cluster`]: the VMs together; what the key-value service says, who is there, who schedules.
//! * [`config`]: the operators' configuration, and requests that come before the first one is known.
//! * [`account`]: whose request it is, and how much each client account may use over all VMs.
//! * [`request`]: a caller's request on this VM, from arrival to its one final answer.
//! * [`scheduler`]: which adapter is loaded where, and which request goes to which engine. It runs on the one VM that holds the
//!   service's leadership, and has a client on every VM.
//! * [`event`] in, [`effect`] out, and [`message`] between VMs; [`settings`], and [`feature`]: what can be switched off.

pub mod account;
pub mod cluster;
pub mod config;
pub mod effect;
pub mod event;
pub mod feature;
pub mod message;
mod metrics;
mod node;
pub mod request;
pub mod scheduler;
pub mod settings;
mod timer;

pub use node::Gateway;
