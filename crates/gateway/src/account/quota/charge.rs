//! A VM that charges requests to their accounts: from its own share, and from the pool where that is short.

use std::cmp::Reverse;

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use super::{TokenGrant, TokenRequest, Waiting, pool};
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

/// How much longer than a pool has a draw may stay without an answer before another VM is asked.
const ANSWER_MARGIN: Span = Span::from_millis(150);

/// VMs that are asked before a request is refused.
const TRIES: u32 = 2;

/// How long a VM that did not answer is not asked again.
const PASSED_BY: Span = Span::from_secs(4);

/// How long the pool's word that an account has no tokens left counts for further requests.
const CLOSED: Span = Span::from_millis(100);

/// When a caller may come back if no pool answers.
const COME_BACK: Span = Span::from_millis(500);

/// How long after its last request an account counts as used at a VM.
const IN_USE: Span = Span::from_millis(500);

impl Gateway {
    /// Charges a request to its account, if that has a limit, and goes on with it when there are tokens.
    pub(crate) fn charge(&mut self, request: RequestId, out: &mut Effects) {
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
        share.used = now;
        let (closed, retry_after) = share.closed;
        if share.bucket.take(cost) {
            self.charged(request, out);
        } else if now < closed {
            self.over_limit(request, retry_after.since(now), out);
        } else if self.settings.uses(Feature::TokenPool) {
            self.draw(&account, request, 1, out);
        } else {
            self.over_limit(request, COME_BACK, out);
        }
    }

