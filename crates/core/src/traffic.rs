//! Requests and their attempts, from arrival to the final answer.
//!
//! A request waits in the queue of its adapter or plain service until a server may take it, is claimed where it
//! must run at most once, is sent, and ends with exactly one final answer. Each matter is one file.

mod arrive;
mod attempt;
mod deadline;
mod dispatch;
mod end;
pub(crate) mod limit;
mod queue;
pub(crate) mod route;
mod rows;
mod table;
mod trail;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use cranelift_entity::SecondaryMap;

use crate::effect::Effects;
use crate::entity::{Adapter, Server};
use crate::error::{Answer, Kind, Ran};
use crate::id::{Attempt, Request, Ticket};
use crate::time::{Instant, Span};
use crate::{Node, domain};

pub(crate) use arrive::{arrived, test};
pub(crate) use attempt::{begun, chunk, ended, failed};
pub(crate) use dispatch::{claimed, dispatch};
pub(crate) use table::{Waiting, Wish};
pub(crate) use trail::explain;

use deadline::Deadlines;
use queue::{Key, Queues};
use route::Own;
use rows::Rows;
use table::{AttemptRow, RequestRow, Stage};

/// Requests and attempts in progress.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Requests in progress.
    requests: Rows<Request, RequestRow>,
    /// Attempts in progress.
    attempts: Rows<Attempt, AttemptRow>,
    /// The number of the last attempt.
    last_attempt: u64,
    /// Requests that wait for a server.
    queues: Queues,
    /// Queues to look at before the step ends.
    dirty: BTreeSet<Key>,
    /// Queues that wait for room on a server: all of their servers were full when they were last looked at.
    blocked: BTreeSet<(Server, Key)>,
    /// When the deadline of each request passes.
    deadlines: Deadlines,
    /// When requests that are held back to fill a batch are held back no longer.
    holds: BinaryHeap<Reverse<(Instant, Adapter)>>,
    /// When every queue is looked at again, in case that a change was not noticed.
    look_again: Instant,
    /// This VM's own work on each server.
    own: SecondaryMap<Server, Own>,
    /// What is counted against limits.
    limits: limit::State,
    /// What was done with requests that ended lately.
    trails: trail::Ring,
}

/// Adapters for which requests wait.
pub(crate) fn wanted(node: &Node) -> impl Iterator<Item = (Adapter, Waiting)> + '_ {
    let queues = &node.traffic.queues;
    queues.keys().filter_map(move |key| match key {
        Key::Adapter(adapter) if queues.asks(key, node.now) => Some((adapter, waiting(node, key))),
        Key::Adapter(_) | Key::Service(_) => None,
    })
}

/// What waits in a queue. The rules of its first request count for all.
fn waiting(node: &Node, key: Key) -> Waiting {
    let traffic = &node.traffic;
    let first = traffic.queues.first(key);
    let row = first.and_then(|request| traffic.requests.get(&request));
    let wish = row.map(|row| row.decision.wish()).unwrap_or_default();
    traffic.queues.waiting(key, wish, node.now)
}

/// Something changed for an adapter: its queue is looked at again before the step ends.
pub(crate) fn wake(node: &mut Node, adapter: Adapter) {
    let key = Key::Adapter(adapter);
    if node.traffic.queues.holds(key) {
        node.traffic.dirty.insert(key);
    }
}

/// Something changed for many adapters or plain services: every queue is looked at again.
pub(crate) fn wake_all(node: &mut Node) {
    let traffic = &mut node.traffic;
    traffic.dirty.extend(traffic.queues.keys());
}

/// Requests in progress.
pub(crate) fn in_progress(node: &Node) -> u64 {
    node.traffic.requests.len() as u64
}

/// Whether no request is in progress.
pub(crate) fn idle(node: &Node) -> bool {
    node.traffic.requests.is_empty()
}

/// Cuts every request in progress with an explicit error.
pub(crate) fn cut(node: &mut Node, out: &mut Effects) {
    let requests = node.traffic.requests.keys();
    for request in requests {
        let ran = end::ran(node, request);
        let answer = match ran {
            Ran::No => Answer::shutting_down("the VM was told to stop at once"),
            Ran::Yes | Ran::Unknown => {
                Answer::new(Kind::Cut, "the VM was told to stop at once").ran(ran)
            }
        };
        end::refuse(node, request, answer, out);
    }
}

/// A caller went away: its attempt is cancelled and its place in the queue given up.
pub(crate) fn gone(node: &mut Node, request: Request, out: &mut Effects) {
    end::abandon(node, request, out);
}

/// Time between two looks at every queue.
const LOOK_AGAIN: Span = Span::from_secs(1);

/// Time has passed: requests whose deadline is over get their final answer.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    while let Some(request) = node.traffic.deadlines.pop(node.now) {
        end::overdue(node, request, out);
    }
    let traffic = &mut node.traffic;
    let requests = &traffic.requests;
    let in_progress = |request| requests.contains_key(&request);
    traffic.deadlines.sweep(requests.len(), in_progress);
    end_holds(node, out);
    let blocked = std::mem::take(&mut node.traffic.blocked);
    let keys = blocked.into_iter().map(|(_, key)| key);
    node.traffic.dirty.extend(keys);
    if node.now >= node.traffic.look_again {
        node.traffic.look_again = node.now + LOOK_AGAIN;
        wake_all(node);
    }
}

