//! The HTTP listeners: callers' and operators'.

mod admission;
mod answer;
mod ask;
mod callers;
mod gate;
mod head;
mod intake;
mod operators;
mod relay;
mod server;

use std::sync::atomic::{AtomicU64, Ordering};

use dahliastile_core::id::{Incarnation, Request, Vm};

pub(crate) use admission::Admission;
pub(crate) use answer::sse;
pub(crate) use callers::Callers;
pub(crate) use gate::Limits;
pub(crate) use intake::{ANSWER_COPIES, Charge, DESCRIPTORS, Intake, REQUEST_COPIES};
pub(crate) use operators::Operators;
pub(crate) use server::Server;

/// The numbers of requests, and the ids under which callers and operators know them.
#[derive(Debug)]
pub(crate) struct Ids {
    /// What every id begins with.
    prefix: String,
    /// The number of the last request.
    last: AtomicU64,
}

impl Ids {
    /// The ids of one start of one VM.
    pub(crate) fn new(vm: &Vm, incarnation: Incarnation) -> Self {
        Self {
            prefix: format!("{vm}-{:x}-", incarnation.0),
            last: AtomicU64::new(0),
        }
    }

    /// A number that no request had.
    pub(crate) fn next(&self) -> Request {
        Request(self.last.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The id of a request.
    pub(crate) fn text(&self, request: Request) -> String {
        format!("{}{}", self.prefix, request.0)
    }
}
