//! Who is admitted and who yields, case by case.

use dahliastile_core::time::Instant;
use dahliastile_intake::{Capacity, Grant, Holder, Ledger, Machine, Phase, Port, SMALL, Size, Use};

const CONNECTION: Size = Size::kib(16);
const LARGE: Size = Size::mib(1);

fn ledger() -> Ledger {
    let machine = Machine {
        memory: Size::mib(64),
        descriptors: 680,
    };
    Ledger::new(Capacity::of(machine, 2).expect("it is large enough"))
}

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

/// Opens a connection that reads a request.
fn reading(ledger: &mut Ledger, now: Instant) -> Holder {
    let opened = ledger.open(Port::Callers, CONNECTION, now);
    let holder = opened.expect("there is a place");
    ledger.enter(holder, Phase::Reading, now);
    holder
}

/// Has new connections take large requests until one is not granted.
fn fill(ledger: &mut Ledger, now: Instant) -> (Vec<Holder>, Grant) {
    let mut holders = Vec::new();
    loop {
        let holder = reading(ledger, now);
        match ledger.grow(holder, Use::Request, LARGE, now) {
            Grant::Granted => holders.push(holder),
            other => return (holders, other),
        }
    }
}

#[test]
fn grow_fulloflarge() {
    let mut ledger = ledger();
    let (holders, last) = fill(&mut ledger, at(0));
    assert_eq!(last, Grant::Refused, "all of them make progress");
    let more = |ledger: &mut Ledger| ledger.grow(holders[0], Use::Request, Size(1_024), at(0));
    while more(&mut ledger) == Grant::Granted {}
    let small = reading(&mut ledger, at(0));
    let grant = ledger.grow(small, Use::Request, SMALL, at(0));
    assert_eq!(grant, Grant::Granted, "part is kept for small ones");
}

#[test]
fn grow_stalledyields() {
    let mut ledger = ledger();
    let (holders, _) = fill(&mut ledger, at(0));
    let (first, rest) = holders.split_first().expect("some");
    for h in rest {
        ledger.progress(*h, 4 << 20, at(900));
    }
    let newcomer = reading(&mut ledger, at(1_000));
    let grow = |ledger: &mut Ledger| ledger.grow(newcomer, Use::Request, LARGE, at(1_000));
    assert_eq!(grow(&mut ledger), Grant::Wait);
    assert_eq!(ledger.take_yielding(), [*first], "only the one that stalls");
    assert_eq!(grow(&mut ledger), Grant::Wait, "it has not ended yet");
    assert_eq!(ledger.take_yielding(), []);
    ledger.shrink(*first, Use::Request, LARGE);
    assert_eq!(grow(&mut ledger), Grant::Granted);
}

#[test]
fn enter_runningwhileityields() {
    let mut ledger = ledger();
    let (holders, _) = fill(&mut ledger, at(0));
    let newcomer = reading(&mut ledger, at(1_000));
    let grow = |ledger: &mut Ledger| ledger.grow(newcomer, Use::Request, LARGE, at(1_000));
    assert_eq!(grow(&mut ledger), Grant::Wait);
    let yielding = ledger.take_yielding()[0];
    ledger.enter(yielding, Phase::Running, at(1_000));
    assert!(!ledger.is_yielding(yielding), "its request was passed on");
    assert_eq!(grow(&mut ledger), Grant::Wait, "another one yields");
    assert!(holders.contains(&yielding) && ledger.take_yielding() != [yielding]);
}

#[test]
fn grow_trickledoesnotcount() {
    let mut ledger = ledger();
    let (holders, _) = fill(&mut ledger, at(0));
    for millis in 1..1_000 {
        let bytes = usize::from(millis % 100 == 0);
        for h in &holders {
            ledger.progress(*h, bytes, at(millis));
        }
    }
    let newcomer = reading(&mut ledger, at(1_000));
    let grant = ledger.grow(newcomer, Use::Request, LARGE, at(1_000));
    assert_eq!(grant, Grant::Wait, "ten bytes a second are no progress");
}

#[test]
fn grow_runningdoesnotyield() {
    let mut ledger = ledger();
    let (holders, _) = fill(&mut ledger, at(0));
    for h in &holders {
        ledger.enter(*h, Phase::Running, at(0));
    }
    let newcomer = reading(&mut ledger, at(60_000));
    let grant = ledger.grow(newcomer, Use::Request, LARGE, at(60_000));
    assert_eq!(grant, Grant::Refused);
}

