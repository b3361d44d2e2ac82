//! Links to other entry VMs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dahliastile_core::id::{Incarnation, Vm};
use dahliastile_core::metric::Figure;
use dahliastile_core::time::Span;
use dahliastile_gateway::effect::Locality;
use dahliastile_gateway::event::{Event, LinkFault, Task};
use dahliastile_gateway::message::{Message, encode_each};
use dahliastile_intake::{Phase, Port};
use dahliastile_wire::exchange::{Sender, Sink, serve};
use rustc_hash::FxHashMap;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::dialect::Dialect;
use crate::figures::Figures;
use crate::hub::Hub;
use crate::intake::Slot;
use crate::task;

/// How long a connection may take to be made.
const CONNECT: Span = Span::from_millis(300);

/// How long a batch may take to be taken in before the link counts as broken: twice the silence after which its VM is passed
/// over anyway. A VM that is busy for a moment takes it in late; a link made anew would cost it more, and lose what waits.
const DELIVERY: Span = Span::from_secs(2);

/// The pause after a link broke.
const PAUSE: Duration = Duration::from_millis(100);

/// Messages that wait for a link; the oldest are dropped beyond it, since newer ones say more.
const WAITING: usize = 4_096;

/// The queue of messages to one address.
struct Queue {
    /// The messages.
    messages: RefCell<Vec<Message>>,
    /// Says that there are some.
    wake: Notify,
    /// How far they go.
    reach: Locality,
}

/// Links to other VMs, made when there is something to send.
pub(crate) struct Peers<D> {
    /// This VM.
    vm: Vm,
    /// Its start.
    incarnation: Incarnation,
    /// The queues by address.
    queues: RefCell<FxHashMap<SocketAddr, Rc<Queue>>>,
    /// Where events go.
    hub: Rc<Hub<D>>,
    /// The figures.
    figures: Rc<Figures>,
}

impl<D: Dialect> Peers<D> {
    pub(crate) fn new(
        vm: Vm,
        incarnation: Incarnation,
        hub: Rc<Hub<D>>,
        figures: Rc<Figures>,
    ) -> Rc<Self> {
        Rc::new(Self {
            vm,
            incarnation,
            queues: RefCell::default(),
            hub,
            figures,
        })
    }

    /// Sends a message without waiting. It may be lost.
    pub(crate) fn send(self: &Rc<Self>, address: SocketAddr, reach: Locality, message: Message) {
        let known = self.queues.borrow().get(&address).cloned();
        let queue = known.unwrap_or_else(|| self.open(address, reach));
        let mut messages = queue.messages.borrow_mut();
        if messages.len() >= WAITING {
            messages.remove(0);
        }
        messages.push(message);
        queue.wake.notify_one();
    }

    fn open(self: &Rc<Self>, address: SocketAddr, reach: Locality) -> Rc<Queue> {
        let queue = Rc::new(Queue {
            messages: RefCell::default(),
            wake: Notify::new(),
            reach,
        });
        self.queues.borrow_mut().insert(address, queue.clone());
        let carry = self.clone().carry(address, queue.clone());
        task::spawn(&self.hub, Task::Link, carry);
        queue
    }

    /// Carries messages to one address, with one link after the other.
    async fn carry(self: Rc<Self>, address: SocketAddr, queue: Rc<Queue>) {
        loop {
            queue.wake.notified().await;
            let carried = task::catch(&self.hub, Task::Link, async {
                match Sender::open(address, CONNECT).await {
                    Ok(link) => {
                        queue.wake.notify_one();
                        self.deliver(&link, &queue).await
                    }
                    Err(_) => LinkFault::Unreachable,
                }
            });
            let fault = carried.await.unwrap_or(LinkFault::Broken);
            queue.messages.borrow_mut().clear();
            self.hub.post(Event::PeerDown(address, fault));
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Messages as one batch, each counted.
    fn encode(&self, messages: &[Message], reach: Locality) -> Option<Vec<u8>> {
        encode_each(messages, |message, bytes| {
            let label = format!("{}_{}", message.kind(), reach.name());
            self.figures.count(Figure::PeerMessages, 1, label.clone());
            self.figures.count(Figure::PeerBytes, bytes as u64, label);
        })
    }

    /// Delivers batches until one is not taken in, and says why. The next batch does not wait for the last one's answer.
    async fn deliver(&self, link: &Sender, queue: &Queue) -> LinkFault {
        let mut answers = futures::stream::FuturesUnordered::new();
        loop {
            tokio::select! {
                () = queue.wake.notified() => {
                    let messages = std::mem::take(&mut *queue.messages.borrow_mut());
                    match self.encode(&messages, queue.reach) {
                        Some(batch) if !messages.is_empty() => {
                            answers.push(link.deliver(&self.vm, self.incarnation, &batch, DELIVERY));
                        }
                        _ => {}
                    }
                }
                Some(answer) = futures::StreamExt::next(&mut answers) => {
                    let answer: Result<(), dahliastile_wire::Error> = answer;
                    match answer {
                        Ok(()) => {}
                        Err(dahliastile_wire::Error::Timeout { .. }) => return LinkFault::Late,
                        Err(_) => return LinkFault::Broken,
                    }
                }
            }
        }
    }
}

/// A link that another VM made.
struct Link<D> {
    peers: Rc<Peers<D>>,
    slot: Arc<Slot>,
}

impl<D: Dialect> Sink for Link<D> {
    fn take(&self, from: Vm, _: Incarnation, batch: &[u8]) {
        // Only a link that has brought nothing ends for others.
        self.slot.enter(Phase::Running);
        for message in dahliastile_gateway::message::decode(batch).unwrap_or_default() {
            self.peers
                .hub
                .post(Event::PeerMessage(from.clone(), message));
        }
    }
}

/// Takes links in until the process ends.
pub(crate) async fn listen<D: Dialect>(listener: Rc<TcpListener>, peers: Rc<Peers<D>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(slot) = peers.hub.intake.open(Port::Links).await else {
                    continue;
                };
                let hub = peers.hub.clone();
                let peers = peers.clone();
                task::spawn(&hub, Task::Link, async move {
                    let link = Rc::new(Link {
                        peers,
                        slot: slot.clone(),
                    });
                    tokio::select! {
                        () = serve(stream, link) => {}
                        () = slot.yields() => {}
                    }
                });
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
