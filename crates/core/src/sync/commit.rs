//! Commits operators' edits by compare-and-swap, one at a time and in the order in which they came.
//!
//! An edit is written only where every edit after its base is known, so it is never accepted twice and never over
//! one that it clashes with. A write whose answer was lost compares the revision of the head that it was made for:
//! once the head has moved on, it has either taken effect, and then its id is in the log, or it never will.

use std::collections::VecDeque;

use super::draft::{self, Draft};
use super::store::{self, Head};
use super::{apply, call_timeout, edit_timeout, reader, rewrite, snapshot};
use crate::Node;
use crate::config::Edit;
use crate::effect::{Effect, Effects};
use crate::error::{Answer, Kind, Ran};
use crate::id::{Edition, MAX_NAME, Op, Revision, Ticket};
use crate::log::{Code, Record};
use crate::operator::Reply;
use crate::ops::Owner;
use crate::platform::{Call, Compare, Outcome, Put};
use crate::settings::Tuning;
use crate::time::Instant;

/// Edits that may wait on one VM.
const MAX_WAITING: usize = 256;

/// Reads of a head that is lower than the edition in force before an edit is refused for it.
const MAX_LOWER: u32 = 3;

/// An edit that waits to be committed.
#[derive(Debug)]
struct Pending {
    /// The operator's call.
    ticket: Ticket,
    /// The edit.
    edit: Edit,
    /// When it came.
    since: Instant,
    /// The revision of the head for which a write was sent that may still take effect.
    unsure: Option<Revision>,
    /// Whether older edits were asked for.
    older: bool,
    /// How often the head was found to be lower than the edition in force.
    lower: u32,
}

/// A write in progress, of the first edit that waits.
#[derive(Debug)]
struct Write {
    /// The operation.
    op: Op,
    /// When it was sent.
    sent: Instant,
    /// The new head.
    head: Head,
    /// The text of the edit.
    text: Vec<u8>,
    /// What the operator may want to look at.
    warnings: Vec<String>,
    /// The revision of the old head.
    revision: Revision,
}

/// Edits on their way.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Edits that wait, the first of them perhaps being written.
    waiting: VecDeque<Pending>,
    /// The write in progress.
    write: Option<Write>,
}

impl Queue {
    /// Whether it waits for an operation.
    pub(crate) fn waits_for(&self, op: Op) -> bool {
        self.write.as_ref().is_some_and(|write| write.op == op)
    }

    /// Whether a write is in progress.
    pub(crate) fn writing(&self) -> bool {
        self.write.is_some()
    }
}

/// What to do with the first edit that waits.
enum Step {
    /// Something has to be read first.
    Wait,
    /// Answer it.
    Reply(Box<Reply>),
    /// Write it.
    Write(Box<Draft>),
}

impl Step {
    fn reply(reply: Reply) -> Self {
        Self::Reply(Box::new(reply))
    }
}

/// An operator wants a change.
pub(crate) fn begin(node: &mut Node, ticket: Ticket, edit: Edit, out: &mut Effects) {
    if let Some(reply) = refuse_at_once(node, &edit) {
        return answer(ticket, &edit, reply, out);
    }
    node.sync.reader.hurry();
    let since = node.now;
    node.sync.commits.waiting.push_back(Pending {
        ticket,
        edit,
        since,
        unsure: None,
        older: false,
        lower: 0,
    });
}

fn refuse_at_once(node: &Node, edit: &Edit) -> Option<Reply> {
    let bad = |detail: &str| Some(fail(Kind::BadConfiguration, detail));
    match edit {
        _ if edit.id.is_empty() || edit.id.len() > MAX_NAME => {
            bad("the edit's id is empty or too long")
        }
        _ if edit.changes.is_empty() => bad("the edit changes nothing"),
        _ if node.sync.commits.waiting.len() >= MAX_WAITING => {
            Some(fail(Kind::Overloaded, "too many edits wait on this VM"))
        }
        _ => None,
    }
}

/// Goes on with the first edit that waits.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    while node.sync.commits.write.is_none() {
        let Some(mut pending) = node.sync.commits.waiting.pop_front() else {
            return;
        };
        match decide(node, &mut pending) {
            Step::Wait => {
                node.sync.commits.waiting.push_front(pending);
                return;
            }
            Step::Reply(reply) => answer(pending.ticket, &pending.edit, *reply, out),
            Step::Write(draft) => {
                node.sync.commits.waiting.push_front(pending);
                write(node, *draft, out);
            }
        }
    }
}

