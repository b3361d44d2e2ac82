//! Bounds what the scheduler of a service with 300 VMs and 3,000 engines sends, and how many connections it
//! opens.
//!
//! Without these bounds, one of 300 VMs held 342 MB, sent 3.5 MB a second and had 8,003 connections, and no
//! request was served for 30 s after all VMs were restarted.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::cluster::snapshot::{Backend, Resident};
use dahliastile_gateway::event::Report;
use dahliastile_gateway::message::{Message, encode};
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::Tuning;
use support::setup::{self, ENGINES, name};

/// Number of VMs that receive the scheduler's messages.
const VMS: usize = 300;
/// Number of engines.
const SERVERS: usize = 3_000;

/// Time from a report query to its answer: a connection and a round trip within a zone, on a machine that
/// does other work as well.
const REPORT_TIME: Span = Span::from_millis(10);

/// A scheduler of many engines, some of which never answer, and what it decided.
struct LargeService {
    scheduler: Scheduler,
    now: Instant,
    /// Engines that have not answered a report query, with the times of their answers.
    pending_reports: BTreeMap<Server, Instant>,
    /// Engines that have answered a report query.
    answered: BTreeSet<Server>,
    /// The largest number of report queries in flight.
    max_pending: usize,
    /// The engines that each message on resident adapters covered, and the message's size in bytes.
    resident_messages: Vec<(Vec<Server>, usize)>,
}

impl LargeService {
    fn new(servers: usize) -> Self {
        let now = Instant::default() + Span::from_secs(1);
        let config = setup::config(1);
        let settings = setup::settings(0, 1, &Tuning::default());
        let mut scheduler = Scheduler::new(now, &config.services[0], 1, settings);
        scheduler.set_vm_count(VMS);
        for number in 0..servers {
            scheduler.update_server(&server(number), &setup::backend(number));
        }
        Self {
            scheduler,
            now,
            pending_reports: BTreeMap::new(),
            answered: BTreeSet::new(),
            max_pending: 0,
            resident_messages: Vec::new(),
        }
    }

    /// Runs the scheduler each millisecond of a span. The first `silent_count` engines never answer.
    fn run(&mut self, span: Span, silent_count: usize) {
        let end = self.now + span;
        let silent: BTreeSet<Server> = (0..silent_count).map(server).collect();
        while self.now < end {
            self.now += Span::from_millis(1);
            self.answer_queries(&silent);
            let mut out = Vec::new();
            self.scheduler.run(self.now, &mut out);
            for decision in out {
                self.record_decision(decision);
            }
            self.max_pending = self.max_pending.max(self.pending_reports.len());
        }
    }

    fn answer_queries(&mut self, silent: &BTreeSet<Server>) {
        let due = |at: &Instant| *at <= self.now;
        let ended: Vec<Server> = self
            .pending_reports
            .iter()
            .filter(|(_, at)| due(at))
            .map(|(s, _)| s.clone())
            .collect();
        for server in ended {
            self.pending_reports.remove(&server);
            let report = (!silent.contains(&server)).then(|| report(&server));
            self.scheduler
                .handle_report(self.now, &server, report.as_ref());
            if report.is_some() {
                self.answered.insert(server);
            }
        }
    }

    fn record_decision(&mut self, decision: Decision) {
        match decision {
            Decision::QueryReport(server, _) => {
                self.pending_reports.insert(server, self.now + REPORT_TIME);
            }
            Decision::Residents(rows) => {
                let servers = rows.iter().map(|row| row.server.clone()).collect();
                let message = Message::ResidentAdapters(name(ENGINES), 1, rows);
                let bytes = encode(&[message])
                    .expect("the message can be encoded")
                    .len();
                self.resident_messages.push((servers, bytes));
            }
            _ => {}
        }
    }
}

fn server(number: usize) -> Server {
    name(&format!("engine-{number}"))
}

/// Returns the report of an engine that holds as many adapters as it can: four.
fn report(server: &Server) -> Report {
    let resident = |number: usize| Resident {
        adapter: format!("{server}-adapter-{number}").into(),
        version: 1,
    };
    setup::report((0..4).map(resident).collect())
}

/// A scheduler that has just started receives the reports of all its engines within a second, although 100
/// engines never answer and it has at most 64 queries in flight. A scheduler that queried all engines at once
/// had to open that many connections, and the first answers came after their timeout.
#[test]
fn reports_arepaced() {
    let mut service = LargeService::new(SERVERS);
    service.run(Span::from_secs(1), 100);
    assert!(
        service.max_pending <= 64,
        "{} report queries in flight at once",
        service.max_pending
    );
    assert_eq!(service.answered.len(), SERVERS - 100);
}

/// Messages on resident adapters to all VMs together take at most 300 KB a second, and cover each of 600
/// engines in turn. With all engines in each message, 3,000 engines took 7.7 MB a second.
#[test]
fn residents_arebounded() {
    let servers = SERVERS / 5;
    let mut service = LargeService::new(servers);
    service.run(Span::from_secs(2), 0);
    service.resident_messages.clear();
    service.run(Span::from_secs(150), 0);
    let bytes: usize = service
        .resident_messages
        .iter()
        .map(|(_, bytes)| bytes * VMS)
        .sum();
    assert!(bytes / 150 <= 300_000, "{} bytes a second", bytes / 150);
    let covered: BTreeSet<&Server> = service
        .resident_messages
        .iter()
        .flat_map(|(servers, _)| servers)
        .collect();
    assert_eq!(covered.len(), servers);
}

/// An engine fails while it loads its base model and never answers again. The scheduler keeps its run
/// interval. When the work due for such an engine stayed due, the scheduler ran without a pause until the
/// engine's entry was gone, used all of its VM's processor time, logged "late" each second and was considered
/// silent by other VMs.
#[test]
fn engine_lostwhileloadingcostsnoruns() {
    let mut service = LargeService::new(10);
    service.run(Span::from_millis(100), 0);
    let lost = server(0);
    let mut loading = report(&lost);
    loading.busy = true;
    let other = Backend {
        base_models: vec!["other".into()],
        ..(*setup::backend(0)).clone()
    };
    service.scheduler.update_server(&lost, &Arc::new(other));
    service
        .scheduler
        .handle_report(service.now, &lost, Some(&loading));
    service.scheduler.update_server(&lost, &setup::backend(0));
    let started_at = service.now;
    for _ in 0..1_000 {
        service.now = service.scheduler.next_run().max(service.now);
        service.scheduler.run(service.now, &mut Vec::new());
    }
    let duration = service.now.since(started_at);
    assert!(duration >= Span::from_secs(3), "1,000 runs in {duration}");
}
