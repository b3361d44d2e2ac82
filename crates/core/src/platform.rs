//! Operations on the platform's key-value service, as the core asks for them.

use serde::{Deserialize, Serialize};

use crate::id::{Lease, Revision};
use crate::time::Span;

/// A condition of a transaction on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Compare {
    /// The key was last changed at this revision; zero means that it is not there.
    Changed(String, Revision),
    /// The key was created at this revision; zero means that it is not there.
    Created(String, Revision),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// The lease with which the key goes away.
    pub lease: Option<Lease>,
}

/// A call of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Read the keys that begin with a prefix.
    Range {
        /// The prefix; a whole key reads that key and those below it.
        prefix: String,
        /// Keys at most.
        limit: u32,
    },
    /// Read one key.
    Get {
        /// The key.
        key: String,
    },
    /// Write if all conditions hold.
    Txn {
        /// The conditions.
        compares: Vec<Compare>,
        /// The writes.
        puts: Vec<Put>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Grant a lease.
    LeaseGrant {
        /// How long it lives without renewal.
        ttl: Span,
    },
    /// Renew a lease.
    LeaseRenew {
        /// The lease.
        lease: Lease,
    },
    /// End a lease and delete its keys.
    LeaseRevoke {
        /// The lease.
        lease: Lease,
    },
    /// Watch the keys that begin with a prefix. Answered by notices, not by an outcome.
    Watch {
        /// The prefix.
        prefix: String,
        /// The first revision to see.
        from: Revision,
    },
}

/// A key as the service holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    pub created: Revision,
    /// The revision at which it was last changed.
    pub changed: Revision,
}

/// What a call that was carried out brought.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The service's revision after the call.
    pub revision: Revision,
    /// The keys read.
    pub pairs: Vec<Pair>,
    /// The lease granted or renewed.
    pub lease: Option<Lease>,
}

/// How a call came out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Carried out.
    Done(Reply),
    /// A condition did not hold, or the lease is not there: nothing was written.
    Conflict,
    /// The call certainly did not reach the service.
    NotSent,
    /// It may have taken effect.
    Unknown,
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Keys that were written.
    Changed(Vec<Pair>),
    /// Keys that were deleted, with the revision of the deletion.
    Deleted(Vec<String>, Revision),
    /// The watch began below the oldest revision kept. Read again.
    Compacted,
    /// The watch is broken. Begin it again.
    Broken,
}
