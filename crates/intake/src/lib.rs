//! What clients together may make a process hold.
//!
//! A limit on one request bounds nothing when many come at once. A [`Ledger`] counts what each connection makes the process
//! hold, in bytes, and keeps the sum within a [`Capacity`] that follows from what the [`Machine`] has. When there is no room,
//! connections that make no progress yield, the one first that has held most for longest; a part of the capacity is kept for
//! small requests, so that those pass while large ones wait.
//!
//! There is no I/O and no clock here: the caller reports bytes, progress and ends, and carries out what is decided.

mod capacity;
mod json;
mod ledger;
mod report;
mod size;

pub use capacity::{Capacity, Machine, Port, TooSmall};
pub use json::json_weight;
pub use ledger::{Grant, Holder, LEAST_RATE, Ledger, Phase, SMALL, Tally, Use};
pub use report::Report;
pub use size::{Malformed, Size};
