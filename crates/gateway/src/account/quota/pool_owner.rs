//! The pool owner: answers token requests of other VMs and its own, and collects the tokens that no VM needs.

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::Span;
use rand::Rng;

use super::pool::Answer;
use super::{Allowance, TokenRequest};
use crate::account::{TokenLimit, Tokens};
use crate::effect::Effects;
use crate::message::Message;
use crate::node::Gateway;
use crate::timer::Timer;

/// The least time between two log lines on the limit of one account.
const LOG_INTERVAL: Span = Span::from_secs(1);

impl Gateway {
    /// Handles a token request of a VM that considers this VM the pool owner.
    pub(crate) fn handle_token_request(
        &mut self,
        from: &Vm,
        token_request: TokenRequest,
        out: &mut Effects,
    ) {
        let vms = self.vm_count();
        let Some(share) = self.quota.shares.get_mut(&token_request.account) else {
            // The two VMs have different versions of the configuration. The sender asks another VM after its timeout.
            return;
        };
        let params = Allowance::new(share.limit, &self.settings.tuning).pool();
        let mut answers = Vec::new();
        let pools = &mut self.quota.pools;
        pools.request(
            self.now,
            from.clone(),
            token_request,
            params,
            vms,
            &mut answers,
        );
        self.send_token_grants(answers, out);
        self.collect_if_due(out);
    }

    /// Starts a collection if one is due, and sets the timer for the next one.
    pub(super) fn collect_if_due(&mut self, out: &mut Effects) {
        let vms = self.vm_count();
        if self.quota.pools.is_collection_due(self.now, vms) {
            self.start_collection(out);
        }
        if let Some(next) = self.quota.pools.next_timer(vms) {
            self.timers.set_once(next, Timer::Quota);
        }
    }

    /// Collects the tokens that other VMs and this one do not need.
    fn start_collection(&mut self, out: &mut Effects) {
        let number = self.rng.random();
        let me = self.settings.vm.clone();
        let peers: Vec<Vm> = self.peers().cloned().collect();
        let asked = peers.iter().chain([&me]).cloned().collect();
        let accounts = self.quota.pools.start_collection(self.now, asked, number);
        for vm in peers {
            self.send(&vm, Message::CollectTokens(number, accounts.clone()), out);
        }
        let own_surplus = self.take_surplus(&accounts);
        self.handle_surplus_tokens(&me, number, &own_surplus, out);
    }

    /// Adds the tokens that a VM does not need to the pools, and grants them to waiting token requests.
    pub(crate) fn handle_surplus_tokens(
        &mut self,
        from: &Vm,
        number: u64,
        surplus: &[(Tenant, Tokens)],
        out: &mut Effects,
    ) {
        let mut answers = Vec::new();
        let pools = &mut self.quota.pools;
        pools.add_surplus(from, number, surplus, &mut answers);
        self.send_token_grants(answers, out);
    }

    /// Sends answers of the pools to the VMs that asked for tokens.
    pub(super) fn send_token_grants(&mut self, answers: Vec<Answer>, out: &mut Effects) {
        let me = self.settings.vm.clone();
        for (vm, grant) in answers {
            if let Err(after) = grant.answer {
                self.log_limit_reached(&grant.account, &vm, after, out);
            }
            if vm == me {
                self.handle_token_grant(&grant, out);
            } else {
                self.send(&vm, Message::TokenGrant(grant), out);
            }
        }
    }

    /// Logs that an account is at its limit, at most once in [`LOG_INTERVAL`].
    fn log_limit_reached(&mut self, account: &Tenant, vm: &Vm, after: Span, out: &mut Effects) {
        let now = self.now;
        let share = self.quota.shares.get_mut(account);
        let Some(share) = share.filter(|share| now >= share.logged + LOG_INTERVAL) else {
            return;
        };
        share.logged = now;
        let TokenLimit { rate, burst } = share.limit;
        let detail = format!("account={account} rate={rate} burst={burst} vm={vm} after={after}");
        Self::log(out, Code::LimitReached, detail);
    }
}
