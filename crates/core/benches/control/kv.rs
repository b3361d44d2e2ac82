//! A small key-value service: transactions, leases that end, watches. Counts the calls and bytes of each kind.

use std::collections::BTreeMap;

use dahliastile_core::id::{Lease, Op, Revision};
use dahliastile_core::platform::{Call, Compare, Notice, Outcome, Pair, Put, Reply};

use crate::fleet::{Micros, Origin};

/// Calls of one kind, and the bytes of their keys and values both ways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Calls.
    pub calls: u64,
    /// Bytes.
    pub bytes: u64,
}

/// The service.
#[derive(Default)]
pub struct Kv {
    /// Calls by kind.
    pub counts: BTreeMap<&'static str, Count>,
    /// What it holds.
    pub pairs: BTreeMap<String, (Pair, Option<Lease>)>,
    /// Leases with their length and end.
    leases: BTreeMap<Lease, (Micros, Micros)>,
    /// Watches with their prefixes.
    pub watches: BTreeMap<(Origin, Op), String>,
    /// Notices that are to be delivered.
    pub notices: Vec<(Origin, Op, Notice)>,
    revision: u64,
    last_lease: u64,
}

fn kind(call: &Call) -> &'static str {
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

fn weight(pairs: &[Pair]) -> usize {
    pairs.iter().map(|p| p.key.len() + p.value.len()).sum()
}

impl Kv {
    /// Carries a call out; a watch has no outcome.
    pub fn call(&mut self, now: Micros, origin: Origin, op: Op, call: &Call) -> Option<Outcome> {
        let outcome = self.apply(now, origin, op, call);
        let back = match &outcome {
            Some(Outcome::Done(reply)) => weight(&reply.pairs),
            _ => 0,
        };
        let there = match call {
            Call::Range { prefix, .. } | Call::Watch { prefix, .. } => prefix.len(),
            Call::Get { key } => key.len(),
            Call::Txn { compares, puts, .. } => {
                let puts = puts.iter().map(|put| put.key.len() + put.value.len());
                puts.sum::<usize>() + compares.len() * 32
            }
            _ => 8,
        };
        let count = self.counts.entry(kind(call)).or_default();
        count.calls += 1;
        count.bytes += (there + back) as u64;
        outcome
    }

    fn apply(&mut self, now: Micros, origin: Origin, op: Op, call: &Call) -> Option<Outcome> {
        match call {
            Call::Range { prefix, limit } => {
                let below = self.pairs.range(prefix.clone()..);
                let below = below.take_while(|(key, _)| key.starts_with(prefix));
                let pairs = below.take(*limit as usize).map(|(_, row)| row.0.clone());
                Some(self.done(pairs.collect(), None))
            }
            Call::Get { key } => {
                let pair = self.pairs.get(key).map(|row| row.0.clone());
                Some(self.done(pair.into_iter().collect(), None))
            }
            Call::Txn {
                compares,
                puts,
                deletes,
            } => Some(self.txn(compares, puts, deletes)),
            Call::LeaseGrant { ttl } => {
                self.last_lease += 1;
                let lease = Lease(self.last_lease);
                self.leases.insert(lease, (ttl.0, now + ttl.0));
                Some(self.done(Vec::new(), Some(lease)))
            }
            Call::LeaseRenew { lease } => match self.leases.get_mut(lease) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    Some(self.done(Vec::new(), Some(*lease)))
                }
                None => Some(Outcome::Conflict),
            },
            Call::LeaseRevoke { lease } => {
                self.end(*lease);
                Some(self.done(Vec::new(), Some(*lease)))
            }
            Call::Watch { prefix, from } => {
                self.watches.insert((origin, op), prefix.clone());
                let missed = self.pairs.values().map(|row| &row.0);
                let missed = missed.filter(|p| p.key.starts_with(prefix) && p.changed >= *from);
                let missed: Vec<Pair> = missed.cloned().collect();
                if !missed.is_empty() {
                    self.notices.push((origin, op, Notice::Changed(missed)));
                }
                None
            }
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
        let (key, wanted, field): (_, _, fn(&Pair) -> Revision) = match compare {
            Compare::Changed(key, revision) => (key, revision, |pair| pair.changed),
            Compare::Created(key, revision) => (key, revision, |pair| pair.created),
        };
        let pair = self.pairs.get(key);
        pair.map_or(Revision(0), |row| field(&row.0)) == *wanted
    }

    fn txn(&mut self, compares: &[Compare], puts: &[Put], deletes: &[String]) -> Outcome {
        let alive = |put: &Put| {
            put.lease
                .is_none_or(|lease| self.leases.contains_key(&lease))
        };
        if !compares.iter().all(|compare| self.holds(compare)) || !puts.iter().all(alive) {
            return Outcome::Conflict;
        }
        self.revision += 1;
        deletes.iter().for_each(|key| drop(self.pairs.remove(key)));
        for put in puts {
            let changed = Revision(self.revision);
            let before = self.pairs.get(&put.key);
            let pair = Pair {
                key: put.key.clone(),
                value: put.value.clone(),
                created: before.map_or(changed, |row| row.0.created),
                changed,
            };
            self.notify(&pair);
            self.pairs.insert(put.key.clone(), (pair, put.lease));
        }
        self.done(Vec::new(), None)
    }

    fn notify(&mut self, pair: &Pair) {
        let seen = self
            .watches
            .iter()
            .filter(|row| pair.key.starts_with(row.1));
        for ((origin, op), _) in seen {
            let notice = Notice::Changed(vec![pair.clone()]);
            self.notices.push((*origin, *op, notice));
        }
    }

    /// The length of the snapshots of the configuration.
    pub fn snapshot_bytes(&self) -> usize {
        let parts = self.pairs.values().map(|row| &row.0);
        let parts = parts.filter(|pair| pair.key.contains("/config/snap/"));
        parts.map(|pair| pair.value.len()).sum()
    }

    /// Ends the leases that are over.
    pub fn pass_time(&mut self, now: Micros) {
        let over = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let over: Vec<Lease> = over.map(|(lease, _)| *lease).collect();
        over.into_iter().for_each(|lease| self.end(lease));
    }

    fn end(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        self.pairs.retain(|_, row| row.1 != Some(lease));
    }

    /// Forgets everything but the configuration.
    pub fn keep_configuration(&mut self) {
        self.pairs.retain(|key, _| key.contains("/config/"));
        self.leases.clear();
        self.watches.clear();
    }
}
