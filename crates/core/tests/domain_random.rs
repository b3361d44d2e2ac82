//! Control domains under random pairs of faults, with the verifier after each step. What the fakes saw decides.

mod support;

use dahliastile_core::effect::{Action, Effect};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::Rng;
use support::net::End;
use support::setup::{self, Size};
use support::{Fleet, MS, SEC};

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause,
    PauseBeforeOrder,
    PauseBeforeWrite,
    PauseBeforeSend,
    Crash,
    CutPair,
    CutOff,
    CutServer,
    Lossy,
    PlatformDown,
    PlatformSilent,
    PlatformSlow,
    AnswersLost,
    EngineRestart,
    LoadsFail,
    LoadsLie,
    OrdersLost,
    OrderAnswersLost,
    ReportsLost,
    StoreStalls,
    StreamsBreak,
    Shutdown,
}

const FAULTS: [Fault; 22] = [
    Fault::Pause,
    Fault::PauseBeforeOrder,
    Fault::PauseBeforeWrite,
    Fault::PauseBeforeSend,
    Fault::Crash,
    Fault::CutPair,
    Fault::CutOff,
    Fault::CutServer,
    Fault::Lossy,
    Fault::PlatformDown,
    Fault::PlatformSilent,
    Fault::PlatformSlow,
    Fault::AnswersLost,
    Fault::EngineRestart,
    Fault::LoadsFail,
    Fault::LoadsLie,
    Fault::OrdersLost,
    Fault::OrderAnswersLost,
    Fault::ReportsLost,
    Fault::StoreStalls,
    Fault::StreamsBreak,
    Fault::Shutdown,
];

/// A run: its seed, whether engines check fencing numbers, and the faults with when each strikes, how long it
/// lasts, in quarters of a second, and whom it strikes.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    fenced: bool,
    strikes: Vec<(Fault, u8, u8, u8)>,
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let strike = |g: &mut Gen| {
            let fault = *g.choose(&FAULTS).unwrap();
            let (at, lasts, whom) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
            (fault, at % 60, lasts % 80, whom)
        };
        Self {
            seed: u64::arbitrary(g),
            fenced: bool::arbitrary(g),
            strikes: (0..2 + usize::arbitrary(g) % 3)
                .map(|_| strike(g))
                .collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..self.strikes.len()).map(move |i| {
            let mut less = plan.clone();
            less.strikes.remove(i);
            less
        }))
    }
}

fn pause_before(fleet: &mut Fleet, vm: usize, when: impl Fn(&Effect) -> bool + 'static) {
    if fleet.vms[vm].serves() {
        fleet.pause_at(vm, when);
    }
}

fn strike(fleet: &mut Fleet, fault: Fault, whom: u8) {
    let vm = usize::from(whom) % fleet.vms.len();
    let at = usize::from(whom) % fleet.engines.len();
    let up = fleet.vms[vm].serves();
    let faults = &mut fleet.engines[at].faults;
    match fault {
        Fault::Pause if up => fleet.pause(vm),
        Fault::PauseBeforeOrder => pause_before(
            fleet,
            vm,
            |effect| matches!(effect, Effect::Order(order) if matches!(order.action, Action::Unload(_))),
        ),
        Fault::PauseBeforeWrite => {
            pause_before(fleet, vm, |effect| {
                matches!(effect, Effect::Platform { .. })
            });
        }
        Fault::PauseBeforeSend => {
            pause_before(fleet, vm, |effect| matches!(effect, Effect::Send(_)));
        }
        Fault::Crash if up => fleet.crash(vm),
        Fault::Shutdown if up => fleet.shut_down(vm, false),
        Fault::CutPair => {
            let other = (vm + 1) % fleet.vms.len();
            fleet.net.cut(End::Vm(vm), End::Vm(other));
        }
        Fault::CutOff => {
            fleet.partition(&[vm]);
            fleet.net.cut(End::Vm(vm), End::Kv);
        }
        Fault::CutServer => {
            let server = End::Server(fleet.engines[at].address.clone());
            fleet.net.cut(End::Vm(vm), server);
        }
        Fault::Lossy => {
            fleet.net.loss = 300;
            fleet.net.twice = 300;
            fleet.net.jitter = 400 * MS;
        }
        Fault::PlatformDown => fleet.kv_down(false),
        Fault::PlatformSilent => fleet.kv_down(true),
        Fault::PlatformSlow => fleet.kv.faults.slow = 1_500 * MS,
        Fault::AnswersLost => fleet.kv.faults.lose_answers = 8,
        Fault::EngineRestart => fleet.restart_engine(at, SEC),
        Fault::LoadsFail => faults.fail_loads = 5,
        Fault::LoadsLie => faults.lie_loads = 5,
        Fault::OrdersLost => faults.lose_orders = 5,
        Fault::OrderAnswersLost => faults.lose_answers = 5,
        Fault::ReportsLost => faults.mute = 20,
        Fault::StoreStalls => fleet.stall_stores(5 * SEC),
        Fault::StreamsBreak => faults.break_streams = 10,
        Fault::Pause | Fault::Crash | Fault::Shutdown => {}
    }
}

