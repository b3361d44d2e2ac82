//! Which live VM is to hold which domain: rendezvous hashing with a bound on each VM's share, so that domains are
//! spread evenly and few of them move when a VM comes or goes. Every VM with the same view computes the same.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::id;

/// The share of one VM: domains divided by VMs, rounded up.
pub(crate) fn share(domains: usize, vms: usize) -> usize {
    domains.div_ceil(vms.max(1))
}

/// The VM that is to hold each domain. `domains` is in order of name, as is `vms`.
pub(crate) fn targets(domains: &[id::Domain], vms: &[id::Vm]) -> BTreeMap<id::Domain, id::Vm> {
    let share = share(domains.len(), vms.len());
    let mut taken = vec![0_usize; vms.len()];
    let mut targets = BTreeMap::new();
    for domain in domains {
        let best = (0..vms.len())
            .filter(|&index| taken[index] < share)
            .max_by_key(|&index| score(domain, &vms[index]));
        let Some(best) = best else {
            break;
        };
        taken[best] += 1;
        targets.insert(domain.clone(), vms[best].clone());
    }
    targets
}

/// The rendezvous score of two names. The last mix makes up for the weak low bits of the fast hash.
pub(crate) fn score(one: &impl Hash, other: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    one.hash(&mut hasher);
    other.hash(&mut hasher);
    mix(hasher.finish())
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
