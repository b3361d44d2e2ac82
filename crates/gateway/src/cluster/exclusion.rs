//! A list of VMs that are excluded from a role for a while, since they failed in it: as upstream (`watch`), or
//! as keeper of the pooled account quotas (`account::quota`).

use dahliastile_core::id::Vm;
use dahliastile_core::time::Instant;

/// The excluded VMs, each with the time at which its exclusion ends.
#[derive(Debug, Default)]
pub(crate) struct Exclusions(Vec<(Vm, Instant)>);

impl Exclusions {
    /// Excludes a VM until a time.
    pub(crate) fn add(&mut self, vm: Vm, now: Instant, until: Instant) {
        self.0.retain(|(_, until)| *until > now);
        self.0.push((vm, until));
    }

    /// Whether a VM is excluded.
    pub(crate) fn contains(&self, vm: &Vm, now: Instant) -> bool {
        let mut exclusions = self.0.iter();
        exclusions.any(|(other, until)| other == vm && now < *until)
    }

    /// Whether no VM is excluded.
    pub(crate) fn is_empty(&self, now: Instant) -> bool {
        self.0.iter().all(|(_, until)| now >= *until)
    }
}
