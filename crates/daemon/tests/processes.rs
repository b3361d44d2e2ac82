//! Three entry VMs and the stand-ins as processes that are killed, frozen and cut off.
//!
//! What is claimed to callers is held against the stand-ins' own records. Every wait is on a condition.

#[path = "processes/checks.rs"]
mod checks;
#[path = "processes/fleet.rs"]
mod fleet;
#[path = "processes/process.rs"]
mod process;
#[path = "processes/shutdown.rs"]
mod shutdown;
mod support;

use std::io::{Read, Write};
use std::thread;

use checks::{begin, broken, repeated, whole, whole_or_not_run};
use fleet::{FENCED, Fleet, Standin, UNFENCED, error, server};
use process::until;
use serde_json::{Value, json};
use support::{bearer, connect, raw, request};

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
        let mut stream = connect(callers);
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

#[test]
fn residents_served_while_the_platform_is_frozen() {
    let mut fleet = Fleet::start();
    let residents = [FENCED[0], UNFENCED[0]];
    for vm in &fleet.vms {
        until("both are resident", || {
            whole_or_not_run(vm, &residents, 3) == 2
        });
    }
    let holders = [fleet.holder("plans"), fleet.holder("tides")];
    fleet.kv.process.signal("STOP");
    fleet.list.outage("refused");
    for holder in holders {
        fleet.vms[holder].process.wrote("lapsed");
    }
    for vm in &fleet.vms {
        until("the outage is noticed", || vm.status()["platform"] == false);
        for model in residents.repeat(20) {
            whole(&vm.completion(model, "in the outage", 3));
        }
    }
    fleet.kv.process.signal("CONT");
    fleet.list.outage("none");
    for vm in &fleet.vms {
        until("the platform is back", || vm.status()["platform"] == true);
        until("cold ones are served", || {
            whole_or_not_run(vm, &FENCED, 3) == 4
        });
        until("cold ones are served", || {
            whole_or_not_run(vm, &UNFENCED, 3) == 4
        });
    }
    fleet.assert_harmless();
}

#[test]
fn platform_killed_and_a_vm_started() {
    let mut fleet = Fleet::start();
    for vm in &fleet.vms {
        until("it is resident", || {
            whole_or_not_run(vm, &FENCED[..1], 3) == 1
        });
    }
    fleet.kv.process.kill();
    for vm in &fleet.vms {
        until("the outage is noticed", || vm.status()["platform"] == false);
    }
    fleet.vms[2].process.kill();
    fleet.restart(2);
    until("a VM is ready by a peer", || fleet.vms[2].ready());
    assert_eq!(fleet.vms[2].status()["edition"], 1);
    whole_or_not_run(&fleet.vms[2], &FENCED, 3);
    for vm in &fleet.vms {
        let (kind, ran) = vm.book("unsafe").error();
        assert_eq!((kind.as_str(), ran.as_str()), ("platform_down", "no"));
    }
    for vm in &fleet.vms[..2] {
        whole(&vm.completion(FENCED[0], "after the outage", 3));
    }
    assert_eq!(fleet.booked("unsafe"), 0);
    fleet.assert_harmless();
}

#[test]
fn edit_in_force_on_every_vm() {
    let fleet = Fleet::start();
    let rule =
        json!({ "name": "closed", "when": { "adapter": "gate" }, "then": { "refuse": "repairs" } });
    let changes = json!([{ "insert_rule": { "rule": rule, "place": "first" } }]);
    let edition = fleet.vms[1].edit("close", 1, &changes);
    for vm in &fleet.vms {
        until("the edition is in force everywhere", || {
            let status = vm.status();
            status["edition"] == edition && status["everywhere"] == true
        });
        let answer = vm.completion("gate@1", "a", 3).send().unwrap();
        assert_eq!(
            error(&answer),
            ("refused_by_rule".to_owned(), "no".to_owned())
        );
        whole(&vm.completion("lock@1", "a", 3));
    }
    // The same edit again, as after a lost answer, changes nothing twice.
    assert_eq!(fleet.vms[2].edit("close", 1, &changes), edition);
}

