//! A caller for tests: sends one completion, reads its events as they come, checks the answer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;

use minreq::ResponseLazy;
use serde_json::{Value, json};

use crate::engine;

/// The longest time that a request may take, in seconds.
const TIMEOUT: u64 = 60;

/// The reason phrase that `minreq` makes up, with status 503, when the connection closes before the
/// first byte of an answer.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// What starts each event's data.
const DATA: &str = "data: ";

/// The data of a stream's last event.
const DONE: &str = "[DONE]";

/// Tells an answer from the one that `minreq` makes up for a connection closed without an answer.
///
/// # Errors
/// With `UnexpectedEof` when there was no answer.
pub fn answered(reason_phrase: &str) -> Result<(), minreq::Error> {
    match reason_phrase {
        NO_STATUS_LINE => Err(minreq::Error::IoError(io::ErrorKind::UnexpectedEof.into())),
        _ => Ok(()),
    }
}

/// Which API a request uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Api {
    /// `POST /v1/completions`.
    #[default]
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where to send it.
    pub address: SocketAddr,
    /// Which API it uses.
    pub api: Api,
    /// The whole body.
    pub body: Value,
    /// Headers besides the usual ones.
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// A streamed completion.
    #[must_use]
    pub fn completion(address: SocketAddr, model: &str, prompt: &str, max_tokens: u64) -> Self {
        let body =
            json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        Self {
            address,
            api: Api::Completion,
            body,
            headers: Vec::new(),
        }
    }

    /// A streamed chat.
    #[must_use]
    pub fn chat(address: SocketAddr, model: &str, content: &str, max_tokens: u64) -> Self {
        let messages = json!([{"role": "user", "content": content}]);
        let body =
            json!({"model": model, "messages": messages, "max_tokens": max_tokens, "stream": true});
        Self {
            address,
            api: Api::Chat,
            body,
            headers: Vec::new(),
        }
    }

    /// The same request, answered whole.
    #[must_use]
    pub fn whole(self) -> Self {
        self.field("stream", json!(false))
    }

    /// The same request with one more field in its body.
    #[must_use]
    pub fn field(mut self, name: &str, value: Value) -> Self {
        self.body[name] = value;
        self
    }

    /// The same request with one more header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request and reads its whole answer.
    ///
    /// # Errors
    /// When there is no answer; an answer that breaks off is told by [`Answer::verify`].
    pub fn send(&self) -> Result<Answer, minreq::Error> {
        self.send_while(|_| ControlFlow::Continue(()))
    }

    /// Sends the request and lets `each` see the tokens so far after every event; a break drops the
    /// connection.
    ///
    /// # Errors
    /// When there is no answer.
    pub fn send_while(
        &self,
        mut each: impl FnMut(&[String]) -> ControlFlow<()>,
    ) -> Result<Answer, minreq::Error> {
        let path = match self.api {
            Api::Completion => "/v1/completions",
            Api::Chat => "/v1/chat/completions",
        };
        let mut request = minreq::post(format!("http://{}{path}", self.address));
        for (name, value) in &self.headers {
            request = request.with_header(name, value);
        }
        let request = request.with_header("Content-Type", "application/json");
        let response = request
            .with_body(self.body.to_string())
            .with_timeout(TIMEOUT)
            .send_lazy()?;
        answered(&response.reason_phrase)?;
        let mut answer = Answer::new(&response);
        let streamed = response.headers.get("content-type");
        if streamed.is_some_and(|media| media.starts_with("text/event-stream")) {
            answer.read_events(response, &mut each);
        } else {
            answer.read_whole(response);
        }
        Ok(answer)
    }
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The header `X-Served-Model`.
    pub served_model: Option<String>,
    /// The models that the events or the whole answer named.
    pub models: Vec<String>,
    /// The texts of the events, or the text of the whole answer.
    pub texts: Vec<String>,
    /// Whether the answer has its explicit end.
    pub finished: bool,
    /// The last `finish_reason`.
    pub finish_reason: Option<String>,
    /// The body of an error, or a stream's error event.
    pub error: Option<Value>,
}

