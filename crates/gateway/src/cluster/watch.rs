//! Watches the key-value service: first a list, then one watch after the other. A few VMs do so directly; all
//! others receive the changes from them.
//!
//! Each change completes the pending watches, and all calls count against rate limits that the VMs share. So
//! only a few VMs, the watchers (`relay`), watch directly. One VM in each availability zone, the relay,
//! subscribes to a watcher, and the other VMs of the zone subscribe to the relay, so each change crosses to a
//! zone once. Changes are sent to subscribers at once. A VM whose upstream is silent chooses another upstream,
//! then watches directly for a while. A VM that can't reach the key-value service queries other VMs for the
//! changes that they know. The service counts as away from a failed list or watch until its next answer to this
//! VM or to this VM's upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahliastile_core::id::{Incarnation, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::cluster::exclusion;
use crate::cluster::membership;
use crate::cluster::revision::{Era, Revision};
use crate::cluster::snapshot::{Change, Delivery};
use crate::effect::{Effect, Effects, KvOperation, KvOperationId, Locality};
use crate::event::{KvOutcome, ListFailure};
use crate::message::Message;
use crate::node::Gateway;
use crate::timer::Timer;

/// The pause between two watches, in which changes accumulate: each server rewrites its entry about once a
/// second, and without the pause each change would cost a call. The pause delays a change by up to its length;
/// a configuration must be in force within two seconds.
const WATCH_PAUSE: Span = Span::from_millis(200);

/// The pause between two watches of a VM that watches directly only because the watchers are silent, and the
/// minimum time between its calls while the key-value service doesn't answer. All VMs may be in this state at
/// once, and even with a few hundred VMs their calls must stay well below the service's rate limits (2,000
/// reads a second in the smaller deployments).
pub(crate) const DIRECT_WATCH_PAUSE: Span = Span::from_millis(400);

/// How many times [`DIRECT_WATCH_PAUSE`] doubles after failed calls, and after lists that have no end. The pause is drawn from between the
/// doubled time and twice that, so it grows to between three and six seconds. A VM that learns from another VM
/// that the service is back calls it sooner.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// The time between two subscription messages to the upstream or, while the key-value service is away, to
/// peers: a sixth of the two seconds within which a configuration must be in force.
const SUBSCRIBE_INTERVAL: Span = Span::from_millis(300);

/// How long the upstream may be silent before this VM chooses another one.
pub(crate) const UPSTREAM_TIMEOUT: Span = Span::from_millis(700);

/// How long an upstream that replaces a silent or stale one may be silent before this VM watches directly:
/// enough for a subscription message and one repetition. [`UPSTREAM_TIMEOUT`], this time, the pause between two
/// checks and one call take a second and a half together, of the two seconds within which a configuration must
/// be in force.
const SECOND_UPSTREAM_TIMEOUT: Span = Span::from_millis(400);

/// How long this VM watches directly, after a second upstream was silent or stale, before it subscribes again;
/// and how long it doesn't subscribe to a VM that was silent or stale.
const DIRECT_WATCH_DURATION: Span = Span::from_secs(4);

/// How long the key-value service may be away before peers are queried: time for two calls.
const PEER_QUERY_DELAY: Span = Span::from_millis(400);

/// Age of the last answer from which on a list may lack servers that have come and gone meanwhile, and begun streams.
const LIST_GAP: Span = Span::from_millis(1_500);

/// How long a VM that starts queries peers for what the key-value service has forgotten: as some of them may have
/// started too, six of them.
const QUERY_DURATION: Span = Span::from_millis(1_800);

