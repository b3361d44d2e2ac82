//! Servers that reject requests and send late copies of what they answered: no request that was refused has run, and none
//! that may run once ran twice.
//!
//! `VMS=70 SECONDS=30 SEED=1 cargo test -p dahliastile-daemon --test rejections play_copywithitsid -- --nocapture` plays at
//! another size than the short one; `LOGS` names a directory for the output of VMs.

#[path = "rejections/channel.rs"]
mod channel;
#[path = "platform/fleet.rs"]
mod fleet;
#[path = "rejections/play.rs"]
mod play;

use std::thread;
use std::time::Duration;

use dahliastile_standin::fleet::{CopyForm, Fault, Repeat, Replica};
use fleet::{Answer, Fleet, request_with, until};
use play::{Ids, MARK, Play};

/// Routes of requests that run once at most, with the adapter that is asked for.
const ONCE: [(&str, Option<&str>); 2] = [("/post/x", None), ("/plan/x", Some("base/a1"))];
/// Requests of a case. A stream that all engines reject waits until its deadline.
const ROUNDS: usize = 3;
/// How long a request may run after its answer.
const LATER: Duration = Duration::from_millis(500);

/// Guards against a request that runs after a refusal, or twice, since a late copy of the rejection of another request on
/// its connection was taken for its own.
#[test]
fn play_copywithitsid() {
    Play::default().check("play_copywithitsid");
}

/// Guards against the same where the copy says nothing of the request that it belongs to.
#[test]
fn play_copywithoutid() {
    let play = Play {
        repeat: Repeat::RejectionsWithoutId,
        ..Play::default()
    };
    play.check("play_copywithoutid");
}

/// Guards against the same where the rejected request had the same id, so that the copy can't be told by it.
#[test]
fn play_idusedtwice() {
    let play = Play {
        ids: Ids::Shared,
        ..Play::default()
    };
    play.check("play_idusedtwice");
}

/// Guards against the same where neither request has an id.
#[test]
fn play_requestswithoutid() {
    let play = Play {
        ids: Ids::None,
        ..Play::default()
    };
    play.check("play_requestswithoutid");
}

/// Guards against a refusal made of the status alone of a server that ran the request.
#[test]
fn play_statuswithoutpromise() {
    let mut play = Play::default();
    let statuses = [503, 429, 408];
    let faults = statuses.map(|status| (Fault::FailsAs(status), 0.02));
    play.faults.extend(faults);
    play.check("play_statuswithoutpromise");
}

/// Guards against a promise that is believed of an answer that shows a run.
#[test]
fn play_promiseofarun() {
    let mut play = Play::default();
    let faults = [200, 500].map(|status| (Fault::DeniesRun(status), 0.02));
    play.faults.extend(faults);
    play.check("play_promiseofarun");
}

/// Guards against a rejection of the request itself that comes once more in the place of the answer to its next send, where
/// servers reject much.
#[test]
fn play_manyrejections() {
    let play = Play {
        faults: vec![(Fault::Full, 0.25)],
        ..Play::default()
    };
    play.check("play_manyrejections");
}

/// Guards against a second copy that is believed after the first one was not.
#[test]
fn play_twocopies() {
    let play = Play {
        form: CopyForm {
            count: 2,
            ..CopyForm::default()
        },
        ..Play::default()
    };
    play.check("play_twocopies");
}

/// Guards against a copy that is believed since its head comes in parts.
#[test]
fn play_copyintwosegments() {
    let play = Play {
        form: CopyForm {
            pause: Some(Duration::from_millis(5)),
            ..CopyForm::default()
        },
        ..Play::default()
    };
    play.check("play_copyintwosegments");
}

/// One VM, whose engines hold the adapter.
fn fleet() -> Fleet {
    let fleet = Fleet::start_ready(1);
    until("the adapter is loaded", || {
        fleet.vms[0].ask("warm", "/plan/x", Some("base/a1")).status == 200
    });
    fleet
}

fn servers(fleet: &Fleet) -> impl Iterator<Item = &Replica> {
    fleet.plain.iter().chain(&fleet.engines)
}

fn set_fault(fleet: &Fleet, fault: Fault) {
    servers(fleet).for_each(|server| server.set_fault(fault));
}

/// A request of a case, with its answer.
struct Asked {
    /// What tells it from the others, whatever its id is.
    mark: String,
    answer: Answer,
}

