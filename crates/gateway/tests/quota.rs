//! The limits of client accounts over all VMs together.
//!
//! The loads are those of a deployment with 16 accounts: most get 4,200 tokens a second, a few many times that; a request counts as
//! some 2,400, and the usual use is 1/1.8 of the limit. So a small account sends one request a second, over as many VMs as there are,
//! and a share of an equal split never suffices for one. The bound is the users': in no window of eight seconds more than the limit, a
//! tenth more and 17,000 tokens, all VMs summed, in touch or not.

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

/// A small account's tokens a second.
const SMALL: u64 = 4_200;
/// A middling one's.
const MIDDLING: u64 = 40_000;
/// A large one's.
const LARGE: u64 = 400_000;
/// A limit in proportion to the usual use.
const ROOM: f64 = 1.8;
/// How many times its usual use a flooding account sends.
const FLOOD: f64 = 7.5;
/// Steps of the load.
const STEP: Span = Span::from_millis(5);

/// One account's callers.
struct Callers {
    /// The account, and its key.
    name: String,
    /// Its tokens a second.
    rate: u64,
    /// The VMs that its connections are at.
    vms: Vec<usize>,
    /// How many times its usual use it sends.
    times: f64,
}

/// A fleet and the callers of its accounts.
struct Load {
    world: World,
    callers: Vec<Callers>,
    rng: ChaCha8Rng,
    version: u64,
    sent: usize,
}

impl Load {
    /// A fleet with eight small accounts, two middling and two large ones.
    fn new(vms: usize, seed: u64) -> Self {
        Self::among(World::with_tuning(vms, 0, 4, tuning()), vms, seed)
    }

