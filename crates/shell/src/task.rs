//! Tasks of the event loop that end by a panic.
//!
//! A panic ends one task, and the others go on. Whoever waits for that task has to be told, or waits for good: the gateway for
//! the event that the task owes it, a caller for an answer, a queue for whoever empties it.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use dahliastile_gateway::event::{Event, Task};
use futures::FutureExt;

use crate::hub::Hub;

/// The pause before a task is started again that is to last as long as the process.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest message of a panic that is logged, in characters.
const MESSAGE_CHARS: usize = 200;

/// Runs a part of a task; none if it panics, which is logged and counted.
pub(crate) fn catch<D, T>(
    hub: &Hub<D>,
    task: Task,
    part: impl Future<Output = T>,
) -> impl Future<Output = Option<T>> {
    // Borrows of shared cells end with the panic.
    let ended = AssertUnwindSafe(part).catch_unwind();
    ended.map(move |ended| {
        let tell = |panic: Box<dyn Any + Send>| {
            hub.post(Event::TaskPanicked(task, message(panic.as_ref()).into()));
        };
        ended.map_err(tell).ok()
    })
}

/// Starts a task whose panic is told by what it drops.
pub(crate) fn spawn<D: 'static>(
    hub: &Rc<Hub<D>>,
    task: Task,
    work: impl Future<Output = ()> + 'static,
) -> tokio::task::JoinHandle<()> {
    let hub = hub.clone();
    tokio::task::spawn_local(async move {
        // All that waits for it is told when `work` is dropped.
        let _: Option<()> = catch(&hub, task, work).await;
    })
}

/// Starts a task that owes the gateway an event, which is `lost` if the task panics.
pub(crate) fn spawn_owing<D: 'static>(
    hub: &Rc<Hub<D>>,
    task: Task,
    lost: Event,
    work: impl Future<Output = Event> + 'static,
) {
    let hub = hub.clone();
    tokio::task::spawn_local(async move {
        let event = catch(&hub, task, work).await.unwrap_or(lost);
        hub.post(event);
    });
}

/// Starts a task that is to last until it ends by itself, and starts it again whenever it panics.
pub(crate) fn spawn_lasting<D: 'static, F: Future<Output = ()>>(
    hub: &Rc<Hub<D>>,
    task: Task,
    start: impl Fn() -> F + 'static,
) {
    let hub = hub.clone();
    tokio::task::spawn_local(async move {
        while catch(&hub, task, start()).await.is_none() {
            tokio::time::sleep(PAUSE).await;
        }
    });
}

/// The start of a panic's message.
fn message(panic: &(dyn Any + Send)) -> String {
    let text = match (panic.downcast_ref::<&str>(), panic.downcast_ref::<String>()) {
        (Some(text), _) => text,
        (None, Some(text)) => text.as_str(),
        (None, None) => "-",
    };
    text.chars().take(MESSAGE_CHARS).collect()
}
