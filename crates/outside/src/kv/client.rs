//! The calls of the key-value service.

use super::json::{self, Entry};
use super::outcome::Outcome;
use super::txn::{Range, RangeAnswer, Read, Reply, Txn, TxnAnswer};
use super::watch::Watch;
use crate::cancel::Cancel;
use crate::error::{Error, Result};
use crate::http::{self, Request};
use crate::unit::{Endpoint, Lease, Revision};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Longest answer taken: several values of the greatest size, in base64.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The service's code for something that does not exist.
const NOT_FOUND: i64 = 5;

/// The times for calls.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// For a read.
    pub read: Duration,
    /// For a transaction.
    pub write: Duration,
    /// For a call that concerns a lease.
    pub lease: Duration,
    /// For the whole life of a watch, which is opened within the time of a read. It bounds how long a
    /// connection that died silently goes unnoticed.
    pub watch: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            read: Duration::from_secs(3),
            write: Duration::from_secs(3),
            lease: Duration::from_secs(2),
            watch: Duration::from_mins(1),
        }
    }
}

/// A client of the key-value service.
///
/// The endpoints are tried in order, from the one that answered last. A write goes on to the next
/// endpoint only when the connection was refused, so that it is sent once at most. A read also goes on
/// after other failures, while its time lasts.
#[derive(Debug, Clone)]
pub struct Client {
    /// The service's addresses.
    endpoints: Arc<[Endpoint]>,
    /// Which endpoint comes first.
    first: Arc<AtomicUsize>,
    /// The times for calls.
    timeouts: Timeouts,
    /// Ends all calls.
    cancel: Cancel,
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// It changes nothing.
    Read,
    /// It may change something.
    Write,
}

impl Client {
    /// A client of the service at `endpoints`; `cancel` ends all its calls and watches.
    #[must_use]
    pub fn new(endpoints: Vec<Endpoint>, timeouts: Timeouts, cancel: Cancel) -> Self {
        let first = Arc::new(AtomicUsize::new(0));
        Self {
            endpoints: endpoints.into(),
            first,
            timeouts,
            cancel,
        }
    }

