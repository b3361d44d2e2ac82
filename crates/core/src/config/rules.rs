//! Rules compiled for routing: the first that matches decides.
//!
//! Rules are grouped by the set of fields that they test. Within a group the hash of the tested values leads to the
//! first rule with those values, so a request costs one look-up for each group instead of one check for each rule.
//! Groups are searched in the order of their first rule, and the search ends at the first group that can't win.

use std::hash::{Hash, Hasher};

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use smallvec::SmallVec;

use crate::config::document::{Rule, Then, When};
use crate::{entity, id};

/// What rules test of a request.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// The caller.
    pub caller: &'a str,
    /// The tenant.
    pub tenant: &'a str,
    /// The traffic class.
    pub class: &'a str,
    /// The adapter's name without its version, or empty for a plain service.
    pub adapter: &'a str,
    /// The adapter's version, or empty for a plain service.
    pub version: &'a str,
    /// The service.
    pub service: &'a str,
    /// The caller's availability zone, or empty.
    pub zone: &'a str,
    /// The request's headers.
    pub headers: &'a [(String, String)],
}

/// Fields that have one value in a request; the header test comes on top.
const FIELDS: usize = 7;
/// Their names, in the order of [`given`] and [`wanted`].
const NAMES: [&str; FIELDS] = [
    "caller", "tenant", "class", "adapter", "version", "service", "zone",
];

/// A set of tested fields: bit `i` stands for field `i`.
type Mask = u8;

/// Rules that test the same fields and, where they test a header, the same header.
#[derive(Clone, Debug)]
struct Group {
    /// The fields.
    mask: Mask,
    /// The header's name.
    header: Option<String>,
    /// The position of its first rule.
    first: u32,
    /// By the hash of the tested values: the positions of rules, ascending. A rule that tests the same as an earlier
    /// one is left out, so there is more than one position only where two hashes are equal by chance.
    positions: FxHashMap<u64, SmallVec<[u32; 2]>>,
}

/// The rules in force.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The rules in order.
    list: Vec<Rule>,
    /// The index, in the order of the groups' first rules.
    groups: Vec<Group>,
    /// For each field the hashes of the values that rules test.
    values: [FxHashSet<u64>; FIELDS],
}

impl Rules {
    /// Compiles a list of rules.
    #[must_use]
    pub fn new(list: Vec<Rule>) -> Self {
        let mut rules = Self::default();
        let mut groups: FxHashMap<(Mask, Option<String>), usize> = FxHashMap::default();
        for (position, rule) in (0u32..).zip(&list) {
            let (mask, header) = tested(&rule.when);
            let at = *groups.entry((mask, header.clone())).or_insert_with(|| {
                rules.groups.push(Group {
                    mask,
                    header,
                    first: position,
                    positions: FxHashMap::default(),
                });
                rules.groups.len() - 1
            });
            let key = rules.learn(mask, &rule.when);
            let bucket = rules.groups[at].positions.entry(key).or_default();
            let same = |earlier: &u32| list[*earlier as usize].when == rule.when;
            if !bucket.iter().any(same) {
                bucket.push(position);
            }
        }
        rules.list = list;
        rules
    }

    /// The first rule that matches.
    #[must_use]
    pub fn find(&self, subject: &Subject<'_>) -> Option<entity::Rule> {
        let hashes = given(subject).map(hash);
        let known = |field: &usize| self.values[*field].contains(&hashes[*field]);
        let mask = (0..FIELDS).filter(known).fold(0, |mask, i| mask | 1 << i);
        let position = self.search(subject, &hashes, mask)?;
        Some(entity::Rule::from_u32(position))
    }

    /// The first rule that matches, found by checking one rule after the other. It defines what [`Rules::find`] is
    /// to find.
    #[must_use]
    pub fn naive(&self, subject: &Subject<'_>) -> Option<entity::Rule> {
        let position = self.list.iter().position(|rule| matches(rule, subject))?;
        Some(entity::Rule::from_u32(u32::try_from(position).ok()?))
    }

