//! Text for people.

use dahliastile_core::config::{Change, Place, Rule};
use dahliastile_core::operator::{Clash, Decided, Entry, Status, Trail};
use serde_json::Value;

/// The width of one of two versions side by side.
const COLUMN: usize = 46;

/// A table whose columns are as wide as their widest cell.
#[must_use]
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max();
        widest.unwrap_or(0).max(head[column].chars().count())
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(&mut head.iter().copied())];
    lines.extend(
        rows.iter()
            .map(|row| line(&mut row.iter().map(String::as_str))),
    );
    lines.join("\n")
}

/// A rule in one line.
#[must_use]
pub(crate) fn rule(rule: &Rule) -> String {
    let when = fields(serde_json::to_value(&rule.when).unwrap_or_default());
    let then = fields(serde_json::to_value(&rule.then).unwrap_or_default());
    let when = if when.is_empty() {
        "always".to_owned()
    } else {
        format!("when {when}")
    };
    let then = if then.is_empty() {
        "nothing special".to_owned()
    } else {
        then
    };
    format!("{}: {when} then {then}", rule.name)
}

fn fields(value: Value) -> String {
    let Value::Object(fields) = value else {
        return String::new();
    };
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
            items.join("+")
        }
        Value::Object(header) => format!(
            "{}:{}",
            header["name"].as_str().unwrap_or_default(),
            header["value"].as_str().unwrap_or_default()
        ),
        other => other.to_string(),
    };
    let set = fields.iter().filter(|(_, value)| !value.is_null());
    let set: Vec<String> = set
        .map(|(name, value)| format!("{name}={}", text(value)))
        .collect();
    set.join(" ")
}

/// The rules in order, numbered.
#[must_use]
pub(crate) fn rules(list: &[Rule]) -> String {
    let lines: Vec<String> = list
        .iter()
        .zip(1..)
        .map(|(row, number)| format!("{number:>4}  {}", rule(row)))
        .collect();
    if lines.is_empty() {
        "no rules: the services' settings decide".to_owned()
    } else {
        lines.join("\n")
    }
}

/// One change in one line; a replaced rule with what it was, where that is given.
#[must_use]
pub(crate) fn change(change: &Change, old: &[Rule]) -> String {
    match change {
        Change::InsertRule { rule: new, place } => format!("+ {}  ({})", rule(new), at(place)),
        Change::MoveRule { name, place } => format!("> {name}  ({})", at(place)),
        Change::ReplaceRule { rule: new } => {
            let was = old.iter().find(|was| was.name == new.name);
            let was = was.map(|was| format!("- {}\n", rule(was)));
            format!("{}+ {}", was.unwrap_or_default(), rule(new))
        }
        Change::RemoveRule { name } => match old.iter().find(|was| was.name == *name) {
            Some(was) => format!("- {}", rule(was)),
            None => format!("- {name}"),
        },
        Change::SetRules { rules } => format!("= {} rules in place of all", rules.len()),
        Change::PutCaller(row) => format!("+ caller {}", row.name),
        Change::RemoveCaller(name) => format!("- caller {name}"),
        Change::PutService(row) => format!("+ service {}", row.name),
        Change::RemoveService(name) => format!("- service {name}"),
        Change::PutServer(row) => format!("+ server {} at {}", row.name, row.address),
        Change::RemoveServer(name) => format!("- server {name}"),
        Change::PutAdapter(row) => format!("+ adapter {}@{}", row.name, row.versions.join(",")),
        Change::RemoveAdapter(name) => format!("- adapter {name}"),
    }
}

fn at(place: &Place) -> String {
    match place {
        Place::First => "first".to_owned(),
        Place::Last => "last".to_owned(),
        Place::Before(name) => format!("before {name}"),
        Place::After(name) => format!("after {name}"),
    }
}

/// Changes, one a line.
#[must_use]
pub(crate) fn changes(list: &[Change], old: &[Rule]) -> String {
    let lines: Vec<String> = list.iter().map(|row| change(row, old)).collect();
    if lines.is_empty() {
        "no difference".to_owned()
    } else {
        lines.join("\n")
    }
}

