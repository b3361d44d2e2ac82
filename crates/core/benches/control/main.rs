//! What control costs each entry VM and the platform, by the fleet's size, in virtual time. Prints one JSON line a
//! phase; the same seed gives the same figures but for processor time.
//!
//! `cargo bench -p dahliastile-core --bench control -- --seed N --vms 9,30,90 --seconds N --backend N --phases LIST`
//!
//! Phases: `steady`; `change` at the letter's rates; `serving` with its requests; `cut`, with the first region cut off
//! from the others and the platform; `healed` after that; `zone`, with the last zone lost.
//! `--backend N` gives every fleet the servers and adapters of a fleet of N VMs.
#![allow(missing_docs, unreachable_pub, clippy::pedantic)]

mod engine;
mod fleet;
mod heap;
mod kv;
mod meter;
mod size;

use fleet::{Fleet, Micros, SEC};
use meter::Meter;
use rand::Rng;
use serde_json::{Map, Value, json};
use size::{RULES, Size, rule};

#[global_allocator]
static HEAP: heap::Counting = heap::Counting;

/// Changes of the configuration a day, in the letter.
const EDITS: f64 = 21_000.0;
/// The share of adapters that wake up or fall idle in an hour.
const WAKING: f64 = 0.098;
/// VMs that fail, and that are restarted, on a day in a fleet of 720.
const FAILURES: f64 = 93.0;
const RESTARTS: f64 = 800.0;
/// Requests a second in a fleet of 720, and the share of adapters that they are for.
const REQUESTS: f64 = 55_000.0;
const BUSY: f64 = 0.1;
const LETTER_VMS: f64 = 720.0;
const DAY: f64 = 86_400.0;
/// How long a failed VM is away.
const AWAY: Micros = 30 * SEC;
/// Time at the end of a phase whose edits are not judged, as they may still be on their way.
const TAIL: Micros = 10 * SEC;

/// What happens during a phase, a second.
#[derive(Clone, Copy, Default)]
struct Rates {
    edits: f64,
    wakes: f64,
    failures: f64,
    restarts: f64,
    requests: f64,
}

impl Rates {
    fn of(phase: &str, size: &Size) -> Self {
        let part = size.vms as f64 / LETTER_VMS;
        match phase {
            "change" => Self {
                edits: EDITS / DAY,
                wakes: size.adapters as f64 * WAKING / 3_600.0,
                failures: FAILURES * part / DAY,
                restarts: RESTARTS * part / DAY,
                requests: 0.0,
            },
            "serving" => Self {
                requests: REQUESTS * part,
                ..Self::default()
            },
            _ => Self::default(),
        }
    }
}

/// Counts up by a rate; says how often it passed a whole number.
#[derive(Default)]
struct Due(f64);

impl Due {
    fn take(&mut self, amount: f64) -> usize {
        self.0 += amount;
        let whole = self.0.floor();
        self.0 -= whole;
        whole as usize
    }
}

/// Runs a phase in steps of 10 ms. The first failure and restart of a phase come early, so that there is one of each.
fn run(fleet: &mut Fleet, rates: Rates, span: Micros) {
    let step = SEC / 100;
    let first = |rate: f64| Due(if rate > 0.0 { 1.0 - rate * 5.0 } else { 0.0 });
    let (mut failures, mut restarts) = (first(rates.failures), first(rates.restarts));
    let (mut edits, mut wakes, mut requests) = (Due::default(), Due::default(), Due::default());
    let busy = (fleet.size.adapters as f64 * BUSY) as usize;
    let mut edited = 0;
    for _ in 0..span / step {
        fleet.run(step);
        let part = step as f64 / SEC as f64;
        for _ in 0..edits.take(rates.edits * part) {
            edited += 1;
            edit(fleet, edited);
        }
        for _ in 0..wakes.take(rates.wakes * part) {
            let (vm, adapter) = (fleet.any(), fleet.rng.random_range(0..fleet.size.adapters));
            fleet.arrive(vm, adapter);
        }
        for _ in 0..requests.take(rates.requests * part) {
            let (vm, adapter) = (fleet.any(), fleet.rng.random_range(0..busy.max(1)));
            fleet.arrive(vm, adapter);
        }
        for _ in 0..failures.take(rates.failures * part) {
            let vm = fleet.any();
            fleet.stop(vm);
            fleet.starts.insert((fleet.now + AWAY, vm));
        }
        for _ in 0..restarts.take(rates.restarts * part) {
            let vm = fleet.any();
            fleet.shut_down(vm);
        }
    }
}

/// Three edits in four give an adapter a new version; the fourth replaces a rule.
fn edit(fleet: &mut Fleet, count: usize) {
    let vm = fleet.any();
    let change = match count % 4 {
        0 => dahliastile_core::config::Change::ReplaceRule {
            rule: rule(count % RULES, count as i32),
        },
        _ => {
            let adapter = fleet.rng.random_range(0..fleet.size.adapters);
            fleet.size.adapter(adapter, 2)
        }
    };
    fleet.edit(vm, vec![change]);
}

