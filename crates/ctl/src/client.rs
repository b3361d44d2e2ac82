//! The way to the daemons' operators' listeners.

use std::time::{Duration, Instant};

use dahliastile_core::config::{Document, Edit};
use dahliastile_core::error::{Answer, Kind, Ran};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Command, Entry, Reply, Status};
use serde::Deserialize;

use crate::error::{Error, Result};
use crate::progress::Progress;

/// The longest time that one call may take, in seconds.
const CALL_TIMEOUT: u64 = 30;
/// The pause before the second try; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What an accepted edit made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// The edition.
    pub edition: Edition,
    /// What the operator may want to look at.
    pub warnings: Vec<String>,
}

/// Talks to the daemons.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    /// The operators' listeners, in the order in which they are tried.
    servers: Vec<String>,
    /// The operators' token.
    token: String,
    /// How long to go on trying.
    patience: Duration,
}

/// Why one call brought no reply.
enum Lost {
    /// The call certainly had no effect here: another daemon may be asked.
    Nothing(Error),
    /// The call may have had an effect.
    Unknown(Error),
    /// No other daemon would answer differently.
    Final(Error),
}

/// What a daemon answers: the node's reply, or the listener's refusal.
#[derive(Deserialize)]
#[serde(untagged)]
enum Body {
    /// From the node.
    Reply(Box<Reply>),
    /// From the listener.
    Refusal {
        /// The refusal.
        error: Refusal,
    },
}

/// A refusal as callers and operators get it.
#[derive(Deserialize)]
struct Refusal {
    /// Its kind.
    kind: Kind,
    /// Whether the command ran.
    ran: Ran,
    /// One sentence.
    message: String,
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self {
            kind: refusal.kind,
            ran: refusal.ran,
            retry_after: None,
            detail: refusal.message,
        }
    }
}

impl Client {
    /// A client of these listeners, separated by commas.
    ///
    /// # Errors
    /// When none is named.
    pub(crate) fn new(servers: &str, token: &str, patience: Duration) -> Result<Self> {
        let named = servers.split(',').map(str::trim);
        let servers: Vec<String> = named
            .filter(|server| !server.is_empty())
            .map(str::to_owned)
            .collect();
        if servers.is_empty() {
            return Err(Error::Usage(
                "no daemon is named: give --server or set DAHLIACTL_SERVER".to_owned(),
            ));
        }
        Ok(Self {
            servers,
            token: token.to_owned(),
            patience,
        })
    }

