//! A fake key-value service: revisions, transactions, leases, watches, compaction, and faults.

use std::collections::BTreeMap;

use dahliastile_core::event::Event;
use dahliastile_core::id::{Lease, Op, Revision};
use dahliastile_core::platform::{Call, Compare, Notice, Outcome, Pair, Put, Reply};

use super::net::End;
use super::{Fleet, MS, Micros, Origin};

/// The largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Operations in one transaction at most.
const MAX_OPS: usize = 128;

/// What is wrong with the service.
#[derive(Debug)]
pub struct Faults {
    /// Connections are refused: calls certainly don't arrive.
    pub refuse: bool,
    /// The service is silent: calls end as unknown and have no effect.
    pub silent: bool,
    /// Extra time to each answer.
    pub slow: Micros,
    /// The next answers that are lost though the call took effect.
    pub lose_answers: u32,
    /// The next calls that are lost before they take effect.
    pub lose_calls: u32,
    /// Spares calls of other kinds than this one from the two counts above.
    pub only: Option<&'static str>,
    /// The time after which a call without an answer is unknown.
    pub timeout: Micros,
}

#[derive(Debug)]
struct Watch {
    origin: Origin,
    op: Op,
    prefix: String,
}

#[derive(Debug)]
struct Alive {
    ttl: Micros,
    end: Micros,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    pair: Option<Pair>,
}

/// A copy of what the service holds, from which it may come back.
#[derive(Debug)]
pub struct Copy {
    pairs: BTreeMap<String, (Pair, Option<Lease>)>,
    leases: Vec<Lease>,
    revision: u64,
    last_lease: u64,
}

/// The service.
#[derive(Debug)]
pub struct Kv {
    /// What is wrong with it.
    pub faults: Faults,
    /// Calls that reached it, by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// The last revision.
    pub revision: u64,
    /// What it holds, with the lease of each key.
    pub pairs: BTreeMap<String, (Pair, Option<Lease>)>,
    leases: BTreeMap<Lease, Alive>,
    last_lease: u64,
    history: Vec<Change>,
    compacted: u64,
    watches: Vec<Watch>,
    notices: Vec<(Origin, Op, Notice)>,
}

impl Default for Kv {
    fn default() -> Self {
        Self {
            faults: Faults {
                refuse: false,
                silent: false,
                slow: 0,
                lose_answers: 0,
                lose_calls: 0,
                only: None,
                timeout: 2_000 * MS,
            },
            calls: BTreeMap::new(),
            revision: 1,
            pairs: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: Vec::new(),
            compacted: 0,
            watches: Vec::new(),
            notices: Vec::new(),
        }
    }
}

/// The name under which a call is counted.
pub fn kind(call: &Call) -> &'static str {
    match call {
        Call::Range { .. } => "range",
        Call::Get { .. } => "get",
        Call::Txn { .. } => "txn",
        Call::LeaseGrant { .. } => "lease_grant",
        Call::LeaseRenew { .. } => "lease_renew",
        Call::LeaseRevoke { .. } => "lease_revoke",
        Call::Watch { .. } => "watch",
    }
}

impl Kv {
    /// All calls so far.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }

