//! The end of a round: once nothing is disturbed any more, everything is served as on a calm day.

use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{ACCOUNTS, Callers, Kind};
use crate::fleet::request_with;
use crate::limits;
use crate::stage::{BUILDS, Stage};

/// Within what a configuration is in force everywhere, as the users want it, and some for a busy machine.
const IN_FORCE: Duration = Duration::from_secs(4);
/// After what a server that leaves gets no new work.
const LEFT: Duration = Duration::from_secs(3);
/// How long a leaving server is watched then.
const WATCHED: Duration = Duration::from_secs(1);
/// Until when everything must be served again.
const SERVED: Duration = Duration::from_secs(10);
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Checks it; notes what is wrong with the stage.
pub(crate) fn check(stage: &mut Stage, callers: &Callers) {
    stage.settle();
    served(stage, callers);
    resumed(stage, callers);
    in_force(stage);
    taken_away(stage);
    left(stage);
}

/// Each VM answers each kind.
fn served(stage: &mut Stage, callers: &Callers) {
    let until = Instant::now() + SERVED;
    for vm in 0..stage.fleet.vms.len() {
        for kind in Kind::ALL {
            let mut last = callers.ask(vm, kind, 1);
            while last.answer.status != 200 && Instant::now() < until {
                thread::sleep(PAUSE);
                last = callers.ask(vm, kind, 1);
            }
            if last.answer.status != 200 {
                let fault = format!("vm{} does not serve {kind:?} in calm: {last:?}", vm + 1);
                stage.faults.push(fault);
            }
        }
    }
}

/// A stream that was begun at one VM is resumed at each other, while two engines of its build serve.
fn resumed(stage: &mut Stage, callers: &Callers) {
    for engine in 0..stage.fleet.engines.len() {
        stage.list(engine, "draining");
        thread::sleep(LEFT);
        stage.release(engine, BUILDS[0]);
    }
    let until = Instant::now() + SERVED;
    let vms = stage.fleet.vms.len();
    for vm in 0..vms {
        let at = (vm, (vm + 1) % vms);
        let goes_on = || {
            let stream = callers.resume(at, 1, PAUSE);
            stream.is_some_and(|stream| stream.again.status == 200)
        };
        let mut went_on = goes_on();
        while !went_on && Instant::now() < until {
            thread::sleep(PAUSE);
            went_on = goes_on();
        }
        if !went_on {
            let fault = format!("no stream of vm{} goes on at vm{}", at.0 + 1, at.1 + 1);
            stage.faults.push(fault);
        }
    }
}

/// What is configured is in force on each VM: a route that was not there before.
fn in_force(stage: &mut Stage) {
    stage.version += 1;
    let mut changed = limits::config(stage.version, &ACCOUNTS);
    let mut route = changed["routes"][0].clone();
    route["name"] = "late".into();
    route["prefix"] = "/late/".into();
    if let Some(routes) = changed["routes"].as_array_mut() {
        routes.push(route);
    }
    stage.fleet.store.put("op/config", &changed);
    let until = Instant::now() + IN_FORCE;
    for at in 0..stage.fleet.vms.len() {
        let id = format!("late{at}");
        let known = |stage: &Stage| stage.fleet.vms[at].ask(&id, "/late/x", None).status != 404;
        while !known(stage) && Instant::now() < until {
            thread::sleep(PAUSE);
        }
        if !known(stage) {
            let fault = format!("version {} is not in force on vm{}", stage.version, at + 1);
            stage.faults.push(fault);
        }
    }
}

/// A key that is taken away is refused on each VM.
fn taken_away(stage: &mut Stage) {
    stage.version += 1;
    let [(north, keys), (_, gone), _] = ACCOUNTS;
    let fewer = limits::config(stage.version, &[(north, keys)]);
    stage.fleet.store.put("op/config", &fewer);
    let until = Instant::now() + IN_FORCE;
    let headers = format!("X-Api-Key: {}\r\nConnection: close\r\n", gone[0]);
    let request = request_with("gone", "/query/x", None, &headers);
    for at in 0..stage.fleet.vms.len() {
        let refused = |stage: &Stage| stage.fleet.vms[at].raw(&request).status == 401;
        while !refused(stage) && Instant::now() < until {
            thread::sleep(PAUSE);
        }
        if !refused(stage) {
            let fault = format!("vm{} takes a key that is gone", at + 1);
            stage.faults.push(fault);
        }
    }
}

/// A server that says that it is leaving gets no new work.
fn left(stage: &mut Stage) {
    let last = stage.server_ways.len() - 1;
    stage.list(last, "draining");
    thread::sleep(LEFT);
    let ran = |stage: &Stage| {
        stage
            .servers()
            .nth(last)
            .map_or(0, |server| server.runs().len())
    };
    let before = ran(stage);
    thread::sleep(WATCHED);
    let new = ran(stage) - before;
    if new > 0 {
        stage
            .faults
            .push(format!("{new} runs on a server that has left"));
    }
    stage.list(last, "ready");
}
