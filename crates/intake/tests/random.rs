//! Random series in virtual time: clients that send, stall, leave, and read answers or don't, in any order. A record of its own
//! says what each holds.

use std::collections::BTreeMap;

use dahliastile_core::time::{Instant, Span};
use dahliastile_intake::{Capacity, Grant, Holder, Ledger, Machine, Phase, Port, SMALL, Size, Use};
use quickcheck::Gen;

/// Series of a run without `SEEDS`, and steps of each.
const SEEDS: u64 = 20;
const STEPS: usize = 6_000;
/// What a connection takes itself.
const CONNECTION: Size = Size::kib(16);
/// Without a byte for this time, a client makes no progress.
const STALL: Span = Span::from_millis(300);

/// What a client holds, and when it last sent or read enough.
#[derive(Clone, Debug)]
struct Client {
    phase: Phase,
    port: Port,
    held: [Size; 2],
    active: Instant,
    yields: bool,
}

struct Series {
    random: Gen,
    now: Instant,
    ledger: Ledger,
    clients: BTreeMap<Holder, Client>,
    /// Connections that have ended while some of what they held is in use.
    rests: Vec<(Holder, [Size; 2])>,
    /// Whether few clients leave.
    is_crowd: bool,
    granted: usize,
    refused: usize,
    yielded: usize,
    /// Small requests for which somebody had to yield.
    small_waits: usize,
}

const PARTS: [Use; 2] = [Use::Request, Use::Answer];

impl Series {
    fn new(seed: u64) -> Self {
        let mut random = Gen::from_size_and_seed(64, seed);
        let memory = Size::megabytes(*random.choose(&[40, 80, 260, 512]).expect("one"));
        let descriptors = *random.choose(&[600, 1_200, 4_100]).expect("one");
        let machine = Machine {
            memory,
            descriptors,
        };
        Self {
            random,
            now: Instant(1),
            ledger: Ledger::new(Capacity::of(machine, 2).expect("large enough")),
            clients: BTreeMap::new(),
            rests: Vec::new(),
            is_crowd: seed.is_multiple_of(2),
            granted: 0,
            refused: 0,
            yielded: 0,
            small_waits: 0,
        }
    }

    fn pick<T: Copy>(&mut self, options: &[T]) -> T {
        *self.random.choose(options).expect("there are some")
    }

    fn holder(&mut self) -> Option<Holder> {
        let holders: Vec<Holder> = self.clients.keys().copied().collect();
        self.random.choose(&holders).copied()
    }

    fn step(&mut self) {
        // A crowd comes, sends and stays; else as many leave as come.
        let steps: &[u8] = if self.is_crowd {
            &[0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 4, 4, 7]
        } else {
            &[0, 0, 0, 1, 1, 1, 1, 2, 2, 3, 4, 5, 6, 7]
        };
        match self.pick(steps) {
            0 => self.open(),
            1 => self.grow(),
            2 => self.progress(),
            3 => self.shrink(),
            4 => self.enter(),
            5 => self.close(),
            6 => self.end_rest(),
            _ => {
                let passed = self.pick(&[1, 20, 400, 7_000]);
                self.now += Span::from_millis(passed);
            }
        }
        self.yielding();
    }

    fn open(&mut self) {
        let port = self.pick(&[Port::Callers, Port::Callers, Port::Callers, Port::Trusted]);
        let opened = self.ledger.open(port, CONNECTION, self.now);
        if let Ok(holder) = opened {
            let client = Client {
                phase: Phase::Idle,
                port,
                held: [Size::ZERO; 2],
                active: self.now,
                yields: false,
            };
            assert!(self.clients.insert(holder, client).is_none());
        }
    }

    fn grow(&mut self) {
        let Some(holder) = self.holder() else {
            return;
        };
        let client = self.clients[&holder].clone();
        let place = usize::from(client.phase == Phase::Running);
        let extra = self.pick(&[Size(1), Size::kib(8), SMALL, Size::mib(1), Size::mib(4)]);
        let request = client.held[0] + extra;
        let is_small = place == 0 && request <= SMALL && !client.yields;
        match self.ledger.grow(holder, PARTS[place], extra, self.now) {
            Grant::Granted => {
                self.granted += 1;
                let client = self.clients.get_mut(&holder).expect("it is there");
                client.held[place] += extra;
            }
            Grant::Wait => self.small_waits += usize::from(is_small),
            Grant::Refused => {
                self.refused += 1;
                assert!(
                    !is_small || !self.stalls_beyond(holder, request),
                    "{client:?}"
                );
            }
        }
    }

