//! Checks files: settings by the daemon's own check, documents and rules field by field and then as a whole.

use dahliastile_core::config::{
    self, Adapter, Caller, Document, Header, Rule, Server, Service, Then, When,
};
use dahliastile_daemon::{Place, Settings};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use crate::error::{Error, Result};
use crate::file::{self, Problem};
use crate::output::Output;
use crate::tree::Tree;

/// The sections of a document.
const SECTIONS: [&str; 5] = ["callers", "services", "servers", "adapters", "rules"];

/// Checks a settings file, a document or a list of rules, whichever it is.
pub(crate) fn run(path: &str) -> Result<Output> {
    let text = file::read(path)?;
    let tree = Tree::read(&text);
    let section = |name: &&str| {
        tree.as_ref()
            .is_ok_and(|tree| tree.root.get(name).is_some())
    };
    let (kind, warnings) = match &tree {
        Ok(tree) if tree.root.is_array() => ("rules", rules(path, &text).map(|_| Vec::new())?),
        _ if SECTIONS.iter().any(section) => ("configuration", whole(path, &text)?),
        _ => ("settings", settings(path, &text)?),
    };
    let mut lines = vec![format!("{path}: {kind}, no problems")];
    lines.extend(
        warnings
            .iter()
            .map(|problem| format!("{path}:{problem} (warning)")),
    );
    Ok(Output::new(
        lines.join("\n"),
        &json!({"kind": kind, "problems": [], "warnings": warnings}),
    ))
}

/// Reads a document whose fields all have their proper form.
pub(crate) fn document(path: &str, text: &str) -> Result<Document> {
    read(path, text).map(|(_, document)| document)
}

/// Reads one rule, a list of rules, or the rules of a document.
pub(crate) fn rules(path: &str, text: &str) -> Result<Vec<Rule>> {
    let tree = tree(path, text)?;
    let list = match &tree.root {
        Value::Object(fields) if fields.contains_key("rules") => {
            return document(path, text).map(|d| d.rules);
        }
        Value::Object(_) => vec![(String::new(), &tree.root)],
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(i, item)| (format!("[{i}]"), item))
            .collect(),
        _ => {
            return Err(failed(
                path,
                vec![tree.problem("", "is neither a rule nor a list of rules")],
            ));
        }
    };
    let mut problems = tree.problems.clone();
    for (at, item) in &list {
        rule(&tree, at, item, &mut problems);
    }
    let parsed = list
        .iter()
        .map(|(_, item)| serde_json::from_value((*item).clone()));
    match parsed.collect() {
        Ok(rules) if problems.is_empty() => Ok(rules),
        Err(error) if problems.is_empty() => {
            Err(failed(path, vec![tree.problem("", error.to_string())]))
        }
        _ => Err(failed(path, problems)),
    }
}

fn settings(path: &str, text: &str) -> Result<Vec<Problem>> {
    let faults = Settings::parse(text, &[]).err().unwrap_or_default();
    let problem = |fault: dahliastile_daemon::Fault| {
        let (line, column) = match fault.place {
            Place::Position { line, column } => (line, column),
            Place::File | Place::CommandLine(_) => (1, 1),
        };
        Problem {
            line,
            column,
            message: fault.message,
        }
    };
    if faults.is_empty() {
        Ok(Vec::new())
    } else {
        Err(failed(path, faults.into_iter().map(problem).collect()))
    }
}

/// Checks a document as a whole; what is left are warnings.
fn whole(path: &str, text: &str) -> Result<Vec<Problem>> {
    let (tree, document) = read(path, text)?;
    let place = |found: config::Problem| tree.problem(&found.path, found.message);
    let problems: Vec<Problem> = config::check(&document).into_iter().map(place).collect();
    if problems.is_empty() {
        Ok(config::warnings(&document).into_iter().map(place).collect())
    } else {
        Err(failed(path, problems))
    }
}

