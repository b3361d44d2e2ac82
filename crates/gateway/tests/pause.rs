//! Tests the cost of prompts that make streams pause, on its own.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::scheduler::pause::{Allowances, Limit, PauseHistory};

/// Guards against a cost for streams that allow the pause or that pause for too long already, and against a cost that
/// exceeds the waiting times that it is compared with.
#[test]
fn cost_newlylate() {
    let millis = Span::from_millis;
    let mut streams = Allowances::default();
    assert_eq!(streams.cost(millis(100), millis(900)), Span::ZERO);
    for pause in [400, 400, 600, 0] {
        streams.add(millis(pause));
    }
    assert_eq!(streams.cost(millis(100), millis(390)), Span::ZERO);
    assert_eq!(streams.cost(millis(100), millis(500)), millis(400));
    assert_eq!(streams.cost(millis(450), millis(700)), millis(200));
    assert_eq!(streams.cost(millis(700), millis(900)), Span::ZERO);
    for _ in 0..50 {
        streams.add(millis(400));
    }
    assert_eq!(streams.cost(millis(100), millis(500)), millis(1_000));
    for pause in [400; 52].into_iter().chain([600]) {
        streams.remove(millis(pause));
    }
    assert!(streams.is_empty());
}

/// Guards against a limit from a few streams, which may have had no prompt beside them, and against one that is kept
/// after the engines read less or forgotten while they read more.
#[test]
fn limit_largest() {
    let mut now = Instant(1_000_000);
    let mut history = PauseHistory::default();
    let observed = |tokens: u32| Limit {
        tokens: f64::from(tokens),
        pause: Span(u64::from(tokens) * 100),
    };
    for _ in 0..49 {
        history.record(now, observed(1_000));
    }
    assert_eq!(history.limit(), None);
    history.record(now, observed(4_000));
    for _ in 0..60 {
        history.record(now, observed(2_000));
        now += Span::from_millis(500);
        assert_eq!(history.limit(), Some(observed(5_000)));
    }
    for _ in 0..65 {
        history.record(now, observed(2_000));
        now += Span::from_millis(500);
    }
    assert_eq!(history.limit(), Some(observed(2_500)));
}
