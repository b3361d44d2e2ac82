//! Servers that leave, and servers whose entries lapse, while single VMs or all of them lose the key-value service.
//!
//! The users' bounds: a VM with a path to the key-value service sends nothing to a server later than two seconds after the
//! service confirmed that it is leaving or gone, whatever happens to the VM from which it hears of changes. A server whose
//! entry lapsed in an outage is alive, writes its entry again within two seconds, and is used all the while.

mod support;

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{EntryKey, EntryValue};
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::series::seeds;
use support::setup::{name, request};
use support::{Answer, World};

/// How long a server that leaves may still get requests.
const DRAIN: Span = Span::from_secs(2);
/// How long a VM must have had its path for a bound to hold for it.
const CONTACT: Span = Span::from_secs(3);
/// Report intervals without a renewal after which an entry lapses.
const LAPSE_INTERVALS: u64 = 3;
/// The time between two requests of a VM.
const REQUEST_INTERVAL: Span = Span::from_millis(20);
/// The time for the answers to the last requests.
const LAST_ANSWERS: Span = Span::from_secs(1);
/// Plain servers.
const SERVERS: usize = 6;

/// A fleet, and what has happened to it.
struct Series {
    world: World,
    rng: ChaCha8Rng,
    /// When each VM last had no path to the key-value service.
    cut_at: Vec<Instant>,
    /// When the service confirmed that a server leaves.
    left_at: BTreeMap<Server, Instant>,
    /// The ids of the servers in use.
    used: Vec<String>,
    /// The number of servers ever started.
    started: usize,
}

impl Series {
    fn new(vms: usize, seed: u64) -> Self {
        let mut world = World::new(vms, 1, SERVERS);
        world.run(Span::from_secs(3));
        Self {
            cut_at: vec![Instant::default(); vms],
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            left_at: BTreeMap::new(),
            used: (0..SERVERS).map(|n| format!("p{n}")).collect(),
            started: SERVERS,
        }
    }

    /// Sends requests to all VMs for a span.
    fn run(&mut self, span: Span) -> Vec<u64> {
        let end = self.world.now + span;
        let mut numbers = Vec::new();
        while self.world.now < end {
            for vm in 0..self.world.vms.len() {
                let state = &self.world.vms[vm];
                if !(self.world.store_up && state.store_reachable && !state.store_silent) {
                    self.cut_at[vm] = self.world.now;
                }
                let request = request("q", "/query/x", 2_000, None);
                numbers.push(self.world.send_request(vm, request));
            }
            self.world.run(REQUEST_INTERVAL);
        }
        numbers
    }

    fn random_span(&mut self, millis: std::ops::Range<u64>) -> Span {
        Span::from_millis(self.rng.random_range(millis))
    }

    /// A new server comes, and an old one leaves in one of both ways.
    fn replace_server(&mut self) {
        let new = format!("p{}", self.started);
        self.world.add_server(&new, self.started, false);
        self.started += 1;
        self.used.push(new);
        self.run(Span::from_secs(1));
        let old = self.used.remove(0);
        if self.rng.random_bool(0.5) {
            self.world.remove_server_entry(&old);
        } else {
            self.world.drain(&old);
        }
        self.left_at.insert(name(&old), self.world.now);
    }

