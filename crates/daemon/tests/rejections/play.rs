//! Callers with kept connections at a number of VMs, whose servers reject requests and answer some of them once more.

use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::fmt;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_standin::fleet::{Asked, Capacity, CopyForm, Fault, Repeat, Replica};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::channel::{Answer, Channel};
use crate::fleet::{Fleet, Vm, config, until};

/// VMs and time of the short form.
const SHORT_VMS: u8 = 3;
const SHORT: Duration = Duration::from_secs(2);
/// VMs that start together.
const BATCH: usize = 10;
/// Servers of each kind.
const PLAIN: usize = 4;
const ENGINES: usize = 3;
/// What a plain server takes at a time.
const CAPACITY: Capacity = Capacity {
    slots: 6,
    queue: 24,
    work: Duration::from_millis(15),
};
/// The share of unsafe requests among those for plain servers.
const UNSAFE_SHARE: f64 = 130.0 / (130.0 + 29.9);
/// Requests per second for plain servers, and streams, outside bursts.
const PLAIN_RATE: f64 = 600.0;
const STREAM_RATE: f64 = 150.0;
/// Callers of one VM, which take turns.
const CALLERS: usize = 2;
/// How often callers don't pause for a while, in milliseconds.
const BURST_EVERY: u128 = 2_000;
const BURST: u128 = 300;
/// Adapters, and how long one of them is asked for more than the others, in milliseconds.
const ADAPTERS: u128 = 8;
const ADAPTER_TIME: u128 = 500;
/// How long a request may run after the play.
const LATER: Duration = Duration::from_millis(1_500);
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The rules that are checked.
const RULES: [&str; 3] = ["REFUSED", "TWICE", "MIXED"];
/// Cases of a rule that are printed.
const EXAMPLES: usize = 3;
/// The header that tells requests apart whatever their ids are.
pub(crate) const MARK: &str = "x-mark";

/// The ids of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ids {
    /// Each has its own.
    Own,
    /// The callers of a VM use the same ones.
    Shared,
    /// There are none.
    None,
}

/// What servers do.
#[derive(Clone, Debug)]
pub(crate) struct Play {
    /// Which answers they send once more.
    pub(crate) repeat: Repeat,
    /// How they send copies.
    pub(crate) form: CopyForm,
    /// The ids of requests.
    pub(crate) ids: Ids,
    /// Faults that meet shares of the requests.
    pub(crate) faults: Vec<(Fault, f64)>,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            repeat: Repeat::Rejections,
            form: CopyForm::default(),
            ids: Ids::Own,
            faults: vec![(Fault::Full, 0.05), (Fault::Misdirected, 0.02)],
        }
    }
}

/// How much is played: `VMS`, `SECONDS` and `SEED` of the environment, or the short form.
struct Size {
    vms: u8,
    span: Duration,
    seed: u64,
}

impl Size {
    fn from_environment() -> Self {
        let number = |name: &str| {
            let text = env::var(name).ok()?;
            Some(text.parse::<u64>().expect("a number"))
        };
        let vms = number("VMS").map(|vms| u8::try_from(vms).expect("at most 229 VMs"));
        Self {
            vms: vms.unwrap_or(SHORT_VMS),
            span: number("SECONDS").map_or(SHORT, Duration::from_secs),
            seed: number("SEED").unwrap_or(1),
        }
    }
}

/// The route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Unsafe,
    Safe,
    Stream,
}

/// A request of a caller.
struct Request {
    mark: String,
    id: Option<String>,
    route: Route,
    answer: Answer,
}

/// What came of a play.
#[derive(Default)]
struct Outcome {
    requests: BTreeMap<String, usize>,
    served: usize,
    refused: usize,
    copies_made: usize,
    copies_met: usize,
    rejected: usize,
    /// How often a server got a request once more that it had rejected.
    again: usize,
    unmatched: u64,
    statuses: BTreeMap<u16, usize>,
    broken: Vec<Broken>,
}

