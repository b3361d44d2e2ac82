//! What speaks for and against a server: a pure function over what is known of it.

use crate::time::Span;

/// A server's last load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// Sequences in its batch and waiting for it, when the report was made.
    pub load: u32,
    /// Sequences that its batch holds.
    pub batch: u32,
    /// The length of one step.
    pub step: Span,
    /// How old the report is.
    pub age: Span,
}

/// A server that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// It failed this VM a moment ago.
    pub sick: bool,
    /// A rule prefers another zone.
    pub far: bool,
    /// It is in another zone than this VM.
    pub remote: bool,
    /// This VM's requests in progress there.
    pub own: u32,
    /// How much that has changed since the report was made.
    pub change: i32,
    /// Its report, unless it is too old to say anything; plain services have none.
    pub figures: Option<Figures>,
    /// Prefix blocks of the prompt that are not in its cache, as far as is known.
    pub uncached: u32,
    /// Settles what is equal: different on each VM, so that not all choose the same.
    pub spread: u64,
}

/// How good a server is for a request; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// It failed a moment ago.
    sick: bool,
    /// The request would wait there for a place in the batch.
    waits: bool,
    /// A rule prefers another zone.
    far: bool,
    /// The expected cost, in microseconds.
    cost: i64,
    /// Settles what is equal.
    spread: u64,
}

/// Prefix blocks that an engine takes in with one step.
const BLOCKS_A_STEP: i64 = 8;
/// Steps that a sequence is expected to stay in a batch.
const STEPS: i64 = 64;
/// What the way to another zone and back costs, in microseconds.
const REMOTE: i64 = 3_000;
/// What one request in progress costs at a plain server, in microseconds.
const PLAIN: i64 = 1_000;
/// Requests that this VM has in progress on one plain server at most.
const PLAIN_ROOM: u32 = 256;
/// Requests beyond its batch that this VM itself gives a server.
const SLACK: u32 = 2;
/// From this age on a report is taken for a rough figure only.
const ROUGH: Span = Span::from_millis(200);

impl Candidate {
    /// What is in the batch or waits for it by now: the report, corrected by what this VM sent and got back since.
    #[must_use]
    pub fn load(&self) -> u32 {
        let reported = self.figures.map_or(0, |figures| figures.load);
        reported.saturating_add_signed(self.change).max(self.own)
    }

    /// Whether it may be given more. Beyond the batch an engine is given what it will probably have finished by the
    /// time of the next report, so that it does not run dry, and no more: what waits there blocks evictions and
    /// can't go elsewhere.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let Some(figures) = self.figures else {
            return self.own < PLAIN_ROOM;
        };
        let batch = figures.batch;
        let age = figures.age.as_millis().min(1_000);
        let finished = u64::from(batch) * (250 + age) / 1_000;
        let ahead = u32::try_from(finished).unwrap_or(u32::MAX).min(batch);
        self.own < batch.saturating_add(SLACK) && self.load() < batch.saturating_add(ahead.max(1))
    }

    /// How good it is. `bias` is positive where work is to be spread and negative where batches are to be filled,
    /// at most a thousand either way.
    #[must_use]
    pub fn rank(&self, bias: i64) -> Rank {
        let load = i64::from(self.load());
        let way = if self.remote { REMOTE } else { 0 };
        let (waits, cost) = match self.figures {
            None => (false, load * PLAIN),
            Some(figures) => {
                let step = i64::try_from(figures.step.0)
                    .unwrap_or(i64::MAX)
                    .clamp(1, 1_000_000);
                let batch = i64::from(figures.batch.max(1));
                let before = (load - batch + 1).max(0);
                let wait = before * step * STEPS / batch;
                let prefill = i64::from(self.uncached) * step / BLOCKS_A_STEP;
                let filled =
                    rough(load.min(batch), batch, figures.age) * step * bias / 1_000 / batch;
                (before > 0, wait + prefill + filled)
            }
        };
        Rank {
            sick: self.sick,
            waits,
            far: self.far && !waits,
            cost: cost + way,
            spread: self.spread,
        }
    }
}

/// A load by an old report, rounded: several VMs see the same report, and where it decides to the last sequence all
/// of them choose the same server at once.
fn rough(load: i64, batch: i64, age: Span) -> i64 {
    if age <= ROUGH {
        return load;
    }
    let grain = (batch / 8).max(1);
    load / grain * grain
}

/// The bias for a service's weights of load stalls and batch efficiency.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn bias(stall_weight: f64, batch_weight: f64) -> i64 {
    let (stall, batch) = (2.0 * stall_weight.max(0.0), batch_weight.max(0.0));
    match stall + batch {
        sum if sum > 0.0 => ((stall - batch) / sum * 1_000.0) as i64,
        _ => 0,
    }
}
