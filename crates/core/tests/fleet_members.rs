//! Membership: who sees whom, how soon, and what false news does.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use dahliastile_core::effect::Effect;
use dahliastile_core::event::Event;
use dahliastile_core::id::{Edition, Request, Ticket};
use dahliastile_core::log::Code;
use dahliastile_core::operator::{Command, Reply, Status};
use dahliastile_core::peer::{Claim, Heartbeat, Member, Message, Step as ClaimStep};
use dahliastile_core::settings::Tuning;
use dahliastile_wire::encoded_len;
use support::setup::Size;
use support::{Fleet, MS, Micros, SEC};

fn fleet(vms: usize, seed: u64) -> Fleet {
    let size = Size {
        zones: vec!["north", "south", "west"],
        vms,
        engines: 0,
        plains: 0,
        adapters: 0,
        ..Size::small()
    };
    let mut fleet = size.bare_fleet(seed);
    fleet.verify = vms <= 16;
    fleet
}

fn status(fleet: &mut Fleet, vm: usize) -> Status {
    let ticket: Ticket = fleet.command(vm, Command::Status);
    match fleet.replies.remove(&ticket) {
        Some(Reply::Status(status)) => *status,
        other => panic!("no status but {other:?}"),
    }
}

/// The positions of the VMs that a VM sees as live.
fn live(fleet: &mut Fleet, vm: usize) -> Vec<usize> {
    let vms = status(fleet, vm).vms;
    let live = vms.iter().filter(|row| row.state == "live");
    let mut live: Vec<usize> = live.map(|row| position(fleet, row.vm.as_str())).collect();
    live.sort_unstable();
    live
}

fn position(fleet: &Fleet, name: &str) -> usize {
    let found = fleet.vms.iter().position(|row| row.name.as_str() == name);
    found.unwrap_or_else(|| panic!("{name} is no VM"))
}

/// Runs until each of `watchers` sees exactly `expected` as live. Returns how long it took.
fn agree(fleet: &mut Fleet, watchers: &[usize], expected: &[usize], limit: Micros) -> Micros {
    let begun = fleet.now;
    let mut left: Vec<usize> = watchers.to_vec();
    loop {
        left.retain(|vm| live(fleet, *vm) != expected);
        if left.is_empty() {
            return fleet.now - begun;
        }
        let seen: Vec<usize> = left
            .iter()
            .take(1)
            .flat_map(|vm| live(fleet, *vm))
            .collect();
        assert!(
            fleet.now - begun < limit,
            "after {limit}us vm {left:?} do not agree; the first sees {seen:?}"
        );
        fleet.run_for(50 * MS);
    }
}

fn all(vms: usize) -> Vec<usize> {
    (0..vms).collect()
}

fn but(vms: usize, out: &[usize]) -> Vec<usize> {
    (0..vms).filter(|vm| !out.contains(vm)).collect()
}

fn converges(vms: usize, limit: Micros) {
    let mut fleet = fleet(vms, 7);
    fleet.net.loss = 50;
    fleet.net.twice = 50;
    fleet.net.jitter = 30 * MS;
    let took = agree(&mut fleet, &all(vms), &all(vms), limit);
    println!("{vms} VMs agree after {} ms", took / MS);
}

#[test]
fn members_agree_at_9() {
    converges(9, 5 * SEC);
}

#[test]
fn members_agree_at_60() {
    converges(60, 10 * SEC);
}

#[test]
fn members_agree_at_240() {
    converges(240, 30 * SEC);
}

#[test]
fn lossy_links_raise_no_lasting_suspicion() {
    let mut fleet = fleet(60, 3);
    fleet.net.loss = 100;
    fleet.net.jitter = 30 * MS;
    agree(&mut fleet, &all(60), &all(60), 10 * SEC);
    fleet.run_for(60 * SEC);
    let suspected = fleet.logged(Code::PeerSuspected);
    assert_eq!(suspected, 0, "suspicions in a fleet that is whole");
}

fn crash_is_noticed(vms: usize, limit: Micros) {
    let mut fleet = fleet(vms, 11);
    fleet.net.loss = 50;
    agree(&mut fleet, &all(vms), &all(vms), 30 * SEC);
    // The platform shows the dead VM as live for a minute.
    fleet.list_lag = 60 * SEC;
    fleet.crash(4);
    let rest = but(vms, &[4]);
    let took = agree(&mut fleet, &rest, &rest, limit);
    println!("{vms} VMs notice a crash after {} ms", took / MS);
    fleet.run_for(2 * SEC);
    agree(&mut fleet, &rest, &rest, 1);
}

