//! Limits of client accounts as sliding windows, compared with an oracle that keeps one exact window for all VMs.
//!
//! The load is that of a deployment with 16 accounts whose usage follows a Zipf distribution. Requests of 2,400 tokens
//! arrive in groups of 3, each group at a VM chosen at random. The limit of an account is 1.8 times its usage, and at
//! least 4,200 tokens a second.

mod support;

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::accounts::{
    TOKENS_PER_REQUEST, WINDOW, account, allowed_in_window, config, peak_window_tokens, request,
    tuning,
};
use support::{Answer, World};

/// The requests of all accounts per second in a calm time.
const REQUESTS_PER_SECOND: f64 = 405.0;
/// The number of accounts.
const ACCOUNTS: u32 = 16;
/// The exponent of the distribution of requests over accounts.
const ZIPF_EXPONENT: f64 = 1.2;
/// The number of requests that arrive together.
const GROUP: usize = 3;
/// The ratio of an account's limit to its usual usage.
const LIMIT_TO_USAGE: f64 = 1.8;
/// The least limit in tokens per second.
const LEAST_LIMIT: u64 = 4_200;
/// The ratio of a flooding account's load to its usual load.
const FLOOD: f64 = 7.5;
/// The interval at which callers send requests.
const STEP: Span = Span::from_millis(5);
/// The time that a fleet runs before a case begins, longer than a window and the time of a loan.
const WARM_UP: Span = Span::from_secs(12);

/// The callers of one account.
struct Callers {
    /// The name of the account, which is also its key.
    name: String,
    /// The groups of requests per second.
    groups: f64,
    /// The ratio of its load to its usual load.
    load_factor: f64,
    /// The limits in tokens per second, each with the time from which on it applies.
    limits: Vec<(Instant, u64)>,
}

impl Callers {
    /// Returns the limit that applies at a time.
    fn limit(&self, at: Instant) -> u64 {
        let applied = self.limits.iter().rev().find(|(since, _)| *since <= at);
        applied.expect("a limit").1
    }
}

/// A fleet and the callers of its accounts.
struct Load {
    /// The fleet.
    world: World,
    /// The number of VMs.
    vms: usize,
    /// The callers of each account, the largest first.
    callers: Vec<Callers>,
    /// Random numbers of the load.
    rng: ChaCha8Rng,
    /// The version of the last configuration.
    version: u64,
    /// The number of requests sent.
    sent: usize,
}

impl Load {
    /// Creates a fleet that has run under calm load for [`WARM_UP`].
    fn new(vms: usize, seed: u64) -> Self {
        let world = World::with_tuning(vms, 0, 4, tuning());
        let weights: Vec<f64> = (1..=ACCOUNTS)
            .map(|k| f64::from(k).powf(-ZIPF_EXPONENT))
            .collect();
        let total: f64 = weights.iter().sum();
        let now = world.now;
        let callers = weights.iter().enumerate().map(|(at, weight)| {
            let requests = REQUESTS_PER_SECOND * weight / total;
            let usage = requests * TOKENS_PER_REQUEST.as_f64();
            Callers {
                name: format!("a{at}"),
                groups: requests / count(GROUP),
                load_factor: 1.0,
                limits: vec![(now, whole(usage * LIMIT_TO_USAGE).max(LEAST_LIMIT))],
            }
        });
        let mut load = Self {
            vms,
            callers: callers.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
            sent: 0,
            world,
        };
        load.configure();
        load.world.run(Span::from_secs(2));
        load.run(WARM_UP);
        load
    }

    /// Writes a configuration with the accounts and their present limits, as the operator.
    fn configure(&mut self) {
        self.version += 1;
        let now = self.world.now;
        let accounts = self.callers.iter();
        let accounts = accounts.map(|c| account(&c.name, &[&c.name], c.limit(now)));
        let config = config(self.version, accounts.collect());
        self.world.configure(config);
    }

