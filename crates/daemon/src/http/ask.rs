//! From a request as it came to what the node is asked: the caller, the target, headers and body.

use std::str::FromStr;
use std::sync::Arc;

use dahliastile_core::View;
use dahliastile_core::error::{Answer, Kind};
use dahliastile_core::event::{Call, Target};
use dahliastile_core::id;
use dahliastile_core::time::Span;
use dahliastile_outside::{engine, plain};
use serde_json::{Map, Value};
use tiny_http::{Method, Request};

use super::head;
use crate::driver::Body;

/// What a caller's request is.
pub(super) enum Ask {
    /// The list of models.
    Models(Arc<View>),
    /// Work for a backend server.
    Work(Box<Call>, Body),
}

/// Where a request goes.
enum Path {
    /// The list of models.
    Models,
    /// A completion.
    Completion(engine::Route),
    /// A plain service, and the path there.
    Service(String, String),
}

/// The path under which plain services are reached.
const SERVICES: &str = "/services/";

/// The longest idempotency key.
const MAX_KEY: usize = 256;

/// The number of tokens of a request that names none, as the admission estimates it.
const TOKENS: u32 = 256;

/// Bytes of a prompt for each token, as the admission estimates it.
const BYTES_PER_TOKEN: usize = 4;

/// The bytes of a prompt that count as its prefix.
const PREFIX: usize = 256;

/// Reads a request.
pub(super) fn read(request: &mut Request, view: &Arc<View>) -> Result<Ask, Answer> {
    let caller = caller(bearer(request), view)?;
    let path = path(request)?;
    match path {
        Path::Models => Ok(Ask::Models(Arc::clone(view))),
        Path::Completion(route) => completion(request, caller, route),
        Path::Service(name, path) => service(request, caller, name, path),
    }
}

/// The caller that the bearer token names. Whoever has none learns nothing else.
pub(super) fn caller(token: Option<&str>, view: &View) -> Result<id::Caller, Answer> {
    let unauthorized = || Answer::new(Kind::Unauthorized, "send a bearer token");
    let token = token.ok_or_else(unauthorized)?;
    if !view.is_ready() {
        let answer = Answer::new(Kind::NotReady, "this VM has no configuration yet");
        return Err(answer.after(Span::from_secs(1)));
    }
    let hash = blake3::hash(token.as_bytes()).to_hex();
    view.callers
        .get(hash.as_str())
        .cloned()
        .ok_or_else(unauthorized)
}

/// The bearer token of a request.
pub(super) fn bearer(request: &Request) -> Option<&str> {
    head::bearer(header(request, "Authorization")?)
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|h| h.field.equiv(name))?;
    Some(found.value.as_str())
}

fn path(request: &Request) -> Result<Path, Answer> {
    let url = request.url();
    let bare = url.split('?').next().unwrap_or(url);
    let path = match bare {
        "/v1/models" => Path::Models,
        "/v1/completions" => Path::Completion(engine::Route::Completions),
        "/v1/chat/completions" => Path::Completion(engine::Route::Chat),
        _ => return service_path(url),
    };
    let allowed = match path {
        Path::Models => Method::Get,
        Path::Completion(_) | Path::Service(..) => Method::Post,
    };
    if *request.method() == allowed {
        Ok(path)
    } else {
        let detail = format!("{bare} takes {allowed} only");
        Err(Answer::new(Kind::BadRequest, detail))
    }
}

fn service_path(url: &str) -> Result<Path, Answer> {
    let unknown = || Answer::new(Kind::NotFound, "there is no such path");
    let rest = url.strip_prefix(SERVICES).ok_or_else(unknown)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = match path {
        path if path.starts_with('/') => path.to_owned(),
        query => format!("/{query}"),
    };
    match name {
        "" => Err(unknown()),
        name => Ok(Path::Service(name.to_owned(), path)),
    }
}

/// Reads the body of a request, which the gate has held to the limit.
pub(super) fn body(request: &mut Request) -> Result<Vec<u8>, Answer> {
    let mut bytes = Vec::with_capacity(request.body_length().unwrap_or(0));
    let short = |_| Answer::new(Kind::BadRequest, "the body ends too early");
    request.as_reader().read_to_end(&mut bytes).map_err(short)?;
    match request.body_length() {
        Some(length) if bytes.len() < length => {
            Err(Answer::new(Kind::BadRequest, "the body ends too early"))
        }
        _ => Ok(bytes),
    }
}

