//! Requests that crash the servers that run them, and how all VMs together stop sending them.
//!
//! Such a request comes again and again, at any VM, and each server it reaches ends with all that runs there. No VM sees more than a part
//! of that, so what each has seen is put together:
//! * `suspects`: a VM that had requests at a server when their connections broke asks whether the server still listens. If it has ended, each
//!   of them has a strike: it may be the cause, or have run beside it.
//! * `strikes`: they go to the few VMs that count for a request's fingerprint, by rendezvous hashing, and cost no more with more
//!   VMs. Only what was sent after the last server had ended counts anew, so a moment in which many servers end counts once.
//! * From the second strike on all VMs watch for a whole answer to such a request, which takes its strikes away: what is asked for often
//!   is often at a server that ends, and served most of the time.
//! * With the third strike it is in quarantine: all VMs are told, and refuse it at once as not run. `record` keeps that in the key-value
//!   service, for VMs that start later and for operators, who lift it by removing the key.
//!
//! None of it needs a scheduler, and but for the record none of it the key-value service. A VM that was not told causes one more strike,
//! and is told in answer to it.

mod aged;
mod record;
mod strikes;
mod suspects;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use self::aged::Aged;
use self::strikes::{Count, Tally};
use self::suspects::Suspect;
use crate::cluster::membership;
use crate::effect::{Effect, Effects, KvOperationId};
use crate::event::{ProbeResult, RequestId};
use crate::message::Message;
use crate::node::Gateway;
use crate::request::fingerprint::Fingerprint;
use crate::request::state::{self, RefusalDetail};

pub use self::strikes::CrashReport;

/// How long a request is refused: the longest lease that the key-value service grants, under which its record lies. After that one
/// more strike is enough.
pub const QUARANTINE_DURATION: Span = Span::from_secs(600);

/// How long strikes are remembered: beyond a quarantine, so that a request that is tried after it needs no three servers again.
const REMEMBERED: Span = Span::from_secs(1_800);

/// VMs that count the strikes of one request: one may end, and one not be known to the VM that tells.
const COUNTERS: usize = 3;

/// Requests in quarantine, and such that are watched, that a VM knows at most; the oldest go first.
const MOST: usize = 4_096;

/// Requests that a VM tells another one of in one message.
const TOLD_AT_ONCE: usize = 256;

/// Requests that the line on a server's end names at most.
const NAMED: usize = 8;

/// What is known of a request that servers have ended under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineStatus {
    /// It has strikes, and a whole answer takes them away.
    Watched,
    /// It is refused for so long.
    Quarantined(Span),
    /// It got a whole answer.
    Cleared,
}

/// Requests that servers have ended under, as far as this VM knows.
#[derive(Debug)]
pub(crate) struct State {
    /// Requests whose connections broke, by server.
    suspects: suspects::State,
    /// Strikes that this VM counts.
    tally: Tally,
    /// Requests whose whole answer takes their strikes away.
    watched: Aged<()>,
    /// Requests that are refused, each until when.
    quarantined: Aged<Instant>,
    /// What this VM writes to the key-value service.
    records: record::State,
}

impl Default for State {
    fn default() -> Self {
        Self {
            suspects: suspects::State::default(),
            tally: Tally::new(REMEMBERED),
            watched: Aged::new(MOST, REMEMBERED),
            quarantined: Aged::new(MOST, QUARANTINE_DURATION),
            records: record::State::default(),
        }
    }
}

impl State {
    /// How long a request is still refused; none where it isn't.
    pub(crate) fn left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Span> {
        let until = self.quarantined.get(&fingerprint)?;
        Some(until.since(now)).filter(|left| *left > Span::ZERO)
    }

    /// Whether a call of the key-value service is one on records.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
        self.records.owns(op)
    }

    /// Whether a whole answer to a request matters.
    fn watches(&self, fingerprint: Fingerprint) -> bool {
        self.watched.get(&fingerprint).is_some() || self.quarantined.get(&fingerprint).is_some()
    }
}

