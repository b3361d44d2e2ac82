//! The reader thread's side of an exchange: an HTTP client on an event loop of its own, which hands its answer over in pieces.

use crate::error::{Error, Result};
use crate::http::{Head, Request};
use crate::unit::Endpoint;
use bytes::Bytes;
use dahliastile_body::Framing;
use flume::Sender;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout_at;

/// Longest piece handed over at once.
const PIECE_BYTES: usize = 8 * 1024;

/// Longest head of an answer, with the interim answers before it.
const HEAD_BYTES: usize = 32 * 1024;

/// One message from the reader thread to the calling thread.
pub(crate) enum Message {
    /// The head of the answer.
    Head(Head),
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The end of a body with this framing.
    End(Framing),
}

/// The calling thread has stopped listening.
struct Deaf;

/// Why the reader stops before the end of the body.
enum Stop {
    /// The exchange failed.
    Failed(Error),
    /// Nobody listens any more.
    Deaf,
}

impl From<Deaf> for Stop {
    fn from(Deaf: Deaf) -> Self {
        Self::Deaf
    }
}

impl From<Error> for Stop {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Sends a request and passes its answer on until the end, a failure, or the listener's leaving.
pub(crate) fn run(request: Request, messages: &Sender<Result<Message>>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => {
            let tasks = LocalSet::new();
            tasks.block_on(&runtime, until_deadline(request, messages))
        }
        Err(error) => Err(Error::Unsent(error.to_string()).into()),
    };
    if let Err(Stop::Failed(error)) = result {
        // A listener that has left needs no report.
        let _ = messages.send(Err(error));
    }
}

async fn until_deadline(
    request: Request,
    messages: &Sender<Result<Message>>,
) -> std::result::Result<(), Stop> {
    let deadline = request.deadline;
    if Instant::now() >= deadline {
        return Err(Error::Unsent("the deadline has passed".into()).into());
    }
    timeout_at(deadline.into(), exchange(request, messages))
        .await
        .unwrap_or(Err(Error::Timeout.into()))
}

async fn exchange(
    request: Request,
    messages: &Sender<Result<Message>>,
) -> std::result::Result<(), Stop> {
    let is_head_request = request.method == "HEAD";
    let streaming = request.streaming;
    let (head, body) = open(request).await?;
    let is_bodiless = is_head_request || matches!(head.status.as_u16(), 204 | 304);
    post(messages, Message::Head(read_head(&head)?))?;
    let framing = if is_bodiless {
        Framing::Length
    } else {
        let framing = framing(&head.headers)?;
        pass_body(body, streaming, messages).await?;
        framing
    };
    post(messages, Message::End(framing))?;
    Ok(())
}

fn post(messages: &Sender<Result<Message>>, message: Message) -> std::result::Result<(), Deaf> {
    messages.send(Ok(message)).map_err(|_| Deaf)
}

/// Sends the request and reads the head of the answer.
async fn open(request: Request) -> Result<(response::Parts, Incoming)> {
    let Request {
        endpoint, start_by, ..
    } = request;
    let is_too_late = || start_by.is_some_and(|start_by| Instant::now() >= start_by);
    let too_late = || Error::Unsent("the time to start has passed".into());
    let mut request = build(request)?;
    let has_interim = Arc::new(AtomicBool::new(false));
    let saw_interim = has_interim.clone();
    on_informational(&mut request, move |_| {
        saw_interim.store(true, Ordering::Relaxed);
    });
    if is_too_late() {
        return Err(too_late());
    }
    let stream = connect(endpoint).await?;
    let read = Rc::new(Cell::new(Read::default()));
    let stream = TokioIo::new(Counted {
        stream,
        read: read.clone(),
    });
    let handshake = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(HEAD_BYTES)
        .handshake(stream)
        .await;
    let (mut sender, connection) = handshake.map_err(|error| Error::Unsent(error.to_string()))?;
    // An error of the connection reaches the request that uses it.
    tokio::task::spawn_local(async move { drop(connection.await) });
    // The last step before the first byte: a pause of this thread may have outlasted a grant.
    if is_too_late() {
        return Err(too_late());
    }
    let answer = sender.send_request(request).await.map_err(|error| {
        let text = error.to_string();
        match read.get().bytes {
            0 => Error::ResetBefore(text),
            _ => Error::Broken(text),
        }
    })?;
    // No request asks for one, so that what follows may be the answer to another.
    if has_interim.load(Ordering::Relaxed) {
        return Err(Error::Broken("an interim answer".into()));
    }
    read.set(Read {
        is_head_read: true,
        ..read.get()
    });
    Ok(answer.into_parts())
}

