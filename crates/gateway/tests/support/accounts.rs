//! Client accounts, their API keys, and the tokens that their requests used.

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

/// The window over which the tokens of an account are counted.
pub const WINDOW: Span = Span::from_secs(8);
/// The share of its limit by which an account may exceed it within a window.
const OVERAGE: f64 = 0.1;
/// The tokens that an account may use within a window beyond its limit and `OVERAGE`.
const SLACK: f64 = 17_000.0;
/// The tokens that a request counts as: the mean of the deployment that has accounts.
pub const TOKENS_PER_REQUEST: Tokens = Tokens(2_400);

/// The tuning of the deployment that has accounts.
pub fn tuning() -> Tuning {
    Tuning {
        quota_window: WINDOW,
        quota_overage: OVERAGE,
        quota_slack: SLACK,
        ..Tuning::default()
    }
}

/// Returns the account key with this text.
pub fn key(text: &str) -> AccountKey {
    AccountKey::of(text.as_bytes()).expect("valid key")
}

/// Returns an account with these keys and a limit of `rate` tokens a second, with a burst of the same size. A
/// rate of 0 means no limit.
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

/// Returns a configuration with these accounts.
pub fn config(version: u64, accounts: Vec<Arc<Account>>) -> Config {
    Config {
        accounts: Some(accounts),
        ..setup::config(version)
    }
}

/// Returns a request to the plain service that carries the key with this text.
pub fn request(id: &str, text: &str) -> CallerRequest {
    CallerRequest {
        key: Some(key(text)),
        tokens: Some(TOKENS_PER_REQUEST),
        ..setup::request(id, "/query/x", 1_500, None)
    }
}

/// Returns the most tokens that an account with a limit of `rate` tokens a second may use within a window:
/// the rate for the window and a burst of one second, increased by `OVERAGE` and `SLACK`.
pub fn allowed_in_window(rate: u64) -> f64 {
    let rate = TokenRate(rate).as_f64();
    (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERAGE) + SLACK
}

/// Returns the most tokens that requests of an account used within any one window. The tokens count at the
/// time when a server accepts the request.
pub fn peak_window_tokens(world: &World, account: &str) -> f64 {
    let account: Tenant = name(account);
    let mut runs: Vec<(Instant, f64)> = Vec::new();
    for record in world.requests.values() {
        for ((at, _), run_account) in record.runs.iter().zip(&record.accounts) {
            if run_account.as_ref() == Some(&account) {
                runs.push((*at, record.request.tokens.unwrap_or(Tokens(200)).as_f64()));
            }
        }
    }
    runs.sort_by_key(|(at, _)| *at);
    let (mut first_run, mut sum, mut peak) = (0, 0.0, 0.0_f64);
    for (at, tokens) in &runs {
        sum += tokens;
        while runs[first_run].0 + WINDOW <= *at {
            sum -= runs[first_run].1;
            first_run += 1;
        }
        peak = peak.max(sum);
    }
    peak
}

/// Returns, for each key, how many of its requests sent from `from` until `until` were served, and how many
/// were sent. A request's key is the part of its ID before the first `-`.
pub fn served_and_sent(
    world: &World,
    from: Instant,
    until: Instant,
) -> BTreeMap<String, (usize, usize)> {
    let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    let sent = world
        .requests
        .values()
        .filter(|a| a.at >= from && a.at < until);
    for record in sent {
        let key_name = record
            .request
            .id
            .split('-')
            .next()
            .unwrap_or_default()
            .to_owned();
        let count = counts.entry(key_name).or_default();
        count.1 += 1;
        count.0 += usize::from(matches!(record.ended, Some((_, Answer::Served(_)))));
    }
    counts
}