    /// A value.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.pairs.get(key).map(|(pair, _)| pair.value.as_slice())
    }

    /// Forgets history up to the present revision; watches that begin below it are told so.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// A copy of what the service holds.
    pub fn copy(&self) -> Copy {
        Copy {
            pairs: self.pairs.clone(),
            leases: self.leases.keys().copied().collect(),
            revision: self.revision,
            last_lease: self.last_lease,
        }
    }

    /// Comes back from a copy: what was written since is forgotten, and its revisions and lease ids are given out
    /// again.
    pub fn restore(&mut self, copy: Copy) {
        self.leases.retain(|lease, _| copy.leases.contains(lease));
        let alive = |lease: &Option<Lease>| lease.is_none_or(|l| self.leases.contains_key(&l));
        self.pairs = copy.pairs;
        self.pairs.retain(|_, (_, lease)| alive(lease));
        self.revision = copy.revision;
        self.last_lease = copy.last_lease;
        self.history
            .retain(|change| change.revision <= copy.revision);
    }

    /// Ends every lease, as if each had lapsed.
    pub fn end_leases(&mut self) {
        let leases: Vec<Lease> = self.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| self.end_lease(lease));
    }

    pub(crate) fn unwatch(&mut self, origin: Origin, op: Op) {
        self.watches
            .retain(|watch| watch.origin != origin || watch.op != op);
    }

    pub(crate) fn drop_watches(&mut self, origin: Origin) {
        self.watches.retain(|watch| watch.origin != origin);
    }

    fn apply(&mut self, now: Micros, call: Call) -> Outcome {
        match call {
            Call::Range { prefix, limit } => {
                let within = self.pairs.range(prefix.clone()..);
                let within = within.take_while(|(key, _)| key.starts_with(&prefix));
                let pairs = within.take(limit as usize).map(|(_, row)| row.0.clone());
                self.done(pairs.collect(), None)
            }
            Call::Get { key } => {
                let pair = self.pairs.get(&key).map(|row| row.0.clone());
                self.done(pair.into_iter().collect(), None)
            }
            Call::Txn {
                compares,
                puts,
                deletes,
            } => self.txn(&compares, puts, deletes),
            Call::LeaseGrant { ttl } => {
                self.last_lease += 1;
                let lease = Lease(self.last_lease);
                let end = now + ttl.0;
                self.leases.insert(lease, Alive { ttl: ttl.0, end });
                self.done(Vec::new(), Some(lease))
            }
            Call::LeaseRenew { lease } => match self.leases.get_mut(&lease) {
                Some(alive) => {
                    alive.end = now + alive.ttl;
                    self.done(Vec::new(), Some(lease))
                }
                None => Outcome::Conflict,
            },
            Call::LeaseRevoke { lease } if self.leases.contains_key(&lease) => {
                self.end_lease(lease);
                self.done(Vec::new(), Some(lease))
            }
            Call::LeaseRevoke { .. } => Outcome::Conflict,
            Call::Watch { .. } => unreachable!("watches are answered by notices"),
        }
    }

    fn done(&self, pairs: Vec<Pair>, lease: Option<Lease>) -> Outcome {
        Outcome::Done(Reply {
            revision: Revision(self.revision),
            pairs,
            lease,
        })
    }

    fn holds(&self, compare: &Compare) -> bool {
        let pair = |key: &String| self.pairs.get(key).map(|row| &row.0);
        match compare {
            Compare::Changed(key, revision) => {
                pair(key).map_or(Revision(0), |pair| pair.changed) == *revision
            }
            Compare::Created(key, revision) => {
                pair(key).map_or(Revision(0), |pair| pair.created) == *revision
            }
        }
    }

    fn txn(&mut self, compares: &[Compare], puts: Vec<Put>, deletes: Vec<String>) -> Outcome {
        let ops = compares.len().max(puts.len() + deletes.len());
        assert!(ops <= MAX_OPS, "{ops} operations in one transaction");
        let alive = |put: &Put| {
            put.lease
                .is_none_or(|lease| self.leases.contains_key(&lease))
        };
        if !compares.iter().all(|compare| self.holds(compare)) || !puts.iter().all(alive) {
            return Outcome::Conflict;
        }
        if puts.is_empty() && deletes.is_empty() {
            return self.done(Vec::new(), None);
        }
        self.revision += 1;
        let puts = puts.into_iter().map(|put| self.put(put)).collect();
        self.notify_put(puts);
        self.delete(deletes);
        self.done(Vec::new(), None)
    }

    fn put(&mut self, put: Put) -> Pair {
        assert!(put.value.len() <= MAX_VALUE, "{} is too large", put.key);
        let changed = Revision(self.revision);
        let before = self.pairs.get(&put.key);
        let pair = Pair {
            created: before.map_or(changed, |row| row.0.created),
            changed,
            key: put.key.clone(),
            value: put.value,
        };
        self.pairs.insert(put.key, (pair.clone(), put.lease));
        pair
    }

    fn delete(&mut self, mut keys: Vec<String>) {
        keys.retain(|key| self.pairs.remove(key).is_some());
        for key in &keys {
            self.history.push(Change {
                revision: self.revision,
                key: key.clone(),
                pair: None,
            });
        }
        for watch in &self.watches {
            let seen = keys.iter().filter(|key| key.starts_with(&watch.prefix));
            let seen: Vec<String> = seen.cloned().collect();
            if !seen.is_empty() {
                let notice = Notice::Deleted(seen, Revision(self.revision));
                self.notices.push((watch.origin, watch.op, notice));
            }
        }
    }

    fn notify_put(&mut self, pairs: Vec<Pair>) {
        for watch in &self.watches {
            let seen = pairs.iter().filter(|p| p.key.starts_with(&watch.prefix));
            let seen: Vec<Pair> = seen.cloned().collect();
            if !seen.is_empty() {
                self.notices
                    .push((watch.origin, watch.op, Notice::Changed(seen)));
            }
        }
        for pair in pairs {
            self.history.push(Change {
                revision: self.revision,
                key: pair.key.clone(),
                pair: Some(pair),
            });
        }
    }

    fn watch(&mut self, origin: Origin, op: Op, prefix: String, from: Revision) {
        if from.0 > 0 && (from.0 < self.compacted || from.0 > self.revision + 1) {
            self.notices.push((origin, op, Notice::Compacted));
            return;
        }
        let past = |change: &&Change| {
            from.0 > 0 && change.revision >= from.0 && change.key.starts_with(&prefix)
        };
        for change in self.history.iter().filter(past) {
            let notice = match &change.pair {
                Some(pair) => Notice::Changed(vec![pair.clone()]),
                None => Notice::Deleted(vec![change.key.clone()], Revision(change.revision)),
            };
            self.notices.push((origin, op, notice));
        }
        self.watches.push(Watch { origin, op, prefix });
    }

    fn end_lease(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        let mine = |row: &(Pair, Option<Lease>)| row.1 == Some(lease);
        let keys: Vec<String> = self
            .pairs
            .iter()
            .filter(|(_, row)| mine(row))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            self.delete(keys);
        }
    }
}