impl Gateway {
    /// A server has ended while requests ran there.
    fn strike(&mut self, server: &Server, suspects: &[Suspect], out: &mut Effects) {
        let strikes: Vec<CrashReport> = suspects.iter().map(|s| s.strike(self.now)).collect();
        let calls = strikes.iter().take(NAMED);
        let calls: Vec<String> = calls.map(|s| s.fingerprint.to_string()).collect();
        let detail = format!(
            "server={server} requests={} calls={}",
            strikes.len(),
            calls.join(",")
        );
        Self::log(out, Code::ServerEnded, detail);
        let mut told: BTreeMap<Vm, Vec<CrashReport>> = BTreeMap::new();
        for strike in &strikes {
            for vm in self.counters(strike.fingerprint) {
                told.entry(vm.clone()).or_default().push(*strike);
            }
        }
        told.remove(&self.settings.vm);
        for (vm, strikes) in told {
            self.send(&vm, Message::CrashReports(strikes), out);
        }
        // Whether or not it is one that counts: it may be parted from those.
        self.count_strikes(&strikes, out);
    }

    /// The VMs that count the strikes of a request, the first of them first.
    fn counters(&self, fingerprint: Fingerprint) -> Vec<&Vm> {
        self.first_vms(COUNTERS, |vm| {
            Reverse(membership::rendezvous_score(&(vm.as_str(), fingerprint)))
        })
    }

    /// Another VM tells of strikes. What it does not know of their requests yet it is told in turn.
    pub(crate) fn handle_crash_reports(
        &mut self,
        from: &Vm,
        strikes: &[CrashReport],
        out: &mut Effects,
    ) {
        let struck = strikes.iter().map(|strike| strike.fingerprint);
        self.tell_refused(from, struck, out);
        self.count_strikes(strikes, out);
    }

    fn count_strikes(&mut self, strikes: &[CrashReport], out: &mut Effects) {
        let mut told = Vec::new();
        for strike in strikes {
            let fingerprint = strike.fingerprint;
            let counted = self.quarantine.tally.strike(self.now, strike);
            let known = self.quarantine.left(fingerprint, self.now).is_some();
            match counted {
                Count::Enough if !known => {
                    self.put_in_quarantine(fingerprint, QUARANTINE_DURATION, "strikes", out);
                    self.record(fingerprint, out);
                    told.push((
                        fingerprint,
                        QuarantineStatus::Quarantined(QUARANTINE_DURATION),
                    ));
                }
                Count::Suspect if !self.quarantine.watches(fingerprint) => {
                    self.quarantine.watched.insert(self.now, fingerprint, ());
                    told.push((fingerprint, QuarantineStatus::Watched));
                }
                _ => {}
            }
        }
        if !told.is_empty() {
            self.broadcast(&Message::QuarantineStatuses(told), out);
        }
    }

    /// Another VM tells what is known of requests.
    pub(crate) fn handle_quarantine_statuses(
        &mut self,
        told: Vec<(Fingerprint, QuarantineStatus)>,
        out: &mut Effects,
    ) {
        for (fingerprint, standing) in told {
            match standing {
                QuarantineStatus::Watched => {
                    self.quarantine.watched.insert(self.now, fingerprint, ());
                }
                QuarantineStatus::Quarantined(left) => {
                    self.put_in_quarantine(fingerprint, left, "peer", out);
                }
                QuarantineStatus::Cleared => self.clear(fingerprint, "answered_elsewhere", out),
            }
        }
    }

