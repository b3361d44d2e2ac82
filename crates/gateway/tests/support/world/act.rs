//! What happens in the fleet: the acts that its clock brings about, and what the gateways have done.

use std::cmp::Reverse;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::cluster::snapshot::{Change, EntryValue};
use dahliastile_gateway::effect::{Attempt, Effect, KvOperation, NextStep, Order};
use dahliastile_gateway::event::{
    Event, Execution, FailureCause, KvOutcome, LinkFault, OrderOutcome,
};
use rand::Rng;

use super::fall::{Arrival, CRASHES_AFTER, Run};
use super::{Act, Answer, PLAIN_WORK, SILENT_CALL, STORE_WAY, WAY, World};
use crate::support::setup::{self, name};

impl World {
    pub(super) fn start(&mut self, vm: usize) {
        let host = &mut self.vms[vm];
        host.start += 1;
        host.frozen = None;
        host.wake = Instant::NEVER;
        host.taken = Instant::default();
        host.queue.clear();
        let mut settings = setup::settings(vm, host.start, &self.tuning);
        settings.strength = host.strength;
        settings.without = self.without;
        host.gateway = Some(Gateway::new(settings));
        self.deliver(vm, Event::Start);
    }

    pub(super) fn at(&mut self, at: Instant, act: Act) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.acts.insert(self.seq, act);
    }

    pub(super) fn act(&mut self, act: Act) {
        match act {
            Act::Event(vm, start, event) => {
                if self.vms[vm].start == start {
                    self.deliver(vm, event);
                }
            }
            Act::Wake(vm, start) => {
                if self.vms[vm].start == start {
                    self.vms[vm].wake = Instant::NEVER;
                    self.deliver(vm, Event::Tick);
                }
            }
            Act::Store(vm, start, op, call) => self.call_store(vm, start, op, call),
            Act::Order(vm, start, id, server, order, silent) => {
                self.carry_out(vm, start, id, &server, &order, silent);
            }
            Act::Report(vm, start, server) => {
                let now = self.now;
                self.reached(vm, &server, false);
                let report = self
                    .servers
                    .get(&server)
                    .filter(|(e, _)| e.up)
                    .map(|(e, _)| e.report(now));
                if report.is_some() {
                    self.head_in(WAY, (vm, start), &server, now.back(WAY));
                }
                self.at(
                    now + WAY,
                    Act::Event(vm, start, Event::ReportReceived(server, report)),
                );
            }
            Act::Peer(from, to, message) => {
                let sender: Vm = name(&format!("vm{from}"));
                let linked = self.vms[to].peers_reachable && self.vms[from].peers_reachable;
                let linked = linked && self.vms[to].partition == self.vms[from].partition;
                if linked && self.vms[to].network_up && self.vms[to].gateway.is_some() {
                    self.deliver(to, Event::PeerMessage(sender, message));
                } else if self.vms[from].network_up {
                    let down = Event::PeerDown(setup::address(1, to), LinkFault::Unreachable);
                    self.deliver(from, down);
                }
            }
            Act::Arrive(vm, start, number, send) => self.arrive(vm, start, number, &send),
            Act::Head(head) => self.head(head),
            Act::Restart(vm) => self.start(vm),
            Act::Expire => {
                if self.store_up {
                    self.store.expire(self.now);
                    self.wake_watchers();
                } else {
                    self.store.extend(Span::from_millis(50));
                }
                self.at(self.now + Span::from_millis(50), Act::Expire);
            }
            Act::Free(vm, start) if self.vms[vm].start == start => {
                if let Some(event) = self.vms[vm].queue.pop_front() {
                    self.handle(vm, event);
                }
            }
            Act::Free(..) => {}
            Act::Answer(number, server, event) => self.answer_from(number, &server, event),
            Act::Fall(server, fingerprint) => self.fall_under(&server, fingerprint),
            Act::Unlist(server) => self.unlist_server(server),
            Act::Succeed(id, engine, backend) => self.succeed(&id, engine, &backend),
            Act::Thaw(vm) => {
                self.vms[vm].frozen = None;
                for event in std::mem::take(&mut self.vms[vm].backlog) {
                    self.deliver(vm, event);
                }
                self.deliver(vm, Event::Tick);
            }
        }
    }

    pub(super) fn call_store(&mut self, vm: usize, start: u64, op: u64, call: KvOperation) {
        if self.vms[vm].store_silent {
            let event = Event::KvAnswered(op, KvOutcome::Unknown);
            self.at(self.now + SILENT_CALL, Act::Event(vm, start, event));
            return;
        }
        let reached = self.store_up && self.vms[vm].store_reachable;
        let outcome = if reached {
            self.store.call(self.now, vm, op, call)
        } else {
            Some(KvOutcome::Refused)
        };
        if let Some(outcome) = outcome {
            let at = self.now + STORE_WAY + self.lag(vm, &outcome);
            self.at(at, Act::Event(vm, start, Event::KvAnswered(op, outcome)));
        }
        self.wake_watchers();
    }

    /// Answers the watches that have something to hear. Those of a VM that is cut off are cut.
    pub fn wake_watchers(&mut self) {
        if !self.store_up {
            let cut: Vec<_> = self.store.waiters.drain(..).collect();
            for waiter in cut {
                self.answer_store(waiter.vm, waiter.op, KvOutcome::Unknown);
            }
            return;
        }
        for (vm, op, outcome) in self.store.wake(self.now) {
            let outcome = if self.vms[vm].store_reachable {
                outcome
            } else {
                KvOutcome::Unknown
            };
            self.answer_store(vm, op, outcome);
        }
    }

    pub(super) fn answer_store(&mut self, vm: usize, op: u64, outcome: KvOutcome) {
        let start = self.vms.get(vm).map_or(0, |host| host.start);
        let silent = self.vms.get(vm).is_some_and(|host| host.store_silent);
        let (outcome, at) = if silent {
            // The caller's own limit ends its wait.
            (KvOutcome::Unknown, self.now + SILENT_CALL)
        } else {
            let lag = self.lag(vm, &outcome);
            (outcome, self.now + STORE_WAY + lag)
        };
        self.at(at, Act::Event(vm, start, Event::KvAnswered(op, outcome)));
    }

    pub(super) fn lag(&self, vm: usize, outcome: &KvOutcome) -> Span {
        let leadership = |change: &Change| matches!(change.value, Some(EntryValue::Holder(_)));
        match outcome {
            KvOutcome::Written(_) => self.vms[vm].store_delay,
            KvOutcome::Watched(changes, _) if changes.iter().any(leadership) => {
                self.vms[vm].store_delay
            }
            _ => Span::ZERO,
        }
    }

    pub(super) fn carry_out(
        &mut self,
        vm: usize,
        start: u64,
        id: u64,
        server: &Server,
        order: &Order,
        silent: bool,
    ) {
        let now = self.now;
        self.reached(vm, server, false);
        let newest = order
            .adapter
            .as_ref()
            .and_then(|a| self.versions.get(a))
            .copied()
            .unwrap_or(0);
        let outcome = match self.servers.get_mut(server) {
            Some((engine, _)) if engine.up => engine.order(now, newest, order),
            _ => OrderOutcome::Unknown,
        };
        if !silent {
            if outcome != OrderOutcome::Unknown {
                self.head_in(WAY, (vm, start), server, now.back(WAY));
            }
            self.at(
                now + WAY,
                Act::Event(vm, start, Event::OrderAnswered(id, outcome)),
            );
        }
    }

    pub(super) fn arrive(&mut self, vm: usize, start: u64, number: u64, send: &Attempt) {
        let now = self.now;
        if self.servers.get(&send.server).is_some_and(|(e, _)| e.up) {
            self.reached(vm, &send.server, true);
        }
        let Some(asked) = self.requests.get_mut(&number) else {
            return;
        };
        asked.arrivals += 1;
        let call = asked.request.clone();
        let failed = |ran, cause| Event::AttemptFailed(number, ran, cause);
        let Some((engine, _)) = self.servers.get_mut(&send.server).filter(|(e, _)| e.up) else {
            self.at(
                now + WAY,
                Act::Event(vm, start, failed(Execution::No, FailureCause::Unreachable)),
            );
            return;
        };
        let (to, left) = ((vm, start), now.back(WAY));
        let crashes = self.crashing.fingerprints.contains(&call.fingerprint);
        if crashes {
            self.crashing.arrivals.push(Arrival {
                at: now,
                fingerprint: call.fingerprint,
                vm,
            });
        }
        if engine.resting {
            self.refusal_in(WAY, to, &send.server, left);
            let refused = failed(Execution::No, FailureCause::Full);
            self.at(now + WAY, Act::Event(vm, start, refused));
            return;
        }
        let times = match &call.work {
            None => Some((now + PLAIN_WORK, now + PLAIN_WORK)),
            Some(work) => match &work.adapter {
                Some(adapter) => engine.draft(
                    now,
                    adapter,
                    send.version,
                    work.prompt_tokens,
                    work.max_output_tokens,
                ),
                None => Some((now, now)),
            },
        };
        let Some((begun, end)) = times else {
            self.head_in(WAY, to, &send.server, left);
            self.at(
                now + WAY,
                Act::Event(vm, start, failed(Execution::No, FailureCause::Missing)),
            );
            return;
        };
        let failing = engine.failing;
        asked.runs.push((now, send.server.clone()));
        asked.accounts.push(send.account.clone());
        asked.priorities.push(send.priority);
        self.head_in(begun.since(now) + WAY, to, &send.server, left);
        if failing {
            self.at(
                begun + WAY,
                Act::Event(vm, start, failed(Execution::Yes, FailureCause::Status(500))),
            );
            return;
        }
        if let Some(adapter) = call.work.as_ref().and_then(|w| w.adapter.as_ref()) {
            let newest = send
                .version
                .unwrap_or(0)
                .max(self.version_in_force(adapter));
            let ran = self.servers[&send.server].0.slots[adapter].version;
            self.requests
                .get_mut(&number)
                .expect("asked")
                .versions
                .push((newest, ran));
        }
        let server = send.server.clone();
        let run = Run {
            vm: (vm, start),
            server: server.clone(),
        };
        self.running.insert(number, run);
        let answer = |event| Act::Answer(number, server.clone(), event);
        let completed = answer(Event::AnswerCompleted(number, Span::ZERO));
        if call.work.is_some() || !crashes {
            self.at(begun + WAY, answer(Event::AnswerStarted(number)));
        }
        if crashes {
            let fall = Act::Fall(server, call.fingerprint);
            self.at(begun + CRASHES_AFTER, fall);
        } else {
            self.at(end + WAY, completed);
        }
    }

    pub(super) fn deliver(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let host = &mut self.vms[vm];
        if host.frozen.is_some_and(|until| until > now) {
            host.backlog.push(event);
            return;
        }
        if host.gateway.is_none() {
            return;
        }
        if host.taken > now || !host.queue.is_empty() {
            host.queue.push_back(event);
            return;
        }
        self.handle(vm, event);
    }

    /// A VM's processor takes an event up.
    fn handle(&mut self, vm: usize, event: Event) {
        let now = self.now;
        if self.vms[vm].gateway.is_none() {
            return;
        }
        self.record(vm, &event);
        let mut effects = Vec::new();
        let (each, run) = self.vms[vm].cpu_cost;
        let gateway = self.vms[vm].gateway.as_mut().expect("it runs");
        gateway.step(now, event, &mut effects);
        let faults = gateway.verify();
        assert!(faults.is_empty(), "at {now}: {faults:?}");
        let took = if gateway.scheduler_ran() {
            each + run
        } else {
            each
        };
        if gateway.scheduler_ran() {
            gateway.record_step_duration(took);
        }
        let wake = gateway.next_wakeup();
        for effect in effects {
            self.perform(vm, effect);
        }
        let host = &mut self.vms[vm];
        if took > Span::ZERO {
            host.taken = now + took;
            let (at, start) = (host.taken, host.start);
            self.at(at, Act::Free(vm, start));
        }
        let host = &mut self.vms[vm];
        if wake < host.wake && wake != Instant::NEVER {
            host.wake = wake;
            let start = host.start;
            self.at(wake.max(now), Act::Wake(vm, start));
        }
    }

    /// Notes what a caller sees, before the gateway forgets the request.
    pub(super) fn record(&mut self, vm: usize, event: &Event) {
        let now = self.now;
        match event {
            Event::AnswerStarted(number) => {
                if let Some(asked) = self.requests.get_mut(number).filter(|a| a.ended.is_none()) {
                    asked.ended = Some((now, Answer::Served(now)));
                }
            }
            Event::AnswerCompleted(number, _) => {
                if let Some(asked) = self.requests.get_mut(number) {
                    let begun = match &asked.ended {
                        Some((_, Answer::Served(begun))) => *begun,
                        Some(_) => return,
                        None => now,
                    };
                    asked.ended = Some((now, Answer::Served(begun)));
                }
            }
            _ => {}
        }
        let _ = vm;
    }

    pub(super) fn perform(&mut self, vm: usize, effect: Effect) {
        let (now, start, net) = (self.now, self.vms[vm].start, self.vms[vm].network_up);
        match effect {
            Effect::Request(number, NextStep::Attempt(send)) if net => {
                self.at(now + WAY, Act::Arrive(vm, start, number, *send));
            }
            Effect::Request(number, NextStep::Attempt(_)) => {
                let event = Event::AttemptFailed(number, Execution::No, FailureCause::Unreachable);
                self.at(now + Span::from_millis(400), Act::Event(vm, start, event));
            }
            Effect::Request(number, verdict) => {
                let answer = match verdict {
                    NextStep::Refuse(reason, after) => Answer::Refused(reason, after),
                    NextStep::ForwardFailure => Answer::Failure,
                    _ => Answer::Cut,
                };
                if let Some(asked) = self.requests.get_mut(&number) {
                    asked.ended = Some((now, answer));
                }
            }
            Effect::KvCall(op, call) => {
                self.tried += 1;
                self.at(now + STORE_WAY, Act::Store(vm, start, op, call));
            }
            Effect::Order(id, server, _, order) => self.send_order(vm, id, server, order),
            Effect::TrackAnswers(server, all) => self.track(vm, server, all),
            Effect::Probe(server, _) => self.probe(vm, server),
            Effect::Report(server, _) if net => self.at(now + WAY, Act::Report(vm, start, server)),
            Effect::Report(server, _) => {
                self.at(
                    now + Span::from_millis(300),
                    Act::Event(vm, start, Event::ReportReceived(server, None)),
                );
            }
            Effect::SendMessage(address, _, message) => {
                self.messages += 1;
                *self.messages_by_kind.entry(message.kind()).or_default() += 1;
                let to = (0..self.vms.len()).find(|to| setup::address(1, *to) == address);
                if let Some(to) = to.filter(|_| net) {
                    self.at(now + WAY, Act::Peer(vm, to, message));
                }
            }
            Effect::Log(record) => self
                .log_lines
                .push(format!("{now} vm{vm} {:?} {}", record.code, record.detail)),
            Effect::Measure(_) => {}
        }
    }

    /// Sends an order. A late one gets no answer, and is carried out seconds later.
    pub(super) fn send_order(&mut self, vm: usize, id: u64, server: Server, order: Order) {
        let (now, start) = (self.now, self.vms[vm].start);
        let late = self.rng.random_range(0.0..1.0) < self.delayed_order_share;
        if late || !self.vms[vm].network_up {
            self.at(
                now + order.answer_timeout,
                Act::Event(vm, start, Event::OrderAnswered(id, OrderOutcome::Unknown)),
            );
            if late {
                let delay = Span::from_millis(self.rng.random_range(2_000..12_000));
                self.at(now + delay, Act::Order(vm, start, id, server, order, true));
            }
            return;
        }
        self.at(now + WAY, Act::Order(vm, start, id, server, order, false));
    }
}
