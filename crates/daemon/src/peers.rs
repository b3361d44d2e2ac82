//! The links to other entry VMs.

use std::net::{SocketAddr, TcpListener};

use dahliastile_core::event::Event;
use dahliastile_core::id::Vm;
use dahliastile_core::peer::Message;

use crate::driver::Mailbox;
use crate::error::{Error, Result};

/// The links of one daemon.
pub(crate) struct Peers {
    listener: TcpListener,
    mailbox: Mailbox,
}

impl Peers {
    /// Listens for other VMs.
    pub(crate) fn start(address: SocketAddr, mailbox: Mailbox) -> Result<Self> {
        let listener =
            TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
        Ok(Self { listener, mailbox })
    }

    /// Where other VMs are listened for.
    pub(crate) fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Sends a message.
    pub(crate) fn send(&self, to: &Vm, _address: &str, _message: Message) {
        self.mailbox.event(Event::PeerDown {
            vm: to.clone(),
            refused: false,
        });
    }
}