fn decide(node: &mut Node, pending: &mut Pending) -> Step {
    let reader = &mut node.sync.reader;
    let Some(known) = reader.known() else {
        reader.want_head();
        return Step::Wait;
    };
    let (head, revision) = (known.head.edition, known.revision);
    let edition = node.sync.edition;
    match head.cmp(&edition) {
        _ if reader.reads_head() => Step::Wait,
        std::cmp::Ordering::Greater => Step::Wait,
        std::cmp::Ordering::Less if pending.lower < MAX_LOWER => {
            pending.lower += 1;
            reader.want_head();
            Step::Wait
        }
        // What the service has lost is written again first.
        std::cmp::Ordering::Less if !rewrite::stuck(node) => Step::Wait,
        std::cmp::Ordering::Less => match pending.unsure {
            None => Step::reply(lost_history(head, edition)),
            Some(_) => Step::reply(unknown()),
        },
        std::cmp::Ordering::Equal => {
            pending.unsure = pending.unsure.filter(|unsure| *unsure == revision);
            rebased(node, pending)
        }
    }
}

/// The key-value service has lost editions that are in force, and this VM can't write them again: nothing may be built on
/// what it has left.
fn lost_history(head: Edition, edition: Edition) -> Reply {
    let detail = format!("the key-value service has {head}, but {edition} is in force on this VM");
    fail(Kind::PlatformDown, detail)
}

/// Decides an edit where the edition in force is the platform's.
fn rebased(node: &mut Node, pending: &mut Pending) -> Step {
    let (edition, base) = (node.sync.edition, pending.edit.base);
    if let Some(edition) = node.sync.log.find(&pending.edit.id) {
        let warnings = Vec::new();
        return Step::reply(Reply::Accepted { edition, warnings });
    }
    if base > edition {
        let detail = format!("the edit was made on {base}, but the last edition is {edition}");
        return Step::reply(fail(Kind::BadConfiguration, detail));
    }
    let next = Edition(base.0 + 1);
    if node.sync.log.first() > next {
        return older(node, pending, next);
    }
    if let Some(clash) = draft::clash(node, &pending.edit) {
        return Step::reply(Reply::Clash(Box::new(clash)));
    }
    match draft::draft(node, &pending.edit) {
        Ok(draft) => Step::Write(Box::new(draft)),
        Err(problems) => Step::reply(fail(
            Kind::BadConfiguration,
            draft::list(&problems, base, edition),
        )),
    }
}

/// Has the edits read that came after an edit's base, or refuses it where they are not kept any more.
fn older(node: &mut Node, pending: &mut Pending, next: Edition) -> Step {
    if !pending.older {
        pending.older = true;
        node.sync.reader.want_older(next);
        return Step::Wait;
    }
    if node.sync.reader.reads_older() {
        return Step::Wait;
    }
    let base = pending.edit.base;
    let detail = format!(
        "the edits after {base} are not kept any more, so it can't be said whether this edit clashes with one of \
         them or was accepted before; this call has changed nothing"
    );
    Step::reply(fail(Kind::EditUnknown, detail))
}

fn write(node: &mut Node, draft: Draft, out: &mut Effects) {
    let Some(known) = node.sync.reader.known() else {
        return;
    };
    let prefix = &node.settings.prefix;
    let revision = known.revision;
    let old = known.head.first.0.max(1);
    let Ok((head_text, _)) = store::seal(&draft.head) else {
        return;
    };
    let put = |key, value| Put {
        key,
        value,
        lease: None,
    };
    let call = Call::Txn {
        compares: vec![Compare::Changed(store::head_key(prefix), revision)],
        puts: vec![
            put(store::head_key(prefix), head_text),
            put(
                store::edit_key(prefix, draft.head.edition),
                draft.text.clone(),
            ),
        ],
        deletes: (old..draft.head.first.0)
            .map(|n| store::edit_key(prefix, Edition(n)))
            .collect(),
    };
    let op = node.ops.call(Owner::Sync, call, out);
    node.sync.commits.write = Some(Write {
        op,
        sent: node.now,
        head: draft.head,
        text: draft.text,
        warnings: draft.warnings,
        revision,
    });
}

