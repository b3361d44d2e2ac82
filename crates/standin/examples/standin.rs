//! Runs one stand-in as a process of its own, for tests that kill, freeze and cut processes.
//!
//! Prints one JSON line with its addresses when it is ready and exits at the end of its standard
//! input; SIGTERM ends it as any process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use dahliastile_standin::{Host, Service, engine, kv, plain, vms, weights};
use gumdrop::Options;
use serde_json::json;

/// Runs one stand-in.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// The stand-in.
    #[options(command, required)]
    command: Option<Command>,
}

/// The stand-ins.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "key-value service")]
    Kv(Kv),
    #[options(help = "VM list")]
    Vms(Vms),
    #[options(help = "weight store")]
    Weights(Weights),
    #[options(help = "model engine")]
    Engine(Engine),
    #[options(help = "plain service")]
    Plain(Plain),
}

/// Runs a key-value service.
#[derive(Debug, Options)]
struct Kv {
    /// Print this help.
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "milliseconds in one second of a lease", default = "1000")]
    second_ms: u64,
}

/// Runs a VM list.
#[derive(Debug, Options)]
struct Vms {
    /// Print this help.
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "milliseconds by which the list lags", default = "0")]
    lag_ms: u64,
    #[options(help = "the first VMs as a JSON array", default = "[]")]
    first: String,
}

/// Runs a weight store.
#[derive(Debug, Options)]
struct Weights {
    /// Print this help.
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "milliseconds of one load", default = "333")]
    load_ms: u64,
}

/// Runs a plain service.
#[derive(Debug, Options)]
struct Plain {
    /// Print this help.
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "milliseconds of one run", default = "0")]
    work_ms: u64,
}

/// Runs a model engine.
#[derive(Debug, Options)]
struct Engine {
    /// Print this help.
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "room in the batch", default = "8")]
    batch: usize,
    #[options(help = "microseconds of one step", default = "1000")]
    step_us: u64,
    #[options(help = "adapters that can be resident", default = "4")]
    slots: usize,
    #[options(help = "requests that may wait", default = "256")]
    queue: usize,
    #[options(help = "milliseconds of a cold start", default = "0")]
    base_load_ms: u64,
    #[options(help = "milliseconds of a load without a weight store", default = "0")]
    load_ms: u64,
    #[options(help = "address of the weight store")]
    weights: Option<SocketAddr>,
    #[options(help = "ignore fencing numbers")]
    no_fencing: bool,
    #[options(help = "refuse to unload adapters in use")]
    refuse_in_use: bool,
    #[options(help = "milliseconds by which the load report lags", default = "0")]
    report_lag_ms: u64,
    #[options(help = "prefixes in the cache", default = "64")]
    cache: usize,
    #[options(help = "milliseconds by which cache events are late", default = "0")]
    cache_lag_ms: u64,
    #[options(help = "lose each n-th cache event", default = "0")]
    cache_gap: u64,
}

impl From<Engine> for engine::Settings {
    fn from(given: Engine) -> Self {
        let local = engine::Source::Local(Duration::from_millis(given.load_ms));
        Self {
            batch: given.batch,
            step: Duration::from_micros(given.step_us),
            slots: given.slots,
            queue: given.queue,
            base_load: Duration::from_millis(given.base_load_ms),
            source: given.weights.map_or(local, engine::Source::Store),
            fencing: !given.no_fencing,
            refuse_in_use: given.refuse_in_use,
            report_lag: Duration::from_millis(given.report_lag_ms),
            cache: given.cache,
            cache_lag: Duration::from_millis(given.cache_lag_ms),
            cache_gap: given.cache_gap,
        }
    }
}

fn main() -> eyre::Result<()> {
    match Arguments::parse_args_default_or_exit().command {
        Some(Command::Kv(given)) => {
            let second = Duration::from_millis(given.second_ms);
            run(given.listen, kv::Kv::new(kv::Settings { second }))
        }
        Some(Command::Vms(given)) => {
            let vms = serde_json::from_str(&given.first)?;
            run(
                given.listen,
                vms::Vms::new(vms, Duration::from_millis(given.lag_ms)),
            )
        }
        Some(Command::Weights(given)) => {
            let load_time = Duration::from_millis(given.load_ms);
            run(given.listen, weights::Weights::new(load_time))
        }
        Some(Command::Plain(given)) => run(
            given.listen,
            plain::Plain::new(Duration::from_millis(given.work_ms)),
        ),
        Some(Command::Engine(given)) => run(given.listen, engine::Engine::new(given.into())),
        None => eyre::bail!("name a stand-in, or see --help"),
    }
}

/// Runs a stand-in until the standard input ends.
fn run<S: Service>(listen: SocketAddr, service: S) -> eyre::Result<()> {
    let host = Host::start(listen, service)?;
    let line = json!({"address": host.address(), "control": host.control()});
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()?;
    // What comes on standard input means nothing; only its end does.
    io::copy(&mut io::stdin().lock(), &mut io::sink())?;
    Ok(())
}