/// Both versions of a clash, side by side.
#[must_use]
pub fn clash(clash: &Clash) -> String {
    let (mut yours, mut theirs) = (clash.yours.lines(), clash.theirs.lines());
    let mut lines = vec![
        format!("{} in edition {}", clash.subject, clash.edition.0),
        format!("{:COLUMN$} | in force, by {}", "yours", clash.author),
        format!("{:-<COLUMN$}-+-{:-<COLUMN$}", "", ""),
    ];
    loop {
        match (yours.next(), theirs.next()) {
            (None, None) => return lines.join("\n"),
            (left, right) => {
                let pair = format!("{:COLUMN$} | {}", left.unwrap_or(""), right.unwrap_or(""));
                lines.push(pair.trim_end().to_owned());
            }
        }
    }
}

/// Edits, newest first.
#[must_use]
pub(crate) fn history(entries: &[Entry]) -> String {
    let entry = |entry: &Entry| {
        let edit = &entry.edit;
        let head = format!(
            "edition {}  by {}  (id {})",
            entry.edition.0, edit.author, edit.id
        );
        let lines = edit
            .changes
            .iter()
            .map(|row| format!("    {}", change(row, &[])));
        [head]
            .into_iter()
            .chain(lines)
            .collect::<Vec<_>>()
            .join("\n")
    };
    let entries: Vec<String> = entries.iter().map(entry).collect();
    if entries.is_empty() {
        "no edits yet".to_owned()
    } else {
        entries.join("\n")
    }
}

/// Which rule decides, and why.
#[must_use]
pub(crate) fn decided(decided: &Decided) -> String {
    let head = match (&decided.rule, decided.position) {
        (Some(found), Some(position)) => format!("rule {position} decides\n  {}", rule(found)),
        (Some(found), None) => format!("this rule decides\n  {}", rule(found)),
        (None, _) => "no rule decides: the service's settings do".to_owned(),
    };
    let reasons = decided.reasons.iter().map(|reason| format!("  {reason}"));
    let warnings = decided
        .warnings
        .iter()
        .map(|text| format!("warning: {text}"));
    let lines = [head].into_iter().chain(reasons).chain(warnings);
    lines.collect::<Vec<_>>().join("\n")
}

/// What was done with a request.
#[must_use]
pub(crate) fn trail(trail: &Trail) -> String {
    let rule = trail.rule.as_deref().unwrap_or("none");
    let mut lines = vec![
        format!("request {}", trail.request),
        format!(
            "  asked for {} by {}, rule: {rule}",
            trail.target, trail.caller
        ),
    ];
    lines.extend(trail.steps.iter().map(|step| format!("  {step}")));
    lines.push(format!("  {}", trail.outcome));
    lines.join("\n")
}

/// The state of the fleet.
#[must_use]
pub(crate) fn status(status: &Status) -> String {
    let yes = |value: bool, yes: &'static str, no: &'static str| if value { yes } else { no };
    let vms: Vec<Vec<String>> = status
        .vms
        .iter()
        .map(|vm| {
            vec![
                vm.vm.to_string(),
                vm.zone.to_string(),
                vm.state.clone(),
                vm.edition.0.to_string(),
            ]
        })
        .collect();
    let domains: Vec<Vec<String>> = status
        .domains
        .iter()
        .map(|row| {
            let holder = row
                .holder
                .as_ref()
                .map_or("nobody".to_owned(), ToString::to_string);
            vec![row.domain.to_string(), holder, row.fence.0.to_string()]
        })
        .collect();
    let servers: Vec<Vec<String>> = status
        .servers
        .iter()
        .map(|row| {
            let residents: Vec<String> = row.residents.iter().map(ToString::to_string).collect();
            vec![
                row.server.to_string(),
                row.state.clone(),
                row.running.to_string(),
                row.waiting.to_string(),
                residents.join(" "),
            ]
        })
        .collect();
    [
        format!(
            "{} answers: {}, edition {} {}, key-value service {}, {} requests in progress",
            status.vm,
            yes(status.ready, "ready", "not ready"),
            status.edition.0,
            yes(
                status.everywhere,
                "in force everywhere",
                "not yet everywhere"
            ),
            yes(status.platform, "answers", "does not answer"),
            status.in_progress,
        ),
        table(&["VM", "zone", "state", "edition"], &vms),
        table(&["domain", "holder", "fence"], &domains),
        table(
            &["server", "state", "running", "waiting", "resident"],
            &servers,
        ),
    ]
    .join("\n\n")
}
