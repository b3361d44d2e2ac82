//! One engine as the scheduler sees it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dahliastile_core::id::Incarnation;
use dahliastile_core::time::{Instant, Span};

use super::adapter_cache::Recent;
use super::cooldown::Cooldown;
use super::forecast::reading;
use super::job::Job;
use super::key::{Key, Keys};
use super::prefix_cache::Kept;
use crate::cluster::snapshot::{Backend, Resident, Version};
use crate::effect::OrderId;
use crate::event::Report;
use crate::request::health::Health;
use crate::request::notice::rate_limiter::RateLimiter;

/// Prompt tokens that an engine reads in a millisecond until some were measured.
const FIRST_RATE: f64 = 20.0;

/// The weight of one measurement of that rate.
const RATE_WEIGHT: f64 = 0.1;

/// Prompt tokens from which the time to the first event tells the rate: the rest of that time is some 40 ms, as long as
/// so many tokens take.
const TELLING: u32 = 500;

/// The bounds within which a measured rate is believed, in tokens a millisecond.
const RATES: (f64, f64) = (3.0, 60.0);

/// How long after the last order a report is asked for: reports show the engine as of some hundred milliseconds before.
pub(crate) const REPORT_LAG: Span = Span::from_millis(250);

/// Whether an adapter can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is to be loaded, and the order is not accepted yet.
    Wanted,
    /// It is being loaded, and expected then.
    Coming(Instant),
    /// It is there.
    Ready,
    /// It is to be unloaded.
    Leaving,
}

/// One adapter at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Its version; 0 where none was ever named.
    pub(crate) version: Version,
    /// Whether it can be used.
    pub(crate) stage: Stage,
    /// Requests that use it.
    pub(crate) used: u32,
    /// Whether nothing has run on it since it was loaded.
    pub(crate) fresh: bool,
    /// How often it was refused since it was expected to be there.
    pub(crate) refusals: u32,
    /// Where it is taken to come from beside the engine: how many others were held there since it was.
    pub(crate) depth: Option<usize>,
}

impl Place {
    /// Whether the adapter is on its way, or soon will be.
    pub(crate) fn moves(&self) -> bool {
        matches!(self.stage, Stage::Coming(_) | Stage::Wanted)
    }

    /// Whether the adapter is there and nothing uses it.
    pub(crate) fn idle(&self) -> bool {
        self.used == 0 && self.stage == Stage::Ready
    }
}

/// Something to be ordered of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// An adapter is loaded, at a version where one was named.
    Load(Key, Option<Version>),
    /// An adapter is unloaded.
    Unload(Key),
    /// A base model is loaded.
    Base(Arc<str>),
}

/// Whether an engine is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// It does not say so.
    No,
    /// It was first heard to say so then, and is used for a while, as no other one is there.
    Since(Instant),
    /// It was first heard to say so then, and is not used any more.
    Closed(Instant),
}

