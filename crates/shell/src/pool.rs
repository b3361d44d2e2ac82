//! Connections to servers, kept between requests.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::num::{IntErrorKind, ParseIntError};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use dahliastile_gateway::event::ProbeResult;
use http::{Method, Request, Response, response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::dialect::Echo;
use crate::intake::RECEIVE_BUFFER;
use crate::reader::{Content, Meter, Metered};
use crate::screen;

/// How long a connection may take to be made. A round trip between zones takes some milliseconds; a first packet that
/// was lost is sent again after a second, which a caller can't wait for.
const CONNECT: Duration = Duration::from_millis(400);

/// How long an idle connection is kept where the server does not say how long it keeps it.
const IDLE: Duration = Duration::from_secs(4);

/// The longest time that an idle connection is kept, however long the server keeps it.
const LONGEST_IDLE: Duration = Duration::from_mins(10);

/// How much sooner than the server a connection is given up, so that a request never crosses its end.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How long the other side may leave bytes unacknowledged before the connection is broken.
pub(crate) const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// How long a silent connection waits for its first keep-alive probe, and for each next one.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Keep-alive probes without an answer that break a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// The largest buffer that the HTTP library takes for what a connection brings, in bytes; no head of an answer is longer.
pub(crate) const BUFFER: usize = 16 * 1024;

/// The most requests that one connection takes, so that what it remembers of them is bounded.
const REQUESTS_PER_CONNECTION: usize = 256;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing was sent.
    NotSent,
    /// The connection broke after something was sent.
    Broken,
    /// The answer can't be read.
    Malformed,
    /// No answer came in time.
    Timeout,
    /// The answer is not to this call, as far as can be told.
    Unmatched,
    /// More bytes came than an answer has.
    Oversized,
}

/// Which call an answer is to, as its head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The call that was sent last on its connection.
    This,
    /// Another call.
    Other,
    /// It does not say.
    Unknown,
}

/// How the answer to a request is told from other answers on its connection, where the other side may send an answer twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Mark {
    /// By what it repeats of the request. No connection takes two requests with the same mark.
    Echo(Echo),
    /// By nothing: the connection takes this request only.
    None,
    /// The other side answers each request once.
    InOrder,
}

impl Mark {
    /// The mark of a request of which the answer repeats this.
    pub(crate) fn of(echo: Option<Echo>) -> Self {
        echo.map_or(Self::None, Self::Echo)
    }

    /// What the answer repeats.
    fn echo(&self) -> Option<&Echo> {
        match self {
            Self::Echo(echo) => Some(echo),
            Self::None | Self::InOrder => None,
        }
    }
}

/// A connection that belongs to one request. Dropping it closes it, unless it is given back.
pub(crate) struct Connection {
    /// Sends requests.
    sender: SendRequest<Full<Bytes>>,
    /// Ends the task that drives it.
    driver: AbortHandle,
    /// Whether the task is ended when this is dropped.
    owned: bool,
    /// What it brings.
    meter: Rc<Meter>,
    /// Where it goes back to.
    address: SocketAddr,
    /// When it can no longer be used.
    expires: Instant,
    /// The number of answers that it has brought.
    exchanges: u32,
    /// Whether it can take further requests.
    is_reusable: bool,
}

impl Connection {
    /// The number of answers that it has brought and that were read whole.
    pub(crate) fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// Whether the answer to a request with this mark would be told from others on it.
    fn takes(&self, mark: &Mark) -> bool {
        match mark {
            Mark::Echo(echo) => !self.meter.screen().borrow().has_sent(echo),
            Mark::None => self.exchanges == 0,
            Mark::InOrder => true,
        }
    }

    /// Prepares it for a request with this mark.
    fn prepare(&mut self, mark: &Mark, method: &Method) {
        self.meter.reset();
        match mark {
            Mark::Echo(echo) => {
                // The head of an answer to `HEAD` has a length and no body, and so has a late copy of it.
                let can_tell_copies = *method != Method::HEAD;
                self.is_reusable &= can_tell_copies;
                self.meter
                    .screen()
                    .borrow_mut()
                    .record(echo, can_tell_copies);
            }
            Mark::None => self.is_reusable = false,
            Mark::InOrder => {}
        }
        self.is_reusable &= self.meter.screen().borrow().requests() < REQUESTS_PER_CONNECTION;
    }

