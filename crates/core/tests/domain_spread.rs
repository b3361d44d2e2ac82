//! Domains over VMs: spread evenly, taken over when a VM dies, moved gently when one comes back.

mod support;

use std::collections::BTreeMap;

use support::setup::{self, Size};
use support::{Fleet, SEC};

const DOMAINS: usize = 18;
const VMS: usize = 6;

/// Six VMs and eighteen domains of one engine each.
fn wide(seed: u64) -> Fleet {
    let size = Size {
        vms: VMS,
        engines: DOMAINS,
        ..Size::small()
    };
    let mut document = size.document();
    for (i, server) in document.servers.iter_mut().enumerate() {
        if server.domain.is_some() {
            server.domain = Some(format!("domain-{i:02}").parse().unwrap());
        }
    }
    let mut fleet = size.bare_fleet(seed);
    fleet.configure(&document);
    fleet.run_for(20 * SEC);
    fleet
}

/// How many domains each VM holds, as the lease keys say.
fn held(fleet: &Fleet) -> BTreeMap<usize, usize> {
    let mut held = BTreeMap::new();
    for (key, (pair, _)) in &fleet.kv.pairs {
        if !key.starts_with("dahliastile/lease/") {
            continue;
        }
        let text = String::from_utf8_lossy(&pair.value);
        let vm = fleet
            .vms
            .iter()
            .position(|vm| text.contains(&format!("\"{}\"", vm.name)));
        *held.entry(vm.unwrap()).or_default() += 1;
    }
    held
}

fn even(fleet: &Fleet, vms: usize) -> bool {
    let held = held(fleet);
    let share = DOMAINS.div_ceil(vms);
    held.values().sum::<usize>() == DOMAINS && held.values().all(|count| *count <= share)
}

#[test]
fn spread_start() {
    let fleet = wide(1);
    assert!(even(&fleet, VMS), "{:?}", held(&fleet));
}

#[test]
fn spread_crash() {
    let mut fleet = wide(2);
    let before = held(&fleet);
    fleet.crash(2);
    fleet.run_for(40 * SEC);
    let after = held(&fleet);
    assert!(even(&fleet, VMS - 1), "{after:?}");
    // Only what the dead VM held has moved, but for what evens the shares out.
    let kept = (0..VMS).filter(|vm| *vm != 2);
    let moved: usize = kept.map(|vm| before[&vm].saturating_sub(after[&vm])).sum();
    assert!(moved <= 2, "{before:?} {after:?}");
    fleet.start(2);
    fleet.run_for(120 * SEC);
    assert!(even(&fleet, VMS), "{:?}", held(&fleet));
    fleet.check();
}

#[test]
fn spread_rolling() {
    let mut fleet = wide(3);
    for vm in 0..VMS {
        fleet.shut_down(vm, false);
        assert!(fleet.run_while(|fleet| fleet.vms[vm].node.is_some(), 30 * SEC));
        fleet.run_for(2 * SEC);
        // Handed over, and not left to lapse.
        let count: usize = held(&fleet).values().sum();
        assert_eq!(count, DOMAINS, "after vm {vm}");
        fleet.start(vm);
        fleet.run_for(20 * SEC);
    }
    fleet.run_for(120 * SEC);
    assert!(even(&fleet, VMS), "{:?}", held(&fleet));
    for adapter in 0..12 {
        let ask = fleet.ask(adapter % VMS, setup::model(adapter, 1, 3));
        assert!(fleet.finish(ask, 20 * SEC).finished(), "{adapter}");
    }
    fleet.check();
}

#[test]
fn renewals_pervm() {
    let mut fleet = wide(4);
    let before = fleet.kv.calls.clone();
    fleet.run_for(60 * SEC);
    let calls = |kind: &str| {
        fleet.kv.calls.get(kind).copied().unwrap_or(0) - before.get(kind).copied().unwrap_or(0)
    };
    // One renewal each three seconds for each VM, whatever number of domains it holds; no other write.
    assert!(
        calls("lease_renew") <= 21 * VMS as u64,
        "{}",
        calls("lease_renew")
    );
    assert_eq!(calls("txn"), 0);
    assert_eq!(calls("lease_grant"), 0);
}
