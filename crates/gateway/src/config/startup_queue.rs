//! Requests that come before this VM knows a configuration.
//!
//! A process that starts again finds callers waiting: the platform goes on sending them to it, and what is to be in force is
//! there a call of the key-value service later, some 30 ms. Until then they are held, so that a restart of all VMs refuses
//! nobody who could be served. Where the configuration does not come soon they are refused together, and later ones at once.

use std::collections::BTreeMap;

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::{Effects, RefusalReason};
use crate::event::{CallerRequest, RequestId};
use crate::node::Gateway;
use crate::request::state::refusal;
use crate::timer::Timer;

/// How long after its start a VM holds requests.
const HELD: Span = Span::from_millis(300);

/// When a caller may come back to a VM that knows no configuration.
const COME_BACK: Span = Span::from_millis(500);

/// The requests that are held.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Until when requests are held.
    until: Instant,
    /// The requests, each with when it came.
    calls: BTreeMap<RequestId, (Instant, CallerRequest)>,
}

impl State {
    /// How many requests are held.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// The caller of a request is gone. Gives what it had asked, if that was held.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<(Instant, CallerRequest)> {
        self.calls.remove(&request)
    }
}

impl Gateway {
    pub(crate) fn startup_queue_start(&mut self) {
        self.startup_queue.until = self.now + HELD;
        self.timers
            .set(self.startup_queue.until, Timer::StartupQueue);
    }

    /// A request came, and no configuration is known.
    pub(crate) fn queue_at_startup(
        &mut self,
        request: RequestId,
        call: CallerRequest,
        out: &mut Effects,
    ) {
        if self.now < self.startup_queue.until {
            self.startup_queue.calls.insert(request, (self.now, call));
        } else {
            Self::refuse_unconfigured(request, &call, out);
        }
    }

    /// Goes on with the requests that are held, once a configuration is known and the servers that came with it.
    pub(crate) fn release_startup_queue(&mut self, out: &mut Effects) {
        if self.config.is_none() || self.startup_queue.calls.is_empty() {
            return;
        }
        for (request, (at, call)) in std::mem::take(&mut self.startup_queue.calls) {
            self.admit(request, call, at, out);
        }
    }

    /// The time is over for which requests are held.
    pub(crate) fn handle_startup_queue_timer(&mut self, out: &mut Effects) {
        if self.now < self.startup_queue.until {
            return;
        }
        for (request, (_, call)) in std::mem::take(&mut self.startup_queue.calls) {
            Self::refuse_unconfigured(request, &call, out);
        }
    }

    fn refuse_unconfigured(request: RequestId, call: &CallerRequest, out: &mut Effects) {
        Self::log(out, Code::Refused, format!("id={} why=no_config", call.id));
        out.push(refusal(request, RefusalReason::NoConfig, Some(COME_BACK)));
    }
}
