//! The protocol between entry VMs: messages encoded by Cap'n Proto, and links that carry them.
//!
//! [`encode`] and [`decode`] turn a [`Message`](dahliastile_core::peer::Message) into bytes and back. [`Link`]
//! exchanges messages with other VMs over TCP, after both sides have proved that they know the shared secret.
//! Messages may be lost, so nothing here retries them. [`exchange`] carries batches between VMs that run on one event
//! loop.
//!
//! # The generated code
//! `src/generated/peer_capnp.rs` is committed, so that the build needs no compiler for the schema. After a change
//! of a schema, with the `capnp` compiler and `capnpc-rust` (`cargo install capnpc --version ^0.21`) in
//! the path, run in this package's directory:
//!
//! ```text
//! capnp compile --src-prefix=schema -orust:src/generated schema/peer.capnp schema/exchange.capnp
//! ```

mod convert;
mod error;
pub mod exchange;
mod link;
mod message;
#[allow(
    clippy::all,
    clippy::pedantic,
    elided_lifetimes_in_paths,
    missing_docs,
    unreachable_pub,
    unused
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;
#[allow(
    clippy::all,
    clippy::pedantic,
    elided_lifetimes_in_paths,
    missing_docs,
    unreachable_pub,
    unused
)]
#[rustfmt::skip]
#[path = "generated/exchange_capnp.rs"]
mod exchange_capnp;

pub use error::{Error, Result, Step};
pub use link::{Counts, Incoming, Limits, Link, Secret, Settings};
pub use message::{MAX_MESSAGE, decode, encode, encoded_len};
