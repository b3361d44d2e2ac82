//! What all tasks of the event loop share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_gateway::effect::{Attempt, NextStep};
use dahliastile_gateway::event::{Event, Part, Promise, RequestId, UnmatchedAnswer};
use dahliastile_gateway::request::notice::Notice;
use http::{HeaderMap, response};
use metrics_exporter_prometheus::PrometheusHandle;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::dialect::{Claim, Dialect, Heard};
use crate::intake::Intake;
use crate::pool::{Client, Connection, Pool};

/// What all tasks share.
pub(crate) struct Hub<D> {
    /// How the outside is spoken to.
    pub(crate) dialect: D,
    /// Connections that callers' requests use.
    pub(crate) pool: Pool,
    /// Calls to the key-value service, orders and reports.
    pub(crate) client: Client,
    /// What clients make the process hold.
    pub(crate) intake: Arc<Intake>,
    /// Where events go.
    mailbox: flume::Sender<Event>,
    /// The requests in progress, each with what its task is told through.
    requests: RefCell<FxHashMap<RequestId, mpsc::UnboundedSender<NextStep>>>,
    /// The servers all of whose answers are told, and when each last said something of itself.
    tracked: RefCell<FxHashMap<Server, Instant>>,
    /// The number of open connections of callers, and of other VMs whose attempts this one carries.
    connections: Cell<usize>,
    /// The last number given to a request.
    last: Cell<RequestId>,
    /// Renders the figures.
    pub(crate) figures: PrometheusHandle,
    /// Whether new connections are welcome.
    pub(crate) ready: Cell<bool>,
    /// The longest body of a caller.
    pub(crate) body_limit: Cell<usize>,
    /// The longest head of a caller.
    pub(crate) head_limit: Cell<usize>,
    /// How long a caller's head may take from its first byte on.
    pub(crate) head_time: Cell<std::time::Duration>,
    /// How long a caller's connection may be idle.
    pub(crate) idle: Cell<std::time::Duration>,
    /// When the process ends at the latest; none if it was not told to stop.
    pub(crate) end_by: Cell<Option<dahliastile_core::time::Instant>>,
}

impl<D> Hub<D> {
    pub(crate) fn new(
        dialect: D,
        figures: PrometheusHandle,
        mailbox: flume::Sender<Event>,
        source: Option<std::net::IpAddr>,
        intake: Arc<Intake>,
    ) -> Rc<Self> {
        let limits = dahliastile_gateway::config::HttpLimits::default();
        Rc::new(Self {
            dialect,
            pool: Pool::from(source),
            client: Client::new(),
            intake,
            mailbox,
            figures,
            requests: RefCell::default(),
            tracked: RefCell::default(),
            connections: Cell::new(0),
            last: Cell::new(0),
            ready: Cell::new(false),
            body_limit: Cell::new(limits.body),
            head_limit: Cell::new(limits.head),
            head_time: Cell::new(crate::clock::duration(limits.head_time)),
            idle: Cell::new(crate::clock::duration(limits.idle_time)),
            end_by: Cell::new(None),
        })
    }

    /// Hands an event to the gateway. The mailbox is open as long as the loop runs.
    pub(crate) fn post(&self, event: Event) {
        let _ = self.mailbox.send(event);
    }

    /// Hands on what the head of an answer says of its server, to what was sent at a time. That it says nothing counts for servers that
    /// are tracked, where it was sent since one said something: answers overtake each other.
    pub(crate) fn notice(&self, server: &Server, sent: Instant, notice: Notice) {
        let mut tracked = self.tracked.borrow_mut();
        let says = !notice.is_empty();
        let told = match tracked.get_mut(server) {
            Some(last) if says => {
                *last = Instant::now();
                true
            }
            Some(last) => *last <= sent,
            None => says,
        };
        if told {
            self.post(Event::NoticeReceived(server.clone(), notice));
        }
    }

    /// Hands on which answers to other requests came before the one to the request with these headers.
    pub(crate) fn record_passed_over(
        &self,
        server: &Server,
        asked: &HeaderMap,
        connection: &mut Connection,
    ) where
        D: Dialect,
    {
        for head in connection.passed_over() {
            if let Some(unmatched) = self.dialect.unmatched(asked, &head) {
                let event = Event::AnswerUnmatched(server.clone(), Box::new(unmatched));
                self.post(event);
            }
        }
    }

