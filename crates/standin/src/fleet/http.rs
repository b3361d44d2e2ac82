//! A small HTTP/1.1 server that can also misbehave: a fake must be able to lose an answer or stop in the middle.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use dahliastile_body::Framing;
use socket2::SockRef;

/// The time from the last piece of an answer to the reset of its connection.
const BEFORE_RESET: Duration = Duration::from_millis(20);

/// Bytes that are written at once where there is no end to them.
const ENDLESS_PIECE: usize = 16 * 1024;

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The fields of the query.
    pub query: BTreeMap<String, String>,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What is answered.
pub(crate) enum Reply {
    /// A status, headers and a whole body.
    Whole(u16, Vec<(String, String)>, Vec<u8>),
    /// A status, headers and a body with this framing, of which only half is sent unless it ends as whole.
    Framed(u16, Vec<(String, String)>, Vec<u8>, Framing, Finish),
    /// A stream with this framing: headers, then pieces with a pause before each; and how it ends.
    Stream(
        Vec<(String, String)>,
        Vec<(Duration, String)>,
        Framing,
        Finish,
    ),
    /// The head of a stream with these headers and no event, or nothing at all. Calls the function when the other side
    /// closes the connection.
    Stalled(Option<Vec<(String, String)>>, Box<dyn FnOnce() + Send>),
    /// Bytes, and then others again and again until the other side closes the connection.
    Endless(Vec<u8>, Vec<u8>),
    /// These bytes.
    Bytes(Vec<u8>),
    /// These bytes, behind which the connection is closed.
    Part(Vec<u8>),
    /// Nothing: the connection is closed.
    Nothing,
    /// An answer, and a copy that follows it late.
    Followed(Box<Reply>, Late),
}

/// Bytes that are written when the next request of their connection has come.
#[derive(Default)]
pub(crate) struct Late {
    /// The bytes.
    pub(crate) bytes: Vec<u8>,
    /// The pause between their halves; none where they are written at once.
    pub(crate) pause: Option<Duration>,
    /// Counts the requests that they meet.
    pub(crate) met: Arc<AtomicUsize>,
}

impl Late {
    /// Writes them, where there are any. A connection that the other side has closed meanwhile shows at the answer.
    fn write(&self, mut stream: &TcpStream) {
        if self.bytes.is_empty() {
            return;
        }
        self.met.fetch_add(1, Ordering::Relaxed);
        let first = self
            .pause
            .map_or(self.bytes.len(), |_| self.bytes.len() / 2);
        let _ = stream.write_all(&self.bytes[..first]);
        if let Some(pause) = self.pause {
            thread::sleep(pause);
            let _ = stream.write_all(&self.bytes[first..]);
        }
    }
}

/// Headers as they are kept.
pub(crate) fn owned(headers: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    headers.iter().map(owned).collect()
}

impl Reply {
    /// Adds headers to an answer that has a head of its own.
    pub(crate) fn add_headers(&mut self, more: &[(String, String)]) {
        match self {
            Self::Whole(_, headers, _)
            | Self::Framed(_, headers, ..)
            | Self::Stream(headers, ..)
            | Self::Stalled(Some(headers), _) => headers.extend_from_slice(more),
            Self::Followed(reply, _) => reply.add_headers(more),
            Self::Stalled(None, _)
            | Self::Endless(..)
            | Self::Bytes(_)
            | Self::Part(_)
            | Self::Nothing => {}
        }
    }

    /// The bytes of an answer with a status, headers and a whole body.
    pub(crate) fn bytes(status: u16, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
            body.len()
        );
        append(&mut head, headers);
        [head.as_bytes(), body].concat()
    }
}

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    /// As its framing says.
    Whole,
    /// In the middle, with the end of the connection.
    Closed,
    /// In the middle, with a reset of the connection.
    Reset,
}

/// Serves every connection to an address on a thread of its own until the process ends. Returns where it listens.
pub(crate) fn serve<F>(address: SocketAddr, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(&Asked) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || converse(&stream, handler.as_ref()));
        }
    });
    Ok(address)
}