/// An order that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    /// Its number.
    pub(crate) id: OrderId,
    /// What was ordered.
    pub(crate) intent: Intent,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// How it describes itself.
    pub(crate) backend: Arc<Backend>,
    /// Whether what it holds is known, by a report and all orders since.
    pub(crate) known: bool,
    /// When it was asked for a report that has not come.
    pub(crate) asked: Option<Instant>,
    /// Whether that report is waited for.
    pub(crate) reporting: bool,
    /// Orders that it has accepted.
    pub(crate) orders: u64,
    /// The base models that it holds.
    pub(crate) bases: Vec<Arc<str>>,
    /// Until when a base model is on its way to it.
    pub(crate) base_due: Option<Instant>,
    /// Its adapters.
    pub(crate) places: BTreeMap<Key, Place>,
    /// The adapters that it held recently.
    pub(crate) recent: Recent,
    /// The parts of prompts that it keeps.
    pub(crate) kept: Kept,
    /// Requests there.
    pub(crate) running: u32,
    /// Prompt tokens that it has still to read, of the requests there whose answers have not begun.
    pub(crate) unread: u64,
    /// When the last answer began, or work came to an idle engine.
    pub(crate) last_begun: Instant,
    /// Prompt tokens it reads in a millisecond, as measured.
    pub(crate) rate: f64,
    /// What is to be ordered next.
    pub(crate) queue: VecDeque<Intent>,
    /// The order that has no answer yet.
    pub(crate) pending: Option<Pending>,
    /// How often the present order was sent.
    pub(crate) tries: u32,
    /// When it last took an order.
    pub(crate) last_order: Instant,
    /// Whether it is leaving, as it says.
    pub(crate) leaving: Leaving,
    /// The rest that it asked for.
    pub(crate) cooldown: Cooldown,
    /// What it may still be sent, where it names a limit.
    pub(crate) rate_limiter: Option<RateLimiter>,
    /// What requests say of its health.
    pub(crate) health: Health,
    /// Whether it comes last for now.
    pub(crate) last: bool,
    /// The start that all this is of.
    pub(crate) start: Option<Incarnation>,
}

impl Engine {
    pub(crate) fn new(backend: Arc<Backend>) -> Self {
        Self {
            orders: 0,
            start: backend.start,
            backend,
            known: false,
            asked: None,
            reporting: false,
            bases: Vec::new(),
            base_due: None,
            places: BTreeMap::new(),
            recent: Recent::default(),
            kept: Kept::default(),
            running: 0,
            unread: 0,
            last_begun: Instant::default(),
            rate: FIRST_RATE,
            queue: VecDeque::new(),
            pending: None,
            tries: 0,
            last_order: Instant::default(),
            leaving: Leaving::No,
            cooldown: Cooldown::default(),
            rate_limiter: None,
            health: Health::default(),
            last: false,
        }
    }

    /// It describes itself anew. Says whether its entry tells of another start than the last one did. An entry may be written
    /// late, so that one of an earlier start comes after one of a later: which start it is, its report tells.
    pub(crate) fn described(&mut self, backend: &Arc<Backend>) -> bool {
        if backend.bases != self.backend.bases && backend.bases != self.bases {
            self.forget();
        }
        let other = backend.start != self.backend.start && backend.start != self.start;
        self.backend = backend.clone();
        other
    }

    /// It has started again: it holds nothing, has taken no orders, and is as healthy as any. How fast it reads stays, and what it
    /// remembers is for its scheduler to forget.
    pub(crate) fn restarted(&mut self, start: Option<Incarnation>) {
        self.forget();
        self.start = start;
        self.orders = 0;
        self.bases.clear();
        self.base_due = None;
        self.places.clear();
        self.kept = Kept::default();
        self.leaving = Leaving::No;
        self.cooldown = Cooldown::default();
        self.rate_limiter = None;
        self.health = Health::default();
        self.last_order = Instant::default();
    }

    /// What it holds is no longer known.
    pub(crate) fn forget(&mut self) {
        self.known = false;
        self.asked = None;
        self.queue.clear();
        self.pending = None;
        self.tries = 0;
    }

    /// Whether it takes requests and orders.
    pub(crate) fn usable(&self) -> bool {
        self.known && self.backend.ready && !matches!(self.leaving, Leaving::Closed(_))
    }

    /// Whether its limit leaves room for so many requests and orders now.
    pub(crate) fn may_get(&self, count: u32, now: Instant) -> bool {
        self.rate_limiter
            .as_ref()
            .is_none_or(|rate_limiter| rate_limiter.available(now) >= f64::from(count))
    }

    /// Counts a request or an order against its limit, if that leaves room for it.
    pub(crate) fn take_one(&mut self, now: Instant) -> bool {
        self.rate_limiter
            .as_mut()
            .is_none_or(|rate_limiter| rate_limiter.try_take(now))
    }

