//! Answers as bytes: JSON errors, whole answers, and server-sent events in chunks.

use std::io::{self, Write};

use dahliastile_core::error::Answer;
use dahliastile_core::time::Span;
use serde_json::{Value, json};
use tiny_http::{HTTPVersion, Header, Request, Response};

/// The type of JSON bodies.
pub(super) const JSON: &str = "application/json";

/// The event that ends a whole stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The header that names a request to operators.
const REQUEST_ID: &str = "X-Request-Id";

/// The bytes of a server-sent event with this data.
pub(crate) fn sse(data: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(data.len() + 8);
    for line in data.split('\n') {
        bytes.extend_from_slice(b"data: ");
        bytes.extend_from_slice(line.as_bytes());
        bytes.push(b'\n');
    }
    bytes.push(b'\n');
    bytes
}

/// The one JSON body of refusals and errors. An empty id stands for none.
pub(super) fn error_body(answer: &Answer, request_id: &str) -> Value {
    json!({ "error": {
        "kind": answer.kind,
        "ran": answer.ran,
        "retry_after_ms": answer.retry_after.map(Span::as_millis),
        "request_id": (!request_id.is_empty()).then_some(request_id),
        "message": answer.detail,
    } })
}

/// Answers with an error.
pub(super) fn refuse(request: Request, answer: &Answer, request_id: &str) {
    const MILLIS: u64 = 1_000;
    let body = error_body(answer, request_id).to_string().into_bytes();
    let retry_after = answer
        .retry_after
        .map(|span| span.as_millis().div_ceil(MILLIS).to_string());
    let extra: Vec<(&str, &str)> = retry_after
        .iter()
        .map(|seconds| ("Retry-After", seconds.as_str()))
        .collect();
    whole(
        request,
        answer.kind.row().status,
        JSON,
        body,
        request_id,
        &extra,
    );
}

/// Answers with a whole body.
pub(super) fn whole(
    request: Request,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    request_id: &str,
    extra: &[(&str, &str)],
) {
    let mut response = Response::from_data(body)
        .with_status_code(status)
        .with_chunked_threshold(usize::MAX);
    let headers = [("Content-Type", content_type), (REQUEST_ID, request_id)];
    let given = headers
        .iter()
        .chain(extra)
        .filter(|(_, value)| !value.is_empty());
    for (name, value) in given {
        // A backend server's type that is no header value is left out.
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    // The gate reports a caller that has gone away.
    let _ = request.respond(response);
}

/// A stream of server-sent events.
pub(super) struct Stream {
    /// The connection.
    writer: Box<dyn Write + Send>,
    /// Whether pieces are framed as chunks; HTTP/1.0 ends an answer with its connection.
    chunked: bool,
}

impl Stream {
    /// Writes the head of an answer.
    pub(super) fn begin(
        request: Request,
        status: u16,
        content_type: &str,
        request_id: &str,
    ) -> io::Result<Self> {
        let chunked = *request.http_version() >= HTTPVersion(1, 1);
        let closes = |header: &Header| {
            header.field.equiv("Connection") && header.value.as_str().contains("close")
        };
        let ends = if chunked && !request.headers().iter().any(closes) {
            ""
        } else {
            "Connection: close\r\n"
        };
        let framing = if chunked {
            "Transfer-Encoding: chunked\r\n"
        } else {
            ""
        };
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nCache-Control: no-cache\r\n\
             {REQUEST_ID}: {request_id}\r\n{framing}{ends}\r\n",
            tiny_http::StatusCode(status).default_reason_phrase(),
        )?;
        writer.flush()?;
        Ok(Self { writer, chunked })
    }

    /// Writes a piece at once.
    pub(super) fn piece(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            // An empty chunk would end the answer.
            return Ok(());
        }
        if self.chunked {
            write!(self.writer, "{:x}\r\n", data.len())?;
            self.writer.write_all(data)?;
            self.writer.write_all(b"\r\n")?;
        } else {
            self.writer.write_all(data)?;
        }
        self.writer.flush()
    }

    /// Ends a whole answer.
    pub(super) fn finish(mut self) -> io::Result<()> {
        self.piece(DONE)?;
        self.end()
    }

    /// Ends an answer that is not whole with an explicit error.
    pub(super) fn fail(mut self, answer: &Answer, request_id: &str) -> io::Result<()> {
        let mut event = b"event: error\n".to_vec();
        event.extend(sse(&error_body(answer, request_id).to_string()));
        self.piece(&event)?;
        self.end()
    }

    fn end(mut self) -> io::Result<()> {
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }
}
