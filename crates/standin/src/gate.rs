//! The TCP front of a stand-in.
//!
//! `tiny_http` keeps its sockets to itself, so that an answer cannot be lost and a listener cannot
//! be taken away through it. A gate therefore relays bytes between the public port and the inner
//! server, and can refuse, freeze or cut connections on the way.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::listener;

/// Bytes relayed at a time.
const BUFFER: usize = 16 * 1024;

/// Pause between two attempts to take the public port back after an outage.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// How a stand-in treats its connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Connections work.
    #[default]
    None,
    /// Connections stay open but no byte passes; held bytes are delivered when the outage ends.
    Silent,
    /// Existing connections are cut and new ones are refused.
    Refused,
}

/// One relayed connection.
#[derive(Debug)]
pub(crate) struct Link {
    /// The socket towards the client.
    client: TcpStream,
    /// The socket towards the inner server.
    inner: TcpStream,
    /// Dropped when the client has gone.
    alive: Mutex<Option<flume::Sender<Infallible>>>,
    /// Disconnected when the client has gone.
    gone: flume::Receiver<Infallible>,
}

impl Link {
    fn new(client: TcpStream, inner: TcpStream) -> Self {
        let (alive, gone) = flume::bounded(0);
        Self {
            client,
            inner,
            alive: Mutex::new(Some(alive)),
            gone,
        }
    }

    /// Whether the client is still there, now and later.
    pub(crate) fn client(&self) -> Client {
        Client {
            gone: self.gone.clone(),
            keep: None,
        }
    }

    /// Closes both sides at once.
    pub(crate) fn cut(&self) {
        self.lose_client();
        // The peer may have closed already, which is as good.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.inner.shutdown(Shutdown::Both);
    }

    /// Closes both sides as soon as the client has what the server sent so far.
    pub(crate) fn close(&self) {
        // The relay still reads what has arrived, then finds the end and cuts.
        let _ = self.inner.shutdown(Shutdown::Read);
    }

    fn lose_client(&self) {
        self.alive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }
}

/// Tells whether a request's client is still connected.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    /// Disconnected when the client has gone.
    gone: flume::Receiver<Infallible>,
    /// Keeps `gone` connected for a client whose connection is not watched.
    keep: Option<flume::Sender<Infallible>>,
}

impl Client {
    /// A client whose connection is not watched, so that it never goes.
    pub(crate) fn unwatched() -> Self {
        let (keep, gone) = flume::bounded(0);
        Self {
            gone,
            keep: Some(keep),
        }
    }

    /// Whether the client has gone.
    pub(crate) fn is_gone(&self) -> bool {
        self.keep.is_none() && self.gone.is_disconnected()
    }

    /// Waits for a message; `None` when the channel has closed or the client has gone.
    pub(crate) fn wait<T>(&self, messages: &flume::Receiver<T>) -> Option<T> {
        // The selector may report the end of a channel that got its last messages in that moment, so it is looked at
        // once more.
        let receive = |message: Result<T, _>| message.ok().or_else(|| messages.try_recv().ok());
        let selector = flume::Selector::new().recv(messages, receive);
        selector.recv(&self.gone, |_| None).wait()
    }
}

/// What the gate's threads share.
#[derive(Debug, Default)]
struct State {
    /// The present treatment of connections.
    outage: Outage,
    /// Whether the public port is bound.
    listening: bool,
    /// Whether the gate is closing down.
    stopped: bool,
    /// Open connections by the address that the inner server sees.
    links: HashMap<SocketAddr, Arc<Link>>,
}

/// A relay in front of an inner server.
#[derive(Debug)]
pub(crate) struct Gate {
    /// The public address.
    address: SocketAddr,
    /// The inner server's address.
    inner: SocketAddr,
    /// What the threads share.
    state: Mutex<State>,
    /// Signalled on each change of `state`.
    changed: Condvar,
}

