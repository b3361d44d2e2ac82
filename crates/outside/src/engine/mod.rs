//! Model engines: work, orders and reports.

mod report;
mod work;

pub use report::{Adapter, CacheEvent, CacheKind, CachePage, Report};
pub use work::{Event, Route, Work};

use crate::cancel::Cancel;
use crate::error::{Error, Result};
use crate::http::{self, Exchange, Head, Request, Room};
use crate::sse::Parser;
use crate::unit::{Endpoint, Fence};
use dahliastile_intake::Size;
use serde_json::json;
use std::ops::ControlFlow;
use std::time::Duration;

/// Longest answer to an order, a report or a page of cache events.
const CONTROL_BYTES: usize = 4 * 1024 * 1024;

/// The header that names the served model before the first token.
const SERVED_MODEL: &str = "x-served-model";

/// The data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";

/// How much of an engine's answer is taken.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Longest line, and longest event, of a stream.
    pub event: Size,
    /// Longest whole answer.
    pub whole: Size,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            event: Size(256 * 1024),
            whole: Size(16 * 1024 * 1024),
        }
    }
}

/// A client of one engine.
#[derive(Debug, Clone)]
pub struct Client {
    /// The engine.
    endpoint: Endpoint,
    /// The time for an order, a report or a page of cache events.
    timeout: Duration,
    /// How much of an answer is taken.
    limit: Limit,
}

impl Client {
    /// A client of the engine at `endpoint`; `timeout` is for everything but work and loads.
    #[must_use]
    pub fn new(endpoint: Endpoint, timeout: Duration, limit: Limit) -> Self {
        Self {
            endpoint,
            timeout,
            limit,
        }
    }

    /// Sends work, once, and passes its answer to `sink` as it comes: the head, then each event of a
    /// stream or the whole answer, which is read as there is `room` for it.
    ///
    /// Returns `Ok` only for a whole answer: a stream that ended with its end event, or a whole JSON
    /// body. A stream that the engine was told to abort may end so as well; its last event's finish
    /// reason says it. The served models are handed up and not compared with the one asked for. When `sink`
    /// breaks, the call ends as [`Error::Cancelled`]. An engine may run on after any failure until it is
    /// told to [`abort`](Self::abort).
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn complete(
        &self,
        work: &Work,
        cancel: &Cancel,
        room: &mut impl Room,
        mut sink: impl FnMut(Event) -> ControlFlow<()>,
    ) -> Result<()> {
        let body = work.body()?;
        let request = Request {
            start_by: work.start_by,
            streaming: work.stream,
            ..Request::post(self.endpoint, work.route.path(), body, work.timeout)
        };
        let exchange = Exchange::open(request, cancel)?;
        if !(200..300).contains(&exchange.head().status) {
            let (head, body, _) = exchange.whole(self.limit.whole.0, room)?;
            return Err(refusal(&head, body));
        }
        let model = exchange.head().headers.get(SERVED_MODEL).cloned();
        emit(&mut sink, Event::Head { model })?;
        if work.stream {
            self.stream(exchange, &mut sink)
        } else {
            self.whole(exchange, room, &mut sink)
        }
    }

    /// Passes on the events of a stream until the one that ends it.
    fn stream(
        &self,
        mut exchange: Exchange,
        sink: &mut impl FnMut(Event) -> ControlFlow<()>,
    ) -> Result<()> {
        let mut parser = Parser::new(self.limit.event.0);
        let mut events = Vec::new();
        while let Some(piece) = exchange.piece()? {
            let parsed = parser.push(&piece, &mut events);
            for event in events.drain(..) {
                match event.data.as_str() {
                    STREAM_END => return Ok(()),
                    _ => emit(sink, work::chunk(event.data)?)?,
                }
            }
            parsed?;
        }
        Err(Error::Broken("stream without its end event".into()))
    }

    /// Passes on a whole answer.
    fn whole(
        &self,
        exchange: Exchange,
        room: &mut impl Room,
        sink: &mut impl FnMut(Event) -> ControlFlow<()>,
    ) -> Result<()> {
        let (_, body, _) = exchange.whole(self.limit.whole.0, room)?;
        emit(sink, work::whole(body)?)
    }

    /// Tells the engine to stop a request.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn abort(&self, request_id: &str, cancel: &Cancel) -> Result<()> {
        self.order(
            "/v1/abort",
            &json!({ "request_id": request_id }),
            self.timeout,
            cancel,
        )
    }

    /// Orders the engine to load an adapter's version; returns when it is resident.
    ///
    /// # Errors
    /// Any [`Error`]; only where [`Error::is_unsent`] holds is the adapter certainly not being loaded.
    pub fn load(
        &self,
        name: &str,
        path: &str,
        fence: Fence,
        timeout: Duration,
        cancel: &Cancel,
    ) -> Result<()> {
        let order = json!({ "lora_name": name, "lora_path": path, "fence": fence.0 });
        self.order("/v1/load_lora_adapter", &order, timeout, cancel)
    }

    /// Orders the engine to unload an adapter's version.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn unload(&self, name: &str, fence: Fence, cancel: &Cancel) -> Result<()> {
        let order = json!({ "lora_name": name, "fence": fence.0 });
        self.order("/v1/unload_lora_adapter", &order, self.timeout, cancel)
    }

    /// Raises the engine's fencing number and changes nothing else.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn raise_fence(&self, fence: Fence, cancel: &Cancel) -> Result<()> {
        self.order(
            "/v1/fence",
            &json!({ "fence": fence.0 }),
            self.timeout,
            cancel,
        )
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn report(&self, cancel: &Cancel) -> Result<Report> {
        let request = Request::get(self.endpoint, "/load", self.timeout);
        http::parse(&http::call(request, CONTROL_BYTES, cancel)?)
    }

    /// Reads the cache events from a sequence number on; they come late and with gaps.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn cache_events(&self, from: u64, cancel: &Cancel) -> Result<CachePage> {
        let path = format!("/cache_events?from={from}");
        let request = Request::get(self.endpoint, &path, self.timeout);
        http::parse(&http::call(request, CONTROL_BYTES, cancel)?)
    }

    fn order(
        &self,
        path: &str,
        order: &serde_json::Value,
        timeout: Duration,
        cancel: &Cancel,
    ) -> Result<()> {
        let request = Request::post(self.endpoint, path, order.to_string().into_bytes(), timeout);
        http::call(request, CONTROL_BYTES, cancel).map(drop)
    }
}

/// Classifies an answer to work that is no success. One that shows a run proves no refusal, whatever it says.
fn refusal(head: &Head, body: Vec<u8>) -> Error {
    let status = head.status;
    if head.headers.contains_key(SERVED_MODEL) || work::shows_run(&body) {
        return Error::Rejected {
            status,
            code: None,
            body,
        };
    }
    Error::from_answer(status, body)
}

fn emit(sink: &mut impl FnMut(Event) -> ControlFlow<()>, event: Event) -> Result<()> {
    match sink(event) {
        ControlFlow::Continue(()) => Ok(()),
        ControlFlow::Break(()) => Err(Error::Cancelled),
    }
}
