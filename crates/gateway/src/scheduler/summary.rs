//! Formats the state of the scheduler as one log line.

use std::ops::Bound;

use dahliastile_core::id::Server;
use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::Instant;

use super::Scheduler;
use super::engine::Engine;
use super::forecast::WaitReason;
use super::speed::Spectrum;

/// Maximum number of engines whose speeds one log line contains. With more engines, each line continues after the last
/// engine of the one before.
const MAX_SPEEDS: usize = 16;

/// Number of waiting requests, by what they wait for.
#[derive(Default)]
struct Waiting {
    /// Requests that wait for capacity of an engine that holds their adapter.
    room: usize,
    /// Requests that wait for an adapter that is being loaded.
    coming: usize,
    /// Requests that wait for a load that has not started, or for an engine that accepts requests.
    load: usize,
}

impl Scheduler {
    /// Returns the log line with the state of all engines and waiting requests.
    pub(crate) fn summary(&mut self, now: Instant) -> Record {
        let mut waiting = Waiting::default();
        for forecast in self.forecast(now, &self.residency(now)) {
            match forecast.reason {
                WaitReason::Room | WaitReason::Copy => waiting.room += 1,
                WaitReason::Coming => waiting.coming += 1,
                WaitReason::Load | WaitReason::Engine => waiting.load += 1,
            }
        }
        let speeds = self.describe_speeds(now);
        let paused = std::mem::take(&mut self.paused_streams);
        let engines = self.engines.values();
        let slots = engines.clone().flat_map(|engine| engine.slots.values());
        let used = slots.clone().filter(|slot| slot.running > 0).count();
        let coming = slots.clone().filter(|slot| slot.is_loading()).count();
        let usable = engines.clone().filter(|engine| engine.is_usable()).count();
        let idle = engines
            .clone()
            .filter(|engine| engine.is_usable() && engine.running == 0)
            .count();
        let running: u32 = engines.clone().map(|engine| engine.running).sum();
        let unread: u64 = engines.clone().map(|engine| engine.unread_tokens).sum();
        let loaded = engines.filter(|engine| engine.is_usable() && !engine.base_models.is_empty());
        let loaded = loaded.count();
        let capacity = loaded * self.engine_spec.adapter_slots;
        Record::new(
            Code::SchedulerState,
            format!(
                "wait_room={} wait_coming={} wait_load={} engines={usable} idle={idle} running={running} unread={unread} places={} used={used} coming={coming} load_time={} paused={paused} without_model={} slots={capacity} {speeds}",
                waiting.room,
                waiting.coming,
                waiting.load,
                slots.count(),
                self.load_time,
                usable - loaded
            ),
        )
    }

    /// Formats the measured speeds for the log: the number of engines with a measured speed, whether placement uses
    /// them, the prefill rates of the slowest tenth, the median and the fastest tenth, and for up to [`MAX_SPEEDS`]
    /// engines the rate, the rate of the last prompts, the spread and the age.
    fn describe_speeds(&mut self, now: Instant) -> String {
        let long_rates = self
            .engines
            .values()
            .filter_map(|e| e.speed.typical_rate(now));
        let mut rates: Vec<f64> = long_rates.collect();
        let count = rates.len();
        let used = self.engines.values().any(|e| e.rates.is_measured);
        let spectrum = Spectrum::of(&mut rates).map_or("-".to_owned(), |s| s.to_string());
        let after = match self.last_speed_server.take() {
            Some(server) => (Bound::Excluded(server), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let rows: Vec<(&Server, &Engine)> = self.engines.range(after).take(MAX_SPEEDS).collect();
        let described = rows.iter().filter_map(|(server, engine)| {
            let (long, age) = (engine.speed.long_rate(now)?, engine.speed.age(now)?);
            let recent = engine.speed.recent_rate(now)?;
            let (spread, age) = (engine.speed.spread(), age.as_millis());
            Some(format!("{server}:{long:.1}/{recent:.1}/{spread:.2}/{age}"))
        });
        let described: Vec<String> = described.collect();
        let last = rows.last().filter(|_| rows.len() == MAX_SPEEDS);
        self.last_speed_server = last.map(|(server, _)| (*server).clone());
        format!(
            "measured={count} by_speed={used} rates={spectrum} speeds={}",
            described.join(",")
        )
    }
}
