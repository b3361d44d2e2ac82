//! Counts of what a link has done.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Counts of what a link has done since it was started.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        /// The counts while they go on, shared with the link's thread.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $($(#[$doc])* pub(crate) $name: Counter,)*
        }

        impl Counters {
            /// The counts as they are now.
            pub(crate) fn read(&self) -> Counts {
                Counts { $($name: self.$name.0.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counts! {
    /// Messages that a peer has confirmed.
    delivered;
    /// Messages dropped before a peer confirmed them: the queue was full, or the link failed.
    dropped;
    /// Messages not sent because they were larger than the limit.
    oversized;
    /// Messages received from peers.
    received;
    /// Messages received that could not be read.
    malformed;
    /// Messages received while the receiver's channel was full, and dropped.
    overflowed;
    /// Connections that were closed before they proved the secret.
    strangers;
}

/// One count.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub(crate) fn one(&self) {
        self.add(1);
    }

    /// Counts several.
    pub(crate) fn add(&self, several: usize) {
        self.0.fetch_add(several as u64, Ordering::Relaxed);
    }
}
