//! What happened in each minute of a run: where stalls come from, and which loads were in vain.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::trace::{Micros, RUN, SEC};
use crate::world::{Fate, World};

/// A minute.
const MINUTE: Micros = 60 * SEC;
/// A load so soon after the adapter's eviction was a wrong choice of the victim.
const SOON: Micros = 10 * SEC;

/// Loads of one minute.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loads {
    /// Loads begun.
    pub begun: u64,
    /// Of these, of adapters that had been evicted shortly before.
    pub again: u64,
    /// Of these, of adapters that were on another engine too.
    pub copies: u64,
    /// Evictions of adapters that nobody had used.
    pub unused: u64,
}

/// The loads of a run, by minute.
#[derive(Clone, Debug, Default)]
pub struct Diary {
    minutes: BTreeMap<u64, Loads>,
    evicted: BTreeMap<usize, Micros>,
}

impl Diary {
    /// A load began.
    pub fn load(&mut self, now: Micros, adapter: usize, copy: bool) {
        let again = self
            .evicted
            .get(&adapter)
            .is_some_and(|at| now - at < SOON && !copy);
        let row = self.minutes.entry(now / MINUTE).or_default();
        row.begun += 1;
        row.again += u64::from(again);
        row.copies += u64::from(copy);
    }

    /// An adapter lost its slot.
    pub fn evict(&mut self, now: Micros, adapter: usize, used: bool) {
        self.evicted.insert(adapter, now);
        self.minutes.entry(now / MINUTE).or_default().unused += u64::from(!used);
    }
}

/// One line a minute: the minute's share of the mean stall, what was refused of its arrivals, and its loads.
pub fn report(world: &World, settle: Micros) -> Value {
    let settle = world
        .trace
        .first()
        .map_or(0, |first| first.at / settle.max(1) * settle);
    let part = |minute: u64| {
        let of = |at: Micros| (at - settle) / MINUTE == minute;
        let rows = world.trace.iter().zip(&world.fates);
        let fates: Vec<&Fate> = rows.filter(|(a, _)| of(a.at)).map(|(_, f)| f).collect();
        let lost = world.deployment.deadline;
        let stall: u64 = fates.iter().map(|fate| fate.stall.unwrap_or(lost)).sum();
        let rows = world.trace.iter().zip(&world.fates);
        let took: Vec<Micros> = rows
            .filter(|(a, _)| of(a.at))
            .filter_map(|(a, fate)| Some(fate.ended? - a.at))
            .collect();
        // The loads' minutes begin with the clock, so they are off by the time to settle.
        let loads = world
            .diary
            .minutes
            .get(&minute)
            .copied()
            .unwrap_or_default();
        json!({
            "minute": minute,
            "stall_share_ms": stall / 1_000 / world.fates.len().max(1) as u64,
            "whole_mean_ms": took.iter().sum::<u64>() / 1_000 / took.len().max(1) as u64,
            "refused": fates.iter().filter(|fate| fate.refused).count(),
            "stalled": fates.iter().filter(|fate| fate.stall != Some(0)).count(),
            "loads": loads.begun,
            "again": loads.again,
            "copies": loads.copies,
            "unused": loads.unused,
        })
    };
    (0..RUN / MINUTE).map(part).collect()
}
