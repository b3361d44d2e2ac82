//! What of the origins of streams outlasts all VMs: entries in the key-value service.
//!
//! The first of the VMs that keep origins writes them; the others follow it in that order. There are two kinds of entries:
//! * One for each service lists the builds at which streams may have begun lately. It is written when a server of another
//!   build is listed, and when a build has not served for as long as a stream may last. A VM that finds it knows of all builds
//!   that served before its start.
//! * Where servers of several builds serve, the origins of streams are written in batches, each to the next of a ring of
//!   entries under a lease. What began within the last batch is lost with all VMs.

use std::collections::BTreeSet;
use std::sync::Arc;

use dahliastile_core::id::{Build, Service, Vm};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use super::StreamOrigin;
use crate::cluster::lease::backoff;
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::{KvOutcome, Lease};
use crate::node::Gateway;
use crate::timer::Timer;

/// Interval between two writes of origins. Streams that began within the last one are lost with all VMs.
const WRITE_INTERVAL: Span = Span::from_millis(250);

/// Number of entries in a VM's ring: as many as are written within [`super::RETENTION`].
const RING_SIZE: u8 = 120;

/// Upper bound on the origins in one entry, the oldest go first.
const MAX_ORIGINS: usize = 2_048;

/// Time to live of the lease of entries with origins, and how long after its grant it is used for further ones.
const LEASE_TTL: Span = Span::from_secs(60);
const LEASE_REUSE: Span = Span::from_secs(25);

/// Bounds of the pause after failed calls of the key-value service.
const BACKOFF: (Span, Span) = (Span::from_millis(300), Span::from_secs(4));

/// A batch of origins, as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginBatch(pub Vec<StreamOrigin>);

impl OriginBatch {
    /// Encodes the batch. Returns `None` if it can't be encoded; it always can.
    #[must_use]
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a batch. Returns `None` if the bytes are none.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Purpose of a call of the key-value service.
#[derive(Debug)]
enum Purpose {
    /// Obtain a lease.
    Lease,
    /// Write the builds of a service.
    Builds,
    /// Write these origins.
    Origins(Vec<StreamOrigin>),
}

/// What is to be written.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Origins that have not been written.
    fresh: Vec<StreamOrigin>,
    /// The next entry of the ring.
    slot: u8,
    /// The lease for origins, with the time of its grant.
    lease: Option<(Lease, Instant)>,
    /// The call in flight.
    call: Option<(KvOperationId, Purpose)>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// When the next origins may be written.
    next_write: Instant,
    /// After a failed call, the time until which no other one is made.
    paused_until: Instant,
}

impl Journal {
    /// Adds an origin to be written.
    fn add(&mut self, row: StreamOrigin) {
        if self.fresh.len() >= MAX_ORIGINS {
            self.fresh.remove(0);
        }
        self.fresh.push(row);
    }

    /// Returns the lease to use for further origins, if it has enough time left.
    fn reusable_lease(&self, now: Instant) -> Option<Lease> {
        let lease = self.lease.as_ref();
        let lease = lease.filter(|(_, granted)| now.since(*granted) < LEASE_REUSE);
        lease.map(|(id, _)| *id)
    }
}

impl Gateway {
    /// Returns whether this VM writes origins and builds to the key-value service.
    fn is_origin_writer(&self) -> bool {
        self.origin_keepers().first() == Some(&self.settings.vm)
    }

    /// Adds origins to those to be written, if this VM writes them.
    pub(super) fn journal_origins(&mut self, rows: &[StreamOrigin]) {
        if rows.is_empty() || !self.is_origin_writer() {
            return;
        }
        for row in rows {
            self.origins.journal.add(row.clone());
        }
        let at = self.now.max(self.origins.journal.next_write);
        self.timers.set_once(at, Timer::Origins);
    }

    /// Returns the builds that the key-value service lists for a service; `None` if it lists none.
    pub(crate) fn listed_builds(&self, service: &Service) -> Option<&Arc<Vec<Build>>> {
        let key = EntryKey::Builds(service.clone());
        match self.snapshot.get(&key)?.value.as_ref()? {
            EntryValue::Builds(builds) => Some(builds),
            _ => None,
        }
    }

    /// Returns the entry of a service's builds that is to be written, if it is not as it should be. As long as this VM may not
    /// know all builds that served lately, none is taken out.
    fn outdated_builds(&self) -> Option<(EntryKey, Vec<Build>, Revision)> {
        let now = self.now;
        let servers = self.servers.values();
        let services: BTreeSet<&Service> = servers.map(|state| &state.backend.service).collect();
        services.into_iter().find_map(|service| {
            let recent = self.origins.history.recent(now, service);
            let mut builds: BTreeSet<Build> = recent.flatten().cloned().collect();
            let listed = self.listed_builds(service);
            if !self.origins.history.is_complete(now, service) {
                builds.extend(listed.iter().flat_map(|builds| builds.iter().cloned()));
            }
            let builds: Vec<Build> = builds.into_iter().collect();
            let is_current = listed.is_some_and(|listed| **listed == builds);
            let key = EntryKey::Builds(service.clone());
            let change = self.snapshot.get(&key);
            let revision = change.map_or_else(Revision::default, Change::expected_revision);
            (!is_current && !builds.is_empty()).then_some((key, builds, revision))
        })
    }

