//! The VM that keeps the pool: it answers draws, and collects what other VMs and itself don't need.

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

/// The least time between two lines on an account that is at its limit.
const TOLD_AGAIN: Span = Span::from_secs(1);

impl Gateway {
    /// A VM draws from the pool that this one keeps.
    pub(crate) fn drawn(&mut self, from: &Vm, draw: TokenRequest, out: &mut Effects) {
        let vms = self.fleet();
        let Some(share) = self.quota.shares.get_mut(&draw.account) else {
            // This VM's configuration is older or newer; the one that draws asks again elsewhere.
            return;
        };
        let terms = Allowance::new(share.limit, &self.settings.tuning).pool();
        let mut answers = Vec::new();
        let pools = &mut self.quota.pools;
        pools.draw(self.now, from.clone(), draw, terms, vms, &mut answers);
        self.answer_draws(answers, out);
        self.collect(out);
    }

    /// Collects what other VMs and this one don't need, where the pool is low.
    pub(super) fn collect(&mut self, out: &mut Effects) {
        let vms = self.fleet();
        if self.quota.pools.is_due(self.now, vms) {
            self.collect_from_all(out);
        }
        if let Some(next) = self.quota.pools.next(vms) {
            self.timers.set_once(next, Timer::Quota);
        }
    }

    fn collect_from_all(&mut self, out: &mut Effects) {
        let number = self.rng.random();
        let me = self.settings.vm.clone();
        let peers: Vec<Vm> = self.peers().cloned().collect();
        let asked = peers.iter().chain([&me]).cloned().collect();
        let accounts = self.quota.pools.begin(self.now, asked, number);
        for vm in peers {
            self.send(&vm, Message::CollectTokens(number, accounts.clone()), out);
        }
        let own = self.surplus(&accounts);
        self.deposited(&me, number, &own, out);
    }

    /// A VM gives what it does not need.
    pub(crate) fn deposited(
        &mut self,
        from: &Vm,
        number: u64,
        deposits: &[(Tenant, Tokens)],
        out: &mut Effects,
    ) {
        let mut answers = Vec::new();
        let pools = &mut self.quota.pools;
        pools.deposit(from, number, deposits, &mut answers);
        self.answer_draws(answers, out);
    }

    pub(super) fn answer_draws(&mut self, answers: Vec<Answer>, out: &mut Effects) {
        let me = self.settings.vm.clone();
        for (vm, grant) in answers {
            if let Err(after) = grant.answer {
                self.note_limit(&grant.account, &vm, after, out);
            }
            if vm == me {
                self.granted(&grant, out);
            } else {
                self.send(&vm, Message::TokenGrant(grant), out);
            }
        }
    }

    /// Writes a line on an account that is at its limit.
    fn note_limit(&mut self, account: &Tenant, vm: &Vm, after: Span, out: &mut Effects) {
        let now = self.now;
        let share = self.quota.shares.get_mut(account);
        let Some(share) = share.filter(|share| now >= share.told + TOLD_AGAIN) else {
            return;
        };
        share.told = now;
        let TokenLimit { rate, burst } = share.limit;
        let detail = format!("account={account} rate={rate} burst={burst} vm={vm} after={after}");
        Self::log(out, Code::LimitReached, detail);
    }
}
