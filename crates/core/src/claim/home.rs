//! The home of slots: claims are collected, written to the slot's log, and answered from what the log says.
//!
//! Each slot does one thing at a time on the key-value service: read the head, read segments, or write one. A write
//! whose answer is lost may take effect at any later time, but only as long as the head stays where it was; so the
//! next write, which compares the same head, decides between the two.

use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Incarnation, Op, Revision};
use crate::ops::Owner;
use crate::peer::{Claim, Finding, Message, Verdict};
use crate::platform::{Call, Compare, Outcome, Pair, Put};
use crate::time::{Instant, Span};

use super::log::{self, BLOCK, Entry, Head, SMALL_BLOCK};
use super::slot::{Item, Phase, Slot};
use super::{home_of, memory, results, retention, slot_of};

/// How long a slot that has another home now is remembered.
const IDLE: Span = Span::from_secs(60);

/// Times longer than a claim that an end may wait to be written, so that more fit into one write.
const END_WAITS: u64 = 25;

/// By how much the pause after a write grows at most, with the number of items written: a busy slot writes less often.
const STRETCH: u64 = 4;

/// A part of the work that an operation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// A lease for segments.
    Lease,
    /// A slot's log.
    Slot(u64),
    /// A kept result.
    Result(u64),
}

/// Whether the key-value service answers.
#[derive(Debug, Default)]
pub(super) struct Service {
    /// Whether the last call went without an answer.
    pub(super) lost: bool,
    /// When to try again.
    pub(super) retry: Instant,
    /// The time between the last two tries.
    pause: Span,
}

/// A step of a claim arrived.
pub(super) fn claimed(
    node: &mut Node,
    from: &id::Vm,
    incarnation: Incarnation,
    claim: Claim,
    out: &mut Effects,
) {
    let number = slot_of(node, &claim.key);
    let item = Item {
        key: claim.key,
        digest: claim.digest,
        run: log::Run {
            vm: from.clone(),
            incarnation,
            request: claim.request,
        },
        step: claim.step,
        maybe: false,
    };
    if node.fleet.draining && home_of(node, number) != node.settings.vm {
        say(node, vec![(item, Finding::NotHome)], out);
        return;
    }
    let (now, remembered) = (node.now, memory(node));
    let names = || log::Names::new(&node.settings.prefix, number);
    let slots = &mut node.claims.slots;
    let slot = slots
        .entry(number)
        .or_insert_with(|| Slot::new(names(), remembered, now));
    slot.used = now;
    if slot.waiting.is_empty() {
        slot.since = now;
    }
    slot.add(item);
    pump(node, number, out);
}

/// Does what can be done for a slot.
pub(super) fn pump(node: &mut Node, number: u64, out: &mut Effects) {
    let now = node.now;
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    slot.table.expire(now);
    if !matches!(slot.phase, Phase::Idle) {
        return;
    }
    if slot.verified {
        settle(node, number, out);
    }
    let Some(slot) = node.claims.slots.get(&number) else {
        return;
    };
    let (verified, due) = (slot.verified, write_due(node, slot));
    match () {
        () if slot.waiting.is_empty() => {}
        () if node.claims.service.lost && now < node.claims.service.retry => {
            deny(node, number, out);
        }
        () if !verified => read_head(node, number, out),
        () if due => write(node, number, out),
        () => {}
    }
}

/// Answers what the table decides, as far as the log was ever read.
fn settle(node: &mut Node, number: u64, out: &mut Effects) {
    let read = |slot: &&mut Slot| slot.revision.is_some();
    let Some(slot) = node.claims.slots.get_mut(&number).filter(read) else {
        return;
    };
    let said = slot.settle();
    say(node, said, out);
    results::fetch(node, number, out);
}

/// Whether the next write may and should begin.
fn write_due(node: &Node, slot: &Slot) -> bool {
    let pause = Span::from_millis(node.settings.tuning.claim_write_ms);
    let waited = node.now.since(slot.since) >= pause.times(END_WAITS);
    node.now >= slot.not_before && (slot.has_takes() || waited)
}

/// Answers claims.
pub(super) fn say(node: &mut Node, said: Vec<(Item, Finding)>, out: &mut Effects) {
    for (item, finding) in said {
        let verdict = Verdict {
            key: item.key,
            request: item.run.request,
            finding,
        };
        node.send(&item.run.vm, Message::Verdict(verdict), out);
    }
}

