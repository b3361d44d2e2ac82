//! What a ledger decided lately, and how full it is.

use std::fmt;

use crate::capacity::Capacity;
use crate::ledger::Tally;
use crate::size::Size;

/// What was decided since the last report, and how full the ledger is. It is displayed as the detail of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// What was decided.
    pub tally: Tally,
    /// What connections make the process hold.
    pub held: Size,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other VMs and of operators.
    pub others: usize,
    /// What they may be.
    pub capacity: Capacity,
}

impl Report {
    /// Whether nobody was turned away.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.tally == Tally::default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally {
            connections,
            requests,
            yielded,
        } = self.tally;
        let (memory, callers) = (self.capacity.memory, self.capacity.callers);
        write!(
            f,
            "refused_connections={connections} refused_requests={requests} yielded={yielded} held={} memory={memory} \
             callers={} callers_most={callers} others={}",
            self.held, self.callers, self.others
        )
    }
}
