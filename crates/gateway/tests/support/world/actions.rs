//! Performs the scheduled actions of the simulation, delivers events to the gateways and applies the
//! gateways' effects.

use std::cmp::Reverse;

use dahliastile_body::Framing;
use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::Gateway;
use dahliastile_gateway::cluster::snapshot::{Change, EntryValue};
use dahliastile_gateway::effect::{Attempt, Effect, KvOperation, NextStep, Order};
use dahliastile_gateway::event::{
    Event, Execution, FailureCause, KvAnswer, KvOutcome, LinkFault, OrderOutcome, StreamTiming,
};
use dahliastile_gateway::message::Message;
use rand::Rng;

use super::crash::{CRASH_DELAY, RunningRequest};
use super::path::ServerPath;
use super::{Action, Answer, KV_CALL_TIMEOUT, KV_LATENCY, LATENCY, PLAIN_SERVICE_TIME, World};
use crate::support::setup::{self, name};

impl World {
    /// Starts a VM's process.
    pub(super) fn start_vm(&mut self, vm: usize) {
        let vm_state = &mut self.vms[vm];
        vm_state.incarnation += 1;
        vm_state.frozen = None;
        vm_state.wake_at = Instant::NEVER;
        vm_state.busy_until = Instant::default();
        vm_state.pending_events.clear();
        let mut settings = setup::settings(vm, vm_state.incarnation, &self.tuning);
        settings.strength = vm_state.strength;
        settings.without = self.without;
        vm_state.gateway = Some(Gateway::new(settings));
        self.deliver(vm, Event::Start);
    }

    /// Schedules an action for the time `at`.
    pub(super) fn schedule(&mut self, at: Instant, action: Action) {
        self.last_number += 1;
        self.queue.push(Reverse((at, self.last_number)));
        self.actions.insert(self.last_number, action);
    }

