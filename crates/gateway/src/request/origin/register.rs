//! The register of origins: what began each stream that a caller may resume.
//!
//! The VM that begins a stream keeps its origin. While servers of several builds serve, it also sends the origin to a few VMs,
//! the keepers, as it passes the first event on. Before that the origin is not certain: an attempt that fails may be followed
//! by one at another build, and of two records the later one may be lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahliastile_core::id::{Server, Vm, Zone};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use super::{Origin, RETENTION};
use crate::cluster::membership;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::message::Message;
use crate::node::Gateway;
use crate::request::expiring_map::ExpiringMap;
use crate::request::fingerprint::Fingerprint;

/// Number of VMs that keep the origins of all streams: four of them may be gone or start again within seconds, two of one
/// availability zone at once.
pub(super) const KEEPERS: usize = 5;

/// Upper bound on the origins that a VM keeps, the oldest go first: 500 streams a second for [`RETENTION`], some 150 bytes
/// each.
const MAX_ORIGINS: usize = 15_000;

/// Upper bound on the origins in one message.
const MAX_PER_MESSAGE: usize = 512;

/// Identifies a stream on all VMs: a hash of the host and account of its requests, and of the id of the request that brought
/// its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(Fingerprint);

impl StreamId {
    /// Returns the id of the stream that a request with this id begins.
    #[must_use]
    pub fn of(host: &str, account: Option<&str>, request: &str) -> Self {
        let account = account.unwrap_or_default();
        Self(Fingerprint::of([
            host.as_bytes(),
            account.as_bytes(),
            request.as_bytes(),
        ]))
    }
}

/// The origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// What began it; none if that is not certain, so that it can't go on.
    pub origin: Option<Origin>,
    /// Counts what VMs have said of the stream: a statement with a higher number replaces it.
    pub revision: u32,
    /// Time since it was recorded.
    pub age: Span,
}

/// What is kept of a stream.
#[derive(Debug)]
pub(super) struct Entry {
    /// What began it; `None` if that is not certain.
    pub(super) origin: Option<Origin>,
    revision: u32,
    /// Whether this VM sent the request that began the stream.
    is_own: bool,
}

/// The origins that this VM keeps.
#[derive(Debug)]
pub(crate) struct Register {
    entries: ExpiringMap<StreamId, Entry>,
}

impl Default for Register {
    fn default() -> Self {
        Self {
            entries: ExpiringMap::new(MAX_ORIGINS, RETENTION),
        }
    }
}

impl Register {
    /// Returns what is kept of a stream; `None` if this VM does not know it.
    pub(super) fn get(&self, stream: StreamId) -> Option<&Entry> {
        self.entries.get(&stream)
    }

    /// Records the origin of a stream, unless a later statement is known. Two statements with one number that differ leave it
    /// uncertain.
    fn record(&mut self, now: Instant, row: StreamOrigin, is_own: bool) {
        let known = self.entries.get(&row.stream);
        let is_own = is_own || known.is_some_and(|known| known.is_own);
        let origin = match known {
            Some(known) if known.revision > row.revision => return,
            Some(known) if known.revision == row.revision && known.origin != row.origin => None,
            _ => row.origin,
        };
        let entry = Entry {
            origin,
            revision: row.revision,
            is_own,
        };
        self.entries.insert(now.back(row.age), row.stream, entry);
    }
}

impl Gateway {
    /// Returns the VMs that keep the origins of streams: the strongest, as they have work for all others, at most half of
    /// them of one availability zone. Every VM computes the same ones.
    pub(super) fn origin_keepers(&self) -> Vec<Vm> {
        let me = &self.settings.vm;
        let mut vms: Vec<&Vm> = self.peers().chain([me]).collect();
        vms.sort_by_cached_key(|vm| {
            let score = membership::rendezvous_score(&("origins", vm.as_str()));
            (Reverse(self.strength(vm)), score)
        });
        let zone = |vm: &Vm| {
            if vm == me {
                Some(&self.settings.zone)
            } else {
                self.membership.zone(vm)
            }
        };
        let mut by_zone: BTreeMap<Option<&Zone>, usize> = BTreeMap::new();
        let (first, rest): (Vec<&Vm>, Vec<&Vm>) = vms.into_iter().partition(|vm| {
            let count = by_zone.entry(zone(vm)).or_default();
            *count += 1;
            *count <= KEEPERS / 2
        });
        let keepers = first.into_iter().chain(rest).take(KEEPERS);
        keepers.cloned().collect()
    }

