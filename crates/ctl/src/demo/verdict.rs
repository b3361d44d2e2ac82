//! The promises that are checked over everything that happened.

use std::time::Instant;

use super::board::{Done, Ending, Phase};
use super::ledger;
use super::report::Check;
use super::script::LAST;
use super::stage::Stage;
use super::words::{described, shortened};

/// Checks all requests that ended. `told` is when the last VM was told to stop, `backwards` are editions that went
/// back.
pub(super) fn checks(
    stage: &Stage,
    all: &[Done],
    told: Option<Instant>,
    backwards: Vec<String>,
) -> Vec<Check> {
    let unclear = |done: &&Done| matches!(done.ending, Ending::Broken(_));
    let unclear = all.iter().filter(unclear).map(described).collect();
    let interrupted = all.iter().filter(|done| interrupted(done, told));
    let interrupted = interrupted.map(described).collect();
    let lists: [(&str, Vec<String>); 6] = [
        (
            "every answer is whole, checked token by token, or an explicit refusal",
            unclear,
        ),
        ("interrupted answers at shutdown: 0", interrupted),
        (
            "double runs of non-idempotent work: 0",
            ledger::double_runs(stage),
        ),
        (
            "ran: no is true by the stand-ins' records",
            ledger::untrue(stage, all),
        ),
        (
            "no adapter is unloaded while in use",
            ledger::violations(stage),
        ),
        ("no edition goes back on any VM", backwards),
    ];
    let check = |(promise, found): (&'static str, Vec<String>)| Check {
        kept: found.is_empty(),
        promise,
        seen: shortened(&found),
    };
    lists.into_iter().map(check).collect()
}

/// Whether a request that the VM had taken in before it was told to stop ended early.
fn interrupted(done: &Done, told: Option<Instant>) -> bool {
    let early = match &done.ending {
        // A refused connection was never taken in.
        Ending::Whole | Ending::Unreached => false,
        Ending::Refused { ran, .. } => ran != "no",
        Ending::Broken(_) => true,
    };
    let before = told.is_some_and(|told| done.sent < told);
    early && before && done.vm == LAST && done.phase == Phase::Shutdown
}
