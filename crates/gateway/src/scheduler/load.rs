//! Which adapter is loaded where, and which one makes room.

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use super::capacity::{Floor, Room, Rooms, busy_for};
use super::engine::{Engine, Intent, Place, Stage, place};
use super::forecast::{For, Wait};
use super::key::Key;
use super::reservations::Claims;
use super::residency::{Spot, Spread};
use super::{Decision, Scheduler};
use crate::feature::Feature;

/// The cost of taking away an adapter that one request asked for a moment ago, as a time: its next request waits for
/// a load.
const VICTIM: Span = Span::from_millis(150);

/// The part of a load's time that an adapter takes that lies beside its engine: the engines' own figure.
const BACK_PART: u64 = 10;

/// What a load from the weight store costs besides its time, as a time: it takes from what all engines share.
const FETCH: Span = Span::from_millis(400);

/// The time until an engine all of whose places are in use has room: eight places that are used for a second each.
pub(crate) const ROOM_SOON: Span = Span::from_millis(120);

/// How long after its arrival a request may wait for room at an engine beside which its adapter lies, though another engine
/// has room. 300 ms would leave time for a load from the weight store within the objective, but room mostly comes sooner.
const PATIENT: Span = Span::from_millis(600);

/// The wait for an adapter's engines from which a further copy is worth a load: with it the first event still comes
/// within the objective.
const COPY_FROM: Span = Span::from_millis(350);

/// The loads under way that the weight store bears however few engines there are: those of the smallest deployments.
const LEAST_LOADS: usize = 8;

/// The demand for an adapter from which its new version is loaded before a request waits for it: one request in the last
/// ten seconds.
const IN_USE: f64 = 0.5;

/// How much of the rate of the weight store is used for base models: a restart of the scheduler forgets what it began.
const RATE_USED: f64 = 0.8;

/// Loads of base models that may begin at once.
const BURST: f64 = 2.0;

/// The rate of loads of base models from the weight store.
#[derive(Clone, Debug)]
pub(crate) struct BaseRate {
    /// Loads a second.
    per_s: f64,
    /// Loads that may begin now.
    saved: f64,
    /// When `saved` was computed.
    at: Instant,
}

impl BaseRate {
    pub(crate) fn new(now: Instant, per_s: f64) -> Self {
        Self {
            per_s: per_s * RATE_USED,
            saved: BURST,
            at: now,
        }
    }

    /// Takes one load, if one may begin.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let earned = now.since(self.at).as_secs_f64() * self.per_s;
        self.saved = (self.saved + earned).min(BURST);
        self.at = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Where an adapter could go.
struct Choice {
    /// The engine.
    server: Server,
    /// The adapter that makes room.
    victim: Option<Key>,
    /// Where it lies beside the engine: how many others were held there since it was.
    depth: Option<usize>,
    /// The cost.
    cost: Span,
}

/// An adapter that is to be loaded.
struct Wanted {
    /// The adapter.
    key: Key,
    /// Where it is there already, the longest wait for it.
    copy: Option<Span>,
    /// Until when it may wait for room at an engine beside which it lies.
    patient: Instant,
}

/// What a choice is made by.
struct Look<'a> {
    /// The time.
    now: Instant,
    /// What requests that wait claim.
    claims: &'a Claims,
    /// Where adapters are.
    spread: &'a Spread,
    /// Where there is room for an adapter of the same base model.
    rooms: &'a Rooms,
}

/// A load at an engine that has room, which takes so long.
fn choice(server: &Server, room: &Room, depth: Option<usize>, load: Span) -> Choice {
    Choice {
        server: server.clone(),
        victim: room.victim,
        depth,
        cost: load + room.cost,
    }
}

impl Scheduler {
    /// Plans loads for the requests that wait for an adapter, in their order.
    pub(crate) fn plan_loads(
        &mut self,
        now: Instant,
        waits: &[Wait],
        mut spread: Spread,
        out: &mut Vec<Decision>,
    ) {
        self.plan_bases(now);
        let mut wanted = self.wanted(waits, &spread);
        let mut claims = self.claims(waits);
        for outdated in self.outdated(now, &spread) {
            claims.add(outdated.key, 0);
            wanted.push(outdated);
        }
        let mut floor = Floor::default();
        let mut room = self.loads_at_once().saturating_sub(self.loading());
        for wanted in wanted {
            let model = self.keys.name(wanted.key).model.clone();
            self.look_for_rooms(now, &model, &claims, &spread, &mut floor);
            let Some(rooms) = floor.of(&model) else {
                continue;
            };
            let look = Look {
                now,
                claims: &claims,
                spread: &spread,
                rooms,
            };
            let Some(choice) = self.choose(&look, &wanted, room > 0) else {
                continue;
            };
            if wanted.copy.is_none_or(|wait| choice.cost < wait) {
                room -= usize::from(choice.depth.is_none());
                self.load(now, wanted.key, &choice, out);
                for key in choice.victim.into_iter().chain([wanted.key]) {
                    self.look_at(now, key, &choice.server, &mut spread);
                }
                // What one copy of the adapter that made room is worth has changed at its other engines.
                let others = choice
                    .victim
                    .map_or(&[][..], |victim| spread.holders(victim));
                let changed: Vec<&Server> = others.iter().chain([&choice.server]).collect();
                self.look_again(now, &changed, &claims, &spread, &mut floor);
            }
        }
    }

