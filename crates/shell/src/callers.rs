//! Connections of callers, and of other VMs that ask this one to carry attempts.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dahliastile_gateway::effect::RefusalReason;
use dahliastile_gateway::event::Task;
use dahliastile_intake as intake;
use http::{HeaderValue, Version, header};
use hyper::body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::answer::{Answer, whole};
use crate::dialect::Dialect;
use crate::head::{Answered, Head, Watched};
use crate::hub::Hub;
use crate::intake::Slot;
use crate::pool;
use crate::relay;
use crate::request::{self, unproven};
use crate::task;

/// The pause after a connection could not be taken in, mostly for want of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The least buffer that the HTTP library takes for a head.
const LEAST_BUFFER: usize = 8_192;

/// How much longer than callers are told an idle connection is kept, so that a request never crosses its end.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The time for which a new connection is kept for its first request when this VM leaves.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// How long a connection that is to end may take to write the refusal of the request that is read on it.
const YIELD_TIME: Duration = Duration::from_millis(50);

/// Whose connections a port takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// Those of callers.
    Callers,
    /// Those of other VMs, with attempts to carry.
    Relays,
}

impl Port {
    /// How the ledger counts it.
    fn counted_as(self) -> intake::Port {
        match self {
            Self::Callers => intake::Port::Callers,
            Self::Relays => intake::Port::Trusted,
        }
    }
}

/// Takes a port's connections in. When `leaving` turns true, only those are taken in that the system has accepted, and
/// each is closed after its request in progress, a new one after its first request: by then the platform sends callers
/// elsewhere, and one that still comes here is better told at once than cut off at the end of the grace.
pub(crate) async fn listen<D: Dialect>(
    listener: Rc<TcpListener>,
    port: Port,
    hub: Rc<Hub<D>>,
    leaving: watch::Receiver<bool>,
) {
    let mut stop = leaving.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|leaving| *leaving) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                // One for which there is no place is closed unread, and its caller may go elsewhere.
                if let Some(slot) = hub.intake.open(port.counted_as()).await {
                    let served = serve(stream, port, hub.clone(), slot, leaving.clone());
                    task::spawn(&hub, Task::Connection, served);
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // The system resets the connections that nobody has taken in when the listener ends. The event loop may not have
    // been told of them yet, so the listener itself is asked.
    let listener = SockRef::from(&*listener);
    while let Ok((socket, _)) = listener.accept() {
        let stream = socket
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(socket.into()));
        // One that fails at once is its caller's to notice.
        if let Ok(stream) = stream
            && let Some(slot) = hub.intake.open(port.counted_as()).await
        {
            let served = serve(stream, port, hub.clone(), slot, leaving.clone());
            task::spawn(&hub, Task::Connection, served);
        }
    }
}

/// The answer to a request whose task panicked: it may have run. What is left of its body would be taken for the next one.
fn lost<D: Dialect>(hub: &Hub<D>, port: Port) -> Answer {
    let mut answer = match port {
        Port::Callers => whole(hub.dialect.refused(unproven(RefusalReason::Failed))),
        Port::Relays => relay::broken(),
    };
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

async fn serve<D: Dialect>(
    stream: TcpStream,
    port: Port,
    hub: Rc<Hub<D>>,
    slot: Arc<Slot>,
    mut leaving: watch::Receiver<bool>,
) {
    let _counted = hub.count_connection();
    let unacknowledged = match port {
        // A caller may read as slowly as its connection may be idle.
        Port::Callers => hub.idle.get() + IDLE_MARGIN,
        Port::Relays => pool::UNACKNOWLEDGED,
    };
    pool::tune(&stream, unacknowledged);
    let Ok(peer) = stream.peer_addr() else {
        // The connection is over.
        return;
    };
    let head = Rc::new(Head::default());
    let service = service_fn(|request| {
        let (hub, head, slot) = (hub.clone(), head.clone(), slot.clone());
        let speaks_chunks = request.version() > Version::HTTP_10;
        head.come();
        async move {
            let answered = task::catch(&hub, Task::Request, async {
                match port {
                    Port::Callers => request::serve(hub.clone(), &slot, &head, request).await,
                    Port::Relays => {
                        relay::serve(hub.clone(), &slot, &head, request, peer.ip()).await
                    }
                }
            });
            let answer = answered.await.unwrap_or_else(|| lost(&hub, port));
            let in_chunks = speaks_chunks && answer.version() > Version::HTTP_10;
            if !in_chunks && answer.body().size_hint().exact().is_none() {
                head.end_answer();
            }
            head.answered();
            let answer = answer.map(|body| Answered::new(body, head, slot));
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(hub.idle.get() + IDLE_MARGIN)
        .max_buf_size(hub.head_limit.get().max(LEAST_BUFFER))
        .title_case_headers(true);
    let stream = TokioIo::new(Watched::new(stream, head.clone(), slot.clone()));
    let connection = builder.serve_connection(stream, service);
    tokio::pin!(connection);
    let leave = async {
        // The sender lives as long as the process.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        head.used(FIRST_REQUEST_TIME).await;
    };
    // An error is the caller's doing, or a body that broke off and was told as that.
    tokio::select! {
        _ = connection.as_mut() => return,
        // Nothing of the request was read whole, so its caller may send it elsewhere.
        () = head.late(|| hub.head_time.get()) => return,
        () = slot.yields() => {
            if head.reads_body() {
                // Its end is the other side's to notice.
                let _ = timeout(YIELD_TIME, connection).await;
            }
            return;
        }
        () = leave => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = head.late(|| hub.head_time.get()) => {}
        () = slot.yields() => {}
    }
}
