//! Three daemons in one process: one's configuration reaches all, and all serve.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use dahliastile_daemon::Daemon;
use dahliastile_standin::caller::Request;
use dahliastile_standin::vms::{Fault, State, Vm};
use serde_json::{Value, json};
use support::{MODEL, OPERATOR, Site, TOKEN, get, parse, post_operator, request, send, until};

fn fleet(site: &Site) -> Vec<Daemon> {
    let start = |n: usize| site.daemon(&[&format!("vm=entry-{n}"), "platform.list_ms=50"]);
    let daemons: Vec<Daemon> = (1..=3).map(start).collect();
    let listed = daemons.iter().zip(1..).map(|(daemon, n)| Vm {
        name: format!("entry-{n}"),
        address: daemon.addresses().peers,
        zone: "botlek".to_owned(),
        state: State::Live,
    });
    site.vms.fault(Fault::Set(listed.collect()));
    daemons
}

fn status(daemon: &Daemon) -> Value {
    let reply = post_operator(daemon.addresses().operators, &json!("status"));
    reply.json()["status"].clone()
}

fn completes(daemon: &Daemon) {
    let request = Request::completion(daemon.addresses().callers, MODEL, "from Rotterdam", 10)
        .header("Authorization", &format!("Bearer {TOKEN}"));
    let answer = request.send().unwrap();
    assert_eq!(answer.verify(&request), Ok(()), "{answer:?}");
}

#[test]
fn fleet_serves_and_leaves() {
    let site = Site::start();
    let mut daemons = fleet(&site);
    let met = |daemon: &Daemon| {
        status(daemon)["vms"]
            .as_array()
            .is_some_and(|vms| vms.len() == 3)
    };
    for daemon in &daemons {
        until(|| met(daemon));
    }
    site.configure(&daemons[0]);
    for daemon in &daemons {
        until(|| get(daemon.addresses().operators, "/readyz").status == 200);
        completes(daemon);
    }
    // The first to have held the domain hands it over.
    daemons.remove(0).shutdown(false).unwrap();
    daemons.iter().for_each(completes);
    for daemon in daemons {
        daemon.shutdown(false).unwrap();
    }
    assert!(site.engine.service().history().violations.is_empty());
}

/// Asks for the status until the daemon takes no more calls, and gathers the errors in the replies.
fn failures(address: SocketAddr) -> Vec<Value> {
    let bearer = format!("Authorization: Bearer {OPERATOR}");
    let ask = request("POST", "/operator", &[&bearer], "\"status\"");
    let mut failures = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address) {
        let mut answer = Vec::new();
        let read = stream
            .write_all(&ask)
            .and_then(|()| stream.read_to_end(&mut answer));
        if read.is_err() || answer.is_empty() {
            break;
        }
        let reply = parse(&answer);
        if reply.status != 200 {
            failures.push(reply.json());
        }
    }
    failures
}

/// Commands that are queued when the node stops are answered, and hold the end up no longer.
#[test]
fn commands_at_the_stop_are_answered() {
    let site = Site::start();
    for _ in 0..5 {
        let daemon = site.daemon(&[]);
        let address = daemon.addresses().operators;
        let failures = thread::scope(|scope| {
            let askers: Vec<_> = (0..8).map(|_| scope.spawn(|| failures(address))).collect();
            daemon.shutdown(false).unwrap();
            askers
                .into_iter()
                .flat_map(|asker| asker.join().unwrap())
                .collect::<Vec<_>>()
        });
        for reply in &failures {
            let text = reply.to_string();
            assert!(
                text.contains("shutting_down") || text.contains("queue_full"),
                "{text}"
            );
        }
    }
}

/// Once the status says that an edition is in force, callers are served by it, however rare the ticks.
#[test]
fn edition_in_force_for_callers_at_once() {
    let site = Site::start();
    let daemon = site.daemon(&["tuning.tick_ms=1000"]);
    let reply = post_operator(daemon.addresses().operators, &site.first_edit());
    assert_eq!(reply.status, 200, "{}", reply.text());
    until(|| status(&daemon)["edition"] == 1);
    let models = send(daemon.addresses().callers, "GET", "/v1/models", &[], "");
    assert_eq!(models.status, 200, "{}", models.text());
    daemon.shutdown(false).unwrap();
}
