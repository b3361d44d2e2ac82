//! What the log of one slot says of each key. It changes only by entries that are in the log, in their order, so
//! every VM that has read as far has the same table.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use crate::id;
use crate::peer::Key;
use crate::time::{Instant, Span};

use super::log::{Entry, Head, Mark, Run};

/// Into how many parts the time for which keys are kept is divided, to tell which segments are gone.
const PARTS: u64 = 64;

/// How the run that a key was claimed for ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It has not, as far as the log says.
    Open,
    /// It was not run, and the key is free again.
    Freed,
    /// With a whole answer, kept beside the segment of that number.
    Kept(u64),
    /// With a whole answer that is not kept.
    Whole,
    /// It may have run; its answer was not whole.
    Unknown,
}

/// What is known of a key.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// The hash of what was asked.
    pub(super) digest: u64,
    /// The request that it was last claimed for.
    pub(super) run: Run,
    /// How that ended.
    pub(super) ending: Ending,
    /// When it is forgotten.
    until: Instant,
}

/// The keys of one slot.
#[derive(Debug)]
pub(super) struct Table {
    /// How long a key is remembered here: longer than its segment is there.
    keep: Span,
    /// The keys.
    keys: FxHashMap<Key, Held>,
    /// Keys in the order in which they are forgotten.
    order: VecDeque<(Instant, Key)>,
    /// The entries that are applied end before this segment, and those that are left begin here.
    head: Head,
    /// Segments, and when those below each of them are gone.
    marks: VecDeque<(Instant, u64)>,
    /// Names of VMs, so that equal names share their text.
    vms: BTreeSet<id::Vm>,
}

impl Table {
    /// A table of an empty log.
    pub(super) fn new(keep: Span) -> Self {
        Self {
            keep,
            keys: FxHashMap::default(),
            order: VecDeque::new(),
            head: Head::default(),
            marks: VecDeque::new(),
            vms: BTreeSet::new(),
        }
    }

    /// What is known of a key.
    pub(super) fn get(&self, key: &Key) -> Option<&Held> {
        self.keys.get(key)
    }

    /// How far the log is applied.
    pub(super) const fn head(&self) -> Head {
        self.head
    }

    /// Goes on to a segment: those before it are applied or are gone.
    pub(super) fn advance(&mut self, next: u64, first: u64) {
        self.head.next = next;
        self.head.first = self.head.first.max(first).min(next);
    }

    /// Applies a segment.
    pub(super) fn apply(&mut self, number: u64, entries: Vec<Entry>, now: Instant) {
        let until = now + self.keep;
        for entry in entries {
            self.apply_entry(number, entry, until);
        }
        let part = Span(self.keep.0 / PARTS);
        let due = |last: &(Instant, u64)| until >= last.0 + part;
        if self.marks.back().is_none_or(due) {
            self.marks.push_back((until, number));
        }
    }

    fn apply_entry(&mut self, number: u64, entry: Entry, until: Instant) {
        let run = self.intern(entry.run);
        let ending = match entry.mark {
            Mark::Take => Ending::Open,
            Mark::Free => Ending::Freed,
            Mark::Kept => Ending::Kept(number),
            Mark::Whole => Ending::Whole,
            Mark::Unknown => Ending::Unknown,
        };
        let held = self.keys.get_mut(&entry.key);
        match held {
            Some(held) if held.run == run => {
                // The first end that is known stands, and a claim that comes again begins nothing anew.
                if held.ending == Ending::Open {
                    held.ending = ending;
                }
            }
            Some(held) if held.ending != Ending::Freed => {}
            _ => {
                let held = Held {
                    digest: entry.digest,
                    run,
                    ending,
                    until,
                };
                self.keys.insert(entry.key, held);
                self.order.push_back((until, entry.key));
            }
        }
    }

    fn intern(&mut self, mut run: Run) -> Run {
        match self.vms.get(&run.vm) {
            Some(vm) => run.vm = vm.clone(),
            None => {
                self.vms.insert(run.vm.clone());
            }
        }
        run
    }

    /// Forgets what is over.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((until, key)) = self.order.front().copied().filter(|(at, _)| *at <= now) {
            self.order.pop_front();
            if self.keys.get(&key).is_some_and(|held| held.until <= until) {
                self.keys.remove(&key);
            }
        }
        while let Some((_, number)) = self.marks.front().filter(|(at, _)| *at <= now) {
            self.head.first = self.head.first.max(*number);
            self.marks.pop_front();
        }
        if self.keys.is_empty() {
            self.vms.clear();
        }
    }

    /// How many keys are remembered.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Adds what is broken.
    pub(super) fn verify(&self, broken: &mut Vec<String>) {
        if self.head.first > self.head.next {
            broken.push(format!("claims: {:?} is out of order", self.head));
        }
        if self.order.len() < self.len() {
            broken.push("claims: keys that are never forgotten".to_owned());
        }
        if !self.order.iter().is_sorted_by_key(|(at, _)| *at) {
            broken.push("claims: keys are not forgotten in order".to_owned());
        }
    }
}
