//! One slot at a home: what waits to be written to its log, and what is being done about it.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;

use crate::id::{Op, Revision};
use crate::peer::{Finding, Key, Outcome, Step};
use crate::time::{Instant, Span};

use super::log::{Entry, Head, Kept, Mark, Names, Run};
use super::table::{Ending, Table};

/// Entries in one segment at most.
const ENTRIES: usize = 512;

/// Bytes of results beside one segment at most; written as JSON they stay below the limit of a value.
const RESULTS: usize = 160_000;

/// A step of a claim that waits.
#[derive(Clone, Debug)]
pub(super) struct Item {
    /// The key.
    pub(super) key: Key,
    /// The hash of what was asked.
    pub(super) digest: u64,
    /// The request.
    pub(super) run: Run,
    /// What is wanted.
    pub(super) step: Step,
    /// Whether a write that holds it may still take effect.
    pub(super) maybe: bool,
}

impl Item {
    /// Whether two items are the same step of the same claim.
    pub(super) fn repeats(&self, other: &Self) -> bool {
        let same = std::mem::discriminant(&self.step) == std::mem::discriminant(&other.step);
        same && self.run == other.run && self.key == other.key
    }

    fn mark(&self) -> Mark {
        match &self.step {
            Step::Take => Mark::Take,
            Step::Free => Mark::Free,
            Step::Done(Outcome::Kept { .. }) => Mark::Kept,
            Step::Done(Outcome::Whole) => Mark::Whole,
            Step::Done(Outcome::Unknown) => Mark::Unknown,
        }
    }

    fn kept_bytes(&self) -> usize {
        match &self.step {
            Step::Done(Outcome::Kept { body, .. }) => body.len(),
            _ => 0,
        }
    }
}

/// A write in progress.
#[derive(Debug)]
pub(super) struct Batch {
    /// The number of its segment.
    pub(super) number: u64,
    /// What it says.
    pub(super) entries: Vec<Entry>,
    /// The results beside it.
    pub(super) kept: Vec<Kept>,
    /// The items that it holds.
    pub(super) items: Vec<Item>,
}

/// What a slot is doing on the key-value service.
#[derive(Debug)]
pub(super) enum Phase {
    /// Nothing.
    Idle,
    /// Reading the head.
    Head(Op),
    /// Reading segments.
    Log {
        /// The operation.
        op: Op,
        /// The head up to which to read.
        head: Head,
        /// The revision of that head.
        revision: Revision,
        /// The first number after the block that is being read.
        end: u64,
    },
    /// Writing.
    Write(Op, Batch),
}

impl Phase {
    /// The operation in progress.
    pub(super) const fn op(&self) -> Option<Op> {
        match self {
            Self::Idle => None,
            Self::Head(op) | Self::Log { op, .. } | Self::Write(op, _) => Some(*op),
        }
    }
}

/// What is to be said of an item.
#[derive(Debug)]
pub(super) enum Decision {
    /// This.
    Say(Finding),
    /// The result that is kept beside that segment.
    Fetch(u64),
    /// Nothing yet: it is to be written.
    Write,
}

/// One slot.
#[derive(Debug)]
pub(super) struct Slot {
    /// Its keys on the service.
    pub(super) names: Names,
    /// What its log says.
    pub(super) table: Table,
    /// The head's revision when the table was last in line with the log; none before the log was read.
    pub(super) revision: Option<Revision>,
    /// Whether the table is taken to be in line with the log.
    pub(super) verified: bool,
    /// Whether the last write met a conflict whose cause is not known yet.
    pub(super) refused: bool,
    /// What is being done.
    pub(super) phase: Phase,
    /// Since when the first item has waited.
    pub(super) since: Instant,
    /// What waits, in order.
    pub(super) waiting: VecDeque<Item>,
    /// Repeated claims whose kept result is to be read, by segment.
    pub(super) fetching: Vec<(u64, Item)>,
    /// The read of a kept result in progress, and its segment.
    pub(super) fetch: Option<(Op, u64)>,
    /// When the next write may begin.
    pub(super) not_before: Instant,
    /// When it was last used.
    pub(super) used: Instant,
}

impl Slot {
    /// A slot whose log has not been read.
    pub(super) fn new(names: Names, keep: Span, now: Instant) -> Self {
        Self {
            names,
            table: Table::new(keep),
            revision: None,
            verified: false,
            refused: false,
            phase: Phase::Idle,
            since: now,
            waiting: VecDeque::new(),
            fetching: Vec::new(),
            fetch: None,
            not_before: now,
            used: now,
        }
    }

    /// Whether nothing is left to be done.
    pub(super) fn is_idle(&self) -> bool {
        let nothing = self.waiting.is_empty() && self.fetching.is_empty();
        nothing && self.phase.op().is_none()
    }

    /// Takes an item in, unless it is here already.
    pub(super) fn add(&mut self, item: Item) {
        let writing = match &self.phase {
            Phase::Write(_, batch) => batch.items.as_slice(),
            Phase::Idle | Phase::Head(_) | Phase::Log { .. } => &[],
        };
        let fetching = self.fetching.iter().map(|(_, item)| item);
        let mut here = self.waiting.iter().chain(writing).chain(fetching);
        if !here.any(|other| other.repeats(&item)) {
            self.waiting.push_back(item);
        }
    }