/// The write came back.
pub(crate) fn answered(node: &mut Node, outcome: Outcome, out: &mut Effects) {
    let Some(write) = node.sync.commits.write.take() else {
        return;
    };
    match outcome {
        Outcome::Done(reply) => {
            reader::succeeded(node, out);
            node.sync
                .reader
                .learn(write.head.clone(), reply.revision, reply.revision);
            accepted(node, write, out);
        }
        Outcome::Conflict => {
            reader::succeeded(node, out);
            node.sync.reader.want_head();
        }
        Outcome::NotSent => {
            reader::failed(node, out);
            node.sync.reader.want_head();
            unread(node, true, out);
        }
        Outcome::Unknown => {
            reader::failed(node, out);
            node.sync.reader.want_head();
            if let Some(pending) = node.sync.commits.waiting.front_mut() {
                pending.unsure = Some(write.revision);
            }
        }
    }
}

fn accepted(node: &mut Node, write: Write, out: &mut Effects) {
    apply::edits(node, std::iter::once(write.text), out);
    if let Some(pending) = node.sync.commits.waiting.pop_front() {
        let edition = write.head.edition;
        let warnings = write.warnings;
        answer(
            pending.ticket,
            &pending.edit,
            Reply::Accepted { edition, warnings },
            out,
        );
    }
    snapshot::consider(node);
}

/// The platform could not be read. Where the call did not reach it, operators are told at once.
pub(crate) fn unread(node: &mut Node, unsent: bool, out: &mut Effects) {
    let commits = &mut node.sync.commits;
    let in_progress = commits.write.is_some();
    let waiting = std::mem::take(&mut commits.waiting);
    for (number, mut pending) in waiting.into_iter().enumerate() {
        let written = pending.unsure.is_some() || (in_progress && number == 0);
        pending.older = false;
        if unsent && !written {
            let reply = down(&node.settings.tuning);
            answer(pending.ticket, &pending.edit, reply, out);
        } else {
            node.sync.commits.waiting.push_back(pending);
        }
    }
}

/// Gives up a write that is not answered, and edits that have waited too long.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let (now, tuning) = (node.now, &node.settings.tuning);
    let (lost, bound) = (call_timeout(tuning), edit_timeout(tuning));
    let commits = &node.sync.commits;
    if commits
        .write
        .as_ref()
        .is_some_and(|write| now.since(write.sent) > lost)
    {
        answered(node, Outcome::Unknown, out);
    }
    while let Some(pending) = node.sync.commits.waiting.front()
        && now.since(pending.since) > bound
    {
        give_up(node, out);
    }
}

/// Answers the first edit, which has waited too long, with what is known of it.
fn give_up(node: &mut Node, out: &mut Effects) {
    let commits = &mut node.sync.commits;
    let written = commits.write.take().is_some();
    let Some(pending) = commits.waiting.pop_front() else {
        return;
    };
    node.sync.reader.want_head();
    let reply = match pending.unsure {
        _ if written => unknown(),
        Some(_) => unknown(),
        None if node.sync.reader.reachable() => fail(
            Kind::Overloaded,
            "the edit could not be committed in time; repeat it",
        ),
        None => down(&node.settings.tuning),
    };
    answer(pending.ticket, &pending.edit, reply, out);
}

fn unknown() -> Reply {
    let detail = "the write was not answered, and the key-value service can't be read; repeat the same edit, with \
                  the same id, to learn whether it was accepted";
    fail(Kind::EditUnknown, detail)
}

fn down(tuning: &Tuning) -> Reply {
    let answer = Answer::new(
        Kind::PlatformDown,
        "the key-value service does not answer; nothing was changed",
    );
    Reply::Failed(answer.after(Tuning::span(tuning.platform_backoff_max_ms)))
}

fn fail(kind: Kind, detail: impl Into<String>) -> Reply {
    Reply::Failed(Answer::new(kind, detail))
}

fn answer(ticket: Ticket, edit: &Edit, reply: Reply, out: &mut Effects) {
    let who = format!("id={} author={}", edit.id, edit.author);
    let (code, detail) = match &reply {
        Reply::Accepted { edition, .. } => (Code::EditAccepted, format!("edition={edition} {who}")),
        Reply::Failed(answer) => (
            Code::EditRefused,
            format!("{who} kind={} ran={}", answer.kind, answer.ran),
        ),
        Reply::Clash(clash) => (
            Code::EditRefused,
            format!("{who} clash=\"{}\"", clash.subject),
        ),
        _ => (Code::EditRefused, who),
    };
    debug_assert!(!matches!(&reply, Reply::Failed(answer) if answer.ran == Ran::Yes));
    out.push(Effect::Log(Record::new(code, detail)));
    out.push(Effect::Reply { ticket, reply });
}
