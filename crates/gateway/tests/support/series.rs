//! Runs a fleet under random faults that overlap.
//!
//! VMs are killed, stopped, frozen, cut off from the network or rejected by the key-value service. The
//! strongest VMs are hit most often, because they watch the key-value service directly or relay its changes
//! within their availability zone. At times the key-value service answers no VM, or comes back from a copy that is
//! some seconds old, or all VMs are killed at once.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ServerPath, World};

/// Time without a fault after which a VM must work correctly again.
pub const RECOVERY_TIME: Span = Span::from_secs(3);
/// Virtual time that a step takes.
const STEP: Span = Span::from_millis(50);
/// Number of VMs, in three availability zones.
pub const VMS: usize = 24;
/// Number of strong VMs, two in each zone. These have the lowest numbers.
const STRONG_VMS: usize = 6;
/// Number of engines.
const ENGINES: usize = 16;

/// How old the copy is, at the most, from which the key-value service comes back.
const COPY_AGE: Span = Span::from_secs(4);
/// Time between two copies.
const COPY_INTERVAL: Span = Span::from_millis(500);

/// The stream of a seed from which lost paths to servers are drawn.
const PATHS: u64 = 1;
/// Probability that some VMs lose their path to all servers in a step.
const PATH_PROBABILITY: f64 = 0.01;

/// A fault of a VM, and how it ends.
struct Fault {
    /// The VM that has the fault.
    vm: usize,
    /// When the fault ends.
    ends_at: Instant,
    /// Removes the fault from the VM.
    revert: fn(&mut World, usize),
}

/// A fleet under random faults.
pub struct FaultSeries {
    /// The simulated fleet.
    pub world: World,
    /// Random number generator of the faults and of the test.
    pub rng: ChaCha8Rng,
    /// When each VM last had a fault. While a fault lasts, this is 500 ms ahead of the clock.
    pub last_faults: Vec<Instant>,
    /// The last fault of each VM as of the end of each step, with the time of that end.
    fault_history: Vec<(Instant, Vec<Instant>)>,
    /// When the key-value service last failed.
    pub last_store_fault: Instant,
    /// When the key-value service answers again.
    store_up_at: Instant,
    /// Whether the key-value service comes back from a copy when it answers again.
    is_restoring: bool,
    /// When operator and servers write again what the key-value service has forgotten.
    rewrite_at: Instant,
    /// When the last copy was made.
    copied_at: Instant,
    /// When all VMs were last killed.
    all_killed_at: Instant,
    /// When the key-value service last came back from a copy.
    restored_at: Instant,
    /// When all VMs were last killed at about the time at which the key-value service came back from a copy: what
    /// was written since the copy is then known to nobody. The start of time if that never happened.
    pub all_forgot_at: Instant,
    /// Random number generator of lost paths to servers, so that the other faults of a seed stay as they are.
    path_rng: ChaCha8Rng,
    /// The faults that have not ended.
    faults: Vec<Fault>,
    /// Probability that the fault of a VM begins in a step.
    fault_probability: f64,
}

impl FaultSeries {
    /// Returns a fleet that has started. With an odd seed, its VMs need processor time for each event.
    pub fn new(seed: u64) -> Self {
        Self::with_tuning(seed, Tuning::default())
    }

    /// Returns the fleet of `new` with this tuning.
    pub fn with_tuning(seed: u64, tuning: Tuning) -> Self {
        Self::without_features(seed, tuning, DisabledFeatures::default())
    }

    /// Returns the series of `with_tuning` for a fleet without these features.
    pub fn without_features(seed: u64, tuning: Tuning, without: DisabledFeatures) -> Self {
        let strength = |vm| if vm < STRONG_VMS { 50 } else { 12 };
        let strengths: Vec<u32> = (0..VMS).map(strength).collect();
        let mut world = World::configured(&strengths, ENGINES, 4, tuning, without);
        if seed % 2 == 1 {
            for (vm, vm_state) in world.vms.iter_mut().enumerate() {
                let event_cost = if vm < STRONG_VMS { 100 } else { 400 };
                vm_state.cpu_cost = (Span(event_cost), Span(event_cost * 5));
            }
        }
        world.run(Span::from_secs(8));
        world.copy_store();
        let mut path_rng = ChaCha8Rng::seed_from_u64(seed);
        path_rng.set_stream(PATHS);
        Self {
            last_faults: vec![world.now; VMS],
            fault_history: vec![(world.now, vec![world.now; VMS])],
            last_store_fault: world.now,
            store_up_at: world.now,
            is_restoring: false,
            rewrite_at: Instant::NEVER,
            copied_at: world.now,
            all_killed_at: Instant::default(),
            restored_at: Instant::default(),
            all_forgot_at: Instant::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            path_rng,
            faults: Vec::new(),
            #[allow(clippy::cast_precision_loss)]
            fault_probability: 0.04 + 0.04 * (seed % 5) as f64,
            world,
        }
    }

