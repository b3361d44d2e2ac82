//! Texts of any characters as parts of others: of calls and of log lines.

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// What is not written as it is in a value of a query: all but the unreserved characters of RFC 3986, section 2.3, and the slash,
/// which its section 3.4 allows there.
const QUERY_VALUE: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// A text as a value in the query of a call.
#[must_use]
pub fn query_value(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, &QUERY_VALUE)
}

/// A text within one line of a log: control characters, and others that may end a line or hide text, are escaped as in a literal.
#[derive(Clone, Copy, Debug)]
pub struct Line<'a>(pub &'a str);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_escaped = |c: char| c.is_control() || LINE_ENDS.contains(&c) || is_directional(c);
        let mut rest = self.0;
        while let Some(at) = rest.find(is_escaped) {
            let (plain, odd) = rest.split_at(at);
            f.write_str(plain)?;
            let mut chars = odd.chars();
            let escaped = chars.next().map(char::escape_default);
            escaped
                .into_iter()
                .try_for_each(|text| write!(f, "{text}"))?;
            rest = chars.as_str();
        }
        f.write_str(rest)
    }
}

/// Characters beside control characters that end a line.
const LINE_ENDS: [char; 2] = ['\u{2028}', '\u{2029}'];

/// Whether a character changes the direction in which others are shown.
fn is_directional(c: char) -> bool {
    matches!(c, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}
