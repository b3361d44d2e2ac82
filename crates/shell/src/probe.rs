//! The platform's question whether this VM is ready.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::dialect::Dialect;
use crate::hub::Hub;

/// Answers the question until the process ends.
pub(crate) async fn listen<D: Dialect>(listener: TcpListener, hub: Rc<Hub<D>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let hub = hub.clone();
                async move { Ok::<_, Infallible>(answer(&hub, &request)) }
            });
            // An error is the platform's doing: it asks again.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

fn answer<D: Dialect>(hub: &Hub<D>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match request.uri().path() {
        path if path != hub.dialect.readiness_path() => StatusCode::NOT_FOUND,
        _ if hub.ready.get() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
