//! How fast a queue is served.

use crate::time::{Instant, Span};

/// Counts what leaves a queue over a sliding window, in whole numbers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When the present window began.
    begun: Instant,
    /// What left in the window before it.
    before: u64,
    /// What left in it so far.
    now: u64,
}

/// The length of a window.
const WINDOW: Span = Span::from_secs(2);
/// Fewer departures than this say nothing.
const ENOUGH: u64 = 4;

impl Pace {
    /// A pace of which nothing is known.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            begun: now,
            before: 0,
            now: 0,
        }
    }

    /// Something left the queue.
    pub fn leave(&mut self, now: Instant) {
        let passed = now.since(self.begun).0 / WINDOW.0;
        match passed {
            0 => {}
            1 => (self.before, self.now) = (self.now, 0),
            _ => (self.before, self.now) = (0, 0),
        }
        self.begun += WINDOW.times(passed);
        self.now += 1;
    }

    /// How long it takes until `ahead` have left, where that can be said.
    #[must_use]
    pub fn wait(&self, now: Instant, ahead: u64) -> Option<Span> {
        let since = now.since(self.begun).0;
        let old = match self.before {
            0 => 0,
            _ => WINDOW.0.saturating_sub(since),
        };
        // The departures looked at, times a window's length, and the time in which they left.
        let left = self.now * WINDOW.0 + self.before * old;
        let looked_at = since + old;
        if self.now + self.before < ENOUGH || left == 0 {
            return None;
        }
        let wait = u128::from(ahead) * u128::from(looked_at) * u128::from(WINDOW.0);
        let wait = wait / u128::from(left);
        u64::try_from(wait).ok().map(Span)
    }
}
