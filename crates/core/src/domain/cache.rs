//! What is known of prefix caches: from events that come late and with gaps, so it is a hint and never a promise.

use std::collections::VecDeque;

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashSet;

use crate::entity::Server;
use crate::event::Cached;

/// Prefixes that are remembered of one server.
const KEEP: usize = 4_096;
/// A gap of more events than this makes what was known worthless.
const GAP: u64 = 1_024;

/// One server's cache.
#[derive(Clone, Debug, Default)]
struct Cache {
    /// The last event.
    seq: u64,
    /// Prefixes that were stored and not removed, as far as events came.
    prefixes: FxHashSet<u64>,
    /// The order in which they were stored.
    order: VecDeque<u64>,
}

/// The caches of servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// One row a server.
    rows: SecondaryMap<Server, Cache>,
}

impl Table {
    /// Changes came.
    pub(crate) fn changed(&mut self, server: Server, changes: &[Cached]) {
        let cache = &mut self.rows[server];
        for change in changes {
            cache.apply(change);
        }
    }

    /// How many of a prompt's prefix blocks a server is known to hold, without a break from the first.
    pub(crate) fn longest(&self, server: Server, prefix: &[u64]) -> usize {
        let prefixes = &self.rows[server].prefixes;
        prefix
            .iter()
            .take_while(|block| prefixes.contains(block))
            .count()
    }
}

impl Cache {
    fn apply(&mut self, change: &Cached) {
        // Numbers that go back far mean that the server has started anew with an empty cache.
        let restarted = change.seq.saturating_add(GAP) < self.seq;
        let lost = change.seq > self.seq.saturating_add(GAP) && self.seq > 0;
        if restarted || lost {
            self.prefixes.clear();
            self.order.clear();
            self.seq = 0;
        }
        self.seq = self.seq.max(change.seq);
        match change.stored {
            true if self.prefixes.insert(change.prefix) => self.order.push_back(change.prefix),
            true => {}
            false => {
                self.prefixes.remove(&change.prefix);
            }
        }
        while self.order.len() > KEEP {
            if let Some(oldest) = self.order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}
