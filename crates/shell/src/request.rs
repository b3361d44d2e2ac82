//! The task of one caller's request: it reads it, does what the gateway says, and answers.

use std::rc::Rc;

use bytes::Bytes;
use dahliastile_gateway::effect::{Attempt, NextStep, Refusal, RefusalReason};
use dahliastile_gateway::event::{Event, RequestId, StreamTiming};
use http::{Request, Response, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::answer::{self, Answer, whole};
use crate::attempt::{Passed, Tried, attempt};
use crate::dialect::{Dialect, Rejection};
use crate::hub::{Hub, Ticket};
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
}

/// Serves one request.
pub(crate) async fn serve<D: Dialect>(hub: Rc<Hub<D>>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let body = match read(body, hub.body_limit.get()).await {
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
    };
    asked.run().await
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    match Limited::new(body, limit).collect().await {
        Ok(read) => Ok(read.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Rejection::TooLarge),
        Err(_) => Err(Rejection::Truncated),
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
            tried = async {
                match attempt(&hub, &self.head, &self.body, send, None).await {
                    Tried::Stream(begun) if send.withdrawable => begun.first_event(&hub, send).await,
                    tried => tried,
                }
            } => tried,
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