/// A rule that was broken.
struct Broken {
    rule: &'static str,
    what: String,
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |rule| self.broken.iter().filter(|b| b.rule == rule).count();
        write!(
            out,
            "requests {:?}, served {}, refused {}, statuses {:?}, rejections of servers {}, requests at a server once more {}, copies {} of which {} met a request, \
             answers unmatched {}, REFUSED {}, TWICE {}, MIXED {}",
            self.requests,
            self.served,
            self.refused,
            self.statuses,
            self.rejected,
            self.again,
            self.copies_made,
            self.copies_met,
            self.unmatched,
            count("REFUSED"),
            count("TWICE"),
            count("MIXED"),
        )
    }
}

impl Play {
    /// Plays and checks that no rule is broken, and that the play could break one.
    pub(crate) fn check(&self, name: &str) {
        let size = Size::from_environment();
        let fleet = self.fleet(&size);
        let asked = self.callers(&fleet, &size);
        thread::sleep(LATER);
        let outcome = outcome(&fleet, &asked);
        println!(
            "{name}: seed {}, {} VMs, {} s: {outcome}",
            size.seed,
            size.vms,
            size.span.as_secs()
        );
        let examples = |rule| {
            let broken = outcome.broken.iter().filter(move |b| b.rule == rule);
            broken.take(EXAMPLES)
        };
        let broken = RULES.into_iter().flat_map(examples);
        let broken: Vec<_> = broken.map(|b| format!("{} {}", b.rule, b.what)).collect();
        assert!(outcome.broken.is_empty(), "{outcome}; {broken:#?}");
        assert!(outcome.rejected > 0, "no server rejected a request");
        assert!(outcome.copies_made > 0, "no answer was sent once more");
        // A connection with an answer that can't be told from others need not be used again.
        if self.ids == Ids::Own {
            assert!(outcome.copies_met > 0, "no copy met a request");
        }
        assert_eq!(outcome.requests.len(), 3, "a kind of request is missing");
        assert!(outcome.served * 2 > asked.len(), "few requests were served");
    }

    /// Servers and VMs that are ready.
    fn fleet(&self, size: &Size) -> Fleet {
        let mut fleet = Fleet::servers();
        fleet.logs = env::var("LOGS").ok().map(PathBuf::from);
        while fleet.plain.len() < PLAIN {
            fleet.add_plain();
        }
        while fleet.engines.len() < ENGINES {
            // The build of the other engines, as their entries say.
            let number = fleet.add_engine("v1");
            assert!(number < ENGINES);
        }
        for (number, server) in (0..).zip(&fleet.plain) {
            server.set_capacity(CAPACITY);
            fleet.list_plain(number);
        }
        let mut config = config(1);
        config["services"][0]["maxConns"] = 740.into();
        config["services"][1]["maxConns"] = 480.into();
        fleet.store.put("op/config", &config);
        while fleet.vms.len() < usize::from(size.vms) {
            let first = fleet.vms.len();
            let last = (first + BATCH).min(usize::from(size.vms));
            for number in first..last {
                let number = u8::try_from(number + 1).expect("few VMs");
                fleet.vms.push(fleet.start(number, None));
            }
            for vm in &fleet.vms[first..] {
                until("a VM is ready", || vm.ready());
            }
        }
        until("an engine service has a scheduler", || {
            fleet.holder().is_some()
        });
        for (number, server) in (1..).zip(fleet.plain.iter().chain(&fleet.engines)) {
            server.set_repeat(self.repeat);
            server.set_copy_form(self.form);
            server.set_rejects_loading(number % 2 == 0);
            server.set_fault_shares(&self.faults, size.seed.wrapping_mul(1_000) + number);
        }
        fleet
    }

    /// Has callers ask until the time is over. Returns what they asked.
    fn callers(&self, fleet: &Fleet, size: &Size) -> Vec<Request> {
        let from = Instant::now();
        let vms = f64::from(size.vms);
        let callers = f64::from(u8::try_from(CALLERS).expect("few callers"));
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for (number, vm) in (0..).zip(&fleet.vms) {
                for (part, rate) in [(0, PLAIN_RATE / callers), (1, STREAM_RATE)] {
                    let caller = Caller {
                        ids: self.ids,
                        name: format!("{:x}-{number}-{part}", size.seed),
                        random: ChaCha8Rng::seed_from_u64(size.seed * 1_000 + number * 2 + part),
                        pause: vms / rate,
                        from,
                        span: size.span,
                        last: 0,
                        asked: Vec::new(),
                    };
                    let ask = if part == 0 {
                        Caller::ask_plain
                    } else {
                        Caller::ask_streams
                    };
                    threads.push(scope.spawn(move || ask(caller, vm)));
                }
            }
            let ended = threads.into_iter().map(|t| t.join().expect("callers end"));
            ended.flatten().collect()
        })
    }
}

