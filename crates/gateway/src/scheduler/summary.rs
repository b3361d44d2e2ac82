//! Formats the state of the scheduler as one log line.

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::Instant;

use super::Scheduler;
use super::forecast::WaitReason;

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
    pub(crate) fn summary(&self, now: Instant) -> Record {
        let mut waiting = Waiting::default();
        for forecast in self.forecast(now, &self.residency(now)) {
            match forecast.reason {
                WaitReason::Room | WaitReason::Copy => waiting.room += 1,
                WaitReason::Coming => waiting.coming += 1,
                WaitReason::Load | WaitReason::Engine => waiting.load += 1,
            }
        }
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
        let unread: u64 = engines.map(|engine| engine.unread_tokens).sum();
        Record::new(
            Code::SchedulerState,
            format!(
                "wait_room={} wait_coming={} wait_load={} engines={usable} idle={idle} running={running} unread={unread} places={} used={used} coming={coming} load_time={}",
                waiting.room,
                waiting.coming,
                waiting.load,
                slots.count(),
                self.load_time
            ),
        )
    }
}
