//! The pages say what the code does: the table of settings, the fields of the configuration, and the example files.

use std::fs;
use std::path::PathBuf;

use dahliastile_core::config::{self, Document, Then, When};
use dahliastile_core::error::Kind;
use dahliastile_daemon::{Entry, Form, Settings, entries};
use serde_json::Value;

fn docs(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(path)
}

fn page(path: &str) -> String {
    fs::read_to_string(docs(path)).unwrap()
}

fn row(entry: &Entry) -> String {
    let form = match entry.form {
        Form::Name => "name".to_owned(),
        Form::Listen => "IP address and port".to_owned(),
        Form::Address => "IPv4 address and port".to_owned(),
        Form::Addresses => "list of IPv4 addresses and ports".to_owned(),
        Form::Prefix => "text without a closing slash".to_owned(),
        Form::Hash => "64 hexadecimal digits".to_owned(),
        Form::Text => "text".to_owned(),
        Form::File => "file".to_owned(),
        Form::Variable => "environment variable".to_owned(),
        Form::Word(words) => words.join(", "),
        Form::Number { unit, min, max } => format!("{min} to {max} {unit}"),
    };
    let default = match &entry.default {
        Some(default) => default.as_str(),
        None if entry.required => "required",
        None => "not set",
    };
    format!(
        "| `{}` | {} | {form} | {default} |\n",
        entry.name, entry.doc
    )
}

#[test]
fn settings_as_declared() {
    let entries = entries();
    let own = entries.iter().filter(|e| !e.name.starts_with("tuning."));
    let rows: String = own.map(row).collect();
    let table = format!("| setting | meaning | form | default |\n|---|---|---|---|\n{rows}\n");
    assert!(
        page("CONFIGURATION.md").contains(&table),
        "CONFIGURATION.md should hold:\n{table}"
    );
}

/// The names of a value's fields, in which lists stand for their items.
fn fields(value: &Value, names: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                names.push(name.clone());
                fields(value, names);
            }
        }
        Value::Array(items) => items.iter().for_each(|item| fields(item, names)),
        _ => {}
    }
}

/// A document in which every field is written out.
fn full() -> Value {
    let document = r#"{
        "callers": [{"name": "a", "tenant": "b", "token_hash": "c"}],
        "services": [{"name": "a", "kind": "plain"}],
        "servers": [{"name": "a", "service": "a", "zone": "z", "address": "10.0.0.1:80"}],
        "adapters": [{"name": "a", "service": "a", "versions": ["1"]}],
        "rules": []
    }"#;
    let document: Document = serde_json::from_str(document).unwrap();
    let when: When = serde_json::from_str(
        r#"{"caller": "a", "tenant": "a", "adapter": "a", "version": "1", "service": "a",
            "class": "a", "zone": "z", "header": {"name": "x", "value": "y"}}"#,
    )
    .unwrap();
    let then: Then = serde_json::from_str(
        r#"{"prefer_zone": "z", "require_zone": "z", "pin": ["a"], "avoid": ["b"], "priority": 1,
            "rate": 1, "deadline_ms": 1, "non_idempotent": true, "hold_ms": 1, "refuse": "r"}"#,
    )
    .unwrap();
    let mut value = serde_json::to_value(document).unwrap();
    value["rules"] = serde_json::json!([{"name": "r", "when": when, "then": then}]);
    value
}

#[test]
fn configuration_fields_described() {
    let page = page("CONFIGURATION.md");
    let mut names = Vec::new();
    fields(&full(), &mut names);
    for name in names {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
}

/// The example files of settings and of configurations, by what their content is.
fn examples() -> Vec<(PathBuf, String)> {
    let files = fs::read_dir(docs("examples")).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    paths
        .map(|path| (path.clone(), fs::read_to_string(path).unwrap()))
        .collect()
}

#[test]
fn examples_hold_together() {
    let mut documents = 0;
    for (path, text) in examples() {
        if text.contains("\nvm: ") {
            let faults = Settings::parse(&text, &[]).err();
            assert_eq!(faults, None, "{}", path.display());
            continue;
        }
        let document: Document = serde_saphyr::from_str(&text).unwrap();
        assert_eq!(config::check(&document), [], "{}", path.display());
        assert_eq!(config::warnings(&document), [], "{}", path.display());
        documents += 1;
    }
    assert_eq!(documents, 3);
}

fn count(document: &Document, service: &str) -> usize {
    let servers = document.servers.iter();
    servers
        .filter(|server| server.service.as_str() == service)
        .count()
}

#[test]
fn examples_have_the_users_shapes() {
    let read = |name: &str| -> Document { serde_saphyr::from_str(&page(name)).unwrap() };
    let nl_west = read("examples/kolenvaart.yaml");
    assert_eq!(
        (count(&nl_west, "passage"), count(&nl_west, "booking")),
        (12, 4)
    );
    let jawa = read("examples/rak-nusantara.yaml");
    assert_eq!((count(&jawa, "planogram"), count(&jawa, "store")), (12, 3));
    for (document, zones) in [(nl_west, 4), (jawa, 3)] {
        let mut seen: Vec<_> = document.servers.iter().map(|server| &server.zone).collect();
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), zones);
    }
}

#[test]
fn errors_advised_on() {
    let page = page("API.md");
    let operators = [Kind::EditClash, Kind::BadConfiguration, Kind::EditUnknown];
    let callers = Kind::ALL.iter().filter(|kind| !operators.contains(kind));
    for kind in callers {
        assert!(page.contains(&format!("`{kind}`")), "{kind}");
    }
}
