//! The head of a request, checked before the HTTP library sees it.
//!
//! The library answers a malformed head with an empty body, keeps heads of any length, and sets aside as much
//! memory as `Content-Length` announces when a body is not read to its end. So heads are held to the limits, and
//! to the plain form of the standard, before they are passed on.

use dahliastile_core::error::{Answer, Kind};
use dahliastile_core::time::Span;

/// A request that is refused before the HTTP library sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The kind.
    pub(crate) kind: Kind,
    /// One sentence for a person.
    pub(crate) detail: String,
}

impl Refusal {
    /// The refusal of a request of which the VM reads no more, as it stops.
    pub(crate) fn stopping() -> Self {
        Self {
            kind: Kind::ShuttingDown,
            detail: "this VM stopped before the request was whole".to_owned(),
        }
    }

    /// The refusal of a request for which there is no room beside those of others.
    pub(crate) fn no_room() -> Self {
        Self {
            kind: Kind::QueueFull,
            detail: "too much is being sent at once".to_owned(),
        }
    }

    /// What the caller is told.
    pub(crate) fn answer(self) -> Answer {
        match self.kind {
            Kind::ShuttingDown => Answer::shutting_down(self.detail),
            Kind::QueueFull | Kind::NotReady => {
                Answer::new(self.kind, self.detail).after(Span::from_secs(1))
            }
            kind => Answer::new(kind, self.detail),
        }
    }
}

/// A head that is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// Its bytes, without what the library must not see.
    pub(crate) bytes: Vec<u8>,
    /// The length of the body that follows.
    pub(crate) body: usize,
    /// Whether the caller may wait for a word before it sends the body.
    pub(crate) expects: bool,
    /// Its bearer token.
    pub(crate) token: Option<String>,
}

impl Head {
    /// Whether its body is read as JSON.
    pub(crate) fn is_json(&self) -> bool {
        const COMPLETIONS: &[u8] = b"POST /v1/";
        self.bytes.starts_with(COMPLETIONS)
    }
}

/// The size of a head and its closing empty line at the start of `bytes`, once it is there.
pub(crate) fn end(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    newlines
        .map(|(at, _)| at)
        .find_map(|at| match &bytes[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
}

/// Checks a head and says what to pass on.
pub(crate) fn check(bytes: &[u8], most_body: usize) -> Result<Head, Refusal> {
    let text = std::str::from_utf8(bytes)
        .ok()
        .filter(|text| text.is_ascii())
        .ok_or_else(|| bad("the head holds bytes outside ASCII"))?;
    let lines = text
        .strip_suffix("\r\n\r\n")
        .ok_or_else(|| bad("lines end with CR LF"))?;
    let mut lines = lines.split("\r\n");
    let request = lines.next().unwrap_or_default();
    request_line(request)?;
    let mut kept = format!("{request}\r\n");
    let mut length = None;
    let mut expects = false;
    let mut token = None;
    for line in lines {
        let (name, value) = header(line)?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" if length.is_some() => {
                return Err(bad("Content-Length is given twice"));
            }
            "content-length" => {
                length = Some(content_length(value, most_body)?);
            }
            "transfer-encoding" => {
                return Err(bad("send the body with Content-Length"));
            }
            "expect" if !value.eq_ignore_ascii_case("100-continue") => {
                return Err(bad("the only expectation known is 100-continue"));
            }
            // The library would hand the rest of the connection over to a protocol that nobody speaks.
            "upgrade" => continue,
            "connection" if value.to_ascii_lowercase().contains("upgrade") => continue,
            // The gate gives the word itself.
            "expect" => {
                expects = true;
                continue;
            }
            "authorization" if token.is_none() => token = bearer(value).map(str::to_owned),
            _ => {}
        }
        kept.push_str(line);
        kept.push_str("\r\n");
    }
    kept.push_str("\r\n");
    Ok(Head {
        bytes: kept.into_bytes(),
        body: length.unwrap_or(0),
        expects,
        token,
    })
}

/// The token in the value of an `Authorization` header.
pub(super) fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

fn bad(detail: &str) -> Refusal {
    Refusal {
        kind: Kind::BadRequest,
        detail: detail.to_owned(),
    }
}

fn request_line(line: &str) -> Result<(), Refusal> {
    let parts: Vec<&str> = line.split(' ').collect();
    match parts.as_slice() {
        [method, _, _] if !is_token(method) => Err(bad("the method is malformed")),
        [_, path, _] if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) => {
            Err(bad("the path is malformed"))
        }
        [_, _, "HTTP/1.1" | "HTTP/1.0"] => Ok(()),
        [_, _, _] => Err(bad("only HTTP/1.1 and HTTP/1.0 are spoken here")),
        _ => Err(bad("the request line is malformed")),
    }
}

fn header(line: &str) -> Result<(&str, &str), Refusal> {
    let is_value = |value: &str| value.bytes().all(|b| b == b'\t' || !b.is_ascii_control());
    match line.split_once(':') {
        Some((name, value)) if is_token(name) && is_value(value) => Ok((name, value.trim())),
        _ => Err(bad("a header is malformed")),
    }
}

fn content_length(value: &str, most: usize) -> Result<usize, Refusal> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    match value.parse::<usize>() {
        _ if !digits => Err(bad("Content-Length is not a number")),
        Ok(length) if length <= most => Ok(length),
        // A number too large for the machine is too large for the limit, too.
        Ok(_) | Err(_) => Err(Refusal {
            kind: Kind::BodyTooLarge,
            detail: format!("a body has at most {most} bytes"),
        }),
    }
}

fn is_token(text: &str) -> bool {
    let is_symbol = |b| b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || is_symbol(b))
}
