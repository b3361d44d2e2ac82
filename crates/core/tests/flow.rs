//! The demonstration's load in virtual time: how fast whole answers come from cold engines, after an outage, after an
//! engine's restart and on the VMs that are left.
//!
//! The load is that of `dahliactl demo`: eight callers of a service in closed loops, thirty adapters of which few are
//! asked for often, two engines with six slots each, 80 ms a load. The demonstration itself runs on the machine's time and
//! only shows that answers come; how fast the decisions let them come is checked here.

mod support;

use dahliastile_core::event::Call;
use dahliastile_core::settings::Tuning;
use dahliastile_core::time::Span;
use rand::Rng;

use support::setup::{Size, model};
use support::{Fleet, MS, Micros, SEC};

/// Callers in closed loops.
const CALLERS: usize = 8;
/// Whole answers that each part must give: three times what the demonstration waits for, three quarters of the fewest seen
/// (131, in the first four seconds from cold engines).
const ENOUGH: usize = 100;
/// The time in which it must.
const FLOW: Micros = 4 * SEC;

fn size(fenced: bool) -> Size {
    Size {
        engines: 2,
        plains: 0,
        adapters: 30,
        slots: 6,
        batch: 8,
        step: 8 * MS,
        base_load: 350 * MS,
        fenced,
        tuning: Tuning {
            lease_ttl_ms: 3_000,
            lease_renew_ms: 500,
            lease_guard_ms: 500,
            poll_ms: 100,
            heartbeat_ms: 100,
            suspect_ms: 1_000,
            gone_ms: 4_000,
            load_backoff_ms: 50,
            load_backoff_max_ms: 500,
            platform_timeout_ms: 500,
            platform_backoff_ms: 50,
            platform_backoff_max_ms: 300,
            ..Tuning::default()
        },
        ..Size::small()
    }
}

/// The callers, and the VMs that they may ask.
struct Load {
    open: Vec<Option<usize>>,
    vms: Vec<usize>,
}

impl Load {
    fn new() -> Self {
        Self {
            open: vec![None; CALLERS],
            vms: vec![0, 1, 2],
        }
    }

    fn call(fleet: &mut Fleet) -> Call {
        // The product of three even shares: small numbers much more often than large ones.
        let shares: usize = (0..3).map(|_| fleet.rng.random_range(0..100)).product();
        let adapter = shares * 30 / 1_000_000;
        let digest = fleet.rng.random();
        let tokens = fleet.rng.random_range(6..=20);
        Call {
            timeout: Some(Span::from_secs(3)),
            ..model(adapter, digest, tokens)
        }
    }

    /// Runs the callers for a time. Returns how many whole answers came in it.
    fn run(&mut self, fleet: &mut Fleet, lasts: Micros) -> usize {
        let before = whole(fleet);
        let end = fleet.now + lasts;
        while fleet.now < end {
            for caller in 0..CALLERS {
                let over = |ask: usize| fleet.asks[ask].ending.is_some();
                if self.open[caller].is_some_and(|ask| !over(ask)) {
                    continue;
                }
                let vm = self.vms[fleet.rng.random_range(0..self.vms.len())];
                let call = Self::call(fleet);
                self.open[caller] = Some(fleet.ask(vm, call));
            }
            fleet.run_for(10 * MS);
        }
        whole(fleet) - before
    }
}

fn whole(fleet: &Fleet) -> usize {
    fleet.asks.iter().filter(|ask| ask.finished()).count()
}

/// A fleet as the demonstration starts it: engines without their base models.
fn cold(fenced: bool, seed: u64) -> Fleet {
    let mut fleet = size(fenced).fleet(seed);
    for engine in &mut fleet.engines {
        engine.load = 80 * MS;
        engine.ready_at = engine.base_load;
    }
    fleet
}

fn parts(fenced: bool) {
    for seed in 1..=5 {
        let mut fleet = cold(fenced, seed);
        let mut load = Load::new();
        let start = load.run(&mut fleet, FLOW);
        assert!(start >= ENOUGH, "seed {seed}: {start} from cold engines");
        fleet.kv_down(false);
        load.run(&mut fleet, 4 * SEC);
        let outage = load.run(&mut fleet, FLOW);
        assert!(outage >= ENOUGH, "seed {seed}: {outage} in the outage");
        fleet.kv_up();
        load.run(&mut fleet, SEC);
        let back = load.run(&mut fleet, FLOW);
        assert!(back >= ENOUGH, "seed {seed}: {back} after the outage");
        fleet.restart_engine(0, 10 * MS);
        let restarted = load.run(&mut fleet, FLOW);
        assert!(
            restarted >= ENOUGH,
            "seed {seed}: {restarted} after a restart"
        );
        load.vms.pop();
        fleet.shut_down(2, false);
        let left = load.run(&mut fleet, FLOW);
        assert!(left >= ENOUGH, "seed {seed}: {left} on the VMs left");
        assert!(fleet.finish_all(10 * SEC));
        fleet.check();
    }
}

#[test]
fn flow_unfenced() {
    parts(false);
}

#[test]
fn flow_fenced() {
    parts(true);
}