    /// The heads of late copies that came before the answer to the last request. No further request is sent on
    /// a connection that has brought one.
    pub(crate) fn passed_over(&mut self) -> Vec<response::Parts> {
        let heads = self.meter.screen().borrow_mut().removed();
        self.is_reusable &= heads.is_empty();
        heads
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.owned {
            self.driver.abort();
        }
    }
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The address of the server.
    pub(crate) address: SocketAddr,
    /// The address of the VM that carries the request there; none for this VM's own path.
    pub(crate) via: Option<SocketAddr>,
}

impl Target {
    /// A server, reached over this VM's own path.
    pub(crate) fn directly(address: SocketAddr) -> Self {
        Self { address, via: None }
    }

    /// The address to connect to.
    fn next(self) -> SocketAddr {
        self.via.unwrap_or(self.address)
    }
}

/// Connections by address.
#[derive(Clone, Default)]
pub struct Pool {
    /// The idle ones, the last used last.
    idle: Rc<RefCell<FxHashMap<SocketAddr, Vec<Connection>>>>,
    /// The address that connections come from; none where the system chooses it.
    source: Option<IpAddr>,
}

impl Pool {
    /// Connections that come from an address, by which other VMs know this one.
    pub(crate) fn from(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Whether a server takes connections.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeResult {
        accepted(&open(address, self.source).await)
    }

    /// Sends a request on a kept connection, or on a new one, and says whether the other side accepted that.
    pub(crate) async fn send(
        &self,
        target: Target,
        mark: Mark,
        mut request: Request<Full<Bytes>>,
        report: impl Fn(ProbeResult),
    ) -> Result<(response::Parts, Content, Connection), Fault> {
        let address = target.next();
        loop {
            let mut connection = if let Some(connection) = self.take(address, &mark) {
                connection
            } else {
                let stream = open(address, self.source).await;
                report(accepted(&stream));
                handshake(address, stream.map_err(|_| Fault::NotSent)?).await?
            };
            connection.prepare(&mark, request.method());
            let meter = connection.meter.clone();
            let sent = connection.sender.try_send_request(request);
            match meter.next(sent).await? {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    if screen::is_spliced(&head, mark.echo()) {
                        return Err(Fault::Unmatched);
                    }
                    return Ok((head, Content::new(body, meter), connection));
                }
                Err(mut error) => match error.take_message() {
                    // Nothing of it was written: another connection can have it.
                    Some(unsent) if connection.exchanges > 0 => request = unsent,
                    Some(_) => return Err(Fault::NotSent),
                    None if error.error().is_parse() => return Err(Fault::Malformed),
                    None => return Err(Fault::Broken),
                },
            }
        }
    }

    /// Gives a connection back whose answer has been read whole.
    pub(crate) fn give(&self, mut connection: Connection, idle: Option<IdleTime>) {
        let has_copies = connection.meter.screen().borrow().has_removed();
        if connection.sender.is_closed() || has_copies || !connection.is_reusable {
            return;
        }
        let kept = idle.map_or(IDLE, IdleTime::until_given_up);
        connection.expires = Instant::now() + kept;
        connection.exchanges = connection.exchanges.saturating_add(1);
        self.idle
            .borrow_mut()
            .entry(connection.address)
            .or_default()
            .push(connection);
    }

    /// Takes the idle connection that was used last of those that can have a request with this mark.
    fn take(&self, address: SocketAddr, mark: &Mark) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|c| c.expires > now && !c.sender.is_closed());
        let at = connections
            .iter()
            .rposition(|c| c.sender.is_ready() && c.takes(mark))?;
        Some(connections.remove(at))
    }
}

/// Opens a connection.
async fn open(address: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let connect = async {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        if let Some(source) = source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(address).await
    };
    tokio::time::timeout(CONNECT, connect).await?
}

