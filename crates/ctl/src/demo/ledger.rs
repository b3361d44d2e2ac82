//! What callers were told, held against the stand-ins' own records of what ran.

use std::collections::BTreeMap;

use dahliastile_standin::engine::{Engine, Run};

use super::board::{Done, Ending};
use super::stage::{DEPLOYMENTS, Named, PLAIN, Stage};

/// What callers were told of one model, key or request.
#[derive(Debug, Default)]
struct Told {
    /// Whole answers.
    whole: u64,
    /// Answers that say `ran: no`, and requests that were never sent.
    not_run: u64,
    /// All others: it ran, or may have run.
    maybe: u64,
}

fn told<'a>(done: impl Iterator<Item = &'a Done>) -> BTreeMap<&'a str, Told> {
    let mut all: BTreeMap<&str, Told> = BTreeMap::new();
    for done in done {
        let told = all.entry(&done.subject).or_default();
        match &done.ending {
            Ending::Whole => told.whole += 1,
            Ending::Unreached => told.not_run += 1,
            Ending::Refused { ran, .. } if ran == "no" => told.not_run += 1,
            Ending::Refused { .. } | Ending::Broken(_) => told.maybe += 1,
        }
    }
    all
}

/// Work that ran more than once though it must not.
pub(super) fn double_runs(stage: &Stage) -> Vec<String> {
    let mut found = Vec::new();
    for (service, runs) in plain_runs(stage) {
        let twice = runs.into_iter().filter(|(_, runs)| *runs > 1);
        let guarded = PLAIN
            .iter()
            .any(|(name, _, guarded)| *name == service && *guarded);
        let text = |(subject, runs)| format!("{service}: {subject} ran {runs} times");
        found.extend(twice.filter(|_| guarded).map(text));
    }
    found
}

/// Answers that said `ran: no` though the stand-ins ran the request, or whole answers that nothing ran for.
pub(super) fn untrue(stage: &Stage, done: &[Done]) -> Vec<String> {
    let mut found = Vec::new();
    for (service, runs) in plain_runs(stage) {
        for (subject, told) in told(done.iter().filter(|done| done.service == service)) {
            let ran = runs.get(subject).copied().unwrap_or(0);
            match told {
                Told {
                    whole: 0, maybe: 0, ..
                } if ran > 0 => {
                    found.push(format!(
                        "{service}: {subject} ran {ran} times after ran: no"
                    ));
                }
                Told { whole: 1.., .. } if ran == 0 => {
                    found.push(format!("{service}: {subject} never ran but has an answer"));
                }
                _ => {}
            }
        }
    }
    for deployment in &DEPLOYMENTS {
        let runs = model_runs(stage, deployment.service);
        let told = told(
            done.iter()
                .filter(|done| done.service == deployment.service),
        );
        for (model, told) in told {
            let all = runs.get(model).map_or(&[][..], Vec::as_slice);
            let complete = all
                .iter()
                .filter(|run| run.end_us.is_some() && !run.interrupted)
                .count() as u64;
            match told {
                Told {
                    whole: 0,
                    maybe: 0,
                    not_run,
                } if !all.is_empty() => {
                    found.push(format!(
                        "{model}: ran {} times, {not_run} answers all say ran: no",
                        all.len()
                    ));
                }
                // A model's runs are not told apart by request, so only their number can be held against the answers.
                Told { whole, maybe, .. } if complete > whole + maybe => {
                    found.push(format!(
                        "{model}: {complete} complete runs for {whole} whole answers and {maybe} that may have run"
                    ));
                }
                Told { whole, .. } if complete < whole => {
                    found.push(format!(
                        "{model}: {whole} whole answers from {complete} complete runs"
                    ));
                }
                _ => {}
            }
        }
    }
    found
}

/// Adapters that were unloaded while in use, and requests that ran without their adapter.
pub(super) fn violations(stage: &Stage) -> Vec<String> {
    let engines = stage.engines.iter();
    let of = |engine: &Named<Engine>| {
        let history = engine.host.service().history();
        let text = |violation| format!("{}: {violation:?}", engine.name);
        history.violations.into_iter().map(text).collect::<Vec<_>>()
    };
    engines.flat_map(of).collect()
}

/// How full the steps of a service's engines were, of those with any work.
pub(super) fn batch_fill(stage: &Stage, service: &str) -> f64 {
    let engines = stage
        .engines
        .iter()
        .filter(|engine| engine.service == service);
    let (mut filled, mut room) = (0, 0);
    for engine in engines {
        let record = engine.host.service().history();
        filled += record.filled;
        room += record.steps * engine.host.service().now().batch as u64;
    }
    #[allow(clippy::cast_precision_loss)]
    let fill = filled as f64 / room.max(1) as f64;
    fill
}

/// The loads that a service's engines did.
pub(super) fn loads(stage: &Stage, service: &str) -> usize {
    let engines = stage
        .engines
        .iter()
        .filter(|engine| engine.service == service);
    let orders = engines.flat_map(|engine| engine.host.service().history().orders);
    orders
        .filter(|order| order.call == "load_lora_adapter" && order.outcome == "ok")
        .count()
}

/// The runs of each plain service by idempotency key, and by request where there was none.
fn plain_runs(stage: &Stage) -> BTreeMap<&'static str, BTreeMap<String, u64>> {
    let mut all: BTreeMap<&'static str, BTreeMap<String, u64>> = BTreeMap::new();
    for server in &stage.plain {
        let record = server.host.service().history();
        let runs = all.entry(server.service).or_default();
        for (subject, count) in record.keys.into_iter().chain(record.request_ids) {
            *runs.entry(subject).or_default() += count;
        }
    }
    all
}

fn model_runs(stage: &Stage, service: &str) -> BTreeMap<String, Vec<Run>> {
    let mut all: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    let engines = stage
        .engines
        .iter()
        .filter(|engine| engine.service == service);
    for run in engines.flat_map(|engine| engine.host.service().history().runs) {
        all.entry(run.model.to_string()).or_default().push(run);
    }
    all
}
