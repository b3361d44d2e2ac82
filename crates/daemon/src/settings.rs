//! The daemon's settings: read from a YAML file, held against a table of known ones, and reported on all at once.

mod check;
mod fault;
mod machine;
mod table;
mod tree;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use dahliastile_core::id;
use dahliastile_core::settings::Tuning;
use dahliastile_intake::{Capacity, Machine, Size};
use dahliastile_outside::Endpoint;
use dahliastile_wire::Secret;

pub use fault::{Fault, Place};
pub use table::{Entry, Form, entries};

use crate::http;
use check::Check;

/// Where the daemon listens. Port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The addresses of the key-value service.
    pub endpoints: Vec<Endpoint>,
    /// The address of the list of entry VMs.
    pub vms: Endpoint,
    /// The prefix of all keys.
    pub prefix: String,
    /// Time between two reads of the list.
    pub list: Duration,
}

/// What the daemon takes in at most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The largest answer that is not streamed, in bytes.
    pub answer_bytes: usize,
    /// What the machine gives to the process.
    pub machine: Machine,
    /// Callers' connections at a time.
    pub connections: usize,
    /// Callers' requests in progress at a time.
    pub requests: usize,
    /// Attempts in progress at a time.
    pub attempts: usize,
    /// How long a connection may stay without a byte from its caller.
    pub idle: Duration,
    /// How long a caller may leave its answer unread.
    pub slow: Duration,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// The form of the lines.
    pub format: Format,
    /// The least grave events that are logged, or none for no log.
    pub level: Option<dahliastile_core::log::Level>,
}

/// Everything that the daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this VM.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens.
    pub listen: Listen,
    /// The address that other VMs reach it at; that of the peers' listener if none.
    pub advertise: Option<String>,
    /// The platform's services.
    pub platform: Platform,
    /// The BLAKE3 hash of the operators' token.
    pub operators: blake3::Hash,
    /// The secret that all entry VMs share.
    pub secret: Secret,
    /// What is taken in at most.
    pub limits: Limits,
    /// What is logged.
    pub log: Log,
    /// Times and sizes that shape the decisions.
    pub tuning: Tuning,
}

impl Settings {
    /// Reads settings from the text of a YAML file and from `name=value` texts that win over it.
    ///
    /// # Errors
    /// Every fault, in the order of the file.
    pub fn parse(text: &str, assignments: &[String]) -> Result<Self, Vec<Fault>> {
        let mut check = Check::new();
        match tree::read(text) {
            Ok(root) => check.document(&root),
            Err(fault) => return Err(vec![fault]),
        }
        for assignment in assignments {
            check.assignment(assignment);
        }
        check.relations();
        let settings = build(&mut check);
        let mut faults = check.faults;
        faults.sort();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }

    /// Every setting with its meaning, default and range, as YAML that can be filled in.
    #[must_use]
    pub fn manual() -> String {
        let mut text = String::new();
        let mut open = String::new();
        for entry in sorted() {
            let (section, key) = split(&entry.name);
            if section != open {
                let _ = writeln!(text, "\n{section}:");
                section.clone_into(&mut open);
            }
            let indent = if section.is_empty() { "" } else { "  " };
            let _ = writeln!(text, "{indent}# {}{}", entry.doc, range(&entry));
            let _ = match &entry.default {
                Some(default) => writeln!(text, "{indent}{key}: {default}"),
                None if entry.required => writeln!(text, "{indent}{key}: # required"),
                None => writeln!(text, "{indent}# {key}: # not set"),
            };
        }
        text
    }
}

/// The entries with those of one section together.
fn sorted() -> Vec<Entry> {
    let mut entries = entries();
    let mut order: Vec<String> = Vec::new();
    for entry in &entries {
        let section = split(&entry.name).0.to_owned();
        if !order.contains(&section) {
            order.push(section);
        }
    }
    entries.sort_by_key(|entry| order.iter().position(|s| s == split(&entry.name).0));
    entries
}

fn split(name: &str) -> (&str, &str) {
    name.split_once('.').unwrap_or(("", name))
}

fn range(entry: &Entry) -> String {
    match entry.form {
        Form::Number { unit, min, max } => format!(" ({min} to {max} {unit})"),
        Form::Word(words) => format!(" ({})", words.join(", ")),
        _ => String::new(),
    }
}

