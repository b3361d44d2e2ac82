//! The life of one caller's request on this VM, from its arrival to its one final answer.
//!
//! A request is refused with a promise that it has not run only if that is certain. One that may have run is sent
//! again only if its kind allows it, and never to more servers than its route allows.

mod failure;

use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Zone};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::account::{Account, Tokens};
use crate::cluster::snapshot::Version;
use crate::config::{Route, RouteKind, Target};
use crate::effect::{Attempt, Effect, Effects, NextStep, RefusalReason};
use crate::event::{CallerRequest, RequestId};
use crate::message::{PlacementRequest, Progress};
use crate::metrics;
use crate::node::Gateway;
use crate::timer::Timer;

use self::failure::COME_BACK;
pub(crate) use self::failure::{RefusalDetail, refusal};

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for tokens of its account.
    Charging,
    /// It waits for the scheduler's answer.
    Waiting,
    /// It waits for leave to be sent to a server that names a limit.
    Permit {
        /// This server.
        server: Server,
        /// The version of the adapter that it must hold there.
        version: Option<Version>,
        /// Until when the answer is waited for.
        until: Instant,
    },
    /// It was sent.
    Sent {
        /// To this server.
        server: Server,
        /// Whether its answer has begun.
        begun: bool,
    },
}

/// One request.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// What the caller asks.
    pub(crate) call: CallerRequest,
    /// Its route, as it was at the arrival.
    pub(crate) route: Arc<Route>,
    /// The client account that it is for.
    pub(crate) account: Option<Arc<Account>>,
    /// What it counts as there.
    pub(crate) cost: Tokens,
    /// Whether that was charged.
    pub(crate) charged: bool,
    /// Its rank, 0 first.
    pub(crate) priority: u8,
    /// The service that it goes to.
    pub(crate) service: Service,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// When its final answer is due.
    pub(crate) ends: Instant,
    /// Where it stands.
    pub(crate) phase: Phase,
    /// When it was last sent; its arrival before.
    pub(crate) sent: Instant,
    /// How often it was sent.
    sends: u32,
    /// On how many servers it has run or may have.
    ran: u32,
    /// How long its first piece took.
    first: Option<Span>,
    /// Servers that have failed it.
    pub(crate) failed: Vec<Server>,
}

impl RequestState {
    fn new(
        call: CallerRequest,
        account: Option<Arc<Account>>,
        route: Arc<Route>,
        service: Service,
        came: Instant,
    ) -> Self {
        let cost = account.as_ref().map(|account| account.cost(call.tokens));
        let priority = account.as_ref().and_then(|account| account.priority);
        let patience = call
            .caller_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        Self {
            call,
            account,
            cost: cost.unwrap_or_default(),
            charged: false,
            priority: priority.unwrap_or(route.priority),
            route,
            service,
            arrived: came,
            ends: came + patience,
            phase: Phase::Waiting,
            sent: came,
            sends: 0,
            ran: 0,
            first: None,
            failed: Vec::new(),
        }
    }

    /// What the scheduler is asked; none for a request of a plain service.
    pub(crate) fn want(
        &self,
        request: RequestId,
        zone: &Zone,
        now: Instant,
    ) -> Option<PlacementRequest> {
        Some(PlacementRequest {
            request,
            id: self.call.id.clone(),
            work: self.call.work.clone()?,
            waited: now.since(self.arrived),
            objective: self.route.objective,
            left: self
                .ends
                .min(self.arrived + self.route.caller_timeout)
                .since(now),
            priority: self.priority,
            zone: zone.clone(),
            failed: self.failed.clone(),
        })
    }

    /// The server where it is, if it was sent.
    pub(crate) fn server(&self) -> Option<&Server> {
        match &self.phase {
            Phase::Sent { server, .. } => Some(server),
            Phase::Charging | Phase::Waiting | Phase::Permit { .. } => None,
        }
    }
}

impl Gateway {
    /// A caller's request has been read.
    pub(crate) fn handle_request(
        &mut self,
        request: RequestId,
        call: CallerRequest,
        out: &mut Effects,
    ) {
        match self.config {
            Some(_) => self.admit(request, call, self.now, out),
            None => self.queue_at_startup(request, call, out),
        }
    }

