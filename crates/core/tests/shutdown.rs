//! VMs that are told to stop while requests wait: each gets its final answer before the VM ends, whatever it waits for.

mod support;

use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::event::Call;
use dahliastile_core::settings::Tuning;
use dahliastile_core::time::Span;
use support::callers::{Ask, Ending};
use support::setup::{Size, booking_call, model, once};
use support::{Fleet, MS, Micros, SEC};

/// How long the draining VM of these tests waits for requests in progress.
const DRAIN: Micros = 3 * SEC;

/// How long a VM may take to end after its requests were cut.
const CUT: Micros = 2 * SEC;

/// The VM that is told to stop.
const LEAVING: usize = 1;

fn fleet(seed: u64) -> Fleet {
    let size = Size {
        tuning: Tuning {
            drain_ms: DRAIN / MS,
            ..Tuning::default()
        },
        ..Size::small()
    };
    size.fleet(seed)
}

/// Requests that wait at the VM that is to stop: for a load that no engine ends, for a claim that no service grants, and at an
/// engine that has gone silent.
fn blocked(fleet: &mut Fleet) -> [usize; 3] {
    let warm = fleet.ask(LEAVING, model(0, 1, 5));
    assert!(fleet.finish(warm, 20 * SEC).finished());
    for engine in &mut fleet.engines {
        engine.faults.hang = 1;
        engine.faults.lose_orders = u32::MAX;
    }
    fleet.kv_down(true);
    let silent = fleet.ask(LEAVING, model(0, 2, 5));
    let cold = fleet.ask(LEAVING, model(7, 3, 5));
    let claim = fleet.ask(LEAVING, once(booking_call(4), "k"));
    fleet.run_for(100 * MS);
    [cold, claim, silent]
}

fn refusal(ask: &Ask) -> Option<(Kind, Ran)> {
    ask.refusal().map(|answer| (answer.kind, answer.ran))
}

/// What each of the blocked requests was answered. A claim may be refused before, as the service does not answer.
fn assert_answered(fleet: &Fleet, [cold, claim, silent]: [usize; 3]) {
    assert_eq!(
        refusal(&fleet.asks[cold]),
        Some((Kind::ShuttingDown, Ran::No))
    );
    assert!(matches!(
        refusal(&fleet.asks[claim]),
        Some((Kind::ShuttingDown | Kind::PlatformDown, Ran::No))
    ));
    assert_eq!(
        refusal(&fleet.asks[silent]),
        Some((Kind::Cut, Ran::Unknown))
    );
    assert!(fleet.asks[cold].runs.is_empty() && fleet.asks[claim].runs.is_empty());
    fleet.check();
}

fn ends(fleet: &mut Fleet, limit: Micros) -> bool {
    fleet.run_while(|fleet| fleet.vms[LEAVING].node.is_some(), limit)
}

/// Guards against requests that are still open when a drain has lasted `drain_ms` and the VM ends.
#[test]
fn drain_answerswhatoutlastsit() {
    let mut fleet = fleet(1);
    let asks = blocked(&mut fleet);
    fleet.shut_down(LEAVING, false);
    assert!(ends(&mut fleet, DRAIN + CUT), "the drain has a bound");
    assert_answered(&fleet, asks);
}

/// Guards against requests that are dropped where a VM is told to stop a second time, at once.
#[test]
fn cut_answerswhatwaits() {
    let mut fleet = fleet(2);
    let asks = blocked(&mut fleet);
    fleet.shut_down(LEAVING, false);
    fleet.run_for(100 * MS);
    fleet.shut_down(LEAVING, true);
    assert_answered(&fleet, asks);
    assert!(ends(&mut fleet, CUT), "it ends soon after");
}

/// Guards against a refusal that sends callers elsewhere without a word of when, as the table of errors promises.
#[test]
fn cut_sayswhentocomeback() {
    let mut fleet = fleet(3);
    let [cold, ..] = blocked(&mut fleet);
    fleet.shut_down(LEAVING, true);
    let answer = fleet.asks[cold].refusal().expect("a refusal");
    assert!(answer.retry_after.is_some(), "{answer:?}");
}

