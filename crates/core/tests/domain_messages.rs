//! One node driven by hand, message by message: what a holder must wait for before it orders, and what a grantee
//! must not take for leave to send.

mod support;

use dahliastile_core::Node;
use dahliastile_core::effect::{Action, Command, Effect};
use dahliastile_core::event::{Cached, Event, Ordered, Report, Resident};
use dahliastile_core::id::{self, Boot, Fence, Grant, Incarnation, Order, Request};
use dahliastile_core::peer::{Ask, Granted, Held, Message, Update, Want};
use dahliastile_core::platform::{Call, Outcome, Reply};
use dahliastile_core::time::{Instant, Span};
use support::setup::{self, Size};
use support::{Fleet, SEC};

const ENGINE: &str = "engine-0";

/// A node taken out of its fleet.
struct Hand {
    node: Node,
    now: Instant,
    revision: u64,
    other: (id::Vm, Incarnation),
    /// Orders that were sent and not answered.
    orders: Vec<Command>,
    /// Messages to the other VM.
    told: Vec<Message>,
    /// Requests sent to the engine.
    sent: usize,
    /// Whether transactions are answered.
    commits: bool,
    /// Whether the engine is polled and did not answer yet.
    polled: bool,
}

impl Hand {
    /// The holder, or the other VM, of a fleet of two VMs and one engine with two slots.
    fn new(holder: bool, fenced: bool) -> Self {
        let size = Size {
            vms: 2,
            engines: 1,
            adapters: 6,
            slots: 2,
            fenced,
            ..Size::small()
        };
        let mut fleet = size.fleet(31);
        if !holder {
            // The grantee knows its holder by a request that it has served.
            let lead = lead(&fleet);
            let ask = fleet.ask(1 - lead, setup::model(5, 1, 2));
            assert!(fleet.finish(ask, 10 * SEC).finished());
        }
        fleet.run_for(SEC);
        let lead = lead(&fleet);
        let vm = if holder { lead } else { 1 - lead };
        let other = &fleet.vms[1 - vm];
        let other = (other.name.clone(), other.incarnation);
        let now = fleet.local(vm);
        let node = fleet.vms[vm].node.take().unwrap();
        let mut hand = Self {
            node,
            now,
            revision: 1_000,
            other,
            orders: Vec::new(),
            told: Vec::new(),
            sent: 0,
            commits: true,
            polled: false,
        };
        hand.run(SEC);
        hand
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.node.step(self.now, event, &mut effects);
            let broken = self.node.verify();
            assert!(broken.is_empty(), "{broken:#?}");
            for effect in effects {
                events.extend(self.act(effect));
            }
        }
    }

    fn act(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Order(command) => self.orders.push(command),
            Effect::Peer { message, .. } => self.told.push(message),
            Effect::Send(_) => self.sent += 1,
            Effect::Poll { .. } => self.polled = true,
            Effect::Platform { op, call } => {
                self.revision += 1;
                let lease = match call {
                    Call::LeaseRenew { lease } => Some(lease),
                    Call::Txn { .. } if self.commits => None,
                    _ => return None,
                };
                let outcome = Outcome::Done(Reply {
                    revision: id::Revision(self.revision),
                    pairs: Vec::new(),
                    lease,
                });
                return Some(Event::Platform { op, outcome });
            }
            _ => {}
        }
        None
    }

    /// Lets time pass, with ticks.
    fn run(&mut self, span: u64) {
        for _ in 0..span / 20_000 {
            self.now += Span::from_millis(20);
            self.step(Event::Tick);
        }
    }

    fn hear(&mut self, message: Message) {
        let (from, incarnation) = self.other.clone();
        self.step(Event::Peer {
            from,
            incarnation,
            message,
        });
    }

    /// The engine answers a poll.
    fn report(&mut self, boot: u64, age: Span, residents: &[usize]) {
        assert!(self.polled, "nobody asked for a report");
        self.polled = false;
        let resident = |i: &usize| Resident {
            adapter: adapter(*i),
            in_flight: 0,
        };
        let report = Report {
            boot: Boot(boot),
            ready: true,
            running: 0,
            waiting: 0,
            batch: 4,
            step: Span(9_000),
            slots: 2,
            age,
            residents: residents.iter().map(resident).collect(),
        };
        self.step(Event::Report {
            server: ENGINE.parse().unwrap(),
            report: Some(report),
        });
    }

    /// Lets time pass while the engine answers each poll at once.
    fn run_reporting(&mut self, span: u64, boot: u64, residents: &[usize]) {
        for _ in 0..span / 20_000 {
            self.run(20_000);
            if self.polled {
                self.report(boot, Span::ZERO, residents);
            }
        }
    }

    fn answer(&mut self, order: Order, outcome: Ordered) {
        self.orders.retain(|command| command.order != order);
        self.step(Event::Ordered { order, outcome });
    }

    fn unloads(&self) -> Vec<Order> {
        self.orders_of(|action| matches!(action, Action::Unload(_)))
    }

    fn loads(&self, i: usize) -> Vec<Order> {
        self.orders_of(|action| *action == Action::Load(adapter(i)))
    }

    fn orders_of(&self, which: impl Fn(&Action) -> bool) -> Vec<Order> {
        let orders = self.orders.iter().filter(|command| which(&command.action));
        orders.map(|command| command.order).collect()
    }

    /// The grants and revokes that the other VM was told of, the last update first.
    fn updates(&self) -> Vec<&Update> {
        let updates = self.told.iter().rev().filter_map(|message| match message {
            Message::Update(update) => Some(update),
            _ => None,
        });
        updates.collect()
    }

    fn asks(&self) -> Vec<&Ask> {
        let asks = self.told.iter().rev().filter_map(|message| match message {
            Message::Ask(ask) => Some(ask),
            _ => None,
        });
        asks.collect()
    }

    /// An ask of the other VM under the holder's number.
    fn ask(&self, nonce: u64) -> Ask {
        let last = self
            .updates()
            .first()
            .map(|update| (update.fence, update.seq));
        let (fence, seen) = last.unwrap_or((Fence(0), 0));
        Ask {
            domain: "base".parse().unwrap(),
            nonce,
            fence,
            seen,
            full: false,
            held: Vec::new(),
            released: Vec::new(),
            wants: Vec::new(),
            uses: Vec::new(),
        }
    }

    /// A request at this VM for an adapter.
    fn request(&mut self, number: u64, i: usize) {
        let request = Request(number);
        let call = Box::new(setup::model(i, number, 3));
        self.step(Event::Arrived { request, call });
    }

    /// Makes the other VM a grantee of adapters 0 and 1, resident on the engine. Gives its grants.
    fn granted(&mut self) -> Vec<Granted> {
        if self.unloads().is_empty() {
            self.run_reporting(SEC, 1, &[0, 1]);
        }
        let fences = self.orders_of(|action| *action == Action::Fence);
        for order in fences {
            self.answer(order, Ordered::Done);
        }
        self.hear(Message::Ask(self.ask(1)));
        self.run(100_000);
        let full = Ask {
            full: true,
            wants: vec![want(0), want(1)],
            ..self.ask(2)
        };
        self.hear(Message::Ask(full));
        let grants = self.updates()[0].grants.clone();
        assert_eq!(grants.len(), 2, "{:?}", self.updates()[0]);
        self.hear(Message::Ask(self.ask(3)));
        self.run_reporting(2 * SEC, 1, &[0, 1]);
        grants
    }

    /// Requests of this VM wait for adapter 2, and a grant was revoked for it.
    fn pressed(&mut self) -> Grant {
        self.request(1, 2);
        let revokes = self.updates()[0].revokes.clone();
        assert!(!revokes.is_empty(), "nothing is revoked");
        revokes[0]
    }
}

