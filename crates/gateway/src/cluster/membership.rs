//! The other entry VMs: where they are, and whether they are there.
//!
//! A VM's entry in the key-value service may be taken away while the VM lives, where the service turns it away, and stays for
//! seconds where the VM has ended. So an address is kept, and a VM counts as gone when its link is down and either its entry is
//! gone or no link to it can be made for a while.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use dahliastile_core::id::{Vm, Zone};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHasher;

use crate::cluster::snapshot::Member;
use crate::event::LinkFault;

/// How long a VM without an entry is still spoken to after it was last heard.
const KEPT: Span = Span::from_secs(10);

/// How long no link to a VM can be made before it counts as gone: two tries and some. Only what it asked of this VM ends with
/// that, and it says all of it anew when it is heard again.
const UNREACHABLE: Span = Span::from_millis(600);

/// How long a VM that is gone is still counted among those that were there lately: it may only be cut off, and go on with what it
/// has for as long.
const LATELY: Span = Span::from_secs(60);

/// One VM.
#[derive(Clone, Debug)]
struct Row {
    /// Where it is.
    address: SocketAddr,
    /// Its availability zone.
    zone: Zone,
    /// How much it can do for others.
    strength: u32,
    /// Whether it has an entry in the key-value service.
    listed: bool,
    /// When its entry last went.
    unlisted: Instant,
    /// When it was last heard.
    heard: Instant,
    /// When its link first failed since then.
    down: Option<Instant>,
}

/// The other VMs.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    /// By name.
    rows: BTreeMap<Vm, Row>,
    /// When an entry last went; none where none ever did.
    left: Option<Instant>,
}

impl Membership {
    /// A VM has an entry.
    pub(crate) fn listed(&mut self, vm: &Vm, member: &Member) {
        let row = self.row(vm, member);
        row.listed = true;
        row.down = None;
    }

    /// When an entry of another VM last went; none where none ever did.
    pub(crate) fn left(&self) -> Option<Instant> {
        self.left
    }

    /// A VM's entry is gone. Says whether the VM counts as gone.
    pub(crate) fn unlisted(&mut self, vm: &Vm, now: Instant) -> bool {
        self.left = Some(now);
        self.rows.get_mut(vm).is_none_or(|row| {
            row.listed = false;
            row.unlisted = now;
            row.down.is_some()
        })
    }

    /// A VM says where it is.
    pub(crate) fn record_member(&mut self, vm: &Vm, member: &Member) {
        self.row(vm, member);
    }

    /// A VM was heard.
    pub(crate) fn record_heard(&mut self, vm: &Vm, now: Instant) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.heard = now;
            row.down = None;
        }
    }

    /// The link to an address failed. The VM there, and whether it counts as gone.
    pub(crate) fn record_link_failure(
        &mut self,
        address: SocketAddr,
        fault: LinkFault,
        now: Instant,
    ) -> Option<(Vm, bool)> {
        let mut rows = self.rows.iter_mut();
        let (vm, row) = rows.find(|(_, row)| row.address == address)?;
        let since = *row.down.get_or_insert(now);
        let refused = fault == LinkFault::Unreachable && now.since(since) >= UNREACHABLE;
        Some((vm.clone(), !row.listed || refused))
    }

    /// Where a VM is.
    pub(crate) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.rows.get(vm).map(|row| row.address)
    }

    /// How much a VM can do for others, 0 where it is not known.
    pub(crate) fn strength(&self, vm: &Vm) -> u32 {
        self.rows.get(vm).map_or(0, |row| row.strength)
    }

    /// The availability zone of a VM.
    pub(crate) fn zone(&self, vm: &Vm) -> Option<&Zone> {
        self.rows.get(vm).map(|row| &row.zone)
    }

    /// Whether a VM was heard since a time, and its link has not failed since.
    pub(crate) fn is_heard(&self, vm: &Vm, since: Instant) -> bool {
        let row = self.rows.get(vm);
        row.is_some_and(|row| row.heard >= since && row.down.is_none())
    }

    /// Whether this VM's link to another one has failed since that one was last heard.
    pub(crate) fn is_down(&self, vm: &Vm) -> bool {
        self.rows.get(vm).is_some_and(|row| row.down.is_some())
    }

    /// The VMs that are there.
    pub(crate) fn present(&self, now: Instant) -> impl Iterator<Item = &Vm> {
        let there =
            move |row: &Row| row.listed || row.down.is_none() && now.since(row.heard) < KEPT;
        self.rows
            .iter()
            .filter(move |(_, row)| there(row))
            .map(|(vm, _)| vm)
    }

    /// How many VMs are there, or were until a while ago, besides one.
    pub(crate) fn recent_count(&self, now: Instant, besides: &Vm) -> usize {
        let there = |row: &Row| {
            let seen = row.unlisted.max(row.heard);
            row.listed || seen > Instant::default() && now.since(seen) < LATELY
        };
        let others = self.rows.iter().filter(|(vm, _)| *vm != besides);
        others.filter(|(_, row)| there(row)).count()
    }

    fn row(&mut self, vm: &Vm, member: &Member) -> &mut Row {
        let row = self.rows.entry(vm.clone()).or_insert(Row {
            address: member.address,
            zone: member.zone.clone(),
            strength: member.strength,
            listed: false,
            unlisted: Instant::default(),
            heard: Instant::default(),
            down: None,
        });
        row.address = member.address;
        row.strength = member.strength;
        row
    }
}

/// The score of a choice by rendezvous hashing: the same on every VM.
pub(crate) fn rendezvous_score<T: Hash + ?Sized>(choice: &T) -> u64 {
    let mut hasher = FxHasher::default();
    choice.hash(&mut hasher);
    hasher.finish()
}