/// What this VM knows of the key-value service's availability, and how it receives the changes.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The latest known era of the key-value service; none before its first answer.
    pub(crate) era: Option<Era>,
    /// When this VM learnt that the key-value service came back from a copy; none if it has not.
    pub(crate) era_began_at: Option<Instant>,
    /// The call in progress.
    pub(crate) op: Option<KvOperationId>,
    /// The era of the revision after which the last watch was asked.
    asked_era: Option<Era>,
    /// The revision up to which all changes are known; none before the first list.
    pub(crate) cursor: Option<Revision>,
    /// Whether the next call is a list, since the answer to the last one was too long.
    lists_next: bool,
    /// Whether this VM has listed the entries since its start.
    pub(crate) has_listed: bool,
    /// When the key-value service last answered this VM, or another VM that reported it.
    pub(crate) answered_at: Instant,
    /// Since when the key-value service has not answered; none while it answers.
    pub(crate) away_since: Option<Instant>,
    /// When to make the next call if none is in progress.
    pub(crate) next_call: Instant,
    /// The number of consecutive failed calls.
    pub(crate) failures: u32,
    /// The number of consecutive lists that could not be read to their ends.
    pub(crate) list_failures: u32,
    /// The VM from which this VM receives changes; none while it watches directly.
    pub(crate) upstream: Option<Vm>,
    /// When the upstream was last heard.
    pub(crate) upstream_heard_at: Instant,
    /// How long the upstream may be silent.
    pub(crate) upstream_timeout: Span,
    /// When this VM chose the upstream.
    pub(crate) upstream_since: Instant,
    /// When the key-value service last answered the upstream, as the upstream reported it.
    pub(crate) upstream_answered_at: Instant,
    /// VMs that were silent or could not reach the key-value service, and are not chosen as upstream for a
    /// while.
    pub(crate) excluded: exclusion::Exclusions,
    /// Until when this VM watches directly whatever its role.
    pub(crate) direct_until: Instant,
    /// Until when peers are queried though the key-value service answers.
    query_until: Instant,
    /// When to send the next subscription message to the upstream or to a peer.
    pub(crate) next_subscribe: Instant,
    /// The VMs that receive changes from this one, each with its incarnation and the time at which its subscription
    /// ends.
    pub(crate) subscribers: BTreeMap<Vm, (Incarnation, Instant)>,
}

impl Gateway {
    pub(crate) fn start_watching(&mut self, out: &mut Effects) {
        self.watch.op = Some(self.call_kv(KvOperation::List, out));
    }

    /// Handles the outcome of the list or watch in progress.
    pub(crate) fn handle_watch_outcome(&mut self, outcome: KvOutcome, out: &mut Effects) {
        self.watch.op = None;
        match outcome {
            // The key-value service came back from a copy while the watch waited, and has reached the revision
            // again after which the watch was asked. The changes from the copy up to there are missing.
            KvOutcome::Watched(_, revision) if self.watch.asked_era != Some(revision.era()) => {
                self.record_kv_answer(self.now, out);
                self.continue_watching(out);
            }
            KvOutcome::Listed(changes, revision) => {
                if self.kv_answer_age() > LIST_GAP {
                    self.record_build_gap();
                }
                self.record_kv_answer(self.now, out);
                let known = self.snapshot.last_revision();
                let detail = format!(
                    "revision={revision} era={} known={known} entries={}",
                    revision.era(),
                    changes.len()
                );
                Self::log(out, Code::StoreListed, detail);
                self.apply_list(changes, revision, out);
                let is_first = !std::mem::replace(&mut self.watch.has_listed, true);
                self.watch.cursor = Some(revision);
                self.watch.list_failures = 0;
                self.watch.lists_next = false;
                if is_first && revision.era() > Era::default() {
                    // The list may be as old as a copy, and other VMs may know newer versions.
                    self.watch.era_began_at.get_or_insert(self.now);
                    self.watch.query_until = self.now + QUERY_DURATION;
                    self.query_peers(out);
                }
                self.continue_watching(out);
            }
            KvOutcome::ListedInPart(changes, failure) => {
                self.handle_partial_list(changes, &failure, out);
            }
            KvOutcome::Watched(changes, revision) => {
                self.record_kv_answer(self.now, out);
                self.send_watched_changes(&changes, revision, out);
                let is_recovering = self.is_recovering();
                self.apply_changes(changes, Delivery::EveryChange, is_recovering, out);
                self.watch.cursor = Some(revision);
                let pause = if self.is_watcher() {
                    WATCH_PAUSE
                } else {
                    DIRECT_WATCH_PAUSE
                };
                self.schedule_call(pause);
            }
            KvOutcome::Compacted => {
                let cursor = self.watch.cursor.take();
                let detail = format!("cursor={} next=list", cursor.unwrap_or_default());
                Self::log(out, Code::StoreCompacted, detail);
                self.watch.op = Some(self.call_kv(KvOperation::List, out));
            }
            // A list comes in pages, each of which is short.
            KvOutcome::Oversized => {
                self.watch.lists_next = true;
                self.record_kv_failure(&KvOutcome::Oversized, out);
            }
            other => self.record_kv_failure(&other, out),
        }
    }

