//! Bounds on what is read from the connections that this VM makes.
//!
//! A server in trouble may send bytes that are no answer, without end and as fast as they are read. A bound in time alone does
//! not help against them. So each connection has a [`Meter`] below the HTTP library: it bounds the bytes that the library reads
//! before it hands something on, such as interim answers, sizes of chunks and trailers, and gives other tasks their turn after
//! each [`TURN`] of bytes. A [`Budget`] bounds what the library hands on.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::intake::Gathered;
use crate::pool::Fault;
use crate::screen::Screen;

/// The most bytes of a connection that are read before the HTTP library hands on the head of an answer, or the next part of a
/// body. Heads of sound servers have some hundred bytes.
const UNPARSED_LIMIT: usize = 16 * 1024;

/// The least mean length of the pieces of a body that uses up its limit, in bytes. Each piece costs processor time, however
/// short it is, so that a limit in bytes is one in pieces too.
const MEAN_PIECE: usize = 512;

/// The number of pieces that a body may have whatever its limit in bytes.
const LEAST_PIECES: usize = 512;

/// The most bytes of late copies that a connection may bring, as many as the longest answer that is held whole.
const COPIES_LIMIT: usize = 1 << 20;

/// Bytes that are read at once where an answer may be another request's.
const SCREENED_PIECE: usize = 4 * 1024;

/// Bytes of one connection that are read before other tasks get their turn.
const TURN: usize = 64 * 1024;

/// What a connection has brought since the HTTP library last handed something on.
#[derive(Default)]
pub(crate) struct Meter {
    /// The bytes since then.
    unparsed: Cell<usize>,
    /// The bytes since other tasks had their turn.
    turn: Cell<usize>,
    /// Told when the bytes reach [`UNPARSED_LIMIT`].
    exhausted: Notify,
    /// The reader that waits until something is handed on.
    waiting: RefCell<Option<Waker>>,
    /// The bytes of late copies that were passed over.
    copies: Cell<usize>,
    /// Passes over late copies of answers.
    screen: RefCell<Screen>,
}

impl Meter {
    /// Counts anew, since the library has handed something on or a request is sent.
    pub(crate) fn reset(&self) {
        self.unparsed.set(0);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    /// Awaits what the library hands on next, unless the connection brings too much before.
    ///
    /// # Errors
    /// [`Fault::Oversized`] in that case.
    pub(crate) async fn next<T>(&self, next: impl Future<Output = T>) -> Result<T, Fault> {
        tokio::select! {
            // What was read last may have completed it.
            biased;
            next = next => {
                self.reset();
                Ok(next)
            }
            () = self.overrun() => Err(Fault::Oversized),
        }
    }

    /// Counts bytes as those of late copies, which are no part of what the library reads. Returns whether these are not too many.
    fn move_to_copies(&self, count: usize) -> bool {
        let unparsed = self.unparsed.get().saturating_sub(count);
        self.unparsed.set(unparsed);
        self.copies.set(self.copies.get().saturating_add(count));
        self.copies.get() <= COPIES_LIMIT
    }

    /// What passes over late copies of answers.
    pub(crate) fn screen(&self) -> &RefCell<Screen> {
        &self.screen
    }

    /// Returns when the connection has brought too much.
    async fn overrun(&self) {
        while !self.is_exhausted() {
            self.exhausted.notified().await;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.unparsed.get() >= UNPARSED_LIMIT
    }
}

/// A connection whose bytes are counted.
pub(crate) struct Metered {
    /// The connection.
    stream: TcpStream,
    /// What it has brought.
    meter: Rc<Meter>,
}

impl Metered {
    pub(crate) fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let meter = self.meter.clone();
        loop {
            if meter.screen.borrow().is_open() {
                return self.poll_stream(context, buffer);
            }
            let passed = meter.screen.borrow_mut().take(buffer.remaining());
            if !passed.is_empty() {
                buffer.put_slice(&passed);
                return Poll::Ready(Ok(()));
            }
            let mut space = [0; SCREENED_PIECE];
            let mut piece = ReadBuf::new(&mut space);
            match self.poll_stream(context, &mut piece) {
                Poll::Ready(Ok(())) => {}
                other => return other,
            }
            let mut screen = meter.screen.borrow_mut();
            screen.add(piece.filled());
            let is_counted = meter.move_to_copies(screen.removed_bytes());
            if screen.is_lost() || !is_counted {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
    }
}

impl Metered {
    /// Reads what the connection has brought, unless that is too much or other tasks have their turn.
    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let meter = &self.meter;
        if meter.is_exhausted() {
            meter.waiting.replace(Some(context.waker().clone()));
            meter.exhausted.notify_one();
            return Poll::Pending;
        }
        if meter.turn.get() >= TURN {
            meter.turn.set(0);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        meter.unparsed.set(meter.unparsed.get() + count);
        match read {
            // Other tasks have their turn until more comes.
            Poll::Pending => meter.turn.set(0),
            Poll::Ready(_) => meter.turn.set(meter.turn.get() + count),
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A limit on what is held of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// The bytes that are left.
    bytes: usize,
    /// The pieces that are left.
    pieces: usize,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            bytes,
            pieces: LEAST_PIECES.max(bytes / MEAN_PIECE),
        }
    }

    /// Takes a piece off.
    ///
    /// # Errors
    /// [`Fault::Oversized`] where it does not fit.
    pub(crate) fn take(&mut self, piece: &[u8]) -> Result<(), Fault> {
        let bytes = self.bytes.checked_sub(piece.len());
        // One that is empty says nothing and costs little.
        let pieces = self.pieces.checked_sub(usize::from(!piece.is_empty()));
        match (bytes, pieces) {
            (Some(bytes), Some(pieces)) => {
                *self = Self { bytes, pieces };
                Ok(())
            }
            _ => Err(Fault::Oversized),
        }
    }
}

/// The body of an answer as it comes.
pub(crate) struct Content {
    /// What the library hands on.
    body: Incoming,
    /// What the connection brings.
    meter: Rc<Meter>,
}

impl Content {
    pub(crate) fn new(body: Incoming, meter: Rc<Meter>) -> Self {
        Self { body, meter }
    }

    /// The next bytes; none at the end.
    ///
    /// # Errors
    /// Where the connection breaks, or brings too much that is no body.
    pub(crate) async fn piece(&mut self) -> Result<Option<Bytes>, Fault> {
        match self.meter.next(self.body.frame()).await? {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(_)) => Err(Fault::Broken),
        }
    }

    /// All of it, as [`Self::whole`], once there is room for each part of it.
    ///
    /// # Errors
    /// As for [`Self::whole`].
    pub(crate) async fn gather(
        mut self,
        mut gathered: Gathered,
        limit: usize,
    ) -> Result<Bytes, Fault> {
        let mut budget = Budget::new(limit);
        while let Some(piece) = self.piece().await? {
            budget.take(&piece)?;
            gathered.add_later(&piece).await;
        }
        Ok(gathered.finish())
    }

    /// All of it, where it has at most `limit` bytes.
    ///
    /// # Errors
    /// Where it has more, and as for [`Self::piece`].
    pub(crate) async fn whole(mut self, limit: usize) -> Result<Bytes, Fault> {
        let mut whole = BytesMut::new();
        let mut budget = Budget::new(limit);
        while let Some(piece) = self.piece().await? {
            budget.take(&piece)?;
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}