    /// The adapters that requests wait for and that are not on their way, in the order of the requests; with the longest
    /// wait at the engines that hold it already, where it is long enough for a copy.
    fn wanted(&self, waits: &[Wait], spread: &Spread) -> Vec<Wanted> {
        let mut wanted: Vec<Wanted> = Vec::new();
        let copies = self.settings.uses(Feature::ExtraReplicas);
        let mut rows: FxHashMap<Key, usize> = FxHashMap::default();
        for wait in waits {
            let Some(job) = self.jobs.get(&wait.id).filter(|job| job.waits()) else {
                continue;
            };
            let Some(key) = job.key else {
                continue;
            };
            let copy = match wait.what {
                For::Load => None,
                For::Room if copies && wait.span > COPY_FROM => Some(wait.span),
                For::Room | For::Copy | For::Coming | For::Engine => continue,
            };
            match rows.get(&key) {
                Some(row) => {
                    let longest = &mut wanted[*row].copy;
                    *longest = copy.max(*longest);
                }
                None if spread.spot(key).is_some_and(|spot| spot.moving) => {}
                None => {
                    rows.insert(key, wanted.len());
                    wanted.push(Wanted {
                        key,
                        copy,
                        patient: job.arrived + PATIENT,
                    });
                }
            }
        }
        wanted
    }

    /// The adapters in use that engines hold only in a version that will soon do no more.
    fn outdated(&self, now: Instant, spread: &Spread) -> Vec<Wanted> {
        let old =
            |(_, spot): &(&Key, &Spot)| !spot.current && !spot.moving && !spot.ready.is_empty();
        let keys = spread.spots.iter().filter(old).map(|(key, _)| *key);
        let mut keys: Vec<Key> = keys
            .filter(|key| self.keys.demand(*key, now) >= IN_USE)
            .collect();
        keys.sort_unstable();
        let wanted = |key| Wanted {
            key,
            copy: None,
            patient: now,
        };
        keys.into_iter().map(wanted).collect()
    }

    /// How many adapters may be on their way to all engines.
    pub(crate) fn loads_at_once(&self) -> usize {
        let hundredfold = self.engines.len() * self.settings.tuning.loads_per_hundred;
        hundredfold.div_ceil(100).max(LEAST_LOADS)
    }

    /// Adapters on their way to all engines. What waits behind an order without an answer takes nothing from the
    /// weight store.
    pub(crate) fn loading(&self) -> usize {
        let moving = self.engines.values().filter(|engine| !engine.stuck());
        moving.map(Engine::fetching).sum()
    }

    /// The time that an adapter takes that lies beside its engine.
    pub(crate) fn back_time(&self) -> Span {
        Span(self.load_time.0 / BACK_PART)
    }

    /// Where an adapter lies beside an engine, how many others were held there since it was.
    pub(crate) fn lies_beside(&self, engine: &Engine, key: Key) -> Option<usize> {
        let used = self.settings.uses(Feature::CachedAdapters);
        let depth = engine.recent.depth(key).filter(|_| used);
        depth.filter(|depth| self.beside.holds(*depth))
    }

    /// Whether an adapter lies beside any engine that takes requests.
    pub(crate) fn lies_beside_any(&self, now: Instant, key: Key) -> bool {
        let servers = self.remembering.servers(key).iter();
        let engines = servers.filter_map(|server| self.engines.get(server));
        let open = |engine: &&Engine| {
            engine.usable() && engine.may_get(1, now) && !engine.cooldown.turns_away()
        };
        let mut open = engines.filter(open);
        open.any(|engine| self.lies_beside(engine, key).is_some())
    }

    /// The engine where an adapter is loaded at the least cost; none where there is no room, or where it is better to wait
    /// for room at an engine beside which it lies. From the weight store it comes only where that bears it.
    fn choose(&self, look: &Look, wanted: &Wanted, store: bool) -> Option<Choice> {
        let key = wanted.key;
        let mut later = Span(u64::MAX);
        let mut best = self.replaced(look, key, store);
        let mut offer = |choice: Choice| {
            let order = |choice: &Choice| (choice.cost, choice.server.clone());
            if best
                .as_ref()
                .is_none_or(|best| order(&choice) < order(best))
            {
                best = Some(choice);
            }
        };
        for (server, engine, depth) in self.beside_engines(look, key) {
            let load = self.back_time();
            if let Some(room) = look.rooms.at(server) {
                offer(choice(server, room, Some(depth), load));
            } else {
                let busy = busy_for(look.now, engine, look.claims, None, look.spread);
                later = later.min(load + busy + ROOM_SOON);
            }
        }
        if store {
            let elsewhere = |server: &Server| {
                let engine = self.engines.get(server);
                engine.is_some_and(|e| {
                    !e.places.contains_key(&key) && self.lies_beside(e, key).is_none()
                })
            };
            let first = look.rooms.cheapest().find(|(server, _)| elsewhere(server));
            if let Some((server, room)) = first {
                offer(choice(server, room, None, self.load_time + FETCH));
            }
        }
        let patient = self.settings.uses(Feature::CachedAdapterWait) && look.now < wanted.patient;
        best.filter(|best| !patient || best.cost <= later)
    }

