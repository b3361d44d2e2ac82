//! The way to the thread that owns the node. What is left in it when the node stops is answered, not forgotten.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dahliastile_core::error::Answer;
use dahliastile_core::event::Event;
use dahliastile_core::operator::Reply;

use super::{Input, Piece};

/// Messages that may wait for the node before those who send more have to wait.
const MAILBOX: usize = 65_536;

/// The sending side of the mailbox.
#[derive(Clone, Debug)]
pub(crate) struct Mailbox {
    /// Where messages go in.
    sender: flume::Sender<Input>,
    /// The queue outlives the node as long as a sender does, so that a late sender has to empty it.
    rest: flume::Receiver<Input>,
    /// Whether the node takes no more.
    closed: Arc<AtomicBool>,
}

/// The side of the mailbox that the node drains. It closes when it is dropped, also by a panic.
#[derive(Debug)]
pub(crate) struct Inbox {
    /// Where messages come out.
    receiver: flume::Receiver<Input>,
    /// Whether the node takes no more.
    closed: Arc<AtomicBool>,
}

impl Mailbox {
    /// A mailbox and the side that drains it.
    pub(crate) fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(MAILBOX);
        let closed = Arc::new(AtomicBool::new(false));
        let inbox = Inbox {
            receiver: receiver.clone(),
            closed: Arc::clone(&closed),
        };
        let mailbox = Self {
            sender,
            rest: receiver,
            closed,
        };
        (mailbox, inbox)
    }

    /// Sends a message, and waits while the mailbox is full. A node that has stopped needs none.
    pub(crate) fn post(&self, input: Input) {
        let _ = self.sender.send(input);
        // Either this sees that the mailbox is closed, or who closes it finds the message.
        if self.closed.load(Ordering::SeqCst) {
            self.rest.try_iter().for_each(refuse);
        }
    }

    /// Sends an event.
    pub(crate) fn event(&self, event: Event) {
        self.post(Input::Event(event));
    }
}

impl Inbox {
    /// Waits for a message.
    pub(super) fn recv_deadline(
        &self,
        deadline: std::time::Instant,
    ) -> Result<Input, flume::RecvTimeoutError> {
        self.receiver.recv_deadline(deadline)
    }

    /// Takes a message that is there.
    pub(super) fn try_recv(&self) -> Result<Input, flume::TryRecvError> {
        self.receiver.try_recv()
    }

    /// Takes no more messages, and answers those that are left.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.receiver.try_iter().for_each(refuse);
    }

    /// Waits for a time, or for a late message, which is answered.
    pub(super) fn refuse_for(&self, time: Duration) {
        self.receiver
            .recv_timeout(time)
            .into_iter()
            .for_each(refuse);
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.close();
    }
}

/// Answers a message that the node never saw.
fn refuse(input: Input) {
    let answer = || Answer::shutting_down("this VM is shutting down");
    // Who has hung up misses the answer.
    match input {
        Input::Arrived { answer: way, .. } => drop(way.try_send(Piece::Refuse(answer()))),
        Input::Command { reply, .. } => drop(reply.try_send(Reply::Failed(answer()))),
        Input::Event(_) | Input::Refused(_) => {}
    }
}
