//! Control domains under faults, each alone. The fakes' own record decides: an adapter that is unloaded while a
//! request is in flight on it is a violation there, whatever the nodes believe.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use dahliastile_core::effect::{Action, Effect};
use dahliastile_core::error::{Kind, Ran};
use dahliastile_core::log::Code;
use support::net::End;
use support::setup::{self, Size};
use support::{Fleet, MS, Micros, SEC};

fn size(fenced: bool) -> Size {
    Size {
        fenced,
        ..Size::small()
    }
}

/// Requests for all adapters in turn, at VMs that serve, one each `every`.
fn churn(fleet: &mut Fleet, span: Micros, every: Micros, tokens: u32) {
    let end = fleet.now + span;
    let mut turn = 0;
    while fleet.now < end {
        let vms: Vec<usize> = (0..fleet.vms.len())
            .filter(|vm| fleet.vms[*vm].serves())
            .collect();
        if !vms.is_empty() {
            let digest = fleet.now;
            fleet.ask(
                vms[turn % vms.len()],
                setup::model(turn % 12, digest, tokens),
            );
        }
        turn += 1;
        fleet.run_for(every);
    }
}

/// Asks for one adapter until its answer is whole.
fn served(fleet: &mut Fleet, vm: usize, adapter: usize, tokens: u32, limit: Micros) -> bool {
    let ask = fleet.ask(vm, setup::model(adapter, fleet.now, tokens));
    fleet.finish(ask, limit).finished()
}

/// The VM that holds the domain, as its lease key says.
fn holder(fleet: &Fleet) -> Option<usize> {
    let value = fleet.kv.value("dahliastile/lease/base")?;
    let text = String::from_utf8_lossy(value).into_owned();
    fleet
        .vms
        .iter()
        .position(|vm| text.contains(&format!("\"{}\"", vm.name)))
}

/// The server and adapter of an unload.
fn unload(effect: &Effect) -> Option<(String, String)> {
    match effect {
        Effect::Order(command) => match &command.action {
            Action::Unload(adapter) => Some((command.server.to_string(), adapter.to_string())),
            Action::Load(_) | Action::Fence => None,
        },
        _ => None,
    }
}

/// All slots taken by warm adapters, then a holder that is frozen right before it sends an unload. Gives the holder,
/// and the engine and adapter of that unload.
fn frozen_before_unload(fleet: &mut Fleet) -> (usize, usize, usize) {
    for adapter in 0..6 {
        assert!(served(fleet, adapter % 3, adapter, 3, 20 * SEC));
    }
    let frozen = holder(fleet).expect("a holder");
    let seen = Rc::new(RefCell::new(None));
    let note = Rc::clone(&seen);
    fleet.pause_at(frozen, move |effect| {
        let victim = unload(effect);
        let found = victim.is_some();
        *note.borrow_mut() = victim;
        found
    });
    let other = (frozen + 1) % 3;
    for adapter in 6..12 {
        fleet.ask(other, setup::model(adapter, fleet.now, 3));
        fleet.run_for(400 * MS);
    }
    assert!(
        fleet.run_while(|fleet| !fleet.vms[frozen].paused, 10 * SEC),
        "the holder was never about to unload"
    );
    let (server, adapter) = seen.borrow().clone().expect("an unload");
    let engine = fleet
        .engines
        .iter()
        .position(|engine| engine.name.as_str() == server)
        .unwrap();
    let adapter = adapter[1..adapter.find('@').unwrap()].parse().unwrap();
    (frozen, engine, adapter)
}

