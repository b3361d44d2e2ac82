//! The messages that wait for each peer. Any thread puts them in; the link's thread takes them out.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahliastile_core::id;
use tokio::sync::Notify;

/// Messages in one delivery at most.
const BATCH: usize = 64;

/// Bytes in one delivery at most, unless a single message is larger.
const BATCH_BYTES: usize = 256 << 10;

/// The messages that wait for each peer.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// A queue for each peer that has a courier.
    queues: Mutex<HashMap<id::Vm, Queue>>,
    /// Messages that wait for one peer at most.
    messages: usize,
    /// Bytes that wait for one peer at most.
    bytes: usize,
}

/// The messages that wait for one peer.
#[derive(Debug)]
struct Queue {
    /// The address that the last message was to go to.
    address: String,
    /// The encoded messages, oldest first.
    waiting: VecDeque<Vec<u8>>,
    /// The sum of their lengths.
    bytes: usize,
    /// Wakes the courier.
    wake: Arc<Notify>,
}

/// What came of putting a message in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Put {
    /// Whether the peer's queue is new and needs a courier.
    pub(crate) opened: bool,
    /// How many older messages were dropped for it.
    pub(crate) dropped: usize,
}

/// What there is to send to a peer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// Nothing.
    Nothing,
    /// These messages.
    Batch(Vec<Vec<u8>>),
    /// Messages for another address than the one that the link goes to.
    Moved,
}

impl Outbox {
    /// An empty one.
    pub(crate) fn new(messages: usize, bytes: usize) -> Self {
        Self {
            queues: Mutex::default(),
            messages,
            bytes,
        }
    }

    /// Puts a message in.
    pub(crate) fn put(&self, to: &id::Vm, address: &str, message: Vec<u8>) -> Put {
        let mut queues = self.lock();
        let opened = !queues.contains_key(to);
        let queue = queues
            .entry(to.clone())
            .or_insert_with(|| Queue::new(address));
        if queue.address != address {
            address.clone_into(&mut queue.address);
        }
        queue.push(message);
        let dropped = queue.shed(self.messages, self.bytes);
        queue.wake.notify_one();
        Put { opened, dropped }
    }

    /// Takes out what fits into one delivery to that address, if the link has room for one.
    pub(crate) fn take(&self, to: &id::Vm, address: &str, room: bool) -> Taken {
        match self.lock().get_mut(to) {
            Some(queue) if queue.address != address => Taken::Moved,
            Some(queue) if room && !queue.waiting.is_empty() => Taken::Batch(queue.batch()),
            _ => Taken::Nothing,
        }
    }

    /// The address of a peer, and what wakes its courier.
    pub(crate) fn target(&self, to: &id::Vm) -> Option<(String, Arc<Notify>)> {
        let queues = self.lock();
        let queue = queues.get(to)?;
        Some((queue.address.clone(), queue.wake.clone()))
    }

    /// Drops what waits for a peer at an address, and says how many messages that were.
    pub(crate) fn clear(&self, to: &id::Vm, address: &str) -> usize {
        match self.lock().get_mut(to) {
            Some(queue) if queue.address == address => queue.clear(),
            _ => 0,
        }
    }

    /// Closes a peer's queue if nothing waits in it. A later message opens a new one.
    pub(crate) fn close_if_empty(&self, to: &id::Vm) -> bool {
        let mut queues = self.lock();
        let empty = queues.get(to).is_none_or(|queue| queue.waiting.is_empty());
        if empty {
            queues.remove(to);
        }
        empty
    }

    /// Closes a peer's queue, and says how many messages waited in it.
    pub(crate) fn close(&self, to: &id::Vm) -> usize {
        self.lock()
            .remove(to)
            .map_or(0, |queue| queue.waiting.len())
    }

    /// The queues are whole after each step, so a panic elsewhere under the lock leaves nothing half done.
    fn lock(&self) -> MutexGuard<'_, HashMap<id::Vm, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            waiting: VecDeque::new(),
            bytes: 0,
            wake: Arc::default(),
        }
    }

    fn push(&mut self, message: Vec<u8>) {
        self.bytes += message.len();
        self.waiting.push_back(message);
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let message = self.waiting.pop_front()?;
        self.bytes -= message.len();
        Some(message)
    }

    /// Drops the oldest messages until the bounds are kept. The newest always stays.
    fn shed(&mut self, messages: usize, bytes: usize) -> usize {
        let before = self.waiting.len();
        while self.waiting.len() > 1 && (self.waiting.len() > messages || self.bytes > bytes) {
            self.pop();
        }
        before - self.waiting.len()
    }

    fn batch(&mut self) -> Vec<Vec<u8>> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.waiting.front() {
            bytes += next.len();
            let full = batch.len() == BATCH || bytes > BATCH_BYTES;
            if full && !batch.is_empty() {
                break;
            }
            batch.extend(self.pop());
        }
        batch
    }

    fn clear(&mut self) -> usize {
        let waiting = self.waiting.len();
        self.waiting.clear();
        self.bytes = 0;
        waiting
    }
}
