//! What can go wrong with a message or a link.

use dahliastile_core::id;
use dahliastile_core::time::Span;

/// What can go wrong with a message or a link.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes are not an encoded message.
    #[error("not an encoded message: {0}")]
    Encoding(String),
    /// A union member or enumerant that this version does not know.
    #[error("unknown variant {0}")]
    UnknownVariant(u16),
    /// A field that can't be left out is absent.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A text is not a name.
    #[error("`{field}` is not a name: {cause}")]
    Name {
        /// The field.
        field: &'static str,
        /// Why it is not.
        cause: id::Malformed,
    },
    /// A field of fixed length has another one.
    #[error("`{field}` has {found} bytes")]
    Length {
        /// The field.
        field: &'static str,
        /// The length found.
        found: usize,
    },
    /// Bytes follow the end of the message.
    #[error("{0} bytes follow the end of the message")]
    Trailing(usize),
    /// The shared secret is shorter than this many bytes.
    #[error("the secret must have at least {0} bytes")]
    ShortSecret(usize),
    /// The system gives no random numbers.
    #[error("no random numbers: {0}")]
    Randomness(String),
    /// The address can't be listened on.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: String,
        /// The system's error.
        cause: String,
    },
    /// The link's thread or its event loop could not be started.
    #[error("can't start the link: {0}")]
    Start(String),
    /// The address of a peer is not an IP address and port.
    #[error("`{0}` is not an IP address and port")]
    Address(String),
    /// The connection was refused: no process listens there.
    #[error("connection refused")]
    ConnectionRefused,
    /// The connection could not be made, for another reason than being refused.
    #[error("can't connect: {0}")]
    Connect(String),
    /// The peer did not answer in time.
    #[error("no answer to {step} within {limit}")]
    Timeout {
        /// What was waited for.
        step: Step,
        /// How long.
        limit: Span,
    },
    /// The peer does not know the shared secret, or this VM does not.
    #[error("the peer has another secret")]
    WrongSecret,
    /// Another VM answers at the peer's address.
    #[error("another VM answers at that address")]
    WrongName,
    /// The peer did not understand the entry.
    #[error("the peer can't read the entry")]
    BadEntry,
    /// The link broke.
    #[error("the link broke: {0}")]
    Broken(String),
}

/// A step of a link that has a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Making the connection.
    Connect,
    /// Proving the secret to each other.
    Handshake,
    /// Delivering messages.
    Delivery,
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect",
            Self::Handshake => "handshake",
            Self::Delivery => "delivery",
        })
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Encoding(error.to_string())
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::UnknownVariant(error.0)
    }
}

/// What went wrong on this side of a remote call is told to the other side as text.
impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        Self::failed(error.to_string())
    }
}

/// The result of encoding, decoding and link operations.
pub type Result<T> = std::result::Result<T, Error>;
