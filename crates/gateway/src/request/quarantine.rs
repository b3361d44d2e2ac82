//! Quarantine of requests that crash the servers that run them.
//!
//! Callers repeat such a request at any VM, and each server that it reaches crashes together with everything
//! it runs. A single VM sees only some of these crashes, so the VMs combine what they see:
//! * `suspects`: a VM whose connections to a server broke probes whether the server still accepts
//!   connections. If the server has crashed, the VM sends a crash report for each request that it had there:
//!   the request may be the cause, or may only have run at the same time. A request whose answer ended with
//!   its connection is a suspect too, since the answer may not be whole; its server is probed only if crashes
//!   under the request are counted already.
//! * `crash_counter`: crash reports go to the few VMs that count for the fingerprint of the request, chosen
//!   by rendezvous hashing, so that their cost does not grow with the number of VMs. A report counts only if
//!   the request was sent after the previous counted crash, so that many servers crashing at once count as
//!   one.
//! * From the second counted crash all VMs watch for a complete answer to the request, which resets its
//!   count. A frequent request is often at a server that crashes, but is answered most of the time.
//! * `cause`, `parts`: no two requests need to be alike to crash servers in the same way, as a part of their prompts may be
//!   the cause. Parts are counted and quarantined too.
//! * With the third counted crash the request is quarantined: all VMs are informed, and refuse it at once as
//!   not run. `record` keeps this in the key-value service, for VMs that start later and for operators, who
//!   end the quarantine by removing the record.
//!
//! The quarantine needs no scheduler, and needs the key-value service only for the record. A VM that was not
//! informed of a quarantine causes the crash of one more server, and is informed in the reply to its crash
//! report.

mod cause;
mod crash_counter;
mod parts;
mod record;
mod suspects;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use self::crash_counter::{CrashCounter, CrashEffect, REQUEST_THRESHOLD};
use crate::cluster::membership;
use crate::effect::{Effect, Effects, KvOperationId};
use crate::event::{CallerRequest, ProbeResult, PromptPart, RequestId};
use crate::message::Message;
use crate::node::Gateway;
use crate::request::expiring_map::ExpiringMap;
use crate::request::fingerprint::Fingerprint;
use crate::request::state::{Phase, RefusalDetail, RequestState};

pub use self::crash_counter::CrashReport;
pub(crate) use self::suspects::Suspect;

/// Duration of a quarantine: the longest lease that the key-value service grants, since the record depends on
/// one. After a quarantine one further counted crash starts a new one.
pub const QUARANTINE_DURATION: Span = Span::from_secs(600);

/// How long counted crashes are remembered: longer than a quarantine, so that a request that is tried after
/// its quarantine does not need to crash three more servers.
const CRASH_RETENTION: Span = Span::from_secs(1_800);

/// Number of VMs that count the crash reports of one request: one may fail, and another may be unknown to the
/// VM that reports.
const COUNTING_VMS: usize = 3;

/// Upper bound on the quarantined requests that a VM remembers, and on the watched ones; the oldest are
/// dropped.
const MAX_REQUESTS: usize = 4_096;

/// Upper bound on the requests in a message that informs one VM about quarantined requests.
const MAX_STATUSES_PER_MESSAGE: usize = 256;

/// Upper bound on the requests named in the log line about a server that ended.
const MAX_LOGGED_REQUESTS: usize = 8;

/// Upper bound on the prompt parts named in the log line about a server that ended.
const MAX_LOGGED_PARTS: usize = 16;

/// Status of a request that was at servers when they crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineStatus {
    /// Crashes under the request are counted; a complete answer resets the count.
    Watched,
    /// The request is refused for this time.
    Quarantined(Span),
    /// The request got a complete answer.
    Cleared,
}

