//! A fake of the platform's key-value service.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::revision::{Era, Revision};
use dahliastile_gateway::cluster::snapshot::{Change, EntryKey, EntryValue};
use dahliastile_gateway::effect::KvOperation;
use dahliastile_gateway::event::{KvOutcome, Lease, ListFailure, ListFailureCause};

/// A watch call that has not completed.
pub struct PendingWatch {
    /// The VM that made the call.
    pub vm: usize,
    /// The VM's number of the call.
    pub op: u64,
    /// Changes after this number complete the watch.
    pub after: u64,
    /// When the watch ends without a change.
    pub ends_at: Instant,
}

/// A copy of the key-value service's contents, from which it may come back.
#[derive(Clone)]
struct Copy {
    /// When the copy was made.
    at: Instant,
    /// The entries at that time.
    entries: BTreeMap<EntryKey, (Change, Lease)>,
    /// The leases at that time.
    leases: BTreeMap<Lease, (Span, Instant)>,
    /// The revision at that time.
    revision: Revision,
}

/// The key-value service: its entries, leases, watches and the history of all changes.
#[derive(Default)]
pub struct Store {
    /// The last change of each entry, and the lease that the entry is attached to.
    entries: BTreeMap<EntryKey, (Change, Lease)>,
    /// All changes, in the order of their revisions.
    pub history: Vec<Change>,
    /// The leases, each with its duration and the time when it expires.
    leases: BTreeMap<Lease, (Span, Instant)>,
    /// Revision of the last change or lease grant.
    pub revision: Revision,
    /// Watches that have not completed.
    pub pending_watches: Vec<PendingWatch>,
    /// Watches after a lower revision than this one fail, as their changes are compacted.
    pub compacted: Revision,
    /// Number of times that the service has come back from a copy.
    pub era: Era,
    /// The copies from which the service may come back, the oldest first.
    copies: VecDeque<Copy>,
    /// Number of calls that the service handled.
    pub calls: u64,
    /// Number of entries after which lists have no end; `None` if they end.
    pub list_breaks_after: Option<usize>,
    /// Number of lists that were asked for.
    pub lists: u64,
    /// The VMs that have made a watch call.
    pub watched_by: std::collections::BTreeSet<usize>,
}

