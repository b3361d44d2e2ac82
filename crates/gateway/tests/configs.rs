//! Configurations written in quick succession during faults of VMs and of the key-value service.
//!
//! The requirement: a configuration is in force within two seconds on each VM that has had no fault for three seconds,
//! provided that the key-value service has had no fault in these three seconds either.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::Account;
use dahliastile_gateway::effect::RefusalReason;
use rand::Rng;
use support::series::{FaultSeries, RECOVERY_TIME, VMS, seeds};
use support::{Answer, accounts, config};

/// The time within which a configuration is in force on a VM without faults.
const IN_FORCE: Span = Span::from_secs(2);

/// Writes the next configuration, as an operator does, if the key-value service is up.
fn configure(series: &mut FaultSeries, written: &mut Vec<(Instant, u64)>) {
    if series.world.store_up {
        let version = written.last().map_or(1, |(_, version)| *version) + 1;
        series.world.configure(config(version));
        written.push((series.world.now, version));
    }
}

/// At random, compacts the history of the key-value service, removes and restores a server's entry, or rewrites one.
fn churn(series: &mut FaultSeries) {
    let server = format!("e{}", series.rng.random_range(0..8));
    let world = &mut series.world;
    match series.rng.random_range(0..40) {
        0 => world.store.compacted = world.store.revision,
        1 => {
            world.remove_server_entry(&server);
            world.rewrite_server_entry(&server);
        }
        2..10 => world.rewrite_server_entry(&server),
        _ => {}
    }
}

/// Asserts that each VM without faults has a configuration at least as new as the one that must be in force.
fn check_versions(series: &FaultSeries, written: &[(Instant, u64)], seed: u64) {
    let now = series.world.now;
    let mut newest_first = written.iter().rev();
    let due = newest_first.find(|(at, _)| *at + IN_FORCE <= now);
    let Some((_, due)) = due.filter(|_| now >= series.last_store_fault + RECOVERY_TIME) else {
        return;
    };
    for vm in (0..VMS).filter(|vm| series.is_fault_free(*vm, now)) {
        let gateway = series.world.vms[vm].gateway.as_ref().expect("it runs");
        let version = gateway.config_version();
        assert!(
            version >= *due,
            "seed {seed}: at {now} vm{vm} has version {version}, not {due} or later"
        );
    }
}

/// New configurations are in force in time during a minute of random faults.
#[test]
fn config_isinforceamongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let mut written = vec![(series.world.now, 1)];
        let end = series.world.now + Span::from_secs(60);
        while series.world.now < end {
            series.step();
            churn(&mut series);
            if series.rng.random_bool(0.05) {
                configure(&mut series, &mut written);
            }
            check_versions(&series, &written, seed);
        }
    }
}

/// The number of API keys.
const KEYS: usize = 12;

/// The number of the account that holds each key, by the number of the key.
type Holders = BTreeMap<usize, usize>;

/// The accounts of the configurations written so far, each with the time of the write.
type Written = Vec<(Instant, Holders)>;

fn key(number: usize) -> String {
    format!("key{number}")
}

/// Creates three accounts with the keys that they hold.
fn accounts_of(holders: &Holders) -> Vec<Arc<Account>> {
    let account = |account: usize| {
        let keys = holders.iter().filter(|(_, holder)| **holder == account);
        let keys: Vec<String> = keys.map(|(number, _)| key(*number)).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        accounts::account(&format!("a{account}"), &keys, 0)
    };
    (0..3).map(account).collect()
}

/// Writes a configuration that adds a key, moves one to another account or removes one, if the key-value service is up.
fn change_keys(series: &mut FaultSeries, written: &mut Written) {
    if !series.world.store_up {
        return;
    }
    let (_, holders) = written.last().expect("one is written first");
    let mut holders = holders.clone();
    let key = series.rng.random_range(0..KEYS);
    match series.rng.random_range(0..3) {
        0 => {
            holders.remove(&key);
        }
        _ => {
            holders.insert(key, series.rng.random_range(0..3));
        }
    }
    let version = u64::try_from(written.len()).expect("few") + 1;
    let configured = accounts::config(version, accounts_of(&holders));
    series.world.configure(configured);
    written.push((series.world.now, holders));
}

/// Returns the holder of a key by each configuration that may be in force at a VM without faults: the last one that
/// must be in force, and all written after it.
fn holders_inforce(written: &Written, at: Instant, key: usize) -> Vec<Option<usize>> {
    let newest_due = written.iter().rposition(|(when, _)| *when + IN_FORCE <= at);
    let candidates = &written[newest_due.unwrap_or(0)..];
    candidates
        .iter()
        .map(|(_, holders)| holders.get(&key).copied())
        .collect()
}

/// Requests with random keys during a minute of random faults and changes of keys. At a VM without faults a request
/// runs for the account that holds its key, and none is refused as having an unknown key while an account holds it.
#[test]
fn keys_inforceamongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let mut written: Written = vec![(series.world.now, Holders::new())];
        let end = series.world.now + Span::from_secs(60);
        let mut sent: Vec<(u64, usize, usize)> = Vec::new();
        while series.world.now < end {
            series.step();
            churn(&mut series);
            if series.rng.random_bool(0.1) {
                change_keys(&mut series, &mut written);
            }
            let (vm, number) = (
                series.rng.random_range(0..VMS),
                series.rng.random_range(0..KEYS),
            );
            let stable = series.world.now >= series.last_store_fault + RECOVERY_TIME;
            if stable && series.is_fault_free(vm, series.world.now) && written.len() > 1 {
                let request = accounts::request("r", &key(number));
                sent.push((series.world.send_request(vm, request), vm, number));
            }
        }
        series.world.run(Span::from_secs(2));
        let ran = sent
            .iter()
            .filter(|(n, _, _)| !series.world.requests[n].runs.is_empty());
        assert!(ran.count() > 50, "seed {seed}: at most 50 requests ran");
        for (request, vm, number) in sent {
            let record = &series.world.requests[&request];
            let holders = holders_inforce(&written, record.at, number);
            let account = record.accounts.first().cloned().flatten();
            let names = holders
                .iter()
                .map(|h| h.map(|h| support::setup::name(&format!("a{h}"))));
            if !record.runs.is_empty() {
                let holder_ran = names.clone().any(|name| name == account) && account.is_some();
                assert!(
                    holder_ran,
                    "seed {seed}: at {} vm{vm} ran a request with key {number} for {account:?}",
                    record.at
                );
            }
            let refused = matches!(
                record.ended,
                Some((_, Answer::Refused(RefusalReason::UnknownKey, _)))
            );
            let always_held = holders.iter().all(Option::is_some);
            assert!(
                !refused || !always_held,
                "seed {seed}: at {} vm{vm} refused a request with key {number}",
                record.at
            );
        }
    }
}
