//! The broker of one account: finds tokens for VMs that run short.
//!
//! Designed for accounts of which up to some hundred VMs run short per second, where almost always one or two lenders
//! have what is needed. The broker has no tokens of its own and nothing depends on there being only one: it passes on
//! what holders of shares lend, within the time for which that can be used. What it knows of the holders is bounded by
//! [`MAX_REPORTS`] and only saves questions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};

use super::loan::{LendAnswer, LoanAnswer, LoanRequest, Purse, Shortage};
use super::share::{BURST_FRACTION, floor};
use super::urgency::Demand;
use crate::account::quota::bucket::time_until_available;
use crate::account::{TokenRate, Tokens};

/// The time for which tokens can be used, counted from the broker's question to the lender:
/// [`LOAN_TIME`](super::share::LOAN_TIME) less a margin
/// for clocks that run at different rates.
const USABLE_TIME: Span = Span::from_millis(475);

/// The least remaining time of use of tokens that are passed on: a message's way on a busy VM and the time to charge a
/// request.
const MIN_USABLE_TIME: Span = Span::from_millis(100);

/// The time for which the broker waits for lenders in one round: some round trips between zones, on a busy VM.
const ROUND_TIME: Span = Span::from_millis(70);

/// The number of rounds in which lenders are asked before a request is refused.
const MAX_ROUNDS: u32 = 4;

/// The number of lenders that are asked in one round.
const LENDERS_PER_ROUND: usize = 16;

/// The time for which a report tells what a holder has.
const REPORT_TIME: Span = Span::from_secs(1);

/// The weight of a new value in the moving average of what lenders without a recent report lent.
const YIELD_WEIGHT: f64 = 0.2;

/// The least fraction that lenders without a recent report are expected to lend, so that they are asked again after a
/// flood.
const LEAST_YIELD: f64 = 0.1;

/// A holder is not asked for less than the needed tokens divided by this number: a question costs two messages.
const LEAST_LOAN_DIVISOR: u64 = 24;

/// The number of holders of shares of which the broker remembers what they last reported.
const MAX_REPORTS: usize = 1_024;

/// The bounds of the time for which requests are refused without asking lenders, after none had enough.
const NONE_FOR: (Span, Span) = (Span::from_millis(20), Span::from_millis(250));

/// Limit on the time after which a caller is told to retry.
const MAX_RETRY_AFTER: Span = Span::from_secs(5);

/// What a holder of a share last reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// The number of tokens that it could lend.
    left: Tokens,
    /// The tokens per second by which that number grows.
    growth: TokenRate,
    /// The time of the report.
    at: Instant,
}

/// A loan request that waits for lenders.
#[derive(Debug)]
struct Queued {
    /// The VM that sent it.
    from: Vm,
    /// The request.
    request: LoanRequest,
    /// The time at which it arrived.
    arrived: Instant,
}

/// A round of questions to lenders.
#[derive(Debug)]
struct Round {
    /// The number that identifies the answers.
    number: u64,
    /// The start of the round.
    started: Instant,
    /// The lenders that have not answered, each with the number of tokens that it was assumed to have without a recent
    /// report, or 0.
    unanswered: BTreeMap<Vm, f64>,
}

/// What the broker needs to know of an account's shares.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    /// The number of tokens of each share.
    pub(super) share: f64,
    /// The length of the window.
    pub(super) window: Span,
    /// The rate at which the account's tokens become free in the long run.
    pub(super) rate: f64,
}

/// An answer to a loan request, and the VM that sent the request.
pub(super) type Answer = (Vm, LoanAnswer);

/// The broker of one account.
#[derive(Debug)]
pub(super) struct Broker {
    /// Tokens that lenders lent and that were not passed on yet.
    pool: Purse,
    /// The loan requests that wait, in order of arrival.
    queue: VecDeque<Queued>,
    /// The questions in progress.
    round: Option<Round>,
    /// The number of rounds since the queue was last empty.
    rounds: u32,
    /// The lenders asked since the queue was last empty.
    asked: BTreeSet<Vm>,
    /// What holders last reported.
    reports: BTreeMap<Vm, Report>,
    /// The fraction of the tokens assumed without a recent report that was lent in the last rounds: near 1 in a calm
    /// time, and small in a flood.
    yielded: f64,
    /// The time until which no holder is expected to have free tokens.
    none_until: Instant,
    /// The time up to which the account's tokens are reserved for callers that were refused with a retry time.
    reserved_until: Instant,
    /// What the loan requests asked for, by priority.
    demand: Demand,
    /// The time of the last log line on the account's limit.
    pub(super) logged: Instant,
}

