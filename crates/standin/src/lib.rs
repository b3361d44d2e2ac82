//! Small stand-ins for the systems outside dahliastile, for tests and the demonstration.
//!
//! Each stand-in runs on threads behind a loopback port and speaks the protocol of
//! `docs/design/outside.md`. A [`Host`] runs one and stops it on drop. Faults are set through
//! [`Host::fault`] and [`Host::disturb`], or by `POST /fault` where the stand-in is a process of
//! its own. Time is real but every duration is a setting.

mod call;
pub mod caller;
pub mod engine;
pub mod fleet;
mod gate;
mod host;
pub mod kv;
mod listener;
pub mod plain;
pub mod vms;
pub mod weights;

pub use call::Call;
pub use gate::Outage;
pub use host::{Fault, Host, Service};
