//! Server-sent events: the same events, however their bytes are split.

use dahliastile_outside::{Error, Event, Parser};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 0x5EED_0003;
const CASES: usize = 500;
const LIMIT: usize = 4096;

/// A stream in whose text the characters that matter are frequent.
#[derive(Clone, Debug)]
struct Text(String);

impl Arbitrary for Text {
    fn arbitrary(g: &mut Gen) -> Self {
        const PARTS: [&str; 12] = [
            "data:", "data: ", "data", "\n", "\n", "\r\n", "\r", "\n\n", ":", "é", "x", "event: a",
        ];
        let count = usize::arbitrary(g) % 40;
        Self((0..count).map(|_| *g.choose(&PARTS).unwrap()).collect())
    }
}

fn whole(text: &str) -> Vec<Event> {
    let mut events = Vec::new();
    Parser::new(LIMIT)
        .push(text.as_bytes(), &mut events)
        .unwrap();
    events
}

/// The standard's description, taken literally over the whole text.
fn naive(text: &str) -> Vec<Event> {
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut lines: Vec<&str> = text.split('\n').collect();
    lines.pop();
    let mut events = Vec::new();
    let mut data = Vec::new();
    for line in lines {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        match field {
            "" if line.is_empty() && !data.is_empty() => {
                events.push(Event {
                    data: data.join("\n"),
                });
                data.clear();
            }
            "data" => data.push(value.strip_prefix(' ').unwrap_or(value)),
            _ => {}
        }
    }
    events
}

#[test]
fn push_any_split() {
    let mut g = Gen::from_size_and_seed(100, SEED);
    for _ in 0..CASES {
        let Text(text) = Text::arbitrary(&mut g);
        let mut parser = Parser::new(LIMIT);
        let mut events = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(1 + usize::arbitrary(&mut g) % rest.len());
            parser.push(piece, &mut events).unwrap();
            rest = after;
        }
        assert_eq!(events, whole(&text), "{text:?}");
        assert_eq!(events, naive(&text), "{text:?}");
    }
}

#[test]
fn push_overlong_line() {
    let mut events = Vec::new();
    let mut parser = Parser::new(8);
    assert_eq!(parser.push(b"data: 12", &mut events), Ok(()));
    assert!(matches!(
        parser.push(b"3", &mut events),
        Err(Error::Broken(_))
    ));
}

#[test]
fn push_overlong_event() {
    let mut events = Vec::new();
    let mut parser = Parser::new(16);
    let result = parser.push(
        b"data: 1234567\ndata: 1234567\ndata: 1234567\n\n",
        &mut events,
    );
    assert!(matches!(result, Err(Error::Broken(_))));
    assert_eq!(events, []);
}

#[test]
fn push_not_utf8() {
    let result = Parser::new(16).push(b"data: \xff\n\n", &mut Vec::new());
    assert!(matches!(result, Err(Error::Broken(_))));
}
