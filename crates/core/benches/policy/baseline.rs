//! Policies to compare with: uncoordinated ones, and one that knows the arrivals.

use std::collections::{BTreeMap, VecDeque};

use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use crate::trace::Micros;
use crate::world::{Ask, Policy, World};

/// How a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// A random engine, a random victim.
    Random,
    /// The least loaded engine, the least recently used victim.
    Lru,
    /// The least loaded engine that has the adapter, else as [`Style::Lru`].
    LruAware,
    /// The engine by rendezvous hashing, the least recently used victim.
    Hash,
    /// Knows the arrivals: the pooled victim that is needed last, load on arrival.
    Oracle,
}

/// A baseline.
pub struct Baseline {
    style: Style,
    rng: ChaCha8Rng,
    /// Requests that wait for an adapter on an engine.
    cold: BTreeMap<(usize, usize), Vec<Ask>>,
    /// Adapters that wait for a slot of an engine.
    want: Vec<VecDeque<usize>>,
    /// The arrivals of each adapter, for the oracle.
    uses: BTreeMap<usize, Vec<Micros>>,
}

impl Baseline {
    /// A baseline for a world.
    pub fn new(style: Style, world: &World, seed: u64) -> Self {
        let mut uses: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
        for arrival in &world.trace {
            uses.entry(arrival.adapter).or_default().push(arrival.at);
        }
        Self {
            style,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cold: BTreeMap::new(),
            want: vec![VecDeque::new(); world.engines.len()],
            uses,
        }
    }

    fn choose(&mut self, world: &World, adapter: usize) -> usize {
        let engines = 0..world.engines.len();
        let load = |engine: &usize| self.load_of(world, *engine);
        let has = |engine: &usize| world.engines[*engine].residents.contains_key(&adapter);
        let holding = engines.clone().filter(has).min_by_key(load);
        match (self.style, holding) {
            (Style::Random, _) => self.rng.random_range(engines),
            (Style::Hash, _) => engines
                .max_by_key(|engine| mix(adapter, *engine))
                .expect("engines"),
            (Style::LruAware | Style::Oracle, Some(engine)) => engine,
            (Style::Oracle, None) => self
                .last_needed(world)
                .unwrap_or_else(|| (0..world.engines.len()).min_by_key(load).expect("engines")),
            (Style::Lru | Style::LruAware, _) => engines.min_by_key(load).expect("engines"),
        }
    }

    fn load_of(&self, world: &World, engine: usize) -> usize {
        let cold = self
            .cold
            .range((engine, 0)..(engine + 1, 0))
            .map(|(_, asks)| asks.len());
        world.engines[engine].busy() + cold.sum::<usize>()
    }

    /// The engine with a free slot, or with the victim that is needed last.
    fn last_needed(&self, world: &World) -> Option<usize> {
        let free = |engine: &usize| world.has_slot(*engine) && self.want[*engine].is_empty();
        if let Some(engine) = (0..world.engines.len()).find(free) {
            return Some(engine);
        }
        let idle = |engine: &usize| self.want[*engine].is_empty();
        let victims = (0..world.engines.len()).filter(idle).filter_map(|engine| {
            self.victim_of(world, engine)
                .map(|victim| (self.next_use(world, victim), engine))
        });
        victims.max().map(|(_, engine)| engine)
    }

    fn next_use(&self, world: &World, adapter: usize) -> Micros {
        let uses = self.uses.get(&adapter).map_or(&[][..], Vec::as_slice);
        let next = uses.partition_point(|at| *at <= world.now);
        uses.get(next).copied().unwrap_or(Micros::MAX)
    }

    fn victim_of(&self, world: &World, engine: usize) -> Option<usize> {
        let residents = world.engines[engine].residents.iter();
        let idle = residents.filter(|(adapter, resident)| {
            resident.ready && resident.in_use == 0 && !self.cold.contains_key(&(engine, **adapter))
        });
        match self.style {
            Style::Oracle => idle.max_by_key(|(adapter, _)| self.next_use(world, **adapter)),
            _ => idle.min_by_key(|(_, resident)| resident.used),
        }
        .map(|(adapter, _)| *adapter)
    }

    fn random_victim(&mut self, world: &World, engine: usize) -> Option<usize> {
        let residents = world.engines[engine].residents.iter();
        let idle = residents.filter(|(_, resident)| resident.ready && resident.in_use == 0);
        idle.map(|(adapter, _)| *adapter).choose(&mut self.rng)
    }

    fn make_room(&mut self, world: &mut World, engine: usize) {
        while let Some(adapter) = self.want[engine].front().copied() {
            if !world.has_slot(engine) {
                let victim = match self.style {
                    Style::Random => self.random_victim(world, engine),
                    _ => self.victim_of(world, engine),
                };
                let Some(victim) = victim else {
                    return;
                };
                world.evict(engine, victim);
            }
            self.want[engine].pop_front();
            world.load(engine, adapter);
        }
    }
}

/// The score of an engine for an adapter in rendezvous hashing.
fn mix(adapter: usize, engine: usize) -> u64 {
    let mut x = (adapter as u64) << 32 | engine as u64;
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

impl Policy for Baseline {
    fn arrive(&mut self, world: &mut World, ask: Ask) {
        let adapter = world.trace[ask].adapter;
        let engine = self.choose(world, adapter);
        if world.submit(engine, ask) {
            return;
        }
        let waiting = self.cold.entry((engine, adapter)).or_default();
        waiting.push(ask);
        let first = waiting.len() == 1;
        if first && !world.engines[engine].residents.contains_key(&adapter) {
            self.want[engine].push_back(adapter);
        }
        self.make_room(world, engine);
    }

    fn loaded(&mut self, world: &mut World, engine: usize, adapter: usize) {
        for ask in self.cold.remove(&(engine, adapter)).unwrap_or_default() {
            world.submit(engine, ask);
        }
        self.make_room(world, engine);
    }

    fn done(&mut self, world: &mut World, engine: usize, _ask: Ask) {
        self.make_room(world, engine);
    }
}
