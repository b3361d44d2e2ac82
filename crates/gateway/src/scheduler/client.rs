//! This VM's side of the scheduling: it asks the holder of a service for places, and goes on by itself with what was
//! resident where no holder answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::candidacy::MIN_TENURE;
use crate::cluster::snapshot::{EntryKey, EntryValue, Holder, Resident, Revision, Version};
use crate::effect::Effects;
use crate::event::{LinkFault, RequestId};
use crate::message::{EngineResidents, Message, PlacementRequest, Progress, Running};
use crate::metrics;
use crate::node::Gateway;
use crate::request::state::Phase;
use crate::timer::Timer;

/// The time without any word of the holder after which this VM goes on by itself: three of the holder's digests.
pub(crate) const HOLDER_TIMEOUT: Span = Span::from_millis(900);

/// The time after which a request that has heard nothing is asked for again, in case that the first question was lost:
/// an objective's length, since most are placed within it.
pub(crate) const PLACEMENT_RETRY_DELAY: Span = Span::from_millis(1_000);

/// What this VM knows of a service's scheduler.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The VM that holds the leadership, as far as is known.
    pub(crate) holder: Option<Vm>,
    /// The highest fencing number heard of.
    pub(crate) fence: u64,
    /// When the holder was last heard.
    heard: Instant,
    /// Whether it was heard under the present fencing number. What it was sent before that may have come before it knew
    /// that it holds the leadership, and is told again.
    met: bool,
    /// Whether it counts as silent.
    pub(crate) silent: bool,
    /// What each engine held by its last word.
    residents: BTreeMap<Server, Vec<Resident>>,
}

