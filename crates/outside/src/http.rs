//! One HTTP exchange, with an exact deadline and a token that ends it early.

use crate::cancel::{Cancel, Wake};
use crate::error::{Error, Result};
use crate::pump::{self, Message};
use crate::unit::Endpoint;
use dahliastile_body::Framing;
use flume::Receiver;
use serde::Deserialize;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// Pieces of a body that may wait for the calling thread before the reader thread stops reading.
const WAITING_PIECES: usize = 16;

/// Room for an answer that is read as a whole.
pub trait Room {
    /// Takes room for `length` bytes in all, and waits for it until `end` at most. Returns whether there is any.
    fn extend_to(&mut self, length: usize, end: Instant) -> bool;
}

/// As much as is asked for.
impl Room for () {
    fn extend_to(&mut self, _: usize, _: Instant) -> bool {
        true
    }
}

/// A request to one server.
pub(crate) struct Request {
    /// The server.
    pub(crate) endpoint: Endpoint,
    /// The method.
    pub(crate) method: String,
    /// The path with its query.
    pub(crate) path: String,
    /// The headers, but for the body's length.
    pub(crate) headers: Vec<(String, String)>,
    /// The body, if any.
    pub(crate) body: Option<Vec<u8>>,
    /// When the whole exchange has to be over.
    pub(crate) deadline: Instant,
    /// When the head of the answer has to be there, if before that.
    pub(crate) head_by: Option<Instant>,
    /// When it is too late for the first byte.
    pub(crate) start_by: Option<Instant>,
    /// Whether the answer is read line by line as it comes.
    pub(crate) streaming: bool,
}

impl Request {
    /// A GET.
    pub(crate) fn get(endpoint: Endpoint, path: &str, timeout: Duration) -> Self {
        Self {
            endpoint,
            method: "GET".into(),
            path: path.into(),
            headers: Vec::new(),
            body: None,
            deadline: Instant::now() + timeout,
            head_by: None,
            start_by: None,
            streaming: false,
        }
    }

    /// A POST with a JSON body.
    pub(crate) fn post(endpoint: Endpoint, path: &str, body: Vec<u8>, timeout: Duration) -> Self {
        Self {
            method: "POST".into(),
            headers: vec![("Content-Type".into(), "application/json".into())],
            body: Some(body),
            ..Self::get(endpoint, path, timeout)
        }
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// The status.
    pub(crate) status: u16,
    /// The headers, names in lower case.
    pub(crate) headers: HashMap<String, String>,
}

/// A running exchange, from the calling thread's side.
pub(crate) struct Exchange {
    /// The head of the answer.
    head: Head,
    /// What the reader thread sends.
    messages: Receiver<Result<Message>>,
    /// The caller's token.
    cancel: Cancel,
    /// When the exchange has to be over.
    deadline: Instant,
    /// How the body was framed, once it has ended.
    framing: Option<Framing>,
}

impl Exchange {
    /// Sends a request and waits for the head of the answer.
    pub(crate) fn open(request: Request, cancel: &Cancel) -> Result<Self> {
        if cancel.is_cancelled() {
            return Err(Error::Unsent("cancelled".into()));
        }
        let deadline = request.deadline;
        let head_by = request
            .head_by
            .map_or(deadline, |head_by| head_by.min(deadline));
        let (sender, messages) = flume::bounded(WAITING_PIECES);
        thread::Builder::new()
            .name("platform-read".into())
            .spawn(move || pump::run(request, &sender))
            .map_err(|error| Error::Unsent(error.to_string()))?;
        match wait(&messages, cancel, head_by)? {
            Some(Message::Head(head)) => Ok(Self {
                head,
                messages,
                cancel: cancel.clone(),
                deadline,
                framing: None,
            }),
            _ => Err(Error::ResetBefore("the reader thread ended".into())),
        }
    }

    /// The head of the answer.
    pub(crate) fn head(&self) -> &Head {
        &self.head
    }

    /// The next piece of the body, or nothing at its end.
    pub(crate) fn piece(&mut self) -> Result<Option<Vec<u8>>> {
        if self.framing.is_some() {
            return Ok(None);
        }
        match wait(&self.messages, &self.cancel, self.deadline)? {
            Some(Message::Data(data)) => Ok(Some(data)),
            Some(Message::End(framing)) => {
                self.framing = Some(framing);
                Ok(None)
            }
            _ => Err(Error::Broken("the reader thread ended".into())),
        }
    }

    /// Reads the rest of the body, up to a limit, as there is room for it.
    pub(crate) fn whole(
        mut self,
        limit: usize,
        room: &mut impl Room,
    ) -> Result<(Head, Vec<u8>, Framing)> {
        let mut body = Vec::new();
        // All of it at once where its length is known, so that answers don't wait for each other with a part of each in hand.
        let announced = self.head.headers.get("content-length");
        let announced = announced.and_then(|length| length.parse().ok());
        if let Some(length) = announced.filter(|length| *length <= limit) {
            if !room.extend_to(length, self.deadline) {
                return Err(Error::Timeout);
            }
            body.reserve_exact(length);
        }
        while let Some(piece) = self.piece()? {
            let length = body.len() + piece.len();
            if length > limit {
                return Err(Error::Broken(format!("body longer than {limit} bytes")));
            }
            if !room.extend_to(length, self.deadline) {
                return Err(Error::Timeout);
            }
            body.extend_from_slice(&piece);
        }
        let framing = self.framing.unwrap_or(Framing::Connection);
        Ok((self.head, body, framing))
    }
}

/// Waits for the reader's next message; nothing means that the reader ended without one.
fn wait(
    messages: &Receiver<Result<Message>>,
    cancel: &Cancel,
    deadline: Instant,
) -> Result<Option<Message>> {
    match cancel.receive(messages, deadline) {
        Wake::Message(message) => message.map(Some),
        Wake::Ended => Ok(None),
        Wake::Cancelled => Err(Error::Cancelled),
        Wake::Timeout => Err(Error::Timeout),
    }
}

/// Runs an exchange whose answer is read as a whole; a status of failure becomes an error.
pub(crate) fn call(request: Request, limit: usize, cancel: &Cancel) -> Result<Vec<u8>> {
    let (head, body, _) = Exchange::open(request, cancel)?.whole(limit, &mut ())?;
    match head.status {
        200..=299 => Ok(body),
        status => Err(Error::from_answer(status, body)),
    }
}

/// Parses a JSON answer. JSON proves its own end, so a cut body is found here as well.
pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Broken(error.to_string()))
}
