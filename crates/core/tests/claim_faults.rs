//! Claims on idempotency keys under faults. The fakes' record decides what ran.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use dahliastile_core::effect::Effect;
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::event::Event;
use dahliastile_core::peer::{Finding, Message, Verdict};
use dahliastile_core::platform::Call;
use dahliastile_core::settings::Tuning;
use support::callers::Ending;
use support::net::End;
use support::setup::{Size, booking_call, once};
use support::{Fleet, MS, Micros, SEC};

const VMS: usize = 5;

fn size(tuning: Tuning) -> Size {
    Size {
        vms: VMS,
        engines: 0,
        plains: 2,
        adapters: 0,
        tuning,
        ..Size::small()
    }
}

fn fleet(seed: u64) -> Fleet {
    size(Tuning::default()).fleet(seed)
}

/// Runs of a key, over all asks.
fn runs(fleet: &Fleet, key: &str) -> usize {
    let asks = fleet.asks.iter();
    let asks = asks.filter(|ask| ask.call.key.as_deref() == Some(key));
    asks.map(|ask| ask.runs.len()).sum()
}

fn ask(fleet: &mut Fleet, vm: usize, key: &str) -> usize {
    fleet.ask(vm, once(booking_call(1), key))
}

/// The kind and `ran` of a refusal.
fn refusal(fleet: &Fleet, ask: usize) -> Option<(Kind, Ran)> {
    let answer = fleet.asks[ask].refusal();
    answer.map(|answer| (answer.kind, answer.ran))
}

/// Whether an ask got the answer of the first run.
fn replayed(fleet: &Fleet, ask: usize) -> bool {
    matches!(fleet.asks[ask].ending, Some(Ending::Replayed(..)))
}

/// Whether an effect writes to a log of claims.
fn writes_claims(effect: &Effect) -> bool {
    match effect {
        Effect::Platform {
            call: Call::Txn { puts, .. },
            ..
        } => puts.iter().any(|put| put.key.contains("/claims/")),
        _ => false,
    }
}

/// The VM that writes to the logs of claims next is noted here.
fn home(fleet: &mut Fleet) -> Rc<RefCell<Vec<usize>>> {
    let writers = Rc::new(RefCell::new(Vec::new()));
    for vm in 0..fleet.vms.len() {
        let writers = Rc::clone(&writers);
        fleet.pause_at(vm, move |effect| {
            if writes_claims(effect) {
                writers.borrow_mut().push(vm);
            }
            false
        });
    }
    writers
}

/// The home of a key, found by a fleet of the same seed.
fn home_of(seed: u64, vm: usize, key: &str) -> usize {
    let mut fleet = fleet(seed);
    let writers = home(&mut fleet);
    ask(&mut fleet, vm, key);
    fleet.run_for(SEC);
    let first = writers.borrow().first().copied();
    first.expect("someone writes the claim")
}

#[test]
fn repeat_gets_the_first_answer() {
    let mut fleet = fleet(1);
    let first = ask(&mut fleet, 0, "k");
    assert!(fleet.finish(first, SEC).finished());
    for vm in 0..VMS {
        let again = ask(&mut fleet, vm, "k");
        fleet.finish(again, SEC);
        assert!(replayed(&fleet, again), "{:?}", fleet.asks[again].ending);
    }
    let other = fleet.ask(3, once(booking_call(2), "k"));
    fleet.finish(other, SEC);
    assert_eq!(refusal(&fleet, other), Some((Kind::KeyReused, Ran::No)));
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.check();
}

#[test]
fn same_key_at_two_vms_at_once() {
    for seed in 0..20 {
        let mut fleet = fleet(seed);
        let asks: Vec<usize> = (0..VMS).map(|vm| ask(&mut fleet, vm, "k")).collect();
        assert!(fleet.finish_all(5 * SEC));
        let whole = asks.iter().filter(|ask| fleet.asks[**ask].finished());
        assert_eq!(whole.count(), 1);
        assert_eq!(runs(&fleet, "k"), 1);
        fleet.check();
    }
}

#[test]
fn answer_lost_after_the_write() {
    for count in 1..4 {
        let mut fleet = fleet(count.into());
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_answers = count;
        let first = ask(&mut fleet, 0, "k");
        assert!(fleet.finish(first, 30 * SEC).finished());
        let again = ask(&mut fleet, 1, "k");
        fleet.finish(again, 10 * SEC);
        assert!(replayed(&fleet, again), "{:?}", fleet.asks[again].ending);
        assert_eq!(runs(&fleet, "k"), 1);
        fleet.check();
    }
}

