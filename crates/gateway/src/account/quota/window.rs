//! Limits of client accounts as sliding windows over all VMs.
//!
//! Each VM that holds a share of an account counts what it uses and lends of it in a sliding window ([`share`]). A VM
//! that runs short asks the account's broker, which passes on what holders lend ([`broker`], [`loan`]). Tokens move
//! between VMs only as loans that expire, so the sum of what all VMs use in a window is at most the sum of the shares,
//! whichever VM is the broker and whatever happens to messages, links and processes.
//!
//! Designed for 16 accounts with limits from some thousand to a million tokens per second over 70 to 720 VMs. An account
//! whose requests find enough in the shares of their VMs causes no messages, and one that is idle has no cost.

mod broker;
mod holders;
pub mod loan;
pub mod share;
pub mod urgency;

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use self::broker::{Broker, Terms};
use self::loan::{LendAnswer, LendRequest, LoanAnswer, LoanRequest, Purse, Shortage};
use self::share::Share;
use self::urgency::Demand;
use super::{MAX_ATTEMPTS, RETRY_AFTER, STARTUP_DELAY, VM_COUNT_MAX_AGE};
use crate::account::{TokenLimit, TokenRate, Tokens, Unit};
use crate::effect::Effects;
use crate::event::RequestId;
use crate::feature::Feature;
use crate::message::Message;
use crate::metrics;
use crate::node::Gateway;
use crate::request::state::{Phase, RequestState};
use crate::timer::Timer;

/// The time for which a VM waits for the broker's answer before it asks another VM: the broker's rounds of questions and
/// their margin.
const ANSWER_TIME: Span = Span::from_millis(330);

/// The number of VMs that are asked for a loan while the links to them turn out to be down, which is known at once. Of a
/// third of the VMs that are cut off from the others, 8 attempts reach one with a probability of 0.96.
const MAX_LINK_ATTEMPTS: u32 = 8;

/// The bounds of the time for which a VM refuses requests without asking the broker, after the broker had nothing to
/// lend. The time doubles with each refusal, so that in a long flood a VM asks about once a second per account; its own
/// share is used as soon as it has tokens.
const REFUSAL_TIME: (Span, Span) = (Span::from_millis(50), Span::from_millis(800));

/// The time for which a VM collects requests that run short before it asks for a loan: callers often send a few at once,
/// which come over several connections.
const GATHER_TIME: Span = Span::from_millis(2);

/// The least time between two log lines on the limit of one account.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// The least time between two log lines on this VM's share of one account.
const SHARE_LOG_INTERVAL: Span = Span::from_secs(10);

/// What was charged for a request, to be given back if it does not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    /// When it was charged.
    at: Instant,
    /// The tokens of this VM's share.
    own: Tokens,
    /// The borrowed tokens.
    borrowed: Tokens,
    /// The time until which the borrowed tokens can be used.
    until: Instant,
}

/// A caller's request that waits for a loan.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// The request.
    request: RequestId,
    /// The number of tokens that it costs.
    cost: Tokens,
    /// Its priority.
    priority: u8,
}

/// A loan request without an answer.
#[derive(Clone, Debug)]
struct Asked {
    /// The number of the loan request.
    number: u64,
    /// The VM that was asked.
    broker: Vm,
    /// The time at which it was asked.
    at: Instant,
    /// The priority that the tokens are for.
    priority: u8,
    /// The number of VMs that were asked without an answer, including this one.
    attempts: u32,
}

/// The event after which a VM asks for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// A caller's request.
    Arrival,
    /// The broker's answer to the loan request before, which did not suffice for all that waited.
    Answer,
    /// A loan request without an answer, with the number of VMs that were asked by then.
    Silence(u32),
}

/// A refusal of the broker, and for how long it holds.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    /// The most urgent priority that was refused; less urgent requests are refused too.
    priority: u8,
    /// The time until which the broker is not asked.
    until: Instant,
    /// The time from which callers may retry.
    retry_at: Instant,
    /// The duration of the present refusal; doubles while the broker refuses again.
    duration: Span,
}