/// What this VM knows about requests that were at servers when they crashed.
#[derive(Debug)]
pub(crate) struct State {
    /// Requests whose connections broke, by server.
    suspects: suspects::State,
    /// Crashes that this VM counts, by request.
    crash_counter: CrashCounter,
    /// What this VM knows of prompt parts.
    parts: parts::State,
    /// Requests whose count is reset by a complete answer.
    watched: ExpiringMap<Fingerprint, ()>,
    /// Quarantined requests, each with the end of its quarantine.
    quarantined: ExpiringMap<Fingerprint, Instant>,
    /// Pending writes of records to the key-value service.
    records: record::State,
}

impl Default for State {
    fn default() -> Self {
        Self {
            suspects: suspects::State::default(),
            crash_counter: CrashCounter::new(REQUEST_THRESHOLD, CRASH_RETENTION),
            parts: parts::State::default(),
            watched: ExpiringMap::new(MAX_REQUESTS, CRASH_RETENTION),
            quarantined: ExpiringMap::new(MAX_REQUESTS, QUARANTINE_DURATION),
            records: record::State::default(),
        }
    }
}

impl State {
    /// Returns how much of the quarantine of a request is left; `None` if it is not in quarantine.
    pub(crate) fn remaining(&self, fingerprint: Fingerprint, now: Instant) -> Option<Span> {
        let until = self.quarantined.get(&fingerprint)?;
        Some(until.since(now)).filter(|remaining| *remaining > Span::ZERO)
    }

    /// Returns how much is left of the longest quarantine of a request and the parts of its prompt; `None` if none of them
    /// is in quarantine.
    pub(crate) fn remaining_for(&self, call: &CallerRequest, now: Instant) -> Option<Span> {
        if self.quarantined.is_empty() {
            return None;
        }
        let causes = call.causes();
        causes.filter_map(|cause| self.remaining(cause, now)).max()
    }

    /// Returns the first part of a request's prompt that is in quarantine.
    pub(crate) fn quarantined_part(&self, call: &CallerRequest, now: Instant) -> Option<u64> {
        if self.quarantined.is_empty() {
            return None;
        }
        let work = call.work.as_ref()?;
        let is_quarantined = |part: &&PromptPart| {
            let fingerprint = Fingerprint::of_prompt_part(part.id);
            self.remaining(fingerprint, now).is_some()
        };
        let part = work.shared_parts().iter().find(is_quarantined);
        part.map(|part| part.id)
    }

    /// Discards the lease for records, since the key-value service came back from a copy.
    pub(crate) fn invalidate_lease(&mut self) {
        self.records.invalidate_lease();
    }

    /// Discards the requests whose connections broke, since this VM reaches no server.
    pub(crate) fn forget_suspects(&mut self) {
        self.suspects = suspects::State::default();
    }

    /// Returns whether a call of the key-value service with this id concerns records.
    pub(crate) fn owns(&self, op: KvOperationId) -> bool {
        self.records.owns(op)
    }

    /// Returns whether a complete answer to a request changes its status.
    fn is_tracked(&self, fingerprint: Fingerprint) -> bool {
        self.watched.get(&fingerprint).is_some() || self.quarantined.get(&fingerprint).is_some()
    }
}

/// Returns the prompt parts of requests that other requests may have too, each with the number of these requests that have
/// it, those of most requests first; `-` if there is none.
fn most_shared_parts(suspects: &[Suspect]) -> String {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for suspect in suspects {
        let parts: BTreeSet<u64> = suspect.shared_parts().iter().map(|part| part.id).collect();
        for part in parts {
            *counts.entry(part).or_default() += 1;
        }
    }
    let mut counts: Vec<(u64, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| Reverse(*count));
    let logged = counts.iter().take(MAX_LOGGED_PARTS);
    let logged: Vec<String> = logged
        .map(|(id, count)| format!("{id:08x}:{count}"))
        .collect();
    match logged.as_slice() {
        [] => "-".to_owned(),
        logged => logged.join(","),
    }
}

