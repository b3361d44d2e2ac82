//! Random series of faults that overlap: VMs are killed, stopped, stand still, are cut off or turned away by the key-value service, first
//! those that watch for all and those that tell their availability zone; the service answers nobody, or all VMs are killed at once.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::settings::Tuning;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::World;

/// After so long without a fault a VM counts as well.
pub const RECOVERY_TIME: Span = Span::from_secs(3);
/// The time between two steps.
const STEP: Span = Span::from_millis(50);
/// VMs, in three availability zones.
pub const VMS: usize = 24;
/// The first of them are the strongest, two a zone.
const STRONG: usize = 6;
/// The engines.
const ENGINES: usize = 16;

/// A fault that is to end.
struct Fault {
    vm: usize,
    ends: Instant,
    end: fn(&mut World, usize),
}

/// A series of faults.
pub struct FaultSeries {
    /// The fleet.
    pub world: World,
    /// Random numbers of the series.
    pub rng: ChaCha8Rng,
    /// When each VM was last in trouble.
    pub troubled: Vec<Instant>,
    /// The same after each step, with its time.
    history: Vec<(Instant, Vec<Instant>)>,
    /// When the key-value service was.
    pub last_store_fault: Instant,
    /// When it answers again.
    store_back: Instant,
    /// The faults.
    faults: Vec<Fault>,
    /// How likely one begins in a step.
    faulty: f64,
}

impl FaultSeries {
    /// A fleet that has started. With an odd seed processor time is charged.
    pub fn new(seed: u64) -> Self {
        Self::with_tuning(seed, Tuning::default())
    }

    /// The same with other figures.
    pub fn with_tuning(seed: u64, tuning: Tuning) -> Self {
        let strength = |vm| if vm < STRONG { 50 } else { 12 };
        let strengths: Vec<u32> = (0..VMS).map(strength).collect();
        let mut world = World::with_strengths(&strengths, ENGINES, 4, tuning);
        if seed % 2 == 1 {
            for (vm, host) in world.vms.iter_mut().enumerate() {
                let each = if vm < STRONG { 100 } else { 400 };
                host.cpu_cost = (Span(each), Span(each * 5));
            }
        }
        world.run(Span::from_secs(8));
        Self {
            troubled: vec![world.now; VMS],
            history: vec![(world.now, vec![world.now; VMS])],
            last_store_fault: world.now,
            store_back: world.now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Vec::new(),
            #[allow(clippy::cast_precision_loss)]
            faulty: 0.04 + 0.04 * (seed % 5) as f64,
            world,
        }
    }

    /// Lets a step pass; faults begin and end.
    pub fn step(&mut self) {
        self.world.run(STEP);
        self.end_faults();
        if self.rng.random_bool(self.faulty) {
            self.fault();
        }
        self.fault_of_all();
        self.history.push((self.world.now, self.troubled.clone()));
    }

    /// Whether a VM was well at a time, and all the while before that counts.
    pub fn is_fault_free(&self, vm: usize, at: Instant) -> bool {
        at >= self.troubled[vm] + RECOVERY_TIME
    }

    /// The same for a time that has passed.
    pub fn was_fault_free(&self, vm: usize, at: Instant) -> bool {
        let after = self.history.partition_point(|(time, _)| *time < at);
        let around = &self.history[after.saturating_sub(1)..(after + 1).min(self.history.len())];
        around
            .iter()
            .all(|(_, troubled)| at >= troubled[vm] + RECOVERY_TIME)
    }

    /// One of all VMs, more often than not one of those that others hear from.
    fn draw(&mut self) -> usize {
        let strong = self.rng.random_bool(0.7);
        self.rng.random_range(0..if strong { STRONG } else { VMS })
    }

    fn span(&mut self, millis: std::ops::Range<u64>) -> Span {
        Span::from_millis(self.rng.random_range(millis))
    }

    fn fault(&mut self) {
        let vm = self.draw();
        if self.faults.iter().any(|fault| fault.vm == vm) {
            return;
        }
        let length = self.span(300..4_000);
        let (length, end): (Span, fn(&mut World, usize)) = match self.rng.random_range(0..8) {
            0 => {
                self.world.kill(vm, false);
                (Span::from_millis(500), |_, _| {})
            }
            1 => {
                self.world.freeze(vm, length);
                (length, |_, _| {})
            }
            2 => {
                self.world.stop(vm);
                (Span::from_millis(2_500), |world, vm| world.kill(vm, false))
            }
            3 => {
                self.world.vms[vm].peers_reachable = false;
                (length, |world, vm| world.vms[vm].peers_reachable = true)
            }
            4 => {
                self.world.vms[vm].network_up = false;
                (length, |world, vm| world.vms[vm].network_up = true)
            }
            5 => {
                self.world.revoke(vm);
                (length, |world, vm| world.vms[vm].store_reachable = true)
            }
            6 => {
                self.world.vms[vm].store_reachable = false;
                (length, |world, vm| world.vms[vm].store_reachable = true)
            }
            _ => {
                self.world.vms[vm].store_silent = true;
                (length, |world, vm| world.vms[vm].store_silent = false)
            }
        };
        self.troubled[vm] = self.world.now;
        self.faults.push(Fault {
            vm,
            ends: self.world.now + length,
            end,
        });
    }

    /// The key-value service answers nobody for a while, or all VMs are killed at once.
    fn fault_of_all(&mut self) {
        let now = self.world.now;
        match self.rng.random_range(0..600) {
            0 if self.world.store_up => {
                self.world.store_up = false;
                self.world.wake_watchers();
                self.store_back = now + self.span(500..5_000);
            }
            1 => {
                for vm in 0..VMS {
                    self.world.kill(vm, false);
                }
                self.troubled = vec![now; VMS];
            }
            _ if now >= self.store_back => self.world.store_up = true,
            _ => {}
        }
        if !self.world.store_up {
            self.last_store_fault = now;
        }
    }

    fn end_faults(&mut self) {
        let now = self.world.now;
        let (over, on) = self
            .faults
            .drain(..)
            .partition(|fault: &Fault| fault.ends <= now);
        self.faults = on;
        for fault in &over {
            (fault.end)(&mut self.world, fault.vm);
        }
        for fault in over.iter().chain(&self.faults) {
            // A process that was killed is back after a while.
            self.troubled[fault.vm] = now + Span::from_millis(500);
        }
    }
}

/// How many seeds are played: as many as the variable `SEEDS` says, or a few.
pub fn seeds(few: u64) -> u64 {
    std::env::var("SEEDS").map_or(few, |text| text.parse().expect("a number"))
}
