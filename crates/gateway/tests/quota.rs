//! The quotas of client accounts over all VMs together.
//!
//! The loads are those of a deployment with 16 accounts: most have a limit of 4,200 tokens a second, a few a limit many
//! times as high; a request costs about 2,400 tokens, and the usual usage is 1/1.8 of the limit. A small account
//! therefore sends about one request a second over all VMs, and a VM's equal share of the account's tokens never
//! suffices for a request.
//!
//! The requirement: in any window of eight seconds the tokens used on all VMs together, also on VMs that can't
//! reach each other, exceed the limit by at most a tenth and 17,000 tokens.

mod support;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::World;
use support::accounts::{
    TOKENS_PER_REQUEST, account, allowed_in_window, config, peak_window_tokens, request,
    served_and_sent, tuning,
};
use support::series::{FaultSeries, VMS, seeds};

/// The limit of a small account in tokens per second.
const SMALL: u64 = 4_200;
/// The limit of a medium account in tokens per second.
const MEDIUM: u64 = 40_000;
/// The limit of a large account in tokens per second.
const LARGE: u64 = 400_000;
/// The ratio of an account's limit to its usual usage.
const LIMIT_TO_USAGE: f64 = 1.8;
/// The ratio of a flooding account's load to its usual usage.
const FLOOD: f64 = 7.5;
/// The interval at which callers send requests.
const STEP: Span = Span::from_millis(5);

/// The callers of one account.
struct Callers {
    /// The name of the account, which is also its key.
    name: String,
    /// The limit of the account in tokens per second.
    rate: u64,
    /// The VM of each of its connections.
    vms: Vec<usize>,
    /// The ratio of its load to its usual usage.
    load_factor: f64,
}

/// A fleet and the callers of its accounts.
struct Load {
    /// The fleet.
    world: World,
    /// The callers of each account.
    callers: Vec<Callers>,
    /// Random numbers of the load.
    rng: ChaCha8Rng,
    /// The version of the last configuration.
    version: u64,
    /// The number of requests sent.
    sent: usize,
}

impl Load {
    /// Creates a fleet with eight small, two medium and two large accounts.
    fn new(vms: usize, seed: u64, without: DisabledFeatures) -> Self {
        let world = World::without_features(vms, 0, 4, tuning(), without);
        Self::with_world(world, vms, seed)
    }

    /// Creates the accounts in an existing fleet of `vms` VMs.
    fn with_world(world: World, vms: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rates = [SMALL; 8].into_iter().chain([MEDIUM, MEDIUM, LARGE, LARGE]);
        let mut callers: Vec<Callers> = Vec::new();
        for (at, rate) in rates.enumerate() {
            let connections = if rate == LARGE { 48 } else { 8 };
            let vms = (0..connections).map(|_| rng.random_range(0..vms));
            callers.push(Callers {
                name: format!("a{at}"),
                rate,
                vms: vms.collect(),
                load_factor: 1.0,
            });
        }
        let mut load = Self {
            world,
            callers,
            rng,
            version: 1,
            sent: 0,
        };
        load.configure();
        load.world.run(Span::from_secs(6));
        load
    }

