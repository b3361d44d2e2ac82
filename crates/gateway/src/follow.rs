//! Following the key-value service: one list, then one watch after the other, by a few VMs; the others hear from them.
//!
//! Each change wakes each watch, and each call is counted against rates that all VMs share. So only a few VMs watch
//! (`relay`); one VM of each availability zone follows one of them, and is followed by its zone, so that what all are told crosses
//! the border of a zone once. Each is told at once. Who hears nothing for a while follows another one, then watches by itself. One
//! that can't reach the service asks others for what they know.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::book;
use crate::config::{Config, Index};
use crate::effect::{Effect, Effects, Op, OpId, Reach};
use crate::event::Outcome;
use crate::fact::{Backend, Change, Fact, Revision, Subject, Way};
use crate::message::{Message, News};
use crate::node::Gateway;
use crate::plain::Row;
use crate::timer::Timer;

/// The pause between two watches, in which changes gather: servers rewrite their entries about once a second each, and each
/// change would be a call. It delays a change by so much, of the two seconds within which one is to be in force. With 60 ms three VMs
/// made 2,600 of the 5,080 calls of a quiet minute at 195 VMs and 84 servers, with 200 ms they make 800.
const WATCH_GAP: Span = Span::from_millis(200);

/// The same for a VM that watches only because those that watch for all are silent, and the least time between its calls
/// while the key-value service does not answer: all VMs may do so at once, and what they call together is to stay well
/// below its rates (2,000 reads a second at the smaller deployments) also with some hundred of them.
const ALONE_GAP: Span = Span::from_millis(400);

/// How often that least time is doubled after calls that failed: to some three to six seconds, as 195 VMs would else make two
/// thousand calls in an outage of five seconds. Who is told by another VM that the service is back calls it at once.
const DOUBLINGS: u32 = 3;

/// The time between two questions to the VM that is followed, or, while the key-value service is away, to peers: a
/// sixth of the two seconds within which a configuration is to be in force.
const ASK_EVERY: Span = Span::from_millis(300);

/// The silence of the VM that is followed after which this VM follows another one.
const SILENCE: Span = Span::from_millis(700);

/// The silence of that other one after which this VM watches by itself: a question, and one more. With [`SILENCE`], the time
/// between two looks at it and a call it makes a second and a half, of two seconds within which a configuration is to be in
/// force.
const SECOND_SILENCE: Span = Span::from_millis(400);

/// How long ago the key-value service may have answered a VM that is followed, as far as that VM knows: a watch's length, the
/// pause after it, a question and some. An older answer says that the VM's way to the service is not good.
const FRESH: Span = Span::from_millis(1_100);

/// The same for a VM that tells its availability zone, which hears of the answers from another one: a question more. Then its zone
/// turns to the next one, which has [`SECOND_SILENCE`] to reach the service, two seconds being what a configuration has.
const FRESH_IN_ZONE: Span = Span::from_millis(1_400);

/// How long this VM then watches by itself before it follows another VM again, and how long it does not follow one that was
/// silent.
const ALONE: Span = Span::from_secs(4);

/// How long the key-value service may be silent before peers are asked: two tries.
const ASK_PEERS_AFTER: Span = Span::from_millis(400);

/// How long a peer that asked is told of changes: five of its questions.
const SUBSCRIPTION: Span = Span::from_millis(2_000);

/// The least time between two lines on entries that can't be read.
const UNREADABLE_AGAIN: Span = Span::from_secs(1);

