//! What comes back from backend servers: late, crossed and doubled pieces find no attempt and are dropped; an answer
//! for another adapter than asked is never passed on.

use super::table::{RequestRow, Stage};
use super::trail::Note;
use super::{end, route};
use crate::effect::{Effect, Effects};
use crate::error::{Answer, Kind, Ran};
use crate::event::{Failure, Head, Reason};
use crate::id::{Attempt, Request};
use crate::log::{Code, Record};
use crate::metric::{Figure, Sample};
use crate::{Node, domain};

/// A server began to answer.
pub(crate) fn begun(node: &mut Node, attempt: Attempt, head: Head, out: &mut Effects) {
    let Some(request) = request(node, attempt, out) else {
        return;
    };
    if !vouch(node, attempt, request, head.model.as_deref(), out) {
        return;
    }
    if let Some(row) = node.traffic.requests.get_mut(&request) {
        row.maybe_ran = true;
    }
    if let Some(row) = node.traffic.attempts.get_mut(&attempt) {
        row.head = Some(head);
    }
    pass_head(node, attempt, request, out);
}

/// Passes the head of an answer on as soon as the server has said which adapter answers.
fn pass_head(node: &mut Node, attempt: Attempt, request: Request, out: &mut Effects) {
    let vouched = node
        .traffic
        .attempts
        .get_mut(&attempt)
        .filter(|row| row.vouched);
    let head = vouched.and_then(|row| row.head.take());
    let (Some(head), Some(row)) = (head, node.traffic.requests.get_mut(&request)) else {
        return;
    };
    if row.begun {
        return;
    }
    // A whole answer reaches the caller only when it has ended, so that it can start over until then.
    row.begun = row.call.stream;
    if let Some(kept) = row.kept.as_mut() {
        kept.status = head.status;
        kept.content_type.clone_from(&head.content_type);
        kept.body.clear();
    }
    out.push(Effect::Begin { request, head });
}

/// A piece of an answer came.
pub(crate) fn chunk(
    node: &mut Node,
    attempt: Attempt,
    model: Option<&str>,
    tokens: u32,
    data: Vec<u8>,
    out: &mut Effects,
) {
    let Some(request) = request(node, attempt, out) else {
        return;
    };
    if !vouch(node, attempt, request, model, out) {
        return;
    }
    if !node
        .traffic
        .attempts
        .get(&attempt)
        .is_some_and(|row| row.vouched)
    {
        return wrong(node, attempt, request, "no adapter at all", out);
    }
    pass_head(node, attempt, request, out);
    let most = usize::try_from(node.settings.tuning.claim_result_bytes).unwrap_or(usize::MAX);
    let now = node.now;
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    match row.kept.as_mut() {
        Some(kept) if kept.body.len() + data.len() <= most => kept.body.extend_from_slice(&data),
        Some(_) => row.kept = None,
        None => {}
    }
    let gap = row.last_token.map(|last| now.since(last));
    if tokens > 0 {
        row.tokens = row.tokens.saturating_add(tokens);
        row.last_token = Some(now);
    }
    let (figure, span) = match gap {
        Some(gap) => (Figure::TokenGap, gap),
        None => (Figure::FirstToken, now.since(row.arrived)),
    };
    if gap.is_none() {
        row.notes.add(now.since(row.arrived), Note::FirstPiece);
    }
    if tokens > 0 {
        let caller = node.catalog.callers.get(row.caller);
        out.push(Effect::Metric(Sample {
            figure,
            value: span.as_secs_f64(),
            tenant: Some(caller.tenant.clone()),
            class: Some(caller.class.clone()),
            label: None,
        }));
    }
    out.push(Effect::Stream { request, data });
}

/// An answer ended.
pub(crate) fn ended(node: &mut Node, attempt: Attempt, out: &mut Effects) {
    let Some(request) = request(node, attempt, out) else {
        return;
    };
    if !node
        .traffic
        .attempts
        .get(&attempt)
        .is_some_and(|row| row.vouched)
    {
        return wrong(node, attempt, request, "no adapter at all", out);
    }
    end::finish(node, request, out);
}

