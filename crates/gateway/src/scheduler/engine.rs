//! The state of one engine: its adapters, its requests, its orders and its measured speed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dahliastile_core::id::Incarnation;
use dahliastile_core::time::{Instant, Span};

use super::adapter::{AdapterId, AdapterTable};
use super::adapter_cache::RecentAdapters;
use super::base_load::BaseLoad;
use super::cooldown::Cooldown;
use super::forecast::prefill_time;
use super::pause::Allowances;
use super::prefix_cache::PrefixCache;
use super::rates::Rates;
use super::scheduled_request::ScheduledRequest;
use super::speed::Speed;
use crate::cluster::snapshot::{Backend, Resident, Version};
use crate::effect::OrderId;
use crate::event::Report;
use crate::request::health::Health;
use crate::request::notice::rate_limiter::RateLimiter;

/// Assumed prefill rate of an engine until it is measured, in prompt tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 20.0;

/// Weight of one measurement in the moving average of the prefill rate.
const PREFILL_RATE_WEIGHT: f64 = 0.1;

/// Shortest prompt, in tokens to read, from whose time to first chunk the prefill rate is measured. About 40 ms
/// of that time are not prefill; the prefill of this many tokens takes about the same time, and that of a shorter
/// prompt less.
const MIN_MEASURED_TOKENS: u32 = 500;

/// Bounds of a measured prefill rate, in tokens per millisecond.
const PREFILL_RATE_BOUNDS: (f64, f64) = (3.0, 60.0);

/// Bound of the slowdown that is concluded from a prompt that takes longer than expected: that of a slow phase.
const MAX_SLOWDOWN: f64 = 2.5;

/// Delay from the last order to the request for a report, because a report shows the state that the engine had some
/// hundred milliseconds earlier.
pub(crate) const REPORT_LAG: Span = Span::from_millis(250);

/// State of an adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdapterState {
    /// The adapter is to be loaded; the engine has not accepted the order yet.
    LoadPlanned,
    /// The adapter is being loaded, and expected to be ready at this time.
    Loading(Instant),
    /// The adapter can be used.
    Ready,
    /// The adapter is to be unloaded.
    UnloadPlanned,
}

/// An adapter at an engine.
#[derive(Clone, Debug)]
pub(crate) struct AdapterSlot {
    /// Its version; 0 if none was ever published.
    pub(crate) version: Version,
    pub(crate) state: AdapterState,
    /// Number of requests that use it.
    pub(crate) running: u32,
    /// Whether no answer has started with it since it was loaded.
    pub(crate) is_unused: bool,
    /// How often the engine rejected a request for it since it was expected to be ready.
    pub(crate) rejections: u32,
    /// If it is expected to load from a local copy: the number of other adapters that the engine held since it
    /// last held this one.
    pub(crate) local_copy_distance: Option<usize>,
}

impl AdapterSlot {
    /// Returns whether the adapter is being loaded or is to be loaded.
    pub(crate) fn is_loading(&self) -> bool {
        matches!(
            self.state,
            AdapterState::Loading(_) | AdapterState::LoadPlanned
        )
    }

    /// Returns whether the adapter is ready and no request uses it.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.state == AdapterState::Ready
    }
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// Loads an adapter, at this version if one was published.
    Load(AdapterId, Option<Version>),
    /// Unloads an adapter.
    Unload(AdapterId),
    /// Loads a base model.
    Base(Arc<str>),
}

/// Whether an engine shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// The engine has not announced a shutdown.
    No,
    /// The engine announced a shutdown at this time, and is used as long as no other engine is available.
    Draining(Instant),
    /// The engine announced a shutdown at this time, and is not used.
    Excluded(Instant),
}

/// An order that was sent and has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) id: OrderId,
    pub(crate) intent: Intent,
}

