//! The request bodies of etcd's JSON mapping and its rules for numbers and bytes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit number, which the mapping writes as a string.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Int(pub i64);

impl Int {
    /// Whether the number is zero, which the mapping leaves out.
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde hands over a reference"
    )]
    pub(crate) fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Int {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Int {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// A byte string, which the mapping writes in base64.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Whether there is no byte, which the mapping leaves out.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// `POST /v3/kv/range`.
#[expect(clippy::struct_field_names, reason = "the names of the mapping")]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Range {
    /// The first key.
    pub(crate) key: Bytes,
    /// The key behind the last; empty for one key, a zero byte for all from `key` on.
    pub(crate) range_end: Bytes,
    /// The largest number of answers; zero for all.
    pub(crate) limit: Int,
    /// The revision to read at; zero for the latest.
    pub(crate) revision: Int,
    /// Accepted and without effect: there is one replica.
    #[serde(rename = "serializable")]
    _serializable: bool,
    /// Leave the values out.
    pub(crate) keys_only: bool,
    /// Answer only the count.
    pub(crate) count_only: bool,
}

/// `POST /v3/kv/put`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Put {
    /// The key.
    pub(crate) key: Bytes,
    /// The new value.
    pub(crate) value: Bytes,
    /// The lease to attach the key to; zero for none.
    pub(crate) lease: Int,
    /// Answer the former item.
    pub(crate) prev_kv: bool,
}

/// `POST /v3/kv/deleterange`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Delete {
    /// The first key.
    pub(crate) key: Bytes,
    /// As in [`Range`].
    pub(crate) range_end: Bytes,
    /// Answer the former items.
    pub(crate) prev_kv: bool,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Txn {
    /// The conditions, which must all hold.
    pub(crate) compare: Vec<Compare>,
    /// What to do when they hold.
    pub(crate) success: Vec<Op>,
    /// What to do otherwise.
    pub(crate) failure: Vec<Op>,
}

impl Txn {
    /// Whether no outcome changes anything.
    pub(crate) fn is_read(&self) -> bool {
        let mut ops = self.success.iter().chain(&self.failure);
        ops.all(|op| matches!(op, Op::Range(_)))
    }
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Compare {
    /// How the key's field must relate to the given one.
    pub(crate) result: Relation,
    /// The field to compare.
    pub(crate) target: Target,
    /// The key.
    pub(crate) key: Bytes,
    /// Given for the target `VERSION`.
    pub(crate) version: Int,
    /// Given for the target `CREATE`.
    #[serde(alias = "createRevision")]
    pub(crate) create_revision: Int,
    /// Given for the target `MOD`.
    #[serde(alias = "modRevision")]
    pub(crate) mod_revision: Int,
    /// Given for the target `VALUE`.
    pub(crate) value: Bytes,
}

/// How a field must relate to the given one.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    /// The same.
    #[default]
    Equal,
    /// More than the given one.
    Greater,
    /// Less than the given one.
    Less,
    /// Any other.
    NotEqual,
}

/// The field to compare.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    /// The number of writes since the key was created.
    #[default]
    Version,
    /// The revision that created the key.
    Create,
    /// The revision that last changed the key.
    Mod,
    /// The value.
    Value,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub(crate) enum Op {
    /// A read.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// A write.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// A deletion.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Delete),
}

/// `POST /v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Lease {
    /// The lease; zero in a grant lets the service choose.
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    /// The time to live that a grant asks for, in seconds.
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

/// `POST /v3/kv/compaction`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compaction {
    /// The revision below which superseded items are forgotten.
    pub(crate) revision: Int,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Watch {
    /// The only request a watch over HTTP can make.
    #[serde(alias = "createRequest")]
    pub(crate) create_request: Create,
}

/// What to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Create {
    /// The first key.
    pub(crate) key: Bytes,
    /// As in [`Range`].
    pub(crate) range_end: Bytes,
    /// The first revision to report; zero for the next.
    #[serde(alias = "startRevision")]
    pub(crate) start_revision: Int,
}