fn paused_holder(fenced: bool, restart: bool, engines: usize) {
    let size = Size {
        engines,
        ..size(fenced)
    };
    let mut fleet = size.fleet(11);
    let (frozen, engine, adapter) = frozen_before_unload(&mut fleet);
    // Its lease lapses and another VM holds the domain.
    let gone = |fleet: &Fleet| holder(fleet).is_none_or(|vm| vm == frozen);
    assert!(fleet.run_while(gone, 60 * SEC), "nobody took the domain");
    fleet.run_for(SEC);
    if restart {
        // Nothing waits any more that would take the slots first.
        fleet.finish_all(60 * SEC);
        fleet.restart_engine(engine, SEC);
    }
    fleet.run_for(8 * SEC);
    // The victim is in use all the time, wherever it may be.
    let others: Vec<usize> = (0..3).filter(|vm| *vm != frozen).collect();
    for turn in 0..8 {
        fleet.ask(others[turn % 2], setup::model(adapter, fleet.now, 400));
        fleet.run_for(500 * MS);
    }
    fleet.resume(frozen);
    fleet.run_for(10 * SEC);
    fleet.check();
    fleet.finish_all(60 * SEC);
    // With one engine only, its unload may be late for a while, so the victim has no place until then.
    fleet.run_for(30 * SEC);
    assert!(served(&mut fleet, others[0], adapter, 3, 30 * SEC));
    fleet.check();
}

#[test]
fn holder_pausedunfenced() {
    paused_holder(false, false, 2);
}

#[test]
fn holder_pausedfenced() {
    paused_holder(true, false, 2);
}

#[test]
fn holder_pausedrestartunfenced() {
    paused_holder(false, true, 2);
    paused_holder(false, true, 1);
}

#[test]
fn holder_pausedrestartfenced() {
    paused_holder(true, true, 2);
    paused_holder(true, true, 1);
}

#[test]
fn holder_dies() {
    for fenced in [false, true] {
        let mut fleet = size(fenced).fleet(12);
        for adapter in 0..4 {
            assert!(served(&mut fleet, adapter % 3, adapter, 3, 20 * SEC));
        }
        let dead = holder(&fleet).expect("a holder");
        let long = fleet.ask((dead + 1) % 3, setup::model(0, 1, 900));
        fleet.run_for(500 * MS);
        fleet.crash(dead);
        // What is resident is served on without a holder.
        assert!(served(&mut fleet, (dead + 1) % 3, 0, 3, SEC));
        // Another takes over, and cold adapters are loaded into slots of others.
        for adapter in 4..12 {
            let vm = (dead + 1 + adapter % 2) % 3;
            assert!(served(&mut fleet, vm, adapter, 3, 30 * SEC), "{adapter}");
        }
        assert!(fleet.finish(long, 60 * SEC).finished());
        assert_ne!(holder(&fleet), Some(dead));
        fleet.check();
    }
}

#[test]
fn revoke_inflight() {
    let mut fleet = size(false).fleet(13);
    assert!(served(&mut fleet, 0, 0, 3, 20 * SEC));
    let long = fleet.ask(1, setup::model(0, 1, 2_000));
    fleet.run_for(100 * MS);
    churn(&mut fleet, 15 * SEC, 100 * MS, 3);
    assert!(fleet.finish(long, 60 * SEC).finished());
    assert!(fleet.finish_all(60 * SEC));
    let unloads: u64 = fleet.engines.iter().map(|engine| engine.unloads).sum();
    assert!(unloads > 10, "only {unloads} unloads");
    fleet.check();
}

#[test]
fn grantee_silent() {
    for fenced in [false, true] {
        let mut fleet = size(fenced).fleet(14);
        assert!(served(&mut fleet, 0, 0, 3, 20 * SEC));
        let lead = holder(&fleet).expect("a holder");
        let cut = (lead + 1) % 3;
        assert!(served(&mut fleet, cut, 0, 3, 20 * SEC));
        // The grantee is cut off from its holder, and goes on to use what it was granted.
        fleet.net.cut(End::Vm(lead), End::Vm(cut));
        for turn in 0..40 {
            fleet.ask(cut, setup::model(0, fleet.now, 100));
            fleet.ask(lead, setup::model(1 + turn % 11, fleet.now, 3));
            fleet.run_for(500 * MS);
        }
        fleet.finish_all(60 * SEC);
        fleet.check();
        fleet.net.mend_all();
        fleet.run_for(5 * SEC);
        assert!(served(&mut fleet, cut, 5, 3, 20 * SEC));
        fleet.check();
    }
}

