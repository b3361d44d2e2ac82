//! The token pools of a pool owner: tokens collected from VMs that do not need them, and the token requests that wait
//! for tokens.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};

use super::bucket::{Bucket, Params, time_until_available};
use super::{TokenGrant, TokenRequest};
use crate::account::Tokens;

/// The least time between the starts of two collections.
const MIN_COLLECTION_INTERVAL: Span = Span::from_millis(200);

/// The time between the starts of two collections, divided by the number of VMs, so that the pool owner can process the
/// answers of a large fleet. [`MIN_COLLECTION_INTERVAL`] applies where the interval would be shorter.
const COLLECTION_INTERVAL_PER_VM: Span = Span::from_millis(1);

/// The fraction of a pool's capacity below which the pool owner collects tokens even if no token request waits.
const LOW_WATERMARK: f64 = 0.25;

/// The fraction of a pool's capacity that is reserved: tokens of the reserve are granted only for requests that wait,
/// not for later ones.
const RESERVE: f64 = 0.5;

/// The factor by which the interval between collections is longer while no token request waits.
const IDLE_FACTOR: u64 = 2;

/// How long the pool owner collects tokens for an account after the account's last token request.
const IN_USE: Span = Span::from_millis(1_000);

/// The time for which a token request may wait, in addition to the interval between collections: the round trip of a
/// collection.
const ROUND_TRIP: Span = Span::from_millis(50);

/// Limit on the time after which a caller is told to retry.
const MAX_RETRY_AFTER: Span = Span::from_secs(5);

/// A token request that waits for tokens.
#[derive(Debug)]
struct QueuedRequest {
    /// The VM that sent it.
    from: Vm,
    /// The token request.
    token_request: TokenRequest,
    /// The time until which it may wait.
    deadline: Instant,
}

/// The pool of one account.
#[derive(Debug)]
struct Pool {
    /// The tokens of the pool. The bucket is not refilled at a rate; tokens come from collections only.
    bucket: Bucket,
    /// The rate of the account, and the capacity of the pool.
    params: Params,
    /// The token requests that wait, in order of arrival.
    queue: VecDeque<QueuedRequest>,
    /// The time at which the pool was created.
    created: Instant,
    /// The time of the account's last token request.
    last_request: Instant,
    /// The number of tokens that the last finished collection yielded; none if no collection has finished since the
    /// pool was created or was last unused for [`IN_USE`].
    last_collected: Option<f64>,
    /// The number of tokens that the present collection has yielded.
    collected: f64,
    /// The time up to which the tokens that the account's rate yields are reserved for callers whose requests were
    /// refused with a retry time.
    reserved_until: Instant,
}

/// The pools of all accounts at one VM, and its last collection.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// The pool of each account.
    by_account: BTreeMap<Tenant, Pool>,
    /// The number of the last collection.
    collection: u64,
    /// The VMs that have not answered the last collection.
    unanswered: BTreeSet<Vm>,
    /// The start time of the last collection.
    collection_started: Instant,
}

/// An answer to a token request, and the VM that sent the request.
pub(crate) type Answer = (Vm, TokenGrant);

impl Pools {
    /// Applies the limits of a new configuration: removes the pools of accounts without a limit, and drops tokens
    /// that no longer fit into the others.
    pub(crate) fn apply_limits(&mut self, params: impl Fn(&Tenant) -> Option<Params>) {
        self.by_account.retain(|account, pool| {
            let params = params(account);
            pool.params = params.unwrap_or(pool.params);
            pool.bucket.truncate(pool.params);
            params.is_some()
        });
    }

    /// Handles a token request: answers it immediately, or queues it if the next collection may yield enough tokens for
    /// it.
    pub(crate) fn request(
        &mut self,
        now: Instant,
        from: Vm,
        token_request: TokenRequest,
        params: Params,
        vms: usize,
        out: &mut Vec<Answer>,
    ) {
        let pool = self
            .by_account
            .entry(token_request.account.clone())
            .or_insert(Pool {
                bucket: Bucket::new(now),
                params,
                queue: VecDeque::new(),
                created: now,
                last_request: now,
                last_collected: None,
                collected: 0.0,
                reserved_until: now,
            });
        if now.since(pool.last_request) >= IN_USE {
            pool.last_collected = None;
        }
        pool.last_request = now;
        pool.params = params;
        if pool.is_worth_queueing(&token_request) {
            let deadline = now + collection_interval(vms) + ROUND_TRIP;
            pool.queue.push_back(QueuedRequest {
                from,
                token_request,
                deadline,
            });
        } else {
            let refusal = pool.refuse(now, &token_request);
            out.push((from, refusal));
        }
        pool.serve_queue(out);
    }

    /// Starts the collection `number` from the VMs `asked`. Returns the accounts whose tokens to collect.
    pub(crate) fn start_collection(
        &mut self,
        now: Instant,
        asked: BTreeSet<Vm>,
        number: u64,
    ) -> Vec<Tenant> {
        for pool in self.by_account.values_mut() {
            pool.last_collected =
                Some(pool.collected).filter(|_| self.collection_started >= pool.created);
            pool.collected = 0.0;
        }
        self.collection = number;
        self.collection_started = now;
        self.unanswered = asked;
        let used = self.by_account.iter().filter(|(_, pool)| pool.is_used(now));
        used.map(|(account, _)| account.clone()).collect()
    }

