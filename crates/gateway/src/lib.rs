//! The decision logic of one entry VM: which requests are admitted, which backend server gets each, and whether a
//! failed attempt is retried. The logic relies on backend servers to report truthfully which requests they did not run.
//!
//! [`Gateway`] is a pure state machine: [`Gateway::step`] takes the time, an [`Event`](event::Event) and a buffer
//! for [`Effect`](effect::Effect)s. It does no I/O, reads no clock and has no global state, so tests run dozens of
//! gateways side by side in virtual time.
//!
//! # Modules
//! * [`cluster`]: state shared by the VMs: the entries of the key-value service, membership, leadership of the
//!   schedulers.
//! * [`config`]: the operator's configuration, and the queue of requests that arrive before one is known.
//! * [`account`]: client accounts: authentication of requests, and quotas enforced over all VMs together.
//! * [`request`]: the state of a caller's request on this VM, from its arrival to its one final answer.
//! * [`scheduler`]: which adapters each engine loads, and which request goes to which engine. The scheduler of a
//!   service runs on the VM that holds the service's leadership; every VM has a client of it.
//! * [`event`]: the inputs of the state machine; [`effect`]: its outputs; [`message`]: messages between VMs.
//! * [`settings`]: the settings of a VM; [`feature`]: features that can be switched off.

pub mod account;
pub mod cluster;
pub mod config;
pub mod effect;
pub mod event;
pub mod feature;
pub mod message;
mod metrics;
mod node;
pub mod path;
pub mod request;
pub mod scheduler;
pub mod settings;
mod timer;

pub use node::Gateway;
