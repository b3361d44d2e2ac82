//! Limits of accounts and priorities of routes, and the check that the limits hold in any window over all VMs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dahliastile_standin::fleet::Run;
use serde_json::{Value, json};

use crate::callers::Asked;
use crate::fleet::config_with;

/// The window of limits.
const WINDOW: Duration = Duration::from_secs(2);
/// The part of a limit by which a window may exceed it.
const OVERAGE: f64 = 0.1;
/// Tokens by which a window may exceed it besides.
const SLACK: f64 = 500.0;
/// The tokens a second of each account, and those that are allowed besides. Usual callers need about 3,000 each; a flood
/// sends about ten times what its account may.
const LIMITS: [(&str, f64, f64); 3] = [
    ("north", 8_000.0, 2_000.0),
    ("south", 8_000.0, 2_000.0),
    ("west", 1_000.0, 500.0),
];
/// What a request to a plain service counts as.
const PLAIN_TOKENS: u32 = 100;
/// The priority of each route.
const PRIORITIES: [(&str, u8); 4] = [("post", 0), ("plan", 0), ("query", 1), ("berth", 2)];

/// A configuration with these accounts, each with its keys and a limit, and with priorities.
pub(crate) fn config(version: u64, accounts: &[(&str, &[&str])]) -> Value {
    let mut config = config_with(version, accounts);
    for account in config["tenants"].as_array_mut().into_iter().flatten() {
        let (rate, burst) = limit(account["name"].as_str().unwrap_or_default());
        for (field, value) in [
            ("unit", json!("tokens")),
            ("plainTokens", json!(PLAIN_TOKENS)),
            ("ratePerS", json!(rate)),
            ("burst", json!(burst)),
        ] {
            account[field] = value;
        }
    }
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        let named = PRIORITIES.iter().find(|(name, _)| route["name"] == *name);
        if let Some((_, priority)) = named {
            route["priority"] = json!(priority);
        }
    }
    config
}

/// A VM's settings with the bounds of limits.
pub(crate) fn settings(text: &str) -> String {
    let seconds = WINDOW.as_secs();
    let bounds = format!(
        "[bounds]\nquotaWindowS = {seconds}\nquotaOverage = {OVERAGE}\nquotaSlack = {SLACK:.1}\n"
    );
    text.replace("[bounds]\n", &bounds)
}

/// The windows that exceed an account's limit: one line for each account, with the worst.
///
/// A request is charged once, after its caller sent it and before its first run began. So it counts in a window that holds
/// both: it was charged in that one for certain.
pub(crate) fn broken(asked: &[Asked], runs: &BTreeMap<String, Vec<(String, Run)>>) -> Vec<String> {
    let mut charged: BTreeMap<&str, Vec<(Instant, Instant, f64)>> = BTreeMap::new();
    for request in asked {
        let ran = runs.get(&request.id).into_iter().flatten();
        if let Some((_, run)) = ran.min_by_key(|(_, run)| run.at) {
            let row = charged.entry(request.account).or_default();
            row.push((request.sent, run.at, f64::from(tokens(run))));
        }
    }
    let mut broken = Vec::new();
    for (account, mut row) in charged {
        let (rate, burst) = limit(account);
        let allowed = (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVERAGE) + SLACK;
        row.sort_by_key(|(sent, ..)| *sent);
        let used = |at: usize| {
            let end = row[at].0 + WINDOW;
            let within = row[at..].iter().take_while(|(sent, ..)| *sent <= end);
            let within = within.filter(|(_, ran, _)| *ran <= end);
            within.map(|(.., tokens)| tokens).sum::<f64>()
        };
        let worst = (0..row.len()).map(used).fold(0.0, f64::max);
        if worst > allowed {
            broken.push(format!(
                "{account} used {worst} tokens in a window that allows {allowed}"
            ));
        }
    }
    broken
}

/// The rate and the burst of an account.
fn limit(account: &str) -> (f64, f64) {
    let limits = LIMITS.iter().find(|(name, ..)| *name == account);
    limits.map_or((0.0, 0.0), |(_, rate, burst)| (*rate, *burst))
}

/// What a request counts as.
fn tokens(run: &Run) -> u32 {
    let counts = run.asked.headers.get("token-count");
    counts.map_or(PLAIN_TOKENS, |counts| {
        let counts = counts
            .split(',')
            .filter_map(|count| count.parse::<u32>().ok());
        counts.sum()
    })
}
