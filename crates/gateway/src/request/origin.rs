//! Where streams began: the service and the build of its servers' software that made the first event.
//!
//! What two builds write does not fit together, and servers don't check what they are asked to continue. So a stream goes on
//! only at a server of the build that began it, or nowhere:
//! * Within one answer this VM knows the build, as it sent the attempt whose first event it passed on.
//! * The scheduler is told the build with the request, and chooses among the engines of that build. A VM that chooses by
//!   itself does the same.
//! * The VM that sends a request checks last, by the entry of the server.

use std::collections::BTreeSet;

use dahliastile_core::id::{Build, Server, Service};
use serde::{Deserialize, Serialize};

use crate::config::RouteKind;
use crate::event::RequestId;
use crate::message::Binding;
use crate::node::Gateway;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: Service,
    /// The build of the server that made the first event.
    pub build: Build,
}

impl Gateway {
    /// Records what began the stream of a request, the first event of which has been passed on: the build of the present
    /// server, unless the server has started anew since the attempt was sent.
    pub(crate) fn record_origin(&mut self, request: RequestId) {
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        let (Some(sent), Some(server)) = (&state.backend, state.server()) else {
            return;
        };
        let now = self.servers.get(server).map(|state| &state.backend);
        let build = match now {
            Some(now) if now.start == sent.start => &now.build,
            _ => &sent.build,
        };
        if state.route.kind == RouteKind::Resumable && state.origin.is_none() {
            let service = state.service.clone();
            let build = build.0.clone();
            state.origin = build.map(|build| Origin { service, build });
        }
    }

    /// Returns the builds whose servers may run a request: any, if all servers of its service are of the one build that
    /// began its stream.
    pub(crate) fn binding(&self, request: RequestId) -> Binding {
        let Some(origin) = self.in_flight.get(&request).and_then(|s| s.origin.as_ref()) else {
            return Binding::Any;
        };
        let binding = Binding::Continues(origin.build.clone());
        let servers = self.servers.values().map(|state| &state.backend);
        let mut servers = servers.filter(|backend| backend.service == origin.service);
        if servers.all(|backend| binding.allows(&backend.build)) {
            return Binding::Any;
        }
        binding
    }

    /// Returns whether a request may run at a server, by the build in the server's entry.
    pub(crate) fn is_allowed_at(&self, request: RequestId, server: &Server) -> bool {
        let state = self.servers.get(server);
        state.is_some_and(|state| self.binding(request).allows(&state.backend.build))
    }

    /// Returns the servers at which a request may run; `None` if it may run at all of its service.
    pub(crate) fn allowed_servers(&self, request: RequestId) -> Option<BTreeSet<Server>> {
        let binding = self.binding(request);
        if binding == Binding::Any {
            return None;
        }
        let servers = self.servers.iter();
        let allowed = servers.filter(|(_, state)| binding.allows(&state.backend.build));
        Some(allowed.map(|(server, _)| server.clone()).collect())
    }

    /// Returns whether a request continues a stream that no server of its service can continue any more.
    pub(crate) fn has_no_build_left(&self, request: RequestId) -> bool {
        let Some(state) = self.in_flight.get(&request) else {
            return false;
        };
        let is_left = |server: &Server| {
            let server_state = self.servers.get(server);
            server_state.is_some_and(|s| s.backend.ready && s.backend.service == state.service)
        };
        let allowed = self.allowed_servers(request);
        allowed.is_some_and(|allowed| !allowed.iter().any(is_left))
    }
}
