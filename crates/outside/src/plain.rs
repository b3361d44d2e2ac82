//! Forwarding to plain services.

use crate::cancel::Cancel;
use crate::error::{Error, Result};
use crate::http::{Exchange, Request, Room};
use crate::unit::Endpoint;
use dahliastile_body::Framing;
use dahliastile_intake::Size;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Headers that belong to one connection, or that the client writes itself.
const OWN_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A call to forward.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers; those that belong to one connection are left out when the call is forwarded.
    pub headers: Vec<(String, String)>,
    /// The body, if any.
    pub body: Option<Vec<u8>>,
    /// When it is too late for the first byte to be sent.
    pub start_by: Option<Instant>,
}

/// A service's answer, whatever its status.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, names in lower case, without those that belong to one connection.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// How the body was framed, and thereby whether it is known to be whole.
    pub framing: Framing,
}

impl Answer {
    /// Reads an answer of failure as an error, by which [`Error::NotRun`] is told apart.
    #[must_use]
    pub fn failure(&self) -> Option<Error> {
        match self.status {
            400.. => Some(Error::from_answer(self.status, self.body.clone())),
            _ => None,
        }
    }
}

/// A client of one plain service on one server.
#[derive(Debug, Clone)]
pub struct Client {
    /// The server.
    endpoint: Endpoint,
    /// Longest body taken.
    limit: Size,
}

impl Client {
    /// A client that takes bodies of up to `limit`.
    #[must_use]
    pub fn new(endpoint: Endpoint, limit: Size) -> Self {
        Self { endpoint, limit }
    }

    /// Forwards a call, once, and reads its answer as a whole, as there is room for it.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::NotRun`] and [`Error::Rejected`], as every answer of the service is
    /// handed over. A call that would not be well formed is [`Error::Unsent`].
    pub fn forward(
        &self,
        call: &Call,
        timeout: Duration,
        cancel: &Cancel,
        room: &mut impl Room,
    ) -> Result<Answer> {
        check(call)?;
        let request = Request {
            method: call.method.clone(),
            headers: forwarded(&call.headers),
            body: call.body.clone(),
            start_by: call.start_by,
            ..Request::get(self.endpoint, &call.path, timeout)
        };
        let (head, body, framing) = Exchange::open(request, cancel)?.whole(self.limit.0, room)?;
        let mut headers = head.headers;
        let nominated = headers.remove("connection").unwrap_or_default();
        headers.retain(|name, _| !is_own(name, &nominated));
        Ok(Answer {
            status: head.status,
            headers,
            body,
            framing,
        })
    }
}

/// Refuses what a server would read as something else than the caller wrote.
fn check(call: &Call) -> Result<()> {
    let is_path = call.path.starts_with('/')
        && call
            .path
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'#');
    let is_value = |value: &str| {
        value
            .bytes()
            .all(|byte| byte == b'\t' || !byte.is_ascii_control())
    };
    let bad_header = call
        .headers
        .iter()
        .find(|(name, value)| !is_token(name) || !is_value(value));
    match bad_header {
        _ if !is_token(&call.method) => Err(Error::Unsent("malformed method".into())),
        _ if !is_path => Err(Error::Unsent("malformed path".into())),
        Some((name, _)) => Err(Error::Unsent(format!("malformed header {name:?}"))),
        None => Ok(()),
    }
}

fn is_token(text: &str) -> bool {
    let is_symbol = |byte| b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || is_symbol(byte))
}

/// Whether a header belongs to one connection, by itself or as named by the `Connection` header.
fn is_own(name: &str, nominated: &str) -> bool {
    let nominated = nominated.split(',').map(str::trim);
    let mut own = OWN_HEADERS.into_iter().chain(nominated);
    own.any(|own| own.eq_ignore_ascii_case(name))
}

/// The headers to send, repeated ones joined as the standard allows.
fn forwarded(headers: &[(String, String)]) -> Vec<(String, String)> {
    let connection = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let nominated: Vec<&str> = connection.map(|(_, value)| value.as_str()).collect();
    let nominated = nominated.join(",");
    let mut joined = BTreeMap::<String, String>::new();
    for (name, value) in headers.iter().filter(|(name, _)| !is_own(name, &nominated)) {
        let name = name.to_ascii_lowercase();
        let separator = if name == "cookie" { "; " } else { ", " };
        joined
            .entry(name)
            .and_modify(|all| {
                all.push_str(separator);
                all.push_str(value);
            })
            .or_insert_with(|| value.clone());
    }
    joined.into_iter().collect()
}