impl Fleet {
    /// Takes the service down: calls are refused, or silent where `silent`. Watches break.
    pub fn kv_down(&mut self, silent: bool) {
        self.kv.faults.refuse = !silent;
        self.kv.faults.silent = silent;
        for watch in std::mem::take(&mut self.kv.watches) {
            self.kv
                .notices
                .push((watch.origin, watch.op, Notice::Broken));
        }
        self.kv_notices();
    }

    /// Brings the service back.
    pub fn kv_up(&mut self) {
        self.kv.faults.refuse = false;
        self.kv.faults.silent = false;
    }

    pub(crate) fn platform(&mut self, origin: Origin, op: Op, call: Call) {
        let cut = self.net.is_cut(&End::Vm(origin.vm), &End::Kv);
        if self.kv.faults.refuse || cut {
            let delay = self.net.kv;
            return self.kv_answer(origin, op, &call, Outcome::NotSent, delay);
        }
        self.after(self.net.kv, move |fleet| fleet.kv_call(origin, op, call));
    }

    fn kv_call(&mut self, origin: Origin, op: Op, call: Call) {
        *self.kv.calls.entry(kind(&call)).or_default() += 1;
        let timeout = self.kv.faults.timeout;
        let open = self.kv.faults.only.is_none_or(|only| only == kind(&call));
        let faults = &mut self.kv.faults;
        let lost = faults.silent || (open && super::engine::take(&mut faults.lose_calls));
        if lost {
            return self.kv_answer(origin, op, &call, Outcome::Unknown, timeout);
        }
        if let Call::Watch { prefix, from } = call {
            self.kv.watch(origin, op, prefix, from);
            return self.kv_notices();
        }
        let answer_lost = open && super::engine::take(&mut faults.lose_answers);
        let outcome = self.kv.apply(self.now, call.clone());
        self.kv_expiry(&call, &outcome);
        self.kv_notices();
        let delay = self.net.kv + self.kv.faults.slow;
        if answer_lost || delay > timeout {
            return self.kv_answer(origin, op, &call, Outcome::Unknown, timeout);
        }
        self.kv_answer(origin, op, &call, outcome, delay);
    }

    fn kv_answer(&mut self, to: Origin, op: Op, call: &Call, outcome: Outcome, delay: Micros) {
        let event = match call {
            Call::Watch { .. } => Event::Watch {
                op,
                notice: Notice::Broken,
            },
            _ => Event::Platform { op, outcome },
        };
        self.tell(to, delay, event);
    }

    /// Looks at a lease again when it would end.
    fn kv_expiry(&mut self, call: &Call, outcome: &Outcome) {
        let timed = matches!(call, Call::LeaseGrant { .. } | Call::LeaseRenew { .. });
        let Outcome::Done(Reply {
            lease: Some(lease), ..
        }) = outcome
        else {
            return;
        };
        let lease = *lease;
        let Some(end) = self.kv.leases.get(&lease).map(|alive| alive.end) else {
            return;
        };
        if timed {
            self.after(end - self.now, move |fleet| {
                let over = fleet.kv.leases.get(&lease).map(|alive| alive.end) == Some(end);
                if over {
                    fleet.kv.end_lease(lease);
                    fleet.kv_notices();
                }
            });
        }
    }

    fn kv_notices(&mut self) {
        for (origin, op, notice) in std::mem::take(&mut self.kv.notices) {
            self.tell(origin, self.net.kv, Event::Watch { op, notice });
        }
    }
}
