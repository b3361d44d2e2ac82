//! The configuration among peers: few VMs read the platform, and no VM ever goes back.

mod edits;
mod support;

use dahliastile_core::config::Change;
use dahliastile_core::effect::Effect;
use dahliastile_core::event::Event;
use dahliastile_core::id::{Edition, Incarnation};
use dahliastile_core::log::Code;
use dahliastile_core::peer::{Fetch, Message, Piece};
use edits::{accepted, edit, edit_up_to, edition, give, insert, reach, shown};
use quickcheck::{Gen, QuickCheck};
use support::net::End;
use support::setup::Size;
use support::{Fleet, MS, SEC};

const PIECE: usize = 64 * 1024;

fn fleet(seed: u64, vms: usize) -> Fleet {
    let mut size = Size::small();
    (size.vms, size.engines, size.plains) = (vms, 1, 1);
    size.fleet(seed)
}

fn all(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.vms.len()).collect()
}

/// Cuts a VM from the platform.
fn cut(fleet: &mut Fleet, vm: usize) {
    fleet.net.cut(End::Vm(vm), End::Kv);
}

/// Gives a VM a message from a peer and returns the pieces that it answers.
fn ask(fleet: &mut Fleet, vm: usize, from: usize, message: Message) -> Vec<Piece> {
    let now = fleet.local(vm);
    let (name, incarnation) = (fleet.vms[from].name.clone(), fleet.vms[from].incarnation);
    let event = Event::Peer {
        from: name,
        incarnation,
        message,
    };
    let mut effects = Vec::new();
    fleet.vms[vm]
        .node
        .as_mut()
        .unwrap()
        .step(now, event, &mut effects);
    let piece = |effect| match effect {
        Effect::Peer {
            message: Message::Piece(piece),
            ..
        } => Some(piece),
        _ => None,
    };
    effects.into_iter().filter_map(piece).collect()
}

#[test]
fn platform_calls_do_not_grow() {
    let mut reads = Vec::new();
    for vms in [6, 40] {
        let mut fleet = fleet(1, vms);
        fleet.verify = false;
        fleet.run_for(5 * SEC);
        let before = fleet.kv.calls.clone();
        for number in 0..20 {
            let change = insert(&format!("r{number}"));
            fleet.edit(0, vec![change]);
            fleet.run_for(SEC);
        }
        let gets = fleet.kv.calls["get"] - before["get"];
        let ranges = fleet.kv.calls["range"] - before.get("range").copied().unwrap_or(0);
        reads.push(gets + ranges);
    }
    assert!(reads[1] <= reads[0] + 10, "{reads:?}");
}

#[test]
fn in_force_within_four_seconds() {
    for seed in 0..5 {
        let mut fleet = fleet(seed, 40);
        fleet.verify = false;
        fleet.run_for(5 * SEC);
        fleet.edit(7, vec![insert("r")]);
        let vms = all(&fleet);
        assert!(reach(&mut fleet, &vms, 2, 4 * SEC));
    }
}

#[test]
fn fresh_vm_takes_it_from_peer() {
    for seed in 0..5 {
        let mut fleet = fleet(seed, 3);
        edit_up_to(&mut fleet, 0, 6);
        fleet.run_for(SEC);
        fleet.kv_down(false);
        fleet.restart(2, SEC);
        fleet.run_for(SEC);
        assert!(reach(&mut fleet, &[2], 6, 5 * SEC));
        assert_eq!(shown(&mut fleet, 2), shown(&mut fleet, 0));
    }
}

#[test]
fn all_replaced_in_outage() {
    let mut fleet = fleet(3, 4);
    edit_up_to(&mut fleet, 0, 5);
    fleet.kv_down(true);
    for vm in 0..4 {
        fleet.restart(vm, SEC);
        fleet.run_for(10 * SEC);
        assert_eq!(edition(&mut fleet, vm), 5);
    }
}

#[test]
fn all_replaced_while_edits_go_on() {
    for seed in 0..4 {
        let mut fleet = fleet(seed, 4);
        let mut wanted = 1;
        for vm in 0..4 {
            fleet.restart(vm, SEC);
            for number in 0..5 {
                let change = insert(&format!("r{vm}-{number}"));
                fleet.edit((vm + 1) % 4, vec![change]);
                wanted += 1;
                fleet.run_for(300 * MS);
            }
        }
        let vms = all(&fleet);
        assert!(reach(&mut fleet, &vms, wanted, 4 * SEC));
        assert_eq!(shown(&mut fleet, 0).1.rules.len(), 20);
        for vm in 1..4 {
            assert_eq!(shown(&mut fleet, vm), shown(&mut fleet, 0));
        }
    }
}

