//! The work that the node has done outside: attempts, orders and polls of backend servers, and calls of the
//! key-value service. Each runs on a thread of a bounded pool and comes back as an event.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use dahliastile_core::effect::{Action, Command, Work};
use dahliastile_core::event::{Cached, Event, Failure, Ordered, Report, Resident};
use dahliastile_core::id::{self, Attempt, Boot, Op, Request};
use dahliastile_core::platform::{Call, Notice};
use dahliastile_core::time::{Instant, Span};
use dahliastile_outside::engine::{self, CacheKind, Client, Limit};
use dahliastile_outside::{Cancel, Endpoint, Error, Fence};

use super::attempt::{self, Held};
use super::{Mailbox, Parts, kv};
use crate::pool::Pool;

/// Calls of the key-value service at a time.
const KV_THREADS: usize = 16;

/// Polls of backend servers at a time.
const POLL_THREADS: usize = 16;

/// Orders to backend servers at a time. A load holds its thread until the adapter is resident.
const ORDER_THREADS: usize = 64;

/// The time for a poll.
const POLL: Duration = Duration::from_secs(1);

/// A poll to make.
struct Poll {
    /// The server.
    server: id::Server,
    /// Its address.
    address: String,
}

/// What polls need.
struct PollContext {
    /// Where reports go.
    mailbox: Mailbox,
    /// The start of each server and the next cache event to read from it.
    cursors: Mutex<HashMap<id::Server, (Boot, u64)>>,
}

/// The work that is done outside.
pub(super) struct Outside {
    mailbox: Mailbox,
    bodies: HashMap<Request, Arc<Held>>,
    cancels: HashMap<Attempt, Cancel>,
    watches: HashMap<Op, Cancel>,
    attempts: Pool<attempt::Context, attempt::Job>,
    kv: Pool<kv::Context, kv::Job>,
    polls: Pool<PollContext, Poll>,
    orders: Pool<Mailbox, Command>,
    endpoints: Vec<Endpoint>,
    kv_timeout: Duration,
}

impl Outside {
    /// No work yet.
    pub(super) fn new(parts: &Parts) -> Self {
        let settings = &parts.settings;
        let mailbox = parts.mailbox.clone();
        let kv_timeout = Duration::from_millis(settings.tuning.platform_timeout_ms);
        let attempt = attempt::Context {
            mailbox: mailbox.clone(),
            prefix: format!("{}-{:x}-", settings.vm, settings.incarnation.0),
            answer_bytes: parts.answer_bytes,
        };
        let kv = kv::Context {
            mailbox: mailbox.clone(),
            client: kv::client(parts.endpoints.clone(), kv_timeout, Cancel::new()),
        };
        let poll = PollContext {
            mailbox: mailbox.clone(),
            cursors: Mutex::default(),
        };
        Self {
            bodies: HashMap::new(),
            cancels: HashMap::new(),
            watches: HashMap::new(),
            attempts: Pool::new("attempt", parts.attempts, attempt, |context, job| {
                attempt::run(context, &job);
            }),
            kv: Pool::new("kv", KV_THREADS, kv, kv::run),
            polls: Pool::new("poll", POLL_THREADS, poll, run_poll),
            orders: Pool::new(
                "order",
                ORDER_THREADS,
                mailbox.clone(),
                |mailbox, command| run_order(mailbox, &command),
            ),
            mailbox,
            endpoints: parts.endpoints.clone(),
            kv_timeout,
        }
    }

    /// Keeps a request's body until it is over.
    pub(super) fn remember(&mut self, request: Request, held: Arc<Held>) {
        self.bodies.insert(request, held);
    }

    /// A request is over.
    pub(super) fn forget(&mut self, request: Request) {
        self.bodies.remove(&request);
    }

    /// An attempt is over.
    pub(super) fn attempt_over(&mut self, attempt: Attempt) {
        self.cancels.remove(&attempt);
    }

    /// Sends a request to a backend server.
    pub(super) fn send(&mut self, work: Work, now: Instant) {
        let Some(held) = self.bodies.get(&work.request) else {
            // The caller went away in the same step; the node hears that nothing was sent.
            let attempt = work.attempt;
            self.answer_later(Event::Failed {
                attempt,
                failure: Failure::Refused,
            });
            return;
        };
        let cancel = Cancel::new();
        self.cancels.insert(work.attempt, cancel.clone());
        let left = Duration::from_micros(work.deadline.since(now).0);
        self.attempts.give(attempt::Job {
            held: Arc::clone(held),
            left,
            cancel,
            work,
        });
    }

