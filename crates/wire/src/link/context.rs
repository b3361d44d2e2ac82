//! What all tasks of a link share.

use dahliastile_core::id;
use dahliastile_core::id::Incarnation;
use dahliastile_core::peer::Message;
use flume::Sender;

use super::count::Counters;
use super::outbox::Outbox;
use super::proof::Secret;
use super::settings::{Limits, Settings};
use crate::error::Error;

/// What a link tells its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A message from a proved peer.
    Message {
        /// The sender.
        from: id::Vm,
        /// The sender's start.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// A link from or to a peer broke, or one to it could not be made.
    Down {
        /// The peer.
        vm: id::Vm,
        /// Whether its address refused the connection: no process listens there.
        refused: bool,
        /// What happened, for the log.
        cause: Error,
    },
}

/// What all tasks of a link share.
#[derive(Debug)]
pub(crate) struct Context {
    /// The name of this VM.
    pub(crate) vm: id::Vm,
    /// This start of the daemon.
    pub(crate) incarnation: Incarnation,
    /// The shared secret.
    pub(crate) secret: Secret,
    /// Bounds.
    pub(crate) limits: Limits,
    /// What waits for each peer.
    pub(crate) outbox: Outbox,
    /// Counts.
    pub(crate) counters: Counters,
    /// Where to tell what comes in.
    incoming: Sender<Incoming>,
}

impl Context {
    /// Takes what it needs from the settings.
    pub(crate) fn new(settings: Settings, incoming: Sender<Incoming>) -> Self {
        let limits = settings.limits;
        Self {
            vm: settings.vm,
            incarnation: settings.incarnation,
            secret: settings.secret,
            outbox: Outbox::new(limits.queue, limits.queue_bytes),
            limits,
            counters: Counters::default(),
            incoming,
        }
    }

    /// Tells the owner of a message.
    pub(crate) fn received(&self, from: &id::Vm, incarnation: Incarnation, message: Message) {
        self.counters.received.one();
        self.tell(Incoming::Message {
            from: from.clone(),
            incarnation,
            message,
        });
    }

    /// Tells the owner that a link is down.
    pub(crate) fn down(&self, vm: &id::Vm, cause: Error) {
        self.tell(Incoming::Down {
            vm: vm.clone(),
            refused: cause == Error::ConnectionRefused,
            cause,
        });
    }

    /// An owner that is slow to read loses news, as it would on a slow network; waiting for it would hold up the
    /// answers that other peers wait for.
    fn tell(&self, news: Incoming) {
        if self.incoming.try_send(news).is_err() {
            self.counters.overflowed.one();
        }
    }
}
