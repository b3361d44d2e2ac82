//! Sends what waits: looks at the queues for which something changed, chooses servers, and claims and sends.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::queue::{self, Key, Place};
use super::route::{self, Choice};
use super::table::{AttemptRow, Claim, Stage};
use super::trail::Note;
use super::{end, limit, retry_after};
use crate::effect::{Effect, Effects, Work};
use crate::entity::Server;
use crate::error::{Answer, Kind, Ran};
use crate::id::{Attempt, Request};
use crate::log::{Code, Record};
use crate::metric::{Figure, Sample};
use crate::peer::{self, Finding, Outcome};
use crate::time::Span;
use crate::{Node, claim, domain};

/// Looks at the queues for which something changed in this step, and sends what can be sent.
///
/// Queues take turns in the order of their first requests, since they may wait for the same server.
pub(crate) fn dispatch(node: &mut Node, out: &mut Effects) {
    while let Some(key) = node.traffic.dirty.pop_first() {
        if node.traffic.dirty.is_empty() {
            while serve(node, key, out) {}
            continue;
        }
        let mut turns = BTreeSet::new();
        let dirty = std::mem::take(&mut node.traffic.dirty);
        for key in dirty.into_iter().chain([key]) {
            turns.extend(first(node, key).map(|place| (place, key)));
        }
        while let Some((_, key)) = turns.pop_first() {
            if serve(node, key, out) {
                turns.extend(first(node, key).map(|place| (place, key)));
            }
        }
    }
}

/// Sends a request that has just arrived, where none waits before it and a server has room. Says whether it did.
pub(super) fn at_once(node: &mut Node, request: Request, out: &mut Effects) -> bool {
    let row = &node.traffic.requests[&request];
    let (key, place) = (row.key, row.place);
    if node.traffic.queues.holds(key) {
        return false;
    }
    match route::choose(node, row) {
        Choice::Server(server, among) => {
            start(node, key, &place, server, among, out);
            true
        }
        Choice::Full | Choice::Nobody => false,
    }
}

/// How many requests of one queue are looked at when the first of them can't be sent: rules may bar only some.
const LOOK_AHEAD: usize = 16;

/// Sends or ends one request of a queue. Says whether it is worth looking at the queue again.
fn serve(node: &mut Node, key: Key, out: &mut Effects) -> bool {
    for barred in 0..LOOK_AHEAD {
        let Some(place) = nth(node, key, barred) else {
            break;
        };
        let row = &node.traffic.requests[&place.request];
        match route::choose(node, row) {
            Choice::Server(server, among) => {
                start(node, key, &place, server, among, out);
                return true;
            }
            Choice::Full => {
                block(node, key, &place);
                return false;
            }
            Choice::Nobody if route::hopeless(node, row) => {
                end::no_server(node, place.request, out);
                return true;
            }
            Choice::Nobody if unloadable(node, &place) => {
                end::unloadable(node, place.request, out);
                return true;
            }
            Choice::Nobody => {}
        }
    }
    false
}

/// Whether what a request waits for can't be loaded in its time.
fn unloadable(node: &Node, place: &Place) -> bool {
    let row = &node.traffic.requests[&place.request];
    row.adapter
        .is_some_and(|adapter| domain::unloadable::unloadable(node, adapter, row.decision.wish()))
}

/// A queue waits until one of its servers has room.
fn block(node: &mut Node, key: Key, place: &Place) {
    let row = &node.traffic.requests[&place.request];
    let servers: SmallVec<[Server; 8]> = route::usable(node, row).into();
    node.traffic
        .blocked
        .extend(servers.into_iter().map(|server| (server, key)));
}

fn first(node: &Node, key: Key) -> Option<Place> {
    nth(node, key, 0)
}

fn nth(node: &Node, key: Key, skip: usize) -> Option<Place> {
    node.traffic.queues.nth(key, skip)
}

fn start(
    node: &mut Node,
    key: Key,
    place: &Place,
    server: Server,
    among: usize,
    out: &mut Effects,
) {
    let request = place.request;
    let now = node.now;
    node.traffic.queues.served(key, now);
    queue::pull(node, request);
    limit::served(node, place);
    occupy(node, request, server);
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    row.notes
        .add(now.since(row.arrived), Note::Chosen { server, among });
    match (row.claim, &row.call.key) {
        (Claim::Wanted, Some(key)) => {
            row.stage = Stage::Claiming(server);
            row.notes.add(now.since(row.arrived), Note::Claiming);
            let (key, digest) = (claim_key(row.call.caller.as_str(), key), row.call.digest);
            claim::take(node, request, key, digest, out);
        }
        (Claim::Wanted | Claim::Unneeded | Claim::Held, _) => send(node, request, server, out),
    }
}

