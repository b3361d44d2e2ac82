//! Where the answers of requests in progress go. A caller that reads slowly never holds the node up: what does not
//! fit its channel is kept here, and a caller that stays behind for too long counts as gone.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use dahliastile_core::id::Request;

use super::Piece;

/// Pieces that fit a request's channel.
pub(crate) const CHANNEL: usize = 256;

/// Pieces that are kept for a caller that reads slowly.
const KEPT: usize = 65_536;

/// The way to one caller.
#[derive(Debug)]
struct Way {
    /// The thread that writes the answer.
    sender: flume::Sender<Piece>,
    /// Pieces that did not fit.
    kept: VecDeque<Piece>,
    /// Since when none fits.
    since: Option<Instant>,
    /// Whether the last piece has been passed.
    closed: bool,
}

impl Way {
    /// Sends what fits.
    fn push(&mut self) {
        while let Some(piece) = self.kept.pop_front() {
            match self.sender.try_send(piece) {
                Ok(()) => self.since = None,
                Err(flume::TrySendError::Full(piece)) => {
                    self.kept.push_front(piece);
                    self.since.get_or_insert_with(Instant::now);
                    return;
                }
                // The thread has ended; its connection reports that the caller has gone.
                Err(flume::TrySendError::Disconnected(_)) => {
                    self.kept.clear();
                }
            }
        }
    }
}

/// The ways to the callers of all requests in progress.
#[derive(Debug)]
pub(super) struct Answers {
    /// By request.
    ways: HashMap<Request, Way>,
    /// Requests with kept pieces.
    behind: BTreeSet<Request>,
    /// How long a caller may stay behind.
    slow: Duration,
}

impl Answers {
    /// No ways yet.
    pub(super) fn new(slow: Duration) -> Self {
        Self {
            ways: HashMap::new(),
            behind: BTreeSet::new(),
            slow,
        }
    }

    /// A request arrived.
    pub(super) fn insert(&mut self, request: Request, sender: flume::Sender<Piece>) {
        let way = Way {
            sender,
            kept: VecDeque::new(),
            since: None,
            closed: false,
        };
        self.ways.insert(request, way);
    }

    /// Passes a piece on.
    pub(super) fn pass(&mut self, request: Request, piece: Piece) {
        let Some(way) = self.ways.get_mut(&request) else {
            return;
        };
        way.kept.push_back(piece);
        way.push();
        if !way.kept.is_empty() {
            self.behind.insert(request);
        }
    }

    /// The last piece of a request has been passed.
    pub(super) fn close(&mut self, request: Request) {
        match self.ways.get_mut(&request) {
            Some(way) if !way.kept.is_empty() => way.closed = true,
            _ => self.remove(request),
        }
    }

    /// Ends the way to a request's caller.
    pub(super) fn remove(&mut self, request: Request) {
        self.ways.remove(&request);
        self.behind.remove(&request);
    }

    /// Sends what fits by now, and says which requests' callers are behind for too long.
    pub(super) fn overdue(&mut self) -> Vec<Request> {
        let mut overdue = Vec::new();
        let mut done = Vec::new();
        for request in &self.behind {
            let Some(way) = self.ways.get_mut(request) else {
                done.push(*request);
                continue;
            };
            way.push();
            let late = way.since.is_some_and(|since| since.elapsed() > self.slow);
            match way.kept.len() {
                0 => done.push(*request),
                kept if late || kept > KEPT => overdue.push(*request),
                _ => {}
            }
        }
        for request in done {
            self.behind.remove(&request);
            if self.ways.get(&request).is_some_and(|way| way.closed) {
                self.ways.remove(&request);
            }
        }
        overdue
    }

    /// Whether nothing is left to pass on.
    pub(super) fn is_empty(&self) -> bool {
        self.ways.is_empty()
    }
}
