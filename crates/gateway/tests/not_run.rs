//! Requests that a server did not run: where they are sent afterwards.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::effect::RefusalReason;
use support::setup::{inference_spec, request};
use support::{Answer, World};

/// How long the scheduler's VM is frozen: longer than the silence after which other VMs place requests themselves, and
/// shorter than its lease.
const FREEZE: Span = Span::from_millis(1_300);

/// Guards against a request that is sent once more to a server that has rejected or failed it, by a placement that was
/// decided before: a late copy of the first answer bears the id of the second send as well. The scheduler's VM is frozen
/// while the request's VM places it by itself, and the key-value service is away, so that no other VM takes over.
#[test]
fn placement_olderthanafailure() {
    for (path, fails) in [("/plan/x", false), ("/berth/x", false), ("/berth/x", true)] {
        let mut world = World::new(3, 1, 1);
        world.run(Span::from_secs(2));
        let holder = world.holder().expect("a holder");
        let vm = (holder + 1) % 3;
        let ask = |id| request(id, path, 5_000, Some(inference_spec("a1", 600, 15)));
        let warm = world.send_request(vm, ask("warm"));
        world.run(Span::from_secs(1));
        let server: Server = world.requests[&warm].runs[0].1.clone();
        let (engine, _) = world.servers.get_mut(&server).expect("an engine");
        (engine.in_cooldown, engine.failing) = (!fails, fails);
        world.store_up = false;
        world.wake_watchers();
        world.freeze(holder, FREEZE);
        let number = world.send_request(vm, ask("failed"));
        world.run(FREEZE - Span::from_millis(50));
        assert_eq!(world.requests[&number].arrivals, 1, "{path} {fails}");
        world.run(Span::from_secs(6));
        assert_eq!(world.requests[&number].arrivals, 1, "{path} {fails}");
        world.check_invariants();
    }
}

/// Guards against a request that ran and whose caller is promised that it did not: its server failed it with a status that
/// says so to callers, without saying to this VM that it did not run the request.
#[test]
fn failure_whosestatusisapromise() {
    let refused = Answer::Refused(RefusalReason::Failed, None);
    let unsafe_cases = [408, 421, 429, 503].map(|status| ("/post/x", status, &refused));
    // What may run again is told as the server told it.
    let others = [("/post/x", 500), ("/post/x", 504), ("/query/x", 503)];
    let others = others.map(|(path, status)| (path, status, &Answer::Failure));
    for (path, status, expected) in unsafe_cases.into_iter().chain(others) {
        let mut world = World::new(1, 1, 2);
        world.run(Span::from_secs(2));
        for (server, _) in world.servers.values_mut() {
            (server.failing, server.failure_status) = (true, status);
        }
        let number = world.send_request(0, request("failed", path, 2_000, None));
        world.run(Span::from_secs(1));
        let runs = world.requests[&number].runs.len();
        assert_eq!(runs, if path == "/post/x" { 1 } else { 2 }, "{status}");
        assert_eq!(world.answer(number), Some(expected), "{path} {status}");
    }
}