#[test]
fn takeover_silentgrantee() {
    for fenced in [false, true] {
        let mut fleet = size(fenced).fleet(22);
        let lead = holder(&fleet).expect("a holder");
        let (cut, next) = ((lead + 1) % 3, (lead + 2) % 3);
        for adapter in 0..3 {
            assert!(served(&mut fleet, cut, adapter, 3, 20 * SEC));
        }
        // Cut off from all but the engines, it serves on under what it was granted by a holder that dies.
        fleet.partition(&[cut]);
        fleet.net.cut(End::Vm(cut), End::Kv);
        fleet.crash(lead);
        for turn in 0..80 {
            fleet.ask(cut, setup::model(turn % 3, fleet.now, 15));
            fleet.ask(next, setup::model(3 + turn % 9, fleet.now, 3));
            fleet.run_for(250 * MS);
        }
        assert!(holder(&fleet) == Some(next));
        let loads: u64 = fleet.engines.iter().map(|engine| engine.loads).sum();
        assert!(loads > 6, "the free slots were not used");
        for adapter in 0..3 {
            let name = format!("a{adapter}@1");
            let kept = fleet.engines.iter().any(|engine| engine.holds(&name));
            assert!(kept, "{name} was unloaded while granted");
        }
        fleet.finish_all(60 * SEC);
        let mut own = fleet.asks.iter().filter(|ask| ask.origin.vm == cut);
        assert!(own.all(|ask| ask.finished() && ask.runs.len() == 1));
        fleet.check();
        fleet.net.mend_all();
        fleet.run_for(5 * SEC);
        for adapter in 0..12 {
            assert!(served(&mut fleet, cut, adapter, 3, 20 * SEC), "{adapter}");
        }
        fleet.check();
    }
}

#[test]
fn grantee_dies() {
    let mut fleet = size(false).fleet(15);
    let lead = holder(&fleet).expect("a holder");
    let dead = (lead + 1) % 3;
    for adapter in 0..6 {
        assert!(served(&mut fleet, dead, adapter, 3, 20 * SEC));
    }
    fleet.ask(dead, setup::model(0, 1, 2_000));
    fleet.run_for(200 * MS);
    fleet.crash(dead);
    // All slots were granted to it; they come free once it is certainly gone.
    for adapter in 6..12 {
        assert!(served(&mut fleet, lead, adapter, 3, 40 * SEC), "{adapter}");
    }
    fleet.check();
}

#[test]
fn grantee_pauses() {
    let mut fleet = size(false).fleet(16);
    let lead = holder(&fleet).expect("a holder");
    let paused = (lead + 1) % 3;
    for adapter in 0..4 {
        assert!(served(&mut fleet, paused, adapter, 3, 20 * SEC));
    }
    // Frozen right before the first byte of a request.
    fleet.pause_at(paused, |effect| matches!(effect, Effect::Send(_)));
    fleet.ask(paused, setup::model(0, 1, 50));
    for turn in 0..60 {
        fleet.ask(lead, setup::model(turn % 12, fleet.now, 3));
        fleet.run_for(300 * MS);
    }
    fleet.resume(paused);
    fleet.run_for(2 * SEC);
    assert!(fleet.finish_all(60 * SEC));
    fleet.check();
}

#[test]
fn messages_lost() {
    for seed in 0..6 {
        let mut fleet = size(seed % 2 == 0).fleet(100 + seed);
        fleet.net.loss = 250;
        fleet.net.twice = 250;
        fleet.net.jitter = 300 * MS;
        churn(&mut fleet, 20 * SEC, 150 * MS, 30);
        assert!(fleet.finish_all(60 * SEC));
        fleet.check();
        let whole = fleet.asks.iter().filter(|ask| ask.finished()).count();
        assert!(
            whole * 10 >= fleet.asks.len() * 9,
            "{whole} of {}",
            fleet.asks.len()
        );
    }
}

