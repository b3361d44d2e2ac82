//! The closed list of reasons for which a caller gets no whole answer, and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Whether the request has run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the request reached a backend server, or that server itself refused to run it.
    No,
    /// It ran, at least in part.
    Yes,
    /// It may have run.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

/// Whether a caller does well to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Retry {
    /// The same request fails again.
    Never,
    /// After `retry_after_ms`.
    Later,
    /// Only where the work is idempotent.
    Idempotent,
}

/// The `ran` that a kind always carries, or that each case decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fixed {
    /// Every answer of this kind says so.
    Always(Ran),
    /// The case at hand decides between `yes` and `unknown`, or `no`.
    Case,
}

macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $kind:ident $name:literal $status:literal $ran:expr, $retry:ident;)*) => {
        /// A kind of refusal or error.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[doc = $doc])* $kind,)*
        }

        impl Kind {
            /// Every kind, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind),*];

            /// The row of the table for this kind.
            #[must_use]
            pub const fn row(self) -> Row {
                match self {
                    $(Self::$kind => Row {
                        name: $name,
                        status: $status,
                        ran: $ran,
                        retry: Retry::$retry,
                        meaning: concat!($($doc),*),
                    },)*
                }
            }
        }
    };
}

/// What is said of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// The kind as the answer spells it.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The `ran` of the answer.
    pub ran: Fixed,
    /// Whether to ask again.
    pub retry: Retry,
    /// One sentence for the docs.
    pub meaning: &'static str,
}

const NO: Fixed = Fixed::Always(Ran::No);

kinds! {
    /// The request is not well-formed HTTP, or lacks what its path needs.
    BadRequest "bad_request" 400 NO, Never;
    /// The body is not the JSON that the path asks for.
    BadJson "bad_json" 400 NO, Never;
    /// The bearer token is missing or wrong.
    Unauthorized "unauthorized" 401 NO, Never;
    /// The first matching rule refuses the request.
    RefusedByRule "refused_by_rule" 403 NO, Never;
    /// No such path, service or request.
    NotFound "not_found" 404 NO, Never;
    /// The adapter is not in the configuration.
    UnknownAdapter "unknown_adapter" 404 NO, Never;
    /// The adapter is in the configuration, but not at this version.
    UnknownVersion "unknown_version" 404 NO, Never;
    /// The model was named without `@<version>`.
    MissingVersion "missing_version" 400 NO, Never;
    /// The body is larger than the limit.
    BodyTooLarge "body_too_large" 413 NO, Never;
    /// The headers are larger than the limit.
    HeadersTooLarge "headers_too_large" 431 NO, Never;
    /// The timeout asked for is zero, malformed or already over.
    DeadlinePast "deadline_past" 400 NO, Never;
    /// The same idempotency key came with another request.
    KeyReused "key_reused" 422 NO, Never;
    /// The caller is over its rate limit.
    RateLimited "rate_limited" 429 NO, Later;
    /// The caller has more requests waiting than its share of the queue.
    QueueFull "queue_full" 429 NO, Later;
    /// The wait would outlast the deadline, so the request was not taken in.
    Overloaded "overloaded" 503 NO, Later;
    /// The deadline passed while the request waited.
    DeadlineInQueue "deadline_in_queue" 504 NO, Later;
    /// No backend server that the rules allow is there.
    NoServer "no_server" 503 NO, Later;
    /// The adapter could not be loaded in time.
    NotResident "not_resident" 503 NO, Later;
    /// The platform's key-value service is needed for this request and does not answer.
    PlatformDown "platform_down" 503 NO, Later;
    /// This VM has no configuration yet.
    NotReady "not_ready" 503 NO, Later;
    /// This VM is shutting down.
    ShuttingDown "shutting_down" 503 NO, Later;
    /// Every server that was tried refused the request without running it.
    ServerRefused "server_refused" 503 NO, Later;
    /// This idempotency key has been seen before; its first run's result is not known here.
    Duplicate "duplicate" 409 Fixed::Case, Never;
    /// The backend server broke off before the answer was whole.
    ServerBroke "server_broke" 502 Fixed::Case, Idempotent;
    /// The backend server said it answered with another adapter or version.
    WrongAdapter "wrong_adapter" 502 Fixed::Case, Idempotent;
    /// The deadline passed while the request ran.
    DeadlineInRun "deadline_in_run" 504 Fixed::Case, Idempotent;
    /// The VM was told to stop at once while the request ran.
    Cut "cut" 502 Fixed::Case, Idempotent;
    /// An operator's edit clashes with another that came first.
    EditClash "edit_clash" 409 NO, Never;
    /// A configuration or an edit is not valid.
    BadConfiguration "bad_configuration" 422 NO, Never;
    /// It is not known whether an edit was accepted.
    EditUnknown "edit_unknown" 504 Fixed::Case, Idempotent;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().name)
    }
}

/// The final answer to a request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The kind.
    pub kind: Kind,
    /// Whether the request has run.
    pub ran: Ran,
    /// When to come back, where that helps.
    pub retry_after: Option<Span>,
    /// One sentence for a person.
    pub detail: String,
}

/// How long a caller does well to wait before it sends to another VM what this one did not take.
const ELSEWHERE: Span = Span::from_millis(100);

impl Answer {
    /// An answer of a kind that fixes its `ran`; a kind that doesn't is answered with `unknown`.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        let ran = match kind.row().ran {
            Fixed::Always(ran) => ran,
            Fixed::Case => Ran::Unknown,
        };
        Self {
            kind,
            ran,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// The answer to a request that did not run because this VM stops.
    #[must_use]
    pub fn shutting_down(detail: impl Into<String>) -> Self {
        Self::new(Kind::ShuttingDown, detail).after(ELSEWHERE)
    }

    /// The same answer with `ran` as the case decides; kinds that fix theirs keep it.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        match self.kind.row().ran {
            Fixed::Always(fixed) => debug_assert_eq!(fixed, ran, "{} fixes its ran", self.kind),
            Fixed::Case => self.ran = ran,
        }
        self
    }

    /// The same answer with a time to come back.
    #[must_use]
    pub fn after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}
