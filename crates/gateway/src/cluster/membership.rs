//! The other entry VMs: their addresses, and whether they are alive.
//!
//! The entry of a live VM may disappear from the key-value service, if the service refuses its calls, and the
//! entry of a VM that has ended remains for seconds. So addresses are kept, and a VM counts as gone when its
//! link (this VM's connection to it) is down and either its entry is gone or connections to it have failed for
//! [`UNREACHABLE_TIMEOUT`].

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use dahliastile_core::id::{Vm, Zone};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHasher;

use crate::cluster::snapshot::Member;
use crate::event::LinkFault;

/// How long a VM without an entry counts as alive after its last message.
const UNLISTED_TIMEOUT: Span = Span::from_secs(10);

/// How long connections to a VM must fail before it counts as gone: two attempts and some margin. If it was
/// alive after all, only its requests to this VM are lost, and it repeats all of them when it is heard again.
const UNREACHABLE_TIMEOUT: Span = Span::from_millis(600);

/// How long a VM that is gone counts as recent: it may merely be cut off, and keep using its share of the account
/// limits for as long.
const RECENT_WINDOW: Span = Span::from_secs(60);

/// What is known of one VM.
#[derive(Clone, Debug)]
struct Peer {
    /// The VM's address.
    address: SocketAddr,
    /// Its availability zone.
    zone: Zone,
    /// Its capacity to do work for other VMs; higher is stronger.
    strength: u32,
    /// Whether it has an entry in the key-value service.
    is_listed: bool,
    /// When its entry last disappeared.
    unlisted_at: Instant,
    /// When its last message arrived.
    heard_at: Instant,
    /// When its link first failed after its last message; none if the link has not failed since.
    down_since: Option<Instant>,
}

/// The other VMs.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    /// What is known of each VM, by name.
    peers: BTreeMap<Vm, Peer>,
    /// When the entry of a VM last disappeared; none if none has.
    last_unlisted: Option<Instant>,
}

impl Membership {
    /// Records that a VM has an entry.
    pub(crate) fn record_listed(&mut self, vm: &Vm, member: &Member) {
        let peer = self.peer_mut(vm, member);
        peer.is_listed = true;
        peer.down_since = None;
    }

    /// Returns when the entry of another VM last disappeared; none if none has.
    pub(crate) fn last_unlisted(&self) -> Option<Instant> {
        self.last_unlisted
    }

    /// Records that a VM's entry is gone. Returns whether the VM counts as gone.
    pub(crate) fn record_unlisted(&mut self, vm: &Vm, now: Instant) -> bool {
        self.last_unlisted = Some(now);
        self.peers.get_mut(vm).is_none_or(|peer| {
            peer.is_listed = false;
            peer.unlisted_at = now;
            peer.down_since.is_some()
        })
    }

    /// Records the address that a VM reported in a message.
    pub(crate) fn record_member(&mut self, vm: &Vm, member: &Member) {
        self.peer_mut(vm, member);
    }

    /// Records that a message of a VM arrived.
    pub(crate) fn record_heard(&mut self, vm: &Vm, now: Instant) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.heard_at = now;
            peer.down_since = None;
        }
    }

    /// Records that the link to an address failed. Returns the VM of that address, and whether the VM counts as
    /// gone.
    pub(crate) fn record_link_failure(
        &mut self,
        address: SocketAddr,
        fault: LinkFault,
        now: Instant,
    ) -> Option<(Vm, bool)> {
        let mut peers = self.peers.iter_mut();
        let (vm, peer) = peers.find(|(_, peer)| peer.address == address)?;
        let since = *peer.down_since.get_or_insert(now);
        let is_unreachable =
            fault == LinkFault::Unreachable && now.since(since) >= UNREACHABLE_TIMEOUT;
        Some((vm.clone(), !peer.is_listed || is_unreachable))
    }

    /// Returns the address of a VM.
    pub(crate) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.address)
    }

    /// Returns the strength of a VM, 0 if the VM is not known.
    pub(crate) fn strength(&self, vm: &Vm) -> u32 {
        self.peers.get(vm).map_or(0, |peer| peer.strength)
    }

    /// Returns the availability zone of a VM.
    pub(crate) fn zone(&self, vm: &Vm) -> Option<&Zone> {
        self.peers.get(vm).map(|peer| &peer.zone)
    }

    /// Whether a VM was heard since a time, and its link has not failed since.
    pub(crate) fn is_heard(&self, vm: &Vm, since: Instant) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| peer.heard_at >= since && peer.down_since.is_none())
    }

    /// Whether the link to a VM has failed since the VM was last heard.
    pub(crate) fn is_down(&self, vm: &Vm) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.down_since.is_some())
    }

    /// Returns the VMs that count as alive.
    pub(crate) fn live_vms(&self, now: Instant) -> impl Iterator<Item = &Vm> {
        let is_alive = move |peer: &Peer| {
            peer.is_listed
                || peer.down_since.is_none() && now.since(peer.heard_at) < UNLISTED_TIMEOUT
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_alive(peer))
            .map(|(vm, _)| vm)
    }

    /// Returns the number of VMs that are alive or were so within [`RECENT_WINDOW`], without counting `except`.
    pub(crate) fn recent_count(&self, now: Instant, except: &Vm) -> usize {
        self.recent_vms(now, except).count()
    }

    /// Returns the VMs that are alive or were so within [`RECENT_WINDOW`], without `except`.
    pub(crate) fn recent_vms<'a>(
        &'a self,
        now: Instant,
        except: &'a Vm,
    ) -> impl Iterator<Item = &'a Vm> {
        let is_recent = move |peer: &Peer| {
            let seen = peer.unlisted_at.max(peer.heard_at);
            peer.is_listed || seen > Instant::default() && now.since(seen) < RECENT_WINDOW
        };
        let others = self.peers.iter().filter(move |(vm, _)| *vm != except);
        let recent = others.filter(move |(_, peer)| is_recent(peer));
        recent.map(|(vm, _)| vm)
    }

    fn peer_mut(&mut self, vm: &Vm, member: &Member) -> &mut Peer {
        let peer = self.peers.entry(vm.clone()).or_insert(Peer {
            address: member.address,
            zone: member.zone.clone(),
            strength: member.strength,
            is_listed: false,
            unlisted_at: Instant::default(),
            heard_at: Instant::default(),
            down_since: None,
        });
        peer.address = member.address;
        peer.strength = member.strength;
        peer
    }
}

/// Returns the score of a choice in rendezvous hashing; the lowest score wins. Every VM computes the same
/// score.
pub(crate) fn rendezvous_score<T: Hash + ?Sized>(choice: &T) -> u64 {
    let mut hasher = FxHasher::default();
    choice.hash(&mut hasher);
    hasher.finish()
}