/// How the key-value service is followed.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The call in progress.
    pub(crate) op: Option<OpId>,
    /// The revision up to which all changes are known; none before a list.
    cursor: Option<Revision>,
    /// When it last answered this VM, or another one that told.
    answered: Instant,
    /// Since when it has not answered.
    pub(crate) away: Option<Instant>,
    /// When it answered again after it had been away.
    back: Option<Instant>,
    /// When to call it next, where no call is in progress.
    next: Instant,
    /// Calls in a row that failed.
    failures: u32,
    /// The VM that is followed.
    leader: Option<Vm>,
    /// When that VM was last heard.
    heard: Instant,
    /// How long it may be silent.
    patience: Span,
    /// Since when it is followed.
    begun: Instant,
    /// When the key-value service last answered it, by its own word.
    vouched: Instant,
    /// Those that were silent or could not reach the key-value service, and until when each is not followed again.
    passed: Vec<(Vm, Instant)>,
    /// Until when this VM watches by itself whatever its turn.
    alone: Instant,
    /// When the VM that is followed, or peers, are asked next.
    ask: Instant,
    /// Servers whose entry lapsed while it was away, and until when they may come back.
    lapsed: BTreeMap<Server, Instant>,
    /// VMs that follow this one, and until when they are told of changes.
    followers: BTreeMap<Vm, Instant>,
    /// Whether servers tell their starts here.
    starts: bool,
    /// Entries that could not be read since the last line on one.
    unreadable: u64,
    /// When that line was written.
    told: Instant,
}

impl Gateway {
    pub(crate) fn follow_start(&mut self, out: &mut Effects) {
        self.follow.op = Some(self.store(Op::List, out));
    }

    /// The call in progress came back.
    pub(crate) fn followed(&mut self, outcome: Outcome, out: &mut Effects) {
        self.follow.op = None;
        match outcome {
            Outcome::Listed(changes, revision) => {
                self.store_back(self.now, out);
                self.take_list(changes, revision, out);
                self.follow.cursor = Some(revision);
                self.watch(out);
            }
            Outcome::Watched(changes, revision) => {
                self.store_back(self.now, out);
                self.tell_followers(&changes, revision, out);
                let recovering = self.recovering();
                self.take_changes(changes, Way::Watched, recovering, out);
                self.follow.cursor = Some(revision);
                let gap = if self.watches() { WATCH_GAP } else { ALONE_GAP };
                self.call_in(gap);
            }
            Outcome::Compacted => {
                self.follow.cursor = None;
                Self::log(out, Code::StoreCompacted, "next=list".to_owned());
                self.follow.op = Some(self.store(Op::List, out));
            }
            other => self.store_away(&other, out),
        }
    }

    pub(crate) fn follow_due(&mut self, out: &mut Effects) {
        self.drop_lapsed(out);
        match self.follow.leader {
            Some(_) => self.keep_following(out),
            None if self.follow.op.is_none() && self.now >= self.follow.next => self.watch(out),
            None => {}
        }
        self.ask_peers(out);
    }

    /// A VM wants to be told of changes after a revision.
    pub(crate) fn follow_asked(&mut self, from: &Vm, since: Revision, out: &mut Effects) {
        let until = self.now + SUBSCRIPTION;
        self.follow.followers.insert(from.clone(), until);
        let changes: Vec<Change> = self.facts.after(since).cloned().collect();
        let news = self.news(since, self.follow.cursor.unwrap_or(since), changes);
        self.send(from, Message::News(news), out);
    }

    /// Takes changes in that another VM passes on.
    pub(crate) fn take_news(&mut self, from: &Vm, news: News, out: &mut Effects) {
        let answered = self.now.back(news.age);
        let fresh = self.now < answered + self.fresh(from);
        if self.follow.leader.as_ref() == Some(from) {
            self.follow.heard = self.now;
            self.follow.patience = SILENCE;
            self.follow.vouched = answered;
            self.timers.set(answered + self.fresh(from), Timer::Follow);
        }
        if fresh {
            self.store_answers(answered, from, out);
        }
        let since = self.follow.cursor;
        let taken = news.changes.iter().any(|change| self.facts.lacks(change));
        self.take_changes(news.changes, Way::Told, news.recovering, out);
        match self.follow.cursor {
            Some(cursor) if cursor >= news.since && news.until > cursor => {
                self.follow.cursor = Some(news.until);
            }
            _ => {}
        }
        // Each VM passes a change on once, so that VMs which follow each other don't tell each other again and again.
        if let (true, Some(since), Some(until)) = (taken, since, self.follow.cursor) {
            let changes = self.facts.after(since).cloned().collect();
            self.pass_on(changes, since, until, out);
        }
    }

