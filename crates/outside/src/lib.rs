//! Blocking clients of the systems around an entry VM.
//!
//! [`kv`] speaks to the key-value service, [`vms`] reads the VM list, [`engine`] drives model engines
//! and [`plain`] forwards calls to plain services. They are called from the shell's threads; the
//! decisions about what to send, and what to make of a failure, are taken elsewhere. Each client
//! therefore reports what is certain and what is not: [`Error::is_unsent`] and [`kv::Outcome::NotSent`]
//! say that a request can have had no effect, and no client ever sends a write a second time by itself.
//!
//! # Known costs and limits of the HTTP library
//!
//! * `minreq` opens one TCP connection for each request.
//! * Its timeout counts whole seconds and covers the request with its body. A reader thread runs it with
//!   the deadline rounded up, while the calling thread keeps the exact deadline and watches the
//!   [`Cancel`] token. A reader whose caller has given up ends at its next bytes or within a second of
//!   the deadline. Until then a request that timed out may still be sent, so a timeout is never taken
//!   as proof that nothing happens.
//! * It takes a connection that closes at a chunk boundary for the proper end of a chunked body.
//!   [`Framing`](dahliastile_body::Framing) says how a body ended; JSON bodies and event streams prove their end by themselves.
//! * It keeps one value for each header name of an answer, and addresses are IPv4 only.
//! * It hides its socket. A cancelled call stops waiting at once, but the server sees the connection
//!   close only when the reader ends, so that an engine has to be told to [abort](engine::Client::abort).
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
