//! The command line.

use std::time::Duration;

use dahliastile_core::config::Place;
use gumdrop::Options;

use crate::error::{Error, Result};

/// What `--help` says besides the options.
pub const NOTES: &str = "\
Global options may stand anywhere. A file named - is standard input.

Exit codes:
  0  done
  1  refused by the daemon, not found, or (demo) a promise was broken
  2  the command line, a file or the configuration in it is wrong
  3  the edit clashes with another; both versions are printed
  4  no daemon answered, or it is not known whether an edit was accepted
  5  the wait ended before the edition was in force everywhere";

/// Options of `dahliactl`.
#[derive(Debug, Options)]
pub struct Args {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Where the daemons are.
    #[options(
        help = "operators' listeners, host:port, separated by commas [DAHLIACTL_SERVER]",
        meta = "ADDR"
    )]
    pub server: Option<String>,
    /// What proves the operator.
    #[options(
        no_short,
        help = "the operators' token [DAHLIACTL_TOKEN]",
        meta = "TOKEN"
    )]
    pub token: Option<String>,
    /// Who makes the edits.
    #[options(no_short, help = "your name in the history [USER]", meta = "NAME")]
    pub author: Option<String>,
    /// How long to go on trying.
    #[options(
        no_short,
        help = "seconds to wait and to try again",
        meta = "SECONDS",
        default = "60"
    )]
    pub patience: u64,
    /// Asks for JSON.
    #[options(help = "print JSON for programs")]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks a file.
    #[options(help = "check a settings file or a configuration document")]
    Check(File),
    /// Adds up where the time of requests goes.
    #[options(help = "say how requests ended and where their time went, from logs of VMs")]
    Budget(Log),
    /// Adds up what VMs cost each other.
    #[options(
        help = "say what VMs ask of the key-value service and send each other, from their figures"
    )]
    Traffic(Figures),
    /// Shows the fleet.
    #[options(help = "show VMs, domains, servers and editions")]
    Status(Status),
    /// Explains a request.
    #[options(help = "say what was done with a request")]
    Explain(Explain),
    /// Puts a document in force.
    #[options(help = "put a whole configuration document in force")]
    Apply(Apply),
    /// Works on the rules.
    #[options(help = "list, edit, test and take back rules")]
    Rules(Rules),
    /// Runs the demonstration.
    #[options(help = "run three VMs against stand-ins and check the promises")]
    Demo(Demo),
}

/// A command that takes a file.
#[derive(Debug, Options)]
pub struct File {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "YAML file")]
    pub file: String,
}

/// A command that takes logs.
#[derive(Debug, Options)]
pub struct Log {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "lines of the VMs' logs, those of all VMs together"
    )]
    pub file: String,
}

/// A command that takes figures.
#[derive(Debug, Options)]
pub struct Figures {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "pages of the VMs' figures, those of all VMs together"
    )]
    pub file: String,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct Status {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to wait.
    #[options(help = "wait until the edition is in force on every live VM")]
    pub wait: bool,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The request.
    #[options(free, required, help = "the request_id of an answer")]
    pub request: String,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct Apply {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The document.
    #[options(free, required, help = "YAML file with the whole document")]
    pub file: String,
    /// Whether to remove what the file lacks.
    #[options(no_short, help = "remove what the file does not name")]
    pub prune: bool,
    /// Whether to leave all as it is.
    #[options(no_short, help = "print the changes and make none")]
    pub dry_run: bool,
}

/// Options of `demo`.
#[derive(Debug, Options)]
pub struct Demo {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to stay up.
    #[options(
        no_short,
        help = "stay up afterwards and print curl lines; ends with ctrl-c"
    )]
    pub hold: bool,
    /// Whether to show the log.
    #[options(no_short, help = "print the VMs' numbered events on standard error")]
    pub log: bool,
}

/// Options of `rules`.
#[derive(Debug, Options)]
pub struct Rules {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<RulesCommand>,
}

/// The commands on rules.
#[derive(Debug, Options)]
pub enum RulesCommand {
    /// Lists them.
    #[options(help = "list the rules in order")]
    List(Plain),
    /// Shows one.
    #[options(help = "print one rule as YAML")]
    Get(Name),
    /// Adds rules.
    #[options(help = "add the rules of a file")]
    Insert(Insert),
    /// Moves one.
    #[options(help = "move a rule")]
    Move(Move),
    /// Replaces rules.
    #[options(help = "replace rules where they stand by those of a file")]
    Replace(Based),
    /// Removes one.
    #[options(help = "remove a rule")]
    Remove(Name),
    /// Sets the list.
    #[options(help = "make the list that of a file")]
    Apply(Based),
    /// Compares.
    #[options(help = "print what apply would change")]
    Diff(File),
    /// Shows edits.
    #[options(help = "show the last edits")]
    History(History),
    /// Tests a request.
    #[options(help = "say which rule decides a request, and why")]
    Test(Test),
    /// Takes an edit back.
    #[options(help = "take back what one edition changed, as a new edition")]
    Revert(Revert),
}

