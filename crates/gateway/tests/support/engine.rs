//! A fake backend server: an engine that holds adapters, or a server of a plain service.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Resident, ResidentModel};
use dahliastile_gateway::effect::Order;
use dahliastile_gateway::event::{OrderOutcome, Report};

use super::setup::MODEL;

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 20;
/// Duration of a decoding step, which yields one token of each running request.
const DECODE_STEP: Span = Span::from_millis(9);
/// Adapter copies that the machine of an engine keeps by default.
const LOCAL_COPIES: usize = 24;
/// Time to load an adapter from the weight store. Loading it from a local copy takes a tenth of it.
pub const LOAD_TIME: Span = Span::from_millis(250);

/// An adapter slot of an engine, with the adapter that it holds.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Version of the adapter.
    pub version: u64,
    /// When the adapter is loaded and accepts requests.
    pub ready_at: Instant,
    /// When the last request that uses the adapter ends.
    pub busy_until: Instant,
}

/// A backend server and its faults.
// Tests set each fault on its own.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct Engine {
    /// ID of the server.
    pub id: Server,
    /// Whether the server is an engine, which holds adapters, and not a server of a plain service.
    pub holds_adapters: bool,
    /// The adapters that the engine holds or loads.
    pub slots: BTreeMap<Arc<str>, Slot>,
    /// When the load of the base model is complete; `None` without a base model.
    pub base_ready_at: Option<Instant>,
    /// The most adapters that the engine can hold. One more load crashes it.
    pub max_adapters: usize,
    /// Number of accepted orders. An order that expects another number is rejected.
    pub accepted_orders: u64,
    /// Highest fencing token seen. Orders with a lower one are rejected.
    pub highest_fence: u64,
    /// When the prefill of all accepted prompts is complete.
    pub prefill_done_at: Instant,
    /// When the current span of prefill without a gap began, and the length of the longest such span.
    pub prefill_busy: (Instant, Span),
    /// Whether the server runs and accepts connections.
    pub up: bool,
    /// Why the engine crashed, if an order to load an adapter into a full engine crashed it.
    pub crash_reason: Option<String>,
    /// Fencing tokens of the orders on adapters, with the times when they came.
    pub accepted_fences: Vec<(Instant, u64)>,
    /// Time and fencing token of the last order that was rejected because its token was too low.
    pub stale_fence: Option<(Instant, u64)>,
    /// Whether the server rejects all requests.
    pub in_cooldown: bool,
    /// Whether the server answers each request with a failure after running it.
    pub failing: bool,
    /// The status of that answer.
    pub failure_status: u16,
    /// Number of adapter loads.
    pub loads: u32,
    /// Number of adapter loads from the weight store.
    pub fetches: u32,
    /// Adapters of which the engine's machine keeps a copy, the most recently used one last.
    pub local_copies: Vec<Arc<str>>,
    /// The most adapter copies that the engine's machine keeps.
    pub local_copy_capacity: usize,
    /// Incarnation of the server: a restart under the same ID changes it.
    pub incarnation: Incarnation,
    /// The period in which prefill takes longer; `None` if it never does. Set before the period begins.
    pub slow_period: Option<SlowPeriod>,
}

/// A period in which the prefill of an engine takes longer.
#[derive(Clone, Copy, Debug)]
pub struct SlowPeriod {
    /// When it begins.
    pub from: Instant,
    /// When it ends.
    pub until: Instant,
    /// How many times longer prefill takes; `None` if it makes no progress.
    pub factor: Option<u64>,
}

impl SlowPeriod {
    /// Returns when a prefill ends that begins at `start` and takes `span` at full speed.
    fn prefill_end(&self, start: Instant, span: Span) -> Instant {
        let before = self.from.since(start);
        if start >= self.until || span <= before {
            return start + span;
        }
        let (slow_start, rest) = (start.max(self.from), span - before);
        let done = self.factor.map_or(Span::ZERO, |factor| {
            Span(self.until.since(slow_start).0 / factor)
        });
        match self.factor {
            Some(factor) if rest <= done => slow_start + rest.times(factor),
            _ => self.until + (rest - done),
        }
    }
}

impl Engine {
    /// Returns a server that has just started: an engine that holds the base model, or a server of a plain
    /// service.
    pub fn new(id: &str, is_engine: bool, max_adapters: usize) -> Self {
        Self {
            id: super::setup::name(id),
            holds_adapters: is_engine,
            slots: BTreeMap::new(),
            base_ready_at: Some(Instant::default()),
            max_adapters,
            accepted_orders: 0,
            highest_fence: 0,
            prefill_done_at: Instant::default(),
            prefill_busy: (Instant::default(), Span::ZERO),
            up: true,
            crash_reason: None,
            accepted_fences: Vec::new(),
            stale_fence: None,
            in_cooldown: false,
            failing: false,
            failure_status: 500,
            loads: 0,
            fetches: 0,
            local_copies: Vec::new(),
            local_copy_capacity: LOCAL_COPIES,
            incarnation: Incarnation(1),
            slow_period: None,
        }
    }

