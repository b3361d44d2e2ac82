//! The ledger of what clients make this process hold, as the tasks of connections use it.
//!
//! A task that asks for room waits while others yield. A connection that is to yield is told through its [`Slot`]; a
//! [`Charge`] is held as long as the bytes that it stands for, and gives its room back when it is dropped.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dahliastile_core::time::Instant;
use dahliastile_intake::{Capacity, Grant, Holder, Ledger, Phase, Port, Report, Size, Use};
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;

/// The receive buffer that the system is asked for, in bytes. What comes and is not read yet counts as memory of the process;
/// without a bound, the system lets it grow to megabytes a connection.
pub(crate) const RECEIVE_BUFFER: u32 = 32 * 1024;

/// What of a head is counted with its connection.
pub(crate) const UNCOUNTED_HEAD: Size = Size::kib(16);

/// What a connection takes itself: its receive buffer, the buffers of the HTTP library and its task.
const CONNECTION: Size = Size(RECEIVE_BUFFER as usize + UNCOUNTED_HEAD.0);

/// Descriptors of a connection: its own, and one to a server.
pub(crate) const DESCRIPTORS: usize = 2;

/// A body or an answer up to this size is counted with its connection.
const UNCOUNTED: Size = Size::kib(4);

/// How long a new connection waits for another one that yields to it.
const PLACE_PATIENCE: Duration = Duration::from_millis(100);

/// How long a request waits for connections that yield to it.
const ROOM_PATIENCE: Duration = Duration::from_secs(1);

/// The pause before room for an answer is asked for again, where nobody yields yet.
const ANSWER_PAUSE: Duration = Duration::from_millis(50);

/// Connections that the system may have accepted for this process.
const BACKLOG: u32 = 1_024;

/// There is no room, and nobody yields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

struct Shared {
    ledger: Ledger,
    /// How connections are told to yield.
    signals: FxHashMap<Holder, Arc<Notify>>,
}

/// The ledger of this process.
pub(crate) struct Intake {
    shared: Mutex<Shared>,
    /// Told when something is given back.
    released: Notify,
    clock: Clock,
}

