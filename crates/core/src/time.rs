//! Points and lengths of time. Both count whole microseconds of the monotonic clock of one VM.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one VM, in microseconds since an origin that only that VM knows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

/// A length of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Instant {
    /// A point that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time from `earlier` to this point, or zero where `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// This point moved back by `span`, not below the origin.
    #[must_use]
    pub fn back(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A span of whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// The span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span taken `times` times.
    #[must_use]
    pub const fn times(self, times: u64) -> Self {
        Self(self.0.saturating_mul(times))
    }
}

impl Add<Span> for Instant {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Instant {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t+{}", Span(self.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

/// Why a text is not a [`Span`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a length of time such as 250ms, 3s or 800us")]
pub struct Malformed(String);

impl FromStr for Span {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed(text.to_owned());
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let number: u64 = digits.parse().map_err(|_| malformed())?;
        match &text[digits.len()..] {
            "us" => Ok(Self(number)),
            "ms" => Ok(Self::from_millis(number)),
            "s" => Ok(Self::from_secs(number)),
            _ => Err(malformed()),
        }
    }
}
