//! Quarantine of prompt parts that crash the servers which begin an answer to them.
//!
//! Sound requests share the other parts of the prompts, so that most parts at a server that crashes are sound. Three rules
//! tell them apart:
//! * A part counts only if the server was beginning the answer, and if nothing else explains the crash: no request or part
//!   that was there is in quarantine already.
//! * A complete answer at any VM since the first counted crash clears its parts. VMs remember the parts of their answers, and
//!   are asked for them at the second and third counted crash.
//! * One more crash than for a request is needed.

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};

use super::cause::part_reports;
use super::crash_counter::{CrashCounter, CrashEffect, CrashReport, PART_THRESHOLD};
use super::suspects::Suspect;
use super::{CRASH_RETENTION, QUARANTINE_DURATION, QuarantineStatus};
use crate::effect::Effects;
use crate::message::Message;
use crate::node::Gateway;
use crate::request::expiring_map::ExpiringMap;
use crate::request::fingerprint::Fingerprint;

/// Upper bound on the parts of complete answers that a VM remembers, at about 100 bytes each.
const MAX_ANSWERED: usize = 4_096;

/// How long after a crash report the servers of answers that nothing shows to be whole are probed: as long as the crash of a
/// server may go unnoticed otherwise.
const ALERT_TIME: Span = Span::from_secs(6);

/// What this VM knows of prompt parts.
#[derive(Debug)]
pub(super) struct State {
    /// Crashes that this VM counts, by part.
    counter: CrashCounter,
    /// The parts of requests that got a complete answer at this VM, by the time of the last one.
    answered: ExpiringMap<Fingerprint, ()>,
    /// When a crash report was last sent or received.
    last_report: Option<Instant>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            counter: CrashCounter::new(PART_THRESHOLD, CRASH_RETENTION),
            answered: ExpiringMap::new(MAX_ANSWERED, CRASH_RETENTION),
            last_report: None,
        }
    }
}

impl State {
    /// Records the parts of a request that got a complete answer.
    pub(super) fn record_answer(&mut self, now: Instant, parts: impl Iterator<Item = Fingerprint>) {
        for part in parts {
            self.answered.insert(now, part, ());
        }
    }

    /// Whether this VM passed on a complete answer to a request with a part since a time.
    fn was_answered(&self, part: Fingerprint, since: Instant) -> bool {
        let answered_at = self.answered.inserted_at(&part);
        answered_at.is_some_and(|at| at >= since)
    }

    /// Whether servers have crashed lately while they ran requests with prompts.
    pub(super) fn has_recent_reports(&self, now: Instant) -> bool {
        let last_report = self.last_report;
        last_report.is_some_and(|at| now.since(at) <= ALERT_TIME)
    }

    /// Forgets the counted crashes of a part.
    pub(super) fn clear(&mut self, part: Fingerprint) {
        self.counter.clear(part);
    }

    /// Limits the count of a part to one crash less than what quarantines it.
    pub(super) fn cap_below_threshold(&mut self, part: Fingerprint) {
        self.counter.cap_below_threshold(part);
    }
}

impl Gateway {
    /// Reports the crash of a server for the parts of the prompts that it had.
    pub(super) fn report_parts(&mut self, suspects: &[Suspect], out: &mut Effects) {
        let is_quarantined =
            |cause: Fingerprint| self.quarantine.remaining(cause, self.now).is_some();
        let mut causes = suspects.iter().flat_map(Suspect::causes);
        let is_explained = causes.any(is_quarantined);
        let mut reports = part_reports(suspects, self.now);
        reports.retain(|report| !is_explained || is_quarantined(report.fingerprint));
        self.send_crash_reports(&reports, Message::PartCrashReports, out);
        self.count_part_reports(&reports, out);
    }

    /// Handles crash reports of another VM for prompt parts. Replies with those that are already in quarantine.
    pub(super) fn handle_part_crash_reports(
        &mut self,
        from: &Vm,
        reports: &[CrashReport],
        out: &mut Effects,
    ) {
        let reported = reports.iter().map(|report| report.fingerprint);
        self.send_quarantined(from, reported, out);
        self.count_part_reports(reports, out);
    }

    /// Counts crash reports for prompt parts, asks all VMs for complete answers to those that have been at several crashes, and
    /// informs them of those that are quarantined.
    fn count_part_reports(&mut self, reports: &[CrashReport], out: &mut Effects) {
        let now = self.now;
        if !reports.is_empty() {
            self.quarantine.parts.last_report = Some(now);
        }
        let (mut watched, mut quarantined) = (Vec::new(), Vec::new());
        for report in reports {
            let part = report.fingerprint;
            let counted = self.quarantine.parts.counter.count(now, report);
            let is_quarantined = self.quarantine.remaining(part, now).is_some();
            match counted {
                CrashEffect::Watch(since) | CrashEffect::Quarantine(since)
                    if self.quarantine.parts.was_answered(part, since) =>
                {
                    self.clear(part, "answered", out);
                }
                CrashEffect::Watch(since) if !is_quarantined => {
                    self.quarantine.watched.insert(now, part, ());
                    watched.push((part, now.since(since)));
                }
                CrashEffect::Quarantine(_) if !is_quarantined => {
                    self.put_in_quarantine(part, QUARANTINE_DURATION, "crashes", out);
                    self.schedule_write(part, out);
                    quarantined.push((part, QuarantineStatus::Quarantined(QUARANTINE_DURATION)));
                }
                _ => {}
            }
        }
        if !watched.is_empty() {
            self.broadcast(&Message::PartsWatched(watched), out);
        }
        if !quarantined.is_empty() {
            self.broadcast(&Message::QuarantineStatuses(quarantined), out);
        }
    }

    /// Handles the question of a VM that counts crashes for these parts. Only that VM is told of the parts that were in complete
    /// answers, as most VMs know of some.
    pub(super) fn handle_parts_watched(
        &mut self,
        from: &Vm,
        parts: &[(Fingerprint, Span)],
        out: &mut Effects,
    ) {
        let now = self.now;
        self.quarantine.parts.last_report = Some(now);
        let mut sound = Vec::new();
        for (part, since) in parts {
            if self.quarantine.parts.was_answered(*part, now.back(*since)) {
                sound.push((*part, QuarantineStatus::Cleared));
            } else {
                self.quarantine.watched.insert(now, *part, ());
            }
        }
        if !sound.is_empty() {
            self.send(from, Message::QuarantineStatuses(sound), out);
        }
    }
}
