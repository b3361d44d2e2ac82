//! This VM's own path to the backend servers, and the way over other VMs while it is lost.
//!
//! A VM may lose its path to all servers while callers, the key-value service and other VMs still reach it. It notices this
//! by connections that can't be made, or by requests that wait while nothing comes from any server, and probes a few
//! further servers. If one accepts a connection, the others have failed by themselves. If none does, the path is lost:
//! requests go over other VMs (`relay`), and what this VM has learned of servers by failed connections is discarded. It
//! goes on probing, and returns to its own path when several servers accept connections again.
//!
//! A relay carries one attempt to the server that this VM names, and its answer back. All decisions stay here, so that a
//! request has the same account, place, retries and bound on its runs whichever way it takes. Orders never go over a
//! relay: a VM that reaches its engines only over others gives up their leadership.

pub(crate) mod relay;

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rand::seq::IteratorRandom;

use crate::effect::{Effect, Effects};
use crate::event::{ProbeResult, RequestId};
use crate::metrics;
use crate::node::Gateway;
use crate::request::health::Health;
use crate::request::state::Phase as RequestPhase;
use crate::timer::Timer;

/// How long a failed connection says something of the path.
const FAILURE_RETENTION: Span = Span::from_secs(10);

/// Number of further servers that are probed when the path is in doubt. That all of them have failed at the same moment
/// is less likely than that the path is lost.
const PROBES: usize = 3;

/// Number of servers that have to accept a connection before a lost path counts as open, so that one that comes and goes
/// is not used.
const CONFIRMATIONS: usize = 2;

/// Time between two probes while the path is lost.
const PROBE_INTERVAL: Span = Span::from_millis(250);

/// How long a request may wait at a server while nothing comes from any server, before that server is probed; where
/// requests wait at several servers, the path is in doubt at once. A plain service answers within a tenth of it; engines
/// take longer only under load, when others answer meanwhile.
const STALL_TIME: Span = Span::from_millis(500);

/// The least time between two such looks.
const STALL_INTERVAL: Span = Span::from_secs(1);

/// State of the path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Servers are reached.
    #[default]
    Open,
    /// Further servers are being probed.
    Doubted,
    /// No server was reached, and so many have accepted a connection since the last one that did not.
    Lost(usize),
}

/// What this VM knows of its path to the servers.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// State of the path.
    phase: Phase,
    /// The servers that this VM did not reach since it last reached them, each with the time of the last failed connection.
    failing: BTreeMap<Server, Instant>,
    /// Servers that are being probed because the path is in doubt or lost.
    probed: BTreeSet<Server>,
    /// Servers that refused a probe while the path was in doubt, and may have crashed.
    refusing: Vec<Server>,
    /// When a lost path was last open again.
    back_at: Instant,
    /// When something last came from a server.
    heard_at: Instant,
    /// When servers were last probed because requests wait.
    stalled_at: Instant,
    /// The other VMs as ways to the servers.
    pub(crate) relays: relay::State,
}

impl State {
    /// Returns whether servers are reached, as far as this VM knows.
    pub(crate) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Returns whether no server is reached.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.phase, Phase::Lost(_))
    }

    /// Returns whether the path is lost or was so after a time: what was sent then failed for that.
    pub(crate) fn was_lost_since(&self, sent: Instant) -> bool {
        self.is_lost() || sent < self.back_at
    }

    /// Records that something came from a server over this VM's own path.
    pub(crate) fn record_heard(&mut self, now: Instant) {
        self.heard_at = now;
    }
}

impl Gateway {
    /// Handles the outcome of a new connection to a server, for an attempt or as a probe.
    pub(crate) fn record_connection(
        &mut self,
        server: &Server,
        result: ProbeResult,
        out: &mut Effects,
    ) {
        let label = match result {
            ProbeResult::Listens => "made",
            ProbeResult::Refuses => "refused",
            ProbeResult::Silent => "silent",
        };
        metrics::count_global(out, Figure::ServerConnections, label);
        self.path.probed.remove(server);
        if result == ProbeResult::Listens {
            self.path.failing.remove(server);
            self.path.heard_at = self.now;
            self.record_reached(out);
            return;
        }
        let now = self.now;
        let failing = &mut self.path.failing;
        let is_new = failing.insert(server.clone(), now).is_none();
        failing.retain(|_, at| now.since(*at) < FAILURE_RETENTION);
        let detail = format!("server={server} outcome={label} failing={}", failing.len());
        Self::log(out, Code::ConnectionFailed, detail);
        match self.path.phase {
            Phase::Open if is_new => self.doubt_path(out),
            Phase::Doubted if self.path.probed.is_empty() => self.lose_path(out),
            Phase::Open | Phase::Doubted => {}
            Phase::Lost(_) => self.path.phase = Phase::Lost(0),
        }
    }

    /// Handles a server that may have crashed, as it refused a probe. It has not if this VM reaches no server.
    pub(crate) fn handle_refused_probe(&mut self, server: &Server, out: &mut Effects) {
        match self.path.phase {
            Phase::Open => self.server_ended(server, out),
            Phase::Doubted => self.path.refusing.push(server.clone()),
            Phase::Lost(_) => {}
        }
    }