    /// Hands on that the head of the answer to a request is of two answers.
    pub(crate) fn record_spliced(&self, server: &Server, id: &Arc<str>) {
        let unmatched = UnmatchedAnswer {
            asked: id.clone(),
            answered: None,
            status: 0,
            is_rejection: false,
        };
        self.post(Event::AnswerUnmatched(server.clone(), Box::new(unmatched)));
    }

    /// Hands on whether the head of an answer to a request with this id promises that the request did not run.
    pub(crate) fn record_claim(
        &self,
        server: &Server,
        id: &Arc<str>,
        answer: &response::Parts,
        connection: &Connection,
    ) where
        D: Dialect,
    {
        if let Some(claim) = self.dialect.claim(answer) {
            let promise = Promise {
                id: id.clone(),
                status: answer.status.as_u16(),
                is_stated: claim == Claim::Stated,
                exchanges: connection.exchanges(),
            };
            self.post(Event::PromiseReceived(server.clone(), Box::new(promise)));
        }
    }

    /// Hands on that the server of an attempt has sent more bytes than an answer has.
    pub(crate) fn record_oversized(&self, send: &Attempt, part: Part) {
        self.post(Event::AnswerOversized(
            send.server.clone(),
            send.id.clone(),
            part,
        ));
    }

    /// Has all answers of a server told, or only those that say something of it.
    pub(crate) fn track(&self, server: Server, all: bool) {
        let mut tracked = self.tracked.borrow_mut();
        if all {
            tracked.entry(server).or_insert_with(Instant::now);
        } else {
            tracked.remove(&server);
        }
    }

    /// Awaits a server's answer to what is sent now, and hands on what it says of the server.
    pub(crate) async fn heard<T>(
        &self,
        server: &Server,
        answer: impl Future<Output = Heard<T>>,
    ) -> T {
        let sent = Instant::now();
        let heard = answer.await;
        if let Some(notice) = heard.notice {
            self.notice(server, sent, notice);
        }
        if let Some(unmatched) = heard.unmatched {
            self.post(Event::AnswerUnmatched(server.clone(), Box::new(unmatched)));
        }
        if heard.is_oversized {
            let call = "call".into();
            self.post(Event::AnswerOversized(server.clone(), call, Part::Body));
        }
        heard.outcome
    }

    /// A new request, and what its task is told through.
    pub(crate) fn open(&self) -> (RequestId, mpsc::UnboundedReceiver<NextStep>) {
        let id = self.last.get() + 1;
        self.last.set(id);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.requests.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Whether requests are in progress, are being read, may still come as the first of a connection, or have answers that
    /// are not written to their end. Connections show the last three, as each is closed after its answers when this VM leaves.
    pub(crate) fn busy(&self) -> bool {
        !self.requests.borrow().is_empty() || self.connections.get() > 0
    }

    /// Counts a connection for as long as the returned value lives.
    pub(crate) fn count_connection(self: &Rc<Self>) -> Count<D> {
        self.connections.set(self.connections.get() + 1);
        Count { hub: self.clone() }
    }

    /// Forgets a request.
    pub(crate) fn close(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Tells a request's task what to do. One that is over by now hears nothing.
    pub(crate) fn tell(&self, id: RequestId, verdict: NextStep) {
        if let Some(sender) = self.requests.borrow().get(&id) {
            let _ = sender.send(verdict);
        }
    }
}

/// Keeps the process from ending while a connection is open, within its grace.
pub(crate) struct Count<D> {
    /// The hub that counts it.
    hub: Rc<Hub<D>>,
}

impl<D> Drop for Count<D> {
    fn drop(&mut self) {
        self.hub.connections.set(self.hub.connections.get() - 1);
    }
}

/// A request's entry in the hub. Dropping it says that the caller has left, unless its end was told.
pub(crate) struct Ticket<D> {
    /// The hub.
    pub(crate) hub: Rc<Hub<D>>,
    /// The request.
    pub(crate) id: RequestId,
    /// Whether the gateway knows that the request is over.
    pub(crate) done: bool,
}

impl<D> Ticket<D> {
    /// Says that the request is over with this event.
    pub(crate) fn finish(&mut self, event: Event) {
        self.done = true;
        self.hub.post(event);
    }
}

impl<D> Drop for Ticket<D> {
    fn drop(&mut self) {
        self.hub.close(self.id);
        if !self.done {
            self.hub.post(Event::CallerLeft(self.id));
        }
    }
}
