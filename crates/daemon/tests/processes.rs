//! Three entry VMs and the stand-ins as processes that are killed, frozen and cut off.
//!
//! What is claimed to callers is held against the stand-ins' own records. Every wait is on a condition.

#[path = "processes/fleet.rs"]
mod fleet;
#[path = "processes/process.rs"]
mod process;
mod support;

use std::io::{Read, Write};
use std::thread;

use dahliastile_standin::caller::Request;
use fleet::{FENCED, Fleet, UNFENCED, Vm, error};
use process::until;
use serde_json::json;
use support::Reply;

/// Sends a request and checks that its answer is whole and by the adapter it names.
fn whole(request: &Request) {
    let answer = request.send().unwrap();
    answer
        .verify(request)
        .unwrap_or_else(|fault| panic!("{fault}: {answer:?}"));
}

#[test]
fn traffic_whole_on_every_vm() {
    let fleet = Fleet::start();
    thread::scope(|scope| {
        for vm in &fleet.vms {
            for models in [FENCED, UNFENCED] {
                scope.spawn(move || {
                    for model in models {
                        whole(&vm.completion(model, "from Rotterdam", 12));
                        whole(&vm.completion(model, "from Rotterdam", 5).whole());
                        whole(&vm.chat(model, "to the Botlek", 8));
                    }
                });
            }
        }
    });
    for engine in [&fleet.fenced, &fleet.unfenced] {
        let record = engine.runs();
        assert_eq!(record.runs.len(), 3 * 4 * 3, "each request ran once");
        assert!(record.runs.iter().all(|run| !run.interrupted));
    }
    fleet.assert_harmless();
}

/// Sends requests one after the other through all VMs; each is whole, or refused without having run.
fn whole_or_not_run(vm: &Vm, models: &[&str], tokens: u64) -> usize {
    let mut answered = 0;
    for model in models {
        let request = vm
            .completion(model, "from Rotterdam", tokens)
            .header("X-Timeout-Ms", "1500");
        let answer = request.send().unwrap();
        match answer.verify(&request) {
            Ok(()) => answered += 1,
            Err(fault) => assert_eq!(error(&answer).1, "no", "{fault}: {answer:?}"),
        }
    }
    answered
}

#[test]
fn refused_bookings_did_not_run() {
    let fleet = Fleet::start();
    let vm = &fleet.vms[1];
    let refused = |key: &str| {
        let (kind, ran) = vm.book(key).error();
        assert_eq!(
            (ran.as_str(), fleet.booked(key)),
            ("no", 0),
            "{key}: {kind}"
        );
        kind
    };
    fleet.plain.fault(&json!({ "refuse": 100 }));
    assert_eq!(refused("told"), "server_refused");
    fleet.plain.fault(&json!({ "refuse": 0 }));
    fleet.plain.outage("refused");
    refused("cut off");
    fleet.plain.outage("none");
    fleet.kv.outage("refused");
    until("the outage is noticed", || vm.status()["platform"] == false);
    assert_eq!(refused("no platform"), "platform_down");
    fleet.kv.outage("none");
    for key in ["told", "cut off", "no platform"] {
        until("a key that did not run runs", || vm.book(key).status == 200);
        assert_eq!(fleet.booked(key), 1, "{key}");
    }
}

#[test]
fn refused_completions_did_not_run() {
    let fleet = Fleet::start();
    let vm = &fleet.vms[2];
    fleet.unfenced.fault(&json!({ "refuse_work": true }));
    assert_eq!(whole_or_not_run(vm, &UNFENCED, 4), 0);
    assert_eq!(fleet.unfenced.runs().runs, []);
    fleet.unfenced.fault(&json!({ "refuse_work": false }));
    fleet.weights.fault(&json!({ "fail_loads": 1000 }));
    let answered = whole_or_not_run(vm, &FENCED, 4);
    assert_eq!(fleet.fenced.runs().runs.len(), answered);
    fleet.weights.fault(&json!({ "fail_loads": 0 }));
    until("loads work again", || whole_or_not_run(vm, &FENCED, 4) == 4);
}

/// A repeated key is answered with the first run's result, or says that it may have run.
fn repeated(vm: &Vm, key: &str, first: Option<&Reply>) {
    let again = vm.book(key);
    match first {
        Some(first) if again.status == 200 => assert_eq!(again.body, first.body),
        _ => {
            let (kind, ran) = again.error();
            assert_eq!(kind, "duplicate");
            assert_ne!(ran, "no", "{key} ran");
        }
    }
}

#[test]
fn keys_run_once() {
    let fleet = Fleet::start();
    for (key, place) in [("a", 0), ("b", 1), ("c", 2)] {
        let first = fleet.vms[place].book(key);
        assert_eq!(first.status, 200, "{}", first.text());
        for vm in &fleet.vms {
            repeated(vm, key, Some(&first));
        }
        assert_eq!(fleet.booked(key), 1, "{key}");
    }
}

#[test]
fn keys_run_once_where_the_first_vm_is_killed() {
    let mut fleet = Fleet::start();
    let first = fleet.vms[0].book("answered");
    fleet.plain.fault(&json!({ "work_ms": 400 }));
    let callers = fleet.vms[0].callers;
    let running = thread::spawn(move || {
        // This caller's VM is killed, so that it reads no answer.
        let mut stream = support::connect(callers);
        stream.write_all(&fleet::booking("running")).unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
    });
    until("the booking runs", || fleet.booked("running") == 1);
    fleet.vms[0].process.kill();
    running.join().unwrap();
    for vm in &fleet.vms[1..] {
        repeated(vm, "answered", Some(&first));
        repeated(vm, "running", None);
    }
    assert_eq!((fleet.booked("answered"), fleet.booked("running")), (1, 1));
}

#[test]
fn vm_frozen_past_its_lease() {
    let fleet = Fleet::start();
    for (domain, models, engine) in [
        ("plans", FENCED, &fleet.fenced),
        ("tides", UNFENCED, &fleet.unfenced),
    ] {
        let place = fleet.holder(domain);
        let frozen = &fleet.vms[place];
        let other = &fleet.vms[(place + 1) % 3];
        engine.fault(&json!({ "step_us": 10_000 }));
        let long = frozen.completion(models[0], "a long way", 300);
        thread::scope(|scope| {
            let stream = scope.spawn(|| whole(&long));
            until("the stream runs", || !engine.runs().runs.is_empty());
            frozen.process.signal("STOP");
            until("another VM holds the domain", || {
                whole_or_not_run(other, &models, 2);
                let holder = other.holder(domain);
                holder.is_some_and(|holder| holder != frozen.name)
            });
            frozen.process.signal("CONT");
            until("the resumed VM knows", || {
                frozen.holder(domain) == other.holder(domain)
            });
            until("all adapters are served", || {
                whole_or_not_run(frozen, &models, 2) == 4
            });
            stream.join().unwrap();
        });
        engine.fault(&json!({ "step_us": 1_000 }));
    }
    fleet.assert_harmless();
}
