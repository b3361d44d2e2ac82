//! Graceful stops of VMs, as the process of a VM carries them out.

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::settings::Tuning;

use super::{Action, Answer, World};

/// How long before the end of its grace the process ends by itself.
const END_MARGIN: Span = Span::from_millis(300);
/// How often a stopping process looks whether requests are in progress.
const LOOK: Span = Span::from_millis(50);

/// The end of a VM's process after a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// When the process was told to stop.
    pub stopped: Instant,
    /// When it ended.
    pub at: Instant,
}

impl World {
    /// Tells a VM's process to shut down, and restarts the VM when the process has ended: when nothing is in progress, or
    /// shortly before the end of its grace.
    pub fn stop_and_restart(&mut self, vm: usize) {
        let stopped = self.now;
        let incarnation = self.vms[vm].incarnation;
        self.stop(vm);
        let leave = self.tuning.leave;
        self.schedule(
            stopped + leave,
            Action::EndStopped(vm, incarnation, stopped),
        );
    }

    /// Ends the process of a stopping VM, unless requests are in progress and there is time left.
    pub(super) fn end_stopped(&mut self, vm: usize, incarnation: u64, stopped: Instant) {
        let Some(gateway) = &self.vms[vm].gateway else {
            return;
        };
        if self.vms[vm].incarnation != incarnation {
            return;
        }
        let last = last_moment(stopped, &self.tuning);
        if gateway.open_requests() > 0 && self.now < last {
            let next = self.now + LOOK;
            self.schedule(next, Action::EndStopped(vm, incarnation, stopped));
            return;
        }
        self.ends.push((
            vm,
            End {
                stopped,
                at: self.now,
            },
        ));
        self.cut_streams(vm);
        self.kill(vm, false);
    }

    /// Records that the streams break off that have begun and run at a server.
    fn cut_streams(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation;
        let (now, requests) = (self.now, &mut self.requests);
        let running = self.running.iter();
        for (number, _) in running.filter(|(_, run)| run.vm == (vm, incarnation)) {
            if let Some(record) = requests.get_mut(number)
                && matches!(record.ended, Some((_, Answer::Served(_))))
            {
                record.ended = Some((now, Answer::Cut));
            }
        }
    }

    /// Returns the requests that a VM took before its process ended after a graceful stop, and that got neither an answer
    /// nor a refusal.
    pub fn unanswered_at_stops(&self) -> Vec<(u64, End)> {
        let lost = |vm: usize, end: &End| {
            let is_lost = move |record: &super::RequestRecord| {
                record.vm == vm
                    && record.at < end.at
                    && record.ended == Some((end.at, Answer::Lost))
            };
            let records = self.requests.iter();
            let found = records.filter(move |(_, record)| is_lost(record));
            found.map(|(number, _)| (*number, *end)).collect::<Vec<_>>()
        };
        let ends = self.ends.iter();
        ends.flat_map(|(vm, end)| lost(*vm, end)).collect()
    }

    /// Returns the streams that had begun and were broken off by the end of a stopping process.
    pub fn cut_at_stops(&self) -> Vec<u64> {
        let ends = self.ends.iter();
        let is_cut = |record: &super::RequestRecord| {
            ends.clone()
                .any(|(vm, end)| record.vm == *vm && record.ended == Some((end.at, Answer::Cut)))
        };
        let cut = self.requests.iter().filter(|(_, record)| is_cut(record));
        cut.map(|(number, _)| *number).collect()
    }
}

/// Returns when a stopping process ends at the latest.
fn last_moment(stopped: Instant, tuning: &Tuning) -> Instant {
    stopped + (tuning.grace - END_MARGIN)
}
