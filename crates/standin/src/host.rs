//! Runs one stand-in: a gate, an HTTP server and a thread for each request.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request, Server};

use crate::call::Call;
use crate::gate::{Gate, Outage};

/// What a stand-in does with its requests.
pub trait Service: Send + Sync + 'static {
    /// The faults that can be set on it.
    type Fault: DeserializeOwned + Send;

    /// Answers one request; runs on a thread of its own.
    fn serve(&self, call: Call);

    /// Sets one fault.
    fn fault(&self, fault: Self::Fault);

    /// What happened so far, for `GET /record`.
    fn record(&self) -> Value {
        json!({})
    }

    /// Ends the service's threads and waits.
    fn stop(&self) {}
}

/// The faults that every stand-in has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Treats connections so from now on.
    Outage(Outage),
    /// Holds each request for this many milliseconds before it is looked at.
    DelayMs(u64),
    /// Cuts all open connections once.
    Cut,
}

/// The body of `POST /fault`: a fault of all stand-ins or of this one.
#[derive(Deserialize)]
#[serde(untagged)]
enum Order<F> {
    /// A fault that every stand-in has.
    Common(Fault),
    /// A fault of this service.
    Own(F),
}

/// A running stand-in; it stops when it is dropped.
pub struct Host<S: Service> {
    /// What the request threads share.
    inner: Arc<Inner<S>>,
    /// The HTTP server behind the gate.
    server: Arc<Server>,
    /// The HTTP server's own address.
    control: SocketAddr,
}

/// What the request threads share.
#[derive(Debug)]
struct Inner<S> {
    /// The stand-in itself.
    service: S,
    /// The public side.
    gate: Arc<Gate>,
    /// How long each request is held, in milliseconds.
    delay_ms: AtomicU64,
}

impl<S: Service> Host<S> {
    /// Starts a service on `listen`; port 0 lets the system choose.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn start(listen: SocketAddr, service: S) -> io::Result<Self> {
        let listener = without_delay(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?)?;
        let control = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let gate = Gate::start(listen, control)?;
        let inner = Arc::new(Inner {
            service,
            gate,
            delay_ms: AtomicU64::new(0),
        });
        let (shared, requests) = (Arc::clone(&inner), Arc::clone(&server));
        thread::spawn(move || {
            for request in requests.incoming_requests() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.handle(request));
            }
        });
        Ok(Self {
            inner,
            server,
            control,
        })
    }

    /// The address that clients use.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.gate.address()
    }

    /// An address that outages do not touch, for `POST /fault` and `GET /record`.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The service itself.
    #[must_use]
    pub fn service(&self) -> &S {
        &self.inner.service
    }

    /// Sets a fault of this service.
    pub fn fault(&self, fault: S::Fault) {
        self.inner.service.fault(fault);
    }

    /// Sets a fault that every stand-in has; it is in force on return.
    pub fn disturb(&self, fault: Fault) {
        self.inner.disturb(fault);
    }

    /// Ends the stand-in and cuts its connections.
    pub fn stop(&self) {
        self.inner.service.stop();
        self.inner.gate.stop();
        self.server.unblock();
    }
}

impl<S: Service> Drop for Host<S> {
    fn drop(&mut self) {
        self.stop();
    }
}

impl<S: Service> Inner<S> {
    fn handle(&self, request: Request) {
        let Some(call) = Call::read(request, &self.gate) else {
            return;
        };
        match (call.method(), call.path()) {
            (Method::Post, "/fault") => self.order(call),
            (Method::Get, "/record") => call.answer(200, &self.service.record()),
            _ => {
                self.hold();
                self.service.serve(call);
            }
        }
    }

    /// Models a slow service.
    fn hold(&self) {
        match self.delay_ms.load(Ordering::Relaxed) {
            0 => {}
            delay => thread::sleep(Duration::from_millis(delay)),
        }
    }

    fn order(&self, call: Call) {
        match call.json::<Order<S::Fault>>() {
            Ok(Order::Common(fault @ Fault::Outage(Outage::None))) => {
                // Who hears that the outage is over may rely on it.
                self.disturb(fault);
                call.answer(200, &json!({}));
            }
            Ok(Order::Common(fault)) => {
                // An answer through the gate must be out before the gate closes.
                call.answer(200, &json!({}));
                self.disturb(fault);
            }
            Ok(Order::Own(fault)) => {
                self.service.fault(fault);
                call.answer(200, &json!({}));
            }
            Err(error) => call.refuse(400, "bad_request", &error.to_string()),
        }
    }

    fn disturb(&self, fault: Fault) {
        match fault {
            Fault::Outage(outage) => self.gate.set_outage(outage),
            Fault::DelayMs(delay) => self.delay_ms.store(delay, Ordering::Relaxed),
            Fault::Cut => self.gate.cut(),
        }
    }
}

/// Turns off Nagle's algorithm; accepted sockets inherit the option from their listener.
///
/// The streams write small events, and a delayed acknowledgement would hold each one for 40 ms.
fn without_delay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}
