//! How much clients may take of a machine.

use crate::size::Size;

/// What the machine gives to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory.
    pub memory: Size,
    /// Descriptors, those for files included.
    pub descriptors: usize,
}

/// The ways in that are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Port {
    /// Callers.
    Callers,
    /// Other VMs, with attempts that this VM carries; or operators.
    Trusted,
    /// Links of other VMs.
    Links,
}

impl Port {
    /// The number of ways in that are counted apart.
    pub(crate) const COUNT: usize = 3;

    /// Its place in a table of all.
    pub(crate) fn index(self) -> usize {
        match self {
            Self::Callers => 0,
            Self::Trusted => 1,
            Self::Links => 2,
        }
    }
}

/// What clients may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory for all that connections make the process hold.
    pub memory: Size,
    /// The part of it that is for connections and small requests only.
    pub small: Size,
    /// The part of it that is for answers only.
    pub answers: Size,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other VMs with attempts, or of operators.
    pub trusted: usize,
    /// Links of other VMs.
    pub links: usize,
}

/// A machine has too little for the process and one request at the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TooSmall {
    /// Memory.
    #[error("{have} bytes of memory are too few; {least} are needed")]
    Memory {
        /// What the machine has.
        have: usize,
        /// What is needed.
        least: usize,
    },
    /// Descriptors.
    #[error("{have} descriptors are too few; {least} are needed")]
    Descriptors {
        /// What the machine has.
        have: usize,
        /// What is needed.
        least: usize,
    },
}

/// Memory that the process needs besides what clients make it hold, and descriptors that are for files.
const LEAST_MEMORY: Size = Size::megabytes(32);
const FILES: usize = 200;

/// Descriptors without which nothing can be served.
const LEAST_DESCRIPTORS: usize = FILES + 64;

impl Capacity {
    /// What clients may take of a machine.
    ///
    /// Three eighths of the memory are for clients; the rest is for the process at its largest fleet, and for what the
    /// allocator keeps of what was released. Of the sockets, half are for callers and an eighth for other VMs or
    /// operators, each of whose connections takes `per_connection` with what it needs to be served; a quarter is for links that
    /// come in, of which a scheduler has one from each VM, and an eighth for everything else.
    ///
    /// # Errors
    /// Where the machine has too little for the process itself.
    pub fn of(machine: Machine, per_connection: usize) -> Result<Self, TooSmall> {
        if machine.memory < LEAST_MEMORY {
            let (have, least) = (machine.memory.0, LEAST_MEMORY.0);
            return Err(TooSmall::Memory { have, least });
        }
        if machine.descriptors < LEAST_DESCRIPTORS {
            let (have, least) = (machine.descriptors, LEAST_DESCRIPTORS);
            return Err(TooSmall::Descriptors { have, least });
        }
        let memory = machine.memory.fraction(3, 8);
        let eighth = (machine.descriptors - FILES) / 8;
        Ok(Self {
            memory,
            small: memory.fraction(1, 4),
            answers: memory.fraction(1, 8),
            callers: eighth * 4 / per_connection.max(1),
            trusted: eighth / per_connection.max(1),
            links: eighth * 2,
        })
    }

    /// The part of the memory that is for all.
    #[must_use]
    pub fn shared(&self) -> Size {
        self.memory.less(self.small).less(self.answers)
    }

    /// The most that one answer may make the process hold, where nobody else holds anything.
    #[must_use]
    pub fn largest_answer(&self) -> Size {
        self.memory.less(self.small)
    }

    /// The most that one request may make the process hold, where nobody else holds anything, on a connection that itself
    /// takes `connection`.
    #[must_use]
    pub fn largest(&self, connection: Size) -> Size {
        self.shared().less(connection)
    }

    /// The number of connections that a way in may have.
    #[must_use]
    pub fn connections(&self, port: Port) -> usize {
        match port {
            Port::Callers => self.callers,
            Port::Trusted => self.trusted,
            Port::Links => self.links,
        }
    }
}
