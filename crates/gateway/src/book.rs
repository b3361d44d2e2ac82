//! The other entry VMs: where they are, and whether they are there.
//!
//! A VM's entry in the key-value service may be taken away while the VM lives, where the service turns it away. So an
//! address is kept, and a VM counts as gone only when its entry is gone and its link is down.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHasher;

use crate::fact::Member;

/// How long a VM without an entry is still spoken to after it was last heard.
const KEPT: Span = Span::from_secs(10);

/// One VM.
#[derive(Clone, Debug)]
struct Row {
    /// Where it is.
    address: SocketAddr,
    /// How much it can do for others.
    strength: u32,
    /// Whether it has an entry in the key-value service.
    listed: bool,
    /// When it was last heard.
    heard: Instant,
    /// Whether its link broke since then.
    down: bool,
}

/// The other VMs.
#[derive(Debug, Default)]
pub(crate) struct Book {
    /// By name.
    rows: BTreeMap<Vm, Row>,
}

impl Book {
    /// A VM has an entry.
    pub(crate) fn listed(&mut self, vm: &Vm, member: &Member) {
        let row = self.row(vm, member);
        row.listed = true;
        row.down = false;
    }

    /// A VM's entry is gone. Says whether the VM counts as gone.
    pub(crate) fn unlisted(&mut self, vm: &Vm) -> bool {
        self.rows.get_mut(vm).is_none_or(|row| {
            row.listed = false;
            row.down
        })
    }

    /// A VM says where it is.
    pub(crate) fn introduced(&mut self, vm: &Vm, member: &Member) {
        self.row(vm, member);
    }

    /// A VM was heard.
    pub(crate) fn heard(&mut self, vm: &Vm, now: Instant) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.heard = now;
            row.down = false;
        }
    }

    /// The link to an address broke. The VM there, and whether it counts as gone.
    pub(crate) fn down(&mut self, address: SocketAddr) -> Option<(Vm, bool)> {
        let (vm, row) = self
            .rows
            .iter_mut()
            .find(|(_, row)| row.address == address)?;
        row.down = true;
        Some((vm.clone(), !row.listed))
    }

    /// Where a VM is.
    pub(crate) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.rows.get(vm).map(|row| row.address)
    }

    /// How much a VM can do for others, 0 where it is not known.
    pub(crate) fn strength(&self, vm: &Vm) -> u32 {
        self.rows.get(vm).map_or(0, |row| row.strength)
    }

    /// The VMs that are there.
    pub(crate) fn present(&self, now: Instant) -> impl Iterator<Item = &Vm> {
        let there = move |row: &Row| row.listed || !row.down && now.since(row.heard) < KEPT;
        self.rows
            .iter()
            .filter(move |(_, row)| there(row))
            .map(|(vm, _)| vm)
    }

    fn row(&mut self, vm: &Vm, member: &Member) -> &mut Row {
        let row = self.rows.entry(vm.clone()).or_insert(Row {
            address: member.address,
            strength: member.strength,
            listed: false,
            heard: Instant::default(),
            down: false,
        });
        row.address = member.address;
        row.strength = member.strength;
        row
    }
}

/// The score of a choice by rendezvous hashing: the same on every VM.
pub(crate) fn score<T: Hash + ?Sized>(choice: &T) -> u64 {
    let mut hasher = FxHasher::default();
    choice.hash(&mut hasher);
    hasher.finish()
}
