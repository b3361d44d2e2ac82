//! Revisions of the key-value service, ordered across the service's eras.
//!
//! The service counts its changes. When it comes back from a copy, the count continues from the copy's, so numbers
//! are given out again, and it begins a new era. A [`Revision`] is a number with its era: later eras order after
//! earlier ones, whatever the numbers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The number of bits of a revision that hold the number within its era: 87 years at 400 changes a second.
const NUMBER_BITS: u32 = 40;

/// The number of times that the key-value service has come back from a copy. The service states it in all its
/// answers; 0 if it doesn't.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(u32);

impl Era {
    /// The highest era that a revision can hold.
    pub const MAX: Self = Self((1 << (u64::BITS - NUMBER_BITS)) - 1);

    /// Returns the era with a number; none above [`Self::MAX`].
    #[must_use]
    pub fn new(number: u32) -> Option<Self> {
        Some(Self(number)).filter(|era| *era <= Self::MAX)
    }

    /// Returns the era after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A text that isn't an era.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidEra {
    /// The text isn't a number.
    #[error("an era is a number: {0}")]
    Malformed(#[from] ParseIntError),
    /// The number is too large.
    #[error("era {0} is above {max}", max = Era::MAX)]
    TooLarge(u32),
}

impl FromStr for Era {
    type Err = InvalidEra;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse()?;
        Self::new(number).ok_or(InvalidEra::TooLarge(number))
    }
}

/// The number of a change in the key-value service, and the era in which the service made it; higher is later.
///
/// Both are held in one integer, which in era 0 is the number itself. VMs of builds that know no eras read and
/// order it in messages as they do a plain number, and servers do so where it is a fencing token. As a JSON number
/// it is exact up to era 8,191.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(u64);

impl fmt::Debug for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Revision {
    /// The highest revision.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the revision with this number in an era. A number that needs more than 40 bits counts as the highest
    /// one of the era.
    #[must_use]
    pub const fn new(era: Era, number: u64) -> Self {
        let max = (1 << NUMBER_BITS) - 1;
        let number = if number > max { max } else { number };
        Self((era.0 as u64) << NUMBER_BITS | number)
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> Era {
        // The shift leaves 24 bits.
        #[allow(clippy::cast_possible_truncation)]
        Era((self.0 >> NUMBER_BITS) as u32)
    }

    /// Returns the number within the era, as the key-value service knows it.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns the revision whose fencing token this is.
    #[must_use]
    pub const fn of_fence(fence: u64) -> Self {
        Self(fence)
    }

    /// Returns the revision of a leadership's entry as the fencing token of its holder's orders.
    #[must_use]
    pub const fn fence(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => self.number().fmt(f),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

/// A text that isn't a revision.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRevision {
    /// The number isn't one.
    #[error("a revision is a number, or an era and a number with a colon between: {0}")]
    Malformed(#[from] ParseIntError),
    /// The era isn't one.
    #[error(transparent)]
    Era(#[from] InvalidEra),
}

impl FromStr for Revision {
    type Err = InvalidRevision;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            Some((era, number)) => Ok(Self::new(era.parse()?, number.parse()?)),
            None => Ok(Self::new(Era::default(), text.parse()?)),
        }
    }
}
