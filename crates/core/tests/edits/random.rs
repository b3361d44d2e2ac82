//! Random edits of a small document, for properties of the configuration.
#![allow(dead_code, unreachable_pub, clippy::pedantic)]

use dahliastile_core::config::{
    Adapter, Caller, Change, Document, Edit, Place, Rule, Server, Service, ServiceKind, Then, When,
};
use dahliastile_core::id::Edition;
use quickcheck::{Arbitrary, Gen};

/// Few names, so that edits often meet.
fn number(g: &mut Gen) -> usize {
    usize::arbitrary(g) % 6
}

fn rule(number: usize, priority: i32) -> Rule {
    Rule {
        name: format!("r{number}").parse().unwrap(),
        when: When::default(),
        then: Then {
            priority: Some(priority),
            ..Then::default()
        },
    }
}

fn caller(number: usize, weight: u32) -> Caller {
    Caller {
        name: format!("c{number}").parse().unwrap(),
        tenant: "tenant".parse().unwrap(),
        class: "default".parse().unwrap(),
        token_hash: format!("{number:064x}"),
        weight,
        rate: None,
    }
}

fn service(number: usize) -> Service {
    let model = number.is_multiple_of(2);
    Service {
        name: format!("s{number}").parse().unwrap(),
        kind: if model {
            ServiceKind::Model
        } else {
            ServiceKind::Plain
        },
        fenced: false,
        stall_weight: 1.0,
        batch_weight: 1.0,
        store: model.then(|| "store".parse().unwrap()),
        load_ms: 333,
        base_load_ms: 0,
        non_idempotent: false,
        timeout_ms: 1_000,
        queue: 10,
    }
}

fn server(number: usize, service: usize) -> Server {
    Server {
        name: format!("b{number}").parse().unwrap(),
        service: format!("s{service}").parse().unwrap(),
        zone: "east".parse().unwrap(),
        address: format!("b{number}:80"),
        domain: service
            .is_multiple_of(2)
            .then(|| format!("d{service}").parse().unwrap()),
        leaving: false,
    }
}

/// An adapter.
pub fn adapter(number: usize, service: usize, versions: usize) -> Adapter {
    Adapter {
        name: format!("a{number}"),
        service: format!("s{service}").parse().unwrap(),
        versions: (0..versions).map(|version| version.to_string()).collect(),
    }
}

/// A document of which everything is there under the even numbers.
pub fn document() -> Document {
    Document {
        callers: [0, 2, 4].map(|number| caller(number, 1)).to_vec(),
        services: [0, 1, 2, 3].map(service).to_vec(),
        servers: [0, 2, 4].map(|number| server(number, number % 4)).to_vec(),
        adapters: [0, 2, 4].map(|number| adapter(number, 0, 1)).to_vec(),
        rules: [0, 2, 4].map(|number| rule(number, 0)).to_vec(),
    }
}

fn place(g: &mut Gen) -> Place {
    let anchor = format!("r{}", number(g)).parse().unwrap();
    match u8::arbitrary(g) % 4 {
        0 => Place::First,
        1 => Place::Last,
        2 => Place::Before(anchor),
        _ => Place::After(anchor),
    }
}

fn change(g: &mut Gen) -> Change {
    let n = number(g);
    let other = usize::arbitrary(g) % 4;
    let name = format!("r{n}").parse().unwrap();
    match u8::arbitrary(g) % 13 {
        0 | 1 => Change::InsertRule {
            rule: rule(n, 1),
            place: place(g),
        },
        2 => Change::MoveRule {
            name,
            place: place(g),
        },
        3 => Change::ReplaceRule { rule: rule(n, 2) },
        4 => Change::RemoveRule { name },
        5 => Change::PutCaller(caller(n, 3)),
        6 => Change::RemoveCaller(format!("c{n}").parse().unwrap()),
        7 => Change::PutServer(server(n, other)),
        8 => Change::RemoveServer(format!("b{n}").parse().unwrap()),
        9 => Change::PutAdapter(adapter(n, other, usize::arbitrary(g) % 3)),
        10 => Change::RemoveAdapter(format!("a{n}")),
        11 => Change::RemoveService(format!("s{other}").parse().unwrap()),
        _ => Change::SetRules {
            rules: vec![rule(n, 4), rule((n + 1) % 6, 4)],
        },
    }
}

/// Changes that an operator wants.
#[derive(Clone, Debug)]
pub struct Wish(pub Vec<Change>);

impl Arbitrary for Wish {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = 1 + usize::arbitrary(g) % 3;
        Self((0..length).map(|_| change(g)).collect())
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

impl Wish {
    /// An edit of the first edition.
    pub fn edit(&self, id: &str) -> Edit {
        Edit {
            id: id.to_owned(),
            author: id.to_owned(),
            base: Edition(1),
            changes: self.0.clone(),
        }
    }
}
