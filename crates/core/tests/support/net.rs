//! The network: delays by availability zone, loss, repetition, extra delay and partitions.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::event::Event;
use dahliastile_core::id;
use dahliastile_core::peer::Message;
use rand::Rng;

use super::{Fleet, MS, Micros, Origin, SEC};

/// How long a side that hears nothing waits before it gives a connection up.
pub const SILENCE: Micros = SEC;

/// One end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// An entry VM by its position.
    Vm(usize),
    /// A backend server by its address.
    Server(String),
    /// The key-value service.
    Kv,
}

/// The network's state.
#[derive(Debug)]
pub struct Net {
    /// One-way delay within a zone.
    pub near: Micros,
    /// One-way delay between zones.
    pub far: Micros,
    /// One-way delays of pairs of zones that differ from those.
    pub delays: BTreeMap<(String, String), Micros>,
    /// One-way delay to the key-value service.
    pub kv: Micros,
    /// The share of messages between VMs that is lost, in thousandths.
    pub loss: u32,
    /// The share of messages between VMs that comes twice, in thousandths.
    pub twice: u32,
    /// The longest extra delay of a message between VMs; messages may overtake each other.
    pub jitter: Micros,
    /// Messages between VMs so far.
    pub messages: u64,
    cut: BTreeSet<(End, End)>,
}

impl Default for Net {
    fn default() -> Self {
        Self {
            near: 200,
            far: 1_500,
            delays: BTreeMap::new(),
            kv: 2 * MS,
            loss: 0,
            twice: 0,
            jitter: 0,
            messages: 0,
            cut: BTreeSet::new(),
        }
    }
}

impl Net {
    /// Cuts the way between two ends, both ways.
    pub fn cut(&mut self, a: End, b: End) {
        self.cut.insert((a.clone(), b.clone()));
        self.cut.insert((b, a));
    }

    /// Mends the way between two ends.
    pub fn mend(&mut self, a: End, b: End) {
        self.cut.remove(&(a.clone(), b.clone()));
        self.cut.remove(&(b, a));
    }

    /// Mends everything.
    pub fn mend_all(&mut self) {
        self.cut.clear();
    }

    /// Whether the way from one end to the other is cut.
    pub fn is_cut(&self, a: &End, b: &End) -> bool {
        !self.cut.is_empty() && self.cut.contains(&(a.clone(), b.clone()))
    }

    /// The one-way delay between two zones.
    pub fn delay(&self, a: &id::Zone, b: &id::Zone) -> Micros {
        if !self.delays.is_empty() {
            let key = (a.to_string(), b.to_string());
            if let Some(delay) = self.delays.get(&key) {
                return *delay;
            }
        }
        if a == b { self.near } else { self.far }
    }
}

impl Fleet {
    /// Cuts the VMs of `side` from all other VMs.
    pub fn partition(&mut self, side: &[usize]) {
        for a in 0..self.vms.len() {
            for b in (0..a).filter(|b| side.contains(&a) != side.contains(b)) {
                self.net.cut(End::Vm(a), End::Vm(b));
            }
        }
    }

    /// A message from one VM to another.
    pub(crate) fn message(&mut self, from: Origin, to: &id::Vm, address: &str, message: Message) {
        self.net.messages += 1;
        let target = self.vms.iter().position(|row| row.address == address);
        let Some(target) = target else {
            self.link_down(from, to.clone(), 0);
            return;
        };
        let cut = self.net.is_cut(&End::Vm(from.vm), &End::Vm(target));
        if cut || self.rng.random_range(0..1_000) < self.net.loss {
            return;
        }
        let delay = self
            .net
            .delay(&self.vms[from.vm].zone, &self.vms[target].zone);
        let copies = 1 + u32::from(self.rng.random_range(0..1_000) < self.net.twice);
        for _ in 0..copies {
            let late = self.rng.random_range(0..=self.net.jitter);
            let (to, message) = (to.clone(), message.clone());
            self.after(delay + late, move |fleet| {
                fleet.arrive(from, target, to, message, delay);
            });
        }
    }

    fn arrive(&mut self, from: Origin, target: usize, to: id::Vm, message: Message, delay: Micros) {
        if self.vms[target].node.is_none() {
            self.link_down(from, to, delay);
            return;
        }
        let event = Event::Peer {
            from: self.vms[from.vm].name.clone(),
            incarnation: from.incarnation,
            message,
        };
        self.step(target, event);
    }

    fn link_down(&mut self, from: Origin, vm: id::Vm, delay: Micros) {
        self.tell(from, delay, Event::PeerDown { vm, refused: true });
    }
}
