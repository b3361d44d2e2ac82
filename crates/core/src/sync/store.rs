//! How the configuration lies in the key-value service.
//!
//! Each head and each edit is one line with the hash of what follows, and then JSON, so that people can read it and
//! a damaged value is noticed. Each edit also carries the hash of the one before it. A snapshot is one JSON text,
//! cut into parts; its hash stands in the head.

use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::config::{Document, Edit};
use crate::id::{Edition, Revision};

/// The largest part of a snapshot in bytes, well below the megabyte that the service takes.
pub(crate) const PART_BYTES: usize = 512 * 1024;

/// The largest edit in bytes.
pub(crate) const MAX_EDIT_BYTES: usize = 768 * 1024;

/// The largest snapshot that is read, in bytes: a bound on what a wrong head or peer can make this VM keep.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// Editions whose edits are read in one call. A power of ten, since keys are read by prefix.
pub(crate) const BLOCK: u64 = 10;

/// The digits of an edition in a key: editions sort as their keys.
const DIGITS: usize = 20;

/// Why something that was read can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Damage {
    /// There is no line with a hash.
    #[error("it does not begin with a hash")]
    Unsealed,
    /// The hash does not fit.
    #[error("its hash does not fit")]
    Hash,
    /// The content can't be read.
    #[error("it can't be read: {0}")]
    Unreadable(String),
    /// It does not follow what came before.
    #[error("it does not follow edition {0}")]
    Unchained(Edition),
    /// It can't be applied, or the result does not hold together.
    #[error("{0}")]
    Invalid(String),
}

/// A BLAKE3 hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct Digest(pub(crate) [u8; 32]);

impl Digest {
    /// The hash of some bytes.
    pub(crate) fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl FromStr for Digest {
    type Err = Damage;

    fn from_str(text: &str) -> Result<Self, Damage> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Damage::Unsealed)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = Damage;

    fn try_from(text: String) -> Result<Self, Damage> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// The head key's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The last accepted edition.
    pub(crate) edition: Edition,
    /// The id of the edit that made it.
    pub(crate) last: String,
    /// The first edition whose edit is kept.
    pub(crate) first: Edition,
    /// The last snapshot.
    pub(crate) snapshot: Option<Stored>,
}

/// Where a snapshot lies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stored {
    /// The edition that it shows.
    pub(crate) edition: Edition,
    /// The number of its parts.
    pub(crate) parts: u32,
    /// Its length.
    pub(crate) bytes: u64,
    /// The hash of the whole.
    pub(crate) hash: Digest,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// The edition that it made.
    pub(crate) edition: Edition,
    /// The hash of the edit before it.
    pub(crate) prev: Digest,
    /// The edit.
    pub(crate) edit: Edit,
}

/// A whole document.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot<D = Document> {
    /// Its edition.
    pub(crate) edition: Edition,
    /// The hash of the edit that made it.
    pub(crate) chain: Digest,
    /// The document.
    pub(crate) document: D,
}

/// The head as it was last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    /// The head; the default where the key is not there.
    pub(crate) head: Head,
    /// The revision at which the key was changed, or zero.
    pub(crate) revision: Revision,
    /// Changes up to this revision of the service are known.
    pub(crate) seen: Revision,
}

/// The text of a value and its hash.
pub(crate) fn seal<T: Serialize>(value: &T) -> Result<(Vec<u8>, Digest), Damage> {
    let body = serde_json::to_vec(value).map_err(|error| Damage::Unreadable(error.to_string()))?;
    let digest = Digest::of(&body);
    let mut text = format!("{digest}\n").into_bytes();
    text.extend_from_slice(&body);
    Ok((text, digest))
}

/// The value that a text holds, and its hash.
pub(crate) fn open<T: DeserializeOwned>(text: &[u8]) -> Result<(T, Digest), Damage> {
    let line = text
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(Damage::Unsealed)?;
    let digest: Digest = std::str::from_utf8(&text[..line])
        .map_err(|_| Damage::Unsealed)?
        .parse()?;
    let body = &text[line + 1..];
    if Digest::of(body) != digest {
        return Err(Damage::Hash);
    }
    let value = serde_json::from_slice(body);
    let value = value.map_err(|error| Damage::Unreadable(error.to_string()))?;
    Ok((value, digest))
}

/// The key of the head.
pub(crate) fn head_key(prefix: &str) -> String {
    format!("{prefix}/config/head")
}

/// The key of the edit that made an edition.
pub(crate) fn edit_key(prefix: &str, edition: Edition) -> String {
    format!("{prefix}/config/edit/{:0DIGITS$}", edition.0)
}

/// The prefix of the keys of the [`BLOCK`] editions around one.
pub(crate) fn block_prefix(prefix: &str, edition: Edition) -> String {
    let (block, digits) = (edition.0 / BLOCK, DIGITS - 1);
    format!("{prefix}/config/edit/{block:0digits$}")
}

/// The key of a part of a snapshot.
pub(crate) fn part_key(prefix: &str, edition: Edition, part: u32) -> String {
    format!("{prefix}/config/snap/{}/{part}", edition.0)
}
