//! One VM's share of an account's window, its borrowed tokens and its demand by priority, apart from any fleet.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::Tokens;
use dahliastile_gateway::account::quota::window::loan::Purse;
use dahliastile_gateway::account::quota::window::share::{LOAN_TIME, SLICE, Share};
use dahliastile_gateway::account::quota::window::urgency::Demand;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Span = Span::from_secs(8);
/// The number of tokens of the share in these tests.
const SIZE: u64 = 19_200;

/// Creates a share of [`SIZE`] tokens that permits tokens from `started` on.
fn share(started: Instant) -> Share {
    let mut share = Share::new(WINDOW, started);
    share.resize(started, Tokens(SIZE).as_f64(), WINDOW);
    share
}

/// Returns the most tokens used within any one window.
fn peak(mut uses: Vec<(Instant, u64)>) -> u64 {
    uses.sort_unstable();
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for (at, tokens) in &uses {
        sum += tokens;
        while uses[first].0 + WINDOW <= *at {
            sum -= uses[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

/// Guards against a process that uses tokens which an earlier one has used or lent: restarts at random times, with loans
/// that are used at any time within [`LOAN_TIME`], and requests that did not run.
#[test]
fn window_holdsoverrestarts() {
    let mut most = 0;
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant(rng.random_range(1_000_000..9_000_000));
        let mut share = share(now);
        let mut uses: Vec<(Instant, u64)> = Vec::new();
        let restarts = [0.0, 0.0005, 0.005][usize::try_from(seed % 3).expect("small")];
        for _ in 0..4_000 {
            now += Span(rng.random_range(0..20_000));
            let tokens = Tokens(rng.random_range(1..4_000));
            if rng.random_bool(restarts) {
                share = self::share(now);
            } else if rng.random_bool(0.3) {
                let lent = share.lend(now, tokens);
                let used_after = Span(rng.random_range(0..=LOAN_TIME.0));
                uses.push((now + used_after, lent.0));
            } else if share.take(now, tokens) {
                if rng.random_bool(0.05) {
                    share.give_back(now, tokens);
                } else {
                    uses.push((now, tokens.0));
                }
            }
        }
        let peak = peak(uses);
        assert!(peak <= SIZE, "seed {seed}: {peak} of {SIZE}");
        most = most.max(peak);
    }
    // The loads come close to the limit, so that the bound is tested.
    assert!(most * 10 > SIZE * 9, "{most} of {SIZE}");
}

/// Guards against tokens that stay unused or come back late: an idle share has its burst at once and all of its tokens
/// within a window, and a used token again one window and one slice later.
#[test]
fn tokens_comebackafterawindow() {
    let created = Instant(1_000_000);
    let mut share = share(created);
    // The bound for new processes ends here.
    let start = created + WINDOW + LOAN_TIME;
    let mut now = start;
    let first = share.free(now);
    assert!(first >= Tokens(SIZE * 39 / 100), "{first}");
    let mut used = 0;
    while now < start + WINDOW {
        let free = share.free(now);
        assert!(share.take(now, free));
        used += free.0;
        now += Span::from_millis(10);
    }
    assert!(used >= SIZE * 98 / 100, "{used}");
    let again = start + WINDOW + SLICE;
    assert!(share.free(again) >= first, "{}", share.free(again));
}

/// Guards against a share that grows while another VM may still use the tokens, and one that shrinks late.
#[test]
fn size_growsafterawindow() {
    let start = Instant(1_000_000);
    let mut share = share(start);
    let changed = start + WINDOW + WINDOW;
    let size = Tokens(SIZE).as_f64();
    share.resize(changed, size * 2.0, WINDOW);
    let grown = changed + WINDOW + LOAN_TIME;
    let before = Instant(grown.0 - 1);
    assert!(share.size(before) <= size);
    assert!(share.size(grown) >= size * 2.0);
    share.resize(grown, size / 2.0, WINDOW);
    assert!(share.size(grown) <= size / 2.0);
    // A size that was in force for a moment only counts for as long.
    share.resize(grown + SLICE, size * 2.0, WINDOW);
    assert!(share.size(grown + WINDOW) <= size / 2.0);
    assert!(share.size(grown + SLICE + WINDOW + LOAN_TIME) >= size * 2.0);
}

/// Guards against a borrowed token that is used after its time, or twice.
#[test]
fn loan_endswithitstime() {
    let now = Instant(1_000_000);
    let (soon, late) = (now + Span::from_millis(100), now + Span::from_millis(300));
    let mut purse = Purse::default();
    purse.add(now, late, Tokens(50));
    purse.add(now, soon, Tokens(30));
    assert_eq!(purse.take(now, Tokens(40)), (Tokens(40), soon));
    assert_eq!(purse.total(now), Tokens(40));
    purse.add(now, soon, Tokens(30));
    assert_eq!(purse.take(soon, Tokens(100)), (Tokens(40), late));
    purse.add(late, late, Tokens(10));
    assert_eq!(purse.total(now), Tokens(0));
}

/// Guards against borrowed tokens that are lost without a metric that shows it.
#[test]
fn loan_lapsedcounts() {
    let now = Instant(1_000_000);
    let (soon, late) = (now + Span::from_millis(100), now + Span::from_millis(300));
    let mut purse = Purse::default();
    purse.add(now, soon, Tokens(30));
    purse.add(now, late, Tokens(50));
    purse.add(soon, now, Tokens(7));
    assert_eq!(purse.take(now, Tokens(10)).0, Tokens(10));
    assert_eq!(purse.take_lapsed(), Tokens(7));
    assert_eq!(purse.total(soon), Tokens(50));
    assert_eq!(purse.take(late, Tokens(10)).0, Tokens(0));
    assert_eq!(purse.take_lapsed(), Tokens(20 + 50));
    assert_eq!(purse.take_lapsed(), Tokens(0));
}

/// Guards against tokens kept for urgent requests that no longer come, or for less urgent ones.
#[test]
fn demand_isofthelastsecond() {
    let now = Instant(10_000_000);
    let mut demand = Demand::default();
    demand.record(now, 0, Tokens(100));
    demand.record(now, 2, Tokens(1_000));
    demand.record(now + Span::from_millis(500), 0, Tokens(10));
    let later = now + Span::from_millis(900);
    assert_eq!(demand.more_urgent(later, 2), Tokens(110));
    assert_eq!(demand.more_urgent(later, 0), Tokens(0));
    assert_eq!(
        demand.more_urgent(now + Span::from_millis(1_200), 2),
        Tokens(10)
    );
}
