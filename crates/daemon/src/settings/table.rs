//! Every setting of the daemon, declared once: its name, form, default and meaning.

use dahliastile_core::settings::Tuning;

/// The form of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A name of letters, digits, `-`, `_`, `.` and `/`.
    Name,
    /// An IP address and a port to listen on; port 0 lets the system choose.
    Listen,
    /// An IPv4 address and a port.
    Address,
    /// A list of IPv4 addresses and ports.
    Addresses,
    /// A prefix of keys, without a closing slash.
    Prefix,
    /// A BLAKE3 hash in hexadecimal.
    Hash,
    /// A text.
    Text,
    /// The path of a file that can be read.
    File,
    /// The name of an environment variable that is set.
    Variable,
    /// One of a few words.
    Word(&'static [&'static str]),
    /// A whole number.
    Number {
        /// Its unit.
        unit: &'static str,
        /// The smallest value accepted.
        min: u64,
        /// The largest value accepted.
        max: u64,
    },
}

/// A setting as the table declares it and `--print-settings` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its full name, with a dot between section and key.
    pub name: String,
    /// The form of its value.
    pub form: Form,
    /// Its default, or none where it is required or stays unset.
    pub default: Option<String>,
    /// Whether the daemon can't start without it.
    pub required: bool,
    /// What it means.
    pub doc: &'static str,
}

const fn number(unit: &'static str, min: u64, max: u64) -> Form {
    Form::Number { unit, min, max }
}

/// The words of `log.format`.
pub(super) const FORMATS: &[&str] = &["text", "json"];

/// The words of `log.level`.
pub(super) const LEVELS: &[&str] = &["debug", "info", "warn", "error", "off"];

/// Settings that have no default. The flag says whether they are required.
const PLAIN: &[(&str, Form, bool, &str)] = &[
    (
        "vm",
        Form::Name,
        true,
        "The name of this VM, as the platform lists it.",
    ),
    (
        "zone",
        Form::Name,
        true,
        "The availability zone of this VM.",
    ),
    (
        "advertise",
        Form::Address,
        false,
        "The address that other VMs reach this one at; that of `listen.peers` if unset.",
    ),
    (
        "platform.endpoints",
        Form::Addresses,
        true,
        "The addresses of the key-value service.",
    ),
    (
        "platform.vms",
        Form::Address,
        true,
        "The address of the platform's list of entry VMs, read at `/vms`.",
    ),
    (
        "operators.token_hash",
        Form::Hash,
        true,
        "The BLAKE3 hash of the operators' token.",
    ),
    (
        "peers.secret",
        Form::Text,
        false,
        "The secret that all entry VMs share. One of `secret`, `secret_file`, `secret_env` is required.",
    ),
    (
        "peers.secret_file",
        Form::File,
        false,
        "A file that holds the shared secret.",
    ),
    (
        "peers.secret_env",
        Form::Variable,
        false,
        "An environment variable that holds the shared secret.",
    ),
];

/// Settings that have a default.
const DEFAULTED: &[(&str, Form, &str, &str)] = &[
    (
        "listen.callers",
        Form::Listen,
        "0.0.0.0:8080",
        "Where callers are listened for.",
    ),
    (
        "listen.operators",
        Form::Listen,
        "127.0.0.1:8081",
        "Where operators are listened for.",
    ),
    (
        "listen.peers",
        Form::Listen,
        "0.0.0.0:8082",
        "Where other entry VMs are listened for.",
    ),
    (
        "platform.prefix",
        Form::Prefix,
        "/dahliastile",
        "The prefix of all keys in the key-value service.",
    ),
    (
        "platform.list_ms",
        number("ms", 50, 60_000),
        "1000",
        "Time between two reads of the list of entry VMs.",
    ),
    (
        "limits.header_bytes",
        number("bytes", 1_024, 1_048_576),
        "16384",
        "The largest head of a request.",
    ),
    (
        "limits.body_bytes",
        number("bytes", 1_024, 268_435_456),
        "1048576",
        "The largest body of a request.",
    ),
    (
        "limits.answer_bytes",
        number("bytes", 1_024, 268_435_456),
        "16777216",
        "The largest answer that is not streamed.",
    ),
    (
        "limits.memory_mb",
        number("MB", 0, 16_777_216),
        "0",
        "Memory of the machine for this process; 0 stands for all that the machine has. Three eighths of it are for what clients send and leave unread.",
    ),
    (
        "limits.descriptors",
        number("descriptors", 0, 16_777_216),
        "0",
        "Descriptors of this process; 0 stands for the limit that it was started with.",
    ),
    (
        "limits.connections",
        number("connections", 1, 65_536),
        "4096",
        "Callers' connections at a time, where the descriptors are enough: each takes five, out of half of those beyond 200.",
    ),
    (
        "limits.requests",
        number("requests", 1, 65_536),
        "2048",
        "Callers' requests in progress at a time, waiting ones included.",
    ),
    (
        "limits.attempts",
        number("attempts", 1, 65_536),
        "1024",
        "Attempts on backend servers in progress at a time.",
    ),
    (
        "limits.idle_ms",
        number("ms", 100, 3_600_000),
        "75000",
        "How long a connection may stay without a byte from its caller between requests or within one.",
    ),
    (
        "limits.slow_ms",
        number("ms", 100, 600_000),
        "10000",
        "How long a caller may leave its answer unread before it counts as gone.",
    ),
    (
        "log.format",
        Form::Word(FORMATS),
        "text",
        "The form of log lines.",
    ),
    (
        "log.level",
        Form::Word(LEVELS),
        "info",
        "The least grave events that are logged.",
    ),
];

/// Every setting, in the order of the settings file.
#[must_use]
pub fn entries() -> Vec<Entry> {
    let plain = PLAIN.iter().map(|&(name, form, required, doc)| Entry {
        name: name.to_owned(),
        form,
        default: None,
        required,
        doc,
    });
    let defaulted = DEFAULTED.iter().map(|&(name, form, default, doc)| Entry {
        name: name.to_owned(),
        form,
        default: Some(default.to_owned()),
        required: false,
        doc,
    });
    let tuning = Tuning::ENTRIES.iter().map(|entry| Entry {
        name: format!("tuning.{}", entry.name),
        form: number(entry.unit, entry.min, entry.max),
        default: Some(entry.default.to_string()),
        required: false,
        doc: entry.doc.trim(),
    });
    plain.chain(defaulted).chain(tuning).collect()
}
