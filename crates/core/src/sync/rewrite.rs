//! Writes editions again that are in force here and that the key-value service has lost, as after its return from a copy.
//!
//! Any VM that has their edits may do so, as long as the last edit that the service still holds is one of those that it
//! has: then the service's log is the beginning of its own. Each write compares the revision of the head, and that the
//! editions written are not there. So of several VMs one writes, an edit that was accepted meanwhile is not overwritten,
//! and where a VM ends halfway another goes on from the head that it left.

use super::log::Kept;
use super::store::{self, Head, PART_BYTES};
use super::{call_timeout, reader};
use crate::Node;
use crate::effect::{Effect, Effects};
use crate::id::{Edition, Op, Revision};
use crate::log::{Code, Record};
use crate::ops::Owner;
use crate::platform::{Call, Compare, Outcome, Put, Reply};
use crate::time::{Instant, Span};

/// How long a watcher sees a head below the edition in force before it reads it again: peers pass editions on before the
/// watch shows the head of them.
const CONFIRM: Span = Span::from_millis(500);

/// Edits in one write at most; each takes a comparison and a put, and the service bounds both.
const MAX_EDITS: usize = 32;

/// Writes in a row that found something else than they compared, after which the head is left as it is.
const MAX_CONFLICTS: u32 = 8;

/// A head by its edition and revision.
type Place = (Edition, Revision);

/// A call in progress.
#[derive(Debug)]
struct Pending {
    /// The operation.
    op: Op,
    /// When it was sent.
    sent: Instant,
    /// The head that it is based on.
    place: Place,
    /// The new head of a write; none for a read of the edit that the head names.
    head: Option<Head>,
}

/// What is known of a head that is lower than the edition in force.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The edition in force, and since when the head is known to be lower.
    lower: Option<(Edition, Instant)>,
    /// The head whose edit is one of this VM's.
    proven: Option<Place>,
    /// The head after which nothing can be written from here.
    other: Option<Place>,
    /// The call in progress.
    call: Option<Pending>,
    /// Writes in a row that found something else than they compared.
    conflicts: u32,
    /// No call before this time.
    retry_at: Instant,
}

impl State {
    /// Whether it waits for an operation.
    pub(crate) fn waits_for(&self, op: Op) -> bool {
        self.call.as_ref().is_some_and(|pending| pending.op == op)
    }
}

/// Whether this VM can't write again what the head that is known lacks.
pub(crate) fn stuck(node: &Node) -> bool {
    let place = place(node);
    place.is_some() && node.sync.rewrite.other == place
}

/// Begins the next call, where the head was read since the edition in force came and is lower.
pub(crate) fn advance(node: &mut Node, out: &mut Effects) {
    let (now, edition) = (node.now, node.sync.edition);
    let Some(place) = place(node).filter(|(head, _)| *head < edition) else {
        let state = &mut node.sync.rewrite;
        (state.lower, state.conflicts) = (None, 0);
        return;
    };
    let state = &mut node.sync.rewrite;
    let (_, since) = match state.lower {
        Some(lower) if lower.0 == edition => lower,
        _ => *state.lower.insert((edition, now)),
    };
    let reader = &mut node.sync.reader;
    let busy = reader.reads_head() || state.call.is_some() || node.sync.commits.writing();
    let early = now < state.retry_at || now < reader.retry_at;
    match state.proven {
        _ if busy || early || state.other == Some(place) => {}
        // VMs that don't watch the head know an old one most of the time; they read it for operators only.
        _ if reader.read_sent < since => {
            if node.sync.watch.mine() && now.since(since) >= CONFIRM {
                reader.want_head();
            }
        }
        Some(proven) if proven == place => write(node, place, out),
        _ if place.0 == Edition(0) && node.sync.log.first() == Edition(1) => {
            write(node, place, out);
        }
        _ if node.sync.log.digest(place.0).is_some() => {
            let key = store::edit_key(&node.settings.prefix, place.0);
            send(node, place, Call::Get { key }, None, out);
        }
        _ => give_up(node, place, "the edits are not kept here", out),
    }
}

/// The head as it is known.
fn place(node: &Node) -> Option<Place> {
    let known = node.sync.reader.known()?;
    Some((known.head.edition, known.revision))
}

fn send(node: &mut Node, place: Place, call: Call, head: Option<Head>, out: &mut Effects) {
    let op = node.ops.call(Owner::Sync, call, out);
    let sent = node.now;
    node.sync.rewrite.call = Some(Pending {
        op,
        sent,
        place,
        head,
    });
}

