//! How many servers have ended, one after the other, under each request.

use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use super::aged::Aged;
use crate::request::fingerprint::Fingerprint;

/// Strikes from which a request is watched by all: one more than a server's end by itself gives each request there.
const SUSPECT: u32 = 2;

/// Strikes from which it is refused. Three servers that end under one request, each sent to after the last had ended and none
/// with a whole answer between, are no accident.
const ENOUGH: u32 = 3;

/// Requests that are counted at most; some 100 bytes each.
const MOST: usize = 10_000;

/// A server ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long ago it was sent to the server.
    pub sent: Span,
    /// How long ago its connection broke.
    pub broke: Span,
}

/// What a strike made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Count {
    /// Nothing that matters to others.
    Few,
    /// It is to be watched.
    Suspect,
    /// It is to be refused.
    Enough,
}

/// One request's strikes.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// How many count.
    strikes: u32,
    /// When the last server's connection broke.
    broke: Instant,
}

/// The requests that servers have ended under.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Their strikes.
    rows: Aged<Row>,
}

impl Tally {
    pub(crate) fn new(remembered: Span) -> Self {
        Self {
            rows: Aged::new(MOST, remembered),
        }
    }

    /// Counts a strike. One of a request that was sent before the last server had ended says nothing more: many servers may end at
    /// one moment for a cause of their own, and a server's end is told by each VM that had the request there.
    pub(crate) fn strike(&mut self, now: Instant, strike: &CrashReport) -> Count {
        let (sent, broke) = (now.back(strike.sent), now.back(strike.broke));
        let row = match self.rows.get(&strike.fingerprint) {
            Some(row) if sent <= row.broke => return Count::Few,
            Some(row) => Row {
                strikes: row.strikes + 1,
                broke,
            },
            None => Row { strikes: 1, broke },
        };
        self.rows.insert(now, strike.fingerprint, row);
        match row.strikes {
            ENOUGH.. => Count::Enough,
            SUSPECT => Count::Suspect,
            _ => Count::Few,
        }
    }

    /// Forgets a request's strikes.
    pub(crate) fn clear(&mut self, fingerprint: Fingerprint) {
        self.rows.remove(&fingerprint);
    }

    /// Leaves a request one strike short of being refused.
    pub(crate) fn leave_one_short(&mut self, fingerprint: Fingerprint) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.strikes = row.strikes.min(ENOUGH - 1);
        }
    }
}
