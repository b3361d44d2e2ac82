//! The command line of `dahliastiled`.
//!
//! # Exit codes
//! * 0: the daemon was told to stop and ended with every answer written, or a check found nothing.
//! * 1: the daemon could not start, or one of its threads panicked.
//! * 2: the command line or the settings are wrong; every fault is on the standard error stream.

use std::fs;
use std::process::ExitCode;
use std::thread;

use dahliastile_platform::{DisabledFeatures, Feature};
use eyre::Context;
use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::daemon::{Daemon, Stopper};
use crate::settings::Settings;

/// The exit code for a wrong command line or wrong settings.
const WRONG: u8 = 2;

/// The options of `dahliastiled`.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(help = "the settings file to run with", meta = "FILE")]
    settings: Option<String>,

    #[options(
        no_short,
        help = "run on the users' platform, with the settings file that this variable names",
        meta = "VARIABLE"
    )]
    platform: Option<String>,

    #[options(
        no_short,
        help = "on the platform, do without a feature of the decisions; may be given several times",
        meta = "NAME"
    )]
    without: Vec<Feature>,

    #[options(no_short, help = "check a settings file and exit", meta = "FILE")]
    check: Option<String>,

    #[options(no_short, help = "print every setting with its default and range")]
    print_settings: bool,

    #[options(
        no_short,
        help = "set a setting, such as log.level=debug; wins over the file",
        meta = "NAME=VALUE"
    )]
    set: Vec<String>,
}

/// Runs the program with the arguments after its name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    match Arguments::parse_args_default(arguments) {
        Ok(arguments) => dispatch(&arguments),
        Err(error) => {
            eprintln!("dahliastiled: {error}");
            ExitCode::from(WRONG)
        }
    }
}

fn dispatch(arguments: &Arguments) -> ExitCode {
    match (&arguments.settings, &arguments.check) {
        _ if arguments.help => {
            println!("Usage: dahliastiled --settings FILE [OPTIONS]\n");
            println!("{}", Arguments::usage());
            ExitCode::SUCCESS
        }
        _ if arguments.version => {
            println!("dahliastiled {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        _ if arguments.print_settings => {
            print!("{}", Settings::manual());
            ExitCode::SUCCESS
        }
        _ if arguments.platform.is_some() => {
            let without = arguments.without.iter().copied().collect();
            platform(arguments.platform.as_deref().unwrap_or_default(), without)
        }
        (_, Some(file)) => match load(file, &arguments.set) {
            Some(_) => {
                println!("{file}: no faults");
                ExitCode::SUCCESS
            }
            None => ExitCode::from(WRONG),
        },
        (Some(file), None) => serve(file, &arguments.set),
        (None, None) => {
            eprintln!("dahliastiled: --settings FILE is required; see --help");
            ExitCode::from(WRONG)
        }
    }
}

/// Reads a settings file and prints every fault in it.
fn load(file: &str, assignments: &[String]) -> Option<Settings> {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return None;
        }
    };
    match Settings::parse(&text, assignments) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{file}: {fault}");
            }
            None
        }
    }
}

/// Runs on the users' platform.
fn platform(variable: &str, without: DisabledFeatures) -> ExitCode {
    let Ok(path) = std::env::var(variable) else {
        eprintln!("dahliastiled: {variable} does not name a settings file");
        return ExitCode::from(WRONG);
    };
    match dahliastile_platform::run(&path, without) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) if report.is::<dahliastile_platform::Wrong>() => {
            eprintln!("dahliastiled: {report:#}");
            ExitCode::from(WRONG)
        }
        Err(report) => {
            eprintln!("dahliastiled: {report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs with the own interface.
fn serve(file: &str, assignments: &[String]) -> ExitCode {
    // From here on signals no longer end the process; those that come while the settings are read are obeyed later.
    let signals = Signals::new([SIGTERM, SIGINT]).wrap_err("can't listen for signals");
    let Some(settings) = load(file, assignments) else {
        return ExitCode::from(WRONG);
    };
    let daemon = signals.and_then(|signals| start(&settings, signals));
    match daemon.and_then(|daemon| Ok(daemon.wait()?)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("dahliastiled: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: &Settings, signals: Signals) -> eyre::Result<Daemon> {
    let daemon = Daemon::start(settings).wrap_err("can't start")?;
    let stopper = daemon.stopper();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || obey(signals, &stopper))
        .wrap_err("can't start a thread")?;
    Ok(daemon)
}

/// The first signal drains the daemon, a later one cuts what is in progress.
fn obey(mut signals: Signals, stopper: &Stopper) {
    for (count, _) in signals.forever().enumerate() {
        stopper.stop(count > 0);
    }
}