    /// Gives an attempt up.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        if let Some(cancel) = self.cancels.remove(&attempt) {
            cancel.cancel();
        }
    }

    /// Does something on the key-value service.
    pub(super) fn platform(&mut self, op: Op, call: Call) {
        match call {
            Call::Watch { prefix, from } => self.watch(op, prefix, from),
            call => self.kv.give(kv::Job { op, call }),
        }
    }

    /// Ends a watch.
    pub(super) fn unwatch(&mut self, op: Op) {
        if let Some(cancel) = self.watches.remove(&op) {
            cancel.cancel();
        }
    }

    /// Fetches a backend server's load report and cache changes.
    pub(super) fn poll(&self, server: id::Server, address: &str) {
        self.polls.give(Poll {
            server,
            address: address.to_owned(),
        });
    }

    /// Gives a backend server an order.
    pub(super) fn order(&self, command: Command) {
        self.orders.give(command);
    }

    fn watch(&mut self, op: Op, prefix: String, from: id::Revision) {
        let cancel = Cancel::new();
        let client = kv::client(self.endpoints.clone(), self.kv_timeout, cancel.clone());
        let mailbox = self.mailbox.clone();
        let started = thread::Builder::new()
            .name("watch".to_owned())
            .spawn(move || kv::watch(&client, &mailbox, op, &prefix, from));
        match started {
            Ok(_) => {
                self.watches.insert(op, cancel);
            }
            Err(_) => self.answer_later(Event::Watch {
                op,
                notice: Notice::Broken,
            }),
        }
    }

    /// Answers the node by its own mailbox, which must not hold up the thread that drains it.
    fn answer_later(&self, event: Event) {
        let mailbox = self.mailbox.clone();
        // Without a thread to spare, the node's own timeouts settle the matter.
        let _ = thread::Builder::new().spawn(move || mailbox.event(event));
    }
}

impl Drop for Outside {
    fn drop(&mut self) {
        let attempts = self.cancels.values();
        attempts
            .chain(self.watches.values())
            .for_each(Cancel::cancel);
    }
}

fn run_poll(context: &PollContext, poll: Poll) {
    let Poll { server, address } = poll;
    let Ok(endpoint) = address.parse() else {
        context.mailbox.event(Event::Report {
            server,
            report: None,
        });
        return;
    };
    let client = Client::new(endpoint, POLL, Limit::default());
    let report = client.report(&Cancel::new()).ok().map(report);
    let boot = report.as_ref().map(|report| report.boot);
    context.mailbox.event(Event::Report {
        server: server.clone(),
        report,
    });
    if let Some(boot) = boot {
        poll_cache(context, server, boot, &client);
    }
}

fn poll_cache(context: &PollContext, server: id::Server, boot: Boot, client: &Client) {
    let lock = || {
        context
            .cursors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    };
    let known = lock().get(&server).copied();
    let from = known
        .filter(|(of, _)| *of == boot)
        .map_or(0, |(_, next)| next);
    let Ok(page) = client.cache_events(from, &Cancel::new()) else {
        return;
    };
    lock().insert(server.clone(), (boot, page.next));
    let changes: Vec<Cached> = page.events.iter().map(cached).collect();
    if !changes.is_empty() {
        context.mailbox.event(Event::Cache { server, changes });
    }
}

fn cached(event: &engine::CacheEvent) -> Cached {
    Cached {
        seq: event.seq,
        prefix: event.prefix,
        stored: event.kind == CacheKind::Stored,
    }
}

fn report(report: engine::Report) -> Report {
    let resident = |adapter: engine::Adapter| {
        Some(Resident {
            adapter: adapter.name.parse().ok()?,
            in_flight: adapter.in_flight,
        })
    };
    Report {
        boot: Boot(report.boot),
        ready: report.ready,
        running: report.running,
        waiting: report.waiting,
        batch: report.batch,
        step: Span(report.step_us),
        slots: report.slots,
        age: Span::from_millis(report.age_ms),
        residents: report.adapters.into_iter().filter_map(resident).collect(),
    }
}

fn run_order(mailbox: &Mailbox, command: &Command) {
    let outcome = match give_order(command) {
        Ok(()) => Ordered::Done,
        Err(Error::Unsent(_) | Error::Refused) => Ordered::NotSent,
        Err(Error::NotRun { code, .. }) => Ordered::Refused(attempt::reason(&code)),
        Err(Error::Rejected {
            code: Some(code), ..
        }) if code == LOAD_FAILED => Ordered::Refused(attempt::reason(&code)),
        Err(_) => Ordered::Unknown,
    };
    mailbox.event(Event::Ordered {
        order: command.order,
        outcome,
    });
}

/// The code with which an engine says that a load has failed. It does not vouch that nothing was left behind.
const LOAD_FAILED: &str = "load_failed";

fn give_order(command: &Command) -> Result<(), Error> {
    let endpoint = command.address.parse::<Endpoint>();
    let endpoint = endpoint.map_err(|error| Error::Unsent(error.to_string()))?;
    let timeout = Duration::from_micros(command.timeout.0);
    let client = Client::new(endpoint, timeout, Limit::default());
    let fence = Fence(command.fence.0);
    let cancel = Cancel::new();
    match &command.action {
        Action::Load(adapter) => {
            let path = format!("weights/{adapter}");
            client.load(adapter.as_str(), &path, fence, timeout, &cancel)
        }
        Action::Unload(adapter) => client.unload(adapter.as_str(), fence, &cancel),
        Action::Fence => client.raise_fence(fence, &cancel),
    }
}
