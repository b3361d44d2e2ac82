//! Three entry VMs and the stand-ins as processes that are killed, frozen and cut off.
//!
//! What is claimed to callers is held against the stand-ins' own records. Every wait is on a condition.

#[path = "processes/fleet.rs"]
mod fleet;
#[path = "processes/process.rs"]
mod process;
mod support;

use std::thread;

use dahliastile_standin::caller::Request;
use fleet::{FENCED, Fleet, UNFENCED};

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