    pub(crate) fn handle_watch_timer(&mut self, out: &mut Effects) {
        self.remove_lapsed_servers(self.now, out);
        self.apply_forgotten_holders(out);
        match self.watch.upstream {
            Some(_) => self.maintain_subscription(out),
            None if self.watch.op.is_none() && self.now >= self.watch.next_call => {
                self.continue_watching(out);
            }
            None => {}
        }
        self.query_peers(out);
    }

    /// Returns the time since the key-value service last answered this VM, directly or through another VM.
    pub(crate) fn kv_answer_age(&self) -> Span {
        self.now.since(self.watch.answered_at)
    }

    /// Continues with the next watch, or subscribes to an upstream if this VM isn't a watcher.
    fn continue_watching(&mut self, out: &mut Effects) {
        let upstream = self
            .choose_upstream()
            .filter(|_| self.watch.cursor.is_some());
        if let Some(upstream) = upstream.filter(|_| self.now >= self.watch.direct_until) {
            Self::log(out, Code::Following, format!("vm={upstream}"));
            self.watch.upstream = Some(upstream);
            self.watch.upstream_since = self.now;
            self.watch.upstream_answered_at = Instant::default();
            self.watch.upstream_heard_at = self.now;
            self.watch.upstream_timeout = if self.has_exclusions() {
                SECOND_UPSTREAM_TIMEOUT
            } else {
                UPSTREAM_TIMEOUT
            };
            let silent = self.now + self.watch.upstream_timeout;
            self.timers.set(silent, Timer::Watch);
            self.watch.next_subscribe = self.now;
            self.maintain_subscription(out);
            return;
        }
        let wait = self.settings.tuning.watch;
        let op = match self.watch.cursor {
            Some(revision) if self.watch.era == Some(revision.era()) && !self.watch.lists_next => {
                self.watch.asked_era = self.watch.era;
                KvOperation::Watch(revision, wait)
            }
            _ => KvOperation::List,
        };
        self.watch.op = Some(self.call_kv(op, out));
    }

    /// Whether a VM is excluded as upstream.
    fn is_excluded(&self, vm: &Vm) -> bool {
        self.watch.excluded.contains(vm, self.now)
    }

    /// Whether any VM is excluded as upstream.
    fn has_exclusions(&self) -> bool {
        !self.watch.excluded.is_empty(self.now)
    }

    /// Excludes a VM as upstream for [`DIRECT_WATCH_DURATION`].
    fn exclude(&mut self, vm: Vm) {
        let until = self.now + DIRECT_WATCH_DURATION;
        self.watch.excluded.add(vm, self.now, until);
    }

