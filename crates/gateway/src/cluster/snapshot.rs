//! Facts of the key-value service, each with the revision of its last change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Service, Vm, Zone};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::request::fingerprint::Fingerprint;

/// The version of an adapter or a base model; higher is newer.
pub type Version = u64;

/// The number of a change in the key-value service; higher is later.
pub type Revision = u64;

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryKey {
    /// The operator's configuration.
    Config,
    /// The newest version of an adapter of a base model.
    Version(Arc<str>, Arc<str>),
    /// A backend server.
    Server(Server),
    /// An entry VM.
    Member(Vm),
    /// The VM that schedules a service's engines.
    Holder(Service),
    /// A request that crashes the servers that run it.
    Quarantine(Fingerprint),
}

/// An adapter at a version that a server says it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter's name.
    pub adapter: Arc<str>,
    /// Its version.
    pub version: Version,
}

/// A base model that a server says it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// Its name.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: Version,
    /// Its adapters there.
    pub adapters: Vec<Resident>,
}

/// A backend server as it describes itself, as far as it matters to whoever sends work there. Which adapters it holds and how
/// many orders it has accepted changes all the time, and its scheduler knows better.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub ready: bool,
    /// The base models that it holds.
    pub bases: Vec<Arc<str>>,
    /// Its start, where deployments tell it. A later start may bear a lower number, since clocks step: numbers only tell
    /// starts apart.
    pub start: Option<Incarnation>,
}

/// An entry VM as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its start.
    pub incarnation: Incarnation,
    /// How much it can do for others.
    pub strength: u32,
}

/// The VM that schedules a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM.
    pub vm: Vm,
    /// Its start.
    pub incarnation: Incarnation,
}

/// What the key-value service says about a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryValue {
    /// The operator's configuration.
    Config(Arc<Config>),
    /// The newest version of an adapter.
    Version(Version),
    /// A backend server.
    Server(Arc<Backend>),
    /// An entry VM.
    Member(Member),
    /// The scheduler of a service.
    Holder(Holder),
    /// The request is refused.
    Quarantine,
    /// An entry that can't be read, as another program may have written it. It tells nothing of its subject.
    Unreadable,
}

/// A change of one subject; none where it is no longer there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The subject.
    pub key: EntryKey,
    /// The revision of the change.
    pub revision: Revision,
    /// The revision at which the subject came to be there, 0 where it is gone.
    pub created: Revision,
    /// What it is now.
    pub value: Option<EntryValue>,
}

/// What is known of one subject.
#[derive(Debug)]
struct Row {
    /// Its last change.
    change: Change,
    /// The revision of its last change that says anything new to VMs that follow this one.
    changed: Revision,
    /// Whether it is gone, and only not taken for gone yet: that it is back then says something new.
    lapsed: bool,
}

/// How a change came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// By this VM's own watch, which shows each change of a subject, one after the other.
    EveryChange,
    /// By a list, another VM or a conflict, which may leave earlier changes of the subject out.
    LatestOnly,
}

/// All facts known, with the last revision of each subject, also of those that are gone.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// What is known of each subject.
    rows: BTreeMap<EntryKey, Row>,
}

impl Snapshot {
    /// Takes a change in, unless the subject's known one is as new. Says whether it was taken.
    pub fn apply(&mut self, change: Change, way: Delivery) -> bool {
        match self.rows.get_mut(&change.key) {
            Some(known) if known.change.revision >= change.revision => false,
            Some(known) => {
                let lapsed = std::mem::take(&mut known.lapsed);
                if way == Delivery::LatestOnly || lapsed || known.change.value != change.value {
                    known.changed = change.revision;
                }
                known.change = change;
                true
            }
            None => {
                let changed = change.revision;
                self.rows.insert(
                    change.key.clone(),
                    Row {
                        change,
                        changed,
                        lapsed: false,
                    },
                );
                true
            }
        }
    }

    /// Whether a change is newer than what is known of its subject.
    #[must_use]
    pub fn lacks(&self, change: &Change) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| known.change.revision < change.revision)
    }

    /// Whether a change is newer than what is known of its subject and says something else. Servers rewrite their entries as they are
    /// about once a second each, which nobody needs to hear of.
    #[must_use]
    pub fn differs(&self, change: &Change) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| {
            let newer = known.change.revision < change.revision;
            newer && (known.lapsed || known.change.value != change.value)
        })
    }

    /// Whether a watched change tells a VM that knows all up to a revision anything that matters to it. It does also where
    /// this VM was told of the change before, as the other one may not have been.
    #[must_use]
    pub fn is_change(&self, change: &Change, since: Revision) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| {
            known.changed > since || known.lapsed || known.change.value != change.value
        })
    }

    /// The watched changes that tell such a VM anything. Where one of a subject does, all later ones of it do: an entry that goes
    /// and is back as it was says nothing new only to those who did not hear that it went.
    #[must_use]
    pub fn changes_among(&self, changes: &[Change], since: Revision) -> Vec<Change> {
        let mut told: BTreeSet<&EntryKey> = BTreeSet::new();
        let mut differing = Vec::new();
        for change in changes {
            if told.contains(&change.key) || self.is_change(change, since) {
                told.insert(&change.key);
                differing.push(change.clone());
            }
        }
        differing
    }

    /// A subject is gone, but is not taken for gone yet.
    pub fn lapse(&mut self, subject: &EntryKey) {
        if let Some(row) = self.rows.get_mut(subject) {
            row.lapsed = true;
        }
    }

    /// Takes a subject as gone without a change that says so; any later change brings it back.
    pub fn forget(&mut self, subject: &EntryKey) {
        if let Some(row) = self.rows.get_mut(subject) {
            row.change.value = None;
        }
    }

    /// The last change of a subject.
    #[must_use]
    pub fn get(&self, subject: &EntryKey) -> Option<&Change> {
        self.rows.get(subject).map(|row| &row.change)
    }

    /// The changes after a revision that matter to VMs that follow this one.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &Change> {
        let rows = self.rows.values();
        rows.filter(move |row| row.changed > revision)
            .map(|row| &row.change)
    }

    /// The subjects that are there.
    pub fn present(&self) -> impl Iterator<Item = &Change> {
        let changes = self.rows.values().map(|row| &row.change);
        changes.filter(|change| change.value.is_some())
    }
}

/// A fact that this VM writes; the key-value service gives it its revision.
pub(crate) fn proposed_change(key: EntryKey, value: EntryValue) -> Change {
    Change {
        key,
        revision: 0,
        created: 0,
        value: Some(value),
    }
}
