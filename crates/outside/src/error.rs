//! The one list of ways in which a call to an outside system fails.

use serde::Deserialize;
use thiserror::Error as ThisError;

/// The result of a call to an outside system.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call failed, and thereby what may have happened at the server.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// Nothing was sent, for a reason on this side.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The server refused the connection, so that no byte reached it.
    #[error("connection refused")]
    Refused,
    /// The server vouches that it did not run the request.
    #[error("not run by the server: {status} {code}: {message}")]
    NotRun {
        /// HTTP status of the answer.
        status: u16,
        /// The server's error code.
        code: String,
        /// The server's text for people.
        message: String,
    },
    /// The server answered with an error and does not vouch that nothing ran.
    #[error("rejected with status {status}")]
    Rejected {
        /// HTTP status of the answer.
        status: u16,
        /// The server's error code, when the body carries one.
        code: Option<String>,
        /// The body as it came.
        body: Vec<u8>,
    },
    /// The connection ended before the head of an answer had come.
    #[error("connection ended before an answer: {0}")]
    ResetBefore(String),
    /// The answer began and did not end properly.
    #[error("answer broken off: {0}")]
    Broken(String),
    /// The deadline passed first.
    #[error("timeout")]
    Timeout,
    /// The caller's token was cancelled after the request may have been sent.
    #[error("cancelled")]
    Cancelled,
}

impl Error {
    /// Whether it is certain that the request had no effect and will have none.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Refused | Self::NotRun { .. })
    }

    /// The server's own error code, when it gave one.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::NotRun { code, .. } => Some(code),
            Self::Rejected { code, .. } => code.as_deref(),
            _ => None,
        }
    }

    /// Classifies an answer that is no success. Only an error status with `ran: "no"` proves that nothing ran.
    pub(crate) fn from_answer(status: u16, body: Vec<u8>) -> Self {
        let detail = serde_json::from_slice::<Envelope>(&body).map(|envelope| envelope.error);
        match detail {
            Ok(detail) if status >= FIRST_ERROR && detail.ran.as_deref() == Some(RAN_NO) => {
                Self::NotRun {
                    status,
                    code: detail.code,
                    message: detail.message,
                }
            }
            Ok(detail) => Self::Rejected {
                status,
                code: Some(detail.code),
                body,
            },
            Err(_) => Self::Rejected {
                status,
                code: None,
                body,
            },
        }
    }
}

/// The first status that says that a request failed.
const FIRST_ERROR: u16 = 400;

/// The value of `ran` with which a server vouches that nothing ran.
const RAN_NO: &str = "no";

/// The body of an error answer.
#[derive(Deserialize)]
struct Envelope {
    /// What went wrong.
    error: Detail,
}

/// What went wrong, in the server's words.
#[derive(Deserialize)]
struct Detail {
    /// The error code.
    code: String,
    /// The text for people.
    #[serde(default)]
    message: String,
    /// Whether the request ran; left out when the server cannot vouch for it.
    ran: Option<String>,
}
