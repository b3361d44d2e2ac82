//! One event loop around the decisions of an entry VM.
//!
//! One thread runs everything: callers' connections, connections to backend servers, links to other VMs, the
//! key-value service, timers. One task owns the [`Gateway`](dahliastile_gateway::Gateway) and takes events from a
//! mailbox; every other task turns bytes into events and effects into bytes, and decides nothing.
//!
//! A [`Dialect`] says how the outside systems are spoken to.

mod answer;
mod attempt;
mod callers;
mod clock;
mod dialect;
mod driver;
mod figures;
mod head;
mod hub;
mod intake;
mod journal;
mod peers;
mod pool;
mod probe;
mod reader;
mod relay;
mod request;
mod run;
mod screen;
mod stream;
mod task;

pub use dahliastile_intake::{Machine, Size};
pub use dialect::{Claim, Dialect, Echo, Heard, Rejection, Reply};
pub use figures::Figures;
pub use journal::LineBudget;
pub use pool::{Client, Fault, Limits, Owner, Pool};
pub use run::{EventLoop, Options};
