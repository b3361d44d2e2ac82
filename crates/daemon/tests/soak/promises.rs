//! What must hold, from what callers got and what servers ran.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use dahliastile_standin::fleet::{Replica, Run};

use crate::callers::RESUMED_AFTER;
use crate::callers::{ACCOUNTS, Answer, Asked, Kind, Resumed};
use crate::limits;
use crate::stage::{Stage, Told};

/// Events of a stream of the stand-ins.
const EVENTS: u64 = 5;

/// How long the connection of a request stays open at the most that its VM does not read: a VM that leaves closes idle ones at
/// once, and here the machine is busy.
const UNREAD: Duration = Duration::from_millis(500);

/// With what the line of an event begins that names the build.
const BUILD: &str = "build: ";

/// The runs of each request, with the server of each.
type Runs = BTreeMap<String, Vec<(String, Run)>>;

/// All that does not hold, as readable lines.
pub(crate) fn broken(
    stage: &Stage,
    asked: &[Asked],
    resumed: &[Resumed],
    logs: &Path,
) -> Vec<String> {
    let runs = runs(stage.servers());
    let mut broken = stage.faults.clone();
    for request in asked {
        let none = Vec::new();
        let ran = runs.get(&request.id).unwrap_or(&none);
        let faults = [
            once(request, ran),
            not_run(request, ran),
            right(request, ran),
            unproven(request, ran),
            model(request, ran),
            account(request, ran),
            uninterrupted(stage, request, ran),
            one_build(&request.answer.body),
        ];
        let told = faults.into_iter().flatten();
        broken.extend(told.map(|fault| format!("{fault}: {request:?} ran {ran:?}")));
    }
    for stream in resumed {
        let all = format!("{}{}", stream.begun, stream.again.body);
        let faults = [one_build(&all), rest(&stream.again)];
        let told = faults.into_iter().flatten();
        broken.extend(told.map(|fault| format!("{fault}: {stream:?}")));
    }
    let overfull: usize = stage.fleet.engines.iter().map(Replica::overfull).sum();
    if overfull > 0 {
        broken.push(format!("{overfull} loads beyond the places of an engine"));
    }
    broken.extend(limits::broken(asked, &runs));
    broken.extend(logged(logs));
    broken
}

fn runs<'a>(servers: impl Iterator<Item = &'a Replica>) -> Runs {
    let mut all = Runs::new();
    for server in servers {
        for run in server.runs() {
            let id = run.asked.headers.get("request-id").cloned();
            let row = all.entry(id.unwrap_or_default()).or_default();
            row.push((run.server.clone(), run));
        }
    }
    all
}

/// Work runs no more often than its kind allows.
fn once(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    (ran.len() > request.kind.runs()).then_some("it ran too often")
}

/// What is said not to have run has not, also later.
fn not_run(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let said = matches!(request.answer.status, 400..=499 | 503) && request.answer.whole;
    (said && !ran.is_empty()).then_some("it ran though its answer says that it did not")
}

/// A whole answer is that of a run of this request, and complete.
fn right(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let answer = &request.answer;
    if answer.status != 200 || !answer.whole {
        return None;
    }
    let fits = match request.kind {
        Kind::Post | Kind::Query => answer.body == format!("answer of {}", answer.seal),
        Kind::Plan | Kind::Berth => without_builds(&answer.body) == stream(0),
    };
    let sealed = ran.iter().any(|(server, _)| *server == answer.seal);
    match (fits, sealed) {
        (true, true) => None,
        (false, _) => Some("its answer is not a whole one"),
        (_, false) => Some("its answer is of a server that did not run it"),
    }
}

/// An answer that ends with its connection is the beginning of the right one, and of a stream whole events only.
fn unproven(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let answer = &request.answer;
    if !answer.unproven {
        return None;
    }
    let body = &answer.body;
    let fits = match request.kind {
        Kind::Post | Kind::Query => format!("answer of {}", answer.seal).starts_with(body),
        Kind::Plan | Kind::Berth => {
            let at_event_end = body.is_empty() || body.ends_with("\n\n");
            at_event_end && stream(0).starts_with(&without_builds(body))
        }
    };
    let sealed = ran.iter().any(|(server, _)| *server == answer.seal);
    (!fits || !sealed).then_some("its answer is not the beginning of the right one")
}

/// The events of a stream after a number of them.
fn stream(after: u64) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (after + 1..=EVENTS).map(event).collect()
}

