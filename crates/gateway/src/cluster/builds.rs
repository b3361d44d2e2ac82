//! Builds of servers whose entries this VM has from other VMs.
//!
//! The encoding of an entry between VMs leaves the build out. A VM that follows another one asks that VM for the builds that
//! it lacks, once for each start of a server. Until it knows one, it continues no stream at that server, and a stream that begins
//! there can't be continued.

use std::sync::Arc;

use dahliastile_core::id::{Build, Incarnation, Server, Vm};
use dahliastile_core::time::{Instant, Span};

use crate::cluster::snapshot::{Backend, KnownBuild};
use crate::effect::Effects;
use crate::message::Message;
use crate::node::Gateway;

/// Minimum time between two requests for builds: the other VM may have to ask in turn.
const REQUEST_INTERVAL: Span = Span::from_millis(100);

/// Upper bound on the servers in one message.
const MAX_SERVERS: usize = 512;

/// What this VM has asked others about builds.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// When the next request may be sent.
    next_request: Instant,
}

impl Gateway {
    /// Returns a server's entry with the build that is known of the same start of the server, if the entry lacks it.
    pub(crate) fn with_known_build(&self, server: &Server, backend: &Arc<Backend>) -> Arc<Backend> {
        let known = self.servers.get(server).map(|state| &state.backend);
        let known = known.filter(|known| known.start == backend.start && known.build.0.is_some());
        match known {
            Some(known) if backend.build.0.is_none() => Arc::new(Backend {
                build: known.build.clone(),
                ..(**backend).clone()
            }),
            _ => backend.clone(),
        }
    }

    /// Asks the VM that sent entries for the builds of servers that this VM lacks.
    pub(crate) fn request_builds(&mut self, from: &Vm, out: &mut Effects) {
        if self.now < self.builds.next_request {
            return;
        }
        let servers = self.servers.iter();
        let lacking = servers.filter(|(_, state)| state.backend.build.0.is_none());
        let lacking: Vec<Server> = lacking
            .map(|(server, _)| server.clone())
            .take(MAX_SERVERS)
            .collect();
        if !lacking.is_empty() {
            self.builds.next_request = self.now + REQUEST_INTERVAL;
            self.send(from, Message::BuildRequest(lacking), out);
        }
    }

    /// Answers with the builds that this VM knows.
    pub(crate) fn handle_build_request(
        &mut self,
        from: &Vm,
        servers: &[Server],
        out: &mut Effects,
    ) {
        let known = servers.iter().take(MAX_SERVERS).filter_map(|server| {
            let backend = &self.servers.get(server)?.backend;
            Some((server.clone(), backend.start, backend.build.0.clone()?))
        });
        let known: Vec<_> = known.collect();
        if !known.is_empty() {
            self.send(from, Message::Builds(known), out);
        }
    }

    /// Records the builds that another VM knows, each of the start of a server that it names.
    pub(crate) fn handle_builds(
        &mut self,
        builds: Vec<(Server, Option<Incarnation>, Build)>,
        out: &mut Effects,
    ) {
        for (server, start, build) in builds {
            let Some(state) = self.servers.get_mut(&server) else {
                continue;
            };
            if state.backend.start != start || state.backend.build.0.is_some() {
                continue;
            }
            let backend = Arc::new(Backend {
                build: KnownBuild(Some(build)),
                ..(*state.backend).clone()
            });
            state.backend = backend.clone();
            self.update_scheduler_server(&server, &backend);
            self.record_build(&server, out);
        }
        self.place_awaiting_build(out);
    }
}
