//! Servers that answer a request once more, late: when the next request of the connection has come.

#[path = "platform/fleet.rs"]
mod fleet;

use dahliastile_standin::fleet::{Fault, Repeat};
use fleet::{Fleet, ran, request, until};

/// Requests of a round. Each second one is rejected, and the next one meets its late copy.
const REQUESTS: usize = 40;

/// The answers of a VM that did not bear the id of their request, by its figures.
fn unmatched(figures: &str) -> u64 {
    let lines = figures.lines();
    let lines = lines.filter(|line| line.starts_with("dahliastile_unmatched_answers_total"));
    let counts = lines.filter_map(|line| line.rsplit(' ').next());
    counts.filter_map(|count| count.parse::<u64>().ok()).sum()
}

/// Sends unsafe requests, of which servers reject some as `fault` says, and checks that none runs twice, and none that was
/// refused.
fn check_runs(fault: Fault, repeat: Repeat) {
    let fleet = Fleet::start_ready(1);
    for server in &fleet.plain {
        server.set_repeat(repeat);
    }
    // A server that says that another one is meant is passed over while the other one does not.
    let rejecting = match fault {
        Fault::Misdirected => &fleet.plain[..],
        _ => &fleet.plain[..1],
    };
    for number in 0..REQUESTS {
        let rejects = if number % 2 == 0 { fault } else { Fault::None };
        for server in rejecting {
            server.set_fault(rejects);
        }
        let id = format!("{fault:?}{repeat:?}{number}");
        let answer = fleet.vms[0].ask(&id, "/post/x", None);
        let runs = ran(&fleet.plain, &id);
        let was_refused = matches!(answer.status, 408 | 421 | 429 | 503);
        let most = usize::from(!was_refused);
        assert!(runs <= most, "{id}: {runs} runs, {}", answer.text);
    }
    let figures = fleet.vms[0].figures();
    assert!(unmatched(&figures) > 0, "no late copy met a request");
}

/// Guards against an unsafe request that runs at two servers, or is refused though it ran, since a late copy of an earlier
/// rejection was taken for its own.
#[test]
fn rejection_latecopyisnotbelieved() {
    for fault in [Fault::Full, Fault::Misdirected] {
        for repeat in [Repeat::Rejections, Repeat::RejectionsWithoutId] {
            check_runs(fault, repeat);
        }
    }
}

/// Guards against a request that runs and whose caller is told that it may have failed, since the late copy of an earlier answer
/// came before its own.
#[test]
fn answer_behindalatecopy() {
    for repeat in [Repeat::Rejections, Repeat::All] {
        let fleet = Fleet::start_ready(1);
        for server in &fleet.plain {
            server.set_repeat(repeat);
        }
        for number in 0..REQUESTS {
            let rejects = number % 2 == 0 && repeat == Repeat::Rejections;
            let fault = if rejects { Fault::Full } else { Fault::None };
            fleet.plain[0].set_fault(fault);
            let id = format!("{repeat:?}{number}");
            let answer = fleet.vms[0].ask(&id, "/post/x", None);
            assert_eq!(answer.status, 200, "{id}: {}", answer.text);
            assert!(answer.text.contains(&id), "{id}: {}", answer.text);
            assert_eq!(ran(&fleet.plain, &id), 1, "{id}");
        }
        let figures = fleet.vms[0].figures();
        assert!(unmatched(&figures) > 0, "no late copy met a request");
    }
}

/// Guards against a rejection that is taken for the answer to another request, since a request without an id has an answer
/// without one.
#[test]
fn rejection_withoutanid() {
    let fleet = Fleet::start_ready(1);
    for server in &fleet.plain {
        server.set_fault(Fault::Full);
    }
    let text = request("none", "/post/x", None).replace("Request-Id: none\r\n", "");
    let answer = fleet.vms[0].raw(&text);
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(unmatched(&fleet.vms[0].figures()), 0);
}

/// Guards against an order that is believed carried out, or a report that is believed, since a late copy of another answer
/// came in its place.
#[test]
fn order_latecopyisnotbelieved() {
    for echoes in [true, false] {
        let fleet = Fleet::start_ready(1);
        for engine in &fleet.engines {
            engine.set_repeat(Repeat::All);
            engine.set_echoes_calls(echoes);
        }
        for number in 0..6 {
            let model = format!("base/a{number}");
            until("the adapter is served", || {
                let id = format!("{echoes}{number}");
                fleet.vms[0].ask(&id, "/plan/x", Some(&model)).status == 200
            });
        }
        assert!(fleet.engines.iter().all(|engine| engine.overfull() == 0));
    }
}