#[test]
fn grow_answerhasitspart() {
    let mut ledger = ledger();
    let (holders, _) = fill(&mut ledger, at(0));
    for h in &holders {
        ledger.enter(*h, Phase::Running, at(0));
    }
    let grant = ledger.grow(holders[0], Use::Answer, LARGE, at(0));
    assert_eq!(grant, Grant::Granted, "else none of them would ever end");
}

#[test]
fn grow_unreadansweryieldslate() {
    let mut ledger = ledger();
    let mut holders = Vec::new();
    while let Ok(holder) = ledger.open(Port::Callers, CONNECTION, at(0)) {
        if ledger.grow(holder, Use::Answer, LARGE, at(0)) != Grant::Granted {
            break;
        }
        ledger.enter(holder, Phase::Writing, at(0));
        holders.push(holder);
    }
    let newcomer = reading(&mut ledger, at(4_000));
    let early = ledger.grow(newcomer, Use::Answer, LARGE, at(4_000));
    assert_eq!(early, Grant::Refused, "a reader may pause for a while");
    let late = ledger.grow(newcomer, Use::Answer, LARGE, at(6_000));
    assert_eq!(late, Grant::Wait);
    assert!(holders.contains(&ledger.take_yielding()[0]));
}

#[test]
fn grow_onlyoneincalm() {
    let mut ledger = ledger();
    let holder = reading(&mut ledger, at(0));
    let largest = ledger.capacity().largest(CONNECTION);
    assert_eq!(
        ledger.grow(holder, Use::Request, largest, at(0)),
        Grant::Granted
    );
    assert_eq!(
        ledger.grow(holder, Use::Request, Size(1), at(0)),
        Grant::Refused
    );
}

#[test]
fn open_fullofsilence() {
    let mut ledger = ledger();
    let mut opened = Vec::new();
    while let Ok(holder) = ledger.open(Port::Callers, CONNECTION, at(0)) {
        opened.push(holder);
    }
    assert_eq!(opened.len(), ledger.capacity().callers);
    let now = at(1_000);
    assert_eq!(
        ledger.open(Port::Callers, CONNECTION, now),
        Err(Grant::Wait)
    );
    let yielded = ledger.take_yielding();
    assert_eq!(yielded.len(), 1);
    ledger.close(yielded[0]);
    assert!(ledger.open(Port::Callers, CONNECTION, now).is_ok());
    assert!(
        ledger.open(Port::Trusted, CONNECTION, now).is_ok(),
        "another way in"
    );
}

#[test]
fn close_inuse() {
    let mut ledger = ledger();
    let holder = reading(&mut ledger, at(0));
    assert_eq!(
        ledger.grow(holder, Use::Request, LARGE, at(0)),
        Grant::Granted
    );
    ledger.close(holder);
    assert_eq!(ledger.total(), LARGE, "a copy is still in use");
    ledger.shrink(holder, Use::Request, LARGE);
    assert_eq!(
        (ledger.total(), ledger.connections(Port::Callers)),
        (Size::ZERO, 0)
    );
    ledger.shrink(holder, Use::Request, LARGE);
    assert_eq!(ledger.verify(), Vec::<String>::new());
}

#[test]
fn capacity_toosmall() {
    let of = |memory, descriptors| {
        Capacity::of(
            Machine {
                memory,
                descriptors,
            },
            2,
        )
        .is_ok()
    };
    assert!(of(Size::megabytes(80), 600));
    assert!(!of(Size::megabytes(8), 600));
    assert!(!of(Size::megabytes(80), 100));
}

#[test]
fn open_fullofanswers() {
    let mut ledger = ledger();
    let holder = reading(&mut ledger, at(0));
    ledger.enter(holder, Phase::Running, at(0));
    while ledger.grow(holder, Use::Answer, Size::kib(1), at(0)) == Grant::Granted {}
    let small = reading(&mut ledger, at(0));
    let grant = ledger.grow(small, Use::Request, SMALL, at(0));
    assert_eq!(
        grant,
        Grant::Granted,
        "answers leave room for others to come"
    );
}

#[test]
fn capacity_linksofalargefleet() {
    const VMS: usize = 720;
    let machine = Machine {
        memory: Size::megabytes(160),
        descriptors: 4_100,
    };
    let capacity = Capacity::of(machine, 2).expect("it is large enough");
    assert!(capacity.links >= VMS, "each VM has a link to a scheduler");
    let sockets = (capacity.callers + capacity.trusted) * 2 + capacity.links;
    assert!(sockets < machine.descriptors, "some are left");
}
