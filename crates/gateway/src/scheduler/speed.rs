//! Measures how fast an engine reads prompts and decodes.
//!
//! Designed for engines at 0.7, 0.7 and 1.7 times the nominal speed in rotation, some of which are 2.5 times slower
//! for 0.6 s at a time, 15 % of the time, and which each start 4 to 10 answers per second. One answer says little: its
//! prompt may have been read together with another one, or its adapter may not have been ready. So rates are sums of
//! tokens over sums of time, in which parallel prompts cancel out, and not means of rates.

use std::fmt;

use dahliastile_core::time::{Instant, Span};

/// Half-life of the measurement that decides where adapters are loaded: an adapter stays at its engine for seconds, in
/// which a slow phase of 0.6 s passes.
const LONG_HALF_LIFE: Span = Span::from_secs(5);

/// Half-life of the measurement that decides where a request goes now: a quarter of a slow phase.
const RECENT_HALF_LIFE: Span = Span::from_millis(150);

/// Longest time that the recent measurement covers, in milliseconds of prefill: two prompts of 1,900 tokens read in
/// parallel. Otherwise a slow phase, in which a prompt takes 300 ms, would outweigh several prompts after it.
const MAX_RECENT_MS: f64 = 200.0;

/// Weight of the long measurement in the recent one, in milliseconds of prefill. After three half-lives the recent
/// prompts weigh less than this.
const LONG_WEIGHT_MS: f64 = 30.0;

/// Time after which a measurement expires if no answer started since.
const MAX_AGE: Span = Span::from_secs(10);

/// Number of prompts from which a rate counts as measured.
const MIN_PROMPTS: u32 = 3;

/// Number of groups of prompts by whose median an engine is compared with others. A slow phase affects two or three of
/// them. With the mean over 5 s instead, engines of equal speed with slow phases differed by a factor of 1.4 to 1.6.
const GROUPS: usize = 8;

/// Shortest prompt, in tokens to read, that is measured: the prefill of a shorter one takes less time than the rest of
/// the time to the first chunk.
const MIN_TOKENS: u32 = 500;

/// Time from the end of the prefill of a prompt to its first chunk, until the decoding time of the engine is measured.
const INITIAL_CHUNK_MS: f64 = 40.0;

/// Bounds of a rate, in tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (3.0, 60.0);

/// Share of the long rate below which the first answer with an adapter is taken to have waited for it. A slow phase
/// lowers the rate to 0.4, and to 0.2 for the first of two prompts read in parallel.
const FIRST_USE_MIN_SHARE: f64 = 0.2;

/// Ratio to the long rate below which a prompt may have been read in parallel with the next one.
const SLOW_SHARE: f64 = 0.7;

/// Ratio to the long rate above which a prompt was read together with the one before it.
const PARALLEL_SHARE: f64 = 3.0;

/// Ratio of the speeds of the fastest and the slowest tenth of the engines from which they count as different.
const MIN_RATIO: f64 = 1.5;

/// Number of chunks from which the decoding of a stream is measured.
const MIN_CHUNKS: u32 = 4;

/// Least variance of the batch size from which the growth of the decoding time is computed.
const MIN_BATCH_VARIANCE: f64 = 1.0;

/// The prefill of one prompt, up to the first chunk of the answer.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    /// Tokens of the prompt that the engine had to read.
    pub tokens: u32,
    /// All tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time to the first chunk: from the first chunk of the answer before, or from when the request was sent if that
    /// was later.
    pub span: Span,
    /// Whether the engine had no other prompt to read when the request was sent. The span then contains the decoding
    /// of the first chunk.
    pub was_idle: bool,
    /// Whether the engine has other prompts to read, which it may have read in part in this span.
    pub has_others: bool,
    /// Whether no other answer has started with the adapter since it was loaded.
    pub is_first_use: bool,
}

/// The decoding of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Decoding {
    /// Number of chunks.
    pub chunks: u32,
    /// Time from the first chunk to the last one.
    pub span: Span,
    /// Prompt tokens that the engine read in that time.
    pub read_tokens: u64,
    /// Mean number of requests that ran at the engine.
    pub batch: f64,
}

/// Sums over measured prompts in which older prompts weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    tokens: f64,
    millis: f64,
}

impl Sums {
    fn decay(&mut self, factor: f64) {
        self.tokens *= factor;
        self.millis *= factor;
    }

    fn add(&mut self, tokens: f64, millis: f64) {
        self.tokens += tokens;
        self.millis += millis;
    }

    fn rate(&self) -> f64 {
        bounded(self.tokens / self.millis.max(f64::MIN_POSITIVE))
    }
}

