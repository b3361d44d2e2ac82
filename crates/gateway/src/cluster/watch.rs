//! Following the key-value service: one list, then one watch after the other, by a few VMs; the others hear from them.
//!
//! Each change wakes each watch, and each call is counted against rates that all VMs share. So only a few VMs watch
//! (`relay`); one VM of each availability zone follows one of them, and is followed by its zone, so that what all are told crosses
//! the border of a zone once. Each is told at once. Who hears nothing for a while follows another one, then watches by itself. One
//! that can't reach the service asks others for what they know.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahliastile_core::id::Vm;
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::cluster::exclusion;
use crate::cluster::membership;
use crate::cluster::snapshot::{Delivery, Revision};
use crate::effect::{Effect, Effects, KvOperation, KvOperationId, Locality};
use crate::event::KvOutcome;
use crate::message::Message;
use crate::node::Gateway;
use crate::timer::Timer;

/// The pause between two watches, in which changes gather: servers rewrite their entries about once a second each, and each
/// change would be a call. It delays a change by so much, of the two seconds within which one is to be in force.
const WATCH_GAP: Span = Span::from_millis(200);

/// The same for a VM that watches only because those that watch for all are silent, and the least time between its calls
/// while the key-value service does not answer: all VMs may do so at once, and what they call together is to stay well
/// below its rates (2,000 reads a second at the smaller deployments) also with some hundred of them.
pub(crate) const ALONE_GAP: Span = Span::from_millis(400);

/// How often that least time is doubled after calls that failed: to some three to six seconds. Who is told by another VM that the service is back calls it at once.
const DOUBLINGS: u32 = 3;

/// The time between two questions to the VM that is followed, or, while the key-value service is away, to peers: a
/// sixth of the two seconds within which a configuration is to be in force.
const ASK_EVERY: Span = Span::from_millis(300);

/// The silence of the VM that is followed after which this VM follows another one.
pub(crate) const SILENCE: Span = Span::from_millis(700);

/// The silence of that other one after which this VM watches by itself: a question, and one more. With [`SILENCE`], the time
/// between two looks at it and a call it makes a second and a half, of two seconds within which a configuration is to be in
/// force.
const SECOND_SILENCE: Span = Span::from_millis(400);

/// How long this VM then watches by itself before it follows another VM again, and how long it does not follow one that was
/// silent.
const ALONE: Span = Span::from_secs(4);

/// How long the key-value service may be silent before peers are asked: two tries.
const ASK_PEERS_AFTER: Span = Span::from_millis(400);

/// How the key-value service is followed.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The call in progress.
    pub(crate) op: Option<KvOperationId>,
    /// The revision up to which all changes are known; none before a list.
    pub(crate) cursor: Option<Revision>,
    /// When it last answered this VM, or another one that told.
    pub(crate) answered: Instant,
    /// Since when it has not answered.
    pub(crate) away: Option<Instant>,
    /// When it answered again after it had been away.
    pub(crate) back: Option<Instant>,
    /// When to call it next, where no call is in progress.
    pub(crate) next: Instant,
    /// Calls in a row that failed.
    pub(crate) failures: u32,
    /// The VM that is followed.
    pub(crate) leader: Option<Vm>,
    /// When that VM was last heard.
    pub(crate) heard: Instant,
    /// How long it may be silent.
    pub(crate) patience: Span,
    /// Since when it is followed.
    pub(crate) begun: Instant,
    /// When the key-value service last answered it, by its own word.
    pub(crate) vouched: Instant,
    /// Those that were silent or could not reach the key-value service, and until when each is not followed again.
    pub(crate) passed: exclusion::Exclusions,
    /// Until when this VM watches by itself whatever its turn.
    pub(crate) alone: Instant,
    /// When the VM that is followed, or peers, are asked next.
    pub(crate) ask: Instant,
    /// VMs that follow this one, and until when they are told of changes.
    pub(crate) followers: BTreeMap<Vm, Instant>,
}

impl Gateway {
    pub(crate) fn start_watching(&mut self, out: &mut Effects) {
        self.watch.op = Some(self.call_kv(KvOperation::List, out));
    }

