//! Connections from other VMs, from the first byte to the end.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::channel::oneshot;
use tokio::net::TcpStream;

use super::context::Context;
use super::door::Door;
use super::guests::{Guests, Seat};
use super::socket::Socket;
use super::{rpc, within};
use crate::error::Step;
use crate::peer_capnp::door;

/// Takes connections in.
#[derive(Clone)]
pub(crate) struct Inbound {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The VMs that are let in.
    guests: Rc<Guests>,
    /// Connections that have not yet proved the secret.
    strangers: Rc<Cell<usize>>,
}

/// Counts a connection as a stranger until dropped.
struct Stranger(Rc<Cell<usize>>);

impl Drop for Stranger {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Inbound {
    /// Takes in nobody yet.
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            guests: Guests::new(context.clone()),
            context,
            strangers: Rc::default(),
        }
    }

    /// Serves a connection in a task of its own, unless too many strangers are there already. A fault in the task
    /// ends only that connection.
    pub(crate) fn take(&self, stream: TcpStream) {
        if self.strangers.get() >= self.context.limits.strangers {
            self.context.counters.strangers.one();
            return;
        }
        self.strangers.set(self.strangers.get() + 1);
        let stranger = Stranger(self.strangers.clone());
        tokio::task::spawn_local(self.clone().serve(stream, stranger));
    }

    async fn serve(self, stream: TcpStream, stranger: Stranger) {
        let socket = Socket::new(stream);
        let (admitted, entered) = oneshot::channel();
        let door = Door::new(
            self.context.clone(),
            self.guests.clone(),
            socket.trust(),
            admitted,
        );
        let door: door::Client = capnp_rpc::new_client(door);
        let mut system = rpc(&socket, Side::Server, Some(door.client));
        let seat = self.greet(&mut system, entered).await;
        drop(stranger);
        match seat {
            None => self.context.counters.strangers.one(),
            Some(mut seat) => tokio::select! {
                _ = &mut system => {}
                () = seat.replaced() => {}
            },
        }
    }

    /// Waits for the caller's entry.
    async fn greet(
        &self,
        system: &mut RpcSystem<Side>,
        entered: oneshot::Receiver<Seat>,
    ) -> Option<Seat> {
        let entry = async {
            tokio::select! {
                biased;
                seat = entered => seat.ok(),
                _ = system => None,
            }
        };
        let limit = self.context.limits.handshake;
        within(Step::Handshake, limit, entry).await.ok().flatten()
    }
}
