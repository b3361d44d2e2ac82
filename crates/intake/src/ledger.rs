//! What each connection makes the process hold, and who yields when there is no room.

use std::cmp::Reverse;
use std::ops::Add;

use dahliastile_core::time::{Instant, Span};

use crate::capacity::{Capacity, Port};
use crate::report::Report;
use crate::size::Size;

/// A request that makes the process hold no more than this, besides its connection, is small: it may use the part
/// of the capacity that is kept for small ones.
pub const SMALL: Size = Size::kib(64);

/// How far behind the least rate a connection must be to yield while its client sends, or is between requests.
const READING_LAG: Span = Span::from_millis(250);

/// How far behind it must be to yield while its client reads an answer: the answer is lost then, and the request has run.
const WRITING_LAG: Span = Span::from_secs(5);

/// The least rate at which a client makes progress, in bytes per second.
pub const LEAST_RATE: u32 = 1_024;

/// How much more than a small request a connection must hold to yield to that request although it makes progress.
const OUTWEIGHS: usize = 2;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// For a request of its client.
    Idle,
    /// For the rest of a request, of which nothing has been passed on.
    Reading,
    /// For this process or a server. It does not yield.
    Running,
    /// For its client to read an answer.
    Writing,
}

/// A connection in a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    index: usize,
    generation: u64,
}

/// What room is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A request. A large one uses only what is for all.
    Request,
    /// An answer. Part of the capacity is for answers only: a request that waits for room for its answer gives nothing back.
    Answer,
}

/// What comes of asking for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// There is room, and it is taken.
    Granted,
    /// There will be room when those who yield have ended; ask again when something is released.
    Wait,
    /// There is none, and nobody to yield.
    Refused,
}

/// What was decided since the last time that it was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connections that were refused.
    pub connections: u64,
    /// Requests for which there was no room.
    pub requests: u64,
    /// Connections that yielded.
    pub yielded: u64,
}

/// What connections hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sums {
    /// Of requests, and the connections themselves.
    requests: Size,
    /// Of answers.
    answers: Size,
}

impl Sums {
    fn part(&mut self, part: Use) -> &mut Size {
        match part {
            Use::Request => &mut self.requests,
            Use::Answer => &mut self.answers,
        }
    }

    fn all(self) -> Size {
        self.requests + self.answers
    }

    /// What is left without `other`.
    fn without(self, other: Self) -> Self {
        Self {
            requests: self.requests.less(other.requests),
            answers: self.answers.less(other.answers),
        }
    }
}

impl Add for Sums {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            answers: self.answers + other.answers,
        }
    }
}

/// What more is asked for.
#[derive(Clone, Copy, Debug)]
struct Need {
    part: Use,
    extra: Size,
    /// What the requests of the asker take with it.
    request: Size,
}

#[derive(Clone, Debug)]
struct Entry {
    generation: u64,
    port: Port,
    phase: Phase,
    /// What the connection takes itself.
    connection: Size,
    /// What its requests take.
    request: Size,
    /// What its answers take.
    answer: Size,
    /// The time up to which its client has kept the least rate.
    kept_up_to: Instant,
    /// Whether it was told to yield.
    yields: bool,
    /// Whether its connection has ended, while something that it held is still in use.
    is_closed: bool,
}

impl Entry {
    fn sums(&self) -> Sums {
        Sums {
            requests: self.connection + self.request,
            answers: self.answer,
        }
    }

    /// What its requests, or its answers, take.
    fn part(&mut self, part: Use) -> &mut Size {
        match part {
            Use::Request => &mut self.request,
            Use::Answer => &mut self.answer,
        }
    }

    fn is_empty(&self) -> bool {
        self.request + self.answer == Size::ZERO
    }

    fn lag(&self, now: Instant) -> Span {
        now.since(self.kept_up_to)
    }

