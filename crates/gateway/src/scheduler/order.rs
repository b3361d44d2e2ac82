//! Sends orders to the engines, one at a time to each, and keeps each order until its outcome is known.
//!
//! Each order states how many orders the engine must have accepted before it. An order without an answer is
//! repeated unchanged: the engine carries out the copy that arrives first, and rejects the others by that count
//! even if they arrive seconds later.

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};

use super::adapter::AdapterTable;
use super::base_load::BaseLoad;
use super::engine::{AdapterState, Engine, Intent, PendingOrder, REPORT_LAG};
use super::{Decision, Scheduler};
use crate::effect::{Order, OrderId};
use crate::event::{OrderOutcome, Report};

/// How often an order without an answer is sent before the engine counts as failed.
const MAX_ORDER_ATTEMPTS: u32 = 3;

/// Time after which a report that did not come is requested again.
pub(crate) const REPORT_RETRY_DELAY: Span = Span::from_millis(400);

/// Maximum number of reports requested at once. Each needs a connection, and a VM that has just become the
/// scheduler opens all of them anew. At some milliseconds per report, 3,000 engines have answered within half a
/// second.
const MAX_PENDING_REPORTS: usize = 64;

impl Scheduler {
    /// Marks each loading adapter as ready when its load is expected to be complete, removes expired cooldowns, and
    /// requests the reports that are due.
    pub(crate) fn apply_elapsed_time(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let mut next = Instant::NEVER;
        for engine in self.engines.values_mut() {
            engine.cooldown.remove_expired(now);
            for slot in engine.slots.values_mut() {
                match slot.state {
                    AdapterState::Loading(at) if at <= now => slot.state = AdapterState::Ready,
                    AdapterState::Loading(at) => next = next.min(at),
                    _ => {}
                }
            }
            match engine.base_load_due.map(|due| due + REPORT_LAG) {
                // The engine's report is requested anyway, or the engine is gone. Nothing is due before the
                // report comes.
                Some(_) if !engine.state_known => {}
                Some(check_at) if check_at <= now => {
                    engine.base_load_due = None;
                    engine.invalidate();
                }
                Some(check_at) => next = next.min(check_at),
                None => {}
            }
        }
        self.run_by(next);
        self.request_reports(now, out);
    }

    /// Requests the reports of engines whose state is unknown, starting with those whose request is longest
    /// due.
    fn request_reports(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let unknown = self
            .engines
            .iter()
            .filter(|(_, engine)| !engine.state_known);
        let (mut due, later): (Vec<_>, Vec<_>) = unknown
            .map(|(server, engine)| {
                let cooldown_end = engine.cooldown.ends_at(&self.settings.vm);
                (report_due(engine, now).max(cooldown_end), server.clone())
            })
            .partition(|(at, _)| *at <= now);
        due.sort_unstable();
        let awaited = later
            .iter()
            .filter(|(_, server)| self.engines[server].awaits_report);
        let available = MAX_PENDING_REPORTS.saturating_sub(awaited.count());
        for (_, server) in due.into_iter().take(available) {
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            engine.count_against_rate_limit(now);
            engine.report_requested = Some(now);
            engine.awaits_report = true;
            out.push(Decision::QueryReport(server, engine.backend.address));
            self.run_by(now + REPORT_RETRY_DELAY);
        }
        for (at, _) in later {
            self.run_by(at);
        }
    }

    /// Applies an engine's report; `None` if the engine did not answer.
    pub(crate) fn apply_report(&mut self, now: Instant, server: &Server, report: Option<&Report>) {
        let load_time = self.load_time;
        let models = self.engine_spec.models.iter();
        let longest_base_load = models.map(|model| model.load).max().unwrap_or_default();
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.awaits_report = false;
        let Some(report) = report else {
            engine.health.record_connection_failure(now);
            return;
        };
        if engine.state_known {
            return;
        }
        if engine.incarnation != report.start {
            self.reset_engine(server, report.start);
        }
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.apply_report(now, report, load_time, &mut self.adapters);
        let base_load = match report.models.first() {
            None if report.busy => {
                let from_store = engine.local_models.is_empty();
                let unknown = BaseLoad::unknown(now, longest_base_load, from_store);
                engine.base_load = engine.base_load.or(Some(unknown));
                None
            }
            None => {
                engine.base_load = None;
                None
            }
            Some(base) => engine
                .base_load
                .take()
                .map(|load| (base.model.clone(), load)),
        };
        if report.busy {
            engine.base_load_due = Some(now + REPORT_RETRY_DELAY);
        }
        for (adapter, slot) in &mut engine.slots {
            slot.running = self.requests.count_using(server, *adapter);
            if slot.state == AdapterState::Ready {
                self.recent_engines
                    .record_use(server, &mut engine.recent_adapters, *adapter);
            }
        }
        if let Some((model, load)) = base_load {
            self.record_base_load(now, &model, &load);
        }
    }