async fn connect(endpoint: Endpoint) -> Result<TcpStream> {
    let stream = TcpStream::connect(SocketAddr::V4(endpoint.0)).await;
    let stream = stream.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => Error::Refused,
        ErrorKind::TimedOut => Error::Timeout,
        _ => Error::ResetBefore(error.to_string()),
    })?;
    // One that can't be set so still works.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// The request as the library takes it.
fn build(request: Request) -> Result<http::Request<Full<Bytes>>> {
    let unsent = |what: &str| Error::Unsent(format!("malformed {what}"));
    let method = Method::from_bytes(request.method.as_bytes()).map_err(|_| unsent("method"))?;
    let target = request.path.parse::<Uri>().map_err(|_| unsent("path"))?;
    let host = HeaderValue::from_str(&request.endpoint.to_string());
    let body = request.body.unwrap_or_default();
    // A server waits for the body of these where no length says that there is none.
    let says_empty =
        body.is_empty() && [Method::POST, Method::PUT, Method::PATCH].contains(&method);
    let mut built = http::Request::new(Full::from(body));
    *built.method_mut() = method;
    *built.uri_mut() = target;
    let headers = built.headers_mut();
    headers.insert(HOST, host.map_err(|_| unsent("host"))?);
    if says_empty {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(0));
    }
    for (name, value) in &request.headers {
        let header = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        let (Ok(header), Ok(value)) = (header, value) else {
            return Err(unsent(&format!("header {name:?}")));
        };
        headers.append(header, value);
    }
    Ok(built)
}

/// Takes the head of an answer.
fn read_head(head: &response::Parts) -> Result<Head> {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let headers = head.headers.iter();
    match head.status.as_u16() {
        status @ 200..=599 => Ok(Head {
            status,
            headers: headers
                .map(|(name, value)| (name.as_str().to_owned(), text(value)))
                .collect(),
        }),
        status => Err(Error::Broken(format!("status {status}"))),
    }
}

/// Passes the body on: that of a stream as it comes, others in full pieces.
async fn pass_body(
    mut body: Incoming,
    streaming: bool,
    messages: &Sender<Result<Message>>,
) -> std::result::Result<(), Stop> {
    let mut piece = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        // Trailers say nothing that is used.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        piece.extend_from_slice(&data);
        while piece.len() >= PIECE_BYTES {
            let rest = piece.split_off(PIECE_BYTES);
            post(messages, Message::Data(std::mem::replace(&mut piece, rest)))?;
        }
        if streaming && !piece.is_empty() {
            post(messages, Message::Data(std::mem::take(&mut piece)))?;
        }
    }
    if !piece.is_empty() {
        post(messages, Message::Data(piece))?;
    }
    Ok(())
}

/// How the head says where the body ends.
fn framing(headers: &HeaderMap) -> Result<Framing> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let (coding, other) = (codings.next(), codings.next());
    let coding = coding.map(|value| value.to_str().unwrap_or_default().trim());
    match coding {
        None => Ok(Framing::of(None, headers.contains_key(CONTENT_LENGTH))),
        Some(coding) if other.is_none() && coding.eq_ignore_ascii_case("chunked") => {
            Ok(Framing::Chunked)
        }
        Some(coding) => Err(Error::Broken(format!("transfer encoding {coding:?}"))),
    }
}

/// What has been read of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Read {
    /// The bytes.
    bytes: usize,
    /// Whether the head of the answer was among them.
    is_head_read: bool,
}

/// A connection that brings a bounded number of bytes before the head of the answer ends.
struct Counted {
    stream: TcpStream,
    read: Rc<Cell<Read>>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let mut read = self.read.get();
        read.bytes += buffer.filled().len() - before;
        self.read.set(read);
        // The last read may hold the whole head and a part of the body.
        if read.bytes > 2 * HEAD_BYTES && !read.is_head_read {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        poll
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