#[test]
fn engine_restarts() {
    for fenced in [false, true] {
        let mut fleet = size(fenced).fleet(17);
        churn(&mut fleet, 5 * SEC, 100 * MS, 20);
        // In the middle of loads and streams.
        fleet.restart_engine(0, SEC);
        churn(&mut fleet, 15 * SEC, 100 * MS, 20);
        fleet.restart_engine(1, 3 * SEC);
        churn(&mut fleet, 15 * SEC, 100 * MS, 20);
        assert!(fleet.finish_all(60 * SEC));
        assert!(fleet.logged(Code::ServerRestarted) >= 2);
        assert!(served(&mut fleet, 0, 3, 3, 10 * SEC));
        fleet.check();
    }
}

fn faulty(change: impl Fn(&mut support::engine::Faults)) {
    for fenced in [false, true] {
        let mut fleet = size(fenced).fleet(18);
        fleet.net.loss = 50;
        churn(&mut fleet, 3 * SEC, 100 * MS, 20);
        for _ in 0..12 {
            for engine in &mut fleet.engines {
                change(&mut engine.faults);
            }
            churn(&mut fleet, 2 * SEC, 100 * MS, 20);
        }
        for engine in &mut fleet.engines {
            engine.faults = support::engine::Faults::default();
        }
        assert!(fleet.finish_all(90 * SEC));
        fleet.run_for(40 * SEC);
        for adapter in 0..12 {
            assert!(served(&mut fleet, 0, adapter, 3, 30 * SEC), "{adapter}");
        }
        fleet.check();
    }
}

#[test]
fn load_fails() {
    faulty(|faults| faults.fail_loads += 1);
}

#[test]
fn load_lies() {
    faulty(|faults| faults.lie_loads += 1);
}

#[test]
fn order_answerlost() {
    faulty(|faults| faults.lose_answers += 1);
}

#[test]
fn order_lost() {
    faulty(|faults| faults.lose_orders += 1);
}

#[test]
fn report_lost() {
    faulty(|faults| faults.mute += 3);
}

#[test]
fn platform_down() {
    for (fenced, silent) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut fleet = size(fenced).fleet(19);
        for adapter in 0..5 {
            assert!(served(&mut fleet, adapter % 3, adapter, 3, 20 * SEC));
        }
        fleet.kv_down(silent);
        fleet.run_for(180 * SEC);
        let loads = |fleet: &Fleet| fleet.engines.iter().map(|engine| engine.loads).sum::<u64>();
        let before = loads(&fleet);
        // What is resident is served on.
        for vm in 0..3 {
            assert!(served(&mut fleet, vm, 4, 3, SEC), "vm {vm}");
        }
        let cold = fleet.ask(0, setup::model(9, 1, 3));
        let done = fleet.finish(cold, 40 * SEC).clone();
        if fenced {
            assert!(done.finished(), "{done:?}");
        } else {
            let answer = done.refusal().expect("a refusal");
            assert_eq!((answer.kind, answer.ran), (Kind::NotResident, Ran::No));
            assert!(answer.retry_after.is_some());
            assert_eq!(loads(&fleet), before, "ordered after the lease had lapsed");
        }
        fleet.kv_up();
        fleet.run_for(20 * SEC);
        for adapter in 0..12 {
            assert!(served(&mut fleet, 0, adapter, 3, 20 * SEC), "{adapter}");
        }
        fleet.check();
    }
}

