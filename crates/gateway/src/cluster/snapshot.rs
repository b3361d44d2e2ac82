//! A snapshot of the key-value service: its entries as far as this VM knows them, each with the revision of its
//! last change.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Build, Incarnation, Server, Service, Vm, Zone};
use serde::{Deserialize, Serialize};

use crate::cluster::revision::Revision;
use crate::config::Config;
use crate::request::fingerprint::Fingerprint;
use crate::request::origin::OriginBatch;

/// The version of an adapter or a base model; higher is newer.
pub type Version = u64;

/// The decoded key of an entry: what the entry is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryKey {
    /// The operator's configuration.
    Config,
    /// The newest version of an adapter of a base model (model, adapter).
    Version(Arc<str>, Arc<str>),
    /// A backend server.
    Server(Server),
    /// An entry VM.
    Member(Vm),
    /// The holder of a service's leadership: the VM that schedules its engines.
    Holder(Service),
    /// A request that crashes the servers that run it.
    Quarantine(Fingerprint),
    /// The builds at which streams of a service may have begun lately.
    Builds(Service),
    /// Origins of streams, written by a VM, with their position in the ring of its entries.
    Streams(Vm, u8),
}

/// An adapter version that a server reports as resident.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter's name.
    pub adapter: Arc<str>,
    /// The adapter's version.
    pub version: Version,
}

/// A base model that a server reports as resident.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of the model's weights.
    pub version: Version,
    /// The adapters resident with this model.
    pub adapters: Vec<Resident>,
}

/// The build of a server, as far as this VM knows it. The encoding of an entry leaves it out, so a VM that has the entry from
/// another VM does not know it. Entries that differ only in it are equal.
#[derive(Clone, Debug, Default)]
pub struct KnownBuild(pub Option<Build>);

impl PartialEq for KnownBuild {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for KnownBuild {}

/// Writes the build, or `-` if it is not known.
impl fmt::Display for KnownBuild {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_ref().map_or("-", Build::as_str))
    }
}

/// A backend server's description of itself, as far as VMs that send work to it need it. Its resident adapters
/// and the number of orders that it has accepted are left out: they change all the time, and its scheduler
/// knows them better.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service that it runs.
    pub service: Service,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub ready: bool,
    /// The names of its resident base models.
    pub base_models: Vec<Arc<str>>,
    /// The incarnation of its process, if the deployment reports incarnations. A later start may have a lower
    /// number, since clocks step: numbers only distinguish starts.
    pub start: Option<Incarnation>,
    /// The build of its software.
    #[serde(skip)]
    pub build: KnownBuild,
}

/// An entry VM's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which other VMs reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The incarnation of its process, which distinguishes its starts.
    pub incarnation: Incarnation,
    /// Its capacity to do work for other VMs; higher is stronger.
    pub strength: u32,
}

/// The VM that schedules a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM's name.
    pub vm: Vm,
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
}

impl EntryKey {
    /// Returns the kind of entry, used as a label of metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Version(..) => "version",
            Self::Server(_) => "server",
            Self::Member(_) => "member",
            Self::Holder(_) => "holder",
            Self::Quarantine(_) => "quarantine",
            Self::Builds(_) => "builds",
            Self::Streams(..) => "streams",
        }
    }
}

/// The decoded value of an entry.
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
    /// The holder of a service's leadership.
    Holder(Holder),
    /// The request is quarantined: VMs refuse it.
    Quarantine,
    /// A value that can't be decoded, since another program may have written it. Such a value carries no
    /// information about its key.
    Unreadable,
    /// The builds at which streams of a service may have begun lately, in order.
    Builds(Arc<Vec<Build>>),
    /// Origins of streams.
    Streams(Arc<OriginBatch>),
}

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The entry's key.
    pub key: EntryKey,
    /// The revision of the change.
    pub revision: Revision,
    /// The revision at which the entry was created, 0 if it was deleted.
    pub created: Revision,
    /// The new value; none if the entry was deleted.
    pub value: Option<EntryValue>,
}