/// Requests that are held back no longer count as arrived for the holder of their domain.
fn end_holds(node: &mut Node, out: &mut Effects) {
    while let Some(Reverse((until, adapter))) = node.traffic.holds.peek().copied() {
        if until > node.now {
            return;
        }
        node.traffic.holds.pop();
        let cold = node.traffic.queues.holds(Key::Adapter(adapter));
        let wish = waiting(node, Key::Adapter(adapter)).wish;
        domain::arrived(node, adapter, wish, cold, out);
    }
}

/// Adds what is broken in the tables of requests and attempts.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    let traffic = &node.traffic;
    for (attempt, row) in traffic.attempts.iter() {
        let request = traffic.requests.get(&row.request);
        match request.map(|request| &request.stage) {
            Some(Stage::Running(running)) if *running == attempt => {}
            Some(stage) => broken.push(format!("{attempt} runs but {} is {stage:?}", row.request)),
            None => broken.push(format!(
                "{attempt} belongs to {} which is over",
                row.request
            )),
        }
    }
    let deadlines = traffic.deadlines.all();
    for (request, row) in traffic.requests.iter() {
        if !deadlines.contains(&(row.deadline, request)) {
            broken.push(format!("{request} has no deadline entry"));
        }
        verify_request(node, request, row, broken);
    }
    let (queued, counted) = (traffic.queues.len(), traffic.queues.counted());
    if queued != counted {
        broken.push(format!(
            "{queued} requests are queued but {counted} counted"
        ));
    }
    let counts = traffic.limits.shares.values();
    let with_share: usize = counts.map(|shares| shares.count() as usize).sum();
    if with_share != queued {
        broken.push(format!(
            "{with_share} requests have a share but {queued} wait"
        ));
    }
    verify_in_flight(node, broken);
}

fn verify_request(node: &Node, request: Request, row: &RequestRow, broken: &mut Vec<String>) {
    let traffic = &node.traffic;
    let queued = traffic.queues.contains(row.key, &row.place);
    match row.stage {
        Stage::Waiting if !queued => broken.push(format!("{request} waits in no queue")),
        Stage::Claiming(_) | Stage::Running(_) if queued => {
            broken.push(format!("{request} is {:?} and still queued", row.stage));
        }
        Stage::Running(attempt) if !traffic.attempts.contains_key(&attempt) => {
            broken.push(format!("{request} runs as {attempt} which is over"));
        }
        Stage::Running(_) if row.claim == table::Claim::Wanted => {
            broken.push(format!("{request} runs without the claim that it needs"));
        }
        Stage::Waiting | Stage::Claiming(_) | Stage::Running(_) => {}
    }
    if !row.idempotent && row.maybe_ran && !matches!(row.stage, Stage::Running(_)) {
        broken.push(format!(
            "{request} may have run and is not idempotent, yet it is not over"
        ));
    }
}

fn verify_in_flight(node: &Node, broken: &mut Vec<String>) {
    let traffic = &node.traffic;
    let mut counted: BTreeMap<Server, u32> = BTreeMap::new();
    for (_, row) in traffic.attempts.iter() {
        *counted.entry(row.server).or_default() += 1;
    }
    for (_, row) in traffic.requests.iter() {
        if let Stage::Claiming(server) = row.stage {
            *counted.entry(server).or_default() += 1;
        }
    }
    let own = traffic.own.iter().filter(|(_, own)| own.in_flight > 0);
    let own: BTreeMap<Server, u32> = own.map(|(server, own)| (server, own.in_flight)).collect();
    if counted != own {
        broken.push(format!("in flight {counted:?} but counted {own:?}"));
    }
}

/// How long a caller does well to wait before it asks for an adapter again.
pub(crate) fn retry_after(node: &Node, adapter: Option<Adapter>) -> Span {
    const SHORT: Span = Span::from_millis(500);
    let Some(adapter) = adapter else {
        return SHORT;
    };
    let wait = node.domains.expected(adapter).unwrap_or(SHORT);
    wait.max(cold_start(node, adapter)).max(SHORT)
}

/// How long it takes on average until an engine is ready, where all that report are still loading their base model.
fn cold_start(node: &Node, adapter: Adapter) -> Span {
    let service = node
        .catalog
        .services
        .get(node.catalog.adapters.get(adapter).service);
    let mut reports = service
        .servers
        .iter()
        .filter_map(|server| node.domains.load(*server));
    let starting = reports.clone().next().is_some() && reports.all(|report| !report.ready);
    if starting {
        Span(service.base_load.0 / 2)
    } else {
        Span::ZERO
    }
}

/// An answer to an operator that something is not there.
pub(crate) fn not_found(ticket: Ticket, detail: String, out: &mut Effects) {
    let answer = Answer::new(Kind::NotFound, detail);
    let reply = crate::operator::Reply::Failed(answer);
    out.push(crate::effect::Effect::Reply { ticket, reply });
}
