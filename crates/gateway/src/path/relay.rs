//! The way to servers over other VMs: which VM is asked, and which requests of others this VM carries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};
use rand::seq::IteratorRandom;

use crate::cluster::membership;
use crate::effect::{Effect, Effects, NextStep};
use crate::event::{RelayRequest, RequestId};
use crate::metrics;
use crate::node::Gateway;

/// Number of VMs of a zone that a VM uses as relays at the same time. Few, so that connections to them are used again;
/// several, so that the requests of a VM are spread.
const RELAYS_PER_ZONE: usize = 3;

/// Upper bound on the attempts that a VM carries for others at the same time.
const MAX_CARRIED: usize = 512;

/// How long a VM that could not relay is not asked again.
const BACKOFF: Span = Span::from_secs(1);

/// Why a VM does not carry an attempt for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// Its own path is in doubt or lost.
    NoPath,
    /// It carries as many as it may.
    Full,
    /// It is stopping.
    Stopping,
    /// It does not know the VM that asks.
    UnknownVm,
    /// It does not know the server.
    UnknownServer,
}

impl RelayRefusal {
    /// Returns the name of the refusal for the log.
    const fn name(self) -> &'static str {
        match self {
            Self::NoPath => "no_path",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::UnknownVm => "unknown_vm",
            Self::UnknownServer => "unknown_server",
        }
    }
}

/// What this VM knows of other VMs as relays, and what it carries for them.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// VMs that could not relay, each with the time until which it is not asked.
    unusable: BTreeMap<Vm, Instant>,
    /// The VM that last relayed an attempt whose answer came.
    last_used: Option<Vm>,
    /// The attempts that this VM carries for others.
    carried: BTreeSet<RequestId>,
}

impl Gateway {
    /// Returns the VM to send an attempt at a server over, with the address at which it takes such attempts; `None` if no
    /// VM is left to ask.
    ///
    /// The VMs of this VM's zone come first, then those of the server's zone, since traffic between zones is billed; of
    /// each the first few in rendezvous order, then any. A VM that is known to relay goes before others.
    pub(crate) fn choose_relay(&mut self, server: &Server) -> Option<(Vm, SocketAddr)> {
        let port = self.settings.relay_port?;
        let now = self.now;
        self.path.relays.unusable.retain(|_, until| *until > now);
        let server_zone = self.servers.get(server).map(|state| &state.backend.zone);
        let unusable = &self.path.relays.unusable;
        let me = &self.settings.vm;
        let mut peers: Vec<&Vm> = self
            .peers()
            .filter(|vm| !self.membership.is_down(vm))
            .collect();
        peers.sort_by_cached_key(|vm| {
            Reverse(membership::rendezvous_score(&(me.as_str(), vm.as_str())))
        });
        let membership = &self.membership;
        let in_zone = |zone| {
            let peers = peers.iter();
            let in_zone = peers.filter(move |vm| membership.zone(vm) == zone);
            in_zone.take(RELAYS_PER_ZONE)
        };
        let own = in_zone(Some(&self.settings.zone));
        let near_server = in_zone(server_zone);
        let is_usable = |vm: &&&Vm| !unusable.contains_key(**vm);
        // The candidates borrow the gateway, and the generator with it.
        let mut rng = self.rng.clone();
        let known = self.path.relays.last_used.as_ref();
        let vm = own
            .filter(is_usable)
            .choose(&mut rng)
            .or_else(|| near_server.filter(is_usable).choose(&mut rng))
            .or_else(|| {
                peers
                    .iter()
                    .filter(is_usable)
                    .find(|vm| Some(**vm) == known)
            })
            .or_else(|| peers.iter().filter(is_usable).choose(&mut rng))
            .copied()
            .cloned();
        self.rng = rng;
        let vm = vm?;
        let address = self.membership.address(&vm)?;
        Some((vm, SocketAddr::new(address.ip(), port)))
    }

    /// Records that a VM could not relay an attempt.
    pub(crate) fn record_relay_failed(&mut self, vm: &Vm) {
        let relays = &mut self.path.relays;
        relays.unusable.insert(vm.clone(), self.now + BACKOFF);
        relays.last_used.take_if(|last_used| last_used == vm);
    }

    /// Records that the answer to an attempt came over a VM.
    pub(crate) fn record_relay_worked(&mut self, request: RequestId) {
        let state = self.in_flight.get(&request);
        if let Some(vm) = state.and_then(|state| state.relay.clone()) {
            self.path.relays.last_used = Some(vm);
        }
    }

    /// Handles the word of a VM that can't relay on another one that does.
    pub(crate) fn handle_relay_hint(&mut self, vm: Vm) {
        self.path.relays.unusable.remove(&vm);
        self.path.relays.last_used.get_or_insert(vm);
    }

    /// Handles the request of another VM to carry an attempt to a server.
    pub(crate) fn handle_relay_request(
        &mut self,
        request: RequestId,
        asked: &RelayRequest,
        out: &mut Effects,
    ) {
        let address = self.servers.get(&asked.server).map(|s| s.backend.address);
        let refusal = match address {
            _ if !self.knows_address(asked.from) => Some(RelayRefusal::UnknownVm),
            _ if self.is_stopping() => Some(RelayRefusal::Stopping),
            None => Some(RelayRefusal::UnknownServer),
            // An attempt must not wait on a connection that may hang.
            Some(_) if !self.path.is_open() => Some(RelayRefusal::NoPath),
            Some(_) if self.path.relays.carried.len() >= MAX_CARRIED => Some(RelayRefusal::Full),
            Some(_) => None,
        };
        let (label, outcome) = match refusal {
            Some(refusal) => ("refused", refusal.name()),
            None => ("carried", "carried"),
        };
        let detail = format!(
            "id={} from={} server={} outcome={outcome}",
            asked.id, asked.from, asked.server
        );
        Self::log(out, Code::RelayRequested, detail);
        metrics::count_global(out, Figure::Relayed, label);
        let next_step = match (refusal, address) {
            (None, Some(address)) => {
                self.path.relays.carried.insert(request);
                NextStep::Carry(address)
            }
            (refusal, _) => {
                let relays = &self.path.relays;
                let hint = relays.last_used.clone().filter(|_| self.path.is_lost());
                NextStep::RefuseRelay(refusal.unwrap_or(RelayRefusal::UnknownServer), hint)
            }
        };
        out.push(Effect::Request(request, next_step));
    }

    /// Handles the end of an attempt that this VM carried.
    pub(crate) fn handle_relay_ended(&mut self, request: RequestId) {
        self.path.relays.carried.remove(&request);
    }

    /// Returns whether another VM has this address.
    fn knows_address(&self, from: IpAddr) -> bool {
        let addresses = self.peers().filter_map(|vm| self.membership.address(vm));
        addresses.into_iter().any(|address| address.ip() == from)
    }
}
