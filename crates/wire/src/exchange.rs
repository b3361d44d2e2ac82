//! Batches of encoded messages between VMs, on an event loop that the caller runs.
//!
//! The batch is opaque here; the shell encodes and decodes it. A [`Sender`] is one connection to one VM, and
//! [`serve`] takes batches in from one connection. Both need a local task set, since the RPC library isn't `Send`.

use std::net::SocketAddr;
use std::rc::Rc;

use capnp::capability::Promise;
use capnp_rpc::pry;
use capnp_rpc::rpc_twoparty_capnp::Side;
use dahliastile_core::id::{Incarnation, Vm};
use dahliastile_core::time::Span;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::error::{Error, Result, Step};
use crate::exchange_capnp::exchange;
use crate::link::{Socket, rpc, within};

/// What takes batches in.
pub trait Sink: 'static {
    /// Takes a batch of a VM in.
    fn take(&self, from: Vm, incarnation: Incarnation, batch: &[u8]);
}

/// A connection to another VM. Dropping it closes the connection.
pub struct Sender {
    /// What takes batches on the other side.
    peer: exchange::Client,
    /// The task that drives the connection.
    driver: JoinHandle<()>,
    /// The stream.
    _socket: Socket,
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Sender {
    /// Connects to a VM.
    ///
    /// # Errors
    /// Where no connection could be made within the limit.
    pub async fn open(address: SocketAddr, limit: Span) -> Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = within(Step::Connect, limit, connect).await?;
        let stream = stream.map_err(|error| Error::Connect(error.to_string()))?;
        let socket = Socket::new(stream);
        socket.trust().give();
        let mut system = rpc(&socket, Side::Client, None);
        let peer: exchange::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(async { drop(system.await) });
        Ok(Self {
            peer,
            driver,
            _socket: socket,
        })
    }

    /// Delivers a batch. It is on its way when this returns; the future waits until it has been taken in.
    ///
    /// # Errors
    /// The future's: where the other side did not take the batch in within the limit.
    pub fn deliver(
        &self,
        from: &Vm,
        incarnation: Incarnation,
        batch: &[u8],
        limit: Span,
    ) -> impl Future<Output = Result<()>> + 'static {
        let mut request = self.peer.deliver_request();
        let mut fields = request.get();
        fields.set_from(from.as_str());
        fields.set_incarnation(incarnation.0);
        fields.set_batch(batch);
        let answer = request.send().promise;
        async move {
            let answer = within(Step::Delivery, limit, answer).await?;
            answer
                .map(drop)
                .map_err(|error| Error::Broken(error.to_string()))
        }
    }
}

/// Takes batches in from one connection until it ends.
pub async fn serve<S: Sink>(stream: TcpStream, sink: Rc<S>) {
    let socket = Socket::new(stream);
    socket.trust().give();
    let client: exchange::Client = capnp_rpc::new_client(Receiver { sink });
    let system = rpc(&socket, Side::Server, Some(client.client));
    // The connection is over either way; the sender sees its own error and says so.
    drop(system.await);
}

/// The far end of a connection.
struct Receiver<S> {
    /// Where batches go.
    sink: Rc<S>,
}

impl<S: Sink> exchange::Server for Receiver<S> {
    fn deliver(
        &mut self,
        params: exchange::DeliverParams,
        _: exchange::DeliverResults,
    ) -> Promise<(), capnp::Error> {
        let params = pry!(params.get());
        let from = pry!(pry!(params.get_from()).to_str());
        let Ok(from) = from.parse() else {
            return Promise::err(capnp::Error::failed("not a name".to_owned()));
        };
        let incarnation = Incarnation(params.get_incarnation());
        self.sink.take(from, incarnation, pry!(params.get_batch()));
        Promise::ok(())
    }
}
