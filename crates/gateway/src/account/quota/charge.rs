//! Charges requests to their accounts: from this VM's share, or with tokens from the pool owner if the share has too
//! few.

use std::cmp::Reverse;
use std::hash::Hash;

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use super::{PendingRequest, TokenGrant, TokenRequest, pool};
use crate::account::Tokens;
use crate::cluster::membership;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::feature::Feature;
use crate::message::Message;
use crate::metrics;
use crate::node::Gateway;
use crate::request::state::{Phase, RefusalDetail};
use crate::timer::Timer;

/// How much longer than the interval between collections a VM waits for the pool owner's answer before it asks another
/// VM.
const ANSWER_MARGIN: Span = Span::from_millis(150);

/// The number of VMs that are asked for tokens before a request is refused.
pub(super) const MAX_ATTEMPTS: u32 = 2;

/// How long a VM that did not answer a token request is not used as the pool owner.
const EXCLUSION_TIME: Span = Span::from_secs(4);

/// Limit on the time for which requests of an account are refused without asking the pool owner again, after the pool
/// owner has refused a token request.
const EXHAUSTED_TIME: Span = Span::from_millis(100);

/// The time after which a caller may retry if no pool owner answers.
pub(super) const RETRY_AFTER: Span = Span::from_millis(500);

/// The time after its last request at a VM for which an account counts as in use there. A VM gives up no tokens of an
/// account in use.
const IN_USE: Span = Span::from_millis(500);

impl Gateway {
    /// Charges a request to its account, if the account has a limit. Looks for a server once the request is charged or
    /// if it needs no charge.
    pub(crate) fn charge(&mut self, request: RequestId, out: &mut Effects) {
        if self.uses_window() {
            self.charge_window(request, out);
            return;
        }
        let now = self.now;
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let cost = state.cost;
        let account = state.account.as_ref().map(|account| account.name.clone());
        let Some(account) = account.filter(|name| self.quota.shares.contains_key(name)) else {
            self.find_server(request, out);
            return;
        };
        let Some((share, _)) = self.share(&account) else {
            return;
        };
        share.last_used = now;
        let (exhausted_until, retry_at) = share.exhausted;
        if share.bucket.take(cost) {
            self.admit_charged(request, out);
        } else if now < exhausted_until {
            self.refuse_over_limit(request, retry_at.since(now), out);
        } else if self.settings.uses(Feature::TokenPool) {
            self.request_tokens(&account, request, 1, out);
        } else {
            self.refuse_over_limit(request, RETRY_AFTER, out);
        }
    }

