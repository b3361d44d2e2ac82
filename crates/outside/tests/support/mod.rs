//! Scripted TCP servers: each connection gets exact bytes, then its end.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of this module"
)]

use dahliastile_outside::Endpoint;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Long enough that no test gets near it.
pub const AMPLE: Duration = Duration::from_secs(30);

/// How a scripted connection ends.
#[derive(Clone, Copy)]
pub enum End {
    /// Closed in order.
    Close,
    /// Closed with request bytes unread, which makes the system send a reset.
    Reset,
    /// Held open until the client closes it.
    Hold,
}

/// One scripted connection: the pieces to write, one write each, and the end.
pub struct Script {
    pub pieces: Vec<Vec<u8>>,
    pub end: End,
}

/// A script of one piece that closes.
pub fn closes(bytes: impl Into<Vec<u8>>) -> Script {
    Script {
        pieces: vec![bytes.into()],
        end: End::Close,
    }
}

/// An answer with its length.
pub fn answer(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The head of an answer in chunks.
pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk.
pub fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// A server that plays one script for each connection, in order, and then refuses connections.
pub struct Server {
    pub endpoint: Endpoint,
    requests: Arc<Mutex<Vec<String>>>,
    thread: JoinHandle<()>,
}

impl Server {
    pub fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = endpoint(listener.local_addr().unwrap());
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        let thread = thread::spawn(move || {
            for script in scripts {
                let (stream, _) = listener.accept().unwrap();
                play(stream, &script, &seen);
            }
        });
        Self {
            endpoint,
            requests,
            thread,
        }
    }

    /// Waits until all scripts have been played; gives the requests as text.
    pub fn join(self) -> Vec<String> {
        self.thread.join().unwrap();
        std::mem::take(&mut self.requests.lock().unwrap())
    }
}

/// An address on which nothing listens: the near end of a connection, so that it stays taken.
pub struct Nobody {
    pub endpoint: Endpoint,
    _near: TcpStream,
    _listener: TcpListener,
}

impl Nobody {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let endpoint = endpoint(near.local_addr().unwrap());
        Self {
            endpoint,
            _near: near,
            _listener: listener,
        }
    }
}

/// A server that takes connections and never reads from them.
pub struct Listener {
    pub endpoint: Endpoint,
    listener: TcpListener,
}

impl Listener {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            endpoint: endpoint(listener.local_addr().unwrap()),
            listener,
        }
    }

    /// Whether nobody has connected.
    pub fn is_untouched(&self) -> bool {
        self.listener
            .accept()
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

fn endpoint(address: SocketAddr) -> Endpoint {
    match address {
        SocketAddr::V4(address) => Endpoint(address),
        SocketAddr::V6(address) => panic!("{address}"),
    }
}

fn play(mut stream: TcpStream, script: &Script, seen: &Mutex<Vec<String>>) {
    if matches!(script.end, End::Reset) {
        // One byte shows that the request has come; the rest stays unread.
        stream.read_exact(&mut [0]).unwrap();
    } else {
        let request = read_request(&mut stream);
        seen.lock().unwrap().push(request);
    }
    stream.set_nodelay(true).unwrap();
    for piece in &script.pieces {
        // The client may have left on purpose.
        let _ = stream.write_all(piece);
    }
    if matches!(script.end, End::Hold) {
        let _ = stream.read(&mut [0]);
    }
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        request.push(byte[0]);
    }
    let head = String::from_utf8(request.clone())
        .unwrap()
        .to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
    request.extend(body);
    String::from_utf8(request).unwrap()
}