#[test]
fn answer_lost_before_the_write() {
    for count in 1..4 {
        let mut fleet = fleet(count.into());
        fleet.kv.faults.only = Some("txn");
        fleet.kv.faults.lose_calls = count;
        let first = ask(&mut fleet, 0, "k");
        fleet.finish(first, 30 * SEC);
        assert!(fleet.asks[first].ending.is_some());
        let again = ask(&mut fleet, 1, "k");
        fleet.finish(again, 10 * SEC);
        assert_eq!(runs(&fleet, "k"), 1);
        fleet.check();
    }
}

#[test]
fn nothing_is_said_of_a_key_in_doubt() {
    // The first write's answer is lost; nothing else answers until the caller of the second claim is gone.
    let mut fleet = fleet(5);
    fleet.kv.faults.only = Some("txn");
    fleet.kv.faults.lose_answers = 1;
    let first = ask(&mut fleet, 0, "k");
    fleet.run_for(1_900 * MS);
    fleet.kv_down(false);
    fleet.run_for(200 * MS);
    let second = ask(&mut fleet, 1, "k");
    fleet.run_for(SEC);
    assert_eq!(fleet.asks[second].ending, None, "the key may be claimed");
    assert_eq!(runs(&fleet, "k"), 0);
    fleet.kv_up();
    assert!(fleet.finish_all(10 * SEC));
    assert!(
        fleet.asks[first].finished(),
        "{:?}",
        fleet.asks[first].ending
    );
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.check();
}

/// Crashes one VM some time after a claim was asked for, then repeats the key everywhere.
fn crash_during(victim: usize, asker: usize, after: Micros) {
    let mut fleet = fleet(9);
    let first = ask(&mut fleet, asker, "k");
    fleet.run_for(after);
    fleet.crash(victim);
    fleet.finish(first, 30 * SEC);
    assert!(fleet.asks[first].ending.is_some(), "{victim} {after}");
    if victim != asker {
        let ending = &fleet.asks[first].ending;
        assert_eq!(
            *ending,
            Some(Ending::Finished),
            "vm {victim} after {after}us"
        );
    }
    for vm in (0..VMS).filter(|vm| *vm != victim) {
        let again = ask(&mut fleet, vm, "k");
        fleet.finish(again, 30 * SEC);
        assert!(fleet.asks[again].ending.is_some());
    }
    assert!(runs(&fleet, "k") <= 1, "vm {victim} after {after}us");
    fleet.check();
}

#[test]
fn home_dies_before_and_after_the_write() {
    let home = home_of(9, 0, "k");
    let asker = (home + 1) % VMS;
    for after in (0..16 * MS).step_by(500) {
        crash_during(home, asker, after);
    }
}

#[test]
fn asker_dies_before_and_after_the_claim() {
    let home = home_of(9, 0, "k");
    let asker = (home + 1) % VMS;
    for after in (0..20 * MS).step_by(500) {
        crash_during(asker, asker, after);
        crash_during(home, home, after);
    }
}

#[test]
fn two_homes_at_once() {
    for seed in 0..10 {
        let mut fleet = fleet(seed);
        fleet.partition(&[0, 1]);
        fleet.run_for(8 * SEC);
        let writers = home(&mut fleet);
        for round in 0..10 {
            let key = format!("k{round}");
            let asks = [ask(&mut fleet, 0, &key), ask(&mut fleet, 4, &key)];
            assert!(fleet.finish_all(10 * SEC));
            let whole = asks.iter().filter(|ask| fleet.asks[**ask].finished());
            assert_eq!((whole.count(), runs(&fleet, &key)), (1, 1));
        }
        let writers = writers.borrow();
        let sides = (
            writers.iter().any(|vm| *vm < 2),
            writers.iter().any(|vm| *vm >= 2),
        );
        assert_eq!(sides, (true, true), "both sides have homes");
        fleet.check();
    }
}

