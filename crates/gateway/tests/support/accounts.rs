//! Client accounts, their keys, and what their requests use.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliastile_core::id::Tenant;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::account::key::AccountKey;
use dahliastile_gateway::account::{Account, TokenLimit, TokenRate, Tokens, Unit};
use dahliastile_gateway::config::Config;
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::settings::Tuning;

use super::setup::{self, name};
use super::world::{Answer, World};

/// The window in which use is counted.
pub const WINDOW: Span = Span::from_secs(8);
/// The part of a limit by which a window may exceed it.
const OVERAGE: f64 = 0.1;
/// The tokens by which it may besides.
const SLACK: f64 = 17_000.0;
/// What a request counts as: the mean of the deployment with accounts.
pub const TOKENS_PER_REQUEST: Tokens = Tokens(2_400);

/// The figures of the deployment with accounts.
pub fn tuning() -> Tuning {
    Tuning {
        quota_window: WINDOW,
        quota_overage: OVERAGE,
        quota_slack: SLACK,
        ..Tuning::default()
    }
}

/// A key by its text.
pub fn key(text: &str) -> AccountKey {
    AccountKey::of(text.as_bytes()).expect("a key")
}

/// An account with these keys and a limit in tokens a second, as much being allowed at once; 0 for no limit.
pub fn account(name: &str, keys: &[&str], rate: u64) -> Arc<Account> {
    let limit = TokenLimit {
        rate: TokenRate(rate),
        burst: Tokens(rate),
    };
    Arc::new(Account {
        name: setup::name(name),
        keys: keys.iter().map(|text| key(text)).collect(),
        priority: None,
        unit: Unit::Tokens(Tokens(200)),
        limit: (rate > 0).then_some(limit),
    })
}

/// A configuration with accounts.
pub fn config(version: u64, accounts: Vec<Arc<Account>>) -> Config {
    Config {
        accounts: Some(accounts),
        ..setup::config(version)
    }
}

/// A request to the plain service that bears a key.
pub fn request(id: &str, text: &str) -> CallerRequest {
    CallerRequest {
        key: Some(key(text)),
        tokens: Some(TOKENS_PER_REQUEST),
        ..setup::request(id, "/query/x", 1_500, None)
    }
}

/// What a window may see of an account with a limit.
pub fn allowed_in_window(rate: u64) -> f64 {
    let rate = TokenRate(rate).as_f64();
    (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERAGE) + SLACK
}

/// The most tokens of an account that ran in any window.
pub fn peak_window_tokens(world: &World, account: &str) -> f64 {
    let account: Tenant = name(account);
    let mut runs: Vec<(Instant, f64)> = Vec::new();
    for asked in world.requests.values() {
        for ((at, _), named) in asked.runs.iter().zip(&asked.accounts) {
            if named.as_ref() == Some(&account) {
                runs.push((*at, asked.request.tokens.unwrap_or(Tokens(200)).as_f64()));
            }
        }
    }
    runs.sort_by_key(|(at, _)| *at);
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0_f64);
    for (at, tokens) in &runs {
        sum += tokens;
        while runs[first].0 + WINDOW <= *at {
            sum -= runs[first].1;
            first += 1;
        }
        worst = worst.max(sum);
    }
    worst
}

/// How many of the requests of each key that were sent in a time were served, and how many were sent.
pub fn served_and_sent(
    world: &World,
    from: Instant,
    until: Instant,
) -> BTreeMap<String, (usize, usize)> {
    let mut shares: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    let sent = world
        .requests
        .values()
        .filter(|a| a.at >= from && a.at < until);
    for asked in sent {
        let who = asked
            .request
            .id
            .split('-')
            .next()
            .unwrap_or_default()
            .to_owned();
        let share = shares.entry(who).or_default();
        share.1 += 1;
        share.0 += usize::from(matches!(asked.ended, Some((_, Answer::Served(_)))));
    }
    shares
}