fn lead(fleet: &Fleet) -> usize {
    let value = fleet.kv.value("dahliastile/lease/base").expect("a holder");
    usize::from(String::from_utf8_lossy(value).contains("vm-1"))
}

fn adapter(i: usize) -> id::Adapter {
    format!("a{i}@1").parse().unwrap()
}

fn want(i: usize) -> Want {
    Want {
        adapter: adapter(i),
        waiting: 1,
        weight: 1_000,
        left: Span::from_secs(10),
        waited: Span::ZERO,
    }
}

#[test]
fn unload_awaitsrelease() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    let grant = hand.pressed();
    hand.run_reporting(20 * SEC, 1, &[0, 1]);
    assert!(hand.unloads().is_empty(), "unloaded while granted");
    let released = Ask {
        released: vec![grant],
        ..hand.ask(4)
    };
    hand.hear(Message::Ask(released));
    hand.run_reporting(SEC, 1, &[0, 1]);
    assert_eq!(hand.unloads().len(), 1);
}

#[test]
fn unload_awaitsreport() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    let grant = hand.pressed();
    hand.run_reporting(SEC, 1, &[0, 1]);
    let released = Ask {
        released: vec![grant],
        ..hand.ask(4)
    };
    hand.hear(Message::Ask(released));
    // These figures are from before the release.
    for _ in 0..10 {
        hand.run(100_000);
        hand.report(1, Span::from_secs(3), &[0, 1]);
    }
    assert!(hand.unloads().is_empty(), "unloaded on an old report");
    hand.run_reporting(SEC, 1, &[0, 1]);
    assert_eq!(hand.unloads().len(), 1);
}

