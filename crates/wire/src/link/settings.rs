//! What a link is started with.

use std::net::SocketAddr;

use dahliastile_core::id;
use dahliastile_core::id::Incarnation;
use dahliastile_core::time::Span;

use super::proof::Secret;
use crate::message::MAX_MESSAGE;

/// What a link is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this VM.
    pub vm: id::Vm,
    /// This start of the daemon.
    pub incarnation: Incarnation,
    /// Where to listen for peers. Port zero takes any free one.
    pub listen: SocketAddr,
    /// The secret that all VMs of the fleet share.
    pub secret: Secret,
    /// Bounds on what a link holds and how long it waits.
    pub limits: Limits,
}

/// Bounds on what a link holds and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Messages that wait for one peer; beyond it the oldest is dropped.
    pub queue: usize,
    /// Bytes that wait for one peer; beyond it the oldest messages are dropped.
    pub queue_bytes: usize,
    /// Deliveries to one peer that may wait for their answer.
    pub window: usize,
    /// Links from other VMs; beyond it the one that was silent longest is closed.
    pub guests: usize,
    /// Connections that have not yet proved the secret; beyond it new ones are closed at once.
    pub strangers: usize,
    /// How long a connection may take to be made.
    pub connect: Span,
    /// How long the proofs may take, on both sides.
    pub handshake: Span,
    /// How long the answer to a delivery may take.
    pub delivery: Span,
    /// The pause after a first failure; each further one doubles it.
    pub backoff_min: Span,
    /// The longest pause after a failure.
    pub backoff_max: Span,
    /// How long a stop waits for messages that are still on their way.
    pub flush: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 512,
            queue_bytes: 2 * MAX_MESSAGE,
            window: 8,
            guests: 1_024,
            strangers: 64,
            connect: Span::from_secs(1),
            handshake: Span::from_secs(2),
            delivery: Span::from_secs(3),
            backoff_min: Span::from_millis(50),
            backoff_max: Span::from_secs(1),
            flush: Span::from_millis(500),
        }
    }
}
