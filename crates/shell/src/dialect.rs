//! How the outside systems are spoken to.

use std::net::SocketAddr;

use bytes::Bytes;
use dahliastile_core::id::Server;
use dahliastile_gateway::effect::{Attempt, KvOperation, Order, Refusal};
use dahliastile_gateway::event::{
    CallerRequest, FailureCause, KvAnswer, OrderOutcome, Report, UnmatchedAnswer,
};
use dahliastile_gateway::request::notice::Notice;
use dahliastile_gateway::settings::Tuning;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, request, response};

use crate::pool::Client;

/// Why a caller's request can't be taken in at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its head says nothing that could be served.
    Malformed(&'static str),
    /// Its body is too large.
    TooLarge,
    /// Its body did not come whole.
    Truncated,
    /// Its body comes too slowly, or no more.
    Stalled,
    /// There is no room for its body beside those of others; it has not run.
    NoRoom,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer to the request, or to be passed on as it is.
    Answer,
    /// The server did not run the request and never will.
    NotRun(FailureCause),
    /// The server ran the request, or tried, and failed; or it may have run it and only its status says otherwise.
    Failure(u16),
    /// No answer that a server gives.
    Malformed,
}

/// What a server's answer to a call of this VM itself says.
#[derive(Clone, Debug)]
pub struct Heard<T> {
    /// What was called for.
    pub outcome: T,
    /// What it says of the server; none where no answer to the call came.
    pub notice: Option<Notice>,
    /// An answer that came in its place.
    pub unmatched: Option<UnmatchedAnswer>,
    /// Whether more bytes came than an answer has.
    pub is_oversized: bool,
}

impl<T> Heard<T> {
    /// No answer.
    pub fn nothing(outcome: T) -> Self {
        Self {
            outcome,
            notice: None,
            unmatched: None,
            is_oversized: false,
        }
    }
}

/// What a server's answer repeats of its request, by which it is told from answers to other requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The header.
    pub header: HeaderName,
    /// Its value.
    pub value: HeaderValue,
}

/// How an answer promises that its request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It states so.
    Stated,
    /// It has a status by which callers take a request for not run, and does not state it.
    Implied,
}

/// Translates between the shell's types and what the outside systems speak. It decides nothing.
pub trait Dialect: Clone + 'static {
    /// What a caller's request asks.
    ///
    /// # Errors
    /// Where the head can't be served by any configuration.
    fn call(&self, head: &request::Parts, body: &[u8]) -> Result<CallerRequest, Rejection>;

    /// The answer to a request that was not taken in.
    fn rejected(&self, rejection: Rejection) -> Response<Bytes>;

    /// The answer to a request that no server answers.
    fn refused(&self, refusal: Refusal) -> Response<Bytes>;

    /// A caller's request as it is sent to a server; where a stream goes on, after the event with this id.
    fn request(
        &self,
        head: &request::Parts,
        body: Bytes,
        send: &Attempt,
        after: Option<&HeaderValue>,
    ) -> Request<Bytes>;

    /// What the answer to the request with these headers repeats of it; none where it has no id, or several.
    fn echo(&self, asked: &HeaderMap) -> Option<Echo>;

    /// What tells a server's answer from the answer to the request with these headers; none for the answer to it. Nothing else
    /// is read of an answer before.
    fn unmatched(&self, asked: &HeaderMap, answer: &response::Parts) -> Option<UnmatchedAnswer>;

    /// Whether the head of a server's answer promises that its request did not run.
    fn claim(&self, answer: &response::Parts) -> Option<Claim>;

    /// What the head of a server's answer says of the request that it answers.
    fn reply(&self, answer: &response::Parts) -> Reply;

    /// What the head of a server's answer says of the server.
    fn notice(&self, answer: &response::Parts) -> Notice;

    /// The head of a server's answer as it is passed on.
    fn answer(&self, answer: &response::Parts) -> http::response::Builder;

    /// The path at which the platform asks whether this VM is ready.
    fn readiness_path(&self) -> &'static str;

    /// The figures as the settings file has them now.
    ///
    /// # Errors
    /// Where the file can't be read or is wrong, as a text for the log.
    fn reload(&self) -> Result<Tuning, String>;

    /// Calls the key-value service.
    fn store(&self, client: Client, op: KvOperation) -> impl Future<Output = KvAnswer> + 'static;

    /// Orders something of a server.
    fn order(
        &self,
        client: Client,
        server: Server,
        address: SocketAddr,
        order: Order,
    ) -> impl Future<Output = Heard<OrderOutcome>> + 'static;

    /// Asks a server for its report, none where it gave none.
    fn report(
        &self,
        client: Client,
        server: Server,
        address: SocketAddr,
    ) -> impl Future<Output = Heard<Option<Report>>> + 'static;
}
