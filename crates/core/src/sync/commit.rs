//! Commits operators' edits by compare-and-swap, one at a time and in the order in which they came.
//!
//! An edit is written only where every edit after its base is known, so it is never accepted twice and never over
//! one that it clashes with. A write whose answer was lost compares the revision of the head that it was made for:
//! once the head has moved on, it has either taken effect, and then its id is in the log, or it never will.

use std::collections::VecDeque;

use super::store::{self, Damage, Head, Segment};
use super::{apply, call_timeout, edit_timeout, read, snapshot};
use crate::Node;
use crate::config::rebase::{self, Scope};
use crate::config::{self, Edit, Problem};
use crate::effect::{Effect, Effects};
use crate::error::{Answer, Kind, Ran};
use crate::id::{Edition, MAX_NAME, Op, Revision, Ticket};
use crate::log::{Code, Record};
use crate::operator::{Clash, Reply};
use crate::ops::Owner;
use crate::platform::{Call, Compare, Outcome, Put};
use crate::settings::Tuning;
use crate::time::Instant;

/// Edits that may wait on one VM.
const MAX_WAITING: usize = 256;

/// Reads of a head that is lower than the edition in force before an edit is refused for it.
const MAX_LOWER: u32 = 3;

/// Edits that one write deletes at most, besides adding one.
const TRIM: u64 = 16;

/// Problems that a refusal names at most.
const MAX_PROBLEMS: usize = 10;

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

/// An edit that may be written.
struct Draft {
    /// The new head.
    head: Head,
    /// The text of the edit.
    text: Vec<u8>,
    /// What the operator may want to look at.
    warnings: Vec<String>,
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
        std::cmp::Ordering::Less if pending.lower >= MAX_LOWER => {
            Step::reply(lost_history(head, edition))
        }
        std::cmp::Ordering::Less => {
            pending.lower += 1;
            reader.want_head();
            Step::Wait
        }
        std::cmp::Ordering::Equal => {
            pending.unsure = pending.unsure.filter(|unsure| *unsure == revision);
            rebased(node, pending)
        }
    }
}

/// The key-value service has lost editions that are in force: nothing may be built on what it has left.
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
    if let Some(clash) = clash(node, &pending.edit) {
        return Step::reply(Reply::Clash(Box::new(clash)));
    }
    match draft(node, &pending.edit) {
        Ok(draft) => Step::Write(Box::new(draft)),
        Err(problems) => Step::reply(fail(Kind::BadConfiguration, list(&problems, base, edition))),
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

/// The clash of an edit with those accepted after its base.
fn clash(node: &Node, edit: &Edit) -> Option<Clash> {
    let scope = Scope::of(edit);
    let state = &node.sync;
    for (_, other) in state.log.edits_after(edit.base).rev() {
        let Some(subject) = scope.clash(&Scope::of(&other)) else {
            continue;
        };
        return Some(Clash {
            edition: state.edition,
            yours: rebase::wanted(edit, &subject),
            theirs: rebase::in_force(&state.document, &subject),
            subject: subject.to_string(),
            author: other.author,
        });
    }
    None
}

/// Tries an edit on the document, which is left as it was, and prepares its write.
fn draft(node: &mut Node, edit: &Edit) -> Result<Draft, Vec<Problem>> {
    let state = &mut node.sync;
    let undo = config::patch(&mut state.document, edit).map_err(|problem| vec![problem])?;
    let problems = config::check_after(&state.document, edit);
    let warnings = match problems.as_slice() {
        [] => config::warnings(&state.document),
        _ => Vec::new(),
    };
    undo.run(&mut state.document);
    if !problems.is_empty() {
        return Err(problems);
    }
    let unwritable = |damage: &Damage| vec![Problem::new("changes", damage.to_string())];
    let segment = Segment {
        edition: Edition(state.edition.0 + 1),
        prev: state.chain,
        edit: edit.clone(),
    };
    let (text, _) = store::seal(&segment).map_err(|damage| unwritable(&damage))?;
    if text.len() > store::MAX_EDIT_BYTES {
        let message = format!(
            "are {} bytes; split them into edits of {} bytes at most",
            text.len(),
            store::MAX_EDIT_BYTES
        );
        return Err(vec![Problem::new("changes", message)]);
    }
    let head = new_head(node, &segment);
    let warnings = warnings.iter().map(ToString::to_string).collect();
    Ok(Draft {
        head,
        text,
        warnings,
    })
}

/// The head after an edit. Edits that the last snapshot makes needless go, a few with each write.
fn new_head(node: &Node, segment: &Segment) -> Head {
    let old = node
        .sync
        .reader
        .known()
        .map(|known| known.head.clone())
        .unwrap_or_default();
    let keep = node.settings.tuning.snapshot_edits;
    let shown = old.snapshot.as_ref().map_or(0, |stored| stored.edition.0);
    let needed = shown.saturating_sub(keep) + 1;
    let first = old.first.0.max(1);
    Head {
        edition: segment.edition,
        last: segment.edit.id.clone(),
        first: Edition(needed.min(first + TRIM).max(first)),
        snapshot: old.snapshot,
    }
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
            read::succeeded(node, out);
            node.sync
                .reader
                .learn(write.head.clone(), reply.revision, reply.revision);
            accepted(node, write, out);
        }
        Outcome::Conflict => {
            read::succeeded(node, out);
            node.sync.reader.want_head();
        }
        Outcome::NotSent => {
            read::failed(node, out);
            node.sync.reader.want_head();
            unread(node, true, out);
        }
        Outcome::Unknown => {
            read::failed(node, out);
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

fn list(problems: &[Problem], base: Edition, edition: Edition) -> String {
    let mut lines: Vec<_> = problems
        .iter()
        .take(MAX_PROBLEMS)
        .map(ToString::to_string)
        .collect();
    if problems.len() > MAX_PROBLEMS {
        lines.push(format!("and {} more", problems.len() - MAX_PROBLEMS));
    }
    if base < edition {
        lines.push(format!(
            "the edit was made on {base}; {edition} is in force now"
        ));
    }
    lines.join("; ")
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
