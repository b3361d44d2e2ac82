//! Keeps the adapters whose requests were refused or left and of which none was served since, with the cause, and has one
//! request for such an adapter at a time expedited: it is served before other waiting requests.
//!
//! Load: adapter slots and loads are short for many seconds. A request whose adapter is resident nowhere is refused on
//! arrival if the loads before it take longer than its objective. The next request for the adapter finds the queue as
//! long as the one before did, so that an adapter that is asked for every few seconds may never be loaded, while
//! adapters that are in use stay resident. The expedited requests get a bounded share of the loads.

use std::collections::BTreeSet;
use std::fmt;

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use super::contention::Contention;
use super::scheduled_request::{ScheduledRequest, VmRequestId};
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// Maximum number of adapters that are kept, at about 100 bytes each. Those whose requests failed longest ago are dropped
/// first.
const MAX_ADAPTERS: usize = 4_096;

/// How long an adapter is kept after its last request that was not served.
const LIFETIME: Span = Span::from_secs(60);

/// Number of expedited requests per load that is ordered for a waiting request.
const EXPEDITED_PER_LOAD: f64 = 0.75;

/// Maximum number of requests that may be expedited at once after a time without any.
const EXPEDITED_BURST: f64 = 8.0;

/// Urgency from which requests for an adapter are expedited, in unserved requests times seconds: four requests in four
/// seconds, so that short bursts are served in the order of arrival.
const MIN_URGENCY: f64 = 16.0;

/// How much more urgent an adapter must be for each expedited request that the allowance lacks, so that under a lasting
/// shortage the most urgent ones are expedited.
const URGENCY_PER_EXPEDITED: f64 = 16.0;

/// Interval between two log lines about unserved adapters.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Maximum number of adapters in a log line.
const MAX_LOGGED: usize = 8;

/// Number of unserved requests from which an adapter is logged.
const MIN_LOGGED_REQUESTS: u32 = 2;

/// Why an adapter that a request waits for was not loaded in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadBlock {
    /// No engine that accepts orders holds the base model.
    NoEngine,
    /// The adapter slots of all these engines are in use or awaited by requests that go before.
    NoSlot,
    /// As many adapters are being loaded from the weight store as may be at once.
    WeightStore,
    /// Loads and slots are kept for more urgent requests.
    Reserved,
    /// It waits for a slot at an engine with a local copy.
    LocalCopy,
    /// One more copy of it would not be ready sooner.
    NotWorthwhile,
}

/// What kept a request from being served: what it waited for and, if that was a load, why none was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cause {
    /// Name of the reason as it is logged for the request.
    pub(crate) reason: String,
    pub(crate) block: Option<LoadBlock>,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.block {
            Some(block) => write!(f, "{}/{block:?}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

/// An adapter of which no request was served lately.
#[derive(Debug)]
struct Unserved {
    /// When the first of these requests was refused or left.
    since: Instant,
    /// When the last one was.
    last: Instant,
    /// Number of these requests.
    requests: u32,
    /// Why the last one was not served.
    cause: Cause,
    /// The request that is expedited, if any.
    expedited: Option<VmRequestId>,
}

impl Unserved {
    /// Returns the number of unserved requests times the seconds since the first one.
    fn urgency(&self, now: Instant) -> f64 {
        f64::from(self.requests) * now.since(self.since).as_secs_f64()
    }
}

/// The adapters of which no request was served lately.
#[derive(Debug)]
pub(crate) struct UnservedTable {
    adapters: FxHashMap<AdapterId, Unserved>,
    /// The same adapters, by the time of the last request that was not served.
    by_last: BTreeSet<(Instant, AdapterId)>,
    /// Number of requests that may be expedited now.
    allowance: f64,
    /// When the last log line was written.
    logged_at: Instant,
}

impl Default for UnservedTable {
    fn default() -> Self {
        Self {
            adapters: FxHashMap::default(),
            by_last: BTreeSet::new(),
            allowance: EXPEDITED_BURST,
            logged_at: Instant::default(),
        }
    }
}

impl UnservedTable {
    /// Records that a request for an adapter was refused or left.
    pub(crate) fn record_unserved(
        &mut self,
        now: Instant,
        adapter: AdapterId,
        id: &VmRequestId,
        cause: Cause,
    ) {
        if let Some(row) = self.adapters.get_mut(&adapter) {
            self.by_last.remove(&(row.last, adapter));
            row.last = now;
            row.requests += 1;
            row.cause = cause;
            row.expedited.take_if(|expedited| *expedited == *id);
        } else {
            let row = Unserved {
                since: now,
                last: now,
                requests: 1,
                cause,
                expedited: None,
            };
            self.adapters.insert(adapter, row);
        }
        self.by_last.insert((now, adapter));
        if self.adapters.len() > MAX_ADAPTERS {
            self.drop_oldest();
        }
    }

    /// Records that a request for an adapter is served.
    pub(crate) fn record_served(&mut self, adapter: AdapterId) {
        if let Some(row) = self.adapters.remove(&adapter) {
            self.by_last.remove(&(row.last, adapter));
        }
    }

    /// Records that a load was ordered for a waiting request.
    pub(crate) fn record_load(&mut self) {
        self.allowance = (self.allowance + EXPEDITED_PER_LOAD).min(EXPEDITED_BURST);
    }

    /// Returns whether a request is to be expedited: if its adapter is urgent enough and no other request for it is
    /// expedited. A request that is not `is_known` has gone with its VM, or failed at its engine.
    fn try_expedite(
        &mut self,
        now: Instant,
        adapter: AdapterId,
        id: &VmRequestId,
        is_known: impl FnOnce(&VmRequestId) -> bool,
    ) -> bool {
        let Some(row) = self.adapters.get_mut(&adapter) else {
            return false;
        };
        let used = EXPEDITED_BURST - self.allowance;
        let least_urgency = MIN_URGENCY + used * URGENCY_PER_EXPEDITED;
        match &row.expedited {
            Some(expedited) if expedited == id => true,
            Some(expedited) if is_known(expedited) => false,
            _ if row.urgency(now) < least_urgency => false,
            _ if self.allowance < 1.0 => false,
            _ => {
                self.allowance -= 1.0;
                row.expedited = Some(id.clone());
                true
            }
        }
    }

    /// Returns for how long no request for an adapter was served and how many were refused or left meanwhile; `None`
    /// if none was.
    fn unserved(&self, now: Instant, adapter: AdapterId) -> Option<(Span, u32)> {
        let row = self.adapters.get(&adapter)?;
        Some((now.since(row.since), row.requests))
    }

    /// Drops the adapters of which no request was refused or left within [`LIFETIME`].
    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |row: &(Instant, AdapterId)| now.since(row.0) > LIFETIME;
        while self.by_last.first().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, adapter)) = self.by_last.pop_first() {
            self.adapters.remove(&adapter);
        }
    }
}