    /// Begins with a request that came at a time.
    pub(crate) fn admit(
        &mut self,
        request: RequestId,
        call: CallerRequest,
        came: Instant,
        out: &mut Effects,
    ) {
        let Some(route) = self.index.find(&call.host, &call.path).cloned() else {
            self.refuse_unrouted(request, &call, out);
            return;
        };
        let account = match self.identify(&route, &call) {
            Ok(account) => account,
            Err(reason) => {
                self.refuse_unidentified(request, &call, reason, out);
                return;
            }
        };
        let service = self.target(&route.targets);
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.request(self.now, self.settings.tuning.retry_window);
        let state = RequestState::new(call, account, route, service, came);
        let fingerprint = state.call.fingerprint;
        self.timers.set(state.ends, Timer::Request(request));
        self.in_flight.insert(request, state);
        match self.quarantine.left(fingerprint, self.now) {
            Some(left) => self.refuse_request(request, Some(left), RefusalDetail::Quarantined, out),
            None => self.charge(request, out),
        }
    }

    /// Refuses a request that no route fits.
    fn refuse_unrouted(&self, request: RequestId, call: &CallerRequest, out: &mut Effects) {
        let version = self.config_version();
        let detail = format!(
            "id={} why=no_route config={version} host={} path={}",
            call.id, call.host, call.path
        );
        Self::log(out, Code::Refused, detail);
        out.push(refusal(request, RefusalReason::NoRoute, None));
    }

    /// Looks for a server for a request that has none.
    pub(crate) fn find_server(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Waiting;
        let service = state.service.clone();
        let engine = self
            .index
            .service(service.as_str())
            .is_some_and(|s| s.engine.is_some());
        if engine && state.call.work.is_some() {
            self.request_placement(request, out);
            return;
        }
        let failed = state.failed.clone();
        let choice = self.choose_server(&service, &failed, |_| true);
        if let Some(server) = choice {
            self.send_unscheduled(request, &server, None, out);
        } else {
            let opens = self.opens(&service);
            let after = self.retry_after(opens).max(COME_BACK);
            self.refuse_request(request, Some(after), RefusalDetail::NoServer, out);
        }
    }

    /// From when on this VM may send to some server of a service again.
    fn opens(&self, service: &Service) -> Instant {
        let rows = self.servers.iter();
        let of = rows.filter(|(_, row)| row.backend.service == *service);
        let opens = of.map(|(server, _)| self.notices.opens(server));
        opens.min().unwrap_or_default()
    }

    /// Sends a request to a server that is known to be listed.
    pub(crate) fn send_to(
        &mut self,
        request: RequestId,
        server: &Server,
        version: Option<Version>,
        out: &mut Effects,
    ) {
        let config = self.config_version();
        let (Some(state), Some(row)) = (
            self.in_flight.get_mut(&request),
            self.servers.get_mut(server),
        ) else {
            return;
        };
        state.sends += 1;
        state.sent = self.now;
        state.phase = Phase::Sent {
            server: server.clone(),
            begun: false,
        };
        row.open += 1;
        let send = Attempt {
            server: server.clone(),
            address: row.backend.address,
            left: state.ends.since(self.now),
            account: state.account.as_ref().map(|account| account.name.clone()),
            version,
            priority: state.priority,
            stream: state.route.kind.stream(),
            resumable: state.route.kind == RouteKind::Resumable,
        };
        let waited = self.now.since(state.arrived);
        let account = state.account.as_ref().map_or("-", |a| a.name.as_str());
        let detail = format!(
            "id={} call={} account={account} route={} config={config} server={server} send={} waited={waited} open={}",
            state.call.id, state.call.fingerprint, state.route.name, state.sends, row.open
        );
        Self::log(out, Code::Sent, detail);
        let (first, service) = (state.sends == 1, state.service.clone());
        metrics::count_for_service(
            out,
            if first {
                Figure::Attempts
            } else {
                Figure::Retries
            },
            &service,
            "send",
        );
        if first {
            metrics::observe_seconds(out, Figure::QueueWait, &service, waited);
        }
        out.push(Effect::Request(request, NextStep::Attempt(Box::new(send))));
    }