    /// Runs the fleet for one step, then ends and begins faults.
    pub fn step(&mut self) {
        self.world.run(STEP);
        self.end_faults();
        if self.rng.random_bool(self.fault_probability) {
            self.begin_fault();
        }
        if self.path_rng.random_bool(PATH_PROBABILITY) {
            self.cut_paths();
        }
        self.update_fleet_faults();
        self.update_store();
        self.fault_history
            .push((self.world.now, self.last_faults.clone()));
    }

    /// Ends all faults, and runs the fleet until it has recovered.
    pub fn end(&mut self) {
        for fault in std::mem::take(&mut self.faults) {
            (fault.revert)(&mut self.world, fault.vm);
        }
        self.store_up_at = self.world.now;
        self.update_store();
        self.world.run(RECOVERY_TIME);
        self.update_store();
        self.world.run(RECOVERY_TIME);
    }

    /// Cuts a VM, or the VMs of a zone, off from all servers.
    fn cut_paths(&mut self) {
        let rng = &mut self.path_rng;
        let losses = [
            ServerPath::Hangs,
            ServerPath::Resets,
            ServerPath::RefusesNew,
        ];
        let loss = losses[rng.random_range(0..losses.len())];
        let vm = rng.random_range(0..VMS);
        let whole_zone = rng.random_bool(0.3);
        let ends_at = self.world.now + Span::from_millis(rng.random_range(500..6_000));
        let has_fault = |vm: usize| self.faults.iter().any(|fault| fault.vm == vm);
        let is_cut = |other: &usize| {
            let in_zone = whole_zone && other % 3 == vm % 3;
            (*other == vm || in_zone) && !has_fault(*other)
        };
        for vm in (0..VMS).filter(is_cut).collect::<Vec<_>>() {
            self.world.set_server_path(vm, loss);
            self.faults.push(Fault {
                vm,
                ends_at,
                revert: |world, vm| world.set_server_path(vm, ServerPath::Open),
            });
        }
    }

    /// Whether a VM had no fault within `RECOVERY_TIME` before `at`, by the faults known at this step.
    pub fn is_fault_free(&self, vm: usize, at: Instant) -> bool {
        at >= self.last_faults[vm] + RECOVERY_TIME
    }

    /// Whether a VM had no fault within `RECOVERY_TIME` before `at`, a time in the past. Later faults don't
    /// count.
    pub fn was_fault_free(&self, vm: usize, at: Instant) -> bool {
        let next = self.fault_history.partition_point(|(time, _)| *time < at);
        let records =
            &self.fault_history[next.saturating_sub(1)..(next + 1).min(self.fault_history.len())];
        records
            .iter()
            .all(|(_, last_faults)| at >= last_faults[vm] + RECOVERY_TIME)
    }

    /// Picks a random VM: a strong one with a probability of 0.7, or else any VM.
    fn pick_vm(&mut self) -> usize {
        let pick_strong = self.rng.random_bool(0.7);
        self.rng
            .random_range(0..if pick_strong { STRONG_VMS } else { VMS })
    }

    /// Returns a random span within a range of milliseconds.
    fn random_span(&mut self, millis: std::ops::Range<u64>) -> Span {
        Span::from_millis(self.rng.random_range(millis))
    }

