//! The TCP front of a listener: limits, and callers that go away.
//!
//! The HTTP library keeps its sockets to itself: it bounds neither connections nor heads, and a caller that hangs up
//! goes unnoticed until something is written to it. A gate holds the callers' sockets, checks each head, and relays
//! bytes to the library's own listener on the loopback interface.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use dahliastile_core::event::Event;
use dahliastile_core::id::Request;

use dahliastile_intake::{Phase, Size, Use};

use super::admission::Admission;
use super::head::Refusal;
use super::intake::{Charge, Intake, Slot};
use super::relay;
use crate::driver::{Input, Mailbox};

/// The stack of a thread that only moves bytes.
pub(super) const STACK: usize = 128 * 1024;

/// The pause after a failure to accept a connection, mostly for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long callers that are connected when the listener closes may take to send a request, which is still answered.
const GRACE: Duration = Duration::from_secs(2);

/// What a gate lets through.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// The largest head, in bytes.
    pub(crate) header_bytes: usize,
    /// The largest body, in bytes.
    pub(crate) body_bytes: usize,
    /// Connections at a time.
    pub(crate) connections: usize,
    /// How long a connection may stay without a byte from its caller.
    pub(crate) idle: Duration,
    /// How long a caller may leave its answer unread.
    pub(crate) slow: Duration,
}

/// What is known of a connection.
#[derive(Debug, Default)]
struct State {
    /// Requests passed on and not yet answered.
    pending: usize,
    /// Whether the body of the last of them is still on its way.
    partial: bool,
    /// The numbers of those that the node knows of.
    requests: Vec<Request>,
    /// Whether the caller has gone away.
    gone: bool,
    /// Whether the VM stopped reading within a request.
    stopped: bool,
    /// Why the next answer is a refusal; the connection ends with it.
    refusal: Option<Refusal>,
    /// The room that requests take which were passed on and not yet taken up.
    charges: VecDeque<Charge>,
    /// The room that answers take which have come whole and are not yet written.
    answers: Size,
}

