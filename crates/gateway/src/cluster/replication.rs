//! Replication of the key-value service's changes from VM to VM.

use dahliastile_core::id::{Incarnation, Vm};
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Change, Delivery};
use crate::cluster::watch::{DIRECT_WATCH_PAUSE, UPSTREAM_TIMEOUT};
use crate::effect::Effects;
use crate::message::{Message, Replication};
use crate::node::Gateway;
use crate::timer::Timer;

/// The greatest age of the key-value service's last answer to an upstream, as reported by that upstream, at
/// which the upstream counts as fresh: the duration of a watch, the pause after it, the interval of
/// subscriptions and some margin. An older answer shows that the upstream's connection to the service is
/// impaired.
const WATCHER_FRESHNESS: Span = Span::from_millis(1_100);

/// The same bound for an upstream that is the relay of an availability zone and learns of the answers from a
/// watcher: one more interval of subscriptions. When it is exceeded, the VMs of the zone choose their next
/// relay, which has `SECOND_UPSTREAM_TIMEOUT` to reach the service, since a configuration must be in force
/// within two seconds.
const RELAY_FRESHNESS: Span = Span::from_millis(1_400);

/// How long a subscription is valid: time for five messages that renew it.
const SUBSCRIPTION_DURATION: Span = Span::from_millis(2_000);

/// How long after the key-value service came back from a copy the operator may take to write again what it has
/// forgotten.
const OPERATOR_REWRITE: Span = Span::from_secs(30);

impl Gateway {
    /// Handles a subscription: the start `incarnation` of `from` wants the changes after the revision `since`. For
    /// [`OPERATOR_REWRITE`] after the key-value service came back from a copy, a new subscriber is also sent all of
    /// the operator's entries: the service may have forgotten their versions.
    pub(crate) fn handle_subscribe(
        &mut self,
        from: &Vm,
        incarnation: Incarnation,
        since: Revision,
        out: &mut Effects,
    ) {
        self.record_era_of(since, out);
        let until = self.now + SUBSCRIPTION_DURATION;
        let subscribers = &mut self.watch.subscribers;
        let before = subscribers.insert(from.clone(), (incarnation, until));
        let is_new =
            before.is_none_or(|(before, until)| before != incarnation || until <= self.now);
        let mut changes: Vec<Change> = self.snapshot.changes_after(since).cloned().collect();
        let restored_at = self.watch.era_began_at;
        if is_new && restored_at.is_some_and(|at| self.now < at + OPERATOR_REWRITE) {
            changes.extend(self.snapshot.operator_entries().cloned());
        }
        let batch = self.new_batch(since, self.watch.cursor.unwrap_or(since), changes);
        self.send(from, Message::Replicate(batch), out);
        if since == Revision::default() {
            self.send_quarantines(from, out);
            self.send_notices(from, out);
        }
    }

