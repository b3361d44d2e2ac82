//! The monotonic clock, counted from the start of the process.

use std::time::Duration;

use dahliastile_core::time::{Instant, Span};

/// The clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// The start.
    origin: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// The time now. It begins at a second, so that a zero never means a real moment.
    pub(crate) fn now(&self) -> Instant {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Instant(micros) + Span::from_secs(1)
    }

    /// The runtime's own form of a time.
    pub(crate) fn at(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + duration(instant.since(Instant(1_000_000)))
    }
}

/// A span as the standard library writes it.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
