//! The platform's question whether this VM is ready, and its figures.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use dahliastile_gateway::event::Task;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::callers::ACCEPT_PAUSE;
use crate::dialect::Dialect;
use crate::hub::Hub;
use crate::task;

/// The path of the figures.
const FIGURES: &str = "/metrics";

/// Connections at a time. The oldest one ends for a new one: whoever asks is answered at once.
const CONNECTIONS: usize = 16;

/// Answers both until the process ends.
pub(crate) async fn listen<D: Dialect>(listener: Rc<TcpListener>, hub: Rc<Hub<D>>) {
    let mut tasks: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= CONNECTIONS
            && let Some(oldest) = tasks.pop_front()
        {
            oldest.abort();
            // It ends when its task is run next.
            tokio::task::yield_now().await;
        }
        let asked = hub.clone();
        let task = task::spawn(&hub, Task::Probing, async move {
            let service = service_fn(|request| {
                let hub = asked.clone();
                async move { Ok::<_, Infallible>(answer(&hub, &request)) }
            });
            // An error is the other side's doing: it asks again.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
        tasks.push_back(task.abort_handle());
    }
}

fn answer<D: Dialect>(hub: &Hub<D>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        FIGURES => (StatusCode::OK, hub.figures.render()),
        path if path != hub.dialect.readiness_path() => (StatusCode::NOT_FOUND, String::new()),
        _ if hub.ready.get() => (StatusCode::OK, String::new()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