    /// Applies the changes that another VM sent.
    pub(crate) fn apply_replicated(&mut self, from: &Vm, batch: Replication, out: &mut Effects) {
        let answered = self.now.back(batch.age);
        self.record_answer_to_any(answered);
        let stale_at = answered + self.freshness_limit(from);
        if self.watch.upstream.as_ref() == Some(from) {
            self.watch.upstream_heard_at = self.now;
            self.watch.upstream_timeout = UPSTREAM_TIMEOUT;
            self.watch.upstream_answered_at = answered;
            self.timers.set(stale_at, Timer::Watch);
        }
        if self.now < stale_at {
            self.record_reported_answer(answered, from, out);
        }
        self.record_era_of(batch.until, out);
        let since = self.watch.cursor;
        let new_values = batch.changes.iter();
        let new_values = new_values.filter(|change| self.snapshot.is_new_value(change));
        // Versions that the sender kept have a revision up to the cursor, and are sent on by themselves.
        let mut raised: Vec<Change> = new_values.cloned().collect();
        let has_new_values = !raised.is_empty();
        let is_recovering = batch.recovering && self.is_recovering();
        self.apply_changes(batch.changes, Delivery::Known, is_recovering, out);
        let knows_as_much = since.is_none_or(|since| batch.until >= since);
        if !batch.recovering && self.now < stale_at && knows_as_much {
            self.dismiss_outage(out);
        }
        self.request_builds(from, out);
        match self.watch.cursor {
            Some(cursor) if cursor >= batch.since && batch.until > cursor => {
                self.watch.cursor = Some(batch.until);
            }
            // All that the other VM knows, where this one can't read all entries itself.
            None if self.watch.list_failures > 0
                && batch.since == Revision::default()
                && batch.until > batch.since =>
            {
                self.watch.cursor = Some(batch.until);
                self.watch.list_failures = 0;
                self.schedule_call(Span::ZERO);
            }
            _ => {}
        }
        // Each VM sends a change on once, so that VMs that subscribe to each other don't repeat it endlessly.
        // Changes that only raise an entry's revision are not sent on: with 3,000 servers those would circulate
        // forever after a start of all VMs.
        if let (true, Some(since), Some(until)) = (has_new_values, since, self.watch.cursor) {
            raised.retain(|change| {
                let known = self.snapshot.get(&change.key);
                known.is_some_and(|known| known.revision <= since && known.value == change.value)
            });
            let changes = self.snapshot.changes_after(since).cloned();
            self.send_to_subscribers(changes.chain(raised).collect(), since, until, out);
        }
    }

    /// Returns the age of the key-value service's last answer up to which `upstream` counts as fresh.
    pub(crate) fn freshness_limit(&self, upstream: &Vm) -> Span {
        if self.watchers().contains(&upstream) {
            WATCHER_FRESHNESS
        } else {
            RELAY_FRESHNESS
        }
    }

    /// Handles the report of the VM `from` that the key-value service answered it, or a VM upstream of it, at
    /// the time `at`. If the report isn't from this VM's upstream and the service is away, this VM calls the
    /// service soon.
    fn record_reported_answer(&mut self, at: Instant, from: &Vm, out: &mut Effects) {
        if self.watch.upstream.as_ref() == Some(from) {
            self.record_kv_answer(at, out);
        } else if self.watch.away_since.is_some() && self.watch.op.is_none() {
            let soon = self.now + Span(self.rng.random_range(0..DIRECT_WATCH_PAUSE.0));
            if soon < self.watch.next_call {
                self.watch.failures = 0;
                self.schedule_call(soon.since(self.now));
            }
        }
    }

    /// Sends the relevant changes of this VM's own watch to its subscribers. All of them are newer than the
    /// cursor.
    pub(crate) fn send_watched_changes(
        &mut self,
        changes: &[Change],
        revision: Revision,
        out: &mut Effects,
    ) {
        let since = self.watch.cursor.unwrap_or_default();
        let changes = self.snapshot.relevant_changes(changes, since);
        self.send_to_subscribers(changes, since, revision, out);
    }

    /// Sends changes after the revision `since` and up to `until` to this VM's subscribers.
    fn send_to_subscribers(
        &mut self,
        changes: Vec<Change>,
        since: Revision,
        until: Revision,
        out: &mut Effects,
    ) {
        let now = self.now;
        self.watch.subscribers.retain(|_, (_, until)| *until > now);
        if changes.is_empty() || self.watch.subscribers.is_empty() {
            return;
        }
        let batch = self.new_batch(since, until, changes);
        let subscribers: Vec<Vm> = self.watch.subscribers.keys().cloned().collect();
        for vm in subscribers {
            self.send(&vm, Message::Replicate(batch.clone()), out);
        }
    }

    fn new_batch(&self, since: Revision, until: Revision, changes: Vec<Change>) -> Replication {
        Replication {
            since,
            until,
            age: self.kv_answer_age(),
            recovering: self.is_recovering(),
            changes,
        }
    }
}