    /// Writes a configuration with the accounts and their present limits, as the operator.
    fn configure(&mut self) {
        self.version += 1;
        let accounts = self
            .callers
            .iter()
            .map(|c| account(&c.name, &[&c.name], c.rate));
        self.world
            .configure(config(self.version, accounts.collect()));
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
            let tokens = usage(callers.rate) * callers.load_factor * STEP.as_secs_f64();
            let mut expected = tokens / TOKENS_PER_REQUEST.as_f64();
            while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
                expected -= 1.0;
                let callers = &self.callers[at];
                let vm = callers.vms[self.rng.random_range(0..callers.vms.len())];
                self.sent += 1;
                let id = format!("{}-{}", callers.name, self.sent);
                self.world.send_request(vm, request(&id, &callers.name));
            }
        }
    }

    /// Asserts that no account uses more tokens in a window than allowed, and that the invariants hold.
    fn check_limits(&self) {
        for callers in &self.callers {
            let peak = peak_window_tokens(&self.world, &callers.name);
            let allowed = allowed_in_window(callers.rate);
            assert!(
                peak <= allowed,
                "{}: {peak} tokens in a window, {allowed} allowed",
                callers.name
            );
        }
        self.world.check_invariants();
    }

    /// Returns the percentage of refused requests among those sent between two times, for the flooding accounts or for
    /// the others.
    fn refused_percent(&self, flooding: bool, from: Instant, until: Instant) -> f64 {
        let counts = served_and_sent(&self.world, from, until);
        let (mut served, mut sent) = (0, 0);
        for callers in self
            .callers
            .iter()
            .filter(|c| (c.load_factor > 1.0) == flooding)
        {
            let (account_served, account_sent) =
                counts.get(&callers.name).copied().unwrap_or_default();
            served += account_served;
            sent += account_sent;
        }
        percent(sent - served, sent)
    }

    /// Makes the accounts with these numbers send many times their usual load.
    fn flood(&mut self, accounts: &[usize]) {
        for at in accounts {
            self.callers[*at].load_factor = FLOOD;
        }
    }

    /// Runs the fleet for a while with all callers sending, and checks the limits. Returns the percentage of
    /// requests that were refused, of accounts that stay within their limits.
    fn run_and_check(&mut self, span: Span) -> f64 {
        let begin = self.world.now;
        self.run(span);
        let end = self.world.now;
        self.world.run(Span::from_secs(1));
        self.check_limits();
        self.refused_percent(false, begin, end)
    }

    /// Returns the number of messages about tokens that VMs have sent.
    fn token_messages(&self) -> u64 {
        let kinds = [
            "draw",
            "grant",
            "collect",
            "deposit",
            "loan_request",
            "loan_answer",
            "lend_request",
            "lend_answer",
        ];
        let sent = kinds
            .iter()
            .filter_map(|kind| self.world.messages_by_kind.get(kind));
        sent.sum()
    }

    /// Returns the tokens that an account used between two times, as a fraction of the tokens of its limit in that
    /// time.
    fn used_fraction(&self, at: usize, from: Instant, until: Instant) -> f64 {
        let callers = &self.callers[at];
        let (served, _) = served_and_sent(&self.world, from, until)[&callers.name];
        let served = u32::try_from(served).expect("few");
        let rate = usage(callers.rate) * LIMIT_TO_USAGE * until.since(from).as_secs_f64();
        f64::from(served) * TOKENS_PER_REQUEST.as_f64() / rate
    }
}

/// Returns the usual usage of an account with this limit, in tokens per second.
fn usage(rate: u64) -> f64 {
    f64::from(u32::try_from(rate).expect("small")) / LIMIT_TO_USAGE
}

fn percent(part: usize, all: usize) -> f64 {
    let number = |count: usize| f64::from(u32::try_from(count).expect("few"));
    100.0 * number(part) / number(all.max(1))
}

/// Runs a test with limits as sliding windows, and with token buckets.
fn each_mode(test: impl Fn(DisabledFeatures)) {
    test(DisabledFeatures::default());
    test([Feature::WindowQuota].into_iter().collect());
}

/// With the usual load of all accounts almost nothing is refused, whatever the size of the account.
#[test]
fn usualload_nothingisrefused() {
    each_mode(|without| {
        for (vms, seed) in [(6, 1), (70, 2), (70, 3), (300, 4)] {
            let mut load = Load::new(vms, seed, without);
            let refused = load.run_and_check(Span::from_secs(12));
            assert!(refused < 0.3, "{vms} VMs: {refused} % refused");
        }
    });
}

/// Some accounts send many times their usual load. They get the tokens of their limits, and less than 1 % of the
/// requests of other accounts is refused.
#[test]
fn flood_leavesothersalone() {
    each_mode(|without| {
        for (vms, seed) in [(6, 1), (70, 2), (300, 3)] {
            let mut load = Load::new(vms, seed, without);
            load.run(Span::from_secs(4));
            let begin = load.world.now;
            load.flood(&[0, 8, 10]);
            let refused = load.run_and_check(Span::from_secs(10));
            let end = begin + Span::from_secs(10);
            assert!(refused < 1.0, "{vms} VMs: {refused} % refused");
            for at in [8, 10] {
                let used = load.used_fraction(at, begin, end);
                assert!(
                    used > 0.9,
                    "{vms} VMs: account {at} used {used} of its rate"
                );
            }
        }
    });
}