/// A line through the decoding times of streams by batch size, in which older streams weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    batch: f64,
    millis: f64,
    batch_squares: f64,
    products: f64,
}

impl Line {
    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.batch *= factor;
        self.millis *= factor;
        self.batch_squares *= factor;
        self.products *= factor;
    }

    fn add(&mut self, weight: f64, batch: f64, millis: f64) {
        self.weight += weight;
        self.batch += weight * batch;
        self.millis += weight * millis;
        self.batch_squares += weight * batch * batch;
        self.products += weight * batch * millis;
    }

    /// Returns the time per chunk with a batch of this size; `None` if nothing was measured.
    fn at(&self, batch: f64) -> Option<f64> {
        if self.weight < 0.1 {
            return None;
        }
        let (mean_batch, mean) = (self.batch / self.weight, self.millis / self.weight);
        let variance = self.batch_squares / self.weight - mean_batch * mean_batch;
        let covariance = self.products / self.weight - mean_batch * mean;
        let growth = if variance >= MIN_BATCH_VARIANCE {
            (covariance / variance).clamp(0.0, mean / (mean_batch + 1.0))
        } else {
            0.0
        };
        Some((mean + growth * (batch - mean_batch)).max(0.0))
    }
}

/// The measured speed of one process of an engine.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    long: Sums,
    recent: Sums,
    /// When the sums were last decayed.
    decayed_at: Instant,
    /// The last prompts that were read together; a group ends with the next prompt that was not.
    group: Sums,
    /// Rates of the last groups that ended, in tokens per millisecond.
    groups: [f64; GROUPS],
    /// Number of groups that ended.
    group_count: usize,
    /// A prompt that seemed to be read slowly while there were others, to be measured with the next one.
    held: Option<Sums>,
    /// Whether the answer before waited for its adapter. Those that started together with it are not measured either.
    skips_parallel: bool,
    /// Number of measured prompts.
    prompts: u32,
    /// When a prompt was last measured.
    measured_at: Instant,
    decoding: Line,
    decoding_at: Instant,
}

impl Speed {
    /// Records the prefill of a prompt whose answer has started.
    pub fn record_prefill(&mut self, now: Instant, prefill: &Prefill) {
        let cached = prefill.prompt_tokens.saturating_sub(prefill.tokens);
        // The engine may have evicted what the model of its cache holds, and then reads more than `tokens`.
        if prefill.tokens < MIN_TOKENS || cached > prefill.tokens {
            return;
        }
        let decoding = if prefill.was_idle {
            self.decoding.at(1.0).unwrap_or(INITIAL_CHUNK_MS)
        } else {
            0.0
        };
        let held = self.held.take();
        let before = held.unwrap_or_default();
        let tokens = before.tokens + f64::from(prefill.tokens);
        let span = millis(prefill.span);
        let millis = before.millis + (span - decoding).max(span / 4.0);
        let share = self
            .long_rate(now)
            .map_or(1.0, |long| tokens / millis / long);
        let has_waited = prefill.is_first_use && share < FIRST_USE_MIN_SHARE;
        let is_parallel = share > PARALLEL_SHARE;
        self.skips_parallel = has_waited || self.skips_parallel && is_parallel;
        if self.skips_parallel {
            return;
        }
        if held.is_none() && prefill.has_others && share < SLOW_SHARE {
            self.held = Some(Sums { tokens, millis });
            return;
        }
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        self.long.decay(remaining(elapsed, LONG_HALF_LIFE));
        self.recent.decay(remaining(elapsed, RECENT_HALF_LIFE));
        if !is_parallel {
            self.end_group();
        }
        for sums in [&mut self.group, &mut self.long, &mut self.recent] {
            sums.add(tokens, millis);
        }
        let excess = self.recent.millis / MAX_RECENT_MS;
        self.recent.decay(1.0 / excess.max(1.0));
        self.prompts = self.prompts.saturating_add(1);
        self.measured_at = now;
    }

    /// Keeps the rate of the last prompts that were read together.
    fn end_group(&mut self) {
        let group = std::mem::take(&mut self.group);
        if group.tokens > 0.0 {
            self.groups[self.group_count % GROUPS] = group.rate();
            self.group_count += 1;
        }
    }

