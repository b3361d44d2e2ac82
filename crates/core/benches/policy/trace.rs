//! The two deployments at today's sizes, and the arrivals that they see.

use rand::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// Virtual time in microseconds.
pub type Micros = u64;
/// A second.
pub const SEC: Micros = 1_000_000;

/// A deployment: its engines, its weights and its load.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name in the results.
    pub name: &'static str,
    /// Model replicas.
    pub engines: usize,
    /// Adapters.
    pub adapters: usize,
    /// Adapters that an engine holds at most.
    pub slots: usize,
    /// Sequences that a batch holds at most.
    pub batch: usize,
    /// The length of a step with one sequence.
    pub step: Micros,
    /// What each further sequence adds to a step.
    pub step_each: Micros,
    /// How long one load takes.
    pub load: Micros,
    /// The weight of load stalls.
    pub stall_weight: f64,
    /// The weight of batch efficiency.
    pub batch_weight: f64,
    /// Requests a second outside the wave.
    pub rate: f64,
    /// How many times as many come in the wave.
    pub wave: f64,
    /// The deadline of a request.
    pub deadline: Micros,
    /// The exponent of the popularity.
    pub zipf: f64,
    /// The fewest and the most tokens of an answer.
    pub tokens: (u32, u32),
}

/// Kolenvaart Planning, which weighs load stalls more.
pub fn kolenvaart() -> Deployment {
    Deployment {
        name: "kolenvaart",
        engines: 12,
        adapters: 3_000,
        slots: 8,
        batch: 16,
        step: 9_000,
        step_each: 100,
        load: 333_000,
        stall_weight: 3.0,
        batch_weight: 1.0,
        rate: 9.0,
        wave: 2.0,
        deadline: 30 * SEC,
        zipf: 1.2,
        tokens: (40, 200),
    }
}

/// Rak Nusantara, which weighs batch efficiency more.
pub fn rak() -> Deployment {
    Deployment {
        name: "rak",
        step: 8_000,
        stall_weight: 1.0,
        batch_weight: 3.0,
        rate: 8.0,
        wave: 8.0,
        deadline: 60 * SEC,
        zipf: 1.4,
        tokens: (200, 400),
        ..kolenvaart()
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Micros,
    /// The adapter that it names.
    pub adapter: usize,
    /// The tokens that it brings.
    pub tokens: u32,
}

/// The length of a run.
pub const RUN: Micros = 600 * SEC;
/// When the popular set changes.
pub const SHIFT: Micros = 240 * SEC;
/// When the wave begins, and ends.
pub const WAVE: (Micros, Micros) = (420 * SEC, 480 * SEC);

/// The arrivals of one run: Zipf popularity, a sudden shift of the popular set, and a wave.
pub fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut order: Vec<usize> = (0..deployment.adapters).collect();
    order.shuffle(&mut rng);
    let mut shifted = order.clone();
    shifted.shuffle(&mut rng);
    let zipf = Zipf::new(deployment.adapters as f64, deployment.zipf).expect("a valid exponent");
    let mut at = 0.0;
    let mut list = Vec::new();
    loop {
        let now = (at * 1e6) as Micros;
        let wave = (WAVE.0..WAVE.1).contains(&now);
        let rate = deployment.rate * if wave { deployment.wave } else { 1.0 };
        at += Exp::new(rate).expect("a positive rate").sample(&mut rng);
        let now = (at * 1e6) as Micros;
        if now >= RUN {
            return list;
        }
        let rank = zipf.sample(&mut rng) as usize - 1;
        let popular = if now < SHIFT { &order } else { &shifted };
        let tokens = rng.random_range(deployment.tokens.0..deployment.tokens.1);
        list.push(Arrival {
            at: now,
            adapter: popular[rank],
            tokens,
        });
    }
}
