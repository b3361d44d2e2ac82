//! Following the key-value service: one list, then one watch after the other; and peers when it is away.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::{Config, Index};
use crate::effect::{Effect, Effects, Op, OpId};
use crate::event::Outcome;
use crate::fact::{Backend, Change, Fact, Revision, Subject};
use crate::message::Message;
use crate::node::Gateway;
use crate::plain::Row;
use crate::timer::Timer;

/// How long the key-value service may be silent before peers are asked: two tries.
const ASK_PEERS_AFTER: Span = Span::from_millis(400);

/// The time between two questions to peers, each to another one: a fifth of the two seconds within which a
/// configuration is to be in force.
const ASK_PEERS_EVERY: Span = Span::from_millis(400);

/// How long a peer that asked is told of changes: five of its questions.
const SUBSCRIPTION: Span = Span::from_millis(2_000);

/// How the key-value service is followed.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The call in progress.
    pub(crate) op: Option<OpId>,
    /// The revision to watch from; none before a list.
    cursor: Option<Revision>,
    /// Since when it has not answered.
    pub(crate) away: Option<Instant>,
    /// When it answered again after it had been away.
    back: Option<Instant>,
    /// When to call it next, where no call is in progress.
    next: Instant,
    /// When peers are asked next.
    ask: Instant,
    /// Servers whose entry lapsed while it was away, and until when they may come back.
    lapsed: BTreeMap<Server, Instant>,
    /// Peers that can't reach it, and until when they are told of changes.
    followers: BTreeMap<Vm, Instant>,
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
                self.store_back(out);
                self.take_list(changes, revision, out);
                self.follow.cursor = Some(revision);
                self.watch(out);
            }
            Outcome::Watched(changes, revision) => {
                self.store_back(out);
                self.tell_followers(&changes, out);
                self.take_changes(changes, true, out);
                self.follow.cursor = Some(revision);
                self.watch(out);
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
        if self.follow.op.is_none() && self.now >= self.follow.next {
            self.watch(out);
        }
        self.ask_peers(out);
    }

    /// A peer can't reach the key-value service and asks for what it lacks.
    pub(crate) fn follow_asked(&mut self, from: &Vm, revision: Revision, out: &mut Effects) {
        let changes: Vec<Change> = self.facts.after(revision).cloned().collect();
        self.follow
            .followers
            .insert(from.clone(), self.now + SUBSCRIPTION);
        if !changes.is_empty() {
            self.send(from, Message::Changes(changes), out);
        }
    }

    /// Takes changes in, from the key-value service itself or from a peer.
    pub(crate) fn take_changes(&mut self, changes: Vec<Change>, direct: bool, out: &mut Effects) {
        for change in changes {
            match &change.subject {
                Subject::Server(server) if direct && change.fact.is_none() && self.recovering() => {
                    let server = server.clone();
                    self.lapse(server, out);
                }
                _ => self.take(change, out),
            }
        }
    }

    /// Whether entries may be missing only because the key-value service was away.
    fn recovering(&self) -> bool {
        let grace = self.settings.tuning.lapse_grace;
        let back = self.follow.back;
        self.follow.away.is_some() || back.is_some_and(|at| self.now.since(at) < grace)
    }

    fn watch(&mut self, out: &mut Effects) {
        let wait = self.settings.tuning.watch;
        let op = match self.follow.cursor {
            Some(revision) => Op::Watch(revision, wait),
            None => Op::List,
        };
        self.follow.op = Some(self.store(op, out));
    }

    fn store_away(&mut self, outcome: &Outcome, out: &mut Effects) {
        if self.follow.away.is_none() {
            self.follow.away = Some(self.now);
            self.follow.ask = self.now + ASK_PEERS_AFTER;
            self.timers.set(self.follow.ask, Timer::Follow);
            Self::log(out, Code::PlatformLost, format!("answer={outcome:?}"));
        }
        self.follow.next = self.now + self.settings.tuning.store_retry;
        self.timers.set(self.follow.next, Timer::Follow);
    }

    fn store_back(&mut self, out: &mut Effects) {
        if let Some(since) = self.follow.away.take() {
            self.follow.back = Some(self.now);
            let away = self.now.since(since);
            Self::log(out, Code::PlatformBack, format!("away={away}"));
        }
    }

    fn ask_peers(&mut self, out: &mut Effects) {
        if self.follow.away.is_none() || self.now < self.follow.ask {
            return;
        }
        let known = self.peers().filter_map(|vm| self.book.address(vm));
        let mut addresses: Vec<SocketAddr> = known.collect();
        if addresses.is_empty() {
            // Nobody was ever heard of: the settings name some that may be there.
            let own = self.settings.address;
            addresses.extend(self.settings.seeds.iter().filter(|seed| **seed != own));
        }
        if !addresses.is_empty() {
            let address = addresses[self.rng.random_range(0..addresses.len())];
            let revision = self.follow.cursor.unwrap_or(0);
            out.push(Effect::Peer(
                address,
                Message::Follow(self.member(), revision),
            ));
        }
        self.follow.ask = self.now + ASK_PEERS_EVERY;
        self.timers.set(self.follow.ask, Timer::Follow);
    }

    fn tell_followers(&mut self, changes: &[Change], out: &mut Effects) {
        let now = self.now;
        self.follow.followers.retain(|_, until| *until > now);
        if changes.is_empty() {
            return;
        }
        let followers: Vec<Vm> = self.follow.followers.keys().cloned().collect();
        for vm in followers {
            self.send(&vm, Message::Changes(changes.to_vec()), out);
        }
    }

    /// Takes a whole list in. What it lacks is gone, but for servers while the key-value service comes back.
    fn take_list(&mut self, changes: Vec<Change>, revision: Revision, out: &mut Effects) {
        let known: Vec<Subject> = self.facts.present().map(|c| c.subject.clone()).collect();
        let listed: std::collections::BTreeSet<Subject> =
            changes.iter().map(|c| c.subject.clone()).collect();
        self.take_changes(changes, false, out);
        for subject in known.into_iter().filter(|s| !listed.contains(s)) {
            match subject {
                Subject::Config | Subject::Version(..) => {}
                Subject::Server(server) if self.recovering() => self.lapse(server, out),
                subject => self.take(removal(subject, revision), out),
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
    fn take(&mut self, change: Change, out: &mut Effects) {
        if !self.facts.apply(change.clone()) {
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
            (Subject::Member(vm), Some(Fact::Member(member))) => self.book.listed(&vm, &member),
            (Subject::Member(vm), _) if self.book.unlisted(&vm) => self.desk_vm_gone(&vm),
            _ => {}
        }
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

    fn take_server(&mut self, server: &Server, backend: &Arc<Backend>, out: &mut Effects) {
        if let Some(row) = self.servers.get_mut(server) {
            if row.backend.ready && !backend.ready {
                Self::log(out, Code::ServerLeaving, format!("server={server}"));
            }
            row.backend = backend.clone();
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
