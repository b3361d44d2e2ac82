//! One request to a stand-in and the ways to answer it.

use std::io::{self, Write};
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tiny_http::{Header, Method, Request, Response};

use crate::gate::{Client, Gate, Link};

/// The media type of whole answers.
const JSON: &str = "application/json";

/// A request with its body read.
#[derive(Debug)]
pub struct Call {
    /// The request, still unanswered.
    request: Request,
    /// The connection it came on; none when it came past the gate.
    link: Option<Arc<Link>>,
    /// The whole body.
    body: Vec<u8>,
}

impl Call {
    /// Reads the body; `None` when the client went away meanwhile.
    pub(crate) fn read(mut request: Request, gate: &Gate) -> Option<Self> {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).ok()?;
        let link = request.remote_addr().and_then(|peer| gate.link(*peer));
        Some(Self {
            request,
            link,
            body,
        })
    }

    /// The request's method.
    pub(crate) fn method(&self) -> &Method {
        self.request.method()
    }

    /// The path without the query.
    pub(crate) fn path(&self) -> &str {
        self.request.url().split('?').next().unwrap_or_default()
    }

    /// A value from the query; no escapes are decoded.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.request.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found =
            headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// The whole body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the client is still there; a client past the gate is never seen to go.
    pub(crate) fn client(&self) -> Client {
        self.link
            .as_ref()
            .map_or_else(Client::unwatched, |link| link.client())
    }

    /// Sends a whole JSON answer.
    pub(crate) fn answer<T: Serialize>(self, status: u16, body: &T) {
        self.answer_with(status, &[], body);
    }

    /// Sends a whole JSON answer with more headers.
    pub(crate) fn answer_with<T: Serialize>(self, status: u16, headers: &[(&str, &str)], body: &T) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut response = Response::from_data(body).with_status_code(status);
        let all = [("Content-Type", JSON)]
            .into_iter()
            .chain(headers.iter().copied());
        for header in all.filter_map(|(name, value)| Header::from_bytes(name, value).ok()) {
            response.add_header(header);
        }
        // A client that went away does not miss its answer.
        let _ = self.request.respond(response);
    }

    /// Sends an error of a server that vouches for not having run the request.
    pub(crate) fn refuse(self, status: u16, code: &str, message: &str) {
        let error = json!({"code": code, "message": message, "ran": "no"});
        self.answer(status, &json!({ "error": error }));
    }

    /// Drops the connection without an answer.
    pub(crate) fn vanish(self) {
        if let Some(link) = &self.link {
            link.cut();
        }
        drop(self.request.into_writer());
    }

    /// Starts an answer of unknown length.
    pub(crate) fn stream(self, media: &str, headers: &[(&str, &str)]) -> io::Result<Stream> {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {media}\r\nTransfer-Encoding: chunked\r\n\
             Cache-Control: no-cache\r\n"
        );
        for (name, value) in headers {
            head += name;
            head += ": ";
            head += value;
            head += "\r\n";
        }
        head += "\r\n";
        let mut stream = Stream {
            writer: self.request.into_writer(),
            link: self.link,
        };
        stream.write(head.as_bytes())?;
        Ok(stream)
    }
}

/// An answer that is sent piece by piece.
///
/// `tiny_http` gathers 8 KiB before it sends a chunk, so the chunks are written here.
pub(crate) struct Stream {
    /// The connection's writer.
    writer: Box<dyn Write + Send>,
    /// The connection; none when the request came past the gate.
    link: Option<Arc<Link>>,
}

impl Stream {
    /// Sends one chunk at once.
    pub(crate) fn send(&mut self, data: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        self.write(chunk.as_bytes())
    }

    /// Ends the answer properly.
    pub(crate) fn end(mut self) -> io::Result<()> {
        self.write(b"0\r\n\r\n")
    }

    /// Breaks the answer off behind the last chunk and drops the connection.
    pub(crate) fn vanish(self) {
        if let Some(link) = &self.link {
            link.close();
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)?;
        self.writer.flush()
    }
}
