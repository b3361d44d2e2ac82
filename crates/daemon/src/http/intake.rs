//! The ledger of what clients make this process hold, as the threads of connections use it.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use dahliastile_core::time;
use dahliastile_intake::{Capacity, Grant, Holder, Ledger, Phase, Port, Report, Size, Use};
use dahliastile_outside::Room;

use super::gate::Connection;

/// The receive buffer that the system is asked for, in bytes: what comes and is not read yet is memory, too.
const RECEIVE_BUFFER: usize = 32 * 1024;

/// What a connection takes itself: its receive buffer, the stacks and buffers of its threads, and what the HTTP library has.
const CONNECTION: Size = Size(RECEIVE_BUFFER + 64 * 1024);

/// Descriptors of a connection: its socket, the two ends of the one towards the HTTP library, a copy of one of them there, and
/// one to a server.
pub(crate) const DESCRIPTORS: usize = 5;

/// How many times its length a request takes: in the gate or the thread that reads it, for the node, and twice where it is sent.
pub(crate) const REQUEST_COPIES: usize = 4;

/// How many times its weight a request in JSON takes: for the node, and where it is sent.
const JSON_COPIES: usize = 2;

/// How many times its length an answer takes: as it is read, and as it is written.
pub(crate) const ANSWER_COPIES: usize = 2;

/// How long a new connection waits for another one that yields to it.
const PLACE_PATIENCE: Duration = Duration::from_millis(100);

/// How long a request waits for connections that yield to it.
const ROOM_PATIENCE: Duration = Duration::from_secs(1);

/// The pause before room for an answer is asked for again, where nobody yields yet.
const ANSWER_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// The connections that can be told to yield.
    connections: HashMap<Holder, Weak<Connection>>,
}

/// The ledger of this process.
#[derive(Debug)]
pub(crate) struct Intake {
    state: Mutex<State>,
    /// Signalled when something is given back.
    released: Condvar,
    origin: Instant,
}

