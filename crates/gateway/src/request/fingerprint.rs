//! What a request that comes again has in common with what came before: its method, host, path, query and body. The caller's id of it
//! is new each time.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The same for requests that ask the same, on each VM. Nobody can make a request that bears another one's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The fingerprint of a request made of these parts.
    #[must_use]
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // With its length, so that no two lists of parts are the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no fingerprint: 32 hexadecimal digits")]
pub struct Malformed(String);

impl FromStr for Fingerprint {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or_else(|| Malformed(text.to_owned()))
    }
}