    /// How long ago the key-value service may have answered a VM that is followed.
    fn fresh(&self, from: &Vm) -> Span {
        if self.watchers().contains(&from) {
            FRESH
        } else {
            FRESH_IN_ZONE
        }
    }

    /// Another VM says that the key-value service answered it, or a third one, at a time.
    fn store_answers(&mut self, at: Instant, from: &Vm, out: &mut Effects) {
        if self.follow.leader.as_ref() == Some(from) {
            self.store_back(at, out);
        } else if self.follow.away.is_some() && self.follow.op.is_none() {
            let soon = self.now + Span(self.rng.random_range(0..ALONE_GAP.0));
            if soon < self.follow.next {
                self.follow.failures = 0;
                self.call_in(soon.since(self.now));
            }
        }
    }

    /// Takes changes in. Where the key-value service was away until a moment ago, servers whose entries are gone may
    /// still come back.
    pub(crate) fn take_changes(
        &mut self,
        changes: Vec<Change>,
        way: Way,
        recovering: bool,
        out: &mut Effects,
    ) {
        for change in changes {
            match &change.subject {
                Subject::Server(server) if recovering && change.fact.is_none() => {
                    // It may be told late, and the server be back by now.
                    if self.facts.lacks(&change) {
                        self.lapse(server.clone(), out);
                    }
                }
                _ => self.take(change, way, out),
            }
        }
    }

    /// Whether entries may be missing only because the key-value service was away.
    fn recovering(&self) -> bool {
        let grace = self.settings.tuning.lapse_grace;
        let back = self.follow.back;
        self.follow.away.is_some() || back.is_some_and(|at| self.now.since(at) < grace)
    }

    /// Goes on: watches, or follows a VM that does.
    fn watch(&mut self, out: &mut Effects) {
        let leader = self.leader().filter(|_| self.follow.cursor.is_some());
        if let Some(leader) = leader.filter(|_| self.now >= self.follow.alone) {
            Self::log(out, Code::Following, format!("vm={leader}"));
            self.follow.leader = Some(leader);
            self.follow.begun = self.now;
            self.follow.vouched = Instant::default();
            self.follow.heard = self.now;
            self.follow.patience = if self.passes_by() {
                SECOND_SILENCE
            } else {
                SILENCE
            };
            let silent = self.now + self.follow.patience;
            self.timers.set(silent, Timer::Follow);
            self.follow.ask = self.now;
            self.keep_following(out);
            return;
        }
        let wait = self.settings.tuning.watch;
        let op = match self.follow.cursor {
            Some(revision) => Op::Watch(revision, wait),
            None => Op::List,
        };
        self.follow.op = Some(self.store(op, out));
    }

    /// Whether a VM was silent a moment ago.
    fn is_passed(&self, vm: &Vm) -> bool {
        let mut passed = self.follow.passed.iter();
        passed.any(|(other, until)| other == vm && self.now < *until)
    }

    /// Whether any VM was.
    fn passes_by(&self) -> bool {
        let mut passed = self.follow.passed.iter();
        passed.any(|(_, until)| self.now < *until)
    }

    /// Passes a VM by for a while.
    fn pass_by(&mut self, vm: Vm) {
        let now = self.now;
        self.follow.passed.retain(|(_, until)| *until > now);
        self.follow.passed.push((vm, now + ALONE));
    }