impl Default for Broker {
    fn default() -> Self {
        Self {
            pool: Purse::default(),
            queue: VecDeque::new(),
            round: None,
            rounds: 0,
            asked: BTreeSet::new(),
            reports: BTreeMap::new(),
            yielded: 1.0,
            none_until: Instant::default(),
            reserved_until: Instant::default(),
            demand: Demand::default(),
            logged: Instant::default(),
        }
    }
}

impl Broker {
    /// Handles a loan request: answers it at once, or queues it until lenders have been asked.
    pub(super) fn request(
        &mut self,
        now: Instant,
        from: &Vm,
        request: LoanRequest,
        terms: &Terms,
        out: &mut Vec<Answer>,
    ) {
        self.demand.record(now, request.priority, request.tokens);
        let reserve = self.demand.more_urgent(now, request.priority).0;
        let pooled = self.pooled(now).0;
        if now < self.none_until && pooled < request.tokens.0 + reserve {
            let reserved = pooled >= request.tokens.0;
            let refusal = self.refuse(now, &request, reserved, terms);
            out.push((from.clone(), refusal));
            return;
        }
        let at = self
            .queue
            .partition_point(|queued| queued.request.priority <= request.priority);
        let queued = Queued {
            from: from.clone(),
            request,
            arrived: now,
        };
        self.queue.insert(at, queued);
        self.serve(now, false, out);
    }

    /// Returns whether lenders are to be asked.
    pub(super) fn needs_round(&self) -> bool {
        self.round.is_none() && !self.queue.is_empty()
    }

    /// Starts a round of questions to some of the `holders`. Returns each lender with the number of tokens to ask it
    /// for. If there is none left to ask, refuses the queued requests.
    pub(super) fn start_round(
        &mut self,
        now: Instant,
        number: u64,
        holders: &[Vm],
        terms: &Terms,
        out: &mut Vec<Answer>,
    ) -> Vec<(Vm, Tokens)> {
        self.refuse_less_urgent(now, holders, terms, out);
        let queued = self.queue.iter().map(|queued| &queued.request);
        let needed: u64 = queued.clone().map(|request| request.tokens.0).sum();
        let extra: u64 = queued.map(|request| request.extra.0).sum();
        let least_loan = (needed / LEAST_LOAN_DIVISOR).max(1);
        let pooled = self.pooled(now).0;
        let mut lenders: Vec<(u64, &Vm)> = holders
            .iter()
            .filter(|vm| !self.asked.contains(*vm))
            .map(|vm| (self.expected(now, vm, terms), vm))
            .filter(|(expected, _)| *expected >= least_loan)
            .collect();
        let mut missing = (needed + extra).saturating_sub(pooled);
        // Each round asks twice as many at least, since fewer tokens came than expected.
        let least = 1 << self.rounds;
        // A stable sort: among equals, lenders are asked in the order of the hash, which differs between accounts.
        lenders.sort_by_key(|(expected, _)| std::cmp::Reverse(*expected));
        let (mut asked, mut unanswered) = (Vec::new(), BTreeMap::new());
        for (expected, vm) in lenders.into_iter().take(LENDERS_PER_ROUND) {
            if missing == 0 && asked.len() >= least {
                break;
            }
            let assumed = self.assumed(now, vm, terms);
            let tokens = expected.max(floor(assumed).0).min(missing.max(least_loan));
            missing = missing.saturating_sub(expected);
            asked.push((vm.clone(), Tokens(tokens)));
            unanswered.insert(vm.clone(), assumed.min(Tokens(tokens).as_f64()));
        }
        if asked.is_empty() || self.rounds >= MAX_ROUNDS {
            self.refuse_queue(now, terms, out);
            return Vec::new();
        }
        self.rounds += 1;
        self.asked.extend(unanswered.keys().cloned());
        self.round = Some(Round {
            number,
            started: now,
            unanswered,
        });
        asked
    }

    /// Returns the number of tokens that were lent and not passed on in time, since the last call.
    pub(super) fn take_lapsed(&mut self) -> Tokens {
        self.pool.take_lapsed()
    }

