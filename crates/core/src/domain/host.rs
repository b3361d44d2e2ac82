//! A backend server as the holder of its domain sees it: its reports, what is resident, and who may use that.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::entity::{Adapter, Server};
use crate::event::Report;
use crate::id::{Boot, Grant, Order};
use crate::time::{Instant, Span};

/// How long an unload is remembered, to tell old reports that still show the adapter.
const REMEMBER: Span = Span::from_secs(60);

/// How long an eviction may take before others are begun in its place.
const SLOW: Span = Span::from_secs(2);

/// What happens to an adapter on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not resident, as far as is known; grants on it are still out.
    Absent,
    /// A load was ordered.
    Loading(Order),
    /// Resident, and granted to those who want it.
    Resident,
    /// Resident; its grants are collected so that it can be unloaded.
    Evicting,
    /// The unload was ordered.
    Unloading(Order),
}

/// One grantee's grant on an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lent {
    /// The grantee.
    pub(crate) peer: u32,
    /// The grant.
    pub(crate) grant: Grant,
}

/// An adapter on a server.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// What happens to it.
    pub(crate) phase: Phase,
    /// When that began. Reports with older figures say nothing against it.
    pub(crate) since: Instant,
    /// When it was loaded by an order of this holder.
    pub(crate) loaded: Instant,
    /// Whether it was loaded by this holder where nobody held a grant on it, not even grantees of earlier holders
    /// that have not told yet what they hold.
    pub(crate) own: bool,
    /// Grants that are not released.
    pub(crate) lent: SmallVec<[Lent; 4]>,
    /// When the last grant was released.
    pub(crate) released: Instant,
    /// Requests on it by the last report.
    pub(crate) in_flight: u32,
    /// A grantee was told that it is not resident: not granted before a report made after this.
    pub(crate) doubt: Option<Instant>,
}

impl Entry {
    /// An entry in a phase that begins now.
    pub(crate) fn new(phase: Phase, now: Instant) -> Self {
        Self {
            phase,
            since: now,
            loaded: Instant::default(),
            own: false,
            lent: SmallVec::new(),
            released: now,
            in_flight: 0,
            doubt: None,
        }
    }

    /// Enters a phase.
    pub(crate) fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    /// Whether it takes an adapter slot of its server.
    pub(crate) fn occupies(&self) -> bool {
        self.phase != Phase::Absent
    }
}

/// Load reports that were asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Poll {
    /// When the oldest one that is unanswered was asked for.
    pub(crate) sent: Option<Instant>,
    /// How many are unanswered.
    pub(crate) pending: u32,
    /// When the next one is due.
    pub(crate) next: Instant,
}

impl Poll {
    /// An answer came. Gives the earliest time at which the poll that it answers can have been sent: while more
    /// than one is unanswered, nobody knows which of them it belongs to.
    pub(crate) fn answered(&mut self) -> Option<Instant> {
        let sent = self.sent?;
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.sent = None;
        }
        Some(sent)
    }
}

/// A backend server of a held domain.
#[derive(Debug, Default)]
pub(crate) struct Host {
    /// Its present start, once it has reported.
    pub(crate) boot: Option<Boot>,
    /// The last report, without residents.
    pub(crate) report: Option<Report>,
    /// The earliest time that the last report's figures can be of.
    pub(crate) made: Instant,
    /// When it last answered.
    pub(crate) heard: Instant,
    /// Whether it has been silent too long.
    pub(crate) lost: bool,
    /// Reports that were asked for.
    pub(crate) poll: Poll,
    /// Whether the server, in its present start, has taken an order under the holder's number.
    pub(crate) fenced: bool,
    /// Whether, in its present start, only what is resident is granted to anyone.
    pub(crate) clean: bool,
    /// The order that tells it the number, while one is on its way.
    pub(crate) fencing: Option<Order>,
    /// Adapters there.
    pub(crate) entries: BTreeMap<Adapter, Entry>,
    /// Adapters that an earlier unload may still hit: neither loaded nor granted before this time.
    pub(crate) blocked: BTreeMap<Adapter, Instant>,
    /// When adapters were unloaded, for old reports that still show them.
    pub(crate) unloaded: BTreeMap<Adapter, Instant>,
    /// Loads are not ordered here before this time.
    pub(crate) rest: Instant,
}

impl Host {
    /// Whether its engine is ready for work and loads.
    pub(crate) fn ready(&self) -> bool {
        !self.lost && self.report.as_ref().is_some_and(|report| report.ready)
    }

    /// Slots in all.
    pub(crate) fn slots(&self) -> usize {
        self.report
            .as_ref()
            .map_or(0, |report| report.slots as usize)
    }

    /// Slots that no adapter takes.
    pub(crate) fn free(&self) -> usize {
        let taken = self
            .entries
            .values()
            .filter(|entry| entry.occupies())
            .count();
        self.slots().saturating_sub(taken)
    }

    /// Slots that are being freed, without those that take long: work may be in flight there for minutes.
    pub(crate) fn freeing(&self, now: Instant) -> usize {
        let brisk = |entry: &&Entry| now.since(entry.since) < SLOW;
        self.entries
            .values()
            .filter(|entry| matches!(entry.phase, Phase::Evicting | Phase::Unloading(_)))
            .filter(brisk)
            .count()
    }

    /// How full its batch is: above one where sequences wait.
    pub(crate) fn fill(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| {
            (f64::from(report.running) + f64::from(report.waiting)) / f64::from(report.batch.max(1))
        })
    }

    /// Whether grants are out on adapters that are not resident.
    pub(crate) fn owed(&self) -> bool {
        let owed = |entry: &Entry| entry.phase == Phase::Absent && !entry.lent.is_empty();
        self.entries.values().any(owed)
    }

    /// Whether an earlier unload of an adapter may still take effect.
    pub(crate) fn blocks(&self, adapter: Adapter, now: Instant) -> bool {
        self.blocked.get(&adapter).is_some_and(|until| *until > now)
    }

    /// Forgets what is over.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.blocked.retain(|_, until| *until > now);
        self.unloaded.retain(|_, at| now.since(*at) < REMEMBER);
    }
}

/// An adapter on a server.
pub(crate) type Place = (Server, Adapter);
