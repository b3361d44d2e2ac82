//! Tracks the cooldowns of one engine: the times for which it rejects requests and asks to be sent nothing.
//!
//! The VM whose request was rejected sends the engine nothing until its cooldown ends. The other VMs do not
//! wait that long, since the engine may have asked only one VM, but they send it one trial request at a time,
//! at growing intervals, until an answer starts.

use std::collections::BTreeMap;

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};

/// Pause between the first rejection and the first trial. It doubles with each further rejection, and is at
/// most as long as the cooldown that the engine asked for.
const FIRST_PAUSE: Span = Span::from_millis(100);

/// Maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Time within which the answer to a trial request must start, after which another trial is sent.
const TRIAL_TIMEOUT: Span = Span::from_secs(1);

/// The cooldowns that one engine asked for.
#[derive(Debug, Default)]
pub(crate) struct Cooldown {
    /// When the cooldown of each VM ends.
    until_by_vm: BTreeMap<Vm, Instant>,
    /// Number of consecutive rejections.
    rejections: u32,
    /// When the next trial request may be sent.
    next_trial: Instant,
    /// Whether a trial request is in flight.
    trial_running: bool,
}

impl Cooldown {
    /// Records that the engine rejected a request of a VM and asked for a cooldown of `span`.
    pub(crate) fn start(&mut self, now: Instant, vm: &Vm, span: Span) {
        let until = self.until_by_vm.entry(vm.clone()).or_default();
        *until = now.max(*until).max(now + span);
        // The rejections of requests that were in flight together count as one.
        if self.rejections > 0 && !self.trial_running {
            return;
        }
        let pause = FIRST_PAUSE.times(1 << self.rejections.min(MAX_DOUBLINGS));
        self.rejections += 1;
        self.next_trial = now + pause.min(span);
        self.trial_running = false;
    }

    /// Records that a request was placed at the engine, which makes it the trial if the engine rejects
    /// requests.
    pub(crate) fn record_dispatch(&mut self, now: Instant) {
        if self.rejections > 0 {
            self.trial_running = true;
            self.next_trial = now + TRIAL_TIMEOUT;
        }
    }

    /// Records that an answer started, so that the engine no longer counts as rejecting.
    pub(crate) fn clear_rejections(&mut self) {
        self.rejections = 0;
        self.trial_running = false;
    }

    /// Returns whether the engine rejects requests, as far as is known.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejections > 0
    }

    /// Returns whether a VM may send the engine a request or an order.
    pub(crate) fn allows(&self, now: Instant, vm: &Vm) -> bool {
        self.ends_at(vm) <= now
    }

    /// Returns when a VM may next send the engine a request or an order.
    pub(crate) fn ends_at(&self, vm: &Vm) -> Instant {
        let cooldown = self.until_by_vm.get(vm).copied().unwrap_or_default();
        if self.rejections > 0 {
            cooldown.max(self.next_trial)
        } else {
            cooldown
        }
    }

    /// Returns whether the engine rejects requests or any VM's cooldown has not ended.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.rejections > 0 || self.until_by_vm.values().any(|until| *until > now)
    }

    /// Removes the cooldowns that have ended.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.until_by_vm.retain(|_, until| *until > now);
    }
}