    /// How long to go on trying.
    #[must_use]
    pub(crate) fn patience(&self) -> Duration {
        self.patience
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// When no daemon shows it.
    pub(crate) fn show(&self) -> Result<(Edition, Document)> {
        match self.ask(&Command::Show)? {
            Reply::Show { edition, document } => Ok((edition, *document)),
            other => Err(self.strange(&other)),
        }
    }

    /// The last edits, newest first.
    ///
    /// # Errors
    /// When no daemon shows them.
    pub(crate) fn history(&self, limit: u32) -> Result<Vec<Entry>> {
        match self.ask(&Command::History { limit })? {
            Reply::History(entries) => Ok(entries),
            other => Err(self.strange(&other)),
        }
    }

    /// The state of the fleet as the first daemon that answers sees it.
    ///
    /// # Errors
    /// When no daemon shows it.
    pub(crate) fn status(&self) -> Result<Status> {
        match self.ask(&Command::Status)? {
            Reply::Status(status) => Ok(*status),
            other => Err(self.strange(&other)),
        }
    }

    /// Asks the daemons in turn until one answers. For commands that change nothing.
    ///
    /// # Errors
    /// When none carries the command out; the last one's reason.
    pub(crate) fn ask(&self, command: &Command) -> Result<Reply> {
        let mut last = Error::Unreachable("no daemon is named".to_owned());
        for server in &self.servers {
            match self.call(server, command) {
                Ok(reply) => return Ok(reply),
                Err(Lost::Final(error)) => return Err(error),
                Err(Lost::Nothing(error) | Lost::Unknown(error)) => last = error,
            }
        }
        Err(last)
    }

    /// Has an edit accepted. When the answer is lost, the same edit is sent again under the same id, which changes
    /// nothing twice.
    ///
    /// # Errors
    /// When it is refused or clashes, or when it is still not known whether it was accepted.
    pub(crate) fn edit(&self, edit: &Edit, progress: &mut Progress) -> Result<Accepted> {
        let command = Command::Edit(edit.clone());
        let started = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut doubt = None;
        loop {
            for server in &self.servers {
                match self.call(server, &command) {
                    Ok(reply) => return self.accepted(reply),
                    Err(Lost::Unknown(error)) => doubt = Some(error.to_string()),
                    Err(Lost::Final(error)) => return Err(error),
                    // A refusal after a lost answer does not tell what became of the first try.
                    Err(Lost::Nothing(error)) => match (&doubt, &error) {
                        (None, Error::Refused(_)) => return Err(error),
                        _ => progress.say(&error.to_string()),
                    },
                }
            }
            match &doubt {
                _ if started.elapsed() < self.patience => {}
                None => return Err(Error::Unreachable(self.servers.join(", "))),
                Some(reason) => {
                    return Err(Error::Unknown {
                        id: edit.id.clone(),
                        reason: reason.clone(),
                    });
                }
            }
            progress.say(&format!(
                "edit {}: no answer yet, sending it again",
                edit.id
            ));
            std::thread::sleep(pause);
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn accepted(&self, reply: Reply) -> Result<Accepted> {
        match reply {
            Reply::Accepted { edition, warnings } => Ok(Accepted { edition, warnings }),
            Reply::Clash(clash) => Err(Error::Clash(clash)),
            other => Err(self.strange(&other)),
        }
    }

    fn call(&self, server: &str, command: &Command) -> std::result::Result<Reply, Lost> {
        let body = serde_json::to_vec(command)
            .map_err(|error| Lost::Final(Error::Usage(error.to_string())))?;
        let answer = minreq::post(format!("http://{server}/operator"))
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(CALL_TIMEOUT)
            .send()
            .map_err(|error| lost(server, &error))?;
        // The library takes a connection that ends without an answer for an answer of its own making.
        let strange = |reason: String| {
            Lost::Unknown(Error::Strange {
                server: server.to_owned(),
                reason,
            })
        };
        match (
            answer.status_code,
            serde_json::from_slice(answer.as_bytes()),
        ) {
            (401, _) => Err(Lost::Final(Error::Denied(server.to_owned()))),
            (_, Ok(Body::Reply(reply))) => replied(*reply),
            (_, Ok(Body::Refusal { error })) => Err(refused(error.into())),
            (status, Err(error)) => Err(strange(format!("status {status}, {error}"))),
        }
    }

    /// A reply to another command than the one sent.
    pub(crate) fn strange(&self, reply: &Reply) -> Error {
        let text = format!("{reply:?}");
        let kind = text.split(['(', ' ']).next().unwrap_or_default();
        Error::Strange {
            server: self.servers.join(", "),
            reason: format!("a reply of kind {kind}"),
        }
    }
}

fn replied(reply: Reply) -> std::result::Result<Reply, Lost> {
    match reply {
        Reply::Failed(answer) => Err(refused(answer)),
        reply => Ok(reply),
    }
}

/// What a failed call means. Only a connection that was refused certainly left no trace.
fn lost(server: &str, error: &minreq::Error) -> Lost {
    let reason = format!("{server}: {error}");
    match error {
        minreq::Error::AddressNotFound => Lost::Nothing(Error::Unreachable(reason)),
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Lost::Nothing(Error::Unreachable(reason))
        }
        _ => Lost::Unknown(Error::Unreachable(reason)),
    }
}

/// What a refusal means for the other daemons.
fn refused(answer: Answer) -> Lost {
    match answer.kind {
        Kind::EditUnknown => Lost::Unknown(Error::Refused(answer)),
        Kind::NotReady | Kind::ShuttingDown | Kind::NotFound | Kind::PlatformDown => {
            Lost::Nothing(Error::Refused(answer))
        }
        _ => Lost::Final(Error::Refused(answer)),
    }
}