    /// The VM that this one follows: the one that tells its availability zone, or, where that is this one, one of those that watch for
    /// all, by hashing. None where this VM is one of those.
    fn leader(&self) -> Option<Vm> {
        let me = &self.settings.vm;
        let watchers = self.watchers();
        if watchers.contains(&me) {
            return None;
        }
        let teller = self.teller(|vm| !self.is_passed(vm));
        if teller != me {
            return Some(teller.clone());
        }
        let choice = watchers
            .into_iter()
            .filter(|vm| !self.is_passed(vm))
            .min_by_key(|vm| book::score(&(me.as_str(), vm.as_str())));
        choice.cloned()
    }

    /// Whether the key-value service has not answered the VM that is followed for long. One that watches for all is passed by as soon
    /// as it says so; one that tells the zone may just be finding out, and has a moment.
    fn is_stale(&self, leader: &Vm) -> bool {
        let told = if self.watchers().contains(&leader) {
            self.follow.heard > self.follow.begun
        } else {
            self.now.since(self.follow.begun) >= SECOND_SILENCE
        };
        told && self.now >= self.follow.vouched + self.fresh(leader)
    }

    /// Asks the VM that is followed again, unless it is silent, the key-value service has not answered it for long, or this VM's
    /// turn has changed.
    fn keep_following(&mut self, out: &mut Effects) {
        let quiet = self.now.since(self.follow.heard) >= self.follow.patience;
        let stale = self
            .follow
            .leader
            .as_ref()
            .is_some_and(|vm| self.is_stale(vm));
        if quiet || stale || self.leader() != self.follow.leader {
            let leader = self.follow.leader.take();
            let detail = format!("vm={leader:?} silent={quiet} stale={stale}");
            Self::log(out, Code::FollowingEnded, detail);
            if let Some(leader) = leader.filter(|_| quiet || stale) {
                // One that watches for all and says that it gets no answers costs no time: others are asked as well.
                let second = self.passes_by() && (quiet || !self.watchers().contains(&&leader));
                if second {
                    self.follow.alone = self.now + ALONE;
                }
                self.pass_by(leader);
            }
            self.watch(out);
            return;
        }
        if self.now >= self.follow.ask {
            self.follow.ask = self.now + ASK_EVERY;
            self.timers.set(self.follow.ask, Timer::Follow);
            if let Some(leader) = self.follow.leader.clone() {
                let revision = self.follow.cursor.unwrap_or(0);
                self.send(&leader, Message::Follow(self.member(), revision), out);
            }
        }
    }

    fn store_away(&mut self, outcome: &Outcome, out: &mut Effects) {
        if self.follow.away.is_none() {
            self.follow.away = Some(self.now);
            self.follow.ask = self.now + ASK_PEERS_AFTER;
            self.timers.set(self.follow.ask, Timer::Follow);
            Self::log(out, Code::PlatformLost, format!("answer={outcome:?}"));
        }
        let pause = if self.watches() {
            self.settings.tuning.store_retry
        } else {
            let least = ALONE_GAP.times(1 << self.follow.failures.min(DOUBLINGS));
            Span(self.rng.random_range(least.0..least.times(2).0))
        };
        self.follow.failures += 1;
        self.call_in(pause);
    }

    /// Has the next call of the key-value service come after a pause.
    fn call_in(&mut self, pause: Span) {
        self.follow.next = self.now + pause;
        self.timers.set(self.follow.next, Timer::Follow);
    }

    /// The key-value service answered this VM, or the one that it follows, at a time.
    fn store_back(&mut self, at: Instant, out: &mut Effects) {
        self.follow.answered = self.follow.answered.max(at);
        self.follow.failures = 0;
        if let Some(since) = self.follow.away.take() {
            self.follow.back = Some(self.now);
            let away = self.now.since(since);
            Self::log(out, Code::PlatformBack, format!("away={away}"));
            self.entry_back();
        }
    }

