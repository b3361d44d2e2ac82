//! The callers' listener.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dahliastile_core::View;
use dahliastile_core::error::{Answer, Kind, Ran};
use dahliastile_core::event::{Call, Event};
use dahliastile_core::id;
use dahliastile_core::time::Span;
use serde_json::json;

use super::Ids;
use super::answer::{self, JSON, Stream};
use super::ask::{self, Ask};
use super::head::Refusal;
use super::intake::Charge;
use super::relay;
use super::server::{Exchange, Service};
use crate::driver::{CHANNEL, Held, Input, Mailbox, Piece, Shared};

/// Answers callers.
pub(crate) struct Callers {
    /// The numbers of requests.
    ids: Ids,
    /// The configuration in force.
    shared: Shared,
    /// Whether the daemon is told to stop.
    draining: Arc<AtomicBool>,
    /// The way to the node.
    mailbox: Mailbox,
}

impl Callers {
    /// A service in front of a node.
    pub(crate) fn new(
        ids: Ids,
        shared: Shared,
        draining: Arc<AtomicBool>,
        mailbox: Mailbox,
    ) -> Self {
        Self {
            ids,
            shared,
            draining,
            mailbox,
        }
    }

    /// Refuses a request that the node never sees.
    fn refuse_with(&self, exchange: Exchange, request: id::Request, answer: &Answer) {
        self.mailbox.post(Input::Refused(answer.kind));
        answer::refuse(exchange.request, answer, &self.ids.text(request));
    }

    /// Has the node do the work and writes its answer.
    fn work(&self, exchange: Exchange, request: id::Request, call: Box<Call>, held: Held) {
        let (sender, pieces) = flume::bounded(CHANNEL);
        let stream = call.stream;
        self.mailbox.post(Input::Arrived {
            request,
            call,
            body: Arc::new(held),
            answer: sender,
        });
        let connection = Arc::clone(&exchange.connection);
        if !connection.begin(request) {
            self.mailbox.event(Event::Gone { request });
        }
        let id = self.ids.text(request);
        let written = if stream {
            write_stream(exchange, &id, &pieces)
        } else {
            write_whole(exchange, &id, &pieces);
            Ok(())
        };
        connection.finish(request);
        if written.is_err() {
            self.mailbox.event(Event::Gone { request });
            connection.cut();
        }
    }
}

impl Service for Callers {
    fn serve(&self, mut exchange: Exchange) {
        let request = self.ids.next();
        let refusal = match exchange.request.url() {
            relay::REFUSED => exchange.connection.refusal(),
            _ => None,
        };
        if let Some(refusal) = refusal {
            return self.refuse_with(exchange, request, &refusal.answer());
        }
        match ask::read(&mut exchange.request, &self.shared.view()) {
            // The node may have stopped by now, and could not say that the request did not run.
            Ok(Ask::Work(..)) if self.draining.load(Ordering::SeqCst) => {
                let answer = Answer::shutting_down("this VM is shutting down");
                self.refuse_with(exchange, request, &answer);
            }
            Ok(Ask::Work(call, body)) => {
                let charge = exchange.charge.take();
                let charge = charge.unwrap_or_else(|| Charge::new(&exchange.connection));
                self.work(exchange, request, call, Held { body, charge });
            }
            Ok(Ask::Models(view)) => {
                let id = self.ids.text(request);
                answer::whole(exchange.request, 200, JSON, models(&view), &id, &[]);
            }
            // Its body was cut short by this VM, which says nothing against it.
            Err(_) if exchange.connection.is_stopped() => {
                self.refuse_with(exchange, request, &Refusal::stopping().answer());
            }
            Err(answer) => self.refuse_with(exchange, request, &answer),
        }
    }

    fn refuse(&self, exchange: Exchange) {
        let answer = Answer::new(Kind::QueueFull, "too many requests are in progress");
        let request = self.ids.next();
        self.refuse_with(exchange, request, &answer.after(Span::from_secs(1)));
    }
}

fn models(view: &View) -> Vec<u8> {
    let model = |name: &id::Adapter| json!({ "id": name, "object": "model" });
    let data: Vec<_> = view.models.iter().map(model).collect();
    json!({ "object": "list", "data": data })
        .to_string()
        .into_bytes()
}

/// The answer to a caller whose request the daemon lost sight of, by ending.
fn cut() -> Answer {
    Answer::new(Kind::Cut, "the VM ended while the request was in progress").ran(Ran::Unknown)
}

/// Writes an answer that is not streamed. Nothing is sent before it is whole, so that a broken one shows as an error.
fn write_whole(exchange: Exchange, id: &str, pieces: &flume::Receiver<Piece>) {
    let mut head = None;
    let mut body = Vec::new();
    loop {
        match pieces.recv() {
            Ok(Piece::Begin(begun)) => {
                head = Some(begun);
                body.clear();
            }
            Ok(Piece::Data(data)) if body.is_empty() => body = data,
            Ok(Piece::Data(data)) => body.extend_from_slice(&data),
            Ok(Piece::Replay(head, data)) => {
                let request = exchange.request;
                return answer::whole(request, head.status, &head.content_type, data, id, &[]);
            }
            Ok(Piece::Finish) => {
                let (status, content_type) = head
                    .as_ref()
                    .map_or((200, JSON), |head| (head.status, &head.content_type));
                return answer::whole(exchange.request, status, content_type, body, id, &[]);
            }
            Ok(Piece::Refuse(refusal)) => return answer::refuse(exchange.request, &refusal, id),
            Err(flume::RecvError::Disconnected) => {
                return answer::refuse(exchange.request, &cut(), id);
            }
        }
    }
}

/// Writes a stream, piece by piece.
fn write_stream(exchange: Exchange, id: &str, pieces: &flume::Receiver<Piece>) -> io::Result<()> {
    let head = match pieces.recv() {
        Ok(Piece::Begin(head)) => head,
        Ok(Piece::Replay(head, data)) => {
            let mut stream = Stream::begin(exchange.request, head.status, &head.content_type, id)?;
            stream.piece(&data)?;
            return stream.finish();
        }
        Ok(Piece::Refuse(refusal)) => {
            answer::refuse(exchange.request, &refusal, id);
            return Ok(());
        }
        Ok(Piece::Data(_) | Piece::Finish) | Err(flume::RecvError::Disconnected) => {
            answer::refuse(exchange.request, &cut(), id);
            return Ok(());
        }
    };
    let mut stream = Stream::begin(exchange.request, head.status, &head.content_type, id)?;
    loop {
        match pieces.recv() {
            Ok(Piece::Data(data)) => stream.piece(&data)?,
            Ok(Piece::Finish) => return stream.finish(),
            Ok(Piece::Refuse(refusal)) => return stream.fail(&refusal, id),
            // A stream that has begun can't start over; the node does not ask for it.
            Ok(Piece::Begin(_) | Piece::Replay(..)) => {}
            Err(flume::RecvError::Disconnected) => return stream.fail(&cut(), id),
        }
    }
}
