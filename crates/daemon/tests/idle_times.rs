//! Servers and the key-value service that say for how long they keep idle connections: any number of seconds, or what is
//! none.

#[path = "platform/fleet.rs"]
mod fleet;

use std::time::Duration;

use dahliastile_standin::fleet::Replica;
use fleet::{Fleet, config, ran, until};

/// What they say.
const TIMEOUTS: [&str; 10] = [
    "timeout=0",
    "timeout=1, max=100",
    "timeout=-1",
    "timeout=1e9",
    "timeout=9223372036",
    "timeout=9223372036854775807",
    "timeout=18446744073709551615",
    "timeout=18446744073709551616",
    "timeout=999999999999999999999999999999",
    "timeout=",
];

/// The time for which the key-value service says so: its watches are answered meanwhile.
const STATED: Duration = Duration::from_secs(2);

/// Asks for each kind of answer once and returns what is not as it should be.
fn faults(fleet: &Fleet, case: &str) -> Vec<String> {
    let adapter = format!("base/a{}", case.len());
    let paths = [
        ("/plan/x", Some(adapter.as_str())),
        ("/berth/x", Some(adapter.as_str())),
        ("/query/x", None),
        ("/post/x", None),
    ];
    let mut faults = Vec::new();
    // The second request of a kind finds the connection of the first.
    for (number, (path, model)) in (0..).zip(paths.iter().chain(&paths)) {
        let id = format!("{number}{case}");
        let answer = fleet.vms[0].ask(&id, path, *model);
        let runs = ran(&fleet.engines, &id) + ran(&fleet.plain, &id);
        if (answer.status, answer.whole, runs) != (200, true, 1) {
            faults.push(format!("{path} {case}: {runs} runs, {}", answer.text));
        }
    }
    faults
}

/// Guards against answers that are lost after their requests have run, as the time until which their connection can be used
/// does not fit the clock: to requests, and to the orders and reports on which requests wait.
#[test]
fn idletime_ofservers() {
    let fleet = Fleet::start_ready(1);
    let mut all = Vec::new();
    for timeout in TIMEOUTS {
        let servers = fleet.engines.iter().chain(&fleet.plain);
        servers.for_each(|server: &Replica| server.set_extra_headers(&[("Keep-Alive", timeout)]));
        all.extend(faults(&fleet, timeout));
    }
    assert!(all.is_empty(), "{all:#?}");
}

/// Guards against a VM that learns of no later configuration, as the answer to its watch was lost for the same reason.
#[test]
fn idletime_ofthekeyvalueservice() {
    let fleet = Fleet::start_ready(1);
    for (version, timeout) in (2..).zip(TIMEOUTS) {
        fleet.store.set_extra_headers(&[("Keep-Alive", timeout)]);
        std::thread::sleep(STATED);
        fleet.store.set_extra_headers(&[]);
        let mut newer = config(version);
        let path = format!("/new{version}/");
        newer["routes"][3]["prefix"] = path.as_str().into();
        fleet.store.put("op/config", &newer);
        until(&format!("version {version} is in force, {timeout}"), || {
            fleet.vms[0].ask("new", &path, None).status == 200
        });
    }
}