    /// One to three VMs lose their path for a while as a server leaves. Watchers are among them more often than not.
    fn cut_vms(&mut self) {
        let watchers: Vec<usize> = self.world.store.watched_by.iter().copied().collect();
        self.world.store.watched_by.clear();
        let mut cut = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let is_watcher = !watchers.is_empty() && self.rng.random_bool(0.8);
            let vm = if is_watcher {
                watchers[self.rng.random_range(0..watchers.len())]
            } else {
                self.rng.random_range(0..self.world.vms.len())
            };
            cut.push(vm);
        }
        let is_silent = self.rng.random_bool(0.4);
        let lasts = self.random_span(100..5_500);
        // The server leaves shortly before the cut, within it or shortly after it.
        let leaves = self.random_span(0..lasts.as_millis() + 200);
        let cuts = self.random_span(0..200);
        self.set_cut(&cut, is_silent, true);
        let (first, second) = (leaves.min(lasts), lasts.0.saturating_sub(leaves.0));
        self.run(first.max(cuts));
        self.replace_server();
        self.run(Span(second));
        self.set_cut(&cut, is_silent, false);
    }

    fn set_cut(&mut self, vms: &[usize], is_silent: bool, is_cut: bool) {
        for vm in vms {
            let state = &mut self.world.vms[*vm];
            if is_silent {
                state.store_silent = is_cut;
            } else {
                state.store_reachable = !is_cut;
            }
        }
        self.world.wake_watchers();
    }

    /// The service is away, once or several times with little time in between. Entries that were not renewed for long enough
    /// lapse, and their servers write them again up to two seconds after the return. Requests are served all the while.
    fn stop_service(&mut self) {
        let interval = Tuning::default().report_interval;
        let ids = self.used.clone();
        let mut renewed: BTreeMap<String, Instant> = BTreeMap::new();
        for id in &ids {
            let age = self.random_span(0..interval.as_millis());
            renewed.insert(id.clone(), self.world.now.back(age));
        }
        let mut numbers = Vec::new();
        let times = self.rng.random_range(1..3);
        for _ in 0..times {
            self.world.store_up = false;
            self.world.wake_watchers();
            let lasts = self.random_span(100..5_500);
            numbers.extend(self.run(lasts));
            let mut lapsed = Vec::new();
            for id in &ids {
                if self.world.now.since(renewed[id]) >= interval.times(LAPSE_INTERVALS) {
                    self.world.store.remove(&EntryKey::Server(name(id)));
                    lapsed.push((self.random_span(0..1_900), id.clone()));
                }
            }
            self.world.store_up = true;
            self.world.wake_watchers();
            lapsed.sort();
            let mut passed = Span::ZERO;
            for (after, id) in lapsed {
                numbers.extend(self.run(Span(after.0.saturating_sub(passed.0))));
                passed = passed.max(after);
                let value = EntryValue::Server(self.world.servers[&name::<Server>(&id)].1.clone());
                self.world.write_entry(EntryKey::Server(name(&id)), value);
                renewed.insert(id, self.world.now);
            }
            let pause = self.random_span(0..1_500);
            numbers.extend(self.run(pause));
            if passed + pause >= interval {
                let now = self.world.now;
                for at in renewed.values_mut() {
                    *at = now;
                }
            }
        }
        numbers.extend(self.run(Span::from_secs(3)));
        self.world.run(LAST_ANSWERS);
        let unserved = numbers.iter().filter(|number| {
            let answer = self.world.answer(**number);
            !matches!(answer, Some(Answer::Served(_)))
        });
        let unserved = unserved.count();
        assert_eq!(unserved, 0, "of {} requests", numbers.len());
    }

    /// Checks that no request sent since `from` reached a server too late from a VM that has its path.
    fn check_departures(&self, from: Instant) {
        let sent = self.world.requests.values().filter(|r| r.at >= from);
        let runs = sent.flat_map(|r| r.runs.iter().map(move |(at, server)| (r.vm, *at, server)));
        for (vm, at, server) in runs {
            let Some(left) = self.left_at.get(server) else {
                continue;
            };
            let in_touch = at.since(self.cut_at[vm]) >= CONTACT;
            let late = at.since(*left);
            assert!(
                late <= DRAIN || !in_touch,
                "vm{vm} sent to {server} at {at}, {late} after it left"
            );
        }
    }
}

/// Guards against VMs that use a server too long after it left, since the VM from which they hear of changes had lost its
/// path to the key-value service; and against servers that are dropped since their entries lapsed in an outage.
#[test]
fn departures_amongcutsandoutages() {
    for seed in 0..seeds(10) {
        println!("seed {seed}");
        let vms = [3, 9, 24][usize::try_from(seed).expect("small") % 3];
        let mut series = Series::new(vms, seed);
        for _ in 0..6 {
            let from = series.world.now;
            if series.rng.random_bool(0.6) {
                series.cut_vms();
                series.run(Span::from_secs(4));
            } else {
                series.stop_service();
            }
            series.check_departures(from);
        }
        series.world.check_invariants();
    }
}

/// Guards against the same where one watcher is cut off for as long as it takes to tell its subscribers of a departure late.
#[test]
fn departure_watchercutoff() {
    for millis in [100, 400, 900, 1_800, 5_500] {
        for is_silent in [false, true] {
            let mut series = Series::new(9, millis);
            series.world.store.watched_by.clear();
            series.run(Span::from_secs(1));
            let watchers: Vec<usize> = series.world.store.watched_by.iter().copied().collect();
            for watcher in watchers {
                let from = series.world.now;
                series.set_cut(&[watcher], is_silent, true);
                series.run(Span::from_millis(50));
                let old = series.used.remove(0);
                series.world.remove_server_entry(&old);
                series.left_at.insert(name(&old), series.world.now);
                series.run(Span::from_millis(millis));
                series.set_cut(&[watcher], is_silent, false);
                series.run(Span::from_secs(5));
                series.check_departures(from);
            }
        }
    }
}

/// Guards against servers that are dropped although they are alive, since all entries lapsed in an outage of the key-value
/// service.
#[test]
fn outage_lapsesallentries() {
    for seconds in [3, 6] {
        let mut series = Series::new(9, seconds);
        series.world.store_up = false;
        series.world.wake_watchers();
        let mut numbers = series.run(Span::from_secs(seconds));
        for number in 0..SERVERS {
            let key = EntryKey::Server(name(&format!("p{number}")));
            series.world.store.remove(&key);
        }
        series.world.store_up = true;
        series.world.wake_watchers();
        numbers.extend(series.run(Span::from_millis(1_000)));
        for number in 0..SERVERS {
            series.world.rewrite_server_entry(&format!("p{number}"));
        }
        numbers.extend(series.run(Span::from_secs(3)));
        series.world.run(LAST_ANSWERS);
        assert_eq!(series.world.count_served(&numbers), numbers.len());
    }
}