    fn among(world: World, vms: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rates = [SMALL; 8]
            .into_iter()
            .chain([MIDDLING, MIDDLING, LARGE, LARGE]);
        let mut callers: Vec<Callers> = Vec::new();
        for (at, rate) in rates.enumerate() {
            let connections = if rate == LARGE { 48 } else { 8 };
            let vms = (0..connections).map(|_| rng.random_range(0..vms));
            callers.push(Callers {
                name: format!("a{at}"),
                rate,
                vms: vms.collect(),
                times: 1.0,
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

    /// The operator writes the accounts as they are now.
    fn configure(&mut self) {
        self.version += 1;
        let accounts = self
            .callers
            .iter()
            .map(|c| account(&c.name, &[&c.name], c.rate));
        self.world
            .configure(config(self.version, accounts.collect()));
    }

    /// Has all callers send for a while.
    fn run(&mut self, span: Span) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.send();
            self.world.run(STEP);
        }
    }

    fn send(&mut self) {
        for at in 0..self.callers.len() {
            let callers = &self.callers[at];
            let tokens = usage(callers.rate) * callers.times * STEP.as_secs_f64();
            let mut due = tokens / TOKENS_PER_REQUEST.as_f64();
            while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
                due -= 1.0;
                let callers = &self.callers[at];
                let vm = callers.vms[self.rng.random_range(0..callers.vms.len())];
                self.sent += 1;
                let id = format!("{}-{}", callers.name, self.sent);
                self.world.send_request(vm, request(&id, &callers.name));
            }
        }
    }

    /// That no window saw more of an account than it may.
    fn check(&self) {
        for callers in &self.callers {
            let worst = peak_window_tokens(&self.world, &callers.name);
            let allowed = allowed_in_window(callers.rate);
            assert!(worst <= allowed, "{}: {worst} of {allowed}", callers.name);
        }
        self.world.check_invariants();
    }

    /// The part in a hundred that was refused, of the requests that accounts sent in a time: those that flood or the others.
    fn refused(&self, floods: bool, from: Instant, until: Instant) -> f64 {
        let shares = served_and_sent(&self.world, from, until);
        let (mut served, mut sent) = (0, 0);
        for callers in self.callers.iter().filter(|c| (c.times > 1.0) == floods) {
            let (some, all) = shares.get(&callers.name).copied().unwrap_or_default();
            served += some;
            sent += all;
        }
        percent(sent - served, sent)
    }

    /// Has the accounts of these numbers send many times their usual.
    fn flood(&mut self, accounts: &[usize]) {
        for at in accounts {
            self.callers[*at].times = FLOOD;
        }
    }

    /// Has all callers send for a while, and checks all. Gives the part in a hundred that was refused of what was within its limit.
    fn play(&mut self, span: Span) -> f64 {
        let begin = self.world.now;
        self.run(span);
        let end = self.world.now;
        self.world.run(Span::from_secs(1));
        self.check();
        self.refused(false, begin, end)
    }

    /// Messages on tokens so far.
    fn messages(&self) -> u64 {
        let kinds = ["draw", "grant", "collect", "deposit"];
        let sent = kinds
            .iter()
            .filter_map(|kind| self.world.messages_by_kind.get(kind));
        sent.sum()
    }

    /// What an account got in a time, as a part of its rate.
    fn got(&self, at: usize, from: Instant, until: Instant) -> f64 {
        let callers = &self.callers[at];
        let (served, _) = served_and_sent(&self.world, from, until)[&callers.name];
        let served = u32::try_from(served).expect("few");
        let rate = usage(callers.rate) * ROOM * until.since(from).as_secs_f64();
        f64::from(served) * TOKENS_PER_REQUEST.as_f64() / rate
    }
}

/// An account's usual use in tokens a second.
fn usage(rate: u64) -> f64 {
    f64::from(u32::try_from(rate).expect("small")) / ROOM
}

fn percent(some: usize, all: usize) -> f64 {
    let number = |count: usize| f64::from(u32::try_from(count).expect("few"));
    100.0 * number(some) / number(all.max(1))
}

/// A quiet time: nothing within the limit is refused, small accounts as little as large ones.
#[test]
fn quiet_nothingisrefused() {
    for (vms, seed) in [(6, 1), (70, 2), (70, 3), (300, 4)] {
        let mut load = Load::new(vms, seed);
        let refused = load.play(Span::from_secs(12));
        assert!(refused < 0.3, "{vms} VMs: {refused} in a hundred");
    }
}

/// Some accounts send many times their usual: they get what they may, and nobody else is refused for it.
#[test]
fn flood_leavesothersalone() {
    for (vms, seed) in [(6, 1), (70, 2), (300, 3)] {
        let mut load = Load::new(vms, seed);
        load.run(Span::from_secs(4));
        let begin = load.world.now;
        load.flood(&[0, 8, 10]);
        let refused = load.play(Span::from_secs(10));
        let end = begin + Span::from_secs(10);
        assert!(refused < 1.0, "{vms} VMs: {refused} in a hundred");
        for at in [8, 10] {
            let got = load.got(at, begin, end);
            assert!(got > 0.9, "{vms} VMs: account {at} got {got} of its rate");
        }
    }
}

/// A third of the VMs is cut off from all others and from the key-value service while accounts flood.
#[test]
fn cut_leavesboththeirshares() {
    let mut load = Load::new(70, 5);
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
    load.check();
    let refused = load.refused(false, begin, end);
    assert!(refused < 10.0, "{refused} in a hundred");
}

/// All VMs are killed again and again while accounts flood: what one start has used the next one does not have once more.
#[test]
fn restarts_repeatnothing() {
    let mut load = Load::new(24, 6);
    load.flood(&[0, 8, 10]);
    for _ in 0..6 {
        load.run(Span::from_millis(2_500));
        for vm in 0..24 {
            load.world.kill(vm, false);
        }
    }
    load.run(Span::from_secs(4));
    load.check();
}

/// The strongest VMs, one of which keeps the pool, are killed, stand still or are cut off in turn.
#[test]
fn keeper_failsagainandagain() {
    let strengths: Vec<u32> = (0..70).map(|vm| if vm < 6 { 50 } else { 12 }).collect();
    let world = World::with_strengths(&strengths, 0, 4, tuning());
    let mut load = Load::among(world, 70, 7);
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
    load.check();
    let refused = load.refused(false, begin, end);
    assert!(refused < 10.0, "{refused} in a hundred");
}

/// A limit falls to a tenth while its account floods: the lower one holds a window after it is in force.
#[test]
fn limit_fallsinaflood() {
    let mut load = Load::new(24, 8);
    load.flood(&[10]);
    load.run(Span::from_secs(4));
    load.callers[10].rate = LARGE / 10;
    load.callers[10].times = FLOOD * 10.0;
    load.configure();
    load.run(Span::from_secs(2));
    load.world.requests.clear();
    load.run(Span::from_secs(12));
    load.check();
}

/// All connections of an account move to one VM in an instant.
#[test]
fn connections_moveatonce() {
    for account in [0, 8, 10] {
        let mut load = Load::new(70, 9);
        load.run(Span::from_secs(4));
        load.callers[account].vms = vec![60];
        let refused = load.play(Span::from_secs(8));
        assert!(refused < 1.0, "account {account}: {refused} in a hundred");
    }
}

/// Callers that are over the limit are told at once, and not to come back together.
#[test]
fn refusal_spreadscallers() {
    let mut load = Load::new(70, 10);
    load.flood(&[10]);
    load.run(Span::from_secs(6));
    let mut returns: Vec<u64> = Vec::new();
    for asked in load.world.requests.values() {
        if let Some((at, support::Answer::Refused(_, Some(after)))) = &asked.ended {
            assert!(
                at.since(asked.at) < Span::from_millis(400),
                "{}",
                asked.request.id
            );
            returns.push((*at + *after).0 / 100_000);
        }
    }
    let all = returns.len();
    returns.sort_unstable();
    let most = returns.chunk_by(|a, b| a == b).map(<[u64]>::len).max();
    let most = most.expect("some are refused");
    assert!(most * 10 < all, "{most} of {all} come back within 100 ms");
}

/// An account that does with its share costs no message.
#[test]
fn messages_nonewhilesharessuffice() {
    let mut load = Load::new(6, 11);
    for callers in &mut load.callers {
        callers.times = if callers.rate == LARGE { 0.3 } else { 0.0 };
        callers.vms = (0..6).collect();
    }
    let before = load.messages();
    load.run(Span::from_secs(10));
    assert!(load.sent > 500, "{}", load.sent);
    assert_eq!(load.messages(), before);
}

/// Without the pool an equal split serves small accounts nothing: a share never holds the tokens of one request.
#[test]
fn split_alonestarvessmallaccounts() {
    let without = DisabledFeatures::from_iter([Feature::TokenPool]);
    let world = World::without_features(70, 0, 4, tuning(), without);
    let mut load = Load::among(world, 70, 2);
    load.run(Span::from_secs(8));
    load.check();
    let shares = served_and_sent(&load.world, Instant::default(), load.world.now);
    assert_eq!(shares["a0"].0, 0);
}

/// Random series of faults while accounts flood in turn.
#[test]
fn limits_holdamongfaults() {
    for seed in 0..seeds(10) {
        let mut series = FaultSeries::with_tuning(seed, tuning());
        let mut load = Load::among(
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
                let flooding = load.callers[at].times > 1.0;
                load.callers[at].times = if flooding { 1.0 } else { FLOOD };
            }
            load.run(Span::from_millis(20));
        }
        for callers in &load.callers {
            let worst = peak_window_tokens(&load.world, &callers.name);
            let allowed = allowed_in_window(callers.rate);
            assert!(
                worst <= allowed,
                "seed {seed} {}: {worst} of {allowed}",
                callers.name
            );
        }
        load.world.check_invariants();
    }
}

