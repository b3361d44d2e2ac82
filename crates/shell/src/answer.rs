//! The bodies of answers to callers.
//!
//! An answer says no more of its end than its server did. Where nothing shows whether a server's body is whole, the answer
//! is passed on in the form of HTTP/1.0, without a length and without chunks, and ends with its connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use dahliastile_body::{Ending, Framing};
use http::header::{CONNECTION, HeaderValue};
use http::{Response, Version};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A whole body, or one that comes piece by piece.
pub(crate) type Answer = Response<Either<Full<Bytes>, Piped>>;

/// Pieces of a body that wait for a reader that is slow; beyond it the server is not read either.
const PIECES: usize = 16;

/// A piece of a body.
pub(crate) enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

/// A body is broken off; the connection is closed without the body's end, or reset where its end would look like that of a
/// whole body.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenOff;

/// A body that a task fills. Where the task stops without the end, the body breaks off.
pub(crate) struct Piped {
    /// The pieces.
    pieces: mpsc::Receiver<Piece>,
    /// Whether the end has come.
    ended: bool,
}

impl Piped {
    /// A body and what it is filled through.
    pub(crate) fn channel() -> (mpsc::Sender<Piece>, Self) {
        let (sender, pieces) = mpsc::channel(PIECES);
        let piped = Self {
            pieces,
            ended: false,
        };
        (sender, piped)
    }
}

impl Body for Piped {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(context).map(|piece| match piece {
            Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Piece::End) => {
                self.ended = true;
                None
            }
            None => Some(Err(BrokenOff)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// An answer with a whole body.
pub(crate) fn whole(response: Response<Bytes>) -> Answer {
    response.map(|body| Either::Left(Full::new(body)))
}

/// An answer with all of a body that its server framed so.
pub(crate) fn read(response: Response<Bytes>, framing: Framing) -> Answer {
    if framing.ending() == Ending::Whole {
        return whole(response);
    }
    let (sender, piped) = Piped::channel();
    let (head, body) = response.into_parts();
    // The channel has room for both.
    let _ = sender.try_send(Piece::Data(body));
    let _ = sender.try_send(Piece::End);
    frame(Response::from_parts(head, Either::Right(piped)), framing)
}

/// Has the end of an answer say no more of its body than that of the server's, which framed it so.
pub(crate) fn frame(mut answer: Answer, framing: Framing) -> Answer {
    if framing.ending() != Ending::Whole {
        *answer.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}
