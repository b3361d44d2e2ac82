//! What a command prints: text for people or JSON for programs.

use serde::Serialize;
use serde_json::{Value, json};

/// The result of a command in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Output {
    /// Both forms of one result.
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: json!(value),
        }
    }

    /// The form that is asked for.
    #[must_use]
    pub fn print(&self, json: bool) -> String {
        if json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        }
    }
}