    /// Writes what is due, if this VM is the one that writes and no call is in flight.
    pub(super) fn write_origins(&mut self, out: &mut Effects) {
        let now = self.now;
        let journal = &self.origins.journal;
        if journal.call.is_some() || now < journal.paused_until || self.watch.cursor.is_none() {
            return;
        }
        if !self.is_origin_writer() {
            self.origins.journal.fresh.clear();
            return;
        }
        let lease = journal.reusable_lease(now);
        let due = !journal.fresh.is_empty() && now >= journal.next_write;
        let (purpose, op) = match (self.outdated_builds(), lease) {
            (Some((key, builds, revision)), _) => {
                let value = EntryValue::Builds(Arc::new(builds));
                let change = proposed_change(key.clone(), value);
                let op = KvOperation::Put(change, Lease::default(), vec![(key, revision)]);
                (Purpose::Builds, op)
            }
            (None, _) if !due => return,
            (None, None) => (Purpose::Lease, KvOperation::GrantLease(LEASE_TTL)),
            (None, Some(lease)) => {
                let journal = &mut self.origins.journal;
                let rows = std::mem::take(&mut journal.fresh);
                let key = EntryKey::Streams(self.settings.vm.clone(), journal.slot);
                journal.slot = (journal.slot + 1) % RING_SIZE;
                journal.next_write = now + WRITE_INTERVAL;
                let value = EntryValue::Streams(Arc::new(OriginBatch(rows.clone())));
                let op = KvOperation::Put(proposed_change(key, value), lease, Vec::new());
                (Purpose::Origins(rows), op)
            }
        };
        let id = self.call_kv(op, out);
        self.origins.journal.call = Some((id, purpose));
    }

    /// Returns whether a call of the key-value service is one for origins or builds.
    pub(crate) fn owns_origin_call(&self, op: KvOperationId) -> bool {
        let call = self.origins.journal.call.as_ref();
        call.is_some_and(|(id, _)| *id == op)
    }

    /// Handles the outcome of the call in flight. Origins that may not have been written are written again.
    pub(crate) fn handle_origin_outcome(&mut self, outcome: KvOutcome, out: &mut Effects) {
        let now = self.now;
        let journal = &mut self.origins.journal;
        let Some((_, purpose)) = journal.call.take() else {
            return;
        };
        match (purpose, outcome) {
            (Purpose::Lease, KvOutcome::Granted(lease, _)) => {
                journal.lease = Some((lease, now));
                journal.failures = 0;
            }
            (Purpose::Builds | Purpose::Origins(_), KvOutcome::Written(_)) => {
                journal.failures = 0;
                // The change comes back by the watch; until then the entry looks outdated.
                journal.paused_until = now + WRITE_INTERVAL;
            }
            (purpose, outcome) => {
                if let Purpose::Origins(rows) = purpose {
                    for row in rows {
                        journal.add(row);
                    }
                }
                if matches!(outcome, KvOutcome::NoLease) {
                    journal.lease = None;
                }
                let pause = backoff(BACKOFF.0, BACKOFF.1, journal.failures, &mut self.rng);
                journal.paused_until = now + pause;
                journal.failures += 1;
                if let KvOutcome::Conflict(changes) = outcome {
                    self.apply_changes(changes, Delivery::Listed, false, out);
                }
            }
        }
        self.write_origins(out);
        let at = self.origins.journal.paused_until.max(self.now);
        self.timers.set_once(at, Timer::Origins);
    }

    /// Discards the lease for origins, since the key-value service came back from a copy.
    pub(crate) fn invalidate_origin_lease(&mut self) {
        self.origins.journal.lease = None;
    }

    /// Handles an entry with origins that a VM has written.
    pub(crate) fn apply_origin_batch(&mut self, writer: &Vm, batch: &OriginBatch) {
        if *writer != self.settings.vm || !self.origins.is_filled {
            self.handle_stream_origins(batch.0.clone());
        }
    }

    /// Handles an entry with the builds of a service: streams may have begun at all of them, and before this VM's start at no
    /// others if the list `is_current`.
    pub(crate) fn apply_builds(
        &mut self,
        service: &Service,
        builds: &[Build],
        is_current: bool,
        out: &mut Effects,
    ) {
        let history = &mut self.origins.history;
        for build in builds {
            history.record(self.now, service, Some(build));
        }
        if is_current {
            history.record_listed(service);
        }
        self.write_origins(out);
    }
}
