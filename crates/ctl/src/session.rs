//! One run of the tool: options, client and progress.

use std::time::{Duration, Instant};

use dahliastile_core::operator::{Command as Ask, Reply, Status};
use serde_json::json;

use crate::args::{Apply, Args, Command};
use crate::budget;
use crate::client::Client;
use crate::error::{Error, Result};
use crate::output::Output;
use crate::progress::Progress;
use crate::traffic;
use crate::{apply, check, edit, file, render, rules};

/// Time between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(200);

/// What the commands that talk to daemons need.
#[derive(Debug)]
pub(crate) struct Session {
    /// The way to the daemons.
    pub(crate) client: Client,
    /// Who makes the edits.
    pub(crate) author: String,
    /// Progress on standard error.
    pub(crate) progress: Progress,
}

/// Carries out a command. `env` looks up an environment variable.
///
/// # Errors
/// When the command fails; the error knows its exit code.
pub fn run(args: &Args, env: &dyn Fn(&str) -> Option<String>) -> Result<Output> {
    let command = args.command.as_ref();
    let command = command.ok_or_else(|| Error::Usage("no command is given".to_owned()))?;
    match command {
        Command::Check(options) => return check::run(&options.file),
        Command::Budget(options) => return budget::run(&options.file),
        Command::Traffic(options) => return traffic::run(&options.file),
        Command::Demo(options) => return crate::demo::run(options),
        _ => {}
    }
    let mut session = Session::new(args, env)?;
    match command {
        Command::Status(options) if options.wait => session.wait(),
        Command::Status(_) => session.client.status().map(|status| shown(&status)),
        Command::Explain(options) => session.explain(&options.request),
        Command::Apply(options) => session.apply(options),
        Command::Rules(options) => match &options.command {
            Some(command) => rules::run(&mut session, command),
            None => Err(Error::Usage("no command on rules is given".to_owned())),
        },
        Command::Check(_) | Command::Budget(_) | Command::Traffic(_) | Command::Demo(_) => {
            Ok(Output::new("", &json!(null)))
        }
    }
}

fn shown(status: &Status) -> Output {
    Output::new(render::status(status), status)
}

impl Session {
    fn new(args: &Args, env: &dyn Fn(&str) -> Option<String>) -> Result<Self> {
        let given = |option: &Option<String>, variable: &str| {
            option.clone().or_else(|| env(variable)).unwrap_or_default()
        };
        let servers = given(&args.server, "DAHLIACTL_SERVER");
        let token = given(&args.token, "DAHLIACTL_TOKEN");
        let author = given(&args.author, "USER");
        Ok(Self {
            client: Client::new(&servers, &token, args.patience())?,
            author: if author.is_empty() {
                "unknown".to_owned()
            } else {
                author
            },
            progress: Progress::new(true),
        })
    }

    /// Waits until the edition in force is in force on every live VM.
    fn wait(&mut self) -> Result<Output> {
        let started = Instant::now();
        loop {
            let status = self.client.status()?;
            if status.everywhere {
                return Ok(shown(&status));
            }
            let behind = status.vms.iter().filter(|vm| vm.edition < status.edition);
            let missing: Vec<String> = behind.map(|vm| vm.vm.to_string()).collect();
            let (edition, total) = (status.edition.0, status.vms.len());
            self.progress.say(&format!(
                "edition {edition} is in force on {} of {total} VMs; waiting for: {}",
                total - missing.len(),
                missing.join(", ")
            ));
            if started.elapsed() >= self.client.patience() {
                return Err(Error::Waiting { edition, missing });
            }
            std::thread::sleep(LOOK);
        }
    }

    fn explain(&self, request: &str) -> Result<Output> {
        let request = request.to_owned();
        match self.client.ask(&Ask::Explain { request })? {
            Reply::Explain(trail) => Ok(Output::new(render::trail(&trail), &trail)),
            other => Err(self.client.strange(&other)),
        }
    }

    fn apply(&mut self, options: &Apply) -> Result<Output> {
        let wanted = file::document(&options.file)?;
        let (edition, document) = self.client.show()?;
        let changes = apply::changes(&document, &wanted, options.prune);
        if options.dry_run {
            let text = render::changes(&changes, &document.rules);
            return Ok(Output::new(
                text,
                &json!({"edition": edition, "changes": changes}),
            ));
        }
        let (client, author) = (&self.client, &self.author);
        let accepted = edit::send(client, author, edition, changes, &mut self.progress)?;
        Ok(rules::accepted_output(accepted))
    }
}
