//! Fake model engines and weight stores: slots, batches with a step time, loads, reports that lag, and faults.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::effect::{Action, Command, Work};
use dahliastile_core::event::{Cached, Reason, Report, Resident};
use dahliastile_core::id::{self, Attempt, Boot};
use dahliastile_core::time::Span;

use super::{MS, Micros, Origin, SEC};

/// Tokens of a prompt that one step takes in.
const PREFILL: u32 = 512;
/// Tokens of a block of the prefix cache.
const BLOCK: u32 = 64;

/// Takes one from a count; says whether there was one.
pub fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count -= u32::from(some);
    some
}

/// What goes wrong at an engine. Counts are of the next times.
#[derive(Debug, Default)]
pub struct Faults {
    /// Loads that fail.
    pub fail_loads: u32,
    /// Loads that take effect though they are answered as failed.
    pub lie_loads: u32,
    /// Orders that take effect though their answers are lost.
    pub lose_answers: u32,
    /// Orders that are lost on the way.
    pub lose_orders: u32,
    /// Runs on another resident adapter than asked.
    pub wrong_adapter: u32,
    /// Runs whose stream breaks after a few tokens.
    pub break_streams: u32,
    /// Runs whose connection breaks before the first byte of the answer.
    pub break_first: u32,
    /// Requests refused as not run.
    pub refuse: u32,
    /// Requests answered with an error that does not say whether they ran; they did.
    pub reject: u32,
    /// Runs that go on for a few pieces after they were cancelled.
    pub after_cancel: u32,
    /// Runs whose last piece and end come twice.
    pub twice: u32,
    /// Pairs of runs on different adapters of which each goes on as the answer to the other's attempt. What crosses
    /// between two runs on the same adapter bears no mark by which anyone could tell.
    pub cross: u32,
    /// Runs that make no tokens until the caller gives up.
    pub hang: u32,
    /// Load reports that are not answered.
    pub mute: u32,
}

/// A weight store: one load at a time.
#[derive(Debug, Default)]
pub struct Store {
    /// When it is free.
    pub free: Micros,
    /// Loads so far.
    pub loads: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) origin: Origin,
    pub(crate) attempt: Attempt,
    pub(crate) ask: usize,
    pub(crate) run: usize,
    pub(crate) adapter: String,
    pub(crate) digest: u64,
    pub(crate) priority: i32,
    pub(crate) prefill: u32,
    pub(crate) next: u32,
    pub(crate) end: u32,
    pub(crate) begun: bool,
    pub(crate) breaks_at: Option<u32>,
    pub(crate) hangs: bool,
    pub(crate) twice: bool,
    pub(crate) lingers: u32,
    pub(crate) cancelled: bool,
    pub(crate) crossed: bool,
    pub(crate) text: Vec<u8>,
    pub(crate) tokens: u32,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub name: id::Server,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The weight store.
    pub store: String,
    /// Adapters that it holds at most.
    pub slots: usize,
    /// Sequences in a batch.
    pub batch: usize,
    /// Sequences that may wait.
    pub max_waiting: usize,
    /// Time of a step.
    pub step: Micros,
    /// Time of one load at full speed.
    pub load: Micros,
    /// Time to load the base model.
    pub base_load: Micros,
    /// Whether it checks fencing numbers.
    pub fenced: bool,
    /// Tokens in one piece of an answer.
    pub piece: u32,
    /// How old the figures of a report may be.
    pub lag: Micros,
    /// Prefix blocks that it keeps.
    pub cache_blocks: usize,
    /// What goes wrong.
    pub faults: Faults,
    /// Its present start.
    pub boot: u64,
    /// Whether it is up.
    pub up: bool,
    /// When its base model is loaded.
    pub ready_at: Micros,
    /// The highest fencing number seen.
    pub fence: u64,
    /// What is resident.
    pub residents: Vec<id::Adapter>,
    /// Loads done.
    pub loads: u64,
    /// Unloads done.
    pub unloads: u64,
    /// Steps that had anything to do.
    pub steps: u64,
    /// The sum of the batches of those steps.
    pub stepped: u64,
    pub(crate) loading: Vec<id::Adapter>,
    pub(crate) running: Vec<Running>,
    pub(crate) waiting: VecDeque<Running>,
    pub(crate) stepping: bool,
    pub(crate) report: Option<(Micros, Report)>,
    pub(crate) cache: VecDeque<u64>,
    pub(crate) cache_log: Vec<Cached>,
    pub(crate) cache_seen: BTreeMap<Origin, usize>,
}