    /// Why each rule matches or not, up to the one that decides.
    #[must_use]
    pub fn explain(&self, subject: &Subject<'_>) -> Vec<String> {
        let decides = self.find(subject).map(|rule| rule.as_u32() as usize);
        let looked_at = decides.map_or(self.list.len(), |position| position + 1);
        let mut lines: Vec<String> = self.list[..looked_at]
            .iter()
            .zip(1..)
            .map(|(rule, number)| reason(rule, number, subject))
            .collect();
        if decides.is_none() {
            lines.push("no rule matches; the service's settings decide".to_owned());
        }
        lines
    }

    /// Rules that can never match because an earlier rule matches whatever they match, with the reason.
    #[must_use]
    pub fn unreachable(&self) -> Vec<String> {
        let shadow = |(position, rule): (u32, &Rule)| {
            let earlier = self.shadow(&rule.when).filter(|found| *found < position)?;
            let (number, name) = (earlier + 1, &self.list[earlier as usize].name);
            Some(format!(
                "rule {} ({}) never decides: rule {number} ({name}) matches all that it matches",
                position + 1,
                rule.name,
            ))
        };
        (0u32..).zip(&self.list).filter_map(shadow).collect()
    }

    /// A rule by its reference.
    pub(crate) fn rule(&self, rule: entity::Rule) -> &Rule {
        &self.list[rule.as_u32() as usize]
    }

    /// The decision of a rule.
    pub(crate) fn then(&self, rule: entity::Rule) -> &Then {
        &self.rule(rule).then
    }

    /// Notes the values that a rule tests; gives their hash within the rule's group.
    fn learn(&mut self, mask: Mask, when: &When) -> u64 {
        let hashes = wanted(when).map(|value| hash(value.unwrap_or_default()));
        for field in (0..FIELDS).filter(|field| mask & 1 << field != 0) {
            self.values[field].insert(hashes[field]);
        }
        let value = when.header.as_ref().map(|header| header.value.as_str());
        combine(mask, &hashes, value)
    }

    /// The first rule that matches among the groups that test no field outside `mask`.
    fn search(&self, subject: &Subject<'_>, hashes: &[u64; FIELDS], mask: Mask) -> Option<u32> {
        let mut best = u32::MAX;
        for group in &self.groups {
            if group.first >= best {
                break;
            }
            match &group.header {
                _ if group.mask & !mask != 0 => {}
                None => self.look_up(group, subject, combine(group.mask, hashes, None), &mut best),
                Some(name) => {
                    let tested = subject.headers.iter().filter(|(given, _)| given == name);
                    for (_, value) in tested {
                        let key = combine(group.mask, hashes, Some(value));
                        self.look_up(group, subject, key, &mut best);
                    }
                }
            }
        }
        (best < u32::MAX).then_some(best)
    }

    fn look_up(&self, group: &Group, subject: &Subject<'_>, key: u64, best: &mut u32) {
        let bucket = group.positions.get(&key).into_iter().flatten();
        let better = bucket.take_while(|position| **position < *best);
        let found = better
            .copied()
            .find(|position| matches(&self.list[*position as usize], subject));
        *best = found.unwrap_or(*best);
    }

    /// The first rule that matches every request that this condition matches.
    fn shadow(&self, when: &When) -> Option<u32> {
        let [caller, tenant, class, adapter, version, service, zone] =
            wanted(when).map(Option::unwrap_or_default);
        let header = when.header.as_ref();
        let header = header.map(|test| (test.name.clone(), test.value.clone()));
        let subject = Subject {
            caller,
            tenant,
            class,
            adapter,
            version,
            service,
            zone,
            headers: header.as_slice(),
        };
        self.search(&subject, &given(&subject).map(hash), tested(when).0)
    }
}