#[test]
fn unload_awaitsintent() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    hand.commits = false;
    let grant = hand.pressed();
    let released = Ask {
        released: vec![grant],
        ..hand.ask(4)
    };
    hand.hear(Message::Ask(released));
    hand.run_reporting(2 * SEC, 1, &[0, 1]);
    assert!(hand.unloads().is_empty(), "unloaded without a record");
}

#[test]
fn unload_needsnointent() {
    let mut hand = Hand::new(true, true);
    hand.granted();
    hand.commits = false;
    let grant = hand.pressed();
    let released = Ask {
        released: vec![grant],
        ..hand.ask(4)
    };
    hand.hear(Message::Ask(released));
    hand.run_reporting(2 * SEC, 1, &[0, 1]);
    assert_eq!(hand.unloads().len(), 1);
}

#[test]
fn unload_unknown() {
    let mut hand = Hand::new(true, false);
    let grants = hand.granted();
    let grant = hand.pressed();
    let victim = grants.iter().find(|row| row.grant == grant).unwrap();
    let victim = (0..2).find(|i| adapter(*i) == victim.adapter).unwrap();
    let released = Ask {
        released: vec![grant],
        ..hand.ask(4)
    };
    hand.hear(Message::Ask(released));
    hand.run_reporting(SEC, 1, &[0, 1]);
    let order = hand.unloads()[0];
    // The answer is lost, the report says that it is gone, and it is wanted back: it may be hit once more.
    hand.answer(order, Ordered::Unknown);
    let rest = [1 - victim];
    hand.run_reporting(2 * SEC, 1, &rest);
    let load = hand.loads(2)[0];
    hand.answer(
        load,
        Ordered::Refused(dahliastile_core::event::Reason::LoadFailed),
    );
    let wanted = Ask {
        wants: vec![want(victim)],
        ..hand.ask(5)
    };
    hand.hear(Message::Ask(wanted));
    hand.run_reporting(20 * SEC, 1, &rest);
    assert!(
        hand.loads(victim).is_empty(),
        "loaded within the settle time"
    );
}

#[test]
fn ask_late() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    // The first complete list, from before the grants, comes a second time.
    let late = Ask {
        full: true,
        seen: u64::MAX,
        ..hand.ask(2)
    };
    hand.hear(Message::Ask(late));
    hand.pressed();
    hand.run_reporting(5 * SEC, 1, &[0, 1]);
    assert!(hand.unloads().is_empty(), "unloaded while granted");
}

