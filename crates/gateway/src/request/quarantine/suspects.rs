//! Requests whose connections to a server broke, kept until it is known whether the server crashed.
//!
//! A connection may break for many reasons. A crashed server refuses connections within milliseconds, and its
//! entry disappears or names another incarnation within seconds; a live server answers another request.
//! Without any such sign no crash is reported.

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};

use super::crash_counter::CrashReport;
use crate::request::fingerprint::Fingerprint;

/// How long after a connection broke the crash of its server still counts as the cause: three missed heartbeats
/// and a margin.
const SUSPECT_RETENTION: Span = Span::from_secs(6);

/// Upper bound on the requests kept for one server: more than a server runs at once.
const MAX_PER_SERVER: usize = 256;

/// A request whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its connection broke.
    pub(crate) broke: Instant,
}

impl Suspect {
    /// Returns the crash report for other VMs. Its times are relative to `now`, because the clocks of VMs
    /// differ.
    pub(crate) fn crash_report(&self, now: Instant) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            sent: now.since(self.sent),
            broke: now.since(self.broke),
        }
    }
}

/// The suspects of one server.
#[derive(Debug, Default)]
struct ServerSuspects {
    /// The requests, in the order in which their connections broke.
    suspects: Vec<Suspect>,
    /// Whether a probe of the server is in flight.
    probe_in_flight: bool,
}

/// The servers to which connections broke.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Suspects by server.
    by_server: BTreeMap<Server, ServerSuspects>,
}

impl State {
    /// Records a request whose connection broke. Returns whether the server has to be probed; it is not while
    /// a probe is in flight.
    pub(crate) fn insert(&mut self, server: &Server, suspect: Suspect) -> bool {
        self.drop_expired(suspect.broke);
        let server_suspects = self.by_server.entry(server.clone()).or_default();
        if server_suspects.suspects.len() < MAX_PER_SERVER {
            server_suspects.suspects.push(suspect);
        }
        !std::mem::replace(&mut server_suspects.probe_in_flight, true)
    }

    /// Records that the probe of a server has ended.
    pub(crate) fn handle_probe_ended(&mut self, server: &Server) {
        if let Some(server_suspects) = self.by_server.get_mut(server) {
            server_suspects.probe_in_flight = false;
        }
    }

    /// Handles an answer of a server to a request that was sent at `sent`: connections that broke before then
    /// broke for another reason than a crash.
    pub(crate) fn record_answer(&mut self, server: &Server, sent: Instant) {
        if let Some(server_suspects) = self.by_server.get_mut(server) {
            server_suspects
                .suspects
                .retain(|suspect| suspect.broke >= sent);
        }
    }

    /// Removes and returns the requests that may have crashed a server.
    pub(crate) fn take(&mut self, server: &Server, now: Instant) -> Vec<Suspect> {
        self.drop_expired(now);
        let server_suspects = self.by_server.remove(server);
        server_suspects.map_or_else(Vec::new, |server_suspects| server_suspects.suspects)
    }

    fn drop_expired(&mut self, now: Instant) {
        for server_suspects in self.by_server.values_mut() {
            server_suspects
                .suspects
                .retain(|suspect| now.since(suspect.broke) <= SUSPECT_RETENTION);
        }
        self.by_server.retain(|_, server_suspects| {
            server_suspects.probe_in_flight || !server_suspects.suspects.is_empty()
        });
    }
}
