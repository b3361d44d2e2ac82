//! What operators ask of a node, and what they are told.

use serde::{Deserialize, Serialize};

use crate::config::{Document, Edit, Rule};
use crate::error::Answer;
use crate::event::Call;
use crate::id::{self, Edition, Fence, Incarnation};

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Show the whole configuration in force.
    Show,
    /// Change the configuration.
    Edit(Edit),
    /// Show the last edits.
    History {
        /// How many.
        limit: u32,
    },
    /// Say which rule would decide a request, and why.
    Test(Box<Call>),
    /// Show the state of the fleet.
    Status,
    /// Say what was done with a request.
    Explain {
        /// The request's id as its answer named it.
        request: String,
    },
}

impl Eq for Command {}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The configuration in force.
    Show {
        /// Its edition.
        edition: Edition,
        /// The document.
        document: Box<Document>,
    },
    /// The edit is accepted, and so committed.
    Accepted {
        /// The edition that it made.
        edition: Edition,
        /// What an operator may want to look at, such as rules that can never match.
        warnings: Vec<String>,
    },
    /// The edit clashes with one that came first.
    Clash(Box<Clash>),
    /// The last edits, newest first.
    History(Vec<Entry>),
    /// Which rule decides.
    Test(Box<Decided>),
    /// The state of the fleet.
    Status(Box<Status>),
    /// What was done with a request.
    Explain(Box<Trail>),
    /// The command could not be carried out.
    Failed(Answer),
}

impl Eq for Reply {}

/// Both versions of what two operators changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Clash {
    /// The edition in force now.
    pub edition: Edition,
    /// What both changed, such as a rule's name.
    pub subject: String,
    /// What the refused edit wanted, as YAML or JSON text.
    pub yours: String,
    /// What is in force.
    pub theirs: String,
    /// Who made the change in force.
    pub author: String,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The edition that it made.
    pub edition: Edition,
    /// The edit.
    pub edit: Edit,
}

/// Which rule decides a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decided {
    /// The rule, or none where no rule matches.
    pub rule: Option<Rule>,
    /// Its position, from 1.
    pub position: Option<u32>,
    /// Why it, or why none: one sentence for each rule looked at.
    pub reasons: Vec<String>,
    /// Rules that can never match.
    pub warnings: Vec<String>,
}

/// The state of the fleet as one VM sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: String,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// The edition in force here.
    pub edition: Edition,
    /// Whether every live VM has that edition in force.
    pub everywhere: bool,
    /// Whether the key-value service answers.
    pub platform: bool,
    /// The VMs.
    pub vms: Vec<VmStatus>,
    /// The control domains.
    pub domains: Vec<DomainStatus>,
    /// The backend servers that this VM knows of.
    pub servers: Vec<ServerStatus>,
    /// Requests in progress here.
    pub in_progress: u64,
}

/// An entry VM in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its name.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its start.
    pub incarnation: Incarnation,
    /// `live`, `suspected` or `leaving`.
    pub state: String,
    /// The edition it has in force.
    pub edition: Edition,
}

/// A control domain in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Its name.
    pub domain: id::Domain,
    /// Its holder, where known.
    pub holder: Option<id::Vm>,
    /// The holder's fencing number.
    pub fence: Fence,
}

/// A backend server in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: id::Server,
    /// `ready`, `starting`, `lost` or `leaving`.
    pub state: String,
    /// What is resident there, as far as this VM knows.
    pub residents: Vec<id::Adapter>,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
}

/// What was done with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// The request's id.
    pub request: String,
    /// What it asked for.
    pub target: String,
    /// The caller.
    pub caller: String,
    /// The rule that decided.
    pub rule: Option<String>,
    /// One line for each thing done, with milliseconds since arrival.
    pub steps: Vec<String>,
    /// How it ended, or that it is still in progress.
    pub outcome: String,
}