#[test]
fn crash_is_noticed_at_9() {
    crash_is_noticed(9, 5 * SEC);
}

#[test]
fn crash_is_noticed_at_240() {
    crash_is_noticed(240, 5 * SEC);
}

#[test]
fn silent_vm_is_suspected_then_gone() {
    let mut fleet = fleet(9, 12);
    agree(&mut fleet, &all(9), &all(9), 5 * SEC);
    // No connection is refused: the VM is cut off, and then no longer listed.
    fleet.partition(&[4]);
    let rest = but(9, &[4]);
    agree(&mut fleet, &rest, &rest, 6 * SEC);
    let seen = status(&mut fleet, 0).vms;
    let row = seen.iter().find(|row| row.vm.as_str() == "vm-4");
    assert_eq!(row.map(|row| row.state.as_str()), Some("suspected"));
    fleet.run_for(30 * SEC);
    assert_eq!(fleet.logged(Code::PeerGone), 0, "it is listed still");
    fleet.list.retain(|row| row.vm.as_str() != "vm-4");
    fleet.run_for(15 * SEC);
    let gone = fleet.logs.iter().filter(|row| row.2.code == Code::PeerGone);
    assert!(gone.count() >= 8);
}

#[test]
fn leaving_is_seen_within_3s_without_a_list() {
    for vms in [9, 60, 240] {
        let mut fleet = fleet(vms, 13);
        fleet.net.loss = 20;
        agree(&mut fleet, &all(vms), &all(vms), 30 * SEC);
        fleet.list_every = 10_000 * SEC;
        fleet.run_for(SEC);
        // It neither ends nor speaks again, so nothing but its leave-taking can tell the others, and they would
        // suspect it only later.
        fleet.pause_at(2, |effect| *effect == Effect::Stopped);
        fleet.shut_down(2, false);
        let rest = but(vms, &[2]);
        let took = agree(&mut fleet, &rest, &rest, 1_500 * MS);
        println!("{vms} VMs see one leave after {} ms", took / MS);
    }
}

#[test]
fn paused_vm_comes_back() {
    let mut fleet = fleet(9, 14);
    agree(&mut fleet, &all(9), &all(9), 5 * SEC);
    fleet.pause(3);
    // Its connections break meanwhile, so it finds nothing in them when it is run again.
    fleet.partition(&[3]);
    let rest = but(9, &[3]);
    agree(&mut fleet, &rest, &rest, 6 * SEC);
    fleet.run_for(20 * SEC);
    fleet.logs.clear();
    fleet.net.mend_all();
    fleet.resume(3);
    agree(&mut fleet, &all(9), &all(9), 3 * SEC);
    fleet.run_for(5 * SEC);
    let blamed = fleet
        .logs
        .iter()
        .filter(|row| row.2.code == Code::PeerSuspected);
    assert_eq!(blamed.count(), 0, "who was paused suspects nobody for that");
}

#[test]
fn restart_at_the_same_address_is_a_new_start() {
    let mut fleet = fleet(9, 15);
    agree(&mut fleet, &all(9), &all(9), 5 * SEC);
    let old = fleet.vms[5].incarnation;
    fleet.restart(5, 300 * MS);
    fleet.run_for(500 * MS);
    agree(&mut fleet, &all(9), &all(9), 4 * SEC);
    let new = fleet.vms[5].incarnation;
    // A message of the old start that comes late changes nothing.
    let late = Member {
        vm: fleet.vms[5].name.clone(),
        address: fleet.vms[5].address.clone(),
        zone: fleet.vms[5].zone.clone(),
        incarnation: old,
        beat: 1 << 40,
        leaving: true,
        edition: Edition(0),
    };
    for vm in but(9, &[5]) {
        let event = Event::Peer {
            from: late.vm.clone(),
            incarnation: old,
            message: Message::Heartbeat(Heartbeat {
                members: vec![late.clone()],
                holders: Vec::new(),
            }),
        };
        fleet.step(vm, event);
        assert_eq!(live(&mut fleet, vm), all(9));
        let seen = status(&mut fleet, vm).vms;
        let row = seen.iter().find(|row| row.vm == late.vm);
        assert_eq!(row.map(|row| row.incarnation), Some(new));
    }
    // Nor does it get anything done.
    let before = fleet.kv.calls.get("txn").copied();
    let claim = Claim {
        key: [7; 16],
        digest: 1,
        request: Request(1),
        step: ClaimStep::Take,
    };
    let event = Event::Peer {
        from: late.vm,
        incarnation: old,
        message: Message::Claim(claim),
    };
    fleet.step(0, event);
    fleet.run_for(SEC);
    assert_eq!(fleet.kv.calls.get("txn").copied(), before);
}

