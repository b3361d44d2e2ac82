//! The log of one slot as the key-value service holds it.
//!
//! `…/claims/<slot>/head` names the next segment; segment `n` is `…/claims/<slot>/s/<n>`, and results that are kept
//! stand apart in `…/claims/<slot>/r/<n>`, so that reading a whole log does not read them. Numbers are written with
//! sixteen hexadecimal digits: cutting off the last two gives a prefix under which a block of 256 segments lies.

use serde::{Deserialize, Serialize};

use crate::id::{self, Incarnation, Request};
use crate::peer::{Key, Outcome};

/// Hexadecimal digits in a segment's number.
const DIGITS: usize = 16;

/// The base of those digits.
const HEX: u32 = 16;

/// Segments that are read at once where many are missing.
pub(super) const BLOCK: u64 = 256;

/// Segments that are read at once where few are missing.
pub(super) const SMALL_BLOCK: u64 = 16;

/// The request that a key is claimed for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct Run {
    /// Its VM.
    pub(super) vm: id::Vm,
    /// That VM's start.
    pub(super) incarnation: Incarnation,
    /// Its number there.
    pub(super) request: Request,
}

/// The head of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// The number of the next segment.
    pub(super) next: u64,
    /// No segment below this number is left.
    pub(super) first: u64,
}

/// What an entry says of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mark {
    /// It is claimed.
    Take,
    /// Its run was certainly not run.
    Free,
    /// Its run ended with a whole answer, which is kept beside this segment.
    Kept,
    /// Its run ended with a whole answer, which is not kept.
    Whole,
    /// Its run may have run, and gave no whole answer.
    Unknown,
}

/// One entry of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entry {
    /// The key, in hexadecimal digits.
    #[serde(with = "hex")]
    pub(super) key: Key,
    /// The hash of what was asked.
    pub(super) digest: u64,
    /// The request.
    pub(super) run: Run,
    /// What is said.
    pub(super) mark: Mark,
}

/// A result that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Kept {
    /// The key.
    #[serde(with = "hex")]
    pub(super) key: Key,
    /// The HTTP status.
    status: u16,
    /// The content type.
    content_type: String,
    /// The body.
    body: Body,
}

/// The body of a kept result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    /// It is text.
    Text(String),
    /// It is not.
    Bytes(Vec<u8>),
}

impl Kept {
    /// A result to keep, or none where the outcome holds none.
    pub(super) fn new(key: Key, outcome: &Outcome) -> Option<Self> {
        let Outcome::Kept {
            status,
            content_type,
            body,
        } = outcome
        else {
            return None;
        };
        let body = String::from_utf8(body.clone());
        Some(Self {
            key,
            status: *status,
            content_type: content_type.clone(),
            body: body.map_or_else(|error| Body::Bytes(error.into_bytes()), Body::Text),
        })
    }

    /// The outcome that was kept.
    pub(super) fn outcome(self) -> Outcome {
        Outcome::Kept {
            status: self.status,
            content_type: self.content_type,
            body: match self.body {
                Body::Text(text) => text.into_bytes(),
                Body::Bytes(bytes) => bytes,
            },
        }
    }
}

/// The keys of one slot's log.
#[derive(Clone, Debug)]
pub(super) struct Names {
    /// What they all begin with.
    root: String,
}

impl Names {
    /// The keys of a slot.
    pub(super) fn new(prefix: &str, slot: u64) -> Self {
        let root = format!("{prefix}/claims/{slot:04}");
        Self { root }
    }

    /// The head.
    pub(super) fn head(&self) -> String {
        format!("{}/head", self.root)
    }

    /// A segment.
    pub(super) fn segment(&self, number: u64) -> String {
        format!("{}/s/{number:0DIGITS$x}", self.root)
    }

    /// The results kept beside a segment.
    pub(super) fn results(&self, number: u64) -> String {
        format!("{}/r/{number:0DIGITS$x}", self.root)
    }

    /// The prefix of the block that a segment lies in, and the first number after that block.
    pub(super) fn block(&self, number: u64, size: u64) -> (String, u64) {
        let mut prefix = self.segment(number);
        let digits = if size == BLOCK { 2 } else { 1 };
        prefix.truncate(prefix.len() - digits);
        (prefix, (number / size + 1) * size)
    }

    /// The number of a segment, from its key.
    pub(super) fn number(&self, key: &str) -> Option<u64> {
        let digits = key.strip_prefix(&self.root)?.strip_prefix("/s/")?;
        u64::from_str_radix(digits, HEX).ok()
    }
}

/// A value as it is written.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain structs of numbers and text always have a JSON form.
    serde_json::to_vec(value).unwrap_or_default()
}

/// A value as it was read, or none where it is damaged.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    serde_json::from_slice(bytes).ok()
}

/// Keys as hexadecimal digits.
mod hex {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::peer::Key;

    pub(super) fn serialize<S: Serializer>(key: &Key, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:032x}", u128::from_be_bytes(*key)))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Key, D::Error> {
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, super::HEX).map_err(D::Error::custom)?;
        Ok(number.to_be_bytes())
    }
}
