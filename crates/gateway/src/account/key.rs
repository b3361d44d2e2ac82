//! The keys that callers bear.

use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

/// The longest key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// What separates digests of keys from other digests of the same bytes.
const CONTEXT: &str = "dahliastile client account key";

/// A caller's key. Only its digest is kept, so that whatever holds one can neither print the key nor pass it on.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct AccountKey([u8; 32]);

impl AccountKey {
    /// The key that these bytes are; none where they can't be one.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Option<Self> {
        let fits = (1..=MAX_KEY_BYTES).contains(&bytes.len());
        let printable = bytes.iter().all(u8::is_ascii_graphic);
        (fits && printable).then(|| Self(blake3::derive_key(CONTEXT, bytes)))
    }
}

/// In constant time.
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

/// The beginning of the digest, enough to tell keys apart in a log.
impl fmt::Display for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}
