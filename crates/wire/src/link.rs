//! Links between entry VMs.
//!
//! A [`Link`] is one thread with a single-threaded event loop; the RPC library needs one. It listens for peers and
//! holds a connection to each peer that there is something to send to. Connections are used one way only: a VM
//! sends on the ones it made and receives on the ones it took in, so each side decides alone when to connect.

mod context;
mod count;
mod courier;
mod door;
mod guests;
mod inbound;
mod outbox;
mod proof;
mod session;
mod settings;
mod socket;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use dahliastile_core::id;
use dahliastile_core::peer::Message;
use dahliastile_core::time::Span;
use flume::Sender;
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, LocalSet};

pub use self::context::Incoming;
pub use self::count::Counts;
pub use self::proof::Secret;
pub use self::settings::{Limits, Settings};

use self::context::Context;
use self::courier::Courier;
use self::inbound::Inbound;
pub(crate) use self::socket::Socket;
use crate::error::{Error, Result, Step};
use crate::message::{MAX_MESSAGE, WORD, encode_bounded};

/// The pause after a failure to accept a connection, mostly for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The limits for one RPC message. A delivery with the largest message fits twice.
const LIMITS: ReaderOptions = ReaderOptions {
    traversal_limit_in_words: Some(2 * MAX_MESSAGE / WORD),
    nesting_limit: 32,
};

/// The links of one VM to others. Dropping it stops them.
#[derive(Debug)]
pub struct Link {
    /// What the thread shares with this handle.
    context: Arc<Context>,
    /// Where the thread listens.
    address: SocketAddr,
    /// Asks the thread for a courier to a peer.
    opened: mpsc::UnboundedSender<id::Vm>,
    /// Tells the thread to stop.
    stop: watch::Sender<bool>,
    /// The thread, until it has ended.
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// Starts to listen. What comes in goes to `incoming`; where that is bounded and full, it is dropped.
    ///
    /// # Errors
    /// Where the address can't be listened on, or the thread can't be started.
    pub fn start(settings: Settings, incoming: Sender<Incoming>) -> Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .map_err(|error| Error::Start(error.to_string()))?;
        let (listener, address) = listen(&runtime, settings.listen)?;
        let context = Arc::new(Context::new(settings, incoming));
        let (opened, requests) = mpsc::unbounded_channel();
        let (stop, stopping) = watch::channel(false);
        let hub = Hub {
            context: context.clone(),
            requests,
            stop: stopping,
        };
        let thread = thread::Builder::new()
            .name("peer-link".to_owned())
            .spawn(move || hub.run(&runtime, listener))
            .map_err(|error| Error::Start(error.to_string()))?;
        Ok(Self {
            context,
            address,
            opened,
            stop,
            thread: Some(thread),
        })
    }

    /// The address that peers can reach this VM at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message to a peer, without waiting. It may be lost: where it can't be delivered, a later
    /// [`Incoming::Down`] says so of the peer, not of the message.
    pub fn send(&self, to: &id::Vm, address: &str, message: &Message) {
        let Some(bytes) = encode_bounded(message) else {
            self.context.counters.oversized.one();
            return;
        };
        let put = self.context.outbox.put(to, address, bytes);
        self.context.counters.dropped.add(put.dropped);
        if put.opened {
            // The thread is gone only when this handle is about to be.
            let _ = self.opened.send(to.clone());
        }
    }

    /// What was done since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.context.counters.read()
    }

    /// Stops listening, waits a bounded time until what was sent is delivered, and ends all links.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already, and there is nothing left to do for it.
            let _ = thread.join();
        }
    }
}

fn listen(runtime: &Runtime, address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let bind = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let _context = runtime.enter();
        Ok((TcpListener::from_std(listener)?, bound))
    };
    bind().map_err(|error: std::io::Error| Error::Listen {
        address: address.to_string(),
        cause: error.to_string(),
    })
}

/// What the link's thread runs: it takes connections in and starts a courier for each peer to send to.
struct Hub {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// Peers that need a courier.
    requests: mpsc::UnboundedReceiver<id::Vm>,
    /// Says when to stop.
    stop: watch::Receiver<bool>,
}

impl Hub {
    fn run(self, runtime: &Runtime, listener: TcpListener) {
        let local = LocalSet::new();
        runtime.block_on(local.run_until(self.serve(listener)));
    }

    async fn serve(mut self, listener: TcpListener) {
        let inbound = Inbound::new(self.context.clone());
        let mut couriers = JoinSet::new();
        while !*self.stop.borrow_and_update() {
            tokio::select! {
                Some(vm) = self.requests.recv() => {
                    couriers.spawn_local(self.courier(vm).run());
                }
                Some(_) = couriers.join_next() => {}
                _ = self.stop.changed() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => inbound.take(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
            }
        }
        drop(listener);
        self.flush(couriers).await;
    }

    fn courier(&self, vm: id::Vm) -> Courier {
        Courier::new(self.context.clone(), vm, self.stop.clone())
    }

    /// Waits until all that was sent before the stop is delivered.
    async fn flush(mut self, mut couriers: JoinSet<()>) {
        while let Ok(vm) = self.requests.try_recv() {
            couriers.spawn_local(self.courier(vm).run());
        }
        let limit = duration(self.context.limits.flush);
        let delivered = async { while couriers.join_next().await.is_some() {} };
        // What is not delivered by then is lost, as it would be on the network.
        let _ = tokio::time::timeout(limit, delivered).await;
    }
}

/// Sets up the RPC system on a connection.
pub(crate) fn rpc(
    socket: &Socket,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let reader = BufReader::new(socket.half());
    let writer = BufWriter::new(socket.half());
    let network = VatNetwork::new(reader, writer, side, LIMITS);
    RpcSystem::new(Box::new(network), bootstrap)
}

/// Waits for a step, but not longer than its limit.
pub(crate) async fn within<T>(step: Step, limit: Span, work: impl Future<Output = T>) -> Result<T> {
    tokio::time::timeout(duration(limit), work)
        .await
        .map_err(|_| Error::Timeout { step, limit })
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
