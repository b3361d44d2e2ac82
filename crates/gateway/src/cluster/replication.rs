//! What VMs tell each other of the key-value service's changes.

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::cluster::snapshot::{Change, Delivery, Revision};
use crate::cluster::watch::{ALONE_GAP, SILENCE};
use crate::effect::Effects;
use crate::message::{Message, Replication};
use crate::node::Gateway;
use crate::timer::Timer;

/// How long ago the key-value service may have answered a VM that is followed, as far as that VM knows: a watch's length, the
/// pause after it, a question and some. An older answer says that the VM's way to the service is not good.
const FRESH: Span = Span::from_millis(1_100);

/// The same for a VM that tells its availability zone, which hears of the answers from another one: a question more. Then its zone
/// turns to the next one, which has [`SECOND_SILENCE`] to reach the service, two seconds being what a configuration has.
const FRESH_IN_ZONE: Span = Span::from_millis(1_400);

/// How long a peer that asked is told of changes: five of its questions.
const SUBSCRIPTION: Span = Span::from_millis(2_000);

impl Gateway {
    /// A VM wants to be told of changes after a revision.
    pub(crate) fn handle_subscribe(&mut self, from: &Vm, since: Revision, out: &mut Effects) {
        let until = self.now + SUBSCRIPTION;
        self.watch.followers.insert(from.clone(), until);
        let changes: Vec<Change> = self.snapshot.after(since).cloned().collect();
        let batch = self.batch(since, self.watch.cursor.unwrap_or(since), changes);
        self.send(from, Message::Replicate(batch), out);
        if since == 0 {
            self.tell_quarantines(from, out);
            self.tell_notices(from, out);
        }
    }

    /// Takes changes in that another VM passes on.
    pub(crate) fn apply_replicated(&mut self, from: &Vm, batch: Replication, out: &mut Effects) {
        let answered = self.now.back(batch.age);
        let stale_at = answered + self.fresh(from);
        if self.watch.leader.as_ref() == Some(from) {
            self.watch.heard = self.now;
            self.watch.patience = SILENCE;
            self.watch.vouched = answered;
            self.timers.set(stale_at, Timer::Watch);
        }
        if self.now < stale_at {
            self.store_answers(answered, from, out);
        }
        let since = self.watch.cursor;
        let taken = batch
            .changes
            .iter()
            .any(|change| self.snapshot.differs(change));
        self.apply_changes(batch.changes, Delivery::LatestOnly, batch.recovering, out);
        match self.watch.cursor {
            Some(cursor) if cursor >= batch.since && batch.until > cursor => {
                self.watch.cursor = Some(batch.until);
            }
            _ => {}
        }
        // Each VM passes a change on once, so that VMs which follow each other don't tell each other again and again, and not for
        // entries that are only newer: with 3,000 servers those would go round without end after a start of all VMs.
        if let (true, Some(since), Some(until)) = (taken, since, self.watch.cursor) {
            let changes = self.snapshot.after(since).cloned().collect();
            self.pass_on(changes, since, until, out);
        }
    }

    /// How long ago the key-value service may have answered a VM that is followed.
    pub(crate) fn fresh(&self, from: &Vm) -> Span {
        if self.watchers().contains(&from) {
            FRESH
        } else {
            FRESH_IN_ZONE
        }
    }

    /// Another VM says that the key-value service answered it, or a third one, at a time.
    fn store_answers(&mut self, at: Instant, from: &Vm, out: &mut Effects) {
        if self.watch.leader.as_ref() == Some(from) {
            self.store_back(at, out);
        } else if self.watch.away.is_some() && self.watch.op.is_none() {
            let soon = self.now + Span(self.rng.random_range(0..ALONE_GAP.0));
            if soon < self.watch.next {
                self.watch.failures = 0;
                self.call_in(soon.since(self.now));
            }
        }
    }

    /// Passes changes on that this VM's watch shows, and that have come after all that is known.
    pub(crate) fn tell_followers(
        &mut self,
        changes: &[Change],
        revision: Revision,
        out: &mut Effects,
    ) {
        let since = self.watch.cursor.unwrap_or(0);
        let changes = self.snapshot.changes_among(changes, since);
        self.pass_on(changes, since, revision, out);
    }

    /// Tells the VMs that follow this one of changes after a revision and up to another one.
    fn pass_on(
        &mut self,
        changes: Vec<Change>,
        since: Revision,
        until: Revision,
        out: &mut Effects,
    ) {
        let now = self.now;
        self.watch.followers.retain(|_, until| *until > now);
        if changes.is_empty() || self.watch.followers.is_empty() {
            return;
        }
        let batch = self.batch(since, until, changes);
        let followers: Vec<Vm> = self.watch.followers.keys().cloned().collect();
        for vm in followers {
            self.send(&vm, Message::Replicate(batch.clone()), out);
        }
    }

    fn batch(&self, since: Revision, until: Revision, changes: Vec<Change>) -> Replication {
        Replication {
            since,
            until,
            age: self.store_answer_age(),
            recovering: self.recovering(),
            changes,
        }
    }
}
