//! The versioned items, leases and watchers of the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use super::feed::{Change, Span, Watcher, Watching};
use super::json::{Bytes, Compare, Delete, Int, Op, Put, Range, Relation, Target, Txn};
use super::lease::Lease;

/// One key's item at one revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: Bytes,
    /// The revision that created the key.
    pub create_revision: Int,
    /// The revision of this item.
    pub mod_revision: Int,
    /// The number of writes since the key was created.
    pub version: Int,
    /// The value.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// The lease that the key is attached to; zero for none.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// Why an operation is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The revision to read at has been compacted.
    Compacted,
    /// The revision to read at has not come yet.
    Future,
    /// There is no such lease.
    NoLease,
    /// There is such a lease already.
    LeaseExists,
    /// A transaction writes one key twice.
    DuplicateKey,
    /// There is no key in the request.
    EmptyKey,
}

/// A result of the store.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// All items with their history.
#[derive(Debug)]
pub(crate) struct Store {
    /// The length of one second of a lease.
    pub(super) second: Duration,
    /// The latest revision.
    revision: Int,
    /// The revision of the last compaction.
    compacted: Int,
    /// The present items.
    pub(super) items: BTreeMap<Vec<u8>, Item>,
    /// The changes by revision, from the compacted one on.
    log: BTreeMap<Int, Vec<Change>>,
    /// The items as of the compacted revision.
    base: BTreeMap<Vec<u8>, Item>,
    /// The granted leases.
    pub(super) leases: BTreeMap<Int, Lease>,
    /// The number of leases granted so far.
    pub(super) granted: i64,
    /// The waiting watches.
    watchers: Vec<Watcher>,
}

impl Store {
    /// An empty store at revision 1, as etcd starts.
    pub(crate) fn new(second: Duration) -> Self {
        Self {
            second,
            revision: Int(1),
            compacted: Int(0),
            items: BTreeMap::new(),
            log: BTreeMap::new(),
            base: BTreeMap::new(),
            leases: BTreeMap::new(),
            granted: 0,
            watchers: Vec::new(),
        }
    }