    /// The engines beside which an adapter lies and that don't hold it, as far as they take orders, with its depth there.
    fn beside_engines<'a>(
        &'a self,
        look: &'a Look<'_>,
        key: Key,
    ) -> impl Iterator<Item = (&'a Server, &'a Engine, usize)> {
        let model = &self.keys.name(key).model;
        let holders = look.spread.holders(key);
        let servers = self.remembering.servers(key).iter();
        let servers = servers.filter(|server| !holders.contains(server));
        let engines = servers.filter_map(|server| Some((server, self.engines.get(server)?)));
        let fit = engines.filter(|(_, engine)| self.takes_adapters(look.now, engine, model));
        fit.filter_map(move |(server, engine)| {
            Some((server, engine, self.lies_beside(engine, key)?))
        })
    }

    /// The engine that holds an older version of an adapter which nothing uses, where it is replaced at the least cost.
    fn replaced(&self, look: &Look, key: Key, store: bool) -> Option<Choice> {
        let name = self.keys.name(key);
        let newest = self.keys.newest(key);
        let choices = look.spread.holders(key).iter().filter_map(|server| {
            let engine = self.engines.get(server)?;
            let old = engine.places.get(&key)?;
            if !old.idle()
                || old.version >= newest
                || !self.takes_adapters(look.now, engine, &name.model)
            {
                return None;
            }
            let depth = self.lies_beside(engine, key);
            let load = match depth {
                Some(_) => self.back_time(),
                None if store => self.load_time + FETCH,
                None => return None,
            };
            let busy = busy_for(look.now, engine, look.claims, Some(key), look.spread);
            Some(Choice {
                server: server.clone(),
                victim: None,
                depth,
                cost: load + busy,
            })
        });
        choices.min_by_key(|choice| choice.cost)
    }

    /// What it costs to take an adapter away from one engine.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(crate) fn value(&self, now: Instant, key: Key, spread: &Spread) -> Span {
        let (copies, current) = spread
            .spot(key)
            .map_or((1, true), |spot: &Spot| (spot.copies.max(1), spot.current));
        if !current {
            return Span::ZERO;
        }
        Span((VICTIM.0 as f64 * self.keys.demand(key, now) / f64::from(copies)) as u64)
    }

    fn load(&mut self, now: Instant, key: Key, choice: &Choice, out: &mut Vec<Decision>) {
        let version = self.keys.newest(key);
        let demand = self.keys.demand(key, now);
        // A VM without a scheduler may have sent requests there by itself.
        let used = self.jobs.using(&choice.server, key);
        let keys = &self.keys;
        let Some(engine) = self.engines.get_mut(&choice.server) else {
            return;
        };
        let victim = choice
            .victim
            .map_or("-", |victim| &keys.name(victim).adapter);
        let detail = format!(
            "adapter={} version={version} server={} victim={victim} demand={demand:.2} depth={:?} cost={}",
            keys.name(key).adapter,
            choice.server,
            choice.depth,
            choice.cost
        );
        out.push(Decision::Log(Record::new(Code::LoadOrdered, detail)));
        if let Some(victim) = choice.victim {
            if let Some(place) = engine.places.get_mut(&victim) {
                place.stage = Stage::Leaving;
            }
            engine.queue.push_back(Intent::Unload(victim));
        }
        engine.places.insert(
            key,
            Place {
                used,
                depth: choice.depth,
                ..place(version, Stage::Wanted)
            },
        );
        engine
            .queue
            .push_back(Intent::Load(key, Some(version).filter(|v| *v > 0)));
    }

    /// Plans loads of base models onto engines that hold none: of the one that fewest engines hold.
    fn plan_bases(&mut self, now: Instant) {
        if !self.engines.values().any(Engine::awaits_base) {
            return;
        }
        let held = |name: &Arc<str>| {
            let engines = self.engines.values();
            engines.filter(|e| e.bases.contains(name)).count()
        };
        let models = self.shape.models.iter();
        let Some(model) = models.min_by_key(|m| (held(&m.name), m.name.clone())) else {
            return;
        };
        for engine in self.engines.values_mut() {
            if engine.awaits_base() && self.base_rate.take(now) {
                engine.base_due = Some(now + model.load);
                engine.queue.push_back(Intent::Base(model.name.clone()));
            }
        }
    }
}