/// Has a caller ask for a path, under an id or none.
fn ask(fleet: &Fleet, mark: &str, id: Option<&str>, (path, model): (&str, Option<&str>)) -> Asked {
    let headers = format!("{MARK}: {mark}\r\nDeadline-Ms: 1500\r\nConnection: close\r\n");
    let text = request_with(id.unwrap_or("none"), path, model, &headers);
    let text = match id {
        Some(_) => text,
        None => text.replace("Request-Id: none\r\n", ""),
    };
    Asked {
        mark: mark.to_owned(),
        answer: fleet.vms[0].raw(&text),
    }
}

/// The rules that are broken for requests that may run once, and their runs, also those that begin later.
fn broken(fleet: &Fleet, asked: &[Asked]) -> Vec<String> {
    thread::sleep(LATER);
    let runs: Vec<_> = servers(fleet).flat_map(Replica::runs).collect();
    let mut broken = Vec::new();
    for Asked { mark, answer } in asked {
        let runs = runs.iter();
        let runs = runs.filter(|run| run.asked.headers.get(MARK) == Some(mark));
        let runs: Vec<_> = runs.map(|run| run.status).collect();
        let text = &answer.text;
        let is_refused = matches!(answer.status, 408 | 421 | 429 | 503);
        let is_sealed = text.to_ascii_lowercase().contains("server-seal:");
        for (rule, is_broken) in [
            ("TWICE", runs.len() > 1),
            ("REFUSED", is_refused && !runs.is_empty()),
            ("MIXED", is_sealed && !runs.contains(&answer.status)),
        ] {
            if is_broken {
                broken.push(format!(
                    "{mark}: {rule}, runs answered with {runs:?}, {text:?}"
                ));
            }
        }
    }
    broken
}

/// Has requests rejected, and asks again under the same id, or under none, where the late copies are met.
fn check_repeated(id_of: impl Fn(usize) -> Option<String>) {
    let mut faults = Vec::new();
    for (path, model) in ONCE {
        let fleet = fleet();
        servers(&fleet).for_each(|server| server.set_repeat(Repeat::Rejections));
        let mut asked = Vec::new();
        for round in 0..ROUNDS {
            for (what, fault) in [("rejected", Fault::Full), ("next", Fault::None)] {
                set_fault(&fleet, fault);
                let mark = format!("{path}-{round}-{what}");
                let id = id_of(round);
                asked.push(ask(&fleet, &mark, id.as_deref(), (path, model)));
            }
        }
        faults.extend(broken(&fleet, &asked));
        let copies: usize = servers(&fleet).map(Replica::copies_made).sum();
        assert!(copies > 0, "no answer was sent once more");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a request that runs twice, or is refused and ran, since another one under its id was rejected before.
#[test]
fn rejection_ofanotherrequestwiththeid() {
    check_repeated(|round| Some(format!("shared{round}")));
}

/// Guards against the same for requests without an id.
#[test]
fn rejection_ofanotherrequestwithoutid() {
    check_repeated(|_| None);
}

/// Asks where all servers run a request and answer so.
fn check_ran(fault: Fault) {
    let fleet = fleet();
    set_fault(&fleet, fault);
    let asked = ONCE.map(|(path, model)| ask(&fleet, path, Some(path), (path, model)));
    let faults = broken(&fleet, &asked);
    assert!(faults.is_empty(), "{faults:#?}");
    for server in [&fleet.plain, &fleet.engines] {
        let runs = server.iter().flat_map(Replica::runs);
        let mut statuses = runs.map(|run| run.status);
        assert!(
            statuses.any(|status| is_of(fault, status)),
            "it did not run"
        );
    }
}

/// Whether a server answers so where it has this fault.
fn is_of(fault: Fault, status: u16) -> bool {
    matches!(fault, Fault::FailsAs(own) | Fault::DeniesRun(own) if own == status)
}

/// Guards against a 503 that a server gives of itself, without a promise, and that its caller takes for one.
#[test]
fn status_503withoutpromise() {
    check_ran(Fault::FailsAs(503));
}

/// Guards against the same with 429.
#[test]
fn status_429withoutpromise() {
    check_ran(Fault::FailsAs(429));
}

/// Guards against the same with 408.
#[test]
fn status_408withoutpromise() {
    check_ran(Fault::FailsAs(408));
}

/// Guards against a success that is taken for a rejection since it also bears a promise.
#[test]
fn promise_ofasuccess() {
    check_ran(Fault::DeniesRun(200));
}

/// Guards against a failure of a run that is taken for a rejection since it also bears a promise.
#[test]
fn promise_ofafailure() {
    check_ran(Fault::DeniesRun(500));
}
