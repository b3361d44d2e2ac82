//! The quotas of client accounts, enforced over all VMs together.
//!
//! Each VM has an equal share of the rate of each account, which fills a token bucket ([`Bucket`]) of its own. One
//! VM, the pool owner, collects tokens that other VMs do not need into a pool and grants them to VMs whose shares
//! have too few.
//!
//! Tokens come from the refill of the shares only; collections and grants move them from one bucket to another. Hence
//! the tokens used in any window are at most those that the rate yields in it plus the capacity of all buckets and
//! pools. This bound holds whichever VM owns the pool, even if several VMs own one at the same time, and even if
//! messages are lost, delayed or duplicated: a lost message can only lose tokens.
//!
//! * An account for which the VMs' own shares suffice causes no messages, and an idle account costs nothing.
//! * A VM that can't reach a pool owner still has its own share.
//! * The bucket of a new process is empty, so that a restart does not allow the tokens of one window to be used twice.
//! * A request that did not run gives its tokens back. A request that is retried is charged once.

pub mod bucket;
mod charge;
mod pool;
mod pool_owner;
pub mod window;

use std::collections::BTreeMap;

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use self::bucket::{Bucket, Params};
use self::charge::{MAX_ATTEMPTS, RETRY_AFTER};
use self::pool::Pools;
use super::{TokenLimit, Tokens};
use crate::cluster::exclusion;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::node::Gateway;
use crate::settings::Tuning;

/// Capacity of a pool, as a fraction of an account's total capacity. The total is divided among two pools and the
/// shares of all VMs, since there are two pools while VMs disagree on which VM is the pool owner.
const POOL_FRACTION: f64 = 0.25;

/// The least total capacity of an account's buckets and pools, as a fraction of the account's burst. This capacity
/// applies if the tolerance that results from the tuning parameters is smaller.
const MIN_CAPACITY_FRACTION: f64 = 0.5;

/// The fraction of an account's rate that is distributed. The rest is a margin for tokens that are in transit
/// between two VMs and therefore count in no bucket.
const DISTRIBUTED_RATE: f64 = 0.98;

/// The time after its start for which a VM's shares are not refilled, if the key-value service has no entry of an
/// earlier process of the VM. The entries of other VMs may be missing too, and with too few known VMs the VM's shares
/// of the rates would be too large.
const STARTUP_DELAY: Span = Span::from_secs(1);

/// How long a computed number of VMs is used before it is computed again.
const VM_COUNT_MAX_AGE: Span = Span::from_millis(500);

/// A VM's request for tokens from the pool, sent to the pool owner when the VM's own share has too few for a caller's
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The account.
    pub account: Tenant,
    /// A random number that identifies the answer.
    pub number: u64,
    /// The number of tokens that a caller's request costs.
    pub tokens: Tokens,
    /// Limit on the tokens that may be granted in addition, for later requests: the free capacity of the sender's
    /// share.
    pub max_extra: Tokens,
}

impl TokenRequest {
    /// Makes the grant that answers this token request: `Ok` with the number of tokens granted in addition to the
    /// requested ones, or `Err` with the time after which to retry.
    fn answer(&self, answer: Result<Tokens, Span>) -> TokenGrant {
        TokenGrant {
            account: self.account.clone(),
            number: self.number,
            answer,
        }
    }
}

/// The pool owner's answer to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The account.
    pub account: Tenant,
    /// The number of the token request.
    pub number: u64,
    /// `Ok` if the requested tokens are granted, with the number of tokens granted in addition; `Err` with the time
    /// after which there may be enough tokens.
    pub answer: Result<Tokens, Span>,
}

/// A caller's request that waits for tokens of the pool.
#[derive(Debug)]
struct PendingRequest {
    /// The request.
    request: RequestId,
    /// The number of tokens that it costs.
    tokens: Tokens,
    /// The VM that was asked as the pool owner.
    owner: Vm,
    /// The time at which the wait for the pool owner's answer ends.
    deadline: Instant,
    /// The number of VMs that have been asked for the tokens.
    attempts: u32,
}

