//! Requests through whole nodes: routing, limits and retries, checked over what the fakes saw.

mod support;

use dahliastile_core::config::{Change, Rule, Then, When};
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::event::Call;
use dahliastile_core::time::Span;

use support::setup::{Size, booking_call, model};
use support::{Fleet, MS, SEC};

fn rule(name: &str, when: When, then: Then) -> Rule {
    Rule {
        name: name.parse().unwrap(),
        when,
        then,
    }
}

fn by_caller(call: Call, caller: usize) -> Call {
    Call {
        caller: format!("caller-{caller}").parse().unwrap(),
        ..call
    }
}

fn kinds(fleet: &Fleet, kind: Kind) -> usize {
    let refused = |ask: &&support::callers::Ask| ask.refusal().is_some_and(|a| a.kind == kind);
    fleet.asks.iter().filter(refused).count()
}

#[test]
fn ask_answers_whole() {
    let mut fleet = Size::small().fleet(1);
    for i in 0..30 {
        fleet.ask(i % 3, model(i % 6, i as u64, 20));
        fleet.ask(i % 3, booking_call(i as u64));
        fleet.run_for(50 * MS);
    }
    assert!(fleet.finish_all(40 * SEC));
    let open: Vec<_> = fleet.asks.iter().filter(|a| !a.finished()).collect();
    assert!(open.is_empty(), "{:?}", open.first());
    fleet.check();
}
