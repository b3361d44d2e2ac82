//! The thread that owns the node: it drains the mailbox, stamps events with the time, and hands effects out.

mod answers;
mod attempt;
mod kv;
mod mailbox;
mod outside;

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use dahliastile_core::effect::{Effect, Effects};
use dahliastile_core::error::{Answer, Kind};
use dahliastile_core::event::{Call, Event, Head};
use dahliastile_core::id::{Edition, Request, Ticket};
use dahliastile_core::log::{Code, Record};
use dahliastile_core::metric::{Figure, Sample};
use dahliastile_core::operator::{Command, Reply};
use dahliastile_core::settings as core;
use dahliastile_core::time;
use dahliastile_core::{Node, View};

use crate::http::Intake;
use crate::logs::Journal;
use crate::peers::Peers;
use answers::Answers;
pub(crate) use answers::CHANNEL;
pub(crate) use attempt::{Body, Held};
use dahliastile_shell::Figures;
pub(crate) use mailbox::{Inbox, Mailbox};
use outside::Outside;

/// Messages handled between two looks at the clock.
const BATCH: usize = 256;

/// The pause between two reports on what clients make the process hold.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// A piece of an answer, on its way to the thread that writes it.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The start of an answer; a second one starts an answer that is not streamed over.
    Begin(Head),
    /// Bytes for the caller.
    Data(Vec<u8>),
    /// The end of a whole answer.
    Finish,
    /// A refusal, or the explicit end of an answer that is not whole.
    Refuse(Answer),
    /// The stored answer of the first run of an idempotency key.
    Replay(Head, Vec<u8>),
}

/// A message to the thread that owns the node.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something happened outside.
    Event(Event),
    /// A request was refused before it got a part of the node's time.
    Refused(Kind),
    /// A caller's request arrived.
    Arrived {
        /// Its number.
        request: Request,
        /// What it asks for.
        call: Box<Call>,
        /// What to send to a backend server.
        body: Arc<Held>,
        /// Where its answer goes.
        answer: flume::Sender<Piece>,
    },
    /// An operator's command.
    Command {
        /// Its number.
        ticket: Ticket,
        /// What to do.
        command: Command,
        /// Where the reply goes.
        reply: flume::Sender<Reply>,
    },
}

/// The view of the configuration in force, shared with the listeners.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared(Arc<RwLock<Arc<View>>>);

impl Shared {
    /// The present view.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, view: View) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}

/// What the driver is made of.
pub(crate) struct Parts {
    /// The settings of the node.
    pub(crate) settings: core::Settings,
    /// The mailbox's draining side.
    pub(crate) inputs: Inbox,
    /// The mailbox, for those who work for the node.
    pub(crate) mailbox: Mailbox,
    /// The view for the listeners.
    pub(crate) shared: Shared,
    /// The log.
    pub(crate) journal: Journal,
    /// The figures.
    pub(crate) figures: Figures,
    /// The links to other entry VMs.
    pub(crate) peers: Peers,
    /// The addresses of the key-value service.
    pub(crate) endpoints: Vec<dahliastile_outside::Endpoint>,
    /// Attempts in progress at a time.
    pub(crate) attempts: usize,
    /// The largest answer that is not streamed.
    pub(crate) answer_bytes: usize,
    /// How long a caller may leave its answer unread.
    pub(crate) slow: Duration,
    /// What clients make the process hold.
    pub(crate) intake: Arc<Intake>,
}

/// The owner of the node.
pub(crate) struct Driver {
    node: Node,
    effects: Effects,
    origin: Instant,
    tick: Duration,
    inputs: Inbox,
    shared: Shared,
    journal: Journal,
    figures: Figures,
    peers: Peers,
    outside: Outside,
    answers: Answers,
    replies: HashMap<Ticket, flume::Sender<Reply>>,
    shown: Edition,
    intake: Arc<Intake>,
    /// When the next report on it is due.
    next_report: Instant,
    stopped: bool,
}

impl Driver {
    /// A driver whose node knows nothing yet.
    pub(crate) fn new(parts: Parts) -> Self {
        let tick = Duration::from_millis(parts.settings.tuning.tick_ms);
        let outside = Outside::new(&parts);
        let shown = parts.shared.view().edition;
        Self {
            node: Node::new(parts.settings),
            effects: Effects::new(),
            origin: Instant::now(),
            tick,
            inputs: parts.inputs,
            shared: parts.shared,
            journal: parts.journal,
            figures: parts.figures,
            peers: parts.peers,
            outside,
            answers: Answers::new(parts.slow),
            replies: HashMap::new(),
            shown,
            intake: parts.intake,
            next_report: Instant::now(),
            stopped: false,
        }
    }

