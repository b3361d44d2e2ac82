//! What of a request may make a server crash: the request as a whole, or a part of its prompt.
//!
//! Parts are counted and quarantined as requests are, under fingerprints of their own. The last part of a prompt is the
//! request's own, and never counted.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};

use super::crash_counter::CrashReport;
use super::suspects::Suspect;
use crate::event::{CallerRequest, InferenceSpec, PromptPart};
use crate::request::fingerprint::Fingerprint;

/// How long a server may have been sending an answer for its request's prompt to be the cause of the crash: a part that crashes
/// servers does so when they begin the answer, and a busy VM reads the beginning late.
const BEGIN_TIME: Span = Span::from_millis(300);

/// Returns the fingerprints of the parts of a prompt that other requests may have too.
fn parts_of(work: Option<&InferenceSpec>) -> impl Iterator<Item = Fingerprint> {
    let parts: &[PromptPart] = work.map_or(&[], InferenceSpec::shared_parts);
    parts
        .iter()
        .map(|part| Fingerprint::of_prompt_part(part.id))
}

impl CallerRequest {
    /// Returns the fingerprints of the parts of its prompt that other requests may have too.
    pub(crate) fn part_fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        parts_of(self.work.as_ref())
    }

    /// Returns the fingerprints of all that may make servers crash that run the request.
    pub(crate) fn causes(&self) -> impl Iterator<Item = Fingerprint> {
        [self.fingerprint]
            .into_iter()
            .chain(self.part_fingerprints())
    }
}

impl Suspect {
    /// Returns the fingerprints of all of its request that may have made the server crash.
    pub(super) fn causes(&self) -> impl Iterator<Item = Fingerprint> {
        [self.fingerprint]
            .into_iter()
            .chain(parts_of(self.work.as_ref()))
    }

    /// Whether its server had hardly begun the answer when the connection broke.
    fn was_beginning(&self) -> bool {
        self.begun
            .is_none_or(|begun| self.broke.since(begun) <= BEGIN_TIME)
    }
}

/// Returns a crash report for each prompt part of the requests whose answers a server was beginning. Of the requests with a
/// part, the one that was sent last decides.
pub(super) fn part_reports(suspects: &[Suspect], now: Instant) -> Vec<CrashReport> {
    let mut reports: BTreeMap<Fingerprint, CrashReport> = BTreeMap::new();
    for suspect in suspects.iter().filter(|suspect| suspect.was_beginning()) {
        for fingerprint in parts_of(suspect.work.as_ref()) {
            let report = CrashReport {
                fingerprint,
                ..suspect.crash_report(now)
            };
            let latest = reports.entry(fingerprint).or_insert(report);
            if report.sent < latest.sent {
                *latest = report;
            }
        }
    }
    reports.into_values().collect()
}
