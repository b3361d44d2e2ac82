//! Start-time fair queueing of the waiting requests of one priority by account.
//!
//! Load: one of 16 accounts sends six times its usual requests while engines are short. Each account has a share of the
//! engines in proportion to its weight, which is its limit. A request's tag is the larger of the virtual time and the
//! account's last tag, to which the tokens of the account's last request over its weight were added. Requests are
//! served by their tags, then by arrival. The virtual time is the lowest tag of the waiting requests that can still be
//! served in time, so an account that used capacity which no other account needed is not served later for it. It is not
//! the highest tag of a placed request, as with a single server: requests for adapters whose engines are idle are placed
//! at once whatever their tags, and would give the account that floods a new start.
//!
//! The tokens of a request that is not served are taken back from its account's tag. Without requests that wait, all
//! accounts start anew, and a scheduler that starts without tags serves by arrival until they build up. Only the order
//! depends on them.

use std::collections::BTreeMap;

use dahliastile_core::id::Tenant;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::contention::Contention;
use super::forecast::WaitForecast;
use super::scheduled_request::{ScheduledRequest, VmRequestId};
use super::{Decision, Scheduler};
use crate::account::TokenRate;
use crate::feature::Feature;

/// Maximum number of accounts with a tag, for each priority. An account whose tag is not later than the virtual time
/// needs none, so only accounts with requests that wait behind others count.
const MAX_ACCOUNTS: usize = 1_024;

/// Weight of one request in the average weight of accounts with a limit, which accounts without one have.
const AVERAGE_WEIGHT: f64 = 0.01;

/// Lead of an account's tag from which the log names it: at half the objective of the most urgent requests an account
/// that shares the engines with one equal account is served late.
const LOGGED_LEAD: Span = Span::from_millis(400);

/// Interval between two log lines about accounts, and the maximum number of accounts in one.
const LOG_INTERVAL: Span = Span::from_millis(1_000);
const MAX_LOGGED_ACCOUNTS: usize = 4;

/// A point in virtual time, in microseconds: the time in which an account may use as many tokens as its requests
/// have, at its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tag(u64);

/// The shares of the accounts, for each priority.
#[derive(Debug, Default)]
pub(crate) struct ShareTable {
    by_priority: BTreeMap<u8, Shares>,
    /// When the last log line was written.
    logged_at: Instant,
}

/// The shares of the accounts among the requests of one priority.
#[derive(Debug, Default)]
struct Shares {
    virtual_time: Tag,
    /// The highest tag of a placed request.
    placed: Tag,
    /// The tag of each account's next request, if it is later than the virtual time.
    next_tags: FxHashMap<Tenant, Tag>,
    /// Average weight of the accounts with a limit; 0 if no request of such an account came.
    average_weight: f64,
}

impl Shares {
    /// Returns the tag of a request, and advances its account's next tag.
    fn charge(&mut self, request: &ScheduledRequest) -> Tag {
        let Some(account) = &request.detail.account else {
            return self.virtual_time;
        };
        self.average_weight = match request.detail.weight {
            TokenRate(0) => self.average_weight,
            weight if self.average_weight == 0.0 => weight.as_f64(),
            weight => {
                self.average_weight + (weight.as_f64() - self.average_weight) * AVERAGE_WEIGHT
            }
        };
        let next = self.next_tags.get(account).copied().unwrap_or_default();
        let tag = next.max(self.virtual_time);
        if self.next_tags.len() >= MAX_ACCOUNTS {
            let now = self.virtual_time;
            self.next_tags.retain(|_, next| *next > now);
        }
        if self.next_tags.len() < MAX_ACCOUNTS || self.next_tags.contains_key(account) {
            let next = Tag(tag.0.saturating_add(self.cost(request).0));
            self.next_tags.insert(account.clone(), next);
        }
        tag
    }

    /// Takes the tokens of a request that is not served back from its account's next tag.
    fn refund(&mut self, request: &ScheduledRequest) {
        let cost = self.cost(request);
        let account = request.detail.account.as_ref();
        if let Some(next) = account.and_then(|account| self.next_tags.get_mut(account)) {
            *next = Tag(next.0.saturating_sub(cost.0));
        }
    }