    /// Handles a lender's answer. Each answer to the present round counts once.
    pub(super) fn lent(
        &mut self,
        now: Instant,
        from: &Vm,
        answer: &LendAnswer,
        out: &mut Vec<Answer>,
    ) {
        let Some(round) = self
            .round
            .as_mut()
            .filter(|round| round.number == answer.number)
        else {
            return;
        };
        let Some(assumed) = round.unanswered.remove(from) else {
            return;
        };
        if assumed > 0.0 {
            let yielded = (answer.tokens.as_f64() / assumed).min(1.0);
            self.yielded += (yielded - self.yielded) * YIELD_WEIGHT;
        }
        self.pool
            .add(now, round.started + USABLE_TIME, answer.tokens);
        let report = Report {
            left: answer.left,
            growth: answer.growth,
            at: now,
        };
        self.reports.insert(from.clone(), report);
        if self.reports.len() > MAX_REPORTS {
            let oldest = self.reports.iter().min_by_key(|(_, report)| report.at);
            if let Some(vm) = oldest.map(|(vm, _)| vm.clone()) {
                self.reports.remove(&vm);
            }
        }
        self.finish_round(now, out);
    }

    /// Handles the loss of the connection to a VM: its loan requests are dropped, and it lends nothing in this round.
    pub(super) fn remove_vm(&mut self, now: Instant, vm: &Vm, out: &mut Vec<Answer>) {
        self.queue.retain(|queued| queued.from != *vm);
        self.reports.remove(vm);
        if let Some(round) = &mut self.round {
            // A round with a lost lender does not count. A lost VM is not asked again, so this ends.
            let is_lost = round.unanswered.remove(vm).is_some();
            self.rounds = self.rounds.saturating_sub(u32::from(is_lost));
        }
        self.finish_round(now, out);
    }

