//! Which lines are written when there are more than a VM has time for.

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use dahliastile_shell::LineBudget;

/// Guards against a flood of lines about single requests that leaves out the scheduler's state: beyond the rate, warnings
/// and summaries are written, and no others until time has passed.
#[test]
fn flood_keepssummaries() {
    let mut budget = LineBudget::default();
    let now = Instant::default() + Span::from_secs(10);
    let written = (0..10_000).filter(|_| budget.try_spend(now, Code::TurnedAway));
    assert_eq!(written.count(), 3_000);
    for code in [
        Code::SchedulerState,
        Code::AdaptersUnserved,
        Code::LoadsReserved,
        Code::SharesExceeded,
        Code::AccountShare,
        Code::HolderSilent,
    ] {
        assert!(budget.try_spend(now, code), "{code:?}");
    }
    assert!(!budget.try_spend(now, Code::Placed));
    let later = now + Span::from_secs(1);
    let written = (0..10_000).filter(|_| budget.try_spend(later, Code::Placed));
    assert_eq!(written.count(), 300);
}