/// One caller's connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The caller's socket.
    pub(super) caller: TcpStream,
    /// The socket towards the HTTP library.
    pub(super) inner: TcpStream,
    /// Where the node hears of callers that went away.
    mailbox: Mailbox,
    /// Its place in the ledger.
    pub(super) slot: Slot,
    /// What is known of it.
    state: Mutex<State>,
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request is passed on, with the room that it takes.
    pub(super) fn pass(&self, charge: Charge) {
        let mut state = self.lock();
        state.pending += 1;
        state.partial = true;
        state.charges.push_back(charge);
    }

    /// The room that the next request takes; none where it stands for a refused one.
    pub(super) fn take_charge(&self) -> Option<Charge> {
        self.lock().charges.pop_front()
    }

    /// Notes the room that an answer takes until it is written.
    pub(super) fn keep_answer(&self, size: Size) {
        self.lock().answers += size;
    }

    /// Gives back the room of requests that nobody takes up any more.
    pub(super) fn drop_charges(&self) {
        let charges = std::mem::take(&mut self.lock().charges);
        drop(charges);
    }

    /// Whether the caller has gone away.
    pub(super) fn is_gone(&self) -> bool {
        self.lock().gone
    }

    /// Notes what the connection waits for while nothing is written to its caller.
    pub(super) fn rest(&self) {
        let phase = if self.is_busy() {
            Phase::Running
        } else {
            Phase::Idle
        };
        self.slot.enter(phase);
    }

    /// Notes that the rest of it is passed on, too.
    pub(super) fn passed(&self) {
        self.lock().partial = false;
    }

    /// Whether a whole request has come, so that nothing more is waited for before its answer.
    fn is_served(&self) -> bool {
        let state = self.lock();
        state.pending > 0 && !state.partial
    }

    /// Whether an answer is due.
    pub(super) fn is_busy(&self) -> bool {
        self.lock().pending > 0
    }

    /// Notes that a refusal takes the place of the next request.
    pub(super) fn refuse(&self, refusal: Refusal) {
        let mut state = self.lock();
        state.refusal = Some(refusal);
        state.pending += 1;
    }

    /// Whether the connection ends with a refusal.
    pub(super) fn is_refused(&self) -> bool {
        self.lock().refusal.is_some()
    }

    /// The refusal that takes the place of a request.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        self.lock().refusal.clone()
    }

    /// Notes that the VM stops reading within a request.
    pub(super) fn stop(&self) {
        self.lock().stopped = true;
    }

    /// Whether the VM stopped reading within a request.
    pub(super) fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Ties a request of the node to the connection, unless the caller has gone away already.
    pub(super) fn begin(&self, request: Request) -> bool {
        let mut state = self.lock();
        if !state.gone {
            state.requests.push(request);
        }
        !state.gone
    }

    /// Notes that a request is over for the node.
    pub(super) fn finish(&self, request: Request) {
        self.lock().requests.retain(|other| *other != request);
    }

    /// Notes that a request is answered.
    pub(super) fn answered(&self) {
        let mut state = self.lock();
        state.pending = state.pending.saturating_sub(1);
        let written = match state.pending {
            0 => std::mem::take(&mut state.answers),
            _ => Size::ZERO,
        };
        drop(state);
        self.slot.shrink(Use::Answer, written);
    }

    /// The caller has gone away: its requests are given up and both sockets closed.
    pub(super) fn lose(&self) {
        // The room is given back when the lock of the state is, as it needs that of the ledger.
        let (requests, charges) = {
            let mut state = self.lock();
            state.gone = true;
            let requests = std::mem::take(&mut state.requests);
            (requests, std::mem::take(&mut state.charges))
        };
        drop(charges);
        for request in requests {
            self.mailbox.post(Input::Event(Event::Gone { request }));
        }
        self.cut();
    }

    /// Closes both sockets.
    pub(super) fn cut(&self) {
        // Either may be closed already, which is as good.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.inner.shutdown(Shutdown::Both);
    }
}

/// The connections of a gate.
#[derive(Debug, Default)]
struct Open {
    /// Whether the gate takes no more.
    closing: bool,
    /// The connections, by the address that the HTTP library sees.
    connections: HashMap<SocketAddr, Arc<Connection>>,
}

/// What the threads of a gate share.
#[derive(Debug)]
pub(super) struct Shared {
    /// What is let through.
    pub(super) limits: Limits,
    /// The HTTP library's listener.
    inner: SocketAddr,
    /// Where the node hears of callers that went away.
    mailbox: Mailbox,
    /// What clients make the process hold.
    intake: Arc<Intake>,
    /// Whose bodies are read.
    pub(super) admission: Admission,
    /// The connections.
    open: Mutex<Open>,
    /// Signalled when a connection ends, and when a request comes.
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the gate takes no more.
    pub(super) fn is_closing(&self) -> bool {
        self.lock().closing
    }

    /// Wakes who waits for requests or for the end of connections.
    pub(super) fn notify(&self) {
        // The lock makes sure that who waits has not just looked.
        drop(self.lock());
        self.changed.notify_all();
    }