#[test]
fn service_down_refuses_at_once_as_not_run() {
    let mut fleet = fleet(2);
    let before = ask(&mut fleet, 0, "before");
    assert!(fleet.finish(before, SEC).finished());
    fleet.run_for(SEC);
    fleet.kv_down(false);
    for vm in 0..VMS {
        let down = ask(&mut fleet, vm, "down");
        fleet.finish(down, 100 * MS);
        assert_eq!(refusal(&fleet, down), Some((Kind::PlatformDown, Ran::No)));
        // What is known to have run is not said to be not run.
        let known = ask(&mut fleet, vm, "before");
        fleet.finish(known, 100 * MS);
        assert_eq!(refusal(&fleet, known), Some((Kind::Duplicate, Ran::Yes)));
    }
    assert_eq!(runs(&fleet, "down"), 0);
    fleet.kv_up();
    fleet.run_for(5 * SEC);
    let up = ask(&mut fleet, 3, "down");
    assert!(
        fleet.finish(up, 5 * SEC).finished(),
        "{:?}",
        fleet.asks[up].ending
    );
    fleet.check();
}

#[test]
fn known_key_stays_known_in_a_silent_outage() {
    let tuning = Tuning {
        claim_slots: 1,
        ..Tuning::default()
    };
    let mut fleet = size(tuning).fleet(2);
    let before = ask(&mut fleet, 0, "before");
    assert!(fleet.finish(before, SEC).finished());
    fleet.run_for(SEC);
    fleet.kv_down(true);
    // This write's answer never comes, so the home's table may be behind the log from here on.
    ask(&mut fleet, 0, "down");
    fleet.run_for(2_500 * MS);
    for vm in 0..VMS {
        let known = ask(&mut fleet, vm, "before");
        fleet.finish(known, 5 * SEC);
        assert_eq!(refusal(&fleet, known), Some((Kind::Duplicate, Ran::Yes)));
    }
    fleet.check();
}

#[test]
fn claim_written_by_a_home_that_fell_silent_is_given_back() {
    let home = home_of(9, 0, "k");
    let asker = (home + 1) % VMS;
    let mut fleet = fleet(9);
    fleet.pause_at(home, |effect| {
        let verdict = |message: &Message| matches!(message, Message::Verdict(_));
        matches!(effect, Effect::Peer { message, .. } if verdict(message))
    });
    let first = ask(&mut fleet, asker, "k");
    fleet.run_for(200 * MS);
    assert!(
        fleet.vms[home].paused,
        "the claim is written, and nobody knows"
    );
    fleet.kv_down(false);
    fleet.finish(first, 10 * SEC);
    assert_eq!(refusal(&fleet, first), Some((Kind::PlatformDown, Ran::No)));
    fleet.kv_up();
    fleet.run_for(8 * SEC);
    let again = ask(&mut fleet, (home + 2) % VMS, "k");
    let ending = fleet.finish(again, 5 * SEC);
    assert!(ending.finished(), "{:?}", ending.ending);
    fleet.check();
}

#[test]
fn silent_service_refuses_in_time() {
    let mut fleet = fleet(3);
    fleet.kv_down(true);
    let down = ask(&mut fleet, 0, "k");
    fleet.finish(down, 10 * SEC);
    assert_eq!(refusal(&fleet, down), Some((Kind::PlatformDown, Ran::No)));
    fleet.kv_up();
    fleet.run_for(5 * SEC);
    let up = ask(&mut fleet, 1, "k");
    assert!(
        fleet.finish(up, 5 * SEC).finished(),
        "{:?}",
        fleet.asks[up].ending
    );
    fleet.check();
}

#[test]
fn not_run_frees_the_key() {
    let mut fleet = fleet(4);
    for plain in &mut fleet.plains {
        plain.refuse = 100;
    }
    let first = ask(&mut fleet, 0, "k");
    fleet.finish(first, 10 * SEC);
    let answer = fleet.asks[first].refusal().expect("it is refused");
    assert_eq!(answer.ran, Ran::No);
    for plain in &mut fleet.plains {
        plain.refuse = 0;
    }
    fleet.run_for(SEC);
    let again = ask(&mut fleet, 2, "k");
    assert!(
        fleet.finish(again, 5 * SEC).finished(),
        "{:?}",
        fleet.asks[again].ending
    );
    fleet.check();
}