    /// Whether a client that sends, and holds more than `request`, has sent nothing for a while.
    fn stalls_beyond(&self, asker: Holder, request: Size) -> bool {
        self.clients.iter().any(|(holder, client)| {
            let stalls = self.now.since(client.active) >= STALL && !client.yields;
            *holder != asker && client.phase == Phase::Reading && client.held[0] > request && stalls
        })
    }

    fn progress(&mut self) {
        if let Some(holder) = self.holder() {
            let bytes = self.pick(&[1 << 10, 1 << 14, 1 << 24]);
            self.ledger.progress(holder, bytes, self.now);
            self.clients.get_mut(&holder).expect("it is there").active = self.now;
        }
    }

    fn shrink(&mut self) {
        if let Some(holder) = self.holder() {
            let place = self.pick(&[0, 1]);
            let client = self.clients.get_mut(&holder).expect("it is there");
            let size = std::mem::take(&mut client.held[place]);
            self.ledger.shrink(holder, PARTS[place], size);
        }
    }

    fn enter(&mut self) {
        if let Some(holder) = self.holder() {
            let phases = [Phase::Idle, Phase::Reading, Phase::Running, Phase::Writing];
            let phase = if self.is_crowd {
                self.pick(&[Phase::Reading, Phase::Reading, Phase::Running])
            } else {
                self.pick(&phases)
            };
            self.ledger.enter(holder, phase, self.now);
            let client = self.clients.get_mut(&holder).expect("it is there");
            if client.phase != phase {
                client.active = self.now;
            }
            client.phase = phase;
            client.yields &= phase != Phase::Running;
        }
    }

    fn close(&mut self) {
        if let Some(holder) = self.holder() {
            self.end(holder);
        }
    }

    fn end(&mut self, holder: Holder) {
        self.ledger.close(holder);
        let client = self.clients.remove(&holder).expect("it is there");
        self.rests.push((holder, client.held));
    }

    /// What a connection that has ended held is dropped.
    fn end_rest(&mut self) {
        if let Some((holder, held)) = self.rests.pop() {
            for (part, size) in PARTS.into_iter().zip(held) {
                self.ledger.shrink(holder, part, size);
            }
        }
    }

    /// Those that yield end, some of them later.
    fn yielding(&mut self) {
        if self.is_crowd {
            self.end_rest();
        }
        for holder in self.ledger.take_yielding() {
            self.yielded += 1;
            let client = self
                .clients
                .get_mut(&holder)
                .expect("who yields is connected");
            assert!(!client.yields, "told twice");
            assert_ne!(client.phase, Phase::Running, "{client:?}");
            client.yields = true;
        }
        let yielding = self.clients.iter().filter(|(_, client)| client.yields);
        let yielding: Vec<Holder> = yielding.map(|(holder, _)| *holder).collect();
        for holder in yielding {
            if self.pick(&[true, true, false]) {
                self.end(holder);
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.ledger.verify(), Vec::<String>::new());
        let held = self.clients.values().map(|client| client.held);
        let rests = self.rests.iter().map(|(_, held)| *held);
        let held: Size = held.chain(rests).flatten().sum();
        let total = held + CONNECTION * self.clients.len();
        assert_eq!(self.ledger.total(), total, "as the record has it");
        let capacity = self.ledger.capacity();
        assert!(total <= capacity.memory, "{total} of {}", capacity.memory);
        for port in [Port::Callers, Port::Trusted] {
            let open = self.clients.values().filter(|c| c.port == port).count();
            assert!(open <= capacity.connections(port), "{port:?}: {open}");
        }
    }

    /// All leave.
    fn end_all(&mut self) {
        let holders: Vec<Holder> = self.clients.keys().copied().collect();
        for holder in holders {
            self.end(holder);
        }
        while !self.rests.is_empty() {
            self.end_rest();
        }
        self.check();
        assert_eq!(self.ledger.total(), Size::ZERO, "nothing leaks");
        assert_eq!(self.ledger.connections(Port::Callers), 0);
    }
}

#[test]
fn ledger_randomseries() {
    let seeds = std::env::var("SEEDS").ok();
    let seeds = seeds.map_or(SEEDS, |seeds| seeds.parse().expect("a number"));
    let mut counts = [0; 4];
    for seed in 1..=seeds {
        println!("seed {seed}");
        let mut series = Series::new(seed);
        for _ in 0..STEPS {
            series.step();
            series.check();
        }
        series.end_all();
        let of = [
            series.granted,
            series.refused,
            series.yielded,
            series.small_waits,
        ];
        counts
            .iter_mut()
            .zip(of)
            .for_each(|(count, of)| *count += of);
    }
    println!("granted, refused, yielded, small ones that waited: {counts:?}");
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}
