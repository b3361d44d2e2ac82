//! Health of a server, derived from the answers to this VM's own requests. There are no active health checks.

use dahliastile_core::time::{Instant, Span};

/// Weight of one answer in the failure rate. A server that fails half of its requests is deprioritized after
/// about eight of them.
const ANSWER_WEIGHT: f64 = 0.12;

/// Failure rate above which a server is deprioritized.
const MAX_FAILURE_RATE: f64 = 0.25;

/// How long a server is deprioritized after a failed connection, before a request tries it again.
const MIN_BACKOFF: Span = Span::from_millis(400);

/// Upper bound on the time for which a server is deprioritized after a failed connection, which doubles with
/// each further failed connection. The bound is about the time that a crashed server takes to restart.
const MAX_BACKOFF: Span = Span::from_millis(3_000);

/// Time in which the failure rate halves while there are no answers. With this value a deprioritized server
/// gets a trial request every one to two seconds, which is about as long as a transient fault lasts.
const HALF_LIFE: Span = Span::from_millis(1_500);

/// Health of one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Exponentially weighted failure rate at the time `updated_at`.
    failure_rate: f64,
    /// When the failure rate was last updated.
    updated_at: Instant,
    /// Until when the server is deprioritized after a failed connection.
    deprioritized_until: Instant,
    /// Time for which the last failed connection deprioritized the server; zero after a success.
    backoff: Span,
}

impl Health {
    /// Records a successful answer.
    pub fn record_success(&mut self, now: Instant) {
        self.record(now, 0.0);
        self.backoff = Span::ZERO;
    }

    /// Records a failed answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.record(now, 1.0);
    }

    /// Records a failed connection, which deprioritizes the server for a time that doubles with each failure.
    /// Further failures within that time do not extend it.
    pub fn record_connection_failure(&mut self, now: Instant) {
        self.record_failure(now);
        if now < self.deprioritized_until {
            return;
        }
        self.backoff = self.backoff.times(2).max(MIN_BACKOFF).min(MAX_BACKOFF);
        self.deprioritized_until = now + self.backoff;
    }

    /// Returns whether the server is deprioritized.
    #[must_use]
    pub fn is_deprioritized(&self, now: Instant) -> bool {
        now < self.deprioritized_until || self.failure_rate(now) > MAX_FAILURE_RATE
    }

    /// Returns the failure rate, between 0 and 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * (-half_lives).exp2()
    }

    fn record(&mut self, now: Instant, failed: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failed - rate) * ANSWER_WEIGHT;
        self.updated_at = now;
    }
}

/// Returns the indexes of the deprioritized servers with the highest failure rates: at most a third of all
/// servers. If more of them fail, the fault is probably a common one, and the other servers are no better
/// choice.
#[must_use]
pub fn deprioritized(now: Instant, servers: &[&Health]) -> Vec<usize> {
    let deprioritized = servers
        .iter()
        .enumerate()
        .filter(|(_, health)| health.is_deprioritized(now));
    let mut worst: Vec<(usize, f64)> = deprioritized
        .map(|(at, health)| (at, health.failure_rate(now)))
        .collect();
    worst.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    worst.truncate(servers.len() / 3);
    worst.into_iter().map(|(at, _)| at).collect()
}
