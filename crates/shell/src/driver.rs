//! The task that owns the gateway: events in, effects out.

use std::rc::Rc;

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::effect::{Effect, Effects, KvOperation};
use dahliastile_gateway::event::{Event, KvAnswer, KvOutcome, OrderOutcome, ProbeResult, Task};

use crate::clock::{Clock, duration};
use crate::dialect::Dialect;
use crate::figures::Figures;
use crate::hub::Hub;
use crate::journal::Journal;
use crate::peers::Peers;
use crate::task;

/// Events handled before other tasks get their turn.
const BATCH: usize = 64;

/// The delay of what is due that is worth a line in the log: a tenth of the silence after which other VMs pass this one over.
const LATE: Span = Span::from_millis(90);

/// The least time between two such lines.
const LATE_AGAIN: Span = Span::from_secs(1);

/// How late the loop is with what is due, and what it does meanwhile.
#[derive(Default)]
pub(crate) struct Lateness {
    /// Events handled since the last line.
    steps: u64,
    /// When the last line was written.
    told: Instant,
}

/// The least time between two lines on clients that were refused or had to yield.
const SHED_AGAIN: Span = Span::from_secs(1);

/// What was refused to clients, and how full the ledger is.
#[derive(Default)]
pub(crate) struct Shedding {
    /// When it was looked at last.
    at: Instant,
    /// The limit on bodies that is larger than what the ledger has room for, as last told.
    oversized_limit: usize,
}

/// Owns the gateway.
pub(crate) struct Driver<D> {
    /// The decisions.
    pub(crate) gateway: Gateway,
    /// The clock.
    pub(crate) clock: Clock,
    /// What the tasks share.
    pub(crate) hub: Rc<Hub<D>>,
    /// The links to other VMs.
    pub(crate) peers: Rc<Peers<D>>,
    /// The log.
    pub(crate) journal: Journal,
    /// The figures.
    pub(crate) figures: Rc<Figures>,
    /// The events.
    pub(crate) mailbox: flume::Receiver<Event>,
    /// Effects of the present step.
    pub(crate) effects: Effects,
    /// How late it is.
    pub(crate) lateness: Lateness,
    /// What was refused to clients.
    pub(crate) shedding: Shedding,
}

impl<D: Dialect> Driver<D> {
    /// Handles events until nothing is in progress after a stop, or the time for that is over.
    pub(crate) async fn run(&mut self, mut stop: tokio::sync::watch::Receiver<Option<Instant>>) {
        self.step(Event::Start);
        loop {
            self.note_lateness();
            self.note_shedding();
            let wake = self.clock.at(self.gateway.next_wakeup());
            let deadline = *stop.borrow_and_update();
            let end = self
                .clock
                .at(deadline.unwrap_or(self.clock.now() + Span::from_secs(3_600)));
            tokio::select! {
                event = self.mailbox.recv_async() => match event {
                    Ok(event) => self.step(event),
                    Err(_) => return,
                },
                () = tokio::time::sleep_until(wake) => self.step(Event::Tick),
                () = tokio::time::sleep_until(end) => return,
                _ = stop.changed() => {}
            }
            for _ in 0..BATCH {
                match self.mailbox.try_recv() {
                    Ok(event) => self.step(event),
                    Err(_) => break,
                }
            }
        }
    }

    /// Writes a line where the loop is late, with what waits for it.
    fn note_lateness(&mut self) {
        let now = self.clock.now();
        let late = now.since(self.gateway.next_wakeup());
        if late < LATE || now.since(self.lateness.told) < LATE_AGAIN {
            return;
        }
        let (steps, mailbox) = (self.lateness.steps, self.mailbox.len());
        let detail = format!("late={late} mailbox={mailbox} steps={steps}");
        self.journal.write(now, &Record::new(Code::Late, detail));
        self.lateness = Lateness {
            steps: 0,
            told: now,
        };
    }