impl Intake {
    pub(crate) fn new(capacity: Capacity) -> Arc<Self> {
        let state = State {
            ledger: Ledger::new(capacity),
            connections: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            released: Condvar::new(),
            origin: Instant::now(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> time::Instant {
        let micros = self.origin.elapsed().as_micros();
        time::Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Asks the ledger, and ends the connections that yield.
    fn ask<T>(&self, ask: impl FnOnce(&mut Ledger, time::Instant) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let answer = ask(&mut state.ledger, now);
        let yielding = state.ledger.take_yielding();
        let connection = |holder| state.connections.get(holder).and_then(Weak::upgrade);
        let yielding: Vec<_> = yielding.iter().filter_map(connection).collect();
        drop(state);
        for connection in yielding {
            // A request may have been passed on since it was told.
            if connection.slot.is_yielding() {
                connection.lose();
            }
        }
        answer
    }

    /// Asks until there is room, nobody yields, or the patience is over.
    fn ask_for<T>(
        &self,
        patience: Duration,
        mut ask: impl FnMut(&mut Ledger, time::Instant) -> Result<T, Grant>,
    ) -> Option<T> {
        let end = Instant::now() + patience;
        loop {
            match self.ask(&mut ask) {
                Ok(granted) => return Some(granted),
                Err(Grant::Refused) => return None,
                Err(_) => {}
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            // Who yields may have ended before this waits, so that it looks again soon.
            let state = self.lock();
            drop(self.released.wait_timeout(state, left.min(ANSWER_PAUSE)));
        }
    }

    /// Takes a connection in, or returns none where it has to be closed.
    pub(super) fn open(self: &Arc<Self>, port: Port) -> Option<Slot> {
        let open = |ledger: &mut Ledger, now| ledger.open(port, CONNECTION, now);
        let holder = self.ask_for(PLACE_PATIENCE, open)?;
        Some(Slot {
            intake: Arc::clone(self),
            holder,
        })
    }

    /// What was decided since the last call, and how full it is.
    pub(crate) fn take_report(&self) -> Report {
        self.lock().ledger.take_report()
    }
}

/// A connection's place in the ledger. Dropping it gives back all that the connection held.
#[derive(Debug)]
pub(crate) struct Slot {
    intake: Arc<Intake>,
    holder: Holder,
}

impl Slot {
    /// From now on this connection can be told to yield.
    pub(super) fn attach(&self, connection: &Arc<Connection>) {
        let mut state = self.intake.lock();
        let yields = state.ledger.is_yielding(self.holder);
        let connection = Arc::downgrade(connection);
        state.connections.insert(self.holder, connection.clone());
        drop(state);
        if let Some(connection) = connection.upgrade().filter(|_| yields) {
            connection.lose();
        }
    }

    fn is_yielding(&self) -> bool {
        self.intake.lock().ledger.is_yielding(self.holder)
    }

    /// Notes that the client sent or read bytes.
    pub(super) fn progress(&self, bytes: usize) {
        self.intake
            .ask(|ledger, now| ledger.progress(self.holder, bytes, now));
    }

    /// Notes what the connection waits for.
    pub(super) fn enter(&self, phase: Phase) {
        self.intake
            .ask(|ledger, now| ledger.enter(self.holder, phase, now));
    }

    fn grow(&self, part: Use, extra: Size, patience: Duration) -> bool {
        let grow = |ledger: &mut Ledger, now| match ledger.grow(self.holder, part, extra, now) {
            Grant::Granted => Ok(()),
            other => Err(other),
        };
        self.intake.ask_for(patience, grow).is_some()
    }

    /// Gives back room.
    pub(super) fn shrink(&self, part: Use, size: Size) {
        if size > Size::ZERO {
            self.intake.lock().ledger.shrink(self.holder, part, size);
            self.intake.released.notify_all();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        state.ledger.release(self.holder, Use::Request);
        state.ledger.release(self.holder, Use::Answer);
        state.ledger.close(self.holder);
        state.connections.remove(&self.holder);
        drop(state);
        self.intake.released.notify_all();
    }
}

/// Room that is taken for a request. Dropping it gives the room back.
#[derive(Debug)]
pub(crate) struct Charge {
    connection: Arc<Connection>,
    size: Size,
}

impl Charge {
    /// Room for nothing yet.
    pub(super) fn new(connection: &Arc<Connection>) -> Self {
        Self {
            connection: Arc::clone(connection),
            size: Size::ZERO,
        }
    }

    /// Takes room for `size` in all, once others have yielded. Returns whether there is any.
    pub(super) fn extend_to(&mut self, size: Size) -> bool {
        let extra = size.less(self.size);
        let slot = &self.connection.slot;
        let fits = extra == Size::ZERO || slot.grow(Use::Request, extra, ROOM_PATIENCE);
        if fits {
            self.size += extra;
        }
        fits
    }

    /// Takes room for the JSON that a request holds. Returns whether there is any.
    pub(super) fn extend_by_json(&mut self, text: &[u8]) -> bool {
        let weight = dahliastile_intake::json_weight(text) * JSON_COPIES;
        self.extend_to(self.size + weight)
    }

    /// The way in which an answer to this request takes room.
    pub(crate) fn answer_room(&self) -> AnswerRoom {
        AnswerRoom {
            connection: Arc::clone(&self.connection),
            size: Size::ZERO,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.connection.slot.shrink(Use::Request, self.size);
    }
}

/// Room that an answer takes as it is read from its server. Without room its server is not read.
#[derive(Debug)]
pub(crate) struct AnswerRoom {
    connection: Arc<Connection>,
    size: Size,
}

impl AnswerRoom {
    /// The answer has come, and keeps its room until its caller has it.
    pub(crate) fn keep(mut self) {
        self.connection.keep_answer(std::mem::take(&mut self.size));
    }
}

impl Room for AnswerRoom {
    fn extend_to(&mut self, length: usize, end: Instant) -> bool {
        let extra = (Size(length) * ANSWER_COPIES).less(self.size);
        if extra == Size::ZERO {
            return true;
        }
        while !self.connection.slot.grow(Use::Answer, extra, ROOM_PATIENCE) {
            if self.connection.is_gone() || Instant::now() >= end {
                return false;
            }
            std::thread::sleep(ANSWER_PAUSE);
        }
        self.size += extra;
        true
    }
}

impl Drop for AnswerRoom {
    fn drop(&mut self) {
        self.connection.slot.shrink(Use::Answer, self.size);
    }
}

/// Listens, with a bound on what the system holds of each connection that is not read yet.
pub(super) fn bound_receive_buffer(listener: &std::net::TcpListener) -> std::io::Result<()> {
    socket2::SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER)
}