    /// Ends a round whose time is over.
    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Answer>) {
        if self.deadline().is_some_and(|deadline| deadline <= now) {
            if let Some(round) = &mut self.round {
                for (vm, _) in std::mem::take(&mut round.unanswered) {
                    let silent = Report {
                        left: Tokens(0),
                        growth: TokenRate(0),
                        at: now,
                    };
                    self.reports.insert(vm, silent);
                }
            }
            self.finish_round(now, out);
        }
    }

    /// Returns the time at which the present round ends at the latest.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.round.as_ref().map(|round| round.started + ROUND_TIME)
    }

    /// Returns the number of tokens that can be passed on.
    fn pooled(&mut self, now: Instant) -> Tokens {
        self.pool.total(now + MIN_USABLE_TIME)
    }

    /// Ends the round once all lenders have answered, and serves the queue.
    fn finish_round(&mut self, now: Instant, out: &mut Vec<Answer>) {
        let is_finished = self
            .round
            .as_ref()
            .is_some_and(|round| round.unanswered.is_empty());
        if is_finished {
            self.round = None;
            self.serve(now, true, out);
        }
    }

    /// Grants loans to the queued requests in order, as long as the pool has enough for the first. Extra tokens are
    /// granted from what remains of a finished round.
    fn serve(&mut self, now: Instant, with_extra: bool, out: &mut Vec<Answer>) {
        while let Some(queued) = self.queue.front() {
            let needed = queued.request.tokens;
            if self.pooled(now) < needed {
                return;
            }
            let Some(queued) = self.queue.pop_front() else {
                return;
            };
            let waiting: u64 = self.queue.iter().map(|q| q.request.tokens.0).sum();
            let spare = self.pooled(now).0.saturating_sub(needed.0 + waiting);
            let extra = if with_extra {
                queued.request.extra.0.min(spare)
            } else {
                0
            };
            let (tokens, until) = self
                .pool
                .take(now + MIN_USABLE_TIME, Tokens(needed.0 + extra));
            let usable = until.since(queued.arrived);
            out.push((queued.from, queued.request.answer(Ok((tokens, usable)))));
        }
        if self.round.is_none() {
            self.rounds = 0;
            self.asked.clear();
        }
    }

    /// Refuses the queued requests that may leave too few tokens for what more urgent ones asked for.
    fn refuse_less_urgent(
        &mut self,
        now: Instant,
        holders: &[Vm],
        terms: &Terms,
        out: &mut Vec<Answer>,
    ) {
        let least_urgent = self.queue.back().map(|queued| queued.request.priority);
        if least_urgent.is_none_or(|priority| self.demand.more_urgent(now, priority) == Tokens(0)) {
            return;
        }
        let unasked = holders.iter().filter(|vm| !self.asked.contains(*vm));
        let expected: u64 = unasked.map(|vm| self.expected(now, vm, terms)).sum();
        let remaining = expected + self.pooled(now).0;
        let leaves_too_few = |queued: &Queued| {
            let reserve = self.demand.more_urgent(now, queued.request.priority);
            reserve > Tokens(0) && remaining < queued.request.tokens.0 + reserve.0
        };
        let first = self.queue.iter().position(leaves_too_few);
        for queued in self.queue.split_off(first.unwrap_or(self.queue.len())) {
            let refusal = self.refuse(now, &queued.request, true, terms);
            out.push((queued.from, refusal));
        }
    }

    /// Refuses all queued requests, and those of the next time until a holder expects to have tokens.
    fn refuse_queue(&mut self, now: Instant, terms: &Terms, out: &mut Vec<Answer>) {
        let least = self.queue.iter().map(|q| q.request.tokens.as_f64());
        let missing = least.fold(f64::MAX, f64::min);
        let recent = self.reports.values().filter(|report| report.is_recent(now));
        let free = recent.clone().map(|report| report.expected(now));
        let growth = recent.map(|report| report.growth.as_f64());
        let none_for = time_until_available(missing - free.sum::<f64>(), growth.sum());
        self.none_until = now + none_for.clamp(NONE_FOR.0, NONE_FOR.1);
        for queued in std::mem::take(&mut self.queue) {
            let refusal = self.refuse(now, &queued.request, false, terms);
            out.push((queued.from, refusal));
        }
        self.rounds = 0;
        self.asked.clear();
    }

    /// Makes a refusal. The caller may retry when the tokens of all requests that were refused before are free, and
    /// then those of this one.
    fn refuse(
        &mut self,
        now: Instant,
        request: &LoanRequest,
        reserved: bool,
        terms: &Terms,
    ) -> LoanAnswer {
        let start = self.reserved_until.max(self.none_until).max(now);
        let end = start + time_until_available(request.tokens.as_f64(), terms.rate);
        self.reserved_until = end.min(now + MAX_RETRY_AFTER);
        request.answer(Err(Shortage {
            none_for: self.none_until.since(now).max(NONE_FOR.0),
            retry_after: self.reserved_until.since(now).max(NONE_FOR.0),
            reserved,
        }))
    }

    /// Returns the number of tokens that a holder is expected to lend, by its recent report or else by what is assumed.
    fn expected(&self, now: Instant, vm: &Vm, terms: &Terms) -> u64 {
        let expected = match self.reports.get(vm) {
            Some(report) if report.is_recent(now) => report.expected(now),
            _ => self.assumed(now, vm, terms) * self.yielded.max(LEAST_YIELD),
        };
        floor(expected).0
    }

    /// Returns the number of tokens that a holder without a recent report has if it uses none itself; 0 if there is a
    /// recent report.
    fn assumed(&self, now: Instant, vm: &Vm, terms: &Terms) -> f64 {
        let most = terms.share * BURST_FRACTION;
        match self.reports.get(vm) {
            Some(report) if report.is_recent(now) => 0.0,
            Some(report) => {
                let age = now.since(report.at).as_secs_f64();
                let growth = terms.share * (1.0 - BURST_FRACTION) / terms.window.as_secs_f64();
                (report.left.as_f64() + growth * age).min(most)
            }
            None => most,
        }
    }
}

impl Report {
    fn is_recent(&self, now: Instant) -> bool {
        now.since(self.at) < REPORT_TIME
    }

    /// Returns the number of tokens that the holder is expected to have by now.
    fn expected(&self, now: Instant) -> f64 {
        self.left.as_f64() + self.growth.as_f64() * now.since(self.at).as_secs_f64()
    }
}

impl LoanRequest {
    fn answer(&self, answer: Result<(Tokens, Span), Shortage>) -> LoanAnswer {
        LoanAnswer {
            account: self.account.clone(),
            number: self.number,
            answer,
        }
    }
}

/// Returns the account that a broker of this name serves first, for rendezvous hashing.
pub(super) fn choice<'a>(account: &'a Tenant, vm: &'a Vm) -> (&'static str, &'a str, &'a str) {
    ("broker", account.as_str(), vm.as_str())
}
