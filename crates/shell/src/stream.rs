//! Passing a stream of events on, event by event, and going on elsewhere where its kind allows that.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dahliastile_body::{self as body, Ending, Framing};
use dahliastile_core::time::Span;
use dahliastile_gateway::effect::{Attempt, NextStep, RefusalReason};
use dahliastile_gateway::event::{self, Event, Execution, FailureCause, StreamTiming, Task};
use dahliastile_intake::Size;
use http::{HeaderValue, response};
use http_body_util::Either;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{self, Answer, Piece, Piped, whole};
use crate::attempt::{Tried, attempt, failure_cause, guard};
use crate::dialect::Dialect;
use crate::hub::Hub;
use crate::intake::Charge;
use crate::pool::{self, Connection, Fault, IdleTime};
use crate::reader::{Budget, Content};
use crate::request::{Asked, unproven};
use crate::task;

/// The longest event of a stream, in bytes: many times the largest of a sound server, which has a few tokens.
const EVENT_LIMIT: usize = 256 * 1024;

/// A stream whose head has arrived.
pub(crate) struct Begun {
    head: response::Parts,
    /// How it says where the body ends.
    framing: Framing,
    body: Content,
    connection: Connection,
    /// The events that were read before the head is passed on.
    events: Events,
    /// Their bytes; none if no event was read.
    first: Option<Bytes>,
}

impl Begun {
    pub(crate) fn new(
        head: response::Parts,
        framing: Framing,
        body: Content,
        connection: Connection,
        room: Charge,
    ) -> Self {
        Self {
            head,
            framing,
            body,
            connection,
            events: Events::new(room),
            first: None,
        }
    }

    /// Returns whether an event was read.
    pub(crate) fn has_event(&self) -> bool {
        self.first.is_some()
    }

    /// Reads up to the first event, or to the end of a stream without any. The stream can be given up until then,
    /// because its head, which names the server, has not been passed on.
    pub(crate) async fn first_event<D>(mut self: Box<Self>, hub: &Hub<D>, send: &Attempt) -> Tried {
        let failed = |fault| {
            if fault == Fault::Oversized {
                hub.record_oversized(send, event::Part::Event);
            }
            Tried::Failed(Execution::Maybe, failure_cause(fault), None)
        };
        while self.first.is_none() {
            self.events.await_room().await;
            let data = match self.body.piece().await {
                Ok(None) if self.events.ending(self.framing) == Ending::Broken => {
                    return failed(Fault::Broken);
                }
                Ok(None) => break,
                Err(fault) => return failed(fault),
                Ok(Some(data)) => data,
            };
            self.first = match self.events.add(&data) {
                Ok(first) => first,
                Err(fault) => return failed(fault),
            };
        }
        Tried::Stream(self)
    }
}

/// Events as they come, whole ones only.
struct Events {
    /// Where events end in the bytes that came from the present server.
    ends: body::Events,
    /// Bytes that are no whole event yet.
    rest: BytesMut,
    /// What may still come of that event.
    budget: Budget,
    /// The id of the last whole event that has one.
    last: Option<HeaderValue>,
    /// Whether that id can be named to another server.
    is_last_known: bool,
    /// When it came.
    came: Option<Instant>,
    /// When the first one came.
    first: Option<Instant>,
    /// The number of them; those that came together count as one.
    count: u32,
    /// The longest time between two of them.
    pause: Duration,
    /// The room for `rest` and the next piece.
    room: Charge,
}

impl Events {
    fn new(room: Charge) -> Self {
        Self {
            ends: body::Events::default(),
            rest: BytesMut::new(),
            budget: Budget::new(EVENT_LIMIT),
            last: None,
            is_last_known: true,
            came: None,
            first: None,
            count: 0,
            pause: Duration::ZERO,
            room,
        }
    }

    /// Waits until there is room for a further piece.
    async fn await_room(&mut self) {
        let size = Size(self.rest.len() + pool::BUFFER);
        self.room.await_room(size).await;
    }