#[test]
fn large_snapshot_in_pieces() {
    let mut size = Size::small();
    (size.vms, size.adapters) = (2, 12_000);
    let document = size.document();
    let mut fleet = Size {
        adapters: 1,
        ..size
    }
    .fleet(4);
    // So many bytes of edits that no VM keeps all of them.
    for some in document.adapters.chunks(4_000).cycle().take(9) {
        fleet.edit(0, some.iter().cloned().map(Change::PutAdapter).collect());
    }
    fleet.run_for(2 * SEC);
    cut(&mut fleet, 1);
    fleet.restart(1, SEC);
    fleet.run_for(SEC);
    assert!(reach(&mut fleet, &[1], 10, 5 * SEC));
    assert_eq!(shown(&mut fleet, 1), shown(&mut fleet, 0));
    // VM 1 has no edits, only the snapshot: it serves that to the next fresh VM.
    let mut fetch = Fetch {
        have: Edition(0),
        offset: 0,
        snapshot: Edition(0),
    };
    let mut bytes = Vec::new();
    loop {
        let mut pieces = ask(&mut fleet, 1, 0, Message::Fetch(fetch.clone()));
        assert_eq!(pieces.len(), 1);
        let Piece::Snapshot {
            edition,
            offset,
            total,
            hash,
            data,
        } = pieces.remove(0)
        else {
            panic!("no piece of a snapshot");
        };
        assert_eq!(offset, bytes.len() as u64);
        assert!(data.len() <= PIECE);
        bytes.extend(data);
        fetch.offset = bytes.len() as u64;
        fetch.snapshot = edition;
        if fetch.offset == total {
            assert_eq!(*blake3::hash(&bytes).as_bytes(), hash);
            return;
        }
    }
}

#[test]
fn damaged_pieces_are_not_applied() {
    let mut fleet = fleet(5, 2);
    edit_up_to(&mut fleet, 0, 4);
    fleet.run_for(SEC);
    let have = Fetch {
        have: Edition(1),
        offset: 0,
        snapshot: Edition(0),
    };
    let pieces = ask(&mut fleet, 0, 1, Message::Fetch(have));
    let [Piece::Edits { first, edits }] = pieces.as_slice() else {
        panic!("no edits: {pieces:?}");
    };
    let mut fresh = Size::small().bare_fleet(6);
    fresh.kv_down(true);
    // Edits that do not begin where the VM stands.
    for piece in [
        Piece::Edits {
            first: *first,
            edits: edits.clone(),
        },
        Piece::Snapshot {
            edition: Edition(9),
            offset: 0,
            total: 4,
            hash: [7; 32],
            data: b"null".to_vec(),
        },
        Piece::Snapshot {
            edition: Edition(9),
            offset: 0,
            total: u64::MAX,
            hash: [7; 32],
            data: b"null".to_vec(),
        },
    ] {
        ask(&mut fresh, 0, 1, Message::Piece(piece));
        assert_eq!(edition(&mut fresh, 0), 0);
    }
}

#[test]
fn forged_edits_are_not_applied() {
    let mut fleet = fleet(6, 2);
    fleet.run_for(SEC);
    fleet.partition(&[0]);
    cut(&mut fleet, 0);
    edit_up_to(&mut fleet, 1, 2);
    let have = Fetch {
        have: Edition(1),
        offset: 0,
        snapshot: Edition(0),
    };
    let mut pieces = ask(&mut fleet, 1, 0, Message::Fetch(have));
    let Piece::Edits { edits, .. } = pieces.remove(0) else {
        panic!("no edits");
    };
    let text = String::from_utf8(edits[0].clone()).unwrap();
    let body = text.split_once('\n').unwrap().1;
    let seal = |body: &str| format!("{}\n{body}", blake3::hash(body.as_bytes()));
    // Another author under the old hash; and a hash that fits an edit that does not follow the one in force.
    let changed = text.replace("operator", "stranger");
    let at = body.find("\"prev\":\"").unwrap() + 8;
    let digit = if &body[at..=at] == "0" { "1" } else { "0" };
    let unchained = seal(&format!("{}{digit}{}", &body[..at], &body[at + 1..]));
    assert_ne!(changed, text);
    for forged in [changed, unchained] {
        let first = Edition(2);
        let edits = vec![forged.into_bytes()];
        ask(
            &mut fleet,
            0,
            1,
            Message::Piece(Piece::Edits { first, edits }),
        );
        assert_eq!(edition(&mut fleet, 0), 1);
    }
    let first = Edition(2);
    let edits = vec![seal(body).into_bytes()];
    ask(
        &mut fleet,
        0,
        1,
        Message::Piece(Piece::Edits { first, edits }),
    );
    assert_eq!(edition(&mut fleet, 0), 2);
}

