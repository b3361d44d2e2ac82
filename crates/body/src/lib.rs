//! Where the body of an HTTP answer ends, and what its end proves.
//!
//! HTTP/1.1 ends a body in three ways (RFC 9112, section 6.3). A length and a last chunk say that the body is whole. The
//! end of the connection says nothing: a server that crashes ends its connections too.

mod events;
mod framing;

pub use events::{Events, Position};
pub use framing::{Ending, Framing};
