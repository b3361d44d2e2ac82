//! What is known of a call's effect.

use crate::error::Error;

/// What is known of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T, C = T> {
    /// It took effect, with this answer.
    Done(T),
    /// Its condition did not hold and it changed nothing.
    Conflict(C),
    /// It certainly had no effect and will have none: every connection was refused.
    NotSent,
    /// It may have taken effect, or may still do so.
    Unknown(Reason),
}

/// Why nothing is known of a call's effect.
pub type Reason = Error;

impl<T, C> Outcome<T, C> {
    /// Sorts the result of a call.
    pub(crate) fn from_result(result: Result<T, Error>) -> Self {
        match result {
            Ok(value) => Self::Done(value),
            // A rejection is not taken as proof here, even where the service vouches for it: the
            // service may sit behind others that answer in its place.
            Err(Error::Refused | Error::Unsent(_)) => Self::NotSent,
            Err(error) => Self::Unknown(error),
        }
    }
}
