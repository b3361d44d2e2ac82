//! An engine's state under its lock: adapters, batch, faults and records.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::batch::Batch;
use super::record::{Order, Record, Violation};
use super::report::{Cache, Report, Reports, Resident};
use super::token::Model;
use super::{Fault, Refusal, Settings};

/// Counts to come for each fault.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// See [`Fault::FailLoads`].
    pub(crate) fail_loads: u64,
    /// See [`Fault::FalseFailures`].
    pub(crate) false_failures: u64,
    /// See [`Fault::LoseLoadAnswers`].
    pub(crate) lose_loads: u64,
    /// See [`Fault::WrongModel`].
    pub(crate) wrong_model: u64,
    /// See [`Fault::BreakStreams`].
    pub(crate) break_streams: u64,
    /// The tokens before these breaks.
    pub(crate) break_after: u64,
    /// See [`Fault::ExtraAfterAbort`].
    pub(crate) extra: u64,
    /// See [`Fault::CrossAnswers`].
    pub(crate) cross: u64,
    /// See [`Fault::RefuseWork`].
    pub(crate) refuse: bool,
}

impl Faults {
    /// Whether the next abort is followed by one token too many.
    pub(crate) fn take_extra(&mut self) -> bool {
        take(&mut self.extra)
    }

    /// The token before which the next stream breaks.
    pub(crate) fn take_break(&mut self, from: u64) -> Option<u64> {
        take(&mut self.break_streams).then_some(from + self.break_after)
    }
}

/// Uses up one of a fault's counts.
pub(crate) fn take(count: &mut u64) -> bool {
    let pending = *count > 0;
    *count = count.saturating_sub(1);
    pending
}

/// How far an adapter is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Residency {
    /// It takes a slot but cannot serve yet.
    Loading,
    /// It can serve.
    Resident,
}

/// How a load order goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loading {
    /// The adapter is resident already.
    Already,
    /// The adapter has a slot in this start of the engine.
    Started(u64),
}

/// An engine's state.
#[derive(Debug)]
pub(crate) struct State {
    /// The settings.
    pub(crate) settings: Settings,
    /// When the process began.
    began: Instant,
    /// The start of the engine.
    pub(crate) boot: u64,
    /// When the base model is loaded.
    ready_at: Instant,
    /// The highest fencing number since the start.
    fence: u64,
    /// The adapters that have a slot.
    adapters: BTreeMap<Model, Residency>,
    /// The requests.
    pub(crate) batch: Batch,
    /// The faults to come.
    pub(crate) faults: Faults,
    /// The past load reports.
    reports: Reports,
    /// The prefix cache.
    pub(crate) cache: Cache,
    /// What happened so far.
    pub(crate) record: Record,
    /// The number of requests without an id.
    anonymous: u64,
}

impl State {
    /// An engine that begins its cold start.
    pub(crate) fn new(settings: Settings, now: Instant) -> Self {
        let mut state = Self {
            settings,
            began: now,
            boot: 0,
            ready_at: now,
            fence: 0,
            adapters: BTreeMap::new(),
            batch: Batch::default(),
            faults: Faults::default(),
            reports: Reports::default(),
            cache: Cache::default(),
            record: Record::default(),
            anonymous: 0,
        };
        state.restart(now);
        state
    }

