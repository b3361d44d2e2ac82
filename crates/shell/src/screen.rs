//! Passes over late copies of answers to earlier requests, and finds heads that are of two answers.
//!
//! A server may send an answer once more, late: where the next answer of the connection is due. The id that it bears tells it
//! from the answer to the request that was sent last, which follows it. The HTTP library takes the first answer that comes for
//! the one to its request, so a [`Screen`] removes such answers from the bytes that the library reads.

use std::hash::Hasher;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header, response};
use hyper::ext::ReasonPhrase;
use rustc_hash::FxHasher;

use crate::dialect::Echo;

/// The most lines of a head that are looked at, as many as the HTTP library takes.
const HEAD_LINES: usize = 100;

/// The length of a status line up to the end of its code, in bytes.
const STATUS_LINE: usize = "HTTP/1.1 200".len();

/// Where the bytes of a connection stand.
#[derive(Debug, Default)]
enum Position {
    /// In an answer that is passed on, or after it.
    #[default]
    Passed,
    /// Before an answer to a request, or in its head.
    Head(Echo),
    /// In the body of a copy, with this many bytes left.
    Skipped(Echo, u64),
    /// In a body that holds a status line: its server may have broken it off there. What follows can't be told.
    Lost,
}

/// Removes late copies of answers to earlier requests from the bytes that a connection brings.
#[derive(Debug, Default)]
pub(crate) struct Screen {
    position: Position,
    /// Digests of what the answers to the requests that were sent on the connection repeat.
    sent: Vec<u64>,
    /// The bytes that came and are not passed on yet.
    held: BytesMut,
    /// The bytes that can be passed on.
    ready: Bytes,
    /// The heads of the copies that were removed.
    removed: Vec<response::Parts>,
    /// The bytes that were removed and not asked for yet.
    removed_bytes: usize,
    /// The last bytes of the body that is skipped, shorter than a status line.
    tail: Vec<u8>,
}

impl Screen {
    /// Records that a request is sent whose answer repeats this. Where copies can be told, the next answer is the one to it.
    pub(crate) fn record(&mut self, echo: &Echo, can_tell_copies: bool) {
        self.sent.push(digest(&echo.value));
        if can_tell_copies {
            self.position = Position::Head(echo.clone());
        }
    }

    /// Whether a request was sent whose answer repeats this, as far as digests tell.
    pub(crate) fn has_sent(&self, echo: &Echo) -> bool {
        self.sent.contains(&digest(&echo.value))
    }

    /// The number of requests that were sent and whose answers can be told.
    pub(crate) fn requests(&self) -> usize {
        self.sent.len()
    }

