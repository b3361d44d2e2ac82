//! A loopback proxy between an entry VM and what it calls, which delays, holds back, swallows or resets what passes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// How often a connection looks whether the mode has changed.
const LOOK: Duration = Duration::from_millis(20);
/// The delay of each piece in [`Mode::Slow`]: many round trips between zones.
const DELAY: Duration = Duration::from_millis(80);

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// All passes.
    #[default]
    Pass,
    /// Each piece is late.
    Slow,
    /// Requests pass, answers are held back until the mode changes.
    OneWay,
    /// Nothing passes until the mode changes.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
}

/// The way of some bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// A proxy. Clones are the same one.
#[derive(Clone)]
pub(crate) struct Proxy {
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Listens at an address for connections to another one until the process ends.
    pub(crate) fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let proxy = Self {
            mode: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("the proxy listens");
        let served = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = served.clone();
                thread::spawn(move || proxy.join(&stream, target));
            }
        });
        proxy
    }

    /// Changes what happens, also to connections that are open.
    pub(crate) fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join(&self, caller: &TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target) else {
            reset(caller);
            return;
        };
        let back = (server.try_clone(), caller.try_clone());
        if let (Ok(from), Ok(to)) = back {
            let proxy = self.clone();
            thread::spawn(move || proxy.pass(&from, &to, Way::Answer));
        }
        self.pass(caller, &server, Way::Request);
    }

    /// Passes bytes on until a side ends.
    fn pass(&self, from: &TcpStream, to: &TcpStream, way: Way) {
        // Without the timeout a change of mode is seen later; the bytes are the same.
        let _ = from.set_read_timeout(Some(LOOK));
        let mut bytes = [0; 8_192];
        loop {
            if self.mode() == Mode::Reset {
                reset(from);
                reset(to);
                return;
            }
            let read = match (&mut &*from).read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => read,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => break,
            };
            self.hold(way);
            if self.mode() != Mode::Reset && (&mut &*to).write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        // The end passes as well; a side that has ended already needs none.
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits as long as bytes of this way are held back.
    fn hold(&self, way: Way) {
        if self.mode() == Mode::Slow {
            thread::sleep(DELAY);
        }
        while matches!(
            (self.mode(), way),
            (Mode::Silent, _) | (Mode::OneWay, Way::Answer)
        ) {
            thread::sleep(LOOK);
        }
    }
}

/// Ends a connection with a reset instead of an end.
fn reset(stream: &TcpStream) {
    // A connection that is over already needs none.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
