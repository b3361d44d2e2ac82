//! The parts of the demonstration, one after the other, and the promises each one checks.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_core::config::{Change, Document, Place, Rule};
use dahliastile_core::id::Edition;
use dahliastile_standin::{Fault, Outage, engine, plain};
use serde_json::json;

use super::board::{Board, Done, Ending, Phase};
use super::figures::Stalls;
use super::report::{Check, Report};
use super::stage::{DRAIN, GUARDED, OPERATOR_TOKEN, Stage, adapter, failed};
use super::traffic::{Traffic, twice};
use super::verdict;
use super::watch::Watch;
use super::words::{explain, said, spelled};
use crate::client::Client;
use crate::error::{Error, Result};
use crate::progress::Progress;
use crate::revert::{around, opposite};
use crate::{apply, edit};

/// How soon an accepted edit must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// How long the key-value service is away at least: longer than a lease lives.
const OUTAGE: Duration = Duration::from_millis(3500);
/// When a part stops waiting for whole answers: long past what a machine with five busy programs to a core needed (some
/// 6 s), so that it ends only a part in which none come any more. How fast they must come is checked in virtual time, by
/// `crates/core/tests/flow.rs` under this same load; here the time is only said.
const FLOW: Duration = Duration::from_secs(30);
/// The longest wait for anything else.
const LIMIT: Duration = Duration::from_secs(4);
/// Calls that are made again through another VM.
const REPEATS: usize = 24;
/// Streams in progress on the VM that is shut down.
const STREAMS: usize = 6;
/// Tokens of these: about a second's work.
const STREAM_TOKENS: u64 = 100;
/// The VM that is shut down.
pub(super) const LAST: usize = 2;
/// Whole answers of each model service that a part waits for.
const ENOUGH: usize = 30;

/// How often a VM is asked for a cold adapter until its answer shows what it decided: the load may take longer than callers
/// wait on a busy machine, and five tries of three seconds are many loads.
const ASKS: usize = 5;

/// What the parts use.
struct Play<'a> {
    stage: &'a mut Stage,
    traffic: Traffic,
    watch: Watch,
    client: Client,
    progress: Progress,
    checks: Vec<Check>,
    told: Option<Instant>,
}

/// Plays all parts. With `trails`, also says what was done with one request of each kind of refusal.
pub(super) fn play(stage: &mut Stage, trails: bool) -> Result<Report> {
    let began = Instant::now();
    let operators: Vec<String> = stage
        .vms
        .iter()
        .map(|vm| vm.addresses.operators.to_string())
        .collect();
    let traffic = Traffic {
        board: Arc::new(Board::new(stage.vms.len())),
        vms: Arc::new(stage.vms.iter().map(|vm| vm.addresses.callers).collect()),
        numbers: Arc::new(AtomicU64::new(1)),
    };
    let mut play = Play {
        client: Client::new(&operators.join(","), OPERATOR_TOKEN, LIMIT)?,
        watch: Watch::start(&operators)?,
        stage,
        traffic,
        progress: Progress::new(true),
        checks: Vec::new(),
        told: None,
    };
    let configured = play.configure();
    let callers = play.traffic.start();
    let played = configured.and_then(|()| play.parts());
    play.traffic.board.close();
    for caller in callers {
        caller
            .join()
            .map_err(|_| Error::Demo("a caller's thread panicked".to_owned()))?;
    }
    let stalls = played?;
    let client = play.client.clone();
    let report = play.conclude(&stalls, began);
    if trails {
        report
            .refusals
            .iter()
            .for_each(|row| explain(&client, &row.request));
    }
    Ok(report)
}

