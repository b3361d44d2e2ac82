//! Proofs that a VM knows the shared secret.
//!
//! Each proof is a keyed hash of the prover's role, both sides' random numbers and, where a name is at stake, both
//! names and starts. A proof recorded on one connection is worth nothing on another, nor in another role. What
//! follows on the connection is not encrypted: whoever can change packets between the VMs is not kept out.

use std::fmt;
use std::str::FromStr;

use dahliastile_core::id;
use dahliastile_core::id::Incarnation;
use rand::TryRngCore;
use rand::rngs::OsRng;

use crate::error::{Error, Result};

/// The shortest secret accepted, in bytes. A shorter one could be guessed from a recorded proof.
const MIN_SECRET: usize = 16;

/// Separates this use of the secret from any other.
const CONTEXT: &str = "dahliastile-wire: secret shared by entry VMs";

/// The length of a proof, in bytes.
pub(crate) const PROOF: usize = blake3::OUT_LEN;

/// The secret that all VMs of a fleet share.
#[derive(Clone)]
pub struct Secret {
    /// The key derived from its text.
    key: [u8; blake3::KEY_LEN],
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.len() {
            0..MIN_SECRET => Err(Error::ShortSecret(MIN_SECRET)),
            _ => Ok(Self {
                key: blake3::derive_key(CONTEXT, text.as_bytes()),
            }),
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// A random number that is used once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nonce(pub(crate) [u8; Self::LEN]);

impl Nonce {
    /// Its length in bytes.
    pub(crate) const LEN: usize = 32;

    /// A new one from the system's source of randomness.
    pub(crate) fn random() -> Result<Self> {
        let mut bytes = [0; Self::LEN];
        OsRng
            .try_fill_bytes(&mut bytes)
            .map_err(|error| Error::Randomness(error.to_string()))?;
        Ok(Self(bytes))
    }
}

/// The random numbers of both sides of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Challenge {
    /// The caller's.
    pub(crate) caller: Nonce,
    /// The server's.
    pub(crate) server: Nonce,
}

/// Who enters where.
#[derive(Clone, Debug)]
pub(crate) struct Parties {
    /// The caller's name.
    pub(crate) caller: id::Vm,
    /// The caller's start.
    pub(crate) incarnation: Incarnation,
    /// The server's name.
    pub(crate) server: id::Vm,
}

impl Secret {
    /// The server's first proof, which names nobody.
    pub(crate) fn door(&self, challenge: &Challenge) -> blake3::Hash {
        self.hash("door", challenge, &[])
    }

    /// The caller's proof.
    pub(crate) fn caller(&self, challenge: &Challenge, parties: &Parties) -> blake3::Hash {
        let Parties {
            caller,
            incarnation,
            server,
        } = parties;
        let start = incarnation.0.to_le_bytes();
        let parts = [
            caller.as_str().as_bytes(),
            &start,
            server.as_str().as_bytes(),
        ];
        self.hash("caller", challenge, &parts)
    }

    /// The server's second proof, which vouches for its name and start.
    pub(crate) fn server(
        &self,
        challenge: &Challenge,
        parties: &Parties,
        incarnation: Incarnation,
    ) -> blake3::Hash {
        let caller_start = parties.incarnation.0.to_le_bytes();
        let server_start = incarnation.0.to_le_bytes();
        let parts = [
            parties.caller.as_str().as_bytes(),
            &caller_start,
            parties.server.as_str().as_bytes(),
            &server_start,
        ];
        self.hash("server", challenge, &parts)
    }

    /// Hashes the parts, each with its length before it, so that no two lists of parts hash alike.
    fn hash(&self, role: &str, challenge: &Challenge, parts: &[&[u8]]) -> blake3::Hash {
        let fixed = [role.as_bytes(), &challenge.caller.0, &challenge.server.0];
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in fixed.iter().chain(parts) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }
}