impl Engine {
    /// An engine with small figures and its base model loaded.
    pub fn new(name: &str, zone: &str, slots: usize, batch: usize) -> Self {
        Self {
            name: name.parse().unwrap(),
            address: format!("{name}:8000"),
            zone: zone.parse().unwrap(),
            store: "store".to_owned(),
            slots,
            batch,
            max_waiting: 10_000,
            step: 9 * MS,
            load: 333 * MS,
            base_load: 70 * SEC,
            fenced: false,
            piece: 1,
            lag: 100 * MS,
            cache_blocks: 4_096,
            faults: Faults::default(),
            boot: 1,
            up: true,
            ready_at: 0,
            fence: 0,
            residents: Vec::new(),
            loads: 0,
            unloads: 0,
            steps: 0,
            stepped: 0,
            loading: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            stepping: false,
            report: None,
            cache: VecDeque::new(),
            cache_log: Vec::new(),
            cache_seen: BTreeMap::new(),
        }
    }

    /// Requests on an adapter that run or wait.
    pub fn in_flight(&self, adapter: &str) -> usize {
        let runs = self.running.iter().chain(&self.waiting);
        runs.filter(|run| run.adapter == adapter).count()
    }

    /// Sequences that run and that wait.
    pub fn busy(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Whether an adapter is resident.
    pub fn holds(&self, adapter: &str) -> bool {
        self.residents.iter().any(|name| name.as_str() == adapter)
    }

    /// The mean share of the batch in use, over steps that had anything to do.
    pub fn fill(&self) -> f64 {
        self.stepped as f64 / (self.steps.max(1) * self.batch as u64) as f64
    }

    pub(crate) fn snapshot(&self, now: Micros) -> Report {
        let residents = self.residents.iter().map(|adapter| Resident {
            adapter: adapter.clone(),
            in_flight: self.in_flight(adapter.as_str()) as u32,
        });
        Report {
            boot: Boot(self.boot),
            ready: now >= self.ready_at,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            batch: self.batch as u32,
            step: Span(self.step),
            slots: self.slots as u32,
            age: Span::ZERO,
            residents: residents.collect(),
        }
    }

    pub(crate) fn refuse(&mut self, now: Micros, work: &Work) -> Option<Reason> {
        let adapter = work.adapter.as_ref().map_or("", |name| name.as_str());
        match () {
            () if now < self.ready_at => Some(Reason::NotReady),
            () if take(&mut self.faults.refuse) => Some(Reason::Overloaded),
            () if !self.holds(adapter) => Some(Reason::NotLoaded),
            () if self.waiting.len() >= self.max_waiting => Some(Reason::Overloaded),
            () => None,
        }
    }

    /// Counts cached blocks of a prompt and keeps them all.
    pub(crate) fn prefill(&mut self, prefix: &[u64], tokens: u32) -> u32 {
        let cached = prefix.iter().take_while(|block| self.cache.contains(block));
        let cached = u32::try_from(cached.count()).unwrap() * BLOCK;
        for block in prefix {
            let known = self.cache.iter().position(|kept| kept == block);
            match known {
                Some(at) => drop(self.cache.remove(at)),
                None => self.log_cache(*block, true),
            }
            self.cache.push_back(*block);
        }
        while self.cache.len() > self.cache_blocks {
            let gone = self.cache.pop_front().unwrap();
            self.log_cache(gone, false);
        }
        tokens.saturating_sub(cached).div_ceil(PREFILL)
    }

    fn log_cache(&mut self, prefix: u64, stored: bool) {
        let seq = self.cache_log.len() as u64;
        self.cache_log.push(Cached {
            seq,
            prefix,
            stored,
        });
    }

    pub(crate) fn fill_batch(&mut self) {
        self.waiting
            .make_contiguous()
            .sort_by_key(|run| run.priority);
        while self.running.len() < self.batch {
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(run);
        }
    }

    /// Lets two runs on different adapters change places, where that is due.
    pub(crate) fn cross(&mut self) {
        let mut straight = self.running.iter_mut().filter(|run| !run.crossed);
        let Some(first) = straight.next() else {
            return;
        };
        let other = straight.find(|run| run.adapter != first.adapter);
        if let Some(other) = other.filter(|_| take(&mut self.faults.cross)) {
            (first.crossed, other.crossed) = (true, true);
            std::mem::swap(&mut first.origin, &mut other.origin);
            std::mem::swap(&mut first.attempt, &mut other.attempt);
        }
    }

    /// The effects of an order on this engine, or why it is refused.
    pub(crate) fn check(&mut self, now: Micros, command: &Command) -> Result<(), Reason> {
        match &command.action {
            _ if self.fenced && command.fence.0 < self.fence => return Err(Reason::StaleFence),
            Action::Load(_) if now < self.ready_at => return Err(Reason::NotReady),
            Action::Load(adapter) if self.loading.contains(adapter) => return Err(Reason::Loading),
            Action::Load(adapter) if self.residents.contains(adapter) => {}
            Action::Load(_) if self.residents.len() + self.loading.len() >= self.slots => {
                return Err(Reason::NoSlot);
            }
            _ => {}
        }
        self.fence = self.fence.max(command.fence.0);
        Ok(())
    }
}