/// Says that the service is down to claims that nothing was or can be written for. What is known to be claimed is
/// still said to be, since what the log said once of a run stays true.
fn deny(node: &mut Node, number: u64, out: &mut Effects) {
    settle(node, number, out);
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let denied = slot.deny().into_iter();
    let said = denied.map(|item| (item, Finding::Down)).collect();
    say(node, said, out);
}

/// Begins an operation on a slot's log.
fn call(node: &mut Node, number: u64, call: Call, out: &mut Effects) -> Op {
    let op = node.ops.call(Owner::Claim, call, out);
    node.claims.jobs.insert(op, Job::Slot(number));
    op
}

fn read_head(node: &mut Node, number: u64, out: &mut Effects) {
    let Some(slot) = node.claims.slots.get(&number) else {
        return;
    };
    let key = slot.names.head();
    let op = call(node, number, Call::Get { key }, out);
    enter(node, number, Phase::Head(op));
}

fn enter(node: &mut Node, number: u64, phase: Phase) {
    if let Some(slot) = node.claims.slots.get_mut(&number) {
        slot.phase = phase;
    }
}

/// Reads the next block of segments, or ends the reading.
fn read_log(node: &mut Node, number: u64, head: Head, revision: Revision, out: &mut Effects) {
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let from = slot.table.head().next.max(head.first);
    if from >= head.next {
        slot.table.advance(head.next, head.first);
        slot.revision = Some(revision);
        slot.verified = true;
        slot.clear_doubts();
        pump(node, number, out);
        return;
    }
    slot.table.advance(from, head.first);
    let size = if head.next - from > SMALL_BLOCK {
        BLOCK
    } else {
        SMALL_BLOCK
    };
    let (prefix, end) = slot.names.block(from, size);
    let limit = u32::try_from(size).unwrap_or(u32::MAX);
    let op = call(node, number, Call::Range { prefix, limit }, out);
    let phase = Phase::Log {
        op,
        head,
        revision,
        end,
    };
    enter(node, number, phase);
}

/// Writes what waits as the next segment.
fn write(node: &mut Node, number: u64, out: &mut Effects) {
    let Some(lease) = retention::lease(node, out) else {
        return;
    };
    let now = node.now;
    let pause = Span::from_millis(node.settings.tuning.claim_write_ms);
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let batch = slot.batch();
    let head = Head {
        next: batch.number + 1,
        first: slot.table.head().first,
    };
    let put = |key, value, lease| Put { key, value, lease };
    let (segment, results) = (
        slot.names.segment(batch.number),
        slot.names.results(batch.number),
    );
    let mut puts = vec![
        put(slot.names.head(), log::encode(&head), None),
        put(segment, log::encode(&batch.entries), Some(lease)),
    ];
    if !batch.kept.is_empty() {
        puts.push(put(results, log::encode(&batch.kept), Some(lease)));
    }
    let revision = slot.revision.unwrap_or_default();
    let compares = vec![Compare::Changed(slot.names.head(), revision)];
    let txn = Call::Txn {
        compares,
        puts,
        deletes: Vec::new(),
    };
    slot.not_before = now + pause.times((batch.items.len() as u64).clamp(1, STRETCH));
    let op = call(node, number, txn, out);
    enter(node, number, Phase::Write(op, batch));
}

/// An operation came back.
pub(super) fn platform(node: &mut Node, op: Op, outcome: Outcome, out: &mut Effects) {
    note(node, &outcome);
    match node.claims.jobs.remove(&op) {
        Some(Job::Lease) => retention::leased(node, op, &outcome, out),
        Some(Job::Slot(number)) => progress(node, number, op, outcome, out),
        Some(Job::Result(number)) => results::fetched(node, number, op, outcome, out),
        None => {}
    }
}

/// Notes whether the service answers.
fn note(node: &mut Node, outcome: &Outcome) {
    let tuning = &node.settings.tuning;
    let first = Span::from_millis(tuning.platform_backoff_ms);
    let longest = Span::from_millis(tuning.platform_backoff_max_ms);
    let service = &mut node.claims.service;
    match outcome {
        Outcome::Done(_) | Outcome::Conflict => *service = Service::default(),
        Outcome::NotSent | Outcome::Unknown => {
            service.pause = service.pause.times(2).max(first).min(longest);
            service.retry = node.now + service.pause;
            service.lost = true;
        }
    }
}

