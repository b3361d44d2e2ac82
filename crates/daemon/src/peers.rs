//! The links to other entry VMs.

use std::net::SocketAddr;
use std::thread;

use dahliastile_core::event::Event;
use dahliastile_core::id::{Incarnation, Vm};
use dahliastile_core::peer::Message;
use dahliastile_wire::{Incoming, Limits, Link, Secret};

use crate::driver::Mailbox;
use crate::error::{Error, Result};

/// Messages that may wait on their way from the link to the node; beyond it they are lost, as on a network.
const WAITING: usize = 4_096;

/// The links of one daemon.
pub(crate) struct Peers {
    /// The links.
    link: Link,
}

impl Peers {
    /// Listens for other VMs, and passes on what they send.
    pub(crate) fn start(
        vm: Vm,
        incarnation: Incarnation,
        listen: SocketAddr,
        secret: Secret,
        mailbox: Mailbox,
    ) -> Result<Self> {
        let settings = dahliastile_wire::Settings {
            vm,
            incarnation,
            listen,
            secret,
            limits: Limits::default(),
        };
        let (sender, incoming) = flume::bounded(WAITING);
        let link = Link::start(settings, sender).map_err(|error| Error::Link(error.to_string()))?;
        // The thread ends with the link, which holds the sender.
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || incoming.iter().for_each(|came| mailbox.event(event(came))))?;
        Ok(Self { link })
    }

    /// Where other VMs are listened for.
    pub(crate) fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Sends a message, which may be lost.
    pub(crate) fn send(&self, to: &Vm, address: &str, message: &Message) {
        self.link.send(to, address, message);
    }
}

fn event(incoming: Incoming) -> Event {
    match incoming {
        Incoming::Message {
            from,
            incarnation,
            message,
        } => Event::Peer {
            from,
            incarnation,
            message,
        },
        Incoming::Down { vm, refused, .. } => Event::PeerDown { vm, refused },
    }
}