    /// Refuses a request from now on, for so long, and at once where it waits. What has been sent already is left to its server.
    pub(crate) fn put_in_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        length: Span,
        by: &str,
        out: &mut Effects,
    ) {
        if self.quarantine.left(fingerprint, self.now).is_some() {
            return;
        }
        let length = length.min(QUARANTINE_DURATION);
        let until = self.now + length;
        self.quarantine
            .quarantined
            .insert(self.now, fingerprint, until);
        let detail = format!("call={fingerprint} by={by} for={length}");
        Self::log(out, Code::RequestQuarantined, detail);
        let waits = |f: &state::RequestState| {
            f.call.fingerprint == fingerprint
                && f.server().is_none()
                && f.phase != state::Phase::Charging
        };
        let waiting = self.in_flight.iter().filter(|(_, state)| waits(state));
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        for request in waiting {
            self.refuse_request(request, Some(length), RefusalDetail::Quarantined, out);
        }
    }

    /// Forgets all that speaks against a request.
    fn clear(&mut self, fingerprint: Fingerprint, why: &str, out: &mut Effects) {
        self.quarantine.tally.clear(fingerprint);
        self.quarantine.watched.remove(&fingerprint);
        self.end_quarantine(fingerprint, why, out);
    }

    /// The record of a request is gone: its lease has ended, or an operator has removed it. Its strikes but the last are remembered.
    pub(crate) fn end_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        why: &str,
        out: &mut Effects,
    ) {
        if self.quarantine.quarantined.remove(&fingerprint).is_some() {
            self.quarantine.tally.leave_one_short(fingerprint);
            let detail = format!("call={fingerprint} why={why}");
            Self::log(out, Code::QuarantineLifted, detail);
        }
    }

    /// A request got its whole answer: servers don't end because of it.
    pub(crate) fn answered_whole(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let fingerprint = state.call.fingerprint;
        if let Some(server) = state.server() {
            self.quarantine.suspects.lives(server, state.sent);
        }
        if !self.quarantine.watches(fingerprint) {
            return;
        }
        self.clear(fingerprint, "answered", out);
        self.remove_record(fingerprint, out);
        let told = vec![(fingerprint, QuarantineStatus::Cleared)];
        self.broadcast(&Message::QuarantineStatuses(told), out);
    }

    /// Tells a VM that knows nothing yet which requests are refused.
    pub(crate) fn tell_quarantines(&self, vm: &Vm, out: &mut Effects) {
        self.tell_refused(vm, self.quarantine.quarantined.newest(), out);
    }

    /// Tells a VM which of some requests are refused.
    fn tell_refused(
        &self,
        vm: &Vm,
        requests: impl Iterator<Item = Fingerprint>,
        out: &mut Effects,
    ) {
        let refused = requests.filter_map(|fingerprint| {
            let left = self.quarantine.left(fingerprint, self.now)?;
            Some((fingerprint, QuarantineStatus::Quarantined(left)))
        });
        let told: Vec<(Fingerprint, QuarantineStatus)> = refused.take(TOLD_AT_ONCE).collect();
        if !told.is_empty() {
            self.send(vm, Message::QuarantineStatuses(told), out);
        }
    }

    /// A connection to a server broke on which a request was that may have run.
    pub(crate) fn suspect(
        &mut self,
        server: &Server,
        fingerprint: Fingerprint,
        sent: Instant,
        out: &mut Effects,
    ) {
        // The end of a server that leaves is planned, and of one that is gone nothing can be learnt.
        let Some(row) = self.servers.get(server).filter(|row| row.backend.ready) else {
            return;
        };
        let suspect = Suspect {
            fingerprint,
            sent,
            broke: self.now,
        };
        if self.quarantine.suspects.suspect(server, suspect) {
            out.push(Effect::Probe(server.clone(), row.backend.address));
        }
    }

    /// A server was asked whether it takes connections.
    pub(crate) fn handle_probe(
        &mut self,
        server: &Server,
        presence: ProbeResult,
        out: &mut Effects,
    ) {
        self.quarantine.suspects.probed(server);
        if presence == ProbeResult::Refuses {
            self.server_ended(server, out);
        }
    }

    /// A server is known to have ended.
    pub(crate) fn server_ended(&mut self, server: &Server, out: &mut Effects) {
        let suspects = self.quarantine.suspects.ended(server, self.now);
        if !suspects.is_empty() {
            self.strike(server, &suspects, out);
        }
    }
}