    /// Records the decoding of a stream that has ended.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_stream(&mut self, now: Instant, stream: &Decoding) {
        let Some(rate) = self.long_rate(now).filter(|_| stream.chunks >= MIN_CHUNKS) else {
            return;
        };
        let span = millis(stream.span);
        // A stream that was interrupted most of the time says little of decoding.
        let decoding = span - stream.read_tokens as f64 / rate;
        if decoding < span / 4.0 {
            return;
        }
        let elapsed = now.since(self.decoding_at);
        self.decoding_at = now;
        self.decoding.decay(remaining(elapsed, LONG_HALF_LIFE));
        let intervals = f64::from(stream.chunks - 1);
        self.decoding
            .add(intervals, stream.batch, decoding / intervals);
    }

    /// Returns the prefill rate over the last seconds, in tokens per millisecond; `None` if it is not measured or the
    /// measurement has expired.
    #[must_use]
    pub fn long_rate(&self, now: Instant) -> Option<f64> {
        let is_valid = self.prompts >= MIN_PROMPTS && now.since(self.measured_at) <= MAX_AGE;
        is_valid.then(|| self.long.rate())
    }

    /// Returns the prefill rate for a comparison with other engines, in tokens per millisecond; `None` as for
    /// [`Self::long_rate`], or if too few prompts were measured.
    #[must_use]
    pub fn typical_rate(&self, now: Instant) -> Option<f64> {
        let is_compared = self.group_count >= GROUPS && self.long_rate(now).is_some();
        median(&mut self.groups.clone()).filter(|_| is_compared)
    }

    /// Returns the prefill rate of the last prompts, in tokens per millisecond; `None` as for [`Self::long_rate`].
    /// With the time since these prompts, it approaches the rate over the last seconds.
    #[must_use]
    pub fn recent_rate(&self, now: Instant) -> Option<f64> {
        let long = self.long_rate(now)?;
        let share = remaining(now.since(self.decayed_at), RECENT_HALF_LIFE);
        let tokens = self.recent.tokens * share + long * LONG_WEIGHT_MS;
        Some(bounded(
            tokens / (self.recent.millis * share + LONG_WEIGHT_MS),
        ))
    }

    /// Returns the standard deviation of the prefill rates of the last groups of prompts, as a share of their mean.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn spread(&self) -> f64 {
        let groups = &self.groups[..self.group_count.min(GROUPS)];
        let count = groups.len().max(1) as f64;
        let mean = groups.iter().sum::<f64>() / count;
        let squares = groups.iter().map(|rate| (rate - mean).powi(2));
        (squares.sum::<f64>() / count).sqrt() / mean.max(RATE_BOUNDS.0)
    }

    /// Returns the time since a prompt was last measured; `None` if the rate is not measured.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.long_rate(now).map(|_| now.since(self.measured_at))
    }

    /// Returns the decoding time per chunk in milliseconds while this many requests run; `None` if it is not measured
    /// or the measurement has expired.
    #[must_use]
    pub fn chunk_millis(&self, now: Instant, batch: u32) -> Option<f64> {
        let share = remaining(now.since(self.decoding_at), LONG_HALF_LIFE);
        let is_valid = now.since(self.decoding_at) <= MAX_AGE && share > 0.0;
        self.decoding.at(f64::from(batch)).filter(|_| is_valid)
    }

    /// Returns the decoding time per chunk while this many requests run; zero if it is not measured.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn chunk_span(&self, now: Instant, batch: u32) -> Span {
        let chunk = self.chunk_millis(now, batch).unwrap_or_default();
        Span((chunk * 1_000.0) as u64)
    }
}

/// The prefill rates of the engines of a service, in tokens per millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spectrum {
    /// The highest rate of the slowest tenth of the engines.
    pub slow: f64,
    /// The median.
    pub median: f64,
    /// The lowest rate of the fastest tenth of the engines.
    pub fast: f64,
}

impl Spectrum {
    /// Returns the spectrum of these rates; `None` if there are none. Reorders the rates.
    #[must_use]
    pub fn of(rates: &mut [f64]) -> Option<Self> {
        let tenth = (rates.len() / 10).max(1);
        let median = median(rates)?;
        let fastest = rates.len() - tenth;
        let fast = *rates.select_nth_unstable_by(fastest, f64::total_cmp).1;
        let slow = *rates.select_nth_unstable_by(tenth - 1, f64::total_cmp).1;
        Some(Self { slow, median, fast })
    }

    /// Returns whether the fastest tenth is at least 1.5 times as fast as the slowest tenth.
    #[must_use]
    pub fn is_wide(&self) -> bool {
        self.fast >= self.slow * MIN_RATIO
    }
}

impl fmt::Display for Spectrum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}/{:.1}/{:.1}", self.slow, self.median, self.fast)
    }
}

/// Returns the median; `None` if there are no values. Reorders the values.
#[must_use]
pub fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// Returns the weight that a measurement has after `elapsed`.
fn remaining(elapsed: Span, half_life: Span) -> f64 {
    (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

fn bounded(rate: f64) -> f64 {
    rate.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
}

fn millis(span: Span) -> f64 {
    span.as_secs_f64() * 1_000.0
}
