//! Selects the VMs that distribute data to all VMs: a few watchers, which watch the key-value service for all
//! VMs, and one relay per availability zone, which receives changes from a watcher and sends them to its zone.
//!
//! Each VM derives the roles from the members that it knows, without an election: the strongest VMs are
//! watchers, and the strongest VM of a zone is its relay; ties are broken by hashing. A VM that fails in its
//! role is excluded for a while by the VMs that depend on it (`watch`).

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahliastile_core::id::{Service, Vm, Zone};

use crate::cluster::membership;
use crate::effect::Effects;
use crate::message::{EngineResidents, Message};
use crate::node::Gateway;

/// The number of VMs that watch the key-value service directly: one may fail while another is being replaced.
const WATCHERS: usize = 3;

/// The rank of a VM in the order in which VMs are chosen for these roles; lower comes first.
type Rank = (Reverse<u32>, u64);

impl Gateway {
    /// Returns the rank of a VM in the choice of watchers and relays.
    fn role_rank(&self, vm: &Vm) -> Rank {
        (
            Reverse(self.strength(vm)),
            membership::rendezvous_score(vm.as_str()),
        )
    }

    /// Returns the VMs that watch the key-value service for all.
    pub(crate) fn watchers(&self) -> Vec<&Vm> {
        self.first_vms(WATCHERS, |vm| self.role_rank(vm))
    }

    /// Whether this VM is one of the watchers.
    pub(crate) fn is_watcher(&self) -> bool {
        self.watchers().contains(&&self.settings.vm)
    }

    /// Returns the relay of this VM's availability zone, among this VM and the peers that are eligible.
    pub(crate) fn relay(&self, is_eligible: impl Fn(&Vm) -> bool) -> &Vm {
        let zone = &self.settings.zone;
        let peers = self
            .peers()
            .filter(|vm| self.membership.zone(vm) == Some(zone) && is_eligible(vm));
        let vms = peers.chain([&self.settings.vm]);
        let first = vms.min_by_key(|vm| self.role_rank(vm));
        first.unwrap_or(&self.settings.vm)
    }

    /// Whether this VM is the relay of its availability zone.
    fn is_relay(&self) -> bool {
        self.relay(|_| true) == &self.settings.vm
    }

    /// Returns the relays of the other availability zones, among the VMs to which this VM's link is up.
    fn relays(&self) -> Vec<&Vm> {
        let mut relays: BTreeMap<&Zone, &Vm> = BTreeMap::new();
        for vm in self.peers().filter(|vm| !self.membership.is_down(vm)) {
            let Some(zone) = self.membership.zone(vm) else {
                continue;
            };
            let relay = relays.entry(zone).or_insert(vm);
            if self.role_rank(vm) < self.role_rank(relay) {
                *relay = vm;
            }
        }
        relays.remove(&self.settings.zone);
        relays.into_values().collect()
    }

    /// Sends a digest, the resident adapters of a service's engines, to all other VMs: directly within this
    /// VM's availability zone, and through the relay of each other zone. Traffic between zones is the most
    /// expensive traffic between VMs; this way one message per digest crosses to each zone, whatever the number
    /// of VMs.
    pub(crate) fn broadcast_residents(
        &self,
        service: &Service,
        fence: u64,
        residents: Vec<EngineResidents>,
        out: &mut Effects,
    ) {
        self.send_to_zone(service, fence, &residents, out);
        let message = Message::ResidentAdapters(service.clone(), fence, residents);
        for vm in self.relays() {
            self.send(vm, message.clone(), out);
        }
    }

    /// Relays the scheduler's message about resident adapters to this VM's availability zone, if this VM is its
    /// relay.
    pub(crate) fn relay_residents(
        &self,
        service: &Service,
        fence: u64,
        residents: &[EngineResidents],
        out: &mut Effects,
    ) {
        if self.is_relay() {
            self.send_to_zone(service, fence, residents, out);
        }
    }

    fn send_to_zone(
        &self,
        service: &Service,
        fence: u64,
        residents: &[EngineResidents],
        out: &mut Effects,
    ) {
        let message = Message::RelayedResidentAdapters(service.clone(), fence, residents.to_vec());
        let zone = Some(&self.settings.zone);
        for vm in self.peers().filter(|vm| self.membership.zone(vm) == zone) {
            self.send(vm, message.clone(), out);
        }
    }
}