fn read(path: &str, text: &str) -> Result<(Tree, Document)> {
    let tree = tree(path, text)?;
    let mut problems = tree.problems.clone();
    let Value::Object(sections) = &tree.root else {
        return Err(failed(
            path,
            vec![tree.problem("", "a document is a mapping")],
        ));
    };
    for (name, section) in sections {
        match (section, SECTIONS.contains(&name.as_str())) {
            (_, false) => problems.push(tree.problem(name, "is not a section of a document")),
            (Value::Array(rows), true) => {
                for (number, row) in rows.iter().enumerate() {
                    self::row(
                        &tree,
                        name,
                        &format!("{name}[{number}]"),
                        row,
                        &mut problems,
                    );
                }
            }
            (_, true) => problems.push(tree.problem(name, "is not a list")),
        }
    }
    if !problems.is_empty() {
        return Err(failed(path, problems));
    }
    match serde_json::from_value(tree.root.clone()) {
        Ok(document) => Ok((tree, document)),
        Err(error) => Err(failed(path, vec![tree.problem("", error.to_string())])),
    }
}

fn tree(path: &str, text: &str) -> Result<Tree> {
    Tree::read(text).map_err(|problem| failed(path, vec![problem]))
}

fn failed(path: &str, mut problems: Vec<Problem>) -> Error {
    problems.sort();
    problems.dedup();
    Error::File {
        path: path.to_owned(),
        problems,
    }
}

fn row(tree: &Tree, section: &str, at: &str, row: &Value, out: &mut Vec<Problem>) {
    let valid = |fields: &[(&str, Value)]| {
        let pairs = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone()));
        pairs.collect::<Map<_, _>>()
    };
    let name = ("name", json!("x"));
    let service = ("service", json!("x"));
    match section {
        "callers" => {
            let valid = valid(&[name, ("tenant", json!("x")), ("token_hash", json!("x"))]);
            probe::<Caller>(tree, at, row, &valid, out);
        }
        "services" => probe::<Service>(
            tree,
            at,
            row,
            &valid(&[name, ("kind", json!("plain"))]),
            out,
        ),
        "servers" => {
            let valid = valid(&[name, service, ("zone", json!("x")), ("address", json!("x"))]);
            probe::<Server>(tree, at, row, &valid, out);
        }
        "adapters" => {
            let valid = valid(&[name, service, ("versions", json!([]))]);
            probe::<Adapter>(tree, at, row, &valid, out);
        }
        _ => rule(tree, at, row, out),
    }
}

fn rule(tree: &Tree, at: &str, row: &Value, out: &mut Vec<Problem>) {
    let mut outer = row.clone();
    let mut inner = |name: &str| {
        let part = outer.get_mut(name).filter(|part| part.is_object());
        part.map(|part| std::mem::replace(part, json!({})))
    };
    let (when, then) = (inner("when"), inner("then"));
    let valid = Map::from_iter([("name".to_owned(), json!("x"))]);
    probe::<Rule>(tree, at, &outer, &valid, out);
    let below = |name: &str| {
        if at.is_empty() {
            name.to_owned()
        } else {
            format!("{at}.{name}")
        }
    };
    if let Some(mut when) = when {
        let header = when.get("header").filter(|part| part.is_object()).cloned();
        if let Some(header) = header {
            let valid = Map::from_iter(["name", "value"].map(|name| (name.to_owned(), json!("x"))));
            probe::<Header>(tree, &below("when.header"), &header, &valid, out);
            when["header"] = Value::Null;
        }
        probe::<When>(tree, &below("when"), &when, &Map::new(), out);
    }
    if let Some(then) = then {
        probe::<Then>(tree, &below("then"), &then, &Map::new(), out);
    }
}

/// Tries each field of a row by itself in a row that is otherwise valid, so that one wrong field hides no other;
/// then names the fields that are missing.
fn probe<T: DeserializeOwned>(
    tree: &Tree,
    at: &str,
    row: &Value,
    valid: &Map<String, Value>,
    out: &mut Vec<Problem>,
) {
    let Value::Object(fields) = row else {
        out.push(tree.problem(at, "is not a mapping"));
        return;
    };
    let path = |name: &str| {
        if at.is_empty() {
            name.to_owned()
        } else {
            format!("{at}.{name}")
        }
    };
    for (name, value) in fields {
        let mut trial = valid.clone();
        trial.insert(name.clone(), value.clone());
        if let Err(error) = serde_json::from_value::<T>(trial.into()) {
            out.push(tree.problem(&path(name), error.to_string()));
        }
    }
    let missing = valid.keys().filter(|name| !fields.contains_key(*name));
    out.extend(missing.map(|name| tree.problem(at, format!("lacks {name}"))));
}
