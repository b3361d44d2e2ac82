//! Deterministic tokens, so that a test can tell whose answer it got.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The number of tokens when a request names none.
pub const MAX_TOKENS: u64 = 16;

/// The bytes of a prompt that count as its prefix.
const PREFIX: usize = 256;

/// The fields that say how a request is served and not what is asked for.
const TRANSPORT: [&str; 5] = ["model", "priority", "request_id", "resume_from", "stream"];

/// An adapter and its version, `<adapter>@<version>`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String")]
pub struct Model(String);

/// The name lacks its `@`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the model must be <adapter>@<version>")
    }
}

impl std::error::Error for Malformed {}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Model {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('@') {
            Some((adapter, version)) if !adapter.is_empty() && !version.is_empty() => {
                Ok(Self(text.to_owned()))
            }
            _ => Err(Malformed),
        }
    }
}

impl TryFrom<String> for Model {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// What a request asks for, as a hash of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Digest(u64);

impl Digest {
    /// The hash of all fields but those that say how the request is served.
    #[must_use]
    pub fn of(body: &Value) -> Self {
        let mut asked = body.clone();
        if let Some(fields) = asked.as_object_mut() {
            fields.retain(|name, _| !TRANSPORT.contains(&name.as_str()));
        }
        asked.sort_all_objects();
        Self(hash(asked.to_string().as_bytes()))
    }
}

/// The text of one token.
#[must_use]
pub fn text(model: &Model, digest: Digest, index: u64) -> String {
    let seed = format!("{model} {:x} {index}", digest.0);
    format!(" {:016x}", hash(seed.as_bytes()))
}

/// All tokens that the right answer to a body has.
///
/// # Errors
/// When the body names no proper model.
pub fn expected(body: &Value) -> Result<Vec<String>, Malformed> {
    let model: Model = body["model"].as_str().unwrap_or_default().parse()?;
    let digest = Digest::of(body);
    let count = body["max_tokens"].as_u64().unwrap_or(MAX_TOKENS);
    Ok((0..count)
        .map(|index| text(&model, digest, index))
        .collect())
}

/// The hash of a request's prefix, as the cache events give it: FNV-1a over the first 256 bytes of
/// the prompt, or of the messages as compact JSON.
#[must_use]
pub fn prefix(body: &Value) -> u64 {
    let text = match (&body["prompt"], &body["messages"]) {
        (Value::String(prompt), _) => prompt.clone(),
        (_, messages) => messages.to_string(),
    };
    let bytes = text.as_bytes();
    hash(bytes.get(..PREFIX).unwrap_or(bytes))
}

/// FNV-1a with 64 bits: small, and the same in each build.
fn hash(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
