//! Requests through whole nodes: routing, limits and retries, checked over what the fakes saw.

mod support;

use dahliastile_core::config::{Change, Rule, Then, When};
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::event::Call;
use dahliastile_core::metric::Figure;
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

#[test]
fn rate_limits_caller_and_rule() {
    let mut fleet = Size::small().fleet(2);
    let rate = Then {
        rate: Some(5),
        ..Then::default()
    };
    let when = When {
        caller: Some("caller-1".parse().unwrap()),
        ..When::default()
    };
    fleet.set_rules(vec![rule("slow", when, rate)]);
    for i in 0..20 {
        fleet.ask(0, by_caller(booking_call(i), 0));
        fleet.ask(0, by_caller(booking_call(100 + i), 1));
    }
    assert!(fleet.finish_all(20 * SEC));
    assert_eq!(kinds(&fleet, Kind::RateLimited), 15);
    let limited = fleet.asks.iter().filter_map(|ask| ask.refusal());
    assert!(
        limited
            .clone()
            .all(|a| a.ran == Ran::No && a.retry_after.is_some())
    );
    fleet.run_for(SEC);
    let late = fleet.ask(0, by_caller(booking_call(999), 1));
    assert!(fleet.finish(late, 5 * SEC).finished());
    fleet.check();
}

#[test]
fn queue_full_sheds_heavy_caller() {
    let mut size = Size::small();
    size.adapters = 1;
    size.engines = 1;
    let mut document = size.document();
    document.services[0].queue = 20;
    let mut fleet = size.bare_fleet(3);
    fleet.configure(&document);
    let warm = fleet.ask(0, model(0, 1, 1));
    assert!(fleet.finish(warm, 10 * SEC).finished());
    let heavy: Vec<usize> = (0..60)
        .map(|i| fleet.ask(0, by_caller(model(0, 100 + i, 20), 0)))
        .collect();
    let light: Vec<usize> = (0..5)
        .map(|i| fleet.ask(0, by_caller(model(0, 200 + i, 20), 1)))
        .collect();
    assert!(fleet.finish_all(60 * SEC));
    assert!(light.iter().all(|ask| fleet.asks[*ask].finished()));
    let shed = heavy.iter().filter(|ask| !fleet.asks[**ask].finished());
    assert!(shed.count() >= 30);
    let full = fleet.asks.iter().filter_map(|ask| ask.refusal());
    assert!(
        full.clone()
            .all(|a| a.kind == Kind::QueueFull && a.ran == Ran::No)
    );
    // The light caller came last and does not wait behind all of the heavy one's requests.
    let ends = |asks: &[usize]| asks.iter().filter_map(|a| fleet.asks[*a].ended).max();
    assert!(ends(&light) < ends(&heavy));
    fleet.check();
}

#[test]
fn queue_refuses_what_comes_too_late() {
    let mut size = Size::small();
    size.adapters = 1;
    size.engines = 1;
    let mut fleet = size.fleet(4);
    // Three times what one engine does, with a deadline of two seconds.
    for i in 0..400u64 {
        let call = Call {
            timeout: Some(Span::from_secs(2)),
            ..model(0, i, 20)
        };
        fleet.ask(0, call);
        fleet.run_for(15 * MS);
    }
    assert!(fleet.finish_all(60 * SEC));
    let (early, late) = (
        kinds(&fleet, Kind::Overloaded),
        kinds(&fleet, Kind::DeadlineInQueue),
    );
    assert!(early > 100, "{early} refused at once");
    assert!(
        late * 5 < early,
        "{late} waited in vain, {early} refused at once"
    );
    let at_once =
        |ask: &&support::callers::Ask| ask.refusal().is_some_and(|a| a.kind == Kind::Overloaded);
    assert!(
        fleet
            .asks
            .iter()
            .filter(at_once)
            .all(|a| a.ended == Some(a.at))
    );
    fleet.check();
}

#[test]
fn plain_avoids_server_that_is_down() {
    let mut fleet = Size::small().fleet(5);
    fleet.plains[0].up = false;
    fleet.keep_samples = true;
    for i in 0..50 {
        fleet.ask(0, booking_call(i));
        fleet.run_for(10 * MS);
    }
    assert!(fleet.finish_all(20 * SEC));
    assert!(fleet.asks.iter().all(support::callers::Ask::finished));
    assert_eq!(fleet.plains[1].runs, 50);
    let samples = fleet.samples.iter().map(|(_, _, sample)| sample.figure);
    let retries = samples.filter(|figure| *figure == Figure::Retries).count();
    assert!((1..=3).contains(&retries), "{retries} retries");
    fleet.check();
}

#[test]
fn retry_budget_ends_storm() {
    let mut fleet = Size::small().fleet(6);
    for plain in &mut fleet.plains {
        plain.reject = u32::MAX;
    }
    for i in 0..1_000 {
        fleet.ask(i % 3, booking_call(i as u64));
        fleet.run_for(2 * MS);
    }
    assert!(fleet.finish_all(20 * SEC));
    let runs: u64 = fleet.plains.iter().map(|plain| plain.runs).sum();
    // Three budgets of a hundred, a tenth of the traffic, and a few each second.
    assert!(runs <= 1_000 + 300 + 100 + 3 * 2 * 4, "{runs} runs");
    assert!(
        fleet
            .asks
            .iter()
            .all(|a| a.refusal().is_some_and(|a| a.ran != Ran::No))
    );
    fleet.check();
}

