//! Random messages of every kind.

use std::fmt::Debug;
use std::str::FromStr;

use dahliastile_core::event::{Report, Resident};
use dahliastile_core::id::{Boot, Edition, Fence, Grant, Incarnation, Request};
use dahliastile_core::peer::*;
use dahliastile_core::time::Span;
use quickcheck::{Arbitrary, Gen};

/// A message with all fields drawn at random.
#[derive(Clone, Debug)]
pub(crate) struct Sample(pub(crate) Message);

impl Arbitrary for Sample {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = *g.choose(&[0, 1, 2, 3, 4, 5, 6, 7]).unwrap();
        Self(message(kind, g))
    }
}

/// How many kinds of message there are.
pub(crate) const KINDS: u8 = 8;

/// A message of one kind.
pub(crate) fn message(kind: u8, g: &mut Gen) -> Message {
    match kind {
        0 => Message::Heartbeat(heartbeat(g)),
        1 => Message::Ask(ask(g)),
        2 => Message::Update(update(g)),
        3 => Message::NotHolder(not_holder(g)),
        4 => Message::Claim(claim(g)),
        5 => Message::Verdict(verdict(g)),
        6 => Message::Fetch(fetch(g)),
        _ => Message::Piece(piece(g)),
    }
}

fn draw<T: Arbitrary>(g: &mut Gen) -> T {
    T::arbitrary(g)
}

fn list<T>(g: &mut Gen, item: fn(&mut Gen) -> T) -> Vec<T> {
    let length = usize::arbitrary(g) % (g.size() + 1);
    (0..length).map(|_| item(g)).collect()
}

fn word(g: &mut Gen) -> String {
    let letters = ['a', 'Z', '0', '-', '_', '.', '/', 'é', '鹿'];
    let length = 1 + usize::arbitrary(g) % 40;
    (0..length).map(|_| *g.choose(&letters).unwrap()).collect()
}

fn name<T: FromStr<Err: Debug>>(g: &mut Gen) -> T {
    word(g).parse().unwrap()
}

fn adapter<T: FromStr<Err: Debug>>(g: &mut Gen) -> T {
    format!("{}@{}", word(g), word(g)).parse().unwrap()
}

fn heartbeat(g: &mut Gen) -> Heartbeat {
    Heartbeat {
        members: list(g, member),
        holders: list(g, holder),
    }
}

fn member(g: &mut Gen) -> Member {
    Member {
        vm: name(g),
        address: draw(g),
        zone: name(g),
        incarnation: Incarnation(draw(g)),
        beat: draw(g),
        leaving: draw(g),
        edition: Edition(draw(g)),
    }
}

fn holder(g: &mut Gen) -> Holder {
    Holder {
        domain: name(g),
        vm: name(g),
        fence: Fence(draw(g)),
    }
}

fn ask(g: &mut Gen) -> Ask {
    Ask {
        domain: name(g),
        nonce: draw(g),
        fence: Fence(draw(g)),
        seen: draw(g),
        full: draw(g),
        held: list(g, |g| Held {
            server: name(g),
            adapter: adapter(g),
            in_flight: draw(g),
        }),
        released: list(g, |g| Grant(draw(g))),
        wants: list(g, want),
        uses: list(g, |g| Use {
            adapter: adapter(g),
            arrived: draw(g),
            in_flight: draw(g),
        }),
    }
}

fn want(g: &mut Gen) -> Want {
    Want {
        adapter: adapter(g),
        waiting: draw(g),
        weight: draw(g),
        left: Span(draw(g)),
        waited: Span(draw(g)),
    }
}

fn update(g: &mut Gen) -> Update {
    Update {
        domain: name(g),
        fence: Fence(draw(g)),
        seq: draw(g),
        nonce: draw(g),
        grants: list(g, |g| Granted {
            grant: Grant(draw(g)),
            server: name(g),
            adapter: adapter(g),
        }),
        revokes: list(g, |g| Grant(draw(g))),
        loads: list(g, |g| Load {
            server: name(g),
            report: report(g),
        }),
        expected: list(g, |g| Expected {
            adapter: adapter(g),
            wait: Span(draw(g)),
        }),
    }
}

fn report(g: &mut Gen) -> Report {
    Report {
        boot: Boot(draw(g)),
        ready: draw(g),
        running: draw(g),
        waiting: draw(g),
        batch: draw(g),
        step: Span(draw(g)),
        slots: draw(g),
        age: Span(draw(g)),
        residents: list(g, |g| Resident {
            adapter: adapter(g),
            in_flight: draw(g),
        }),
    }
}

fn not_holder(g: &mut Gen) -> NotHolder {
    NotHolder {
        domain: name(g),
        holder: bool::arbitrary(g).then(|| holder(g)),
    }
}

fn claim(g: &mut Gen) -> Claim {
    let steps = [Step::Take, Step::Free, Step::Done(outcome(g))];
    Claim {
        key: draw(g),
        digest: draw(g),
        request: Request(draw(g)),
        step: g.choose(&steps).unwrap().clone(),
    }
}

fn outcome(g: &mut Gen) -> Outcome {
    let kept = Outcome::Kept {
        status: draw(g),
        content_type: draw(g),
        body: draw(g),
    };
    g.choose(&[kept, Outcome::Whole, Outcome::Unknown])
        .unwrap()
        .clone()
}

fn verdict(g: &mut Gen) -> Verdict {
    let findings = [
        Finding::Granted,
        Finding::Taken(None),
        Finding::Taken(Some(outcome(g))),
        Finding::Reused,
        Finding::Down,
        Finding::NotHome,
    ];
    Verdict {
        key: draw(g),
        request: Request(draw(g)),
        finding: g.choose(&findings).unwrap().clone(),
    }
}

fn fetch(g: &mut Gen) -> Fetch {
    Fetch {
        have: Edition(draw(g)),
        offset: draw(g),
        snapshot: Edition(draw(g)),
    }
}

fn piece(g: &mut Gen) -> Piece {
    let edits = Piece::Edits {
        first: Edition(draw(g)),
        edits: draw(g),
    };
    let snapshot = Piece::Snapshot {
        edition: Edition(draw(g)),
        offset: draw(g),
        total: draw(g),
        hash: draw(g),
        data: draw(g),
    };
    g.choose(&[edits, snapshot]).unwrap().clone()
}