#[test]
fn full_crossing() {
    let mut hand = Hand::new(true, false);
    hand.run_reporting(SEC, 1, &[0, 1]);
    hand.hear(Message::Ask(hand.ask(1)));
    hand.run(100_000);
    let before = hand.ask(3);
    let full = Ask {
        full: true,
        wants: vec![want(0), want(1)],
        ..hand.ask(2)
    };
    hand.hear(Message::Ask(full));
    assert_eq!(hand.updates()[0].grants.len(), 2);
    // A complete list that crossed the update with the grants does not end them.
    hand.hear(Message::Ask(Ask {
        full: true,
        ..before
    }));
    hand.run_reporting(2 * SEC, 1, &[0, 1]);
    hand.request(1, 2);
    hand.run_reporting(5 * SEC, 1, &[0, 1]);
    assert!(hand.unloads().is_empty(), "unloaded while granted");
}

#[test]
fn revoke_namesplace() {
    let mut hand = Hand::new(true, false);
    hand.run_reporting(SEC, 1, &[0, 1]);
    hand.hear(Message::Ask(hand.ask(1)));
    hand.run(100_000);
    // It keeps both from an earlier holder, and never hears the numbers that they get here.
    let seen = hand.ask(2).seen;
    let kept = |i: usize| Held {
        server: ENGINE.parse().unwrap(),
        adapter: adapter(i),
        in_flight: 0,
    };
    let full = Ask {
        full: true,
        held: vec![kept(0), kept(1)],
        ..hand.ask(2)
    };
    hand.hear(Message::Ask(full));
    hand.run_reporting(2 * SEC, 1, &[0, 1]);
    hand.hear(Message::Ask(Ask {
        seen,
        ..hand.ask(3)
    }));
    let revoked = hand.pressed();
    // A number alone would tell it nothing of the place that it is to give back.
    let named = |update: &&Update| update.grants.iter().any(|row| row.grant == revoked);
    assert!(
        hand.updates().iter().take(1).any(named),
        "{:?}",
        hand.updates()[0]
    );
}

#[test]
fn grant_awaitsfence() {
    let mut hand = Hand::new(true, true);
    // A new start of the engine has seen no number yet.
    hand.run_reporting(SEC, 7, &[0, 1]);
    hand.hear(Message::Ask(hand.ask(1)));
    hand.run(100_000);
    let full = Ask {
        full: true,
        wants: vec![want(0)],
        ..hand.ask(2)
    };
    hand.hear(Message::Ask(full));
    hand.run_reporting(SEC, 7, &[0, 1]);
    let granted = hand
        .updates()
        .iter()
        .any(|update| !update.grants.is_empty());
    assert!(!granted, "granted before the engine has the number");
    let fences = hand.orders_of(|action| *action == Action::Fence);
    assert_eq!(fences.len(), 1);
    hand.answer(fences[0], Ordered::Done);
    hand.run_reporting(SEC, 7, &[0, 1]);
    let granted = hand
        .updates()
        .iter()
        .any(|update| !update.grants.is_empty());
    assert!(granted);
}

/// An update of the impersonated holder.
fn update(hand: &Hand, seq: u64, grants: Vec<Granted>, revokes: Vec<Grant>) -> Message {
    Message::Update(Update {
        domain: "base".parse().unwrap(),
        fence: Fence(900),
        seq,
        nonce: hand.asks().first().map_or(0, |ask| ask.nonce),
        grants,
        revokes,
        loads: Vec::new(),
        expected: Vec::new(),
    })
}

fn grant(number: u64, i: usize) -> Granted {
    Granted {
        grant: Grant(number),
        server: ENGINE.parse().unwrap(),
        adapter: adapter(i),
    }
}

#[test]
fn revoke_overtakes() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 2, Vec::new(), vec![Grant(1)]));
    hand.run(SEC);
    assert_eq!(hand.asks()[0].released, [Grant(1)]);
    // The grant comes after its own revocation, late and then once more.
    hand.hear(update(&hand, 1, vec![grant(1, 0)], Vec::new()));
    hand.hear(update(&hand, 3, vec![grant(1, 0)], Vec::new()));
    hand.request(9, 0);
    hand.run(SEC);
    assert_eq!(hand.sent, 0, "sent under a grant that was given back");
    // What was seen never goes back either: a holder may rely on it.
    hand.hear(update(&hand, 2, Vec::new(), vec![Grant(1)]));
    hand.run(SEC);
    assert_eq!(hand.asks()[0].seen, 3);
}

