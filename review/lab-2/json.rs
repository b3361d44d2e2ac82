//! JSON, as far as the calls of the key-value service need it.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Self> {
        match self.get(name) {
            Some(Self::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(text: &[u8], at: &mut usize, sign: u8) -> Option<()> {
    skip(text, at);
    (text.get(*at) == Some(&sign)).then(|| *at += 1)
}

fn value(text: &[u8], at: &mut usize) -> Option<Value> {
    skip(text, at);
    match *text.get(*at)? {
        b'"' => string(text, at).map(Value::Text),
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            while take(text, at, b'}').is_none() {
                let _ = take(text, at, b',');
                skip(text, at);
                let name = string(text, at)?;
                take(text, at, b':')?;
                fields.insert(name, value(text, at)?);
            }
            Some(Value::Table(fields))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            while take(text, at, b']').is_none() {
                let _ = take(text, at, b',');
                items.push(value(text, at)?);
            }
            Some(Value::List(items))
        }
        _ => {
            let begin = *at;
            while text
                .get(*at)
                .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
            {
                *at += 1;
            }
            match std::str::from_utf8(&text[begin..*at]).ok()? {
                "null" => Some(Value::Null),
                "true" => Some(Value::Bool(true)),
                "false" => Some(Value::Bool(false)),
                number => number.parse().ok().map(Value::Number),
            }
        }
    }
}

/// A string; its escapes are those of quotes and backslashes only, as keys and base64 need no others.
fn string(text: &[u8], at: &mut usize) -> Option<String> {
    take(text, at, b'"')?;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                bytes.push(*text.get(*at)?);
            }
            byte => bytes.push(byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(bytes).ok()
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}
