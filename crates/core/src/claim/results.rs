//! Kept results: read when a key comes again, and not before.

use crate::Node;
use crate::effect::Effects;
use crate::id::Op;
use crate::ops::Owner;
use crate::peer::{Finding, Outcome as Ending};
use crate::platform::{Call, Outcome};

use super::home::{Job, say};
use super::log::{self, Kept};

/// Reads the next kept result that a repeated claim waits for.
pub(super) fn fetch(node: &mut Node, number: u64, out: &mut Effects) {
    let lost = node.claims.service.lost && node.now < node.claims.service.retry;
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let segment = slot.fetching.first().map(|(segment, _)| *segment);
    let Some(segment) = segment.filter(|_| slot.fetch.is_none()) else {
        return;
    };
    if lost {
        without_results(node, number, segment, out);
        return;
    }
    let key = slot.names.results(segment);
    let op = node.ops.call(Owner::Claim, Call::Get { key }, out);
    slot.fetch = Some((op, segment));
    node.claims.jobs.insert(op, Job::Result(number));
}

/// A read of kept results came back.
pub(super) fn fetched(node: &mut Node, number: u64, op: Op, outcome: Outcome, out: &mut Effects) {
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let Some((_, segment)) = slot.fetch.filter(|(fetch, _)| *fetch == op) else {
        return;
    };
    slot.fetch = None;
    let Outcome::Done(reply) = outcome else {
        without_results(node, number, segment, out);
        return;
    };
    let value = reply.pairs.first().map(|pair| pair.value.as_slice());
    let kept: Vec<Kept> = value.and_then(log::decode).unwrap_or_default();
    let said = slot.fetched(segment).into_iter().map(|item| {
        let result = kept.iter().find(|kept| kept.key == item.key).cloned();
        let ending = result.map_or(Ending::Whole, Kept::outcome);
        (item, Finding::Taken(Some(ending)))
    });
    let said = said.collect();
    say(node, said, out);
    fetch(node, number, out);
}

/// Answers repeated claims whose result can't be read: the first run ended whole.
fn without_results(node: &mut Node, number: u64, segment: u64, out: &mut Effects) {
    let Some(slot) = node.claims.slots.get_mut(&number) else {
        return;
    };
    let items = slot.fetched(segment).into_iter();
    let said = items.map(|item| (item, Finding::Taken(Some(Ending::Whole))));
    let said = said.collect();
    say(node, said, out);
    fetch(node, number, out);
}
