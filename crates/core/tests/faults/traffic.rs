//! The traffic that faults strike, and what has to hold of it whatever happens.

use std::cell::RefCell;
use std::rc::Rc;

use dahliastile_core::config::{Change, Server};
use dahliastile_core::event::Call;
use dahliastile_core::id::{self, Ticket};
use dahliastile_core::operator::Reply;
use dahliastile_core::time::Span;
use rand::Rng;

use super::edits::{names, rule, shown};
use super::fault::{Strike, heal};
use super::support::setup::{Size, booking_call, model, once};
use super::support::{Fleet, MS, Micros, SEC};

/// Adapters; more than all engines' slots together.
const ADAPTERS: usize = 12;
/// How much later than its deadline an ask may end: a tick, and the time of an attempt's pieces.
const LATE: Micros = 100 * MS;
/// How long everything may take to come to rest once all is mended: the longest timeout, an order's timeout with the
/// time after which an unload of unknown outcome can't strike any more, and a lease.
const REST: Micros = 90 * SEC;

/// What the faults and the traffic tell each other.
#[derive(Clone, Default)]
pub(crate) struct Notes(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    shift: usize,
    paused: bool,
    inserted: Vec<(Ticket, String)>,
}

impl Notes {
    /// Other adapters are popular from now on.
    pub(crate) fn shift(&self) {
        self.0.borrow_mut().shift += 5;
    }

    /// A VM was paused or killed, so deadlines may be missed.
    pub(crate) fn paused(&self) {
        self.0.borrow_mut().paused = true;
    }

    /// An operator gave an edit that inserts a rule.
    pub(crate) fn inserted(&self, ticket: Ticket, name: String) {
        self.0.borrow_mut().inserted.push((ticket, name));
    }
}

/// A whole run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The seed of the traffic and of the fakes.
    pub(crate) seed: u64,
    /// Whether engines check fencing numbers.
    pub(crate) fenced: bool,
    /// How long the traffic goes on.
    pub(crate) lasts: Micros,
    /// The longest time between two requests.
    pub(crate) pause: Micros,
    /// What goes wrong.
    pub(crate) strikes: Vec<Strike>,
}

impl Plan {
    /// Runs it; gives what did not hold.
    pub(crate) fn run(&self) -> Vec<String> {
        let size = Size {
            fenced: self.fenced,
            base_load: 2 * SEC,
            ..Size::small()
        };
        let mut fleet = size.fleet(self.seed);
        fleet.set_rules(vec![rule("shared", "nowhere")]);
        let notes = Notes::default();
        for strike in &self.strikes {
            strike.plan(&mut fleet, &notes);
        }
        let end = fleet.now + self.lasts;
        while fleet.now < end {
            request(&mut fleet, &notes);
            let pause = fleet.rng.random_range(0..=self.pause);
            fleet.run_for(pause);
        }
        heal(&mut fleet);
        let mut flaws = Vec::new();
        if !fleet.finish_all(REST) {
            let open = fleet.asks.iter().filter(|ask| ask.ending.is_none());
            flaws.extend(open.map(|ask| format!("never ended: {ask:?}")));
        }
        fleet.run_for(REST);
        late(&fleet, &notes, &mut flaws);
        served_again(&mut fleet, &mut flaws);
        agreed(&mut fleet, &notes, &mut flaws);
        flaws.append(&mut fleet.violations);
        flaws
    }
}

/// Asks end by their deadlines, unless their VM was not run.
fn late(fleet: &Fleet, notes: &Notes, flaws: &mut Vec<String>) {
    if notes.0.borrow().paused {
        return;
    }
    for ask in &fleet.asks {
        let timeout = ask.call.timeout.map_or(0, |span| span.0);
        if ask
            .ended
            .is_some_and(|ended| ended > ask.at + timeout + LATE)
        {
            flaws.push(format!("ended after its deadline: {ask:?}"));
        }
    }
}

/// Everything is mended: new requests of all kinds are served whole on every VM.
fn served_again(fleet: &mut Fleet, flaws: &mut Vec<String>) {
    for mut server in leavers() {
        server.leaving = false;
        fleet.edit(0, vec![Change::PutServer(server)]);
    }
    fleet.run_for(5 * SEC);
    let mut fresh = Vec::new();
    for vm in 0..fleet.vms.len() {
        for adapter in 0..ADAPTERS {
            fresh.push(fleet.ask(vm, model(adapter, 1_000_000, 3)));
        }
        fresh.push(fleet.ask(vm, booking_call(1_000_000)));
        fresh.push(fleet.ask(vm, once(booking_call(1_000_000), &format!("fresh-{vm}"))));
    }
    fleet.finish_all(40 * SEC);
    let failed = fresh
        .iter()
        .map(|ask| &fleet.asks[*ask])
        .filter(|ask| !ask.finished());
    flaws.extend(failed.map(|ask| format!("not served again: {ask:?}")));
}