/// A third of the VMs is partitioned from all others and from the key-value service while accounts flood. The VMs on
/// both sides keep their shares, and together they stay within the limits.
#[test]
fn partition_bothsideskeepshares() {
    each_mode(|without| {
        let mut load = Load::new(70, 5, without);
        load.flood(&[0, 8, 10]);
        load.run(Span::from_secs(4));
        let begin = load.world.now;
        for vm in 0..23 {
            load.world.vms[vm].partition = 1;
            load.world.vms[vm].store_reachable = false;
        }
        load.run(Span::from_secs(12));
        let end = load.world.now;
        for vm in 0..23 {
            load.world.vms[vm].partition = 0;
            load.world.vms[vm].store_reachable = true;
        }
        load.run(Span::from_secs(6));
        load.check_limits();
        let refused = load.refused_percent(false, begin, end);
        assert!(refused < 10.0, "{refused} % refused");
    });
}

/// All VMs are killed repeatedly while accounts flood. A new process must not get the tokens again that the VM's
/// previous process has used.
#[test]
fn restarts_grantnothingtwice() {
    each_mode(|without| {
        let mut load = Load::new(24, 6, without);
        load.flood(&[0, 8, 10]);
        for _ in 0..6 {
            load.run(Span::from_millis(2_500));
            for vm in 0..24 {
                load.world.kill(vm, false);
            }
        }
        load.run(Span::from_secs(4));
        load.check_limits();
    });
}

/// The strongest VMs, one of which is the pool owner, are killed, frozen or disconnected in turn.
#[test]
fn poolowner_failsrepeatedly() {
    each_mode(|without| {
        let strengths: Vec<u32> = (0..70).map(|vm| if vm < 6 { 50 } else { 12 }).collect();
        let world = World::configured(&strengths, 0, 4, tuning(), without);
        let mut load = Load::with_world(world, 70, 7);
        load.flood(&[0, 8, 10]);
        let begin = load.world.now;
        for round in 0..12 {
            let vm = round % 6;
            match round % 3 {
                0 => load.world.kill(vm, false),
                1 => load.world.freeze(vm, Span::from_millis(1_500)),
                _ => load.world.vms[vm].network_up = false,
            }
            load.run(Span::from_secs(2));
            load.world.vms[vm].network_up = true;
        }
        let end = load.world.now;
        load.world.run(Span::from_secs(1));
        load.check_limits();
        let refused = load.refused_percent(false, begin, end);
        assert!(refused < 10.0, "{refused} % refused");
    });
}

/// The limit of an account is lowered to a tenth while the account floods. The lower limit holds in all windows that
/// begin 2 s after the change or later.
#[test]
fn limit_loweredinaflood() {
    each_mode(|without| {
        let mut load = Load::new(24, 8, without);
        load.flood(&[10]);
        load.run(Span::from_secs(4));
        load.callers[10].rate = LARGE / 10;
        load.callers[10].load_factor = FLOOD * 10.0;
        load.configure();
        load.run(Span::from_secs(2));
        load.world.requests.clear();
        load.run(Span::from_secs(12));
        load.check_limits();
    });
}

/// All connections of an account move to one VM at the same time.
#[test]
fn connections_moveatonce() {
    each_mode(|without| {
        for account in [0, 8, 10] {
            let mut load = Load::new(70, 9, without);
            load.run(Span::from_secs(4));
            load.callers[account].vms = vec![60];
            let refused = load.run_and_check(Span::from_secs(8));
            assert!(refused < 1.0, "account {account}: {refused} % refused");
        }
    });
}

/// Requests over the limit are refused within 400 ms, and the retry times are spread so that less than a tenth of the
/// callers retry within the same 100 ms.
#[test]
fn refusal_spreadsretries() {
    each_mode(|without| {
        let mut load = Load::new(70, 10, without);
        load.flood(&[10]);
        load.run(Span::from_secs(6));
        let mut retries: Vec<u64> = Vec::new();
        for record in load.world.requests.values() {
            if let Some((at, support::Answer::Refused(_, Some(after)))) = &record.ended {
                assert!(
                    at.since(record.at) < Span::from_millis(400),
                    "{}",
                    record.request.id
                );
                retries.push((*at + *after).0 / 100_000);
            }
        }
        let all = retries.len();
        retries.sort_unstable();
        let most = retries.chunk_by(|a, b| a == b).map(<[u64]>::len).max();
        let most = most.expect("some are refused");
        assert!(
            most * 10 < all,
            "{most} of {all} retry within the same 100 ms"
        );
    });
}