impl Intake {
    pub(crate) fn new(capacity: Capacity) -> Arc<Self> {
        let shared = Shared {
            ledger: Ledger::new(capacity),
            signals: FxHashMap::default(),
        };
        Arc::new(Self {
            shared: Mutex::new(shared),
            released: Notify::new(),
            clock: Clock::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the ledger, and tells those who yield.
    fn ask<T>(&self, ask: impl FnOnce(&mut Ledger, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut shared = self.lock();
        let answer = ask(&mut shared.ledger, now);
        for holder in shared.ledger.take_yielding() {
            if let Some(signal) = shared.signals.get(&holder) {
                signal.notify_one();
            }
        }
        answer
    }

    /// Takes a connection in, or returns none where it has to be closed.
    pub(crate) async fn open(self: &Arc<Self>, port: Port) -> Option<Arc<Slot>> {
        let opened = async {
            loop {
                let released = self.released.notified();
                match self.ask(|ledger, now| ledger.open(port, CONNECTION, now)) {
                    Ok(holder) => return Some(holder),
                    Err(Grant::Wait) => released.await,
                    Err(_) => return None,
                }
            }
        };
        let holder = timeout(PLACE_PATIENCE, opened).await.ok()??;
        let signal = Arc::new(Notify::new());
        self.lock().signals.insert(holder, signal.clone());
        Some(Arc::new(Slot {
            intake: self.clone(),
            holder,
            signal,
        }))
    }

    /// The largest body that can be held, where nothing else is.
    pub(crate) fn largest_body(&self) -> Size {
        self.lock().ledger.capacity().largest(CONNECTION)
    }

    /// What was decided since the last call, and how full it is.
    pub(crate) fn take_report(&self) -> Report {
        self.lock().ledger.take_report()
    }
}

/// A connection's place in the ledger. Dropping it says that the connection has ended.
pub(crate) struct Slot {
    intake: Arc<Intake>,
    holder: Holder,
    /// Told when the connection is to yield.
    signal: Arc<Notify>,
}

impl Slot {
    /// Notes that the client sent or read bytes.
    pub(crate) fn progress(&self, bytes: usize) {
        self.intake
            .ask(|ledger, now| ledger.progress(self.holder, bytes, now));
    }

    /// Notes what the connection waits for.
    pub(crate) fn enter(&self, phase: Phase) {
        self.intake
            .ask(|ledger, now| ledger.enter(self.holder, phase, now));
    }

    /// Returns when the connection is to end, for others.
    pub(crate) async fn yields(&self) {
        loop {
            self.signal.notified().await;
            // A request may have been passed on since it was told.
            if self.intake.lock().ledger.is_yielding(self.holder) {
                break;
            }
        }
        // Whoever else asks is told as well.
        self.signal.notify_one();
    }

    /// Room for nothing yet.
    pub(crate) fn charge(self: &Arc<Self>, part: Use) -> Charge {
        Charge {
            slot: self.clone(),
            part,
            size: Size::ZERO,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut shared = self.intake.lock();
        shared.ledger.close(self.holder);
        shared.signals.remove(&self.holder);
        drop(shared);
        self.intake.released.notify_waiters();
    }
}

/// Room that is taken for a part of a request or of an answer. Dropping it gives the room back.
pub(crate) struct Charge {
    slot: Arc<Slot>,
    part: Use,
    size: Size,
}

impl Charge {
    fn grow(&mut self, extra: Size) -> Grant {
        let Slot { intake, holder, .. } = &*self.slot;
        let grant = intake.ask(|ledger, now| ledger.grow(*holder, self.part, extra, now));
        if grant == Grant::Granted {
            self.size += extra;
        }
        grant
    }

    /// Takes room for `size` in all, where there is some at once.
    ///
    /// # Errors
    /// Where there is none.
    pub(crate) fn try_extend_to(&mut self, size: Size) -> Result<(), Full> {
        match size.less(self.size) {
            Size::ZERO => Ok(()),
            extra if self.grow(extra) == Grant::Granted => Ok(()),
            _ => Err(Full),
        }
    }

    /// Takes room for `size` in all, once others have yielded.
    ///
    /// # Errors
    /// Where there is none.
    pub(crate) async fn extend_to(&mut self, size: Size) -> Result<(), Full> {
        let extra = size.less(self.size);
        if extra == Size::ZERO {
            return Ok(());
        }
        let intake = self.slot.intake.clone();
        let grown = async {
            loop {
                let released = intake.released.notified();
                match self.grow(extra) {
                    Grant::Granted => return Ok(()),
                    Grant::Wait => released.await,
                    Grant::Refused => return Err(Full),
                }
            }
        };
        timeout(ROOM_PATIENCE, grown).await.unwrap_or(Err(Full))
    }

    /// Takes room for `size` in all, however long that takes: what a server has answered can't be refused.
    pub(crate) async fn await_room(&mut self, size: Size) {
        while self.size < size && self.extend_to(size).await.is_err() {
            tokio::time::sleep(ANSWER_PAUSE).await;
        }
    }

    /// Takes a part of the room off, at most all of it.
    pub(crate) fn split(&mut self, size: Size) -> Self {
        let size = size.min(self.size);
        self.size -= size;
        Self {
            slot: self.slot.clone(),
            part: self.part,
            size,
        }
    }

    /// Bytes that keep this room until their last copy is dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        match self.size {
            Size::ZERO => bytes,
            _ => Bytes::from_owner(Charged {
                bytes,
                _charge: self,
            }),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.size == Size::ZERO {
            return;
        }
        let Slot { intake, holder, .. } = &*self.slot;
        intake.lock().ledger.shrink(*holder, self.part, self.size);
        intake.released.notify_waiters();
    }
}

/// Bytes with the room that they take.
struct Charged {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes of a body that grows, in one piece: a small piece that is kept as it came holds the whole buffer that it came in.
pub(crate) struct Gathered {
    bytes: Vec<u8>,
    charge: Charge,
    /// No more will come.
    limit: usize,
}

impl Gathered {
    /// Nothing yet, of at most `limit` bytes.
    pub(crate) fn new(charge: Charge, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            charge,
            limit,
        }
    }

    /// Adds a piece.
    ///
    /// # Errors
    /// Where there is no room for it.
    pub(crate) async fn add(&mut self, piece: &[u8]) -> Result<(), Full> {
        let capacity = self.capacity_for(piece.len());
        if capacity > UNCOUNTED.0 {
            self.charge.extend_to(Size(capacity)).await?;
        }
        self.push(piece, capacity);
        Ok(())
    }

    /// Adds a piece of an answer, once there is room.
    pub(crate) async fn add_later(&mut self, piece: &[u8]) {
        let capacity = self.capacity_for(piece.len());
        if capacity > UNCOUNTED.0 {
            self.charge.await_room(Size(capacity)).await;
        }
        self.push(piece, capacity);
    }

    /// Takes room for all of an answer at once, where its length is known, so that answers don't wait for each other with a
    /// part of each in hand.
    pub(crate) async fn await_all(&mut self, length: usize) {
        let length = length.min(self.limit);
        if length > UNCOUNTED.0 {
            self.charge.await_room(Size(length)).await;
            self.bytes.reserve_exact(length);
        }
    }

    /// The capacity that is enough for `more` bytes: it doubles, up to the limit.
    fn capacity_for(&self, more: usize) -> usize {
        let length = self.bytes.len() + more;
        match self.bytes.capacity() {
            capacity if capacity >= length => capacity,
            capacity => length.max(self.limit.min(capacity * 2)),
        }
    }

    fn push(&mut self, piece: &[u8], capacity: usize) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(piece);
    }

    /// All that came.
    pub(crate) fn finish(self) -> Bytes {
        self.charge.hold(Bytes::from(self.bytes))
    }
}

/// Listens, with a bound on what the system holds of each connection that is not read yet.
///
/// # Errors
/// Where the address can't be listened on.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
