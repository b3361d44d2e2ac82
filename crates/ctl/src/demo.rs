//! The demonstration: stand-ins and three entry VMs as threads, real HTTP traffic, and faults on purpose. What callers
//! were told is held against the stand-ins' own records of what ran.

mod board;
mod figures;
mod ledger;
mod report;
mod script;
mod stage;
mod traffic;
mod verdict;
mod watch;
mod words;

use std::fmt::Write;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::args::Demo;
use crate::error::{Error, Result};
use crate::output::Output;
use stage::{OPERATOR_TOKEN, Stage, failed, token};

/// Runs the demonstration.
///
/// # Errors
/// When it can't be run, or when a promise was broken.
pub(crate) fn run(options: &Demo) -> Result<Output> {
    let mut stage = Stage::start(options.log)?;
    let report = script::play(&mut stage, options.log)?;
    let output = Output::new(report.text(), &report);
    let broken = report.broken();
    if options.hold {
        eprintln!("{}\n\n{}", output.text, hints(&stage));
        let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(failed)?;
        signals.forever().next();
    }
    stage.close()?;
    if broken.is_empty() {
        let text = if options.hold { "ended" } else { &output.text };
        return Ok(Output::new(text, &output.json));
    }
    Err(Error::Broken {
        promises: broken,
        report: Box::new(output),
    })
}

/// Lines to paste into a shell.
fn hints(stage: &Stage) -> String {
    let mut text = String::from("Try these; ctrl-c ends the demonstration.\n");
    let Some(vm) = stage.vms.iter().find(|vm| vm.daemon.is_some()) else {
        return text;
    };
    let (callers, operators) = (vm.addresses.callers, vm.addresses.operators);
    let lines = [
        format!(
            "curl -N http://{callers}/v1/completions -H 'Authorization: Bearer {}' \
             -d '{{\"model\": \"passage-00@1\", \"prompt\": \"Volkerak\", \"max_tokens\": 12, \"stream\": true}}'",
            token("skipper")
        ),
        format!(
            "curl http://{callers}/v1/chat/completions -H 'Authorization: Bearer {}' \
             -d '{{\"model\": \"planogram-01@1\", \"messages\": [{{\"role\": \"user\", \"content\": \"aisle 4\"}}]}}'",
            token("merchandiser")
        ),
        format!(
            "curl http://{callers}/v1/models -H 'Authorization: Bearer {}'",
            token("skipper")
        ),
        format!(
            "curl http://{callers}/services/booking/slots -H 'Authorization: Bearer {}' \
             -H 'Idempotency-Key: berth-7' -d '{{\"berth\": 7}}'   # repeat it: it runs once",
            token("terminal")
        ),
        format!("curl http://{operators}/metrics -H 'Authorization: Bearer {OPERATOR_TOKEN}'"),
        format!(
            "export DAHLIACTL_SERVER={} DAHLIACTL_TOKEN={OPERATOR_TOKEN}",
            stage.operators()
        ),
        "dahliactl status; dahliactl rules list; dahliactl rules history".to_owned(),
        "dahliactl rules test caller=skipper model=passage-00@1".to_owned(),
        format!(
            "kill -TERM {}   # ends it as ctrl-c does",
            std::process::id()
        ),
    ];
    for line in lines {
        let _ = writeln!(text, "  {line}");
    }
    text.trim_end().to_owned()
}
