//! The VMs that have a link to this one: one link each, and a bounded number in all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use dahliastile_core::id;
use futures::channel::oneshot;
use tokio::time::Instant;

use super::context::Context;
use crate::error::Error;

/// The VMs that have a link to this one.
pub(crate) struct Guests {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The guests by name.
    table: RefCell<HashMap<id::Vm, Guest>>,
    /// The number of the next seat.
    next: Cell<u64>,
}

/// One VM that is let in.
struct Guest {
    /// The number of its seat, which tells this link from an earlier one of the same VM.
    seat: u64,
    /// When it last sent something.
    heard: Rc<Cell<Instant>>,
    /// Closes its link when dropped.
    _hold: oneshot::Sender<()>,
}

/// A VM's place in the table. The task of its connection holds it, and gives it back by dropping it.
pub(crate) struct Seat {
    /// The table.
    guests: Rc<Guests>,
    /// The VM.
    vm: id::Vm,
    /// The number of the seat.
    number: u64,
    /// Ends when another link takes the place.
    replaced: oneshot::Receiver<()>,
}

/// Shows that a VM's link is still the one in the table.
pub(crate) struct Pass {
    /// When the VM last sent something. The table drops its copy when the link is replaced.
    heard: Weak<Cell<Instant>>,
}

impl Guests {
    /// An empty table.
    pub(crate) fn new(context: Arc<Context>) -> Rc<Self> {
        Rc::new(Self {
            context,
            table: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// Gives a VM its place. An earlier link of that VM is closed: it belongs to an earlier start, or its end has
    /// not been noticed yet.
    pub(crate) fn seat(self: &Rc<Self>, vm: &id::Vm) -> (Seat, Pass) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (hold, replaced) = oneshot::channel();
        let heard = Rc::new(Cell::new(Instant::now()));
        let pass = Pass {
            heard: Rc::downgrade(&heard),
        };
        let guest = Guest {
            seat: number,
            heard,
            _hold: hold,
        };
        self.table.borrow_mut().insert(vm.clone(), guest);
        self.shed(number);
        let seat = Seat {
            guests: self.clone(),
            vm: vm.clone(),
            number,
            replaced,
        };
        (seat, pass)
    }

    /// Closes the links that were silent longest while there are too many, but not the newest.
    fn shed(&self, newest: u64) {
        let mut table = self.table.borrow_mut();
        while table.len() > self.context.limits.guests {
            let others = table.iter().filter(|(_, guest)| guest.seat != newest);
            let Some(vm) = others
                .min_by_key(|(_, guest)| (guest.heard.get(), guest.seat))
                .map(|(vm, _)| vm.clone())
            else {
                return;
            };
            table.remove(&vm);
        }
    }
}

impl Seat {
    /// Waits until another link takes the place.
    pub(crate) async fn replaced(&mut self) {
        // The sender is only ever dropped.
        let _ = (&mut self.replaced).await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut table = self.guests.table.borrow_mut();
        let holds = table
            .get(&self.vm)
            .is_some_and(|guest| guest.seat == self.number);
        if holds {
            table.remove(&self.vm);
            let cause = Error::Broken("the peer's link to this VM ended".to_owned());
            self.guests.context.down(&self.vm, cause);
        }
    }
}

impl Pass {
    /// Whether the link is still in the table. If so, the VM was heard of just now.
    pub(crate) fn show(&self) -> bool {
        match self.heard.upgrade() {
            Some(heard) => {
                heard.set(Instant::now());
                true
            }
            None => false,
        }
    }
}
