//! Fingerprint of a request: a hash of its method, host, path, query and body. It identifies repetitions of a
//! request, for which callers use a new request id each time. A part of a prompt has a fingerprint of the same form.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What the hash of a prompt part begins with. A request's hash has more than two parts, so that the two never meet.
const PROMPT_PART: &[u8] = b"prompt part";

/// Hash of a request's content, the same on every VM. The hash is cryptographic, so that callers can't craft a
/// request that has the fingerprint of another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request with these parts.
    #[must_use]
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length delimits the part, so that different lists of parts never feed the same bytes to the
            // hash.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }

    /// Computes the fingerprint of a part of prompts, by the id of its text.
    #[must_use]
    pub fn of_prompt_part(id: u64) -> Self {
        Self::of([PROMPT_PART, &id.to_le_bytes()])
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a fingerprint: expected 32 hexadecimal digits")]
pub struct ParseFingerprintError(String);

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number
            .map(Self)
            .ok_or_else(|| ParseFingerprintError(text.to_owned()))
    }
}