/// An engine as the scheduler knows it.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Its entry in the key-value service.
    pub(crate) backend: Arc<Backend>,
    /// Whether its adapters and base models are known, from a report and the outcomes of all orders since.
    pub(crate) state_known: bool,
    /// When its report was last requested, if none has come since.
    pub(crate) report_requested: Option<Instant>,
    /// Whether a request for its report has no outcome yet.
    pub(crate) awaits_report: bool,
    /// Number of orders that it has accepted.
    pub(crate) accepted_orders: u64,
    /// Base models that it holds.
    pub(crate) base_models: Vec<Arc<str>>,
    /// When the base model that it loads is expected to be ready; `None` if it loads none.
    pub(crate) base_load_due: Option<Instant>,
    /// The load of a base model that is in progress, if any.
    pub(crate) base_load: Option<BaseLoad>,
    /// Base models of which its machine has a copy.
    pub(crate) local_models: Vec<Arc<str>>,
    /// Its adapters, including those to be loaded.
    pub(crate) slots: BTreeMap<AdapterId, AdapterSlot>,
    /// Adapters that it held recently.
    pub(crate) recent_adapters: RecentAdapters,
    /// Parts of prompts that it has cached.
    pub(crate) prefix_cache: PrefixCache,
    /// Number of requests that run there.
    pub(crate) running: u32,
    /// Prompt tokens that it has still to read, of the requests there whose answers have not started.
    pub(crate) unread_tokens: u64,
    /// Number of these prompts.
    pub(crate) unread_prompts: u32,
    /// Prompt tokens of all answers that have started.
    pub(crate) read_tokens: u64,
    /// The pauses that the callers of its streams allow.
    pub(crate) allowances: Allowances,
    /// Start of the current prefill: when the last answer started, or when a request came to the idle engine.
    pub(crate) prefill_since: Instant,
    /// Measured prefill rate, in prompt tokens per millisecond.
    pub(crate) prefill_rate: f64,
    /// Measured speed of its current process.
    pub(crate) speed: Speed,
    /// The speed by which it is judged in the current run.
    pub(crate) rates: Rates,
    /// Orders to be sent to it, in order.
    pub(crate) order_queue: VecDeque<Intent>,
    /// The order that has no outcome yet.
    pub(crate) pending_order: Option<PendingOrder>,
    /// Number of times that the current order was sent.
    pub(crate) order_attempts: u32,
    /// When it was last sent an order or answered one.
    pub(crate) last_order_at: Instant,
    /// Whether it shuts down.
    pub(crate) leaving: Leaving,
    /// Cooldowns that it asked for.
    pub(crate) cooldown: Cooldown,
    /// Limits the requests sent to it, if it announced a rate limit.
    pub(crate) rate_limiter: Option<RateLimiter>,
    /// Its health, from the outcomes of requests.
    pub(crate) health: Health,
    /// Whether it is deprioritized for its failures.
    pub(crate) deprioritized: bool,
    /// The incarnation that this state describes.
    pub(crate) incarnation: Option<Incarnation>,
}

impl Engine {
    pub(crate) fn new(backend: Arc<Backend>) -> Self {
        Self {
            accepted_orders: 0,
            incarnation: backend.start,
            backend,
            state_known: false,
            report_requested: None,
            awaits_report: false,
            base_models: Vec::new(),
            base_load_due: None,
            base_load: None,
            local_models: Vec::new(),
            slots: BTreeMap::new(),
            recent_adapters: RecentAdapters::default(),
            prefix_cache: PrefixCache::default(),
            running: 0,
            unread_tokens: 0,
            unread_prompts: 0,
            read_tokens: 0,
            allowances: Allowances::default(),
            prefill_since: Instant::default(),
            prefill_rate: INITIAL_PREFILL_RATE,
            speed: Speed::default(),
            rates: Rates::uniform(INITIAL_PREFILL_RATE),
            order_queue: VecDeque::new(),
            pending_order: None,
            order_attempts: 0,
            last_order_at: Instant::default(),
            leaving: Leaving::No,
            cooldown: Cooldown::default(),
            rate_limiter: None,
            health: Health::default(),
            deprioritized: false,
        }
    }

    /// Updates the engine's entry. Returns whether the entry names another incarnation than before. Entries may be
    /// written late, so the entry of an earlier incarnation may follow that of a later one; the engine's report
    /// shows which incarnation is current.
    pub(crate) fn update_backend(&mut self, backend: &Arc<Backend>) -> bool {
        if backend.base_models != self.backend.base_models
            && backend.base_models != self.base_models
        {
            self.invalidate();
        }
        let is_other_incarnation =
            backend.start != self.backend.start && backend.start != self.incarnation;
        self.backend = backend.clone();
        is_other_incarnation
    }

