//! A token with which one thread ends another's wait.

use flume::{Receiver, Sender};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};

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

    /// The channel that disconnects when the token is cancelled.
    pub(crate) fn receiver(&self) -> &Receiver<Infallible> {
        &self.receiver
    }
}