/// The callers of a VM that ask for one kind of server.
struct Caller {
    ids: Ids,
    /// The start of all its ids and marks.
    name: String,
    random: ChaCha8Rng,
    /// The mean time between two requests, in seconds.
    pause: f64,
    from: Instant,
    span: Duration,
    /// The number of the last mark.
    last: u64,
    asked: Vec<Request>,
}

impl Caller {
    /// Asks plain servers, on a kept connection for each caller.
    fn ask_plain(mut self, vm: &Vm) -> Vec<Request> {
        let mut channels: [Channel; CALLERS] = std::array::from_fn(|_| Channel::new(vm));
        let mut round = 0;
        while self.from.elapsed() < self.span {
            round += 1;
            let is_unsafe = self.random.random_bool(UNSAFE_SHARE);
            let route = if is_unsafe {
                Route::Unsafe
            } else {
                Route::Safe
            };
            for (number, channel) in channels.iter_mut().enumerate() {
                let id = match self.ids {
                    Ids::Own => Some(format!("{}-{round}-{number}", self.name)),
                    Ids::Shared => Some(format!("{}-{round}", self.name)),
                    Ids::None => None,
                };
                self.ask(channel, route, id);
            }
            self.rest();
        }
        self.asked
    }

    /// Asks engines, one stream after the other; each second one has the id of the one before where ids are shared.
    fn ask_streams(mut self, vm: &Vm) -> Vec<Request> {
        let mut channel = Channel::new(vm);
        let mut round = 0_u64;
        while self.from.elapsed() < self.span {
            round += 1;
            let id = match self.ids {
                Ids::Own => Some(format!("{}-{round}", self.name)),
                Ids::Shared => Some(format!("{}-{}", self.name, round / 2)),
                Ids::None => None,
            };
            self.ask(&mut channel, Route::Stream, id);
            self.rest();
        }
        self.asked
    }

