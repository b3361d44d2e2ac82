//! A YAML document as a tree in which each node knows its line and column, so that all faults can be reported at
//! once instead of only the first.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, Spanned};

use super::fault::{Fault, Place};

/// A node of the tree.
#[derive(Clone, Debug)]
pub(super) enum Node {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Number(i128),
    /// A number with a fraction.
    Fraction,
    /// A text.
    Text(String),
    /// A sequence.
    List(Vec<Spanned<Node>>),
    /// A mapping, with keys in the order of the file and repeated where the file repeats them.
    Map(Vec<(Spanned<Node>, Spanned<Node>)>),
}

impl Node {
    /// What kind of value it is, for messages.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Number(_) => "a whole number",
            Self::Fraction => "a number with a fraction",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// Reads a document. A text that is not YAML at all is one fault.
pub(super) fn read(text: &str) -> Result<Spanned<Node>, Fault> {
    let options = serde_saphyr::options! {
        // Repeated keys are passed through, and reported with all other faults.
        duplicate_keys: DuplicateKeyPolicy::LastWins,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| Fault {
        place: error.location().map_or(Place::File, place),
        message: format!("not well-formed YAML: {}", error.without_snippet()),
    })
}

/// Where a node stands.
pub(super) fn place(location: Location) -> Place {
    match location {
        location if location == Location::UNKNOWN => Place::File,
        location => Place::Position {
            line: location.line(),
            column: location.column(),
        },
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Number(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Node, E> {
        Ok(Node::Number(i128::try_from(value).unwrap_or(i128::MAX)))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Fraction)
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = access.next_element()? {
            list.push(item);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut map = Vec::new();
        while let Some(entry) = access.next_entry()? {
            map.push(entry);
        }
        Ok(Node::Map(map))
    }
}
