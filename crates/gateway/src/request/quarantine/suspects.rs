//! Requests whose connections to a server broke, or ended an answer that nothing shows to be whole, kept until it is known
//! whether the server crashed.
//!
//! A connection may break for many reasons. A crashed server refuses connections within milliseconds, and its
//! entry disappears or names another incarnation within seconds; a live server answers another request.
//! Without any such sign no crash is reported.

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};

use super::crash_counter::CrashReport;
use crate::event::{InferenceSpec, PromptPart};
use crate::request::fingerprint::Fingerprint;

/// How long after a connection broke the crash of its server still counts as the cause: three missed heartbeats
/// and a margin.
const SUSPECT_RETENTION: Span = Span::from_secs(6);

/// Upper bound on the requests kept for one server: more than a server runs at once.
const MAX_PER_SERVER: usize = 256;

/// A request whose connection broke or ended its answer.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its connection broke or ended.
    pub(crate) broke: Instant,
    /// When its server's answer began; `None` if it had not.
    pub(crate) begun: Option<Instant>,
    /// Whether the connection ended an answer that nothing shows to be whole.
    pub(crate) has_answer: bool,
    /// The inference that it asked for; `None` if it asked for none.
    pub(crate) work: Option<InferenceSpec>,
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

    /// Returns the parts of its prompt that other requests may have too.
    pub(crate) fn shared_parts(&self) -> &[PromptPart] {
        self.work.as_ref().map_or(&[], InferenceSpec::shared_parts)
    }
}

/// The suspects of one server.
#[derive(Debug, Default)]
struct ServerSuspects {
    /// The requests, in the order in which their connections broke.
    suspects: Vec<Suspect>,
    /// When the probe of the server that is in flight began; `None` if there is none.
    probing_since: Option<Instant>,
}

/// The servers to which connections broke.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Suspects by server.
    by_server: BTreeMap<Server, ServerSuspects>,
}

impl State {
    /// Records a suspect.
    pub(crate) fn insert(&mut self, server: &Server, suspect: Suspect) {
        self.drop_expired(suspect.broke);
        let server_suspects = self.by_server.entry(server.clone()).or_default();
        if server_suspects.suspects.len() < MAX_PER_SERVER {
            server_suspects.suspects.push(suspect);
        }
    }

    /// Records that a server with suspects is to be probed. Returns whether it has to be: it is not while a probe is in
    /// flight.
    pub(crate) fn start_probe(&mut self, server: &Server, now: Instant) -> bool {
        let server_suspects = self.by_server.entry(server.clone()).or_default();
        let must_start = server_suspects.probing_since.is_none();
        server_suspects.probing_since.get_or_insert(now);
        must_start
    }

    /// Records that the probe of a server has ended. If the server accepted a connection, removes and returns the requests
    /// whose answers ended before the probe began: the server has not crashed with them, so they were whole.
    pub(crate) fn handle_probe_ended(&mut self, server: &Server, listens: bool) -> Vec<Suspect> {
        let Some(server_suspects) = self.by_server.get_mut(server) else {
            return Vec::new();
        };
        let began = server_suspects.probing_since.take();
        let is_whole =
            |suspect: &mut Suspect| listens && suspect.has_answer && began >= Some(suspect.broke);
        let suspects = &mut server_suspects.suspects;
        suspects.extract_if(.., is_whole).collect()
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
            server_suspects.probing_since.is_some() || !server_suspects.suspects.is_empty()
        });
    }
}