    /// Waits until each connection has sent a request, or the grace is over.
    fn await_requests(&self) -> MutexGuard<'_, Open> {
        let idle = |open: &mut Open| open.connections.values().any(|c| !c.is_served());
        let waited = self.changed.wait_timeout_while(self.lock(), GRACE, idle);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// A front of a listener.
#[derive(Debug)]
pub(crate) struct Gate {
    /// What its threads share.
    shared: Arc<Shared>,
    /// Where callers are listened for.
    address: SocketAddr,
    /// The thread that accepts connections.
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

impl Gate {
    /// Begins to accept connections and to relay them to `inner`.
    pub(crate) fn start(
        listener: TcpListener,
        inner: SocketAddr,
        limits: Limits,
        mailbox: Mailbox,
        (intake, admission): (Arc<Intake>, Admission),
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            inner,
            mailbox,
            intake,
            admission,
            open: Mutex::default(),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .stack_size(STACK)
            .spawn(move || accept(&accepting, &listener))?;
        Ok(Self {
            shared,
            address,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Where callers are listened for.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection that the HTTP library sees under an address.
    pub(super) fn connection(&self, inner: &SocketAddr) -> Option<Arc<Connection>> {
        self.shared.lock().connections.get(inner).cloned()
    }

    /// Stops accepting, and, after a grace, reading more than what has arrived. Connections end when they are
    /// answered.
    pub(crate) fn close(&self) {
        self.shared.lock().closing = true;
        self.stop_accepting();
        let open = self.shared.await_requests();
        for connection in open.connections.values() {
            // One that is closed already is as good.
            let _ = connection.caller.shutdown(Shutdown::Read);
        }
    }

    fn stop_accepting(&self) {
        let acceptor = self
            .acceptor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(acceptor) = acceptor {
            // The acceptor waits for a connection; this one wakes it.
            let port = self.address.port();
            drop(TcpStream::connect((Ipv4Addr::LOCALHOST, port)));
            drop(TcpStream::connect(self.address));
            let _ = acceptor.join();
        }
    }

    /// Ends every connection, whatever is left of its answer.
    pub(crate) fn cut(&self) {
        for connection in self.shared.lock().connections.values() {
            connection.cut();
        }
    }

    /// Waits until every connection has ended.
    pub(crate) fn drain(&self) {
        let mut open = self.shared.lock();
        while !open.connections.is_empty() {
            open = self
                .shared
                .changed
                .wait(open)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Sets `TCP_NODELAY` on a listener, whose connections inherit it: pieces of a stream leave at once.
pub(super) fn without_delay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for caller in listener.incoming() {
        match caller {
            // A connection that fails at once, or for which nothing is left, is its caller's loss only.
            Ok(caller) => drop(welcome(shared, caller)),
            Err(_) => thread::sleep(ACCEPT_PAUSE),
        }
        if shared.is_closing() {
            return accept_rest(shared, listener);
        }
    }
}

/// Accepts the connections that the system has taken already, as it would reset them with the listener's end.
fn accept_rest(shared: &Arc<Shared>, listener: &TcpListener) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    while let Ok((caller, _)) = listener.accept() {
        drop(welcome(shared, caller));
    }
}

fn welcome(shared: &Arc<Shared>, caller: TcpStream) -> io::Result<()> {
    caller.set_nodelay(true)?;
    caller.set_read_timeout(Some(shared.limits.idle))?;
    caller.set_write_timeout(Some(shared.limits.slow))?;
    if shared.lock().connections.len() >= shared.limits.connections {
        return relay::turn_away(&caller);
    }
    let Some(slot) = shared.intake.open(shared.admission.port()) else {
        return relay::turn_away(&caller);
    };
    let inner = TcpStream::connect(shared.inner)?;
    inner.set_nodelay(true)?;
    let key = inner.local_addr()?;
    let connection = Arc::new(Connection {
        caller,
        inner,
        mailbox: shared.mailbox.clone(),
        slot,
        state: Mutex::default(),
    });
    connection.slot.attach(&connection);
    let entry = Arc::clone(&connection);
    shared.lock().connections.insert(key, entry);
    let relaying = Arc::clone(shared);
    let started = thread::Builder::new()
        .name("relay".to_owned())
        .stack_size(STACK)
        .spawn(move || {
            relay::run(&relaying, &connection);
            forget(&relaying, &key);
        });
    if started.is_err() {
        forget(shared, &key);
    }
    started.map(drop)
}

fn forget(shared: &Shared, key: &SocketAddr) {
    shared.lock().connections.remove(key);
    shared.changed.notify_all();
}
