//! What this VM's own requests say of a server's health. Nothing is probed.

use dahliastile_core::time::{Instant, Span};

/// The weight of one answer in the share of failures: a server that fails half of its requests is seen to after
/// about eight of them.
const WEIGHT: f64 = 0.12;

/// The share of failures from which a server comes last.
const BAD: f64 = 0.25;

/// How long a server comes last after a failed connection, before one request tries it again.
const FIRST_PAUSE: Span = Span::from_millis(400);

/// The longest such pause: about the time a crashed server takes to start again.
const LONGEST_PAUSE: Span = Span::from_millis(3_000);

/// One server's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The share of failures among the last answers.
    failures: f64,
    /// Until when it comes last.
    until: Instant,
    /// The last pause.
    pause: Span,
}

impl Health {
    /// Counts an answer.
    pub fn good(&mut self) {
        self.failures *= 1.0 - WEIGHT;
        self.pause = Span::ZERO;
    }

    /// Counts a failure of the server's work.
    pub fn bad(&mut self) {
        self.failures += (1.0 - self.failures) * WEIGHT;
    }

    /// Counts a server that does not react at all; it comes last for a while, twice as long each time.
    pub fn dead(&mut self, now: Instant) {
        self.bad();
        if now < self.until {
            return;
        }
        self.pause = self.pause.times(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.until = now + self.pause;
    }

    /// Whether the server comes last.
    #[must_use]
    pub fn shunned(&self, now: Instant) -> bool {
        now < self.until || self.failures > BAD
    }

    /// The share of failures.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
