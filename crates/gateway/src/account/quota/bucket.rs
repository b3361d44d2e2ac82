//! Tokens that come in at a rate and are taken out.

use dahliastile_core::time::{Instant, Span};

use crate::account::Tokens;

/// What a bucket holds and gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Tokens that come in a second.
    pub rate: f64,
    /// Tokens that it holds at most.
    pub most: f64,
}

/// Tokens, empty at first: a start that filled it would forget what an earlier start has taken.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// The tokens there at a time.
    balance: f64,
    /// That time.
    at: Instant,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            balance: 0.0,
            at: now,
        }
    }

    /// Lets in what has come until now. More than fits stays if it was there before.
    pub fn refill(&mut self, now: Instant, terms: Terms) {
        let came = terms.rate * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.balance = (self.balance + came).min(terms.most.max(self.balance));
    }

    /// Gives up what the terms no longer allow.
    pub fn clip(&mut self, terms: Terms) {
        self.balance = self.balance.min(terms.most);
    }

    /// The tokens there.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes so many tokens, if they are there.
    pub fn take(&mut self, tokens: Tokens) -> bool {
        let there = self.balance >= tokens.as_f64();
        if there {
            self.balance -= tokens.as_f64();
        }
        there
    }

    /// Takes whole tokens that are there beyond a reserve, as many as that and at most so many.
    pub fn take_beyond(&mut self, reserve: f64, most: Tokens) -> Tokens {
        let there = whole(self.balance - reserve).min(most);
        self.balance -= there.as_f64();
        there
    }

    /// How many whole tokens more it may hold.
    #[must_use]
    pub fn room(&self, terms: Terms) -> Tokens {
        whole(terms.most - self.balance)
    }

    /// Takes so many tokens, and owes what is not there.
    pub fn lend(&mut self, tokens: Tokens) {
        self.balance -= tokens.as_f64();
    }

    /// Puts tokens in, but never more than the bucket may hold.
    pub fn put(&mut self, tokens: Tokens, most: f64) {
        self.balance = (self.balance + tokens.as_f64()).min(most.max(self.balance));
    }
}

// It is whole, not negative, and no larger than a limit of the configuration.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> Tokens {
    Tokens(tokens.max(0.0) as u64)
}

/// How long it takes until so many tokens have come in.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn wait(tokens: f64, rate: f64) -> Span {
    if rate <= 0.0 {
        return Span(u64::MAX);
    }
    Span((tokens.max(0.0) / rate * 1e6) as u64)
}