impl Scheduler {
    /// Expedites a request if none was served of its adapter since others were refused.
    pub(crate) fn expedite(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        request: &mut ScheduledRequest,
    ) {
        let enabled = self.settings.uses(Feature::ExpeditedAdapters);
        let Some(adapter) = request.adapter.filter(|_| enabled) else {
            return;
        };
        let was_expedited = self
            .requests
            .get(id)
            .is_some_and(|known| known.is_expedited);
        let is_known = |other: &VmRequestId| self.requests.get(other).is_some();
        request.is_expedited = self.unserved.try_expedite(now, adapter, id, is_known);
        if request.is_expedited && !was_expedited {
            self.contention.add(Contention::Expedited);
        }
    }

    /// Returns the words of the log line about a request that was refused, after it was recorded as unserved.
    pub(crate) fn describe_unserved(
        &self,
        now: Instant,
        request: &ScheduledRequest,
        block: Option<LoadBlock>,
    ) -> String {
        let Some(adapter) = request.adapter else {
            return format!(
                "model={} adapter=- load=- asked=1 unserved=0us",
                request.work.model
            );
        };
        let block = block.map_or_else(|| "-".to_owned(), |block| format!("{block:?}"));
        let (span, requests) = self.unserved.unserved(now, adapter).unwrap_or_default();
        let name = self.adapters.name(adapter);
        format!(
            "model={} adapter={} load={block} asked={requests} unserved={span}",
            name.model, name.adapter
        )
    }

    /// Writes the log line about the adapters that have been unserved for longest, once in [`LOG_INTERVAL`].
    pub(crate) fn log_unserved(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if now.since(self.unserved.logged_at) < LOG_INTERVAL {
            return;
        }
        self.unserved.logged_at = now;
        self.unserved.drop_expired(now);
        let rows = self.unserved.adapters.iter();
        let mut rows: Vec<(&AdapterId, &Unserved)> = rows
            .filter(|(_, row)| row.requests >= MIN_LOGGED_REQUESTS)
            .collect();
        if rows.is_empty() {
            return;
        }
        rows.sort_unstable_by_key(|(adapter, row)| (row.since, **adapter));
        let describe = |(adapter, row): &(&AdapterId, &Unserved)| {
            let span = now.since(row.since);
            let name = &self.adapters.name(**adapter).adapter;
            format!("{name}:{}:{span}:{}", row.requests, row.cause)
        };
        let described: Vec<String> = rows.iter().take(MAX_LOGGED).map(describe).collect();
        let detail = format!(
            "adapters={} longest={} kept={}",
            rows.len(),
            described.join(","),
            self.unserved.adapters.len()
        );
        out.push(Decision::Log(Record::new(Code::AdaptersUnserved, detail)));
    }
}
