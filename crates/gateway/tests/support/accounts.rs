//! Client accounts, their keys, and what their requests use.

use std::sync::Arc;

use dahliastile_gateway::account::key::Key;
use dahliastile_gateway::account::{Account, Limit, Rate, Tokens, Unit};
use dahliastile_gateway::config::Config;
use dahliastile_gateway::event::Call;

use super::setup;

/// What a request counts as: the mean of the deployment with accounts.
pub const COST: Tokens = Tokens(2_400);

/// A key by its text.
pub fn key(text: &str) -> Key {
    Key::of(text.as_bytes()).expect("a key")
}

/// An account with these keys and a limit in tokens a second, as much being allowed at once; 0 for no limit.
pub fn account(name: &str, keys: &[&str], rate: u64) -> Arc<Account> {
    let limit = Limit {
        rate: Rate(rate),
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
pub fn call(id: &str, text: &str) -> Call {
    Call {
        key: Some(key(text)),
        tokens: Some(COST),
        ..setup::call(id, "/query/x", 1_500, None)
    }
}