#[test]
fn engine_killed_in_a_stream() {
    let mut fleet = Fleet::start();
    fleet.fenced.fault(&json!({ "step_us": 5_000 }));
    let long = fleet.vms[2].completion("lock@1", "a long way", 2_000);
    let stream = begin(&long);
    fleet.fenced.process.kill();
    broken(&stream.join().unwrap(), "server_broke");
    let address = fleet.fenced.address.to_string();
    fleet.fenced = Standin::engine(fleet.weights.address, &["--listen", &address]);
    for vm in &fleet.vms {
        until("the new engine serves", || {
            whole_or_not_run(vm, &FENCED, 3) == 4
        });
    }
    fleet.assert_harmless();
}

#[test]
fn engine_cut_off_in_a_stream() {
    let fleet = Fleet::start();
    fleet.unfenced.fault(&json!({ "step_us": 5_000 }));
    let stream = begin(&fleet.vms[0].completion("ebb@1", "a long way", 2_000));
    fleet.unfenced.outage("refused");
    broken(&stream.join().unwrap(), "server_broke");
    fleet.unfenced.outage("none");
    for vm in &fleet.vms {
        until("the engine serves again", || {
            whole_or_not_run(vm, &UNFENCED, 3) == 4
        });
    }
    fleet.assert_harmless();
}

#[test]
fn engine_killed_where_another_can_go_on() {
    let mut fleet = Fleet::start();
    let mut spare = Standin::engine(fleet.weights.address, &[]);
    let more = json!([server("engine-3", "plans", spare.address)]);
    fleet.vms[0].edit("spare", 1, &more);
    until("the edition is in force everywhere", || {
        fleet.vms[2].status()["everywhere"] == true
    });
    for engine in [&fleet.fenced, &spare] {
        engine.fault(&json!({ "step_us": 2_000 }));
    }
    let long = fleet.vms[2].completion("lock@1", "a long way", 200);
    let stream = begin(&long);
    if fleet.fenced.runs().runs.is_empty() {
        spare.process.kill();
    } else {
        fleet.fenced.process.kill();
    }
    let answer = stream.join().unwrap();
    match answer.error {
        None => assert_eq!(answer.verify(&long), Ok(())),
        Some(_) => broken(&answer, "server_broke"),
    }
}

/// A completion with this body.
fn completion(body: &Value) -> Vec<u8> {
    request("POST", "/v1/completions", &[&bearer()], &body.to_string())
}

#[test]
fn bad_input_is_named() {
    let fleet = Fleet::start();
    let vm = &fleet.vms[0];
    whole(&vm.completion("lock@1", "before", 3));
    let open = vm.process.open_files();
    let model = |model: &str| completion(&json!({ "model": model, "prompt": "a" }));
    let large = completion(&json!({ "model": "lock@1", "prompt": "a".repeat(2 << 20) }));
    let post = |headers: &[&str], body| request("POST", "/v1/completions", headers, body);
    let bearer = bearer();
    let cases = [
        (b"BREAD AND CHEESE\r\n\r\n".to_vec(), "bad_request"),
        (post(&[&bearer], "{\"model\": "), "bad_json"),
        (post(&["Authorization: Bearer thief"], "{}"), "unauthorized"),
        (
            post(
                &[&bearer, "X-Timeout-Ms: 0"],
                "{\"model\": \"lock@1\", \"prompt\": \"a\"}",
            ),
            "deadline_past",
        ),
        (model("tug@1"), "unknown_adapter"),
        (model("lock@9"), "unknown_version"),
        (model("lock"), "missing_version"),
        (large, "body_too_large"),
    ];
    for (bytes, kind) in cases.iter().cycle().take(5 * cases.len()) {
        let error = raw(vm.callers, bytes).error();
        assert_eq!(error, ((*kind).to_owned(), "no".to_owned()));
    }
    assert_eq!(fleet.fenced.runs().runs.len(), 1, "none of them ran");
    whole(&vm.completion("lock@1", "after", 3));
    until("nothing is left open", || vm.process.open_files() <= open);
    assert_eq!(vm.status()["in_progress"], 0);
}

#[test]
fn bad_settings_are_named() {
    let mut process = fleet::daemon("vm: vm-1\nzone: 7\nlisten: { caller: '127.0.0.1:0' }\n");
    let (code, faults) = process.end();
    assert_eq!(code, Some(2));
    assert!(faults.contains("line 2, column 7: `zone`"), "{faults}");
    assert!(
        faults.contains("line 3, column 11: there is no setting"),
        "{faults}"
    );
}
