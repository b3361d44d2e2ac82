//! What was done with each request, kept compactly for the operators.

use std::collections::VecDeque;
use std::fmt::Write;

use smallvec::SmallVec;

use super::table::RequestRow;
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::entity::Server;
use crate::error::Answer;
use crate::event::{Failure, Target};
use crate::id::{self, Attempt, Request, Ticket};
use crate::operator::{Reply, Trail};
use crate::time::Span;

/// Something that was done with a request.
#[derive(Clone, Debug)]
pub(crate) enum Note {
    /// It was put in its queue; the servers that had the adapter, and whether there was none.
    Queued { candidates: usize },
    /// A server was chosen among so many.
    Chosen { server: Server, among: usize },
    /// Its idempotency key was asked for.
    Claiming,
    /// Its idempotency key is its own.
    Claimed,
    /// It was sent.
    Sent { attempt: Attempt, server: Server },
    /// The first piece of the answer came.
    FirstPiece,
    /// The attempt failed.
    Failed { failure: Failure },
    /// The server answered for another adapter.
    Wrong { said: String },
}

/// What was done with one request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notes {
    /// The notes with the time since arrival.
    list: SmallVec<[(Span, Note); 4]>,
}

/// Notes kept of one request; one that is tried over and over drops the rest.
const MOST_NOTES: usize = 32;

impl Notes {
    /// Adds a note.
    pub(crate) fn add(&mut self, since: Span, note: Note) {
        if self.list.len() < MOST_NOTES {
            self.list.push((since, note));
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// With a whole answer of so many tokens.
    Whole { tokens: u32 },
    /// With the first run's answer.
    Replayed,
    /// Refused or failed.
    Refused(Answer),
    /// The caller went away.
    Gone,
}

/// A request that ended.
#[derive(Clone, Debug)]
struct Ended {
    /// Its row's notes.
    notes: Notes,
    /// What it asked for.
    target: Target,
    /// Its caller.
    caller: id::Caller,
    /// The rule that decided.
    rule: Option<id::Rule>,
    /// How it ended.
    outcome: Outcome,
    /// How long it took.
    took: Span,
}

/// Requests that ended lately, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    /// Their trails.
    ended: VecDeque<(Request, Ended)>,
}

impl Ring {
    /// Looks a trail up. Walks the ring: operators ask rarely, and an index would cost each request.
    fn get(&self, request: Request) -> Option<&Ended> {
        let mut newest_first = self.ended.iter().rev();
        let found = newest_first.find(|(other, _)| *other == request);
        found.map(|(_, ended)| ended)
    }
}

/// Keeps the trail of a request that ended.
pub(crate) fn keep(node: &mut Node, request: Request, row: RequestRow, outcome: Outcome) {
    let most = usize::try_from(node.settings.tuning.trails).unwrap_or(usize::MAX);
    let call = *row.call;
    let ended = Ended {
        target: call.target,
        caller: call.caller,
        rule: row.decision.rule,
        took: node.now.since(row.arrived),
        notes: row.notes,
        outcome,
    };
    let ring = &mut node.traffic.trails.ended;
    while ring.len() >= most.max(1) {
        ring.pop_front();
    }
    if most > 0 {
        ring.push_back((request, ended));
    }
}

fn target(target: &Target) -> String {
    match target {
        Target::Model(name) => format!("model {name}"),
        Target::Service(name) => format!("service {name}"),
    }
}

/// An operator wants to know what was done with a request.
pub(crate) fn explain(node: &mut Node, ticket: Ticket, text: &str, out: &mut Effects) {
    let prefix = format!("{}-{:x}-", node.settings.vm, node.settings.incarnation.0);
    let number = text.strip_prefix(&prefix).unwrap_or(text);
    let Ok(request) = number.trim_start_matches("req").parse::<u64>().map(Request) else {
        let detail = format!(
            "{text} is not a request of this start of {}",
            node.settings.vm
        );
        return super::not_found(ticket, detail, out);
    };
    let id = format!("{prefix}{}", request.0);
    match (
        node.traffic.requests.get(&request),
        node.traffic.trails.get(request),
    ) {
        (Some(row), _) => {
            let since = node.now.since(row.arrived);
            let trail = Trail {
                request: id,
                target: target(&row.call.target),
                caller: row.call.caller.to_string(),
                rule: row.decision.rule.as_ref().map(ToString::to_string),
                steps: lines(node, &row.notes),
                outcome: format!("in progress for {} ms: {:?}", since.as_millis(), row.stage),
            };
            out.push(Effect::Reply {
                ticket,
                reply: Reply::Explain(Box::new(trail)),
            });
        }
        (None, Some(ended)) => {
            let trail = Trail {
                request: id,
                target: target(&ended.target),
                caller: ended.caller.to_string(),
                rule: ended.rule.as_ref().map(ToString::to_string),
                steps: lines(node, &ended.notes),
                outcome: outcome(ended),
            };
            out.push(Effect::Reply {
                ticket,
                reply: Reply::Explain(Box::new(trail)),
            });
        }
        (None, None) => super::not_found(ticket, format!("{id} is not known any more"), out),
    }
}

fn outcome(ended: &Ended) -> String {
    let took = ended.took.as_millis();
    match &ended.outcome {
        Outcome::Whole { tokens } => format!("whole answer of {tokens} tokens after {took} ms"),
        Outcome::Replayed => format!("the first run's answer after {took} ms"),
        Outcome::Refused(answer) => {
            format!(
                "{}, ran: {}, after {took} ms: {}",
                answer.kind, answer.ran, answer.detail
            )
        }
        Outcome::Gone => format!("the caller went away after {took} ms"),
    }
}

fn lines(node: &Node, notes: &Notes) -> Vec<String> {
    let line = |(since, note): &(Span, Note)| {
        let mut text = format!("{} ms: ", since.as_millis());
        describe(node, note, &mut text);
        text
    };
    notes.list.iter().map(line).collect()
}

fn describe(node: &Node, what: &Note, text: &mut String) {
    let name = |server: &Server| &node.catalog.servers.get(*server).name;
    let written = match what {
        Note::Queued { candidates: 0 } => write!(text, "queued; no server has the adapter"),
        Note::Queued { candidates } => write!(text, "queued; {candidates} servers have it"),
        Note::Chosen { server, among } => write!(text, "chose {} of {among}", name(server)),
        Note::Claiming => write!(text, "claiming its idempotency key"),
        Note::Claimed => write!(text, "its idempotency key is its own"),
        Note::Sent { attempt, server } => write!(text, "sent to {} as {attempt}", name(server)),
        Note::FirstPiece => write!(text, "first piece of the answer"),
        Note::Failed { failure } => write!(text, "the attempt failed: {failure:?}"),
        Note::Wrong { said } => write!(text, "the server answered for {said}"),
    };
    debug_assert!(
        written.is_ok(),
        "writing to a string fails only out of memory"
    );
}