    /// Handles a server that accepted a connection.
    fn record_reached(&mut self, out: &mut Effects) {
        match self.path.phase {
            Phase::Open => {}
            Phase::Doubted => {
                self.path.phase = Phase::Open;
                for server in std::mem::take(&mut self.path.refusing) {
                    self.server_ended(&server, out);
                }
            }
            Phase::Lost(reached) if reached + 1 >= CONFIRMATIONS.min(self.servers.len()) => {
                self.path.phase = Phase::Open;
                self.path.back_at = self.now;
                self.path.failing.clear();
                Self::log(out, Code::PathBack, format!("reached={}", reached + 1));
            }
            Phase::Lost(reached) => {
                self.path.phase = Phase::Lost(reached + 1);
                self.probe_path(1, out);
            }
        }
    }

    /// Probes further servers to see whether the path is lost.
    fn doubt_path(&mut self, out: &mut Effects) {
        self.path.probed.clear();
        self.path.phase = Phase::Doubted;
        if self.probe_path(PROBES, out) {
            return;
        }
        // None is left. A single server says nothing of the path.
        self.path.phase = Phase::Open;
        if self.path.failing.len() > 1 {
            self.lose_path(out);
        }
    }

    /// Probes servers that have not failed recently, or any while the path is lost. Returns whether there are some.
    fn probe_path(&mut self, count: usize, out: &mut Effects) -> bool {
        let is_lost = self.path.is_lost();
        let candidates = self.servers.iter().filter(|(server, state)| {
            let is_known = is_lost || !self.path.failing.contains_key(*server);
            is_known && state.backend.ready && !self.path.probed.contains(*server)
        });
        let chosen = candidates.choose_multiple(&mut self.rng, count);
        for (server, state) in chosen {
            self.path.probed.insert(server.clone());
            out.push(Effect::Probe(server.clone(), state.backend.address));
        }
        !self.path.probed.is_empty()
    }

    /// Handles the loss of the path: discards what failed connections have told of servers.
    fn lose_path(&mut self, out: &mut Effects) {
        self.path.phase = Phase::Lost(0);
        self.path.refusing.clear();
        self.quarantine.forget_suspects();
        for state in self.servers.values_mut() {
            state.health = Health::default();
        }
        let detail = format!("failing={}", self.path.failing.len());
        Self::log(out, Code::PathLost, detail);
        out.push(Effect::DropConnections);
        self.timers.set_once(self.now + PROBE_INTERVAL, Timer::Path);
    }

    /// Has the path looked at when a request that is sent now has waited long enough.
    pub(crate) fn watch_path(&mut self) {
        self.timers.set_once(self.now + STALL_TIME, Timer::Path);
    }

    /// Handles the timer of the path: probes a server while the path is lost, or looks for requests that wait.
    pub(crate) fn handle_path_timer(&mut self, out: &mut Effects) {
        let now = self.now;
        if self.path.is_lost() {
            self.path.probed.clear();
            self.probe_path(1, out);
            self.timers.set_once(now + PROBE_INTERVAL, Timer::Path);
            return;
        }
        let waits = |phase: &RequestPhase| {
            matches!(
                phase,
                RequestPhase::Sent {
                    answer_started: false,
                    ..
                }
            )
        };
        let states = self.in_flight.values();
        let mut waiting = states
            .filter(|state| state.relay.is_none() && waits(&state.phase))
            .peekable();
        if waiting.peek().is_some() {
            self.timers.set_once(now + STALL_TIME, Timer::Path);
        }
        let old = waiting.filter(|state| now.since(state.sent) >= STALL_TIME);
        let servers: BTreeSet<Server> = old.filter_map(|state| state.server().cloned()).collect();
        match servers.first() {
            Some(_) if servers.len() > 1 && self.may_look() => {
                self.path.stalled_at = now;
                self.doubt_path(out);
            }
            Some(server) => self.look_at_server(server, out),
            None => {}
        }
    }

    /// Probes a server that has not answered, if nothing else has come from any server for a while.
    pub(crate) fn look_at_server(&mut self, server: &Server, out: &mut Effects) {
        let address = self.servers.get(server).map(|state| state.backend.address);
        if let Some(address) = address.filter(|_| self.may_look()) {
            self.path.stalled_at = self.now;
            out.push(Effect::Probe(server.clone(), address));
        }
    }

    /// Returns whether nothing has come from any server for a while, and servers were not probed for that just now.
    fn may_look(&self) -> bool {
        self.path.is_open()
            && self.now.since(self.path.heard_at) >= STALL_TIME
            && self.now.since(self.path.stalled_at) >= STALL_INTERVAL
    }

    /// Gives up the leaderships of engines that this VM reaches only over others.
    pub(crate) fn resign_without_path(&mut self, request: RequestId, out: &mut Effects) {
        let is_relayed = self
            .in_flight
            .get(&request)
            .is_some_and(|state| state.relay.is_some());
        if is_relayed && self.path.is_lost() && !self.schedulers.is_empty() {
            self.resign_all(out);
        }
    }
}