impl Change {
    /// Returns the revision on which a write of the entry is to be conditional: 0 if the entry must not exist.
    #[must_use]
    pub fn expected_revision(&self) -> Revision {
        match self.value {
            Some(_) => self.revision,
            None => Revision::default(),
        }
    }
}

/// What is known of one entry.
#[derive(Debug)]
struct KnownEntry {
    /// The entry's last change.
    change: Change,
    /// The revision of the last change that is relevant to this VM's subscribers, i.e. that may change the
    /// value that they know.
    last_relevant: Revision,
    /// Whether the key-value service held another value, or no entry, when it last told of it: some values outlast
    /// a copy that lacks them. The next change is then relevant to subscribers even with an unchanged value.
    is_unconfirmed: bool,
}

impl KnownEntry {
    /// Whether a change that isn't later brings a newer version of the operator's: its sender has kept the version,
    /// and the key-value service has forgotten it.
    fn is_raised_by(&self, change: &Change) -> bool {
        match (&self.change.value, &change.value) {
            (Some(EntryValue::Config(known)), Some(EntryValue::Config(config))) => {
                known.version < config.version
            }
            (Some(EntryValue::Version(known)), Some(EntryValue::Version(version))) => {
                known < version
            }
            _ => false,
        }
    }

    /// Whether the known value stays in force against a later change.
    ///
    /// The operator's versions only rise. An entry in the first list of an era may be as old as the copy from which
    /// the key-value service came back; where its writer is alive, it writes again. An entry that says that its
    /// server leaves always applies, and outlasts the first change of a later era, whoever delivers it.
    fn outlasts(&self, change: &Change, delivery: Delivery) -> bool {
        let is_of_later_era = self.change.revision.era() < change.revision.era();
        match (&self.change.value, &change.value) {
            (Some(EntryValue::Config(known)), Some(EntryValue::Config(config))) => {
                config.version < known.version
            }
            (Some(EntryValue::Version(known)), Some(EntryValue::Version(version))) => {
                version < known
            }
            (Some(EntryValue::Server(known)), Some(EntryValue::Server(backend)))
                if known.start == backend.start && known.ready != backend.ready =>
            {
                is_of_later_era && backend.ready
            }
            (_, Some(_)) if delivery == Delivery::Listed && is_of_later_era => matches!(
                change.key,
                EntryKey::Server(_) | EntryKey::Member(_) | EntryKey::Quarantine(_)
            ),
            _ => false,
        }
    }
}

/// Whether a change comes with all earlier changes of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Each change of the entry, in order. This VM's own watch delivers changes in this way.
    EveryChange,
    /// The latest change of the entry as the key-value service holds it; earlier ones may be missing. Lists and
    /// conflicts deliver changes in this way.
    Listed,
    /// The latest change of the entry as another VM, or this one as its writer, knows it; earlier ones may be
    /// missing.
    Known,
}

/// All known entries, with the revision of the last change of each. Deleted entries are included.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// What is known of each entry.
    entries: BTreeMap<EntryKey, KnownEntry>,
}

impl Snapshot {
    /// Applies a change, unless a change of the same key with the same or a higher revision is known. Returns
    /// whether its value is now the known one: a value may outlast the change.
    pub fn apply(&mut self, change: Change, delivery: Delivery) -> bool {
        match self.entries.get_mut(&change.key) {
            Some(known) if known.change.revision >= change.revision => {
                let is_raised = known.is_raised_by(&change);
                if is_raised {
                    known.change.value = change.value;
                    known.is_unconfirmed = true;
                }
                is_raised
            }
            Some(known) => {
                let outlasts = known.outlasts(&change, delivery);
                let was_unconfirmed = std::mem::replace(&mut known.is_unconfirmed, outlasts);
                if delivery != Delivery::EveryChange
                    || was_unconfirmed
                    || known.change.value != change.value
                {
                    known.last_relevant = change.revision;
                }
                if outlasts {
                    known.change.revision = change.revision;
                } else {
                    known.change = change;
                }
                !outlasts
            }
            None => {
                let last_relevant = change.revision;
                self.entries.insert(
                    change.key.clone(),
                    KnownEntry {
                        change,
                        last_relevant,
                        is_unconfirmed: false,
                    },
                );
                true
            }
        }
    }