    /// Reads one key.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Outcome<(Revision, Option<Entry>)> {
        let range = self.read(&Read::Key(key.to_vec()));
        Outcome::from_result(range.map(|range| (range.revision, range.entries.into_iter().next())))
    }

    /// Reads the first keys that start with a prefix.
    #[must_use]
    pub fn range(&self, prefix: &[u8], limit: u32) -> Outcome<Range> {
        let read = Read::Prefix {
            prefix: prefix.to_vec(),
            after: None,
            limit: Some(limit),
        };
        Outcome::from_result(self.read(&read))
    }

    /// Reads the next keys that start with a prefix, from the one after `after`.
    #[must_use]
    pub fn range_after(&self, prefix: &[u8], after: &[u8], limit: u32) -> Outcome<Range> {
        let after = Some(after.to_vec());
        let read = Read::Prefix {
            prefix: prefix.to_vec(),
            after,
            limit: Some(limit),
        };
        Outcome::from_result(self.read(&read))
    }

    /// Runs a transaction, once. A compare that fails is a conflict, with what the reads found then.
    #[must_use]
    pub fn txn(&self, txn: &Txn) -> Outcome<Reply> {
        let answer = self.call(
            "/v3/kv/txn",
            &txn.to_json(),
            self.timeouts.write,
            Effect::Write,
        );
        let reply = answer.and_then(|body| txn.reply(http::parse::<TxnAnswer>(&body)?));
        match Outcome::<_, Reply>::from_result(reply) {
            Outcome::Done((true, reply)) => Outcome::Done(reply),
            Outcome::Done((false, reply)) | Outcome::Conflict(reply) => Outcome::Conflict(reply),
            Outcome::NotSent => Outcome::NotSent,
            Outcome::Unknown(reason) => Outcome::Unknown(reason),
        }
    }

    /// Grants a lease. One whose answer was lost lapses by itself.
    #[must_use]
    pub fn lease_grant(&self, ttl: Duration) -> Outcome<(Lease, Duration)> {
        let body = json!({ "TTL": whole_seconds(ttl).to_string(), "ID": "0" });
        let answer = self.call("/v3/lease/grant", &body, self.timeouts.lease, Effect::Write);
        Outcome::from_result(answer.and_then(|body| http::parse::<Grant>(&body)?.granted()))
    }

    /// Renews a lease and says for how long; a lease that has lapsed is a conflict.
    #[must_use]
    pub fn lease_keepalive(&self, lease: Lease) -> Outcome<Duration, ()> {
        let body = json!({ "ID": lease.to_string() });
        let answer = self.call(
            "/v3/lease/keepalive",
            &body,
            self.timeouts.lease,
            Effect::Write,
        );
        let grant = answer.and_then(|body| http::parse::<Kept>(first_line(&body)));
        match Outcome::<Kept, ()>::from_result(grant) {
            Outcome::Done(Kept { result }) if result.ttl > 0 => Outcome::Done(result.time()),
            Outcome::Done(_) | Outcome::Conflict(()) => Outcome::Conflict(()),
            Outcome::NotSent => Outcome::NotSent,
            Outcome::Unknown(reason) => Outcome::Unknown(reason),
        }
    }

    /// Revokes a lease, which deletes its keys; one that does not exist is a conflict.
    #[must_use]
    pub fn lease_revoke(&self, lease: Lease) -> Outcome<()> {
        let body = json!({ "ID": lease.to_string() });
        let answer = self.call(
            "/v3/lease/revoke",
            &body,
            self.timeouts.lease,
            Effect::Write,
        );
        match Outcome::from_result(answer.map(drop)) {
            Outcome::Unknown(reason) if is_not_found(&reason) => Outcome::Conflict(()),
            outcome => outcome,
        }
    }

    /// Opens a watch of the keys that start with a prefix, on changes from a revision on.
    ///
    /// # Errors
    /// Any [`Error`]; the watch holds nothing in that case.
    pub fn watch(&self, prefix: &[u8], from: Revision) -> Result<Watch> {
        let body = json!({ "create_request": {
            "key": json::encode(&json::range_start(prefix)),
            "range_end": json::encode(&json::range_end(prefix)),
            "start_revision": from.to_string(),
        } });
        let end = Instant::now() + self.timeouts.watch;
        self.each(self.timeouts.read, Effect::Read, |endpoint, timeout| {
            let body = body.to_string().into_bytes();
            let request = Request::post(endpoint, "/v3/watch", body, timeout);
            let head_by = Some(request.deadline);
            let request = Request {
                streaming: true,
                head_by,
                deadline: end,
                ..request
            };
            Watch::open(request, &self.cancel)
        })
    }

    fn read(&self, read: &Read) -> Result<Range> {
        let body = self.call(
            "/v3/kv/range",
            &read.to_json(),
            self.timeouts.read,
            Effect::Read,
        )?;
        http::parse::<RangeAnswer>(&body)?.into_own_range()
    }

    fn call(&self, path: &str, body: &Value, timeout: Duration, effect: Effect) -> Result<Vec<u8>> {
        self.each(timeout, effect, |endpoint, timeout| {
            let request = Request::post(endpoint, path, body.to_string().into_bytes(), timeout);
            http::call(request, ANSWER_BYTES, &self.cancel)
        })
    }

    /// Tries the endpoints in turn, as far as the effect allows.
    fn each<T>(
        &self,
        timeout: Duration,
        effect: Effect,
        attempt: impl Fn(Endpoint, Duration) -> Result<T>,
    ) -> Result<T> {
        let deadline = Instant::now() + timeout;
        let count = self.endpoints.len();
        let first = self.first.load(Ordering::Relaxed);
        let mut failure = Error::Unsent("no endpoints".into());
        for turn in 0..count {
            let index = (first + turn) % count;
            let left = deadline.saturating_duration_since(Instant::now());
            let share = match effect {
                Effect::Read => left / u32::try_from(count - turn).unwrap_or(u32::MAX),
                Effect::Write => left,
            };
            match attempt(self.endpoints[index], share) {
                Err(Error::Refused) if failure.is_unsent() => failure = Error::Refused,
                Err(Error::Refused) => {}
                Err(error @ (Error::Timeout | Error::ResetBefore(_))) => {
                    // Only the order of later calls changes; a write is not sent again.
                    self.first.store((index + 1) % count, Ordering::Relaxed);
                    if effect == Effect::Write {
                        return Err(error);
                    }
                    failure = error;
                }
                result => {
                    self.first.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(failure)
    }
}

/// A lease as an answer describes it.
#[derive(Deserialize)]
struct Grant {
    /// Its id.
    #[serde(default, rename = "ID", deserialize_with = "json::int64")]
    id: i64,
    /// Its time in seconds; zero or left out when it has lapsed.
    #[serde(default, rename = "TTL", deserialize_with = "json::int64")]
    ttl: i64,
}

impl Grant {
    fn time(&self) -> Duration {
        Duration::from_secs(self.ttl.unsigned_abs())
    }

    fn granted(&self) -> Result<(Lease, Duration)> {
        match (self.id, self.ttl) {
            (1.., 1..) => Ok((Lease(self.id), self.time())),
            _ => Err(Error::Broken("grant without a lease".into())),
        }
    }
}

/// The answer to a renewal.
#[derive(Deserialize)]
struct Kept {
    /// The lease.
    result: Grant,
}

/// The service counts whole seconds. A lease must not be shorter than its holder believes, so the time is rounded up.
fn whole_seconds(ttl: Duration) -> u64 {
    let part = u64::from(ttl.subsec_nanos() > 0);
    ttl.as_secs().saturating_add(part).max(1)
}

/// The answer to a renewal is a stream of which one line is wanted.
fn first_line(body: &[u8]) -> &[u8] {
    body.split(|&byte| byte == b'\n').next().unwrap_or(body)
}

fn is_not_found(reason: &Error) -> bool {
    #[derive(Deserialize)]
    struct Status {
        code: i64,
    }
    match reason {
        Error::Rejected { body, .. } => {
            serde_json::from_slice(body).is_ok_and(|status: Status| status.code == NOT_FOUND)
        }
        _ => false,
    }
}
