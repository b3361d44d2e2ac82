//! Callers that read their answers slowly, at entry VMs as processes.

#[path = "platform/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, read, request};

/// The size of an answer, and that of each event of a stream, in bytes: more than the system holds.
const LARGE: usize = 900_000;
const LARGE_EVENT: usize = 100_000;
/// The time for which a caller reads nothing: well below that for which its connection may be idle.
const PAUSE: Duration = Duration::from_secs(4);

/// Guards against a VM that breaks a connection whose caller reads nothing for some seconds, as if the caller were gone.
#[test]
fn caller_pauses() {
    let fleet = Fleet::start_ready(1);
    fleet
        .plain
        .iter()
        .for_each(|server| server.set_padding(LARGE));
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_padding(LARGE_EVENT));
    let routes = [("/post/x", None), ("/plan/x", Some("base/a1"))];
    let open = |(path, model)| fleet.vms[0].open_slowly(&request(path, path, model));
    let streams = routes.map(open);
    std::thread::sleep(PAUSE);
    for (stream, (path, _)) in streams.into_iter().zip(routes) {
        let answer = read(stream);
        assert_eq!((answer.status, answer.whole), (200, true), "{path}");
    }
}
