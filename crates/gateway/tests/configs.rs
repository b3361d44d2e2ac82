//! Configurations in quick succession among faults of VMs and of the key-value service.
//!
//! The bound is the users': a configuration is in force within two seconds on each VM that has been well for three, while the key-value
//! service has been.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::Account;
use dahliastile_gateway::effect::RefusalReason;
use rand::Rng;
use support::series::{FaultSeries, RECOVERY_TIME, VMS, seeds};
use support::{Answer, accounts, config};

/// Within so long a configuration is in force.
const IN_FORCE: Span = Span::from_secs(2);

/// The operator writes the next configuration, if it can.
fn configure(series: &mut FaultSeries, written: &mut Vec<(Instant, u64)>) {
    if series.world.store_up {
        let version = written.last().map_or(1, |(_, version)| *version) + 1;
        series.world.configure(config(version));
        written.push((series.world.now, version));
    }
}

/// The key-value service drops its history, a server's entry goes and comes back, or one is rewritten.
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

/// That each VM that is well has the configuration that it must have.
fn check(series: &FaultSeries, written: &[(Instant, u64)], seed: u64) {
    let now = series.world.now;
    let mut due = written.iter().rev();
    let due = due.find(|(at, _)| *at + IN_FORCE <= now);
    let Some((_, due)) = due.filter(|_| now >= series.last_store_fault + RECOVERY_TIME) else {
        return;
    };
    for vm in (0..VMS).filter(|vm| series.is_fault_free(*vm, now)) {
        let gateway = series.world.vms[vm].gateway.as_ref().expect("it runs");
        let version = gateway.config_version();
        assert!(
            version >= *due,
            "seed {seed}: at {now} vm{vm} has {version} of {due}"
        );
    }
}

/// Random series of a minute.
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
            check(&series, &written, seed);
        }
    }
}

/// Keys of the random series.
const KEYS: usize = 12;

/// Who holds each key: the number of an account, by the number of the key.
type Holders = BTreeMap<usize, usize>;

/// The configurations written so far, each with its time.
type Written = Vec<(Instant, Holders)>;

fn key(number: usize) -> String {
    format!("key{number}")
}

/// Three accounts with the keys that they hold.
fn accounts_of(holders: &Holders) -> Vec<Arc<Account>> {
    let account = |account: usize| {
        let keys = holders.iter().filter(|(_, holder)| **holder == account);
        let keys: Vec<String> = keys.map(|(number, _)| key(*number)).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        accounts::account(&format!("a{account}"), &keys, 0)
    };
    (0..3).map(account).collect()
}

/// The operator adds a key, moves one to another account or takes one away, if it can.
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

/// What configurations that may be in force say of a key at a VM that is well: all written since the last one that must be.
fn holders_inforce(written: &Written, at: Instant, key: usize) -> Vec<Option<usize>> {
    let old = written.iter().rposition(|(when, _)| *when + IN_FORCE <= at);
    let may_be = &written[old.unwrap_or(0)..];
    may_be
        .iter()
        .map(|(_, holders)| holders.get(&key).copied())
        .collect()
}

/// Requests with any of the keys, in random series of a minute: at a VM that is well one runs for the account that holds its key, and none
/// is refused for good whose key is there.
#[test]
fn keys_inforceamongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::new(seed);
        let mut written: Written = vec![(series.world.now, Holders::new())];
        let end = series.world.now + Span::from_secs(60);
        let mut asked: Vec<(u64, usize, usize)> = Vec::new();
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
                let call = accounts::request("r", &key(number));
                asked.push((series.world.send_request(vm, call), vm, number));
            }
        }
        series.world.run(Span::from_secs(2));
        let ran = asked
            .iter()
            .filter(|(n, _, _)| !series.world.requests[n].runs.is_empty());
        assert!(ran.count() > 50, "seed {seed}: hardly any request ran");
        for (request, vm, number) in asked {
            let asked = &series.world.requests[&request];
            let holders = holders_inforce(&written, asked.at, number);
            let told = asked.accounts.first().cloned().flatten();
            let names = holders
                .iter()
                .map(|h| h.map(|h| support::setup::name(&format!("a{h}"))));
            if !asked.runs.is_empty() {
                let runs_rightly = names.clone().any(|name| name == told) && told.is_some();
                assert!(
                    runs_rightly,
                    "seed {seed}: at {} vm{vm} ran {number} for {told:?}",
                    asked.at
                );
            }
            let refused = matches!(
                asked.ended,
                Some((_, Answer::Refused(RefusalReason::UnknownKey, _)))
            );
            let there = holders.iter().all(Option::is_some);
            assert!(
                !refused || !there,
                "seed {seed}: at {} vm{vm} refused {number}",
                asked.at
            );
        }
    }
}
