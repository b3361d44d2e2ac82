//! Decides what a prompt costs that would make the streams of an engine pause for longer than their callers allow, and
//! whether it waits because of that.
//!
//! Designed for streams of 57 events at engines that read chunks of 4,096 prompt tokens between two decoding steps:
//! at 13 tokens/ms a chunk takes 300 ms, and 750 ms in a slow phase, where callers allow 400 ms. A prompt then goes to
//! another engine with its adapter or waits for one more copy of the adapter, if that costs less than the streams lose,
//! and otherwise waits as long as its own objective allows. It is not refused for this: under overload a stream that
//! pauses is worth more than a request that is not served.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};

use super::Scheduler;
use super::engine::Engine;
use super::forecast::prefill_time;
use super::scheduled_request::ScheduledRequest;
use crate::feature::Feature;

/// Cost of a stream that pauses for too long, as a waiting time. It loses about two thirds of its value, as a request
/// does whose first chunk is late; the whole value costs as much as a wait of 300 ms.
const STREAM_COST: Span = Span::from_millis(200);

/// Bound of the cost of all streams that one prompt makes pause: the usual objective, within which a request waits for
/// another engine or for a copy of its adapter.
const MAX_COST: Span = Span::from_millis(1_000);

/// Time from the end of a prompt's prefill to the first chunk that a waiting request leaves within its objective.
const FIRST_CHUNK_MARGIN: Span = Span::from_millis(150);

/// Time over which the largest observed prefill between two chunks is kept: once to twice this long.
const OBSERVATION_TIME: Span = Span::from_secs(30);

/// Number of streams from which the largest prefill between two chunks counts as observed: those of a second.
const MIN_STREAMS: u32 = 50;

/// Share of refused requests above which no request waits for streams. Without this limit, 0.126 of the requests were
/// refused under an overload in which 0.106 were refused if none waited (`tests/engine_speed.rs`).
const MAX_REFUSED_SHARE: f64 = 0.05;

/// Half-life of the counts of requests and refusals: the usual objective.
const REFUSAL_HALF_LIFE: Span = Span::from_secs(1);

/// Margin on the largest observed prefill between two chunks. Where prompts are kept away from streams, the observed
/// ones stay below what the engines would read.
const LIMIT_MARGIN: f64 = 1.25;

/// The pauses that the callers of an engine's streams allow, with the number of streams for each.
#[derive(Clone, Debug, Default)]
pub struct Allowances(BTreeMap<Span, u32>);

impl Allowances {
    /// Adds a stream whose caller allows a pause; zero if the caller sets no limit.
    pub fn add(&mut self, pause: Span) {
        if pause > Span::ZERO {
            *self.0.entry(pause).or_default() += 1;
        }
    }

    /// Removes a stream.
    pub fn remove(&mut self, pause: Span) {
        if let Some(count) = self.0.get_mut(&pause) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&pause);
            }
        }
    }

    /// Returns whether no stream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the cost of a prompt that lengthens the expected pause of all streams from `before` to `after`. Streams
    /// that pause for too long already lose nothing more.
    #[must_use]
    pub fn cost(&self, before: Span, after: Span) -> Span {
        if after <= before {
            return Span::ZERO;
        }
        let newly_late = self.0.range(before..after).map(|(_, count)| count);
        let count: u32 = newly_late.sum();
        STREAM_COST.times(u64::from(count)).min(MAX_COST)
    }
}

/// What the engines of a service do at most between two chunks of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Prompt tokens that they read.
    pub tokens: f64,
    /// The pause that results.
    pub pause: Span,
}

impl Limit {
    fn max(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.max(other.tokens),
            pause: self.pause.max(other.pause),
        }
    }
}

/// The longest pauses of the streams of a service. They show the prefill between two chunks: some prefill chunks, or
/// all prompts in an engine's queue if these are shorter.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseHistory {
    /// The longest pauses since `since`.
    current: Limit,
    /// Those in the time before.
    previous: Limit,
    since: Instant,
    /// Number of streams.
    streams: u32,
}

impl PauseHistory {
    /// Records the longest pause of a stream and the prompt tokens that its engine read in it.
    pub fn record(&mut self, now: Instant, observed: Limit) {
        if now.since(self.since) > OBSERVATION_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current = self.current.max(observed);
        self.streams = self.streams.saturating_add(1);
    }

    /// Returns the limit, with a margin; `None` while too few streams were observed.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> Option<Limit> {
        let largest = self.current.max(self.previous);
        let pause = largest.pause.as_secs_f64() * LIMIT_MARGIN * 1e6;
        (self.streams >= MIN_STREAMS).then_some(Limit {
            tokens: largest.tokens * LIMIT_MARGIN,
            pause: Span(pause as u64),
        })
    }
}

/// The share of requests that were refused lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals {
    requests: f64,
    refused: f64,
    at: Instant,
}

impl Refusals {
    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.decay(now);
        self.requests += 1.0;
    }

    /// Counts a refusal.
    pub fn record_refusal(&mut self, now: Instant) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Returns whether so many requests were refused that the engines cannot serve all of them.
    #[must_use]
    pub fn show_overload(&self) -> bool {
        self.refused > self.requests * MAX_REFUSED_SHARE
    }

    fn decay(&mut self, now: Instant) {
        let halves = now.since(self.at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        self.requests *= (-halves).exp2();
        self.refused *= (-halves).exp2();
        self.at = now;
    }
}

impl Scheduler {
    /// Returns what the streams of an engine lose if it reads a request's prompt now, as a waiting time.
    pub(crate) fn pause_cost(
        &self,
        now: Instant,
        engine: &Engine,
        request: &ScheduledRequest,
    ) -> Span {
        let is_called_for =
            !engine.allowances.is_empty() && self.settings.uses(Feature::StreamPauses);
        let Some(limit) = self.pauses.limit().filter(|_| is_called_for) else {
            return Span::ZERO;
        };
        let rate = self.pause_rate(now, engine);
        let chunk = engine.speed.chunk_span(now, engine.running);
        let unread = engine.unread_tokens;
        let tokens = u64::from(engine.tokens_to_read(request));
        let pause =
            |tokens: u64| chunk + prefill_time(tokens.min(whole_tokens(limit.tokens)), rate);
        let (before, after) = (pause(unread), pause(unread + tokens).min(limit.pause));
        engine.allowances.cost(before, after)
    }

    /// Returns whether a request that costs streams of an engine `cost` waits. It does so while its first chunk would
    /// still come within its objective, except under overload.
    pub(crate) fn waits_for_streams(
        &self,
        now: Instant,
        engine: &Engine,
        request: &ScheduledRequest,
        cost: Span,
    ) -> bool {
        let ahead = engine.backlog_including(now, engine.tokens_to_read(request));
        let may_wait = cost > Span::ZERO && !self.refusals.show_overload();
        may_wait && now + ahead + FIRST_CHUNK_MARGIN < request.first_chunk_due
    }

    /// Returns the measured prefill rate of an engine's last prompts, in tokens per millisecond; the median of the
    /// service if it is not measured, and the moving average if no engine's is.
    pub(crate) fn pause_rate(&self, now: Instant, engine: &Engine) -> f64 {
        let measured = engine.speed.recent_rate(now).or(self.speeds.median_rate);
        measured.unwrap_or(engine.prefill_rate)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