    /// Runs the fleet for a while with all callers sending.
    fn run(&mut self, span: Span) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.send();
            self.world.run(STEP);
        }
    }

    /// Sends the requests of one step, at random intervals with the callers' mean rates.
    fn send(&mut self) {
        for at in 0..self.callers.len() {
            let callers = &self.callers[at];
            let mut expected = callers.groups * callers.load_factor * STEP.as_secs_f64();
            while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
                expected -= 1.0;
                let vm = self.rng.random_range(0..self.vms);
                for _ in 0..GROUP {
                    self.sent += 1;
                    let name = &self.callers[at].name;
                    let id = format!("{name}-{}", self.sent);
                    self.world.send_request(vm, request(&id, name));
                }
            }
        }
    }

    /// Returns, for each account, the number of requests sent from `from` on that the oracle admits, and of those that
    /// the fleet admitted. Requests to VMs that were down count for neither.
    fn admitted(&self, from: Instant) -> BTreeMap<String, (usize, usize)> {
        let mut windows: BTreeMap<&str, VecDeque<Instant>> = BTreeMap::new();
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let by_name: BTreeMap<&str, &Callers> =
            self.callers.iter().map(|c| (c.name.as_str(), c)).collect();
        let mut records: Vec<_> = self.world.requests.iter().collect();
        records.sort_by_key(|(number, record)| (record.at, **number));
        for (_, record) in records {
            if matches!(record.ended, Some((_, Answer::Lost))) {
                continue;
            }
            let name = record.request.id.split('-').next().unwrap_or_default();
            let limit = by_name[name].limit(record.at);
            let window = windows.entry(by_name[name].name.as_str()).or_default();
            while window.front().is_some_and(|at| *at + WINDOW <= record.at) {
                window.pop_front();
            }
            let used = count(window.len() + 1) * TOKENS_PER_REQUEST.as_f64();
            let is_admitted = used <= count_u64(limit) * (WINDOW.as_secs_f64() + 1.0);
            if is_admitted {
                window.push_back(record.at);
            }
            if record.at >= from {
                let counts = counts.entry(name.to_owned()).or_default();
                counts.0 += usize::from(is_admitted);
                counts.1 += usize::from(!record.runs.is_empty());
            }
        }
        counts
    }

    /// Asserts that the fleet admitted at least `least` of the oracle's tokens of the requests sent from `from` on, and
    /// that no account used more in any window than allowed.
    fn check(&mut self, case: &str, from: Instant, least: f64) {
        self.world.run(Span::from_secs(1));
        let counts = self.admitted(from);
        let ratio = |(oracle, fleet): (usize, usize)| count(fleet) / count(oracle.max(1));
        let each: Vec<String> = self
            .callers
            .iter()
            .map(|c| {
                format!(
                    "{:.2}",
                    ratio(counts.get(&c.name).copied().unwrap_or_default())
                )
            })
            .collect();
        let sum = |sum: (usize, usize), next: &(usize, usize)| (sum.0 + next.0, sum.1 + next.1);
        let total = ratio(counts.values().fold((0, 0), sum));
        let report = format!("{case}, {} VMs: {total:.4} of {counts:?}", self.vms);
        eprintln!(
            "{case}, {} VMs: {total:.4}, by account {}",
            self.vms,
            each.join(" ")
        );
        self.check_windows();
        assert!(total >= least, "{report}");
    }

    /// Asserts that no account used more in any window than its highest limit allows.
    fn check_windows(&self) {
        for callers in &self.callers {
            let highest = callers.limits.iter().map(|(_, limit)| *limit).max();
            let allowed = allowed_in_window(highest.expect("a limit"));
            let peak = peak_window_tokens(&self.world, &callers.name);
            assert!(peak <= allowed, "{}: {peak} of {allowed}", callers.name);
        }
        self.world.check_invariants();
    }

    /// Returns the number of loan requests that VMs have sent.
    fn loan_requests(&self) -> u64 {
        let sent = self.world.messages_by_kind.get("loan_request");
        sent.copied().unwrap_or_default()
    }

    /// Returns the number of messages about tokens that VMs have sent.
    fn token_messages(&self) -> u64 {
        let kinds = ["loan_request", "loan_answer", "lend_request", "lend_answer"];
        let sent = kinds
            .iter()
            .filter_map(|kind| self.world.messages_by_kind.get(kind));
        sent.sum()
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("small"))
}

