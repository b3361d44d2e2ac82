//! What proves that no server has run a request.

use crate::event::{Execution, FailureCause};

/// What shows that an attempt did not run and never will.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// No attempt has left this VM.
    #[default]
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

/// A proof that no server has run a request and that none will. Only a [`Ledger`] makes one, and a refusal that promises so
/// needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof(Evidence);

impl Proof {
    /// The proof for a request of which this VM has made no attempt, since it was not admitted.
    pub(crate) const UNADMITTED: Self = Self(Evidence::NeverSent);

    /// Returns what it rests on.
    #[must_use]
    pub const fn evidence(self) -> Evidence {
        self.0
    }
}

/// What is known of the attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// Whether an attempt is under way.
    is_open: bool,
    /// Number of attempts that a server ran or may have run.
    executions: u32,
    /// The evidence of the last attempt that did not run.
    evidence: Evidence,
}

impl Ledger {
    /// Records that an attempt is handed on.
    pub(crate) fn open(&mut self) {
        debug_assert!(!self.is_open, "an attempt is under way");
        // An attempt that was never closed may have run.
        self.executions += u32::from(self.is_open);
        self.is_open = true;
    }

    /// Records how the attempt that is under way has failed. One that did not run by its execution, but whose cause is no
    /// evidence of that, counts as one that may have run.
    pub(crate) fn close(&mut self, execution: Execution, cause: FailureCause) {
        self.is_open = false;
        match Evidence::of(execution, cause) {
            Some(evidence) => self.evidence = evidence,
            None => self.executions += 1,
        }
    }

    /// Records that the attempt that is under way was given up, and may have run.
    pub(crate) fn abandon(&mut self) {
        self.is_open = false;
        self.executions += 1;
    }

    /// Returns whether an attempt is under way.
    pub(crate) const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the number of attempts that a server ran or may have run, without the one that is under way.
    pub(crate) const fn executions(&self) -> u32 {
        self.executions
    }

    /// Returns the proof that no server has run the request; `None` while an attempt is under way, or if a server may have run
    /// one.
    pub(crate) const fn proof(&self) -> Option<Proof> {
        match (self.is_open, self.executions) {
            (false, 0) => Some(Proof(self.evidence)),
            _ => None,
        }
    }
}
