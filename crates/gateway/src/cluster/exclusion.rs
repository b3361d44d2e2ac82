//! VMs that did not do what was asked of them, and are not asked again for a while.

use dahliastile_core::id::Vm;
use dahliastile_core::time::Instant;

/// The VMs, each with until when it is passed by.
#[derive(Debug, Default)]
pub(crate) struct Exclusions(Vec<(Vm, Instant)>);

impl Exclusions {
    /// Passes a VM by until a time.
    pub(crate) fn add(&mut self, vm: Vm, now: Instant, until: Instant) {
        self.0.retain(|(_, until)| *until > now);
        self.0.push((vm, until));
    }

    /// Whether a VM is passed by.
    pub(crate) fn contains(&self, vm: &Vm, now: Instant) -> bool {
        let mut rows = self.0.iter();
        rows.any(|(other, until)| other == vm && now < *until)
    }

    /// Whether no VM is.
    pub(crate) fn is_empty(&self, now: Instant) -> bool {
        self.0.iter().all(|(_, until)| now >= *until)
    }
}