    /// A request's tokens are taken.
    fn charged(&mut self, request: RequestId, out: &mut Effects) {
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.charged = true;
            let account = state.account.as_ref().map(|account| &account.name);
            metrics::count_tokens(out, account, state.cost, "admitted");
        }
        self.find_server(request, out);
    }

    /// Gives the tokens of a request back that did not run.
    pub(crate) fn refund(&mut self, request: RequestId) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let charged = std::mem::take(&mut state.charged);
        let (cost, account) = (state.cost, state.account.clone());
        if let Some(account) = account.filter(|_| charged) {
            self.give_back(&account.name, cost);
        }
    }

    /// Puts tokens that were not used into this VM's share, one request's even where it holds less.
    fn give_back(&mut self, account: &Tenant, tokens: Tokens) {
        if let Some((share, terms)) = self.share(account) {
            let most = terms.most.max(tokens.as_f64());
            share.bucket.put(tokens, most);
        }
    }

    /// Draws the tokens of a request from the pool.
    fn draw(&mut self, account: &Tenant, request: RequestId, tries: u32, out: &mut Effects) {
        let until = self.now + pool::pause(self.fleet()) + ANSWER_MARGIN;
        let (to, number) = (self.pool_keeper(), self.rng.random());
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Charging;
        let tokens = state.cost;
        let Some((share, terms)) = self.share(account) else {
            return;
        };
        let draw = TokenRequest {
            account: account.clone(),
            number,
            tokens,
            room: share.bucket.room(terms),
        };
        let waiting = Waiting {
            request,
            tokens,
            to: to.clone(),
            until,
            tries,
        };
        share.waiting.insert(number, waiting);
        if to == self.settings.vm {
            self.drawn(&to, draw, out);
        } else {
            self.timers.set_once(until, Timer::Quota);
            self.send(&to, Message::TokenRequest(draw), out);
        }
    }

    /// The VM that keeps the pool, as this one sees it: a strong one that is there and schedules nothing.
    fn pool_keeper(&self) -> Vm {
        let now = self.now;
        let passed = |vm: &Vm| self.quota.passed.contains(vm, now);
        let schedules = |vm: &Vm| {
            self.scheduler_clients
                .values()
                .any(|a| a.holder.as_ref() == Some(vm))
        };
        let me = &self.settings.vm;
        let peers = self.peers();
        let peers = peers.filter(|vm| !self.membership.is_down(vm) && !passed(vm));
        let rank = |vm: &Vm| {
            let strength = Reverse(self.strength(vm));
            (
                schedules(vm),
                strength,
                membership::rendezvous_score(&("pool", vm.as_str())),
            )
        };
        let keeper = peers.chain([me]).min_by_key(|vm| rank(vm));
        keeper.unwrap_or(me).clone()
    }

    /// The VM that keeps the pool collects.
    pub(crate) fn collected(
        &mut self,
        from: &Vm,
        number: u64,
        accounts: &[Tenant],
        out: &mut Effects,
    ) {
        let surplus = self.surplus(accounts);
        if !surplus.is_empty() {
            self.send(from, Message::SurplusTokens(number, surplus), out);
        }
    }

    /// Takes out what this VM does not need of some accounts: all that is here, where no request has come for a while.
    pub(super) fn surplus(&mut self, accounts: &[Tenant]) -> Vec<(Tenant, Tokens)> {
        let now = self.now;
        let mut surplus = Vec::new();
        for account in accounts {
            let Some((share, _)) = self.share(account) else {
                continue;
            };
            if now.since(share.used) < IN_USE {
                continue;
            }
            let tokens = share.bucket.take_beyond(0.0, Tokens(u64::MAX));
            if tokens > Tokens(0) {
                surplus.push((account.clone(), tokens));
            }
        }
        surplus
    }

    /// The pool answers a draw of this VM.
    pub(crate) fn granted(&mut self, grant: &TokenGrant, out: &mut Effects) {
        let now = self.now;
        let Some((share, terms)) = self.share(&grant.account) else {
            return;
        };
        let Some(waiting) = share.waiting.remove(&grant.number) else {
            return;
        };
        let Waiting {
            request, tokens, ..
        } = waiting;
        match grant.answer {
            Ok(more) => {
                share.bucket.put(more, terms.most);
                // The caller may have left meanwhile.
                if self.in_flight.contains_key(&request) {
                    self.charged(request, out);
                } else {
                    self.give_back(&grant.account, tokens);
                }
            }
            Err(after) => {
                share.closed = (now + CLOSED.min(after), now + after);
                self.over_limit(request, after, out);
            }
        }
    }

    /// Refuses a request that its account has no tokens for. Callers are told times that differ, so that they don't come back together.
    fn over_limit(&mut self, request: RequestId, after: Span, out: &mut Effects) {
        let spread = Span(self.rng.random_range(0..=after.0 / 2));
        if let Some(state) = self.in_flight.get(&request) {
            let account = state.account.as_ref().map(|account| &account.name);
            metrics::count_tokens(out, account, state.cost, "refused");
        }
        self.refuse_request(request, Some(after + spread), RefusalDetail::OverLimit, out);
    }

    /// Has another VM asked for what some draws are to bring, or refuses the requests that wait for them.
    pub(super) fn draw_elsewhere(&mut self, which: impl Fn(&Waiting) -> bool, out: &mut Effects) {
        let mut failed: Vec<(Tenant, Waiting)> = Vec::new();
        let mut next = Instant::NEVER;
        for (account, share) in &mut self.quota.shares {
            let unanswered = share.waiting.extract_if(.., |_, waiting| which(waiting));
            failed.extend(unanswered.map(|(_, waiting)| (account.clone(), waiting)));
            let ends = share.waiting.values().map(|w| w.until);
            next = ends.fold(next, Instant::min);
        }
        if next < Instant::NEVER {
            self.timers.set_once(next, Timer::Quota);
        }
        for (account, waiting) in failed {
            self.pass_keeper_by(&account, &waiting.to, out);
            if waiting.tries < TRIES {
                self.draw(&account, waiting.request, waiting.tries + 1, out);
            } else {
                self.over_limit(waiting.request, COME_BACK, out);
            }
        }
    }

    /// A VM that kept the pool did not answer.
    fn pass_keeper_by(&mut self, account: &Tenant, vm: &Vm, out: &mut Effects) {
        let now = self.now;
        if !self.quota.passed.contains(vm, now) && *vm != self.settings.vm {
            let detail = format!("vm={vm} account={account}");
            Self::log(out, Code::PoolSilent, detail);
            self.quota.passed.add(vm.clone(), now, now + PASSED_BY);
        }
    }
}
