//! A fake fleet of engines that all policies share: slots, one weight store, batches of steps. It is a measure, not a
//! simulator.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::minute::Diary;
use crate::trace::{Arrival, Deployment, Micros};

/// A request by its position in the trace.
pub type Ask = usize;

/// What a policy is told.
pub trait Policy {
    /// A request arrived.
    fn arrive(&mut self, world: &mut World, ask: Ask);
    /// An adapter became resident.
    fn loaded(&mut self, world: &mut World, engine: usize, adapter: usize);
    /// A request ended.
    fn done(&mut self, world: &mut World, engine: usize, ask: Ask);
    /// Something that the policy asked for by [`World::later`].
    fn later(&mut self, _world: &mut World, _token: u64) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Arrive(Ask),
    Step(usize),
    Loaded(usize, usize),
    Later(u64),
}

/// An adapter on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// Whether it is loaded; until then it is on its way and keeps its slot.
    pub ready: bool,
    /// Requests on it that run or wait there.
    pub in_use: u32,
    /// When it was last used.
    pub used: Micros,
    /// Whether any request came to it since its load.
    pub worked: bool,
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// What keeps its slots.
    pub residents: BTreeMap<usize, Resident>,
    /// Requests in the batch, with the tokens that are left.
    pub running: Vec<(Ask, u32)>,
    /// Requests that wait for a place in the batch.
    pub waiting: VecDeque<Ask>,
    stepping: bool,
    /// Steps made.
    pub steps: u64,
    /// Sequences in all steps together.
    pub filled: u64,
}

impl Engine {
    /// Requests that run or wait.
    pub fn busy(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether an adapter is loaded.
    pub fn ready(&self, adapter: usize) -> bool {
        self.residents
            .get(&adapter)
            .is_some_and(|resident| resident.ready)
    }
}

/// How a request fared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    /// When its adapter was ready on the engine that it went to, from its arrival.
    pub stall: Option<Micros>,
    /// When it ended.
    pub ended: Option<Micros>,
    /// Whether it was refused.
    pub refused: bool,
}

/// The fake fleet.
pub struct World {
    /// The present time.
    pub now: Micros,
    /// The deployment.
    pub deployment: Deployment,
    /// The arrivals.
    pub trace: Vec<Arrival>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// How each request fared.
    pub fates: Vec<Fate>,
    /// Loads made.
    pub loads: u64,
    /// Loads and evictions by the minute.
    pub diary: Diary,
    /// Loads that wait for the weight store.
    pub store: VecDeque<(usize, usize)>,
    store_busy: bool,
    /// For each request and engine, whether the adapter was ready at the arrival.
    warm: Vec<u64>,
    heap: BinaryHeap<Reverse<(Micros, u64, Kind)>>,
    seq: u64,
}

impl World {
    /// A fleet that will see these arrivals.
    pub fn new(deployment: &Deployment, trace: Vec<Arrival>) -> Self {
        assert!(
            deployment.engines <= 64,
            "a word holds a bit for each engine"
        );
        let mut world = Self {
            now: 0,
            engines: vec![Engine::default(); deployment.engines],
            fates: vec![Fate::default(); trace.len()],
            warm: vec![0; trace.len()],
            deployment: deployment.clone(),
            loads: 0,
            diary: Diary::default(),
            store: VecDeque::new(),
            store_busy: false,
            heap: BinaryHeap::new(),
            seq: 0,
            trace,
        };
        for ask in 0..world.trace.len() {
            world.push(world.trace[ask].at, Kind::Arrive(ask));
        }
        world
    }

