//! Servers that end under a request and come back: all that runs there breaks off, connections are refused, the entry goes after three
//! heartbeats that don't come, and a new server is at the address under an id of its own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey};
use dahliastile_gateway::event::{Event, Execution, FailureCause, ProbeResult};
use dahliastile_gateway::request::fingerprint::Fingerprint;

use super::{Act, Answer, WAY, World};
use crate::support::engine::Engine;
use crate::support::setup::engine_config;

/// How long a request that crashes its server runs there before.
pub(super) const CRASHES_AFTER: Span = Span::from_millis(60);
/// From a server's end until its entry goes.
const ENTRY_GOES: Span = Span::from_millis(2_800);
/// From a server's end until another one is there in its place.
const BACK: Span = Span::from_millis(3_200);

/// A request at a server.
pub(super) struct Run {
    /// The VM that sent it, and the start of that VM.
    pub(super) vm: (usize, u64),
    /// The server.
    pub(super) server: Server,
}

/// A request that crashes servers reached one.
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Which it is.
    pub fingerprint: Fingerprint,
    /// The VM that sent it.
    pub vm: usize,
}

/// Requests that crash servers, and what became of them.
#[derive(Default)]
pub struct Crashing {
    /// The requests.
    pub fingerprints: BTreeSet<Fingerprint>,
    /// Where each came from that reached a server.
    pub arrivals: Vec<Arrival>,
    /// When a server ended under each.
    pub crashes: Vec<(Instant, Fingerprint)>,
}

impl Crashing {
    /// How often a request reached a server later than a span after the third server ended under it.
    pub fn late_arrivals(&self, fingerprint: Fingerprint, span: Span) -> usize {
        let Some(third) = self.third_crash(fingerprint) else {
            return 0;
        };
        let from = third + span;
        let late = |a: &&Arrival| a.fingerprint == fingerprint && a.at > from;
        self.arrivals.iter().filter(late).count()
    }

    /// When the third server ended under a request.
    pub fn third_crash(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let mut ends = self.crashes.iter().filter(|(_, of)| *of == fingerprint);
        ends.nth(2).map(|(at, _)| *at)
    }

    /// How many servers ended under a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        let ends = self.crashes.iter();
        ends.filter(|(_, of)| *of == fingerprint).count()
    }
}

impl World {
    /// A server's process ends, and another one comes in its place.
    pub fn crash_and_replace(&mut self, server: &Server) {
        let now = self.now;
        let Some((engine, backend)) = self.servers.get_mut(server).filter(|(e, _)| e.up) else {
            return;
        };
        engine.up = false;
        let successor = (engine.adapters, backend.clone());
        self.reset_connections(server);
        self.at(now + ENTRY_GOES, Act::Unlist(server.clone()));
        self.fallen += 1;
        let id = format!("{server}.{}", self.fallen);
        self.at(now + BACK, Act::Succeed(id, successor.0, successor.1));
    }

    /// A server ends under a request.
    pub(super) fn fall_under(&mut self, server: &Server, fingerprint: Fingerprint) {
        if self.servers[server].0.up {
            self.crashing.crashes.push((self.now, fingerprint));
            self.crash_and_replace(server);
        }
    }

    /// All connections to a server break, and it lives.
    pub fn reset_connections(&mut self, server: &Server) {
        let there = self.running.iter().filter(|(_, run)| run.server == *server);
        let broken: Vec<u64> = there.map(|(number, _)| *number).collect();
        for number in broken {
            self.break_off(number);
        }
    }

    fn break_off(&mut self, number: u64) {
        let Some(run) = self.running.remove(&number) else {
            return;
        };
        if let Some(asked) = self.requests.get_mut(&number) {
            let resumable = asked.request.path.starts_with("/berth/");
            if matches!(asked.ended, Some((_, Answer::Served(_)))) {
                asked.ended = (!resumable).then_some((self.now, Answer::Cut));
            }
        }
        let event = Event::AttemptFailed(number, Execution::Maybe, FailureCause::Broken);
        self.at(self.now + WAY, Act::Event(run.vm.0, run.vm.1, event));
    }

    pub(super) fn unlist_server(&mut self, server: Server) {
        self.store.remove(&EntryKey::Server(server));
        self.wake_watchers();
    }

    /// An event of a request at a server comes, unless that server has ended meanwhile.
    pub(super) fn answer_from(&mut self, number: u64, server: &Server, event: Event) {
        let Some(run) = self.running.get(&number).filter(|r| r.server == *server) else {
            return;
        };
        let (vm, start) = run.vm;
        if matches!(event, Event::AnswerCompleted(..)) {
            self.running.remove(&number);
        }
        if self.vms[vm].start == start {
            self.deliver(vm, event);
        }
    }

    /// A VM makes a connection to a server to see whether it takes any.
    pub(super) fn probe(&mut self, vm: usize, server: Server) {
        self.probes += 1;
        let up = self.servers.get(&server).is_some_and(|(e, _)| e.up);
        let (presence, after) = match self.vms[vm].network_up {
            true if up => (ProbeResult::Listens, WAY.times(2)),
            true => (ProbeResult::Refuses, WAY.times(2)),
            false => (ProbeResult::Silent, Span::from_millis(400)),
        };
        let event = Event::Probed(server, presence);
        let start = self.vms[vm].start;
        self.at(self.now + after, Act::Event(vm, start, event));
    }

    /// The servers of a service that are up.
    pub fn up(&self, engines: bool) -> Vec<Server> {
        let up = self.servers.values();
        let up = up.filter(|(e, _)| e.up && e.adapters == engines);
        up.map(|(e, _)| e.id.clone()).collect()
    }

    /// The servers that run requests, the one with most first.
    pub fn busiest(&self) -> Vec<Server> {
        let mut counts: BTreeMap<&Server, usize> = BTreeMap::new();
        for run in self.running.values() {
            *counts.entry(&run.server).or_default() += 1;
        }
        let mut servers: Vec<(&Server, usize)> = counts.into_iter().collect();
        servers.sort_by_key(|(_, count)| Reverse(*count));
        servers.into_iter().map(|(s, _)| s.clone()).collect()
    }

    /// A new server is there in place of one that described itself so.
    pub(super) fn succeed(&mut self, id: &str, engine: bool, backend: &Backend) {
        let made = Engine::new(id, engine, engine_config().places);
        let backend = Backend {
            start: Some(made.start),
            ..backend.clone()
        };
        self.register(made, backend);
    }
}
