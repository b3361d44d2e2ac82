//! The operators' tool: commands over HTTP to the daemons' operators' listeners, file checks, and the demonstration.
//!
//! The binary `dahliactl` is [`Args::read`] followed by [`run`]; every failure is an [`Error`] that knows its exit
//! code and what to do next.

mod apply;
mod args;
mod budget;
mod check;
mod client;
mod demo;
mod diff;
mod edit;
mod error;
mod file;
mod output;
mod progress;
mod render;
mod revert;
mod rules;
mod session;
mod traffic;
mod tree;

pub use apply::changes;
pub use args::{Args, Command, NOTES};
pub use budget::{Row, budget};
pub use diff::{patched, script};
pub use edit::{MOST_BYTES, parts};
pub use error::{Error, Result};
pub use file::Problem;
pub use output::Output;
pub use render::clash as clash_text;
pub use revert::{around, opposite};
pub use session::run;
pub use traffic::{Traffic, traffic};
