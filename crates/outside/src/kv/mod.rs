//! The key-value service, in etcd v3's published JSON mapping.

mod client;
mod json;
mod outcome;
mod txn;
mod watch;

pub use client::{Client, Timeouts};
pub use json::Entry;
pub use outcome::{Outcome, Reason};
pub use txn::{Compare, Put, Range, Read, Reply, Txn};
pub use watch::{Change, Notice, Watch};
