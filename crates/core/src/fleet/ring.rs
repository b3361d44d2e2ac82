//! Which VM a key belongs to, and which VMs are neighbours.
//!
//! Neighbours come from rings: every VM stands on each ring at the place that hashing gives it, and is linked to
//! the next one on either side. A ring over the whole fleet connects it whatever the zones are, and a VM that is
//! linked to its successor is linked from its predecessor, so both the messages sent and those received are bounded.

use crate::id;

/// Rings over the whole fleet have seeds from here on; rings within a zone have seeds below.
const FAR_SEED: u64 = 1 << 32;

/// A VM as the rings see it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point<'a> {
    /// Its name.
    pub(super) vm: &'a id::Vm,
    /// Its availability zone.
    pub(super) zone: &'a id::Zone,
    /// The hash of its name.
    pub(super) hash: u64,
}

/// The neighbours of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Links {
    /// The VMs that it sends heartbeats to.
    pub(super) to: Vec<id::Vm>,
    /// The VMs that send it heartbeats.
    pub(super) from: Vec<id::Vm>,
}

impl Links {
    /// The neighbours of `me` among `points`, which hold it too.
    pub(super) fn find(points: &[Point], me: Point, near: u64, far: u64) -> Self {
        let mut links = Self::default();
        let zone: Vec<Point> = points
            .iter()
            .filter(|point| point.zone == me.zone)
            .copied()
            .collect();
        links.join(&zone, me, 0, near);
        links.join(points, me, FAR_SEED, far);
        links
    }

    /// Takes `count` links from rings over `points`, two from each ring.
    fn join(&mut self, points: &[Point], me: Point, seed: u64, count: u64) {
        for ring in 0..count.div_ceil(2) {
            let Some((before, after)) = beside(points, me, seed + ring) else {
                return;
            };
            insert(&mut self.to, after);
            insert(&mut self.from, before);
            if 2 * ring + 1 < count {
                insert(&mut self.to, before);
                insert(&mut self.from, after);
            }
        }
    }
}

/// The hash of some bytes: the same on every VM and in every release.
pub(super) fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let (word, _) = hash.as_bytes().split_at(8);
    word.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// How much a VM wants a key; the highest gets it.
pub(super) const fn score(vm: u64, key: u64) -> u64 {
    mix(vm ^ mix(key))
}

/// The finaliser of `SplitMix64`, which spreads every bit of its input over the whole word.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

fn insert(list: &mut Vec<id::Vm>, vm: &id::Vm) {
    if !list.contains(vm) {
        list.push(vm.clone());
    }
}

/// The VMs before and after `me` on a ring, or none where it is alone.
fn beside<'a>(points: &[Point<'a>], me: Point, seed: u64) -> Option<(&'a id::Vm, &'a id::Vm)> {
    let own = (score(me.hash, seed), me.vm);
    let places = || {
        points
            .iter()
            .filter(|point| point.vm != me.vm)
            .map(|point| (score(point.hash, seed), point.vm))
    };
    let before = places().filter(|place| *place < own).max();
    let after = places().filter(|place| *place > own).min();
    let (_, before) = before.or_else(|| places().max())?;
    let (_, after) = after.or_else(|| places().min())?;
    Some((before, after))
}
