//! Recognizes requests that more urgent ones overtake until it is too late.
//!
//! Load: more requests wait for loads than adapter slots and loads are available for, for longer than the deadlines of
//! the less urgent ones. The forecast counts what is queued before a request now, and counts loads but not the wait for
//! a slot. It therefore promised a load within a few hundred milliseconds again and again, and 3 % of the requests of a
//! heavy day were held for three quarters of their time and never sent to an engine. Here the time until a
//! request is served is taken from the loads that requests of its rank and of later ranks got in the last second, or
//! from the placements at the engines that hold its adapter: this is what the requests that pass by have left.

use dahliastile_core::time::{Instant, Span};
use rustc_hash::{FxHashMap, FxHashSet};

use super::Scheduler;
use super::adapter::AdapterId;
use super::admission::MIN_TIME_TO_FIRST_CHUNK;
use super::forecast::{WaitForecast, WaitReason};
use super::scheduled_request::{ScheduledRequest, VmRequestId};
use super::throughput::Rank;

/// How long a request must have been waiting in its rank before the measured rate is held against it: half the time
/// constant of the rate. A burst after a quiet time is refused by the forecast alone until loads were measured.
const MIN_TIME_IN_RANK: Span = Span::from_millis(500);

/// How long a measured rate is expected to last, as a multiple of the time for which the request has been waiting in
/// its rank: a burst that has lasted a second may end within the 12 s that some callers wait, but hardly in time for
/// one who waits two more seconds.
const HORIZON: u64 = 2;

/// Loads or requests per second that are added to the measured rate: one within the time constant of the measurement, so that
/// a rank of which no request waited before is not taken for one that is never served.
const UNMEASURED_RATE: f64 = 1.0;

/// The requests of one rank that wait for the same capacity.
struct Queue {
    rank: Rank,
    /// Requests or loads per second that the requests served before the rank leave for it.
    per_s: f64,
    /// Number of requests or loads that wait.
    length: usize,
}

impl Queue {
    /// Returns the queue of a rank: this one if it is that of the rank, otherwise an empty one.
    fn of_rank(queue: Option<Self>, rank: Rank, per_s: impl FnOnce() -> f64) -> Self {
        queue
            .filter(|queue| queue.rank == rank)
            .unwrap_or_else(|| Self {
                rank,
                per_s: per_s() + UNMEASURED_RATE,
                length: 0,
            })
    }

    /// Returns the time until the last one in the queue is served.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn wait(&self) -> Span {
        Span((self.length as f64 / self.per_s * 1e6) as u64)
    }
}

/// The queues before the next request, in the order in which requests are served.
#[derive(Default)]
pub(crate) struct QueuesByRank {
    /// Loads that wait for a slot and the weight store.
    loads: Option<Queue>,
    /// Adapters of these loads.
    loaded: FxHashSet<AdapterId>,
    /// Requests that wait for the engines that hold an adapter.
    holders: FxHashMap<AdapterId, Queue>,
}

impl Scheduler {
    /// Counts a placement for the rank and the adapter of a request.
    pub(crate) fn record_rank_served(&mut self, now: Instant, id: &VmRequestId) {
        if !self.reserves(now) {
            return;
        }
        let request = self.requests.get(id);
        if let Some((request, adapter)) = request.and_then(|r| Some((r, r.adapter?))) {
            let rank = Rank::of(request, now);
            self.throughput.record_placement_for(now, adapter, rank);
        }
    }

    /// Returns the time until a request is served by the measured rate of its rank, if by then its deadline is too
    /// near. The requests must be visited in the order in which they are served. A caller that was refused before is
    /// left to the forecast, since it does not come a third time, and so is an expedited request: otherwise 203 instead of 110 of 3,570 callers were
    /// refused twice (`tests/scarce.rs`).
    pub(crate) fn overtaken_wait(
        &self,
        now: Instant,
        request: &ScheduledRequest,
        forecast: &WaitForecast,
        queues: &mut QueuesByRank,
    ) -> Option<Span> {
        let adapter = request
            .adapter
            .filter(|_| !request.is_returning && !request.is_expedited)?;
        let rank = Rank::of(request, now);
        let (wait, load_time) = match forecast.reason {
            WaitReason::Load => {
                let per_s = || self.throughput.loads_per_s_from(now, rank);
                let mut queue = Queue::of_rank(queues.loads.take(), rank, per_s);
                queue.length += usize::from(queues.loaded.insert(adapter));
                (queues.loads.insert(queue).wait(), self.load_time)
            }
            WaitReason::Room | WaitReason::Copy => {
                let per_s = || self.throughput.placed_per_s_from(now, adapter, rank);
                let mut queue = Queue::of_rank(queues.holders.remove(&adapter), rank, per_s);
                queue.length += 1;
                let wait = queue.wait();
                queues.holders.insert(adapter, queue);
                (wait, Span::ZERO)
            }
            WaitReason::Coming | WaitReason::Engine => return None,
        };
        let in_rank_since = if now > request.first_chunk_due {
            request.first_chunk_due.max(request.arrived)
        } else {
            request.arrived
        };
        let served_at = now + wait + load_time + MIN_TIME_TO_FIRST_CHUNK;
        let time_in_rank = now.since(in_rank_since);
        let is_known = time_in_rank >= MIN_TIME_IN_RANK
            && request.deadline <= now + time_in_rank.times(HORIZON);
        (is_known && served_at > request.deadline).then_some(wait)
    }
}
