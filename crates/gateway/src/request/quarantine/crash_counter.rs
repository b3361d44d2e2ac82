//! Counts for each request, or prompt part, how many servers crashed, one after another, while they ran it.

use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::request::expiring_map::ExpiringMap;
use crate::request::fingerprint::Fingerprint;

/// Number of counted crashes from which all VMs watch for a complete answer. One is not enough, since the
/// crash of a server is reported for every request that ran there.
const WATCH_THRESHOLD: u32 = 2;

/// Number of counted crashes from which a request is quarantined. Three servers that crash under one request,
/// each of which received it after the previous crash, without a complete answer in between, are no
/// coincidence.
pub(super) const REQUEST_THRESHOLD: u32 = 3;

/// Number of counted crashes from which a prompt part is quarantined. Parts are at crashing servers more often than single
/// requests are, and a quarantine refuses all requests that share the part.
pub(super) const PART_THRESHOLD: u32 = 4;

/// Upper bound on the requests that are counted, at about 100 bytes each.
const MAX_REQUESTS: usize = 10_000;

/// Report that a server crashed while it had a request. Times are relative to the sending of the report, because
/// the clocks of VMs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time since the request was sent to the server.
    pub sent: Span,
    /// Time since the connection that carried the request broke.
    pub broke: Span,
}

/// What follows from a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashEffect {
    /// Nothing that concerns other VMs.
    NoEffect,
    /// All VMs should watch for a complete answer. Tells when the first counted crash was.
    Watch(Instant),
    /// The request should be quarantined. Tells when the first counted crash was.
    Quarantine(Instant),
}

/// The counted crashes of one request.
#[derive(Clone, Copy, Debug)]
struct CrashCount {
    /// Number of counted crashes.
    crashes: u32,
    /// When the connection to the server that crashed first broke.
    first: Instant,
    /// When the connection to the server that crashed last broke.
    broke: Instant,
}

/// Counts crashes by request.
#[derive(Debug)]
pub(crate) struct CrashCounter {
    /// The counts.
    counts: ExpiringMap<Fingerprint, CrashCount>,
    /// Number of counted crashes from which there is a quarantine.
    threshold: u32,
}

impl CrashCounter {
    pub(crate) fn new(threshold: u32, retention: Span) -> Self {
        Self {
            counts: ExpiringMap::new(MAX_REQUESTS, retention),
            threshold,
        }
    }

    /// Counts a crash report, unless the request was sent before the last counted crash. Such a report adds
    /// no evidence: many servers may crash at once for another reason, and each VM that had the request at a
    /// server reports that server's crash.
    pub(crate) fn count(&mut self, now: Instant, report: &CrashReport) -> CrashEffect {
        let (sent, broke) = (now.back(report.sent), now.back(report.broke));
        let count = match self.counts.get(&report.fingerprint) {
            Some(count) if sent <= count.broke => return CrashEffect::NoEffect,
            Some(count) => CrashCount {
                crashes: count.crashes + 1,
                broke,
                ..*count
            },
            None => CrashCount {
                crashes: 1,
                first: broke,
                broke,
            },
        };
        self.counts.insert(now, report.fingerprint, count);
        match count.crashes {
            crashes if crashes >= self.threshold => CrashEffect::Quarantine(count.first),
            crashes if crashes >= WATCH_THRESHOLD => CrashEffect::Watch(count.first),
            _ => CrashEffect::NoEffect,
        }
    }

    /// Forgets the counted crashes of a request.
    pub(crate) fn clear(&mut self, fingerprint: Fingerprint) {
        self.counts.remove(&fingerprint);
    }

    /// Limits the count of a request to one crash less than what quarantines it.
    pub(crate) fn cap_below_threshold(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.counts.get_mut(&fingerprint) {
            count.crashes = count.crashes.min(self.threshold - 1);
        }
    }
}
