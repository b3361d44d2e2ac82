//! The tokens that one VM lends to the others: what they did not need themselves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahliastile_core::id::{Tenant, Vm};
use dahliastile_core::time::{Instant, Span};

use super::bucket::{Bucket, Terms, wait};
use super::{TokenGrant, TokenRequest};
use crate::account::Tokens;

/// The least time between two collections.
const COLLECT_EVERY: Span = Span::from_millis(200);

/// The time that each VM adds to it, so that the VM that collects can take in the answers of a large fleet.
const COLLECT_EACH: Span = Span::from_millis(1);

/// The part of a pool below which it collects.
const LOW: f64 = 0.25;

/// The part of a pool that VMs get no more of than their requests need.
const KEPT: f64 = 0.5;

/// How many times longer the time between two collections is while nothing waits.
const UNHURRIED: u64 = 2;

/// How long an account that nothing is drawn for is still collected for.
const IN_USE: Span = Span::from_millis(1_000);

/// How much longer than the time between two collections a draw may wait: the way there and back.
const MARGIN: Span = Span::from_millis(50);

/// The longest time after which a caller is told to come back.
const LONGEST_WAIT: Span = Span::from_secs(5);

/// A draw that waits for tokens.
#[derive(Debug)]
struct Waiting {
    /// The VM that draws.
    from: Vm,
    /// What it draws.
    draw: TokenRequest,
    /// Until when it waits.
    until: Instant,
}

/// What one account has here.
#[derive(Debug)]
struct Row {
    /// Its tokens. Nothing comes in by itself.
    bucket: Bucket,
    /// The rate of the account, and what the pool holds at most.
    terms: Terms,
    /// Draws that wait, first come first served.
    waiting: VecDeque<Waiting>,
    /// Since when it is here.
    since: Instant,
    /// When something was last drawn.
    drawn: Instant,
    /// What the last collection has brought; none before one is over.
    brought: Option<f64>,
    /// What the present one has.
    brings: f64,
    /// Until when all that comes in belongs to callers who were told to come back.
    promised: Instant,
}

/// The pools of all accounts at one VM, and the collection in progress.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// By account.
    rows: BTreeMap<Tenant, Row>,
    /// The number of the last collection.
    round: u64,
    /// The VMs that have not answered it yet.
    asked: BTreeSet<Vm>,
    /// When it began.
    collected: Instant,
}

/// An answer to the VM that drew.
pub(crate) type Answer = (Vm, TokenGrant);

impl Pools {
    /// The configuration has changed: pools of accounts that have no limit any more go, others may get smaller.
    pub(crate) fn limit(&mut self, terms: impl Fn(&Tenant) -> Option<Terms>) {
        self.rows.retain(|account, row| {
            let terms = terms(account);
            row.terms = terms.unwrap_or(row.terms);
            row.bucket.clip(row.terms);
            terms.is_some()
        });
    }

    /// A VM draws tokens. It is answered now, or when the next collection has brought them.
    pub(crate) fn draw(
        &mut self,
        now: Instant,
        from: Vm,
        draw: TokenRequest,
        terms: Terms,
        vms: usize,
        out: &mut Vec<Answer>,
    ) {
        let row = self.rows.entry(draw.account.clone()).or_insert(Row {
            bucket: Bucket::new(now),
            terms,
            waiting: VecDeque::new(),
            since: now,
            drawn: now,
            brought: None,
            brings: 0.0,
            promised: now,
        });
        if now.since(row.drawn) >= IN_USE {
            row.brought = None;
        }
        row.drawn = now;
        row.terms = terms;
        if row.is_worth_waiting(&draw) {
            let until = now + pause(vms) + MARGIN;
            row.waiting.push_back(Waiting { from, draw, until });
        } else {
            let refused = row.refuse(now, &draw);
            out.push((from, refused));
        }
        row.serve(out);
    }

    /// Begins a collection with a number from these VMs. Gives the accounts to collect for.
    pub(crate) fn begin(&mut self, now: Instant, asked: BTreeSet<Vm>, number: u64) -> Vec<Tenant> {
        for row in self.rows.values_mut() {
            row.brought = Some(row.brings).filter(|_| self.collected >= row.since);
            row.brings = 0.0;
        }
        self.round = number;
        self.collected = now;
        self.asked = asked;
        let rows = self.rows.iter().filter(|(_, row)| row.is_used(now));
        rows.map(|(account, _)| account.clone()).collect()
    }