/// Why an answer is not the right one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is an error, with this status.
    Refused(u16),
    /// It lacks its explicit end.
    Unfinished,
    /// It says that another model made it.
    Model(String),
    /// Its text is another than that of this request's answer.
    Text {
        /// The right text.
        expected: String,
        /// The text that came.
        got: String,
    },
    /// The request itself names no proper model.
    Request,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unfinished => f.write_str("no explicit end"),
            Self::Model(model) => write!(f, "made by {model}"),
            Self::Text { expected, got } => write!(f, "expected {expected:?}, got {got:?}"),
            Self::Request => f.write_str("the request names no proper model"),
        }
    }
}

impl std::error::Error for Fault {}

impl Answer {
    /// The whole text.
    #[must_use]
    pub fn text(&self) -> String {
        self.texts.concat()
    }

    /// Checks that this is the whole answer to `request`, from the model that it names.
    ///
    /// # Errors
    /// With the first thing that is wrong.
    pub fn verify(&self, request: &Request) -> Result<(), Fault> {
        let expected = engine::expected(&request.body).map_err(|_| Fault::Request)?;
        let resumed = request.body["resume_from"].as_u64().unwrap_or(0);
        let skipped = usize::try_from(resumed).unwrap_or(usize::MAX);
        let expected: String = expected.into_iter().skip(skipped).collect();
        let named = request.body["model"].as_str().unwrap_or_default();
        let mut models = self.models.iter().chain(&self.served_model);
        match models.find(|model| *model != named) {
            _ if self.status != 200 || self.error.is_some() => Err(Fault::Refused(self.status)),
            Some(model) => Err(Fault::Model(model.clone())),
            None if !self.finished => Err(Fault::Unfinished),
            None if self.text() != expected => Err(Fault::Text {
                expected,
                got: self.text(),
            }),
            None => Ok(()),
        }
    }

    fn new(response: &ResponseLazy) -> Self {
        Self {
            status: u16::try_from(response.status_code).unwrap_or(0),
            served_model: response.headers.get("x-served-model").cloned(),
            ..Self::default()
        }
    }

    /// Reads events until the last one, a break of the connection or the reader's wish.
    fn read_events(
        &mut self,
        response: ResponseLazy,
        each: &mut impl FnMut(&[String]) -> ControlFlow<()>,
    ) {
        let mut line = Vec::new();
        // Byte by byte, since a buffered read would wait until its buffer is full.
        for byte in response.map_while(Result::ok).map(|(byte, _)| byte) {
            match byte {
                b'\n' => {
                    let flow = self.read_line(&String::from_utf8_lossy(&line), each);
                    line.clear();
                    if flow.is_break() {
                        return;
                    }
                }
                byte => line.push(byte),
            }
        }
    }

    fn read_line(
        &mut self,
        line: &str,
        each: &mut impl FnMut(&[String]) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        match line.trim_end().strip_prefix(DATA) {
            None => ControlFlow::Continue(()),
            Some(DONE) => {
                self.finished = true;
                ControlFlow::Continue(())
            }
            Some(data) => {
                self.take(&serde_json::from_str(data).unwrap_or_default());
                each(&self.texts)
            }
        }
    }

    fn read_whole(&mut self, response: ResponseLazy) {
        let bytes: Vec<u8> = response
            .map_while(Result::ok)
            .map(|(byte, _)| byte)
            .collect();
        match serde_json::from_slice::<Value>(&bytes) {
            Ok(body) if self.status == 200 => {
                self.take(&body);
                self.finished = self.finish_reason.is_some();
            }
            Ok(body) => self.error = Some(body),
            Err(_) => {}
        }
    }

    /// Takes in one event or a whole answer.
    fn take(&mut self, event: &Value) {
        let choice = &event["choices"][0];
        let contents = [
            &choice["text"],
            &choice["delta"]["content"],
            &choice["message"]["content"],
        ];
        let text = contents.into_iter().find_map(Value::as_str);
        self.texts.extend(text.map(str::to_owned));
        self.models
            .extend(event["model"].as_str().map(str::to_owned));
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
        if event["error"].is_object() {
            self.error = Some(event.clone());
        }
    }
}