    /// Marks a request as charged and looks for a server.
    pub(super) fn admit_charged(&mut self, request: RequestId, out: &mut Effects) {
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.charged = true;
            let account = state.account.as_ref().map(|account| &account.name);
            metrics::count_tokens(out, account, state.cost, "admitted");
        }
        self.find_server(request, out);
    }

    /// Gives back the tokens of a request that did not run, if it was charged.
    pub(crate) fn refund(&mut self, request: RequestId) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let charged = std::mem::take(&mut state.charged);
        let (cost, charge) = (state.cost, std::mem::take(&mut state.charge));
        let account = state.account.clone();
        match account.filter(|_| charged) {
            Some(account) if self.uses_window() => self.refund_window(&account.name, charge),
            Some(account) => self.return_tokens(&account.name, cost),
            None => {}
        }
    }

    /// Adds the unused tokens of one request to this VM's share, up to the share's capacity or the request's cost,
    /// whichever is larger.
    fn return_tokens(&mut self, account: &Tenant, tokens: Tokens) {
        if let Some((share, params)) = self.share(account) {
            let max_balance = params.capacity.max(tokens.as_f64());
            share.bucket.add(tokens, max_balance);
        }
    }

    /// Asks the pool owner for the tokens of a request. `attempts` is the number of VMs asked for them, including the
    /// one that this call asks.
    fn request_tokens(
        &mut self,
        account: &Tenant,
        request: RequestId,
        attempts: u32,
        out: &mut Effects,
    ) {
        let deadline = self.now + pool::collection_interval(self.vm_count()) + ANSWER_MARGIN;
        let (owner, number) = (self.pool_owner(), self.rng.random());
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Charging;
        let tokens = state.cost;
        let Some((share, params)) = self.share(account) else {
            return;
        };
        let token_request = TokenRequest {
            account: account.clone(),
            number,
            tokens,
            max_extra: share.bucket.free_capacity(params),
        };
        let pending = PendingRequest {
            request,
            tokens,
            owner: owner.clone(),
            deadline,
            attempts,
        };
        share.pending.insert(number, pending);
        if owner == self.settings.vm {
            self.handle_token_request(&owner, token_request, out);
        } else {
            self.timers.set_once(deadline, Timer::Quota);
            self.send(&owner, Message::TokenRequest(token_request), out);
        }
    }

    /// Returns the pool owner, as this VM sees it: of the VMs that are present, VMs that run no scheduler come first,
    /// then those with the highest strength, then the first by rendezvous hashing.
    fn pool_owner(&self) -> Vm {
        self.first_helper(|vm| ("pool", vm.as_str()))
    }

    /// Returns the VM that does a task for accounts, as this VM sees it: of the VMs that are present, VMs that run no
    /// scheduler come first, then those with the highest strength, then the first by rendezvous hashing of `choice`.
    pub(super) fn first_helper<'a, T: Hash>(&'a self, choice: impl Fn(&'a Vm) -> T) -> Vm {
        let now = self.now;
        let is_excluded = |vm: &Vm| self.quota.excluded.contains(vm, now);
        let runs_scheduler = |vm: &Vm| {
            self.scheduler_clients
                .values()
                .any(|client| client.holder.as_ref() == Some(vm))
        };
        let me = &self.settings.vm;
        let peers = self.peers();
        let peers = peers.filter(|vm| !self.membership.is_down(vm) && !is_excluded(vm));
        let rank = |vm: &'a Vm| {
            let strength = Reverse(self.strength(vm));
            (
                runs_scheduler(vm),
                strength,
                membership::rendezvous_score(&choice(vm)),
            )
        };
        let owner = peers.chain([me]).min_by_key(|vm| rank(vm));
        owner.unwrap_or(me).clone()
    }

    /// Answers a collection of the pool owner with the tokens that this VM does not need.
    pub(crate) fn handle_collect_tokens(
        &mut self,
        from: &Vm,
        number: u64,
        accounts: &[Tenant],
        out: &mut Effects,
    ) {
        let surplus = self.take_surplus(accounts);
        if !surplus.is_empty() {
            self.send(from, Message::SurplusTokens(number, surplus), out);
        }
    }

    /// Takes the tokens that this VM does not need out of its shares of `accounts`: all tokens of each account that
    /// is not in use here.
    pub(super) fn take_surplus(&mut self, accounts: &[Tenant]) -> Vec<(Tenant, Tokens)> {
        let now = self.now;
        let mut surplus = Vec::new();
        for account in accounts {
            let Some((share, _)) = self.share(account) else {
                continue;
            };
            if now.since(share.last_used) < IN_USE {
                continue;
            }
            let tokens = share.bucket.take_above(0.0, Tokens(u64::MAX));
            if tokens > Tokens(0) {
                surplus.push((account.clone(), tokens));
            }
        }
        surplus
    }

    /// Handles the pool owner's answer to a token request of this VM.
    pub(crate) fn handle_token_grant(&mut self, grant: &TokenGrant, out: &mut Effects) {
        let now = self.now;
        let Some((share, params)) = self.share(&grant.account) else {
            return;
        };
        let Some(pending) = share.pending.remove(&grant.number) else {
            return;
        };
        let PendingRequest {
            request, tokens, ..
        } = pending;
        match grant.answer {
            Ok(extra) => {
                share.bucket.add(extra, params.capacity);
                // The caller may have left in the meantime.
                if self.in_flight.contains_key(&request) {
                    self.admit_charged(request, out);
                } else {
                    self.return_tokens(&grant.account, tokens);
                }
            }
            Err(after) => {
                share.exhausted = (now + EXHAUSTED_TIME.min(after), now + after);
                self.refuse_over_limit(request, after, out);
            }
        }
    }

    /// Refuses a request for which its account has too few tokens. Up to half of `after` is added at random, so that
    /// callers do not retry all at once.
    pub(super) fn refuse_over_limit(&mut self, request: RequestId, after: Span, out: &mut Effects) {
        let spread = Span(self.rng.random_range(0..=after.0 / 2));
        if let Some(state) = self.in_flight.get(&request) {
            let account = state.account.as_ref().map(|account| &account.name);
            metrics::count_tokens(out, account, state.cost, "refused");
        }
        self.refuse_request(request, Some(after + spread), RefusalDetail::OverLimit, out);
    }

    /// Excludes the pool owners of the token requests that `has_failed` selects, and asks another VM for the tokens;
    /// refuses a caller's request after [`MAX_ATTEMPTS`] VMs did not answer. Sets the timer for the deadlines of the
    /// other token requests.
    pub(super) fn retry_token_requests(
        &mut self,
        has_failed: impl Fn(&PendingRequest) -> bool,
        out: &mut Effects,
    ) {
        let mut failed: Vec<(Tenant, PendingRequest)> = Vec::new();
        let mut next = Instant::NEVER;
        for (account, share) in &mut self.quota.shares {
            let unanswered = share
                .pending
                .extract_if(.., |_, pending| has_failed(pending));
            failed.extend(unanswered.map(|(_, pending)| (account.clone(), pending)));
            let deadlines = share.pending.values().map(|pending| pending.deadline);
            next = deadlines.fold(next, Instant::min);
        }
        if next < Instant::NEVER {
            self.timers.set_once(next, Timer::Quota);
        }
        for (account, pending) in failed {
            self.exclude_pool_owner(&account, &pending.owner, out);
            if pending.attempts < MAX_ATTEMPTS {
                self.request_tokens(&account, pending.request, pending.attempts + 1, out);
            } else {
                self.refuse_over_limit(pending.request, RETRY_AFTER, out);
            }
        }
    }

    /// Excludes a VM that did not answer a token request from being the pool owner, unless it is this VM.
    pub(super) fn exclude_pool_owner(&mut self, account: &Tenant, vm: &Vm, out: &mut Effects) {
        let now = self.now;
        if !self.quota.excluded.contains(vm, now) && *vm != self.settings.vm {
            let detail = format!("vm={vm} account={account}");
            Self::log(out, Code::PoolSilent, detail);
            self.quota
                .excluded
                .add(vm.clone(), now, now + EXCLUSION_TIME);
        }
    }
}