    /// Whether it is far enough behind to yield.
    fn is_stalled(&self, now: Instant) -> bool {
        match self.phase {
            _ if self.yields || self.is_closed => false,
            Phase::Idle | Phase::Reading => self.lag(now) >= READING_LAG,
            Phase::Running => false,
            Phase::Writing => self.lag(now) >= WRITING_LAG,
        }
    }

    /// What it has held, times how long without progress.
    fn weight(&self, now: Instant) -> u128 {
        self.sums().all().0 as u128 * u128::from(self.lag(now).0)
    }
}

/// What all connections make the process hold.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: Capacity,
    entries: Vec<Option<Entry>>,
    free: Vec<usize>,
    /// The last generation given to an entry.
    generation: u64,
    /// Open connections by way in.
    connections: [usize; Port::COUNT],
    /// What all of them hold.
    sums: Sums,
    /// The part of it whose holders yield.
    yielding: Sums,
    /// Who was told to yield since [`Ledger::take_yielding`].
    yielded: Vec<Holder>,
    tally: Tally,
}

impl Ledger {
    /// An empty ledger.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            entries: Vec::new(),
            free: Vec::new(),
            generation: 0,
            connections: [0; Port::COUNT],
            sums: Sums::default(),
            yielding: Sums::default(),
            yielded: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// The capacity.
    #[must_use]
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// What all connections hold.
    #[must_use]
    pub fn total(&self) -> Size {
        self.sums.all()
    }

    /// The number of open connections of a way in.
    #[must_use]
    pub fn connections(&self, port: Port) -> usize {
        self.connections[port.index()]
    }

    /// Takes a connection in, which takes `connection` itself. Where its way in has as many as it may, or there is no room,
    /// one that is stalled yields.
    ///
    /// # Errors
    /// Where it can't be taken in now: what [`Ledger::grow`] would say.
    pub fn open(&mut self, port: Port, connection: Size, now: Instant) -> Result<Holder, Grant> {
        let is_full = self.connections(port) >= self.capacity.connections(port);
        let need = Need {
            part: Use::Request,
            extra: connection,
            request: Size::ZERO,
        };
        let refusal = match self.fits(need, self.sums) {
            _ if is_full => Some(self.make_place(port, now)),
            true => None,
            false => Some(self.make_room(need, None, now)),
        };
        if let Some(will_be) = refusal {
            self.tally.connections += u64::from(!will_be);
            return Err(if will_be { Grant::Wait } else { Grant::Refused });
        }
        self.generation += 1;
        let entry = Entry {
            generation: self.generation,
            port,
            phase: Phase::Idle,
            connection,
            request: Size::ZERO,
            answer: Size::ZERO,
            kept_up_to: now,
            yields: false,
            is_closed: false,
        };
        self.sums.requests += connection;
        self.connections[port.index()] += 1;
        let index = self.free.pop().unwrap_or(self.entries.len());
        match self.entries.get_mut(index) {
            Some(place) => *place = Some(entry),
            None => self.entries.push(Some(entry)),
        }
        Ok(Holder {
            index,
            generation: self.generation,
        })
    }

    /// Asks for room for more of a connection's request or answer.
    pub fn grow(&mut self, holder: Holder, part: Use, extra: Size, now: Instant) -> Grant {
        let Some(entry) = self.entry(holder) else {
            return Grant::Refused;
        };
        if entry.yields || entry.is_closed {
            return Grant::Refused;
        }
        let need = Need {
            part,
            extra,
            request: entry.request + extra,
        };
        if self.fits(need, self.sums) {
            if let Some(entry) = self.entry_mut(holder) {
                *entry.part(part) += extra;
            }
            *self.sums.part(part) += extra;
            return Grant::Granted;
        }
        if self.make_room(need, Some(holder), now) {
            return Grant::Wait;
        }
        self.tally.requests += u64::from(part == Use::Request);
        Grant::Refused
    }

