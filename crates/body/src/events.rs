//! Where events end in a stream of server-sent events.

/// Where the bytes of a stream stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Position {
    /// Before its first event.
    #[default]
    Start,
    /// After an event.
    BetweenEvents,
    /// Within an event, a comment, or a field that no empty line follows.
    WithinEvent,
}

/// Finds the ends of events in bytes that may be split anywhere. A line ends with LF, CRLF or CR, and an empty line ends
/// an event (WHATWG HTML, section 9.2.5).
#[derive(Clone, Debug)]
pub struct Events {
    /// Where the bytes so far stop.
    position: Position,
    /// Whether the current line has no byte yet.
    line_is_empty: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same end of a line.
    after_return: bool,
}

impl Default for Events {
    fn default() -> Self {
        Self {
            position: Position::Start,
            line_is_empty: true,
            after_return: false,
        }
    }
}

impl Events {
    /// Takes the next bytes. Returns the number of them up to the end of the last event that ends within them; `None` if
    /// none does.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, &byte) in bytes.iter().enumerate() {
            let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                // The second byte of an end of a line: it belongs to the event that this line has ended.
                b'\n' if after_return => {
                    if self.position != Position::WithinEvent && end == Some(at) {
                        end = Some(at + 1);
                    }
                }
                b'\n' | b'\r' if self.line_is_empty => {
                    if self.position == Position::WithinEvent {
                        self.position = Position::BetweenEvents;
                        end = Some(at + 1);
                    }
                }
                b'\n' | b'\r' => self.line_is_empty = true,
                _ => {
                    self.line_is_empty = false;
                    self.position = Position::WithinEvent;
                }
            }
        }
        end
    }

    /// Returns where the bytes so far stop.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }
}
