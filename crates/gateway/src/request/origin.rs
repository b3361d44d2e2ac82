//! Where streams began: the service and the build of its servers' software that made the first event.
//!
//! What two builds write does not fit together, and servers don't check what they are asked to continue. So a stream goes on
//! only at a server of the build that began it, or nowhere:
//! * Within one answer this VM knows the build, as it sent the attempt whose first event it passed on.
//! * A caller that resumes a stream, at any VM, names the request that brought its first event. The VM looks the origin up
//!   in its own `register`, then asks the VMs that keep the origins of all streams. A VM that has just started is told by
//!   them what they keep.
//! * Where only one build has served for as long as a stream may last (`history`), that is the build.
//! * What has begun lately outlasts the loss of all VMs in the key-value service (`journal`).
//! * Where the origin is not known, the request is refused at once, as not run. No VM guesses.
//! * The scheduler is told the build with the request, and chooses among the engines of that build. A VM that chooses by
//!   itself does the same. The VM that sends the request checks last, by the entry of the server.

mod history;
mod journal;
mod register;

use std::collections::BTreeSet;

use dahliastile_core::id::{Build, Server, Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::history::History;
use self::journal::Journal;
use self::register::Register;
use crate::config::RouteKind;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::message::{Binding, Message};
use crate::metrics;
use crate::node::Gateway;
use crate::request::state::{Phase, RefusalDetail};
use crate::scheduler::client::PLACEMENT_RETRY_DELAY;
use crate::timer::Timer;

pub use self::history::BuildAges;
pub use self::journal::OriginBatch;
pub use self::register::{StreamId, StreamOrigin};

/// How long origins and builds are remembered: the longest timeout of a route at any deployment, for the stream and again for
/// its resumption.
pub(crate) const RETENTION: Span = Span::from_secs(30);

/// How long to wait for the answers of the VMs that keep origins: some round trips between zones, and the time in which a
/// link to a VM that has ended is found broken.
const LOOKUP_TIMEOUT: Span = Span::from_millis(250);

/// Age of the key-value service's last answer up to which this VM's own list of builds is current.
const CURRENT: Span = Span::from_millis(1_500);

/// Interval at which this VM checks who keeps origins, and asks again for what it lacks.
const CHECK_INTERVAL: Span = Span::from_millis(500);

/// How long a VM that has started, or missed changes, asks the VMs that keep origins for what it lacks, unless one that has run
/// for as long answers.
const FILL_TIME: Span = Span::from_secs(3);

/// Time after which a caller may try again where another VM may know the origin of its stream.
const RETRY_AFTER: Span = Span::from_millis(300);

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: Service,
    /// The build of the server that made the first event.
    pub build: Build,
}

/// What another VM knows of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// The origin; none if it is not certain.
    Known(Option<Origin>),
    /// The VM does not know the stream. The only build of the service in question for as long as a stream may last; none if
    /// there were several, or if the VM does not know.
    Unknown(Option<Build>),
}

/// A request whose stream's origin other VMs were asked for.
#[derive(Debug)]
struct Lookup {
    /// The VMs that have not answered.
    pending: Vec<Vm>,
    /// The builds that the others say are the only one.
    only: Vec<Option<Build>>,
    /// Whether a VM that was asked is gone.
    is_short: bool,
    /// When this VM stops waiting.
    until: Instant,
}

/// What this VM knows of the origins of streams.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The origins of streams.
    register: Register,
    /// The builds that have served.
    history: History,
    /// What this VM writes to the key-value service.
    journal: Journal,
    /// Origins that other VMs were asked for.
    lookups: FxHashMap<RequestId, Lookup>,
    /// Requests that wait until a server of their build is listed.
    awaiting_build: BTreeSet<RequestId>,
    /// The VMs that kept origins when this VM last checked.
    keepers: Vec<Vm>,
    /// Whether another VM has told this one what it knew before this one started, or since a gap.
    is_filled: bool,
    /// When to check again who keeps origins.
    next_check: Instant,
}