    fn ask_peers(&mut self, out: &mut Effects) {
        if self.follow.away.is_none() || self.now < self.follow.ask {
            return;
        }
        let question = Message::Follow(self.member(), self.follow.cursor.unwrap_or(0));
        let peers: Vec<Vm> = self.peers().cloned().collect();
        if peers.is_empty() {
            self.ask_a_seed(question, out);
        } else {
            let peer = &peers[self.rng.random_range(0..peers.len())];
            self.send(peer, question, out);
        }
        self.follow.ask = self.now + ASK_EVERY;
        self.timers.set(self.follow.ask, Timer::Follow);
    }

    /// Asks one of the VMs that the settings name: nobody was ever heard of, and they may be there.
    fn ask_a_seed(&mut self, question: Message, out: &mut Effects) {
        let own = self.settings.address;
        let seeds = self.settings.seeds.iter().filter(|seed| **seed != own);
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        if !seeds.is_empty() {
            let seed = seeds[self.rng.random_range(0..seeds.len())];
            out.push(Effect::Peer(seed, Reach::Beyond, question));
        }
    }

    /// Passes changes on that this VM's watch shows, and that have come after all that is known.
    fn tell_followers(&mut self, changes: &[Change], revision: Revision, out: &mut Effects) {
        let since = self.follow.cursor.unwrap_or(0);
        let changes = self.facts.news_among(changes, since);
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
        self.follow.followers.retain(|_, until| *until > now);
        if changes.is_empty() || self.follow.followers.is_empty() {
            return;
        }
        let news = self.news(since, until, changes);
        let followers: Vec<Vm> = self.follow.followers.keys().cloned().collect();
        for vm in followers {
            self.send(&vm, Message::News(news.clone()), out);
        }
    }

    fn news(&self, since: Revision, until: Revision, changes: Vec<Change>) -> News {
        News {
            since,
            until,
            age: self.now.since(self.follow.answered),
            recovering: self.recovering(),
            changes,
        }
    }

    /// Takes a whole list in. What it lacks is gone, but for servers while the key-value service comes back.
    fn take_list(&mut self, changes: Vec<Change>, revision: Revision, out: &mut Effects) {
        let known: Vec<Subject> = self.facts.present().map(|c| c.subject.clone()).collect();
        let listed: BTreeSet<Subject> = changes.iter().map(|c| c.subject.clone()).collect();
        self.take_changes(changes, Way::Told, false, out);
        for subject in known.into_iter().filter(|s| !listed.contains(s)) {
            match subject {
                Subject::Config | Subject::Version(..) => {}
                Subject::Server(server) if self.recovering() => self.lapse(server, out),
                subject => self.take(removal(subject, revision), Way::Told, out),
            }
        }
    }

    fn lapse(&mut self, server: Server, out: &mut Effects) {
        let until = self.now + self.settings.tuning.lapse_grace;
        Self::log(
            out,
            Code::EntryLapsed,
            format!("server={server} until={until}"),
        );
        self.facts.lapse(&Subject::Server(server.clone()));
        self.follow.lapsed.entry(server).or_insert(until);
        self.timers.set(until, Timer::Follow);
    }

