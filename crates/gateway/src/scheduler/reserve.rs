//! Keeps loads and adapter slots free for urgent requests.
//!
//! Load: bursts of the most and the least urgent requests coincide, and there are more of them than adapter slots. A
//! slot is in use as long as a stream runs, which is over a second for the least urgent ones, so that loads for them
//! leave none for the urgent requests of the next second. Loads for a request therefore leave as many loads and slots
//! free as more urgent requests needed at once in the last second, but at most half of them.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::contention::Contention;
use super::throughput::Rank;
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// How long after its last request a priority counts as in use, so that a pause of the requests of one priority does
/// not switch the feature off and on.
const PRIORITY_MEMORY: Span = Span::from_secs(10);

/// Length of a period of [`MovingMax`].
const PERIOD: Span = Span::from_millis(250);

/// Number of periods over which the maximum is taken: one second, and the current period.
const PERIODS: usize = 5;

/// Interval between two log lines about the reserve.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Maximum number of priorities in a log line.
const MAX_LOGGED_PRIORITIES: usize = 8;

/// Maximum of a number over the last second.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMax {
    /// The maximum of each period.
    maxima: [usize; PERIODS],
    /// Number of the current period.
    period: u64,
}

impl MovingMax {
    fn record(&mut self, now: Instant, value: usize) {
        let period = now.0 / PERIOD.0;
        let passed = (period - self.period).min(PERIODS as u64);
        for past in 0..passed {
            self.maxima[Self::index(period - past)] = 0;
        }
        self.period = period;
        let maximum = &mut self.maxima[Self::index(period)];
        *maximum = (*maximum).max(value);
    }

    fn value(&self) -> usize {
        self.maxima.iter().copied().max().unwrap_or(0)
    }

    #[allow(clippy::cast_possible_truncation)]
    fn index(period: u64) -> usize {
        (period % PERIODS as u64) as usize
    }
}

/// The loads for requests of one priority.
#[derive(Debug, Default)]
struct PriorityLoads {
    /// When a request of the priority last arrived.
    last_seen: Instant,
    /// When each load in progress is expected to be complete.
    in_progress: VecDeque<Instant>,
    /// Loads that wait to be started, as of the last run.
    waiting: usize,
    /// The loads in progress and waiting, of this and of all more urgent priorities.
    needed: MovingMax,
    /// Loads that were started since the last log line.
    started: usize,
    /// Loads that were put off in the current run.
    put_off: usize,
    /// Most loads that were put off in one run since the last log line.
    most_put_off: usize,
}

/// What is known of the requests of each priority. Bounded by the number of priorities.
#[derive(Debug, Default)]
pub(crate) struct Urgency {
    by_priority: BTreeMap<u8, PriorityLoads>,
    /// When the last log line was written.
    logged_at: Instant,
}

impl Urgency {
    /// Records that a request of a priority arrived.
    pub(crate) fn record_arrival(&mut self, now: Instant, priority: u8) {
        self.by_priority.entry(priority).or_default().last_seen = now;
    }

    /// Returns whether requests of different priorities arrived recently.
    pub(crate) fn priorities_differ(&self, now: Instant) -> bool {
        let recent = |loads: &&PriorityLoads| now.since(loads.last_seen) <= PRIORITY_MEMORY;
        self.by_priority.values().filter(recent).count() > 1
    }

    /// Returns how many more loads the requests that are more urgent than `priority` may need at once.
    fn needed_before(&self, priority: u8) -> usize {
        let more_urgent = || self.by_priority.range(..priority).map(|(_, loads)| loads);
        let needed = more_urgent()
            .next_back()
            .map_or(0, |loads| loads.needed.value());
        let in_progress: usize = more_urgent().map(|loads| loads.in_progress.len()).sum();
        needed.saturating_sub(in_progress)
    }

    /// Returns whether a load was put off in the current run.
    fn puts_off(&self) -> bool {
        self.by_priority.values().any(|loads| loads.put_off > 0)
    }

    /// Updates what each priority needs.
    fn update(&mut self, now: Instant) {
        let mut needed = 0;
        for loads in self.by_priority.values_mut() {
            while loads.in_progress.front().is_some_and(|end| *end <= now) {
                loads.in_progress.pop_front();
            }
            needed += loads.in_progress.len() + std::mem::take(&mut loads.waiting);
            loads.needed.record(now, needed);
            let put_off = std::mem::take(&mut loads.put_off);
            loads.most_put_off = loads.most_put_off.max(put_off);
        }
    }

    /// Returns the log line about the loads that were put off, and starts the next one.
    fn take_log(&mut self, now: Instant) -> Option<String> {
        if now.since(self.logged_at) < LOG_INTERVAL {
            return None;
        }
        self.logged_at = now;
        let mut any_put_off = false;
        let rows: Vec<String> = self
            .by_priority
            .iter_mut()
            .map(|(priority, loads)| {
                any_put_off |= loads.most_put_off > 0;
                let started = std::mem::take(&mut loads.started);
                let put_off = std::mem::take(&mut loads.most_put_off);
                let needed = loads.needed.value();
                format!("p{priority}=needed:{needed},started:{started},put_off:{put_off}")
            })
            .take(MAX_LOGGED_PRIORITIES)
            .collect();
        any_put_off.then(|| rows.join(" "))
    }
}

/// The capacity that loads leave for more urgent requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reserve {
    /// Loads from the weight store.
    pub(crate) loads: usize,
    /// Slots that are free or can be evicted.
    pub(crate) slots: usize,
}

impl Scheduler {
    /// Returns whether loads for less urgent requests leave capacity for more urgent ones.
    pub(crate) fn reserves(&self, now: Instant) -> bool {
        self.settings.uses(Feature::UrgentReserve) && self.urgency.priorities_differ(now)
    }

    /// Returns the capacity that a load for a request of this rank has to leave for more urgent requests.
    pub(crate) fn reserve_before(&self, rank: Rank) -> Reserve {
        let needed = self.urgency.needed_before(rank.priority());
        Reserve {
            loads: needed.min(self.max_concurrent_loads() / 2),
            slots: needed.min(self.engines.len() * self.engine_spec.adapter_slots / 2),
        }
    }

    /// Records whether a load for a request of this rank was started in this run.
    pub(crate) fn record_needed_load(&mut self, now: Instant, rank: Rank, outcome: LoadOutcome) {
        let load_time = self.load_time;
        let loads = self.urgency.by_priority.entry(rank.priority()).or_default();
        match outcome {
            LoadOutcome::Started => {
                loads.in_progress.push_back(now + load_time);
                loads.started += 1;
            }
            LoadOutcome::PutOff => {
                loads.waiting += 1;
                loads.put_off += 1;
            }
            LoadOutcome::NoCapacity => loads.waiting += 1,
        }
    }

    /// Updates what each priority needs, after the loads of a run were planned.
    pub(crate) fn update_urgency(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if self.urgency.puts_off() {
            self.contention.add(Contention::LoadsPutOff);
        }
        self.urgency.update(now);
        if let Some(detail) = self.urgency.take_log(now) {
            out.push(Decision::Log(Record::new(Code::LoadsReserved, detail)));
        }
    }
}

/// What became of a load that a request waits for, in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadOutcome {
    /// It was started.
    Started,
    /// It was put off, to leave capacity for more urgent requests.
    PutOff,
    /// No engine could start it.
    NoCapacity,
}
