//! A domain's record in the key-value service: which starts of VMs may hold grants, and which unloads may still
//! reach a server. Only the holder can write it, since each write also compares the lease key's creation revision.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::call::{self, What};
use super::keys;
use crate::Node;
use crate::effect::Effects;
use crate::entity::Domain;
use crate::id::{self, Boot, Fence, Incarnation, Revision};
use crate::platform::{Call, Compare, Outcome, Put};
use crate::time::{Instant, Span};

/// How long the removal of what is no longer needed may wait for another write to go along with.
const LAZY: Span = Span::from_secs(1);

/// One start of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Start {
    /// The VM.
    pub(crate) vm: id::Vm,
    /// Its start.
    pub(crate) incarnation: Incarnation,
}

/// An unload that a holder may have sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Intent {
    /// The holder that wrote it.
    pub(crate) by: Start,
    /// The server.
    pub(crate) server: id::Server,
    /// The adapter.
    pub(crate) adapter: id::Adapter,
}

/// What the key holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Starts that may hold grants.
    pub(crate) grantees: BTreeSet<Start>,
    /// Unloads that may still take effect.
    #[serde(default)]
    pub(crate) intents: BTreeSet<Intent>,
    /// Starts of servers in which only what is resident is granted to anyone.
    #[serde(default)]
    pub(crate) boots: BTreeMap<id::Server, Boot>,
}

impl Record {
    /// Whether this record covers all that `other` names.
    fn covers(&self, other: &Self) -> bool {
        self.grantees.is_superset(&other.grantees) && self.intents.is_superset(&other.intents)
    }
}

/// The record of a held domain, as it is written.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    /// What the key-value service is known to hold.
    pub(crate) committed: Record,
    /// The revision at which the key was last changed.
    revision: Revision,
    /// Whether a read or write is in progress.
    busy: bool,
    /// Whether what the record is to name may have changed since it was last compared.
    dirty: bool,
    /// Whether the key must be read before it can be written.
    unread: bool,
    /// Since when something unneeded stands in the record.
    stale: Option<Instant>,
    /// Delays after failures.
    backoff: Backoff,
}

impl Writer {
    /// Whether the last read or write failed, so that nothing new can be named in the record for now.
    pub(crate) fn stuck(&self) -> bool {
        self.backoff.failures() > 0
    }

    /// A record that has not been read.
    pub(crate) fn new() -> Self {
        Self {
            unread: true,
            ..Self::default()
        }
    }

    /// What the record is to name may have changed.
    pub(crate) fn touch(&mut self) {
        self.dirty = true;
    }

    /// Whether the key holds what it is to hold.
    pub(crate) fn settled(&self) -> bool {
        !self.busy && !self.dirty && !self.unread
    }

    /// Whether a read or write is in progress.
    pub(crate) fn busy(&self) -> bool {
        self.busy
    }
}

/// Reads or writes the record of a held domain, where that is due. One call is in progress at a time.
pub(crate) fn flush(node: &mut Node, domain: Domain, out: &mut Effects) {
    let now = node.now;
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    if held.writer.busy || !held.writer.backoff.ready(now) {
        return;
    }
    if held.writer.unread {
        read(node, domain, out);
        return;
    }
    if !held.writer.dirty {
        return;
    }
    let desired = held.desired(&node.catalog, now);
    let writer = &mut held.writer;
    if desired == writer.committed {
        writer.stale = None;
        writer.dirty = false;
        return;
    }
    let since = *writer.stale.get_or_insert(now);
    let closing = node.domains.closing.is_some();
    if writer.committed.covers(&desired) && now.since(since) < LAZY && !closing {
        return;
    }
    write(node, domain, desired, out);
}

fn read(node: &mut Node, domain: Domain, out: &mut Effects) {
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    held.writer.busy = true;
    let what = What::Read(domain, held.fence);
    let key = keys::record(node, domain);
    call::begin(node, what, Call::Get { key }, out);
}

fn write(node: &mut Node, domain: Domain, record: Record, out: &mut Effects) {
    let Ok(value) = serde_json::to_vec(&record) else {
        debug_assert!(false, "a record is always written as JSON");
        return;
    };
    let (lease_key, record_key) = (keys::lease(node, domain), keys::record(node, domain));
    let Some(held) = node.domains.held.get_mut(&domain) else {
        return;
    };
    held.writer.busy = true;
    held.writer.stale = None;
    let what = What::Write(domain, held.fence, record);
    let txn = Call::Txn {
        compares: vec![
            Compare::Created(lease_key, Revision(held.fence.0)),
            Compare::Changed(record_key.clone(), held.writer.revision),
        ],
        puts: vec![Put {
            key: record_key,
            value,
            lease: None,
        }],
        deletes: Vec::new(),
    };
    call::begin(node, what, txn, out);
}

/// The record was read.
pub(crate) fn was_read(
    node: &mut Node,
    domain: Domain,
    fence: Fence,
    outcome: &Outcome,
    out: &mut Effects,
) {
    let now = node.now;
    let key = keys::record(node, domain);
    let tuning = &node.settings.tuning;
    let (first, limit) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let Some(held) = node.domains.held_under(domain, fence) else {
        return;
    };
    let writer = &mut held.writer;
    writer.busy = false;
    let Outcome::Done(reply) = outcome else {
        writer.backoff.fail(now, first, limit);
        return;
    };
    let pair = reply.pairs.iter().find(|pair| pair.key == key);
    let Ok(record) = pair.map_or(Ok(Record::default()), |pair| {
        serde_json::from_slice(&pair.value)
    }) else {
        // Written by a newer version of the program. To go on would lose grantees that it names.
        writer.backoff.fail(now, first, limit);
        return;
    };
    writer.backoff.clear();
    writer.unread = false;
    writer.dirty = true;
    writer.revision = pair.map_or(Revision(0), |pair| pair.changed);
    writer.committed = record;
    super::holder::record_known(node, domain, out);
}

/// A write of the record came back.
pub(crate) fn was_written(
    node: &mut Node,
    domain: Domain,
    fence: Fence,
    record: Record,
    outcome: &Outcome,
    out: &mut Effects,
) {
    let now = node.now;
    let tuning = &node.settings.tuning;
    let (first, limit) = (tuning.platform_backoff_ms, tuning.platform_backoff_max_ms);
    let Some(held) = node.domains.held_under(domain, fence) else {
        return;
    };
    let writer = &mut held.writer;
    writer.busy = false;
    match outcome {
        Outcome::Done(reply) => {
            writer.backoff.clear();
            writer.revision = reply.revision;
            writer.committed = record;
            super::holder::record_known(node, domain, out);
        }
        Outcome::NotSent => writer.backoff.fail(now, first, limit),
        Outcome::Unknown => {
            writer.unread = true;
            writer.backoff.fail(now, first, limit);
        }
        Outcome::Conflict => {
            // Either the lease has moved, which the look at its key shows, or a write whose answer was lost
            // took effect, which reading the record shows.
            writer.unread = true;
            super::seat::look_now(node, domain, out);
        }
    }
}
