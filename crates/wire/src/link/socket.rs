//! A TCP stream that its owner can close at any time, and that reads only so much from a stranger.
//!
//! The RPC system keeps its halves of a stream alive as long as any capability of the connection is held. Closing
//! must not depend on that, so both halves share the stream with a handle that takes it away.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

/// Bytes read from a peer before it has proved the secret. The proofs need less than a tenth of it.
const STRANGER_BYTES: usize = 16 << 10;

/// What the handle and both halves share.
#[derive(Debug)]
struct Shared {
    /// The stream until it is closed.
    stream: RefCell<Option<Compat<TcpStream>>>,
    /// How many bytes may still be read, or none once the peer is proved.
    budget: Cell<Option<usize>>,
}

/// The handle of a stream. Dropping it closes the stream.
#[derive(Debug)]
pub(crate) struct Socket(Rc<Shared>);

/// One half of a stream.
#[derive(Debug)]
pub(crate) struct Half(Rc<Shared>);

/// Lifts the bound on what may be read from a stream.
#[derive(Debug)]
pub(crate) struct Trust(Rc<Shared>);

impl Socket {
    /// Wraps a stream, whose peer is a stranger for now.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // A stream that can't be set to send at once still works, only slower.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(Shared {
            stream: RefCell::new(Some(stream.compat())),
            budget: Cell::new(Some(STRANGER_BYTES)),
        }))
    }

    /// A half to read from or write to.
    pub(crate) fn half(&self) -> Half {
        Half(self.0.clone())
    }

    /// What lifts the bound on reading.
    pub(crate) fn trust(&self) -> Trust {
        Trust(self.0.clone())
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.0.stream.take();
    }
}

impl Trust {
    /// Says that the peer has proved the secret.
    pub(crate) fn give(&self) {
        self.0.budget.set(None);
    }
}

impl Shared {
    fn poll<T>(
        &self,
        closed: io::Result<T>,
        step: impl FnOnce(Pin<&mut Compat<TcpStream>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => step(Pin::new(stream)),
            None => Poll::Ready(closed),
        }
    }

    /// Takes what was read from the budget.
    fn spend(&self, read: usize) -> io::Result<usize> {
        match self.budget.get() {
            None => Ok(read),
            Some(left) if read <= left => {
                self.budget.set(Some(left - read));
                Ok(read)
            }
            Some(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

fn closed<T>() -> io::Result<T> {
    Err(io::ErrorKind::BrokenPipe.into())
}

impl AsyncRead for Half {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0
            .poll(Ok(0), |stream| stream.poll_read(cx, buffer))
            .map(|read| read.and_then(|length| self.0.spend(length)))
    }
}

impl AsyncWrite for Half {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0
            .poll(closed(), |stream| stream.poll_write(cx, buffer))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll(closed(), |stream| stream.poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll(Ok(()), |stream| stream.poll_close(cx))
    }
}
