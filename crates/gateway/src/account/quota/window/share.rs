//! One VM's share of an account's window, counted exactly.
//!
//! Designed for accounts of which a VM uses some requests per window, up to some hundred a second: used tokens are
//! recorded per slice of [`SLICE`], so that a share has at most one record per slice, and none while it is idle.
//!
//! With the share `size`, the window `T` and [`BURST_FRACTION`] `b`, a share permits in any span `x` up to `T` at most
//! `b * size + (1 - b) * size * x / T` tokens, hence `size` in a window. A new process begins with nothing and may use
//! `(1 - b) * size * x / T` within `x` of its start, until one window and [`LOAN_TIME`] after it. An earlier process used
//! at most what the first bound permits in the rest of any window that holds both, so the two together never exceed
//! `size`, however often a VM restarts and without any record of its earlier process.

use std::collections::VecDeque;

use dahliastile_core::time::{Instant, Span};

use crate::account::Tokens;

/// The time slice over which used tokens are added up. A slice counts as used at its end, so that its tokens come back
/// up to one slice late and never early.
pub const SLICE: Span = Span::from_millis(50);

/// The time for which a loan can be used, from the time at which the borrower asked for it.
pub const LOAN_TIME: Span = Span::from_millis(500);

/// The fraction of a share that may be used at once. The rest is permitted in proportion to time, which is what a new
/// process may use. An account at 1/1.8 of its limit uses 0.45 of its window's tokens in a window, so that the rest of 0.5
/// serves it at once after a restart of all VMs; a flood that follows such a load may use the remaining 0.55 of the
/// window, of which 0.5 are available at once.
pub(super) const BURST_FRACTION: f64 = 0.5;

/// Tokens that were used in one slice, or lent so that they may be used until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Use {
    /// The end of the slice.
    until: Instant,
    /// The number of tokens.
    tokens: u64,
}

/// The size of a share, which grows only once it has been larger for one window and [`LOAN_TIME`]: until then, another
/// VM may have used what it grows by.
#[derive(Clone, Debug, Default)]
struct Size {
    /// Sizes in increasing order, each with the time from which on the share was at least as large.
    lower_bounds: VecDeque<(Instant, f64)>,
}

impl Size {
    fn set(&mut self, now: Instant, size: f64) {
        let mut since = now;
        while let Some((earlier, _)) = self.lower_bounds.pop_back_if(|(_, bound)| *bound >= size) {
            since = earlier;
        }
        self.lower_bounds.push_back((since, size));
    }

    /// Returns the size that may be used, if a growth is usable after `delay`.
    fn usable(&self, now: Instant, delay: Span) -> f64 {
        let mut bounds = self.lower_bounds.iter().rev();
        let Some((mut since, mut size)) = bounds.next().copied() else {
            return 0.0;
        };
        // A bound counts until the one after it has held for `delay`.
        for (earlier, bound) in bounds {
            if now.since(since) >= delay {
                break;
            }
            (since, size) = (*earlier, *bound);
        }
        size
    }

    /// Drops the bounds that no longer count.
    fn prune(&mut self, now: Instant, delay: Span) {
        let is_old = |bounds: &VecDeque<(Instant, f64)>| {
            bounds
                .get(1)
                .is_some_and(|(since, _)| now.since(*since) >= delay)
        };
        while is_old(&self.lower_bounds) {
            self.lower_bounds.pop_front();
        }
    }
}

/// A VM's share of the tokens that an account may use in a window.
#[derive(Clone, Debug)]
pub struct Share {
    /// The length of the window.
    window: Span,
    /// The time from which on the share permits tokens.
    started: Instant,
    /// The size of the share.
    size: Size,
    /// The tokens used or lent, by time.
    uses: VecDeque<Use>,
    /// The sum of `uses`.
    total: u64,
}

impl Share {
    /// Creates a share of size 0 that permits nothing before `started`.
    #[must_use]
    pub fn new(window: Span, started: Instant) -> Self {
        Self {
            window,
            started,
            size: Size::default(),
            uses: VecDeque::new(),
            total: 0,
        }
    }

