//! Why a command failed, its exit code, and what to do next.

use dahliastile_core::error::{Answer, Kind};
use dahliastile_core::operator::Clash;
use serde_json::{Value, json};

use crate::file::Problem;
use crate::output::Output;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{path}: {reason}")]
    Read {
        /// The file.
        path: String,
        /// Why not.
        reason: String,
    },
    /// A file is wrong.
    #[error("{path} has {} problem(s)", problems.len())]
    File {
        /// The file.
        path: String,
        /// All that is wrong.
        problems: Vec<Problem>,
    },
    /// What was named is not there.
    #[error("{0}")]
    Missing(String),
    /// The edit clashes with another.
    #[error("{} was changed by {} meanwhile; nothing was changed by you", .0.subject, .0.author)]
    Clash(Box<Clash>),
    /// The daemon refused the command.
    #[error("refused: {} ({})", .0.detail, .0.kind)]
    Refused(Answer),
    /// The daemon does not accept the token.
    #[error("{0} does not accept the token")]
    Denied(String),
    /// No daemon answered.
    #[error("no daemon answered: {0}")]
    Unreachable(String),
    /// The daemon answered something else.
    #[error("{server} answered something that is not a reply to this command: {reason}")]
    Strange {
        /// The daemon.
        server: String,
        /// What is strange.
        reason: String,
    },
    /// It is not known whether an edit was accepted.
    #[error("it is not known whether edit {id} was accepted: {reason}")]
    Unknown {
        /// The edit.
        id: String,
        /// Why.
        reason: String,
    },
    /// Some VMs do not have the edition yet.
    #[error("edition {edition} is not in force everywhere yet; missing on: {}", missing.join(", "))]
    Waiting {
        /// The edition.
        edition: u64,
        /// The VMs that lack it.
        missing: Vec<String>,
    },
    /// Promises were broken.
    #[error("{} promise(s) broken", promises.len())]
    Broken {
        /// The promises and what was seen.
        promises: Vec<String>,
        /// The whole report.
        report: Box<Output>,
    },
    /// The demonstration could not be run.
    #[error("the demonstration could not be run: {0}")]
    Demo(String),
}

impl Error {
    /// The exit code.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Read { .. } | Self::File { .. } => 2,
            Self::Refused(answer) if answer.kind == Kind::BadConfiguration => 2,
            Self::Clash(_) => 3,
            Self::Unreachable(_) | Self::Unknown { .. } | Self::Strange { .. } => 4,
            Self::Waiting { .. } => 5,
            Self::Missing(_)
            | Self::Refused(_)
            | Self::Denied(_)
            | Self::Broken { .. }
            | Self::Demo(_) => 1,
        }
    }

    /// What to do next.
    #[must_use]
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Usage(_) => "`dahliactl --help` and `dahliactl COMMAND --help` list the options",
            Self::Read { .. } => "check the path and its permissions",
            Self::File { .. } => "correct the lines named and run `dahliactl check FILE`",
            Self::Missing(_) => "`dahliactl rules list` and `rules history` show what is there",
            Self::Clash(_) => {
                "look at both versions, change your file, and run the command again: \
                 it then builds on the edition in force"
            }
            Self::Refused(answer) => refused(answer.kind),
            Self::Denied(_) => "set --token or DAHLIACTL_TOKEN to the operators' token",
            Self::Unreachable(_) => "check --server or DAHLIACTL_SERVER, and name more VMs there",
            Self::Strange { .. } => "check that the address is an operators' listener",
            Self::Unknown { .. } => {
                "look for the id in `dahliactl rules history`; running the command again is safe, \
                 since it makes only the changes that are still missing"
            }
            Self::Waiting { .. } => "run `dahliactl status --wait` again",
            Self::Broken { .. } => "run `dahliactl demo --log` and look at the events",
            Self::Demo(_) => "run `dahliactl demo --log` and look at the last events",
        }
    }

    /// The failure for programs.
    #[must_use]
    pub fn json(&self) -> Value {
        let mut body =
            json!({"exit": self.code(), "message": self.to_string(), "next": self.advice()});
        match self {
            Self::File { problems, .. } => body["problems"] = json!(problems),
            Self::Clash(clash) => body["clash"] = json!(clash),
            Self::Refused(answer) => body["answer"] = json!(answer),
            Self::Broken { promises, report } => {
                body["broken"] = json!(promises);
                body["report"] = report.json.clone();
            }
            _ => {}
        }
        json!({ "error": body })
    }
}

fn refused(kind: Kind) -> &'static str {
    match kind {
        Kind::BadConfiguration => "correct the file; nothing was changed",
        Kind::PlatformDown => {
            "nothing was changed; try again when the key-value service answers \
             (`dahliactl status` says so)"
        }
        Kind::NotReady | Kind::ShuttingDown => "ask another VM with --server",
        Kind::NotFound => "ask the VM that answered the request, with --server",
        _ => "nothing was changed",
    }
}
