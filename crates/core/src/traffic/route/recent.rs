//! This VM's own work on a server, and how it changed lately.

use crate::time::{Instant, Span};

/// Net changes of a count over about the last second, in a ring of short spells.
///
/// A load report is late: what this VM sent or got back since the report was made is not in it. The ring tells how
/// much that is, in constant space whatever the request rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    /// The net change in each spell.
    spells: [i32; SPELLS],
    /// The number of the latest spell since the clock's origin.
    latest: u64,
}

const SPELLS: usize = 16;
/// The length of a spell.
const SPELL: Span = Span::from_millis(64);

impl Recent {
    /// Notes a change.
    pub fn add(&mut self, now: Instant, change: i32) {
        self.advance(now);
        self.spells[slot(self.latest)] += change;
    }

    /// The net change since a point of time, to the spell; at most about a second is remembered.
    #[must_use]
    pub fn since(&self, then: Instant) -> i32 {
        let first = (then.0 / SPELL.0).max(self.latest.saturating_sub(SPELLS as u64 - 1));
        (first..=self.latest)
            .map(|spell| self.spells[slot(spell)])
            .sum()
    }

    fn advance(&mut self, now: Instant) {
        let present = now.0 / SPELL.0;
        let first = (self.latest + 1).max(present.saturating_sub(SPELLS as u64 - 1));
        for spell in first..=present {
            self.spells[slot(spell)] = 0;
        }
        self.latest = self.latest.max(present);
    }
}

fn slot(spell: u64) -> usize {
    usize::try_from(spell % SPELLS as u64).unwrap_or(0)
}