    fn push(&mut self, at: Micros, kind: Kind) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq, kind)));
    }

    /// Has the policy told of a token after a delay.
    pub fn later(&mut self, delay: Micros, token: u64) {
        self.push(self.now + delay, Kind::Later(token));
    }

    /// Runs until a time.
    pub fn run<P: Policy>(&mut self, policy: &mut P, until: Micros) {
        while let Some(Reverse((at, seq, kind))) = self.heap.pop() {
            if at > until {
                self.heap.push(Reverse((at, seq, kind)));
                return;
            }
            self.now = at;
            match kind {
                Kind::Arrive(ask) => {
                    self.warm[ask] = self.warm_engines(self.trace[ask].adapter);
                    policy.arrive(self, ask);
                }
                Kind::Step(engine) => self.step(policy, engine),
                Kind::Loaded(engine, adapter) => self.finish_load(policy, engine, adapter),
                Kind::Later(token) => policy.later(self, token),
            }
        }
    }

    /// Moves all arrivals back by a span, for a policy that needs time before the first.
    pub fn hold_back(&mut self, span: Micros) {
        self.trace.iter_mut().for_each(|arrival| arrival.at += span);
        let heap = std::mem::take(&mut self.heap);
        let moved = heap.into_iter().map(|Reverse((at, seq, kind))| match kind {
            Kind::Arrive(_) => Reverse((at + span, seq, kind)),
            _ => Reverse((at, seq, kind)),
        });
        self.heap = moved.collect();
    }

    fn warm_engines(&self, adapter: usize) -> u64 {
        let ready = |engine: &(usize, &Engine)| engine.1.ready(adapter);
        self.engines
            .iter()
            .enumerate()
            .filter(ready)
            .map(|(at, _)| 1 << at)
            .sum()
    }

    /// Whether an engine has a slot to load into.
    pub fn has_slot(&self, engine: usize) -> bool {
        self.engines[engine].residents.len() < self.deployment.slots
    }

    /// Begins a load into a free slot; the weight store takes one at a time.
    pub fn load(&mut self, engine: usize, adapter: usize) {
        assert!(self.has_slot(engine), "engine {engine} has no slot");
        let resident = Resident {
            ready: false,
            in_use: 0,
            used: self.now,
            worked: false,
        };
        let before = self.engines[engine].residents.insert(adapter, resident);
        assert!(
            before.is_none(),
            "adapter {adapter} is on engine {engine} already"
        );
        self.loads += 1;
        let copy = self.warm_engines(adapter) != 0;
        self.diary.load(self.now, adapter, copy);
        self.store.push_back((engine, adapter));
        self.next_load();
    }

    fn next_load(&mut self) {
        if self.store_busy {
            return;
        }
        if let Some((engine, adapter)) = self.store.pop_front() {
            self.store_busy = true;
            self.push(
                self.now + self.deployment.load,
                Kind::Loaded(engine, adapter),
            );
        }
    }

    fn finish_load<P: Policy>(&mut self, policy: &mut P, engine: usize, adapter: usize) {
        self.store_busy = false;
        self.next_load();
        let resident = self.engines[engine].residents.get_mut(&adapter);
        resident.expect("a load keeps its slot").ready = true;
        policy.loaded(self, engine, adapter);
    }

    /// Frees a slot whose adapter is loaded and not in use.
    pub fn evict(&mut self, engine: usize, adapter: usize) {
        let resident = self.engines[engine].residents.remove(&adapter);
        let resident = resident.expect("only a resident can be evicted");
        assert!(
            resident.ready && resident.in_use == 0,
            "adapter {adapter} is in use"
        );
        self.diary.evict(self.now, adapter, resident.worked);
    }

    /// Sends a request to an engine that has its adapter; says whether it does.
    pub fn submit(&mut self, engine: usize, ask: Ask) -> bool {
        let Arrival { at, adapter, .. } = self.trace[ask];
        let warm = self.warm[ask] >> engine & 1 == 1;
        let now = self.now;
        let Some(resident) = self.engines[engine].residents.get_mut(&adapter) else {
            return false;
        };
        if !resident.ready {
            return false;
        }
        if now > at + self.deployment.deadline {
            self.fates[ask].refused = true;
            return true;
        }
        resident.in_use += 1;
        resident.used = now;
        resident.worked = true;
        self.fates[ask].stall = Some(if warm { 0 } else { now - at });
        self.engines[engine].waiting.push_back(ask);
        self.start(engine);
        true
    }

    /// Gives up a request that runs or waits on an engine.
    pub fn cancel(&mut self, engine: usize, ask: Ask) {
        let row = &mut self.engines[engine];
        let before = row.busy();
        row.running.retain(|(running, _)| *running != ask);
        row.waiting.retain(|waiting| *waiting != ask);
        if row.busy() < before {
            let resident = row.residents.get_mut(&self.trace[ask].adapter);
            resident.expect("an adapter in use is resident").in_use -= 1;
        }
    }

    fn start(&mut self, engine: usize) {
        let deployment = &self.deployment;
        let row = &mut self.engines[engine];
        while row.running.len() < deployment.batch {
            let Some(ask) = row.waiting.pop_front() else {
                break;
            };
            row.running.push((ask, self.trace[ask].tokens));
        }
        if row.stepping || row.running.is_empty() {
            return;
        }
        row.stepping = true;
        let step = deployment.step + deployment.step_each * (row.running.len() as u64 - 1);
        self.push(self.now + step, Kind::Step(engine));
    }

    fn step<P: Policy>(&mut self, policy: &mut P, engine: usize) {
        let row = &mut self.engines[engine];
        row.stepping = false;
        row.steps += 1;
        row.filled += row.running.len() as u64;
        if row.running.is_empty() {
            row.steps -= 1;
        }
        row.running.iter_mut().for_each(|(_, left)| *left -= 1);
        let (over, running): (Vec<_>, Vec<_>) =
            row.running.iter().partition(|(_, left)| *left == 0);
        row.running = running;
        for (ask, _) in over {
            let adapter = self.trace[ask].adapter;
            let resident = self.engines[engine].residents.get_mut(&adapter);
            resident.expect("an adapter in use is resident").in_use -= 1;
            self.fates[ask].ended = Some(self.now);
            policy.done(self, engine, ask);
        }
        self.start(engine);
    }
}