/// Whether a rule matches a request: the naive check that defines what the index must find.
fn matches(rule: &Rule, subject: &Subject<'_>) -> bool {
    let when = &rule.when;
    let same = |wanted: Option<&str>, value: &str| wanted.is_none_or(|wanted| wanted == value);
    let header =
        |name: &str, value: &str| subject.headers.iter().any(|(n, v)| n == name && v == value);
    same(when.caller.as_ref().map(id::Caller::as_str), subject.caller)
        && same(when.tenant.as_ref().map(id::Tenant::as_str), subject.tenant)
        && same(when.class.as_ref().map(id::Class::as_str), subject.class)
        && same(when.adapter.as_deref(), subject.adapter)
        && same(when.version.as_deref(), subject.version)
        && same(
            when.service.as_ref().map(id::Service::as_str),
            subject.service,
        )
        && same(when.zone.as_ref().map(id::Zone::as_str), subject.zone)
        && when
            .header
            .as_ref()
            .is_none_or(|test| header(&test.name, &test.value))
}

/// One sentence on why a rule matches or not.
fn reason(rule: &Rule, number: usize, subject: &Subject<'_>) -> String {
    let name = &rule.name;
    let fields = NAMES.iter().zip(wanted(&rule.when)).zip(given(subject));
    let differs = fields
        .filter_map(|((field, wanted), given)| Some((field, wanted?, given)))
        .find(|(_, wanted, given)| wanted != given);
    match (differs, &rule.when.header) {
        _ if matches(rule, subject) && rule.when == When::default() => {
            format!("rule {number} ({name}) matches: it tests nothing")
        }
        _ if matches(rule, subject) => {
            format!("rule {number} ({name}) matches: all it tests holds")
        }
        (Some((field, wanted, "")), _) => {
            format!("rule {number} ({name}) does not match: {field} is not given, wanted {wanted}")
        }
        (Some((field, wanted, given)), _) => {
            format!("rule {number} ({name}) does not match: {field} is {given}, wanted {wanted}")
        }
        (None, Some(test)) => format!(
            "rule {number} ({name}) does not match: header {} is not {}",
            test.name, test.value
        ),
        (None, None) => format!("rule {number} ({name}) does not match"),
    }
}

/// The fields that a condition tests, and the header's name where it tests one.
fn tested(when: &When) -> (Mask, Option<String>) {
    let set = wanted(when);
    let fields = (0..FIELDS).filter(|field| set[*field].is_some());
    let mask = fields.fold(0, |mask, field| mask | 1 << field);
    (mask, when.header.as_ref().map(|header| header.name.clone()))
}

/// The values that a condition wants.
fn wanted(when: &When) -> [Option<&str>; FIELDS] {
    [
        when.caller.as_ref().map(id::Caller::as_str),
        when.tenant.as_ref().map(id::Tenant::as_str),
        when.class.as_ref().map(id::Class::as_str),
        when.adapter.as_deref(),
        when.version.as_deref(),
        when.service.as_ref().map(id::Service::as_str),
        when.zone.as_ref().map(id::Zone::as_str),
    ]
}

/// The values of a request.
fn given<'a>(subject: &Subject<'a>) -> [&'a str; FIELDS] {
    [
        subject.caller,
        subject.tenant,
        subject.class,
        subject.adapter,
        subject.version,
        subject.service,
        subject.zone,
    ]
}

fn hash(value: &str) -> u64 {
    let mut state = FxHasher::default();
    value.hash(&mut state);
    state.finish()
}

/// The hash of the values of the fields in `mask`, and of a header's value.
fn combine(mask: Mask, hashes: &[u64; FIELDS], header: Option<&str>) -> u64 {
    let mut state = FxHasher::default();
    let mut left = mask;
    while left != 0 {
        state.write_u64(hashes[left.trailing_zeros() as usize]);
        left &= left - 1;
    }
    header.hash(&mut state);
    state.finish()
}
