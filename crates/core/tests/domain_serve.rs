//! Control domains when nothing fails: leases are taken, cold adapters are loaded, slots change hands.

mod support;

use dahliastile_core::log::Code;
use support::setup::{self, Size};
use support::{Fleet, MS, SEC};

fn small(seed: u64) -> Fleet {
    Size::small().fleet(seed)
}

#[test]
fn cold_served() {
    let mut fleet = small(1);
    let ask = fleet.ask(0, setup::model(0, 7, 5));
    let done = fleet.finish(ask, 10 * SEC).clone();
    assert!(done.finished(), "{done:?}");
    assert!(done.ended.unwrap() - done.at < SEC, "{done:?}");
    fleet.check();
}

#[test]
fn warm_unloaded_never() {
    let mut fleet = small(2);
    for round in 0..40 {
        let ask = fleet.ask(round % 3, setup::model(round % 4, round as u64, 5));
        assert!(fleet.finish(ask, 10 * SEC).finished());
    }
    assert_eq!(fleet.logged(Code::LoadOrdered), 4);
    fleet.check();
}

#[test]
fn slots_changehands() {
    let mut fleet = small(3);
    for round in 0..48 {
        let ask = fleet.ask(round % 3, setup::model(round % 12, round as u64, 5));
        assert!(fleet.finish(ask, 20 * SEC).finished(), "round {round}");
    }
    assert!(fleet.engines.iter().all(|engine| engine.unloads > 0));
    fleet.check();
}

#[test]
fn many_waiting() {
    let mut fleet = small(4);
    for request in 0..120 {
        fleet.ask(request % 3, setup::model(request % 12, request as u64, 20));
        fleet.run_for(5 * MS);
    }
    assert!(fleet.finish_all(60 * SEC));
    let whole = fleet.asks.iter().filter(|ask| ask.finished()).count();
    assert_eq!(whole, 120);
    fleet.check();
}
