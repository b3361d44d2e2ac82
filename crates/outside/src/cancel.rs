//! A token with which one thread ends another's wait.

use flume::{Receiver, RecvError, Selector, Sender};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What ended a wait for a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake<T> {
    /// The next message.
    Message(T),
    /// Every sender is gone, and every message has been received.
    Ended,
    /// The token was cancelled.
    Cancelled,
    /// The deadline passed.
    Timeout,
}

/// Ends every call that was given this token or a clone of it.
///
/// It is a channel on which nothing is ever sent: cancelling drops the sender, which wakes all waits at
/// once, so that no wait has to poll a flag.
#[derive(Debug, Clone)]
pub struct Cancel {
    /// The only sender, until the token is cancelled.
    sender: Arc<Mutex<Option<Sender<Infallible>>>>,
    /// Disconnected once the sender is gone.
    receiver: Receiver<Infallible>,
}

impl Default for Cancel {
    fn default() -> Self {
        let (sender, receiver) = flume::bounded(0);
        Self {
            sender: Arc::new(Mutex::new(Some(sender))),
            receiver,
        }
    }
}

impl Cancel {
    /// A token that is not cancelled.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Cancels the token for good.
    pub fn cancel(&self) {
        self.sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }

    /// Whether the token has been cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.receiver.is_disconnected()
    }

    /// Waits for a message until the token is cancelled or the deadline passes.
    #[must_use]
    pub fn receive<T>(&self, messages: &Receiver<T>, deadline: Instant) -> Wake<T> {
        // A selector picks at random among what is ready, and a cancelled wait should end at once.
        if self.is_cancelled() {
            return Wake::Cancelled;
        }
        let wake = Selector::new()
            .recv(messages, |message| match message {
                Ok(message) => Wake::Message(message),
                Err(RecvError::Disconnected) => last(messages),
            })
            .recv(&self.receiver, |_| Wake::Cancelled)
            .wait_deadline(deadline);
        wake.unwrap_or(Wake::Timeout)
    }
}

/// What a channel without senders still holds.
///
/// `flume`'s selector looks for a message first and for the end afterwards: it reports the end also where a sender sent
/// its last messages and went between the two looks. After the end nothing is sent, so one more look is certain.
fn last<T>(messages: &Receiver<T>) -> Wake<T> {
    messages.try_recv().map_or(Wake::Ended, Wake::Message)
}
