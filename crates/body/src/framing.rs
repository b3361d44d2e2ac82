//! How an answer's head says where its body ends.

use std::fmt;

use crate::Position;

/// How the head of an answer says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After a number of bytes, or the answer has no body.
    Length,
    /// With the last chunk.
    Chunked,
    /// With the connection.
    Connection,
}

/// What is known of a body that ended without an error of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All of it came.
    Whole,
    /// Nothing shows whether all of it came.
    Unproven,
    /// It was broken off.
    Broken,
}

impl Framing {
    /// Returns the framing of an answer that may have a body, from its `Transfer-Encoding` and whether it has a
    /// `Content-Length`.
    #[must_use]
    pub fn of(transfer_encoding: Option<&str>, has_length: bool) -> Self {
        let last_coding = transfer_encoding.and_then(|codings| codings.rsplit(',').next());
        match last_coding.map(str::trim) {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Self::Chunked,
            None if has_length => Self::Length,
            Some(_) | None => Self::Connection,
        }
    }

    /// Returns what is known of a body of bytes that has ended.
    #[must_use]
    pub fn ending(self) -> Ending {
        match self {
            Self::Length | Self::Chunked => Ending::Whole,
            Self::Connection => Ending::Unproven,
        }
    }

    /// Returns what is known of a stream of events that has ended at a position.
    #[must_use]
    pub fn stream_ending(self, position: Position) -> Ending {
        match (self, position) {
            (_, Position::WithinEvent) | (Self::Connection, Position::Start) => Ending::Broken,
            (_, Position::Start | Position::BetweenEvents) => self.ending(),
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        })
    }
}
