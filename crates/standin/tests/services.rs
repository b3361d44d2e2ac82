//! The plain service, the VM list, the weight store and the process form.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use dahliastile_standin::caller;
use dahliastile_standin::plain::{self, Plain};
use dahliastile_standin::vms::{State, Vm, Vms};
use dahliastile_standin::weights::{self, Weights};
use dahliastile_standin::{Host, Service};
use serde_json::Value;

fn start<S: Service>(service: S) -> Host<S> {
    Host::start(SocketAddr::from(([127, 0, 0, 1], 0)), service).expect("a free port")
}

fn get(address: SocketAddr, path: &str) -> Result<(i32, Value), minreq::Error> {
    let request = minreq::get(format!("http://{address}{path}")).with_timeout(20);
    let answer = request
        .with_header("X-Request-Id", "r1")
        .with_header("idempotency-key", "k1");
    let answer = answer.send()?;
    caller::answered(&answer.reason_phrase)?;
    Ok((
        answer.status_code,
        serde_json::from_slice(answer.as_bytes()).unwrap_or_default(),
    ))
}

fn vm(name: &str, state: State) -> Vm {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Vm {
        name: name.to_owned(),
        address,
        zone: "botlek".to_owned(),
        state,
    }
}

#[test]
fn plain_counts() {
    let host = start(Plain::default());
    get(host.address(), "/berths").expect("answer");
    let (status, body) = get(host.address(), "/berths").expect("answer");
    assert_eq!(
        (status, &body["runs"], &body["key_runs"]),
        (200, &2.into(), &2.into())
    );
}

#[test]
fn plain_faults() {
    let host = start(Plain::default());
    host.fault(plain::Fault::ResetBeforeRun(1));
    assert!(get(host.address(), "/").is_err());
    assert_eq!(host.service().history().total, 0);
    host.fault(plain::Fault::ResetAfterRun(1));
    assert!(get(host.address(), "/").is_err());
    assert_eq!(host.service().history().total, 1);
    host.fault(plain::Fault::Refuse(1));
    let (status, body) = get(host.address(), "/").expect("answer");
    assert_eq!((status, &body["error"]["ran"]), (503, &"no".into()));
    let record = host.service().history();
    assert_eq!(
        (record.total, record.refused, record.request_ids["r1"]),
        (1, 1, 1)
    );
}

#[test]
fn vms_lag() {
    let host = start(Vms::new(
        vec![vm("a", State::Live)],
        Duration::from_hours(1),
    ));
    host.service().set(vec![vm("a", State::Leaving)]);
    let state = || get(host.address(), "/vms").expect("answer").1["vms"][0]["state"].clone();
    assert_eq!(state(), "live");
    host.fault(dahliastile_standin::vms::Fault::LagMs(0));
    assert_eq!(state(), "leaving");
}

#[test]
fn weights_one_at_a_time() {
    let host = start(Weights::new(Duration::from_millis(1)));
    host.fault(weights::Fault::Stall(true));
    let address = host.address();
    let load = |name: &'static str| thread::spawn(move || get(address, name).map(|a| a.0));
    let loads = ["/weights/a@1", "/weights/b@1", "/weights/c@1"].map(load);
    while host.service().queued() < loads.len() {
        thread::yield_now();
    }
    assert!(host.service().served().is_empty());
    host.fault(weights::Fault::FailLoads(1));
    host.fault(weights::Fault::Stall(false));
    let statuses = loads.map(|load| load.join().expect("a thread").expect("answer"));
    let failed = statuses.iter().filter(|status| **status == 500).count();
    assert_eq!((failed, host.service().served().len()), (1, 2));
    assert_eq!(get(address, "/weights/a").expect("answer").0, 400);
}

#[test]
fn process_runs_and_ends() {
    // Cargo puts examples next to the directory of the test programs.
    let tests = std::env::current_exe().expect("a path");
    let target = tests
        .parent()
        .and_then(|deps| deps.parent())
        .expect("a target directory");
    for (kind, path) in [
        ("kv", "/v3/x"),
        ("vms", "/vms"),
        ("engine", "/load"),
        ("plain", "/"),
        ("weights", "/x"),
    ] {
        let mut command = Command::new(target.join("examples/standin"));
        let command = command
            .arg(kind)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("the example program");
        let mut line = String::new();
        let output = child.stdout.take().expect("an output");
        BufReader::new(output).read_line(&mut line).expect("a line");
        let ready: Value = serde_json::from_str(&line).expect("JSON");
        let address = ready["address"]
            .as_str()
            .and_then(|address| address.parse().ok());
        assert!(get(address.expect("an address"), path).is_ok());
        let control = ready["control"]
            .as_str()
            .and_then(|address| address.parse().ok());
        assert_eq!(
            get(control.expect("an address"), "/record")
                .expect("answer")
                .0,
            200
        );
        drop(child.stdin.take());
        assert!(child.wait().expect("an end").success());
    }
}
