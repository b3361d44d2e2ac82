//! When the deadlines of requests pass.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::id::Request;
use crate::time::Instant;

/// The deadlines of requests in progress. A request that ended leaves its entry behind, which is dropped when its time
/// comes or when most entries are such: ending a request costs nothing here, and nothing is allocated once the heap
/// has its size.
#[derive(Clone, Debug, Default)]
pub(super) struct Deadlines {
    /// Entries, first to pass first.
    heap: BinaryHeap<Reverse<(Instant, Request)>>,
}

/// Entries left behind that are not worth a sweep.
const FEW: usize = 1_024;

impl Deadlines {
    /// Adds a request's deadline.
    pub(super) fn push(&mut self, deadline: Instant, request: Request) {
        self.heap.push(Reverse((deadline, request)));
    }

    /// Takes the next request whose time has come; it may have ended before.
    pub(super) fn pop(&mut self, now: Instant) -> Option<Request> {
        match self.heap.peek() {
            Some(Reverse((deadline, _))) if *deadline <= now => {}
            Some(_) | None => return None,
        }
        self.heap.pop().map(|Reverse((_, request))| request)
    }

    /// Drops entries of requests that ended, where most are such. `count` is the number of requests in progress.
    pub(super) fn sweep(&mut self, count: usize, in_progress: impl Fn(Request) -> bool) {
        if self.heap.len() > 2 * count + FEW {
            self.heap
                .retain(|Reverse((_, request))| in_progress(*request));
        }
    }

    /// All entries: for the verifier.
    pub(super) fn all(&self) -> BTreeSet<(Instant, Request)> {
        self.heap.iter().map(|Reverse(entry)| *entry).collect()
    }
}