    /// The first piece of an answer has come.
    pub(crate) fn handle_answer_started(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        if let Phase::Sent { begun, .. } = &mut state.phase {
            *begun = true;
        }
        let took = self.now.since(state.arrived);
        state.first.get_or_insert(took);
        metrics::observe_seconds(out, Figure::FirstToken, &state.service, took);
        self.report_progress(request, Progress::AnswerStarted, out);
    }

    /// A whole answer has gone to the caller.
    pub(crate) fn handle_answer_completed(
        &mut self,
        request: RequestId,
        pause: Span,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let took = self.now.since(state.arrived);
        let server = state.server().map_or("-", Server::as_str);
        let first = state.first.unwrap_or(took);
        let late = lateness(&state.route, first, pause);
        let detail = format!(
            "id={} route={} server={server} late={late} first={first} pause={pause} took={took}",
            state.call.id, state.route.name
        );
        Self::log(out, Code::Served, detail);
        metrics::observe_seconds(out, Figure::WholeAnswer, &state.service, took);
        metrics::count_for_service(out, Figure::Answered, &state.service, "whole");
        if let Some(row) = state
            .server()
            .and_then(|server| self.servers.get_mut(server))
        {
            row.health.record_success(self.now);
        }
        self.answered_whole(request, out);
        self.end(request, Progress::Finished, out);
    }

    /// The caller has left.
    pub(crate) fn handle_caller_left(&mut self, request: RequestId, out: &mut Effects) {
        if let Some((came, call)) = self.startup_queue.remove(request) {
            self.log_left(&call, came, out);
        }
        if let Some(state) = self.in_flight.get(&request) {
            self.log_left(&state.call, state.arrived, out);
            if state.server().is_none() && state.ran == 0 {
                self.refund(request);
            }
            self.end(request, Progress::Finished, out);
        }
    }

    fn log_left(&self, call: &CallerRequest, came: Instant, out: &mut Effects) {
        let after = self.now.since(came);
        let detail = format!("id={} after={after}", call.id);
        Self::log(out, Code::CallerLeft, detail);
    }

    /// The scheduler found a place for a request.
    pub(crate) fn handle_placement(
        &mut self,
        request: RequestId,
        server: &Server,
        version: Option<Version>,
        out: &mut Effects,
    ) {
        let waiting = self
            .in_flight
            .get(&request)
            .is_some_and(|state| state.phase == Phase::Waiting);
        let listed = self.takes_work(server);
        match waiting {
            true if listed => self.send_to(request, server, version, out),
            true => self.decline_place(request, server, out),
            false => {}
        }
    }

    /// Whether a server takes requests of this VM.
    pub(crate) fn takes_work(&self, server: &Server) -> bool {
        let left = self
            .notices
            .has_left(server, self.now, self.last_resort_period());
        let cooldown_until = self.notices.cooldown_until(server) > self.now;
        let row = self.servers.get(server);
        row.is_some_and(|row| row.backend.ready && !left && !cooldown_until)
    }

    /// Forgets a request that has its final answer.
    fn end(&mut self, request: RequestId, progress: Progress, out: &mut Effects) {
        self.report_progress(request, progress, out);
        let Some(state) = self.in_flight.remove(&request) else {
            return;
        };
        if let Some(row) = state
            .server()
            .and_then(|server| self.servers.get_mut(server))
        {
            row.open = row.open.saturating_sub(1);
        }
    }

    /// Draws a target by the weights.
    fn target(&mut self, targets: &[Target]) -> Service {
        let total: u32 = targets.iter().map(|t| t.weight).sum();
        let mut draw = self.rng.random_range(0..total.max(1));
        for target in targets {
            if draw < target.weight {
                return target.service.clone();
            }
            draw -= target.weight;
        }
        targets[0].service.clone()
    }
}

/// What made an answer late, if anything did.
fn lateness(route: &Route, first: Span, pause: Span) -> &'static str {
    match (first > route.objective, pause > route.pause) {
        (true, _) => "first",
        (false, true) if route.pause > Span::ZERO => "pause",
        (false, _) => "no",
    }
}