    /// The header of each answer.
    pub(crate) fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision, "raft_term": "1"})
    }

    /// The present item of a key.
    pub(crate) fn item(&self, key: &[u8]) -> Option<&Item> {
        self.items.get(key)
    }

    /// The number of waiting watches.
    pub(crate) fn watching(&self) -> usize {
        self.watchers
            .iter()
            .filter(|watcher| !watcher.batches.is_disconnected())
            .count()
    }

    /// Reads a span of keys.
    pub(crate) fn range(&self, range: &Range) -> Result<Value> {
        let past = match range.revision {
            Int(..=0) => None,
            at if at > self.revision => return Err(Refusal::Future),
            at if at < self.compacted => return Err(Refusal::Compacted),
            at => Some(self.items_at(at)),
        };
        let span = Span::new(&range.key, &range.range_end);
        let items = past.as_ref().unwrap_or(&self.items).values();
        let mut found: Vec<Item> = items.filter(|i| span.contains(&i.key.0)).cloned().collect();
        let count = found.len();
        let limit = match usize::try_from(range.limit.0) {
            Ok(limit) if limit > 0 => limit,
            _ => count,
        };
        found.truncate(if range.count_only { 0 } else { limit });
        if range.keys_only {
            for item in &mut found {
                item.value = Bytes::default();
            }
        }
        let mut answer = json!({"header": self.header()});
        if !found.is_empty() {
            answer["kvs"] = json!(found);
        }
        if count > limit {
            answer["more"] = json!(true);
        }
        if count > 0 {
            answer["count"] = json!(count.to_string());
        }
        Ok(answer)
    }

    /// Writes one key.
    pub(crate) fn put(&mut self, put: &Put) -> Result<Value> {
        self.check_put(put)?;
        let mut changes = Vec::new();
        let answer = self.apply_put(put, &mut changes);
        self.commit(changes);
        Ok(self.with_header(answer))
    }

    /// Deletes a span of keys.
    pub(crate) fn delete(&mut self, delete: &Delete) -> Result<Value> {
        check_key(&delete.key)?;
        let mut changes = Vec::new();
        let answer = self.apply_delete(delete, &mut changes);
        self.commit(changes);
        Ok(self.with_header(answer))
    }

    /// Runs one transaction under one revision.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Result<Value> {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        self.check_ops(ops)?;
        let mut changes = Vec::new();
        let mut responses = Vec::new();
        for op in ops {
            responses.push(match op {
                Op::Range(range) => json!({"response_range": self.range(range)?}),
                Op::Put(put) => json!({"response_put": self.apply_put(put, &mut changes)}),
                Op::Delete(delete) => {
                    json!({"response_delete_range": self.apply_delete(delete, &mut changes)})
                }
            });
        }
        self.commit(changes);
        let mut answer = json!({});
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            answer["responses"] = json!(responses);
        }
        Ok(self.with_header(answer))
    }

    /// Forgets the history below a revision.
    pub(crate) fn compact(&mut self, at: Int) -> Result<Value> {
        match at {
            at if at > self.revision => return Err(Refusal::Future),
            at if at <= self.compacted => return Err(Refusal::Compacted),
            at => {
                self.base = self.items_at(Int(at.0 - 1));
                self.log = self.log.split_off(&at);
                self.compacted = at;
            }
        }
        Ok(json!({"header": self.header()}))
    }

    /// Forgets all history below the latest revision.
    pub(crate) fn compact_all(&mut self) {
        // There is nothing to forget when the latest revision has been compacted already.
        let _ = self.compact(self.revision);
    }

    /// Starts a watch with the changes that it missed.
    pub(crate) fn watch(&mut self, span: Span, start: Int) -> Watching {
        self.watchers
            .retain(|watcher| !watcher.batches.is_disconnected());
        let from = if start.0 <= 0 {
            Int(self.revision.0 + 1)
        } else {
            start
        };
        if from < self.compacted {
            return Watching::Compacted(self.compacted);
        }
        let (batches, receiver) = flume::unbounded();
        let watcher = Watcher {
            span,
            from,
            batches,
        };
        for (revision, changes) in self.log.range(from..) {
            watcher.tell(*revision, changes);
        }
        self.watchers.push(watcher);
        Watching::Started(receiver)
    }

    /// Ends all watches.
    pub(crate) fn cut_watches(&mut self) {
        self.watchers.clear();
    }

    pub(super) fn with_header(&self, mut answer: Value) -> Value {
        answer["header"] = self.header();
        answer
    }

    /// The revision that the changes in hand will get.
    fn next(&self) -> Int {
        Int(self.revision.0 + 1)
    }

    fn items_at(&self, at: Int) -> BTreeMap<Vec<u8>, Item> {
        let mut items = self.base.clone();
        for change in self.log.range(..=at).flat_map(|(_, changes)| changes) {
            match &change.item {
                Some(item) => items.insert(change.key.clone(), item.clone()),
                None => items.remove(&change.key),
            };
        }
        items
    }

    fn check_put(&self, put: &Put) -> Result<()> {
        check_key(&put.key)?;
        match put.lease {
            lease if lease.is_zero() || self.leases.contains_key(&lease) => Ok(()),
            _ => Err(Refusal::NoLease),
        }
    }

    /// Checks all operations first, since a transaction has no effect when it is refused.
    fn check_ops(&self, ops: &[Op]) -> Result<()> {
        let mut written = BTreeSet::new();
        for op in ops {
            match op {
                Op::Range(range) => drop(self.range(range)?),
                Op::Put(put) => self.check_put(put)?,
                Op::Delete(delete) => check_key(&delete.key)?,
            }
            match op {
                Op::Put(put) if !written.insert(&put.key) => return Err(Refusal::DuplicateKey),
                _ => {}
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let item = self.items.get(&compare.key.0);
        let field = |get: fn(&Item) -> Int| item.map_or(Int(0), get);
        let order = match (compare.target, item) {
            (Target::Version, _) => field(|i| i.version).cmp(&compare.version),
            (Target::Create, _) => field(|i| i.create_revision).cmp(&compare.create_revision),
            (Target::Mod, _) => field(|i| i.mod_revision).cmp(&compare.mod_revision),
            (Target::Value, Some(item)) => item.value.cmp(&compare.value),
            // As in etcd, no condition on the value of a missing key holds.
            (Target::Value, None) => return false,
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::NotEqual => order.is_ne(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
        }
    }

    fn apply_put(&mut self, put: &Put, changes: &mut Vec<Change>) -> Value {
        let revision = self.next();
        let key = put.key.0.clone();
        let former = self.items.get(&key).cloned();
        if let Some(lease) = former
            .as_ref()
            .and_then(|item| self.leases.get_mut(&item.lease))
        {
            lease.keys.remove(&key);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(key.clone());
        }
        let item = Item {
            key: put.key.clone(),
            create_revision: former
                .as_ref()
                .map_or(revision, |item| item.create_revision),
            mod_revision: revision,
            version: Int(former.as_ref().map_or(1, |item| item.version.0 + 1)),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.items.insert(key.clone(), item.clone());
        changes.push(Change {
            key,
            item: Some(item),
        });
        let header = json!({ "revision": revision });
        match former {
            Some(former) if put.prev_kv => json!({"header": header, "prev_kv": former}),
            _ => json!({ "header": header }),
        }
    }

    fn apply_delete(&mut self, delete: &Delete, changes: &mut Vec<Change>) -> Value {
        let span = Span::new(&delete.key, &delete.range_end);
        let all = self.items.values();
        let former: Vec<Item> = all.filter(|i| span.contains(&i.key.0)).cloned().collect();
        for item in &former {
            let key = item.key.0.clone();
            self.items.remove(&key);
            if let Some(lease) = self.leases.get_mut(&item.lease) {
                lease.keys.remove(&key);
            }
            changes.push(Change { key, item: None });
        }
        let mut answer = json!({"header": {"revision": self.next()}});
        if !former.is_empty() {
            answer["deleted"] = json!(former.len().to_string());
        }
        if delete.prev_kv && !former.is_empty() {
            answer["prev_kvs"] = json!(former);
        }
        answer
    }

    /// Gives the changes a revision and tells the watchers.
    pub(super) fn commit(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision = self.next();
        for watcher in &self.watchers {
            watcher.tell(self.revision, &changes);
        }
        self.log.insert(self.revision, changes);
    }
}

fn check_key(key: &Bytes) -> Result<()> {
    if key.is_empty() {
        Err(Refusal::EmptyKey)
    } else {
        Ok(())
    }
}
