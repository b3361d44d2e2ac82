//! What reaches engines: requests on their way, cancellations, polls and orders.

use dahliastile_core::effect::{Action, Command, Work};
use dahliastile_core::event::{Event, Failure, Ordered, Reason};
use dahliastile_core::id::{self, Attempt, Order};
use dahliastile_core::time::Span;

use super::engine::{Engine, Running, take};
use super::net::{End, SILENCE};
use super::{Fleet, MS, Micros, Origin};

impl Fleet {
    /// Adds an engine.
    pub fn add_engine(&mut self, engine: Engine) -> usize {
        self.stores.entry(engine.store.clone()).or_default();
        let at = self.engines.len();
        self.servers.insert(engine.address.clone(), at);
        self.engines.push(engine);
        self.refresh(at);
        at
    }

    /// Restarts an engine: what runs breaks, nothing is resident, the base model is loaded anew.
    pub fn restart_engine(&mut self, at: usize, down: Micros) {
        self.break_all(at, |_| true);
        let engine = &mut self.engines[at];
        engine.up = false;
        engine.boot += 1;
        engine.fence = 0;
        engine.residents.clear();
        engine.loading.clear();
        engine.cache.clear();
        engine.report = None;
        engine.ready_at = self.now + down + engine.base_load;
        self.after(down, move |fleet| fleet.engines[at].up = true);
    }

    /// The weight stores do nothing for a while.
    pub fn stall_stores(&mut self, span: Micros) {
        for store in self.stores.values_mut() {
            store.free = store.free.max(self.now) + span;
        }
    }

    pub(crate) fn send(&mut self, origin: Origin, work: Work) {
        let address = work.address.to_string();
        self.vms[origin.vm]
            .sent
            .insert(work.attempt, address.clone());
        let attempt = work.attempt;
        if self.net.is_cut(&End::Vm(origin.vm), &End::Server(address)) {
            let failure = Failure::Refused;
            return self.tell(origin, SILENCE, Event::Failed { attempt, failure });
        }
        let delay = self.delay_to(origin, &work.address);
        self.after(delay, move |fleet| {
            match fleet.servers.get(&*work.address) {
                Some(&at) => fleet.engine_takes(origin, at, work),
                None => fleet.plain_takes(origin, work),
            }
        });
    }

    pub(crate) fn cancel(&mut self, origin: Origin, attempt: Attempt) {
        let Some(address) = self.vms[origin.vm].sent.get(&attempt).cloned() else {
            return self.violate(format!("{attempt} is cancelled but was never sent"));
        };
        let delay = self.delay_to(origin, &address);
        self.after(delay, move |fleet| fleet.abort(origin, attempt, &address));
    }

    /// A backend server sees that a run is not wanted any more.
    pub(crate) fn abort(&mut self, origin: Origin, attempt: Attempt, address: &str) {
        let Some(&at) = self.servers.get(address) else {
            return;
        };
        let engine = &mut self.engines[at];
        let faults = &mut engine.faults;
        for run in engine.running.iter_mut().chain(&mut engine.waiting) {
            if run.origin == origin && run.attempt == attempt && !run.cancelled {
                run.cancelled = true;
                run.lingers = if take(&mut faults.after_cancel) { 3 } else { 0 };
            }
        }
        let over = |run: &Running| !(run.cancelled && run.lingers == 0);
        engine.running.retain(over);
        engine.waiting.retain(over);
    }

    pub(crate) fn poll(&mut self, origin: Origin, server: id::Server, address: &str) {
        let delay = self.delay_to(origin, address);
        let at = self.servers.get(address).copied();
        let cut = self.cut_from(origin, address);
        let up = at.is_some_and(|at| self.engines[at].up);
        let Some(at) = at.filter(|_| up && !cut) else {
            let wait = if cut { SILENCE } else { 2 * delay };
            let report = None;
            return self.tell(origin, wait, Event::Report { server, report });
        };
        self.after(delay, move |fleet| fleet.poll_answer(origin, at, delay));
    }

    pub(crate) fn poll_answer(&mut self, origin: Origin, at: usize, delay: Micros) {
        let now = self.now;
        let engine = &mut self.engines[at];
        let server = engine.name.clone();
        if !engine.up || take(&mut engine.faults.mute) {
            let report = None;
            return self.tell(origin, SILENCE, Event::Report { server, report });
        }
        let (made, mut report) = match &engine.report {
            Some(kept) => kept.clone(),
            None => (now, engine.snapshot(now)),
        };
        report.age = Span(now - made);
        let seen = engine.cache_seen.entry(origin).or_insert(0);
        let changes = engine.cache_log[*seen..].to_vec();
        *seen = engine.cache_log.len();
        if !changes.is_empty() {
            let server = server.clone();
            self.tell(origin, delay, Event::Cache { server, changes });
        }
        let report = Some(report);
        self.tell(origin, delay, Event::Report { server, report });
    }

