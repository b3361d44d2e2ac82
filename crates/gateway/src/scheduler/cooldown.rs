//! Engines that turn requests away and ask for rest.
//!
//! The VM that was asked sends the engine nothing until the time is over. The others don't wait that long, since the engine may have asked
//! one VM only, but they go there one at a time, at growing intervals, until a request begins.

use std::collections::BTreeMap;

use dahliastile_core::id::Vm;
use dahliastile_core::time::{Instant, Span};

/// How long after it has first turned a request away an engine is tried again; twice as long each time, and at most as long as it asked for.
const FIRST_PAUSE: Span = Span::from_millis(100);

/// How often that pause is doubled at most.
const DOUBLINGS: u32 = 6;

/// How long a request that tries an engine has to begin before another one does.
const TRIAL: Span = Span::from_secs(1);

/// The rest that one engine asked for.
#[derive(Debug, Default)]
pub(crate) struct Cooldown {
    /// Until when each VM sends it nothing.
    vms: BTreeMap<Vm, Instant>,
    /// How often in a row it has turned one away that tried it.
    turned_away: u32,
    /// From when on one may try it again.
    next: Instant,
    /// Whether one tries it.
    tried: bool,
}

impl Cooldown {
    /// The engine has turned a request of a VM away.
    pub(crate) fn ask(&mut self, now: Instant, vm: &Vm, span: Span) {
        let until = self.vms.entry(vm.clone()).or_default();
        *until = now.max(*until).max(now + span);
        // Requests that were on their way together tell the same thing.
        if self.turned_away > 0 && !self.tried {
            return;
        }
        let pause = FIRST_PAUSE.times(1 << self.turned_away.min(DOUBLINGS));
        self.turned_away += 1;
        self.next = now + pause.min(span);
        self.tried = false;
    }

    /// A request is given to the engine.
    pub(crate) fn give(&mut self, now: Instant) {
        if self.turned_away > 0 {
            self.tried = true;
            self.next = now + TRIAL;
        }
    }

    /// A request has begun there.
    pub(crate) fn begin(&mut self) {
        self.turned_away = 0;
        self.tried = false;
    }

    /// Whether it turns requests away, as far as is known.
    pub(crate) fn turns_away(&self) -> bool {
        self.turned_away > 0
    }

    /// Whether a VM may send it something.
    pub(crate) fn allows(&self, now: Instant, vm: &Vm) -> bool {
        self.ends(vm) <= now
    }

    /// From when on a VM may send it something.
    pub(crate) fn ends(&self, vm: &Vm) -> Instant {
        let cooldown = self.vms.get(vm).copied().unwrap_or_default();
        if self.turned_away > 0 {
            cooldown.max(self.next)
        } else {
            cooldown
        }
    }

    /// Whether it has asked a VM for a rest that is not over.
    pub(crate) fn is_asked(&self, now: Instant) -> bool {
        self.turned_away > 0 || self.vms.values().any(|until| *until > now)
    }

    /// Forgets the VMs whose rest is over.
    pub(crate) fn forget_ended(&mut self, now: Instant) {
        self.vms.retain(|_, until| *until > now);
    }
}
