//! A server whose process ends under its first request.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use crate::listener;

/// A server that ends as soon as it has read from one connection: the connection breaks, and from then on nothing
/// listens at its address, also where a process forked meanwhile holds copies of its sockets.
#[derive(Debug)]
pub struct Crash {
    /// Where it listens.
    address: SocketAddr,
    /// Tells that it has ended.
    over: flume::Receiver<()>,
}

impl Crash {
    /// A server that listens at an address.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (tell, over) = flume::bounded(1);
        thread::spawn(move || {
            let connection = listener.accept();
            if let Ok((stream, _)) = &connection {
                // What it reads does not matter, only that there is something.
                let _ = (&mut &*stream).read(&mut [0; 4_096]);
            }
            listener::close(listener);
            if let Ok((stream, _)) = connection {
                // The other side may have ended it.
                let _ = stream.shutdown(Shutdown::Both);
            }
            // Nobody may be waiting for it.
            let _ = tell.send(());
        });
        Ok(Self { address, over })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it has ended, no longer than a time; says whether it has.
    #[must_use]
    pub fn ended(&self, limit: Duration) -> bool {
        self.over.recv_timeout(limit).is_ok()
    }
}
