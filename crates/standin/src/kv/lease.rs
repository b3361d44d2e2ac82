//! Leases and the keys attached to them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::feed::Change;
use super::json::Int;
use super::store::{Refusal, Result, Store};

/// A granted lease.
#[derive(Debug)]
pub(super) struct Lease {
    /// The time to live, in seconds.
    pub(super) ttl: Int,
    /// When it expires unless it is kept alive.
    pub(super) deadline: Instant,
    /// The keys attached to it.
    pub(super) keys: BTreeSet<Vec<u8>>,
}

impl Store {
    /// Grants a lease.
    pub(crate) fn grant(&mut self, id: Int, ttl: Int, now: Instant) -> Result<Value> {
        self.granted += 1;
        let id = if id.is_zero() {
            Int(lease_id(self.granted))
        } else {
            id
        };
        if self.leases.contains_key(&id) {
            return Err(Refusal::LeaseExists);
        }
        let ttl = Int(ttl.0.max(1));
        let lease = Lease {
            ttl,
            deadline: now + seconds(self.second, ttl),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(json!({"header": self.header(), "ID": id, "TTL": ttl}))
    }

    /// Renews a lease; the answer lacks the time to live when there is no such lease.
    pub(crate) fn keep_alive(&mut self, id: Int, now: Instant) -> Value {
        let header = self.header();
        let second = self.second;
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.deadline = now + seconds(second, lease.ttl);
                json!({"header": header, "ID": id, "TTL": lease.ttl})
            }
            None => json!({"header": header, "ID": id}),
        }
    }

    /// Ends a lease and deletes the keys attached to it.
    pub(crate) fn revoke(&mut self, id: Int) -> Result<Value> {
        let lease = self.leases.remove(&id).ok_or(Refusal::NoLease)?;
        let mut changes = Vec::new();
        for key in lease.keys {
            self.items.remove(&key);
            changes.push(Change { key, item: None });
        }
        self.commit(changes);
        Ok(self.with_header(json!({})))
    }

    /// Ends the leases whose time is over and returns when the next one ends.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let over = |lease: &Lease| lease.deadline <= now;
        let ids: Vec<Int> = self
            .leases
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            // The lease was found just now, so that it can be revoked.
            let _ = self.revoke(id);
        }
        self.leases.values().map(|lease| lease.deadline).min()
    }
}

fn seconds(second: Duration, ttl: Int) -> Duration {
    second.saturating_mul(u32::try_from(ttl.0).unwrap_or(u32::MAX))
}

/// The number of the n-th lease, kept apart from the numbers that clients choose.
fn lease_id(granted: i64) -> i64 {
    const FIRST: i64 = 1 << 32;
    FIRST + granted
}
