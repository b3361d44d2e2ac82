//! The platform's key-value service.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Change, EntryKey, EntryValue, Revision};
use dahliastile_gateway::effect::KvOperation;
use dahliastile_gateway::event::{KvOutcome, Lease};

/// One call that waits for changes.
pub struct Waiter {
    /// The VM that waits.
    pub vm: usize,
    /// Its call.
    pub op: u64,
    /// Changes after this revision.
    pub after: Revision,
    /// Until then.
    pub until: Instant,
}

/// The service.
#[derive(Default)]
pub struct Store {
    /// The items, with their leases.
    items: BTreeMap<EntryKey, (Change, Lease)>,
    /// All changes.
    pub history: Vec<Change>,
    /// The leases, each with its length and its end.
    leases: BTreeMap<Lease, (Span, Instant)>,
    /// The last revision.
    pub revision: Revision,
    /// Calls that wait.
    pub waiters: Vec<Waiter>,
    /// Changes up to this revision can't be watched any more.
    pub compacted: Revision,
    /// Calls served.
    pub calls: u64,
    /// The VMs that have watched.
    pub watched_by: std::collections::BTreeSet<usize>,
}

impl Store {
    /// Writes an item, as the operator or a server does.
    pub fn put(&mut self, subject: EntryKey, fact: EntryValue, lease: Lease) -> Revision {
        self.revision += 1;
        let created = self
            .items
            .get(&subject)
            .map_or(self.revision, |(change, _)| change.created);
        let change = Change {
            key: subject.clone(),
            revision: self.revision,
            created,
            value: Some(fact),
        };
        self.items.insert(subject, (change.clone(), lease));
        self.history.push(change);
        self.revision
    }

    /// Removes an item.
    pub fn remove(&mut self, subject: &EntryKey) {
        if self.items.remove(subject).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(Change {
            key: subject.clone(),
            revision: self.revision,
            created: 0,
            value: None,
        });
    }

    /// The item of a subject.
    pub fn get(&self, subject: &EntryKey) -> Option<&Change> {
        self.items.get(subject).map(|(change, _)| change)
    }

    /// Removes what is under leases that have ended.
    pub fn expire(&mut self, now: Instant) {
        let ended: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    /// Ends a lease.
    pub fn end(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        let gone: Vec<EntryKey> = self
            .items
            .iter()
            .filter(|(_, (_, l))| *l == lease)
            .map(|(s, _)| s.clone())
            .collect();
        for subject in gone {
            self.remove(&subject);
        }
    }

    /// Lets every lease live on as if no time had passed, as while the service is away.
    pub fn extend(&mut self, by: Span) {
        for (_, end) in self.leases.values_mut() {
            *end += by;
        }
    }

    /// Carries a call out; none where it waits.
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
                let items = self
                    .items
                    .values()
                    .map(|(change, _)| change.clone())
                    .collect();
                Some(KvOutcome::Listed(items, self.revision))
            }
            KvOperation::Watch(after, _) if after < self.compacted => Some(KvOutcome::Compacted),
            KvOperation::Watch(after, wait) => {
                self.watched_by.insert(vm);
                self.waiters.push(Waiter {
                    vm,
                    op,
                    after,
                    until: now + wait,
                });
                None
            }
            KvOperation::GrantLease(ttl) => {
                self.revision += 1;
                self.leases.insert(self.revision, (ttl, now + ttl));
                Some(KvOutcome::Granted(self.revision, ttl))
            }
            KvOperation::RenewLease(lease) => Some(match self.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    KvOutcome::Renewed(*ttl)
                }
                None => KvOutcome::NoLease,
            }),
            KvOperation::RevokeLease(lease) => {
                self.end(lease);
                Some(KvOutcome::NoLease)
            }
            KvOperation::Put(change, lease, conditions) => {
                Some(self.write(change, lease, &conditions))
            }
            KvOperation::Remove(subject, revision) => {
                let fits = self.get(&subject).is_some_and(|c| c.revision == revision);
                if !fits {
                    return Some(self.conflict(&subject));
                }
                self.remove(&subject);
                Some(KvOutcome::Written(self.revision))
            }
        }
    }

    /// What waiting calls get now.
    pub fn wake(&mut self, now: Instant) -> Vec<(usize, u64, KvOutcome)> {
        let mut woken = Vec::new();
        let history = &self.history;
        let revision = self.revision;
        self.waiters.retain(|waiter| {
            let changes: Vec<Change> = history
                .iter()
                .filter(|c| c.revision > waiter.after)
                .cloned()
                .collect();
            if changes.is_empty() && waiter.until > now {
                return true;
            }
            woken.push((waiter.vm, waiter.op, KvOutcome::Watched(changes, revision)));
            false
        });
        woken
    }

    fn write(
        &mut self,
        change: Change,
        lease: Lease,
        conditions: &[(EntryKey, Revision)],
    ) -> KvOutcome {
        let known = |subject: &EntryKey| self.get(subject).map_or(0, |c| c.revision);
        let mut failed = conditions
            .iter()
            .filter(|(s, revision)| known(s) != *revision);
        match (failed.next(), change.value) {
            (Some((subject, _)), _) => self.conflict(subject),
            _ if !self.leases.contains_key(&lease) => KvOutcome::NoLease,
            (_, Some(fact)) => KvOutcome::Written(self.put(change.key, fact, lease)),
            (_, None) => KvOutcome::Refused,
        }
    }

    fn conflict(&self, subject: &EntryKey) -> KvOutcome {
        KvOutcome::Conflict(self.get(subject).cloned().into_iter().collect())
    }
}