/// The events of a stream without the lines that name the build that made them.
fn without_builds(body: &str) -> String {
    let lines = body.split_inclusive('\n');
    lines.filter(|line| !line.starts_with(BUILD)).collect()
}

/// A stream is of one build of its servers' software.
fn one_build(body: &str) -> Option<&'static str> {
    let mut builds = body.lines().filter_map(|line| line.strip_prefix(BUILD));
    let first = builds.next();
    builds
        .any(|build| Some(build) != first)
        .then_some("its stream is of two builds")
}

/// What a resumed stream brings, if it is whole, are the events that its caller lacked.
fn rest(again: &Answer) -> Option<&'static str> {
    let claims = again.status == 200 && again.whole;
    let is_rest = without_builds(&again.body) == stream(RESUMED_AFTER);
    (claims && !is_rest).then_some("its resumed stream is not the rest of it")
}

/// It runs on the model and adapter that it named.
fn model(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let same = |run: &Run| run.asked.headers.get("model") == request.model.as_ref();
    (!ran.iter().all(|(_, run)| same(run))).then_some("it ran on another adapter")
}

/// It runs for the account whose key it bears, and the key is not passed on.
fn account(request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let of =
        |run: &Run| run.asked.headers.get("tenant").map(String::as_str) == Some(request.account);
    let mut runs = ran.iter().map(|(_, run)| run);
    let told = runs
        .clone()
        .any(|run| run.asked.headers.contains_key("x-api-key"));
    match runs.all(of) {
        _ if told => Some("its key was passed on"),
        true => None,
        false => Some("it ran for another account"),
    }
}

/// What a VM that is told to end has taken gets its answer. Disturbances of the VM excuse it, and those of servers where an answer
/// has begun.
fn uninterrupted(stage: &Stage, request: &Asked, ran: &[(String, Run)]) -> Option<&'static str> {
    let has_begun = request.answer.status != 0;
    let meets = |told: &&Told| {
        let is_gone = told.gone.is_some_and(|gone| gone <= request.sent);
        told.vm == request.vm && told.at < request.ended && !is_gone
    };
    let mut told = stage.told.iter().filter(meets);
    let ended =
        told.any(|told| request.sent < told.at || has_begun || was_taken(request, !ran.is_empty()));
    let mut disturbances = stage.disturbances.iter();
    let disturbed = disturbances.any(|disturbance| {
        let its = disturbance.vm.map_or(has_begun, |vm| vm == request.vm);
        its && disturbance.from < request.ended && request.sent < disturbance.to
    });
    let cut = !is_whole(&request.answer) && !request.left;
    (ended && cut && !disturbed).then_some("a graceful end cut it")
}

/// Whether a VM has read a request, as a server ran it or its connection stayed open.
fn was_taken(request: &Asked, ran: bool) -> bool {
    let stayed = |written: Instant| request.ended.duration_since(written) > UNREAD;
    ran || request.written.is_some_and(stayed)
}

/// Whether all came as far as its caller can know.
fn is_whole(answer: &Answer) -> bool {
    answer.status != 0 && (answer.whole || answer.unproven)
}

/// No VM panics or writes a key, and none goes back to an older configuration between a start and its end.
fn logged(logs: &Path) -> Vec<String> {
    let mut broken = Vec::new();
    let Ok(files) = std::fs::read_dir(logs) else {
        return vec![format!("no logs in {}", logs.display())];
    };
    for file in files.flatten() {
        let text = std::fs::read_to_string(file.path()).unwrap_or_default();
        let name = file.file_name().to_string_lossy().into_owned();
        if let Some(line) = text.lines().find(|line| line.contains("panicked")) {
            broken.push(format!("{name}: {line}"));
        }
        let mut keys = ACCOUNTS.iter().flat_map(|(_, keys)| keys.iter());
        if keys.any(|key| text.contains(key)) {
            broken.push(format!("{name}: it holds a key"));
        }
        let mut last = 0;
        for line in text.lines() {
            if line.contains("Started") {
                last = 0;
            }
            let version = line
                .contains("EditionInForce")
                .then(|| field(line, "version="));
            match version.flatten() {
                Some(version) if version < last => {
                    broken.push(format!("{name}: {line} after {last}"));
                }
                Some(version) => last = version,
                None => {}
            }
        }
    }
    broken
}

fn field(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(name)?;
    rest.split(' ').next()?.parse().ok()
}
