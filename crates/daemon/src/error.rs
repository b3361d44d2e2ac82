//! Why a daemon can't start or run.

use std::io;
use std::net::SocketAddr;

/// A fault of the daemon's own surroundings. What callers are told has its own table in the core.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The HTTP server can't be set up.
    #[error("can't set the HTTP server up: {0}")]
    Http(String),
    /// A thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The log can't be set up.
    #[error("can't set the log up: {0}")]
    Log(#[from] spdlog::Error),
    /// The metrics recorder can't be set up.
    #[error("can't set the metrics up: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The link to other entry VMs can't be set up.
    #[error("can't set the link to other VMs up: {0}")]
    Link(String),
    /// The machine is too small.
    #[error("can't serve on this machine: {0}")]
    Machine(#[from] dahliastile_intake::TooSmall),
    /// A thread of the daemon ended by a panic.
    #[error("a thread of the daemon panicked")]
    Panicked,
}

/// What may fail in this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