/// An attempt failed.
pub(crate) fn failed(node: &mut Node, attempt: Attempt, failure: &Failure, out: &mut Effects) {
    let Some(request) = request(node, attempt, out) else {
        return;
    };
    let Some(server) = end::vacate(node, request, out) else {
        return;
    };
    let now = node.now;
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    row.notes.add(
        now.since(row.arrived),
        Note::Failed {
            failure: failure.clone(),
        },
    );
    row.maybe_ran |= !proves_not_run(failure);
    let adapter = row.adapter;
    match (failure, adapter) {
        // The grant is given back. A new one means that the adapter is there again.
        (Failure::NotRun(Reason::NotLoaded), Some(_)) => {}
        _ => row.bar(server, now),
    }
    route::trouble(node, server, failure);
    match (failure, adapter) {
        (Failure::NotRun(Reason::NotLoaded), Some(adapter)) => {
            domain::missing(node, server, adapter, out);
        }
        (Failure::Refused, Some(_)) => {
            domain::unreachable(node, server);
        }
        _ => {}
    }
    end::retry_or_refuse(node, request, failure, out);
}

/// Whether a failure proves that no part of the request ran.
fn proves_not_run(failure: &Failure) -> bool {
    match failure {
        Failure::Refused | Failure::NotRun(_) => true,
        Failure::Rejected { .. } | Failure::Broken | Failure::Timeout => false,
    }
}

/// The request of an attempt in progress; a piece of one that is over is dropped and counted.
fn request(node: &Node, attempt: Attempt, out: &mut Effects) -> Option<Request> {
    let found = node.traffic.attempts.get(&attempt).map(|row| row.request);
    if found.is_none() {
        out.push(Effect::Log(Record::new(
            Code::PieceDropped,
            attempt.to_string(),
        )));
        out.push(Effect::Metric(Sample {
            figure: Figure::Dropped,
            value: 1.0,
            tenant: None,
            class: None,
            label: None,
        }));
    }
    found
}

/// Checks the adapter that a server says it answers with; says whether the piece may be passed on.
fn vouch(
    node: &mut Node,
    attempt: Attempt,
    request: Request,
    said: Option<&str>,
    out: &mut Effects,
) -> bool {
    let asked = node
        .traffic
        .requests
        .get(&request)
        .and_then(|row| row.adapter);
    let asked = asked.map(|adapter| node.catalog.adapters.get(adapter).name.as_str());
    let right = match (asked, said) {
        (None, _) => Some(true),
        (Some(_), None) => None,
        (Some(asked), Some(said)) => Some(asked == said),
    };
    match right {
        Some(true) => {
            if let Some(row) = node.traffic.attempts.get_mut(&attempt) {
                row.vouched = true;
            }
            true
        }
        Some(false) => {
            wrong(node, attempt, request, said.unwrap_or_default(), out);
            false
        }
        None => true,
    }
}

/// A server answered for another adapter: nothing of it is passed on.
fn wrong(node: &mut Node, attempt: Attempt, request: Request, said: &str, out: &mut Effects) {
    let detail = format!("{request} {attempt} said={said}");
    out.push(Effect::Log(Record::new(Code::WrongAdapter, detail)));
    out.push(Effect::Cancel { attempt });
    let Some(server) = end::vacate(node, request, out) else {
        return;
    };
    let now = node.now;
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    row.notes.add(
        now.since(row.arrived),
        Note::Wrong {
            said: said.to_owned(),
        },
    );
    row.bar(server, now);
    row.maybe_ran = true;
    if may_start_over(row) && end::may_try_again(node, request) {
        return end::requeue(node, request);
    }
    let answer = Answer::new(
        Kind::WrongAdapter,
        "the server answered for another adapter",
    );
    end::refuse(node, request, answer.ran(Ran::Unknown), out);
}

/// Whether a request may be run from its beginning without the caller noticing.
pub(super) fn may_start_over(row: &RequestRow) -> bool {
    debug_assert!(
        !matches!(row.stage, Stage::Running(_)),
        "an attempt is still in progress"
    );
    (row.idempotent || !row.maybe_ran) && !row.begun
}