impl Store {
    /// Writes an entry without a condition, as the operator or a server does, and returns its revision.
    pub fn put(&mut self, key: EntryKey, value: EntryValue, lease: Lease) -> Revision {
        self.advance();
        let created = self
            .entries
            .get(&key)
            .map_or(self.revision, |(change, _)| change.created);
        let change = Change {
            key: key.clone(),
            revision: self.revision,
            created,
            value: Some(value),
        };
        self.entries.insert(key, (change.clone(), lease));
        self.history.push(change);
        self.revision
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &EntryKey) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.advance();
        self.history.push(Change {
            key: key.clone(),
            revision: self.revision,
            created: Revision::default(),
            value: None,
        });
    }

    /// Returns the last change of an entry, or `None` if the entry does not exist.
    pub fn get(&self, key: &EntryKey) -> Option<&Change> {
        self.entries.get(key).map(|(change, _)| change)
    }

    /// Returns the lease that an entry is attached to, or `None` if the entry does not exist.
    pub fn lease(&self, key: &EntryKey) -> Option<Lease> {
        self.entries.get(key).map(|(_, lease)| *lease)
    }

    /// Ends the leases that expire at `now` or before and removes their entries.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease and removes its entries.
    pub fn end_lease(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        let keys: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(|(_, (_, l))| *l == lease)
            .map(|(s, _)| s.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Makes a copy of the contents and drops copies that were made before `since`.
    pub fn make_copy(&mut self, now: Instant, since: Instant) {
        self.copies.retain(|copy| copy.at >= since);
        self.copies.push_back(Copy {
            at: now,
            entries: self.entries.clone(),
            leases: self.leases.clone(),
            revision: self.revision,
        });
    }

    /// Comes back from the oldest copy: what was written since is forgotten, and its revisions and lease ids are
    /// given out again. Leases have as long to live as they had when the copy was made.
    pub fn restore(&mut self, now: Instant) {
        let copy = self.copies.front().cloned().expect("a copy was made");
        // Later copies are forgotten as well.
        self.copies.truncate(1);
        let age = now.since(copy.at);
        self.era = self.era.next();
        self.entries = copy.entries;
        self.leases = copy.leases;
        for (_, end) in self.leases.values_mut() {
            *end += age;
        }
        let era = self.era;
        let renumber = |revision: &mut Revision| *revision = Revision::new(era, revision.number());
        self.history
            .retain(|change| change.revision.number() <= copy.revision.number());
        for change in &mut self.history {
            renumber(&mut change.revision);
        }
        for (change, _) in self.entries.values_mut() {
            renumber(&mut change.revision);
            renumber(&mut change.created);
        }
        self.revision = copy.revision;
        renumber(&mut self.revision);
        self.compacted = Revision::new(era, self.compacted.number().min(copy.revision.number()));
    }

    /// Raises the revision by one.
    fn advance(&mut self) {
        self.revision = Revision::new(self.era, self.revision.number() + 1);
    }

    /// Whether the service can tell what has changed after a revision. It knows numbers only.
    fn has_history_after(&self, after: Revision) -> bool {
        (self.compacted.number()..=self.revision.number()).contains(&after.number())
    }

    /// Returns the keys of all entries.
    pub fn keys(&self) -> Vec<EntryKey> {
        self.entries.keys().cloned().collect()
    }

    /// Extends every lease: leases don't expire while the service is unreachable.
    pub fn extend_leases(&mut self, by: Span) {
        for (_, end) in self.leases.values_mut() {
            *end += by;
        }
    }

    /// Executes a call and returns its outcome. Returns `None` for a watch, which
    /// [`complete_watches`](Self::complete_watches) completes.
    pub fn call(
        &mut self,
        now: Instant,
        vm: usize,
        op: u64,
        call: KvOperation,
    ) -> Option<KvOutcome> {
        self.calls += 1;
        match call {
            KvOperation::List => {
                self.lists += 1;
                let entries = self.entries.values().map(|(change, _)| change.clone());
                Some(match self.list_breaks_after {
                    None => KvOutcome::Listed(entries.collect(), self.revision),
                    Some(count) => KvOutcome::ListedInPart(
                        entries.take(count).collect(),
                        ListFailure {
                            cause: ListFailureCause::NotForward,
                            pages: 2,
                            after: "odd".into(),
                        },
                    ),
                })
            }
            KvOperation::Watch(after, _) if !self.has_history_after(after) => {
                Some(KvOutcome::Compacted)
            }
            KvOperation::Watch(after, wait) => {
                self.watched_by.insert(vm);
                self.pending_watches.push(PendingWatch {
                    vm,
                    op,
                    after: after.number(),
                    ends_at: now + wait,
                });
                None
            }
            KvOperation::GrantLease(ttl) => {
                self.advance();
                let lease = self.revision.number();
                self.leases.insert(lease, (ttl, now + ttl));
                Some(KvOutcome::Granted(lease, ttl))
            }
            KvOperation::RenewLease(lease) => Some(match self.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    KvOutcome::Renewed(*ttl)
                }
                None => KvOutcome::NoLease,
            }),
            KvOperation::RevokeLease(lease) => {
                self.end_lease(lease);
                Some(KvOutcome::NoLease)
            }
            KvOperation::Put(change, lease, conditions) => {
                Some(self.write_if_unchanged(change, lease, &conditions))
            }
            KvOperation::Remove(key, revision) => {
                let current = self.get(&key).map(|change| change.revision.number());
                let unchanged = current == Some(revision.number());
                if !unchanged {
                    return Some(self.conflict(&key));
                }
                self.remove(&key);
                Some(KvOutcome::Written(self.revision))
            }
        }
    }

    /// Completes the watches that have changes or are over, and returns each one's VM, call number and
    /// outcome.
    pub fn complete_watches(&mut self, now: Instant) -> Vec<(usize, u64, KvOutcome)> {
        let mut completed = Vec::new();
        let history = &self.history;
        let revision = self.revision;
        self.pending_watches.retain(|watch| {
            let changes: Vec<Change> = history
                .iter()
                .filter(|c| c.revision.number() > watch.after)
                .cloned()
                .collect();
            if changes.is_empty() && watch.ends_at > now {
                return true;
            }
            completed.push((watch.vm, watch.op, KvOutcome::Watched(changes, revision)));
            false
        });
        completed
    }

    /// Writes an entry under a lease if each of the keys in `conditions` still has this revision, or no entry
    /// for revision 0.
    fn write_if_unchanged(
        &mut self,
        change: Change,
        lease: Lease,
        conditions: &[(EntryKey, Revision)],
    ) -> KvOutcome {
        let current = |key: &EntryKey| self.get(key).map_or(0, |c| c.revision.number());
        let mut failed = conditions
            .iter()
            .filter(|(key, revision)| current(key) != revision.number());
        match (failed.next(), change.value) {
            (Some((key, _)), _) => self.conflict(key),
            _ if lease != 0 && !self.leases.contains_key(&lease) => KvOutcome::NoLease,
            (_, Some(value)) => KvOutcome::Written(self.put(change.key, value, lease)),
            (_, None) => KvOutcome::Refused,
        }
    }

    /// Returns the outcome of a failed condition on this key, with the key's entry.
    fn conflict(&self, key: &EntryKey) -> KvOutcome {
        let missing = Change {
            key: key.clone(),
            revision: Revision::new(self.era, 0),
            created: Revision::default(),
            value: None,
        };
        KvOutcome::Conflict(vec![self.get(key).cloned().unwrap_or(missing)])
    }
}
