//! The API keys by which callers identify their account.

use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

/// Limit on the length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The context of the key derivation function, so that a key's digest differs from digests of the same bytes elsewhere.
const CONTEXT: &str = "dahliastile client account key";

/// The API key of a caller. Holds only a digest of the key's text, so that no code can print or send the text.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct AccountKey([u8; 32]);

impl AccountKey {
    /// Makes a key from its text. Returns `None` unless the text is 1 to [`MAX_KEY_BYTES`] printable ASCII characters
    /// without spaces.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Option<Self> {
        let has_valid_length = (1..=MAX_KEY_BYTES).contains(&bytes.len());
        let is_printable = bytes.iter().all(u8::is_ascii_graphic);
        (has_valid_length && is_printable).then(|| Self(blake3::derive_key(CONTEXT, bytes)))
    }
}

/// Compares the digests in constant time.
impl PartialEq for AccountKey {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl Eq for AccountKey {}

impl Hash for AccountKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Writes the first four bytes of the digest in hexadecimal, enough to tell keys apart in a log.
impl fmt::Display for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Writes the first four bytes of the digest, as `Key(01234567)`.
impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}