    /// Returns whether a collection is due: one interval after the start of the last one if a token request waits, or
    /// [`IDLE_FACTOR`] intervals if a pool in use is low.
    pub(crate) fn is_collection_due(&self, now: Instant, vms: usize) -> bool {
        let since = now.since(self.collection_started);
        let is_low = |pool: &Pool| pool.is_used(now) && pool.is_low();
        let due_for_low = since >= collection_interval(vms).times(IDLE_FACTOR)
            && self.by_account.values().any(is_low);
        let has_queue = |pool: &Pool| !pool.queue.is_empty();
        due_for_low || since >= collection_interval(vms) && self.by_account.values().any(has_queue)
    }

    /// Returns the time of the next collection or of the first deadline of a token request, whichever is earlier;
    /// `None` if no token request waits.
    pub(crate) fn next_timer(&self, vms: usize) -> Option<Instant> {
        let first = self
            .by_account
            .values()
            .filter_map(|pool| pool.queue.front());
        let deadline = first.map(|queued| queued.deadline).min()?;
        Some(deadline.min(self.collection_started + collection_interval(vms)))
    }

    /// Adds the tokens with which a VM answers a collection. Each answer counts once, and an answer that arrives after
    /// the next collection has started does not count, so tokens may be lost but are never counted twice.
    pub(crate) fn add_surplus(
        &mut self,
        from: &Vm,
        collection: u64,
        surplus: &[(Tenant, Tokens)],
        out: &mut Vec<Answer>,
    ) {
        if collection != self.collection || !self.unanswered.remove(from) {
            return;
        }
        for (account, tokens) in surplus {
            if let Some(pool) = self.by_account.get_mut(account) {
                pool.collected += tokens.as_f64();
                pool.add(*tokens, out);
            }
        }
    }

    /// Refuses the token requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Answer>) {
        for pool in self.by_account.values_mut() {
            while pool.queue.front().is_some_and(|q| q.deadline <= now) {
                let Some(queued) = pool.queue.pop_front() else {
                    break;
                };
                let refusal = pool.refuse(now, &queued.token_request);
                out.push((queued.from, refusal));
            }
            pool.serve_queue(out);
        }
    }

    /// Drops the queued token requests of a VM to which the connection was lost.
    pub(crate) fn remove_vm(&mut self, vm: &Vm) {
        for pool in self.by_account.values_mut() {
            pool.queue.retain(|queued| queued.from != *vm);
        }
    }
}

impl Pool {
    /// Returns whether token requests wait or one has arrived within [`IN_USE`].
    fn is_used(&self, now: Instant) -> bool {
        !self.queue.is_empty() || now.since(self.last_request) < IN_USE
    }

    /// Returns whether the next collection may yield the tokens of a request, judged by the yield of the last
    /// collection. True for the first request of the queue, whatever its size, and for every request as long as no
    /// collection has finished.
    fn is_worth_queueing(&self, token_request: &TokenRequest) -> bool {
        let queued = self.queue.iter().map(|q| q.token_request.tokens.as_f64());
        let wanted = queued.sum::<f64>() + token_request.tokens.as_f64();
        let expected = self
            .last_collected
            .map(|tokens| self.bucket.balance() + tokens);
        self.queue.is_empty() || expected.is_none_or(|expected| wanted <= expected)
    }

    /// Adds tokens and grants them to the waiting token requests. Tokens that remain above the capacity are dropped.
    fn add(&mut self, tokens: Tokens, out: &mut Vec<Answer>) {
        self.bucket.add(tokens, f64::MAX);
        self.serve_queue(out);
        self.bucket.truncate(self.params);
    }

    /// Returns whether the balance is below the low watermark.
    fn is_low(&self) -> bool {
        self.bucket.balance() < self.params.capacity * LOW_WATERMARK
    }

    /// Grants tokens to the waiting token requests in order, as long as there are enough for the first.
    fn serve_queue(&mut self, out: &mut Vec<Answer>) {
        while let Some(QueuedRequest {
            from,
            token_request,
            ..
        }) = self.queue.front()
        {
            // A full pool serves a request for more than its capacity, and its balance becomes negative.
            if self.bucket.balance() < token_request.tokens.as_f64().min(self.params.capacity) {
                return;
            }
            self.bucket.take_unchecked(token_request.tokens);
            let extra = self
                .bucket
                .take_above(self.params.capacity * RESERVE, token_request.max_extra);
            out.push((from.clone(), token_request.answer(Ok(extra))));
            self.queue.pop_front();
        }
    }

    /// Refuses a token request. The answer is the time until the account's rate has yielded the tokens of all requests
    /// that were refused before, and then those of this one; at most [`MAX_RETRY_AFTER`].
    fn refuse(&mut self, now: Instant, token_request: &TokenRequest) -> TokenGrant {
        let start = self.reserved_until.max(now);
        let end = start + time_until_available(token_request.tokens.as_f64(), self.params.rate);
        self.reserved_until = end.min(now + MAX_RETRY_AFTER);
        token_request.answer(Err(self
            .reserved_until
            .since(now)
            .max(MIN_COLLECTION_INTERVAL)))
    }
}

/// Returns the interval between the starts of two collections while token requests wait, with this number of VMs.
pub(super) fn collection_interval(vms: usize) -> Span {
    MIN_COLLECTION_INTERVAL.max(COLLECTION_INTERVAL_PER_VM.times(vms as u64))
}