#[test]
fn broken_run_is_never_repeated() {
    let mut fleet = fleet(6);
    for plain in &mut fleet.plains {
        plain.break_first = 1;
    }
    let first = ask(&mut fleet, 0, "k");
    fleet.finish(first, 10 * SEC);
    assert_eq!(
        fleet.asks[first].refusal().map(|answer| answer.ran),
        Some(Ran::Unknown)
    );
    for vm in 0..VMS {
        let again = ask(&mut fleet, vm, "k");
        fleet.finish(again, 10 * SEC);
        assert_eq!(
            refusal(&fleet, again),
            Some((Kind::Duplicate, Ran::Unknown))
        );
    }
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.check();
}

#[test]
fn messages_lost_late_and_doubled() {
    for seed in 0..6 {
        let mut fleet = fleet(seed);
        fleet.net.loss = 200;
        fleet.net.twice = 300;
        fleet.net.jitter = 300 * MS;
        for turn in 0..120 {
            let key = format!("k{}", turn % 40);
            ask(&mut fleet, turn % VMS, &key);
            fleet.run_for(30 * MS);
        }
        assert!(fleet.finish_all(30 * SEC));
        for key in 0..40 {
            assert_eq!(runs(&fleet, &format!("k{key}")), 1, "k{key}, seed {seed}");
        }
        fleet.check();
    }
}

#[test]
fn verdict_for_an_earlier_start_is_nobodys() {
    let mut fleet = fleet(7);
    let verdicts: Rc<RefCell<Vec<(usize, Verdict)>>> = Rc::default();
    for vm in 0..VMS {
        let verdicts = Rc::clone(&verdicts);
        fleet.pause_at(vm, move |effect| {
            if let Effect::Peer {
                message: Message::Verdict(verdict),
                ..
            } = effect
            {
                verdicts.borrow_mut().push((vm, verdict.clone()));
            }
            false
        });
    }
    let home = home_of(7, 0, "k");
    let asker = (home + 1) % VMS;
    for plain in &mut fleet.plains {
        plain.hang = 1;
    }
    ask(&mut fleet, asker, "k");
    fleet.run_for(SEC);
    assert_eq!(runs(&fleet, "k"), 1);
    let granted = verdicts
        .borrow()
        .iter()
        .find(|row| row.1.finding == Finding::Granted)
        .cloned();
    let (from, verdict) = granted.expect("the claim was granted");
    // The asker's next start gives the same number to the repeated request, and the old verdict comes again.
    fleet.restart(asker, 100 * MS);
    fleet.run_for(5 * SEC);
    fleet.vms[asker].last_request = 0;
    ask(&mut fleet, asker, "k");
    let event = Event::Peer {
        from: fleet.vms[from].name.clone(),
        incarnation: fleet.vms[from].incarnation,
        message: Message::Verdict(verdict),
    };
    fleet.step(asker, event);
    fleet.run_for(SEC);
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.check();
}

#[test]
fn keys_are_kept_and_then_forgotten() {
    let tuning = Tuning {
        claim_keep_ms: 20_000,
        deadline_max_ms: 10_000,
        ..Tuning::default()
    };
    let mut fleet = size(tuning).fleet(8);
    let segments = |fleet: &Fleet| {
        fleet
            .kv
            .pairs
            .keys()
            .filter(|key| key.contains("/s/"))
            .count()
    };
    for turn in 0..60 {
        let first = fleet.ask(turn % VMS, once(booking_call(1), &format!("k{turn}")));
        fleet.finish(first, SEC);
        fleet.run_for(50 * MS);
    }
    assert!(segments(&fleet) > 0);
    fleet.run_for(15 * SEC);
    // All VMs are replaced: what they remembered is gone, what the service holds is not.
    for vm in 0..VMS {
        fleet.restart(vm, 10 * MS);
    }
    fleet.run_for(3 * SEC);
    for turn in 50..60 {
        let again = fleet.ask(turn % VMS, once(booking_call(1), &format!("k{turn}")));
        fleet.finish(again, 5 * SEC);
        assert!(replayed(&fleet, again), "{:?}", fleet.asks[again].ending);
    }
    fleet.check();
    fleet.run_for(40 * SEC);
    assert_eq!(segments(&fleet), 0, "leases end");
}

#[test]
fn lease_that_is_gone_is_replaced() {
    let tuning = Tuning {
        claim_keep_ms: 20_000,
        deadline_max_ms: 10_000,
        ..Tuning::default()
    };
    let mut fleet = size(tuning).fleet(8);
    for turn in 0..3 {
        let first = ask(&mut fleet, 0, &format!("k{turn}"));
        assert!(fleet.finish(first, SEC).finished());
        // The service forgets every lease, as one that was restored from a copy does.
        fleet.kv.end_leases();
        fleet.run_for(200 * MS);
    }
    fleet.check();
}

