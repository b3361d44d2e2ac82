//! The task of one caller's request: it reads it, does what the gateway says, and answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dahliastile_gateway::effect::{Attempt, NextStep, Refusal, RefusalReason};
use dahliastile_gateway::event::{Event, RequestId, StreamTiming};
use dahliastile_intake::{LEAST_RATE, Phase, Use};
use http::{Request, Response, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout};

use crate::answer::{self, Answer, whole};
use crate::attempt::{Passed, Tried, attempt, guard};
use crate::dialect::{Dialect, Rejection};
use crate::head::Head;
use crate::hub::{Hub, Ticket};
use crate::intake::{Gathered, Slot};
use crate::stream;

/// A caller's request that has been read whole.
pub(crate) struct Asked<D> {
    /// Its entry in the hub.
    pub(crate) ticket: Ticket<D>,
    /// Its head.
    pub(crate) head: request::Parts,
    /// Its body.
    pub(crate) body: Bytes,
    /// What the gateway says.
    pub(crate) verdicts: UnboundedReceiver<NextStep>,
    /// The place of its connection in the ledger.
    pub(crate) slot: Arc<Slot>,
}

/// Serves one request.
pub(crate) async fn serve<D: Dialect>(
    hub: Rc<Hub<D>>,
    slot: &Arc<Slot>,
    progress: &Head,
    request: Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = match read(&hub, slot, progress, body).await {
        Ok(body) => body,
        Err(rejection) => return whole(hub.dialect.rejected(rejection)),
    };
    let call = match hub.dialect.call(&head, &body) {
        Ok(call) => call,
        Err(rejection) => return whole(hub.dialect.rejected(rejection)),
    };
    let (id, verdicts) = hub.open();
    let ticket = Ticket {
        hub: hub.clone(),
        id,
        done: false,
    };
    hub.post(Event::RequestArrived(id, Box::new(call)));
    let asked = Asked {
        ticket,
        head,
        body,
        verdicts,
        slot: slot.clone(),
    };
    asked.run().await
}

/// Reads the body of a request, unless it is too large, does not come, or there is no room for it.
pub(crate) async fn read<D>(
    hub: &Hub<D>,
    slot: &Arc<Slot>,
    progress: &Head,
    body: Incoming,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        slot.enter(Phase::Running);
        return Ok(Bytes::new());
    }
    slot.enter(Phase::Reading);
    progress.set_reads_body(true);
    let read = tokio::select! {
        biased;
        () = slot.yields() => Err(Rejection::NoRoom),
        read = gather(hub, slot, body) => read,
    };
    progress.set_reads_body(false);
    match read {
        Ok(_) => slot.enter(Phase::Running),
        Err(_) => progress.refuse_early(),
    }
    read
}

async fn gather<D>(hub: &Hub<D>, slot: &Arc<Slot>, mut body: Incoming) -> Result<Bytes, Rejection> {
    let limit = hub.body_limit.get();
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(Rejection::TooLarge);
    }
    let announced = size.upper().and_then(|size| usize::try_from(size).ok());
    let began = Instant::now();
    let mut gathered = Gathered::new(slot.charge(Use::Request), announced.unwrap_or(limit));
    let mut count = 0;
    loop {
        // A client inside the limits is not idle for longer, so that its body comes at the least rate beyond that time.
        let earned = Duration::from_secs(count as u64) / LEAST_RATE;
        let left = (hub.idle.get() + earned).saturating_sub(began.elapsed());
        let frame = timeout(left.min(hub.idle.get()), body.frame()).await;
        let data = match frame.map_err(|_| Rejection::Stalled)? {
            None => return Ok(gathered.finish()),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Err(Rejection::Truncated),
        };
        count += data.len();
        if count > limit {
            return Err(Rejection::TooLarge);
        }
        let added = gathered.add(&data).await;
        added.map_err(|_| Rejection::NoRoom)?;
    }
}

impl<D: Dialect> Asked<D> {
    /// Does what the gateway says until there is an answer.
    async fn run(mut self) -> Answer {
        let mut kept = None;
        let mut next = self.verdicts.recv().await;
        loop {
            match next {
                Some(NextStep::Attempt(send)) => match self.send(&send).await {
                    Step::Answer((answer, framing)) => return answer::read(answer, framing),
                    Step::Stream(stream) => return stream::begin(self, *send, *stream),
                    Step::Told(Some(NextStep::CancelAttempt)) => {
                        self.ticket
                            .hub
                            .post(Event::AttemptCancelled(self.ticket.id));
                        next = self.verdicts.recv().await;
                    }
                    Step::Failed(response) => {
                        kept = response;
                        next = self.verdicts.recv().await;
                    }
                    Step::Told(verdict) => next = verdict,
                },
                // The attempt ended before the gateway's decision to cancel it was read.
                Some(NextStep::CancelAttempt) => next = self.verdicts.recv().await,
                Some(NextStep::ForwardFailure) => {
                    self.ticket.done = true;
                    return match kept {
                        Some((answer, framing)) => answer::read(answer, framing),
                        None => whole(self.refuse(unproven(RefusalReason::Failed))),
                    };
                }
                Some(NextStep::Refuse(refusal)) => {
                    self.ticket.done = true;
                    return whole(self.refuse(refusal));
                }
                // A decision on an attempt of another VM never reaches a caller's request.
                Some(NextStep::AbortAnswer | NextStep::Carry(_) | NextStep::RefuseRelay(..))
                | None => {
                    self.ticket.done = true;
                    return whole(self.refuse(unproven(RefusalReason::TimedOut)));
                }
            }
        }
    }

    fn refuse(&self, refusal: Refusal) -> Response<Bytes> {
        self.ticket.hub.dialect.refused(refusal)
    }

    /// Sends the request once, unless the gateway says otherwise meanwhile.
    async fn send(&mut self, send: &Attempt) -> Step {
        let hub = self.ticket.hub.clone();
        let id: RequestId = self.ticket.id;
        let tried = tokio::select! {
            biased;
            verdict = self.verdicts.recv() => return Step::Told(verdict),
            tried = guard(&hub, async {
                match attempt(&hub, &self.slot, (&self.head, &self.body), send, None).await {
                    Tried::Stream(begun) if send.withdrawable => begun.first_event(&hub, send).await,
                    tried => tried,
                }
            }) => tried,
        };
        match tried {
            Tried::Whole(response, framing) => {
                self.ticket
                    .finish(Event::AnswerCompleted(id, StreamTiming::default(), framing));
                Step::Answer((response, framing))
            }
            Tried::Stream(begun) => {
                if begun.has_event() {
                    hub.post(Event::AnswerStarted(id));
                }
                Step::Stream(begun)
            }
            Tried::Failed(ran, cause, response) => {
                hub.post(Event::AttemptFailed(id, ran, cause));
                Step::Failed(response)
            }
        }
    }
}

/// A refusal that promises nothing.
pub(crate) fn unproven(reason: RefusalReason) -> Refusal {
    Refusal::new(reason, None, None)
}

/// How a send came out.
enum Step {
    /// An answer that has been read to its end.
    Answer(Passed),
    /// A stream has begun.
    Stream(Box<stream::Begun>),
    /// The server failed, perhaps with an answer that can be passed on.
    Failed(Option<Passed>),
    /// The gateway said something meanwhile.
    Told(Option<NextStep>),
}
