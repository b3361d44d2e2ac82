//! One entry VM: its tables, and the dispatch of events to the passes that run over them.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::catalog::Catalog;
use crate::config::rules::Rules;
use crate::effect::{Effect, Effects};
use crate::event::Event;
use crate::id;
use crate::log::{Code, Record};
use crate::operator::Command;
use crate::ops::{Owner, Table};
use crate::peer::Message;
use crate::platform::{Notice, Outcome};
use crate::settings::Settings;
use crate::time::{Instant, Span};
use crate::{claim, domain, fleet, sync, traffic, verify};

/// Everything that one entry VM knows.
#[derive(Debug)]
pub struct Node {
    /// What it was told of itself.
    pub(crate) settings: Settings,
    /// The time of the present step.
    pub(crate) now: Instant,
    /// Its random numbers.
    pub(crate) rng: ChaCha8Rng,
    /// The entities of the configuration in force.
    pub(crate) catalog: Catalog,
    /// The rules in force.
    pub(crate) rules: Rules,
    /// Operations on the key-value service in progress.
    pub(crate) ops: Table,
    /// The configuration as it is read and spread.
    pub(crate) sync: sync::State,
    /// The other entry VMs.
    pub(crate) fleet: fleet::State,
    /// Control domains, held or used.
    pub(crate) domains: domain::State,
    /// Claims on idempotency keys.
    pub(crate) claims: claim::State,
    /// Requests and attempts.
    pub(crate) traffic: traffic::State,
    /// Messages from this VM to itself that the present step has not yet handled.
    inbox: VecDeque<Message>,
    /// Whether a step has run.
    begun: bool,
}

impl Node {
    /// A node that knows nothing but its settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            now: Instant::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            catalog: Catalog::default(),
            rules: Rules::default(),
            ops: Table::default(),
            sync: sync::State::default(),
            fleet: fleet::State::new(&settings),
            domains: domain::State::default(),
            claims: claim::State::default(),
            traffic: traffic::State::default(),
            inbox: VecDeque::new(),
            begun: false,
            settings,
        }
    }

    /// Handles one event at the time `now` and appends what is to be done to `effects`.
    ///
    /// `now` comes from the VM's monotonic clock and never goes back.
    pub fn step(&mut self, now: Instant, event: Event, effects: &mut Effects) {
        debug_assert!(now >= self.now, "time went back");
        self.pass_time(now, effects);
        self.handle(event, effects);
        while let Some(message) = self.inbox.pop_front() {
            let (vm, incarnation) = (self.settings.vm.clone(), self.settings.incarnation);
            self.handle(
                Event::Peer {
                    from: vm,
                    incarnation,
                    message,
                },
                effects,
            );
        }
        traffic::dispatch(self, effects);
    }

    /// Every invariant that does not hold, as readable text; empty where all is well.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        verify::run(self)
    }

    /// Sends a message to an entry VM; one to this VM itself is handled within the present step.
    pub(crate) fn send(&mut self, to: &id::Vm, message: Message, out: &mut Effects) {
        if *to == self.settings.vm {
            self.inbox.push_back(message);
            return;
        }
        let Some(address) = self.fleet.address(to) else {
            return;
        };
        out.push(Effect::Peer {
            to: to.clone(),
            address,
            message,
        });
    }

    fn pass_time(&mut self, now: Instant, out: &mut Effects) {
        let gap = now.since(self.now);
        let pause = Span::from_millis(self.settings.tuning.pause_ms);
        self.now = now;
        if self.begun && gap > pause {
            out.push(Effect::Log(Record::new(Code::Paused, format!("for={gap}"))));
            domain::paused(self, out);
            fleet::paused(self, out);
        }
        self.begun = true;
    }

    fn handle(&mut self, event: Event, out: &mut Effects) {
        match event {
            Event::Tick => self.tick(out),
            Event::Arrived { request, call } => traffic::arrived(self, request, call, out),
            Event::Gone { request } => traffic::gone(self, request, out),
            Event::Begun { attempt, head } => traffic::begun(self, attempt, head, out),
            Event::Chunk {
                attempt,
                model,
                tokens,
                data,
            } => {
                traffic::chunk(self, attempt, model.as_deref(), tokens, data, out);
            }
            Event::Ended { attempt } => traffic::ended(self, attempt, out),
            Event::Failed { attempt, failure } => traffic::failed(self, attempt, &failure, out),
            Event::Report { server, report } => domain::reported(self, &server, report, out),
            Event::Cache { server, changes } => domain::cached(self, &server, &changes, out),
            Event::Ordered { order, outcome } => domain::ordered(self, order, outcome, out),
            Event::Platform { op, outcome } => self.platform(op, outcome, out),
            Event::Watch { op, notice } => self.watch(op, notice, out),
            Event::List { vms } => fleet::listed(self, vms, out),
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                self.peer(&from, incarnation, message, out);
            }
            Event::PeerDown { vm, refused } => fleet::down(self, &vm, refused, out),
            Event::Operator { ticket, command } => self.operator(ticket, command, out),
            Event::Shutdown { now } => fleet::shutdown(self, now, out),
        }
    }

    fn tick(&mut self, out: &mut Effects) {
        fleet::tick(self, out);
        sync::tick(self, out);
        domain::tick(self, out);
        claim::tick(self, out);
        traffic::tick(self, out);
    }

    fn platform(&mut self, op: id::Op, outcome: Outcome, out: &mut Effects) {
        match self.ops.take(op) {
            Some(Owner::Domain) => domain::platform(self, op, &outcome, out),
            Some(Owner::Claim) => claim::platform(self, op, outcome, out),
            Some(Owner::Sync) => sync::platform(self, op, outcome, out),
            None => {}
        }
    }

    fn watch(&mut self, op: id::Op, notice: Notice, out: &mut Effects) {
        match self.ops.watcher(op) {
            Some(Owner::Sync) => sync::watched(self, op, notice, out),
            Some(Owner::Domain | Owner::Claim) | None => {}
        }
    }

    fn peer(
        &mut self,
        from: &id::Vm,
        incarnation: id::Incarnation,
        message: Message,
        out: &mut Effects,
    ) {
        if !fleet::heard(self, from, incarnation, out) {
            return;
        }
        match message {
            Message::Heartbeat(beat) => fleet::heartbeat(self, from, beat, out),
            Message::Ask(ask) => domain::asked(self, from, incarnation, &ask, out),
            Message::Update(update) => domain::updated(self, from, &update, out),
            Message::NotHolder(notice) => domain::not_holder(self, from, notice, out),
            Message::Claim(claim) => claim::claimed(self, from, incarnation, claim, out),
            Message::Verdict(verdict) => claim::verdict(self, from, verdict, out),
            Message::Fetch(fetch) => sync::fetched(self, from, fetch, out),
            Message::Piece(piece) => sync::piece(self, from, piece, out),
        }
    }

    fn operator(&mut self, ticket: id::Ticket, command: Command, out: &mut Effects) {
        match command {
            Command::Show => sync::show(self, ticket, out),
            Command::Edit(edit) => sync::edit(self, ticket, edit, out),
            Command::History { limit } => sync::history(self, ticket, limit, out),
            Command::Test(call) => traffic::test(self, ticket, &call, out),
            Command::Status => fleet::status(self, ticket, out),
            Command::Explain { request } => traffic::explain(self, ticket, &request, out),
        }
    }
}