    /// Performs an action whose time has come.
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver(vm, incarnation, event) => {
                if self.vms[vm].incarnation == incarnation {
                    self.deliver(vm, event);
                }
            }
            Action::WakeUp(vm, incarnation) => {
                if self.vms[vm].incarnation == incarnation {
                    self.vms[vm].wake_at = Instant::NEVER;
                    self.deliver(vm, Event::Tick);
                }
            }
            Action::KvCall(vm, incarnation, op, call) => {
                self.handle_kv_call(vm, incarnation, op, call);
            }
            Action::ExecuteOrder(vm, incarnation, id, server, order, silent) => {
                self.execute_order(vm, incarnation, id, &server, &order, silent);
            }
            Action::QueryReport(vm, incarnation, server) => {
                let now = self.now;
                self.record_arrival(vm, &server, false);
                let report = self
                    .servers
                    .get(&server)
                    .filter(|(e, _)| e.up)
                    .map(|(e, _)| e.report(now));
                if report.is_some() {
                    self.schedule_head(LATENCY, (vm, incarnation), &server, now.back(LATENCY));
                }
                self.schedule(
                    now + LATENCY,
                    Action::Deliver(vm, incarnation, Event::ReportReceived(server, report)),
                );
            }
            Action::DeliverMessage(from, to, message) => {
                let sender: Vm = name(&format!("vm{from}"));
                let connected = self.vms[to].peers_reachable && self.vms[from].peers_reachable;
                let connected = connected && self.vms[to].partition == self.vms[from].partition;
                if connected && self.vms[to].network_up && self.vms[to].gateway.is_some() {
                    self.deliver(to, Event::PeerMessage(sender, message));
                } else if self.vms[from].network_up {
                    let down = Event::PeerDown(setup::address(1, to), LinkFault::Unreachable);
                    self.deliver(from, down);
                }
            }
            Action::DeliverAttempt(vm, incarnation, number, attempt) => {
                self.deliver_attempt(vm, incarnation, number, &attempt);
            }
            Action::CancelAttempt(number) => self.cancel_attempt(number),
            Action::DeliverHead(head) => self.deliver_head(head),
            // Two faults that end a process one after the other start it once.
            Action::RestartVm(vm) if self.vms[vm].gateway.is_some() => {}
            Action::RestartVm(vm) => self.start_vm(vm),
            Action::EndStopped(vm, incarnation, stopped) => {
                self.end_stopped(vm, incarnation, stopped);
            }
            Action::ExpireLeases => {
                if self.store_up {
                    self.store.expire(self.now);
                    self.wake_watchers();
                } else {
                    self.store.extend_leases(Span::from_millis(50));
                }
                self.schedule(self.now + Span::from_millis(50), Action::ExpireLeases);
            }
            Action::ResumeQueue(vm, incarnation) if self.vms[vm].incarnation == incarnation => {
                if let Some(event) = self.vms[vm].pending_events.pop_front() {
                    self.step_gateway(vm, event);
                }
            }
            Action::ResumeQueue(..) => {}
            Action::DeliverFromServer(number, server, event) => {
                self.deliver_from_server(number, &server, event);
            }
            Action::CrashServer(server, cause) => self.crash_by_request(&server, cause),
            Action::RemoveServerEntry(server) => self.remove_crashed_entry(server),
            Action::ReplaceServer(id, is_engine, backend) => {
                self.add_replacement(&id, is_engine, &backend);
            }
            Action::Unfreeze(vm) => {
                self.vms[vm].frozen = None;
                for event in std::mem::take(&mut self.vms[vm].backlog) {
                    self.deliver(vm, event);
                }
                self.deliver(vm, Event::Tick);
            }
        }
    }

    /// Handles a VM's call of the key-value service, subject to the faults of the VM and of the service.
    pub(super) fn handle_kv_call(
        &mut self,
        vm: usize,
        incarnation: u64,
        op: u64,
        call: KvOperation,
    ) {
        if self.vms[vm].store_silent {
            let event = Event::KvAnswered(op, self.kv_answer(KvOutcome::Unknown));
            self.schedule(
                self.now + KV_CALL_TIMEOUT,
                Action::Deliver(vm, incarnation, event),
            );
            return;
        }
        let reachable = self.store_up && self.vms[vm].store_reachable;
        let outcome = if reachable {
            self.store.call(self.now, vm, op, call)
        } else {
            Some(KvOutcome::Refused)
        };
        if let Some(outcome) = outcome {
            let at = self.now + KV_LATENCY + self.added_kv_delay(vm, &outcome);
            let event = Event::KvAnswered(op, self.kv_answer(outcome));
            self.schedule(at, Action::Deliver(vm, incarnation, event));
        }
        self.wake_watchers();
    }

    /// Answers the watches that have changes or are over. Fails the watches of VMs that don't reach the
    /// service, or all watches while the service is down.
    pub fn wake_watchers(&mut self) {
        if !self.store_up {
            let failed_watches: Vec<_> = self.store.pending_watches.drain(..).collect();
            for watch in failed_watches {
                self.answer_watch(watch.vm, watch.op, KvOutcome::Unknown);
            }
            return;
        }
        for (vm, op, outcome) in self.store.complete_watches(self.now) {
            let outcome = if self.vms[vm].store_reachable {
                outcome
            } else {
                KvOutcome::Unknown
            };
            self.answer_watch(vm, op, outcome);
        }
    }

    /// Sends the outcome of a watch to a VM.
    pub(super) fn answer_watch(&mut self, vm: usize, op: u64, outcome: KvOutcome) {
        let incarnation = self.vms.get(vm).map_or(0, |vm_state| vm_state.incarnation);
        let silent = self
            .vms
            .get(vm)
            .is_some_and(|vm_state| vm_state.store_silent);
        let (outcome, at) = if silent {
            // The VM's own timeout ends the call.
            (KvOutcome::Unknown, self.now + KV_CALL_TIMEOUT)
        } else {
            let delay = self.added_kv_delay(vm, &outcome);
            (outcome, self.now + KV_LATENCY + delay)
        };
        let event = Event::KvAnswered(op, self.kv_answer(outcome));
        self.schedule(at, Action::Deliver(vm, incarnation, event));
    }

    /// Returns an outcome as the answer that a VM gets. Only an answer of the service names its era.
    fn kv_answer(&self, outcome: KvOutcome) -> KvAnswer {
        let era = match outcome {
            KvOutcome::Unknown | KvOutcome::Refused => None,
            _ => Some(self.store.era),
        };
        KvAnswer { era, outcome }
    }

    /// Returns the additional delay of an answer of the key-value service on its way to a VM.
    pub(super) fn added_kv_delay(&self, vm: usize, outcome: &KvOutcome) -> Span {
        let is_leadership = |change: &Change| matches!(change.value, Some(EntryValue::Holder(_)));
        match outcome {
            KvOutcome::Written(_) => self.vms[vm].store_delay,
            KvOutcome::Watched(changes, _) if changes.iter().any(is_leadership) => {
                self.vms[vm].store_delay
            }
            _ => Span::ZERO,
        }
    }

    /// Executes an order that reaches a server. The VM gets an answer unless `silent` is set.
    pub(super) fn execute_order(
        &mut self,
        vm: usize,
        incarnation: u64,
        id: u64,
        server: &Server,
        order: &Order,
        silent: bool,
    ) {
        let now = self.now;
        self.record_arrival(vm, server, false);
        let newest = order
            .adapter
            .as_ref()
            .and_then(|a| self.versions.get(a))
            .copied()
            .unwrap_or(0);
        let outcome = match self.servers.get_mut(server) {
            Some((engine, _)) if engine.up => engine.execute_order(now, newest, order),
            _ => OrderOutcome::Unknown,
        };
        if !silent {
            if outcome != OrderOutcome::Unknown {
                self.schedule_head(LATENCY, (vm, incarnation), server, now.back(LATENCY));
            }
            self.schedule(
                now + LATENCY,
                Action::Deliver(vm, incarnation, Event::OrderAnswered(id, outcome)),
            );
        }
    }

    /// Handles an attempt of a request that reaches a server.
    pub(super) fn handle_attempt(
        &mut self,
        vm: usize,
        incarnation: u64,
        number: u64,
        attempt: &Attempt,
    ) {
        let now = self.now;
        if self.servers.get(&attempt.server).is_some_and(|(e, _)| e.up) {
            self.record_arrival(vm, &attempt.server, true);
        }
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        record.arrivals += 1;
        let request = record.request.clone();
        let failed = |ran, cause| {
            let event = Event::AttemptFailed(number, ran, cause);
            Action::Deliver(vm, incarnation, event)
        };
        let Some((engine, _)) = self.servers.get_mut(&attempt.server).filter(|(e, _)| e.up) else {
            self.schedule(
                now + LATENCY,
                failed(Execution::No, FailureCause::Unreachable),
            );
            return;
        };
        record.reached.push(attempt.server.clone());
        let (to, sent) = ((vm, incarnation), now.back(LATENCY));
        let crash_cause = self.crashing.cause(&request);
        if let Some(cause) = crash_cause {
            self.crashing.record_arrival(now, vm, cause);
        }
        if engine.in_cooldown {
            self.schedule_rejection(LATENCY, to, &attempt.server, sent);
            let refused = failed(Execution::No, FailureCause::Full);
            self.schedule(now + LATENCY, refused);
            return;
        }
        let times = match &request.work {
            None => Some((now + PLAIN_SERVICE_TIME, now + PLAIN_SERVICE_TIME)),
            Some(work) => match &work.adapter {
                Some(adapter) => engine.accept_request(
                    now,
                    adapter,
                    attempt.version,
                    work.prompt_tokens,
                    work.max_output_tokens,
                ),
                None => Some((now, now)),
            },
        };
        let Some((starts, ends)) = times else {
            self.schedule_head(LATENCY, to, &attempt.server, sent);
            self.schedule(now + LATENCY, failed(Execution::No, FailureCause::Missing));
            return;
        };
        let failure = engine.failing.then_some(engine.failure_status);
        record.runs.push((now, attempt.server.clone()));
        record.accounts.push(attempt.account.clone());
        record.priorities.push(attempt.priority);
        self.schedule_head(starts.since(now) + LATENCY, to, &attempt.server, sent);
        if let Some(status) = failure {
            self.schedule(
                starts + LATENCY,
                failed(Execution::Yes, FailureCause::Status(status)),
            );
            return;
        }
        if let Some(adapter) = request.work.as_ref().and_then(|w| w.adapter.as_ref()) {
            let required = attempt
                .version
                .unwrap_or(0)
                .max(self.version_in_force(adapter));
            let ran = self.servers[&attempt.server].0.slots[adapter].version;
            self.requests
                .get_mut(&number)
                .expect("the request is recorded")
                .versions
                .push((required, ran));
        }
        let server = attempt.server.clone();
        let run = RunningRequest {
            vm: (vm, incarnation),
            server: server.clone(),
            answer_started: false,
        };
        let previous = self.running.insert(number, run);
        self.concurrent_runs += u32::from(previous.is_some());
        let answer = |event| Action::DeliverFromServer(number, server.clone(), event);
        let completed = answer(Event::AnswerCompleted(
            number,
            StreamTiming::default(),
            Framing::Length,
        ));
        if request.work.is_some() || crash_cause.is_none() {
            self.schedule(starts + LATENCY, answer(Event::AnswerStarted(number)));
        }
        match crash_cause {
            Some(cause) => {
                let crash = Action::CrashServer(server, cause);
                self.schedule(starts + CRASH_DELAY, crash);
            }
            None => self.schedule(ends + LATENCY, completed),
        }
    }

    /// Hands a VM an event that nothing in the simulation has caused.
    pub fn deliver_event(&mut self, vm: usize, event: Event) {
        self.deliver(vm, event);
    }

    /// Hands an event to a VM, or queues it while the VM is frozen or its processor is busy.
    pub(super) fn deliver(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let vm_state = &mut self.vms[vm];
        if vm_state.frozen.is_some_and(|until| until > now) {
            vm_state.backlog.push(event);
            return;
        }
        if vm_state.gateway.is_none() {
            return;
        }
        if vm_state.busy_until > now || !vm_state.pending_events.is_empty() {
            vm_state.pending_events.push_back(event);
            return;
        }
        self.step_gateway(vm, event);
    }

    /// Runs a VM's gateway on an event, applies its effects and charges the processor time.
    fn step_gateway(&mut self, vm: usize, event: Event) {
        let now = self.now;
        if self.vms[vm].gateway.is_none() {
            return;
        }
        self.record_answer(vm, &event);
        let mut effects = Vec::new();
        let (event_cost, run_cost) = self.vms[vm].cpu_cost;
        let gateway = self.vms[vm].gateway.as_mut().expect("the VM runs");
        gateway.step(now, event, &mut effects);
        let violations = gateway.verify();
        assert!(
            violations.is_empty(),
            "violated invariants at {now}: {violations:?}"
        );
        let cost = if gateway.scheduler_ran() {
            event_cost + run_cost
        } else {
            event_cost
        };
        if gateway.scheduler_ran() {
            gateway.record_step_duration(cost);
        }
        let wake = gateway.next_wakeup();
        for effect in effects {
            self.apply_effect(vm, effect);
        }
        let vm_state = &mut self.vms[vm];
        if cost > Span::ZERO {
            vm_state.busy_until = now + cost;
            let (at, incarnation) = (vm_state.busy_until, vm_state.incarnation);
            self.schedule(at, Action::ResumeQueue(vm, incarnation));
        }
        let vm_state = &mut self.vms[vm];
        if wake < vm_state.wake_at && wake != Instant::NEVER {
            vm_state.wake_at = wake;
            let incarnation = vm_state.incarnation;
            self.schedule(wake.max(now), Action::WakeUp(vm, incarnation));
        }
    }

    /// Records what the caller sees, before the gateway drops the request's state.
    pub(super) fn record_answer(&mut self, vm: usize, event: &Event) {
        let now = self.now;
        match event {
            Event::AnswerStarted(number) => {
                if let Some(record) = self.requests.get_mut(number).filter(|a| a.ended.is_none()) {
                    record.ended = Some((now, Answer::Served(now)));
                }
            }
            Event::AnswerCompleted(number, ..) => {
                if let Some(record) = self.requests.get_mut(number) {
                    let started = match &record.ended {
                        Some((_, Answer::Served(started))) => *started,
                        Some(_) => return,
                        None => now,
                    };
                    record.ended = Some((now, Answer::Served(started)));
                }
            }
            Event::AttemptFailed(number, ..) => self.end_carried(*number),
            _ => {}
        }
        let _ = vm;
    }

    /// Applies an effect of a VM's gateway. While the VM's network is down, attempts fail after 400 ms,
    /// report queries fail after 300 ms and messages to other VMs are lost.
    pub(super) fn apply_effect(&mut self, vm: usize, effect: Effect) {
        let (now, incarnation, network_up) =
            (self.now, self.vms[vm].incarnation, self.vms[vm].network_up);
        let has_path = self.vms[vm].server_path == ServerPath::Open;
        match effect {
            Effect::Request(number, NextStep::Attempt(attempt)) if network_up => {
                self.send_attempt(vm, number, *attempt);
            }
            Effect::Request(number, NextStep::Attempt(_)) => {
                let event = Event::AttemptFailed(number, Execution::No, FailureCause::Unreachable);
                self.schedule(
                    now + Span::from_millis(400),
                    Action::Deliver(vm, incarnation, event),
                );
            }
            Effect::Request(number, NextStep::CancelAttempt) => {
                self.schedule(now + self.cancel_delay, Action::CancelAttempt(number));
            }
            Effect::Request(
                number,
                next_step @ (NextStep::Carry(_) | NextStep::RefuseRelay(..)),
            ) => self.carry_attempt(vm, number, next_step),
            Effect::DropConnections => self.vms[vm].kept_connections.clear(),
            Effect::Request(number, next_step) => {
                let answer = match next_step {
                    NextStep::Refuse(refusal) => {
                        Answer::Refused(refusal.reason(), refusal.retry_after())
                    }
                    NextStep::ForwardFailure => Answer::Failure,
                    _ => Answer::Cut,
                };
                if let Some(record) = self.requests.get_mut(&number) {
                    record.ended = Some((now, answer));
                }
            }
            Effect::KvCall(op, call) => {
                self.kv_calls += 1;
                self.schedule(now + KV_LATENCY, Action::KvCall(vm, incarnation, op, call));
            }
            Effect::Order(id, server, _, order) => self.send_order(vm, id, server, order),
            Effect::TrackAnswers(server, all) => self.set_tracking(vm, server, all),
            Effect::Probe(server, _) => self.probe_server(vm, server),
            Effect::Report(server, _) if network_up && has_path => {
                self.schedule(now + LATENCY, Action::QueryReport(vm, incarnation, server));
            }
            Effect::Report(server, _) => {
                self.schedule(
                    now + Span::from_millis(300),
                    Action::Deliver(vm, incarnation, Event::ReportReceived(server, None)),
                );
            }
            Effect::SendMessage(address, _, message) => {
                self.messages += 1;
                *self.messages_by_kind.entry(message.kind()).or_default() += 1;
                let to = (0..self.vms.len()).find(|to| setup::address(1, *to) == address);
                let is_lost = self.lost_kinds.contains(message.kind());
                if matches!(message, Message::StreamOrigins(_)) {
                    self.origin_receivers.extend(to);
                }
                if let Some(to) = to.filter(|_| network_up && !is_lost) {
                    let message = Self::received(message);
                    self.schedule(now + LATENCY, Action::DeliverMessage(vm, to, message));
                }
            }
            Effect::Log(record) => self
                .log_lines
                .push(format!("{now} vm{vm} {:?} {}", record.code, record.detail)),
            Effect::Measure(sample) => {
                let label = sample.label.unwrap_or_default().into_owned();
                let sum = self.figures.entry((sample.figure, label)).or_default();
                *sum += sample.value;
            }
        }
    }

    /// Sends an order. A delayed one gets no answer and is executed 2 s to 12 s later.
    pub(super) fn send_order(&mut self, vm: usize, id: u64, server: Server, order: Order) {
        let (now, incarnation) = (self.now, self.vms[vm].incarnation);
        let delayed = self.rng.random_range(0.0..1.0) < self.delayed_order_share;
        let has_path = self.vms[vm].server_path == ServerPath::Open;
        if delayed || !self.vms[vm].network_up || !has_path {
            self.schedule(
                now + order.answer_timeout,
                Action::Deliver(
                    vm,
                    incarnation,
                    Event::OrderAnswered(id, OrderOutcome::Unknown),
                ),
            );
            if delayed {
                let delay = Span::from_millis(self.rng.random_range(2_000..12_000));
                self.schedule(
                    now + delay,
                    Action::ExecuteOrder(vm, incarnation, id, server, order, true),
                );
            }
            return;
        }
        self.schedule(
            now + LATENCY,
            Action::ExecuteOrder(vm, incarnation, id, server, order, false),
        );
    }
}
