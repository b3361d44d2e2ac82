//! The task that carries messages to one peer.

use std::sync::Arc;
use std::time::Duration;

use dahliastile_core::id;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::context::Context;
use super::duration;
use super::outbox::Taken;
use super::session::Session;
use crate::error::Result;

/// Carries messages to one peer. It lives while there are messages for the peer or a link to it.
pub(crate) struct Courier {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The peer.
    vm: id::Vm,
    /// Says when to stop.
    stop: watch::Receiver<bool>,
    /// The next pause after a failure.
    pause: Duration,
    /// Whether the peer's queue is closed, so that another courier may have it by now.
    done: bool,
}

/// Why a courier stops using an address.
enum End {
    /// All is delivered and the link is to stop.
    Stopped,
    /// The peer has another address now.
    Moved,
}

impl Courier {
    /// A courier for a peer whose queue was opened just now.
    pub(crate) fn new(context: Arc<Context>, vm: id::Vm, stop: watch::Receiver<bool>) -> Self {
        Self {
            pause: duration(context.limits.backoff_min),
            context,
            vm,
            stop,
            done: false,
        }
    }

    /// Carries messages until there is neither a link nor a message left.
    pub(crate) async fn run(mut self) {
        while let Some((address, wake)) = self.context.outbox.target(&self.vm) {
            match self.visit(&address, &wake).await {
                Ok(End::Stopped) => return,
                Ok(End::Moved) => {}
                Err(cause) => {
                    self.context.down(&self.vm, cause);
                    self.rest(&address, &wake).await;
                    self.done = self.context.outbox.close_if_empty(&self.vm);
                }
            }
            if self.done {
                return;
            }
        }
    }

    /// Connects to an address and delivers there what comes.
    async fn visit(&mut self, address: &str, wake: &Notify) -> Result<End> {
        match Session::open(&self.context, &self.vm, address).await {
            Ok(session) => {
                self.pause = duration(self.context.limits.backoff_min);
                self.deliver(session, address, wake).await
            }
            Err(cause) => {
                // A later message tries again; what waits now would be stale by then.
                let dropped = self.context.outbox.clear(&self.vm, address);
                self.context.counters.dropped.add(dropped);
                Err(cause)
            }
        }
    }

    async fn deliver(&mut self, mut session: Session, address: &str, wake: &Notify) -> Result<End> {
        let mut calls = FuturesUnordered::new();
        let mut flight = Flight::new(self.context.clone());
        loop {
            let stopping = *self.stop.borrow_and_update();
            let room = calls.len() < self.context.limits.window;
            match self.context.outbox.take(&self.vm, address, room) {
                Taken::Moved => return Ok(End::Moved),
                Taken::Batch(batch) => {
                    flight.messages += batch.len();
                    calls.push(session.deliver(&self.context, &batch));
                    continue;
                }
                Taken::Nothing if stopping && calls.is_empty() => return Ok(End::Stopped),
                Taken::Nothing => {}
            }
            tokio::select! {
                Some(answer) = calls.next() => flight.land(answer?),
                cause = session.ended() => return Err(cause),
                () = wake.notified(), if room => {}
                _ = self.stop.changed(), if !stopping => {}
            }
        }
    }

    /// Waits before the next try, unless the peer gets another address meanwhile.
    async fn rest(&mut self, address: &str, wake: &Notify) {
        let until = Instant::now() + self.pause;
        self.pause = (2 * self.pause).min(duration(self.context.limits.backoff_max));
        let outbox = &self.context.outbox;
        while outbox
            .target(&self.vm)
            .is_some_and(|(now, _)| now == address)
        {
            tokio::select! {
                () = tokio::time::sleep_until(until) => return,
                _ = self.stop.wait_for(|stop| *stop) => return,
                () = wake.notified() => {}
            }
        }
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        if !self.done {
            let dropped = self.context.outbox.close(&self.vm);
            self.context.counters.dropped.add(dropped);
        }
    }
}

/// The messages in deliveries that wait for their answer. What is left when dropped is lost.
struct Flight {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The number of messages.
    messages: usize,
}

impl Flight {
    fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            messages: 0,
        }
    }

    /// Notes that a delivery was confirmed.
    fn land(&mut self, messages: usize) {
        self.messages -= messages;
        self.context.counters.delivered.add(messages);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.context.counters.dropped.add(self.messages);
    }
}
