//! Three daemons in one process: one's configuration reaches all, and all serve.

mod support;

use dahliastile_daemon::Daemon;
use dahliastile_standin::caller::Request;
use dahliastile_standin::vms::{Fault, State, Vm};
use serde_json::{Value, json};
use support::{MODEL, Site, TOKEN, get, post_operator, until};

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
