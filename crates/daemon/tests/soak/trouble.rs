//! What goes wrong in a round: drawn from its seed, in series and beside each other.

use std::thread;
use std::time::{Duration, Instant};

use dahliastile_body::Framing;
use dahliastile_standin::fleet::{Fault, Flood, Repeat};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::callers::{ACCOUNTS, Callers};
use crate::limits;
use crate::proxy::Mode;
use crate::stage::{BUILDS, SPEEDS, Stage};

/// How long troubles last, in milliseconds.
const LASTS: std::ops::Range<u64> = 200..2_500;
/// The pause until the next one begins, in milliseconds: several run beside each other.
const NEXT: std::ops::Range<u64> = 100..900;
/// The pause until the key-value service next comes back from a copy, in milliseconds.
const NEXT_RESTORE: std::ops::Range<u64> = 500..4_000;
/// The stream of a round's seed from which returns from a copy are drawn: the other troubles of a seed stay as they are
/// without them.
const RESTORES: u64 = 1;
/// The pause until the next flood or slow engine, in milliseconds.
const NEXT_CONTENTION: std::ops::Range<u64> = 500..2_500;
/// The stream from which these are drawn, for the same reason.
const CONTENTION: u64 = 2;
/// The pause until a server's answers next have neither length nor chunks, in milliseconds.
const NEXT_FRAMING: std::ops::Range<u64> = 500..2_500;
/// The stream from which these are drawn.
const FRAMINGS: u64 = 3;
/// The pause until a server next answers once more, late, in milliseconds.
const NEXT_LATE: std::ops::Range<u64> = 500..3_000;
/// The stream from which these are drawn.
const LATE: u64 = 7;
/// The pause until a VM, or all but one, next lose their path to all servers, in milliseconds.
const NEXT_CUT: std::ops::Range<u64> = 500..4_000;
/// The stream from which these are drawn.
const CUTS: u64 = 4;
/// The pause until an engine is next replaced by one with another build of its software, in milliseconds.
const NEXT_RELEASE: std::ops::Range<u64> = 500..3_000;
/// The stream from which these are drawn.
const RELEASES: u64 = 5;
/// The pause until the next series of graceful ends, in milliseconds.
const NEXT_SERIES: std::ops::Range<u64> = 500..6_000;
/// The stream from which these are drawn.
const SERIES: u64 = 6;
/// The pause until another program next writes entries, in milliseconds.
const NEXT_ODD: std::ops::Range<u64> = 300..1_500;
/// The stream from which these, and the sizes of pages, are drawn.
const ODD: u64 = 8;
/// Keys that other programs write, before, among and behind those of this system.
const ODD_KEYS: [&str; 10] = [
    "a&b",
    "dahliastile/vm/x+y",
    "dahliastile/stream/a b/1",
    "op/version/x#y.a1",
    "servers/e0&after=zz",
    "servers/e1 x",
    "servers/p0+x",
    "servers/p1%41",
    "servers/\u{e4}",
    "zz\r\n%",
];
/// Items of a page.
const PAGE_ITEMS: std::ops::Range<usize> = 1..8;
/// The time between two ends of a series.
const SERIES_STEP: Duration = Duration::from_millis(250);
/// How long servers are slow or silent in a series, in milliseconds: up to a little more than VMs take to end.
const SERIES_LASTS: std::ops::Range<u64> = 1_000..6_000;
/// How likely each server is silent in a series, and each engine slow.
const LIKELY: f64 = 0.4;
/// How many times slower a slow engine is.
const SLOWER: f64 = 2.5;
/// After how long operator and servers write again what a copy lacks, in milliseconds.
const WRITTEN_AGAIN: std::ops::Range<u64> = 0..2_000;
/// How old the copy is, at the most, from which the key-value service comes back.
const COPY_AGE: Duration = Duration::from_secs(3);
/// The time between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// How often the round looks whether something is over.
const LOOK: Duration = Duration::from_millis(20);

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// A VM stands still.
    Pause(usize),
    /// A VM's process is killed and starts again.
    Kill(usize),
    /// A VM ends gracefully and starts again.
    Terminate(usize),
    /// A VM reads its settings again.
    Reload(usize),
    /// A VM's way to the key-value service.
    StoreWay(usize, Mode),
    /// The key-value service answers nobody.
    StoreDown,
    /// It comes back from a copy, and after so long operator and servers write again.
    StoreRestored(Duration),
    /// The ways of all VMs to a server.
    ServerWay(usize, Mode),
    /// A server fails its requests in some way.
    Server(usize, Fault),
    /// A server's answers have neither length nor chunks, and it fails its requests in some way.
    Unframed(usize, Fault),
    /// A server answers once more, late, and rejects requests or sends bytes without end.
    Late(usize, Repeat, Fault),
    /// A VM loses its path to all servers, or all others do.
    CutOff(usize, bool),
    /// An engine starts anew and holds nothing.
    EngineRestart(usize),
    /// A server says that it is leaving, and comes back.
    Leave(usize),
    /// The operator writes a configuration.
    Configure,
    /// An account sends many times its usual requests.
    Flood,
    /// An engine is slow.
    Slow(usize),
    /// An engine leaves, and is replaced by one with another build of its software.
    Release(usize, &'static str),
    /// Another program has an entry under this key, and pages have this many items.
    OddEntry(&'static str, usize),
}

impl Trouble {
    /// Draws one.
    fn draw(rng: &mut ChaCha8Rng, vms: usize, servers: usize, engines: usize) -> Self {
        let vm = rng.random_range(0..vms);
        let server = rng.random_range(0..servers);
        let modes = [Mode::Slow, Mode::OneWay, Mode::Silent, Mode::Reset];
        let mode = modes[rng.random_range(0..modes.len())];
        let faults = [
            Fault::LosesAnswer,
            Fault::CutsStream,
            Fault::AnswersAnother,
            Fault::Full,
            Fault::Fails,
        ];
        match rng.random_range(0..14) {
            0 | 1 => Self::Pause(vm),
            2 | 3 => Self::Kill(vm),
            4 => Self::Terminate(vm),
            5 => Self::Reload(vm),
            6 | 7 => Self::StoreWay(vm, mode),
            8 => Self::StoreDown,
            9 => Self::ServerWay(server, mode),
            10 => Self::Server(server, faults[rng.random_range(0..faults.len())]),
            11 => Self::EngineRestart(server % engines),
            12 => Self::Leave(server),
            _ => Self::Configure,
        }
    }

    /// Draws a return of the key-value service from a copy.
    fn draw_restore(rng: &mut ChaCha8Rng) -> Self {
        Self::StoreRestored(Duration::from_millis(rng.random_range(WRITTEN_AGAIN)))
    }

    /// Draws a flood or a slow engine.
    fn draw_contention(rng: &mut ChaCha8Rng, engines: usize) -> Self {
        match rng.random_range(0..2 * engines) {
            engine if engine < engines => Self::Slow(engine),
            _ => Self::Flood,
        }
    }

    /// Draws answers without length and chunks.
    fn draw_framing(rng: &mut ChaCha8Rng, servers: usize) -> Self {
        let faults = [
            Fault::None,
            Fault::CutsStream,
            Fault::CutsAnswer,
            Fault::ResetsAnswer,
        ];
        let server = rng.random_range(0..servers);
        Self::Unframed(server, faults[rng.random_range(0..faults.len())])
    }

    /// Draws late answers, or bytes without end.
    fn draw_late(rng: &mut ChaCha8Rng, servers: usize) -> Self {
        let repeats = [Repeat::Rejections, Repeat::RejectionsWithoutId, Repeat::All];
        let faults = [
            Fault::None,
            Fault::Full,
            Fault::Misdirected,
            Fault::Floods(Flood::Interim),
            Fault::Floods(Flood::ChunkSize),
            Fault::Floods(Flood::Event),
        ];
        let server = rng.random_range(0..servers);
        let repeat = repeats[rng.random_range(0..repeats.len())];
        Self::Late(server, repeat, faults[rng.random_range(0..faults.len())])
    }

    /// Draws a lost path.
    fn draw_cut(rng: &mut ChaCha8Rng, vms: usize) -> Self {
        Self::CutOff(rng.random_range(0..vms), rng.random_bool(0.3))
    }

    /// Draws the replacement of an engine.
    fn draw_release(rng: &mut ChaCha8Rng, engines: usize) -> Self {
        let build = BUILDS[rng.random_range(0..BUILDS.len())];
        Self::Release(rng.random_range(0..engines), build)
    }

    /// Draws an entry of another program.
    fn draw_odd(rng: &mut ChaCha8Rng) -> Self {
        let key = ODD_KEYS[rng.random_range(0..ODD_KEYS.len())];
        Self::OddEntry(key, rng.random_range(PAGE_ITEMS))
    }

    /// Draws a series: engines that hold nothing, servers that are silent or slow, and all VMs told to end, one after the
    /// other. Each comes with the pause until it begins and how long it lasts.
    fn draw_series(
        rng: &mut ChaCha8Rng,
        vms: usize,
        servers: usize,
        engines: usize,
    ) -> Vec<(Duration, Self, Duration)> {
        let lasts = Duration::from_millis(rng.random_range(SERIES_LASTS));
        let restarts = (0..engines).map(Self::EngineRestart);
        let restarts = restarts.map(|restart| (Duration::ZERO, restart, Duration::ZERO));
        let mut series: Vec<_> = restarts.collect();
        let silent = (0..servers).map(|server| Self::Server(server, Fault::Silent));
        for trouble in silent.chain((0..engines).map(Self::Slow)) {
            if rng.random_bool(LIKELY) {
                series.push((SERIES_STEP, trouble, lasts));
            }
        }
        let first = rng.random_range(0..vms);
        let order = (first..first + vms).map(|vm| Self::Terminate(vm % vms));
        let mut at = SERIES_STEP;
        for terminate in order {
            at += SERIES_STEP;
            series.push((at, terminate, Duration::ZERO));
        }
        series
    }

    /// Whether it is over once its time is.
    fn is_over(self, stage: &mut Stage) -> bool {
        match self {
            Self::Terminate(vm) => stage.has_ended(vm),
            _ => true,
        }
    }

    /// What it holds: nothing else happens to that meanwhile.
    fn holds(self) -> Held {
        match self {
            Self::Pause(vm) | Self::Kill(vm) | Self::Terminate(vm) | Self::Reload(vm) => {
                Held::Vm(vm)
            }
            Self::StoreWay(vm, _) => Held::StoreWay(vm),
            Self::StoreDown | Self::StoreRestored(_) => Held::Store,
            Self::ServerWay(server, _) => Held::ServerWay(server),
            Self::Server(server, _)
            | Self::Unframed(server, _)
            | Self::Late(server, ..)
            | Self::EngineRestart(server)
            | Self::Release(server, _)
            | Self::Leave(server) => Held::Server(server),
            Self::CutOff(..) => Held::Paths,
            Self::Configure => Held::Configuration,
            Self::Flood => Held::Account,
            Self::Slow(engine) => Held::Speed(engine),
            Self::OddEntry(key, _) => Held::Entry(key),
        }
    }

    fn begin(self, stage: &mut Stage, callers: &Callers, lasts: Duration) {
        match self {
            Self::Pause(vm) => {
                stage.disturb(Some(vm), lasts);
                stage.fleet.vms[vm].signal("-STOP");
            }
            Self::Kill(vm) => {
                stage.disturb(Some(vm), lasts);
                stage.fleet.vms[vm].signal("-KILL");
            }
            Self::Terminate(vm) => stage.terminate(vm),
            Self::Reload(vm) => stage.reload(vm),
            Self::StoreWay(vm, mode) => stage.store_ways[vm].set(mode),
            Self::StoreDown | Self::StoreRestored(_) => stage.fleet.store.set_down(true),
            Self::ServerWay(server, mode) => {
                stage.disturb(None, lasts);
                stage.server_ways[server].set(mode);
            }
            Self::Server(server, fault) => {
                stage.disturb(None, lasts);
                replica(stage, server).set_fault(fault);
            }
            Self::Unframed(server, fault) => {
                stage.disturb(None, lasts);
                replica(stage, server).set_framing(Framing::Connection);
                replica(stage, server).set_fault(fault);
            }
            Self::Late(server, repeat, fault) => {
                stage.disturb(None, lasts);
                replica(stage, server).set_repeat(repeat);
                replica(stage, server).set_fault(fault);
            }
            Self::CutOff(vm, others) => {
                stage.disturb(None, lasts);
                stage.cut_off(|other| (other == vm) != others);
            }
            Self::EngineRestart(engine) => stage.fleet.engines[engine].restart(),
            Self::Release(engine, _) => stage.list(engine, "draining"),
            Self::Flood => callers.flood(true),
            Self::Slow(engine) => stage.fleet.engines[engine].set_speed(SPEEDS[engine] / SLOWER),
            Self::Leave(server) => stage.list(server, "draining"),
            Self::OddEntry(key, items) => {
                let like_a_server = stage.fleet.plain[0].entry(
                    "desk",
                    stage.fleet.plain_address(0),
                    "north",
                    "ready",
                );
                stage.fleet.store.put(key, &like_a_server);
                stage.fleet.store.set_page_items(items);
            }
            Self::Configure => {
                stage.version += 1;
                stage
                    .fleet
                    .store
                    .put("op/config", &limits::config(stage.version, &ACCOUNTS));
            }
        }
    }

    fn end(self, stage: &mut Stage, callers: &Callers) {
        match self {
            Self::Pause(vm) => stage.fleet.vms[vm].signal("-CONT"),
            Self::Kill(vm) | Self::Terminate(vm) => stage.restart(vm),
            Self::StoreWay(vm, _) => stage.store_ways[vm].set(Mode::Pass),
            Self::StoreDown => stage.fleet.store.set_down(false),
            Self::StoreRestored(after) => {
                stage.fleet.store.restore();
                stage.fleet.store.set_down(false);
                stage.write_again_at.push(Instant::now() + after);
            }
            Self::ServerWay(server, _) => stage.server_ways[server].set(Mode::Pass),
            Self::Server(server, _) => replica(stage, server).set_fault(Fault::None),
            Self::Unframed(server, _) => {
                replica(stage, server).set_fault(Fault::None);
                replica(stage, server).set_framing(Framing::Length);
            }
            Self::Late(server, ..) => {
                replica(stage, server).set_fault(Fault::None);
                replica(stage, server).set_repeat(Repeat::None);
            }
            Self::CutOff(..) => stage.cut_off(|_| false),
            Self::Leave(server) => stage.list(server, "ready"),
            Self::Flood => callers.flood(false),
            Self::Slow(engine) => stage.fleet.engines[engine].set_speed(SPEEDS[engine]),
            Self::Release(engine, build) => stage.release(engine, build),
            Self::OddEntry(key, _) => stage.fleet.store.remove(key),
            Self::Reload(_) | Self::EngineRestart(_) | Self::Configure => {}
        }
    }
}

/// What a trouble holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Vm(usize),
    StoreWay(usize),
    Store,
    ServerWay(usize),
    Server(usize),
    Paths,
    Configuration,
    Account,
    Speed(usize),
    Entry(&'static str),
}

fn replica(stage: &Stage, server: usize) -> &dahliastile_standin::fleet::Replica {
    stage.servers().nth(server).expect("one of the servers")
}

/// Draws troubles of one kind from a stream of the round's seed.
struct Source {
    /// The stream.
    rng: ChaCha8Rng,
    /// The pause until the next one, in milliseconds.
    pause: std::ops::Range<u64>,
    /// When the next one comes.
    next: Instant,
}

impl Source {
    fn new(rng: &ChaCha8Rng, stream: u64, pause: std::ops::Range<u64>, began: Instant) -> Self {
        let mut rng = rng.clone();
        rng.set_stream(stream);
        let next = began + Duration::from_millis(rng.random_range(pause.clone()));
        Self { rng, pause, next }
    }

    /// Whether one is due; the next one is then drawn.
    fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.next <= now;
        if is_due {
            self.next = now + Duration::from_millis(self.rng.random_range(self.pause.clone()));
        }
        is_due
    }

    /// How long one lasts that is due.
    fn lasts_if_due(&mut self, now: Instant) -> Option<Duration> {
        self.is_due(now)
            .then(|| Duration::from_millis(self.rng.random_range(LASTS)))
    }
}

