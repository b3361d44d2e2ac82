//! What an operator may want to look at in a configuration that holds together.

use rustc_hash::FxHashSet;

use super::check::{Known, Problem};
use super::document::{Document, Rule};
use super::rules::Rules;

/// What an operator may want to look at in a configuration that holds together.
#[must_use]
pub fn warnings(document: &Document) -> Vec<Problem> {
    let unreachable = Rules::new(document.rules.clone()).unreachable();
    let unreachable = unreachable.into_iter();
    let mut problems: Vec<_> = unreachable
        .map(|text| Problem::new("rules", text))
        .collect();
    problems.extend(never(document));
    problems.extend(zones(document));
    problems
}

/// Rules whose own condition nothing can meet.
fn never(document: &Document) -> Vec<Problem> {
    let known = Known::new(document);
    let mut problems = Vec::new();
    for (number, rule) in document.rules.iter().enumerate() {
        for (field, reason) in contradictions(rule, &known) {
            let path = format!("rules[{number}].when.{field}");
            problems.push(Problem::new(
                path,
                format!("rule {} can never match: {reason}", rule.name),
            ));
        }
    }
    problems
}

fn contradictions(rule: &Rule, known: &Known<'_>) -> Vec<(&'static str, String)> {
    let when = &rule.when;
    let mut found = Vec::new();
    if let Some(caller) = when
        .caller
        .as_ref()
        .and_then(|name| known.callers.get(name))
    {
        if when
            .tenant
            .as_ref()
            .is_some_and(|tenant| *tenant != caller.tenant)
        {
            found.push((
                "tenant",
                format!("the caller's tenant is {}", caller.tenant),
            ));
        }
        if when
            .class
            .as_ref()
            .is_some_and(|class| *class != caller.class)
        {
            found.push(("class", format!("the caller's class is {}", caller.class)));
        }
    }
    if let Some(adapter) = when
        .adapter
        .as_deref()
        .and_then(|name| known.adapters.get(name))
    {
        if when
            .version
            .as_ref()
            .is_some_and(|version| !adapter.versions.contains(version))
        {
            found.push(("version", "the adapter has no such version".to_owned()));
        }
        if when
            .service
            .as_ref()
            .is_some_and(|service| *service != adapter.service)
        {
            found.push((
                "service",
                format!("the adapter's service is {}", adapter.service),
            ));
        }
    }
    found
}

/// Zones that rules name and that have no server.
fn zones(document: &Document) -> Vec<Problem> {
    let zones: FxHashSet<_> = document.servers.iter().map(|server| &server.zone).collect();
    let mut problems = Vec::new();
    for (number, rule) in document.rules.iter().enumerate() {
        let fields = [
            ("prefer_zone", &rule.then.prefer_zone),
            ("require_zone", &rule.then.require_zone),
        ];
        for (field, zone) in fields {
            if zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
                let path = format!("rules[{number}].then.{field}");
                problems.push(Problem::new(path, "names a zone that has no server"));
            }
        }
    }
    problems
}
