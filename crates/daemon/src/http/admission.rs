//! Whose bodies are read: without a checked token a request is worth a head and no body.

use dahliastile_core::error::{Answer, Kind};
use dahliastile_intake::Port;

use super::ask;
use super::head::{Head, Refusal};
use crate::driver::Shared;

/// Who may send bodies to a listener.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The callers of the configuration in force.
    Callers(Shared),
    /// Who has the operators' token; its hash.
    Operators(blake3::Hash),
}

impl Admission {
    /// How the ledger counts the connections.
    pub(super) fn port(&self) -> Port {
        match self {
            Self::Callers(_) => Port::Callers,
            Self::Operators(_) => Port::Trusted,
        }
    }

    /// Returns whether the body that follows a head is read, or why not.
    pub(super) fn admit(&self, head: &Head) -> Result<(), Refusal> {
        let token = head.token.as_deref();
        let admitted = match self {
            Self::Callers(shared) => ask::caller(token, &shared.view()).map(drop),
            Self::Operators(hash) => operator(token, *hash),
        };
        admitted.map_err(|answer| Refusal {
            kind: answer.kind,
            detail: answer.detail,
        })
    }
}

/// Whether a token is the operators'. Hashes are compared in constant time.
pub(super) fn operator(token: Option<&str>, hash: blake3::Hash) -> Result<(), Answer> {
    match token {
        Some(token) if blake3::hash(token.as_bytes()) == hash => Ok(()),
        _ => Err(Answer::new(
            Kind::Unauthorized,
            "send the operators' bearer token",
        )),
    }
}