    /// Begins a random fault of a random VM, unless that VM has a fault already.
    fn begin_fault(&mut self) {
        let vm = self.pick_vm();
        if self.faults.iter().any(|fault| fault.vm == vm) {
            return;
        }
        let duration = self.random_span(300..4_000);
        let (duration, revert): (Span, fn(&mut World, usize)) = match self.rng.random_range(0..8) {
            0 => {
                self.world.kill(vm, false);
                (Span::from_millis(500), |_, _| {})
            }
            1 => {
                self.world.freeze(vm, duration);
                (duration, |_, _| {})
            }
            2 => {
                self.world.stop(vm);
                (Span::from_millis(2_500), |world, vm| world.kill(vm, false))
            }
            3 => {
                self.world.vms[vm].peers_reachable = false;
                (duration, |world, vm| world.vms[vm].peers_reachable = true)
            }
            4 => {
                self.world.vms[vm].network_up = false;
                (duration, |world, vm| world.vms[vm].network_up = true)
            }
            5 => {
                self.world.revoke(vm);
                (duration, |world, vm| world.vms[vm].store_reachable = true)
            }
            6 => {
                self.world.vms[vm].store_reachable = false;
                (duration, |world, vm| world.vms[vm].store_reachable = true)
            }
            _ => {
                self.world.vms[vm].store_silent = true;
                (duration, |world, vm| world.vms[vm].store_silent = false)
            }
        };
        self.last_faults[vm] = self.world.now;
        self.faults.push(Fault {
            vm,
            ends_at: self.world.now + duration,
            revert,
        });
    }

    /// Begins and ends faults of the whole fleet: the key-value service answers no VM for a while, or all VMs
    /// are killed.
    fn update_fleet_faults(&mut self) {
        let now = self.world.now;
        match self.rng.random_range(0..600) {
            0 if self.world.store_up => {
                self.world.store_up = false;
                self.world.wake_watchers();
                self.store_up_at = now + self.random_span(500..5_000);
            }
            1 => {
                for vm in 0..VMS {
                    self.world.kill(vm, false);
                }
                self.last_faults = vec![now; VMS];
                self.all_killed_at = now;
                if self.is_restoring || now < self.restored_at + RECOVERY_TIME {
                    self.all_forgot_at = now;
                }
            }
            2 | 3 if !self.is_restoring => {
                // In half of the cases the service is never away, and its watches stay pending.
                if self.rng.random_bool(0.5) {
                    self.world.store_up = false;
                    self.world.wake_watchers();
                    self.store_up_at = now + self.random_span(50..3_000);
                }
                self.is_restoring = true;
            }
            _ => {}
        }
    }

    /// Ends an outage of the key-value service, from a copy if the outage was one of that kind. Has operator and
    /// servers write again, up to two seconds later, what the service has forgotten. Makes copies.
    fn update_store(&mut self) {
        let now = self.world.now;
        if now >= self.store_up_at {
            self.world.store_up = true;
            if std::mem::take(&mut self.is_restoring) {
                self.world.store.restore(now);
                self.world.wake_watchers();
                self.restored_at = now;
                if now < self.all_killed_at + RECOVERY_TIME {
                    self.all_forgot_at = now;
                }
                self.rewrite_at = now + self.random_span(0..2_000);
            }
        }
        if self.world.store_up && now >= self.rewrite_at {
            self.rewrite_at = Instant::NEVER;
            // They come in any order.
            if self.rng.random_bool(0.5) {
                self.world.rewrite_operator_entries();
                self.world.rewrite_server_entries();
            } else {
                self.world.rewrite_server_entries();
                self.world.rewrite_operator_entries();
            }
        }
        if self.world.store_up && now >= self.copied_at + COPY_INTERVAL {
            self.copied_at = now;
            self.world.store.make_copy(now, now.back(COPY_AGE));
        }
        if !self.world.store_up || self.rewrite_at < Instant::NEVER {
            self.last_store_fault = now;
        }
    }

    /// Ends the faults that are over, and updates the last fault of each VM.
    fn end_faults(&mut self) {
        let now = self.world.now;
        let (ended, ongoing) = self
            .faults
            .drain(..)
            .partition(|fault: &Fault| fault.ends_at <= now);
        self.faults = ongoing;
        for fault in &ended {
            (fault.revert)(&mut self.world, fault.vm);
        }
        for fault in ended.iter().chain(&self.faults) {
            // The process of a killed VM needs 400 ms to run again: a fault counts for 500 ms after its end.
            self.last_faults[fault.vm] = now + Span::from_millis(500);
        }
    }
}

/// Returns the number of seeds to test: the value of the environment variable `SEEDS`, or else
/// `default_count`.
pub fn seeds(default_count: u64) -> u64 {
    std::env::var("SEEDS").map_or(default_count, |text| {
        text.parse().expect("SEEDS must be a number")
    })
}