impl Gateway {
    /// Reports the crash of a server for each request that ran there to the VMs that count for the request.
    fn report_crash(&mut self, server: &Server, suspects: &[Suspect], out: &mut Effects) {
        let reports: Vec<CrashReport> = suspects.iter().map(|s| s.crash_report(self.now)).collect();
        let fingerprints = reports.iter().take(MAX_LOGGED_REQUESTS);
        let fingerprints: Vec<String> = fingerprints.map(|s| s.fingerprint.to_string()).collect();
        let detail = format!(
            "server={server} requests={} calls={} parts={}",
            reports.len(),
            fingerprints.join(","),
            most_shared_parts(suspects)
        );
        Self::log(out, Code::ServerEnded, detail);
        self.send_crash_reports(&reports, Message::CrashReports, out);
        // This VM counts its own reports even if it is not one of the counting VMs: those may be unreachable.
        self.count_crash_reports(&reports, out);
        self.report_parts(suspects, out);
    }

    /// Sends crash reports to the VMs that count them.
    fn send_crash_reports(
        &self,
        reports: &[CrashReport],
        message: impl Fn(Vec<CrashReport>) -> Message,
        out: &mut Effects,
    ) {
        let mut reports_by_vm: BTreeMap<Vm, Vec<CrashReport>> = BTreeMap::new();
        for report in reports {
            for vm in self.crash_counting_vms(report.fingerprint) {
                reports_by_vm.entry(vm.clone()).or_default().push(*report);
            }
        }
        reports_by_vm.remove(&self.settings.vm);
        for (vm, reports) in reports_by_vm {
            self.send(&vm, message(reports), out);
        }
    }

    /// Returns the VMs that count the crash reports of a request, in rendezvous order.
    fn crash_counting_vms(&self, fingerprint: Fingerprint) -> Vec<&Vm> {
        self.first_vms(COUNTING_VMS, |vm| {
            Reverse(membership::rendezvous_score(&(vm.as_str(), fingerprint)))
        })
    }

    /// Passes a message about crashes and quarantines to its handler.
    pub(crate) fn handle_quarantine_message(
        &mut self,
        from: &Vm,
        message: Message,
        out: &mut Effects,
    ) {
        match message {
            Message::CrashReports(reports) => self.handle_crash_reports(from, &reports, out),
            Message::QuarantineStatuses(statuses) => self.handle_quarantine_statuses(statuses, out),
            Message::PartCrashReports(reports) => {
                self.handle_part_crash_reports(from, &reports, out);
            }
            Message::PartsWatched(parts) => self.handle_parts_watched(from, &parts, out),
            _ => {}
        }
    }

    /// Handles crash reports of another VM. Replies with the reported requests that are already in
    /// quarantine.
    fn handle_crash_reports(&mut self, from: &Vm, reports: &[CrashReport], out: &mut Effects) {
        let reported = reports.iter().map(|report| report.fingerprint);
        self.send_quarantined(from, reported, out);
        self.count_crash_reports(reports, out);
    }

    /// Counts crash reports, and informs all VMs of the requests whose status this changes.
    fn count_crash_reports(&mut self, reports: &[CrashReport], out: &mut Effects) {
        let mut statuses = Vec::new();
        for report in reports {
            let fingerprint = report.fingerprint;
            let counted = self.quarantine.crash_counter.count(self.now, report);
            let is_quarantined = self.quarantine.remaining(fingerprint, self.now).is_some();
            match counted {
                CrashEffect::Quarantine(_) if !is_quarantined => {
                    self.put_in_quarantine(fingerprint, QUARANTINE_DURATION, "strikes", out);
                    self.schedule_write(fingerprint, out);
                    statuses.push((
                        fingerprint,
                        QuarantineStatus::Quarantined(QUARANTINE_DURATION),
                    ));
                }
                CrashEffect::Watch(_) if !self.quarantine.is_tracked(fingerprint) => {
                    self.quarantine.watched.insert(self.now, fingerprint, ());
                    statuses.push((fingerprint, QuarantineStatus::Watched));
                }
                _ => {}
            }
        }
        if !statuses.is_empty() {
            self.broadcast(&Message::QuarantineStatuses(statuses), out);
        }
    }