/// An account for which the VMs' own shares suffice causes no messages.
#[test]
fn messages_nonewhilesharessuffice() {
    each_mode(|without| {
        let mut load = Load::new(6, 11, without);
        for callers in &mut load.callers {
            callers.load_factor = if callers.rate == LARGE { 0.3 } else { 0.0 };
            callers.vms = (0..6).collect();
        }
        let before = load.token_messages();
        load.run(Span::from_secs(10));
        assert!(load.sent > 500, "{}", load.sent);
        assert_eq!(load.token_messages(), before);
    });
}

/// Without the token pool an equal split serves no request of a small account, since a VM's share never has the
/// tokens of one request. This shows why the pool is needed.
#[test]
fn split_alonestarvessmallaccounts() {
    let without = DisabledFeatures::from_iter([Feature::TokenPool, Feature::WindowQuota]);
    let world = World::without_features(70, 0, 4, tuning(), without);
    let mut load = Load::with_world(world, 70, 2);
    load.run(Span::from_secs(8));
    load.check_limits();
    let counts = served_and_sent(&load.world, Instant::default(), load.world.now);
    assert_eq!(counts["a0"].0, 0);
}

/// The limits hold during random faults while accounts start and stop flooding.
#[test]
fn limits_holdamongfaults() {
    each_mode(|without| {
        for seed in 0..seeds(10) {
            let mut series = FaultSeries::without_features(seed, tuning(), without);
            let mut load = Load::with_world(
                std::mem::replace(&mut series.world, World::new(0, 0, 0)),
                VMS,
                seed,
            );
            for _ in 0..600 {
                std::mem::swap(&mut series.world, &mut load.world);
                series.step();
                std::mem::swap(&mut series.world, &mut load.world);
                if series.rng.random_bool(0.02) {
                    let at = series.rng.random_range(0..load.callers.len());
                    let flooding = load.callers[at].load_factor > 1.0;
                    load.callers[at].load_factor = if flooding { 1.0 } else { FLOOD };
                }
                load.run(Span::from_millis(20));
            }
            for callers in &load.callers {
                let peak = peak_window_tokens(&load.world, &callers.name);
                let allowed = allowed_in_window(callers.rate);
                assert!(
                    peak <= allowed,
                    "seed {seed} {}: {peak} tokens in a window, {allowed} allowed",
                    callers.name
                );
            }
            load.world.check_invariants();
        }
    });
}

/// Callers leave while their requests wait for tokens. The tokens that are granted for them serve the next requests at
/// their VMs, without another token request.
#[test]
fn caller_leavingcostsnotokens() {
    each_mode(|without| {
        // Limits as sliding windows: a VM asks 2 ms after a request has come.
        let is_window = without == DisabledFeatures::default();
        let asked = Span::from_millis(if is_window { 3 } else { 0 });
        let mut load = Load::new(6, 12, without);
        for vm in 0..2 {
            let number = load
                .world
                .send_request(vm, request(&format!("left-{vm}"), "a0"));
            load.world.run(asked);
            load.world.disconnect_caller(number);
            load.world.run(Span::from_millis(20));
        }
        let before = load.token_messages();
        assert!(before > 0, "no tokens were asked for");
        for vm in 0..2 {
            load.world
                .send_request(vm, request(&format!("a0-{vm}"), "a0"));
        }
        load.world.run(Span::from_secs(1));
        load.check_limits();
        let counts = served_and_sent(&load.world, Instant::default(), load.world.now);
        assert_eq!(counts["a0"], (2, 2));
        assert_eq!(load.token_messages(), before);
    });
}

/// Requests whose servers can't be reached do not run. Each returns all its tokens, also if its VM's share holds more
/// tokens than the request costs.
#[test]
fn tokens_ofunrunrequestsarereturned() {
    each_mode(|without| {
        let mut load = Load::new(6, 13, without);
        let before = load.token_messages();
        let send = |load: &mut Load, count: usize| {
            for at in 0..count {
                load.world
                    .send_request(at % 6, request(&format!("a10-{at}"), "a10"));
            }
            load.world.run(Span::from_millis(20));
        };
        let set_servers = |load: &mut Load, up: bool| {
            for (server, _) in load.world.servers.values_mut() {
                server.up = up;
            }
        };
        set_servers(&mut load, false);
        for _ in 0..6 {
            send(&mut load, 60);
        }
        set_servers(&mut load, true);
        send(&mut load, 60);
        load.world.run(Span::from_secs(1));
        load.check_limits();
        assert_eq!(load.token_messages(), before);
    });
}
