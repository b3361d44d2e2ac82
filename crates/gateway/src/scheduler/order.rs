//! Orders to engines: one at a time each, and none forgotten before its outcome is known.
//!
//! Each order names how many the engine must have accepted before it. An order whose answer was lost is repeated as it
//! was: whichever copy comes first is carried out, and every other one is refused by that count, also seconds later.

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::engine::{Engine, Intent, Pending, REPORT_LAG, Stage};
use super::key::Keys;
use super::{Decision, Scheduler};
use crate::effect::{Order, OrderId};
use crate::event::{OrderOutcome, Report};

/// How often an order without an answer is sent before the engine counts as dead for a while.
const TRIES: u32 = 3;

/// The pause between two requests for a report that did not come.
const REPORT_AGAIN: Span = Span::from_millis(400);

/// Reports that are waited for at once: each is a connection, and a VM that has just taken its leadership makes them all anew. At
/// some milliseconds each, 3,000 engines have answered in half a second.
const REPORTS_AT_ONCE: usize = 64;

impl Scheduler {
    /// Moves on what time alone moves: adapters that are expected, reports that are due.
    pub(crate) fn settle(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let mut next = Instant::NEVER;
        for engine in self.engines.values_mut() {
            engine.cooldown.forget_ended(now);
            for place in engine.places.values_mut() {
                match place.stage {
                    Stage::Coming(at) if at <= now => place.stage = Stage::Ready,
                    Stage::Coming(at) => next = next.min(at),
                    _ => {}
                }
            }
            match engine.base_due.map(|due| due + REPORT_LAG) {
                // It is asked for its report anyway, or gone: nothing is due of it before that comes.
                Some(_) if !engine.known => {}
                Some(look) if look <= now => {
                    engine.base_due = None;
                    engine.forget();
                }
                Some(look) => next = next.min(look),
                None => {}
            }
        }
        self.by(next);
        self.ask_reports(now, out);
    }

    /// Asks engines of which nothing is known for their reports, those first that were not asked for longest.
    fn ask_reports(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let unknown = self.engines.iter().filter(|(_, engine)| !engine.known);
        let (mut due, later): (Vec<_>, Vec<_>) = unknown
            .map(|(server, engine)| {
                let open = engine.cooldown.ends(&self.settings.vm);
                (report_due(engine, now).max(open), server.clone())
            })
            .partition(|(at, _)| *at <= now);
        due.sort_unstable();
        let open = later
            .iter()
            .filter(|(_, server)| self.engines[server].reporting);
        let room = REPORTS_AT_ONCE.saturating_sub(open.count());
        for (_, server) in due.into_iter().take(room) {
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            engine.take_one(now);
            engine.asked = Some(now);
            engine.reporting = true;
            out.push(Decision::QueryReport(server, engine.backend.address));
            self.by(now + REPORT_AGAIN);
        }
        for (at, _) in later {
            self.by(at);
        }
    }

    /// Takes an engine's report in.
    pub(crate) fn take_report(&mut self, now: Instant, server: &Server, report: Option<&Report>) {
        let load_time = self.load_time;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.reporting = false;
        let Some(report) = report else {
            engine.health.record_connection_failure(now);
            return;
        };
        if engine.known {
            return;
        }
        if engine.start != report.start {
            self.restarted(server, report.start);
        }
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.take(now, report, load_time, &mut self.keys);
        if report.busy {
            engine.base_due = Some(now + REPORT_AGAIN);
        }
        for (key, place) in &mut engine.places {
            place.used = self.jobs.using(server, *key);
            if place.stage == Stage::Ready {
                self.remembering.touch(server, &mut engine.recent, *key);
            }
        }
    }

    /// Sends each engine the order that is next.
    pub(crate) fn send_orders(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let (fence, me) = (self.fence(), &self.settings.vm);
        for (server, engine) in &mut self.engines {
            let open = engine.usable() && engine.may_get(1, now) && engine.cooldown.allows(now, me);
            if !open || engine.pending.is_some() {
                continue;
            }
            let Some(intent) = engine.queue.pop_front() else {
                continue;
            };
            engine.take_one(now);
            self.last_order += 1;
            let answer_timeout = self
                .settings
                .tuning
                .order_timeout
                .times(1_u64 << engine.tries);
            let order = order(&self.keys, &intent, engine.orders, fence, answer_timeout);
            engine.last_order = now;
            engine.pending = Some(Pending {
                id: self.last_order,
                intent,
            });
            engine.tries += 1;
            let address = engine.backend.address;
            out.push(Decision::Order(
                self.last_order,
                server.clone(),
                address,
                order,
            ));
        }
    }