/// Callers leave while they wait for tokens: what was drawn for them serves the next requests at their VMs.
#[test]
fn caller_leavingcostsnotokens() {
    let mut load = Load::new(6, 12);
    for vm in 0..2 {
        let number = load
            .world
            .send_request(vm, request(&format!("left-{vm}"), "a0"));
        load.world.disconnect_caller(number);
        load.world.run(Span::from_millis(20));
    }
    let before = load.messages();
    for vm in 0..2 {
        load.world
            .send_request(vm, request(&format!("a0-{vm}"), "a0"));
    }
    load.world.run(Span::from_secs(1));
    load.check();
    let all = served_and_sent(&load.world, Instant::default(), load.world.now);
    assert_eq!(all["a0"], (2, 2));
    assert_eq!(load.messages(), before);
}

/// Requests whose servers can't be reached don't run: each gives all its tokens back, also where its VM's share holds more than that.
#[test]
fn tokens_ofwhatdidnotrunareback() {
    let mut load = Load::new(6, 13);
    let before = load.messages();
    let ask = |load: &mut Load, times: usize| {
        for at in 0..times {
            load.world
                .send_request(at % 6, request(&format!("a10-{at}"), "a10"));
        }
        load.world.run(Span::from_millis(20));
    };
    let reach = |load: &mut Load, up: bool| {
        for (server, _) in load.world.servers.values_mut() {
            server.up = up;
        }
    };
    reach(&mut load, false);
    for _ in 0..6 {
        ask(&mut load, 60);
    }
    reach(&mut load, true);
    ask(&mut load, 60);
    load.world.run(Span::from_secs(1));
    load.check();
    assert_eq!(load.messages(), before);
}