/// Answers requests on one connection until it ends. An error ends it, which the other side sees.
fn converse<F: Fn(&Asked) -> Reply>(stream: &TcpStream, handler: &F) {
    let mut reader = BufReader::new(stream);
    // Each write leaves at once: an answer's body does not wait until its head is acknowledged, nor half of a copy.
    let _ = stream.set_nodelay(true);
    let mut late = Late::default();
    while let Some(asked) = read(&mut reader) {
        std::mem::take(&mut late).write(stream);
        let reply = match handler(&asked) {
            Reply::Followed(reply, copy) => {
                late = copy;
                *reply
            }
            reply => reply,
        };
        if answer(stream, reply).is_none() {
            return;
        }
    }
}

fn read(reader: &mut BufReader<&TcpStream>) -> Option<Asked> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let fields = form_urlencoded::parse(query.as_bytes());
    let mut asked = Asked {
        method,
        path: path.to_owned(),
        query: fields.into_owned().collect(),
        ..Asked::default()
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        asked
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = asked
        .headers
        .get("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    asked.body = vec![0; length];
    reader.read_exact(&mut asked.body).ok()?;
    Some(asked)
}

/// Writes an answer; none where the connection is over.
fn answer(mut stream: &TcpStream, reply: Reply) -> Option<()> {
    match reply {
        Reply::Nothing => None,
        Reply::Bytes(bytes) => stream.write_all(&bytes).ok(),
        Reply::Part(bytes) => {
            stream.write_all(&bytes).ok()?;
            None
        }
        Reply::Whole(status, headers, body) => stream
            .write_all(&Reply::bytes(status, &headers, &body))
            .ok(),
        Reply::Endless(first, again) => {
            let times = (ENDLESS_PIECE / again.len()).max(1);
            let piece = again.repeat(times);
            stream.write_all(&first).ok()?;
            while stream.write_all(&piece).is_ok() {}
            None
        }
        // Its copy was taken out before.
        Reply::Followed(reply, _) => answer(stream, *reply),
        Reply::Stalled(headers, closed) => {
            let head = headers.as_deref().map(stream_head).unwrap_or_default();
            stream.write_all(head.as_bytes()).ok()?;
            // The caller sends nothing more, so that a read returns when the connection ends, with or without an error.
            let _ = stream.read(&mut [0]);
            closed();
            None
        }
        Reply::Framed(status, headers, body, framing, finish) => {
            let framed = match framing {
                Framing::Length => format!("Content-Length: {}", body.len()),
                Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
                Framing::Connection => "Connection: close".to_owned(),
            };
            let mut head = format!("HTTP/1.1 {status} Status\r\n{framed}\r\n");
            append(&mut head, &headers);
            stream.write_all(head.as_bytes()).ok()?;
            let sent = match finish {
                Finish::Whole => body.len(),
                Finish::Closed | Finish::Reset => body.len() / 2,
            };
            write_piece(stream, &body[..sent], framing)?;
            end(stream, framing, finish)
        }
        Reply::Stream(headers, pieces, framing, finish) => {
            let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
            head.push_str(match framing {
                Framing::Connection => "Connection: close\r\n",
                Framing::Length | Framing::Chunked => "Transfer-Encoding: chunked\r\n",
            });
            append(&mut head, &headers);
            stream.write_all(head.as_bytes()).ok()?;
            for (pause, piece) in pieces {
                thread::sleep(pause);
                write_piece(stream, piece.as_bytes(), framing)?;
            }
            end(stream, framing, finish)
        }
    }
}

/// Writes a piece of a body.
fn write_piece(mut stream: &TcpStream, piece: &[u8], framing: Framing) -> Option<()> {
    if framing != Framing::Chunked {
        return stream.write_all(piece).ok();
    }
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk).ok()
}

/// Ends a body; none where the connection is over with it.
fn end(mut stream: &TcpStream, framing: Framing, finish: Finish) -> Option<()> {
    match (finish, framing) {
        (Finish::Whole, Framing::Chunked) => stream.write_all(b"0\r\n\r\n").ok(),
        (Finish::Whole, Framing::Length) => Some(()),
        (Finish::Reset, _) => {
            // What was sent arrives before the reset, as it does where a server crashes some time after it.
            thread::sleep(BEFORE_RESET);
            // A connection that is over already needs none.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            None
        }
        (Finish::Whole | Finish::Closed, _) => None,
    }
}

/// Returns the head of a stream.
fn stream_head(headers: &[(String, String)]) -> String {
    let mut head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
            .to_owned();
    append(&mut head, headers);
    head
}

fn append(head: &mut String, headers: &[(String, String)]) {
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            head.push_str(part);
        }
    }
    head.push_str("\r\n");
}
