//! What the HTTP library does not see of a caller's connection.
//!
//! The library has one time for an idle connection and for a head, so the bytes of a connection are watched here: the time
//! of a head runs from its first byte. And it ends a connection in the same way after a whole answer and after one that was
//! broken off; where the end of the connection is the end of the answer, a broken one is reset here.
//!
//! A request that is refused before it has come whole is read on for a moment, since the system would otherwise reset the
//! connection and take the refusal away from its client (RFC 9112, section 9.6).

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use dahliastile_intake::{Phase, Size, Use};

use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout};

use crate::intake::{Charge, Slot, UNCOUNTED_HEAD};

/// How long a request that was refused before it came whole is read on, so that its client gets to read the refusal.
const LINGER: Duration = Duration::from_secs(1);

/// How much of it is read on, in bytes, and how much at a time.
const LINGER_BYTES: usize = 1 << 20;
const LINGER_PIECE: usize = 8 * 1024;

/// The head that a caller is sending.
#[derive(Default)]
pub(crate) struct Head {
    /// When its first byte came; none between requests, and while one is served.
    since: Cell<Option<Instant>>,
    /// Whether a request is served, so that bytes are its body or wait for its end.
    serving: Cell<bool>,
    /// Told when a head begins.
    begun: Notify,
    /// Whether anything has come on the connection.
    used: watch::Sender<bool>,
    /// Whether the answer ends with the connection.
    ends_answer: Cell<bool>,
    /// Whether the body of a request is read.
    reads_body: Cell<bool>,
    /// Whether a request was refused before it came whole.
    refused_early: Cell<bool>,
    /// Whether the library has taken all of the last answer.
    answer_ended: Cell<bool>,
    /// Whether the client does not take what is to be written.
    is_blocked: Cell<bool>,
}

impl Head {
    /// A head has come whole.
    pub(crate) fn come(&self) {
        self.since.set(None);
        self.serving.set(true);
    }

    /// The body of the request is read from now on, or no longer.
    pub(crate) fn set_reads_body(&self, reads: bool) {
        self.reads_body.set(reads);
    }

    /// Whether the body of a request is read.
    pub(crate) fn reads_body(&self) -> bool {
        self.reads_body.get()
    }

    /// The request is refused before it has come whole.
    pub(crate) fn refuse_early(&self) {
        self.refused_early.set(true);
    }

    /// The request was answered; the body of the answer may still come.
    pub(crate) fn answered(&self) {
        self.serving.set(false);
        self.answer_ended.set(false);
    }

    /// What a connection waits for whose client takes what is written.
    fn phase(&self) -> Phase {
        if self.answer_ended.get() {
            Phase::Idle
        } else {
            Phase::Running
        }
    }

    /// The answer ends with the connection: any other end than an orderly one, also that of the process, resets it.
    pub(crate) fn end_answer(&self) {
        self.ends_answer.set(true);
    }

    /// Returns when a head has taken longer than the limit.
    pub(crate) async fn late(&self, limit: impl Fn() -> Duration) {
        loop {
            let Some(since) = self.since.get() else {
                self.begun.notified().await;
                continue;
            };
            sleep_until(since + limit()).await;
            if self.since.get() == Some(since) {
                return;
            }
        }
    }

    /// Returns when anything has come on the connection, or after a time.
    pub(crate) async fn used(&self, limit: Duration) {
        // The sender lives as long as `self`.
        let _ = timeout(limit, self.used.subscribe().wait_for(|used| *used)).await;
    }

    /// Notes that bytes have come. Returns whether a head begins with them.
    fn bytes(&self) -> bool {
        self.used.send_replace(true);
        let begins = !self.serving.get() && self.since.get().is_none();
        if begins {
            self.since.set(Some(Instant::now()));
            self.begun.notify_one();
        }
        begins
    }
}

/// The body of an answer. When the library has taken all of it, or drops it, the connection waits for its client.
pub(crate) struct Answered<B> {
    body: B,
    _end: AnswerEnd,
}

/// Says that all of an answer is taken, when it is dropped.
struct AnswerEnd {
    head: Rc<Head>,
    slot: Arc<Slot>,
}

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        self.head.answer_ended.set(true);
        if !self.head.is_blocked.get() {
            self.slot.enter(Phase::Idle);
        }
    }
}

