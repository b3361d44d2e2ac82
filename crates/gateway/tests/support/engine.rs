//! A backend server: an engine that holds adapters, or a plain service.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Resident, ResidentModel};
use dahliastile_gateway::effect::Order;
use dahliastile_gateway::event::{OrderOutcome, Report};

use super::setup::MODEL;

/// Prompt tokens read in a millisecond.
const RATE: u64 = 20;
/// One step of the batch.
const STEP: Span = Span::from_millis(9);
/// Copies of adapters that lie beside an engine.
const BESIDE: usize = 24;
/// The time an adapter takes from the weight store.
pub const LOAD: Span = Span::from_millis(250);

/// An adapter at an engine.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Its version.
    pub version: u64,
    /// When it can be used.
    pub ready: Instant,
    /// Until when requests use it.
    pub busy: Instant,
}

/// A server.
// Its faults are set one by one.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its id.
    pub id: Server,
    /// Whether it has adapters.
    pub adapters: bool,
    /// Its adapters.
    pub slots: BTreeMap<Arc<str>, Slot>,
    /// Whether it holds the base model, and from when on.
    pub base_ready_at: Option<Instant>,
    /// Adapters that it holds at most.
    pub places: usize,
    /// Orders accepted.
    pub orders: u64,
    /// The highest fencing number seen.
    pub fence: u64,
    /// When the prompts given to it are read.
    pub free: Instant,
    /// When it began to read without a gap, and the longest that it did so.
    pub prefill_busy: (Instant, Span),
    /// Whether it answers at all.
    pub up: bool,
    /// Why it crashed, if it did.
    pub crash: Option<String>,
    /// The fencing numbers of the orders it accepted, with their times.
    pub accepted_fences: Vec<(Instant, u64)>,
    /// The last order under a lower number than one before, and when it came.
    pub stale_fence: Option<(Instant, u64)>,
    /// Whether it turns requests away.
    pub resting: bool,
    /// Whether it fails what it runs.
    pub failing: bool,
    /// Adapters loaded.
    pub loads: u32,
    /// Those of them that came from the weight store.
    pub fetches: u32,
    /// Copies of adapters that lie beside it, the last one used last.
    pub beside: Vec<Arc<str>>,
    /// How many do.
    pub local_copy_capacity: usize,
    /// Its start.
    pub start: Incarnation,
}

impl Engine {
    /// An engine that holds the base model.
    pub fn new(id: &str, engine: bool, places: usize) -> Self {
        Self {
            id: super::setup::name(id),
            adapters: engine,
            slots: BTreeMap::new(),
            base_ready_at: Some(Instant::default()),
            places,
            orders: 0,
            fence: 0,
            free: Instant::default(),
            prefill_busy: (Instant::default(), Span::ZERO),
            up: true,
            crash: None,
            accepted_fences: Vec::new(),
            stale_fence: None,
            resting: false,
            failing: false,
            loads: 0,
            fetches: 0,
            beside: Vec::new(),
            local_copy_capacity: BESIDE,
            start: Incarnation(1),
        }
    }

    /// It starts again under the id that it had, with its base model and nothing else.
    pub fn restart(&mut self, now: Instant, start: Incarnation) {
        self.slots.clear();
        self.beside.clear();
        self.base_ready_at = Some(now);
        self.orders = 0;
        self.fence = 0;
        self.free = Instant::default();
        self.up = true;
        self.start = start;
    }

    /// Carries an order out.
    pub fn order(&mut self, now: Instant, newest: u64, order: &Order) -> OrderOutcome {
        match order {
            _ if order.fence < self.fence => {
                self.stale_fence = Some((now, order.fence));
                return OrderOutcome::Fenced;
            }
            _ if order.expected != self.orders => return OrderOutcome::Conflict,
            _ => self.fence = order.fence,
        }
        let Some(adapter) = &order.adapter else {
            self.orders += 1;
            self.base_ready_at = Some(now + Span::from_millis(720));
            return OrderOutcome::Accepted;
        };
        if self.base_ready_at.is_none_or(|at| at > now) {
            return OrderOutcome::Invalid;
        }
        self.accepted_fences.push((now, order.fence));
        let outcome = if order.load {
            self.load(now, adapter, order.version.unwrap_or(newest))
        } else {
            self.unload(now, adapter)
        };
        if outcome != OrderOutcome::Conflict {
            self.orders += 1;
        }
        outcome
    }

    fn load(&mut self, now: Instant, adapter: &Arc<str>, version: u64) -> OrderOutcome {
        let busy = self.slots.get(adapter).map_or(now, |slot| slot.busy);
        if !self.slots.contains_key(adapter) && self.slots.len() >= self.places {
            self.crash = Some(format!("{} loaded over {} places", adapter, self.places));
            self.up = false;
            return OrderOutcome::Unknown;
        }
        self.loads += 1;
        let near = self.beside.contains(adapter);
        self.fetches += u32::from(!near);
        self.keep_beside(adapter);
        let time = if near { Span(LOAD.0 / 10) } else { LOAD };
        let ready = busy.max(now) + time;
        self.slots.insert(
            adapter.clone(),
            Slot {
                version,
                ready,
                busy,
            },
        );
        OrderOutcome::Accepted
    }

    fn keep_beside(&mut self, adapter: &Arc<str>) {
        self.beside.retain(|other| other != adapter);
        self.beside.push(adapter.clone());
        let over = self.beside.len().saturating_sub(self.local_copy_capacity);
        self.beside.drain(..over);
    }

    fn unload(&mut self, now: Instant, adapter: &Arc<str>) -> OrderOutcome {
        match self.slots.get(adapter) {
            Some(slot) if slot.busy > now => OrderOutcome::Accepted,
            _ => {
                self.slots.remove(adapter);
                OrderOutcome::Holds
            }
        }
    }

    /// Takes a draft: when its answer begins and when it ends; none where it refuses.
    pub fn draft(
        &mut self,
        now: Instant,
        adapter: &Arc<str>,
        version: Option<u64>,
        prompt: u32,
        output: u32,
    ) -> Option<(Instant, Instant)> {
        if self.slots.contains_key(adapter) {
            self.keep_beside(adapter);
        }
        let slot = self.slots.get_mut(adapter)?;
        if slot.ready > now || version.is_some_and(|v| v != slot.version) {
            return None;
        }
        if now > self.free {
            self.prefill_busy.0 = now;
        }
        let begun = self.free.max(now) + Span::from_millis(u64::from(prompt) / RATE);
        let end = begun + STEP.times(u64::from(output));
        self.free = begun;
        self.prefill_busy.1 = self.prefill_busy.1.max(begun.since(self.prefill_busy.0));
        slot.busy = slot.busy.max(end);
        Some((begun, end))
    }

    /// What it says of itself.
    pub fn report(&self, now: Instant) -> Report {
        let resident = |(name, slot): (&Arc<str>, &Slot)| Resident {
            adapter: name.clone(),
            version: slot.version,
        };
        let (there, coming): (Vec<_>, Vec<_>) =
            self.slots.iter().partition(|(_, slot)| slot.ready <= now);
        let base = ResidentModel {
            model: MODEL.into(),
            version: 1,
            adapters: there.into_iter().map(resident).collect(),
        };
        Report {
            models: if self.base_ready_at.is_some_and(|at| at <= now) {
                vec![base]
            } else {
                Vec::new()
            },
            loading: coming
                .into_iter()
                .map(|(name, slot)| (MODEL.into(), name.clone(), slot.version))
                .collect(),
            busy: self.base_ready_at.is_some_and(|at| at > now),
            orders: self.orders,
            start: Some(self.start),
        }
    }
}
