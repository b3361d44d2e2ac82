//! Asks the scheduler of each service for placements on behalf of this VM's requests. While no scheduler
//! answers, this VM places requests itself, by the last known resident adapters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::candidacy::MIN_TENURE;
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{EntryKey, EntryValue, Holder, Resident, Version};
use crate::effect::Effects;
use crate::event::{LinkFault, RequestId};
use crate::feature::Feature;
use crate::message::{
    Binding, BoundPlacement, EngineResidents, Message, PlacementDetail, PlacementRequest, Progress,
    Running,
};
use crate::metrics;
use crate::node::Gateway;
use crate::request::state::{Phase, RefusalDetail, RequestState};
use crate::timer::Timer;

/// Time without a message of the holder after which this VM places requests itself: three of the holder's
/// heartbeats and a margin.
pub(crate) const HOLDER_TIMEOUT: Span = Span::from_millis(900);

/// Time after which a placement request without an answer is repeated, in case the first one was lost. It
/// equals the usual objective, within which most requests are placed.
pub(crate) const PLACEMENT_RETRY_DELAY: Span = Span::from_millis(1_000);

/// What this VM knows of one service's scheduler.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The VM that holds the leadership; `None` if it is vacant or unknown.
    pub(crate) holder: Option<Vm>,
    /// The highest fencing token seen.
    pub(crate) fence: u64,
    /// When the holder's last message came.
    last_heard: Instant,
    /// Whether this VM has sent all of its requests to the holder under the holder's current fencing token.
    /// Messages sent before may have arrived when the holder did not know yet that it holds the leadership, so all
    /// requests are sent again.
    resynced: bool,
    /// Whether the holder counts as silent, so that this VM places requests itself.
    pub(crate) silent: bool,
    /// The resident adapters of each engine, by the last message of the scheduler and this VM's own placements.
    residents: BTreeMap<Server, Vec<Resident>>,
}

/// Returns the message that asks for a placement: the shortest that holds the detail.
fn placement_message(
    service: Service,
    placement: PlacementRequest,
    detail: PlacementDetail,
) -> Message {
    match detail.binding.clone() {
        Binding::Any if detail == PlacementDetail::default() => {
            Message::PlacementRequest(service, placement)
        }
        Binding::Any => Message::DetailedPlacementRequest(service, placement, detail),
        binding @ (Binding::Continues(_) | Binding::Begins) => {
            let bound = BoundPlacement {
                placement,
                detail,
                binding,
            };
            Message::BoundPlacementRequest(service, Box::new(bound))
        }
    }
}