/// Runs until all VMs have the configuration and all domains are held.
fn settle(fleet: &mut Fleet) -> Micros {
    fleet.start_all();
    let began = fleet.now;
    loop {
        fleet.run(SEC / 10);
        let set = fleet.vms.iter().all(|vm| vm.edition > 0);
        let held = fleet.held() == fleet.size.domains();
        if set && held || fleet.now - began > 300 * SEC {
            return fleet.now - began;
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn report(fleet: &Fleet, phase: &str, seed: u64, span: Micros) {
    let (meter, secs) = (&fleet.meter, span as f64 / SEC as f64);
    let vms = fleet.size.vms as f64;
    let rate = |amount: u64| round(amount as f64 / secs);
    let mean = |amount: u64| round(amount as f64 / secs / vms);
    let all = |of: fn(&meter::Vm) -> u64| meter.vms.iter().map(of).sum::<u64>();
    let worst = |of: fn(&meter::Vm) -> u64| meter.vms.iter().map(of).max().unwrap_or(0);
    let calls = |kinds: &[&str]| {
        let kinds = kinds.iter().filter_map(|kind| fleet.kv.counts.get(kind));
        rate(kinds.map(|count| count.calls).sum())
    };
    let by = |sums: &std::collections::BTreeMap<&'static str, meter::Sum>, unit: f64| {
        let row = |(kind, sum): (&&str, &meter::Sum)| {
            let amount = round(sum.total as f64 / unit / secs / vms);
            ((*kind).to_owned(), json!([mean(sum.count), amount]))
        };
        Value::Object(sums.iter().map(row).collect::<Map<_, _>>())
    };
    let kinds = fleet.kv.counts.iter();
    let kinds = kinds.map(|(kind, c)| ((*kind).to_owned(), json!([rate(c.calls), rate(c.bytes)])));
    let delays = meter.delays(fleet.now - TAIL);
    let delay = |at: usize| delays.get(at).map(|delay| *delay as f64 / 1e3);
    let states = || {
        fleet
            .vms
            .iter()
            .filter(|vm| vm.node.is_some())
            .map(|vm| vm.state)
    };
    let line = json!({
        "phase": phase, "seed": seed, "seconds": secs,
        "vms": fleet.size.vms, "replicas": fleet.size.replicas, "adapters": fleet.size.adapters,
        "zones": fleet.size.zones, "domains": fleet.size.domains(),
        "peer_bytes_per_s": mean(all(|vm| vm.sent.total)),
        "peer_bytes_per_s_worst": rate(worst(|vm| vm.sent.total.max(vm.received))),
        "peer_messages_per_s": mean(all(|vm| vm.sent.count)),
        "platform_reads_per_s": calls(&["get", "range"]),
        "platform_writes_per_s": calls(&["txn", "lease_grant", "lease_renew", "lease_revoke"]),
        "platform_watches": fleet.kv.watches.len(),
        "platform_lists_per_s": rate(meter.lists),
        "list_bytes_per_s": mean(meter.list_bytes),
        "polls_per_s": mean(meter.polls.count), "poll_bytes_per_s": mean(meter.polls.total),
        "cpu_us_per_s": mean(all(|vm| vm.control.total) / 1_000),
        "cpu_us_per_s_worst": rate(worst(|vm| vm.control.total) / 1_000),
        "state_bytes": states().sum::<i64>() / states().count().max(1) as i64,
        "state_bytes_worst": states().max(),
        "config_bytes": fleet.kv.snapshot_bytes(),
        "config_in_force_ms": delay(delays.len() / 2),
        "config_in_force_ms_worst": delay(delays.len().saturating_sub(1)),
        "edits": delays.len(),
        "requests_per_s": rate(meter.arrived), "refused": meter.refused, "loads": meter.loads,
        "platform_by_kind": Value::Object(kinds.collect()),
        "messages_by_kind": by(&meter.messages, 1.0),
        "cpu_us_by_kind": by(&meter.events, 1e3),
    });
    println!("{line}");
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let at = words.iter().position(|word| word == name)?;
        words.get(at + 1).cloned()
    };
    let number = |name: &str| option(name).and_then(|text| text.parse::<u64>().ok());
    let seed = number("--seed").unwrap_or(1);
    let seconds = number("--seconds").unwrap_or(60);
    let list = option("--vms").unwrap_or_else(|| "9,30,90,240".to_owned());
    let phases = option("--phases").unwrap_or_else(|| "steady,change,serving".to_owned());
    for vms in list
        .split(',')
        .filter_map(|text| text.parse::<usize>().ok())
    {
        let backend = number("--backend").map_or(vms, |backend| backend as usize);
        let mut fleet = Fleet::new(Size::new(vms, backend), seed);
        let size = fleet.size;
        fleet.configure();
        let settled = settle(&mut fleet);
        fleet.run(20 * SEC);
        eprintln!("{size:?} settled in {} ms", settled / 1_000);
        for phase in phases.split(',') {
            let rates = Rates::of(phase, &size);
            match phase {
                "cut" => fleet.cut_off(),
                "zone" => fleet.lose_zone(),
                _ => fleet.cut = false,
            }
            if rates.requests > 0.0 {
                run(&mut fleet, rates, 20 * SEC);
            }
            fleet.meter = Meter::new(vms);
            fleet.kv.counts.clear();
            run(&mut fleet, rates, seconds * SEC);
            report(&fleet, phase, seed, seconds * SEC);
        }
    }
}