    /// Returns the upstream of this VM: the relay of its availability zone or, if this VM is the relay, a
    /// watcher chosen by rendezvous hashing. None if this VM is a watcher itself.
    fn choose_upstream(&self) -> Option<Vm> {
        let me = &self.settings.vm;
        let watchers = self.watchers();
        if watchers.contains(&me) {
            return None;
        }
        let relay = self.relay(|vm| !self.is_excluded(vm));
        if relay != me {
            return Some(relay.clone());
        }
        let choice = watchers
            .into_iter()
            .filter(|vm| !self.is_excluded(vm))
            .min_by_key(|vm| membership::rendezvous_score(&(me.as_str(), vm.as_str())));
        choice.cloned()
    }

    /// Whether the key-value service's last answer to the upstream is too old. A watcher counts as stale as
    /// soon as it reports such an answer. A relay may be about to replace its own stale upstream, and counts as
    /// stale only [`SECOND_UPSTREAM_TIMEOUT`] after this VM chose it.
    fn is_upstream_stale(&self, upstream: &Vm) -> bool {
        let can_be_stale = if self.watchers().contains(&upstream) {
            self.watch.upstream_heard_at > self.watch.upstream_since
        } else {
            self.now.since(self.watch.upstream_since) >= SECOND_UPSTREAM_TIMEOUT
        };
        // A VM that knows of a more recent answer by another way, such as its own list at its start, gives the
        // upstream the same time from that answer on. Otherwise, after a start of all VMs, the first ones would
        // all watch directly, and each would be sent every rewrite of the servers.
        let last = self.watch.upstream_answered_at.max(self.watch.answered_at);
        can_be_stale && self.now >= last + self.freshness_limit(upstream)
    }

    /// Renews the subscription to the upstream if it is time to. Drops the upstream if it is silent or stale,
    /// or if another one should be used since the roles have changed.
    fn maintain_subscription(&mut self, out: &mut Effects) {
        let is_silent = self.now.since(self.watch.upstream_heard_at) >= self.watch.upstream_timeout;
        let is_stale = self
            .watch
            .upstream
            .as_ref()
            .is_some_and(|vm| self.is_upstream_stale(vm));
        if is_silent || is_stale || self.choose_upstream() != self.watch.upstream {
            let upstream = self.watch.upstream.take();
            let detail = format!("vm={upstream:?} silent={is_silent} stale={is_stale}");
            Self::log(out, Code::FollowingEnded, detail);
            if let Some(upstream) = upstream.filter(|_| is_silent || is_stale) {
                // No time was lost waiting for a watcher that itself reported a stale answer, so another
                // watcher is tried even if a VM is already excluded.
                let watch_directly =
                    self.has_exclusions() && (is_silent || !self.watchers().contains(&&upstream));
                if watch_directly {
                    self.watch.direct_until = self.now + DIRECT_WATCH_DURATION;
                }
                self.exclude(upstream);
            }
            self.continue_watching(out);
            return;
        }
        if self.now >= self.watch.next_subscribe {
            self.watch.next_subscribe = self.now + SUBSCRIBE_INTERVAL;
            self.timers.set(self.watch.next_subscribe, Timer::Watch);
            if let Some(upstream) = self.watch.upstream.clone() {
                let revision = self.watch.cursor.unwrap_or_default();
                self.send(&upstream, Message::Subscribe(self.member(), revision), out);
            }
        }
    }

    /// Applies what was read of a list that has no end: it says nothing of entries that it lacks. Asks other VMs, which may know
    /// all of them, and lists again after a pause. The key-value service does answer, so it does not count as away.
    fn handle_partial_list(
        &mut self,
        changes: Vec<Change>,
        failure: &ListFailure,
        out: &mut Effects,
    ) {
        self.record_kv_answer(self.now, out);
        let pause = self.growing_pause(self.watch.list_failures);
        self.watch.list_failures += 1;
        let detail = format!(
            "why={:?} pages={} after={:?} entries={} failures={} again_in={pause}",
            failure.cause,
            failure.pages,
            failure.after,
            changes.len(),
            self.watch.list_failures
        );
        Self::log(out, Code::ListIncomplete, detail);
        self.apply_listed(changes, out);
        self.watch.query_until = self.now + pause;
        self.schedule_call(pause);
        self.query_peers(out);
    }

