//! Files and what is wrong in them.

use std::fmt;
use std::io::Read;

use dahliastile_core::config::{Document, Rule};
use serde::Serialize;

use crate::check;
use crate::error::{Error, Result};

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// The line, from 1; zero where none can be named.
    pub line: u64,
    /// The column, from 1; zero where none can be named.
    pub column: u64,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// The name that stands for standard input.
const STDIN: &str = "-";

/// Reads a file.
///
/// # Errors
/// When it can't be read.
pub(crate) fn read(path: &str) -> Result<String> {
    let mut text = String::new();
    let read = match path {
        STDIN => std::io::stdin().read_to_string(&mut text).map(|_| text),
        path => std::fs::read_to_string(path),
    };
    read.map_err(|error| Error::Read {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Reads a document.
///
/// # Errors
/// When the file can't be read or is wrong.
pub(crate) fn document(path: &str) -> Result<Document> {
    check::document(path, &read(path)?)
}

/// Reads one rule, a list of rules, or the rules of a document.
///
/// # Errors
/// When the file can't be read or is wrong.
pub(crate) fn rules(path: &str) -> Result<Vec<Rule>> {
    check::rules(path, &read(path)?)
}
