//! The queue of requests that arrive before this VM knows a configuration.
//!
//! The platform keeps sending requests to a process that restarts, and the process knows the configuration only after
//! its first call of the key-value service, some 30 ms later. Requests are held until then, so that a restart of all
//! VMs refuses no request that could be served. If no configuration arrives within 300 ms, the held requests are
//! refused, and later requests are refused on arrival.

use std::collections::BTreeMap;

use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::{Effects, Refusal, RefusalReason};
use crate::event::{CallerRequest, RequestId};
use crate::node::Gateway;
use crate::request::proof::Proof;
use crate::request::state::refuse;
use crate::timer::Timer;

/// How long after its start a VM holds requests while it knows no configuration.
const MAX_HOLD: Span = Span::from_millis(300);

/// The time after which callers may retry a request that was refused because the VM knows no configuration.
const RETRY_AFTER: Span = Span::from_millis(500);

/// The requests that are held until a configuration is known.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The time until which requests are held.
    held_until: Instant,
    /// The held requests with their arrival times.
    requests: BTreeMap<RequestId, (Instant, CallerRequest)>,
}

impl State {
    /// Returns the number of held requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes a request whose caller has left. Returns the arrival time and the request, or `None` if the request was
    /// not held.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<(Instant, CallerRequest)> {
        self.requests.remove(&request)
    }
}

impl Gateway {
    /// Starts holding requests, for [`MAX_HOLD`].
    pub(crate) fn start_startup_queue(&mut self) {
        self.startup_queue.held_until = self.now + MAX_HOLD;
        self.timers
            .set(self.startup_queue.held_until, Timer::StartupQueue);
    }

    /// Holds a request that arrived while no configuration is known, or refuses it if the holding time is over.
    pub(crate) fn queue_at_startup(
        &mut self,
        request: RequestId,
        caller_request: CallerRequest,
        out: &mut Effects,
    ) {
        if self.now < self.startup_queue.held_until {
            self.startup_queue
                .requests
                .insert(request, (self.now, caller_request));
        } else {
            Self::refuse_unconfigured(request, &caller_request, out);
        }
    }

    /// Admits the held requests once a configuration is known. Called after each event is handled: the list of entries
    /// with the configuration also has those of the servers, so these are known by then.
    pub(crate) fn release_startup_queue(&mut self, out: &mut Effects) {
        if self.config.is_none() || self.startup_queue.requests.is_empty() {
            return;
        }
        for (request, (arrived, caller_request)) in std::mem::take(&mut self.startup_queue.requests)
        {
            self.admit(request, caller_request, arrived, out);
        }
    }

    /// Refuses the held requests when the holding time is over.
    pub(crate) fn handle_startup_queue_timer(&mut self, out: &mut Effects) {
        if self.now < self.startup_queue.held_until {
            return;
        }
        for (request, (_, caller_request)) in std::mem::take(&mut self.startup_queue.requests) {
            Self::refuse_unconfigured(request, &caller_request, out);
        }
    }

    fn refuse_unconfigured(request: RequestId, caller_request: &CallerRequest, out: &mut Effects) {
        Self::log(
            out,
            Code::Refused,
            format!("id={} why=no_config", caller_request.id),
        );
        let reason = RefusalReason::NoConfig;
        let refusal = Refusal::new(reason, Some(Proof::UNADMITTED), Some(RETRY_AFTER));
        out.push(refuse(request, refusal));
    }
}