#[test]
fn grant_afterpause() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, vec![grant(1, 0)], Vec::new()));
    hand.request(9, 0);
    assert_eq!(hand.sent, 1);
    hand.hear(update(&hand, 2, vec![grant(2, 1)], Vec::new()));
    hand.now += Span::from_secs(60);
    // Not run for a minute: what nothing is in flight on is over, also when a repeated update still lists it.
    hand.request(10, 1);
    assert_eq!(hand.sent, 1, "sent under a grant from before a pause");
    hand.run(SEC);
    assert!(hand.asks()[0].full);
    hand.hear(update(&hand, 3, vec![grant(2, 1)], Vec::new()));
    hand.run(SEC);
    assert_eq!(hand.sent, 1, "sent under a grant that was dropped");
    hand.hear(update(&hand, 4, vec![grant(3, 1)], Vec::new()));
    assert_eq!(hand.sent, 2);
}

#[test]
fn update_earlierstart() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, Vec::new(), Vec::new()));
    // Meant for an earlier start of this VM, whose grants the holder ends as soon as it knows that it is over.
    let Message::Update(old) = update(&hand, 40, vec![grant(7, 0)], Vec::new()) else {
        unreachable!()
    };
    hand.hear(Message::Update(Update {
        nonce: old.nonce ^ (1 << 40),
        ..old
    }));
    hand.request(9, 0);
    hand.run(SEC);
    assert_eq!(hand.sent, 0, "sent under a grant of an earlier start");
    hand.hear(update(&hand, 2, vec![grant(8, 0)], Vec::new()));
    assert_eq!(hand.sent, 1);
}

#[test]
fn start_forgotten() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    let seq = hand.updates()[0].seq;
    let last = Ask {
        uses: vec![dahliastile_core::peer::Use {
            adapter: adapter(0),
            arrived: 1,
            in_flight: 0,
        }],
        ..hand.ask(9)
    };
    // It seems to be gone for a while, and is not: its numbers go on, and it must tell all that it holds.
    for _ in 0..8 {
        let vm = hand.other.0.clone();
        hand.step(Event::PeerDown { vm, refused: true });
        hand.run_reporting(2 * SEC, 1, &[0, 1]);
    }
    hand.told.clear();
    hand.hear(Message::Ask(last.clone()));
    let asked = |message: &Message| matches!(message, Message::NotHolder(_));
    assert!(hand.told.iter().any(asked), "{:?}", hand.told);
    assert!(hand.updates().iter().all(|update| update.grants.is_empty()));
    assert!(hand.updates()[0].seq > seq);
    hand.hear(Message::Ask(Ask {
        full: true,
        nonce: 10,
        ..last
    }));
    assert_eq!(hand.updates()[0].grants.len(), 1);
}

#[test]
fn holder_older() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, Vec::new(), Vec::new()));
    let Message::Update(old) = update(&hand, 50, vec![grant(7, 0)], Vec::new()) else {
        unreachable!()
    };
    hand.hear(Message::Update(Update {
        fence: Fence(899),
        ..old
    }));
    hand.request(9, 0);
    hand.run(SEC);
    assert_eq!(hand.sent, 0, "sent under a grant of an earlier holder");
}

#[test]
fn holder_newer() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, vec![grant(1, 0), grant(2, 1)], Vec::new()));
    let Message::Update(new) = update(&hand, 1, Vec::new(), Vec::new()) else {
        unreachable!()
    };
    hand.hear(Message::Update(Update {
        fence: Fence(901),
        ..new
    }));
    hand.run(SEC);
    let ask = hand.asks()[0];
    assert!(ask.full && ask.fence == Fence(901), "{ask:?}");
    let held = |i: usize| Held {
        server: ENGINE.parse().unwrap(),
        adapter: adapter(i),
        in_flight: 0,
    };
    assert!(ask.held.contains(&held(0)) && ask.held.contains(&held(1)));
    // What is kept is used on; a revocation under an old number means nothing now.
    hand.hear(update(&hand, 2, Vec::new(), vec![Grant(1)]));
    hand.request(9, 0);
    assert_eq!(hand.sent, 1);
}