#[test]
fn older_start_of_the_same_name_stops() {
    let mut fleet = fleet(5, 16);
    agree(&mut fleet, &all(5), &all(5), 5 * SEC);
    let newer = Member {
        vm: fleet.vms[1].name.clone(),
        address: fleet.vms[1].address.clone(),
        zone: fleet.vms[1].zone.clone(),
        incarnation: dahliastile_core::id::Incarnation(u64::MAX),
        beat: 2,
        leaving: false,
        edition: Edition(0),
    };
    fleet.vms[1].leaving = true;
    let event = Event::Peer {
        from: fleet.vms[0].name.clone(),
        incarnation: fleet.vms[0].incarnation,
        message: Message::Heartbeat(Heartbeat {
            members: vec![newer],
            holders: Vec::new(),
        }),
    };
    fleet.step(1, event);
    fleet.run_for(2 * SEC);
    assert!(
        fleet.vms[1].node.is_none(),
        "it goes on beside a newer start"
    );
}

#[test]
fn partition_heals() {
    let mut fleet = fleet(24, 17);
    agree(&mut fleet, &all(24), &all(24), 5 * SEC);
    let side: Vec<usize> = (0..24).filter(|vm| vm % 3 == 0).collect();
    fleet.partition(&side);
    agree(&mut fleet, &side, &side, 20 * SEC);
    let other = but(24, &side);
    agree(&mut fleet, &other, &other, 20 * SEC);
    fleet.run_for(30 * SEC);
    fleet.net.mend_all();
    let took = agree(&mut fleet, &all(24), &all(24), 10 * SEC);
    println!("a partition is forgotten after {} ms", took / MS);
}

#[test]
fn newcomer_learns_the_fleet_at_once() {
    let mut fleet = fleet(240, 20);
    let some: Vec<usize> = (0..240).step_by(24).collect();
    agree(&mut fleet, &some, &all(240), 30 * SEC);
    let vm = fleet.add_vm("south", Tuning::default());
    agree(&mut fleet, &[vm], &all(vm + 1), SEC);
}

#[test]
fn late_list_shows_newcomer_late() {
    let mut fleet = fleet(9, 18);
    agree(&mut fleet, &all(9), &all(9), 5 * SEC);
    fleet.list_lag = 60 * SEC;
    let vm = fleet.add_vm("south", Tuning::default());
    agree(&mut fleet, &all(vm + 1), &all(vm + 1), 3 * SEC);
}

/// The bytes that a VM's messages to others take on the wire, from now on.
fn count_bytes(fleet: &mut Fleet, vm: usize) -> Rc<Cell<usize>> {
    let bytes = Rc::new(Cell::new(0));
    let sum = Rc::clone(&bytes);
    fleet.pause_at(vm, move |effect| {
        if let Effect::Peer { message, .. } = effect {
            sum.set(sum.get() + encoded_len(message));
        }
        false
    });
    bytes
}

fn steady_traffic(vms: usize) {
    let mut fleet = fleet(vms, 19);
    let some: Vec<usize> = (0..vms).step_by(vms / 9).collect();
    let took = agree(&mut fleet, &some, &all(vms), 60 * SEC);
    fleet.run_for(30 * SEC);
    let before = fleet.net.messages;
    let sums: Vec<_> = some.iter().map(|vm| count_bytes(&mut fleet, *vm)).collect();
    fleet.run_for(10 * SEC);
    let rate = (fleet.net.messages - before) / 10 / vms as u64;
    let bytes: Vec<usize> = sums.iter().map(|sum| sum.get() / 10).collect();
    println!("{vms} VMs agree after {} ms", took / MS);
    println!("each sends {rate} messages a second; bytes a second: {bytes:?}");
    // Seven neighbours, two heartbeats a second.
    assert!((10..=16).contains(&rate), "{rate} messages a second");
    assert!(bytes.iter().all(|rate| *rate < 8_000), "{bytes:?}");
}

#[test]
fn steady_traffic_is_bounded_at_60() {
    steady_traffic(60);
}

#[test]
fn steady_traffic_is_bounded_at_240() {
    steady_traffic(240);
}