/// All VMs have the same configuration in force, with every rule whose edit was accepted.
fn agreed(fleet: &mut Fleet, notes: &Notes, flaws: &mut Vec<String>) {
    let first = shown(fleet, 0);
    for vm in 1..fleet.vms.len() {
        if shown(fleet, vm) != first {
            flaws.push(format!("vm {vm} has another configuration in force"));
        }
    }
    let names = names(fleet, 0);
    for (ticket, name) in &notes.0.borrow().inserted {
        let accepted = matches!(fleet.replies.get(ticket), Some(Reply::Accepted { .. }));
        if accepted && !names.contains(name) {
            flaws.push(format!("rule {name} was accepted and is gone"));
        }
    }
}

/// The servers that leave in a run.
pub(crate) fn leavers() -> Vec<Server> {
    let servers = Size::small().document().servers.into_iter();
    servers
        .filter(|server| server.name.as_str().ends_with("-0"))
        .collect()
}

/// One request of the mix, at a VM that is up; its caller may leave early.
fn request(fleet: &mut Fleet, notes: &Notes) {
    let up: Vec<usize> = (0..fleet.vms.len())
        .filter(|vm| fleet.vms[*vm].node.is_some() && !fleet.vms[*vm].leaving)
        .collect();
    if up.is_empty() {
        return;
    }
    let vm = up[fleet.rng.random_range(0..up.len())];
    let call = call(fleet, notes.0.borrow().shift);
    let repeat = call.key.is_some() && fleet.rng.random_range(0..2) == 0;
    if repeat {
        let (other, call) = (up[fleet.rng.random_range(0..up.len())], call.clone());
        let later = fleet.rng.random_range(0..300) * MS;
        fleet.after(later, move |fleet| {
            if fleet.vms[other].node.is_some() {
                fleet.ask(other, call);
            }
        });
    }
    let ask = fleet.ask(vm, call);
    if fleet.rng.random_range(0..12) == 0 {
        let patience = fleet.rng.random_range(0..400) * MS;
        fleet.after(patience, move |fleet| fleet.leave(ask));
    }
}

fn call(fleet: &mut Fleet, shift: usize) -> Call {
    let digest = fleet.rng.random_range(0..1_000_000);
    let tokens = [1, 5, 20, 60][fleet.rng.random_range(0..4)];
    // Keys come back for about a second; what a key asks for is always the same.
    let number = fleet.now / SEC * 10 + fleet.rng.random_range(0..10);
    let adapter = usize::try_from(number).unwrap() % ADAPTERS;
    let call = match fleet.rng.random_range(0..12) {
        0..=3 => model(
            (shift + fleet.rng.random_range(0..3)) % ADAPTERS,
            digest,
            tokens,
        ),
        4 | 5 => model(fleet.rng.random_range(0..ADAPTERS), digest, tokens),
        6 | 7 => return once(booking_call(number), &format!("b{number}")),
        8 => return once(model(adapter, number, 5), &format!("m{number}")),
        9 => Call {
            non_idempotent: true,
            ..booking_call(digest)
        },
        _ => booking_call(digest),
    };
    Call {
        stream: call.stream && fleet.rng.random(),
        timeout: Some(Span::from_secs([5, 20][fleet.rng.random_range(0..2)])),
        ..call
    }
}

/// Long streams on all that is resident, and then requests for everything.
pub(crate) fn long_streams(fleet: &mut Fleet) {
    let resident: Vec<id::Adapter> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.residents.clone())
        .collect();
    for (i, adapter) in resident.iter().enumerate() {
        let text = adapter.as_str().trim_start_matches('a');
        let number: usize = text.split('@').next().unwrap().parse().unwrap();
        fleet.ask(i % fleet.vms.len(), model(number, i as u64, 600));
    }
    for i in 0..2 * ADAPTERS {
        fleet.ask(i % fleet.vms.len(), model(i % ADAPTERS, i as u64, 5));
    }
}

/// More than the engines can do in the time that callers wait.
pub(crate) fn flood(fleet: &mut Fleet, vm: usize) {
    for i in 0..200 {
        let call = Call {
            timeout: Some(Span::from_millis(600)),
            ..model(i % ADAPTERS, i as u64, 40)
        };
        fleet.ask(vm, call);
    }
}
