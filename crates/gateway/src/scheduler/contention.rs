//! Counts the decisions that the scheduler makes because capacity is scarce, for the metrics.

use super::Scheduler;

/// A decision made because capacity is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contention {
    /// A returning caller got the place of its first try.
    Returned,
    /// A request was refused because others overtake it.
    Overtaken,
    /// Loads were put off in a run, to leave capacity for more urgent requests.
    LoadsPutOff,
    /// A request was queued behind those of other accounts, because its account has used more than its share.
    BehindShare,
    /// A request was served before others, because none of its adapter was served since others were refused.
    Expedited,
}

impl Contention {
    /// All decisions with their labels in the metric.
    const ALL: [(Self, &'static str); 5] = [
        (Self::Returned, "returned"),
        (Self::Overtaken, "overtaken"),
        (Self::LoadsPutOff, "loads_put_off"),
        (Self::BehindShare, "behind_share"),
        (Self::Expedited, "expedited"),
    ];
}

/// Number of decisions of each kind since they were last taken, in the order of [`Contention::ALL`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContentionCounts([u32; Contention::ALL.len()]);

impl ContentionCounts {
    pub(crate) fn add(&mut self, decision: Contention) {
        self.0[decision as usize] += 1;
    }
}

impl Scheduler {
    /// Takes the number of decisions made because capacity is scarce since the last call, by the label of the metric.
    pub fn take_contention(&mut self) -> impl Iterator<Item = (&'static str, u32)> + use<> {
        let counts = std::mem::take(&mut self.contention).0;
        let labels = Contention::ALL.into_iter().map(|(_, label)| label);
        labels.zip(counts).filter(|(_, count)| *count > 0)
    }
}