/// This VM's share of the quota of an account.
#[derive(Debug)]
struct Share {
    /// The quota of the account over all VMs.
    limit: TokenLimit,
    /// The tokens of this VM.
    bucket: Bucket,
    /// Requests that wait for tokens of the pool, by the numbers of their token requests.
    pending: BTreeMap<u64, PendingRequest>,
    /// The arrival time of the account's last request at this VM.
    last_used: Instant,
    /// Set when the pool owner refuses a token request: the time until which requests for which the bucket has too few
    /// tokens are refused without asking the pool owner, and the time from which their callers may retry.
    exhausted: (Instant, Instant),
    /// The time of the last log line on the account's limit.
    logged: Instant,
}

/// This VM's shares of the quotas, and its pools if it is a pool owner.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The shares by account, for the accounts that have a limit.
    shares: BTreeMap<Tenant, Share>,
    /// The pools of all accounts, used if this VM is a pool owner.
    pools: Pools,
    /// VMs that did not answer token requests, and are not used as the pool owner for some time.
    excluded: exclusion::Exclusions,
    /// The number of VMs, and the time at which it was computed.
    vm_count: Option<(usize, Instant)>,
    /// The start time of this VM's process.
    started: Instant,
    /// Whether the key-value service still had the entry of an earlier process of this VM. In that case it also has the
    /// entries of the other VMs, so that the number of VMs is known.
    restarted: bool,
    /// The limits as sliding windows, used instead of the shares and pools if [`Feature::WindowQuota`] is enabled.
    ///
    /// [`Feature::WindowQuota`]: crate::feature::Feature::WindowQuota
    window: window::State,
}

/// What a limit allows in a window: the tokens of the rate during the window, and the tokens in all buckets at its
/// start.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Tokens per second.
    rate: f64,
    /// Capacity in tokens of all buckets together.
    capacity: f64,
}

impl Allowance {
    /// Splits the tokens that `limit` and its tolerance allow in a window into a rate and a capacity.
    fn new(limit: TokenLimit, tuning: &Tuning) -> Self {
        let seconds = tuning.quota_window.as_secs_f64();
        let burst = limit.burst.as_f64();
        let window = limit.rate.as_f64() * seconds + burst;
        let tolerance = window * tuning.quota_overage + tuning.quota_slack;
        let capacity = tolerance.max(burst * MIN_CAPACITY_FRACTION);
        Self {
            rate: (window + tolerance - capacity) / seconds * DISTRIBUTED_RATE,
            capacity,
        }
    }

    /// Returns the parameters of a pool. A pool's bucket is not refilled at a rate; the rate in the parameters serves to estimate
    /// when there will be enough tokens.
    fn pool(self) -> Params {
        Params {
            rate: self.rate,
            capacity: self.capacity * POOL_FRACTION,
        }
    }

    /// Returns the parameters of one VM's share if `vms` VMs share the limit.
    #[allow(clippy::cast_precision_loss)]
    fn share(self, vms: usize) -> Params {
        let vms = vms as f64;
        Params {
            rate: self.rate / vms,
            capacity: self.capacity * (1.0 - 2.0 * POOL_FRACTION) / vms,
        }
    }
}

impl Gateway {
    /// Records the start time of the process.
    pub(crate) fn start_quota(&mut self) {
        self.quota.started = self.now;
    }

    /// Records that the key-value service has an entry of an earlier process of this VM.
    pub(crate) fn quota_restarted(&mut self) {
        self.quota.restarted = true;
    }

