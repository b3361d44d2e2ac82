//! The compiled rules against the naive scan.
// Properties get their cases by value.
#![allow(clippy::needless_pass_by_value)]

use dahliastile_core::config::rules::{Rules, Subject};
use dahliastile_core::config::{Header, Rule, Then, When};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 0x5eed;

/// A few values for each field, so that rules often overlap.
fn value(g: &mut Gen) -> String {
    (*g.choose(&["a", "b", "c"]).unwrap()).to_owned()
}

fn some<T>(g: &mut Gen, make: impl Fn(String) -> T) -> Option<T> {
    (u8::arbitrary(g) % 3 == 0).then(|| make(value(g)))
}

fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

#[derive(Clone, Debug)]
struct List(Vec<When>);

impl Arbitrary for List {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = usize::arbitrary(g) % 60;
        Self((0..length).map(|_| when(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let list = self.0.clone();
        Box::new((0..list.len()).map(move |i| {
            let mut shorter = list.clone();
            shorter.remove(i);
            Self(shorter)
        }))
    }
}

fn when(g: &mut Gen) -> When {
    When {
        caller: some(g, name),
        tenant: some(g, name),
        adapter: some(g, |text| text),
        version: some(g, |text| text),
        service: some(g, name),
        class: some(g, name),
        zone: some(g, name),
        header: header(g),
    }
}

fn header(g: &mut Gen) -> Option<Header> {
    some(g, |name| name).map(|name| Header {
        name,
        value: value(g),
    })
}

#[derive(Clone, Debug)]
struct Request {
    fields: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Arbitrary for Request {
    fn arbitrary(g: &mut Gen) -> Self {
        let headers = usize::arbitrary(g) % 4;
        Self {
            fields: (0..7).map(|_| value(g)).collect(),
            headers: (0..headers).map(|_| (value(g), value(g))).collect(),
        }
    }
}

impl Request {
    fn subject(&self) -> Subject<'_> {
        Subject {
            caller: &self.fields[0],
            tenant: &self.fields[1],
            class: &self.fields[2],
            adapter: &self.fields[3],
            version: &self.fields[4],
            service: &self.fields[5],
            zone: &self.fields[6],
            headers: &self.headers,
        }
    }
}

fn compile(list: &[When]) -> Rules {
    let rule = |(i, when): (usize, &When)| Rule {
        name: format!("r{i}").parse().unwrap(),
        when: when.clone(),
        then: Then::default(),
    };
    Rules::new(list.iter().enumerate().map(rule).collect())
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(5_000)
        .quickcheck(property);
}

#[test]
fn find_equals_naive() {
    fn property(list: List, request: Request) -> bool {
        let rules = compile(&list.0);
        rules.find(&request.subject()) == rules.naive(&request.subject())
    }
    check(property as fn(List, Request) -> bool);
}

#[test]
fn explain_ends_at_decision() {
    fn property(list: List, request: Request) -> bool {
        let rules = compile(&list.0);
        let lines = rules.explain(&request.subject());
        let matched = lines.iter().filter(|l| l.contains(" matches: ")).count();
        match rules.naive(&request.subject()) {
            Some(rule) => lines.len() == rule.as_u32() as usize + 1 && matched == 1,
            None => lines.len() == list.0.len() + 1 && matched == 0,
        }
    }
    check(property as fn(List, Request) -> bool);
}

#[test]
fn unreachable_never_decides() {
    fn property(list: List, request: Request) -> bool {
        let rules = compile(&list.0);
        let found = rules.naive(&request.subject());
        let warnings = rules.unreachable();
        found.is_none_or(|rule| {
            let start = format!("rule {} ", rule.as_u32() + 1);
            !warnings.iter().any(|line| line.starts_with(&start))
        })
    }
    check(property as fn(List, Request) -> bool);
}

#[test]
fn unreachable_finds_shadowed() {
    fn property(list: List) -> bool {
        let rules = compile(&list.0);
        let implied = |early: &When, late: &When| {
            fn covers<T: PartialEq>(early: Option<&T>, late: Option<&T>) -> bool {
                early.is_none() || early == late
            }
            covers(early.caller.as_ref(), late.caller.as_ref())
                && covers(early.tenant.as_ref(), late.tenant.as_ref())
                && covers(early.adapter.as_ref(), late.adapter.as_ref())
                && covers(early.version.as_ref(), late.version.as_ref())
                && covers(early.service.as_ref(), late.service.as_ref())
                && covers(early.class.as_ref(), late.class.as_ref())
                && covers(early.zone.as_ref(), late.zone.as_ref())
                && covers(early.header.as_ref(), late.header.as_ref())
        };
        let shadowed = (0..list.0.len())
            .filter(|j| (0..*j).any(|i| implied(&list.0[i], &list.0[*j])))
            .count();
        rules.unreachable().len() == shadowed
    }
    check(property as fn(List) -> bool);
}

#[test]
fn explain_names_the_difference() {
    let when = When {
        zone: Some("west".parse().unwrap()),
        ..When::default()
    };
    let request = Request {
        fields: vec![String::new(); 7],
        headers: Vec::new(),
    };
    let lines = compile(&[when]).explain(&request.subject());
    assert_eq!(
        lines[0],
        "rule 1 (r0) does not match: zone is not given, wanted west"
    );
}
