//! Progress of long waits, on standard error.

use std::time::{Duration, Instant};

/// The shortest time between two lines of the same text.
const REPEAT: Duration = Duration::from_secs(5);

/// Says what is waited for, without saying the same over and over.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Whether anything is printed.
    loud: bool,
    /// The last line and when it was printed.
    last: Option<(Instant, String)>,
}

impl Progress {
    /// Progress that prints, or that keeps silent.
    #[must_use]
    pub(crate) fn new(loud: bool) -> Self {
        Self { loud, last: None }
    }

    /// Says what is going on.
    pub(crate) fn say(&mut self, line: &str) {
        let said = self.last.as_ref();
        let fresh = said.is_none_or(|(at, text)| text != line || at.elapsed() >= REPEAT);
        if fresh && self.loud {
            eprintln!("{line}");
        }
        if fresh {
            self.last = Some((Instant::now(), line.to_owned()));
        }
    }
}