/// What this VM knows of an account with a limit.
#[derive(Debug)]
struct Account {
    /// The limit over all VMs.
    limit: TokenLimit,
    /// What the limit counts.
    unit: Unit,
    /// This VM's share; empty if the VM holds none.
    share: Share,
    /// The time at which the share was created.
    created: Instant,
    /// The time at which the size of the share was last computed.
    resized: Instant,
    /// Borrowed tokens.
    purse: Purse,
    /// What this VM's callers asked for, by priority.
    demand: Demand,
    /// Requests that wait for a loan, the most urgent first.
    waiting: VecDeque<Waiting>,
    /// The time until which requests that run short are collected for the next loan request.
    gathers_until: Option<Instant>,
    /// The loan request in progress.
    asked: Option<Asked>,
    /// The broker's last refusal.
    refused: Refused,
    /// What was counted since the last log line on the share.
    counts: Counts,
}

/// What was counted of an account since the last log line on its share.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// The start of the count.
    since: Instant,
    /// Tokens that were borrowed.
    borrowed: u64,
    /// Tokens that were lent.
    lent: u64,
    /// Requests that were refused to keep tokens for more urgent ones.
    reserved: u64,
}

/// The accounts with limits, and their brokers if this VM is one.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The accounts by name.
    accounts: BTreeMap<Tenant, Account>,
    /// The brokers by account.
    brokers: BTreeMap<Tenant, Broker>,
}

impl Account {
    fn new(limit: TokenLimit, unit: Unit, window: Span, now: Instant) -> Self {
        Self {
            limit,
            unit,
            share: Share::new(window, now),
            created: now,
            resized: Instant::default(),
            purse: Purse::default(),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            gathers_until: None,
            asked: None,
            refused: Refused::default(),
            counts: Counts::default(),
        }
    }

    /// Returns the number of tokens that this VM can use now.
    fn available(&mut self, now: Instant) -> u64 {
        self.purse.total(now).0 + self.share.free(now).0
    }

    /// Uses tokens, borrowed ones first, if what remains covers what more urgent requests asked for.
    fn pay(&mut self, now: Instant, cost: Tokens, priority: u8) -> Option<Charge> {
        let reserve = self.demand.more_urgent(now, priority);
        if self.available(now) < cost.0 + reserve.0 {
            return None;
        }
        let (borrowed, until) = self.purse.take(now, cost);
        let own = Tokens(cost.0 - borrowed.0);
        let is_paid = self.share.take(now, own);
        debug_assert!(is_paid, "the share has the tokens that it counted as free");
        Some(Charge {
            at: now,
            own,
            borrowed,
            until,
        })
    }

    /// Describes the share for the log: its size, its free tokens, and those that are used or lent.
    fn share_detail(&self, name: &Tenant, now: Instant) -> String {
        let (size, free) = (self.share.size(now), self.share.free(now));
        let Counts {
            borrowed,
            lent,
            reserved,
            ..
        } = self.counts;
        format!(
            "account={name} share={size:.0} free={free} used={} borrowed={borrowed} lent={lent} reserved={reserved}",
            self.share.used()
        )
    }

    /// Takes the waiting requests whose priority is `priority` or less urgent.
    fn drain_from(&mut self, priority: u8) -> VecDeque<Waiting> {
        let first = self.waiting.partition_point(|w| w.priority < priority);
        self.waiting.split_off(first)
    }
}

impl Gateway {
    /// Returns whether limits are enforced as sliding windows.
    pub(super) fn uses_window(&self) -> bool {
        self.settings.uses(Feature::WindowQuota)
    }