    /// The call in progress came back.
    pub(crate) fn handle_watch_outcome(&mut self, outcome: KvOutcome, out: &mut Effects) {
        self.watch.op = None;
        match outcome {
            KvOutcome::Listed(changes, revision) => {
                self.store_back(self.now, out);
                self.apply_list(changes, revision, out);
                self.watch.cursor = Some(revision);
                self.continue_watching(out);
            }
            KvOutcome::Watched(changes, revision) => {
                self.store_back(self.now, out);
                self.tell_followers(&changes, revision, out);
                let recovering = self.recovering();
                self.apply_changes(changes, Delivery::EveryChange, recovering, out);
                self.watch.cursor = Some(revision);
                let gap = if self.watches() { WATCH_GAP } else { ALONE_GAP };
                self.call_in(gap);
            }
            KvOutcome::Compacted => {
                self.watch.cursor = None;
                Self::log(out, Code::StoreCompacted, "next=list".to_owned());
                self.watch.op = Some(self.call_kv(KvOperation::List, out));
            }
            other => self.store_away(&other, out),
        }
    }

    pub(crate) fn handle_watch_timer(&mut self, out: &mut Effects) {
        self.drop_lapsed(out);
        match self.watch.leader {
            Some(_) => self.keep_following(out),
            None if self.watch.op.is_none() && self.now >= self.watch.next => {
                self.continue_watching(out);
            }
            None => {}
        }
        self.ask_peers(out);
    }

    /// Whether entries may be missing only because the key-value service was away.
    pub(crate) fn recovering(&self) -> bool {
        let grace = self.settings.tuning.lapse_grace;
        let back = self.watch.back;
        self.watch.away.is_some() || back.is_some_and(|at| self.now.since(at) < grace)
    }

    /// How long ago the key-value service last answered this VM, or one that told it so.
    pub(crate) fn store_answer_age(&self) -> Span {
        self.now.since(self.watch.answered)
    }

    /// Goes on: watches, or follows a VM that does.
    fn continue_watching(&mut self, out: &mut Effects) {
        let leader = self.leader().filter(|_| self.watch.cursor.is_some());
        if let Some(leader) = leader.filter(|_| self.now >= self.watch.alone) {
            Self::log(out, Code::Following, format!("vm={leader}"));
            self.watch.leader = Some(leader);
            self.watch.begun = self.now;
            self.watch.vouched = Instant::default();
            self.watch.heard = self.now;
            self.watch.patience = if self.passes_by() {
                SECOND_SILENCE
            } else {
                SILENCE
            };
            let silent = self.now + self.watch.patience;
            self.timers.set(silent, Timer::Watch);
            self.watch.ask = self.now;
            self.keep_following(out);
            return;
        }
        let wait = self.settings.tuning.watch;
        let op = match self.watch.cursor {
            Some(revision) => KvOperation::Watch(revision, wait),
            None => KvOperation::List,
        };
        self.watch.op = Some(self.call_kv(op, out));
    }

    /// Whether a VM was silent a moment ago.
    fn is_passed(&self, vm: &Vm) -> bool {
        self.watch.passed.contains(vm, self.now)
    }

    /// Whether any VM was.
    fn passes_by(&self) -> bool {
        !self.watch.passed.is_empty(self.now)
    }

    /// Passes a VM by for a while.
    fn pass_by(&mut self, vm: Vm) {
        let until = self.now + ALONE;
        self.watch.passed.add(vm, self.now, until);
    }

    /// The VM that this one follows: the one that tells its availability zone, or, where that is this one, one of those that watch for
    /// all, by hashing. None where this VM is one of those.
    fn leader(&self) -> Option<Vm> {
        let me = &self.settings.vm;
        let watchers = self.watchers();
        if watchers.contains(&me) {
            return None;
        }
        let relay = self.relay(|vm| !self.is_passed(vm));
        if relay != me {
            return Some(relay.clone());
        }
        let choice = watchers
            .into_iter()
            .filter(|vm| !self.is_passed(vm))
            .min_by_key(|vm| membership::rendezvous_score(&(me.as_str(), vm.as_str())));
        choice.cloned()
    }

