//! What an engine did, for tests to check promises against.

use serde::{Deserialize, Serialize};

use super::token::Model;

/// Everything that the engine did since its process began, across restarts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The requests that ran, in the order of their starts.
    pub runs: Vec<Run>,
    /// What must never happen but did.
    pub violations: Vec<Violation>,
    /// The orders in the order of their outcomes.
    pub orders: Vec<Order>,
    /// Steps with at least one running request.
    pub steps: u64,
    /// The running requests, summed over these steps.
    pub filled: u64,
}

impl Record {
    /// The runs of one request.
    pub fn runs_of<'a>(&'a self, request_id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs
            .iter()
            .filter(move |run| run.request_id == request_id)
    }
}

/// One run of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// The request; `anonymous-N` when it named none.
    pub request_id: String,
    /// The adapter and version that it ran on.
    pub model: Model,
    /// The start of the engine that it ran in.
    pub boot: u64,
    /// When it joined the batch, in microseconds since the process began.
    pub start_us: u64,
    /// When it left the batch; none while it runs.
    pub end_us: Option<u64>,
    /// The index of its first token.
    pub first: u64,
    /// The number of tokens made.
    pub tokens: u64,
    /// Whether it left the batch before its last token.
    pub interrupted: bool,
}

/// What must never happen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// An adapter was unloaded while requests were waiting or running on it.
    UnloadInFlight {
        /// The adapter and version.
        model: Model,
        /// The number of these requests.
        in_flight: usize,
    },
    /// A request ran while its adapter was not resident.
    NotResident {
        /// The adapter and version.
        model: Model,
        /// The request.
        request_id: String,
    },
}

/// One order and its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The last part of the call's path.
    pub call: String,
    /// The adapter and version; none for orders about the whole engine.
    pub model: Option<Model>,
    /// The fencing number.
    pub fence: u64,
    /// `ok` or the error's code.
    pub outcome: String,
    /// When it ended, in microseconds since the process began.
    pub at_us: u64,
}