    /// Takes out what is left of an event that its server did not end.
    fn take_rest(&mut self) -> Bytes {
        let rest = std::mem::take(&mut self.rest).freeze();
        self.room.split(Size(rest.len())).hold(rest)
    }

    /// Adds bytes and takes the whole events out.
    ///
    /// # Errors
    /// Where an event is longer than [`EVENT_LIMIT`].
    fn add(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Fault> {
        self.budget.take(bytes)?;
        let held = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let Some(end) = self.ends.push(bytes) else {
            return Ok(None);
        };
        self.budget = Budget::new(EVENT_LIMIT);
        let whole = self.rest.split_to(held + end).freeze();
        let whole = self.room.split(Size(whole.len())).hold(whole);
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.count = self.count.saturating_add(1);
        if let Some(came) = self.came.replace(now) {
            self.pause = self.pause.max(now - came);
        }
        let mut lines = whole.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
        if let Some(id) = lines.find_map(|line| line.strip_prefix(b"id:")) {
            self.last = HeaderValue::from_bytes(id.trim_ascii()).ok();
            self.is_last_known = self.last.is_some();
        }
        Ok(Some(whole))
    }

    /// What is known of a stream whose body has ended without an error.
    fn ending(&self, framing: Framing) -> Ending {
        framing.stream_ending(self.ends.position())
    }

    /// Forgets what came of an event that its server did not end.
    fn drop_rest(&mut self) {
        drop(self.take_rest());
        self.budget = Budget::new(EVENT_LIMIT);
        self.ends = body::Events::default();
    }

    /// The times of the events.
    fn timing(&self) -> StreamTiming {
        let decoding = self.came.zip(self.first).map(|(last, first)| last - first);
        StreamTiming {
            chunks: self.count,
            decoding: span(decoding.unwrap_or_default()),
            longest_pause: span(self.pause),
        }
    }
}

fn span(duration: Duration) -> Span {
    Span(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// How a server's part of a stream ended.
enum Part {
    /// With its body, of which this is known.
    Ended(Ending),
    /// With this fault of its connection or of what came on it.
    Failed(Fault),
    /// The caller has left.
    Left,
    /// The gateway said that the time is over.
    Cut,
}

/// Answers with a stream that a task of its own passes on.
pub(crate) fn begin<D: Dialect>(asked: Asked<D>, send: Attempt, begun: Begun) -> Answer {
    let (pieces, piped) = Piped::channel();
    let builder = asked.ticket.hub.dialect.answer(&begun.head);
    let framing = begun.framing;
    let Ok(answer) = builder.body(Either::Right(piped)) else {
        return whole(
            asked
                .ticket
                .hub
                .dialect
                .refused(unproven(RefusalReason::Failed)),
        );
    };
    let hub = asked.ticket.hub.clone();
    task::spawn(&hub, Task::Stream, pass(asked, send, begun, pieces));
    answer::frame(answer, framing)
}

async fn pass<D: Dialect>(
    mut asked: Asked<D>,
    send: Attempt,
    begun: Begun,
    pieces: mpsc::Sender<Piece>,
) {
    let mut idle = IdleTime::of(&begun.head.headers);
    let claims_end = begun.framing.ending() == Ending::Whole;
    let Begun {
        mut framing,
        mut body,
        mut connection,
        mut events,
        first,
        ..
    } = begun;
    let mut begun = first.is_some();
    if let Some(first) = first
        && pieces.send(Piece::Data(first)).await.is_err()
    {
        return;
    }
    loop {
        let id = asked.ticket.id;
        let part = part(
            &mut asked,
            &mut body,
            framing,
            &mut events,
            &mut begun,
            &pieces,
        )
        .await;
        let fault = match part {
            // The end of this answer would say more than that of the server's.
            Part::Ended(Ending::Unproven) if claims_end => Fault::Broken,
            Part::Ended(Ending::Broken) => Fault::Broken,
            Part::Failed(fault) => fault,
            Part::Ended(Ending::Whole | Ending::Unproven) => {
                asked.ticket.hub.pool.give(connection, idle);
                let rest = events.take_rest();
                if !rest.is_empty() {
                    let _ = pieces.send(Piece::Data(rest)).await;
                }
                let _ = pieces.send(Piece::End).await;
                asked
                    .ticket
                    .finish(Event::AnswerCompleted(id, events.timing(), framing));
                return;
            }
            Part::Left => return,
            Part::Cut => {
                asked.ticket.done = true;
                return;
            }
        };
        if fault == Fault::Oversized {
            asked.ticket.hub.record_oversized(&send, event::Part::Event);
        }
        drop(connection);
        events.drop_rest();
        asked.ticket.hub.post(Event::AttemptFailed(
            id,
            Execution::Maybe,
            failure_cause(fault),
        ));
        if !send.resumable || !events.is_last_known {
            asked.ticket.done = true;
            return;
        }
        match go_on(&mut asked, events.last.as_ref()).await {
            Some(next) => {
                idle = IdleTime::of(&next.head.headers);
                framing = next.framing;
                body = next.body;
                connection = next.connection;
            }
            None => return,
        }
    }
}

/// Passes on what comes from one server.
async fn part<D: Dialect>(
    asked: &mut Asked<D>,
    body: &mut Content,
    framing: Framing,
    events: &mut Events,
    begun: &mut bool,
    pieces: &mpsc::Sender<Piece>,
) -> Part {
    loop {
        let piece = tokio::select! {
            biased;
            () = pieces.closed() => return Part::Left,
            verdict = asked.verdicts.recv() => match verdict {
                // The answer began before the gateway's decision to cancel the attempt was read.
                Some(NextStep::CancelAttempt) => continue,
                _ => return Part::Cut,
            },
            piece = async {
                events.await_room().await;
                body.piece().await
            } => piece,
        };
        let data = match piece {
            Ok(None) => return Part::Ended(events.ending(framing)),
            Err(fault) => return Part::Failed(fault),
            Ok(Some(data)) => data,
        };
        let whole = match events.add(&data) {
            Ok(Some(whole)) => whole,
            Ok(None) => continue,
            Err(fault) => return Part::Failed(fault),
        };
        if !*begun {
            *begun = true;
            asked.ticket.hub.post(Event::AnswerStarted(asked.ticket.id));
        }
        if pieces.send(Piece::Data(whole)).await.is_err() {
            return Part::Left;
        }
    }
}

/// Has a stream go on at another server after the last whole event, as the gateway says.
async fn go_on<D: Dialect>(
    asked: &mut Asked<D>,
    after: Option<&HeaderValue>,
) -> Option<Box<Begun>> {
    let hub = asked.ticket.hub.clone();
    let id = asked.ticket.id;
    loop {
        let send = match asked.verdicts.recv().await {
            Some(NextStep::Attempt(send)) => send,
            // The stream broke before the gateway's decision to cancel the attempt was read.
            Some(NextStep::CancelAttempt) => continue,
            _ => {
                asked.ticket.done = true;
                return None;
            }
        };
        let attempt = attempt(&hub, &asked.slot, (&asked.head, &asked.body), &send, after);
        let tried = tokio::select! {
            biased;
            _ = asked.verdicts.recv() => {
                asked.ticket.done = true;
                return None;
            }
            tried = guard(&hub, attempt) => tried,
        };
        match tried {
            Tried::Stream(begun) => return Some(begun),
            Tried::Whole(..) => hub.post(Event::AttemptFailed(
                id,
                Execution::Yes,
                FailureCause::Malformed,
            )),
            Tried::Failed(ran, cause, _) => hub.post(Event::AttemptFailed(id, ran, cause)),
        }
    }
}