    /// Sends each engine its next order.
    pub(crate) fn send_orders(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let (fence, me) = (self.fence(), &self.settings.vm);
        for (server, engine) in &mut self.engines {
            let is_open = engine.is_usable()
                && engine.is_within_rate_limit(1, now)
                && engine.cooldown.allows(now, me);
            if !is_open || engine.pending_order.is_some() {
                continue;
            }
            let Some(intent) = engine.order_queue.pop_front() else {
                continue;
            };
            engine.count_against_rate_limit(now);
            self.last_order += 1;
            let answer_timeout = self
                .settings
                .tuning
                .order_timeout
                .times(1_u64 << engine.order_attempts);
            let order = build_order(
                &self.adapters,
                &intent,
                engine.accepted_orders,
                fence,
                answer_timeout,
            );
            engine.last_order_at = now;
            engine.pending_order = Some(PendingOrder {
                id: self.last_order,
                intent,
            });
            engine.order_attempts += 1;
            let address = engine.backend.address;
            out.push(Decision::Order(
                self.last_order,
                server.clone(),
                address,
                order,
            ));
        }
    }

    /// Applies the outcome of an order. Returns whether the engine has seen a higher fencing token.
    pub(crate) fn apply_order_outcome(
        &mut self,
        now: Instant,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> bool {
        let (load_time, local_load_time) = (self.load_time, self.local_load_time());
        let is_pending =
            |engine: &Engine| engine.pending_order.as_ref().is_some_and(|p| p.id == id);
        let found = self
            .engines
            .iter_mut()
            .find(|(_, engine)| is_pending(engine));
        let Some((server, engine)) = found else {
            return false;
        };
        let Some(pending) = engine.pending_order.take() else {
            return false;
        };
        let detail = format!(
            "server={server} order={id} {} outcome={outcome:?} tries={}",
            describe_intent(&self.adapters, &pending.intent),
            engine.order_attempts
        );
        self.pending_logs
            .push(Record::new(Code::OrderAnswered, detail));
        engine.last_order_at = now;
        match (outcome, &pending.intent) {
            (OrderOutcome::Fenced, _) => return true,
            (OrderOutcome::Accepted, Intent::Load(adapter, _)) => {
                engine.count_accepted_order();
                self.recent_engines
                    .record_use(server, &mut engine.recent_adapters, *adapter);
                if let Some(slot) = engine.slots.get_mut(adapter) {
                    let time = slot
                        .local_copy_distance
                        .map_or(load_time, |_| local_load_time);
                    slot.state = AdapterState::Loading(now + time);
                }
            }
            (OrderOutcome::Accepted, Intent::Base(_)) => {
                engine.count_accepted_order();
            }
            (OrderOutcome::Holds, Intent::Unload(adapter)) => {
                engine.count_accepted_order();
                engine.slots.remove(adapter);
                engine.prefix_cache.remove_adapter(*adapter);
            }
            (OrderOutcome::Holds, Intent::Load(adapter, _)) => {
                if let Some(slot) = engine.slots.get_mut(adapter) {
                    slot.state = AdapterState::Ready;
                }
            }
            (OrderOutcome::Unknown | OrderOutcome::NotSent, _)
                if engine.order_attempts < MAX_ORDER_ATTEMPTS =>
            {
                engine.order_queue.push_front(pending.intent);
                return false;
            }
            (OrderOutcome::Unknown | OrderOutcome::NotSent, _) => {
                engine.health.record_connection_failure(now);
                engine.invalidate();
            }
            // An unload that waits for running requests, a count of orders that differs, or another
            // incarnation: only the engine's report shows what it holds.
            _ => engine.invalidate(),
        }
        engine.order_attempts = 0;
        false
    }
}

/// Builds the order for an intent, for an engine that must have accepted `expected` orders before it.
fn build_order(
    adapters: &AdapterTable,
    intent: &Intent,
    expected: u64,
    fence: u64,
    answer_timeout: Span,
) -> Order {
    let (load, model, adapter, version) = match intent {
        Intent::Load(adapter, version) => {
            let name = adapters.name(*adapter);
            (true, &name.model, Some(name.adapter.clone()), *version)
        }
        Intent::Unload(adapter) => {
            let name = adapters.name(*adapter);
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

/// Returns when the report of an engine whose state is unknown may be requested.
fn report_due(engine: &Engine, now: Instant) -> Instant {
    let never_ordered = engine.last_order_at == Instant::default();
    match engine.report_requested {
        _ if !engine.is_within_rate_limit(1, now) => now + REPORT_RETRY_DELAY,
        Some(requested) => requested + REPORT_RETRY_DELAY,
        None if never_ordered => Instant::default(),
        None => engine.last_order_at + REPORT_LAG,
    }
}

/// Formats an intent for the log.
fn describe_intent(adapters: &AdapterTable, intent: &Intent) -> String {
    match intent {
        Intent::Load(adapter, version) => {
            format!(
                "intent=load adapter={} version={version:?}",
                adapters.name(*adapter).adapter
            )
        }
        Intent::Unload(adapter) => {
            format!("intent=unload adapter={}", adapters.name(*adapter).adapter)
        }
        Intent::Base(model) => format!("intent=load model={model}"),
    }
}
