//! Servers as this VM sees them, and which one a request of a plain service goes to.

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

/// How many requests more a server of the VM's own zone may have than another one before that is taken instead: bytes
/// between zones cost, and a queue of one costs about as much time as the way there.
const ZONE_WORTH: f64 = 0.35;

/// How far two nearly equal servers are told apart by chance, so that all VMs do not choose the same.
const CHANCE: f64 = 0.1;

/// What is added to the load of a server that comes last: more than any load.
const SHUNNED: f64 = 1_000.0;

/// One server as this VM sees it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// How the server describes itself.
    pub(crate) backend: Arc<Backend>,
    /// Requests of this VM there.
    pub(crate) open: u32,
    /// What they say of its health.
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

    /// The server describes itself anew. Says whether it has started again, in which case nothing of its health holds.
    pub(crate) fn update_backend(&mut self, backend: &Arc<Backend>) -> bool {
        let restarted = self.backend.start != backend.start;
        if restarted {
            self.health = Health::default();
        }
        self.backend = backend.clone();
        restarted
    }

    /// The cost of sending a request there, compared with other servers of its service.
    fn cost(&self, zone: &Zone, now: Instant, without: DisabledFeatures) -> f64 {
        let slots = f64::from(self.backend.slots.max(1));
        let load = f64::from(self.open) / slots;
        let zones = without.uses(Feature::ZonePreference);
        let away = if !zones || self.backend.zone == *zone {
            0.0
        } else {
            ZONE_WORTH
        };
        let failing = match without.uses(Feature::HealthRanking) {
            true if self.health.shunned(now) => SHUNNED + self.health.failures(now),
            true => self.health.failures(now),
            false => 0.0,
        };
        load + away + failing
    }
}

impl Gateway {
    /// The server that a request goes to which no scheduler places: one that leaves only where there is no other.
    pub(crate) fn choose_server(
        &mut self,
        service: &Service,
        failed: &[Server],
        fits: impl Fn(&Server) -> bool,
    ) -> Option<Server> {
        let (now, last) = (self.now, self.last_resort_period());
        let of = |(server, row): &(&Server, &ServerState)| {
            row.backend.service == *service && fits(server) && self.notices.open(server, now)
        };
        let rows = self.servers.iter().filter(of);
        let stays = rows
            .clone()
            .filter(|(server, _)| self.notices.leaving(server).is_none());
        let leaves = rows.filter(|(server, _)| !self.notices.has_left(server, now, last));
        let (settings, rng) = (&self.settings, &mut self.rng);
        cheapest(stays, failed, settings, now, rng)
            .or_else(|| cheapest(leaves, failed, settings, now, rng))
    }
}

/// The server that a request goes to: the one that costs least among those that take work and have not failed it.
fn cheapest<'a>(
    rows: impl Iterator<Item = (&'a Server, &'a ServerState)>,
    failed: &[Server],
    settings: &Settings,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> Option<Server> {
    let open = rows.filter(|(server, row)| row.backend.ready && !failed.contains(server));
    let cost = |row: &ServerState| row.cost(&settings.zone, now, settings.without);
    let costs = open.map(|(server, row)| (server, cost(row) + rng.random_range(0.0..CHANCE)));
    let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(server, _)| server.clone())
}