#[test]
fn holder_newerrevokes() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, vec![grant(1, 0), grant(2, 1)], Vec::new()));
    let newer = |hand: &Hand, grants: Vec<Granted>, revokes: Vec<Grant>| {
        let Message::Update(update) = update(hand, 7, grants, revokes) else {
            unreachable!()
        };
        Message::Update(Update {
            fence: Fence(901),
            ..update
        })
    };
    // The first update of the newer holder that comes through already takes one back.
    hand.hear(newer(&hand, vec![grant(1, 0), grant(2, 1)], vec![Grant(1)]));
    hand.request(9, 0);
    hand.request(10, 1);
    hand.run(SEC);
    assert_eq!(hand.sent, 1);
    assert_eq!(hand.asks()[0].released, [Grant(1)]);
}

#[test]
fn release_awaitsguard() {
    let mut hand = Hand::new(false, false);
    hand.hear(update(&hand, 1, vec![grant(1, 0)], Vec::new()));
    hand.request(9, 0);
    assert_eq!(hand.sent, 1);
    // The caller leaves at once: its request may still be on its way to the engine.
    hand.step(Event::Gone {
        request: Request(9),
    });
    hand.hear(update(&hand, 2, Vec::new(), vec![Grant(1)]));
    hand.run(400_000);
    let early = hand.asks().iter().any(|ask| ask.released == [Grant(1)]);
    assert!(!early, "given back while a request may be on its way");
    hand.run(SEC);
    assert_eq!(hand.asks()[0].released, [Grant(1)]);
}

/// Guards against a node that ends, or decides by a sum that has left its range, as an engine or another VM sends a number as
/// large as its type has.
#[test]
fn numbers_anyareborne() {
    let mut hand = Hand::new(true, false);
    hand.granted();
    for (round, number) in (0..).zip([0, 1, u64::from(u32::MAX), 1 << 40, u64::MAX - 1, u64::MAX]) {
        let narrow = u32::try_from(number).unwrap_or(u32::MAX);
        let report = Report {
            boot: Boot(1),
            ready: true,
            running: narrow,
            waiting: narrow,
            batch: narrow,
            step: Span(number),
            slots: narrow,
            age: Span::ZERO,
            residents: vec![Resident {
                adapter: adapter(0),
                in_flight: narrow,
            }],
        };
        let server: id::Server = ENGINE.parse().unwrap();
        let changes = [number, 0, number].map(|seq| Cached {
            seq,
            prefix: seq,
            stored: true,
        });
        self::report(&mut hand, report, &server);
        hand.step(Event::Cache {
            server: server.clone(),
            changes: changes.to_vec(),
        });
        let ask = Ask {
            wants: vec![Want {
                waiting: narrow,
                weight: narrow,
                left: Span(number),
                waited: Span(number),
                ..want(3)
            }],
            ..hand.ask(10 + round)
        };
        hand.hear(Message::Ask(ask));
        hand.request(100 + round, 2);
        hand.run(SEC);
    }
    hand.hear(Message::Ask(Ask {
        full: true,
        ..hand.ask(20)
    }));
    hand.run_reporting(20 * SEC, 1, &[1]);
    assert!(!hand.loads(2).is_empty(), "nothing is loaded any more");
}

/// The engine's next answer to a poll.
fn report(hand: &mut Hand, report: Report, server: &id::Server) {
    for _ in 0..100 {
        if hand.polled {
            break;
        }
        hand.run(20_000);
    }
    assert!(hand.polled, "nobody asked for a report");
    hand.polled = false;
    hand.step(Event::Report {
        server: server.clone(),
        report: Some(report),
    });
}