    /// Returns the virtual time that a request's tokens take at its account's weight.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn cost(&self, request: &ScheduledRequest) -> Span {
        let work = &request.work;
        let tokens = f64::from(work.prompt_tokens) + f64::from(work.max_output_tokens);
        let weight = match request.detail.weight {
            TokenRate(0) => self.average_weight,
            weight => weight.as_f64(),
        };
        Span((tokens / weight.max(1.0) * 1e6) as u64)
    }

    /// Returns the time by which each account's next tag is ahead of the virtual time, for those that are served
    /// noticeably later than others.
    fn leads(&self) -> impl Iterator<Item = (Span, &Tenant)> {
        let lead = |tag: &Tag| Span(tag.0.saturating_sub(self.virtual_time.0));
        let rows = self.next_tags.iter();
        let rows = rows.map(move |(account, tag)| (lead(tag), account));
        rows.filter(|(lead, _)| *lead > LOGGED_LEAD)
    }
}

impl Scheduler {
    /// Sets the tag of a request that comes in. A request that is enqueued again while it waits, and the retry of a
    /// caller that was refused, keep the tag that they had.
    pub(crate) fn apply_share(&mut self, id: &VmRequestId, request: &mut ScheduledRequest) {
        if !self.settings.uses(Feature::FairShares) {
            return;
        }
        let queued = self.requests.get(id).filter(|queued| queued.is_waiting());
        request.tag = match (queued, request.is_returning) {
            (Some(queued), _) => queued.tag,
            (None, is_returning) => {
                let shares = self.shares.by_priority.entry(request.priority);
                let shares = shares.or_default();
                let tag = shares.charge(request);
                if tag.0 > shares.virtual_time.0 + LOGGED_LEAD.0 {
                    self.contention.add(Contention::BehindShare);
                }
                if is_returning {
                    request.tag.min(tag)
                } else {
                    tag
                }
            }
        };
    }

    /// Takes back what a request was charged that is removed or enqueued again without being served.
    pub(crate) fn refund_share(&mut self, request: &ScheduledRequest) {
        if let Some(shares) = self.shares.by_priority.get_mut(&request.priority) {
            shares.refund(request);
        }
    }

    /// Records the tag of a request that is placed.
    pub(crate) fn record_share_served(&mut self, id: &VmRequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(shares) = self.shares.by_priority.get_mut(&request.priority) {
            shares.placed = shares.placed.max(request.tag);
        }
    }

    /// Advances the virtual time of each priority, and logs which accounts' requests are served after others.
    pub(crate) fn update_shares(
        &mut self,
        now: Instant,
        forecasts: &[WaitForecast],
        out: &mut Vec<Decision>,
    ) {
        let shares = &self.shares.by_priority;
        if shares.values().all(|shares| shares.next_tags.is_empty()) {
            return;
        }
        let mut lowest: FxHashMap<u8, Tag> = FxHashMap::default();
        let requests = forecasts
            .iter()
            .filter_map(|row| self.requests.get(&row.id));
        let in_time = requests.filter(|r| r.is_waiting() && r.first_chunk_due >= now);
        for request in in_time {
            let tag = lowest.entry(request.priority).or_insert(request.tag);
            *tag = request.tag.min(*tag);
        }
        for (priority, shares) in &mut self.shares.by_priority {
            let virtual_time = lowest.get(priority).copied();
            if virtual_time.is_none() {
                shares.next_tags.clear();
            }
            let virtual_time = virtual_time.unwrap_or(shares.placed);
            shares.virtual_time = shares.virtual_time.max(virtual_time);
        }
        if now.since(self.shares.logged_at) < LOG_INTERVAL {
            return;
        }
        if let Some(detail) = self.shares.describe() {
            self.shares.logged_at = now;
            out.push(Decision::Log(Record::new(Code::SharesExceeded, detail)));
        }
    }
}

impl ShareTable {
    /// Returns the log text about the accounts that are served noticeably later than others, if there are any.
    fn describe(&self) -> Option<String> {
        let shares = self.by_priority.iter();
        let leads = shares.flat_map(|(priority, shares)| {
            let leads = shares.leads();
            leads.map(move |(lead, account)| (lead, account, *priority))
        });
        let mut leads: Vec<(Span, &Tenant, u8)> = leads.collect();
        leads.sort_unstable_by(|a, b| b.cmp(a));
        let rows = leads.iter().take(MAX_LOGGED_ACCOUNTS);
        let rows = rows.map(|(lead, account, priority)| format!("{account}:p{priority}:{lead}"));
        let rows: Vec<String> = rows.collect();
        (!rows.is_empty()).then(|| format!("accounts={} lead={}", leads.len(), rows.join(",")))
    }
}
