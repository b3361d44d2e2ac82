//! How requests end, and when a failed one is tried again. Each ends with exactly one final answer, sent at once.

use super::attempt::may_start_over;
use super::queue::{self, Key};
use super::table::{Claim, RequestRow, Stage};
use super::trail::{self, Outcome};
use super::{limit, retry_after, route};
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Server};
use crate::error::{Answer, Kind, Ran};
use crate::event::{Failure, Head, Reason};
use crate::id::Request;
use crate::log::{Code, Record};
use crate::metric::{Figure, Sample};
use crate::peer;
use crate::time::Span;
use crate::{Node, claim, domain};

/// What can be said of whether a request has run.
pub(super) fn ran(node: &Node, request: Request) -> Ran {
    let Some(row) = node.traffic.requests.get(&request) else {
        return Ran::Unknown;
    };
    match row.stage {
        Stage::Running(_) => Ran::Unknown,
        Stage::Waiting | Stage::Claiming(_) if row.maybe_ran => Ran::Unknown,
        Stage::Waiting | Stage::Claiming(_) => Ran::No,
    }
}

/// A request that is not taken in: it has no row.
pub(super) fn turn_away(node: &Node, request: Request, answer: Answer, out: &mut Effects) {
    let _ = node;
    note_refusal(request, &answer, None, out);
    out.push(Effect::Refuse { request, answer });
}

/// Ends a request with an error.
pub(super) fn refuse(node: &mut Node, request: Request, answer: Answer, out: &mut Effects) {
    let Some(row) = remove(node, request, out) else {
        return;
    };
    debug_assert!(
        answer.ran != Ran::No || !row.maybe_ran,
        "{request} may have run, but its answer says no"
    );
    release_claim(node, request, &row, None, out);
    let caller = node.catalog.callers.get(row.caller);
    note_refusal(request, &answer, Some((&caller.tenant, &caller.class)), out);
    out.push(Effect::Refuse {
        request,
        answer: answer.clone(),
    });
    trail::keep(node, request, row, Outcome::Refused(answer));
}

fn note_refusal(
    request: Request,
    answer: &Answer,
    who: Option<(&crate::id::Tenant, &crate::id::Class)>,
    out: &mut Effects,
) {
    let code = if answer.ran == Ran::No {
        Code::Refused
    } else {
        Code::MayHaveRun
    };
    let detail = format!("{request} kind={} ran={}", answer.kind, answer.ran);
    out.push(Effect::Log(Record::new(code, detail)));
    out.push(Effect::Metric(Sample {
        figure: Figure::Refused,
        value: 1.0,
        tenant: who.map(|(tenant, _)| tenant.clone()),
        class: who.map(|(_, class)| class.clone()),
        label: Some(answer.kind.row().name.into()),
    }));
}

/// Ends a request with its whole answer.
pub(super) fn finish(node: &mut Node, request: Request, out: &mut Effects) {
    let Some(row) = remove(node, request, out) else {
        return;
    };
    let ending = match &row.kept {
        Some(kept) => peer::Outcome::Kept {
            status: kept.status,
            content_type: kept.content_type.clone(),
            body: kept.body.clone(),
        },
        None => peer::Outcome::Whole,
    };
    release_claim(node, request, &row, Some(ending), out);
    let caller = node.catalog.callers.get(row.caller);
    let sample = |figure, value| {
        Effect::Metric(Sample {
            figure,
            value,
            tenant: Some(caller.tenant.clone()),
            class: Some(caller.class.clone()),
            label: None,
        })
    };
    out.push(Effect::Finish { request });
    out.push(sample(Figure::Answered, 1.0));
    out.push(sample(
        Figure::WholeAnswer,
        node.now.since(row.arrived).as_secs_f64(),
    ));
    let tokens = row.tokens;
    trail::keep(node, request, row, Outcome::Whole { tokens });
}

/// Ends a request with the answer of its key's first run.
pub(super) fn replay(
    node: &mut Node,
    request: Request,
    status: u16,
    content_type: String,
    data: Vec<u8>,
    out: &mut Effects,
) {
    let Some(row) = remove(node, request, out) else {
        return;
    };
    let head = Head {
        status,
        content_type,
        model: None,
    };
    out.push(Effect::Replay {
        request,
        head,
        data,
    });
    trail::keep(node, request, row, Outcome::Replayed);
}

/// The caller went away.
pub(super) fn abandon(node: &mut Node, request: Request, out: &mut Effects) {
    let Some(row) = remove(node, request, out) else {
        return;
    };
    release_claim(node, request, &row, None, out);
    trail::keep(node, request, row, Outcome::Gone);
}

/// A waiting request has to go for another.
pub(super) fn shed(node: &mut Node, request: Request, answer: Answer, out: &mut Effects) {
    give_up(
        node,
        request,
        answer,
        "there is no room to try it again",
        out,
    );
}

/// No server is left that may take a waiting request.
pub(super) fn no_server(node: &mut Node, request: Request, out: &mut Effects) {
    let answer = Answer::new(Kind::NoServer, "no server that the rules allow can take it")
        .after(Span::from_secs(1));
    let broke = "every server that may take it failed";
    give_up(node, request, answer, broke, out);
}

/// What a waiting request needs can't be loaded in its time.
pub(super) fn unloadable(node: &mut Node, request: Request, out: &mut Effects) {
    let text = "no adapter can be loaded there while the key-value service does not answer";
    let answer = Answer::new(Kind::NotResident, text).after(domain::unloadable::COME_BACK);
    let broke = "the server failed, and no other holds the adapter";
    give_up(node, request, answer, broke, out);
}