    pub(crate) fn order(&mut self, origin: Origin, command: Command) {
        let delay = self.delay_to(origin, &command.address);
        let at = self.servers.get(&command.address).copied();
        let cut = self.cut_from(origin, &command.address);
        match at {
            Some(at) if !cut => self.after(delay, move |fleet| {
                fleet.engine_ordered(origin, at, command, delay);
            }),
            _ => self.ordered(origin, command.order, Ordered::NotSent, delay),
        }
    }

    pub(crate) fn engine_ordered(
        &mut self,
        origin: Origin,
        at: usize,
        command: Command,
        delay: Micros,
    ) {
        let (now, order, timeout) = (self.now, command.order, command.timeout.0);
        let engine = &mut self.engines[at];
        if !engine.up {
            return self.ordered(origin, order, Ordered::NotSent, delay);
        }
        if take(&mut engine.faults.lose_orders) {
            return self.ordered(origin, order, Ordered::Unknown, timeout);
        }
        let lost = take(&mut engine.faults.lose_answers);
        if let Err(reason) = engine.check(now, &command) {
            return self.order_done(
                origin,
                order,
                Ordered::Refused(reason),
                lost,
                timeout,
                delay,
            );
        }
        match command.action {
            Action::Load(adapter) if !engine.residents.contains(&adapter) => {
                self.load(origin, at, adapter, (order, lost, timeout, delay));
            }
            Action::Unload(adapter) => {
                self.unload(at, &adapter);
                self.order_done(origin, order, Ordered::Done, lost, timeout, delay);
            }
            Action::Load(_) | Action::Fence => {
                self.order_done(origin, order, Ordered::Done, lost, timeout, delay);
            }
        }
    }

    /// Loads an adapter when the store's turn has come. `reply` says how to answer.
    pub(crate) fn load(
        &mut self,
        origin: Origin,
        at: usize,
        adapter: id::Adapter,
        reply: (Order, bool, Micros, Micros),
    ) {
        let (order, lost, timeout, delay) = reply;
        let engine = &mut self.engines[at];
        let (boot, start) = (engine.boot, self.now);
        engine.loading.push(adapter.clone());
        let store = self.stores.get_mut(&engine.store).unwrap();
        store.free = store.free.max(start) + engine.load;
        store.loads += 1;
        let end = store.free;
        self.after(end - start, move |fleet| {
            let engine = &mut fleet.engines[at];
            if engine.boot != boot {
                return fleet.ordered(origin, order, Ordered::Unknown, delay);
            }
            engine.loading.retain(|other| *other != adapter);
            let fails = take(&mut engine.faults.fail_loads);
            let lies = !fails && take(&mut engine.faults.lie_loads);
            if !fails {
                engine.loads += 1;
                engine.residents.push(adapter);
            }
            let outcome = match fails || lies {
                true => Ordered::Refused(Reason::LoadFailed),
                false => Ordered::Done,
            };
            let left = timeout.saturating_sub(fleet.now - start);
            let lost = lost || left == 0;
            fleet.order_done(origin, order, outcome, lost, left, delay);
        });
    }

    pub(crate) fn unload(&mut self, at: usize, adapter: &id::Adapter) {
        let engine = &mut self.engines[at];
        if !engine.holds(adapter.as_str()) {
            return;
        }
        engine.residents.retain(|other| other != adapter);
        engine.unloads += 1;
        let used = engine.in_flight(adapter.as_str());
        if used > 0 {
            let name = engine.name.clone();
            self.violate(format!(
                "{adapter} is unloaded on {name} with {used} in flight"
            ));
            self.break_all(at, |run| run.adapter == adapter.as_str());
        }
    }

    pub(crate) fn order_done(
        &mut self,
        origin: Origin,
        order: Order,
        outcome: Ordered,
        lost: bool,
        timeout: Micros,
        delay: Micros,
    ) {
        match lost {
            true => self.ordered(origin, order, Ordered::Unknown, timeout),
            false => self.ordered(origin, order, outcome, delay),
        }
    }

    pub(crate) fn ordered(
        &mut self,
        origin: Origin,
        order: Order,
        outcome: Ordered,
        delay: Micros,
    ) {
        self.tell(origin, delay, Event::Ordered { order, outcome });
    }

    /// Makes the figures of a report anew each [`Engine::lag`].
    pub(crate) fn refresh(&mut self, at: usize) {
        let now = self.now;
        let engine = &mut self.engines[at];
        engine.report = engine.up.then(|| (now, engine.snapshot(now)));
        let lag = engine.lag.max(MS);
        self.after(lag, move |fleet| fleet.refresh(at));
    }

    pub(crate) fn delay_to(&self, origin: Origin, address: &str) -> Micros {
        let zone = match self.servers.get(address) {
            Some(&at) => Some(&self.engines[at].zone),
            None => self.plain(address).map(|plain| &plain.zone),
        };
        zone.map_or(self.net.far, |zone| {
            self.net.delay(&self.vms[origin.vm].zone, zone)
        })
    }

    pub(crate) fn cut_from(&self, origin: Origin, address: &str) -> bool {
        self.net
            .is_cut(&End::Vm(origin.vm), &End::Server(address.to_owned()))
    }
}