    /// Waits before the next request, except in a burst.
    fn rest(&mut self) {
        let pause = self.pause * self.random.random_range(0.0..2.0);
        if self.from.elapsed().as_millis() % BURST_EVERY >= BURST {
            thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    /// Asks, and comes back once after a 503, under another id and on a new connection.
    fn ask(&mut self, channel: &mut Channel, route: Route, id: Option<String>) {
        let again = id.as_ref().map(|id| format!("{id}-again"));
        let after = self.ask_once(channel, route, id);
        let Some(after) = after else {
            return;
        };
        thread::sleep(after.min(deadline(route) / 3));
        channel.close();
        self.ask_once(channel, route, again);
    }

    /// Asks. Returns the time after which the caller may come back, where the answer is a 503.
    fn ask_once(
        &mut self,
        channel: &mut Channel,
        route: Route,
        id: Option<String>,
    ) -> Option<Duration> {
        self.last += 1;
        let mark = format!("{}-{}", self.name, self.last);
        let request = self.request(route, id.as_deref(), &mark);
        let answer = channel.ask(&request);
        let after = answer.header("retry-after");
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        let is_busy = answer.status == 503;
        self.asked.push(Request {
            mark,
            id,
            route,
            answer,
        });
        is_busy.then(|| Duration::from_secs_f64(after))
    }

    fn request(&mut self, route: Route, id: Option<&str>, mark: &str) -> String {
        let first = match route {
            Route::Unsafe => "POST /post/x",
            Route::Safe => "GET /query/x",
            Route::Stream => "POST /plan/x",
        };
        let id = id.map_or(String::new(), |id| format!("Request-Id: {id}\r\n"));
        let model = match route {
            Route::Stream => {
                let usual = self.from.elapsed().as_millis() / ADAPTER_TIME;
                let other = u128::from(self.random.random_range(0..8_u8) == 0);
                let adapter = (usual + other) % ADAPTERS;
                format!("Model: base/a{adapter}\r\nToken-Count: 100,20\r\n")
            }
            Route::Unsafe | Route::Safe => String::new(),
        };
        let deadline = deadline(route).as_millis();
        let length = mark.len();
        format!(
            "{first} HTTP/1.1\r\nHost: host.example\r\n{id}{MARK}: {mark}\r\nDeadline-Ms: {deadline}\r\n{model}\
             Content-Length: {length}\r\n\r\n{mark}"
        )
    }
}

/// How long a caller waits.
fn deadline(route: Route) -> Duration {
    match route {
        Route::Unsafe | Route::Safe => Duration::from_millis(1_500),
        Route::Stream => Duration::from_secs(5),
    }
}

/// Holds what callers got against what servers ran.
fn outcome(fleet: &Fleet, asked: &[Request]) -> Outcome {
    let servers = || fleet.plain.iter().chain(&fleet.engines);
    let mut runs = BTreeMap::<String, Vec<u16>>::new();
    for run in servers().flat_map(Replica::runs) {
        if let Some(mark) = run.asked.headers.get(MARK) {
            runs.entry(mark.clone()).or_default().push(run.status);
        }
    }
    let mut outcome = Outcome {
        copies_made: servers().map(Replica::copies_made).sum(),
        copies_met: servers().map(Replica::copies_met).sum(),
        rejected: servers().map(|server| server.rejections().len()).sum(),
        again: servers().map(again).sum(),
        unmatched: fleet.vms.iter().map(|vm| unmatched(&vm.figures())).sum(),
        ..Outcome::default()
    };
    for request in asked {
        let status = request.answer.status;
        let kind = format!("{:?}", request.route);
        *outcome.requests.entry(kind).or_default() += 1;
        *outcome.statuses.entry(status).or_default() += 1;
        outcome.served += usize::from(status == 200 && request.answer.is_whole);
        outcome.refused += usize::from(PROMISES.contains(&status));
        let statuses = runs.get(&request.mark).map_or(&[][..], Vec::as_slice);
        outcome.broken.extend(broken(request, statuses));
    }
    outcome
}

/// How often a server got a request once more that it had rejected.
fn again(server: &Replica) -> usize {
    let mark = |asked: Asked| asked.headers.get(MARK).cloned();
    let rejections: Vec<_> = server.rejections().into_iter().filter_map(mark).collect();
    let runs = server.runs().into_iter();
    let runs = runs.filter_map(|run| mark(run.asked));
    let rejected: BTreeSet<_> = rejections.iter().cloned().collect();
    let again = runs.filter(|mark| rejected.contains(mark)).count();
    rejections.len() - rejected.len() + again
}

/// The rules that are broken for a request, of which each run was answered with a status.
fn broken(request: &Request, runs: &[u16]) -> Vec<Broken> {
    let Request {
        mark,
        id,
        route,
        answer,
    } = request;
    let status = answer.status;
    let is_idempotent = *route == Route::Safe;
    let is_sealed = answer.header("server-seal").is_some();
    let answered = answer.header("request-id");
    let is_others = answered.is_some() && answered != id.as_deref();
    let rules = [
        (
            "REFUSED",
            !is_idempotent && PROMISES.contains(&status) && !runs.is_empty(),
        ),
        ("TWICE", !is_idempotent && runs.len() > 1),
        (
            "MIXED",
            is_others
                || is_sealed && !runs.contains(&status)
                || (200..300).contains(&status) && !is_sealed,
        ),
    ];
    let what = || format!("{mark} {id:?} {route:?}: runs answered with {runs:?}, {answer:?}");
    let broken = rules.into_iter().filter(|(_, is_broken)| *is_broken);
    broken
        .map(|(rule, _)| Broken { rule, what: what() })
        .collect()
}

/// The answers of a VM that did not bear the id of their request, by its figures.
fn unmatched(figures: &str) -> u64 {
    let lines = figures.lines();
    let lines = lines.filter(|line| line.starts_with("dahliastile_unmatched_answers_total"));
    let counts = lines.filter_map(|line| line.rsplit(' ').next());
    counts.filter_map(|count| count.parse::<u64>().ok()).sum()
}
