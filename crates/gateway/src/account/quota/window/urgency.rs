//! What requests of each priority asked for in the last second, of one account.
//!
//! Designed for accounts with up to some ten priorities. A request is admitted only while the remaining tokens cover
//! what more urgent ones asked for, so that the most urgent are refused last and a less urgent one at once.

use std::collections::VecDeque;

use dahliastile_core::time::{Instant, Span};

use crate::account::Tokens;

/// The time for which a request counts as demand: that in which its account is expected to ask for as much again.
const MEMORY: Span = Span::from_secs(1);

/// The slice of time over which demand is added up.
const SLICE: Span = Span::from_millis(125);

/// The tokens that requests of one priority asked for in one slice.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// The start of the slice.
    since: Instant,
    /// The priority.
    priority: u8,
    /// The number of tokens.
    tokens: u64,
}

/// The demand of one account by priority.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The slices of the last second, by time.
    slices: VecDeque<Asked>,
}

impl Demand {
    /// Records that a request of a priority asked for tokens.
    pub fn record(&mut self, now: Instant, priority: u8, tokens: Tokens) {
        while self
            .slices
            .pop_front_if(|asked| now.since(asked.since) >= MEMORY + SLICE)
            .is_some()
        {}
        let since = Instant(now.0 - now.0 % SLICE.0);
        let mut present = self.slices.iter_mut().rev();
        let same = present.by_ref().take_while(|asked| asked.since == since);
        match same.into_iter().find(|asked| asked.priority == priority) {
            Some(asked) => asked.tokens += tokens.0,
            None => self.slices.push_back(Asked {
                since,
                priority,
                tokens: tokens.0,
            }),
        }
    }

    /// Returns the tokens that requests more urgent than `priority` asked for in the last second.
    #[must_use]
    pub fn more_urgent(&self, now: Instant, priority: u8) -> Tokens {
        self.sum(now, |asked| asked.priority < priority)
    }

    /// Returns the tokens that requests of all priorities asked for in the last second.
    #[must_use]
    pub fn total(&self, now: Instant) -> Tokens {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: Instant, counts: impl Fn(&Asked) -> bool) -> Tokens {
        let recent = self
            .slices
            .iter()
            .filter(|asked| now.since(asked.since) < MEMORY);
        Tokens(
            recent
                .filter(|asked| counts(asked))
                .map(|asked| asked.tokens)
                .sum(),
        )
    }
}
