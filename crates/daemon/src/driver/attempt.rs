//! Attempts: a request is sent to a backend server, and its answer comes back as events.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dahliastile_body::Ending;
use dahliastile_core::effect::Work;
use dahliastile_core::event::{Event, Failure, Head, Reason};
use dahliastile_core::id::{self, Attempt};
use dahliastile_outside::{Cancel, Endpoint, Error, Size, engine, plain};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::Mailbox;
use crate::http::Charge;

/// The time to tell an engine that an attempt is given up.
const ABORT: Duration = Duration::from_secs(2);

/// Statuses with which a server, or something before it, says that it could not do its work.
const UNAVAILABLE: [u16; 3] = [502, 503, 504];

/// What a plain service's answer is taken for where it names no type.
const OCTETS: &str = "application/octet-stream";

/// What to send to a backend server.
#[derive(Debug)]
pub(crate) enum Body {
    /// A completion by an adapter.
    Model {
        /// Which endpoint takes it.
        route: engine::Route,
        /// The caller's JSON.
        body: Map<String, Value>,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Plain(plain::Call),
}

/// A request's body with the room that it takes.
#[derive(Debug)]
pub(crate) struct Held {
    /// The body.
    pub(crate) body: Body,
    /// The room.
    pub(crate) charge: Charge,
}

/// An attempt to make.
#[derive(Debug)]
pub(super) struct Job {
    /// What the node wants sent, and where.
    pub(super) work: Work,
    /// The request's body.
    pub(super) held: Arc<Held>,
    /// The time that is left.
    pub(super) left: Duration,
    /// Ends the attempt.
    pub(super) cancel: Cancel,
}

/// What every attempt needs.
#[derive(Debug)]
pub(super) struct Context {
    /// Where events go.
    pub(super) mailbox: Mailbox,
    /// The prefix of the ids by which engines know attempts.
    pub(super) prefix: String,
    /// The largest answer that is not streamed.
    pub(super) answer_bytes: usize,
}

/// Makes an attempt.
pub(super) fn run(context: &Context, job: &Job) {
    let attempt = job.work.attempt;
    let result = match (job.work.address.parse::<Endpoint>(), &job.held.body) {
        (Err(error), _) => Err(Error::Unsent(error.to_string())),
        (Ok(endpoint), Body::Plain(call)) => forward(context, job, endpoint, call),
        (
            Ok(endpoint),
            Body::Model {
                route,
                body,
                stream,
            },
        ) => complete(context, job, endpoint, (*route, body, *stream)),
    };
    let event = match result {
        Ok(()) => Event::Ended { attempt },
        // The node has given the attempt up and hears no more of it.
        Err(Error::Cancelled) => return,
        Err(error) => Event::Failed {
            attempt,
            failure: failure(&error),
        },
    };
    context.mailbox.event(event);
}

fn complete(
    context: &Context,
    job: &Job,
    endpoint: Endpoint,
    (route, body, stream): (engine::Route, &Map<String, Value>, bool),
) -> Result<(), Error> {
    let limit = engine::Limit {
        whole: Size(context.answer_bytes),
        ..engine::Limit::default()
    };
    let client = engine::Client::new(endpoint, ABORT, limit);
    let model = job.work.adapter.as_ref().map(id::Adapter::as_str);
    let work = engine::Work {
        route,
        body: body.clone(),
        model: model.unwrap_or_default().to_owned(),
        request_id: format!("{}{}", context.prefix, job.work.attempt),
        priority: job.work.priority.into(),
        resume_from: job.work.resume_from.into(),
        stream,
        timeout: job.left,
        start_by: Instant::now().checked_add(job.left),
    };
    let attempt = job.work.attempt;
    let mut room = job.held.charge.answer_room();
    let result = client.complete(&work, &job.cancel, &mut room, |event| {
        context.mailbox.event(translate(attempt, stream, event));
        ControlFlow::Continue(())
    });
    if result.is_ok() {
        room.keep();
    }
    if let Err(error) = &result
        && !error.is_unsent()
    {
        // The engine may run on; a failure to tell it so costs it some steps and nothing else.
        let _ = client.abort(&work.request_id, &Cancel::new());
    }
    result
}

fn translate(attempt: Attempt, stream: bool, event: engine::Event) -> Event {
    match event {
        engine::Event::Head { model } => Event::Begun {
            attempt,
            head: Head {
                status: 200,
                content_type: if stream {
                    "text/event-stream".to_owned()
                } else {
                    "application/json".to_owned()
                },
                model,
            },
        },
        engine::Event::Chunk { model, data } => Event::Chunk {
            attempt,
            model,
            tokens: 1,
            data: crate::http::sse(&data),
        },
        engine::Event::Whole { model, body } => Event::Chunk {
            attempt,
            model,
            tokens: completion_tokens(&body),
            data: body,
        },
    }
}

/// The number of tokens that a whole answer says it has.
fn completion_tokens(body: &[u8]) -> u32 {
    #[derive(Default, Deserialize)]
    struct Usage {
        #[serde(default)]
        completion_tokens: u32,
    }
    #[derive(Deserialize)]
    struct Answer {
        #[serde(default)]
        usage: Usage,
    }
    serde_json::from_slice(body).map_or(1, |answer: Answer| answer.usage.completion_tokens.max(1))
}

fn forward(
    context: &Context,
    job: &Job,
    endpoint: Endpoint,
    call: &plain::Call,
) -> Result<(), Error> {
    let client = plain::Client::new(endpoint, Size(context.answer_bytes));
    let call = plain::Call {
        start_by: Instant::now().checked_add(job.left),
        ..call.clone()
    };
    let mut room = job.held.charge.answer_room();
    let answer = client.forward(&call, job.left, &job.cancel, &mut room)?;
    match (answer.failure(), answer.framing.ending()) {
        (Some(error @ Error::NotRun { .. }), _) => return Err(error),
        (Some(error), _) if UNAVAILABLE.contains(&answer.status) => return Err(error),
        (_, Ending::Whole) => {}
        // The callers' side frames each answer by a length or chunks, which would claim that the body is whole.
        (_, Ending::Unproven | Ending::Broken) => {
            return Err(Error::Broken("no length of the body".to_owned()));
        }
    }
    room.keep();
    let attempt = job.work.attempt;
    let content_type = answer.headers.get("content-type");
    context.mailbox.event(Event::Begun {
        attempt,
        head: Head {
            status: answer.status,
            content_type: content_type.map_or_else(|| OCTETS.to_owned(), Clone::clone),
            model: None,
        },
    });
    context.mailbox.event(Event::Chunk {
        attempt,
        model: None,
        tokens: 0,
        data: answer.body,
    });
    Ok(())
}

fn failure(error: &Error) -> Failure {
    match error {
        // Nothing was sent, which is all that the node asks about a refused connection.
        Error::Unsent(_) | Error::Refused => Failure::Refused,
        Error::NotRun { code, .. } => Failure::NotRun(reason(code)),
        Error::Rejected { status, .. } => Failure::Rejected { status: *status },
        Error::ResetBefore(_) | Error::Broken(_) | Error::Cancelled => Failure::Broken,
        Error::Timeout => Failure::Timeout,
    }
}

/// The reason that a server's error code stands for; a code that is not known says only that it took no work.
pub(super) fn reason(code: &str) -> Reason {
    match code {
        "not_loaded" => Reason::NotLoaded,
        "not_ready" => Reason::NotReady,
        "stale_fence" => Reason::StaleFence,
        "no_slot" => Reason::NoSlot,
        "in_use" => Reason::InUse,
        "loading" => Reason::Loading,
        "load_failed" => Reason::LoadFailed,
        "bad_request" => Reason::BadRequest,
        _ => Reason::Overloaded,
    }
}