impl Gate {
    /// Binds the public port and starts to relay.
    pub(crate) fn start(listen: SocketAddr, inner: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let gate = Arc::new(Self {
            address: listener.local_addr()?,
            inner,
            state: Mutex::new(State {
                listening: true,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let relay = Arc::clone(&gate);
        thread::spawn(move || relay.run(listener));
        Ok(gate)
    }

    /// The public address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection that the inner server sees as `peer`.
    pub(crate) fn link(&self, peer: SocketAddr) -> Option<Arc<Link>> {
        self.lock().links.get(&peer).cloned()
    }

    /// Changes the treatment of connections and returns when it is in force.
    pub(crate) fn set_outage(&self, outage: Outage) {
        self.lock().outage = outage;
        self.changed.notify_all();
        match outage {
            Outage::Refused => {
                self.cut();
                self.wake();
            }
            Outage::None | Outage::Silent => {}
        }
        let bound = outage != Outage::Refused;
        let settled = |state: &mut State| {
            !state.stopped && state.outage == outage && state.listening != bound
        };
        drop(self.wait_while(self.lock(), settled));
    }

    /// Cuts all open connections.
    pub(crate) fn cut(&self) {
        let links: Vec<_> = self.lock().links.drain().map(|(_, link)| link).collect();
        for link in links {
            link.cut();
        }
    }

    /// Ends the relay and cuts its connections.
    pub(crate) fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
        self.wake();
        self.cut();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_while<'a>(
        &self,
        guard: MutexGuard<'a, State>,
        condition: impl FnMut(&mut State) -> bool,
    ) -> MutexGuard<'a, State> {
        self.changed
            .wait_while(guard, condition)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the accept loop look at the state again.
    fn wake(&self) {
        // A refused connection means that the loop does not wait in `accept`.
        drop(TcpStream::connect(self.address));
    }

    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            self.accept(&listener);
            listener::close(listener);
            match self.rebind() {
                Some(bound) => listener = bound,
                None => return,
            }
        }
    }

    /// Relays new connections until the port must be given up.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming() {
            let state = self.lock();
            if state.stopped || state.outage == Outage::Refused {
                return;
            }
            drop(state);
            // A connection that fails at once is the client's to notice.
            let _ = client.and_then(|client| self.relay(client));
        }
    }

    /// Waits until the port may be bound again; `None` when the gate stops.
    fn rebind(&self) -> Option<TcpListener> {
        let mut state = self.lock();
        state.listening = false;
        self.changed.notify_all();
        loop {
            state = self.wait_while(state, |s| !s.stopped && s.outage == Outage::Refused);
            if state.stopped {
                return None;
            }
            if let Ok(listener) = TcpListener::bind(self.address) {
                state.listening = true;
                self.changed.notify_all();
                return Some(listener);
            }
            let waited = self.changed.wait_timeout(state, REBIND_PAUSE);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn relay(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let inner = TcpStream::connect(self.inner)?;
        client.set_nodelay(true)?;
        inner.set_nodelay(true)?;
        let peer = inner.local_addr()?;
        let link = Arc::new(Link::new(client, inner));
        self.lock().links.insert(peer, Arc::clone(&link));
        let (gate, inward) = (Arc::clone(self), Arc::clone(&link));
        thread::spawn(move || {
            gate.pump(&inward.client, &inward.inner);
            inward.lose_client();
            let _ = inward.inner.shutdown(Shutdown::Write);
        });
        let gate = Arc::clone(self);
        thread::spawn(move || {
            gate.pump(&link.inner, &link.client);
            link.cut();
            gate.lock().links.remove(&peer);
        });
        Ok(())
    }

    /// Copies bytes until one side ends; holds them back during a silent outage.
    fn pump(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            let held = |state: &mut State| !state.stopped && state.outage == Outage::Silent;
            drop(self.wait_while(self.lock(), held));
            match buffer.get(..read) {
                Some(bytes) if read > 0 && to.write_all(bytes).is_ok() => {}
                _ => return,
            }
        }
    }
}
