//! Looks at every VM's edition all the time, for how fast an edit is in force and whether one ever goes back.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use dahliastile_core::operator::Status;

use super::stage::OPERATOR_TOKEN;
use crate::client::Client;
use crate::error::Result;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// What was seen of the VMs.
#[derive(Debug, Default)]
struct State {
    /// The last state that each VM told.
    last: Vec<Option<Status>>,
    /// Editions that went back.
    backwards: Vec<String>,
    /// Whether looking is to end.
    closed: bool,
}

/// Looks at the VMs on threads of their own.
pub(super) struct Watch {
    /// What was seen.
    state: Arc<(Mutex<State>, Condvar)>,
    /// The threads.
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Starts to look at these operators' listeners.
    pub(super) fn start(operators: &[String]) -> Result<Self> {
        let state = State {
            last: vec![None; operators.len()],
            ..State::default()
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let mut threads = Vec::new();
        for (vm, address) in operators.iter().enumerate() {
            let client = Client::new(address, OPERATOR_TOKEN, Duration::ZERO)?;
            let state = Arc::clone(&state);
            threads.push(thread::spawn(move || look(&client, vm, &state)));
        }
        Ok(Self { state, threads })
    }

    /// Waits until the VMs named fulfil a condition, at most for `limit`; how long it took, or none.
    pub(super) fn wait(
        &self,
        vms: &[usize],
        limit: Duration,
        test: impl Fn(&Status) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let unfit = |state: &mut State| {
            let fits = |vm: &usize| state.last[*vm].as_ref().is_some_and(&test);
            !vms.iter().all(fits)
        };
        let waited = changed.wait_timeout_while(state, limit, unfit);
        let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        drop(guard);
        (!timeout.timed_out()).then(|| started.elapsed())
    }

    /// Ends looking; returns the editions that went back.
    pub(super) fn close(self) -> Vec<String> {
        let (state, _) = &*self.state;
        state.lock().unwrap_or_else(PoisonError::into_inner).closed = true;
        for thread in self.threads {
            // A panic there shows as promises that can't be seen to be kept.
            let _ = thread.join();
        }
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut state.backwards)
    }
}

fn look(client: &Client, vm: usize, (state, changed): &(Mutex<State>, Condvar)) {
    loop {
        let status = client.status();
        let mut seen = state.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.closed {
            return;
        }
        if let Ok(status) = status {
            if let Some(last) = &seen.last[vm]
                && status.edition < last.edition
            {
                let text = format!(
                    "{}: {} after {}",
                    status.vm, status.edition.0, last.edition.0
                );
                seen.backwards.push(text);
            }
            seen.last[vm] = Some(status);
            changed.notify_all();
        }
        drop(seen);
        thread::sleep(LOOK);
    }
}
