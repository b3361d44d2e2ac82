//! Transactions and reads.

use super::json::{self, Entry, KeyValue};
use crate::error::{Error, Result};
use crate::unit::{Lease, Revision};
use serde::Deserialize;
use serde_json::{Value, json};

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(Vec<u8>),
    /// The key exists and its last change is of this revision.
    Changed(Vec<u8>, Revision),
    /// The key exists and was created in this revision.
    Created(Vec<u8>, Revision),
    /// The key exists and has this value.
    Value(Vec<u8>, Vec<u8>),
}

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Vec<u8>,
    /// The new value.
    pub value: Vec<u8>,
    /// The lease that keeps the key, if any.
    pub lease: Option<Lease>,
}

/// A read of one key, or of the keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// One key.
    Key(Vec<u8>),
    /// The keys that start with the prefix, in order.
    Prefix {
        /// The prefix; an empty one stands for all keys.
        prefix: Vec<u8>,
        /// Leaves out the keys up to and with this one.
        after: Option<Vec<u8>>,
        /// How many keys at most; nothing is no limit.
        limit: Option<u32>,
    },
}

/// A transaction: when all compares hold, the puts, deletes and then the reads; otherwise the reads only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub puts: Vec<Put>,
    /// The keys to delete.
    pub deletes: Vec<Vec<u8>>,
    /// The reads, in both branches.
    pub reads: Vec<Read>,
}

/// What a read found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// The service's revision at the time.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Whether the limit left some out.
    pub more: bool,
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The service's revision after it.
    pub revision: Revision,
    /// What each of the reads found.
    pub reads: Vec<Range>,
}

impl Compare {
    fn to_json(&self) -> Value {
        let compare = |key: &[u8], target: &str, field: &str, operand: Value| json!({ "key": json::encode(key), "target": target, "result": "EQUAL", field: operand });
        match self {
            Self::Absent(key) => compare(key, "CREATE", "create_revision", json!("0")),
            Self::Changed(key, revision) => {
                compare(key, "MOD", "mod_revision", json!(revision.to_string()))
            }
            Self::Created(key, revision) => compare(
                key,
                "CREATE",
                "create_revision",
                json!(revision.to_string()),
            ),
            Self::Value(key, value) => compare(key, "VALUE", "value", json!(json::encode(value))),
        }
    }
}

impl Put {
    fn to_json(&self) -> Value {
        let mut put = json!({ "key": json::encode(&self.key), "value": json::encode(&self.value) });
        if let Some(lease) = self.lease {
            put["lease"] = json!(lease.to_string());
        }
        put
    }
}

impl Read {
    /// The body of a range request.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::Key(key) => json!({ "key": json::encode(key) }),
            Self::Prefix {
                prefix,
                after,
                limit,
            } => {
                let start = match after {
                    Some(after) => json::successor(after),
                    None => json::range_start(prefix),
                };
                json!({
                    "key": json::encode(&start),
                    "range_end": json::encode(&json::range_end(prefix)),
                    "limit": limit.unwrap_or(0).to_string(),
                })
            }
        }
    }
}

impl Txn {
    /// The body of the request.
    pub(crate) fn to_json(&self) -> Value {
        let puts = self
            .puts
            .iter()
            .map(|put| json!({ "request_put": put.to_json() }));
        let deletes = self
            .deletes
            .iter()
            .map(|key| json!({ "request_delete_range": { "key": json::encode(key) } }));
        let reads = || {
            self.reads
                .iter()
                .map(|read| json!({ "request_range": read.to_json() }))
        };
        json!({
            "compare": self.compares.iter().map(Compare::to_json).collect::<Vec<_>>(),
            "success": puts.chain(deletes).chain(reads()).collect::<Vec<_>>(),
            "failure": reads().collect::<Vec<_>>(),
        })
    }

    /// Reads the answer: whether the compares held, and what the reads found.
    pub(crate) fn reply(&self, answer: TxnAnswer) -> Result<(bool, Reply)> {
        let revision = Revision(answer.header.revision);
        let ranges = answer
            .responses
            .into_iter()
            .filter_map(|response| response.response_range);
        let reads: Vec<Range> = ranges
            .map(|range| range.into_range(revision))
            .collect::<Result<_>>()?;
        if reads.len() != self.reads.len() {
            return Err(Error::Broken(format!(
                "{} ranges for {} reads",
                reads.len(),
                self.reads.len()
            )));
        }
        Ok((answer.succeeded, Reply { revision, reads }))
    }
}

/// The answer to a range request.
#[derive(Deserialize)]
pub(crate) struct RangeAnswer {
    /// The revision; left out within a transaction's answer.
    header: Option<json::Header>,
    /// The entries.
    #[serde(default)]
    kvs: Vec<KeyValue>,
    /// Whether the limit left some out.
    #[serde(default)]
    more: bool,
}

impl RangeAnswer {
    /// The plain form; `revision` is that of the answer around it.
    fn into_range(self, revision: Revision) -> Result<Range> {
        let revision = self
            .header
            .map_or(revision, |header| Revision(header.revision));
        let entries = self
            .kvs
            .into_iter()
            .map(Entry::try_from)
            .collect::<Result<_>>()?;
        Ok(Range {
            revision,
            entries,
            more: self.more,
        })
    }

    /// The plain form of an answer that stands by itself.
    pub(crate) fn into_own_range(self) -> Result<Range> {
        match self.header {
            Some(_) => self.into_range(Revision(0)),
            None => Err(Error::Broken("range without a revision".into())),
        }
    }
}

/// The answer to a transaction.
#[derive(Deserialize)]
pub(crate) struct TxnAnswer {
    /// The revision.
    header: json::Header,
    /// Whether the compares held; left out when not.
    #[serde(default)]
    succeeded: bool,
    /// One answer for each operation.
    #[serde(default)]
    responses: Vec<Response>,
}

/// The answer to one operation of a transaction.
#[derive(Deserialize)]
struct Response {
    /// What a read found.
    #[serde(alias = "responseRange")]
    response_range: Option<RangeAnswer>,
}
