//! The builds that have served each service lately, as far as this VM knows.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::{Build, Service};
use dahliastile_core::time::{Instant, Span};

use super::RETENTION;

/// The builds that have served each service, with the time since a server of each was last listed.
pub type BuildAges = Vec<(Service, Vec<(Build, Span)>)>;

/// Builds by service.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// When a server of each build was last listed. A build that is not known counts as one of its own.
    seen: BTreeMap<Service, BTreeMap<Option<Build>, Instant>>,
    /// Since when this VM knows of all servers that were listed: its start, or the end of a gap in what it was told. Before
    /// that it knows what other VMs have told it.
    known_from: Instant,
    /// Services whose builds the key-value service lists: what served them before `known_from` is known too.
    listed: BTreeSet<Service>,
}

impl History {
    /// Records that a server of a build is listed now.
    pub(crate) fn record(&mut self, now: Instant, service: &Service, build: Option<&Build>) {
        let builds = self.seen.entry(service.clone()).or_default();
        let seen = builds.entry(build.cloned()).or_insert(now);
        *seen = now.max(*seen);
    }

    /// Forgets that servers were of builds that were not known, which may be known by now.
    pub(crate) fn forget_unknown(&mut self) {
        for builds in self.seen.values_mut() {
            builds.remove(&None);
        }
    }

    /// Records that servers may have come and gone unnoticed until now.
    pub(crate) fn record_gap(&mut self, now: Instant) {
        self.known_from = now;
    }

    /// Returns for how long this VM, or one that has told it, knows of all servers.
    pub(crate) fn known_for(&self, now: Instant) -> Span {
        now.since(self.known_from)
    }

    /// Records that this VM has read the builds of a service that the key-value service lists.
    pub(crate) fn record_listed(&mut self, service: &Service) {
        if !self.listed.contains(service) {
            self.listed.insert(service.clone());
        }
    }

    /// Returns whether this VM knows of all builds that served a service within [`RETENTION`].
    pub(crate) fn is_complete(&self, now: Instant, service: &Service) -> bool {
        now.since(self.known_from) >= RETENTION || self.listed.contains(service)
    }

    /// Returns the builds that served a service within [`RETENTION`].
    pub(crate) fn recent(
        &self,
        now: Instant,
        service: &Service,
    ) -> impl Iterator<Item = Option<&Build>> {
        let builds = self.seen.get(service).into_iter().flatten();
        let recent = builds.filter(move |(_, seen)| now.since(**seen) < RETENTION);
        recent.map(|(build, _)| build.as_ref())
    }

    /// Returns whether servers of several builds served a service within [`RETENTION`].
    pub(crate) fn is_mixed(&self, now: Instant, service: &Service) -> bool {
        self.recent(now, service).count() > 1
    }

    /// Returns the only build that served a service within [`RETENTION`]; `None` if there were several, or if there may have
    /// been some of which this VM does not know.
    pub(crate) fn only(&self, now: Instant, service: &Service) -> Option<&Build> {
        let mut recent = self.recent(now, service);
        let first = recent.next().flatten();
        first.filter(|_| recent.next().is_none() && self.is_complete(now, service))
    }

    /// Returns what this VM knows, for other VMs: the builds of each service with the time since each was last listed, and
    /// for how long all of them are known.
    pub(crate) fn summary(&self, now: Instant) -> (BuildAges, Span) {
        let row = |(service, builds): (&Service, &BTreeMap<Option<Build>, Instant>)| {
            let known = builds.iter().filter_map(|(build, seen)| {
                Some((build.clone()?, now.since(*seen))).filter(|(_, age)| *age < RETENTION)
            });
            (service.clone(), known.collect())
        };
        let rows = self.seen.iter().map(row).collect();
        (rows, self.known_for(now))
    }

    /// Adds what another VM knew until now.
    pub(crate) fn merge(&mut self, now: Instant, rows: BuildAges, known_for: Span) {
        for (service, builds) in rows {
            let own = self.seen.entry(service).or_default();
            for (build, age) in builds {
                let seen = own.entry(Some(build)).or_insert(now.back(age));
                *seen = now.back(age).max(*seen);
            }
        }
        self.known_from = self.known_from.min(now.back(known_for));
    }

    /// Drops the builds that have not served for [`RETENTION`].
    pub(crate) fn prune(&mut self, now: Instant) {
        for builds in self.seen.values_mut() {
            builds.retain(|_, seen| now.since(*seen) < RETENTION);
        }
    }
}
