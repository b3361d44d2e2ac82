//! Where each adapter is: one pass over the engines a run, in place of one for each request that waits.

use dahliastile_core::id::Server;
use dahliastile_core::time::Instant;
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::engine::{Engine, Place, Stage};
use super::key::Key;

/// Where one adapter is.
#[derive(Debug, Default)]
pub(crate) struct Spot {
    /// The engines where it is or will be, in any version and stage.
    pub(crate) holders: Vec<Server>,
    /// The engines that take requests and hold it in a version that may be used.
    pub(crate) ready: Vec<Server>,
    /// When it is there next, where it is on its way to an engine that takes requests.
    pub(crate) coming: Option<Instant>,
    /// Whether it is on its way to one, or soon will be.
    pub(crate) moving: bool,
    /// How many engines hold it.
    pub(crate) copies: u32,
    /// Whether any engine has it or gets it in the newest version.
    pub(crate) current: bool,
}

/// Where all adapters are that are anywhere.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// The adapters.
    pub(crate) spots: FxHashMap<Key, Spot>,
}

impl Spread {
    /// Where an adapter is; none where no engine has to do with it.
    pub(crate) fn spot(&self, key: Key) -> Option<&Spot> {
        self.spots.get(&key)
    }

    /// The engines where an adapter is or will be.
    pub(crate) fn holders(&self, key: Key) -> &[Server] {
        self.spot(key).map_or(&[], |spot| &spot.holders)
    }

    /// The engines that take requests and hold an adapter in a version that may be used.
    pub(crate) fn ready(&self, key: Key) -> &[Server] {
        self.spot(key).map_or(&[], |spot| &spot.ready)
    }
}

impl Scheduler {
    /// Looks at where all adapters are.
    pub(crate) fn spread(&self, now: Instant) -> Spread {
        let mut spread = Spread::default();
        for (server, engine) in &self.engines {
            for (key, place) in &engine.places {
                let spot = spread.spots.entry(*key).or_default();
                self.count(now, spot, server, engine, (*key, place));
            }
        }
        spread
    }

    /// Looks again at where one adapter is, now that an engine has to do with it in another way.
    pub(crate) fn look_at(&self, now: Instant, key: Key, changed: &Server, spread: &mut Spread) {
        let old = spread.spots.remove(&key).unwrap_or_default();
        let others = old.holders.iter().filter(|server| *server != changed);
        let mut servers: Vec<&Server> = others.chain([changed]).collect();
        servers.sort_unstable();
        let mut spot = Spot::default();
        for server in servers {
            let engine = self.engines.get(server);
            if let Some((engine, place)) = engine.and_then(|e| Some((e, e.places.get(&key)?))) {
                self.count(now, &mut spot, server, engine, (key, place));
            }
        }
        spread.spots.insert(key, spot);
    }

    fn count(
        &self,
        now: Instant,
        spot: &mut Spot,
        server: &Server,
        engine: &Engine,
        (key, place): (Key, &Place),
    ) {
        spot.holders.push(server.clone());
        let usable = place.version >= self.keys.least(key, now);
        spot.current |= place.version >= self.keys.newest(key);
        spot.copies += u32::from(place.stage == Stage::Ready);
        if !engine.usable() || !engine.may_get(1, now) {
            return;
        }
        match place.stage {
            Stage::Ready if usable => spot.ready.push(server.clone()),
            Stage::Wanted => spot.moving = true,
            Stage::Coming(at) => {
                spot.moving = true;
                spot.coming = Some(spot.coming.map_or(at, |other| other.min(at)));
            }
            Stage::Ready | Stage::Leaving => {}
        }
    }
}