    /// Handles the status of requests and prompt parts as determined by another VM.
    fn handle_quarantine_statuses(
        &mut self,
        statuses: Vec<(Fingerprint, QuarantineStatus)>,
        out: &mut Effects,
    ) {
        for (fingerprint, status) in statuses {
            match status {
                QuarantineStatus::Watched => {
                    self.quarantine.watched.insert(self.now, fingerprint, ());
                }
                QuarantineStatus::Quarantined(remaining) => {
                    self.put_in_quarantine(fingerprint, remaining, "peer", out);
                }
                QuarantineStatus::Cleared => self.clear(fingerprint, "answered_elsewhere", out),
            }
        }
    }

    /// Quarantines a request for `duration`, at most [`QUARANTINE_DURATION`]. Refuses the repetitions of it
    /// that wait for a server, but not those that wait for tokens or were sent already.
    pub(crate) fn put_in_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        duration: Span,
        cause: &str,
        out: &mut Effects,
    ) {
        if self.quarantine.remaining(fingerprint, self.now).is_some() {
            return;
        }
        let duration = duration.min(QUARANTINE_DURATION);
        let until = self.now + duration;
        self.quarantine
            .quarantined
            .insert(self.now, fingerprint, until);
        let detail = format!("call={fingerprint} by={cause} for={duration}");
        Self::log(out, Code::RequestQuarantined, detail);
        let is_waiting = |state: &RequestState| {
            state.call.causes().any(|cause| cause == fingerprint)
                && state.server().is_none()
                && state.phase != Phase::Charging
        };
        let waiting = self.in_flight.iter().filter(|(_, state)| is_waiting(state));
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        for request in waiting {
            self.refuse_request(request, Some(duration), RefusalDetail::Quarantined, out);
        }
    }

    /// Removes the counted crashes of a request, stops watching it, and ends its quarantine.
    fn clear(&mut self, fingerprint: Fingerprint, cause: &str, out: &mut Effects) {
        self.quarantine.crash_counter.clear(fingerprint);
        self.quarantine.parts.clear(fingerprint);
        self.quarantine.watched.remove(&fingerprint);
        self.end_quarantine(fingerprint, cause, out);
    }

    /// Handles the end of a quarantine because the record is gone: an operator removed it, or its lease
    /// expired. Lowers the request's count to one crash less than the quarantine threshold.
    pub(crate) fn end_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        cause: &str,
        out: &mut Effects,
    ) {
        if self.quarantine.quarantined.remove(&fingerprint).is_some() {
            self.quarantine
                .crash_counter
                .cap_below_threshold(fingerprint);
            self.quarantine.parts.cap_below_threshold(fingerprint);
            let detail = format!("call={fingerprint} why={cause}");
            Self::log(out, Code::QuarantineLifted, detail);
        }
    }

    /// Handles a complete answer to a request, which shows that the request does not crash servers.
    pub(crate) fn record_complete_answer(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let causes: Vec<Fingerprint> = state.call.causes().collect();
        if let Some(server) = state.server() {
            self.quarantine.suspects.record_answer(server, state.sent);
        }
        self.clear_causes(&causes, out);
    }

    /// Clears the causes of a request that got a complete answer: its own fingerprint, which comes first, and those of the
    /// parts of its prompt.
    fn clear_causes(&mut self, causes: &[Fingerprint], out: &mut Effects) {
        let parts = causes.iter().skip(1);
        self.quarantine
            .parts
            .record_answer(self.now, parts.copied());
        for cause in causes {
            self.clear_everywhere(*cause, out);
        }
    }

    /// Handles an answer that ended with its connection: its server may have crashed under the request.
    pub(crate) fn record_unproven_answer(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let Some(server) = state.server().cloned() else {
            return;
        };
        let suspect = state.suspect(self.now, true);
        // It was alive when it got this request.
        self.quarantine
            .suspects
            .record_answer(&server, suspect.sent);
        self.record_suspect(&server, suspect, out);
    }

    /// Clears a request on all VMs, if this VM knows of crashes under it.
    fn clear_everywhere(&mut self, fingerprint: Fingerprint, out: &mut Effects) {
        if !self.quarantine.is_tracked(fingerprint) {
            return;
        }
        self.clear(fingerprint, "answered", out);
        self.schedule_removal(fingerprint, out);
        let statuses = vec![(fingerprint, QuarantineStatus::Cleared)];
        self.broadcast(&Message::QuarantineStatuses(statuses), out);
    }

    /// Informs a VM that has no entries of the key-value service yet about the quarantined requests, the most
    /// recent first.
    pub(crate) fn send_quarantines(&self, vm: &Vm, out: &mut Effects) {
        self.send_quarantined(vm, self.quarantine.quarantined.newest_first(), out);
    }

    /// Informs a VM about those of the given requests that are quarantined, at most
    /// [`MAX_STATUSES_PER_MESSAGE`] of them.
    fn send_quarantined(
        &self,
        vm: &Vm,
        requests: impl Iterator<Item = Fingerprint>,
        out: &mut Effects,
    ) {
        let refused = requests.filter_map(|fingerprint| {
            let remaining = self.quarantine.remaining(fingerprint, self.now)?;
            Some((fingerprint, QuarantineStatus::Quarantined(remaining)))
        });
        let statuses: Vec<(Fingerprint, QuarantineStatus)> =
            refused.take(MAX_STATUSES_PER_MESSAGE).collect();
        if !statuses.is_empty() {
            self.send(vm, Message::QuarantineStatuses(statuses), out);
        }
    }

    /// Records a request that may have run at a server when its connection broke, or ended an answer that nothing shows to
    /// be whole. Probes the server, for such an answer only if crashes under the request or lately under others are
    /// counted.
    pub(crate) fn record_suspect(&mut self, server: &Server, suspect: Suspect, out: &mut Effects) {
        // A leaving server ends on purpose, and a server without an entry has no address to probe.
        let Some(server_state) = self
            .servers
            .get(server)
            .filter(|server_state| server_state.backend.ready)
        else {
            return;
        };
        let address = server_state.backend.address;
        let may_probe = !self.path.is_lost();
        let mut causes = suspect.causes();
        let is_tracked = causes.any(|cause| self.quarantine.is_tracked(cause));
        drop(causes);
        let is_suspicious = is_tracked || self.quarantine.parts.has_recent_reports(self.now);
        let probes = may_probe && (!suspect.has_answer || is_suspicious);
        self.quarantine.suspects.insert(server, suspect);
        if probes && self.quarantine.suspects.start_probe(server, self.now) {
            out.push(Effect::Probe(server.clone(), address));
        }
    }

    /// Handles the result of a probe.
    pub(crate) fn handle_probe(&mut self, server: &Server, result: ProbeResult, out: &mut Effects) {
        self.record_connection(server, result, out);
        let listens = result == ProbeResult::Listens;
        let suspects = &mut self.quarantine.suspects;
        for answered in suspects.handle_probe_ended(server, listens) {
            let causes: Vec<Fingerprint> = answered.causes().collect();
            self.clear_causes(&causes, out);
        }
        if result == ProbeResult::Refuses {
            self.handle_refused_probe(server, out);
        }
    }

    /// Handles a server that certainly ended: its address refuses connections, its entry is gone, or it has
    /// restarted.
    pub(crate) fn server_ended(&mut self, server: &Server, out: &mut Effects) {
        let suspects = self.quarantine.suspects.take(server, self.now);
        if !suspects.is_empty() {
            self.report_crash(server, &suspects, out);
        }
    }
}