    /// Resets an engine that has restarted: it holds nothing, has accepted no orders and counts as healthy, and its
    /// speed is not measured. The moving average of the prefill rate stays; the caller clears `recent_adapters`.
    pub(crate) fn reset(&mut self, incarnation: Option<Incarnation>) {
        self.invalidate();
        self.incarnation = incarnation;
        self.accepted_orders = 0;
        self.base_models.clear();
        self.base_load_due = None;
        self.base_load = None;
        self.slots.clear();
        self.prefix_cache = PrefixCache::default();
        self.leaving = Leaving::No;
        self.cooldown = Cooldown::default();
        self.rate_limiter = None;
        self.health = Health::default();
        self.speed = Speed::default();
        self.last_order_at = Instant::default();
    }

    /// Marks what the engine holds as unknown, so that its report is requested.
    pub(crate) fn invalidate(&mut self) {
        self.state_known = false;
        self.report_requested = None;
        self.order_queue.clear();
        self.pending_order = None;
        self.order_attempts = 0;
    }

    /// Returns whether the engine takes requests and orders.
    pub(crate) fn is_usable(&self) -> bool {
        self.state_known && self.backend.ready && !matches!(self.leaving, Leaving::Excluded(_))
    }

    /// Returns whether the engine's rate limit allows `count` requests or orders now.
    pub(crate) fn is_within_rate_limit(&self, count: u32, now: Instant) -> bool {
        self.rate_limiter
            .as_ref()
            .is_none_or(|rate_limiter| rate_limiter.has_tokens(count, now))
    }

    /// Counts a request or an order against the rate limit. Returns whether the limit allowed it.
    pub(crate) fn count_against_rate_limit(&mut self, now: Instant) -> bool {
        self.rate_limiter
            .as_mut()
            .is_none_or(|rate_limiter| rate_limiter.try_take(now))
    }

    /// Returns whether the engine could load a base model, holds none and loads none.
    pub(crate) fn needs_base_model(&self) -> bool {
        let has_none = self.base_models.is_empty() && self.base_load_due.is_none();
        self.is_usable() && has_none && self.order_queue.is_empty() && self.pending_order.is_none()
    }

    /// Returns the estimated time until the engine has read all of its prompts and `tokens` more.
    pub(crate) fn backlog_including(&self, now: Instant, tokens: u32) -> Span {
        let rate = self.rates.now / self.slowdown(now);
        self.backlog(now) + prefill_time(u64::from(tokens), rate)
    }

    /// Returns the prompt tokens of a request that are not in the engine's prefix cache.
    pub(crate) fn tokens_to_read(&self, request: &ScheduledRequest) -> u32 {
        let cached = request.adapter.map_or(0, |adapter| {
            self.prefix_cache
                .cached_tokens(adapter, &request.work.prompt_parts)
        });
        request.work.prompt_tokens.saturating_sub(cached)
    }

    /// Returns the estimated time until the engine has read all of its prompts.
    pub(crate) fn backlog(&self, now: Instant) -> Span {
        let all = prefill_time(self.unread_tokens, self.rates.now);
        let elapsed = now.since(self.prefill_since);
        let slowdown = self.slowdown(now);
        if slowdown <= 1.0 {
            return all - elapsed;
        }
        // The engine reads its first prompt for longer than expected. That says nothing about the others having
        // been read, so only the first one is left out.
        let first = self.first_prompt_time();
        let overdue = (elapsed - first).min(first);
        overdue + prefill_time(self.unread_tokens, self.rates.now / slowdown) - first
    }

    /// Returns how many times slower the engine is than measured, from the time that it has spent on its first
    /// prompt; 1 unless measured speeds are used.
    fn slowdown(&self, now: Instant) -> f64 {
        let expected = self.first_prompt_time() + self.rates.chunk;
        let elapsed = now.since(self.prefill_since);
        if !self.rates.is_measured || self.unread_prompts == 0 || elapsed <= expected {
            return 1.0;
        }
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        ratio.min(MAX_SLOWDOWN)
    }

    /// Returns the time to read a prompt of the mean length of those that are unread.
    fn first_prompt_time(&self) -> Span {
        let tokens = self.unread_tokens / u64::from(self.unread_prompts.max(1));
        prefill_time(tokens, self.rates.now)
    }

