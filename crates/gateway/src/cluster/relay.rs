//! Which VMs tell others what all are told: a few that watch the key-value service for all, and one in each availability zone that
//! hears from them and tells its zone.
//!
//! Both follow from what each VM knows of the others, so that none is appointed: the strongest watch, and the strongest of a zone
//! tells it, among equals by hashing. A VM that fails to is passed by (`watch`).

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahliastile_core::id::{Service, Vm, Zone};

use crate::cluster::membership;
use crate::effect::Effects;
use crate::message::{EngineResidents, Message};
use crate::node::Gateway;

/// VMs that watch the key-value service by themselves: one may fail while another is being replaced.
const WATCHERS: usize = 3;

/// The place of a VM in the order in which VMs do something for others.
type Rank = (Reverse<u32>, u64);

impl Gateway {
    fn rank_for_all(&self, vm: &Vm) -> Rank {
        (
            Reverse(self.strength(vm)),
            membership::rendezvous_score(vm.as_str()),
        )
    }

    /// The VMs that watch for all.
    pub(crate) fn watchers(&self) -> Vec<&Vm> {
        self.first_vms(WATCHERS, |vm| self.rank_for_all(vm))
    }

    /// Whether this VM is one of those that watch for all.
    pub(crate) fn watches(&self) -> bool {
        self.watchers().contains(&&self.settings.vm)
    }

    /// The VM that tells this VM's availability zone, of those that will do.
    pub(crate) fn relay(&self, will_do: impl Fn(&Vm) -> bool) -> &Vm {
        let zone = &self.settings.zone;
        let peers = self
            .peers()
            .filter(|vm| self.membership.zone(vm) == Some(zone) && will_do(vm));
        let vms = peers.chain([&self.settings.vm]);
        let first = vms.min_by_key(|vm| self.rank_for_all(vm));
        first.unwrap_or(&self.settings.vm)
    }

    /// Whether this VM tells its availability zone.
    fn is_relay(&self) -> bool {
        self.relay(|_| true) == &self.settings.vm
    }

    /// The VMs that tell the other availability zones, as far as this VM reaches them.
    fn relays(&self) -> Vec<&Vm> {
        let mut relays: BTreeMap<&Zone, &Vm> = BTreeMap::new();
        for vm in self.peers().filter(|vm| !self.membership.is_down(vm)) {
            let Some(zone) = self.membership.zone(vm) else {
                continue;
            };
            let relay = relays.entry(zone).or_insert(vm);
            if self.rank_for_all(vm) < self.rank_for_all(relay) {
                *relay = vm;
            }
        }
        relays.remove(&self.settings.zone);
        relays.into_values().collect()
    }

    /// Tells all other VMs what engines hold: those of this VM's availability zone, and one of each other zone for its zone. Bytes
    /// between zones cost the most of what the fleet says to itself; so one message crosses each border for a digest, whatever the number of VMs.
    pub(crate) fn broadcast_residents(
        &self,
        service: &Service,
        fence: u64,
        residents: Vec<EngineResidents>,
        out: &mut Effects,
    ) {
        self.tell_zone(service, fence, &residents, out);
        let told = Message::ResidentAdapters(service.clone(), fence, residents);
        for vm in self.relays() {
            self.send(vm, told.clone(), out);
        }
    }

    /// Passes what the scheduler told of engines on, where this VM tells its availability zone.
    pub(crate) fn relay_residents(
        &self,
        service: &Service,
        fence: u64,
        residents: &[EngineResidents],
        out: &mut Effects,
    ) {
        if self.is_relay() {
            self.tell_zone(service, fence, residents, out);
        }
    }

    fn tell_zone(
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