/// Whether the other side accepted a connection.
fn accepted(stream: &std::io::Result<TcpStream>) -> ProbeResult {
    match stream {
        Ok(_) => ProbeResult::Listens,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refuses,
        // No way there, or too many connections here: it says nothing of the server.
        Err(_) => ProbeResult::Silent,
    }
}

async fn handshake(address: SocketAddr, stream: TcpStream) -> Result<Connection, Fault> {
    tune(&stream, UNACKNOWLEDGED);
    let meter = Rc::new(Meter::default());
    let mut builder = http1::Builder::new();
    builder.title_case_headers(true).max_buf_size(BUFFER);
    let stream = TokioIo::new(Metered::new(stream, meter.clone()));
    let handshake = builder.handshake(stream).await;
    let (sender, connection) = handshake.map_err(|_| Fault::NotSent)?;
    // An error of the connection reaches the request that uses it.
    let driver = tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        owned: true,
        meter,
        address,
        expires: Instant::now(),
        exchanges: 0,
        is_reusable: true,
    })
}

/// Has a connection break when the other side is gone without a word, or takes nothing for this time. One that can't be set so
/// still works.
pub(crate) fn tune(stream: &TcpStream, unacknowledged: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// The time for which a server keeps an idle connection, at most [`LONGEST_IDLE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleTime(Duration);

impl IdleTime {
    /// The time that the head of an answer states; none where it states none that can be read.
    pub(crate) fn of(headers: &http::HeaderMap) -> Option<Self> {
        let text = headers.get("keep-alive")?.to_str().ok()?;
        let timeout = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse().ok()
    }

    /// How long this side keeps the connection.
    fn until_given_up(self) -> Duration {
        self.0.saturating_sub(IDLE_MARGIN)
    }
}

impl FromStr for IdleTime {
    type Err = ParseIntError;

    /// Reads whole seconds, of any number of digits.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        match text.trim().parse() {
            Ok(seconds) => Ok(Self(Duration::from_secs(seconds).min(LONGEST_IDLE))),
            Err(error) if *error.kind() == IntErrorKind::PosOverflow => Ok(Self(LONGEST_IDLE)),
            Err(error) => Err(error),
        }
    }
}

/// What the answer to a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time until it is whole.
    pub time: Duration,
    /// The bytes of its body.
    pub bytes: usize,
}

/// Calls with bodies that are read whole.
#[derive(Clone)]
pub struct Client {
    /// The connections.
    pool: Pool,
    /// The last number given to a call.
    last: Rc<Cell<u64>>,
}

impl Client {
    /// A client with connections of its own.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pool: Pool::default(),
            last: Rc::default(),
        }
    }

    /// A number that no other call of this client has.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Calls and reads the whole answer.
    ///
    /// # Errors
    /// Where no whole answer came within the limits.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limits: Limits,
    ) -> Result<Response<Bytes>, Fault> {
        self.call_owned(address, request, limits, |_| Owner::This)
            .await
    }

    /// Calls and reads the whole answer, where the other side may answer an earlier call once more. `owner` reads which call
    /// an answer is to. One that does not say is believed where nothing was sent on its connection before, and its connection
    /// is not used again.
    ///
    /// # Errors
    /// Where no whole answer to this call came within the limits.
    pub async fn call_owned(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limits: Limits,
        owner: impl Fn(&response::Parts) -> Owner,
    ) -> Result<Response<Bytes>, Fault> {
        let call = self.exchange(address, request.map(Full::new), limits.bytes, owner);
        tokio::time::timeout(limits.time, call)
            .await
            .unwrap_or(Err(Fault::Timeout))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: usize,
        owner: impl Fn(&response::Parts) -> Owner,
    ) -> Result<Response<Bytes>, Fault> {
        let target = Target::directly(address);
        let (head, body, connection) = self.pool.send(target, Mark::InOrder, request, drop).await?;
        let owner = match owner(&head) {
            Owner::Other => return Err(Fault::Unmatched),
            Owner::Unknown if connection.exchanges > 0 => return Err(Fault::Unmatched),
            owner => owner,
        };
        let body = body.whole(limit).await?;
        if owner == Owner::This {
            self.pool.give(connection, IdleTime::of(&head.headers));
        }
        Ok(Response::from_parts(head, body))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}
