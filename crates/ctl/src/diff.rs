//! Differences between two lists of rules, as the changes that lead from one to the other.

use std::collections::HashMap;

use dahliastile_core::config::{self, Change, Document, Edit, Place, Rule};
use dahliastile_core::id::Edition;

/// The changes that make `old` into `new`. Rules that keep their order are not touched, so that edits of other
/// operators to other rules can stand beside these.
#[must_use]
pub fn script(old: &[Rule], new: &[Rule]) -> Vec<Change> {
    let there: HashMap<&str, usize> = old
        .iter()
        .zip(0..)
        .map(|(r, i)| (r.name.as_str(), i))
        .collect();
    let found: Vec<Option<usize>> = new
        .iter()
        .map(|rule| there.get(rule.name.as_str()).copied())
        .collect();
    let kept = longest_rising(&found);
    let mut changes = Vec::new();
    let mut before: Option<&Rule> = None;
    for ((rule, found), kept) in new.iter().zip(&found).zip(kept) {
        let place = before.map_or(Place::First, |before| Place::After(before.name.clone()));
        match found {
            None => changes.push(Change::InsertRule {
                rule: rule.clone(),
                place,
            }),
            Some(_) if !kept => changes.push(Change::MoveRule {
                name: rule.name.clone(),
                place,
            }),
            Some(_) => {}
        }
        if found.is_some_and(|found| old[found] != *rule) {
            changes.push(Change::ReplaceRule { rule: rule.clone() });
        }
        before = Some(rule);
    }
    let gone = |rule: &&Rule| !new.iter().any(|kept| kept.name == rule.name);
    let gone = old.iter().filter(gone).map(|rule| Change::RemoveRule {
        name: rule.name.clone(),
    });
    changes.extend(gone);
    changes
}

/// Which of the numbers belong to one longest rising sequence of them.
fn longest_rising(numbers: &[Option<usize>]) -> Vec<bool> {
    // `ends[k]` is where the rising sequence of k + 1 numbers with the smallest last number ends.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; numbers.len()];
    for (at, number) in numbers.iter().enumerate() {
        let Some(number) = number else { continue };
        let length = ends.partition_point(|end| numbers[*end].is_some_and(|last| last < *number));
        previous[at] = length.checked_sub(1).map(|before| ends[before]);
        match ends.get_mut(length) {
            Some(end) => *end = at,
            None => ends.push(at),
        }
    }
    let mut chosen = vec![false; numbers.len()];
    let mut at = ends.last().copied();
    while let Some(number) = at {
        chosen[number] = true;
        at = previous[number];
    }
    chosen
}

/// A list of rules after some changes; changes of other things are passed over.
///
/// # Errors
/// When a change names a rule that is not there, or adds one that is.
pub fn patched(rules: Vec<Rule>, changes: &[Change]) -> Result<Vec<Rule>, String> {
    let on_rules = |change: &&Change| {
        matches!(
            change,
            Change::InsertRule { .. }
                | Change::MoveRule { .. }
                | Change::ReplaceRule { .. }
                | Change::RemoveRule { .. }
                | Change::SetRules { .. }
        )
    };
    let document = Document {
        rules,
        ..Document::default()
    };
    let edit = Edit {
        id: String::new(),
        author: String::new(),
        base: Edition(0),
        changes: changes.iter().filter(on_rules).cloned().collect(),
    };
    let after = config::apply(&document, &edit).map_err(|problem| problem.message)?;
    Ok(after.rules)
}
