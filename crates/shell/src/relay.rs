//! Attempts that VMs carry for each other: HTTP with a few headers of our own, over a port that all VMs have.
//!
//! The VM that asks sends the request as it would send it to the server, and names the server in a header. The VM that
//! carries it answers with the server's answer, or with a header that says why there is none. The body of an answer is
//! passed on as it comes, and its end says no more than the server's did, so that the VM that asked judges it as if it came
//! from the server. Where either side closes the connection, the other one's ends with it.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use dahliastile_core::id::{Server, Vm};
use dahliastile_gateway::effect::{Attempt, NextStep};
use dahliastile_gateway::event::{
    Event, Execution, FailureCause, Part, RelayRequest, RequestId, Task,
};
use dahliastile_intake::{Size, Use};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use tokio::sync::mpsc::{self, UnboundedReceiver};

use crate::answer::{self, Answer, Piece, Piped, whole};
use crate::attempt::framing;
use crate::dialect::Dialect;
use crate::head::Head;
use crate::hub::Hub;
use crate::intake::Slot;
use crate::pool::{self, Connection, Fault, IdleTime, Mark, Target};
use crate::reader::Content;
use crate::request;
use crate::task;

/// Header of a request: the server that it is for.
const SERVER: &str = "dahliastile-relay-server";
/// Header of a request: the id that its caller gave to it.
const REQUEST: &str = "dahliastile-relay-request";
/// Header of an answer: why there is none of the server.
const FAILURE: &str = "dahliastile-relay-failure";
/// Header of such an answer: another VM that may carry the request.
const HINT: &str = "dahliastile-relay-hint";

/// Values of [`FAILURE`].
const NOT_CARRIED: &str = "not-carried";
const UNREACHABLE: &str = "unreachable";
const MALFORMED: &str = "malformed";
const BROKEN: &str = "broken";

/// Adds the headers that a VM needs to carry a request.
pub(crate) fn address(headers: &mut HeaderMap, send: &Attempt) {
    for (name, value) in [(SERVER, send.server.as_str()), (REQUEST, &send.id)] {
        // A caller's id that can't be a header is left out: it is for the log only.
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.insert(name, value);
        }
    }
}

/// Why the VM that was to carry a request has no answer of the server, and a VM that may; none for a server's answer.
pub(crate) fn failure(headers: &HeaderMap) -> Option<(Execution, FailureCause, Option<Vm>)> {
    let failure = headers.get(FAILURE)?;
    let hint = headers.get(HINT).and_then(text);
    let hint = hint.and_then(|vm| vm.parse().ok());
    let (ran, cause) = match failure.to_str() {
        Ok(NOT_CARRIED) => (Execution::No, FailureCause::NoPath),
        Ok(UNREACHABLE) => (Execution::No, FailureCause::Unreachable),
        Ok(MALFORMED) => (Execution::Maybe, FailureCause::Malformed),
        // `BROKEN`. A reason that this VM does not know or can't read proves nothing either.
        _ => (Execution::Maybe, FailureCause::Broken),
    };
    Some((ran, cause, hint))
}

/// A name in a header, which may hold letters beyond ASCII.
fn text(value: &HeaderValue) -> Option<&str> {
    std::str::from_utf8(value.as_bytes()).ok()
}

/// An attempt that this VM carries. Dropping it ends it.
struct Carried<D> {
    hub: Rc<Hub<D>>,
    id: RequestId,
}

impl<D> Drop for Carried<D> {
    fn drop(&mut self) {
        self.hub.close(self.id);
        self.hub.post(Event::RelayEnded(self.id));
    }
}