#[test]
fn stale_peer_takes_nothing_back() {
    for seed in 0..5 {
        let mut fleet = fleet(seed, 3);
        fleet.run_for(SEC);
        fleet.pause(2);
        edit_up_to(&mut fleet, 0, 5);
        fleet.kv_down(false);
        fleet.restart(1, SEC);
        fleet.run_for(5 * SEC);
        assert_eq!(edition(&mut fleet, 1), 5);
        fleet.resume(2);
        fleet.run_for(5 * SEC);
        for vm in 0..3 {
            assert_eq!(edition(&mut fleet, vm), 5);
        }
    }
}

#[test]
fn partition_heals() {
    let mut fleet = fleet(7, 6);
    fleet.run_for(2 * SEC);
    fleet.partition(&[0, 1, 2]);
    for vm in 3..6 {
        cut(&mut fleet, vm);
    }
    edit_up_to(&mut fleet, 0, 4);
    fleet.run_for(5 * SEC);
    assert_eq!(edition(&mut fleet, 5), 1);
    fleet.net.mend_all();
    let vms = all(&fleet);
    assert!(reach(&mut fleet, &vms, 4, 10 * SEC));
}

#[test]
fn operators_race_under_faults() {
    for seed in 0..12 {
        let mut fleet = fleet(seed, 3);
        fleet.net.loss = 200;
        fleet.net.twice = 200;
        fleet.net.jitter = 50 * MS;
        fleet.kv.faults.only = Some("txn");
        let mut tickets = Vec::new();
        for round in 0..6 {
            fleet.kv.faults.lose_answers = round % 2;
            fleet.kv.faults.lose_calls = round % 3;
            let base = edition(&mut fleet, 0).min(edition(&mut fleet, 1));
            let base = base.min(edition(&mut fleet, 2));
            for vm in 0..3 {
                let id = format!("e{round}-{vm}");
                let change = insert(&id);
                tickets.push(give(&mut fleet, vm, edit(&id, base, vec![change])));
            }
            fleet.run_for(500 * MS);
        }
        let editions: Vec<u64> = tickets.iter().map(|t| accepted(&mut fleet, *t).0).collect();
        let mut sorted = editions.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), editions.len(), "two edits made one edition");
        let vms = all(&fleet);
        assert!(reach(&mut fleet, &vms, 19, 20 * SEC));
        assert_eq!(shown(&mut fleet, 0).1.rules.len(), 18);
        assert_eq!(fleet.logged(Code::EditionRejected), 0);
    }
}

#[test]
fn edition_never_falls() {
    fn property(seed: u64, steps: Vec<u8>) -> bool {
        let mut fleet = fleet(seed, 4);
        (fleet.net.loss, fleet.net.twice, fleet.net.jitter) = (300, 200, 80 * MS);
        let mut last = [(Incarnation(0), 0); 4];
        for (number, step) in steps.into_iter().take(40).enumerate() {
            let vm = usize::from(step) % 4;
            match step / 4 % 10 {
                0..=3 => {
                    let base = edition(&mut fleet, vm);
                    let id = format!("e{number}");
                    let change = insert(&id);
                    give(&mut fleet, vm, edit(&id, base, vec![change]));
                }
                4 => fleet.restart(vm, 100 * MS),
                5 => fleet.kv_down(step % 8 < 4),
                6 => fleet.kv_up(),
                7 => fleet.partition(&[vm]),
                8 => fleet.net.mend_all(),
                _ => fleet.kv.compact(),
            }
            for _ in 0..10 {
                fleet.run_for(50 * MS);
                for vm in (0..4)
                    .filter(|vm| fleet.vms[*vm].node.is_some())
                    .collect::<Vec<_>>()
                {
                    let now = (fleet.vms[vm].incarnation, edition(&mut fleet, vm));
                    if now.0 == last[vm].0 && now.1 < last[vm].1 {
                        return false;
                    }
                    last[vm] = now;
                }
            }
        }
        fleet.kv_up();
        fleet.net.mend_all();
        fleet.run_for(30 * SEC);
        let first = shown(&mut fleet, 0);
        (1..4).all(|vm| shown(&mut fleet, vm) == first)
    }
    let generator = Gen::from_size_and_seed(40, 5);
    QuickCheck::new()
        .rng(generator)
        .tests(30)
        .quickcheck(property as fn(u64, Vec<u8>) -> bool);
}

#[test]
fn isolated_vm_watches_itself() {
    let mut fleet = fleet(8, 5);
    fleet.run_for(SEC);
    fleet.kv_down(false);
    fleet.restart(4, SEC);
    fleet.run_for(10 * SEC);
    assert_eq!(edition(&mut fleet, 4), 1);
    fleet.kv_up();
    fleet.run_for(10 * SEC);
    fleet.partition(&[4]);
    fleet.edit(0, vec![insert("r")]);
    assert!(reach(&mut fleet, &[4], 2, 30 * SEC));
}