/// Load: every slot taken, then an outage that outlasts the holder's lease, and cold requests at each VM. An answer may take
/// the second of silence after which a holder counts as gone, and half a second beside it; before, each request was held
/// to its 30 s. Afterwards unloads of the earlier holder may still take effect, which keeps their places closed for a while.
#[test]
fn platform_downcoldrefusedatonce() {
    let mut fleet = size(false).fleet(19);
    for adapter in 0..12 {
        assert!(served(&mut fleet, adapter % 3, adapter, 3, 20 * SEC));
    }
    fleet.kv_down(false);
    for after in [2 * SEC, 60 * SEC] {
        fleet.run_for(after);
        for vm in 0..3 {
            let adapters = (0..12).map(|adapter| (adapter, fleet.now));
            for (adapter, at) in adapters.collect::<Vec<_>>() {
                let ask = fleet.ask(vm, setup::model(adapter, at, 3));
                let done = fleet.finish(ask, 1_500 * MS).clone();
                match done.refusal() {
                    None => assert!(done.finished(), "vm {vm} adapter {adapter}: {done:?}"),
                    Some(answer) => {
                        assert_eq!((answer.kind, answer.ran), (Kind::NotResident, Ran::No));
                        assert!(answer.retry_after.is_some());
                    }
                }
            }
        }
    }
    fleet.kv_up();
    fleet.run_for(120 * SEC);
    for adapter in 0..12 {
        let ask = fleet.ask(0, setup::model(adapter, fleet.now, 3));
        let done = fleet.finish(ask, 20 * SEC);
        assert!(done.finished(), "{adapter}: {done:?}");
    }
    fleet.check();
}

#[test]
fn platform_answerlost() {
    for seed in 0..6 {
        let mut fleet = size(false).bare_fleet(200 + seed);
        fleet.kv.faults.only = None;
        fleet.configure(&size(false).document());
        for _ in 0..10 {
            fleet.kv.faults.lose_answers += 2;
            fleet.kv.faults.lose_calls += 1;
            churn(&mut fleet, 3 * SEC, 200 * MS, 10);
        }
        assert!(fleet.finish_all(60 * SEC));
        fleet.run_for(10 * SEC);
        assert!(served(&mut fleet, 0, 3, 3, 20 * SEC));
        fleet.check();
    }
}

#[test]
fn shutdown_rolling() {
    let mut fleet = size(false).fleet(20);
    churn(&mut fleet, 5 * SEC, 100 * MS, 30);
    for vm in 0..3 {
        fleet.shut_down(vm, false);
        churn(&mut fleet, 8 * SEC, 100 * MS, 30);
        let up = fleet.run_while(|fleet| fleet.vms[vm].node.is_some(), 60 * SEC);
        assert!(up, "vm {vm} does not stop");
        fleet.start(vm);
        fleet.run_for(2 * SEC);
        churn(&mut fleet, 5 * SEC, 100 * MS, 30);
    }
    assert!(fleet.finish_all(60 * SEC));
    let refused: Vec<_> = fleet
        .asks
        .iter()
        .filter(|ask| !ask.finished())
        .map(|ask| (ask.at, ask.origin, ask.ending.clone()))
        .collect();
    assert!(refused.is_empty(), "{refused:#?}");
    fleet.check();
}

#[test]
fn server_leaves() {
    use dahliastile_core::config::Change;
    let mut fleet = size(false).fleet(21);
    churn(&mut fleet, 5 * SEC, 100 * MS, 10);
    let mut server = size(false).document().servers[0].clone();
    server.leaving = true;
    fleet.edit(0, vec![Change::PutServer(server)]);
    fleet.run_for(3 * SEC);
    let (runs, loads) = (runs_on(&fleet, "engine-0"), fleet.engines[0].loads);
    churn(&mut fleet, 10 * SEC, 100 * MS, 10);
    assert!(fleet.finish_all(60 * SEC));
    assert_eq!(runs_on(&fleet, "engine-0"), runs);
    assert_eq!(fleet.engines[0].loads, loads);
    fleet.check();
}

fn runs_on(fleet: &Fleet, server: &str) -> usize {
    fleet
        .asks
        .iter()
        .flat_map(|ask| &ask.runs)
        .filter(|run| run.server == server)
        .count()
}
