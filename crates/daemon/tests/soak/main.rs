//! A randomized soak: entry VMs as processes, faults from outside them, and the promises checked from what callers got and
//! servers ran.
//!
//! `cargo test -p dahliastile-daemon --test soak -- --seed 7 --minutes 5 --processes 12` plays rounds of fresh seeds from 7
//! on. Without options it plays one short round and those seeds that failed once. It is not part of what is shipped.

mod callers;
mod calm;
#[path = "../platform/fleet.rs"]
mod fleet;
mod limits;
mod promises;
mod proxy;
mod stage;
mod trouble;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use gumdrop::Options;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use stage::Stage;

/// How long troubles come in a round.
const ROUND: Duration = Duration::from_secs(8);
/// The same in the short form.
const SHORT: Duration = Duration::from_secs(4);
/// VMs of a round where nothing else is said.
const PROCESSES: u8 = 3;
/// The seed of the short form.
const FIRST: u64 = 1;
/// Seeds that failed once, played again whole in the short form.
const REGRESSIONS: [u64; 4] = [
    // Streams and plain answers that ended with their connection were passed on as whole.
    2,
    // A VM was told to end a millisecond after its start, when any signal ends it: the soak now waits until it takes signals.
    613,
    // A VM was told to read its settings again as soon as it was started, and was ended by that, with no line in its log.
    5703,
    // Requests that waited, or were at silent servers, when their VM ended got no answer.
    901,
];

/// What is played.
#[derive(Debug, Options)]
struct Asked {
    /// Prints this.
    help: bool,
    /// The first seed.
    seed: Option<u64>,
    /// How long seeds are played, one after the other.
    #[options(no_short)]
    minutes: Option<f64>,
    /// How many seeds are played where no time is given.
    #[options(no_short)]
    seeds: Option<u64>,
    /// Entry VMs in a round.
    #[options(no_short)]
    processes: Option<u8>,
    /// Tests that are passed over, as the test runner is told.
    #[options(no_short)]
    skip: Vec<String>,
    /// Taken, as the test runner takes it; the output is never kept back.
    #[options(no_short)]
    nocapture: bool,
    /// Taken, as the test runner takes it; rounds come one after the other.
    #[options(no_short)]
    test_threads: Option<usize>,
    /// Names of tests, as the test runner is told.
    #[options(free)]
    names: Vec<String>,
}

fn main() -> ExitCode {
    let asked = match Asked::parse_args_default(&std::env::args().skip(1).collect::<Vec<_>>()) {
        Ok(asked) => asked,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if asked.help {
        println!("{}", Asked::usage());
        return ExitCode::SUCCESS;
    }
    let named = |name: &String| "soak".contains(name.as_str());
    if asked.skip.iter().any(named) || !asked.names.is_empty() && !asked.names.iter().any(named) {
        return ExitCode::SUCCESS;
    }
    let vms = asked.processes.unwrap_or(PROCESSES);
    let failed = match asked.seed {
        None => {
            let first = play([FIRST].into_iter(), vms, SHORT);
            let again = play(REGRESSIONS.into_iter(), vms, ROUND);
            [first, again].concat()
        }
        Some(seed) => play(seeds(seed, &asked), vms, ROUND),
    };
    println!("seeds that failed: {failed:?}");
    ExitCode::from(u8::from(!failed.is_empty()))
}

/// The seeds from the first on, as many as are asked for or as the time allows.
fn seeds(first: u64, asked: &Asked) -> impl Iterator<Item = u64> {
    let until = asked
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs_f64(minutes * 60.0));
    let count = match until {
        Some(_) => u64::MAX - first,
        None => asked.seeds.unwrap_or(1),
    };
    (first..first + count).take_while(move |_| until.is_none_or(|until| Instant::now() < until))
}

/// Plays rounds. Returns the seeds that failed.
fn play(seeds: impl Iterator<Item = u64>, vms: u8, span: Duration) -> Vec<u64> {
    let mut failed = Vec::new();
    for seed in seeds {
        let logs =
            std::env::temp_dir().join(format!("dahliastile-soak-{}-{seed}", std::process::id()));
        let Round {
            broken,
            history,
            requests,
            over_limit,
        } = round(seed, vms, span, &logs);
        let (troubles, faults) = (history.len(), broken.len());
        println!(
            "seed {seed}: {requests} requests, {over_limit} over a limit, {troubles} troubles, {faults} broken"
        );
        if broken.is_empty() {
            // Logs that can't be removed do no harm.
            let _ = std::fs::remove_dir_all(&logs);
            continue;
        }
        failed.push(seed);
        for line in &history {
            println!("  {line}");
        }
        for line in &broken {
            println!("  BROKEN {line}");
        }
        println!("  logs: {}", logs.display());
    }
    failed
}

/// How a round went.
struct Round {
    /// What did not hold.
    broken: Vec<String>,
    /// The troubles, in order.
    history: Vec<String>,
    /// How many requests were sent.
    requests: usize,
    /// How many of them were refused as over a limit.
    over_limit: usize,
}

/// Plays one round.
fn round(seed: u64, vms: u8, span: Duration, logs: &Path) -> Round {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stage = Stage::start(vms, logs);
    let callers = stage.callers();
    let threads = callers.start(seed);
    let history = trouble::play(&mut stage, &callers, &mut rng, span);
    calm::check(&mut stage, &callers);
    callers.close();
    for thread in threads {
        if thread.join().is_err() {
            stage.faults.push("a caller panicked".to_owned());
        }
    }
    for vm in 0..stage.fleet.vms.len() {
        stage.terminate(vm);
    }
    for vm in 0..stage.fleet.vms.len() {
        stage.ended(vm);
    }
    let asked = callers.asked();
    let over_limit = asked.iter().filter(|request| request.answer.status == 429);
    Round {
        over_limit: over_limit.count(),
        broken: promises::broken(&stage, &asked, &callers.resumed(), logs),
        history,
        requests: asked.len(),
    }
}