    /// Postpones or advances the time from which on the share permits tokens. Advancing it is safe only if the earlier
    /// time follows from what was learned since.
    pub fn set_started(&mut self, started: Instant) {
        self.started = started;
    }

    /// Sets the size of the share and the length of the window. A smaller size applies at once, a larger one after one
    /// window and [`LOAN_TIME`].
    pub fn resize(&mut self, now: Instant, size: f64, window: Span) {
        self.window = window;
        self.size.set(now, size);
        self.size.prune(now, window + LOAN_TIME);
    }

    /// Returns the size that is in use.
    #[must_use]
    pub fn size(&self, now: Instant) -> f64 {
        self.size.usable(now, self.window + LOAN_TIME)
    }

    /// Returns the number of tokens that may be used or lent at the time `at`, if no more are used until then.
    #[must_use]
    pub fn free(&self, at: Instant) -> Tokens {
        let size = self.size(at);
        let burst = size * BURST_FRACTION;
        let rate = (size - burst) / self.window.as_secs_f64();
        let (mut used, mut free) = (0.0, burst);
        for entry in self.uses.iter().rev() {
            let age = at.since(entry.until);
            if age >= self.window {
                break;
            }
            used += Tokens(entry.tokens).as_f64();
            free = f64::min(free, burst + rate * age.as_secs_f64() - used);
        }
        // A loan of an earlier process may be used until `LOAN_TIME` after the start.
        let age = at.since(self.started);
        if age < self.window + LOAN_TIME {
            let earned = rate * age.min(self.window).as_secs_f64();
            free = f64::min(free, earned - used);
        }
        floor(free)
    }

    /// Uses `tokens` tokens if they are free. Returns whether they were.
    pub fn take(&mut self, now: Instant, tokens: Tokens) -> bool {
        let is_enough = tokens <= self.free(now);
        if is_enough {
            self.record(now, now, tokens);
        }
        is_enough
    }

    /// Lends up to `max` of the free tokens, to be used within [`LOAN_TIME`]. Returns their number.
    pub fn lend(&mut self, now: Instant, max: Tokens) -> Tokens {
        let lent = self.free(now).min(max);
        self.record(now, now + LOAN_TIME, lent);
        lent
    }

    /// Takes back tokens that [`Self::take`] used at `taken`, since the request did not run. Has no effect once they
    /// are available again anyway.
    pub fn give_back(&mut self, taken: Instant, tokens: Tokens) {
        let until = slice_end(taken);
        if let Ok(at) = self.uses.binary_search_by_key(&until, |entry| entry.until) {
            let returned = tokens.0.min(self.uses[at].tokens);
            self.uses[at].tokens -= returned;
            self.total -= returned;
        }
    }

    /// Returns the number of tokens used or lent that are not available again.
    #[must_use]
    pub fn used(&self) -> Tokens {
        Tokens(self.total)
    }

    fn record(&mut self, now: Instant, usable_until: Instant, tokens: Tokens) {
        while let Some(old) = self
            .uses
            .pop_front_if(|entry| now.since(entry.until) >= self.window)
        {
            self.total -= old.tokens;
        }
        if tokens == Tokens(0) {
            return;
        }
        self.total += tokens.0;
        let until = slice_end(usable_until);
        match self.uses.binary_search_by_key(&until, |entry| entry.until) {
            Ok(at) => self.uses[at].tokens += tokens.0,
            Err(at) => self.uses.insert(
                at,
                Use {
                    until,
                    tokens: tokens.0,
                },
            ),
        }
    }
}

/// Returns the end of the slice that holds a time.
fn slice_end(at: Instant) -> Instant {
    Instant(at.0.div_ceil(SLICE.0).saturating_mul(SLICE.0))
}

/// Rounds down to whole tokens; negative numbers become 0.
// The converted number is not negative, and no larger than a limit of the configuration.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn floor(tokens: f64) -> Tokens {
    Tokens(tokens.max(0.0) as u64)
}