    /// Takes out what the table decides. Of each key only the first item that waits is looked at.
    pub(super) fn settle(&mut self) -> Vec<(Item, Finding)> {
        let mut said = Vec::new();
        let mut behind = FxHashSet::default();
        for item in std::mem::take(&mut self.waiting) {
            let decision = if behind.contains(&item.key) {
                Decision::Write
            } else {
                self.decide(&item)
            };
            match decision {
                Decision::Say(finding) => said.push((item, finding)),
                Decision::Fetch(segment) => self.fetching.push((segment, item)),
                Decision::Write => {
                    behind.insert(item.key);
                    self.waiting.push_back(item);
                }
            }
        }
        said
    }

    /// What the table says to an item.
    fn decide(&self, item: &Item) -> Decision {
        let Some(held) = self.table.get(&item.key) else {
            return Decision::Write;
        };
        let own = held.run == item.run;
        match (&item.step, held.ending) {
            (Step::Take, Ending::Open) if own => Decision::Say(Finding::Granted),
            (Step::Take, Ending::Freed) if own => Decision::Say(Finding::Taken(None)),
            (Step::Take, _) if held.ending != Ending::Freed && held.digest != item.digest => {
                Decision::Say(Finding::Reused)
            }
            (Step::Take, Ending::Open) => Decision::Say(Finding::Taken(None)),
            (Step::Take, Ending::Kept(segment)) => Decision::Fetch(segment),
            (Step::Take, Ending::Whole) => Decision::Say(Finding::Taken(Some(Outcome::Whole))),
            (Step::Take, Ending::Unknown) => Decision::Say(Finding::Taken(Some(Outcome::Unknown))),
            // Its end is in the log.
            (Step::Free | Step::Done(_), ending) if own && ending != Ending::Open => {
                Decision::Say(Finding::Taken(None))
            }
            // Where another has claimed the key, the table may be behind: only a write shows that nothing is to end.
            (Step::Take, Ending::Freed) | (Step::Free | Step::Done(_), _) => Decision::Write,
        }
    }

    /// Takes the next segment's items out of those that wait, all of which are to be written.
    pub(super) fn batch(&mut self) -> Batch {
        let mut batch = Batch {
            number: self.table.head().next,
            entries: Vec::new(),
            kept: Vec::new(),
            items: Vec::new(),
        };
        let mut taken = FxHashSet::default();
        let mut bytes = 0;
        while let Some(item) = self.waiting.pop_front() {
            bytes += item.kept_bytes();
            let full = batch.entries.len() >= ENTRIES || bytes > RESULTS && !batch.kept.is_empty();
            if full {
                self.waiting.push_front(item);
                break;
            }
            // A second claim of one key in one segment never gets it; it is told so after the write.
            if item.step != Step::Take || taken.insert(item.key) {
                batch.add(&item);
            }
            batch.items.push(item);
        }
        batch
    }

    /// Puts the items of a write back to the front.
    pub(super) fn put_back(&mut self, items: Vec<Item>, maybe: bool) {
        for mut item in items.into_iter().rev() {
            item.maybe |= maybe;
            self.waiting.push_front(item);
        }
    }

    /// Answers what was written, whatever the table says to it now.
    pub(super) fn written(&mut self, batch: Batch, now: Instant) -> Vec<(Item, Finding)> {
        self.table.apply(batch.number, batch.entries, now);
        let first = self.table.head().first;
        self.table.advance(batch.number + 1, first);
        let mut said = Vec::new();
        let mut left = Vec::new();
        for item in batch.items {
            match item.step {
                Step::Take => left.push(item),
                Step::Free | Step::Done(_) => said.push((item, Finding::Taken(None))),
            }
        }
        self.put_back(left, false);
        said.extend(self.settle());
        said
    }

    /// Claims of requests that certainly are in no log and can't get there now. Of a key that is in doubt nothing is
    /// said.
    pub(super) fn deny(&mut self) -> Vec<Item> {
        let all = std::mem::take(&mut self.waiting);
        let doubtful = all.iter().filter(|item| item.maybe);
        let doubtful: FxHashSet<Key> = doubtful.map(|item| item.key).collect();
        let certain = |item: &Item| item.step == Step::Take && !doubtful.contains(&item.key);
        let (denied, left) = all.into_iter().partition(certain);
        self.waiting = left;
        Vec::from(denied)
    }

    /// The claims that wait for the results beside a segment.
    pub(super) fn fetched(&mut self, segment: u64) -> Vec<Item> {
        let all = std::mem::take(&mut self.fetching);
        let (ready, left) = all.into_iter().partition(|(number, _)| *number == segment);
        self.fetching = left;
        let ready: Vec<(u64, Item)> = ready;
        ready.into_iter().map(|(_, item)| item).collect()
    }

    /// Whether any item is to be written soon, or the others have waited for long enough.
    pub(super) fn has_takes(&self) -> bool {
        self.waiting.iter().any(|item| item.step == Step::Take)
    }

    /// Notes that no write of earlier items can still take effect: the head has moved on.
    pub(super) fn clear_doubts(&mut self) {
        self.waiting.iter_mut().for_each(|item| item.maybe = false);
    }
}

impl Batch {
    fn add(&mut self, item: &Item) {
        self.entries.push(Entry {
            key: item.key,
            digest: item.digest,
            run: item.run.clone(),
            mark: item.mark(),
        });
        if let Step::Done(outcome) = &item.step {
            self.kept.extend(Kept::new(item.key, outcome));
        }
    }
}