/// Has troubles come for a while, then ends those that still last. Returns what happened, in order.
pub(crate) fn play(
    stage: &mut Stage,
    callers: &Callers,
    rng: &mut ChaCha8Rng,
    span: Duration,
) -> Vec<String> {
    let began = Instant::now();
    let (vms, servers) = (stage.fleet.vms.len(), stage.server_ways.len());
    let engines = stage.fleet.engines.len();
    let mut running: Vec<(Trouble, Instant)> = Vec::new();
    let mut history = Vec::new();
    let mut next = began;
    let mut next_copy = began;
    let mut restores = Source::new(rng, RESTORES, NEXT_RESTORE, began);
    let mut contention = Source::new(rng, CONTENTION, NEXT_CONTENTION, began);
    let mut framings = Source::new(rng, FRAMINGS, NEXT_FRAMING, began);
    let mut late = Source::new(rng, LATE, NEXT_LATE, began);
    let mut cuts = Source::new(rng, CUTS, NEXT_CUT, began);
    let mut releases = Source::new(rng, RELEASES, NEXT_RELEASE, began);
    let mut series = Source::new(rng, SERIES, NEXT_SERIES, began);
    let mut odd = Source::new(rng, ODD, NEXT_ODD, began);
    let mut planned: Vec<(Instant, Trouble, Duration)> = Vec::new();
    while began.elapsed() < span {
        let now = Instant::now();
        if next_copy <= now {
            next_copy = now + COPY_INTERVAL;
            stage.fleet.store.copy(COPY_AGE);
        }
        stage.write_again_if_due(now);
        let over = running.extract_if(.., |(trouble, to)| *to <= now && trouble.is_over(stage));
        let over: Vec<_> = over.collect();
        for (trouble, _) in over {
            trouble.end(stage, callers);
        }
        let mut due = Vec::new();
        if next <= now {
            next = now + Duration::from_millis(rng.random_range(NEXT));
            let lasts = Duration::from_millis(rng.random_range(LASTS));
            let trouble = Trouble::draw(rng, vms, servers, engines);
            due.push((trouble, lasts));
        }
        if let Some(lasts) = restores.lasts_if_due(now) {
            due.push((Trouble::draw_restore(&mut restores.rng), lasts));
        }
        if let Some(lasts) = contention.lasts_if_due(now) {
            let drawn = Trouble::draw_contention(&mut contention.rng, engines);
            due.push((drawn, lasts));
        }
        if let Some(lasts) = framings.lasts_if_due(now) {
            due.push((Trouble::draw_framing(&mut framings.rng, servers), lasts));
        }
        if let Some(lasts) = late.lasts_if_due(now) {
            due.push((Trouble::draw_late(&mut late.rng, servers), lasts));
        }
        if let Some(lasts) = cuts.lasts_if_due(now) {
            due.push((Trouble::draw_cut(&mut cuts.rng, vms), lasts));
        }
        if let Some(lasts) = releases.lasts_if_due(now) {
            due.push((Trouble::draw_release(&mut releases.rng, engines), lasts));
        }
        if let Some(lasts) = odd.lasts_if_due(now) {
            due.push((Trouble::draw_odd(&mut odd.rng), lasts));
        }
        if series.is_due(now) {
            let drawn = Trouble::draw_series(&mut series.rng, vms, servers, engines).into_iter();
            planned.extend(drawn.map(|(pause, trouble, lasts)| (now + pause, trouble, lasts)));
        }
        let begins = planned.extract_if(.., |(at, ..)| *at <= now);
        due.extend(begins.map(|(_, trouble, lasts)| (trouble, lasts)));
        for (trouble, lasts) in due {
            if running
                .iter()
                .all(|(other, _)| other.holds() != trouble.holds())
            {
                history.push(format!("{:?} {trouble:?} for {lasts:?}", began.elapsed()));
                trouble.begin(stage, callers, lasts);
                running.push((trouble, now + lasts));
            }
        }
        thread::sleep(LOOK);
    }
    for (trouble, _) in running {
        while !trouble.is_over(stage) {
            thread::sleep(LOOK);
        }
        trouble.end(stage, callers);
    }
    stage.write_again_if_due(Instant::now() + Duration::from_millis(WRITTEN_AGAIN.end));
    history
}