fn count_u64(number: u64) -> f64 {
    f64::from(u32::try_from(number).expect("small"))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> u64 {
    number as u64
}

/// Guards against requests within a limit being refused. Returns the number of loan requests per request.
fn calm(vms: usize) -> f64 {
    let mut load = Load::new(vms, 1);
    let (from, sent, loans) = (load.world.now, load.sent, load.loan_requests());
    let messages = load.token_messages();
    load.run(Span::from_secs(12));
    let requests = count(load.sent - sent);
    let per_request = count_u64(load.loan_requests() - loans) / requests;
    let messages = count_u64(load.token_messages() - messages) / requests;
    eprintln!("{per_request:.4} loan requests and {messages:.4} messages per request");
    load.check("calm", from, 0.97);
    per_request
}

/// Guards against a message for each request in a calm time.
#[test]
fn loanrequests_fewwhilecalm() {
    let per_request = calm(70);
    assert!(
        per_request <= 0.02,
        "{per_request} loan requests per request"
    );
}

#[test]
fn calm_70vms() {
    calm(70);
}

#[test]
fn calm_300vms() {
    calm(300);
}

/// Guards against tokens that stay unused in shares and loans while accounts of each size ask for more than their
/// limits, and against messages for each refused request.
fn long_flood(vms: usize) {
    let mut load = Load::new(vms, 2);
    let from = load.world.now;
    for at in [0, 4, 12] {
        load.callers[at].load_factor = FLOOD;
    }
    let (sent, messages) = (load.sent, load.token_messages());
    load.run(Span::from_secs(20));
    let messages = count_u64(load.token_messages() - messages) / count(load.sent - sent);
    eprintln!("{messages:.4} messages per request");
    load.check("long flood", from, 0.97);
}

#[test]
fn longflood_70vms() {
    long_flood(70);
}

#[test]
fn longflood_300vms() {
    long_flood(300);
}

/// Guards against a small account that gets less than its window allows, which the sum over all accounts does not show.
#[test]
fn longflood_eachaccount() {
    let mut load = Load::new(70, 2);
    let from = load.world.now;
    let flooding = [0, 4, 12];
    for at in flooding {
        load.callers[at].load_factor = FLOOD;
    }
    load.run(Span::from_secs(20));
    load.world.run(Span::from_secs(1));
    let counts = load.admitted(from);
    for at in flooding {
        let (oracle, fleet) = counts[&load.callers[at].name];
        let ratio = count(fleet) / count(oracle);
        assert!(ratio >= 0.97, "a{at}: {ratio:.4} of {oracle} requests");
    }
}

/// Guards against borrowed tokens that come to nothing and are missing for a window: more than the part of the tokens
/// that a flood may cost in all.
#[test]
fn loans_rarelylapse() {
    let mut load = Load::new(70, 2);
    for at in [0, 4, 12] {
        load.callers[at].load_factor = FLOOD;
    }
    let sum = |load: &Load, label: &str| {
        let key = (Figure::AccountTokens, label.to_owned());
        load.world.figures.get(&key).copied().unwrap_or_default()
    };
    let (lent, lapsed) = (sum(&load, "lent"), sum(&load, "lapsed"));
    load.run(Span::from_secs(20));
    let (lent, lapsed) = (sum(&load, "lent") - lent, sum(&load, "lapsed") - lapsed);
    let ratio = lapsed / lent;
    assert!(ratio <= 0.03, "{ratio:.4} of {lent} lent tokens lapsed");
}

/// Guards against a burst that the window allows being refused, and against refusals that last beyond the flood.
fn short_flood(vms: usize) {
    let mut load = Load::new(vms, 3);
    let from = load.world.now;
    for at in [0, 4, 12] {
        load.callers[at].load_factor = FLOOD;
    }
    load.run(Span::from_secs(5));
    for callers in &mut load.callers {
        callers.load_factor = 1.0;
    }
    load.run(Span::from_secs(9));
    load.check("short flood", from, 0.97);
}

#[test]
fn shortflood_70vms() {
    short_flood(70);
}

#[test]
fn shortflood_300vms() {
    short_flood(300);
}

/// Guards against less than a lowered limit being admitted while the account uses more, and against more than the
/// lowered limit in windows that begin one window after the change.
fn lowered(vms: usize) {
    let mut load = Load::new(vms, 4);
    let from = load.world.now;
    for at in [0, 4] {
        let limit = load.callers[at].limit(from);
        load.callers[at].limits.push((from, limit * 3 / 10));
    }
    load.configure();
    load.run(Span::from_secs(20));
    load.check("lowered", from, 0.97);
    let in_force = from + WINDOW + Span::from_secs(2);
    load.world
        .requests
        .retain(|_, record| record.at >= in_force);
    for callers in &mut load.callers {
        callers.limits = vec![(from, callers.limit(in_force))];
    }
    load.check_windows();
}

#[test]
fn lowered_70vms() {
    lowered(70);
}

#[test]
fn lowered_300vms() {
    lowered(300);
}

/// Guards against refusals on either side of a partition that has less than all shares.
fn partition(vms: usize) {
    let mut load = Load::new(vms, 5);
    let from = load.world.now;
    let set_partition = |load: &mut Load, is_cut: bool| {
        for vm in 0..vms / 3 {
            load.world.vms[vm].partition = u8::from(is_cut);
            load.world.vms[vm].store_reachable = !is_cut;
        }
    };
    set_partition(&mut load, true);
    load.run(Span::from_secs(12));
    set_partition(&mut load, false);
    load.check("partition", from, 0.93);
}

#[test]
fn partition_70vms() {
    partition(70);
}

#[test]
fn partition_300vms() {
    partition(300);
}

/// Guards against new processes that refuse requests for a window, and against tokens that are used before and after a
/// restart.
fn restart(vms: usize) {
    let mut load = Load::new(vms, 6);
    for vm in 0..vms {
        load.world.kill(vm, false);
    }
    load.run(Span::from_millis(1_000));
    let from = load.world.now;
    load.run(Span::from_secs(9));
    load.check("restart", from, 0.93);
}

#[test]
fn restart_70vms() {
    restart(70);
}

#[test]
fn restart_300vms() {
    restart(300);
}
