//! Which requests were at a server when its connections broke, until it is known whether the server has ended.
//!
//! A connection may break for many reasons. A server that has ended refuses connections within milliseconds, its entry goes or names
//! another start within seconds; one that lives answers another request. Where nothing of it is seen nobody gets a strike.

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};

use super::strikes::CrashReport;
use crate::request::fingerprint::Fingerprint;

/// How long after a connection broke the server's end is taken for its reason: three heartbeats that don't come, and some.
const KEPT: Span = Span::from_secs(6);

/// Requests of one server that are kept at most: more than a server runs.
const MOST: usize = 256;

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
    /// What other VMs are told, with times as ages since clocks differ.
    pub(crate) fn strike(&self, now: Instant) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            sent: now.since(self.sent),
            broke: now.since(self.broke),
        }
    }
}

/// One server's requests.
#[derive(Debug, Default)]
struct Row {
    /// The requests, the last one last.
    suspects: Vec<Suspect>,
    /// Whether it is being asked whether it listens.
    probing: bool,
}

/// The servers with broken connections.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// By server.
    rows: BTreeMap<Server, Row>,
}

impl State {
    /// Notes a request. Says whether the server is to be asked if it listens.
    pub(crate) fn suspect(&mut self, server: &Server, suspect: Suspect) -> bool {
        self.forget(suspect.broke);
        let row = self.rows.entry(server.clone()).or_default();
        if row.suspects.len() < MOST {
            row.suspects.push(suspect);
        }
        !std::mem::replace(&mut row.probing, true)
    }

    /// The answer to that has come, or won't.
    pub(crate) fn probed(&mut self, server: &Server) {
        if let Some(row) = self.rows.get_mut(server) {
            row.probing = false;
        }
    }

    /// A server answered a request that was sent at a time: what broke before broke for another reason.
    pub(crate) fn lives(&mut self, server: &Server, sent: Instant) {
        if let Some(row) = self.rows.get_mut(server) {
            row.suspects.retain(|suspect| suspect.broke >= sent);
        }
    }

    /// A server has ended: the requests that it may have ended by.
    pub(crate) fn ended(&mut self, server: &Server, now: Instant) -> Vec<Suspect> {
        self.forget(now);
        let row = self.rows.remove(server);
        row.map_or_else(Vec::new, |row| row.suspects)
    }

    fn forget(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            row.suspects
                .retain(|suspect| now.since(suspect.broke) <= KEPT);
        }
        self.rows
            .retain(|_, row| row.probing || !row.suspects.is_empty());
    }
}