    fn drop_lapsed(&mut self, out: &mut Effects) {
        let due: Vec<Server> = self
            .follow
            .lapsed
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(s, _)| s.clone())
            .collect();
        for server in due {
            self.follow.lapsed.remove(&server);
            self.facts.forget(&Subject::Server(server.clone()));
            self.lose_server(&server, out);
        }
    }

    /// Takes one change in, unless a newer one of its subject is known.
    fn take(&mut self, change: Change, way: Way, out: &mut Effects) {
        if change.fact == Some(Fact::Unreadable) {
            self.note_unreadable(&change.subject, out);
            // What the operator wrote stays in force until it writes anew.
            if matches!(change.subject, Subject::Config | Subject::Version(..)) {
                return;
            }
        }
        if !self.facts.apply(change.clone(), way) {
            return;
        }
        match (change.subject, change.fact) {
            (Subject::Config, Some(Fact::Config(config))) => self.take_config(config, out),
            (Subject::Version(model, adapter), Some(Fact::Version(version))) => {
                self.newer_version(&model, &adapter, version);
                Self::log(
                    out,
                    Code::VersionNamed,
                    format!("adapter={model}/{adapter} version={version}"),
                );
            }
            (Subject::Server(server), Some(Fact::Server(backend))) => {
                self.follow.lapsed.remove(&server);
                self.take_server(&server, &backend, out);
            }
            (Subject::Server(server), _) => self.lose_server(&server, out),
            (Subject::Holder(service), Some(Fact::Holder(holder))) => {
                self.holder_named(&service, &holder, change.revision, out);
            }
            (Subject::Holder(service), _) => self.holder_gone(&service, out),
            (Subject::Member(vm), None) if vm == self.settings.vm => self.entry_gone(),
            (Subject::Member(vm), Some(Fact::Member(member))) => self.book.listed(&vm, &member),
            (Subject::Member(vm), _) if self.book.unlisted(&vm, self.now) => self.desk_vm_gone(&vm),
            _ => {}
        }
    }

    /// Writes a line on an entry that can't be read. A writer of such entries may write any number of them.
    fn note_unreadable(&mut self, subject: &Subject, out: &mut Effects) {
        self.follow.unreadable += 1;
        if self.now < self.follow.told + UNREADABLE_AGAIN {
            return;
        }
        let since = std::mem::take(&mut self.follow.unreadable);
        self.follow.told = self.now;
        let detail = format!("subject={subject:?} since_last={since}");
        Self::log(out, Code::EntryUnreadable, detail);
    }

    fn take_config(&mut self, config: Arc<Config>, out: &mut Effects) {
        if config.version <= self.version() {
            return;
        }
        self.index = Index::new(&config);
        let (version, routes) = (config.version, config.routes.len());
        Self::log(
            out,
            Code::EditionInForce,
            format!("version={version} routes={routes}"),
        );
        self.config = Some(config);
        self.seats_changed(out);
    }

    /// Takes a server's entry in. Where any server tells its start all do, so that one that does not is another program's.
    fn take_server(&mut self, server: &Server, backend: &Arc<Backend>, out: &mut Effects) {
        match backend.start {
            Some(_) if !self.follow.starts => {
                self.follow.starts = true;
                let rows = self.servers.iter();
                let without = rows.filter(|(_, row)| row.backend.start.is_none());
                let without: Vec<Server> = without.map(|(server, _)| server.clone()).collect();
                for server in without {
                    self.lose_server(&server, out);
                }
            }
            None if self.follow.starts => {
                self.note_unreadable(&Subject::Server(server.clone()), out);
                self.lose_server(server, out);
                return;
            }
            Some(_) | None => {}
        }
        if let Some(row) = self.servers.get_mut(server) {
            if row.backend.ready && !backend.ready {
                Self::log(out, Code::ServerLeaving, format!("server={server}"));
            }
            let restarted = row.describe(backend);
            if restarted {
                let detail = format!("server={server} start={:?}", backend.start);
                Self::log(out, Code::ServerRestarted, detail);
                self.forget_residents(&backend.service, server);
            }
        } else {
            let (service, address) = (&backend.service, backend.address);
            let detail = format!("server={server} service={service} address={address}");
            Self::log(out, Code::ServerListed, detail);
            self.servers
                .insert(server.clone(), Row::new(backend.clone()));
        }
        self.desk_server(server, backend);
    }

    fn lose_server(&mut self, server: &Server, out: &mut Effects) {
        if let Some(row) = self.servers.remove(server) {
            Self::log(out, Code::ServerGone, format!("server={server}"));
            self.desk_server_gone(server, &row.backend.service);
        }
    }
}

/// That a subject is gone as of a revision.
fn removal(subject: Subject, revision: Revision) -> Change {
    Change {
        subject,
        revision,
        created: 0,
        fact: None,
    }
}
