//! A relay between two links that can freeze, and that records what the caller sends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A relay for one connection.
pub(crate) struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    frozen: AtomicBool,
    recorded: Mutex<Vec<u8>>,
}

impl Relay {
    /// A relay to that address.
    pub(crate) fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let relay = shared.clone();
        thread::spawn(move || {
            let (near, _) = listener.accept().unwrap();
            let far = TcpStream::connect(to).unwrap();
            let (near_too, far_too) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            let back = relay.clone();
            thread::spawn(move || back.copy(far_too, near_too, false));
            relay.copy(near, far, true);
        });
        Self { address, shared }
    }

    /// Where to connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Swallows all bytes from now on, and keeps the connections open.
    pub(crate) fn freeze(&self) {
        self.shared.frozen.store(true, Ordering::SeqCst);
    }

    /// What the caller has sent so far.
    pub(crate) fn recorded(&self) -> Vec<u8> {
        self.shared.recorded.lock().unwrap().clone()
    }
}

impl Shared {
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, record: bool) {
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            let bytes = &buffer[..length];
            if record {
                self.recorded.lock().unwrap().extend(bytes);
            }
            if !self.frozen.load(Ordering::SeqCst) && to.write_all(bytes).is_err() {
                return;
            }
        }
    }
}
