//! A listener: a gate, the HTTP library behind it, and threads that answer requests.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

use tiny_http::Request;

use super::admission::Admission;
use super::gate::{self, Connection, Gate, Limits};
use super::intake::{self, Charge, Intake};
use super::relay;
use crate::driver::Mailbox;
use crate::error::{Error, Result};
use crate::pool::Pool;

/// Threads that tell callers that too many requests are in progress.
const REFUSERS: usize = 16;

/// A request with the connection that it came by.
pub(crate) struct Exchange {
    /// The request.
    pub(super) request: Request,
    /// Its connection.
    pub(super) connection: Arc<Connection>,
    /// The room that it takes; none where it stands for a refused one.
    pub(super) charge: Option<Charge>,
}

/// Answers requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers a request. Runs on a thread of its own.
    fn serve(&self, exchange: Exchange);

    /// Answers a request for which no thread is left.
    fn refuse(&self, exchange: Exchange);
}

/// A running listener.
pub(crate) struct Server {
    /// Its front.
    gate: Arc<Gate>,
    /// The HTTP library's server.
    library: Arc<tiny_http::Server>,
    /// The thread that hands requests to others.
    dispatcher: JoinHandle<()>,
}

/// What the dispatcher needs.
struct Dispatcher<S> {
    gate: Arc<Gate>,
    library: Arc<tiny_http::Server>,
    service: Arc<S>,
    requests: usize,
}

impl Server {
    /// Begins to listen, and to answer at most `requests` at a time.
    pub(crate) fn start<S: Service>(
        address: SocketAddr,
        limits: Limits,
        requests: usize,
        mailbox: Mailbox,
        admission: (Arc<Intake>, Admission),
        service: S,
    ) -> Result<Self> {
        let listener =
            TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
        intake::bound_receive_buffer(&listener)?;
        let (library, inner) = library().map_err(|error| Error::Http(error.to_string()))?;
        let gate = Arc::new(Gate::start(listener, inner, limits, mailbox, admission)?);
        let dispatcher = Dispatcher {
            gate: Arc::clone(&gate),
            library: Arc::clone(&library),
            service: Arc::new(service),
            requests,
        };
        let dispatcher = thread::Builder::new()
            .name("dispatch".to_owned())
            .spawn(move || dispatcher.run())?;
        Ok(Self {
            gate,
            library,
            dispatcher,
        })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Stops accepting. Requests in progress go on.
    pub(crate) fn close(&self) {
        self.gate.close();
    }

    /// What ends every connection, from any thread.
    pub(crate) fn cutter(&self) -> impl FnOnce() + Send + 'static {
        let gate = Arc::clone(&self.gate);
        move || gate.cut()
    }

    /// Waits until every answer is written, and ends.
    pub(crate) fn finish(self) {
        self.gate.close();
        self.gate.drain();
        self.library.unblock();
        // A panic of the thread has already ended it.
        let _ = self.dispatcher.join();
    }
}

fn library() -> std::result::Result<
    (Arc<tiny_http::Server>, SocketAddr),
    Box<dyn std::error::Error + Send + Sync>,
> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let inner = listener.local_addr()?;
    let listener = gate::without_delay(listener)?;
    let library = tiny_http::Server::from_listener(listener, None)?;
    Ok((Arc::new(library), inner))
}

impl<S: Service> Dispatcher<S> {
    fn run(self) {
        let open = Arc::new(AtomicUsize::new(0));
        let context = (Arc::clone(&self.service), Arc::clone(&open));
        let workers = Pool::new(
            "answer",
            self.requests,
            context,
            |(service, open), exchange| {
                serve(service.as_ref(), exchange, S::serve);
                open.fetch_sub(1, Ordering::SeqCst);
            },
        );
        let refusers = Pool::new("refuse", REFUSERS, self.service, |service, exchange| {
            serve(service.as_ref(), exchange, S::refuse);
        });
        while let Some(request) = next(&self.library) {
            let connection = request
                .remote_addr()
                .and_then(|inner| self.gate.connection(inner));
            // A connection that did not come through the gate gets no answer.
            let Some(connection) = connection else {
                continue;
            };
            let charge = match request.url() {
                relay::REFUSED => None,
                _ => connection.take_charge(),
            };
            let exchange = Exchange {
                request,
                connection,
                charge,
            };
            if open.fetch_add(1, Ordering::SeqCst) < self.requests {
                workers.give(exchange);
            } else {
                open.fetch_sub(1, Ordering::SeqCst);
                refusers.give(exchange);
            }
        }
    }
}

/// The next request; none once the listener has ended.
fn next(library: &tiny_http::Server) -> Option<Request> {
    let result: io::Result<Request> = library.recv();
    result.ok()
}

fn serve<S>(service: &S, exchange: Exchange, with: impl Fn(&S, Exchange)) {
    let connection = Arc::clone(&exchange.connection);
    with(service, exchange);
    connection.answered();
}