/// Makes the settings of values that were checked; none where a fault left one without a value.
fn build(check: &mut Check) -> Option<Settings> {
    let secret = secret(check);
    let tuning = tuning(check);
    let machine = machine(check);
    let check = &*check;
    let size = |name: &str| usize::try_from(check.number(name)).unwrap_or(usize::MAX);
    let span = |name: &str| Duration::from_millis(check.number(name));
    Some(Settings {
        vm: parsed(check, "vm")?,
        zone: parsed(check, "zone")?,
        listen: Listen {
            callers: parsed(check, "listen.callers")?,
            operators: parsed(check, "listen.operators")?,
            peers: parsed(check, "listen.peers")?,
        },
        advertise: check.text("advertise"),
        platform: Platform {
            endpoints: endpoints(check)?,
            vms: parsed(check, "platform.vms")?,
            prefix: check.text("platform.prefix")?,
            list: span("platform.list_ms"),
        },
        operators: blake3::Hash::from_hex(check.text("operators.token_hash")?).ok()?,
        secret: secret?,
        limits: Limits {
            header_bytes: size("limits.header_bytes"),
            body_bytes: size("limits.body_bytes"),
            answer_bytes: size("limits.answer_bytes"),
            machine,
            connections: size("limits.connections"),
            requests: size("limits.requests"),
            attempts: size("limits.attempts"),
            idle: span("limits.idle_ms"),
            slow: span("limits.slow_ms"),
        },
        log: log(check),
        tuning,
    })
}

/// What the machine gives to the process, once it is checked that the process and one request at the limits fit.
fn machine(check: &mut Check) -> Machine {
    let size = |name: &str| usize::try_from(check.number(name)).unwrap_or(usize::MAX);
    let machine = machine::machine(size("limits.memory_mb"), size("limits.descriptors"));
    let (body, answer) = (size("limits.body_bytes"), size("limits.answer_bytes"));
    let messages = match Capacity::of(machine, http::DESCRIPTORS) {
        Err(too_small) => vec![format!("`limits`: {too_small}")],
        Ok(capacity) => {
            let parts = [
                (
                    "body",
                    body,
                    http::REQUEST_COPIES,
                    capacity.largest(Size::ZERO),
                ),
                (
                    "answer",
                    answer,
                    http::ANSWER_COPIES,
                    capacity.largest_answer(),
                ),
            ];
            let too_large = parts
                .into_iter()
                .filter(|(_, bytes, copies, room)| Size(*bytes) * *copies > *room);
            let message = |(name, bytes, copies, room): (&str, usize, usize, Size)| {
                format!(
                    "`limits.{name}_bytes` ({bytes}) does not fit {copies} times into the {} bytes that one client may take of `limits.memory_mb`",
                    room.0
                )
            };
            too_large.map(message).collect()
        }
    };
    for message in messages {
        check.fault(Place::File, message);
    }
    machine
}

fn parsed<T: FromStr>(check: &Check, name: &str) -> Option<T> {
    check.text(name)?.parse().ok()
}

fn endpoints(check: &Check) -> Option<Vec<Endpoint>> {
    let value = check.values.get("platform.endpoints")?;
    value.texts.iter().map(|text| text.parse().ok()).collect()
}

fn secret(check: &mut Check) -> Option<Secret> {
    let given = |name: &&str| check.values.contains_key(*name);
    let name = check::SECRETS.into_iter().find(given)?;
    let value = check.values.get(name).cloned()?;
    let text = value.texts.into_iter().next()?;
    // A file or variable that can't be read is a fault already.
    let secret = match name {
        "peers.secret_file" => std::fs::read_to_string(&text).ok()?.trim().to_owned(),
        "peers.secret_env" => std::env::var(&text).ok()?,
        _ => text,
    };
    match secret.parse() {
        Ok(secret) => Some(secret),
        Err(error) => {
            check.fault(value.place, format!("`{name}`: {error}"));
            None
        }
    }
}

/// The core's settings, by way of their own serde form, so that each is named only once.
fn tuning(check: &Check) -> Tuning {
    let values: serde_json::Map<String, serde_json::Value> = Tuning::ENTRIES
        .iter()
        .map(|entry| {
            let value = check.number(&format!("tuning.{}", entry.name));
            (entry.name.to_owned(), value.into())
        })
        .collect();
    serde_json::from_value(values.into()).unwrap_or_default()
}

fn log(check: &Check) -> Log {
    use dahliastile_core::log::Level;
    let format = match check.text("log.format").as_deref() {
        Some("json") => Format::Json,
        _ => Format::Text,
    };
    let level = match check.text("log.level").as_deref() {
        Some("debug") => Some(Level::Debug),
        Some("warn") => Some(Level::Warn),
        Some("error") => Some(Level::Error),
        Some("off") => None,
        _ => Some(Level::Info),
    };
    Log { format, level }
}