impl Gateway {
    /// Passes a message about builds and origins to its handler.
    pub(crate) fn handle_origin_message(&mut self, from: &Vm, message: Message, out: &mut Effects) {
        match message {
            Message::BuildRequest(servers) => self.handle_build_request(from, &servers, out),
            Message::Builds(builds) => self.handle_builds(builds, out),
            Message::StreamOrigins(rows) => self.handle_sent_origins(rows),
            Message::OriginRequest(request, stream, service) => {
                self.handle_origin_request(from, request, stream, &service, out);
            }
            Message::OriginReply(request, answer) => {
                self.handle_origin_reply(from, request, answer, out);
            }
            Message::OriginsRequest => self.handle_origins_request(from, out),
            Message::BuildHistory(rows, known_for) => self.handle_build_history(rows, known_for),
            _ => {}
        }
    }

    /// Records what began the stream of a request, the first event of which has been passed on: the build of the present
    /// server, unless the server has started anew since the attempt was sent.
    pub(crate) fn record_origin(&mut self, request: RequestId) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let (Some(sent), Some(server)) = (&state.backend, state.server()) else {
            return;
        };
        let listed = self.servers.get(server).map(|state| &state.backend);
        let build = match listed {
            Some(listed) if listed.start == sent.start => &listed.build,
            _ => &sent.build,
        };
        if state.route.kind == RouteKind::Resumable && state.origin.is_none() {
            let service = state.service.clone();
            let build = build.0.clone();
            state.origin = build.map(|build| Origin { service, build });
        }
    }

    /// Looks up what began the stream that a request resumes, and goes on with the request if this VM knows. Otherwise asks
    /// the VMs that keep origins.
    pub(crate) fn resolve_origin(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let only = self.own_only_build(&state.service);
        let known = state.stream.and_then(|id| self.origins.register.get(id));
        let known = known.map(|entry| entry.origin.clone());
        match (known, state.stream) {
            (Some(origin), _) => self.continue_stream(request, origin, "register", out),
            (None, _) if only.is_some() && self.has_one_target(request) => {
                self.continue_at_only(request, only, out);
            }
            (None, Some(stream)) => self.ask_keepers(request, stream, out),
            (None, None) => self.refuse_unknown(request, false, out),
        }
    }

    /// Returns the only build of a service for as long as a stream may last, if this VM's own list of servers is current.
    fn own_only_build(&self, service: &Service) -> Option<Build> {
        let only = self.origins.history.only(self.now, service);
        only.filter(|_| self.kv_answer_age() < CURRENT).cloned()
    }

    /// Returns whether the route of a request has one target, so that its stream began at that service.
    fn has_one_target(&self, request: RequestId) -> bool {
        let state = self.in_flight.get(&request);
        state.is_some_and(|state| state.route.targets.len() == 1)
    }

    /// Goes on with a request whose stream began at the only build of its service.
    fn continue_at_only(&mut self, request: RequestId, only: Option<Build>, out: &mut Effects) {
        let service = self.in_flight.get(&request).map(|s| s.service.clone());
        let origin = service
            .zip(only)
            .map(|(service, build)| Origin { service, build });
        self.continue_stream(request, origin, "only_build", out);
    }

    /// Asks the VMs that keep origins what began a stream.
    fn ask_keepers(&mut self, request: RequestId, stream: StreamId, out: &mut Effects) {
        let me = &self.settings.vm;
        let mut pending = self.origin_keepers();
        pending.retain(|vm| vm != me);
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Resolving;
        let service = state.service.clone();
        let until = self.now + LOOKUP_TIMEOUT;
        for vm in &pending {
            let message = Message::OriginRequest(request, stream, service.clone());
            self.send(vm, message, out);
        }
        let lookup = Lookup {
            pending,
            only: Vec::new(),
            is_short: false,
            until,
        };
        self.origins.lookups.insert(request, lookup);
        self.timers.set(until, Timer::Request(request));
        self.decide_lookup(request, out);
    }

    /// Answers another VM that asks what began a stream.
    pub(crate) fn handle_origin_request(
        &mut self,
        from: &Vm,
        request: RequestId,
        stream: StreamId,
        service: &Service,
        out: &mut Effects,
    ) {
        let answer = match self.origins.register.get(stream) {
            Some(entry) => OriginAnswer::Known(entry.origin.clone()),
            None => OriginAnswer::Unknown(self.origins.history.only(self.now, service).cloned()),
        };
        self.send(from, Message::OriginReply(request, answer), out);
    }

    /// Handles what another VM knows of the origin of a stream.
    pub(crate) fn handle_origin_reply(
        &mut self,
        from: &Vm,
        request: RequestId,
        answer: OriginAnswer,
        out: &mut Effects,
    ) {
        let Some(lookup) = self.origins.lookups.get_mut(&request) else {
            return;
        };
        match answer {
            OriginAnswer::Known(origin) => {
                self.origins.lookups.remove(&request);
                self.continue_stream(request, origin, "keeper", out);
            }
            OriginAnswer::Unknown(only) => {
                lookup.pending.retain(|vm| vm != from);
                lookup.only.push(only);
                self.decide_lookup(request, out);
            }
        }
    }

    /// Handles a broken link to a VM that may have been asked for origins.
    pub(crate) fn origin_keeper_down(&mut self, vm: &Vm, out: &mut Effects) {
        let lookups = self.origins.lookups.iter_mut();
        let waiting = lookups.filter(|(_, lookup)| lookup.pending.contains(vm));
        let mut requests = Vec::new();
        for (request, lookup) in waiting {
            lookup.pending.retain(|pending| pending != vm);
            lookup.is_short = true;
            requests.push(*request);
        }
        for request in requests {
            self.decide_lookup(request, out);
        }
    }

    /// Forgets that other VMs were asked for a request that is over, and that it waits for a build.
    pub(crate) fn end_lookup(&mut self, request: RequestId) {
        self.origins.awaiting_build.remove(&request);
        self.origins.lookups.remove(&request);
    }

    /// Decides on a request once all VMs that were asked have answered, or their time is over: none of them knows its stream.
    pub(crate) fn decide_lookup(&mut self, request: RequestId, out: &mut Effects) {
        let now = self.now;
        let is_decided = |lookup: &Lookup| lookup.pending.is_empty() || now >= lookup.until;
        if !self.origins.lookups.get(&request).is_some_and(is_decided) {
            return;
        }
        let Some(lookup) = self.origins.lookups.remove(&request) else {
            return;
        };
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let is_short = lookup.is_short || !lookup.pending.is_empty();
        // Builds that this VM knows of besides make the others' word void.
        let service = state.service.clone();
        let first = lookup.only.first().cloned().flatten();
        let recent = self.origins.history.recent(now, &service);
        let is_only_here = recent.into_iter().all(|build| build == first.as_ref());
        let agree = !is_short && is_only_here && lookup.only.iter().all(|only| *only == first);
        match first {
            Some(build) if agree && self.has_one_target(request) => {
                self.continue_at_only(request, Some(build), out);
            }
            _ => self.refuse_unknown(request, is_short || !self.origins.is_filled, out),
        }
    }

    /// Goes on with a request whose stream's origin is known, or refuses it if that is not certain, or if its route does not
    /// lead there any more.
    fn continue_stream(
        &mut self,
        request: RequestId,
        origin: Option<Origin>,
        source: &'static str,
        out: &mut Effects,
    ) {
        let Some(origin) = origin else {
            self.refuse_unknown(request, false, out);
            return;
        };
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let mut targets = state.route.targets.iter();
        if !targets.any(|target| target.service == origin.service) {
            self.refuse_request(request, None, RefusalDetail::NoBuild, out);
            return;
        }
        state.service = origin.service.clone();
        let detail = format!(
            "id={} stream={} service={} build={} by={source} took={}",
            state.call.id,
            state.stream_name(),
            origin.service,
            origin.build,
            self.now.since(state.arrived)
        );
        state.origin = Some(origin);
        metrics::count_for_service(out, Figure::Origins, &state.service, source);
        Self::log(out, Code::OriginFound, detail);
        self.charge(request, out);
    }

    /// Refuses a request of whose stream nobody is known to know the origin. Its caller may try again if a VM that did not
    /// answer may know it.
    fn refuse_unknown(&mut self, request: RequestId, may_be_known: bool, out: &mut Effects) {
        if let Some(state) = self.in_flight.get(&request) {
            metrics::count_for_service(out, Figure::Origins, &state.service, "unknown");
        }
        let after = may_be_known.then_some(RETRY_AFTER);
        self.refuse_request(request, after, RefusalDetail::UnknownOrigin, out);
    }

    /// Records the build of a server that is listed.
    pub(crate) fn record_build(&mut self, server: &Server, out: &mut Effects) {
        let Some(state) = self.servers.get(server) else {
            return;
        };
        let (service, build) = (&state.backend.service, state.backend.build.0.as_ref());
        let history = &mut self.origins.history;
        let was_mixed = history.is_mixed(self.now, service);
        history.record(self.now, service, build);
        // Streams that began before there were two builds are known here only.
        if !was_mixed && history.is_mixed(self.now, service) {
            self.send_known_origins(true, out);
        }
    }

    /// Records the builds of all servers that are listed.
    fn record_builds(&mut self, out: &mut Effects) {
        self.origins.history.forget_unknown();
        let servers: Vec<Server> = self.servers.keys().cloned().collect();
        for server in servers {
            self.record_build(&server, out);
        }
    }

    /// Records that servers may have come and gone without this VM's notice.
    pub(crate) fn record_build_gap(&mut self) {
        self.origins.history.record_gap(self.now);
        self.origins.is_filled = false;
        self.timers.set(self.now, Timer::Origins);
    }

    /// Records builds now and then, and asks the VMs that keep origins for what this VM lacks. Where other VMs keep them than
    /// before, sends them what this VM knows.
    pub(crate) fn handle_origin_timer(&mut self, out: &mut Effects) {
        self.write_origins(out);
        if self.now < self.origins.next_check {
            return;
        }
        self.origins.next_check = self.now + CHECK_INTERVAL;
        self.timers.set(self.origins.next_check, Timer::Origins);
        self.record_builds(out);
        self.origins.history.prune(self.now);
        self.write_origins(out);
        let keepers = self.origin_keepers();
        let me = &self.settings.vm;
        let is_keeper = keepers.contains(me);
        let was_keeper = self.origins.keepers.contains(me);
        if is_keeper && !was_keeper {
            self.origins.is_filled = false;
        }
        let has_new = keepers.iter().any(|vm| !self.origins.keepers.contains(vm));
        if has_new && self.is_any_mixed() {
            self.send_known_origins(!was_keeper, out);
        }
        self.origins.is_filled |= self.origins.history.known_for(self.now) >= FILL_TIME;
        if !self.origins.is_filled {
            for keeper in keepers.iter().filter(|vm| *vm != me) {
                self.send(keeper, Message::OriginsRequest, out);
            }
        }
        self.origins.keepers = keepers;
    }

    /// Returns whether servers of several builds served any service lately.
    fn is_any_mixed(&self) -> bool {
        let mut services = self.servers.values().map(|s| &s.backend.service);
        services.any(|service| self.origins.history.is_mixed(self.now, service))
    }

    /// Tells a VM that has just started, or that keeps origins from now on, what this VM knows.
    pub(crate) fn handle_origins_request(&mut self, from: &Vm, out: &mut Effects) {
        if self.origin_keepers().contains(from) && self.is_any_mixed() {
            for rows in self.known_origins(false) {
                self.send(from, Message::StreamOrigins(rows), out);
            }
        }
        let (rows, known_for) = self.origins.history.summary(self.now);
        self.send(from, Message::BuildHistory(rows, known_for), out);
    }

    /// Handles what another VM knows of the builds that have served.
    pub(crate) fn handle_build_history(&mut self, rows: BuildAges, known_for: Span) {
        // The others may have started just now too.
        self.origins.is_filled |= known_for >= FILL_TIME;
        self.origins.history.merge(self.now, rows, known_for);
    }

    /// Returns the builds whose servers may run a request: any, if all servers of its service are of the one build that
    /// began its stream, or if it begins one where only one build has served lately.
    pub(crate) fn binding(&self, request: RequestId) -> Binding {
        let Some(state) = self.in_flight.get(&request) else {
            return Binding::Any;
        };
        let Some(origin) = &state.origin else {
            let is_mixed = || self.origins.history.is_mixed(self.now, &state.service);
            return match state.stream {
                Some(_) if is_mixed() => Binding::Begins,
                _ => Binding::Any,
            };
        };
        let binding = Binding::Continues(origin.build.clone());
        let servers = self.servers.values().map(|state| &state.backend);
        let mut servers = servers.filter(|backend| backend.service == origin.service);
        if servers.all(|backend| binding.allows(&backend.build)) {
            return Binding::Any;
        }
        binding
    }

    /// Returns whether a request may run at a server, by the build in the server's entry.
    pub(crate) fn is_allowed_at(&self, request: RequestId, server: &Server) -> bool {
        let state = self.servers.get(server);
        state.is_some_and(|state| self.binding(request).allows(&state.backend.build))
    }

    /// Returns the servers at which a request may run; `None` if it may run at all of its service.
    pub(crate) fn allowed_servers(&self, request: RequestId) -> Option<BTreeSet<Server>> {
        let binding = self.binding(request);
        if !matches!(binding, Binding::Continues(_)) {
            return None;
        }
        let servers = self.servers.iter();
        let allowed = servers.filter(|(_, state)| binding.allows(&state.backend.build));
        Some(allowed.map(|(server, _)| server.clone()).collect())
    }

    /// Has a request wait until a server of its build is listed, if this VM was never told of one, or does not know the
    /// builds of some servers yet: a VM that stood still or was cut off hears of the stream before it hears of the server's
    /// build. Returns whether it waits.
    pub(crate) fn await_build(&mut self, request: RequestId) -> bool {
        let Binding::Continues(build) = self.binding(request) else {
            return false;
        };
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let wait_end = state.arrived + PLACEMENT_RETRY_DELAY;
        let mut recent = self.origins.history.recent(self.now, &state.service);
        let mut servers = self.servers.values().map(|server| &server.backend);
        let may_be_listed = !recent.any(|recent| recent == Some(&build))
            || servers.any(|s| s.service == state.service && s.build.0.is_none());
        if self.now >= wait_end || !may_be_listed {
            self.origins.awaiting_build.remove(&request);
            return false;
        }
        self.origins.awaiting_build.insert(request);
        self.timers.set(wait_end, Timer::Request(request));
        true
    }

    /// Asks for placements of the requests that wait for a server of a build, as one was listed.
    pub(crate) fn place_awaiting_build(&mut self, out: &mut Effects) {
        for request in std::mem::take(&mut self.origins.awaiting_build) {
            self.request_placement(request, out);
        }
    }

    /// Returns whether a request continues a stream that no server of its service can continue any more.
    pub(crate) fn has_no_build_left(&self, request: RequestId) -> bool {
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let is_left = |server: &Server| {
            let server_state = self.servers.get(server);
            server_state.is_some_and(|s| s.backend.ready && s.backend.service == state.service)
        };
        let allowed = self.allowed_servers(request);
        allowed.is_some_and(|allowed| !allowed.iter().any(is_left))
    }
}
