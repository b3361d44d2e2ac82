//! Watches: changes of keys as they happen, until the watch breaks.

use super::json::{self, Entry, KeyValue};
use crate::cancel::Cancel;
use crate::error::{Error, Result};
use crate::http::{self, Exchange, Request};
use crate::unit::Revision;
use serde::Deserialize;

/// Longest notification taken: several values of the greatest size, in base64.
const LINE_BYTES: usize = 16 * 1024 * 1024;

/// What a watch tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The watch is in place, at this revision of the service.
    Opened(Revision),
    /// Changes, in order; there are none in a notice that only tells the revision reached.
    Changes(Revision, Vec<Change>),
    /// Changes before this revision are gone: read the keys again, then watch from what was read.
    /// The watch is over.
    Compacted(Revision),
    /// The watch is over: open it again from the revision after the last change seen.
    Broken(Error),
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It has a new value.
    Put(Entry),
    /// It was deleted.
    Delete {
        /// The key.
        key: Vec<u8>,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// An open watch: an iterator that waits for the next notice.
///
/// It ends after [`Notice::Compacted`] or [`Notice::Broken`]. Dropping it leaves the connection open up
/// to the next notification, or to the end of the watch's time.
pub struct Watch {
    /// The exchange, until the watch is over.
    exchange: Option<Exchange>,
    /// Bytes that no line's end has followed yet.
    line: Vec<u8>,
    /// Complete lines that have not been told yet.
    lines: std::collections::VecDeque<Vec<u8>>,
}

impl Watch {
    /// Sends the request and waits for the head of the answer.
    pub(crate) fn open(request: Request, cancel: &Cancel) -> Result<Self> {
        let exchange = Exchange::open(request, cancel)?;
        match exchange.head().status {
            200 => Ok(Self {
                exchange: Some(exchange),
                line: Vec::new(),
                lines: [].into(),
            }),
            status => {
                let (_, body, _) = exchange.whole(LINE_BYTES, &mut ())?;
                Err(Error::from_answer(status, body))
            }
        }
    }

    /// Waits for the next line.
    fn next_line(&mut self) -> Result<Vec<u8>> {
        while self.lines.is_empty() {
            let piece = self.exchange.as_mut().map_or(Ok(None), Exchange::piece)?;
            let piece = piece.ok_or_else(|| Error::Broken("watch ended".into()))?;
            self.take_piece(&piece)?;
        }
        Ok(self.lines.pop_front().unwrap_or_default())
    }

    fn take_piece(&mut self, piece: &[u8]) -> Result<()> {
        for part in piece.split_inclusive(|&byte| byte == b'\n') {
            if self.line.len() + part.len() > LINE_BYTES {
                return Err(Error::Broken(format!(
                    "line longer than {LINE_BYTES} bytes"
                )));
            }
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.lines.push_back(std::mem::take(&mut self.line));
            }
        }
        Ok(())
    }
}

impl Iterator for Watch {
    type Item = Notice;

    fn next(&mut self) -> Option<Notice> {
        self.exchange.as_ref()?;
        let notice = self.next_line().and_then(|line| notice(&line));
        let notice = notice.unwrap_or_else(Notice::Broken);
        if matches!(notice, Notice::Compacted(_) | Notice::Broken(_)) {
            self.exchange = None;
        }
        Some(notice)
    }
}

/// Reads one line of the answer.
fn notice(line: &[u8]) -> Result<Notice> {
    let line: Line = http::parse(line)?;
    let Some(result) = line.result else {
        let error = line.error.unwrap_or_default();
        return Err(Error::Broken(format!("error within the watch: {error}")));
    };
    let revision = Revision(result.header.map_or(0, |header| header.revision));
    let changes = result
        .events
        .into_iter()
        .map(change)
        .collect::<Result<Vec<_>>>()?;
    match result.compact_revision {
        1.. => Ok(Notice::Compacted(Revision(result.compact_revision))),
        _ if result.canceled => Err(Error::Broken(format!("canceled: {}", result.cancel_reason))),
        _ if result.created && changes.is_empty() => Ok(Notice::Opened(revision)),
        _ => Ok(Notice::Changes(revision, changes)),
    }
}

fn change(event: EventJson) -> Result<Change> {
    let entry = Entry::try_from(event.kv)?;
    match event.kind.as_deref() {
        Some("DELETE") => Ok(Change::Delete {
            key: entry.key,
            revision: entry.changed,
        }),
        Some("PUT") | None => Ok(Change::Put(entry)),
        Some(other) => Err(Error::Broken(format!("unknown kind of change {other:?}"))),
    }
}

/// One line of the answer.
#[derive(Deserialize)]
struct Line {
    /// A notification.
    result: Option<Notification>,
    /// An error in place of one.
    error: Option<serde_json::Value>,
}

/// A notification; what is false, zero or empty is left out.
#[derive(Deserialize)]
struct Notification {
    /// The revision.
    header: Option<json::Header>,
    /// Whether the watch was put in place.
    #[serde(default)]
    created: bool,
    /// Whether the watch is over.
    #[serde(default)]
    canceled: bool,
    /// Why the watch is over.
    #[serde(default, alias = "cancelReason")]
    cancel_reason: String,
    /// The oldest revision kept, when the watch started below it.
    #[serde(default, alias = "compactRevision", deserialize_with = "json::int64")]
    compact_revision: i64,
    /// The changes.
    #[serde(default)]
    events: Vec<EventJson>,
}

/// One change.
#[derive(Deserialize)]
struct EventJson {
    /// `PUT`, which may be left out, or `DELETE`.
    #[serde(rename = "type")]
    kind: Option<String>,
    /// The entry after it.
    kv: KeyValue,
}
