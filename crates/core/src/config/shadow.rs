//! Rules that can never match because an earlier rule matches whatever they match.
//!
//! A rule is covered by an earlier one whose condition asks for a part of the same fields with the same values. A
//! rule has few fields, so each part of its condition is looked up instead of comparing all pairs of rules.

use rustc_hash::FxHashMap;

use super::check::Problem;
use super::document::{Rule, When};

/// The number of fields of a condition.
const FIELDS: usize = 8;

/// The condition of a rule field by field, in the order of [`When`].
type Fields<'a> = [Option<(&'a str, &'a str)>; FIELDS];

/// A warning for each rule that an earlier one covers.
pub(crate) fn warnings(rules: &[Rule]) -> Vec<Problem> {
    let mut seen: FxHashMap<Fields<'_>, usize> = FxHashMap::default();
    let mut problems = Vec::new();
    for (number, rule) in rules.iter().enumerate() {
        let fields = fields(&rule.when);
        if let Some(earlier) = cover(&seen, &fields) {
            let earlier = &rules[earlier].name;
            let message = format!(
                "rule {} can never match: rule {earlier} comes first",
                rule.name
            );
            problems.push(Problem::new(format!("rules[{number}].when"), message));
        }
        seen.entry(fields).or_insert(number);
    }
    problems
}

/// The first of the earlier rules whose condition is a part of this one.
fn cover(seen: &FxHashMap<Fields<'_>, usize>, fields: &Fields<'_>) -> Option<usize> {
    let set: u32 = (0..FIELDS)
        .filter(|field| fields[*field].is_some())
        .map(|field| 1 << field)
        .sum();
    let mut part = set;
    let mut first = None;
    loop {
        let key = std::array::from_fn(|field| fields[field].filter(|_| part & (1 << field) != 0));
        first = match (first, seen.get(&key).copied()) {
            (Some(a), Some(b)) => Some(usize::min(a, b)),
            (a, b) => a.or(b),
        };
        if part == 0 {
            return first;
        }
        part = (part - 1) & set;
    }
}

fn fields(when: &When) -> Fields<'_> {
    [
        when.caller.as_ref().map(|name| (name.as_str(), "")),
        when.tenant.as_ref().map(|name| (name.as_str(), "")),
        when.adapter.as_deref().map(|name| (name, "")),
        when.version.as_deref().map(|name| (name, "")),
        when.service.as_ref().map(|name| (name.as_str(), "")),
        when.class.as_ref().map(|name| (name.as_str(), "")),
        when.zone.as_ref().map(|name| (name.as_str(), "")),
        when.header
            .as_ref()
            .map(|test| (test.name.as_str(), test.value.as_str())),
    ]
}