    /// Whether the key-value service has not answered the VM that is followed for long. One that watches for all is passed by as soon
    /// as it says so; one that tells the zone may just be finding out, and has a moment.
    fn is_stale(&self, leader: &Vm) -> bool {
        let told = if self.watchers().contains(&leader) {
            self.watch.heard > self.watch.begun
        } else {
            self.now.since(self.watch.begun) >= SECOND_SILENCE
        };
        // Whoever has heard of an answer by another way, as by its own list at its start, waits so long for the one that it follows: after
        // a start of all VMs those that come first would else each watch alone, and be sent all that servers rewrite.
        let last = self.watch.vouched.max(self.watch.answered);
        told && self.now >= last + self.fresh(leader)
    }

    /// Asks the VM that is followed again, unless it is silent, the key-value service has not answered it for long, or this VM's
    /// turn has changed.
    fn keep_following(&mut self, out: &mut Effects) {
        let quiet = self.now.since(self.watch.heard) >= self.watch.patience;
        let stale = self
            .watch
            .leader
            .as_ref()
            .is_some_and(|vm| self.is_stale(vm));
        if quiet || stale || self.leader() != self.watch.leader {
            let leader = self.watch.leader.take();
            let detail = format!("vm={leader:?} silent={quiet} stale={stale}");
            Self::log(out, Code::FollowingEnded, detail);
            if let Some(leader) = leader.filter(|_| quiet || stale) {
                // One that watches for all and says that it gets no answers costs no time: others are asked as well.
                let second = self.passes_by() && (quiet || !self.watchers().contains(&&leader));
                if second {
                    self.watch.alone = self.now + ALONE;
                }
                self.pass_by(leader);
            }
            self.continue_watching(out);
            return;
        }
        if self.now >= self.watch.ask {
            self.watch.ask = self.now + ASK_EVERY;
            self.timers.set(self.watch.ask, Timer::Watch);
            if let Some(leader) = self.watch.leader.clone() {
                let revision = self.watch.cursor.unwrap_or(0);
                self.send(&leader, Message::Subscribe(self.member(), revision), out);
            }
        }
    }

    fn store_away(&mut self, outcome: &KvOutcome, out: &mut Effects) {
        if self.watch.away.is_none() {
            self.watch.away = Some(self.now);
            self.watch.ask = self.now + ASK_PEERS_AFTER;
            self.timers.set(self.watch.ask, Timer::Watch);
            Self::log(out, Code::PlatformLost, format!("answer={outcome:?}"));
        }
        let pause = if self.watches() {
            self.settings.tuning.store_retry
        } else {
            let least = ALONE_GAP.times(1 << self.watch.failures.min(DOUBLINGS));
            Span(self.rng.random_range(least.0..least.times(2).0))
        };
        self.watch.failures += 1;
        self.call_in(pause);
    }

    /// Has the next call of the key-value service come after a pause.
    pub(crate) fn call_in(&mut self, pause: Span) {
        self.watch.next = self.now + pause;
        self.timers.set(self.watch.next, Timer::Watch);
    }

    /// The key-value service answered this VM, or the one that it follows, at a time.
    pub(crate) fn store_back(&mut self, at: Instant, out: &mut Effects) {
        self.watch.answered = self.watch.answered.max(at);
        self.watch.failures = 0;
        if let Some(since) = self.watch.away.take() {
            self.watch.back = Some(self.now);
            let away = self.now.since(since);
            Self::log(out, Code::PlatformBack, format!("away={away}"));
            self.registration_back();
        }
    }

    fn ask_peers(&mut self, out: &mut Effects) {
        if self.watch.away.is_none() || self.now < self.watch.ask {
            return;
        }
        let question = Message::Subscribe(self.member(), self.watch.cursor.unwrap_or(0));
        let peers: Vec<Vm> = self.peers().cloned().collect();
        if peers.is_empty() {
            self.ask_a_seed(question, out);
        } else {
            let peer = &peers[self.rng.random_range(0..peers.len())];
            self.send(peer, question, out);
        }
        self.watch.ask = self.now + ASK_EVERY;
        self.timers.set(self.watch.ask, Timer::Watch);
    }

    /// Asks one of the VMs that the settings name: nobody was ever heard of, and they may be there.
    fn ask_a_seed(&mut self, question: Message, out: &mut Effects) {
        let own = self.settings.address;
        let seeds = self.settings.seeds.iter().filter(|seed| **seed != own);
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        if !seeds.is_empty() {
            let seed = seeds[self.rng.random_range(0..seeds.len())];
            out.push(Effect::SendMessage(seed, Locality::CrossZone, question));
        }
    }
}
