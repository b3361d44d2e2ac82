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

/// The time in which the share of failures halves without news: a server that comes last gets a trial every second or
/// two, which is about how long a fault that passes lasts.
const HALF_LIFE: Span = Span::from_millis(1_500);

/// One server's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The share of failures among the last answers, as of `at`.
    failures: f64,
    /// When that was computed.
    at: Instant,
    /// Until when it comes last.
    until: Instant,
    /// The last pause.
    pause: Span,
}

impl Health {
    /// Counts an answer.
    pub fn record_success(&mut self, now: Instant) {
        self.count(now, 0.0);
        self.pause = Span::ZERO;
    }

    /// Counts a failure of the server's work.
    pub fn record_failure(&mut self, now: Instant) {
        self.count(now, 1.0);
    }

    /// Counts a server that does not react at all; it comes last for a while, twice as long each time.
    pub fn record_connection_failure(&mut self, now: Instant) {
        self.record_failure(now);
        if now < self.until {
            return;
        }
        self.pause = self.pause.times(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.until = now + self.pause;
    }

    /// Whether the server comes last.
    #[must_use]
    pub fn shunned(&self, now: Instant) -> bool {
        now < self.until || self.failures(now) > BAD
    }

    /// The share of failures.
    #[must_use]
    pub fn failures(&self, now: Instant) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * (-halves).exp2()
    }

    fn count(&mut self, now: Instant, failed: f64) {
        let share = self.failures(now);
        self.failures = share + (failed - share) * WEIGHT;
        self.at = now;
    }
}

/// The servers that come last, by their place in the list: those that failed most, but never more than a third of all.
/// Where more fail, the fault is not theirs alone, and work has nowhere better to go.
#[must_use]
pub fn deprioritized(now: Instant, servers: &[&Health]) -> Vec<usize> {
    let shunned = servers
        .iter()
        .enumerate()
        .filter(|(_, health)| health.shunned(now));
    let mut worst: Vec<(usize, f64)> = shunned
        .map(|(at, health)| (at, health.failures(now)))
        .collect();
    worst.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    worst.truncate(servers.len() / 3);
    worst.into_iter().map(|(at, _)| at).collect()
}
