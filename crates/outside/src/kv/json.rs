//! Keys, values and numbers in the JSON mapping.

use crate::error::{Error, Result};
use crate::unit::{Lease, Revision};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};

/// A key with its value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision in which the key was created.
    pub created: Revision,
    /// The revision of its last change.
    pub changed: Revision,
    /// The lease that keeps it, if any.
    pub lease: Option<Lease>,
}

/// The head of an answer.
#[derive(Deserialize)]
pub(crate) struct Header {
    /// The service's revision.
    #[serde(default, deserialize_with = "int64")]
    pub(crate) revision: i64,
}

/// An entry as it stands in JSON; numbers that are zero are left out.
#[derive(Deserialize)]
pub(crate) struct KeyValue {
    /// The key in base64.
    #[serde(default)]
    key: String,
    /// The value in base64.
    #[serde(default)]
    value: String,
    /// The revision in which it was created.
    #[serde(default, alias = "createRevision", deserialize_with = "int64")]
    create_revision: i64,
    /// The revision of its last change.
    #[serde(default, alias = "modRevision", deserialize_with = "int64")]
    mod_revision: i64,
    /// The lease, or zero.
    #[serde(default, deserialize_with = "int64")]
    lease: i64,
}

impl TryFrom<KeyValue> for Entry {
    type Error = Error;

    fn try_from(kv: KeyValue) -> Result<Self> {
        Ok(Self {
            key: decode(&kv.key)?,
            value: decode(&kv.value)?,
            created: Revision(kv.create_revision),
            changed: Revision(kv.mod_revision),
            lease: (kv.lease != 0).then_some(Lease(kv.lease)),
        })
    }
}

/// Encodes a key or value.
pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>> {
    STANDARD
        .decode(text)
        .map_err(|error| Error::Broken(error.to_string()))
}

/// Reads a 64-bit number, which the mapping writes as a string and some services as a number.
pub(crate) fn int64<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(i64),
    }
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}

/// The first key of a prefix's range; the service takes no empty key.
pub(crate) fn range_start(prefix: &[u8]) -> Vec<u8> {
    match prefix {
        [] => vec![0],
        _ => prefix.to_vec(),
    }
}

/// The key right after `key`.
pub(crate) fn successor(key: &[u8]) -> Vec<u8> {
    [key, &[0]].concat()
}

/// The end of a prefix's range: the prefix with its last byte below 0xff raised, or "\0" for no end.
pub(crate) fn range_end(prefix: &[u8]) -> Vec<u8> {
    match prefix.iter().rposition(|&byte| byte < u8::MAX) {
        Some(last) => {
            let mut end = prefix[..=last].to_vec();
            end[last] += 1;
            end
        }
        None => vec![0],
    }
}
