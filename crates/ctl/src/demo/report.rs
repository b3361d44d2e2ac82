//! The result as a table and as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::board::{Done, Ending, Phase};
use super::figures::Stalls;
use super::ledger;
use super::stage::{DEPLOYMENTS, PLAIN, Stage};
use crate::render::table;

/// A promise and whether it was kept.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Check {
    /// Whether it was kept.
    pub(super) kept: bool,
    /// The promise.
    pub(super) promise: &'static str,
    /// What was seen.
    pub(super) seen: String,
}

/// One service's figures.
#[derive(Debug, Serialize)]
struct Row {
    /// The service.
    service: &'static str,
    /// Requests sent.
    requests: usize,
    /// Whole answers, each checked.
    whole: usize,
    /// Explicit refusals and errors.
    refused: usize,
    /// Requests that nothing listened for.
    unreached: usize,
    /// All others.
    broken: usize,
    /// Requests that waited for a load.
    stalls: u64,
    /// A bound of the wait of 95 in a hundred of these, in milliseconds.
    stall_ms: Option<f64>,
    /// Loads done.
    loads: usize,
    /// How full the engines' steps were, from 0 to 1.
    batch_fill: Option<f64>,
}

/// Refusals of one kind.
#[derive(Debug, Serialize)]
pub(super) struct Refusal {
    /// The part in which the requests were sent.
    phase: Phase,
    /// The service.
    service: &'static str,
    /// The kind.
    kind: String,
    /// Whether they ran.
    ran: String,
    /// How many.
    count: usize,
    /// What one of them said.
    example: String,
    /// That one's request.
    pub(super) request: String,
}

/// The whole result.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// How long it took, in seconds.
    seconds: f64,
    /// By service.
    services: Vec<Row>,
    /// By part, service and kind.
    pub(super) refusals: Vec<Refusal>,
    /// The promises.
    pub(super) checks: Vec<Check>,
}

impl Report {
    /// Puts a report together.
    pub(super) fn new(
        stage: &Stage,
        done: &[Done],
        stalls: &Stalls,
        checks: Vec<Check>,
        took: Duration,
    ) -> Self {
        let models = DEPLOYMENTS.iter().map(|deployment| {
            let (count, bound) = stalls.high(deployment.tenant, deployment.class);
            Row {
                stalls: count,
                stall_ms: bound,
                loads: ledger::loads(stage, deployment.service),
                batch_fill: Some(ledger::batch_fill(stage, deployment.service)),
                ..row(deployment.service, done)
            }
        });
        let plain = PLAIN.iter().map(|(service, ..)| row(service, done));
        Self {
            seconds: took.as_secs_f64(),
            services: models.chain(plain).collect(),
            refusals: refusals(done),
            checks,
        }
    }

    /// The report for people.
    pub(super) fn text(&self) -> String {
        let services = self.services.iter().map(|row| {
            let stall = row
                .stall_ms
                .map(|bound| format!("{} <= {bound:.0} ms", row.stalls));
            let fill = row.batch_fill.map(|fill| format!("{:.0}%", fill * 100.0));
            vec![
                row.service.to_owned(),
                row.requests.to_string(),
                row.whole.to_string(),
                row.refused.to_string(),
                row.unreached.to_string(),
                row.broken.to_string(),
                stall.unwrap_or_else(|| "-".to_owned()),
                row.loads.to_string(),
                fill.unwrap_or_else(|| "-".to_owned()),
            ]
        });
        let refusals = self.refusals.iter().map(|row| {
            vec![
                format!("{:?}", row.phase).to_lowercase(),
                row.service.to_owned(),
                row.kind.clone(),
                row.ran.clone(),
                row.count.to_string(),
                row.example.clone(),
            ]
        });
        let checks = self.checks.iter().map(|check| {
            let kept = if check.kept { "kept" } else { "BROKEN" };
            vec![
                kept.to_owned(),
                check.promise.to_owned(),
                check.seen.clone(),
            ]
        });
        let head = [
            "service",
            "requests",
            "whole",
            "refused",
            "unreached",
            "broken",
            "load stalls (95%)",
            "loads",
            "batch fill",
        ];
        [
            format!(
                "3 entry VMs, 2 zones, 4 engines, 4 plain servers; {:.1} s",
                self.seconds
            ),
            table(&head, &services.collect::<Vec<_>>()),
            table(
                &["during", "service", "refused as", "ran", "count", "such as"],
                &refusals.collect::<Vec<_>>(),
            ),
            table(&["", "promise", "seen"], &checks.collect::<Vec<_>>()),
        ]
        .join("\n\n")
    }

    /// The promises that were broken.
    pub(super) fn broken(&self) -> Vec<String> {
        let broken = self.checks.iter().filter(|check| !check.kept);
        broken
            .map(|check| format!("{}: {}", check.promise, check.seen))
            .collect()
    }
}

fn row(service: &'static str, done: &[Done]) -> Row {
    let of = |test: fn(&Ending) -> bool| {
        let rows = done.iter().filter(|done| done.service == service);
        rows.filter(|done| test(&done.ending)).count()
    };
    Row {
        service,
        requests: of(|_| true),
        whole: of(|ending| *ending == Ending::Whole),
        refused: of(|ending| matches!(ending, Ending::Refused { .. })),
        unreached: of(|ending| *ending == Ending::Unreached),
        broken: of(|ending| matches!(ending, Ending::Broken(_))),
        stalls: 0,
        stall_ms: None,
        loads: 0,
        batch_fill: None,
    }
}

fn refusals(done: &[Done]) -> Vec<Refusal> {
    let mut rows: BTreeMap<(Phase, &'static str, &str, &str), Refusal> = BTreeMap::new();
    for done in done {
        let Ending::Refused {
            kind,
            ran,
            detail,
            request,
        } = &done.ending
        else {
            continue;
        };
        let row = rows
            .entry((done.phase, done.service, kind, ran))
            .or_insert_with(|| Refusal {
                phase: done.phase,
                service: done.service,
                kind: kind.clone(),
                ran: ran.clone(),
                count: 0,
                example: detail.clone(),
                request: request.clone(),
            });
        row.count += 1;
    }
    rows.into_values().collect()
}
