//! Tests the measurement of an engine's speed on its own, with prompts as route guidance sends them.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::scheduler::speed::{Decoding, Prefill, Spectrum, Speed};

/// Prefill rate of an engine of nominal speed, in tokens per millisecond.
const NOMINAL_RATE: f64 = 19.2;

/// Tokens of a prompt.
const TOKENS: u32 = 2_368;

/// An engine that reads one prompt after the other.
struct Engine {
    speed: Speed,
    now: Instant,
    /// Prefill rate in tokens per millisecond.
    rate: f64,
}

impl Engine {
    fn new(factor: f64) -> Self {
        Self {
            speed: Speed::default(),
            now: Instant(1_000_000),
            rate: NOMINAL_RATE * factor,
        }
    }

    /// Reads a prompt `slowness` times slower than usual, and waits `idle` before it.
    fn read(&mut self, slowness: f64, idle: Span) {
        let span = self.span(slowness);
        self.now = self.now + idle + span;
        self.record(span, |_| {});
    }

    fn span(&self, slowness: f64) -> Span {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let micros = (f64::from(TOKENS) / self.rate * slowness * 1_000.0) as u64;
        Span(micros)
    }

    fn record(&mut self, span: Span, change: impl FnOnce(&mut Prefill)) {
        let mut prefill = Prefill {
            tokens: TOKENS,
            prompt_tokens: TOKENS,
            span,
            was_idle: false,
            has_others: false,
            is_first_use: false,
        };
        change(&mut prefill);
        self.speed.record_prefill(self.now, &prefill);
    }

    /// Returns the long and the recent rate, as shares of the engine's rate.
    fn shares(&self) -> (f64, f64) {
        let share = |rate: Option<f64>| rate.expect("a rate") / self.rate;
        let long = self.speed.long_rate(self.now);
        (share(long), share(self.speed.recent_rate(self.now)))
    }
}

fn is_near(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.06
}

/// Guards against a measurement that starts at a constant and approaches the engine's speed too slowly: after ten
/// prompts, a weight of 0.1 from 20 tokens/ms gave 24 for an engine that reads 33.
#[test]
fn speed_unevenengines() {
    let mut rates = Vec::new();
    for factor in [0.7, 0.7, 1.7] {
        let mut engine = Engine::new(factor);
        assert_eq!(engine.speed.long_rate(engine.now), None);
        for _ in 0..10 {
            engine.read(1.0, Span::from_millis(50));
        }
        let (long, recent) = engine.shares();
        assert!(
            is_near(long, 1.0) && is_near(recent, 1.0),
            "{long} {recent}"
        );
        rates.push(engine.speed.long_rate(engine.now).expect("a rate"));
    }
    let spectrum = Spectrum::of(&mut rates).expect("rates");
    assert!(spectrum.is_wide() && is_near(spectrum.median, NOMINAL_RATE * 0.7));
}

/// Guards against a slow phase that is taken for the engine's speed, and against one that placement does not notice or
/// does not forget: 0.6 s after its end, the recent rate is within a tenth of the usual one.
#[test]
fn speed_slowphase() {
    let mut engine = Engine::new(1.0);
    let idle = Span::from_millis(60);
    for _ in 0..30 {
        engine.read(1.0, idle);
    }
    let steady = engine.speed.spread();
    for _ in 0..2 {
        engine.read(2.5, idle);
    }
    let (long, recent) = engine.shares();
    assert!(long > 0.8, "long rate {long}");
    assert!(recent < 0.55, "recent rate {recent}");
    assert!(engine.speed.spread() > steady + 0.1);
    engine.now += Span::from_millis(600);
    let (_, recent) = engine.shares();
    assert!(recent > 0.7, "without prompts {recent}");
    for _ in 0..2 {
        engine.read(1.0, idle);
    }
    let (_, recent) = engine.shares();
    assert!(recent > 0.9, "after the phase {recent}");
}

/// Guards against rates from answers that say little: of two prompts read in parallel, the second answer comes at once;
/// an answer waits for its adapter; a prompt is short or mostly cached; the first chunk of an idle engine is decoded.
#[test]
fn speed_misleadinganswers() {
    let mut engine = Engine::new(0.7);
    for number in 0..40 {
        let span = engine.span(1.0);
        engine.now += span + span + Span::from_millis(50);
        engine.record(span + span, |_| {});
        engine.record(Span(100), |_| {});
        match number % 4 {
            0 => engine.record(Span::from_secs(2), |prefill| prefill.is_first_use = true),
            1 => engine.record(Span::from_millis(60), |prefill| prefill.tokens = 40),
            2 => engine.record(Span::from_secs(1), |prefill| prefill.tokens = 900),
            _ => engine.record(span + Span::from_millis(40), |prefill| {
                prefill.was_idle = true;
            }),
        }
    }
    let (long, _) = engine.shares();
    assert!((0.85..=1.15).contains(&long), "long rate {long}");
}

/// Guards against a measurement that outlives its engine's load: it is used for 10 s without reports and then expires.
#[test]
fn speed_expires() {
    let mut engine = Engine::new(1.7);
    for _ in 0..5 {
        engine.read(1.0, Span::ZERO);
    }
    engine.now += Span::from_secs(9);
    assert_eq!(engine.speed.age(engine.now), Some(Span::from_secs(9)));
    let (long, recent) = engine.shares();
    assert!(
        is_near(long, 1.0) && is_near(recent, 1.0),
        "{long} {recent}"
    );
    engine.now += Span::from_secs(2);
    assert_eq!(engine.speed.recent_rate(engine.now), None);
}

/// Guards against a decoding time that contains the prefill of other prompts, or that ignores the batch: a chunk takes
/// 30 ms and 1 ms more for each request.
#[test]
fn speed_decodingbybatch() {
    let mut engine = Engine::new(1.0);
    for _ in 0..5 {
        engine.read(1.0, Span::ZERO);
    }
    for batch in [2_u32, 6, 10, 4, 8] {
        let read = engine.span(1.0);
        let span = Span::from_millis(u64::from(30 + batch) * 42) + read + read;
        engine.speed.record_stream(
            engine.now,
            &Decoding {
                chunks: 43,
                span,
                read_tokens: u64::from(TOKENS) * 2,
                batch: f64::from(batch),
            },
        );
    }
    for batch in [3, 9] {
        let chunk = engine.speed.chunk_millis(engine.now, batch);
        let expected = f64::from(30 + batch);
        assert!(
            chunk.is_some_and(|chunk| is_near(chunk, expected)),
            "{chunk:?}"
        );
    }
}

/// Guards against engines that count as different because of a few of them, or of slow phases of one engine.
#[test]
fn spectrum_tenths() {
    let is_wide = |rates: &mut [f64]| Spectrum::of(rates).is_some_and(|s| s.is_wide());
    let mut rates = vec![20.0; 30];
    assert!(!is_wide(&mut rates));
    rates[3] = 5.0;
    assert!(!is_wide(&mut rates), "one of thirty");
    let mut rates = vec![20.0; 30];
    rates[4..8].fill(13.0);
    assert!(is_wide(&mut rates), "four of thirty");
    assert!(!is_wide(&mut [20.0]) && !is_wide(&mut []));
}