/// A command without options.
#[derive(Debug, Options)]
pub struct Plain {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// A command that names a rule.
#[derive(Debug, Options)]
pub struct Name {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The rule.
    #[options(free, required, help = "the rule's name")]
    pub rule: String,
    /// The edition it was made on.
    #[options(no_short, help = "the edition that the edit was made on", meta = "N")]
    pub base: Option<u64>,
}

/// An edit from a file.
#[derive(Debug, Options)]
pub struct Based {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "YAML file with a rule or a list of rules")]
    pub file: String,
    /// The edition it was made on.
    #[options(no_short, help = "the edition that the edit was made on", meta = "N")]
    pub base: Option<u64>,
}

/// Options of `rules insert`.
#[derive(Debug, Options)]
pub struct Insert {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "YAML file with a rule or a list of rules")]
    pub file: String,
    /// Place: before a rule.
    #[options(no_short, help = "right before this rule", meta = "NAME")]
    pub before: Option<String>,
    /// Place: after a rule.
    #[options(no_short, help = "right after this rule", meta = "NAME")]
    pub after: Option<String>,
    /// Place: at the head.
    #[options(no_short, help = "before all others")]
    pub first: bool,
    /// Place: at the end.
    #[options(no_short, help = "after all others")]
    pub last: bool,
    /// The edition it was made on.
    #[options(no_short, help = "the edition that the edit was made on", meta = "N")]
    pub base: Option<u64>,
}

/// Options of `rules move`.
#[derive(Debug, Options)]
pub struct Move {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The rule.
    #[options(free, required, help = "the rule's name")]
    pub name: String,
    /// Place: before a rule.
    #[options(no_short, help = "right before this rule", meta = "NAME")]
    pub before: Option<String>,
    /// Place: after a rule.
    #[options(no_short, help = "right after this rule", meta = "NAME")]
    pub after: Option<String>,
    /// Place: at the head.
    #[options(no_short, help = "before all others")]
    pub first: bool,
    /// Place: at the end.
    #[options(no_short, help = "after all others")]
    pub last: bool,
    /// The edition it was made on.
    #[options(no_short, help = "the edition that the edit was made on", meta = "N")]
    pub base: Option<u64>,
}

/// Options of `rules history`.
#[derive(Debug, Options)]
pub struct History {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// How many edits.
    #[options(help = "how many edits", meta = "N", default = "20")]
    pub limit: u32,
}

/// Options of `rules test`.
#[derive(Debug, Options)]
pub struct Test {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The request.
    #[options(
        free,
        help = "caller=NAME, model=ADAPTER@VERSION or service=NAME, zone=NAME, header.NAME=VALUE"
    )]
    pub request: Vec<String>,
}

/// Options of `rules revert`.
#[derive(Debug, Options)]
pub struct Revert {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The edition.
    #[options(free, required, help = "the edition to take back")]
    pub edition: u64,
}

impl Args {
    /// Reads the command line, without the program's name.
    ///
    /// # Errors
    /// When it can't be read, with the reason.
    pub fn read(words: &[String]) -> Result<Self> {
        let words = hoisted(words);
        Self::parse_args_default(&words).map_err(|error| Error::Usage(error.to_string()))
    }

    /// How long to go on trying.
    #[must_use]
    pub fn patience(&self) -> Duration {
        Duration::from_secs(self.patience)
    }
}

/// Global options that take a value.
const VALUED: [&str; 5] = ["--server", "-s", "--token", "--author", "--patience"];
/// Global options that take none.
const BARE: [&str; 2] = ["--json", "-j"];

/// The same words with the global options first, since the parser accepts them only before the command.
fn hoisted(words: &[String]) -> Vec<String> {
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut words = words.iter();
    while let Some(word) = words.next() {
        let name = word.split('=').next().unwrap_or_default();
        match word.as_str() {
            "--" => {
                rest.push(word.clone());
                rest.extend(words.by_ref().cloned());
            }
            bare if BARE.contains(&bare) => front.push(word.clone()),
            _ if VALUED.contains(&name) && word.contains('=') => front.push(word.clone()),
            valued if VALUED.contains(&valued) => {
                front.push(word.clone());
                front.extend(words.next().cloned());
            }
            _ => rest.push(word.clone()),
        }
    }
    front.extend(rest);
    front
}

/// The place that the options name.
///
/// # Errors
/// When they name none or more than one, or a text that is no rule's name.
pub(crate) fn place(
    before: Option<&str>,
    after: Option<&str>,
    first: bool,
    last: bool,
) -> Result<Place> {
    match (before, after, first, last) {
        (Some(name), None, false, false) => Ok(Place::Before(parse(name)?)),
        (None, Some(name), false, false) => Ok(Place::After(parse(name)?)),
        (None, None, true, false) => Ok(Place::First),
        (None, None, false, true) => Ok(Place::Last),
        _ => Err(Error::Usage(
            "say where: exactly one of --before NAME, --after NAME, --first, --last".to_owned(),
        )),
    }
}

/// A name from the command line.
pub(crate) fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T> {
    text.parse()
        .map_err(|error| Error::Usage(format!("{text:?}: {error}")))
}
