//! What a JSON text takes when it is read.

use crate::size::Size;

/// What a value takes in a list: its own size, and as much again while the list grows.
const VALUE: Size = Size(64);

/// What an object takes whatever it holds: a node of its tree has room for eleven entries.
const OBJECT: Size = Size(704);

/// Returns an upper bound of the memory that a JSON text takes as a tree of values, its strings included. It reads the text
/// once and does not check it.
#[must_use]
pub fn json_weight(text: &[u8]) -> Size {
    let mut weight = Size(text.len());
    let mut in_string = false;
    let mut is_escaped = false;
    for &byte in text {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'{' => weight += OBJECT + VALUE,
            b',' | b'[' | b':' => weight += VALUE,
            _ => {}
        }
    }
    weight
}
