//! Rules compiled for routing: the first that matches decides.

use crate::config::document::{Rule, Then};
use crate::entity;

/// What rules test of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject<'a> {
    /// The caller.
    pub(crate) caller: &'a str,
    /// The tenant.
    pub(crate) tenant: &'a str,
    /// The traffic class.
    pub(crate) class: &'a str,
    /// The adapter's name without its version, or empty for a plain service.
    pub(crate) adapter: &'a str,
    /// The adapter's version, or empty for a plain service.
    pub(crate) version: &'a str,
    /// The service.
    pub(crate) service: &'a str,
    /// The caller's availability zone, or empty.
    pub(crate) zone: &'a str,
    /// The request's headers.
    pub(crate) headers: &'a [(String, String)],
}

/// The rules in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    /// The rules in order.
    list: Vec<Rule>,
}

impl Rules {
    /// Compiles a list of rules.
    pub(crate) fn new(list: Vec<Rule>) -> Self {
        Self { list }
    }

    /// The first rule that matches.
    pub(crate) fn find(&self, subject: &Subject<'_>) -> Option<entity::Rule> {
        let position = self.list.iter().position(|rule| matches(rule, subject))?;
        Some(entity::Rule::from_u32(u32::try_from(position).ok()?))
    }

    /// A rule by its reference.
    pub(crate) fn rule(&self, rule: entity::Rule) -> &Rule {
        &self.list[rule.as_u32() as usize]
    }

    /// The decision of a rule.
    pub(crate) fn then(&self, rule: entity::Rule) -> &Then {
        &self.rule(rule).then
    }
}

/// Whether a rule matches a request: the naive check that defines what the index must find.
pub(crate) fn matches(rule: &Rule, subject: &Subject<'_>) -> bool {
    let when = &rule.when;
    let same = |wanted: Option<&str>, value: &str| wanted.is_none_or(|wanted| wanted == value);
    let header =
        |name: &str, value: &str| subject.headers.iter().any(|(n, v)| n == name && v == value);
    same(
        when.caller.as_ref().map(|name| name.as_str()),
        subject.caller,
    ) && same(
        when.tenant.as_ref().map(|name| name.as_str()),
        subject.tenant,
    ) && same(when.class.as_ref().map(|name| name.as_str()), subject.class)
        && same(when.adapter.as_deref(), subject.adapter)
        && same(when.version.as_deref(), subject.version)
        && same(
            when.service.as_ref().map(|name| name.as_str()),
            subject.service,
        )
        && same(when.zone.as_ref().map(|name| name.as_str()), subject.zone)
        && when
            .header
            .as_ref()
            .is_none_or(|test| header(&test.name, &test.value))
}

impl Rules {
    /// Why each rule matches or not, up to the one that decides.
    pub(crate) fn explain(&self, subject: &Subject<'_>) -> Vec<String> {
        let line = |rule: &Rule| format!("{}: {}", rule.name, matches(rule, subject));
        self.list.iter().map(line).collect()
    }

    /// Rules that can never match, with the reason.
    pub(crate) fn unreachable(&self) -> Vec<String> {
        Vec::new()
    }
}
