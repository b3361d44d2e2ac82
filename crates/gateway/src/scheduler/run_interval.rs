//! Sets the time between two runs of the scheduler by how long its runs take on its VM.
//!
//! A run decides on everything that arrived since the last one, so fewer runs decide as much, only later. If a
//! run took longer than the interval to the next, every event that arrives meanwhile would be followed by a run
//! of its own: the scheduler would learn of crashes seconds late and send its heartbeats late, and the other
//! VMs would take the leadership from each other long after the load has passed.

use dahliastile_core::time::{Instant, Span};

/// Shortest time from the start of one run to the start of the next: a third of an engine's decoding step, for
/// which a request waits anyway.
const MIN_INTERVAL: Span = Span::from_millis(3);

/// Time from the start of one run to the start of the next, as a multiple of a run's duration: runs take a
/// quarter of the VM's time, and messages, callers and connections have the rest.
const INTERVAL_PER_DURATION: u64 = 4;

/// Shortest time from the start of one run to the start of the next, as a multiple of a run's duration. It counts
/// for runs so long that [`MAX_INTERVAL`] would leave no time between them: runs take half of the VM's time.
const MIN_INTERVAL_PER_DURATION: u64 = 2;

/// Longest time from the start of one run to the start of the next, unless [`MIN_INTERVAL_PER_DURATION`]
/// requires more: a fifth of the interval between two heartbeats, and a tenth of the time that the objectives
/// of most requests leave for their placement.
const MAX_INTERVAL: Span = Span::from_millis(50);

/// Inverse weight of the last run in the moving average of the durations, for a run that is shorter than the
/// average. A longer run sets the average at once.
const SMOOTHING: u64 = 8;

/// When the last run started, and how long runs take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunInterval {
    last_start: Instant,
    /// Moving average of the runs' durations.
    run_duration: Span,
}

impl RunInterval {
    /// Records that a run starts.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.last_start = now;
    }

    /// Records how long the last run took, including the work to carry out its decisions.
    pub(crate) fn record_duration(&mut self, span: Span) {
        let smoothed = Span((self.run_duration.0 * (SMOOTHING - 1) + span.0) / SMOOTHING);
        self.run_duration = span.max(smoothed);
    }

    /// Returns whether runs take so long that only [`MAX_INTERVAL`] or [`MIN_INTERVAL_PER_DURATION`] sets their
    /// interval.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.run_duration.times(INTERVAL_PER_DURATION) >= MAX_INTERVAL
    }

    /// Returns when the next run may start at the earliest.
    pub(crate) fn earliest_start(&self) -> Instant {
        let pause = self
            .run_duration
            .times(INTERVAL_PER_DURATION)
            .min(MAX_INTERVAL);
        self.last_start + pause.max(self.run_duration.times(MIN_INTERVAL_PER_DURATION))
    }

    /// Returns when the next run may start because of a change.
    pub(crate) fn start_after_change(&self) -> Instant {
        self.earliest_start().max(self.last_start + MIN_INTERVAL)
    }
}
