//! The limits of client accounts, over all VMs together.
//!
//! Each VM has an equal share of each account's rate, which fills a [`Bucket`] of its own. Tokens only move: the VM that keeps the pool
//! collects what others don't need and lends it to those that run short. So no window sees more than the rate and what all buckets and
//! pools hold at once, whoever keeps a pool, how many do, and whichever messages are lost, late or doubled. What is lost is
//! tokens.
//!
//! * An account whose VMs do with their own shares costs no message, and an idle one costs nothing.
//! * A VM that can't reach a pool still has its share.
//! * A bucket of a new start is empty, so a restart repeats nothing.
//! * A request that did not run gives its tokens back; one that is sent a second time is charged once.

pub mod bucket;
mod charge;
mod keeper;
mod pool;

use std::collections::BTreeMap;

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use self::bucket::{Bucket, Terms};
use self::pool::Pools;
use super::{TokenLimit, Tokens};
use crate::cluster::exclusion;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::node::Gateway;
use crate::settings::Tuning;

/// The part of what may be used at once that a pool holds at most. Two pools, as while VMs disagree on who keeps it, and all shares
/// make up the whole.
const IN_POOL: f64 = 0.25;

/// The part of a burst that stays to be used at once where the limit's tolerance is smaller.
const BURST_KEPT: f64 = 0.5;

/// The part of the rate that is given out: what is on its way between two VMs is in no bucket.
const GIVEN_OUT: f64 = 0.98;

/// How long a VM that finds no entry of an earlier start uses no share of its own: those of other VMs may be missing too, and its part
/// among them look too large.
const SETTLED: Span = Span::from_secs(1);

/// How long the number of VMs counts that was found.
const FLEET_AGE: Span = Span::from_millis(500);

/// What a VM draws from the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The account.
    pub account: Tenant,
    /// The number of the draw, by which its answer is known.
    pub number: u64,
    /// The tokens of a request.
    pub tokens: Tokens,
    /// Tokens that may come with them for the next requests.
    pub room: Tokens,
}

impl TokenRequest {
    /// The answer to it: granted with so many more tokens, or when there may be some.
    fn answer(&self, answer: Result<Tokens, Span>) -> TokenGrant {
        TokenGrant {
            account: self.account.clone(),
            number: self.number,
            answer,
        }
    }
}

/// The pool's answer to a draw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The account.
    pub account: Tenant,
    /// The number of the draw.
    pub number: u64,
    /// What was drawn may be used, and so many more tokens; or the time after which there may be some.
    pub answer: Result<Tokens, Span>,
}

/// A request that waits for what was drawn for it.
#[derive(Debug)]
struct Waiting {
    /// The request.
    request: RequestId,
    /// What was drawn.
    tokens: Tokens,
    /// The VM that was asked.
    to: Vm,
    /// Until when its answer is waited for.
    until: Instant,
    /// The VMs that were asked so far.
    tries: u32,
}

/// This VM's share of an account.
#[derive(Debug)]
struct Share {
    /// The account's limit.
    limit: TokenLimit,
    /// The tokens.
    bucket: Bucket,
    /// Requests that wait for tokens, by the numbers of their draws.
    waiting: BTreeMap<u64, Waiting>,
    /// When a request last came.
    used: Instant,
    /// Until when requests that find no tokens here are refused at once, and when they may come back.
    closed: (Instant, Instant),
    /// When a line on its limit was last written.
    told: Instant,
}

/// The limits as this VM keeps them.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Its shares, by account that has a limit.
    shares: BTreeMap<Tenant, Share>,
    /// What it lends to others.
    pools: Pools,
    /// VMs that kept the pool and did not answer.
    passed: exclusion::Exclusions,
    /// The number of VMs, and when it was found.
    fleet: Option<(usize, Instant)>,
    /// When this VM started.
    started: Instant,
    /// Whether the key-value service still had its entry of an earlier start, and so those of other VMs.
    returned: bool,
}

/// What a limit allows: any window may see the rate for its length, and besides what is there at its begin.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Tokens a second.
    rate: f64,
    /// Tokens in all buckets together.
    at_once: f64,
}

impl Allowance {
    fn new(limit: TokenLimit, tuning: &Tuning) -> Self {
        let seconds = tuning.quota_window.as_secs_f64();
        let burst = limit.burst.as_f64();
        let window = limit.rate.as_f64() * seconds + burst;
        let tolerance = window * tuning.quota_overage + tuning.quota_slack;
        let at_once = tolerance.max(burst * BURST_KEPT);
        Self {
            rate: (window + tolerance - at_once) / seconds * GIVEN_OUT,
            at_once,
        }
    }

