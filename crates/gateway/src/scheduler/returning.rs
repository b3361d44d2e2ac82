//! Claims of callers that were refused and told to retry.
//!
//! Load: engine capacity is short for several seconds, and callers retry once, after the time that they were given,
//! usually through another VM. The scheduler recognizes a retry by its fingerprint and keeps the place in the queue
//! that the caller's first try had. An answer is in time only if its first chunk comes within the objective counted
//! from the first try. A retry that can still be in time is therefore served before the requests that came after its
//! first try, and a retry that is late is served after all requests that can be in time, and before other late
//! requests of its priority.
//!
//! Claims change only the order of the requests and the reasons for which they are refused, so a scheduler that starts
//! without claims serves all requests as new ones.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::contention::Contention;
use super::fair_share::Tag;
use super::scheduled_request::{ScheduledRequest, VmRequestId};
use crate::feature::Feature;
use crate::request::fingerprint::Fingerprint;

/// How long a claim is kept: the longest time after which a caller is told to retry, and the time that a retry may
/// take to reach the scheduler from a VM that is cut off for some seconds.
const CLAIM_LIFETIME: Span = Span::from_secs(10);

/// Maximum number of claims. With 10,000 engines this is a tenth of a second of all requests; about 100 bytes each.
const MAX_CLAIMS: usize = 4_096;

/// How much earlier than its time a retry may come: callers are told the time in whole milliseconds, rounded down.
const RETRY_TIME_RESOLUTION: Span = Span::from_millis(1);

/// The claim of a caller that was refused.
#[derive(Clone, Debug)]
struct Claim {
    /// The refused request. Its VM asks again for its placement if the refusal was lost.
    refused: VmRequestId,
    /// When the caller's first try arrived.
    first_arrived: Instant,
    /// Tag of the first try, by the share of its account.
    tag: Tag,
    /// Priority of the refused request.
    priority: u8,
    /// When the claim was made.
    made_at: Instant,
    /// When the caller may retry.
    retry_at: Instant,
    /// The retry that uses the claim; `None` before it has come. The same request may be enqueued again, if its
    /// placement request is repeated or an engine rejects it.
    used_by: Option<VmRequestId>,
}

/// The claims of a scheduler, by the fingerprint of the refused request.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    claims: FxHashMap<Fingerprint, Claim>,
    /// The claims in the order in which they were made. Contains entries of claims that were replaced or removed.
    by_age: VecDeque<(Instant, Fingerprint)>,
    /// Number of claims without a retry, by priority.
    open: BTreeMap<u8, usize>,
}

impl ClaimTable {
    /// Adds a claim for a refused request whose caller may retry at `retry_at`.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        request: &ScheduledRequest,
        retry_at: Instant,
    ) {
        let Some(fingerprint) = request.detail.fingerprint else {
            return;
        };
        self.remove(fingerprint);
        while self.by_age.len() >= MAX_CLAIMS {
            self.drop_oldest();
        }
        self.by_age.push_back((now, fingerprint));
        *self.open.entry(request.priority).or_default() += 1;
        let claim = Claim {
            refused: id.clone(),
            first_arrived: request.first_arrived,
            tag: request.tag,
            priority: request.priority,
            made_at: now,
            retry_at,
            used_by: None,
        };
        self.claims.insert(fingerprint, claim);
    }

    /// Returns when the first try of a request arrived, and its tag, if there is a claim for the request, and marks the claim as
    /// used by it. A request that came before its time loses the claim.
    fn take(&mut self, id: &VmRequestId, request: &ScheduledRequest) -> Option<(Instant, Tag)> {
        let fingerprint = request.detail.fingerprint?;
        let claim = self.claims.get_mut(&fingerprint)?;
        match &claim.used_by {
            Some(user) if user == id => Some((claim.first_arrived, claim.tag)),
            Some(_) => None,
            None if claim.refused != *id
                && request.arrived + RETRY_TIME_RESOLUTION < claim.retry_at =>
            {
                self.remove(fingerprint);
                None
            }
            None => {
                claim.used_by = Some(id.clone());
                let (first_try, priority) = ((claim.first_arrived, claim.tag), claim.priority);
                self.close(priority);
                Some(first_try)
            }
        }
    }

    /// Returns the number of claims without a retry of requests that are served before those of lower priority than
    /// `priority`.
    pub(crate) fn count_open(&self, priority: u8) -> usize {
        self.open.range(..=priority).map(|(_, count)| count).sum()
    }

    /// Drops the claims that are older than [`CLAIM_LIFETIME`].
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        let is_expired = |row: &(Instant, Fingerprint)| now.since(row.0) > CLAIM_LIFETIME;
        while self.by_age.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((made_at, fingerprint)) = self.by_age.pop_front() else {
            return;
        };
        let claim = self.claims.get(&fingerprint);
        if claim.is_some_and(|claim| claim.made_at == made_at) {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        let Some(claim) = self.claims.remove(&fingerprint) else {
            return;
        };
        if claim.used_by.is_none() {
            self.close(claim.priority);
        }
    }

    /// Counts one claim less that has no retry.
    fn close(&mut self, priority: u8) {
        if let Some(count) = self.open.get_mut(&priority) {
            *count -= 1;
        }
    }
}

impl Scheduler {
    /// Gives a request the place of its caller's first try, if the caller was refused and told to retry.
    pub(crate) fn apply_claim(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        request: &mut ScheduledRequest,
    ) {
        if !self.settings.uses(Feature::ReturningCallers) {
            return;
        }
        self.claims.drop_expired(now);
        let queued = self.requests.get(id).filter(|queued| queued.is_returning);
        let known = queued.map(|queued| (queued.first_arrived, queued.tag));
        let Some((first_arrived, tag)) = known.or_else(|| self.claims.take(id, request)) else {
            return;
        };
        request.first_chunk_due = first_arrived + request.objective();
        request.first_arrived = first_arrived;
        request.tag = tag;
        request.is_returning = true;
        if known.is_some() {
            return;
        }
        self.contention.add(Contention::Returned);
        let detail = format!(
            "id={} vm={} first={} priority={} in_time={}",
            request.id,
            id.vm,
            now.since(first_arrived),
            request.priority,
            now <= request.first_chunk_due
        );
        self.pending_logs
            .push(Record::new(Code::CallerReturned, detail));
    }

    /// Adds a claim for a refused request whose caller may retry after the span.
    pub(crate) fn add_claim(
        &mut self,
        now: Instant,
        id: &VmRequestId,
        request: &ScheduledRequest,
        after: Span,
    ) {
        if self.settings.uses(Feature::ReturningCallers) {
            self.claims.add(now, id, request, now + after);
        }
    }

    /// Returns the time until the engines have capacity for a request that is refused: after its forecast and the
    /// retries of callers that were refused before and are served before it. They are taken to be served at the rate
    /// at which requests were placed in the last second.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(crate) fn time_until_capacity(
        &self,
        now: Instant,
        request: &ScheduledRequest,
        forecast: Span,
    ) -> Span {
        let ahead = self.claims.count_open(request.priority);
        if ahead == 0 || request.detail.fingerprint.is_none() {
            return forecast;
        }
        let per_s = self.throughput.placed_per_s(now).max(1.0);
        forecast + Span((ahead as f64 / per_s * 1e6) as u64)
    }
}