/// Writes the next edits after the head, as many as one write takes.
fn write(node: &mut Node, place: Place, out: &mut Effects) {
    let Some(old) = node.sync.reader.known().map(|known| known.head.clone()) else {
        return;
    };
    let prefix = &node.settings.prefix;
    let mut compares = vec![Compare::Changed(store::head_key(prefix), place.1)];
    let mut head = Head {
        first: old.first.max(Edition(1)),
        ..old
    };
    let mut puts = Vec::new();
    let mut bytes = 0;
    for (edition, kept) in node.sync.log.after(place.0).take(MAX_EDITS) {
        bytes += kept.raw.len();
        if bytes > PART_BYTES && !puts.is_empty() {
            break;
        }
        let key = store::edit_key(prefix, edition);
        compares.push(Compare::Changed(key.clone(), Revision(0)));
        puts.push(put(key, kept.raw.clone()));
        (head.edition, head.last) = (edition, kept.id.clone());
    }
    let Ok((text, _)) = store::seal(&head) else {
        return;
    };
    puts.push(put(store::head_key(prefix), text));
    let call = Call::Txn {
        compares,
        puts,
        deletes: Vec::new(),
    };
    send(node, place, call, Some(head), out);
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put {
        key,
        value,
        lease: None,
    }
}

/// The call in progress came back.
pub(crate) fn answered(node: &mut Node, outcome: Outcome, out: &mut Effects) {
    let Some(pending) = node.sync.rewrite.call.take() else {
        return;
    };
    match (outcome, pending.head) {
        (Outcome::Done(reply), Some(head)) => {
            reader::succeeded(node, out);
            written(node, pending.place, head, reply.revision, out);
        }
        (Outcome::Done(reply), None) => {
            reader::succeeded(node, out);
            compare(node, pending.place, &reply, out);
        }
        (Outcome::Conflict, _) => {
            reader::succeeded(node, out);
            conflicted(node, pending.place, out);
        }
        // A write that may have been done is found by the head that is read next.
        (Outcome::NotSent | Outcome::Unknown, _) => {
            reader::failed(node, out);
            node.sync.reader.want_head();
        }
    }
}

fn written(node: &mut Node, old: Place, head: Head, revision: Revision, out: &mut Effects) {
    let detail = format!("first={} last={}", Edition(old.0.0 + 1), head.edition);
    out.push(Effect::Log(Record::new(Code::EditionsWrittenAgain, detail)));
    let state = &mut node.sync.rewrite;
    state.proven = Some((head.edition, revision));
    state.conflicts = 0;
    node.sync.reader.learn(head, revision, revision);
}

/// Compares the edit that the head names with the one that is kept here.
fn compare(node: &mut Node, place: Place, reply: &Reply, out: &mut Effects) {
    let Some(pair) = reply.pairs.first() else {
        return give_up(node, place, "the service lacks the head's edit", out);
    };
    let theirs = Kept::read(pair.value.clone()).map(|(kept, _)| kept.digest);
    match (theirs, node.sync.log.digest(place.0)) {
        (Ok(theirs), Some(ours)) if theirs == ours => {
            node.sync.rewrite.proven = Some(place);
        }
        _ => give_up(node, place, "the service holds another edit", out),
    }
}

/// Something has changed in between, as where another VM wrote or an edit was accepted; the head that is read next shows it.
fn conflicted(node: &mut Node, place: Place, out: &mut Effects) {
    let tuning = &node.settings.tuning;
    let (least, most) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let state = &mut node.sync.rewrite;
    let wait = Span::from_millis(least << state.conflicts).min(Span::from_millis(most));
    state.retry_at = node.now + wait;
    state.conflicts += 1;
    node.sync.reader.want_head();
    if node.sync.rewrite.conflicts > MAX_CONFLICTS {
        give_up(node, place, "the service holds edits after its head", out);
    }
}

/// Leaves a head to operators and to other VMs, until it changes.
fn give_up(node: &mut Node, place: Place, cause: &str, out: &mut Effects) {
    let state = &mut node.sync.rewrite;
    (state.other, state.conflicts) = (Some(place), 0);
    let edition = node.sync.edition;
    let detail = format!("edition={edition} head={} cause=\"{cause}\"", place.0);
    out.push(Effect::Log(Record::new(Code::EditionsNotWritten, detail)));
}

/// Gives up a call that is not answered.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let lost = call_timeout(&node.settings.tuning);
    let call = &node.sync.rewrite.call;
    if call
        .as_ref()
        .is_some_and(|pending| node.now.since(pending.sent) > lost)
    {
        answered(node, Outcome::Unknown, out);
    }
}

/// Adds what is broken in what is known of the head.
pub(crate) fn verify(node: &Node, broken: &mut Vec<String>) {
    let edition = node.sync.edition;
    if let Some((head, _)) = node.sync.rewrite.proven
        && head > edition
    {
        broken.push(format!(
            "the head of {head} is taken for one of {edition}'s edits"
        ));
    }
}
