//! Engines that come without a base model are brought into service as fast as the weight store allows, the first ones first.

mod support;

use dahliastile_core::time::Span;
use support::contention::{Load, Loss, PASSAGES, play};

/// Time until the scheduler reads the report of an engine that has come, orders its load, and sees that it is complete.
const CHECK_TIME: f64 = 1.5;

/// Half of the engines are lost and replaced by empty ones, whose base model takes `alone` by itself while the weight store
/// serves `at_once` at full speed. Returns the seconds until each is in service.
fn replaced(alone: Span, at_once: f64) -> Vec<f64> {
    let load = Load {
        deployment: PASSAGES.with_base_load(alone, at_once),
        length: 50_000,
        burst: (0, 0),
        shifts: Vec::new(),
        losses: vec![Loss {
            at: 1_000,
            engines: 39,
            replaced_after: 1_000,
        }],
        without: Vec::new(),
        scale: 0.1,
        accounts: 0,
        flood: 1.0,
        priorities: true,
        replaced_at: None,
        seed: 1,
    };
    let loads = play(&load).base_loads;
    loads.iter().map(|span| span.as_secs_f64()).collect()
}

/// Guards against engines that all come into service at the end, as their base models are loaded all at once: with four at
/// full speed the twentieth was in service after 37.6 s. Each is in service within one and a quarter of the time that the weight
/// store needs for those up to it, the time to notice that loads are complete, and one load to learn how many are served at full
/// speed.
#[test]
fn replaced_firstonesfirst() {
    for (millis, at_once) in [(3_900, 4), (2_900, 8), (1_000, 4), (720, 1), (3_900, 10)] {
        let alone = Span::from_millis(millis);
        let (seconds, at_once) = (alone.as_secs_f64(), f64::from(at_once));
        let ready = replaced(alone, at_once);
        assert_eq!(ready.len(), 39, "{seconds} s, {at_once} at once");
        for (number, ready) in (1_u32..).zip(ready) {
            let rounds = (f64::from(number) / at_once).ceil();
            let most = rounds * (seconds * 1.25 + CHECK_TIME) + seconds;
            assert!(
                ready <= most,
                "{seconds} s, {at_once} at once: engine {number} after {ready:.1} s, at most {most:.1}"
            );
        }
    }
}