    /// Applies the limits of a new configuration. Waiting requests of accounts that no longer have a limit proceed
    /// without a charge.
    pub(super) fn apply_window_limits(&mut self, out: &mut Effects) {
        let (now, window) = (self.now, self.settings.tuning.quota_window);
        let mut old = std::mem::take(&mut self.quota.window.accounts);
        let config = self.config.clone();
        for configured in config.iter().flat_map(|c| c.accounts.iter().flatten()) {
            let Some(limit) = configured.limit else {
                continue;
            };
            let account = old.remove(&configured.name);
            let account =
                account.unwrap_or_else(|| Account::new(limit, configured.unit, window, now));
            let account = Account {
                limit,
                unit: configured.unit,
                resized: Instant::default(),
                ..account
            };
            let accounts = &mut self.quota.window.accounts;
            accounts.insert(configured.name.clone(), account);
        }
        self.quota.vm_count = None;
        let accounts: Vec<Tenant> = self.quota.window.accounts.keys().cloned().collect();
        for account in accounts {
            self.resize_share(&account);
        }
        let remaining = &self.quota.window.accounts;
        self.quota
            .window
            .brokers
            .retain(|name, _| remaining.contains_key(name));
        let unlimited = old.into_values().flat_map(|account| account.waiting);
        let unlimited: Vec<RequestId> = unlimited.map(|waiting| waiting.request).collect();
        for request in unlimited {
            self.find_server(request, out);
        }
    }

    /// Charges a request to its account, or waits for a loan, or refuses it.
    pub(super) fn charge_window(&mut self, request: RequestId, out: &mut Effects) {
        let now = self.now;
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let name = state.account.as_ref().map(|account| account.name.clone());
        let Some(name) = name.filter(|name| self.quota.window.accounts.contains_key(name)) else {
            self.find_server(request, out);
            return;
        };
        let waiting = Waiting {
            request,
            cost: state.cost,
            priority: self.charge_priority(state),
        };
        self.resize_share(&name);
        let borrows = self.settings.uses(Feature::TokenPool);
        let Some(account) = self.quota.window.accounts.get_mut(&name) else {
            return;
        };
        account.demand.record(now, waiting.priority, waiting.cost);
        if now.since(account.counts.since) >= SHARE_LOG_INTERVAL {
            Self::log(out, Code::AccountShare, account.share_detail(&name, now));
            account.counts = Counts {
                since: now,
                ..Counts::default()
            };
        }
        let refused = account.refused;
        metrics::count_lapsed(out, &name, account.purse.take_lapsed());
        match account.pay(now, waiting.cost, waiting.priority) {
            Some(charge) => self.admit_window(request, charge, out),
            None if now < refused.until && waiting.priority >= refused.priority => {
                self.refuse_over_limit(request, refused.retry_at.since(now), out);
            }
            None if !borrows => self.refuse_over_limit(request, RETRY_AFTER, out),
            None => {
                let at = account
                    .waiting
                    .partition_point(|w| w.priority <= waiting.priority);
                account.waiting.insert(at, waiting);
                if account.asked.is_none() && account.gathers_until.is_none() {
                    account.gathers_until = Some(now + GATHER_TIME);
                    self.timers.set_once(now + GATHER_TIME, Timer::Quota);
                }
                if let Some(state) = self.in_flight.get_mut(&request) {
                    state.phase = Phase::Charging;
                }
            }
        }
    }

    /// Returns the priority of a request among those of its account. It counts from the most urgent route of the
    /// request's service: requests of different services do not compete for servers, and a request to a plain service
    /// costs a small part of the tokens of a prompt.
    fn charge_priority(&self, state: &RequestState) -> u8 {
        let has_own = state
            .account
            .as_ref()
            .is_some_and(|account| account.priority.is_some());
        if has_own || !self.settings.uses(Feature::QuotaPriority) {
            return 0;
        }
        self.index
            .levels_below_first(&state.service, state.priority)
    }

