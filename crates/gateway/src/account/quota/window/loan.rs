//! Loans: the messages by which tokens move between VMs for a short time, and the borrowed tokens of one VM.
//!
//! A loan can be used only within [`LOAN_TIME`](super::share::LOAN_TIME) of the time at which the borrower asked, by the
//! borrower's clock. The lender counts it as used at the end of that time, counted from when it lent, which is later
//! than the borrower's question. So a loan that is lost, late or delivered twice costs time and never tokens, and no
//! clock readings of different VMs are compared.

use std::collections::VecDeque;

use dahliastile_core::id::Tenant;
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::account::{TokenRate, Tokens};

/// A VM's request for a loan, sent to the broker of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The account.
    pub account: Tenant,
    /// A random number that identifies the answer.
    pub number: u64,
    /// The number of tokens that the sender needs for the first of its waiting requests.
    pub tokens: Tokens,
    /// The number of further tokens that it needs for the others, of which a part is of use too.
    pub extra: Tokens,
    /// The priority of the requests that need the tokens; lower numbers are more urgent.
    pub priority: u8,
}

/// Why a loan was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// The time for which no VM is expected to have free tokens.
    pub none_for: Span,
    /// The time after which a caller may retry, when the tokens of those that were refused before are free too.
    pub retry_after: Span,
    /// Whether tokens were left that are reserved for more urgent requests.
    pub reserved: bool,
}

/// The broker's answer to a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAnswer {
    /// The account.
    pub account: Tenant,
    /// The number of the loan request.
    pub number: u64,
    /// The tokens lent and the time for which they can be used, counted from when the borrower asked; or why there are
    /// none.
    pub answer: Result<(Tokens, Span), Shortage>,
}

/// The broker's request to a VM to lend tokens of its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendRequest {
    /// The account.
    pub account: Tenant,
    /// A random number that identifies the answer.
    pub number: u64,
    /// The most tokens to lend.
    pub tokens: Tokens,
}

/// A VM's answer to a [`LendRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendAnswer {
    /// The account.
    pub account: Tenant,
    /// The number of the request to lend.
    pub number: u64,
    /// The number of tokens lent.
    pub tokens: Tokens,
    /// The number of tokens that the sender could lend besides.
    pub left: Tokens,
    /// The tokens per second by which that number is expected to grow in the next second.
    pub growth: TokenRate,
}

/// Borrowed tokens, by the time until which they can be used.
#[derive(Clone, Debug, Default)]
pub struct Purse {
    /// The loans, the one that ends first at the front.
    loans: VecDeque<(Instant, Tokens)>,
    /// The tokens whose time ended before they were used, since the last [`Self::take_lapsed`].
    lapsed: Tokens,
}

impl Purse {
    /// Adds tokens that can be used before `until`.
    pub fn add(&mut self, now: Instant, until: Instant, tokens: Tokens) {
        if until <= now {
            self.lapsed.0 += tokens.0;
        } else if tokens > Tokens(0) {
            let at = self.loans.partition_point(|(end, _)| *end <= until);
            self.loans.insert(at, (until, tokens));
        }
    }

    /// Returns the number of tokens that can still be used. Drops the others.
    pub fn total(&mut self, now: Instant) -> Tokens {
        while let Some((_, tokens)) = self.loans.pop_front_if(|(until, _)| *until <= now) {
            self.lapsed.0 += tokens.0;
        }
        Tokens(self.loans.iter().map(|(_, tokens)| tokens.0).sum())
    }

    /// Takes up to `max` tokens, those that end first first. Returns their number, and the time until which all of them
    /// can be used.
    pub fn take(&mut self, now: Instant, max: Tokens) -> (Tokens, Instant) {
        let (mut taken, mut until) = (0, Instant::NEVER);
        while let Some((end, tokens)) = self.loans.front_mut()
            && taken < max.0
        {
            if *end > now {
                let part = tokens.0.min(max.0 - taken);
                tokens.0 -= part;
                taken += part;
                until = until.min(*end);
            } else {
                self.lapsed.0 += tokens.0;
                tokens.0 = 0;
            }
            if tokens.0 == 0 {
                self.loans.pop_front();
            }
        }
        (Tokens(taken), until)
    }

    /// Returns the number of tokens whose time ended before they were used, since the last call.
    pub fn take_lapsed(&mut self) -> Tokens {
        std::mem::take(&mut self.lapsed)
    }
}