    /// Forgets everything but the record and begins a cold start.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.drop_all(now);
        self.boot = boot_after(self.boot);
        self.ready_at = now + self.settings.base_load;
        self.fence = 0;
        self.adapters.clear();
        self.reports = Reports::default();
        self.cache = Cache::default();
        self.note(now);
    }

    /// Whether the base model is loaded.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        now >= self.ready_at
    }

    /// Whether an adapter can serve.
    pub(crate) fn is_resident(&self, model: &Model) -> bool {
        self.adapters.get(model) == Some(&Residency::Resident)
    }

    /// Some resident adapter other than this one.
    pub(crate) fn other_resident(&self, model: &Model) -> Option<Model> {
        self.adapters
            .keys()
            .find(|other| *other != model && self.is_resident(other))
            .cloned()
    }

    /// A name for a request without an id.
    pub(crate) fn anonymous(&mut self) -> String {
        self.anonymous += 1;
        format!("anonymous-{}", self.anonymous)
    }

    /// A time in microseconds since the process began.
    pub(crate) fn micros(&self, now: Instant) -> u64 {
        u64::try_from(now.duration_since(self.began).as_micros()).unwrap_or(u64::MAX)
    }

    /// Notes the present figures for the lagging report.
    pub(crate) fn note(&mut self, now: Instant) {
        let report = self.current(now);
        self.reports.push(now, self.settings.report_lag, report);
    }

    /// The load report of some time ago.
    pub(crate) fn report(&mut self, now: Instant) -> Report {
        // The end of the cold start changes the figures without an event.
        self.note(now);
        let lag = self.settings.report_lag;
        self.reports
            .lagging(now, lag)
            .unwrap_or_else(|| self.current(now))
    }

    /// Checks an order's fencing number and keeps the highest.
    pub(crate) fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        match fence {
            _ if !self.settings.fencing => Ok(()),
            stale if stale < self.fence => Err(Refusal::StaleFence),
            fence => {
                self.fence = fence;
                Ok(())
            }
        }
    }

    /// Gives an adapter a slot.
    pub(crate) fn begin_load(
        &mut self,
        now: Instant,
        model: &Model,
        fence: u64,
    ) -> Result<Loading, Refusal> {
        self.check_fence(fence)?;
        match self.adapters.get(model) {
            _ if !self.is_ready(now) => Err(Refusal::NotReady),
            Some(Residency::Resident) => Ok(Loading::Already),
            Some(Residency::Loading) => Err(Refusal::Loading),
            None if self.adapters.len() >= self.settings.slots => Err(Refusal::NoSlot),
            None => {
                self.adapters.insert(model.clone(), Residency::Loading);
                Ok(Loading::Started(self.boot))
            }
        }
    }

    /// Makes an adapter resident or gives its slot back.
    pub(crate) fn end_load(&mut self, now: Instant, model: &Model, loaded: bool) {
        if loaded {
            self.adapters.insert(model.clone(), Residency::Resident);
        } else {
            self.adapters.remove(model);
        }
        self.note(now);
    }

    /// Gives an adapter's slot back.
    pub(crate) fn unload(
        &mut self,
        now: Instant,
        model: &Model,
        fence: u64,
    ) -> Result<(), Refusal> {
        self.check_fence(fence)?;
        let in_flight = self.batch.in_flight(model);
        match self.adapters.get(model) {
            None => return Err(Refusal::NotLoaded),
            Some(Residency::Loading) => return Err(Refusal::Loading),
            Some(Residency::Resident) if in_flight > 0 && self.settings.refuse_in_use => {
                return Err(Refusal::InUse);
            }
            Some(Residency::Resident) => self.adapters.remove(model),
        };
        if in_flight > 0 {
            let model = model.clone();
            self.record
                .violations
                .push(Violation::UnloadInFlight { model, in_flight });
        }
        self.note(now);
        Ok(())
    }

    /// Records an order's outcome.
    pub(crate) fn ordered(
        &mut self,
        now: Instant,
        call: &str,
        model: Option<&Model>,
        fence: u64,
        outcome: &str,
    ) {
        let order = Order {
            call: call.to_owned(),
            model: model.cloned(),
            fence,
            outcome: outcome.to_owned(),
            at_us: self.micros(now),
        };
        self.record.orders.push(order);
    }

    /// Sets a fault.
    pub(crate) fn fault(&mut self, now: Instant, fault: Fault) {
        let faults = &mut self.faults;
        match fault {
            Fault::FailLoads(count) => faults.fail_loads = count,
            Fault::FalseFailures(count) => faults.false_failures = count,
            Fault::LoseLoadAnswers(count) => faults.lose_loads = count,
            Fault::WrongModel(count) => faults.wrong_model = count,
            Fault::BreakStreams { after, count } => {
                faults.break_streams = count;
                faults.break_after = after;
            }
            Fault::ResetBeforeFirst(count) => {
                faults.break_streams = count;
                faults.break_after = 0;
            }
            Fault::ExtraAfterAbort(count) => faults.extra = count,
            Fault::CrossAnswers(count) => faults.cross = count,
            Fault::RefuseWork(refuse) => faults.refuse = refuse,
            Fault::StepUs(step) => self.settings.step = Duration::from_micros(step),
            Fault::Restart => self.restart(now),
        }
    }

    /// The load report without lag.
    pub(crate) fn current(&self, now: Instant) -> Report {
        let resident = self.adapters.keys().filter(|model| self.is_resident(model));
        let adapters = resident.map(|model| Resident {
            name: model.clone(),
            in_flight: self.batch.in_flight(model),
        });
        Report {
            boot: self.boot,
            ready: self.is_ready(now),
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            batch: self.settings.batch,
            step_us: u64::try_from(self.settings.step.as_micros()).unwrap_or(u64::MAX),
            slots: self.settings.slots,
            fence: self.fence,
            age_ms: 0,
            adapters: adapters.collect(),
        }
    }
}

/// A number that no earlier start had, also when the earlier one was another process.
fn boot_after(last: u64) -> u64 {
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(clock.as_micros())
        .unwrap_or(u64::MAX)
        .max(last + 1)
}