/// Ends a fault, as far as it does not end by itself.
fn mend(fleet: &mut Fleet, fault: Fault, whom: u8) {
    let vm = usize::from(whom) % fleet.vms.len();
    match fault {
        Fault::Pause
        | Fault::PauseBeforeOrder
        | Fault::PauseBeforeWrite
        | Fault::PauseBeforeSend => fleet.resume(vm),
        Fault::Crash | Fault::Shutdown if fleet.vms[vm].node.is_none() => fleet.start(vm),
        Fault::CutPair | Fault::CutOff | Fault::CutServer => fleet.net.mend_all(),
        Fault::Lossy => {
            fleet.net.loss = 0;
            fleet.net.twice = 0;
            fleet.net.jitter = 0;
        }
        Fault::PlatformDown | Fault::PlatformSilent => fleet.kv_up(),
        Fault::PlatformSlow => fleet.kv.faults.slow = 0,
        _ => {}
    }
}

/// Requests of many lengths, and callers that leave early.
fn load(fleet: &mut Fleet) {
    let serving: Vec<usize> = (0..fleet.vms.len())
        .filter(|vm| fleet.vms[*vm].serves())
        .collect();
    if serving.is_empty() {
        return;
    }
    let vm = serving[fleet.rng.random_range(0..serving.len())];
    let adapter = fleet.rng.random_range(0..9);
    let tokens = [1, 3, 20, 150][fleet.rng.random_range(0..4)];
    let digest = fleet.rng.random();
    let ask = fleet.ask(vm, setup::model(adapter, digest, tokens));
    if fleet.rng.random_range(0..6) == 0 {
        let patience = fleet.rng.random_range(0..400) * MS;
        fleet.after(patience, move |fleet| fleet.leave(ask));
    }
}

fn holds(plan: &Plan) -> bool {
    let size = Size {
        fenced: plan.fenced,
        base_load: 2 * SEC,
        ..Size::small()
    };
    let mut fleet = size.fleet(plan.seed);
    for (fault, at, lasts, whom) in plan.strikes.iter().copied() {
        let at = u64::from(at) * 250 * MS;
        let lasts = u64::from(lasts) * 250 * MS;
        fleet.after(at, move |fleet| strike(fleet, fault, whom));
        fleet.after(at + lasts, move |fleet| mend(fleet, fault, whom));
    }
    for _ in 0..400 {
        load(&mut fleet);
        let pause = fleet.rng.random_range(0..200) * MS;
        fleet.run_for(pause);
    }
    heal(&mut fleet);
    let done = fleet.finish_all(120 * SEC);
    if !fleet.violations.is_empty() || !done {
        eprintln!("done {done}: {:#?}", fleet.violations);
        return false;
    }
    // Everything is mended, so every adapter is served again, once late unloads can't strike any more.
    fleet.run_for(70 * SEC);
    for adapter in 0..12 {
        for vm in 0..3 {
            let ask = fleet.ask(vm, setup::model(adapter, 1, 3));
            if !fleet.finish(ask, 40 * SEC).finished() {
                eprintln!("adapter {adapter} at vm {vm}: {:?}", fleet.asks[ask]);
                return false;
            }
        }
    }
    fleet.violations.is_empty()
}

fn heal(fleet: &mut Fleet) {
    fleet.run_for(40 * SEC);
    fleet.net.mend_all();
    fleet.kv_up();
    for engine in &mut fleet.engines {
        engine.faults = support::engine::Faults::default();
    }
    for vm in 0..fleet.vms.len() {
        fleet.pause_at(vm, |_| false);
        fleet.resume(vm);
        fleet.run_while(
            |fleet| fleet.vms[vm].leaving && fleet.vms[vm].node.is_some(),
            90 * SEC,
        );
        if fleet.vms[vm].node.is_none() {
            fleet.start(vm);
        }
    }
    fleet.run_for(15 * SEC);
}

/// Plans that are tried; more where the environment says so, for a long run.
fn plans() -> u64 {
    let text = std::env::var("DAHLIASTILE_PLANS").unwrap_or_default();
    text.parse().unwrap_or(16)
}

#[test]
fn faults_random() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 0x5eed))
        .tests(plans())
        .quickcheck((|plan: Plan| holds(&plan)) as fn(Plan) -> bool);
}