    /// Adds a prompt to the backlog, of which `tokens` have to be read.
    pub(crate) fn add_prefill(&mut self, now: Instant, tokens: u32) {
        if self.unread_tokens == 0 {
            self.prefill_since = now;
        }
        self.unread_tokens += u64::from(tokens);
        self.unread_prompts += 1;
    }

    /// Removes a prompt whose answer has started from the backlog, and measures the prefill rate. The request
    /// was sent at `since`, and `tokens` of its prompt had to be read.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn complete_prefill(&mut self, now: Instant, tokens: u32, since: Instant) {
        let millis = now.since(self.prefill_since.max(since)).0 as f64 / 1_000.0;
        if millis > 1.0 && tokens >= MIN_MEASURED_TOKENS {
            let rate =
                (f64::from(tokens) / millis).clamp(PREFILL_RATE_BOUNDS.0, PREFILL_RATE_BOUNDS.1);
            self.prefill_rate += (rate - self.prefill_rate) * PREFILL_RATE_WEIGHT;
        }
        self.prefill_since = now;
        self.remove_prefill(tokens);
        self.read_tokens += u64::from(tokens);
    }

    /// Removes a prompt from the backlog.
    pub(crate) fn remove_prefill(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(u64::from(tokens));
        self.unread_prompts = self.unread_prompts.saturating_sub(1);
    }

    /// Returns whether the engine's current order was sent before and got no answer.
    pub(crate) fn is_retrying_order(&self) -> bool {
        self.order_attempts > 1
    }

    /// Returns the number of adapters being loaded or to be loaded.
    pub(crate) fn loading_count(&self) -> usize {
        self.slots.values().filter(|slot| slot.is_loading()).count()
    }

    /// Returns the number of adapters being loaded or to be loaded from the weight store.
    pub(crate) fn weight_store_loads(&self) -> usize {
        let slots = self.slots.values();
        let from_store =
            |slot: &&AdapterSlot| slot.is_loading() && slot.local_copy_distance.is_none();
        slots.filter(from_store).count()
    }

    /// Returns the number of adapters that occupy a slot. An adapter whose load is only planned does
    /// not, since it may still wait for another one to be unloaded.
    pub(crate) fn occupied_slots(&self) -> usize {
        let slots = self.slots.values();
        slots
            .filter(|slot| slot.state != AdapterState::LoadPlanned)
            .count()
    }

    /// Counts an order that the engine has accepted. An engine may report any count, also the largest.
    pub(crate) fn count_accepted_order(&mut self) {
        self.accepted_orders = self.accepted_orders.saturating_add(1);
    }

    /// Returns the adapters that are ready.
    pub(crate) fn resident_adapters(&self, adapters: &AdapterTable) -> Vec<Resident> {
        let ready = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state == AdapterState::Ready);
        let resident = |(adapter, slot): (&AdapterId, &AdapterSlot)| Resident {
            adapter: adapters.name(*adapter).adapter.clone(),
            version: slot.version,
        };
        ready.map(resident).collect()
    }

    /// Replaces what is known of the engine's base models and adapters by its report.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        report: &Report,
        load_time: Span,
        adapters: &mut AdapterTable,
    ) {
        self.state_known = true;
        self.report_requested = None;
        self.accepted_orders = report.orders;
        self.base_models = report
            .models
            .iter()
            .map(|base| base.model.clone())
            .collect();
        self.local_models.clone_from(&report.local_models);
        self.slots.clear();
        for base in &report.models {
            for resident in &base.adapters {
                let id = adapters.intern(&base.model, &resident.adapter);
                self.slots
                    .insert(id, unused_slot(resident.version, AdapterState::Ready));
            }
        }
        for (model, adapter, version) in &report.loading {
            let id = adapters.intern(model, adapter);
            self.slots.insert(
                id,
                unused_slot(*version, AdapterState::Loading(now + load_time)),
            );
        }
    }
}

/// Returns a slot for an adapter that no request uses.
pub(crate) fn unused_slot(version: Version, state: AdapterState) -> AdapterSlot {
    AdapterSlot {
        version,
        state,
        running: 0,
        is_unused: true,
        rejections: 0,
        local_copy_distance: None,
    }
}