/// Guards against requests of other VMs that wait for a grant until their own deadline, as the domain's holder drains and
/// waits for an order that an engine leaves unanswered.
#[test]
fn drain_ofaholderleavesnobodywaiting() {
    /// Shorter than such an order is waited for.
    const TIMEOUT: Span = Span::from_secs(20);
    let size = Size::small();
    assert!(TIMEOUT < Span::from_millis(size.tuning.order_timeout_ms));
    let mut fleet = size.fleet(4);
    let holder = fleet.holder("base").expect("a holder");
    let other = (holder + 1) % 3;
    for engine in &mut fleet.engines {
        engine.faults.lose_orders = 1;
    }
    fleet.ask(holder, model(0, 1, 5));
    fleet.run_for(100 * MS);
    fleet.shut_down(holder, false);
    fleet.run_for(100 * MS);
    let call = Call {
        timeout: Some(TIMEOUT),
        ..model(5, 2, 5)
    };
    let waiting = fleet.ask(other, call);
    let ask = fleet.finish(waiting, 30 * SEC);
    assert!(ask.finished(), "{:?}", ask.ending);
    fleet.check();
}

/// Guards against claims of other VMs that are dropped with the home that was asked for them.
#[test]
fn drain_ofahomeleavesnoclaimwaiting() {
    let mut fleet = fleet(5);
    let mut asks = Vec::new();
    for turn in 0..60 {
        let vm = [0, 2][turn % 2];
        asks.push(fleet.ask(vm, once(booking_call(1), &format!("k{turn}"))));
        fleet.run_for(MS);
        if turn == 30 {
            fleet.kv.faults.slow = 300 * MS;
            fleet.shut_down(LEAVING, false);
        }
    }
    assert!(fleet.finish_all(5 * SEC));
    assert!(asks.iter().all(|ask| fleet.asks[*ask].finished()));
    assert!(ends(&mut fleet, 20 * SEC));
    fleet.check();
}

/// Asks for more adapters than a fleet has loaded, at the given VMs, which are told to stop at once; says how the requests
/// ended.
fn cold_at(fleet: &mut Fleet, vms: &[usize]) -> Vec<Option<Ending>> {
    let asks: Vec<usize> = (0..10)
        .map(|turn| fleet.ask(vms[turn % vms.len()], model(turn, turn as u64, 50)))
        .collect();
    fleet.run_for(100 * MS);
    for vm in vms {
        fleet.shut_down(*vm, false);
    }
    assert!(fleet.finish_all(60 * SEC));
    let up = |fleet: &Fleet| vms.iter().any(|vm| fleet.vms[*vm].node.is_some());
    assert!(fleet.run_while(up, 30 * SEC), "they end");
    fleet.check();
    asks.iter()
        .map(|ask| fleet.asks[*ask].ending.clone())
        .collect()
}

/// Guards against requests that wait for a load until their own deadline, as the last VM gives its domains up to nobody while
/// it drains.
#[test]
fn drain_ofthelastvmservescoldones() {
    let size = Size {
        vms: 1,
        ..Size::small()
    };
    let endings = cold_at(&mut size.fleet(6), &[0]);
    assert_eq!(endings, vec![Some(Ending::Finished); 10]);
}

/// Guards against the same where all VMs of a fleet are told to stop, and the holder of the domain is the first to be idle.
#[test]
fn drain_ofallvmsservescoldones() {
    let mut fleet = Size::small().fleet(7);
    let holder = fleet.holder("base").expect("a holder");
    let others = [(holder + 1) % 3, (holder + 2) % 3];
    fleet.shut_down(holder, false);
    // The domain is with one of the others by now, or free.
    let endings = cold_at(&mut fleet, &others);
    assert_eq!(endings, vec![Some(Ending::Finished); 10]);
}

/// Guards against the same at a VM that holds the domain while others are there to take it.
#[test]
fn drain_ofaholderservescoldones() {
    let mut fleet = Size::small().fleet(8);
    let holder = fleet.holder("base").expect("a holder");
    let endings = cold_at(&mut fleet, &[holder]);
    assert_eq!(endings, vec![Some(Ending::Finished); 10]);
}
