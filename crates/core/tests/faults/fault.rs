//! What goes wrong: each fault strikes at a time, lasts a while, and is mended.

use std::cell::Cell;
use std::rc::Rc;

use dahliastile_core::config::{Change, Place};
use dahliastile_core::effect::{Action, Effect};
use dahliastile_core::id;
use dahliastile_core::operator::{Command, Reply};
use dahliastile_core::platform::Call;
use quickcheck::{Arbitrary, Gen};

use super::edits::{edit, give, rule};
use super::support::net::End;
use super::support::setup::{booking_call, once};
use super::support::{Fleet, MS, Micros, SEC};
use super::traffic::{self, Notes};

macro_rules! faults {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// Something that goes wrong for a while.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Fault {
            $($(#[doc = $doc])* $name,)*
        }

        impl Fault {
            /// Every fault.
            pub(crate) const ALL: &[Self] = &[$(Self::$name),*];
        }
    };
}

faults! {
    /// An engine restarts with whatever runs on it.
    EngineRestarts,
    /// An engine restarts while it loads an adapter.
    EngineRestartsInLoad,
    /// Loads fail.
    LoadsFail,
    /// Loads take effect though they are answered as failed.
    LoadsLie,
    /// Orders take effect, but their answers are lost.
    OrderAnswersLost,
    /// Orders are lost on their way.
    OrdersLost,
    /// An engine runs requests on another adapter than asked.
    WrongAdapter,
    /// Pieces come after a cancel, as callers leave.
    PiecesAfterCancel,
    /// Pieces come under the number of another attempt.
    PiecesCrossed,
    /// The last piece and the end come twice.
    EndsTwice,
    /// The holder is paused past its lease.
    HolderPaused,
    /// The holder is paused right before it sends an unload.
    HolderPausedBeforeUnload,
    /// The holder is killed.
    HolderCrashes,
    /// All leases end at once, so that two holders are at work until the older one notices.
    LeasesEnd,
    /// Long streams run on all that is resident while other adapters are asked for.
    RevokeInFlight,
    /// A grantee hears no other VM and is not heard.
    GranteeCutOff,
    /// A grantee is paused.
    GranteePaused,
    /// A VM is paused right before it sends work.
    PausedBeforeSend,
    /// The home of claims is killed right before it writes one.
    HomeCrashesBeforeWrite,
    /// The home of claims is killed right after it wrote one.
    HomeCrashesAfterWrite,
    /// The home of claims is paused right before it writes one.
    HomePausedBeforeWrite,
    /// Writes to the key-value service take effect, but their answers are lost.
    WriteAnswersLost,
    /// Writes to the key-value service are lost before they take effect.
    WritesLost,
    /// The same keys come to all VMs at once.
    SameKeyEverywhere,
    /// Servers refuse connections.
    ConnectionsRefused,
    /// Connections break before the first byte of the answer.
    BrokenBeforeFirstByte,
    /// Connections break after the first byte of the answer.
    BrokenAfterFirstByte,
    /// Servers answer with errors that do not say whether they ran the work.
    Rejected,
    /// Servers take work in and never answer.
    Hangs,
    /// More work than can be done comes with short deadlines.
    DeadlinesPassInQueue,
    /// All callers of a VM leave.
    CallersLeave,
    /// A server leaves with work queued.
    ServerLeaves,
    /// The weight store stalls.
    StoreStalls,
    /// Other adapters become popular.
    HotSetShifts,
    /// Load reports are lost.
    ReportsLost,
    /// The key-value service refuses connections.
    PlatformDown,
    /// The key-value service is silent.
    PlatformSilent,
    /// The key-value service takes longer than its callers wait, now and then.
    PlatformSlow,
    /// The key-value service forgets its history.
    PlatformCompacts,
    /// Messages between VMs are lost.
    MessagesLost,
    /// Messages between VMs are late and overtake each other.
    MessagesLate,
    /// Messages between VMs come twice.
    MessagesTwice,
    /// A VM is killed.
    VmCrashes,
    /// A VM is told to stop.
    VmStops,
    /// A zone's VMs are cut off from all outside the zone.
    ZoneCutOff,
    /// Two operators change the rules at once.
    OperatorsRace,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(Self::ALL).unwrap()
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strike {
    /// What goes wrong.
    pub(crate) fault: Fault,
    /// When, after the start of the traffic.
    pub(crate) at: Micros,
    /// For how long.
    pub(crate) lasts: Micros,
    /// Which VM or server, where that is open.
    pub(crate) whom: usize,
}

impl Arbitrary for Strike {
    fn arbitrary(g: &mut Gen) -> Self {
        let tenths = |g: &mut Gen, range: u64| u64::arbitrary(g) % range * 100 * MS;
        Self {
            fault: Fault::arbitrary(g),
            at: tenths(g, 120),
            lasts: tenths(g, 140),
            whom: usize::from(u8::arbitrary(g)),
        }
    }
}

/// A choice of effects.
type When = fn(&Effect) -> bool;

fn unloads(effect: &Effect) -> bool {
    matches!(effect, Effect::Order(order) if matches!(order.action, Action::Unload(_)))
}

fn sends(effect: &Effect) -> bool {
    matches!(effect, Effect::Send(_))
}

fn claims(effect: &Effect) -> bool {
    match effect {
        Effect::Platform {
            call: Call::Txn { puts, .. },
            ..
        } => puts.iter().any(|put| put.key.contains("/claims/")),
        _ => false,
    }
}

impl Strike {
    /// Lets the fault strike and end at its times.
    pub(crate) fn plan(self, fleet: &mut Fleet, notes: &Notes) {
        let (begins, ends) = (notes.clone(), notes.clone());
        fleet.after(self.at, move |fleet| {
            let whom = self.whom % fleet.vms.len();
            self.strike(fleet, whom, &begins);
        });
        fleet.after(self.at + self.lasts, move |fleet| self.mend(fleet, &ends));
    }

    fn strike(self, fleet: &mut Fleet, vm: usize, notes: &Notes) {
        let at = self.whom % fleet.engines.len();
        let plain = self.whom % fleet.plains.len();
        let holder = fleet.holder("base").unwrap_or(vm);
        // Any VM that does not hold the domain.
        let grantee = if vm == holder {
            (vm + 1) % fleet.vms.len()
        } else {
            vm
        };
        let faults = &mut fleet.engines[at].faults;
        match self.fault {
            Fault::EngineRestarts => fleet.restart_engine(at, SEC),
            Fault::EngineRestartsInLoad => restart_in_load(fleet, self.lasts),
            Fault::LoadsFail => faults.fail_loads = 5,
            Fault::LoadsLie => faults.lie_loads = 5,
            Fault::OrderAnswersLost => faults.lose_answers = 5,
            Fault::OrdersLost => faults.lose_orders = 5,
            Fault::WrongAdapter => faults.wrong_adapter = 10,
            Fault::PiecesAfterCancel => {
                fleet
                    .engines
                    .iter_mut()
                    .for_each(|engine| engine.faults.after_cancel = 20);
                callers_leave(fleet, vm);
            }
            Fault::PiecesCrossed => faults.cross = 10,
            Fault::EndsTwice => faults.twice = 20,
            Fault::HolderPaused => pause(fleet, holder, notes),
            Fault::HolderPausedBeforeUnload => pause_before(fleet, holder, unloads, notes),
            Fault::HolderCrashes => crash(fleet, holder, notes),
            Fault::LeasesEnd => fleet.kv.end_leases(),
            Fault::RevokeInFlight => traffic::long_streams(fleet),
            Fault::GranteeCutOff => fleet.partition(&[grantee]),
            Fault::GranteePaused => pause(fleet, grantee, notes),
            Fault::PausedBeforeSend => pause_before(fleet, vm, sends, notes),
            Fault::HomeCrashesBeforeWrite => home(fleet, self.lasts, notes, |fleet, vm, notes| {
                crash(fleet, vm, notes);
            }),
            Fault::HomeCrashesAfterWrite => home(fleet, self.lasts, notes, |fleet, vm, notes| {
                fleet.resume(vm);
                crash(fleet, vm, notes);
            }),
            Fault::HomePausedBeforeWrite => home(fleet, self.lasts, notes, |_, _, notes| {
                notes.paused();
            }),
            Fault::WriteAnswersLost => {
                (fleet.kv.faults.only, fleet.kv.faults.lose_answers) = (Some("txn"), 8);
            }
            Fault::WritesLost => {
                (fleet.kv.faults.only, fleet.kv.faults.lose_calls) = (Some("txn"), 8);
            }
            Fault::SameKeyEverywhere => same_key_everywhere(fleet),
            Fault::ConnectionsRefused => {
                fleet.plains[plain].up = false;
                fleet.engines[at].up = false;
            }
            Fault::BrokenBeforeFirstByte => {
                (faults.break_first, fleet.plains[plain].break_first) = (10, 10);
            }
            Fault::BrokenAfterFirstByte => {
                (faults.break_streams, fleet.plains[plain].break_after) = (10, 10);
            }
            Fault::Rejected => (faults.reject, fleet.plains[plain].reject) = (10, 10),
            Fault::Hangs => (faults.hang, fleet.plains[plain].hang) = (5, 5),
            Fault::DeadlinesPassInQueue => traffic::flood(fleet, vm),
            Fault::CallersLeave => callers_leave(fleet, vm),
            Fault::ServerLeaves => leave(fleet, vm, true),
            Fault::StoreStalls => fleet.stall_stores(self.lasts),
            Fault::HotSetShifts => notes.shift(),
            Fault::ReportsLost => faults.mute = 40,
            Fault::PlatformDown => fleet.kv_down(false),
            Fault::PlatformSilent => fleet.kv_down(true),
            Fault::PlatformSlow => fleet.kv.faults.slow = 1_990 * MS + self.whom as u64 * 100,
            Fault::PlatformCompacts => fleet.kv.compact(),
            Fault::MessagesLost => fleet.net.loss = 300,
            Fault::MessagesLate => fleet.net.jitter = 800 * MS,
            Fault::MessagesTwice => fleet.net.twice = 400,
            Fault::VmCrashes => crash(fleet, vm, notes),
            Fault::VmStops if fleet.vms[vm].serves() => {
                fleet.shut_down(vm, false);
            }
            Fault::VmStops => {}
            Fault::ZoneCutOff => cut_zone(fleet, vm),
            Fault::OperatorsRace => race(fleet, notes),
        }
    }

    fn mend(self, fleet: &mut Fleet, notes: &Notes) {
        let at = self.whom % fleet.engines.len();
        let plain = self.whom % fleet.plains.len();
        match self.fault {
            Fault::ConnectionsRefused => {
                fleet.plains[plain].up = true;
                fleet.engines[at].up = true;
            }
            Fault::GranteeCutOff | Fault::ZoneCutOff => fleet.net.mend_all(),
            Fault::ServerLeaves => leave(fleet, self.whom % fleet.vms.len(), false),
            Fault::PlatformDown | Fault::PlatformSilent => fleet.kv_up(),
            Fault::PlatformSlow => fleet.kv.faults.slow = 0,
            Fault::MessagesLost => fleet.net.loss = 0,
            Fault::MessagesLate => fleet.net.jitter = 0,
            Fault::MessagesTwice => fleet.net.twice = 0,
            Fault::OperatorsRace => race(fleet, notes),
            _ => wake(fleet),
        }
    }
}

/// Mends everything and waits until what is on its way has come to rest.
pub(crate) fn heal(fleet: &mut Fleet) {
    fleet.net.mend_all();
    (fleet.net.loss, fleet.net.twice, fleet.net.jitter) = (0, 0, 0);
    fleet.kv_up();
    let faults = &mut fleet.kv.faults;
    (faults.slow, faults.lose_answers, faults.lose_calls) = (0, 0, 0);
    for engine in &mut fleet.engines {
        engine.faults = super::support::engine::Faults::default();
        engine.up = true;
    }
    for plain in &mut fleet.plains {
        let new = super::support::plain::Plain::new(plain.name.as_str(), plain.zone.as_str());
        *plain = super::support::plain::Plain {
            runs: plain.runs,
            ..new
        };
    }
    wake(fleet);
    let stops = |fleet: &Fleet| fleet.vms.iter().any(|vm| vm.leaving && vm.node.is_some());
    assert!(fleet.run_while(stops, 90 * SEC), "a VM does not stop");
    wake(fleet);
}

/// Runs paused VMs again and starts those that are down.
fn wake(fleet: &mut Fleet) {
    for vm in 0..fleet.vms.len() {
        fleet.pause_at(vm, |_| false);
        match fleet.vms[vm].node {
            Some(_) if fleet.vms[vm].paused => fleet.resume(vm),
            Some(_) => {}
            None => fleet.start(vm),
        }
    }
}

fn pause(fleet: &mut Fleet, vm: usize, notes: &Notes) {
    if fleet.vms[vm].serves() {
        notes.paused();
        fleet.pause(vm);
    }
}

fn pause_before(fleet: &mut Fleet, vm: usize, when: When, notes: &Notes) {
    if fleet.vms[vm].serves() {
        notes.paused();
        fleet.pause_at(vm, when);
    }
}

fn crash(fleet: &mut Fleet, vm: usize, notes: &Notes) {
    if fleet.vms[vm].node.is_some() {
        notes.paused();
        fleet.crash(vm);
    }
}

/// Pauses the first VM that is about to write a claim, and then does something with it.
fn home(fleet: &mut Fleet, within: Micros, notes: &Notes, then: fn(&mut Fleet, usize, &Notes)) {
    let found = Rc::new(Cell::new(None));
    for vm in 0..fleet.vms.len() {
        let found = Rc::clone(&found);
        fleet.pause_at(vm, move |effect| {
            let first = found.get().is_none() && claims(effect);
            if first {
                found.set(Some(vm));
            }
            first
        });
    }
    let notes = notes.clone();
    look(fleet, within, move |fleet| {
        let found = found.get();
        found.map(|vm| then(fleet, vm, &notes)).is_some()
    });
}

/// Restarts the first engine that is seen to load.
fn restart_in_load(fleet: &mut Fleet, within: Micros) {
    look(fleet, within, |fleet| {
        let loads = fleet.engines.iter().position(|e| !e.loading.is_empty());
        loads.map(|at| fleet.restart_engine(at, SEC)).is_some()
    });
}

/// Does something again each millisecond until it says that it is done.
fn look(fleet: &mut Fleet, within: Micros, done: impl Fn(&mut Fleet) -> bool + 'static) {
    if !done(fleet) && within >= MS {
        fleet.after(MS, move |fleet| look(fleet, within - MS, done));
    }
}

/// All callers of a VM leave a little later, in the middle of long streams.
fn callers_leave(fleet: &mut Fleet, vm: usize) {
    traffic::long_streams(fleet);
    fleet.after(300 * MS, move |fleet| {
        for ask in fleet.open_asks(vm) {
            fleet.leave(ask);
        }
    });
}

fn same_key_everywhere(fleet: &mut Fleet) {
    for key in 0..10 {
        let key = format!("same-{}-{key}", fleet.now);
        for vm in 0..fleet.vms.len() {
            fleet.ask(vm, once(booking_call(7), &key));
        }
    }
}

fn cut_zone(fleet: &mut Fleet, vm: usize) {
    let zone = fleet.vms[vm].zone.clone();
    let inside: Vec<usize> = (0..fleet.vms.len())
        .filter(|vm| fleet.vms[*vm].zone == zone)
        .collect();
    fleet.partition(&inside);
    let engines = fleet.engines.iter().map(|e| (&e.zone, &e.address));
    let plains = fleet.plains.iter().map(|p| (&p.zone, &p.address));
    let servers: Vec<(id::Zone, String)> = engines
        .chain(plains)
        .map(|(zone, address)| (zone.clone(), address.clone()))
        .collect();
    for vm in 0..fleet.vms.len() {
        for (other, address) in &servers {
            if (fleet.vms[vm].zone == zone) != (*other == zone) {
                fleet.net.cut(End::Vm(vm), End::Server(address.clone()));
            }
        }
        if fleet.vms[vm].zone == zone {
            fleet.net.cut(End::Vm(vm), End::Kv);
        }
    }
}

/// An operator's edit at a VM that serves, on what that VM has in force.
fn change(fleet: &mut Fleet, vm: usize, id: &str, change: Change) -> Option<id::Ticket> {
    if !fleet.vms[vm].serves() {
        return None;
    }
    let shown = fleet.command(vm, Command::Show);
    match fleet.replies.get(&shown) {
        Some(Reply::Show { edition, .. }) => {
            let edit = edit(id, edition.0, vec![change]);
            Some(give(fleet, vm, edit))
        }
        _ => None,
    }
}

/// Marks an engine and a plain server as leaving, or not any more.
fn leave(fleet: &mut Fleet, vm: usize, leaving: bool) {
    for mut server in traffic::leavers() {
        server.leaving = leaving;
        let id = format!("{}-{}-{leaving}", server.name, fleet.now);
        change(fleet, vm, &id, Change::PutServer(server));
    }
}

/// Two operators insert a rule each, and both change one that is there.
fn race(fleet: &mut Fleet, notes: &Notes) {
    for vm in 0..2 {
        let name = format!("r{}-{vm}", fleet.now);
        let insert = Change::InsertRule {
            rule: rule(&name, &name),
            place: Place::First,
        };
        if let Some(ticket) = change(fleet, vm, &name, insert) {
            notes.inserted(ticket, name);
        }
        let shared = Change::ReplaceRule {
            rule: rule("shared", &format!("z{}-{vm}", fleet.now)),
        };
        change(fleet, vm, &format!("s{}-{vm}", fleet.now), shared);
    }
}
