//! Links for tests, and what to wait for on them.

use std::net::SocketAddr;
use std::time::Duration;

use dahliastile_core::id::{self, Edition, Incarnation};
use dahliastile_core::peer::{Fetch, Message};
use dahliastile_wire::{Error, Incoming, Limits, Link, Settings};
use flume::Receiver;

/// Far longer than anything takes that is waited for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

pub(crate) const SECRET: &str = "a secret of some length";

/// A link and what it hears.
pub(crate) struct Node {
    pub(crate) link: Link,
    pub(crate) news: Receiver<Incoming>,
}

/// What a [`Node`] is started with.
pub(crate) struct Plan {
    pub(crate) vm: &'static str,
    pub(crate) incarnation: u64,
    pub(crate) listen: SocketAddr,
    pub(crate) secret: &'static str,
    pub(crate) limits: Limits,
}

impl Plan {
    pub(crate) fn new(vm: &'static str) -> Self {
        Self {
            vm,
            incarnation: 1,
            listen: ([127, 0, 0, 1], 0).into(),
            secret: SECRET,
            limits: Limits::default(),
        }
    }

    pub(crate) fn try_start(self) -> Result<Node, Error> {
        let (sender, news) = flume::unbounded();
        let settings = Settings {
            vm: vm(self.vm),
            incarnation: Incarnation(self.incarnation),
            listen: self.listen,
            secret: self.secret.parse()?,
            limits: self.limits,
        };
        let link = Link::start(settings, sender)?;
        Ok(Node { link, news })
    }

    pub(crate) fn start(self) -> Node {
        self.try_start().unwrap()
    }
}

impl Node {
    pub(crate) fn new(vm: &'static str) -> Self {
        Plan::new(vm).start()
    }

    pub(crate) fn address(&self) -> String {
        self.link.address().to_string()
    }

    /// Sends a numbered message to a VM at another node's address.
    pub(crate) fn send(&self, to: &str, node: &Node, number: u64) {
        self.send_to(to, &node.address(), number);
    }

    pub(crate) fn send_to(&self, to: &str, address: &str, number: u64) {
        self.link.send(&vm(to), address, &message(number));
    }

    pub(crate) fn next(&self) -> Incoming {
        self.news.recv_timeout(PATIENCE).unwrap()
    }

    /// Waits for news that say that a link is down, past other news.
    pub(crate) fn next_down(&self) -> (String, bool, Error) {
        loop {
            if let Incoming::Down { vm, refused, cause } = self.next() {
                return (vm.to_string(), refused, cause);
            }
        }
    }

    /// Sends numbered messages until one arrives, and returns the start that the receiver saw.
    pub(crate) fn send_until_heard(&self, to: &str, node: &Node) -> Incarnation {
        for number in 0.. {
            self.send(to, node, number);
            if let Ok(Incoming::Message { incarnation, .. }) =
                node.news.recv_timeout(Duration::from_millis(20))
            {
                return incarnation;
            }
        }
        unreachable!()
    }
}

pub(crate) fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

pub(crate) fn message(number: u64) -> Message {
    Message::Fetch(Fetch {
        have: Edition(number),
        offset: 0,
        snapshot: Edition(0),
    })
}

pub(crate) fn heard(from: &str, incarnation: u64, number: u64) -> Incoming {
    Incoming::Message {
        from: vm(from),
        incarnation: Incarnation(incarnation),
        message: message(number),
    }
}
