//! What the shell looks up by itself: callers by their tokens, and the models on offer.

use rustc_hash::FxHashMap;

use crate::Node;
use crate::id::{self, Edition};

/// The part of the configuration in force that the shell needs before a request reaches the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The edition in force, or zero before the first.
    pub edition: Edition,
    /// Callers by the BLAKE3 hash of their token, in lower-case hexadecimal.
    pub callers: FxHashMap<String, id::Caller>,
    /// The adapters on offer, in order of name.
    pub models: Vec<id::Adapter>,
}

impl View {
    /// Whether there is a configuration to work by.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.edition > Edition(0)
    }
}

impl Node {
    /// The edition in force, by which the shell knows when to take a new [`Node::view`].
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.sync.edition
    }

    /// What the shell looks up by itself.
    #[must_use]
    pub fn view(&self) -> View {
        let document = &self.sync.document;
        let callers = document
            .callers
            .iter()
            .map(|caller| (caller.token_hash.to_ascii_lowercase(), caller.name.clone()));
        let mut models: Vec<id::Adapter> = document
            .adapters
            .iter()
            .flat_map(|adapter| {
                let name = |version: &String| format!("{}@{version}", adapter.name).parse().ok();
                adapter.versions.iter().filter_map(name)
            })
            .collect();
        models.sort();
        View {
            edition: self.sync.edition,
            callers: callers.collect(),
            models,
        }
    }
}