    /// Whether it could load a base model and has none, nor one on its way.
    pub(crate) fn awaits_base(&self) -> bool {
        let none = self.bases.is_empty() && self.base_due.is_none();
        self.usable() && none && self.queue.is_empty() && self.pending.is_none()
    }

    /// The time until the prompts that it was given and so many tokens more are read, as estimated.
    pub(crate) fn backlog_with(&self, now: Instant, tokens: u32) -> Span {
        self.backlog(now) + reading(u64::from(tokens), self.rate)
    }

    /// The prompt tokens of a request that it would have to read: those that it does not keep.
    pub(crate) fn reads(&self, job: &Job) -> u32 {
        let kept = job
            .key
            .map_or(0, |key| self.kept.of(key, &job.work.prompt_parts));
        job.work.prompt_tokens.saturating_sub(kept)
    }

    /// The time until the prompts that it was given are read, as estimated.
    pub(crate) fn backlog(&self, now: Instant) -> Span {
        reading(self.unread, self.rate) - now.since(self.last_begun)
    }

    /// A request was sent there of which it has to read so many prompt tokens.
    pub(crate) fn add(&mut self, now: Instant, reads: u32) {
        if self.unread == 0 {
            self.last_begun = now;
        }
        self.unread += u64::from(reads);
    }

    /// The answer to a request, sent at `since`, of which it had to read so many prompt tokens, has begun.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn read(&mut self, now: Instant, reads: u32, since: Instant) {
        let took = now.since(self.last_begun.max(since)).0 as f64 / 1_000.0;
        if took > 1.0 && reads >= TELLING {
            let rate = (f64::from(reads) / took).clamp(RATES.0, RATES.1);
            self.rate += (rate - self.rate) * RATE_WEIGHT;
        }
        self.last_begun = now;
        self.unread = self.unread.saturating_sub(u64::from(reads));
    }

    /// Whether its present order had no answer before.
    pub(crate) fn stuck(&self) -> bool {
        self.tries > 1
    }

    /// Adapters on their way to it.
    pub(crate) fn coming(&self) -> usize {
        self.places.values().filter(|place| place.moves()).count()
    }

    /// Adapters on their way to it from the weight store.
    pub(crate) fn fetching(&self) -> usize {
        let places = self.places.values();
        let fetching = |place: &&Place| place.moves() && place.depth.is_none();
        places.filter(fetching).count()
    }

    /// Adapters that take a place now; what is only wanted waits for another one to leave.
    pub(crate) fn held(&self) -> usize {
        let places = self.places.values();
        places.filter(|place| place.stage != Stage::Wanted).count()
    }

    /// The adapters that can be used.
    pub(crate) fn residents(&self, keys: &Keys) -> Vec<Resident> {
        let ready = self
            .places
            .iter()
            .filter(|(_, place)| place.stage == Stage::Ready);
        let resident = |(key, place): (&Key, &Place)| Resident {
            adapter: keys.name(*key).adapter.clone(),
            version: place.version,
        };
        ready.map(resident).collect()
    }

    /// Takes a report in place of all that was believed.
    pub(crate) fn take(&mut self, now: Instant, report: &Report, load_time: Span, keys: &mut Keys) {
        self.known = true;
        self.asked = None;
        self.orders = report.orders;
        self.bases = report
            .models
            .iter()
            .map(|base| base.model.clone())
            .collect();
        self.places.clear();
        for base in &report.models {
            for resident in &base.adapters {
                let key = keys.key(&base.model, &resident.adapter);
                self.places
                    .insert(key, place(resident.version, Stage::Ready));
            }
        }
        for (model, adapter, version) in &report.loading {
            let key = keys.key(model, adapter);
            self.places
                .insert(key, place(*version, Stage::Coming(now + load_time)));
        }
    }
}

/// A place that nothing uses yet.
pub(crate) fn place(version: Version, stage: Stage) -> Place {
    Place {
        version,
        stage,
        used: 0,
        fresh: true,
        refusals: 0,
        depth: None,
    }
}
