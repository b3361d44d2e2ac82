//! What is wrong with a settings file.

use std::fmt;

/// Where a fault stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The file as a whole, such as a setting that is missing.
    File,
    /// A position in the file, both counted from one.
    Position {
        /// The line.
        line: u64,
        /// The column.
        column: u64,
    },
    /// A `--set` of the command line.
    CommandLine(String),
}

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// What, as one sentence.
    pub message: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File => f.write_str("the file"),
            Self::Position { line, column } => write!(f, "line {line}, column {column}"),
            Self::CommandLine(text) => write!(f, "--set {text}"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}