impl Gateway {
    /// Asks the scheduler for a placement of a request. Places the request itself if the scheduler is unknown
    /// or silent.
    pub(crate) fn request_placement(&mut self, request: RequestId, out: &mut Effects) {
        let now = self.now;
        if self.has_no_build_left(request) {
            if self.await_build(request) {
                return;
            }
            self.refuse_request(request, None, RefusalDetail::NoBuild, out);
            return;
        }
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let Some(placement) = state.want(request, &self.settings.zone, now) else {
            return;
        };
        let detail = self.placement_detail(request, state);
        let service = state.service.clone();
        let me = self.settings.vm.clone();
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.enqueue(now, &me, placement, detail);
            return;
        }
        self.timers
            .set(now + PLACEMENT_RETRY_DELAY, Timer::Request(request));
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        match client.holder.clone() {
            Some(holder) if !client.silent => {
                let message = placement_message(service, placement, detail);
                self.send(&holder, message, out);
            }
            _ => self.place_unscheduled(request, out),
        }
    }

    /// Returns the details of a request that enabled features of the scheduler use.
    fn placement_detail(&self, request: RequestId, state: &RequestState) -> PlacementDetail {
        let uses = |feature| self.settings.uses(feature);
        let competes = [
            Feature::FairShares,
            Feature::UrgentReserve,
            Feature::ReturningCallers,
        ];
        let account = state
            .account
            .as_ref()
            .filter(|_| competes.into_iter().any(uses));
        let limit = account.and_then(|account| account.limit);
        PlacementDetail {
            account: account.map(|account| account.name.clone()),
            weight: limit.map(|limit| limit.rate).unwrap_or_default(),
            pause: if uses(Feature::StreamPauses) {
                state.route.pause
            } else {
                Span::ZERO
            },
            fingerprint: account.map(|_| state.call.fingerprint),
            binding: self.binding(request),
        }
    }

    /// Places a request without the scheduler, at a server where its adapter was last known to be resident.
    fn place_unscheduled(&mut self, request: RequestId, out: &mut Effects) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let Some(work) = &state.call.work else {
            return;
        };
        let newest = work
            .adapter
            .as_ref()
            .map_or(0, |a| self.newest(&work.model, a));
        let version = work.adapter.as_ref().map(|_| newest).filter(|v| *v > 0);
        let (service, failed) = (state.service.clone(), state.failed.clone());
        let adapter = work.adapter.clone();
        let Some(client) = self.scheduler_clients.get(&service) else {
            return;
        };
        let resident_at = |server: &Server| {
            let residents = client.residents.get(server)?;
            let matches_adapter =
                |r: &Resident| Some(&r.adapter) == adapter.as_ref() && r.version >= newest;
            residents.iter().find(|resident| matches_adapter(resident))
        };
        let servers = self.servers.iter();
        let binding = self.binding(request);
        let candidates: Vec<Server> = servers
            .filter(|(_, state)| binding.allows(&state.backend.build))
            .map(|(server, _)| server)
            .filter(|server| adapter.is_none() || resident_at(server).is_some())
            .cloned()
            .collect();
        let choice = self.choose_server(&service, &failed, |server| candidates.contains(server));
        if let Some(server) = choice {
            self.send_unscheduled(request, &server, version, out);
        }
    }

    /// Returns the newest published version of an adapter; 0 if none was published.
    pub(crate) fn newest(&self, model: &Arc<str>, adapter: &Arc<str>) -> Version {
        let key = EntryKey::Version(model.clone(), adapter.clone());
        match self.snapshot.get(&key).and_then(|c| c.value.as_ref()) {
            Some(EntryValue::Version(version)) => *version,
            _ => 0,
        }
    }

    /// Reports the progress of a request to its scheduler.
    pub(crate) fn report_progress(
        &mut self,
        request: RequestId,
        progress: Progress,
        out: &mut Effects,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        if state.call.work.is_none() {
            return;
        }
        let service = state.service.clone();
        let me = self.settings.vm.clone();
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.update_progress(self.now, &me, request, progress);
            return;
        }
        let holder = self
            .scheduler_clients
            .get(&service)
            .and_then(|client| client.holder.clone());
        if let Some(holder) = holder {
            self.send(&holder, Message::Progress(service, request, progress), out);
        }
    }

    /// Handles a leadership entry of the key-value service that names the holder.
    pub(crate) fn handle_new_holder(
        &mut self,
        service: &Service,
        holder: &Holder,
        revision: Revision,
        out: &mut Effects,
    ) {
        let fence = revision.fence();
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        if fence < client.fence {
            return;
        }
        let changed = client.fence != fence || client.holder.as_ref() != Some(&holder.vm);
        let had_holder = client.holder.is_some();
        client.resynced = !changed && client.resynced;
        client.fence = fence;
        client.holder = Some(holder.vm.clone());
        if !changed {
            return;
        }
        if had_holder {
            self.leaderships.record_holder_change(service, self.now);
        }
        Self::log(
            out,
            Code::HolderNamed,
            format!("service={service} vm={} fence={revision}", holder.vm),
        );
        if *holder == self.as_holder() {
            self.start_scheduler(service, fence, out);
        } else {
            self.leaderships.cancel_candidacy(service);
            self.stop_scheduler(service, out);
            self.resync(service, out);
            self.update_candidacies(out);
        }
    }

    /// Handles a leadership that became vacant in the key-value service.
    pub(crate) fn handle_holder_gone(&mut self, service: &Service, out: &mut Effects) {
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        let previous = client.holder.take();
        Self::log(
            out,
            Code::HolderGone,
            format!(
                "service={service} fence={} was={previous:?}",
                Revision::of_fence(client.fence)
            ),
        );
        if previous.as_ref() == Some(&self.settings.vm) {
            self.stop_scheduler(service, out);
        }
        self.place_waiting_unscheduled(service, out);
        self.update_candidacies(out);
    }

    /// Returns whether a scheduler's message is valid, i.e. no higher fencing token is known, and if so records
    /// its sender as the holder.
    pub(crate) fn accept_scheduler_message(
        &mut self,
        service: &Service,
        fence: u64,
        from: &Vm,
        out: &mut Effects,
    ) -> bool {
        let now = self.now;
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        if fence < client.fence {
            metrics::count_for_service(out, Figure::Dropped, service, "old_scheduler");
            return false;
        }
        let changed = fence > client.fence
            || client.holder.as_ref() != Some(from)
            || client.silent
            || !client.resynced;
        // While the holder's address is unknown, nothing can be sent to it: the resync is then repeated at its
        // next message.
        client.resynced = self.membership.address(from).is_some();
        client.fence = fence;
        client.holder = Some(from.clone());
        client.last_heard = now;
        client.silent = false;
        self.timers.set(now + HOLDER_TIMEOUT, Timer::Leadership);
        if changed {
            self.leaderships.cancel_candidacy(service);
            Self::log(
                out,
                Code::HolderNamed,
                format!(
                    "service={service} vm={from} fence={} by=peer",
                    Revision::of_fence(fence)
                ),
            );
            self.stop_scheduler(service, out);
            self.resync(service, out);
        }
        true
    }

    /// Returns the VM that schedules a service; `None` if it is unknown or silent.
    pub(crate) fn scheduler_vm(&self, service: &Service) -> Option<Vm> {
        if self.schedulers.contains_key(service) {
            return Some(self.settings.vm.clone());
        }
        let client = self
            .scheduler_clients
            .get(service)
            .filter(|client| !client.silent)?;
        client.holder.clone()
    }

    /// Returns when the last message of a service's holder came.
    pub(crate) fn holder_last_heard(&self, service: &Service) -> Instant {
        let client = self.scheduler_clients.get(service);
        client.map_or(Instant::default(), |client| client.last_heard)
    }

    /// Records the resident adapters of some engines, as the scheduler sent them.
    pub(crate) fn record_residents(&mut self, service: &Service, residents: Vec<EngineResidents>) {
        let servers = &self.servers;
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        client
            .residents
            .retain(|server, _| servers.contains_key(server));
        for engine in residents {
            client.residents.insert(engine.server, engine.adapters);
        }
    }

    /// Removes the resident adapters of a server that has restarted.
    pub(crate) fn clear_residents(&mut self, service: &Service, server: &Server) {
        if let Some(client) = self.scheduler_clients.get_mut(service) {
            client.residents.remove(server);
        }
    }

    /// Records that the adapter of a request is resident at the server where the scheduler placed the request. The
    /// adapter counts as resident until the scheduler reports otherwise, or until as many newer adapters were placed
    /// there as the engine has slots.
    pub(crate) fn record_placement(
        &mut self,
        request: RequestId,
        server: &Server,
        version: Option<Version>,
    ) {
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let adapter = state.call.work.as_ref().and_then(|w| w.adapter.clone());
        let Some(adapter) = adapter else {
            return;
        };
        // Without a required version, any version may be used.
        let version = version.unwrap_or(0);
        let engine_spec = self
            .index
            .service(state.service.as_str())
            .and_then(|config| config.engine.as_ref());
        let slots = engine_spec.map_or(0, |spec| spec.adapter_slots);
        let Some(client) = self.scheduler_clients.get_mut(&state.service) else {
            return;
        };
        let residents = client.residents.entry(server.clone()).or_default();
        residents.retain(|resident| resident.adapter != adapter);
        if residents.len() >= slots.max(1) {
            residents.remove(0);
        }
        residents.push(Resident { adapter, version });
    }

    /// Handles a broken connection to a VM. If that VM holds a leadership, this VM places requests itself until
    /// a holder's message arrives again.
    pub(crate) fn peer_down(&mut self, address: SocketAddr, fault: LinkFault, out: &mut Effects) {
        let now = self.now;
        let Some((vm, is_gone)) = self.membership.record_link_failure(address, fault, now) else {
            return;
        };
        if is_gone {
            self.remove_scheduler_vm(&vm);
        }
        self.quota_vm_down(&vm, out);
        self.origin_keeper_down(&vm, out);
        // A holder whose messages still arrive is busy, not gone.
        let is_busy = |client: &State| {
            fault == LinkFault::Late && now.since(client.last_heard) < HOLDER_TIMEOUT
        };
        let is_lost_holder =
            |client: &State| client.holder.as_ref() == Some(&vm) && !is_busy(client);
        let lost = self
            .scheduler_clients
            .iter()
            .filter(|(_, client)| is_lost_holder(client));
        let services: Vec<Service> = lost.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.mark_holder_silent(&service, "link_down", out);
        }
    }

    /// Marks the holders as silent from which no message came for [`HOLDER_TIMEOUT`].
    pub(crate) fn check_holder_timeouts(&mut self, out: &mut Effects) {
        let now = self.now;
        let me = &self.settings.vm;
        let is_silent = |client: &State| {
            !client.silent
                && client.holder.as_ref().is_some_and(|holder| holder != me)
                && now.since(client.last_heard) >= HOLDER_TIMEOUT
        };
        let services: Vec<Service> = self
            .scheduler_clients
            .iter()
            .filter(|(_, client)| is_silent(client))
            .map(|(s, _)| s.clone())
            .collect();
        for service in services {
            self.mark_holder_silent(&service, "no_word", out);
        }
    }

    /// Marks the holder of a service as silent, places the waiting requests without the holder, and considers this VM
    /// as a candidate for the leadership.
    fn mark_holder_silent(&mut self, service: &Service, reason: &str, out: &mut Effects) {
        let Some(client) = self.scheduler_clients.get_mut(service) else {
            return;
        };
        if client.silent {
            return;
        }
        client.silent = true;
        Self::log(
            out,
            Code::HolderSilent,
            format!("service={service} vm={:?} why={reason}", client.holder),
        );
        self.place_waiting_unscheduled(service, out);
        let tenure_end = self.leaderships.holder_changed_at(service) + MIN_TENURE;
        self.timers.set(tenure_end, Timer::Leadership);
        self.update_candidacies(out);
    }

    /// Places the waiting requests of a service without the scheduler, if their adapters are resident.
    fn place_waiting_unscheduled(&mut self, service: &Service, out: &mut Effects) {
        let waiting: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, state)| state.service == *service && state.phase == Phase::Waiting)
            .map(|(id, _)| *id)
            .collect();
        for request in waiting {
            self.place_unscheduled(request, out);
        }
    }

    /// Sends all running and waiting requests of this VM to a new scheduler.
    fn resync(&mut self, service: &Service, out: &mut Effects) {
        let Some(client) = self.scheduler_clients.get_mut(service) else {
            return;
        };
        client.silent = false;
        client.last_heard = self.now;
        let Some(holder) = client.holder.clone().filter(|vm| *vm != self.settings.vm) else {
            return;
        };
        let (running, waiting) = self.running_and_waiting(service);
        self.timers
            .set(self.now + HOLDER_TIMEOUT, Timer::Leadership);
        self.send(
            &holder,
            Message::Resync(service.clone(), self.member(), running, waiting),
            out,
        );
        for (placement, detail) in self.bound_and_waiting(service) {
            let message = placement_message(service.clone(), placement, detail);
            self.send(&holder, message, out);
        }
        for message in self.notice_messages(service) {
            self.send(&holder, message, out);
        }
    }

    /// Returns the requests of a service that wait for a placement at one build. [`Message::Resync`] can't say which.
    pub(crate) fn bound_and_waiting(
        &self,
        service: &Service,
    ) -> Vec<(PlacementRequest, PlacementDetail)> {
        let states = self.in_flight.iter();
        let bound = states.filter(|(request, state)| {
            state.service == *service
                && state.phase == Phase::Waiting
                && self.binding(**request) != Binding::Any
        });
        let placement = |(request, state): (&RequestId, &RequestState)| {
            let placement = state.want(*request, &self.settings.zone, self.now)?;
            Some((placement, self.placement_detail(*request, state)))
        };
        bound.filter_map(placement).collect()
    }

    /// Returns the requests of a service that run at a server, and those that wait for a placement at any.
    pub(crate) fn running_and_waiting(
        &self,
        service: &Service,
    ) -> (Vec<Running>, Vec<PlacementRequest>) {
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        // A request that waits for its account's token quota or for a send permit does not need a placement
        // yet.
        let is_held_back = |state: &RequestState| {
            matches!(
                state.phase,
                Phase::Resolving | Phase::Charging | Phase::Permit { .. }
            )
        };
        let is_known_to_scheduler =
            |state: &RequestState| state.service == *service && !is_held_back(state);
        for (request, state) in self
            .in_flight
            .iter()
            .filter(|(_, state)| is_known_to_scheduler(state))
        {
            match (state.server(), &state.call.work) {
                (Some(server), Some(work)) => running.push(Running {
                    request: *request,
                    server: server.clone(),
                    work: work.clone(),
                }),
                _ if self.binding(*request) != Binding::Any => {}
                _ => waiting.extend(state.want(*request, &self.settings.zone, self.now)),
            }
        }
        (running, waiting)
    }
}