    /// Runs until the node has stopped.
    pub(crate) fn run(mut self) {
        let mut next = Instant::now();
        while !self.stopped {
            let now = Instant::now();
            if now >= next {
                self.tick();
                next = now + self.tick;
            }
            match self.inputs.recv_deadline(next) {
                Ok(input) => self.take(input),
                Err(flume::RecvTimeoutError::Timeout) => continue,
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..BATCH {
                match self.inputs.try_recv() {
                    Ok(input) if !self.stopped => self.take(input),
                    _ => break,
                }
            }
        }
        self.finish();
    }

    /// Passes on what is left of answers that are over for the node, and answers what comes too late for it.
    fn finish(mut self) {
        self.inputs.close();
        // Operators whose commands the node has left open hear of it as their senders go.
        self.replies.clear();
        while !self.answers.is_empty() {
            for request in self.answers.overdue() {
                self.answers.remove(request);
            }
            self.inputs.refuse_for(self.tick);
        }
    }

    fn tick(&mut self) {
        self.step(Event::Tick);
        self.report_intake();
        for request in self.answers.overdue() {
            self.answers.remove(request);
            self.outside.forget(request);
            self.step(Event::Gone { request });
        }
    }

    /// Shows how full the ledger of clients is, and writes a line where some were turned away.
    fn report_intake(&mut self) {
        let now = Instant::now();
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_PAUSE;
        let report = self.intake.take_report();
        self.figures.show_intake(&report);
        if !report.is_quiet() {
            let record = Record::new(Code::ClientsShed, report.to_string());
            self.journal.write(&record);
        }
    }

    /// Shows the listeners a configuration that has come in force.
    fn show(&mut self) {
        let edition = self.node.edition();
        if edition != self.shown {
            self.shown = edition;
            self.shared.set(self.node.view());
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived {
                request,
                call,
                body,
                answer,
            } => {
                self.answers.insert(request, answer);
                self.outside.remember(request, body);
                self.step(Event::Arrived { request, call });
            }
            Input::Command {
                ticket,
                command,
                reply,
            } => {
                self.replies.insert(ticket, reply);
                self.step(Event::Operator { ticket, command });
            }
            Input::Event(event) => {
                self.note(&event);
                self.step(event);
            }
            Input::Refused(kind) => self.figures.take(Sample {
                figure: Figure::Refused,
                value: 1.0,
                tenant: None,
                class: None,
                label: Some(kind.row().name.into()),
            }),
        }
    }

    /// Brings the tables in line with an event before the node sees it.
    fn note(&mut self, event: &Event) {
        match event {
            Event::Gone { request } => {
                self.answers.remove(*request);
                self.outside.forget(*request);
            }
            Event::Ended { attempt } | Event::Failed { attempt, .. } => {
                self.outside.attempt_over(*attempt);
            }
            _ => {}
        }
    }

    fn step(&mut self, event: Event) {
        let micros = self.origin.elapsed().as_micros();
        let now = time::Instant(u64::try_from(micros).unwrap_or(u64::MAX));
        let mut effects = std::mem::take(&mut self.effects);
        self.node.step(now, event, &mut effects);
        // Before the effects: who hears that an edition is in force may rely on it.
        self.show();
        for effect in effects.drain(..) {
            self.carry_out(now, effect);
        }
        self.effects = effects;
    }

    fn carry_out(&mut self, now: time::Instant, effect: Effect) {
        match effect {
            Effect::Send(work) => self.outside.send(work, now),
            Effect::Cancel { attempt } => self.outside.cancel(attempt),
            Effect::Begin { request, head } => self.answers.pass(request, Piece::Begin(head)),
            Effect::Stream { request, data } => self.answers.pass(request, Piece::Data(data)),
            Effect::Finish { request } => self.end(request, Piece::Finish),
            Effect::Refuse { request, answer } => self.end(request, Piece::Refuse(answer)),
            Effect::Replay {
                request,
                head,
                data,
            } => self.end(request, Piece::Replay(head, data)),
            Effect::Peer {
                to,
                address,
                message,
            } => self.peers.send(&to, &address, &message),
            Effect::Platform { op, call } => self.outside.platform(op, call),
            Effect::Unwatch { op } => self.outside.unwatch(op),
            Effect::Poll { server, address } => self.outside.poll(server, &address),
            Effect::Order(command) => self.outside.order(command),
            Effect::Log(record) => self.journal.write(&record),
            Effect::Metric(sample) => self.figures.take(sample),
            Effect::Reply { ticket, reply } => self.reply(ticket, reply),
            Effect::Stopped => self.stopped = true,
        }
    }

    fn end(&mut self, request: Request, piece: Piece) {
        self.answers.pass(request, piece);
        self.answers.close(request);
        self.outside.forget(request);
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(sender) = self.replies.remove(&ticket) {
            // An operator who has hung up misses the reply.
            let _ = sender.try_send(reply);
        }
    }
}