    /// Restarts the server under the same ID. It holds the base model and nothing else.
    pub fn restart(&mut self, now: Instant, incarnation: Incarnation) {
        self.slots.clear();
        self.local_copies.clear();
        self.base_ready_at = Some(now);
        self.accepted_orders = 0;
        self.highest_fence = 0;
        self.prefill_done_at = Instant::default();
        self.up = true;
        self.incarnation = incarnation;
    }

    /// Executes an order. An order that names no version loads version `newest` of the adapter.
    pub fn execute_order(&mut self, now: Instant, newest: u64, order: &Order) -> OrderOutcome {
        match order {
            _ if order.fence < self.highest_fence => {
                self.stale_fence = Some((now, order.fence));
                return OrderOutcome::Fenced;
            }
            _ if order.expected != self.accepted_orders => return OrderOutcome::Conflict,
            _ => self.highest_fence = order.fence,
        }
        let Some(adapter) = &order.adapter else {
            self.accepted_orders = self.accepted_orders.saturating_add(1);
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
            self.accepted_orders = self.accepted_orders.saturating_add(1);
        }
        outcome
    }

    /// Loads an adapter, after the requests that use an earlier version of the adapter. Crashes the engine if
    /// all adapter slots are taken.
    fn load(&mut self, now: Instant, adapter: &Arc<str>, version: u64) -> OrderOutcome {
        let busy_until = self.slots.get(adapter).map_or(now, |slot| slot.busy_until);
        if !self.slots.contains_key(adapter) && self.slots.len() >= self.max_adapters {
            self.crash_reason = Some(format!(
                "adapter {} was loaded while all {} adapter slots were taken",
                adapter, self.max_adapters
            ));
            self.up = false;
            return OrderOutcome::Unknown;
        }
        self.loads += 1;
        let has_local_copy = self.local_copies.contains(adapter);
        self.fetches += u32::from(!has_local_copy);
        self.touch_local_copy(adapter);
        let duration = if has_local_copy {
            Span(LOAD_TIME.0 / 10)
        } else {
            LOAD_TIME
        };
        let ready_at = busy_until.max(now) + duration;
        self.slots.insert(
            adapter.clone(),
            Slot {
                version,
                ready_at,
                busy_until,
            },
        );
        OrderOutcome::Accepted
    }

    /// Marks the local copy of an adapter as the most recently used one, and removes the least recently used
    /// copies beyond the capacity.
    fn touch_local_copy(&mut self, adapter: &Arc<str>) {
        self.local_copies.retain(|other| other != adapter);
        self.local_copies.push(adapter.clone());
        let excess = self
            .local_copies
            .len()
            .saturating_sub(self.local_copy_capacity);
        self.local_copies.drain(..excess);
    }

    /// Unloads an adapter, unless a request uses it.
    fn unload(&mut self, now: Instant, adapter: &Arc<str>) -> OrderOutcome {
        match self.slots.get(adapter) {
            Some(slot) if slot.busy_until > now => OrderOutcome::Accepted,
            _ => {
                self.slots.remove(adapter);
                OrderOutcome::Holds
            }
        }
    }

    /// Accepts a request to an adapter and returns when its answer starts and ends. Returns `None` where the
    /// adapter is not loaded in the version asked for.
    pub fn accept_request(
        &mut self,
        now: Instant,
        adapter: &Arc<str>,
        version: Option<u64>,
        prompt: u32,
        output: u32,
    ) -> Option<(Instant, Instant)> {
        if self.slots.contains_key(adapter) {
            self.touch_local_copy(adapter);
        }
        let slot = self.slots.get_mut(adapter)?;
        if slot.ready_at > now || version.is_some_and(|v| v != slot.version) {
            return None;
        }
        if now > self.prefill_done_at {
            self.prefill_busy.0 = now;
        }
        let begin = self.prefill_done_at.max(now);
        let prefill = Span::from_millis(u64::from(prompt) / PREFILL_TOKENS_PER_MS);
        let answer_starts = self
            .slow_period
            .map_or(begin + prefill, |slow| slow.prefill_end(begin, prefill));
        let answer_ends = answer_starts + DECODE_STEP.times(u64::from(output));
        self.prefill_done_at = answer_starts;
        self.prefill_busy.1 = self
            .prefill_busy
            .1
            .max(answer_starts.since(self.prefill_busy.0));
        slot.busy_until = slot.busy_until.max(answer_ends);
        Some((answer_starts, answer_ends))
    }

    /// Returns the engine's report of what it holds and loads.
    pub fn report(&self, now: Instant) -> Report {
        let resident = |(name, slot): (&Arc<str>, &Slot)| Resident {
            adapter: name.clone(),
            version: slot.version,
        };
        let (loaded, loading): (Vec<_>, Vec<_>) = self
            .slots
            .iter()
            .partition(|(_, slot)| slot.ready_at <= now);
        let base = ResidentModel {
            model: MODEL.into(),
            version: 1,
            adapters: loaded.into_iter().map(resident).collect(),
        };
        Report {
            models: if self.base_ready_at.is_some_and(|at| at <= now) {
                vec![base]
            } else {
                Vec::new()
            },
            loading: loading
                .into_iter()
                .map(|(name, slot)| (MODEL.into(), name.clone(), slot.version))
                .collect(),
            local_models: Vec::new(),
            busy: self.base_ready_at.is_some_and(|at| at > now),
            orders: self.accepted_orders,
            start: Some(self.incarnation),
        }
    }
}
