//! Sizes in bytes.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};
use std::str::FromStr;

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub usize);

/// Why a text is no size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a size is a whole number of bytes, perhaps followed by KiB or MiB, not `{0}`")]
pub struct Malformed(String);

impl Size {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// So many units of 1,024 bytes.
    #[must_use]
    pub const fn kib(count: usize) -> Self {
        Self(count.saturating_mul(1 << 10))
    }

    /// So many units of 1,048,576 bytes.
    #[must_use]
    pub const fn mib(count: usize) -> Self {
        Self(count.saturating_mul(1 << 20))
    }

    /// So many units of 1,000,000 bytes.
    #[must_use]
    pub const fn megabytes(count: usize) -> Self {
        Self(count.saturating_mul(1_000_000))
    }

    /// The part of it that a fraction says, rounded down.
    #[must_use]
    pub const fn fraction(self, numerator: usize, denominator: usize) -> Self {
        Self(self.0 / denominator * numerator)
    }

    /// What is left after taking away `other`, or nothing.
    #[must_use]
    pub const fn less(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Size {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        debug_assert!(other <= self, "{other} of {self}");
        self.less(other)
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Mul<usize> for Size {
    type Output = Self;

    fn mul(self, count: usize) -> Self {
        Self(self.0.saturating_mul(count))
    }
}

impl Sum for Size {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kib, mib) = (Self::kib(1).0, Self::mib(1).0);
        match self.0 {
            bytes if bytes >= mib && bytes.is_multiple_of(mib) => write!(f, "{}MiB", bytes / mib),
            bytes if bytes >= kib && bytes.is_multiple_of(kib) => write!(f, "{}KiB", bytes / kib),
            bytes => write!(f, "{bytes}"),
        }
    }
}

impl FromStr for Size {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let suffixes = [("KiB", Self::kib(1).0), ("MiB", Self::mib(1).0)];
        let split = suffixes
            .iter()
            .find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, *unit)));
        let (digits, unit) = split.unwrap_or((text, 1));
        let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        let number = is_number.then(|| digits.parse::<usize>().ok()).flatten();
        number
            .and_then(|number| number.checked_mul(unit))
            .map(Self)
            .ok_or_else(|| Malformed(text.to_owned()))
    }
}