impl<B> Answered<B> {
    pub(crate) fn new(body: B, head: Rc<Head>, slot: Arc<Slot>) -> Self {
        Self {
            body,
            _end: AnswerEnd { head, slot },
        }
    }
}

impl<B: Body + Unpin> Body for Answered<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose bytes are watched.
pub(crate) struct Watched {
    /// The connection.
    stream: TcpStream,
    /// The head that comes on it.
    head: Rc<Head>,
    /// Its place in the ledger.
    slot: Arc<Slot>,
    /// The bytes of the head that comes, and the room that they take beyond that of the connection.
    head_bytes: (usize, Charge),
    /// Whether the system resets the connection when it is closed.
    resets: bool,
    /// What is still read after the last answer.
    rest: Option<Rest>,
}

/// What is read and dropped after the last answer of a connection.
struct Rest {
    /// When that ends.
    end: Pin<Box<Sleep>>,
    /// Bytes that may still come.
    bytes: usize,
}

impl Watched {
    pub(crate) fn new(stream: TcpStream, head: Rc<Head>, slot: Arc<Slot>) -> Self {
        let head_bytes = (0, slot.charge(Use::Request));
        head.answer_ended.set(true);
        Self {
            stream,
            head,
            slot,
            head_bytes,
            resets: false,
            rest: None,
        }
    }

    /// Reads on and drops what comes, until the other side closes or that has gone on for long enough.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(());
        };
        let mut space = [0; LINGER_PIECE];
        while rest.bytes > 0 && rest.end.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            match buffer.filled().len() {
                0 => break,
                _ if read.is_err() => break,
                count => rest.bytes = rest.bytes.saturating_sub(count),
            }
        }
        Poll::Ready(())
    }

    /// Counts bytes of a head.
    ///
    /// # Errors
    /// Where there is no room for them.
    fn count_head(&mut self, count: usize) -> io::Result<()> {
        let begins = self.head.bytes();
        let (bytes, charge) = &mut self.head_bytes;
        if begins {
            // It may come behind a request whose answer is still on its way.
            self.slot.enter(self.head.phase());
            *bytes = 0;
            drop(charge.split(Size(usize::MAX)));
        }
        if self.head.serving.get() {
            return Ok(());
        }
        *bytes += count;
        match Size(*bytes) {
            size if size <= UNCOUNTED_HEAD => Ok(()),
            size => charge
                .try_extend_to(size)
                .map_err(|_| io::Error::other("there is no room for the head")),
        }
    }

    /// Passes on how much was written, and whether the client keeps more from being written.
    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending if !self.head.is_blocked.get() => {
                self.head.is_blocked.set(true);
                self.slot.enter(Phase::Writing);
            }
            Poll::Ready(Ok(count)) if self.head.is_blocked.get() => {
                // It has only made some room: it still counts as blocked until all is written.
                self.slot.progress(*count);
            }
            Poll::Pending | Poll::Ready(_) => {}
        }
    }

    /// All that was to be written is with the system.
    fn note_flushed(&self) {
        if self.head.is_blocked.take() {
            self.slot.enter(self.head.phase());
        }
    }

    /// Has the system reset the connection when it is closed, or end it in order.
    fn set_resets(&mut self, resets: bool) {
        if self.resets != resets {
            let linger = resets.then_some(Duration::ZERO);
            // It fails only on a connection that is over.
            let _ = SockRef::from(&self.stream).set_linger(linger);
            self.resets = resets;
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.slot.progress(count);
            if let Err(full) = self.count_head(count) {
                return Poll::Ready(Err(full));
            }
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let resets = self.head.ends_answer.get();
        self.set_resets(resets);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let resets = self.head.ends_answer.get();
        self.set_resets(resets);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.note_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets(false);
        if self.rest.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if !self.head.refused_early.get() {
                return Poll::Ready(Ok(()));
            }
            self.rest = Some(Rest {
                end: Box::pin(sleep(LINGER)),
                bytes: LINGER_BYTES,
            });
        }
        self.poll_rest(context).map(Ok)
    }
}
