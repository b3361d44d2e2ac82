//! The decisions of one entry VM as a pure state machine.
//!
//! [`Node`] holds everything that one entry VM knows. It is driven by [`Node::step`], which takes the time, an
//! [`Event`](event::Event) and a buffer for [`Effect`](effect::Effect)s. The crate does no I/O, starts no thread,
//! reads no clock and holds no globals: the same events bring the same effects, byte for byte, and many nodes
//! live side by side in one process.

mod catalog;
mod claim;
pub mod config;
mod domain;
pub mod effect;
pub mod entity;
pub mod error;
pub mod escape;
pub mod event;
mod fleet;
pub mod id;
pub mod log;
pub mod metric;
mod names;
mod node;
pub mod operator;
mod ops;
pub mod pages;
pub mod peer;
pub mod platform;
pub mod settings;
mod sync;
pub mod time;
mod traffic;
mod verify;
mod view;

pub use node::Node;
pub use view::View;

/// The tables and choices behind the decisions that stand on their own, for tests, benches and other uses.
pub mod policy {
    pub use crate::domain::worth::{Cold, order, unwelcome};
    pub use crate::traffic::limit::bucket::Bucket;
    pub use crate::traffic::limit::budget::Budget;
    pub use crate::traffic::limit::fair::{Clock, Shares};
    pub use crate::traffic::limit::pace::Pace;
    pub use crate::traffic::route::recent::Recent;
    pub use crate::traffic::route::score::{Candidate, Figures, Rank, bias};
}
