//! The platform's list of VMs, which lags behind the truth.

use crate::cancel::Cancel;
use crate::error::Result;
use crate::http::{self, Request};
use crate::unit::Endpoint;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;

/// Longest list taken.
const LIST_BYTES: usize = 4 * 1024 * 1024;

/// What the list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// What the list says of it.
    pub state: State,
}

/// The body of the answer.
#[derive(Deserialize)]
struct Body {
    /// The VMs.
    vms: Vec<Box<RawValue>>,
}

/// The VMs of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// Those whose rows can be read.
    pub vms: Vec<Vm>,
    /// The number of rows that can't be read, each of which tells nothing of the others.
    pub unreadable: usize,
}

/// A client of the VM list.
#[derive(Debug, Clone)]
pub struct Client {
    /// The service that keeps the list.
    endpoint: Endpoint,
    /// The time for one call.
    timeout: Duration,
}

impl Client {
    /// A client of the list at `endpoint`.
    #[must_use]
    pub fn new(endpoint: Endpoint, timeout: Duration) -> Self {
        Self { endpoint, timeout }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Any [`crate::Error`]; a list that is not whole or not well formed is [`crate::Error::Broken`].
    pub fn list(&self, cancel: &Cancel) -> Result<List> {
        let request = Request::get(self.endpoint, "/vms", self.timeout);
        let body = http::call(request, LIST_BYTES, cancel)?;
        let body: Body = http::parse(&body)?;
        let rows = body.vms.iter();
        let vms: Vec<Vm> = rows
            .flat_map(|row| serde_json::from_str(row.get()))
            .collect();
        let unreadable = body.vms.len() - vms.len();
        Ok(List { vms, unreadable })
    }
}
