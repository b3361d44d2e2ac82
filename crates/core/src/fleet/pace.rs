//! The times and counts of membership.

use crate::settings::Tuning;
use crate::time::Span;

use super::member::BEAT;

/// The times and counts that follow from the settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Time between two rounds of heartbeats.
    pub(super) beat: Span,
    /// Time between two rounds at least when there is urgent news.
    pub(super) urgent: Span,
    /// Silence of a neighbour after which it is asked for a sign of life.
    pub(super) ask: Span,
    /// Silence of a neighbour after which it is suspected.
    pub(super) suspect: Span,
    /// How recent a direct message is to count against someone else's suspicion.
    pub(super) hears: Span,
    /// How long a neighbour's silence counts for nothing after others have heard it.
    pub(super) mute: Span,
    /// How many beats older than known news is to be set right.
    pub(super) stale_beats: u64,
    /// How long a suspicion lasts before the VM may be gone.
    pub(super) gone: Span,
}

impl Pace {
    /// Takes the times from the settings.
    pub(super) fn new(tuning: &Tuning) -> Self {
        let beat = Span::from_millis(tuning.heartbeat_ms);
        let suspect = Span::from_millis(tuning.suspect_ms);
        let half = Span(suspect.0 / 2);
        Self {
            beat,
            urgent: Span(beat.0 / 5),
            ask: half,
            suspect,
            hears: half,
            mute: suspect.times(10),
            stale_beats: BEAT * half.0.div_ceil(beat.0.max(1)),
            gone: Span::from_millis(tuning.gone_ms),
        }
    }
}
