//! One send of a request to a server, up to the head of a stream or the end of a whole answer.

use std::sync::Arc;

use bytes::Bytes;
use dahliastile_body::Framing;
use dahliastile_gateway::effect::Attempt;
use dahliastile_gateway::event::{Event, Execution, FailureCause, Part, Task};
use dahliastile_intake::Use;
use futures::FutureExt;
use http::{HeaderValue, Method, Response, StatusCode, header, request, response};
use http_body_util::Full;
use tokio::time::Instant;

use crate::dialect::{Dialect, Reply};
use crate::hub::Hub;
use crate::intake::{Gathered, Slot};
use crate::pool::{Connection, Fault, IdleTime, Mark, Target};
use crate::relay;
use crate::screen;
use crate::stream::Begun;
use crate::task;

/// The longest answer that is held whole, in bytes: many times the largest of a plain service. A longer one counts as
/// broken off.
const LONGEST: usize = 1 << 20;

/// How a send came out.
pub(crate) enum Tried {
    /// An answer that has been read to its end.
    Whole(Response<Bytes>, Framing),
    /// A stream has begun.
    Stream(Box<Begun>),
    /// The server failed the request; with its own failure, where that can be passed on.
    Failed(Execution, FailureCause, Option<Passed>),
}

/// An answer of a server that is passed on as it is.
pub(crate) type Passed = (Response<Bytes>, Framing);

/// Sends a request to a server; where a stream goes on, after the event with this id.
pub(crate) async fn attempt<D: Dialect>(
    hub: &Hub<D>,
    slot: &Arc<Slot>,
    (head, body): (&request::Parts, &Bytes),
    send: &Attempt,
    after: Option<&HeaderValue>,
) -> Tried {
    let mut request = hub
        .dialect
        .request(head, body.clone(), send, after)
        .map(Full::new);
    if send.via.is_some() {
        relay::address(request.headers_mut(), send);
    }
    let target = Target {
        address: send.address,
        via: send.via,
    };
    let mark = Mark::of(hub.dialect.echo(&head.headers));
    let at = Instant::now();
    let report = |result| {
        if send.via.is_none() {
            hub.post(Event::ConnectionTried(send.server.clone(), result));
        }
    };
    let (answer, body, mut connection) = match hub.pool.send(target, mark, request, report).await {
        Ok(begun) => begun,
        Err(fault) => {
            match fault {
                Fault::Oversized => hub.record_oversized(send, Part::Head),
                Fault::Unmatched => hub.record_spliced(&send.server, &send.id),
                _ => {}
            }
            let (ran, cause) = match fault {
                Fault::NotSent => (Execution::No, FailureCause::Unreachable),
                fault => (Execution::Maybe, failure_cause(fault)),
            };
            let cause = send.via.map_or(cause, |_| FailureCause::NoPath);
            return Tried::Failed(ran, cause, None);
        }
    };
    let relay_failure = relay::failure(&answer.headers).filter(|_| send.via.is_some());
    if let Some((ran, cause, hint)) = relay_failure {
        if let Some(vm) = hint {
            hub.post(Event::RelayHint(vm));
        }
        // Its body is empty, so that the connection can be used again.
        if body.whole(0).await.is_ok() {
            hub.pool.give(connection, IdleTime::of(&answer.headers));
        }
        return Tried::Failed(ran, cause, None);
    }
    hub.record_passed_over(&send.server, &head.headers, &mut connection);
    if let Some(unmatched) = hub.dialect.unmatched(&head.headers, &answer) {
        hub.post(Event::AnswerUnmatched(
            send.server.clone(),
            Box::new(unmatched),
        ));
        // The answer to the request is still to come, on this connection, which is closed: nothing that this answer says is
        // of the request, and perhaps not of the server as it is now.
        return Tried::Failed(Execution::Maybe, FailureCause::Malformed, None);
    }
    hub.record_claim(&send.server, &send.id, &answer, &connection);
    let framing = framing(&head.method, &answer);
    hub.notice(&send.server, at, hub.dialect.notice(&answer));
    match hub.dialect.reply(&answer) {
        Reply::Malformed => Tried::Failed(Execution::Maybe, FailureCause::Malformed, None),
        Reply::Answer if send.stream => Tried::Stream(Box::new(Begun::new(
            answer,
            framing,
            body,
            connection,
            slot.charge(Use::Answer),
        ))),
        reply => {
            let mut gathered = Gathered::new(slot.charge(Use::Answer), LONGEST);
            let length = screen::body_length(&answer).unwrap_or_default();
            gathered
                .await_all(usize::try_from(length).unwrap_or(LONGEST))
                .await;
            let read = body.gather(gathered, LONGEST).await;
            if read == Err(Fault::Oversized) {
                hub.record_oversized(send, Part::Body);
            }
            settle(hub, reply, &answer, framing, read, connection)
        }
    }
}

/// Runs an attempt. The server may have run the request of one that panics.
pub(crate) fn guard<D>(
    hub: &Hub<D>,
    attempt: impl Future<Output = Tried>,
) -> impl Future<Output = Tried> {
    let lost = Tried::Failed(Execution::Maybe, FailureCause::Malformed, None);
    task::catch(hub, Task::Attempt, attempt).map(|tried| tried.unwrap_or(lost))
}

/// What the failure of an attempt says of its server, where something was sent.
pub(crate) fn failure_cause(fault: Fault) -> FailureCause {
    match fault {
        Fault::Malformed | Fault::Unmatched | Fault::Oversized => FailureCause::Malformed,
        Fault::NotSent | Fault::Broken | Fault::Timeout => FailureCause::Broken,
    }
}

/// How the head of an answer to a request with this method says where its body ends.
pub(crate) fn framing(method: &Method, answer: &response::Parts) -> Framing {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if *method == Method::HEAD || bodiless.contains(&answer.status) {
        return Framing::Length;
    }
    let coding = answer
        .headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let coding = coding.map(|value| value.to_str().unwrap_or_default());
    Framing::of(coding, answer.headers.contains_key(header::CONTENT_LENGTH))
}

/// How a send came out whose answer was read whole, or not.
fn settle<D: Dialect>(
    hub: &Hub<D>,
    reply: Reply,
    answer: &response::Parts,
    framing: Framing,
    read: Result<Bytes, Fault>,
    connection: Connection,
) -> Tried {
    let whole = match (read, reply) {
        (Ok(body), _) => {
            hub.pool.give(connection, IdleTime::of(&answer.headers));
            let builder = hub.dialect.answer(answer);
            builder.body(body).ok()
        }
        (Err(_), Reply::NotRun(cause)) => return Tried::Failed(Execution::No, cause, None),
        (Err(fault), _) => {
            return Tried::Failed(Execution::Maybe, failure_cause(fault), None);
        }
    };
    match (reply, whole) {
        (Reply::NotRun(cause), _) => Tried::Failed(Execution::No, cause, None),
        (Reply::Failure(status), whole) => {
            let passed = whole.map(|whole| (whole, framing));
            Tried::Failed(Execution::Yes, FailureCause::Status(status), passed)
        }
        (_, Some(whole)) => Tried::Whole(whole, framing),
        (_, None) => Tried::Failed(Execution::Maybe, FailureCause::Malformed, None),
    }
}
