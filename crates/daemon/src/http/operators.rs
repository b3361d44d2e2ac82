//! The operators' listener: health, figures and commands.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use dahliastile_core::error::{Answer, Kind};
use dahliastile_core::id::Ticket;
use dahliastile_core::operator::{Command, Reply};
use flume::RecvTimeoutError;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;
use tiny_http::Method;

use super::admission;
use super::answer::{self, JSON};
use super::ask;
use super::head::Refusal;
use super::relay;
use super::server::{Exchange, Service};
use crate::driver::{Input, Mailbox, Shared};

/// How long an operator waits for a reply.
const REPLY: Duration = Duration::from_secs(30);

/// Operators' calls have no id.
const NO_ID: &str = "";

/// The type of the figures' text form.
const METRICS: &str = "text/plain; version=0.0.4";

/// Answers operators.
pub(crate) struct Operators {
    /// The hash of the operators' token.
    token: blake3::Hash,
    /// The configuration in force.
    shared: Shared,
    /// Whether the daemon is told to stop.
    draining: Arc<AtomicBool>,
    /// Renders the figures.
    figures: PrometheusHandle,
    /// The way to the node.
    mailbox: Mailbox,
    /// The number of the last call.
    last: AtomicU64,
}

/// What an operator is answered.
struct Page {
    /// The HTTP status.
    status: u16,
    /// The content type.
    content_type: &'static str,
    /// The body.
    body: String,
}

impl Operators {
    /// A service in front of a node.
    pub(crate) fn new(
        token: blake3::Hash,
        shared: Shared,
        draining: Arc<AtomicBool>,
        figures: PrometheusHandle,
        mailbox: Mailbox,
    ) -> Self {
        Self {
            token,
            shared,
            draining,
            figures,
            mailbox,
            last: AtomicU64::new(0),
        }
    }

    fn page(&self, exchange: &mut Exchange) -> Result<Page, Answer> {
        let request = &mut exchange.request;
        if request.url() == relay::REFUSED
            && let Some(refusal) = exchange.connection.refusal()
        {
            return Err(refusal.answer());
        }
        // The platform's balancer asks for these two without a token; they tell nothing else.
        match (request.method(), request.url()) {
            (Method::Get, "/healthz") => return Ok(text(200, "ok\n")),
            (Method::Get, "/readyz") => return Ok(self.readiness()),
            _ => {}
        }
        admission::operator(ask::bearer(request), self.token)?;
        match (request.method(), request.url()) {
            (Method::Get, "/metrics") => Ok(Page {
                status: 200,
                content_type: METRICS,
                body: self.figures.render(),
            }),
            (Method::Post, "/operator") => self.command(exchange),
            _ => Err(Answer::new(Kind::NotFound, "there is no such path")),
        }
    }

    fn readiness(&self) -> Page {
        match self.draining.load(Ordering::SeqCst) {
            true => text(503, "shutting down\n"),
            false if self.shared.view().is_ready() => text(200, "ready\n"),
            false => text(503, "no configuration yet\n"),
        }
    }

    fn command(&self, exchange: &mut Exchange) -> Result<Page, Answer> {
        let bytes = ask::body(&mut exchange.request)?;
        let command: Command = serde_json::from_slice(&bytes)
            .map_err(|error| Answer::new(Kind::BadJson, error.to_string()))?;
        let is_edit = matches!(command, Command::Edit(_));
        let (sender, replies) = flume::bounded(1);
        let ticket = Ticket(self.last.fetch_add(1, Ordering::Relaxed) + 1);
        self.mailbox.post(Input::Command {
            ticket,
            command,
            reply: sender,
        });
        let reply = replies
            .recv_timeout(REPLY)
            .unwrap_or_else(|error| Reply::Failed(unanswered(error, is_edit)));
        let status = match &reply {
            Reply::Failed(answer) => answer.kind.row().status,
            Reply::Clash(_) => Kind::EditClash.row().status,
            _ => 200,
        };
        Ok(Page {
            status,
            content_type: JSON,
            body: json!(reply).to_string(),
        })
    }
}

/// The answer to a command without a reply. An edit may have been made all the same.
fn unanswered(error: RecvTimeoutError, is_edit: bool) -> Answer {
    match (error, is_edit) {
        (RecvTimeoutError::Timeout, true) => {
            Answer::new(Kind::EditUnknown, "the node did not reply in time")
        }
        (RecvTimeoutError::Timeout, false) => {
            Answer::new(Kind::Overloaded, "the node did not reply in time")
        }
        (RecvTimeoutError::Disconnected, true) => {
            Answer::new(Kind::EditUnknown, "the VM ended before the node replied")
        }
        (RecvTimeoutError::Disconnected, false) => {
            Answer::shutting_down("the VM ended before the node replied")
        }
    }
}

fn text(status: u16, body: &str) -> Page {
    Page {
        status,
        content_type: "text/plain",
        body: body.to_owned(),
    }
}

impl Service for Operators {
    fn serve(&self, mut exchange: Exchange) {
        match self.page(&mut exchange) {
            Ok(page) => {
                let body = page.body.into_bytes();
                answer::whole(
                    exchange.request,
                    page.status,
                    page.content_type,
                    body,
                    NO_ID,
                    &[],
                );
            }
            Err(_) if exchange.connection.is_stopped() => {
                answer::refuse(exchange.request, &Refusal::stopping().answer(), NO_ID);
            }
            Err(refusal) => answer::refuse(exchange.request, &refusal, NO_ID),
        }
    }

    fn refuse(&self, exchange: Exchange) {
        let answer = Answer::new(Kind::QueueFull, "too many operators' calls are in progress");
        answer::refuse(exchange.request, &answer, NO_ID);
    }
}