    /// Gives back room of a connection's request or answer, also after the connection has ended.
    pub fn shrink(&mut self, holder: Holder, part: Use, size: Size) {
        let Some(entry) = self.entry_mut(holder) else {
            return;
        };
        *entry.part(part) -= size;
        let (yields, is_over) = (entry.yields, entry.is_closed && entry.is_empty());
        *self.sums.part(part) -= size;
        if yields {
            *self.yielding.part(part) -= size;
        }
        if is_over {
            self.forget(holder);
        }
    }

    /// Gives back all that a connection's requests or answers take.
    pub fn release(&mut self, holder: Holder, part: Use) {
        if let Some(size) = self.entry_mut(holder).map(|entry| *entry.part(part)) {
            self.shrink(holder, part, size);
        }
    }

    /// Whether a connection was told to yield.
    #[must_use]
    pub fn is_yielding(&self, holder: Holder) -> bool {
        self.entry(holder).is_some_and(|entry| entry.yields)
    }

    /// Notes that the client of a connection sent or read bytes.
    pub fn progress(&mut self, holder: Holder, bytes: usize, now: Instant) {
        if let Some(entry) = self.entry_mut(holder) {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            let kept = Span(bytes.saturating_mul(1_000_000) / u64::from(LEAST_RATE));
            entry.kept_up_to = now.min(entry.kept_up_to + kept);
        }
    }

    /// Notes what a connection waits for from now on. One whose request is passed on before it could yield goes on.
    pub fn enter(&mut self, holder: Holder, phase: Phase, now: Instant) {
        let Some(entry) = self.entry_mut(holder) else {
            return;
        };
        if entry.phase != phase {
            entry.phase = phase;
            entry.kept_up_to = now;
        }
        if phase == Phase::Running && std::mem::take(&mut entry.yields) {
            let sums = entry.sums();
            self.yielding = self.yielding.without(sums);
        }
    }

    /// Notes that a connection has ended. What its requests and answers take counts until it is given back.
    pub fn close(&mut self, holder: Holder) {
        let Some(entry) = self.entry_mut(holder) else {
            return;
        };
        if entry.is_closed {
            return;
        }
        entry.is_closed = true;
        let connection = std::mem::take(&mut entry.connection);
        let (port, yields, is_over) = (entry.port, entry.yields, entry.is_empty());
        self.sums.requests -= connection;
        self.connections[port.index()] -= 1;
        if yields {
            self.yielding.requests -= connection;
        }
        if is_over {
            self.forget(holder);
        }
    }

    /// Who was told to yield since the last call.
    pub fn take_yielding(&mut self) -> Vec<Holder> {
        std::mem::take(&mut self.yielded)
    }

    /// What was decided since the last call, and how full the ledger is.
    pub fn take_report(&mut self) -> Report {
        let others = [Port::Trusted, Port::Links].map(|port| self.connections(port));
        Report {
            tally: std::mem::take(&mut self.tally),
            held: self.total(),
            callers: self.connections(Port::Callers),
            others: others.iter().sum(),
            capacity: self.capacity,
        }
    }