    /// Marks a request as charged and looks for a server.
    fn admit_window(&mut self, request: RequestId, charge: Charge, out: &mut Effects) {
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.charge = charge;
            if charge.borrowed > Tokens(0) {
                let account = state.account.as_ref().map(|account| &account.name);
                metrics::count_tokens(out, account, charge.borrowed, "borrowed");
            }
        }
        self.admit_charged(request, out);
    }

    /// Gives back the tokens of a request that did not run: those of the share to the time at which they were used, and
    /// borrowed ones for as long as they can be used.
    pub(super) fn refund_window(&mut self, account: &Tenant, charge: Charge) {
        let now = self.now;
        if let Some(account) = self.quota.window.accounts.get_mut(account) {
            account.share.give_back(charge.at, charge.own);
            account.purse.add(now, charge.until, charge.borrowed);
        }
    }

    /// Computes the size of this VM's share of an account, unless that was done within [`VM_COUNT_MAX_AGE`].
    fn resize_share(&mut self, name: &Tenant) {
        let now = self.now;
        let delay = if self.quota.restarted {
            Span::ZERO
        } else {
            STARTUP_DELAY
        };
        let started = self.quota.started + delay;
        let Some(account) = self.quota.window.accounts.get(name) else {
            return;
        };
        if account.resized > Instant::default() && now.since(account.resized) < VM_COUNT_MAX_AGE {
            return;
        }
        let vms = self.vm_count();
        let Some(account) = self.quota.window.accounts.get(name) else {
            return;
        };
        let tuning = &self.settings.tuning;
        let tokens = holders::window_tokens(account.limit, tuning);
        let count = holders::count(tokens, account.unit, vms);
        let size = tokens / size_as_f64(count);
        let is_holder = count == vms || self.is_holder(name, count);
        let window = tuning.quota_window;
        if let Some(account) = self.quota.window.accounts.get_mut(name) {
            account.share.set_started(account.created.max(started));
            account
                .share
                .resize(now, if is_holder { size } else { 0.0 }, window);
            account.resized = now;
        }
    }

    /// Returns whether this VM is one of the `count` holders of shares of an account.
    fn is_holder(&self, account: &Tenant, count: usize) -> bool {
        let me = &self.settings.vm;
        let own_rank = holders::rank(account, me);
        let others = self.membership.recent_vms(self.now, me);
        others
            .filter(|vm| holders::rank(account, vm) < own_rank)
            .take(count)
            .count()
            < count
    }

    /// Asks the broker for the tokens of the most urgent waiting requests, unless a request for a loan is in progress.
    /// Admits those that can be paid in the meantime.
    fn borrow_tokens(&mut self, name: &Tenant, trigger: Trigger, out: &mut Effects) {
        self.admit_waiting(name, out);
        let (now, number) = (self.now, self.rng.random());
        let broker = self.broker(name);
        let Some(account) = self.quota.window.accounts.get_mut(name) else {
            return;
        };
        let Some(first) = account.waiting.front().copied() else {
            return;
        };
        if account.asked.is_some() {
            return;
        }
        account.gathers_until = None;
        let same = account
            .waiting
            .iter()
            .take_while(|w| w.priority == first.priority);
        let all: u64 = same.map(|w| w.cost.0).sum();
        let reserve = account.demand.more_urgent(now, first.priority).0;
        let borrowed = account.purse.total(now).0;
        let (cause, attempts) = match trigger {
            Trigger::Arrival if account.share.size(now) < 1.0 => ("no_share", 1),
            Trigger::Arrival => ("short", 1),
            Trigger::Answer => ("again", 1),
            Trigger::Silence(attempts) => ("unanswered", attempts + 1),
        };
        let loan_request = LoanRequest {
            account: name.clone(),
            number,
            // What is free here may be lent before the answer comes.
            tokens: Tokens((first.cost.0 + reserve).saturating_sub(borrowed)),
            extra: Tokens(all - first.cost.0),
            priority: first.priority,
        };
        account.asked = Some(Asked {
            number,
            broker: broker.clone(),
            at: now,
            priority: first.priority,
            attempts,
        });
        metrics::count_loan_request(out, name, cause);
        if broker == self.settings.vm {
            self.handle_loan_request(&broker, loan_request, out);
        } else {
            self.timers.set_once(now + ANSWER_TIME, Timer::Quota);
            self.send(&broker, Message::LoanRequest(loan_request), out);
        }
    }

    /// Admits the waiting requests that can be paid, the most urgent first.
    fn admit_waiting(&mut self, name: &Tenant, out: &mut Effects) {
        let now = self.now;
        let mut admitted = Vec::new();
        let in_flight = &self.in_flight;
        let Some(account) = self.quota.window.accounts.get_mut(name) else {
            return;
        };
        account
            .waiting
            .retain(|w| in_flight.contains_key(&w.request));
        while let Some(first) = account.waiting.front().copied()
            && let Some(charge) = account.pay(now, first.cost, first.priority)
        {
            account.waiting.pop_front();
            admitted.push((first.request, charge));
        }
        for (request, charge) in admitted {
            self.admit_window(request, charge, out);
        }
    }

    /// Handles the broker's answer to a loan request of this VM. Each answer counts once.
    pub(crate) fn handle_loan_answer(&mut self, answer: &LoanAnswer, out: &mut Effects) {
        let now = self.now;
        let Some(account) = self.quota.window.accounts.get_mut(&answer.account) else {
            return;
        };
        let Some(asked) = account.asked.take_if(|asked| asked.number == answer.number) else {
            return;
        };
        match answer.answer {
            Ok((tokens, usable)) => {
                account.refused.duration = Span::ZERO;
                account.counts.borrowed += tokens.0;
                account.purse.add(now, asked.at + usable, tokens);
                self.borrow_tokens(&answer.account, Trigger::Answer, out);
            }
            Err(shortage) => {
                let doubled = account.refused.duration.times(2);
                let duration = doubled.clamp(REFUSAL_TIME.0, REFUSAL_TIME.1);
                account.refused = Refused {
                    priority: asked.priority,
                    until: now + duration.max(shortage.none_for).min(REFUSAL_TIME.1),
                    retry_at: now + shortage.retry_after,
                    duration,
                };
                self.refuse_waiting(&answer.account, asked.priority, shortage, out);
                self.borrow_tokens(&answer.account, Trigger::Answer, out);
            }
        }
    }

    /// Refuses the waiting requests of an account whose priority is `priority` or less urgent.
    fn refuse_waiting(
        &mut self,
        name: &Tenant,
        priority: u8,
        shortage: Shortage,
        out: &mut Effects,
    ) {
        let Some(account) = self.quota.window.accounts.get_mut(name) else {
            return;
        };
        let refused = account.drain_from(priority);
        if shortage.reserved {
            account.counts.reserved += refused.len() as u64;
        }
        for waiting in refused {
            if shortage.reserved {
                metrics::count_tokens(out, Some(name), waiting.cost, "reserved");
            }
            self.refuse_over_limit(waiting.request, shortage.retry_after, out);
        }
    }

    /// Handles the request of a VM that considers this VM the broker of an account.
    pub(crate) fn handle_loan_request(
        &mut self,
        from: &Vm,
        loan_request: LoanRequest,
        out: &mut Effects,
    ) {
        let name = loan_request.account.clone();
        let Some(terms) = self.broker_terms(&name) else {
            // The two VMs have different versions of the configuration. The sender asks another VM after its timeout.
            return;
        };
        let mut answers = Vec::new();
        let broker = self.quota.window.brokers.entry(name.clone()).or_default();
        broker.request(self.now, from, loan_request, &terms, &mut answers);
        self.send_loan_answers(answers, out);
        self.run_broker(&name, out);
    }

    /// Returns what the broker of an account needs to know of its shares; none if the account has no limit.
    fn broker_terms(&mut self, name: &Tenant) -> Option<Terms> {
        let vms = self.vm_count();
        let account = self.quota.window.accounts.get(name)?;
        let tuning = &self.settings.tuning;
        let tokens = holders::window_tokens(account.limit, tuning);
        let count = holders::count(tokens, account.unit, vms);
        Some(Terms {
            share: tokens / size_as_f64(count),
            window: tuning.quota_window,
            rate: tokens / tuning.quota_window.as_secs_f64(),
        })
    }

    /// Asks lenders for what the broker of an account needs.
    fn run_broker(&mut self, name: &Tenant, out: &mut Effects) {
        let now = self.now;
        while let Some(broker) = self.quota.window.brokers.get(name)
            && broker.needs_round()
            && let Some(terms) = self.broker_terms(name)
        {
            let holders = self.reachable_holders(name);
            let number = self.rng.random();
            let mut answers = Vec::new();
            let Some(broker) = self.quota.window.brokers.get_mut(name) else {
                return;
            };
            let lenders = broker.start_round(now, number, &holders, &terms, &mut answers);
            metrics::count_lapsed(out, name, broker.take_lapsed());
            if let Some(deadline) = broker.deadline() {
                self.timers.set_once(deadline, Timer::Quota);
            }
            self.send_loan_answers(answers, out);
            for (vm, tokens) in lenders {
                let lend_request = LendRequest {
                    account: name.clone(),
                    number,
                    tokens,
                };
                if vm == self.settings.vm {
                    self.handle_lend_request(&vm, &lend_request, out);
                } else {
                    self.send(&vm, Message::LendRequest(lend_request), out);
                }
            }
        }
    }

    /// Returns the holders of shares of an account whose links are not down, in the order of the hash.
    fn reachable_holders(&mut self, name: &Tenant) -> Vec<Vm> {
        let vms = self.vm_count();
        let Some(account) = self.quota.window.accounts.get(name) else {
            return Vec::new();
        };
        let tokens = holders::window_tokens(account.limit, &self.settings.tuning);
        let count = holders::count(tokens, account.unit, vms);
        let me = &self.settings.vm;
        let all = self.membership.recent_vms(self.now, me).chain([me]);
        let mut ranked: Vec<(u64, Vm)> = all.map(|vm| holders::rank(name, vm)).collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        let holders = ranked.into_iter().map(|(_, vm)| vm);
        holders.filter(|vm| !self.membership.is_down(vm)).collect()
    }

    /// Lends free tokens of this VM's share to a broker.
    pub(crate) fn handle_lend_request(
        &mut self,
        from: &Vm,
        lend_request: &LendRequest,
        out: &mut Effects,
    ) {
        let (now, name) = (self.now, &lend_request.account);
        self.resize_share(name);
        let Some(account) = self.quota.window.accounts.get_mut(name) else {
            return;
        };
        let tokens = account.share.lend(now, lend_request.tokens);
        account.counts.lent += tokens.0;
        let left = account.share.free(now);
        let in_a_second = account.share.free(now + Span::from_secs(1));
        let answer = LendAnswer {
            account: name.clone(),
            number: lend_request.number,
            tokens,
            left,
            growth: TokenRate(in_a_second.0.saturating_sub(left.0)),
        };
        if tokens > Tokens(0) {
            metrics::count_tokens(out, Some(name), tokens, "lent");
        }
        if *from == self.settings.vm {
            self.handle_lend_answer(from, &answer, out);
        } else {
            self.send(from, Message::LendAnswer(answer), out);
        }
    }

    /// Handles a lender's answer to the broker on this VM.
    pub(crate) fn handle_lend_answer(&mut self, from: &Vm, answer: &LendAnswer, out: &mut Effects) {
        let now = self.now;
        let mut answers = Vec::new();
        if let Some(broker) = self.quota.window.brokers.get_mut(&answer.account) {
            broker.lent(now, from, answer, &mut answers);
        }
        self.send_loan_answers(answers, out);
        self.run_broker(&answer.account, out);
    }

    /// Sends the answers of a broker to the VMs that asked.
    fn send_loan_answers(&mut self, answers: Vec<broker::Answer>, out: &mut Effects) {
        for (vm, answer) in answers {
            if let Err(shortage) = answer.answer {
                self.log_shortage(&answer.account, &vm, shortage, out);
            }
            if vm == self.settings.vm {
                self.handle_loan_answer(&answer, out);
            } else {
                self.send(&vm, Message::LoanAnswer(answer), out);
            }
        }
    }

    /// Logs that an account is at its limit, at most once in [`LOG_INTERVAL`].
    fn log_shortage(&mut self, name: &Tenant, vm: &Vm, shortage: Shortage, out: &mut Effects) {
        let now = self.now;
        let Some(account) = self.quota.window.accounts.get(name) else {
            return;
        };
        let TokenLimit { rate, burst } = account.limit;
        let broker = self.quota.window.brokers.get_mut(name);
        let Some(broker) = broker.filter(|broker| now >= broker.logged + LOG_INTERVAL) else {
            return;
        };
        broker.logged = now;
        let (after, reserved) = (shortage.retry_after, shortage.reserved);
        let detail = format!(
            "account={name} rate={rate} burst={burst} vm={vm} after={after} reserved={reserved}"
        );
        Self::log(out, Code::LimitReached, detail);
    }

    /// Returns the broker of an account, as this VM sees it: of the VMs that are present, those that run no scheduler
    /// come first, then those with the highest strength, then the first by rendezvous hashing of the account.
    fn broker(&self, account: &Tenant) -> Vm {
        self.first_helper(|vm| broker::choice(account, vm))
    }

    /// Handles the quota timer: ends the rounds of brokers whose time is over, and asks another VM where the broker's
    /// answer is overdue.
    pub(super) fn handle_window_timer(&mut self, out: &mut Effects) {
        let now = self.now;
        let brokers: Vec<Tenant> = self.quota.window.brokers.keys().cloned().collect();
        for name in brokers {
            let mut answers = Vec::new();
            if let Some(broker) = self.quota.window.brokers.get_mut(&name) {
                broker.expire(now, &mut answers);
            }
            self.send_loan_answers(answers, out);
            self.run_broker(&name, out);
        }
        self.retry_loans(MAX_ATTEMPTS, |asked| asked.at + ANSWER_TIME <= now, out);
        let mut gathered = Vec::new();
        for (name, account) in &mut self.quota.window.accounts {
            if account
                .gathers_until
                .take_if(|until| *until <= now)
                .is_some()
            {
                gathered.push(name.clone());
            }
        }
        for name in gathered {
            self.borrow_tokens(&name, Trigger::Arrival, out);
        }
        let deadlines = self
            .quota
            .window
            .brokers
            .values()
            .filter_map(Broker::deadline);
        let accounts = self.quota.window.accounts.values();
        let answers = accounts.flat_map(|account| {
            let answer = account.asked.as_ref().map(|asked| asked.at + ANSWER_TIME);
            answer.into_iter().chain(account.gathers_until)
        });
        if let Some(next) = deadlines.chain(answers).min() {
            self.timers.set_once(next, Timer::Quota);
        }
    }

    /// Handles the loss of the connection to a VM.
    pub(super) fn window_vm_down(&mut self, vm: &Vm, out: &mut Effects) {
        let now = self.now;
        let brokers: Vec<Tenant> = self.quota.window.brokers.keys().cloned().collect();
        for name in brokers {
            let mut answers = Vec::new();
            if let Some(broker) = self.quota.window.brokers.get_mut(&name) {
                broker.remove_vm(now, vm, &mut answers);
            }
            self.send_loan_answers(answers, out);
            self.run_broker(&name, out);
        }
        self.retry_loans(MAX_LINK_ATTEMPTS, |asked| asked.broker == *vm, out);
    }

    /// Excludes the brokers of the loan requests that `has_failed` selects and asks another VM, or refuses the waiting
    /// requests after `max_attempts`.
    fn retry_loans(
        &mut self,
        max_attempts: u32,
        has_failed: impl Fn(&Asked) -> bool,
        out: &mut Effects,
    ) {
        let now = self.now;
        let mut failed = Vec::new();
        for (name, account) in &mut self.quota.window.accounts {
            if let Some(asked) = account.asked.take_if(|asked| has_failed(asked)) {
                failed.push((name.clone(), asked));
            }
        }
        for (name, asked) in failed {
            self.exclude_pool_owner(&name, &asked.broker, out);
            if asked.attempts < max_attempts {
                self.borrow_tokens(&name, Trigger::Silence(asked.attempts), out);
                continue;
            }
            let shortage = Shortage {
                none_for: Span::ZERO,
                retry_after: RETRY_AFTER,
                reserved: false,
            };
            self.refuse_waiting(&name, 0, shortage, out);
            if let Some(account) = self.quota.window.accounts.get_mut(&name) {
                account.refused = Refused {
                    until: now + REFUSAL_TIME.0,
                    retry_at: now + RETRY_AFTER,
                    ..Refused::default()
                };
            }
        }
    }
}

/// Returns a number of VMs as a float.
#[allow(clippy::cast_precision_loss)]
fn size_as_f64(vms: usize) -> f64 {
    vms as f64
}