/// Keeps a place on a server for a request, so that its adapter is not evicted there.
fn occupy(node: &mut Node, request: Request, server: Server) {
    node.traffic.own[server].change(node.now, 1);
    if let Some(adapter) = node.traffic.requests[&request].adapter {
        domain::begin_use(node, server, adapter);
    }
}

/// The hash under which a caller's idempotency key is claimed.
fn claim_key(caller: &str, key: &str) -> peer::Key {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut short = peer::Key::default();
    let length = short.len();
    short.copy_from_slice(&hasher.finalize().as_bytes()[..length]);
    short
}

fn send(node: &mut Node, request: Request, server: Server, out: &mut Effects) {
    node.traffic.last_attempt += 1;
    let attempt = Attempt(node.traffic.last_attempt);
    let now = node.now;
    let place = node.catalog.servers.get(server);
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    debug_assert!(
        row.idempotent || !row.maybe_ran,
        "{request} may have run already"
    );
    row.notes
        .add(now.since(row.arrived), Note::Sent { attempt, server });
    row.stage = Stage::Running(attempt);
    row.tries += 1;
    let first = row.sent.replace(now).is_none();
    let service = row.service;
    let caller = node.catalog.callers.get(row.caller);
    let work = Work {
        attempt,
        request,
        server: place.name.clone(),
        address: place.address.clone(),
        adapter: row
            .adapter
            .map(|adapter| node.catalog.adapters.get(adapter).name.clone()),
        priority: row.decision.priority,
        deadline: row.deadline,
        resume_from: row.tokens,
    };
    let wait = now.since(row.arrived);
    let stall = if row.cold { wait } else { Span::ZERO };
    let sample = |figure, value| {
        Effect::Metric(Sample {
            figure,
            value,
            tenant: Some(caller.tenant.clone()),
            class: Some(caller.class.clone()),
            label: None,
        })
    };
    out.push(Effect::Send(work));
    out.push(sample(
        if first {
            Figure::Attempts
        } else {
            Figure::Retries
        },
        1.0,
    ));
    if first {
        out.push(sample(Figure::QueueWait, wait.as_secs_f64()));
        out.push(sample(Figure::LoadStall, stall.as_secs_f64()));
    }
    node.traffic.attempts.insert(
        attempt,
        AttemptRow {
            request,
            server,
            vouched: false,
            head: None,
        },
    );
    if first {
        limit::attempted(node, service);
    }
}

/// The finding of a claim came.
pub(crate) fn claimed(node: &mut Node, request: Request, finding: Finding, out: &mut Effects) {
    let now = node.now;
    let Some(row) = node.traffic.requests.get_mut(&request) else {
        return;
    };
    let Stage::Claiming(server) = row.stage else {
        return;
    };
    match finding {
        Finding::Granted => {
            row.claim = Claim::Held;
            row.notes.add(now.since(row.arrived), Note::Claimed);
            send_claimed(node, request, server, out);
        }
        Finding::Taken(outcome) => repeated(node, request, outcome, out),
        Finding::Reused => {
            let detail = "this idempotency key came before with another request";
            end::refuse(node, request, Answer::new(Kind::KeyReused, detail), out);
        }
        Finding::Down => {
            let adapter = row.adapter;
            let detail =
                "the idempotency key can't be claimed: the key-value service does not answer";
            let answer = Answer::new(Kind::PlatformDown, detail);
            let answer = answer.after(retry_after(node, adapter).max(Span::from_secs(1)));
            end::refuse(node, request, answer, out);
        }
        Finding::NotHome => {}
    }
}

/// Sends a request whose claim has come, unless its server may not take it any more: the claim may have taken long.
fn send_claimed(node: &mut Node, request: Request, server: Server, out: &mut Effects) {
    if route::permits(node, &node.traffic.requests[&request], server) {
        return send(node, request, server, out);
    }
    end::vacate(node, request, out);
    end::requeue(node, request);
}

fn repeated(node: &mut Node, request: Request, outcome: Option<Outcome>, out: &mut Effects) {
    let id = format!("{request} repeats a key: {outcome:.40?}");
    out.push(Effect::Log(Record::new(Code::Duplicate, id)));
    let duplicate = |ran| Answer::new(Kind::Duplicate, "this idempotency key came before").ran(ran);
    match outcome {
        Some(Outcome::Kept {
            status,
            content_type,
            body,
        }) => {
            end::replay(node, request, status, content_type, body, out);
        }
        Some(Outcome::Whole) => end::refuse(node, request, duplicate(Ran::Yes), out),
        Some(Outcome::Unknown) | None => {
            end::refuse(node, request, duplicate(Ran::Unknown), out);
        }
    }
}