    /// Whether a change is newer than the known one of its key and changes the value. Each server rewrites its
    /// entry about once a second with the same value, and those changes need not be sent on.
    #[must_use]
    pub fn is_new_value(&self, change: &Change) -> bool {
        let known = self.entries.get(&change.key);
        known.is_none_or(|known| {
            let newer = known.change.revision < change.revision;
            known.is_raised_by(change)
                || newer && (known.is_unconfirmed || known.change.value != change.value)
        })
    }

    /// Whether a watched change is relevant to a VM that knows all changes up to `since`. It is also relevant
    /// if this VM received the same change earlier by another way, since the other VM may not have received it.
    #[must_use]
    pub fn is_relevant(&self, change: &Change, since: Revision) -> bool {
        let known = self.entries.get(&change.key);
        known.is_none_or(|known| {
            known.last_relevant > since
                || known.is_unconfirmed
                || known.change.value != change.value
        })
    }

    /// Returns the watched changes that are relevant to a VM that knows all changes up to `since`. After the
    /// first relevant change of a key, all later ones of the key count as relevant: an entry that is deleted
    /// and written again with the same value is unchanged only to a VM that was not sent the deletion.
    #[must_use]
    pub fn relevant_changes(&self, changes: &[Change], since: Revision) -> Vec<Change> {
        let mut relevant_keys: BTreeSet<&EntryKey> = BTreeSet::new();
        let mut relevant = Vec::new();
        for change in changes {
            if relevant_keys.contains(&change.key) || self.is_relevant(change, since) {
                relevant_keys.insert(&change.key);
                relevant.push(change.clone());
            }
        }
        relevant
    }

    /// Marks an entry as missing in the key-value service, while its value is kept.
    pub fn mark_unconfirmed(&mut self, key: &EntryKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.is_unconfirmed = true;
        }
    }

    /// Returns the highest revision of the known changes.
    #[must_use]
    pub fn last_revision(&self) -> Revision {
        let changes = self.entries.values().map(|entry| entry.change.revision);
        changes.max().unwrap_or_default()
    }

    /// Whether the key-value service held an entry, with the known value, when it last told of it.
    #[must_use]
    pub fn is_confirmed(&self, key: &EntryKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.change.value.is_some() && !entry.is_unconfirmed)
    }

    /// Returns the last change of an entry.
    #[must_use]
    pub fn get(&self, key: &EntryKey) -> Option<&Change> {
        self.entries.get(key).map(|entry| &entry.change)
    }

    /// Returns the changes after a revision that are relevant to subscribers.
    pub fn changes_after(&self, revision: Revision) -> impl Iterator<Item = &Change> {
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.last_relevant > revision)
            .map(|entry| &entry.change)
    }

    /// Returns the operator's entries.
    pub fn operator_entries(&self) -> impl Iterator<Item = &Change> {
        let of_operator =
            |change: &&Change| matches!(change.key, EntryKey::Config | EntryKey::Version(..));
        self.existing().filter(of_operator)
    }

    /// Returns the last changes of the entries that exist.
    pub fn existing(&self) -> impl Iterator<Item = &Change> {
        let changes = self.entries.values().map(|entry| &entry.change);
        changes.filter(|change| change.value.is_some())
    }
}

/// Returns a change that this VM is to write; the key-value service assigns its revision.
pub(crate) fn proposed_change(key: EntryKey, value: EntryValue) -> Change {
    Change {
        key,
        revision: Revision::default(),
        created: Revision::default(),
        value: Some(value),
    }
}