/// A slot's operation came back.
fn progress(node: &mut Node, number: u64, op: Op, outcome: Outcome, out: &mut Effects) {
    let now = node.now;
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    if slot.phase.op() != Some(op) {
        return;
    }
    match (std::mem::replace(&mut slot.phase, Phase::Idle), outcome) {
        (Phase::Idle, _) => {}
        (Phase::Head(_), Outcome::Done(reply)) => head(node, number, &reply.pairs, out),
        (
            Phase::Log {
                head,
                revision,
                end,
                ..
            },
            Outcome::Done(reply),
        ) => {
            match segments(slot, head, end, reply.pairs, now) {
                Some(()) => read_log(node, number, head, revision, out),
                // The keys in it are claimed or not until its lease ends, and nothing may be claimed meanwhile.
                None => deny(node, number, out),
            }
        }
        (Phase::Write(_, batch), Outcome::Done(reply)) => {
            slot.revision = Some(reply.revision);
            slot.since = now;
            let said = slot.written(batch, now);
            slot.clear_doubts();
            say(node, said, out);
            pump(node, number, out);
        }
        (Phase::Write(_, batch), Outcome::Conflict) => {
            slot.put_back(batch.items, false);
            slot.verified = false;
            slot.refused = true;
            pump(node, number, out);
        }
        (Phase::Write(_, batch), Outcome::Unknown) => {
            slot.put_back(batch.items, true);
            slot.verified = false;
            deny(node, number, out);
        }
        (Phase::Write(_, batch), Outcome::NotSent) => {
            slot.put_back(batch.items, false);
            deny(node, number, out);
        }
        (Phase::Head(_) | Phase::Log { .. }, _) => deny(node, number, out),
    }
}

/// The head was read.
fn head(node: &mut Node, number: u64, pairs: &[Pair], out: &mut Effects) {
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let name = slot.names.head();
    let pair = pairs.iter().find(|pair| pair.key == name);
    let revision = pair.map(|pair| pair.changed).unwrap_or_default();
    let refused = std::mem::take(&mut slot.refused);
    if slot.revision == Some(revision) {
        // Nothing was written since: a conflict came from the lease, and a write without an answer may yet arrive.
        slot.verified = true;
        if refused {
            node.claims.retention.forget();
        }
        pump(node, number, out);
        return;
    }
    let head = pair.map_or(Some(Head::default()), |pair| log::decode(&pair.value));
    let Some(head) = head else {
        // A damaged head can't be repaired from here, and nothing may be claimed without it.
        deny(node, number, out);
        return;
    };
    read_log(node, number, head, revision, out);
}

/// A block of segments was read. Takes in none of them where one can't be decoded.
fn segments(slot: &mut Slot, head: Head, end: u64, pairs: Vec<Pair>, now: Instant) -> Option<()> {
    let from = slot.table.head().next;
    let until = end.min(head.next);
    let numbered = pairs.into_iter().filter_map(|pair| {
        let number = slot.names.number(&pair.key)?;
        Some((number, pair.value))
    });
    let mut read = numbered
        .filter(|(number, _)| (from..until).contains(number))
        .map(|(number, value)| Some((number, log::decode(&value)?)))
        .collect::<Option<Vec<(u64, Vec<Entry>)>>>()?;
    read.sort_unstable_by_key(|(number, _)| *number);
    for (number, entries) in read {
        slot.table.apply(number, entries, now);
    }
    slot.table.advance(until, head.first);
    Some(())
}

/// Time has passed.
pub(super) fn tick(node: &mut Node, moved: bool, out: &mut Effects) {
    let now = node.now;
    let numbers: Vec<u64> = node.claims.slots.keys().copied().collect();
    for number in numbers {
        let home = moved.then(|| home_of(node, number));
        let Some(slot) = node.claims.slots.get_mut(&number) else {
            continue;
        };
        // Whoever is home meanwhile writes to the log, so it is looked at before it is relied on again.
        if home.is_some_and(|home| home != node.settings.vm) {
            slot.verified = false;
        }
        if !slot.verified && slot.is_idle() && now.since(slot.used) >= IDLE {
            node.claims.slots.remove(&number);
            continue;
        }
        pump(node, number, out);
    }
}
