//! What proves that no server has run a request.

use crate::event::{Execution, FailureCause};

/// What shows that an attempt did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No attempt has left this VM.
    NeverSent,
    /// No byte of the attempt was written.
    Unsent,
    /// The server's answer to the attempt states so.
    Rejected,
    /// The VM that was to carry the attempt says that it has not.
    NotCarried,
}

impl Evidence {
    /// Returns the evidence that a failed attempt gives; `None` if the server may have run it, or if its failure can't show
    /// otherwise.
    pub(crate) const fn of(execution: Execution, cause: FailureCause) -> Option<Self> {
        match (execution, cause) {
            (Execution::No, FailureCause::Declined) => Some(Self::NeverSent),
            (Execution::No, FailureCause::Unreachable) => Some(Self::Unsent),
            (Execution::No, FailureCause::Full | FailureCause::Missing) => Some(Self::Rejected),
            (Execution::No, FailureCause::NoPath) => Some(Self::NotCarried),
            (
                Execution::No,
                FailureCause::Broken | FailureCause::Malformed | FailureCause::Status(_),
            )
            | (Execution::Maybe | Execution::Yes, _) => None,
        }
    }

    /// Returns its name in the log.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NeverSent => "never_sent",
            Self::Unsent => "unsent",
            Self::Rejected => "rejected",
            Self::NotCarried => "not_carried",
        }
    }
}