    /// What a pool holds.
    fn pool(self) -> Terms {
        Terms {
            rate: self.rate,
            most: self.at_once * IN_POOL,
        }
    }

    /// What one of so many VMs holds by itself.
    #[allow(clippy::cast_precision_loss)]
    fn share(self, vms: usize) -> Terms {
        let vms = vms as f64;
        Terms {
            rate: self.rate / vms,
            most: self.at_once * (1.0 - 2.0 * IN_POOL) / vms,
        }
    }
}

impl Gateway {
    pub(crate) fn quota_start(&mut self) {
        self.quota.started = self.now;
    }

    /// The key-value service has this VM's entry of an earlier start.
    pub(crate) fn quota_restarted(&mut self) {
        self.quota.returned = true;
    }

    /// The configuration has changed: accounts that are new have an empty share, others keep what still fits.
    pub(crate) fn apply_account_limits(&mut self, out: &mut Effects) {
        let limits: BTreeMap<Tenant, TokenLimit> = self.limits_by_account().collect();
        let mut shares = std::mem::take(&mut self.quota.shares);
        for (account, limit) in &limits {
            let (before, after) = (shares.remove(account), self.share_terms(*limit));
            let mut share = before.unwrap_or_else(|| Share::new(*limit, self.now));
            let terms = self.share_terms(share.limit);
            share.bucket.refill(self.now, terms);
            share.limit = *limit;
            share.bucket.clip(after);
            self.quota.shares.insert(account.clone(), share);
        }
        let tuning = &self.settings.tuning;
        let terms = |account: &Tenant| {
            let limit = limits.get(account)?;
            Some(Allowance::new(*limit, tuning).pool())
        };
        self.quota.pools.limit(terms);
        // The entries of VMs may follow in the same list.
        self.quota.fleet = None;
        let free = shares.into_values().flat_map(|share| share.waiting);
        let free: Vec<RequestId> = free.map(|(_, waiting)| waiting.request).collect();
        for request in free {
            self.find_server(request, out);
        }
    }

    fn limits_by_account(&self) -> impl Iterator<Item = (Tenant, TokenLimit)> {
        let accounts = self.config.iter().flat_map(|c| c.accounts.iter().flatten());
        accounts.filter_map(|account| Some((account.name.clone(), account.limit?)))
    }

    /// The number of VMs among which rates are shared: those that are there, and those that were until a while ago, as they may still
    /// use their shares.
    fn fleet(&mut self) -> usize {
        match self.quota.fleet {
            Some((vms, found)) if self.now.since(found) < FLEET_AGE => vms,
            _ => {
                let vms = self.membership.recent_count(self.now, &self.settings.vm) + 1;
                self.quota.fleet = Some((vms, self.now));
                vms
            }
        }
    }

    /// This VM's part of a limit.
    fn share_terms(&mut self, limit: TokenLimit) -> Terms {
        let vms = self.fleet();
        let terms = Allowance::new(limit, &self.settings.tuning).share(vms);
        let settled = self.quota.returned || self.now.since(self.quota.started) >= SETTLED;
        Terms {
            rate: if settled { terms.rate } else { 0.0 },
            ..terms
        }
    }

    /// This VM's share of an account with what has come until now, if that account has a limit.
    fn share(&mut self, account: &Tenant) -> Option<(&mut Share, Terms)> {
        let limit = self.quota.shares.get(account)?.limit;
        let terms = self.share_terms(limit);
        let share = self.quota.shares.get_mut(account)?;
        share.bucket.refill(self.now, terms);
        Some((share, terms))
    }

    /// Looks at draws that have no answer, and at what waits in the pool.
    pub(crate) fn handle_quota_timer(&mut self, out: &mut Effects) {
        let now = self.now;
        let mut answers = Vec::new();
        self.quota.pools.expire(now, &mut answers);
        self.answer_draws(answers, out);
        self.collect(out);
        self.draw_elsewhere(|waiting| waiting.until <= now, out);
    }

    /// No link to a VM can be made, or it is gone.
    pub(crate) fn quota_vm_down(&mut self, vm: &Vm, out: &mut Effects) {
        self.quota.pools.vm_gone(vm);
        self.draw_elsewhere(|waiting| waiting.to == *vm, out);
    }
}

impl Share {
    fn new(limit: TokenLimit, now: Instant) -> Self {
        Self {
            limit,
            bucket: Bucket::new(now),
            waiting: BTreeMap::new(),
            used: Instant::default(),
            closed: (Instant::default(), Instant::default()),
            told: Instant::default(),
        }
    }
}
