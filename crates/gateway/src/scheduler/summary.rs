//! What the scheduler sees, in one log line.

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::Instant;

use super::Scheduler;
use super::forecast::For;

/// The requests that wait, by what they wait for.
#[derive(Default)]
struct Waiting {
    /// For room at an engine that holds their adapter.
    room: usize,
    /// For an adapter on its way.
    coming: usize,
    /// For a load that has not begun.
    load: usize,
}

impl Scheduler {
    /// The state of all engines and of what waits.
    pub(crate) fn summary(&self, now: Instant) -> Record {
        let mut waiting = Waiting::default();
        for wait in self.forecast(now, &self.spread(now)) {
            match wait.what {
                For::Room | For::Copy => waiting.room += 1,
                For::Coming => waiting.coming += 1,
                For::Load | For::Engine => waiting.load += 1,
            }
        }
        let engines = self.engines.values();
        let places = engines.clone().flat_map(|engine| engine.places.values());
        let used = places.clone().filter(|place| place.used > 0).count();
        let coming = places.clone().filter(|place| place.moves()).count();
        let usable = engines.clone().filter(|engine| engine.usable()).count();
        let idle = engines
            .clone()
            .filter(|engine| engine.usable() && engine.running == 0)
            .count();
        let running: u32 = engines.clone().map(|engine| engine.running).sum();
        let unread: u64 = engines.map(|engine| engine.unread).sum();
        Record::new(
            Code::SchedulerState,
            format!(
                "wait_room={} wait_coming={} wait_load={} engines={usable} idle={idle} running={running} unread={unread} places={} used={used} coming={coming} load_time={}",
                waiting.room,
                waiting.coming,
                waiting.load,
                places.count(),
                self.load_time
            ),
        )
    }
}