    /// Whether a collection is due.
    pub(crate) fn is_due(&self, now: Instant, vms: usize) -> bool {
        let since = now.since(self.collected);
        let low = |row: &Row| row.is_used(now) && row.is_low();
        let calm = since >= pause(vms).times(UNHURRIED) && self.rows.values().any(low);
        let waits = |row: &Row| !row.waiting.is_empty();
        calm || since >= pause(vms) && self.rows.values().any(waits)
    }

    /// When something is to be done next; none while nothing waits.
    pub(crate) fn next(&self, vms: usize) -> Option<Instant> {
        let waiting = self.rows.values().filter_map(|row| row.waiting.front());
        let ends = waiting.map(|waiting| waiting.until).min()?;
        Some(ends.min(self.collected + pause(vms)))
    }

    /// A VM answers a collection. Each answer counts once, and none that comes after the next collection has begun: tokens may be lost,
    /// and are never there twice.
    pub(crate) fn deposit(
        &mut self,
        from: &Vm,
        round: u64,
        deposits: &[(Tenant, Tokens)],
        out: &mut Vec<Answer>,
    ) {
        if round != self.round || !self.asked.remove(from) {
            return;
        }
        for (account, tokens) in deposits {
            if let Some(row) = self.rows.get_mut(account) {
                row.brings += tokens.as_f64();
                row.receive(*tokens, out);
            }
        }
    }

    /// Refuses what has waited long enough.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Answer>) {
        for row in self.rows.values_mut() {
            while row.waiting.front().is_some_and(|w| w.until <= now) {
                let Some(waiting) = row.waiting.pop_front() else {
                    break;
                };
                let refused = row.refuse(now, &waiting.draw);
                out.push((waiting.from, refused));
            }
            row.serve(out);
        }
    }

    /// A VM is gone, and what it waits for with it.
    pub(crate) fn vm_gone(&mut self, vm: &Vm) {
        for row in self.rows.values_mut() {
            row.waiting.retain(|waiting| waiting.from != *vm);
        }
    }
}

impl Row {
    fn is_used(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || now.since(self.drawn) < IN_USE
    }

    /// Whether a draw may be served by what the next collection brings. As long as none has, it may; and the first draw, whatever its
    /// size.
    fn is_worth_waiting(&self, draw: &TokenRequest) -> bool {
        let ahead = self.waiting.iter().map(|w| w.draw.tokens.as_f64());
        let wanted = ahead.sum::<f64>() + draw.tokens.as_f64();
        let soon = self.brought.map(|brought| self.bucket.balance() + brought);
        self.waiting.is_empty() || soon.is_none_or(|soon| wanted <= soon)
    }

    /// Takes tokens in and gives them to those that wait; what is left is kept as far as the pool may hold it.
    fn receive(&mut self, tokens: Tokens, out: &mut Vec<Answer>) {
        self.bucket.put(tokens, f64::MAX);
        self.serve(out);
        self.bucket.clip(self.terms);
    }

    fn is_low(&self) -> bool {
        self.bucket.balance() < self.terms.most * LOW
    }

    /// Gives tokens to those that wait for as long as there are enough for the first of them.
    fn serve(&mut self, out: &mut Vec<Answer>) {
        while let Some(Waiting { from, draw, .. }) = self.waiting.front() {
            // A request larger than the pool is served by a full one, which then owes the rest.
            if self.bucket.balance() < draw.tokens.as_f64().min(self.terms.most) {
                return;
            }
            self.bucket.lend(draw.tokens);
            let more = self.bucket.take_beyond(self.terms.most * KEPT, draw.room);
            out.push((from.clone(), draw.answer(Ok(more))));
            self.waiting.pop_front();
        }
    }

    /// Refuses a draw and says when its tokens will be there, after those of all that were refused before.
    fn refuse(&mut self, now: Instant, draw: &TokenRequest) -> TokenGrant {
        let begins = self.promised.max(now);
        let ends = begins + wait(draw.tokens.as_f64(), self.terms.rate);
        self.promised = ends.min(now + LONGEST_WAIT);
        draw.answer(Err(self.promised.since(now).max(COLLECT_EVERY)))
    }
}

/// The time between two collections.
pub(super) fn pause(vms: usize) -> Span {
    COLLECT_EVERY.max(COLLECT_EACH.times(vms as u64))
}