#[test]
fn leaving_server_gets_nothing() {
    let mut fleet = Size::small().fleet(7);
    let mut leaving = Size::small().document().servers[2].clone();
    assert_eq!(leaving.service.as_str(), "booking");
    leaving.leaving = true;
    fleet.edit(0, vec![Change::PutServer(leaving)]);
    fleet.run_for(3 * SEC);
    let before = fleet.plains[0].runs;
    for i in 0..60 {
        fleet.ask(i % 3, booking_call(i as u64));
    }
    assert!(fleet.finish_all(20 * SEC));
    assert_eq!(fleet.plains[0].runs, before);
    fleet.check();
}

#[test]
fn rules_zone_pin_and_refuse() {
    let mut fleet = Size::small().fleet(8);
    let caller = |i: usize| When {
        caller: Some(format!("caller-{i}").parse().unwrap()),
        ..When::default()
    };
    let west = Then {
        require_zone: Some("west".parse().unwrap()),
        ..Then::default()
    };
    let pin = Then {
        pin: vec!["plain-0".parse().unwrap()],
        ..Then::default()
    };
    let refuse = Then {
        refuse: Some("closed".to_owned()),
        ..Then::default()
    };
    fleet.set_rules(vec![
        rule("west", caller(0), west),
        rule("pin", caller(1), pin),
        rule("closed", caller(2), refuse),
    ]);
    for i in 0..10 {
        for c in 0..3 {
            fleet.ask(c, by_caller(booking_call(i), c));
        }
        fleet.run_for(10 * MS);
    }
    assert!(fleet.finish_all(20 * SEC));
    let on = |caller: &str, server: &str| {
        let asks = fleet
            .asks
            .iter()
            .filter(|a| a.call.caller.as_str() == caller);
        asks.flat_map(|a| &a.runs)
            .filter(|run| run.server == server)
            .count()
    };
    assert_eq!(
        (on("caller-0", "plain-1"), on("caller-0", "plain-0")),
        (10, 0)
    );
    assert_eq!(
        (on("caller-1", "plain-0"), on("caller-1", "plain-1")),
        (10, 0)
    );
    assert_eq!(kinds(&fleet, Kind::RefusedByRule), 10);
    fleet.check();
}

#[test]
fn hold_delays_load_not_warm() {
    let mut fleet = Size::small().fleet(12);
    let hold = Then {
        hold_ms: Some(2_000),
        ..Then::default()
    };
    fleet.set_rules(vec![rule("fill", When::default(), hold)]);
    let loads = |fleet: &Fleet| {
        fleet
            .engines
            .iter()
            .filter(|engine| engine.holds("a3@1"))
            .count()
    };
    fleet.ask(0, model(3, 1, 5));
    fleet.run_for(1_800 * MS);
    assert_eq!(loads(&fleet), 0, "the load began before the hold was over");
    fleet.ask(1, model(3, 2, 5));
    assert!(fleet.finish_all(10 * SEC));
    assert!(loads(&fleet) > 0);
    let before = fleet.now;
    let warm = fleet.ask(0, model(3, 3, 5));
    assert!(fleet.finish(warm, SEC).finished());
    assert!(fleet.now - before < 2 * SEC, "a warm request was held back");
    fleet.check();
}

#[test]
fn retry_where_the_adapter_is_loaded_again() {
    for engines in [1, 2] {
        let size = Size {
            engines,
            ..Size::small()
        };
        let mut fleet = size.fleet(9);
        let first = fleet.ask(0, model(0, 1, 3));
        assert!(fleet.finish(first, 10 * SEC).finished());
        // The engine loses the adapter by itself, and says so when it is asked for it.
        for engine in &mut fleet.engines {
            engine.residents.clear();
        }
        let again = fleet.ask(0, model(0, 2, 3));
        let again = fleet.finish(again, 40 * SEC);
        assert!(again.finished(), "{engines} engines: {again:?}");
        assert!(again.ended.unwrap() - again.at < 5 * SEC);
        fleet.check();
    }
}

#[test]
fn retry_where_alone_resident() {
    let mut fleet = Size::small().fleet(10);
    let first = fleet.ask(0, model(0, 1, 3));
    assert!(fleet.finish(first, 10 * SEC).finished());
    let faults: [fn(&mut support::engine::Faults); 4] = [
        |faults| faults.break_first = 1,
        |faults| faults.break_streams = 1,
        |faults| faults.reject = 1,
        |faults| faults.refuse = 1,
    ];
    for (digest, fault) in faults.iter().enumerate() {
        for engine in &mut fleet.engines {
            engine.faults = support::engine::Faults::default();
            fault(&mut engine.faults);
        }
        let again = fleet.ask(1, model(0, 10 + digest as u64, 5));
        let again = fleet.finish(again, 40 * SEC);
        assert!(again.finished(), "fault {digest}: {again:?}");
        assert!(again.ended.unwrap() - again.at < 5 * SEC);
        // Not again at once: the server may need a moment.
        assert!(again.ended.unwrap() - again.at > 500 * MS);
    }
    fleet.check();
}

#[test]
fn retry_of_wrong_answers_ends() {
    let mut fleet = Size::small().fleet(11);
    for adapter in 0..6 {
        let ask = fleet.ask(0, model(adapter, 1, 3));
        assert!(fleet.finish(ask, 10 * SEC).finished());
    }
    for engine in &mut fleet.engines {
        engine.faults.wrong_adapter = u32::MAX;
    }
    for adapter in 0..3 {
        let ask = fleet.ask(0, model(adapter, 2, 3));
        let ask = fleet.finish(ask, 40 * SEC);
        let refusal = ask.refusal().expect("nothing of another adapter counts");
        assert_eq!(refusal.ran, Ran::Unknown);
        assert!(ask.data.is_empty() && ask.runs.len() <= 3, "{ask:?}");
        assert!(ask.ended.unwrap() - ask.at < 10 * SEC, "{ask:?}");
    }
    fleet.check();
}
