//! The entry VM daemon: a thin shell around the decisions of `dahliastile-core`.
//!
//! [`Settings`] are read and checked first; a [`Daemon`] then listens, runs the node on one thread, turns bytes into
//! events and effects into bytes, and ends in order. Several daemons live in one process, each with its own log and
//! figures.

mod daemon;
mod driver;
mod error;
mod http;
mod logs;
mod peers;
mod pool;
mod settings;

pub mod cli;

pub use daemon::{Addresses, Daemon, Stopper};
pub use error::{Error, Result};
pub use logs::name as event_name;
pub use settings::{
    Entry, Fault, Form, Format, Limits, Listen, Log, Place, Platform, Settings, entries,
};