/// Guards against a key that counts as free because the segment that says who holds it can't be read.
#[test]
fn segment_unreadable() {
    for text in ["", "[{\"key\":0}]", "null"] {
        let mut fleet = fleet(12);
        let first = ask(&mut fleet, 0, "k");
        assert!(fleet.finish(first, SEC).finished());
        fleet.run_for(SEC);
        let segments = fleet.kv.pairs.iter_mut();
        let segments = segments.filter(|(key, _)| key.contains("/s/"));
        segments.for_each(|(_, (pair, _))| pair.value = text.into());
        // All VMs are replaced: what they remembered is gone.
        (0..VMS).for_each(|vm| fleet.restart(vm, 10 * MS));
        fleet.run_for(5 * SEC);
        for vm in 0..VMS {
            let again = ask(&mut fleet, vm, "k");
            fleet.finish(again, 10 * SEC);
            assert!(!fleet.asks[again].finished(), "{text:?}: vm {vm} runs it");
        }
        assert_eq!(runs(&fleet, "k"), 1, "{text:?}");
        fleet.check();
    }
}

/// Guards against a key that counts as free because the service came back from a copy made before it was claimed.
#[test]
fn service_restored_fromacopy() {
    let mut fleet = fleet(13);
    let before = ask(&mut fleet, 0, "before");
    assert!(fleet.finish(before, SEC).finished());
    fleet.run_for(SEC);
    let copy = fleet.kv.copy();
    let first = ask(&mut fleet, 0, "k");
    assert!(fleet.finish(first, SEC).finished());
    fleet.run_for(SEC);
    fleet.kv_down(false);
    fleet.kv.restore(copy);
    fleet.kv_up();
    fleet.run_for(5 * SEC);
    let home = home_of(13, 0, "k");
    fleet.restart(home, 10 * MS);
    fleet.run_for(5 * SEC);
    for vm in 0..VMS {
        let again = ask(&mut fleet, vm, "k");
        fleet.finish(again, 10 * SEC);
    }
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.check();
}

#[test]
fn cut_off_home_is_passed_by() {
    let home = home_of(9, 0, "k");
    let asker = (home + 1) % VMS;
    let mut fleet = fleet(9);
    // The two can't reach each other, but everybody else hears both.
    fleet.net.cut(End::Vm(home), End::Vm(asker));
    let first = ask(&mut fleet, asker, "k");
    assert!(fleet.finish(first, 20 * SEC).finished());
    fleet.check();
}

#[test]
fn calls_are_bounded_as_requests_grow() {
    let calls = |rate: u64| {
        let mut fleet = fleet(10);
        fleet.verify = false;
        let prefix = |fleet: &Fleet| fleet.kv.total();
        let before = prefix(&fleet);
        let begun = fleet.now;
        let mut turn = 0;
        while fleet.now < begun + 3 * SEC {
            fleet.ask(turn % VMS, once(booking_call(1), &format!("k{turn}")));
            turn += 1;
            fleet.run_for(SEC / rate);
        }
        let calls = (prefix(&fleet) - before) / 3;
        assert!(fleet.finish_all(10 * SEC));
        fleet.check();
        println!("{rate} requests a second: {calls} calls a second");
        calls
    };
    let few = calls(20);
    let some = calls(200);
    let many = calls(1_000);
    assert!(few < 80, "{few}");
    assert!(some < 300 && many < 300, "{some} and {many}");
}

#[test]
fn drained_vm_leaves_nothing_untold() {
    let mut fleet = fleet(11);
    for turn in 0..20 {
        ask(&mut fleet, 2, &format!("k{turn}"));
    }
    fleet.run_for(3 * MS);
    fleet.net.loss = 300;
    fleet.shut_down(2, false);
    assert!(fleet.finish_all(10 * SEC));
    let gone = fleet.run_while(|fleet| fleet.vms[2].node.is_some(), 20 * SEC);
    assert!(gone, "it stops");
    fleet.net.loss = 0;
    for turn in 0..20 {
        let again = ask(&mut fleet, 3, &format!("k{turn}"));
        fleet.finish(again, 5 * SEC);
        assert!(replayed(&fleet, again), "{:?}", fleet.asks[again].ending);
    }
    fleet.check();
}
