//! A YAML file as JSON values in which each node's line and column can be looked up by its path.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use serde_saphyr::{DuplicateKeyPolicy, Location, Spanned};

use crate::file::Problem;

/// The most nodes and events that a file may have: a document of 33,000 adapters has some 400,000.
const MOST_NODES: usize = 20_000_000;

/// A file's content.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    /// The content.
    pub(crate) root: Value,
    /// Where each node stands, by paths such as `rules[3].then.pin[0]`; a field stands where its key does.
    places: HashMap<String, (u64, u64)>,
    /// Keys that stand twice in one mapping.
    pub(crate) problems: Vec<Problem>,
}

impl Tree {
    /// Reads a text.
    pub(crate) fn read(text: &str) -> Result<Self, Problem> {
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::LastWins,
            budget: serde_saphyr::budget! {
                max_nodes: MOST_NODES,
                max_events: MOST_NODES,
                max_total_scalar_bytes: usize::MAX,
            },
        };
        let root = serde_saphyr::from_str_with_options::<Spanned<Node>>(text, options);
        let root = root.map_err(|error| {
            let message = format!("not well-formed YAML: {}", error.without_snippet());
            problem(error.location().map_or((0, 0), position), message)
        })?;
        let mut tree = Self::default();
        let place = position(root.referenced);
        tree.root = tree.take(String::new(), place, root.value);
        Ok(tree)
    }

    /// A problem with the node at a path, or with the nearest one around it that is there.
    pub(crate) fn problem(&self, path: &str, message: impl Into<String>) -> Problem {
        let mut near = path;
        while !near.is_empty() && !self.places.contains_key(near) {
            near = near.rfind(['.', '[']).map_or("", |at| &near[..at]);
        }
        let place = self.places.get(near).copied().unwrap_or((1, 1));
        let message = message.into();
        match path {
            "" => problem(place, message),
            path => problem(place, format!("{path}: {message}")),
        }
    }

    fn take(&mut self, path: String, place: (u64, u64), node: Node) -> Value {
        let value = match node {
            Node::Leaf(value) => value,
            Node::List(items) => {
                let items = items.into_iter().enumerate().map(|(number, item)| {
                    let place = position(item.referenced);
                    self.take(format!("{path}[{number}]"), place, item.value)
                });
                Value::Array(items.collect())
            }
            Node::Map(fields) => {
                let mut map = Map::new();
                for (key, value) in fields {
                    let place = position(key.referenced);
                    let name = key.value;
                    let inner = match path.as_str() {
                        "" => name.clone(),
                        path => format!("{path}.{name}"),
                    };
                    let value = self.take(inner.clone(), place, value.value);
                    if map.insert(name, value).is_some() {
                        self.problems
                            .push(problem(place, format!("{inner}: is set twice")));
                    }
                }
                Value::Object(map)
            }
        };
        self.places.insert(path, place);
        value
    }
}

fn position(location: Location) -> (u64, u64) {
    match location {
        location if location == Location::UNKNOWN => (0, 0),
        location => (location.line(), location.column()),
    }
}

fn problem((line, column): (u64, u64), message: String) -> Problem {
    Problem {
        line,
        column,
        message,
    }
}

/// A node with the places of its children.
enum Node {
    /// A value without children.
    Leaf(Value),
    /// A sequence.
    List(Vec<Spanned<Node>>),
    /// A mapping in the order of the file.
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
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
        Ok(Node::Leaf(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Leaf(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Leaf(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Leaf(
            Number::from_f64(value).map_or(Value::Null, Value::Number),
        ))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Leaf(value.into()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Leaf(Value::Null))
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Leaf(Value::Null))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = access.next_entry()? {
            fields.push(field);
        }
        Ok(Node::Map(fields))
    }
}