    /// Records the origin of the stream of a request, the first event of which is passed on, here and at the keepers. A request
    /// that resumes a stream has its origin kept for longer.
    pub(crate) fn register_stream(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let (Some(stream), Some(origin)) = (state.stream, state.origin.clone()) else {
            return;
        };
        let service = state.service.clone();
        let own = state.call.resumes.is_none();
        let known = self.origins.register.get(stream).filter(|_| !own);
        let row = StreamOrigin {
            stream,
            origin: Some(origin),
            revision: known.map_or(1, |entry| entry.revision),
            age: Span::ZERO,
        };
        self.origins.register.record(self.now, row.clone(), own);
        if self.origins.history.is_mixed(self.now, &service) {
            self.journal_origins(std::slice::from_ref(&row));
            self.send_origins(&[row], out);
        }
    }

    /// Marks the origins of the streams at a server as uncertain, since the server has started anew with another build: which
    /// of the two an attempt has reached is not known.
    pub(crate) fn doubt_origins(&mut self, server: &Server, out: &mut Effects) {
        let states = self.in_flight.values_mut();
        let register = &self.origins.register;
        let mut doubted = Vec::new();
        for state in states.filter(|state| state.server() == Some(server)) {
            state.backend = None;
            let begun = state.origin.take().and(state.stream);
            doubted.extend(begun.map(|stream| StreamOrigin {
                stream,
                origin: None,
                revision: register.get(stream).map_or(1, |entry| entry.revision) + 1,
                age: Span::ZERO,
            }));
        }
        for row in &doubted {
            self.origins.register.record(self.now, row.clone(), true);
        }
        self.journal_origins(&doubted);
        if !doubted.is_empty() {
            self.send_origins(&doubted, out);
        }
    }

    /// Sends origins to all keepers.
    fn send_origins(&self, rows: &[StreamOrigin], out: &mut Effects) {
        for keeper in self.origin_keepers() {
            if keeper != self.settings.vm {
                self.send(&keeper, Message::StreamOrigins(rows.to_vec()), out);
            }
        }
    }

    /// Sends the origins that this VM keeps to all keepers: those of its own streams, or of all.
    pub(super) fn send_known_origins(&self, only_own: bool, out: &mut Effects) {
        for rows in self.known_origins(only_own) {
            self.send_origins(&rows, out);
        }
    }

    /// Returns the origins that this VM keeps, as they fit into messages.
    pub(super) fn known_origins(&self, only_own: bool) -> Vec<Vec<StreamOrigin>> {
        let live = self.origins.register.entries.live(self.now);
        let wanted = live.filter(|(_, _, entry)| entry.is_own || !only_own);
        let rows: Vec<StreamOrigin> = wanted
            .map(|(stream, at, entry)| StreamOrigin {
                stream,
                origin: entry.origin.clone(),
                revision: entry.revision,
                age: self.now.since(at),
            })
            .collect();
        rows.chunks(MAX_PER_MESSAGE).map(<[_]>::to_vec).collect()
    }

    /// Records the origins that another VM has sent, or written.
    pub(crate) fn handle_stream_origins(&mut self, rows: Vec<StreamOrigin>) {
        for row in rows {
            self.origins.register.record(self.now, row, false);
        }
    }

    /// Records the origins that another VM has sent, and has those written that are new.
    pub(crate) fn handle_sent_origins(&mut self, rows: Vec<StreamOrigin>) {
        let mut new = Vec::new();
        for row in rows {
            let known = self.origins.register.get(row.stream);
            if known.is_none_or(|known| known.revision < row.revision) {
                new.push(row.clone());
            }
            self.origins.register.record(self.now, row, false);
        }
        self.journal_origins(&new);
    }
}
