//! Taking an edition back: the opposite of what it did to the rules, on the rules in force now.

use dahliastile_core::config::{Change, Place, Rule};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Clash, Entry};

use crate::diff::{patched, script};
use crate::error::{Error, Result};

/// The rules before and after an edition, found by doing the edits up to it again. `entries` are newest first.
///
/// # Errors
/// When the edition is not among them, or none before it sets out from a known list.
pub fn around(entries: &[Entry], edition: Edition) -> Result<(Vec<Rule>, Vec<Rule>)> {
    let missing = |reason: &str| Error::Missing(format!("edition {}: {reason}", edition.0));
    let at = entries.iter().position(|entry| entry.edition == edition);
    let at = at.ok_or_else(|| missing("it is not among the edits that are kept"))?;
    let sets = |entry: &Entry| {
        let whole = |change: &Change| matches!(change, Change::SetRules { .. });
        entry.edition == Edition(1) || entry.edit.changes.iter().any(whole)
    };
    let earlier = &entries[at + 1..];
    let from = match earlier.iter().position(sets) {
        Some(from) => &earlier[..=from],
        None if edition == Edition(1) => &[],
        // What was only added is taken back without knowing what else was there.
        None if inserted(&entries[at]).is_some() => {
            return Ok((Vec::new(), inserted(&entries[at]).unwrap_or_default()));
        }
        None => {
            return Err(missing(
                "the rules before it can't be told from the edits kept",
            ));
        }
    };
    let replay = |rules: Vec<Rule>, entry: &Entry| {
        patched(rules, &entry.edit.changes).map_err(|reason| missing(&reason))
    };
    let before = from.iter().rev().try_fold(Vec::new(), replay)?;
    let after = replay(before.clone(), &entries[at])?;
    Ok((before, after))
}

/// The rules that an edit added, where that is all that it did to rules.
fn inserted(entry: &Entry) -> Option<Vec<Rule>> {
    let rule = |change: &Change| match change {
        Change::InsertRule { rule, .. } => Some(rule.clone()),
        _ => None,
    };
    entry.edit.changes.iter().map(rule).collect()
}

/// The changes to `now` that take back what led from `before` to `after`.
///
/// # Errors
/// With both versions, when a rule was changed again since.
pub fn opposite(
    (before, after): (&[Rule], &[Rule]),
    (edition, now): (Edition, &[Rule]),
) -> Result<Vec<Change>> {
    let mut rules = now.to_vec();
    let mut changes = Vec::new();
    for change in script(after, before) {
        let present = |name: &str| rules.iter().find(|rule| rule.name.as_str() == name);
        let then = |name: &str| after.iter().find(|rule| rule.name.as_str() == name);
        let change = match change {
            Change::RemoveRule { name } => match (present(name.as_str()), then(name.as_str())) {
                (None, _) => continue,
                (theirs, yours) if theirs == yours => Change::RemoveRule { name },
                (theirs, _) => return Err(clash(edition, None, theirs)),
            },
            Change::ReplaceRule { rule } => {
                match (present(rule.name.as_str()), then(rule.name.as_str())) {
                    (Some(theirs), _) if *theirs == rule => continue,
                    (theirs, yours) if theirs == yours => Change::ReplaceRule { rule },
                    (theirs, _) => return Err(clash(edition, Some(&rule), theirs)),
                }
            }
            Change::InsertRule { rule, .. } => match present(rule.name.as_str()) {
                Some(theirs) if *theirs == rule => continue,
                None => Change::InsertRule {
                    place: place(before, &rules, rule.name.as_str()),
                    rule,
                },
                theirs => return Err(clash(edition, Some(&rule), theirs)),
            },
            Change::MoveRule { name, .. } if present(name.as_str()).is_none() => continue,
            Change::MoveRule { name, .. } => Change::MoveRule {
                place: place(before, &rules, name.as_str()),
                name,
            },
            _ => continue,
        };
        rules = patched(rules, std::slice::from_ref(&change)).map_err(Error::Missing)?;
        changes.push(change);
    }
    Ok(changes)
}

/// After the nearest rule that stood before `name` and is still there.
fn place(before: &[Rule], now: &[Rule], name: &str) -> Place {
    let earlier = before.iter().take_while(|rule| rule.name.as_str() != name);
    let still = |rule: &&Rule| now.iter().any(|there| there.name == rule.name);
    let near = earlier.filter(still).last();
    near.map_or(Place::First, |rule| Place::After(rule.name.clone()))
}

fn clash(edition: Edition, yours: Option<&Rule>, theirs: Option<&Rule>) -> Error {
    let text = |rule: Option<&Rule>| match rule {
        Some(rule) => serde_saphyr::to_string(rule).unwrap_or_default(),
        None => "(no such rule)".to_owned(),
    };
    let name = yours.or(theirs).map(|rule| rule.name.to_string());
    Error::Clash(Box::new(Clash {
        edition,
        subject: format!("rule {}", name.unwrap_or_default()),
        yours: text(yours),
        theirs: text(theirs),
        author: "a later edition".to_owned(),
    }))
}
