//! How often the scheduler runs: as often as its VM can bear.
//!
//! What came in since the last run is decided together, so fewer runs decide as much, only later. A run that takes longer than the
//! gap to the next one would follow each event that comes in meanwhile: the scheduler would hear of crashes seconds late, its word would come late too, and its
//! peers take its leadership from it by turns, long after the load has gone.

use dahliastile_core::time::{Instant, Span};

/// The least time between two runs: a third of the time of an engine's step, which a request waits for anyway.
const GAP: Span = Span::from_millis(3);

/// The time from one run's begin to the next one's, in lengths of a run: a quarter of the VM's time goes to runs, and the rest
/// to what it is told, its own callers and its links.
const LENGTHS: u64 = 4;

/// The same where a run is so long that the longest time between two of them would leave nothing: half of the VM's time.
const LEAST_LENGTHS: u64 = 2;

/// The longest time between two runs, but for very long ones: a fifth of the time between two of its words, and a tenth of what most requests' objectives
/// leave for their place.
const LONGEST: Span = Span::from_millis(50);

/// The part of the last run's length in the one that is reckoned with, where it is shorter: one in eight. A longer one counts at once.
const WEIGHT: u64 = 8;

/// When the scheduler ran, and how long that took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// When the last run began.
    ran: Instant,
    /// How long a run takes.
    length: Span,
}

impl Pace {
    /// A run begins.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.ran = now;
    }

    /// The last run took so long, with what was done for it.
    pub(crate) fn took(&mut self, span: Span) {
        let eased = Span((self.length.0 * (WEIGHT - 1) + span.0) / WEIGHT);
        self.length = span.max(eased);
    }

    /// Whether runs take so long that they come no more often than the longest time between two of them allows.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.length.times(LENGTHS) >= LONGEST
    }

    /// When the next run may begin at the soonest, whatever is due.
    pub(crate) fn soonest(&self) -> Instant {
        let pause = self.length.times(LENGTHS).min(LONGEST);
        self.ran + pause.max(self.length.times(LEAST_LENGTHS))
    }

    /// When the next run may begin for what has changed.
    pub(crate) fn soon(&self) -> Instant {
        self.soonest().max(self.ran + GAP)
    }
}
