//! The token pools of a pool owner: tokens collected from VMs that do not need them, and the token requests that
//! wait for some.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};

use super::bucket::{Bucket, Params, time_until_available};
use super::{TokenGrant, TokenRequest};
use crate::account::Tokens;

/// The least time between the starts of two collections.
const MIN_COLLECTION_INTERVAL: Span = Span::from_millis(200);

/// The time between the starts of two collections per VM, where that is longer, so that the pool owner can process the
/// answers of a large fleet.
const COLLECTION_INTERVAL_PER_VM: Span = Span::from_millis(1);

/// The fraction of a pool's capacity below which the pool owner collects.
const LOW_WATERMARK: f64 = 0.25;

/// The fraction of a pool's capacity that is reserved: VMs get tokens of it only for the requests that wait, none for
/// later requests.
const RESERVE: f64 = 0.5;

/// The factor by which the interval between collections is longer while no token request waits.
const IDLE_FACTOR: u64 = 2;

/// How long the pool owner collects for an account after its last token request.
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
    /// Tokens that the last finished collection brought; none if no collection has finished since the pool was created
    /// or became used again.
    last_collected: Option<f64>,
    /// Tokens that the present collection has brought so far.
    collected: f64,
    /// The time up to which the account's rate is promised to callers who were told to retry.
    promised_until: Instant,
}

/// The pools of all accounts at one VM, and its last collection.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// The pool of each account.
    by_account: BTreeMap<Tenant, Pool>,
    /// The number of the last collection.
    collection: u64,
    /// The VMs that have not answered it yet.
    unanswered: BTreeSet<Vm>,
    /// The time at which it started.
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

    /// Handles a token request: answers it now, or queues it if the next collection may bring its tokens.
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
                promised_until: now,
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
            let refused = pool.refuse(now, &token_request);
            out.push((from, refused));
        }
        pool.serve_queue(out);
    }

    /// Starts a collection with this number from the VMs `asked`. Returns the accounts to collect for.
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

    /// Whether a collection is due: one interval after the start of the last if a token request waits, or
    /// [`IDLE_FACTOR`] intervals if a pool in use is low.
    pub(crate) fn is_collection_due(&self, now: Instant, vms: usize) -> bool {
        let since = now.since(self.collection_started);
        let is_low = |pool: &Pool| pool.is_used(now) && pool.is_low();
        let due_for_low = since >= collection_interval(vms).times(IDLE_FACTOR)
            && self.by_account.values().any(is_low);
        let has_queue = |pool: &Pool| !pool.queue.is_empty();
        due_for_low || since >= collection_interval(vms) && self.by_account.values().any(has_queue)
    }

    /// The time of the next collection or of the first deadline of a token request; `None` if no token request waits.
    pub(crate) fn next_timer(&self, vms: usize) -> Option<Instant> {
        let first = self
            .by_account
            .values()
            .filter_map(|pool| pool.queue.front());
        let deadline = first.map(|queued| queued.deadline).min()?;
        Some(deadline.min(self.collection_started + collection_interval(vms)))
    }

    /// Adds the tokens with which a VM answers a collection. Each answer counts once, and none counts that arrives
    /// after the next collection has started, so tokens may be lost but are never counted twice.
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
                let refused = pool.refuse(now, &queued.token_request);
                out.push((queued.from, refused));
            }
            pool.serve_queue(out);
        }
    }

    /// Drops the token requests of a VM that is gone.
    pub(crate) fn remove_vm(&mut self, vm: &Vm) {
        for pool in self.by_account.values_mut() {
            pool.queue.retain(|queued| queued.from != *vm);
        }
    }
}

impl Pool {
    /// Whether token requests wait or have arrived recently.
    fn is_used(&self, now: Instant) -> bool {
        !self.queue.is_empty() || now.since(self.last_request) < IN_USE
    }

    /// Whether the next collection may bring the tokens of a request, as far as the last one shows. The first
    /// request of the queue may always wait, whatever its size, and every request as long as no collection has
    /// finished.
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

    /// Whether the pool is below the low watermark.
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
            let more = self
                .bucket
                .take_above(self.params.capacity * RESERVE, token_request.max_extra);
            out.push((from.clone(), token_request.answer(Ok(more))));
            self.queue.pop_front();
        }
    }

    /// Refuses a token request. The answer is the time until the account's rate has yielded its tokens, after those
    /// of all requests that were refused before.
    fn refuse(&mut self, now: Instant, token_request: &TokenRequest) -> TokenGrant {
        let start = self.promised_until.max(now);
        let end = start + time_until_available(token_request.tokens.as_f64(), self.params.rate);
        self.promised_until = end.min(now + MAX_RETRY_AFTER);
        token_request.answer(Err(self
            .promised_until
            .since(now)
            .max(MIN_COLLECTION_INTERVAL)))
    }
}

/// The interval between the starts of two collections while token requests wait, with this number of VMs.
pub(super) fn collection_interval(vms: usize) -> Span {
    MIN_COLLECTION_INTERVAL.max(COLLECTION_INTERVAL_PER_VM.times(vms as u64))
}
