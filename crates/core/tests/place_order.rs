//! The order of loads and the choice between servers, as far as they are pure functions.
#![allow(clippy::needless_pass_by_value)] // quickcheck gives its values away

use dahliastile_core::entity::Adapter;
use dahliastile_core::policy::{Cold, order, unwelcome};
use quickcheck::{Gen, QuickCheck, TestResult};

fn rows(list: &[(u16, u8)]) -> Vec<Cold> {
    let row = |(at, (weight, rate)): (usize, &(u16, u8))| Cold {
        adapter: Adapter::from_u32(u32::try_from(at).expect("few rows")),
        weight: u32::from(*weight),
        rate: f64::from(*rate) / 100.0,
    };
    list.iter().enumerate().map(row).collect()
}

fn check<T: quickcheck::Testable>(property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x10ad))
        .tests(2_000)
        .quickcheck(property);
}

/// Takes the best of what is left, again and again.
fn naive(mut left: Vec<Cold>) -> Vec<Cold> {
    let mut sorted = Vec::new();
    while !left.is_empty() {
        let mut best = 0;
        for at in 1..left.len() {
            let (one, other) = (left[at].worth(), left[best].worth());
            let first = left[at].adapter < left[best].adapter;
            if one > other || (one >= other && first) {
                best = at;
            }
        }
        sorted.push(left.remove(best));
    }
    sorted
}

#[test]
fn order_equals_naive() {
    fn property(list: Vec<(u16, u8)>) -> bool {
        let mut sorted = rows(&list);
        order(&mut sorted);
        sorted == naive(rows(&list))
    }
    check(property as fn(Vec<(u16, u8)>) -> bool);
}

#[test]
fn order_moreweight_notlater() {
    /// One more request that waits never puts its adapter further back.
    fn property(list: Vec<(u16, u8)>, which: usize) -> TestResult {
        if list.is_empty() {
            return TestResult::discard();
        }
        let place = |list: &[(u16, u8)], which: usize| {
            let adapter = rows(list)[which].adapter;
            let mut sorted = rows(list);
            order(&mut sorted);
            sorted.iter().position(|row| row.adapter == adapter)
        };
        let which = which % list.len();
        let mut more = list.clone();
        more[which].0 = more[which].0.saturating_add(1_000);
        TestResult::from_bool(place(&more, which) <= place(&list, which))
    }
    check(property as fn(Vec<(u16, u8)>, usize) -> TestResult);
}

#[test]
fn unwelcome_spread_byload() {
    fn property(one: u8, other: u8) -> bool {
        let (one, other) = (f64::from(one) / 100.0, f64::from(other) / 100.0);
        (one < other) == (unwelcome(one, false) < unwelcome(other, false))
    }
    check(property as fn(u8, u8) -> bool);
}

#[test]
fn unwelcome_packs_fullestwithroom() {
    /// The fullest that has room is taken; a crowded one only where none has.
    fn property(fills: Vec<u8>) -> bool {
        let fills: Vec<f64> = fills.iter().map(|fill| f64::from(*fill) / 100.0).collect();
        let rank =
            |one: &&f64, other: &&f64| unwelcome(**one, true).total_cmp(&unwelcome(**other, true));
        let Some(&chosen) = fills.iter().min_by(rank) else {
            return true;
        };
        let roomy = fills.iter().copied().filter(|fill| *fill < 0.7);
        match roomy.reduce(f64::max) {
            Some(fullest) => {
                chosen >= fullest || chosen >= 0.7 && unwelcome(fullest, true) >= chosen
            }
            None => fills.iter().all(|fill| chosen <= *fill),
        }
    }
    check(property as fn(Vec<u8>) -> bool);
}