impl Gateway {
    /// Asks the scheduler for a place.
    pub(crate) fn request_placement(&mut self, request: RequestId, out: &mut Effects) {
        let now = self.now;
        let Some(state) = self.in_flight.get(&request) else {
            return;
        };
        let Some(want) = state.want(request, &self.settings.zone, now) else {
            return;
        };
        let service = state.service.clone();
        let me = self.settings.vm.clone();
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.enqueue(now, &me, want);
            return;
        }
        self.timers
            .set(now + PLACEMENT_RETRY_DELAY, Timer::Request(request));
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        match client.holder.clone() {
            Some(holder) if !client.silent => {
                self.send(&holder, Message::PlacementRequest(service, want), out);
            }
            _ => self.place_alone(request, out),
        }
    }

    /// Places a request without the scheduler, where its adapter was resident by the last word.
    fn place_alone(&mut self, request: RequestId, out: &mut Effects) {
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
        let holding = |server: &Server| {
            let held = client.residents.get(server)?;
            let fits = |r: &Resident| Some(&r.adapter) == adapter.as_ref() && r.version >= newest;
            held.iter().find(|resident| fits(resident))
        };
        let servers = self.servers.keys();
        let holders: Vec<Server> = servers
            .filter(|server| adapter.is_none() || holding(server).is_some())
            .cloned()
            .collect();
        let choice = self.choose_server(&service, &failed, |server| holders.contains(server));
        if let Some(server) = choice {
            self.send_unscheduled(request, &server, version, out);
        }
    }

    /// The newest version of an adapter that is known, 0 where none was named.
    pub(crate) fn newest(&self, model: &Arc<str>, adapter: &Arc<str>) -> Version {
        let subject = EntryKey::Version(model.clone(), adapter.clone());
        match self.snapshot.get(&subject).and_then(|c| c.value.as_ref()) {
            Some(EntryValue::Version(version)) => *version,
            _ => 0,
        }
    }

    /// Tells the scheduler how a request goes.
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

    /// The key-value service names the holder of a leadership.
    pub(crate) fn handle_new_holder(
        &mut self,
        service: &Service,
        holder: &Holder,
        fence: Revision,
        out: &mut Effects,
    ) {
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        if fence < client.fence {
            return;
        }
        let changed = client.fence != fence || client.holder.as_ref() != Some(&holder.vm);
        let known = client.holder.is_some();
        client.met = !changed && client.met;
        client.fence = fence;
        client.holder = Some(holder.vm.clone());
        if !changed {
            return;
        }
        if known {
            self.leaderships.record_holder_change(service, self.now);
        }
        Self::log(
            out,
            Code::HolderNamed,
            format!("service={service} vm={} fence={fence}", holder.vm),
        );
        if *holder == self.as_holder() {
            self.start_scheduler(service, fence, out);
        } else {
            self.leaderships.cancel_candidacy(service);
            self.stop_scheduler(service, out);
            self.introduce(service, out);
            self.update_candidacies(out);
        }
    }

    /// The leadership is free.
    pub(crate) fn handle_holder_gone(&mut self, service: &Service, out: &mut Effects) {
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        let old = client.holder.take();
        Self::log(
            out,
            Code::HolderGone,
            format!("service={service} fence={} was={old:?}", client.fence),
        );
        if old.as_ref() == Some(&self.settings.vm) {
            self.stop_scheduler(service, out);
        }
        self.go_alone(service, out);
        self.update_candidacies(out);
    }

    /// Whether a message of a scheduler counts: it does unless a newer one is known.
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
            || !client.met;
        // Where it is not known yet where the holder is, nothing can be told to it, and it is met at its next word.
        client.met = self.membership.address(from).is_some();
        client.fence = fence;
        client.holder = Some(from.clone());
        client.heard = now;
        client.silent = false;
        self.timers.set(now + HOLDER_TIMEOUT, Timer::Leadership);
        if changed {
            self.leaderships.cancel_candidacy(service);
            Self::log(
                out,
                Code::HolderNamed,
                format!("service={service} vm={from} fence={fence} by=peer"),
            );
            self.stop_scheduler(service, out);
            self.introduce(service, out);
        }
        true
    }

    /// The VM that schedules a service, as long as it is heard.
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

    /// When the holder of a service was last heard.
    pub(crate) fn holder_last_heard(&self, service: &Service) -> Instant {
        let client = self.scheduler_clients.get(service);
        client.map_or(Instant::default(), |client| client.heard)
    }

    /// Keeps what the scheduler says some engines hold.
    pub(crate) fn record_residents(&mut self, service: &Service, residents: Vec<EngineResidents>) {
        let servers = &self.servers;
        let client = self.scheduler_clients.entry(service.clone()).or_default();
        client
            .residents
            .retain(|server, _| servers.contains_key(server));
        for holding in residents {
            client.residents.insert(holding.server, holding.adapters);
        }
    }

    /// A server has started again and holds nothing of what it held.
    pub(crate) fn clear_residents(&mut self, service: &Service, server: &Server) {
        if let Some(client) = self.scheduler_clients.get_mut(service) {
            client.residents.remove(server);
        }
    }

    /// Keeps where the scheduler had a request of this VM run: its adapter is there, until a word of the scheduler says
    /// otherwise or the engine has had as many newer ones as it holds.
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
        // Where no version is named, any will do.
        let version = version.unwrap_or(0);
        let shape = self
            .index
            .service(state.service.as_str())
            .and_then(|application| application.engine.as_ref());
        let places = shape.map_or(0, |shape| shape.places);
        let Some(client) = self.scheduler_clients.get_mut(&state.service) else {
            return;
        };
        let row = client.residents.entry(server.clone()).or_default();
        row.retain(|resident| resident.adapter != adapter);
        if row.len() >= places.max(1) {
            row.remove(0);
        }
        row.push(Resident { adapter, version });
    }

    /// A link broke: where it led to a holder, this VM goes on alone until it hears of one again.
    pub(crate) fn peer_down(&mut self, address: SocketAddr, fault: LinkFault, out: &mut Effects) {
        let now = self.now;
        let Some((vm, gone)) = self.membership.record_link_failure(address, fault, now) else {
            return;
        };
        if gone {
            self.remove_scheduler_vm(&vm);
        }
        self.quota_vm_down(&vm, out);
        // A holder whose word still comes is busy, not gone.
        let busy =
            |client: &State| fault == LinkFault::Late && now.since(client.heard) < HOLDER_TIMEOUT;
        let holds = |client: &State| client.holder.as_ref() == Some(&vm) && !busy(client);
        let led = self
            .scheduler_clients
            .iter()
            .filter(|(_, client)| holds(client));
        let services: Vec<Service> = led.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.holder_silent(&service, "link_down", out);
        }
    }

    /// Looks whether the holders have been silent for too long.
    pub(crate) fn check_holder_timeouts(&mut self, out: &mut Effects) {
        let now = self.now;
        let me = &self.settings.vm;
        let silent = |a: &State| {
            !a.silent
                && a.holder.as_ref().is_some_and(|h| h != me)
                && now.since(a.heard) >= HOLDER_TIMEOUT
        };
        let services: Vec<Service> = self
            .scheduler_clients
            .iter()
            .filter(|(_, a)| silent(a))
            .map(|(s, _)| s.clone())
            .collect();
        for service in services {
            self.holder_silent(&service, "no_word", out);
        }
    }

    fn holder_silent(&mut self, service: &Service, why: &str, out: &mut Effects) {
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
            format!("service={service} vm={:?} why={why}", client.holder),
        );
        self.go_alone(service, out);
        let settled = self.leaderships.changed(service) + MIN_TENURE;
        self.timers.set(settled, Timer::Leadership);
        self.update_candidacies(out);
    }

    /// Places what waits without the scheduler, as far as its adapters are resident.
    fn go_alone(&mut self, service: &Service, out: &mut Effects) {
        let waiting: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.service == *service && f.phase == Phase::Waiting)
            .map(|(id, _)| *id)
            .collect();
        for request in waiting {
            self.place_alone(request, out);
        }
    }

    /// Tells a new scheduler all that runs and waits here.
    fn introduce(&mut self, service: &Service, out: &mut Effects) {
        let Some(client) = self.scheduler_clients.get_mut(service) else {
            return;
        };
        client.silent = false;
        client.heard = self.now;
        let Some(holder) = client.holder.clone().filter(|vm| *vm != self.settings.vm) else {
            return;
        };
        let (running, wants) = self.running_and_waiting(service);
        self.timers
            .set(self.now + HOLDER_TIMEOUT, Timer::Leadership);
        self.send(
            &holder,
            Message::Resync(service.clone(), self.member(), running, wants),
            out,
        );
        for message in self.notice_messages(service) {
            self.send(&holder, message, out);
        }
    }

    /// All that runs and waits on this VM for a service.
    pub(crate) fn running_and_waiting(
        &self,
        service: &Service,
    ) -> (Vec<Running>, Vec<PlacementRequest>) {
        let mut running = Vec::new();
        let mut wants = Vec::new();
        // What waits for tokens of its account or for leave at a server wants no place yet.
        let unasked = |f: &crate::request::state::RequestState| {
            matches!(f.phase, Phase::Charging | Phase::Permit { .. })
        };
        let asked = |f: &crate::request::state::RequestState| f.service == *service && !unasked(f);
        for (request, state) in self.in_flight.iter().filter(|(_, state)| asked(state)) {
            match (state.server(), &state.call.work) {
                (Some(server), Some(work)) => running.push(Running {
                    request: *request,
                    server: server.clone(),
                    work: work.clone(),
                }),
                _ => wants.extend(state.want(*request, &self.settings.zone, self.now)),
            }
        }
        (running, wants)
    }
}
