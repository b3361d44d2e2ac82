//! Blocking clients of the systems around an entry VM.
//!
//! [`kv`] speaks to the key-value service, [`vms`] reads the VM list, [`engine`] drives model engines
//! and [`plain`] forwards calls to plain services. They are called from the shell's threads; the
//! decisions about what to send, and what to make of a failure, are taken elsewhere. Each client
//! therefore reports what is certain and what is not: [`Error::is_unsent`] and [`kv::Outcome::NotSent`]
//! say that a request can have had no effect, and no client ever sends a write a second time by itself.
//!
//! # Known costs and limits
//!
//! * Each request has a TCP connection and a reader thread of its own. The thread runs `hyper` on an event loop up to the
//!   deadline, while the calling thread keeps the deadline too and watches the [`Cancel`] token. A reader whose caller has given
//!   up ends at its next bytes or at the deadline. Until then a request that timed out may still be sent, so a timeout is never
//!   taken as proof that nothing happens.
//! * A head with a line that is no field, a status that is none, or an interim answer, which no request asks for, is no answer.
//! * [`Framing`](dahliastile_body::Framing) says how a body ended; JSON bodies and event streams prove their end by themselves.
//! * One value is kept for each header name of an answer, and addresses are IPv4 only.
//! * A cancelled call stops waiting at once, but the server sees the connection close only when the reader ends, so that an engine
//!   has to be told to [abort](engine::Client::abort).
//! * Of the failures to connect, only a refused connection can be told from one that broke later. A
//!   server that does not answer at all is a timeout, which proves nothing.

mod cancel;
mod error;
mod http;
mod pump;
mod sse;
mod unit;

pub mod engine;
pub mod kv;
pub mod plain;
pub mod vms;

pub use cancel::{Cancel, Wake};
pub use dahliastile_intake::Size;
pub use error::{Error, Result};
pub use http::Room;
pub use sse::{Event, Parser};
pub use unit::{Endpoint, Fence, Lease, Revision};