    /// An order came back. Says whether the engine has seen a higher fencing number.
    pub(crate) fn order_answered(
        &mut self,
        now: Instant,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> bool {
        let (load_time, back_time) = (self.load_time, self.back_time());
        let sent = |engine: &Engine| engine.pending.as_ref().is_some_and(|p| p.id == id);
        let found = self.engines.iter_mut().find(|(_, engine)| sent(engine));
        let Some((server, engine)) = found else {
            return false;
        };
        let Some(pending) = engine.pending.take() else {
            return false;
        };
        let detail = format!(
            "server={server} order={id} {} outcome={outcome:?} tries={}",
            described(&self.keys, &pending.intent),
            engine.tries
        );
        self.notes.push(Record::new(Code::OrderAnswered, detail));
        engine.last_order = now;
        match (outcome, &pending.intent) {
            (OrderOutcome::Fenced, _) => return true,
            (OrderOutcome::Accepted, Intent::Load(key, _)) => {
                engine.orders += 1;
                self.remembering.touch(server, &mut engine.recent, *key);
                if let Some(place) = engine.places.get_mut(key) {
                    let time = place.depth.map_or(load_time, |_| back_time);
                    place.stage = Stage::Coming(now + time);
                }
            }
            (OrderOutcome::Accepted, Intent::Base(_)) => engine.orders += 1,
            (OrderOutcome::Holds, Intent::Unload(key)) => {
                engine.orders += 1;
                engine.places.remove(key);
                engine.kept.unloaded(*key);
            }
            (OrderOutcome::Holds, Intent::Load(key, _)) => {
                if let Some(place) = engine.places.get_mut(key) {
                    place.stage = Stage::Ready;
                }
            }
            (OrderOutcome::Unknown | OrderOutcome::NotSent, _) if engine.tries < TRIES => {
                engine.queue.push_front(pending.intent);
                return false;
            }
            (OrderOutcome::Unknown | OrderOutcome::NotSent, _) => {
                engine.health.record_connection_failure(now);
                engine.forget();
            }
            // An unload that waits for runs, a count that differs, or an engine that is another one: only its report
            // tells what holds.
            _ => engine.forget(),
        }
        engine.tries = 0;
        false
    }
}

fn order(keys: &Keys, intent: &Intent, expected: u64, fence: u64, answer_timeout: Span) -> Order {
    let (load, model, adapter, version) = match intent {
        Intent::Load(key, version) => {
            let name = keys.name(*key);
            (true, &name.model, Some(name.adapter.clone()), *version)
        }
        Intent::Unload(key) => {
            let name = keys.name(*key);
            (false, &name.model, Some(name.adapter.clone()), None)
        }
        Intent::Base(model) => (true, model, None, None),
    };
    Order {
        load,
        model: model.clone(),
        adapter,
        version,
        expected,
        fence,
        answer_timeout,
    }
}

/// When an engine of which nothing is known may be asked for its report.
fn report_due(engine: &Engine, now: Instant) -> Instant {
    let never_ordered = engine.last_order == Instant::default();
    match engine.asked {
        _ if !engine.may_get(1, now) => now + REPORT_AGAIN,
        Some(asked) => asked + REPORT_AGAIN,
        None if never_ordered => Instant::default(),
        None => engine.last_order + REPORT_LAG,
    }
}

/// An intent for the log.
fn described(keys: &Keys, intent: &Intent) -> String {
    match intent {
        Intent::Load(key, version) => {
            format!(
                "intent=load adapter={} version={version:?}",
                keys.name(*key).adapter
            )
        }
        Intent::Unload(key) => format!("intent=unload adapter={}", keys.name(*key).adapter),
        Intent::Base(model) => format!("intent=load model={model}"),
    }
}
