//! Work for an engine, and the events of its answer.

use crate::error::{Error, Result};
use crate::http;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::{Map, Value};
use std::time::{Duration, Instant};

/// Which of the engine's endpoints takes the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

impl Route {
    /// The path of the endpoint.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// One request for an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Which endpoint takes it.
    pub route: Route,
    /// The caller's body; the fields below are put in place of its own.
    pub body: Map<String, Value>,
    /// The adapter and version, `<adapter>@<version>`.
    pub model: String,
    /// The id by which the engine can be told to abort it.
    pub request_id: String,
    /// The priority; a smaller one runs first.
    pub priority: i64,
    /// How many tokens the caller already has.
    pub resume_from: u64,
    /// Whether the answer comes as a stream of events.
    pub stream: bool,
    /// The time for the whole answer.
    pub timeout: Duration,
    /// When it is too late for the first byte to be sent, as at the end of a grant.
    pub start_by: Option<Instant>,
}

impl Work {
    /// The body to send.
    pub(crate) fn body(&self) -> Result<Vec<u8>> {
        let mut body = self.body.clone();
        body.insert("model".into(), self.model.clone().into());
        body.insert("request_id".into(), self.request_id.clone().into());
        body.insert("priority".into(), self.priority.into());
        body.insert("stream".into(), self.stream.into());
        match self.resume_from {
            0 => body.remove("resume_from"),
            from => body.insert("resume_from".into(), from.into()),
        };
        serde_json::to_vec(&body).map_err(|error| Error::Unsent(error.to_string()))
    }
}

/// One step of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The answer has begun.
    Head {
        /// The served model, as the head says it.
        model: Option<String>,
    },
    /// One event of a stream.
    Chunk {
        /// The served model, as the event says it.
        model: Option<String>,
        /// The event's JSON as it came.
        data: String,
    },
    /// A whole answer.
    Whole {
        /// The served model, as the body says it.
        model: Option<String>,
        /// The JSON body as it came.
        body: Vec<u8>,
    },
}

/// What is looked at in a piece of an answer.
#[derive(Deserialize)]
struct Tag {
    /// The served model.
    model: Option<String>,
    /// An error in place of tokens; engines send one when a started request fails.
    error: Option<Value>,
}

/// The parts of an answer that only a run has.
#[derive(Deserialize)]
struct Parts {
    /// The served model.
    model: Option<IgnoredAny>,
    /// What was generated.
    choices: Option<IgnoredAny>,
    /// What it took.
    usage: Option<IgnoredAny>,
}

/// Reads the data of a stream's event.
pub(crate) fn chunk(data: String) -> Result<Event> {
    let model = served_model(data.as_bytes())?;
    Ok(Event::Chunk { model, data })
}

/// Reads the body of a whole answer; JSON proves by itself that it is whole.
pub(crate) fn whole(body: Vec<u8>) -> Result<Event> {
    let model = served_model(&body)?;
    Ok(Event::Whole { model, body })
}

/// Whether a body holds parts of an answer, or may hold them, whatever else it says.
pub(crate) fn shows_run(body: &[u8]) -> bool {
    let parts = serde_json::from_slice::<Parts>(body);
    !parts.is_ok_and(|parts| {
        parts.model.is_none() && parts.choices.is_none() && parts.usage.is_none()
    })
}

fn served_model(json: &[u8]) -> Result<Option<String>> {
    let tag: Tag = http::parse(json)?;
    match tag.error {
        Some(error) => Err(Error::Broken(format!("error within the answer: {error}"))),
        None => Ok(tag.model),
    }
}