impl Play<'_> {
    /// Puts the configuration in force, as `dahliactl apply` does.
    fn configure(&mut self) -> Result<()> {
        self.progress
            .say("starting three VMs and putting the configuration in force");
        let document = self.stage.document()?;
        let changes = apply::changes(&Document::default(), &document, false);
        let accepted = edit::send(
            &self.client,
            "demo",
            Edition(0),
            changes,
            &mut self.progress,
        )?;
        let edition = accepted
            .ok_or_else(|| failed("the configuration is empty"))?
            .edition;
        self.in_force("the first configuration is in force everywhere", edition);
        Ok(())
    }

    fn parts(&mut self) -> Result<Stalls> {
        self.start();
        self.rule()?;
        self.repeat();
        self.outage();
        self.restart();
        self.shutdown()
    }

    /// Ordinary traffic from cold engines.
    fn start(&mut self) {
        self.progress
            .say("traffic for both deployments, from cold engines");
        self.flows(Phase::Start, "traffic flows from cold engines");
    }

    /// A rule is put in force while traffic runs, and taken back as a new edition.
    fn rule(&mut self) -> Result<()> {
        self.begin(
            Phase::Rule,
            "editing a rule while traffic runs, and taking it back",
        );
        let drilled = "passage-drill";
        let rule =
            json!({"name": "drill", "when": {"adapter": drilled}, "then": {"refuse": "a drill"}});
        let rule: Rule = serde_json::from_value(rule).map_err(failed)?;
        let (base, _) = self.client.show()?;
        let place = Place::First;
        let changes = vec![Change::InsertRule { rule, place }];
        let edition = self.edit(base, changes)?;
        self.in_force("an edited rule is in force everywhere", edition);
        let refused = self.everywhere(drilled);
        let wrong = refused
            .iter()
            .filter(|ending| !is_refused(ending, "refused_by_rule"))
            .count();
        self.check(
            wrong == 0,
            "every VM decides by the edited rule",
            said(&refused),
        );
        let entries = self.client.history(10)?;
        let (before, after) = around(&entries, edition)?;
        let (now, document) = self.client.show()?;
        let changes = opposite((&before, &after), (now, &document.rules))?;
        let edition = self.edit(now, changes)?;
        self.in_force("the rule taken back is gone everywhere", edition);
        let whole = self.everywhere(drilled);
        let wrong = whole
            .iter()
            .filter(|ending| **ending != Ending::Whole)
            .count();
        self.check(
            wrong == 0,
            "no VM decides by the rule taken back",
            said(&whole),
        );
        self.flows(Phase::Rule, "traffic flows during edits");
        Ok(())
    }

    /// Calls that must not run twice are made through two VMs, at once and after each other, on servers that lose
    /// answers and refuse.
    fn repeat(&mut self) {
        self.begin(
            Phase::Repeat,
            "repeating non-idempotent calls through other VMs",
        );
        for server in self
            .stage
            .plain
            .iter()
            .filter(|server| server.service == GUARDED)
        {
            server.host.fault(plain::Fault::ResetAfterRun(2));
            server.host.fault(plain::Fault::Refuse(2));
        }
        let traffic = &self.traffic;
        let differing = thread::scope(|scope| {
            let pairs: Vec<_> = (0..REPEATS)
                .map(|number| scope.spawn(move || twice(traffic, number)))
                .collect();
            let joined = pairs.into_iter().map(|pair| pair.join().unwrap_or(true));
            joined.filter(|differs| *differs).count()
        });
        let seen =
            format!("{REPEATS} calls made twice, {differing} got two different whole answers");
        self.check(
            differing == 0,
            "a repeated call gets the first run's answer",
            seen,
        );
    }

    /// The key-value service goes away and comes back.
    fn outage(&mut self) {
        self.begin(Phase::Outage, "the key-value service is away");
        self.stage.kv.disturb(Fault::Outage(Outage::Refused));
        let noticed = self
            .watch
            .wait(&[0, 1, 2], LIMIT, |status| !status.platform);
        self.check(
            noticed.is_some(),
            "every VM notices that the key-value service is away",
            spelled(noticed),
        );
        self.traffic
            .board
            .wait(OUTAGE, Phase::Outage, usize::MAX, Done::whole);
        self.flows(
            Phase::Outage,
            "what is resident is served on without the key-value service",
        );
        self.cold();
        let board = &self.traffic.board;
        let refused = board.wait(LIMIT, Phase::Outage, 3, |done| {
            done.service == GUARDED && done.refused("platform_down")
        });
        self.check(
            refused,
            "calls that need a claim are refused as not run",
            "platform_down".to_owned(),
        );
        self.begin(Phase::Return, "the key-value service is back");
        self.stage.kv.disturb(Fault::Outage(Outage::None));
        let back = self.watch.wait(&[0, 1, 2], LIMIT, |status| status.platform);
        self.check(
            back.is_some(),
            "every VM notices that it is back",
            spelled(back),
        );
        let board = &self.traffic.board;
        let booked = board.wait(LIMIT, Phase::Return, 3, |done| {
            done.service == GUARDED && done.whole()
        });
        let seen = if booked {
            "3 calls whole"
        } else {
            "fewer than 3 calls whole"
        };
        self.check(
            booked,
            "calls that need a claim work again",
            seen.to_owned(),
        );
        self.flows(Phase::Return, "traffic flows after the outage");
    }

    /// Asks for an adapter that is nowhere resident, of the deployment whose servers do not check fencing numbers.
    fn cold(&mut self) {
        let began = Instant::now();
        let request = self
            .traffic
            .request(0, "merchandiser", "planogram-cold@1", 4);
        let ending = self.traffic.model(0, "planogram", &request);
        let kept = matches!(&ending, Ending::Refused { ran, .. } if ran == "no");
        let seen = format!(
            "{} after {} ms",
            said(&[ending]),
            began.elapsed().as_millis()
        );
        self.check(kept, "what is cold there is refused as not run", seen);
    }

    /// An engine loses everything and starts cold.
    fn restart(&mut self) {
        self.begin(Phase::Restart, "an engine restarts cold");
        if let Some(engine) = self.stage.engines.first() {
            engine.host.fault(engine::Fault::Restart);
        }
        self.flows(Phase::Restart, "traffic flows after an engine's restart");
    }

    /// One VM is shut down while streams run on it.
    fn shutdown(&mut self) -> Result<Stalls> {
        self.begin(
            Phase::Shutdown,
            "shutting one VM down while streams run on it",
        );
        let mut stalls = Stalls::default();
        (0..self.stage.vms.len()).for_each(|vm| stalls.read(self.stage, vm));
        let daemon = self.stage.vms[LAST].daemon.take();
        let daemon = daemon.ok_or_else(|| failed("the VM is gone already"))?;
        let handle = daemon.stopper();
        let (begun, started) = flume::unbounded();
        let traffic = &self.traffic;
        let (ended, endings, told) = thread::scope(|scope| {
            let streams: Vec<_> = (0..STREAMS)
                .map(|number| {
                    let begun = begun.clone();
                    scope.spawn(move || stream(traffic, number, &begun))
                })
                .collect();
            let running = (0..STREAMS).all(|_| started.recv_timeout(LIMIT).is_ok());
            let told = Instant::now();
            handle.stop(false);
            traffic.board.spare(LAST);
            let ended = daemon.wait();
            let endings: Vec<Option<Ending>> = streams
                .into_iter()
                .map(|stream| stream.join().ok())
                .collect();
            (running.then_some(ended), endings, told)
        });
        self.told = Some(told);
        self.stage.unlist();
        let whole = endings
            .iter()
            .filter(|ending| **ending == Some(Ending::Whole))
            .count();
        let seen = format!("{whole} of {STREAMS} streams in progress ended whole");
        self.check(
            whole == STREAMS,
            "a graceful shutdown interrupts no stream",
            seen,
        );
        let took = told.elapsed();
        let fine = matches!(ended, Some(Ok(()))) && took < DRAIN;
        let seen = format!("{ended:?} after {} ms", took.as_millis());
        self.check(fine, "the VM ends in order, within its drain time", seen);
        self.flows(Phase::Shutdown, "traffic flows on the VMs that are left");
        Ok(stalls)
    }

    /// The checks over everything that happened.
    fn conclude(mut self, stalls: &Stalls, began: Instant) -> Report {
        let all = self.traffic.board.done();
        let backwards = self.watch.close();
        self.checks
            .extend(verdict::checks(self.stage, &all, self.told, backwards));
        Report::new(self.stage, &all, stalls, self.checks, began.elapsed())
    }

    fn begin(&mut self, phase: Phase, line: &str) {
        self.progress.say(line);
        self.traffic.board.begin(phase);
    }

    fn check(&mut self, kept: bool, promise: &'static str, seen: String) {
        self.checks.push(Check {
            kept,
            promise,
            seen,
        });
    }

    fn edit(&mut self, base: Edition, changes: Vec<Change>) -> Result<Edition> {
        let edit = edit::new("demo", base, changes);
        let accepted = self.client.edit(&edit, &mut self.progress)?;
        Ok(accepted.edition)
    }

    fn in_force(&mut self, promise: &'static str, edition: Edition) {
        let took = self
            .watch
            .wait(&[0, 1, 2], IN_FORCE, |status| status.edition >= edition);
        let seen = format!("edition {} in force after {}", edition.0, spelled(took));
        self.check(took.is_some(), promise, seen);
    }

    /// Waits until every model service gave enough whole answers in a part.
    fn flows(&mut self, phase: Phase, promise: &'static str) {
        let board = &self.traffic.board;
        let began = Instant::now();
        let until = began + FLOW;
        let enough = ["passage", "planogram"].map(|service| {
            let left = until.saturating_duration_since(Instant::now());
            board.wait(left, phase, ENOUGH, |done| {
                done.service == service && done.whole()
            })
        });
        let all = board.done();
        let whole = |service: &str| {
            let here =
                |done: &&Done| done.phase == phase && done.service == service && done.whole();
            all.iter().filter(here).count()
        };
        let seen = format!(
            "{} passage and {} planogram answers whole, {} ms later",
            whole("passage"),
            whole("planogram"),
            began.elapsed().as_millis()
        );
        self.check(enough == [true, true], promise, seen);
    }

    /// Asks each VM for a completion by an adapter, again where the answer does not show what the VM decided.
    fn everywhere(&self, adapter: &str) -> Vec<Ending> {
        let ask = |vm: usize| {
            let request = self
                .traffic
                .request(vm, "skipper", &format!("{adapter}@1"), 4);
            self.traffic.model(vm, "passage", &request)
        };
        let decided = |vm: usize| {
            let first = ask(vm);
            (1..ASKS).fold(
                first,
                |ending, _| {
                    if is_late(&ending) { ask(vm) } else { ending }
                },
            )
        };
        (0..self.stage.vms.len()).map(decided).collect()
    }
}

/// A long stream on the VM that is shut down; says when its first token came.
fn stream(traffic: &Traffic, number: usize, begun: &flume::Sender<()>) -> Ending {
    let model = format!("{}@1", adapter("passage", number % 3));
    let request = traffic.request(LAST, "skipper", &model, STREAM_TOKENS);
    traffic.stream(LAST, "passage", &request, begun)
}

/// Whether a request was let through and its adapter was not there in its caller's time.
fn is_late(ending: &Ending) -> bool {
    const LATE: [&str; 3] = ["deadline_in_queue", "deadline_in_run", "not_resident"];
    LATE.iter().any(|kind| is_refused(ending, kind))
}

fn is_refused(ending: &Ending, wanted: &str) -> bool {
    matches!(ending, Ending::Refused { kind, .. } if kind == wanted)
}