    /// Applies the limits of a new configuration. New accounts get an empty share; the shares of other accounts keep
    /// the tokens that still fit. Waiting requests of accounts that no longer have a limit proceed without a charge.
    pub(crate) fn apply_account_limits(&mut self, out: &mut Effects) {
        if self.uses_window() {
            self.apply_window_limits(out);
            return;
        }
        let limits: BTreeMap<Tenant, TokenLimit> = self.limits_by_account().collect();
        let mut shares = std::mem::take(&mut self.quota.shares);
        for (account, limit) in &limits {
            let (old_share, new_params) = (shares.remove(account), self.share_params(*limit));
            let mut share = old_share.unwrap_or_else(|| Share::new(*limit, self.now));
            let old_params = self.share_params(share.limit);
            share.bucket.refill(self.now, old_params);
            share.limit = *limit;
            share.bucket.truncate(new_params);
            self.quota.shares.insert(account.clone(), share);
        }
        let tuning = &self.settings.tuning;
        let params = |account: &Tenant| {
            let limit = limits.get(account)?;
            Some(Allowance::new(*limit, tuning).pool())
        };
        self.quota.pools.apply_limits(params);
        // The list of entries with the configuration may also have entries of VMs, which are applied after the
        // configuration; the number of VMs is therefore computed again.
        self.quota.vm_count = None;
        let unlimited = shares.into_values().flat_map(|share| share.pending);
        let unlimited: Vec<RequestId> = unlimited.map(|(_, pending)| pending.request).collect();
        for request in unlimited {
            self.find_server(request, out);
        }
    }

    /// Returns the accounts that have a limit in the configuration in force.
    fn limits_by_account(&self) -> impl Iterator<Item = (Tenant, TokenLimit)> {
        let accounts = self.config.iter().flat_map(|c| c.accounts.iter().flatten());
        accounts.filter_map(|account| Some((account.name.clone(), account.limit?)))
    }

    /// Returns the number of VMs that share the rates: the VMs that are present or were until recently, since a VM that
    /// disappeared may only be partitioned from this one and still use its share.
    fn vm_count(&mut self) -> usize {
        match self.quota.vm_count {
            Some((vms, computed)) if self.now.since(computed) < VM_COUNT_MAX_AGE => vms,
            _ => {
                let vms = self.membership.recent_count(self.now, &self.settings.vm) + 1;
                self.quota.vm_count = Some((vms, self.now));
                vms
            }
        }
    }

    /// Returns the parameters of this VM's share of a limit. The rate is zero during the startup delay.
    fn share_params(&mut self, limit: TokenLimit) -> Params {
        let vms = self.vm_count();
        let params = Allowance::new(limit, &self.settings.tuning).share(vms);
        let started = self.quota.restarted || self.now.since(self.quota.started) >= STARTUP_DELAY;
        Params {
            rate: if started { params.rate } else { 0.0 },
            ..params
        }
    }

    /// Refills this VM's share of an account up to the present time and returns it with its parameters. Returns `None` if
    /// the account has no limit.
    fn share(&mut self, account: &Tenant) -> Option<(&mut Share, Params)> {
        let limit = self.quota.shares.get(account)?.limit;
        let params = self.share_params(limit);
        let share = self.quota.shares.get_mut(account)?;
        share.bucket.refill(self.now, params);
        Some((share, params))
    }

    /// Handles the quota timer: refuses token requests that waited in the pool for too long, collects tokens if a
    /// collection is due, and retries this VM's token requests whose answer is overdue.
    pub(crate) fn handle_quota_timer(&mut self, out: &mut Effects) {
        if self.uses_window() {
            self.handle_window_timer(out);
            return;
        }
        let now = self.now;
        let mut answers = Vec::new();
        self.quota.pools.expire(now, &mut answers);
        self.send_token_grants(answers, out);
        self.collect_if_due(out);
        self.retry_token_requests(|pending| pending.deadline <= now, out);
    }

    /// Handles the loss of the connection to a VM: drops the VM's token requests, and sends this VM's token requests to
    /// another pool owner if that VM was asked.
    pub(crate) fn quota_vm_down(&mut self, vm: &Vm, out: &mut Effects) {
        if self.uses_window() {
            self.window_vm_down(vm, out);
            return;
        }
        self.quota.pools.remove_vm(vm);
        self.retry_token_requests(|pending| pending.owner == *vm, out);
    }
}

impl Share {
    fn new(limit: TokenLimit, now: Instant) -> Self {
        Self {
            limit,
            bucket: Bucket::new(now),
            pending: BTreeMap::new(),
            last_used: Instant::default(),
            exhausted: (Instant::default(), Instant::default()),
            logged: Instant::default(),
        }
    }
}