    /// The invariants that do not hold, in readable text.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let all = self.present().map(Entry::sums);
        let all = all.fold(Sums::default(), Add::add);
        let yielding = self.present().filter(|entry| entry.yields);
        let yielding = yielding.map(Entry::sums).fold(Sums::default(), Add::add);
        let checks = [
            (all == self.sums, "the sum is that of all connections"),
            (yielding == self.yielding, "so is that of those that yield"),
            (
                self.sums.all() <= self.capacity.memory,
                "the sum is within the capacity",
            ),
        ];
        let broken = checks.iter().filter(|(holds, _)| !holds);
        broken
            .map(|(_, text)| format!("{text}: {self:?}"))
            .collect()
    }

    fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().flatten()
    }

    fn entry(&self, holder: Holder) -> Option<&Entry> {
        let entry = self.entries.get(holder.index)?.as_ref()?;
        (entry.generation == holder.generation).then_some(entry)
    }

    fn entry_mut(&mut self, holder: Holder) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(holder.index)?.as_mut()?;
        (entry.generation == holder.generation).then_some(entry)
    }

    fn forget(&mut self, holder: Holder) {
        self.entries[holder.index] = None;
        self.free.push(holder.index);
    }

    /// Whether there is room where connections hold `sums`.
    ///
    /// What connections and small requests take beyond their own part of the capacity, and answers beyond theirs, is in the
    /// part that is for all; a large request uses nothing else.
    fn fits(&self, need: Need, sums: Sums) -> bool {
        let Capacity { small, answers, .. } = self.capacity;
        let used = match need.part {
            Use::Request if need.request <= SMALL => {
                (sums.requests + need.extra).less(small) + sums.answers.less(answers)
            }
            Use::Request => sums.requests + need.extra + sums.answers.less(answers),
            Use::Answer => sums.requests.less(small) + (sums.answers + need.extra).less(answers),
        };
        used <= self.capacity.shared()
    }

    /// Has connections yield until there will be room for what is needed. Returns whether there will be; nobody yields in
    /// vain.
    fn make_room(&mut self, need: Need, asker: Option<Holder>, now: Instant) -> bool {
        let mut rest = self.sums.without(self.yielding);
        if self.fits(need, rest) {
            return true;
        }
        let is_small = need.part == Use::Request && need.request <= SMALL;
        let outweighs = |entry: &Entry| {
            let is_reading = entry.phase == Phase::Reading && !entry.yields && !entry.is_closed;
            is_small && is_reading && entry.request > need.request * OUTWEIGHS
        };
        let candidates = self.entries.iter().enumerate();
        let candidates = candidates.filter_map(|(index, entry)| {
            let entry = entry.as_ref()?;
            let generation = entry.generation;
            let holder = Holder { index, generation };
            // Connections of other VMs that are kept for further requests have little, and closing one may lose a request.
            let is_kept = entry.port != Port::Callers && entry.phase == Phase::Idle;
            let yields = !is_kept && entry.is_stalled(now) || outweighs(entry);
            (yields && Some(holder) != asker).then(|| {
                // Those that make progress come last, the largest of them first.
                let rank = (entry.is_stalled(now), entry.weight(now), entry.request);
                (rank, entry.sums(), holder)
            })
        });
        let mut candidates: Vec<_> = candidates.collect();
        let available = candidates.iter().map(|(_, sums, _)| *sums);
        let available = available.fold(Sums::default(), Add::add);
        if !self.fits(need, rest.without(available)) {
            return false;
        }
        candidates.sort_unstable_by_key(|(rank, ..)| Reverse(*rank));
        for (_, sums, holder) in candidates {
            if self.fits(need, rest) {
                break;
            }
            rest = rest.without(sums);
            self.have_yield(holder);
        }
        true
    }

    /// Has the connection of a way in yield that has been stalled for longest, one that is between requests first. Returns
    /// whether there will be a place.
    fn make_place(&mut self, port: Port, now: Instant) -> bool {
        let on_port = |entry: &&Entry| entry.port == port && entry.yields && !entry.is_closed;
        if self.present().any(|entry| on_port(&entry)) {
            return true;
        }
        let stalled = self
            .entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| {
                let entry = entry.as_ref()?;
                let generation = entry.generation;
                let rank = (entry.phase == Phase::Idle, entry.lag(now));
                let is_stalled = entry.port == port && entry.is_stalled(now);
                is_stalled.then_some((rank, Holder { index, generation }))
            });
        let longest = stalled.max_by_key(|(rank, _)| *rank);
        let Some((_, holder)) = longest else {
            return false;
        };
        self.have_yield(holder);
        true
    }

    fn have_yield(&mut self, holder: Holder) {
        let Some(entry) = self.entry_mut(holder) else {
            return;
        };
        entry.yields = true;
        let sums = entry.sums();
        self.yielding = self.yielding + sums;
        self.yielded.push(holder);
        self.tally.yielded += 1;
    }
}