/// Carries the request of another VM.
pub(crate) async fn serve<D: Dialect>(
    hub: Rc<Hub<D>>,
    slot: &Arc<Slot>,
    progress: &Head,
    request: Request<Incoming>,
    from: IpAddr,
) -> Answer {
    let (mut head, body) = request.into_parts();
    // These concern the connection between the two VMs.
    for name in [header::CONNECTION, header::TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    let owned = |value: HeaderValue| text(&value).map(str::to_owned);
    let server = head.headers.remove(SERVER).and_then(owned);
    let request_id = head.headers.remove(REQUEST).and_then(owned);
    let Some(server) = server.and_then(|name| name.parse::<Server>().ok()) else {
        return no_answer(NOT_CARRIED, None);
    };
    let Ok(body) = request::read(&hub, slot, progress, body).await else {
        return no_answer(NOT_CARRIED, None);
    };
    let (id, mut verdicts) = hub.open();
    let carried = Carried {
        hub: hub.clone(),
        id,
    };
    let asked_id: Arc<str> = request_id.unwrap_or_default().into();
    let asked = RelayRequest {
        from,
        server: server.clone(),
        id: asked_id.clone(),
    };
    hub.post(Event::RelayRequested(id, Box::new(asked)));
    let address = match decision(&mut verdicts).await {
        Ok(address) => address,
        Err(hint) => return no_answer(NOT_CARRIED, hint),
    };
    let target = Target::directly(address);
    let headers = head.headers.clone();
    let mark = Mark::of(hub.dialect.echo(&headers));
    let request = Request::from_parts(head, Full::new(body));
    let method = request.method().clone();
    let report = |result| hub.post(Event::ConnectionTried(server.clone(), result));
    let (answer, body, mut connection) = match hub.pool.send(target, mark, request, report).await {
        Ok(begun) => begun,
        Err(Fault::NotSent) => return no_answer(UNREACHABLE, None),
        Err(fault @ (Fault::Malformed | Fault::Unmatched | Fault::Oversized)) => {
            match fault {
                Fault::Oversized => {
                    hub.post(Event::AnswerOversized(server, asked_id, Part::Head));
                }
                Fault::Unmatched => hub.record_spliced(&server, &asked_id),
                _ => {}
            }
            return no_answer(MALFORMED, None);
        }
        Err(Fault::Broken | Fault::Timeout) => return no_answer(BROKEN, None),
    };
    hub.record_passed_over(&server, &headers, &mut connection);
    if let Some(unmatched) = hub.dialect.unmatched(&headers, &answer) {
        hub.post(Event::AnswerUnmatched(server, Box::new(unmatched)));
        // The answer to the request is still to come, on this connection, which is closed.
        return no_answer(MALFORMED, None);
    }
    hub.record_claim(&server, &asked_id, &answer, &connection);
    let framing = framing(&method, &answer);
    let (pieces, piped) = Piped::channel();
    let builder = hub.dialect.answer(&answer);
    let Ok(mut passed) = builder.body(Either::Right(piped)) else {
        return no_answer(MALFORMED, None);
    };
    passed.headers_mut().remove(FAILURE);
    let passed_on = pass(carried, slot.clone(), answer, (body, connection), pieces);
    task::spawn(&hub, Task::Relay, passed_on);
    answer::frame(passed, framing)
}

/// What the gateway says of an attempt; a VM that may carry it where this one doesn't.
async fn decision(
    verdicts: &mut UnboundedReceiver<NextStep>,
) -> Result<std::net::SocketAddr, Option<Vm>> {
    match verdicts.recv().await {
        Some(NextStep::Carry(address)) => Ok(address),
        Some(NextStep::RefuseRelay(_, hint)) => Err(hint),
        _ => Err(None),
    }
}

/// Passes the body of an answer on until it or the connection to the other VM ends.
async fn pass<D: Dialect>(
    carried: Carried<D>,
    slot: Arc<Slot>,
    head: response::Parts,
    (mut body, connection): (Content, Connection),
    pieces: mpsc::Sender<Piece>,
) {
    let mut room = slot.charge(Use::Answer);
    loop {
        let piece = tokio::select! {
            biased;
            () = pieces.closed() => return,
            piece = async {
                room.await_room(Size(pool::BUFFER)).await;
                body.piece().await
            } => piece,
        };
        let data = match piece {
            Ok(None) => break,
            // The body of the answer that is passed on breaks off with this task.
            Err(_) => return,
            Ok(Some(data)) => data,
        };
        // A copy, as a small piece keeps the whole buffer that it came in.
        let data = room
            .split(Size(data.len()))
            .hold(Bytes::copy_from_slice(&data));
        if pieces.send(Piece::Data(data)).await.is_err() {
            return;
        }
    }
    carried
        .hub
        .pool
        .give(connection, IdleTime::of(&head.headers));
    let _ = pieces.send(Piece::End).await;
}

/// Answers a VM that the attempt failed here, after it may have been sent.
pub(crate) fn broken() -> Answer {
    no_answer(BROKEN, None)
}

/// Answers a VM that there is no answer of the server.
fn no_answer(failure: &'static str, hint: Option<Vm>) -> Answer {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let headers = response.headers_mut();
    headers.insert(FAILURE, HeaderValue::from_static(failure));
    let hint = hint.and_then(|vm| HeaderValue::from_bytes(vm.as_str().as_bytes()).ok());
    if let Some(hint) = hint {
        headers.insert(HINT, hint);
    }
    whole(response)
}
