//! How much each adapter is asked for: counts that decay by half over a set time.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::entity::Adapter;
use crate::time::{Instant, Span};

/// Counts below this are forgotten.
const FORGET: f64 = 0.001;
/// Rows that one sweep looks at.
const SWEEP: usize = 256;

/// A decayed count.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// The count at the time `at`.
    value: f64,
    /// When it was last brought up to date.
    at: Instant,
}

/// The demand for the adapters of one domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    /// The counts.
    counts: BTreeMap<Adapter, Count>,
    /// Where the next sweep begins.
    cursor: Option<Adapter>,
}

impl Demand {
    /// Counts requests that arrived.
    pub(crate) fn add(&mut self, adapter: Adapter, arrived: u32, now: Instant, half_life: Span) {
        let count = self.counts.entry(adapter).or_insert(Count {
            value: 0.0,
            at: now,
        });
        count.value = decayed(*count, now, half_life) + f64::from(arrived);
        count.at = now;
    }

    /// Requests a second, as the decayed count estimates them.
    pub(crate) fn rate(&self, adapter: Adapter, now: Instant, half_life: Span) -> f64 {
        self.counts.get(&adapter).map_or(0.0, |count| {
            decayed(*count, now, half_life) * std::f64::consts::LN_2
                / half_life.as_secs_f64().max(f64::MIN_POSITIVE)
        })
    }

    /// All adapters that were asked for lately, with requests a second.
    pub(crate) fn rates(
        &self,
        now: Instant,
        half_life: Span,
    ) -> impl Iterator<Item = (Adapter, f64)> + '_ {
        self.counts
            .keys()
            .map(move |adapter| (*adapter, self.rate(*adapter, now, half_life)))
    }

    /// Forgets some of the adapters that nobody asks for any more. Looks at a bounded number of rows.
    pub(crate) fn sweep(&mut self, now: Instant, half_life: Span) {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let rows: Vec<Adapter> = self
            .counts
            .range((from, Bound::Unbounded))
            .take(SWEEP)
            .map(|(adapter, _)| *adapter)
            .collect();
        self.cursor = (rows.len() == SWEEP).then(|| rows[SWEEP - 1]);
        for adapter in rows {
            if self
                .counts
                .get(&adapter)
                .is_some_and(|count| decayed(*count, now, half_life) < FORGET)
            {
                self.counts.remove(&adapter);
            }
        }
    }
}

fn decayed(count: Count, now: Instant, half_life: Span) -> f64 {
    let lives = now.since(count.at).as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE);
    count.value * (-lives).exp2()
}