fn completion(
    request: &mut Request,
    caller: id::Caller,
    route: engine::Route,
) -> Result<Ask, Answer> {
    let bytes = body(request)?;
    let bad = |detail: String| Answer::new(Kind::BadJson, detail);
    let fields: Map<String, Value> =
        serde_json::from_slice(&bytes).map_err(|error| bad(error.to_string()))?;
    let model = match fields.get("model") {
        Some(Value::String(model)) => model.clone(),
        _ => return Err(bad("`model` is a text, <adapter>@<version>".to_owned())),
    };
    let prompt = prompt(&fields, route).ok_or_else(|| match route {
        engine::Route::Completions => bad("`prompt` is a text".to_owned()),
        engine::Route::Chat => bad("`messages` is a list".to_owned()),
    })?;
    let stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("`stream` is true or false".to_owned())),
    };
    let max_tokens = match fields.get("max_tokens") {
        None | Some(Value::Null) => TOKENS,
        Some(value) => value
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| bad("`max_tokens` is a whole number above zero".to_owned()))?,
    };
    let prompt_tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let call = Call {
        stream,
        prefix: vec![prefix(&prompt)],
        prompt_tokens,
        max_tokens,
        ..call(request, caller, Target::Model(model), &bytes)?
    };
    let body = Body::Model {
        route,
        body: fields,
        stream,
    };
    Ok(Ask::Work(Box::new(call), body))
}

fn prompt(fields: &Map<String, Value>, route: engine::Route) -> Option<String> {
    match (route, fields.get("prompt"), fields.get("messages")) {
        (engine::Route::Completions, Some(Value::String(prompt)), _) => Some(prompt.clone()),
        (engine::Route::Chat, _, Some(messages @ Value::Array(_))) => Some(messages.to_string()),
        _ => None,
    }
}

/// The hash of a prompt's prefix as engines publish it: FNV-1a with 64 bits.
fn prefix(prompt: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = prompt.as_bytes();
    let bytes = bytes.get(..PREFIX).unwrap_or(bytes);
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(BASIS, step)
}

fn service(
    request: &mut Request,
    caller: id::Caller,
    name: String,
    path: String,
) -> Result<Ask, Answer> {
    let bytes = body(request)?;
    let call = call(request, caller, Target::Service(name), &bytes)?;
    let body = Body::Plain(plain::Call {
        method: request.method().to_string(),
        path,
        headers: call.headers.clone(),
        body: (!bytes.is_empty()).then_some(bytes),
        start_by: None,
    });
    Ok(Ask::Work(Box::new(call), body))
}

fn call(
    request: &Request,
    caller: id::Caller,
    target: Target,
    body: &[u8],
) -> Result<Call, Answer> {
    Ok(Call {
        caller,
        target,
        zone: zone(request)?,
        headers: headers(request),
        key: key(request)?,
        digest: digest(request, body),
        non_idempotent: non_idempotent(request)?,
        timeout: timeout(request)?,
        stream: false,
        prefix: Vec::new(),
        prompt_tokens: 0,
        max_tokens: 0,
    })
}

/// The headers by lower-case name, without the caller's secret.
fn headers(request: &Request) -> Vec<(String, String)> {
    let pair = |header: &tiny_http::Header| {
        let name = header.field.as_str().as_str().to_ascii_lowercase();
        (name, header.value.as_str().to_owned())
    };
    let mut headers: Vec<_> = request.headers().iter().map(pair).collect();
    headers.retain(|(name, _)| name != "authorization");
    headers
}

fn zone(request: &Request) -> Result<Option<id::Zone>, Answer> {
    let bad = |error: id::Malformed| Answer::new(Kind::BadRequest, format!("X-Zone: {error}"));
    header(request, "X-Zone")
        .map(id::Zone::from_str)
        .transpose()
        .map_err(bad)
}

fn key(request: &Request) -> Result<Option<String>, Answer> {
    match header(request, "Idempotency-Key") {
        Some(key) if key.is_empty() || key.len() > MAX_KEY => {
            let detail = format!("Idempotency-Key has 1 to {MAX_KEY} characters");
            Err(Answer::new(Kind::BadRequest, detail))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn non_idempotent(request: &Request) -> Result<bool, Answer> {
    match header(request, "X-Non-Idempotent") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(Answer::new(
            Kind::BadRequest,
            "X-Non-Idempotent is true or false",
        )),
    }
}

fn timeout(request: &Request) -> Result<Option<Span>, Answer> {
    let Some(text) = header(request, "X-Timeout-Ms") else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Span::from_millis(millis))),
        _ => Err(Answer::new(
            Kind::DeadlinePast,
            "X-Timeout-Ms is a whole number of milliseconds above zero",
        )),
    }
}

/// A hash of what was asked, by which a key that comes back with another request is noticed.
fn digest(request: &Request, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(request.url().as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