    /// Whether all that comes is passed on.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.position, Position::Passed) && self.ready.is_empty()
    }

    /// Takes bytes that can be passed on, at most so many.
    pub(crate) fn take(&mut self, most: usize) -> Bytes {
        self.ready.split_to(most.min(self.ready.len()))
    }

    /// Adds bytes that came; none where nothing more will come.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
        if bytes.is_empty() {
            self.open();
        }
        while self.advance() {}
    }

    /// The heads of the answers that were removed since the last call.
    pub(crate) fn removed(&mut self) -> Vec<response::Parts> {
        std::mem::take(&mut self.removed)
    }

    /// Whether a copy was removed since [`Self::removed`] was called last.
    pub(crate) fn has_removed(&self) -> bool {
        !self.removed.is_empty()
    }

    /// The number of bytes that were removed since the last call.
    pub(crate) fn removed_bytes(&mut self) -> usize {
        std::mem::take(&mut self.removed_bytes)
    }

    /// Whether it can no longer be told what comes.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.position, Position::Lost)
    }

    /// Passes on all that is held and all that comes.
    fn open(&mut self) {
        self.position = Position::Passed;
        self.pass(self.held.len());
    }

    /// Passes on the first bytes of those held.
    fn pass(&mut self, count: usize) {
        let bytes = self.held.split_to(count);
        if self.ready.is_empty() {
            self.ready = bytes.freeze();
        } else {
            self.ready = [&self.ready[..], &bytes[..]].concat().into();
        }
    }

    /// Takes one step through the bytes that are held, and returns whether there may be another.
    fn advance(&mut self) -> bool {
        match std::mem::take(&mut self.position) {
            Position::Passed => {
                self.open();
                false
            }
            Position::Lost => {
                self.position = Position::Lost;
                self.held.clear();
                false
            }
            Position::Skipped(echo, left) => {
                let count = left.min(self.held.len() as u64);
                let length = usize::try_from(count).unwrap_or(usize::MAX);
                let body = self.held.split_to(length);
                self.removed_bytes += length;
                self.tail.extend_from_slice(&body);
                if holds_status_line(&self.tail) {
                    self.position = Position::Lost;
                    return true;
                }
                let old = self.tail.len().saturating_sub(STATUS_LINE);
                self.tail.drain(..old);
                let is_over = count == left;
                self.position = if is_over {
                    Position::Head(echo)
                } else {
                    Position::Skipped(echo, left - count)
                };
                is_over && !self.held.is_empty()
            }
            Position::Head(echo) => self.read_head(echo),
        }
    }

    /// Whether an answer is one to an earlier request of the connection, which came before and is sent once more. One that was
    /// never asked for here is no copy: the answer to the request would hardly follow it.
    fn is_copy(&self, head: &response::Parts, echo: &Echo) -> bool {
        let mut ids = head.headers.get_all(&echo.header).iter().peekable();
        let is_earlier = |id: &HeaderValue| *id != echo.value && self.sent.contains(&digest(id));
        ids.peek().is_some() && ids.all(is_earlier)
    }

    /// Reads a head, if it is there whole.
    fn read_head(&mut self, echo: Echo) -> bool {
        let (head, length) = match parse(&self.held) {
            Parsed::Whole(head, length) => (head, length),
            Parsed::Partial => {
                self.position = Position::Head(echo);
                return false;
            }
            // The HTTP library judges what can't be read here.
            Parsed::Malformed => {
                self.open();
                return false;
            }
        };
        let other_body = body_length(&head).filter(|_| self.is_copy(&head, &echo));
        match other_body {
            // An answer that follows an interim one may still be another request's.
            _ if head.status.is_informational() => {
                self.pass(length);
                self.position = Position::Head(echo);
            }
            Some(body) => {
                self.held.advance(length);
                self.removed_bytes += length;
                self.tail.clear();
                self.removed.push(head);
                self.position = Position::Skipped(echo, body);
            }
            None => self.open(),
        }
        true
    }
}

/// Whether the head of an answer holds the status line of another one: its server broke an answer off within its head and sent
/// the next one behind it. What such a head says is of two requests. What it repeats of the request (`echo`) may hold anything.
pub(crate) fn is_spliced(head: &response::Parts, echo: Option<&Echo>) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    let reason = reason.map_or(&[][..], ReasonPhrase::as_bytes);
    let is_repeated = |value: &HeaderValue| echo.is_some_and(|echo| echo.value == *value);
    let mut values = head.headers.values().filter(|value| !is_repeated(value));
    holds_status_line(reason) || values.any(|value| holds_status_line(value.as_bytes()))
}

/// Whether a status line of HTTP/1 begins anywhere in a text.
fn holds_status_line(text: &[u8]) -> bool {
    let is_status_line = |(at, bytes): (usize, &[u8])| match bytes {
        [
            b'H',
            b'T',
            b'T',
            b'P',
            b'/',
            b'1',
            b'.',
            minor,
            b' ',
            code @ ..,
        ] => {
            let next = text.get(at + STATUS_LINE);
            minor.is_ascii_digit()
                && code.iter().all(u8::is_ascii_digit)
                && next.is_none_or(u8::is_ascii_whitespace)
        }
        _ => false,
    };
    text.windows(STATUS_LINE).enumerate().any(is_status_line)
}

/// What the first bytes of an answer are.
enum Parsed {
    /// A head, with its length in bytes.
    Whole(response::Parts, usize),
    /// The beginning of a head.
    Partial,
    /// No head.
    Malformed,
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut lines = [httparse::EMPTY_HEADER; HEAD_LINES];
    let mut head = httparse::Response::new(&mut lines);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Malformed,
    };
    let mut builder = Response::builder().status(head.code.unwrap_or_default());
    for line in head.headers.iter() {
        builder = builder.header(line.name, line.value);
    }
    match builder.body(()) {
        Ok(response) => Parsed::Whole(response.into_parts().0, length),
        Err(_) => Parsed::Malformed,
    }
}

/// A short form of what an answer repeats. Two that differ may have the same.
fn digest(value: &HeaderValue) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(value.as_bytes());
    hasher.finish()
}

/// The length of the body that follows a head, in bytes; none where the head does not say it.
pub(crate) fn body_length(head: &response::Parts) -> Option<u64> {
    if [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status) {
        return Some(0);
    }
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next()?.to_str().ok()?.parse().ok()?;
    let is_clear =
        lengths.next().is_none() && !head.headers.contains_key(header::TRANSFER_ENCODING);
    is_clear.then_some(length)
}
