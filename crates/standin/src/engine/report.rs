//! The lagging load report and the late, gappy cache events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::token::Model;

/// The load report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The start of the engine.
    pub boot: u64,
    /// Whether the base model is loaded.
    pub ready: bool,
    /// The requests in the batch.
    pub running: usize,
    /// The requests that wait for room in the batch.
    pub waiting: usize,
    /// The room in the batch.
    pub batch: usize,
    /// The time of one step, in microseconds.
    pub step_us: u64,
    /// The number of adapters that can be resident.
    pub slots: usize,
    /// The highest fencing number seen since the start; 0 where it is not checked.
    pub fence: u64,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// The resident adapters.
    pub adapters: Vec<Resident>,
}

/// A resident adapter in the load report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resident {
    /// The adapter and version.
    pub name: Model,
    /// The requests that wait or run on it.
    pub in_flight: usize,
}

/// Past reports, so that an old one can be given.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Reports with the times from which they were true.
    past: VecDeque<(Instant, Report)>,
}

impl Reports {
    /// Notes a change and forgets what is older than the lag needs.
    pub(crate) fn push(&mut self, now: Instant, lag: Duration, report: Report) {
        match self.past.back() {
            Some((_, last)) if *last == report => return,
            _ => self.past.push_back((now, report)),
        }
        let old = |entry: Option<&(Instant, Report)>| {
            entry.is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        };
        while old(self.past.get(1)) {
            self.past.pop_front();
        }
    }

    /// The report as of `lag` ago, or the oldest of this start.
    pub(crate) fn lagging(&self, now: Instant, lag: Duration) -> Option<Report> {
        let old = |entry: &&(Instant, Report)| now.duration_since(entry.0) >= lag;
        let (at, report) = self.past.iter().rev().find(old).or(self.past.front())?;
        let age = now.duration_since(*at).min(lag);
        Some(Report {
            age_ms: millis(age),
            ..report.clone()
        })
    }
}

/// What happened to a prefix in the cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It is in the cache from now on.
    Stored,
    /// It had to give way.
    Removed,
}

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The event's number.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// The prefix, as [`super::prefix`] hashes it.
    pub prefix: u64,
    /// The adapter and version.
    pub model: Model,
}

/// The answer of `GET /cache_events`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Events {
    /// Where to read on.
    pub next: u64,
    /// The events that are published by now.
    pub events: Vec<Event>,
}

/// The prefix cache.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// The cached prefixes, the least recently used first.
    cached: IndexSet<(u64, Model)>,
    /// All events with the times at which they happened.
    log: Vec<(Instant, Event)>,
}

impl Cache {
    /// Notes the use of a prefix.
    pub(crate) fn touch(&mut self, now: Instant, capacity: usize, prefix: u64, model: &Model) {
        let entry = (prefix, model.clone());
        if !self.cached.shift_remove(&entry) {
            self.note(now, Kind::Stored, entry.clone());
        }
        self.cached.insert(entry);
        while self.cached.len() > capacity {
            if let Some(removed) = self.cached.shift_remove_index(0) {
                self.note(now, Kind::Removed, removed);
            }
        }
    }

    /// The events from a number on that are old enough, without each `gap`-th.
    pub(crate) fn events(&self, now: Instant, from: u64, lag: Duration, gap: u64) -> Events {
        let old = |entry: &&(Instant, Event)| now.duration_since(entry.0) >= lag;
        let published = self.log.iter().take_while(old).map(|(_, event)| event);
        let lost = |seq: u64| gap > 0 && (seq + 1).is_multiple_of(gap);
        let next = published.clone().last().map_or(0, |event| event.seq + 1);
        let kept = published.filter(|event| event.seq >= from && !lost(event.seq));
        Events {
            next,
            events: kept.cloned().collect(),
        }
    }

    fn note(&mut self, now: Instant, kind: Kind, (prefix, model): (u64, Model)) {
        let seq = self.log.len() as u64;
        self.log.push((
            now,
            Event {
                seq,
                kind,
                prefix,
                model,
            },
        ));
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
