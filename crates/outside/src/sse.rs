//! Server-sent events, parsed as their bytes come.

use crate::error::{Error, Result};

/// One server-sent event: the lines of its data, joined by line feeds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The data.
    pub data: String,
}

/// Parses server-sent events from bytes that may be split anywhere.
///
/// Only `data` is kept. Lines and events longer than the limit are an error, so that a server cannot
/// make the process hold more than that.
#[derive(Debug)]
pub struct Parser {
    /// Longest line, and longest data of an event, in bytes.
    limit: usize,
    /// The line so far.
    line: Vec<u8>,
    /// The data of the event so far, and whether there was any line of it.
    data: Option<Vec<u8>>,
    /// Whether the byte before was a carriage return that ended a line.
    after_return: bool,
}

impl Parser {
    /// A parser that takes lines and events of up to `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            line: Vec::new(),
            data: None,
            after_return: false,
        }
    }

    /// Takes the next bytes and adds the events that end within them to `events`.
    ///
    /// # Errors
    /// [`Error::Broken`] when a line or an event is too long or is not UTF-8.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<()> {
        for &byte in bytes {
            let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => events.extend(self.end_line()?),
                _ if self.line.len() >= self.limit => return Err(self.overlong("line")),
                _ => self.line.push(byte),
            }
        }
        Ok(())
    }

    /// Takes a line that has ended; an empty one ends the event.
    fn end_line(&mut self) -> Result<Option<Event>> {
        let mut line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return self.data.take().map(event).transpose();
        }
        if let Some(value) = data_value(&line) {
            self.add_data(value)?;
        }
        // Keeps the buffer for the next line.
        line.clear();
        self.line = line;
        Ok(None)
    }

    fn add_data(&mut self, value: &[u8]) -> Result<()> {
        let is_first = self.data.is_none();
        let data = self.data.get_or_insert_default();
        if data.len() + value.len() >= self.limit {
            return Err(self.overlong("event"));
        }
        if !is_first {
            data.push(b'\n');
        }
        data.extend_from_slice(value);
        Ok(())
    }

    fn overlong(&self, what: &str) -> Error {
        Error::Broken(format!("{what} longer than {} bytes", self.limit))
    }
}

fn event(data: Vec<u8>) -> Result<Event> {
    let data = String::from_utf8(data);
    let data = data.map_err(|_| Error::Broken("event is not UTF-8".into()))?;
    Ok(Event { data })
}

/// The value of a `data` line, without the one space that may follow the colon.
fn data_value(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data")?;
    match value {
        [b':', b' ', rest @ ..] | [b':', rest @ ..] | rest @ [] => Some(rest),
        _ => None,
    }
}
