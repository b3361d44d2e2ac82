//! Servers as this VM sees them, and the choice of a server for requests that no scheduler places.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Zone};
use dahliastile_core::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::cluster::snapshot::Backend;
use crate::feature::{DisabledFeatures, Feature};
use crate::node::Gateway;
use crate::request::health::Health;
use crate::settings::Settings;

/// Load, in requests per batch slot, by which a server in this VM's availability zone may exceed a server in
/// another zone and still be chosen. Traffic between zones is billed, and a queue of one request costs about
/// as much time as sending the request to the other zone.
const CROSS_ZONE_COST: f64 = 0.35;

/// Upper bound of the random part of a server's cost, which keeps VMs from all choosing the same of several
/// nearly equal servers.
const MAX_RANDOM_COST: f64 = 0.1;

/// Cost of a deprioritized server: more than any load.
const DEPRIORITIZED_COST: f64 = 1_000.0;

/// A server as this VM sees it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// The server's entry in the key-value service.
    pub(crate) backend: Arc<Backend>,
    /// Number of this VM's open requests at the server.
    pub(crate) open: u32,
    /// Health of the server, derived from the answers to this VM's requests.
    pub(crate) health: Health,
}

impl ServerState {
    pub(crate) fn new(backend: Arc<Backend>) -> Self {
        Self {
            backend,
            open: 0,
            health: Health::default(),
        }
    }

    /// Replaces the server's entry. Resets its health if the server has restarted, and returns whether it
    /// has.
    pub(crate) fn update_backend(&mut self, backend: &Arc<Backend>) -> bool {
        let restarted = self.backend.start != backend.start;
        if restarted {
            self.health = Health::default();
        }
        self.backend = backend.clone();
        restarted
    }

    /// Returns the cost of sending a request to this server, for comparison within its service: load,
    /// distance and failures.
    fn cost(&self, zone: &Zone, now: Instant, without: DisabledFeatures) -> f64 {
        let slots = f64::from(self.backend.slots.max(1));
        let load = f64::from(self.open) / slots;
        let prefers_own_zone = without.uses(Feature::ZonePreference);
        let distance = if !prefers_own_zone || self.backend.zone == *zone {
            0.0
        } else {
            CROSS_ZONE_COST
        };
        let failure_cost = match without.uses(Feature::HealthRanking) {
            true if self.health.is_deprioritized(now) => {
                DEPRIORITIZED_COST + self.health.failure_rate(now)
            }
            true => self.health.failure_rate(now),
            false => 0.0,
        };
        load + distance + failure_cost
    }
}

impl Gateway {
    /// Chooses a server for a request that no scheduler places, among those to which this VM may send it now. A leaving
    /// server is chosen only if there is no other, and only within the last-resort period after its announcement.
    ///
    /// A server for which this VM issues the permits and has none left is passed over and closed. Each server is
    /// considered once, however many are closed.
    pub(crate) fn choose_server(
        &mut self,
        service: &Service,
        failed: &[Server],
        is_allowed: impl Fn(&Server) -> bool,
    ) -> Option<Server> {
        let (now, last_resort_period) = (self.now, self.last_resort_period());
        let vms = u32::try_from(self.peers().count() + 1).unwrap_or(u32::MAX);
        let is_candidate = |(server, state): &(&Server, &ServerState)| {
            state.backend.service == *service
                && state.backend.ready
                && !failed.contains(server)
                && is_allowed(server)
                && self.notices.is_open(server, now)
                && self
                    .notices
                    .has_room(server, (state.open, state.backend.slots), vms, now)
        };
        let candidates = self.servers.iter().filter(is_candidate);
        let (staying, leaving): (Vec<_>, Vec<_>) =
            candidates.partition(|(server, _)| self.notices.leaving(server).is_none());
        let last_resort = leaving
            .into_iter()
            .filter(|(server, _)| !self.notices.has_left(server, now, last_resort_period));
        let mut without_permit = Vec::new();
        let mut choice = None;
        'choice: for candidates in [staying, last_resort.collect()] {
            let mut ranked = rank(candidates, &self.settings, now, &mut self.rng);
            while let Some(Ranked { server, .. }) = ranked.pop() {
                if !self.lacks_permit(server) {
                    choice = Some(server.clone());
                    break 'choice;
                }
                without_permit.push(server.clone());
            }
        }
        for server in without_permit {
            self.close_without_permit(&server);
        }
        choice
    }
}

/// A server with its cost; the greatest one has the lowest cost.
struct Ranked<'a> {
    /// The cost of sending it a request, with a random part.
    cost: f64,
    /// The server.
    server: &'a Server,
}

impl Ord for Ranked<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.cost.total_cmp(&self.cost)
    }
}

impl PartialOrd for Ranked<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Ranked<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ranked<'_> {}

/// Ranks servers by their cost.
fn rank<'a>(
    servers: Vec<(&'a Server, &'a ServerState)>,
    settings: &Settings,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> BinaryHeap<Ranked<'a>> {
    let ranked = servers.into_iter().map(|(server, state)| Ranked {
        cost: state.cost(&settings.zone, now, settings.without)
            + rng.random_range(0.0..MAX_RANDOM_COST),
        server,
    });
    ranked.collect()
}
