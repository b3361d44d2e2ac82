//! A daemon among stand-ins, and a caller that writes bytes to a socket as it likes.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use dahliastile_daemon::{Daemon, Settings};
use dahliastile_standin::engine::{self, Engine};
use dahliastile_standin::kv::{self, Kv};
use dahliastile_standin::plain::{self, Plain};
use dahliastile_standin::vms::{self, Vms};
use dahliastile_standin::{Host, Service};
use serde_json::{Value, json};

/// The caller's token.
pub(crate) const TOKEN: &str = "skipper";

/// The operators' token.
pub(crate) const OPERATOR: &str = "operator";

/// The adapter in the configuration.
pub(crate) const MODEL: &str = "lock@3";

/// Bounds every wait of a test; none is expected to come near it.
const AMPLE: Duration = Duration::from_secs(30);

/// The stand-ins around daemons.
pub(crate) struct Site {
    /// The key-value service.
    pub(crate) kv: kv::Server,
    /// The list of entry VMs.
    pub(crate) vms: vms::Server,
    /// The engine.
    pub(crate) engine: engine::Server,
    /// The plain service's server.
    pub(crate) plain: plain::Server,
}

fn host<S: Service>(service: S) -> Host<S> {
    Host::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), service).unwrap()
}

impl Site {
    /// Starts all stand-ins.
    pub(crate) fn start() -> Self {
        Self {
            kv: host(Kv::new(kv::Settings::default())),
            vms: host(Vms::new(Vec::new(), Duration::ZERO)),
            engine: host(Engine::new(engine::Settings::default())),
            plain: host(Plain::default()),
        }
    }

    /// The settings file of a daemon at this site.
    pub(crate) fn text(&self) -> String {
        let hash = blake3::hash(OPERATOR.as_bytes());
        format!(
            "vm: entry-1\nzone: botlek\n\
             listen: {{ callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' }}\n\
             platform: {{ endpoints: ['{}'], vms: '{}' }}\n\
             operators: {{ token_hash: {hash} }}\n\
             peers: {{ secret: a secret of the whole fleet }}\n\
             log: {{ level: 'off' }}\n",
            self.kv.address(),
            self.vms.address(),
        )
    }

    /// The settings of a daemon at this site.
    pub(crate) fn settings(&self, more: &[&str]) -> Settings {
        let text = self.text();
        let more: Vec<String> = more.iter().map(|text| (*text).to_owned()).collect();
        Settings::parse(&text, &more).unwrap()
    }

    /// A daemon at this site.
    pub(crate) fn daemon(&self, more: &[&str]) -> Daemon {
        Daemon::start(&self.settings(more)).unwrap()
    }

    /// The edit that makes the first configuration.
    pub(crate) fn first_edit(&self) -> Value {
        let hash = blake3::hash(TOKEN.as_bytes()).to_hex();
        json!({ "edit": { "id": "first", "author": "test", "base": 0, "changes": [
            { "put_caller": { "name": "skipper", "tenant": "barges", "token_hash": hash.as_str() } },
            { "put_service": { "name": "plans", "kind": "model", "store": "weights" } },
            { "put_service": { "name": "berths", "kind": "plain" } },
            { "put_server": {
                "name": "engine-1", "service": "plans", "zone": "botlek",
                "address": self.engine.address(), "domain": "plans-botlek",
            } },
            { "put_server": {
                "name": "berths-1", "service": "berths", "zone": "botlek",
                "address": self.plain.address(),
            } },
            { "put_adapter": { "name": "lock", "service": "plans", "versions": ["3"] } },
        ] } })
    }

    /// Puts the first configuration in force.
    pub(crate) fn configure(&self, daemon: &Daemon) {
        let address = daemon.addresses().operators;
        let answer = post_operator(address, &self.first_edit());
        assert_eq!(answer.status, 200, "{}", answer.text());
        until(|| get(address, "/readyz").status == 200);
    }
}

/// Waits until a condition holds. Each look is an exchange with the daemon, which paces the loop.
pub(crate) fn until(mut condition: impl FnMut() -> bool) {
    let begun = std::time::Instant::now();
    while !condition() {
        assert!(begun.elapsed() < AMPLE, "the condition never held");
        std::thread::yield_now();
    }
}

/// An answer as it came.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: u16,
    /// The head.
    pub(crate) head: String,
    /// The body, without its framing.
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| {
            panic!("{error} in {:?}", self.text());
        })
    }

    /// The kind and `ran` of an error.
    pub(crate) fn error(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (text("kind"), text("ran"))
    }
}

/// Opens a connection.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(AMPLE)).unwrap();
    stream
}

/// Writes bytes and reads what comes until the daemon closes.
pub(crate) fn raw(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    parse(&answer)
}

/// Takes an answer apart.
pub(crate) fn parse(answer: &[u8]) -> Reply {
    let end = answer
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .unwrap_or_else(|| panic!("no head in {:?}", String::from_utf8_lossy(answer)));
    let head = String::from_utf8(answer[..end].to_vec()).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let rest = &answer[end + 4..];
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = if chunked {
        unchunk(rest)
    } else {
        rest.to_vec()
    };
    Reply { status, head, body }
}

/// Takes the framing off; panics where the last chunk is missing.
fn unchunk(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|b| b == b"\r\n").expect("a chunk");
        let size = std::str::from_utf8(&rest[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        rest = &rest[line + 2..];
        if size == 0 {
            assert_eq!(rest, b"\r\n", "the end of the chunks");
            return body;
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}

/// A request with a token and a body.
pub(crate) fn request(method: &str, path: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// The header with the caller's token.
pub(crate) fn bearer() -> String {
    format!("Authorization: Bearer {TOKEN}")
}

/// Sends a request with the caller's token.
pub(crate) fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Reply {
    let bearer = bearer();
    let mut all = vec![bearer.as_str()];
    all.extend(headers);
    raw(address, &request(method, path, &all, body))
}

/// Sends an operator's command.
pub(crate) fn post_operator(address: SocketAddr, command: &Value) -> Reply {
    let bearer = format!("Authorization: Bearer {OPERATOR}");
    let body = command.to_string();
    raw(address, &request("POST", "/operator", &[&bearer], &body))
}

/// Reads a page of the operators' listener.
pub(crate) fn get(address: SocketAddr, path: &str) -> Reply {
    let bearer = format!("Authorization: Bearer {OPERATOR}");
    raw(address, &request("GET", path, &[&bearer], ""))
}
