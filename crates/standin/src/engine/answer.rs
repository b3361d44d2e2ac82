//! Completions and chat: from the request's body to its stream or whole answer.

use std::io;
use std::time::Instant;

use serde::Deserialize;
use serde_json::{Value, json};

use super::batch::{Output, Sequence, Token};
use super::state::{State, take};
use super::token::{self, Digest, MAX_TOKENS, Model};
use super::{Refusal, Shared};
use crate::call::{Call, Stream};

/// The header that names the adapter before the first token.
const SERVED_MODEL: &str = "X-Served-Model";

/// The form of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Form {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

impl Form {
    fn event(self, token: &Token) -> Value {
        let (object, content) = match self {
            Self::Completion => ("text_completion", json!({"text": token.text})),
            Self::Chat => (
                "chat.completion.chunk",
                json!({"delta": {"content": token.text}}),
            ),
        };
        wrap(
            &token.request_id,
            &token.model,
            object,
            content,
            Some(token),
        )
    }

    fn whole(self, request_id: &str, model: &Model, tokens: &[Token]) -> Value {
        let text: String = tokens.iter().map(|token| token.text.as_str()).collect();
        let (object, content) = match self {
            Self::Completion => ("text_completion", json!({ "text": text })),
            Self::Chat => {
                let message = json!({"role": "assistant", "content": text});
                ("chat.completion", json!({ "message": message }))
            }
        };
        let mut answer = wrap(request_id, model, object, content, tokens.last());
        answer["usage"] = json!({"completion_tokens": tokens.len()});
        answer
    }
}

/// Puts a choice into the frame that all answers have.
fn wrap(
    request_id: &str,
    model: &Model,
    object: &str,
    mut choice: Value,
    last: Option<&Token>,
) -> Value {
    let finish = last.and_then(|token| token.finish);
    choice["index"] = json!(0);
    choice["finish_reason"] = json!(finish.map(super::batch::Finish::reason));
    json!({"id": request_id, "object": object, "model": model, "choices": [choice]})
}

/// The fields of a request that the engine looks at.
#[derive(Debug, Deserialize)]
struct Ask {
    /// The adapter and version.
    model: Model,
    /// Whether to answer token by token.
    #[serde(default)]
    stream: bool,
    /// The length of the whole answer, with the tokens that the caller already has.
    #[serde(default = "max_tokens")]
    max_tokens: u64,
    /// Smaller ones run first.
    #[serde(default)]
    priority: i64,
    /// Names the request in aborts and in the record.
    request_id: Option<String>,
    /// The number of tokens that the caller already has.
    #[serde(default)]
    resume_from: u64,
}

fn max_tokens() -> u64 {
    MAX_TOKENS
}

/// Answers one request.
pub(crate) fn serve(shared: &Shared, call: Call, form: Form) {
    let body = call.json::<Value>().unwrap_or_default();
    let ask = match serde_json::from_value::<Ask>(body.clone()) {
        Ok(ask) if body["prompt"].is_string() || body["messages"].is_array() => ask,
        Ok(_) => return call.refuse(400, "bad_request", "there is no prompt and no messages"),
        Err(error) => return call.refuse(400, "bad_request", &error.to_string()),
    };
    let (output, outputs) = flume::unbounded();
    let admitted = accept(&mut shared.lock(), &call, &ask, &body, output);
    let request_id = match admitted {
        Ok(request_id) => request_id,
        Err(refusal) => return refusal.answer(call),
    };
    shared.changed.notify_all();
    let client = call.client();
    // A client that is gone is noticed by the next step, which closes the channel.
    match client.wait(&outputs) {
        Some(Output::Started(model)) if ask.stream => {
            // A stream that fails to be sent has lost its client.
            let _ = stream(call, form, &model, &outputs);
        }
        Some(Output::Started(model)) => whole(call, form, &request_id, &model, &outputs),
        _ => call.vanish(),
    }
}

/// Takes a request in or says why not.
fn accept(
    state: &mut State,
    call: &Call,
    ask: &Ask,
    body: &Value,
    output: flume::Sender<Output>,
) -> Result<String, Refusal> {
    let now = Instant::now();
    match &ask.model {
        _ if !state.is_ready(now) => return Err(Refusal::NotReady),
        _ if state.faults.refuse => return Err(Refusal::Overloaded),
        _ if state.batch.waiting() >= state.settings.queue => return Err(Refusal::Overloaded),
        model if !state.is_resident(model) => return Err(Refusal::NotLoaded),
        _ => {}
    }
    let request_id = ask.request_id.clone().unwrap_or_else(|| state.anonymous());
    let sequence = Sequence {
        request_id: request_id.clone(),
        model: served(state, &ask.model),
        digest: Digest::of(body),
        prefix: token::prefix(body),
        index: ask.resume_from,
        end: ask.max_tokens.max(ask.resume_from),
        break_at: state.faults.take_break(ask.resume_from),
        output,
        client: call.client(),
        run: None,
    };
    state.batch.push(ask.priority, sequence);
    state.note(now);
    Ok(request_id)
}

/// The adapter that a request runs on: the one it names but for a fault.
fn served(state: &mut State, model: &Model) -> Model {
    if take(&mut state.faults.wrong_model) {
        state.other_resident(model).unwrap_or_else(|| model.clone())
    } else {
        model.clone()
    }
}

fn stream(
    call: Call,
    form: Form,
    model: &Model,
    outputs: &flume::Receiver<Output>,
) -> io::Result<()> {
    let headers = [(SERVED_MODEL, model.to_string())];
    let headers = headers
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    let mut stream: Stream = call.stream("text/event-stream", &headers)?;
    for output in outputs {
        match output {
            Output::Started(_) => {}
            Output::Token(token) => stream.send(&format!("data: {}\n\n", form.event(&token)))?,
            Output::End => {
                stream.send("data: [DONE]\n\n")?;
                return stream.end();
            }
        }
    }
    stream.vanish();
    Ok(())
}

fn whole(
    call: Call,
    form: Form,
    request_id: &str,
    model: &Model,
    outputs: &flume::Receiver<Output>,
) {
    let mut tokens = Vec::new();
    for output in outputs {
        match output {
            Output::Started(_) => {}
            Output::Token(token) => tokens.push(token),
            Output::End => {
                let first = tokens.first();
                let id = first.map_or(request_id, |token| token.request_id.as_str());
                let answer = form.whole(id, first.map_or(model, |token| &token.model), &tokens);
                let headers = [(SERVED_MODEL, &*model.to_string())];
                return call.answer_with(200, &headers, &answer);
            }
        }
    }
    call.vanish();
}