/// Gives a waiting request an answer where it has not run, and else says that its server broke, and what may have run.
fn give_up(
    node: &mut Node,
    request: Request,
    not_run: Answer,
    broke: &'static str,
    out: &mut Effects,
) {
    let answer = match ran(node, request) {
        Ran::No => not_run,
        ran => Answer::new(Kind::ServerBroke, broke).ran(ran),
    };
    refuse(node, request, answer, out);
}

/// The deadline of a request passed.
pub(super) fn overdue(node: &mut Node, request: Request, out: &mut Effects) {
    let Some(row) = node.traffic.requests.get(&request) else {
        return;
    };
    let (adapter, cold) = (row.adapter, row.cold);
    let answer = match ran(node, request) {
        Ran::No if cold => Answer::new(Kind::NotResident, "the adapter was not loaded in time"),
        Ran::No => Answer::new(Kind::DeadlineInQueue, "no server was free in time"),
        ran => Answer::new(Kind::DeadlineInRun, "the deadline passed").ran(ran),
    };
    let answer = answer.after(retry_after(node, adapter));
    refuse(node, request, answer, out);
}

/// Takes the place of a request on its server away; says which server that was.
pub(super) fn vacate(node: &mut Node, request: Request, out: &mut Effects) -> Option<Server> {
    let row = node.traffic.requests.get_mut(&request)?;
    let server = match row.stage {
        Stage::Waiting => return None,
        Stage::Claiming(server) => server,
        Stage::Running(attempt) => node.traffic.attempts.remove(&attempt)?.server,
    };
    row.stage = Stage::Waiting;
    let adapter = row.adapter;
    node.traffic.own[server].change(node.now, -1);
    if let Some(adapter) = adapter {
        domain::end_use(node, server, adapter, out);
    }
    wake_blocked(node, server);
    Some(server)
}

/// Queues that wait for room on a server are looked at again.
fn wake_blocked(node: &mut Node, server: Server) {
    let least = Key::Adapter(Adapter::from_u32(0));
    let traffic = &mut node.traffic;
    loop {
        let next = traffic.blocked.range((server, least)..).next().copied();
        let Some(blocked) = next.filter(|(other, _)| *other == server) else {
            return;
        };
        traffic.blocked.remove(&blocked);
        traffic.dirty.insert(blocked.1);
    }
}

/// Removes a request from all tables, and cancels its attempt if one is in progress.
fn remove(node: &mut Node, request: Request, out: &mut Effects) -> Option<RequestRow> {
    let stage = node.traffic.requests.get(&request)?.stage;
    match stage {
        Stage::Running(attempt) => out.push(Effect::Cancel { attempt }),
        Stage::Waiting => queue::pull(node, request),
        Stage::Claiming(_) => {}
    }
    vacate(node, request, out);
    let mut row = node.traffic.requests.remove(&request)?;
    row.maybe_ran |= matches!(stage, Stage::Running(_));
    Some(row)
}

/// Says how a claimed request ended: free again if it certainly was not run.
fn release_claim(
    node: &mut Node,
    request: Request,
    row: &RequestRow,
    ending: Option<peer::Outcome>,
    out: &mut Effects,
) {
    match (row.claim, ending) {
        (Claim::Unneeded, _) => {}
        (Claim::Wanted | Claim::Held, Some(ending)) => {
            claim::release(node, request, Some(ending), out);
        }
        (Claim::Wanted | Claim::Held, None) if row.maybe_ran => {
            claim::release(node, request, Some(peer::Outcome::Unknown), out);
        }
        (Claim::Wanted | Claim::Held, None) => claim::release(node, request, None, out),
    }
}

/// Puts a request back into its queue.
pub(super) fn requeue(node: &mut Node, request: Request) {
    if let Some(row) = node
        .traffic
        .requests
        .get_mut(&request)
        .filter(|row| !row.begun)
    {
        row.tokens = 0;
        row.last_token = None;
    }
    queue::push(node, request);
}

/// Whether a request has a try left, a server to try, and a retry in its service's budget, which is taken.
pub(super) fn may_try_again(node: &mut Node, request: Request) -> bool {
    let row = &node.traffic.requests[&request];
    let most = u32::try_from(node.settings.tuning.attempts_max).unwrap_or(u32::MAX);
    let (service, tries) = (row.service, row.tries);
    tries < most && !route::hopeless(node, row) && limit::retry(node, service)
}

/// Tries a request whose attempt failed again where that is allowed, and refuses it at once where not.
pub(super) fn retry_or_refuse(
    node: &mut Node,
    request: Request,
    failure: &Failure,
    out: &mut Effects,
) {
    let row = &node.traffic.requests[&request];
    let resumable = row.idempotent && row.begun && row.call.stream && row.adapter.is_some();
    let unreadable = matches!(failure, Failure::NotRun(Reason::BadRequest));
    let allowed = (may_start_over(row) || resumable) && !unreadable;
    let adapter = row.adapter;
    if allowed && may_try_again(node, request) {
        return requeue(node, request);
    }
    let ran = ran(node, request);
    let answer = match (ran, failure) {
        (Ran::No, Failure::NotRun(Reason::BadRequest)) => {
            Answer::new(Kind::BadRequest, "the server can't read the request")
        }
        (Ran::No, _) => Answer::new(
            Kind::ServerRefused,
            format!("the server failed: {failure:?}"),
        )
        .after(retry_after(node, adapter)),
        (Ran::Yes | Ran::Unknown, Failure::Timeout) => {
            Answer::new(Kind::DeadlineInRun, "the server did not answer in time").ran(ran)
        }
        (Ran::Yes | Ran::Unknown, _) => {
            Answer::new(Kind::ServerBroke, format!("the server failed: {failure:?}")).ran(ran)
        }
    };
    refuse(node, request, answer, out);
}
