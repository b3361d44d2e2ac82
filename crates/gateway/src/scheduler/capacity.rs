//! Where there is room for one more adapter of a base model, and what that costs: looked at once a run for each engine, and
//! again only for engines that a load has changed.
//!
//! Before that each adapter that was waited for looked at all engines, their adapters and what is claimed of them, each run: with
//! 100 engines and a thousand requests a second of which a third can be served, a run took 4.8 ms and a request 1.8 ms of
//! processor time (`crates/gateway/benches/scheduler.rs`), so that a VM of half a core fell behind what it was told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::Scheduler;
use super::engine::Engine;
use super::forecast::reading;
use super::key::Key;
use super::reservations::Claims;
use super::residency::Spread;

/// What an engine gets for a load: two orders and the request that waits for the adapter.
pub(crate) const FOR_A_LOAD: u32 = 3;

/// Room at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    /// The adapter that makes room; none where a place is free.
    pub(crate) victim: Option<Key>,
    /// The time until its prompts are read, those claimed of it included, and the loss of that adapter.
    pub(crate) cost: Span,
}

/// The engines that have room for an adapter of one base model.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    /// By engine.
    by_server: BTreeMap<Server, Room>,
    /// By cost.
    by_cost: BTreeSet<(Span, Server)>,
}

impl Rooms {
    /// The rooms at some engines. Both orders are built at once: engine by engine a run at 3,000 engines took 2.3 ms instead of 1.2 (one run each).
    fn new(rows: Vec<(Server, Room)>) -> Self {
        let by_cost = rows
            .iter()
            .map(|(server, room)| (room.cost, server.clone()));
        Self {
            by_cost: by_cost.collect(),
            by_server: rows.into_iter().collect(),
        }
    }

    /// The room at an engine.
    pub(crate) fn at(&self, server: &Server) -> Option<&Room> {
        self.by_server.get(server)
    }

    /// The engines with room, at the least cost first.
    pub(crate) fn cheapest(&self) -> impl Iterator<Item = (&Server, &Room)> {
        let servers = self.by_cost.iter().map(|(_, server)| server);
        servers.filter_map(|server| Some((server, self.by_server.get(server)?)))
    }

    fn set(&mut self, server: &Server, room: Option<Room>) {
        if let Some(old) = self.by_server.remove(server) {
            self.by_cost.remove(&(old.cost, server.clone()));
        }
        if let Some(room) = room {
            self.by_cost.insert((room.cost, server.clone()));
            self.by_server.insert(server.clone(), room);
        }
    }
}

/// The rooms for each base model of which an adapter is waited for.
#[derive(Debug, Default)]
pub(crate) struct Floor {
    /// By base model.
    models: FxHashMap<Arc<str>, Rooms>,
}

impl Floor {
    /// The rooms for an adapter of a base model, once they were looked at.
    pub(crate) fn of(&self, model: &Arc<str>) -> Option<&Rooms> {
        self.models.get(model)
    }
}

impl Scheduler {
    /// Looks at the rooms for adapters of a base model, unless that was done in this run.
    pub(crate) fn look_for_rooms(
        &self,
        now: Instant,
        model: &Arc<str>,
        claims: &Claims,
        spread: &Spread,
        floor: &mut Floor,
    ) {
        if floor.models.contains_key(model) {
            return;
        }
        let rows = self.engines.iter().filter_map(|(server, engine)| {
            let room = self.room(now, engine, model, claims, spread)?;
            Some((server.clone(), room))
        });
        floor
            .models
            .insert(model.clone(), Rooms::new(rows.collect()));
    }

    /// Looks again at the rooms of some engines.
    pub(crate) fn look_again(
        &self,
        now: Instant,
        servers: &[&Server],
        claims: &Claims,
        spread: &Spread,
        floor: &mut Floor,
    ) {
        for (model, rooms) in &mut floor.models {
            for server in servers {
                let engine = self.engines.get(*server);
                let room = engine.and_then(|e| self.room(now, e, model, claims, spread));
                rooms.set(server, room);
            }
        }
    }

    /// Whether an engine takes orders for adapters of a base model now.
    pub(crate) fn takes_adapters(&self, now: Instant, engine: &Engine, model: &Arc<str>) -> bool {
        engine.usable()
            && engine.may_get(FOR_A_LOAD, now)
            && !engine.cooldown.turns_away()
            && engine.cooldown.allows(now, &self.settings.vm)
            && !engine.last
            && !engine.stuck()
            && engine.coming() < self.settings.tuning.loads_per_server
            && engine.bases.contains(model)
    }

    /// The room at an engine for an adapter that it does not hold.
    fn room(
        &self,
        now: Instant,
        engine: &Engine,
        model: &Arc<str>,
        claims: &Claims,
        spread: &Spread,
    ) -> Option<Room> {
        if !self.takes_adapters(now, engine, model) {
            return None;
        }
        let free = engine.places.len() < self.shape.places && self.fits(engine, model);
        let (victim, loss) = if free {
            (None, Span::ZERO)
        } else {
            let (victim, loss) = self.victim(now, engine, claims, spread)?;
            (Some(victim), loss)
        };
        let cost = busy_for(now, engine, claims, None, spread) + loss;
        Some(Room { victim, cost })
    }

    /// The adapter at an engine that makes room at the least loss, of those that nobody uses or waits for.
    fn victim(
        &self,
        now: Instant,
        engine: &Engine,
        claims: &Claims,
        spread: &Spread,
    ) -> Option<(Key, Span)> {
        let places = engine.places.iter();
        let idle = places.filter(|(key, place)| place.idle() && !claims.claimed(**key));
        let losses = idle.map(|(key, _)| (*key, self.value(now, *key, spread)));
        losses.min_by_key(|(_, loss)| *loss)
    }

    /// Whether an engine's memory has room for one more adapter of a base model.
    fn fits(&self, engine: &Engine, model: &Arc<str>) -> bool {
        let models = &self.shape.models;
        let size = |name: &Arc<str>| models.iter().find(|m| m.name == *name);
        let bases: f64 = engine
            .bases
            .iter()
            .filter_map(size)
            .map(|m| m.size_mb)
            .sum();
        let adapters: f64 = engine
            .places
            .keys()
            .filter_map(|key| size(&self.keys.name(*key).model))
            .map(|m| m.adapter_mb)
            .sum();
        let more = size(model).map_or(0.0, |m| m.adapter_mb);
        bases + adapters + more <= self.shape.memory_mb
    }
}

/// The time until the prompts are read that an engine was given, and those that are claimed of it for adapters other than one.
pub(crate) fn busy_for(
    now: Instant,
    engine: &Engine,
    claims: &Claims,
    except: Option<Key>,
    spread: &Spread,
) -> Span {
    engine.backlog(now) + reading(claims.at(engine, except, spread), engine.rate)
}