    /// Draws a pause that doubles with each failure before it, up to [`MAX_PAUSE_DOUBLINGS`].
    fn growing_pause(&mut self, failures: u32) -> Span {
        let least = DIRECT_WATCH_PAUSE.times(1 << failures.min(MAX_PAUSE_DOUBLINGS));
        Span(self.rng.random_range(least.0..least.times(2).0))
    }

    /// Records that a list or watch failed, and schedules the next call.
    fn record_kv_failure(&mut self, outcome: &KvOutcome, out: &mut Effects) {
        if self.watch.away_since.is_none() {
            self.watch.away_since = Some(self.now);
            self.watch.next_subscribe = self.now + PEER_QUERY_DELAY;
            self.timers.set(self.watch.next_subscribe, Timer::Watch);
            Self::log(out, Code::PlatformLost, format!("answer={outcome:?}"));
        }
        // Bytes without end cost time each time that they are read.
        let is_oversized = matches!(outcome, KvOutcome::Oversized);
        let pause = if self.is_watcher() && !is_oversized {
            self.settings.tuning.store_retry
        } else {
            self.growing_pause(self.watch.failures)
        };
        self.watch.failures += 1;
        self.schedule_call(pause);
    }

    /// Schedules the next call of the key-value service after a pause.
    pub(crate) fn schedule_call(&mut self, pause: Span) {
        self.watch.next_call = self.now + pause;
        self.timers.set(self.watch.next_call, Timer::Watch);
    }

    /// Records that the key-value service answered this VM or its upstream at a time.
    pub(crate) fn record_kv_answer(&mut self, at: Instant, out: &mut Effects) {
        self.watch.answered_at = self.watch.answered_at.max(at);
        self.watch.failures = 0;
        if let Some(since) = self.watch.away_since.take() {
            let away = self.now.since(since);
            Self::log(out, Code::PlatformBack, format!("away={away}"));
            self.retry_registration();
            // Only another VM can tell that the service answered all the while.
            if self.is_recovering() {
                self.query_peer(out);
            }
        }
    }

    /// Queries a random peer for the changes that it knows, or a seed address if there is no peer. Does so every
    /// [`SUBSCRIBE_INTERVAL`] while the key-value service is away, and for [`QUERY_DURATION`] after a start that
    /// follows a return of the service from a copy.
    fn query_peers(&mut self, out: &mut Effects) {
        let is_wanted = self.watch.away_since.is_some() || self.now < self.watch.query_until;
        if !is_wanted || self.now < self.watch.next_subscribe {
            return;
        }
        self.query_peer(out);
        self.watch.next_subscribe = self.now + SUBSCRIBE_INTERVAL;
        self.timers.set(self.watch.next_subscribe, Timer::Watch);
    }

    /// Queries a random peer for the changes that it knows, or a seed address if there is no peer.
    fn query_peer(&mut self, out: &mut Effects) {
        let query = Message::Subscribe(self.member(), self.watch.cursor.unwrap_or_default());
        let peers: Vec<Vm> = self.peers().cloned().collect();
        if peers.is_empty() {
            self.query_seed(query, out);
        } else {
            let peer = &peers[self.rng.random_range(0..peers.len())];
            self.send(peer, query, out);
        }
    }

    /// Sends a query to one of the seed addresses of the settings, since no other VM is known that could be
    /// queried.
    fn query_seed(&mut self, query: Message, out: &mut Effects) {
        let own = self.settings.address;
        let seeds = self.settings.seeds.iter().filter(|seed| **seed != own);
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        if !seeds.is_empty() {
            let seed = seeds[self.rng.random_range(0..seeds.len())];
            out.push(Effect::SendMessage(seed, Locality::CrossZone, query));
        }
    }
}