    /// Shows how full the ledger is, and writes a line where clients were refused or had to yield.
    fn note_shedding(&mut self) {
        let now = self.clock.now();
        if now.since(self.shedding.at) < SHED_AGAIN {
            return;
        }
        self.shedding.at = now;
        let report = self.hub.intake.take_report();
        self.figures.show_intake(&report);
        if !report.is_quiet() {
            let record = Record::new(Code::ClientsShed, report.to_string());
            self.journal.write(now, &record);
        }
    }

    /// The largest body that is taken in: that of the operator's limits, unless there is no room for one.
    fn body_limit(&mut self, limit: usize) -> usize {
        let largest = self.hub.intake.largest_body();
        if limit > largest.0 && limit != self.shedding.oversized_limit {
            self.shedding.oversized_limit = limit;
            let detail = format!("limit={limit} largest={largest}");
            let now = self.clock.now();
            self.journal
                .write(now, &Record::new(Code::BodyLimitTooLarge, detail));
        }
        limit.min(largest.0)
    }

    fn step(&mut self, event: Event) {
        self.lateness.steps += 1;
        let now = self.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        self.gateway.step(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(now, effect);
        }
        self.effects = effects;
        if self.gateway.scheduler_ran() {
            self.gateway
                .record_step_duration(self.clock.now().since(now));
        }
        let limits = self.gateway.limits();
        self.hub.ready.set(self.gateway.is_ready());
        self.hub.end_by.set(self.gateway.end_by());
        let body_limit = self.body_limit(limits.body);
        self.hub.body_limit.set(body_limit);
        self.hub.head_limit.set(limits.head);
        self.hub.head_time.set(duration(limits.head_time));
        self.hub.idle.set(duration(limits.idle_time));
    }

    fn perform(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Request(id, verdict) => self.hub.tell(id, verdict),
            Effect::SendMessage(address, reach, message) => {
                self.peers.send(address, reach, message);
            }
            Effect::Log(record) => self.journal.write(now, &record),
            Effect::Measure(sample) => self.figures.take(sample),
            Effect::KvCall(id, op) => self.call_store(id, op),
            Effect::Order(id, server, address, order) => {
                let lost = Event::OrderAnswered(id, OrderOutcome::Unknown);
                let hub = self.hub.clone();
                task::spawn_owing(&self.hub, Task::Order, lost, async move {
                    let client = hub.client.clone();
                    let answer = hub.dialect.order(client, server.clone(), address, order);
                    Event::OrderAnswered(id, hub.heard(&server, answer).await)
                });
            }
            Effect::Probe(server, address) => {
                let lost = Event::Probed(server.clone(), ProbeResult::Silent);
                let hub = self.hub.clone();
                task::spawn_owing(&self.hub, Task::Probe, lost, async move {
                    Event::Probed(server, hub.pool.probe(address).await)
                });
            }
            Effect::DropConnections => self.hub.pool.clear(),
            Effect::TrackAnswers(server, all) => self.hub.track(server, all),
            Effect::Report(server, address) => {
                let lost = Event::ReportReceived(server.clone(), None);
                let hub = self.hub.clone();
                task::spawn_owing(&self.hub, Task::Report, lost, async move {
                    let client = hub.client.clone();
                    let answer = hub.dialect.report(client, server.clone(), address);
                    let report = hub.heard(&server, answer).await;
                    Event::ReportReceived(server, report)
                });
            }
        }
    }

    fn call_store(&self, id: u64, op: KvOperation) {
        let unknown = KvAnswer {
            era: None,
            outcome: KvOutcome::Unknown,
        };
        let lost = Event::KvAnswered(id, unknown);
        let hub = self.hub.clone();
        task::spawn_owing(&self.hub, Task::KvCall, lost, async move {
            let answer = hub.dialect.store(hub.client.clone(), op);
            Event::KvAnswered(id, answer.await)
        });
    }
}
