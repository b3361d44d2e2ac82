//! The choice among servers, as far as it is a pure function.

use dahliastile_core::policy::{Candidate, Figures, Recent, bias};
use dahliastile_core::time::{Instant, Span};
use quickcheck::{Gen, QuickCheck};

fn engine(load: u32, age_ms: u64) -> Candidate {
    Candidate {
        sick: false,
        far: false,
        remote: false,
        own: 0,
        change: 0,
        figures: Some(Figures {
            load,
            batch: 32,
            step: Span::from_millis(9),
            age: Span::from_millis(age_ms),
        }),
        uncached: 0,
        spread: 0,
    }
}

const SPREAD: i64 = 500;
const FILL: i64 = -500;

#[test]
fn recent_equals_list() {
    /// Changes with the gap before each in milliseconds; what is summed begins at a spell's start.
    fn property(changes: Vec<(u8, i8)>, back: u8) -> bool {
        let mut recent = Recent::default();
        let mut list = Vec::new();
        let mut now = Instant(1_000_000_000);
        for (gap, change) in changes {
            now += Span::from_millis(u64::from(gap));
            recent.add(now, i32::from(change));
            list.push((now, i32::from(change)));
        }
        let then = now.back(Span::from_millis(u64::from(back) * 3));
        let start = Instant(then.0 / 64_000 * 64_000);
        let naive: i32 = list
            .iter()
            .filter(|(at, _)| *at >= start)
            .map(|c| c.1)
            .sum();
        recent.since(then) == naive
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x5eed))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, i8)>, u8) -> bool);
}

#[test]
fn load_corrected_for_lag() {
    let mut candidate = engine(10, 500);
    candidate.own = 12;
    candidate.change = 8;
    assert_eq!(candidate.load(), 18);
    candidate.change = -10;
    assert_eq!(candidate.load(), 12, "never less than this VM's own work");
}

#[test]
fn rank_spreads_or_fills() {
    let (low, high) = (engine(4, 0), engine(20, 0));
    assert!(low.rank(SPREAD) < high.rank(SPREAD));
    assert!(high.rank(FILL) < low.rank(FILL));
}

#[test]
fn rank_waits_last() {
    let (full, free) = (engine(32, 0), engine(31, 0));
    assert!(free.rank(FILL) < full.rank(FILL));
    let mut far = free;
    far.far = true;
    assert!(
        far.rank(SPREAD) < full.rank(SPREAD),
        "room elsewhere beats the preferred zone"
    );
}

#[test]
fn rank_prefers_zone() {
    let mut far = engine(0, 0);
    far.far = true;
    assert!(engine(25, 0).rank(SPREAD) < far.rank(SPREAD));
}

#[test]
fn rank_prefix_cache_counts() {
    let (mut cold, mut warm) = (engine(8, 0), engine(12, 0));
    cold.uncached = 24;
    warm.uncached = 0;
    assert!(warm.rank(SPREAD) < cold.rank(SPREAD));
}

#[test]
fn rank_sick_is_last() {
    let mut sick = engine(0, 0);
    sick.sick = true;
    assert!(engine(31, 0).rank(SPREAD) < sick.rank(SPREAD));
}

#[test]
fn rank_old_report_is_rough() {
    let (a, b) = (engine(9, 900), engine(10, 900));
    assert_eq!(a.rank(SPREAD), b.rank(SPREAD));
    assert_ne!(engine(9, 10).rank(SPREAD), engine(10, 10).rank(SPREAD));
}

#[test]
fn room_ends_beyond_batch() {
    assert!(engine(31, 0).has_room());
    assert!(
        engine(39, 0).has_room(),
        "the engine does not run dry before the next report"
    );
    assert!(!engine(40, 0).has_room());
    assert!(engine(60, 1_000).has_room());
    assert!(!engine(64, 1_000).has_room());
    let mut own = engine(0, 0);
    own.own = 34;
    assert!(!own.has_room());
}

#[test]
fn bias_follows_weights() {
    assert!(bias(4.0, 1.0) > bias(1.0, 1.0));
    assert!(bias(1.0, 4.0) < 0);
    assert_eq!(bias(0.0, 0.0), 0);
}
