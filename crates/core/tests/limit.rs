//! The tables behind limits, against plain models.
// Properties get their cases by value.
#![allow(clippy::needless_pass_by_value)]

use std::collections::BTreeMap;

use dahliastile_core::entity::Caller;
use dahliastile_core::id::Request;
use dahliastile_core::policy::{Bucket, Budget, Clock, Pace, Shares};
use dahliastile_core::time::{Instant, Span};
use quickcheck::{Gen, QuickCheck, Testable};

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 0x5eed))
        .tests(2_000)
        .quickcheck(property);
}

fn caller(i: u8) -> Caller {
    Caller::from_u32(u32::from(i))
}

#[test]
fn bucket_never_over_rate() {
    /// Steps are gaps in microseconds; a token is taken whenever there is one.
    fn property(rate: u16, gaps: Vec<u16>) -> bool {
        let rate = u32::from(rate) + 1;
        let mut now = Instant(0);
        let mut bucket = Bucket::new(now);
        let mut taken = 0u64;
        for gap in gaps {
            now += Span(u64::from(gap) * 10);
            if bucket.wait(now, rate) == Span::ZERO {
                bucket.take(now, rate);
                taken += 1;
            }
        }
        taken * 1_000_000 <= u64::from(rate) * (now.0 + 1_000_000)
    }
    check(property as fn(u16, Vec<u16>) -> bool);
}

#[test]
fn bucket_wait_is_exact() {
    fn property(rate: u16) -> bool {
        let rate = u32::from(rate) + 1;
        let mut bucket = Bucket::new(Instant(0));
        for _ in 0..rate {
            bucket.take(Instant(0), rate);
        }
        let wait = bucket.wait(Instant(0), rate);
        let early = Instant(wait.0 - 1);
        wait > Span::ZERO
            && bucket.wait(Instant(wait.0), rate) == Span::ZERO
            && bucket.wait(early, rate) > Span::ZERO
    }
    check(property as fn(u16) -> bool);
}

#[test]
fn bucket_zero_rate() {
    let mut bucket = Bucket::new(Instant(0));
    bucket.take(Instant(0), 0);
    assert!(bucket.wait(Instant(u64::MAX / 2), 0) > Span::ZERO);
}

#[test]
fn budget_bounds_retries() {
    fn property(gaps: Vec<u8>) -> bool {
        let mut now = Instant(0);
        let mut budget = Budget::new(now);
        let (mut first, mut retries) = (0u64, 0u64);
        for gap in gaps.iter().cycle().take(2_000) {
            now += Span::from_millis(u64::from(*gap));
            first += 1;
            budget.earn(10);
            retries += u64::from(budget.spend(now));
        }
        retries * 100 <= 100 * 100 + first * 10 + now.0 / 1_000 * 200 / 1_000
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn budget_refills_in_quiet() {
    let mut budget = Budget::new(Instant(0));
    while budget.spend(Instant(0)) {}
    let spent = (1..=10).filter(|i| budget.spend(Instant(i * 1_000_000)));
    assert_eq!(spent.count(), 10);
}

#[test]
fn clock_shares_by_weight() {
    let mut clock = Clock::default();
    let mut queue: Vec<(u64, u8)> = Vec::new();
    for _ in 0..300 {
        queue.push((clock.tag(caller(0), 1, 10), 0));
        queue.push((clock.tag(caller(1), 2, 10), 1));
    }
    queue.sort_unstable();
    let second = queue[..150].iter().filter(|(_, who)| *who == 1).count();
    assert_eq!(second, 100);
}

#[test]
fn clock_late_caller_is_next() {
    let mut clock = Clock::default();
    let flood: Vec<u64> = (0..1_000).map(|_| clock.tag(caller(0), 1, 100)).collect();
    clock.served(flood[10]);
    let late = clock.tag(caller(1), 1, 100);
    assert!(late <= flood[10] && late < flood[11]);
}

#[test]
fn shares_victim_equals_naive() {
    /// The same table as a plain list of (priority, caller, request).
    fn naive(list: &[(i32, u8, u64)], new: (i32, u8)) -> Option<u64> {
        let worst = list.iter().map(|row| row.0).max()?.max(new.0);
        let mut held: BTreeMap<u8, u64> = BTreeMap::new();
        for row in list.iter().filter(|row| row.0 == worst) {
            *held.entry(row.1).or_default() += 1;
        }
        if new.0 == worst {
            *held.entry(new.1).or_default() += 1;
        }
        let weight = |who: u8| u64::from(who % 3) + 1;
        let over = |a: (u8, u64), b: (u8, u64)| a.1 * weight(b.0) > b.1 * weight(a.0);
        let held: Vec<(u8, u64)> = held.into_iter().collect();
        let top = |row: &&(u8, u64)| !held.iter().any(|other| over(*other, **row));
        let tops: Vec<u8> = held.iter().filter(top).map(|row| row.0).collect();
        if new.0 == worst && tops.contains(&new.1) {
            return None;
        }
        let who = *tops.last()?;
        let of = list.iter().filter(|row| row.0 == worst && row.1 == who);
        of.map(|row| row.2).max()
    }
    fn property(rows: Vec<(u8, u8)>, new: (u8, u8), gone: Vec<bool>) -> bool {
        let mut shares = Shares::default();
        let mut list = Vec::new();
        for ((priority, who), number) in rows.into_iter().zip(0u64..) {
            let row = (i32::from(priority % 3), who % 5, number);
            shares.add(
                row.0,
                caller(row.1),
                u32::from(row.1 % 3) + 1,
                Request(number),
            );
            list.push(row);
        }
        for (row, gone) in list.clone().into_iter().zip(gone) {
            if gone {
                shares.remove(row.0, caller(row.1), Request(row.2));
                list.retain(|other| *other != row);
            }
        }
        let new = (i32::from(new.0 % 3), new.1 % 5);
        let weight = u32::from(new.1 % 3) + 1;
        let found = shares.victim(new.0, caller(new.1), weight);
        shares.count() as usize == list.len() && found.map(|r| r.0) == naive(&list, new)
    }
    check(property as fn(Vec<(u8, u8)>, (u8, u8), Vec<bool>) -> bool);
}

#[test]
fn pace_steady_rate() {
    let mut pace = Pace::new(Instant(0));
    for i in 1..=1_000u64 {
        pace.leave(Instant(i * 10_000));
    }
    let wait = pace.wait(Instant(10_000_000), 200).unwrap();
    assert!(
        wait >= Span::from_millis(1_980) && wait <= Span::from_millis(2_020),
        "{wait}"
    );
}

#[test]
fn pace_unknown_at_first() {
    let mut pace = Pace::new(Instant(0));
    pace.leave(Instant(1));
    assert_eq!(pace.wait(Instant(2), 1_000), None);
}

#[test]
fn pace_slows_when_nothing_leaves() {
    let mut pace = Pace::new(Instant(0));
    for i in 1..=100u64 {
        pace.leave(Instant(i * 10_000));
    }
    let soon = pace.wait(Instant(1_000_000), 10).unwrap();
    let later = pace.wait(Instant(5_000_000), 10).unwrap();
    assert!(later > soon.times(4), "{soon} {later}");
}
